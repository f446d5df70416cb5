//! Chooses the backend server for each attempt.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::engine::CacheEvent;
use crate::engine::LoadReport;
use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It may.
    Live,
    /// It is leaving: its work goes on, and it gets no more.
    Leaving,
    /// It does not answer, or lost a process lately.
    Suspected,
}

/// One backend server as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identity.
    pub id: ServerId,
    /// Host that it runs on.
    pub host: HostId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Whether it may get new work.
    pub state: ServerState,
    /// Concurrent requests that it takes at most.
    pub concurrency: u32,
}

/// What the router needs to know about an attempt.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Service asked for.
    pub service: &'a ServiceName,
    /// Block hashes of the prompt; empty for apps.
    pub blocks: &'a [BlockHash],
    /// Tokens of the prompt; 0 for apps.
    pub prompt_tokens: u32,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
}

/// What the router chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the attempt to the server.
    Server(ServerKey),
    /// Every server that could run it is full; ask again when an attempt ends.
    Wait,
    /// No server can run it.
    NoServer,
}

struct ServerEntry {
    info: ServerInfo,
    in_flight: u32,
}

/// Chooses among the backend servers of all services.
pub struct RequestRouter {
    home_zone: ZoneName,
    servers: SlotMap<ServerKey, ServerEntry>,
    keys: BTreeMap<ServerId, ServerKey>,
}

impl RequestRouter {
    /// Builds a router for an entry host in `home_zone`; `seed` drives its random choices.
    pub fn new(home_zone: ZoneName, _seed: u64) -> Self {
        Self { home_zone, servers: SlotMap::with_key(), keys: BTreeMap::new() }
    }

    /// Replaces the list of servers; what is known about a server that stays is kept.
    pub fn set_servers(&mut self, _now: Timestamp, servers: Vec<ServerInfo>) {
        let mut stale = std::mem::take(&mut self.keys);
        for info in servers {
            let key = match stale.remove(&info.id) {
                Some(key) => {
                    self.servers[key].info = info.clone();
                    key
                }
                None => self.servers.insert(ServerEntry { info: info.clone(), in_flight: 0 }),
            };
            self.keys.insert(info.id, key);
        }
        for key in stale.into_values() {
            self.servers.remove(key);
        }
    }

    /// Changes the state of one server; an unknown server is ignored.
    pub fn set_state(&mut self, _now: Timestamp, id: &ServerId, state: ServerState) {
        if let Some(&key) = self.keys.get(id) {
            self.servers[key].info.state = state;
        }
    }

    /// Returns a server by its key, or `None` once it is gone.
    pub fn server(&self, key: ServerKey) -> Option<&ServerInfo> {
        self.servers.get(key).map(|entry| &entry.info)
    }

    /// Returns the key of a server.
    pub fn key_of(&self, id: &ServerId) -> Option<ServerKey> {
        self.keys.get(id).copied()
    }

    /// Returns the attempts that this host has at a server.
    pub fn in_flight(&self, key: ServerKey) -> u32 {
        self.servers.get(key).map_or(0, |entry| entry.in_flight)
    }

    /// Returns all servers in the order of their ids.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerInfo)> {
        self.keys.values().map(|&key| (key, &self.servers[key].info))
    }

    /// Chooses a server for an attempt; [`Self::on_dispatched`] must follow if it is used.
    pub fn choose(&mut self, _now: Timestamp, query: &RouteQuery) -> RouteChoice {
        let mut any = false;
        let mut best: Option<(u32, bool, ServerKey)> = None;
        for &key in self.keys.values() {
            let entry = &self.servers[key];
            let usable = entry.info.service == *query.service
                && entry.info.state == ServerState::Live
                && !query.excluded.contains(&key);
            if !usable {
                continue;
            }
            any = true;
            if entry.in_flight >= entry.info.concurrency {
                continue;
            }
            let rank = (entry.in_flight, entry.info.zone != self.home_zone, key);
            if best.is_none_or(|found| rank < found) {
                best = Some(rank);
            }
        }
        match best {
            Some((_, _, key)) => RouteChoice::Server(key),
            None if any => RouteChoice::Wait,
            None => RouteChoice::NoServer,
        }
    }

    /// Records that an attempt was sent to a server.
    pub fn on_dispatched(&mut self, _now: Timestamp, key: ServerKey, _query: &RouteQuery) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.in_flight += 1;
        }
    }

    /// Records the first token of an attempt, with the tokens that its prefill computed.
    pub fn on_first_token(&mut self, _now: Timestamp, _key: ServerKey, _prompt_tokens: u32) {}

    /// Records the end of an attempt, however it ended.
    pub fn on_ended(&mut self, _now: Timestamp, key: ServerKey) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Takes a load report of a server.
    pub fn on_load_report(&mut self, _now: Timestamp, _key: ServerKey, _report: &LoadReport) {}

    /// Takes cache events of a server.
    pub fn on_cache_events(&mut self, _now: Timestamp, _key: ServerKey, _events: &[CacheEvent]) {}
}
