//! Index of the live servers of each service, from which the router samples candidates.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::request_router::ServerInfo;
use crate::request_router::ServerState;

/// Number of servers sampled from the home zone, and of servers sampled from all zones.
const SAMPLED_SERVERS: usize = 8;

/// Live servers of one service.
#[derive(Debug, Default)]
pub struct ServicePool {
    live: Vec<ServerKey>,
    home: Vec<ServerKey>,
}

impl ServicePool {
    /// Returns all live servers.
    pub fn live(&self) -> &[ServerKey] {
        &self.live
    }

    /// Adds candidates: all servers of a small pool, or else a random sample of the home zone's
    /// servers and one of all servers.
    pub fn sample(&self, rng: &mut ChaCha8Rng, candidates: &mut Vec<ServerKey>) {
        if self.live.len() <= 2 * SAMPLED_SERVERS {
            candidates.extend(&self.live);
            return;
        }
        for servers in [&self.home, &self.live] {
            let count = servers.len().min(SAMPLED_SERVERS);
            candidates.extend((0..count).map(|_| servers[rng.random_range(0..servers.len())]));
        }
    }
}

/// Live servers by service.
#[derive(Debug, Default)]
pub struct RouterIndex {
    pools: BTreeMap<ServiceName, ServicePool>,
}

impl RouterIndex {
    /// Indexes the live servers among `servers`.
    pub fn build<'a>(
        home_zone: &ZoneName,
        servers: impl Iterator<Item = (ServerKey, &'a ServerInfo)>,
    ) -> Self {
        let mut index = Self::default();
        for (key, info) in servers.filter(|(_, info)| info.state == ServerState::Live) {
            let pool = index.pools.entry(info.service.clone()).or_default();
            pool.live.push(key);
            if info.zone == *home_zone {
                pool.home.push(key);
            }
        }
        index
    }

    /// Returns the live servers of a service.
    pub fn pool(&self, service: &ServiceName) -> Option<&ServicePool> {
        self.pools.get(service)
    }
}
