//! Chooses the peer that forwards an attempt.
//!
//! Load pattern: most or all hosts of an availability zone are partitioned from servers, and their callers
//! stay with them. The peers of the zone forward for it as long as they are not fewer than the hosts that
//! need them; otherwise all peers share the load. Each host uses a few peers, so that few connections are
//! opened, and different hosts use different ones.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom as _;

use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Number of peers that a host uses at a time.
const PEERS_IN_USE: usize = 4;

/// Time for which a peer is not used after it could not forward an attempt.
const FAILURE_TTL: Duration = Duration::from_secs(1);

/// Maximum number of peers whose failures are kept.
const MAX_FAILED_PEERS: usize = 512;

/// A peer that does not say that it is partitioned from a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwarderPeer {
    /// Name of the host.
    pub host: HostId,
    /// TCP address at which it takes attempts of its peers.
    pub address: SocketAddr,
    /// Whether it is in this host's availability zone.
    pub is_near: bool,
}

/// The peers that may forward attempts at a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwarderScope {
    /// Peers that reach the service, as far as they say.
    pub peers: Vec<ForwarderPeer>,
    /// Hosts of this host's zone that say that they do not, without this host.
    pub near_unreached: usize,
}

/// Peers that could not forward an attempt at a service a moment ago.
#[derive(Clone, Debug, Default)]
pub struct ForwarderTable {
    failed: BTreeMap<(HostId, ServiceName), Timestamp>,
}

impl ForwarderTable {
    /// Records that a peer could not forward an attempt.
    pub fn on_failed(&mut self, now: Timestamp, host: &HostId, service: &ServiceName) {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        if self.failed.len() < MAX_FAILED_PEERS {
            self.failed.insert((host.clone(), service.clone()), now);
        }
    }

    /// Returns the peers that may be asked to forward an attempt at a service.
    pub fn usable<'a>(
        &self,
        now: Timestamp,
        scope: &'a ForwarderScope,
        service: &ServiceName,
        excluded: &[HostId],
    ) -> Vec<&'a ForwarderPeer> {
        let has_failed = |peer: &ForwarderPeer| {
            let failed = self.failed.get(&(peer.host.clone(), service.clone()));
            failed.is_some_and(|at| now.since(*at) < FAILURE_TTL)
        };
        let usable =
            scope.peers.iter().filter(|peer| !excluded.contains(&peer.host) && !has_failed(peer));
        usable.collect()
    }
}

/// Chooses the peer that host `own` asks, among those that may be.
pub fn choose_forwarder(
    usable: Vec<&ForwarderPeer>,
    scope: &ForwarderScope,
    own: &HostId,
    random: &mut impl Rng,
) -> Option<ForwarderPeer> {
    let near: Vec<&ForwarderPeer> = usable.iter().copied().filter(|peer| peer.is_near).collect();
    let mut peers = if near.len() > scope.near_unreached { near } else { usable };
    peers.sort_by_cached_key(|peer| rendezvous_score(own, &peer.host));
    peers.truncate(PEERS_IN_USE);
    peers.choose(random).map(|peer| (*peer).clone())
}

/// Returns the score of a peer for a host; a host uses the peers with the least scores.
fn rendezvous_score(own: &HostId, peer: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own.as_str(), peer.as_str()).hash(&mut hasher);
    hasher.finish()
}
