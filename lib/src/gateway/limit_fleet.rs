//! Divides the limit that a server names among the hosts.
//!
//! Each host decides for itself, and the sum must hold for all of them: at a limit of one request a
//! second, hundreds of hosts cannot each have a part of it. A limit therefore has few holders, more
//! of them the higher it is. Hosts agree on them by rendezvous hashing over the hosts that they hear
//! from, weighted by the demand that each host states. A holder sends at its part of the rate, and the
//! other hosts send nothing. Views of the fleet differ while hosts come and go: a host counts itself
//! with the least weight that it has stated for a while, and a silent host stays a holder for longer
//! than any summary takes, so that a holder has stopped before the next one begins.

use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use crate::gateway::demand_level::DemandLevel;
use crate::ids::HostId;
use crate::ids::ServerId;

/// Holders of a limit, besides those for each request per second. Each may send one request at once.
const BASE_HOLDERS: f64 = 3.0;
const HOLDERS_PER_RATE: f64 = 0.75;

/// Requests that all holders together may send at once, besides those for each request per second.
const BASE_BURST: f64 = 4.0;
const BURST_PER_RATE: f64 = 0.5;

/// Part of the fleet that a host takes itself for while it knows nothing of its peers.
const UNKNOWN_FLEET_HOSTS: u32 = 16;

/// A host that may hold parts of limits.
#[derive(Clone, Copy, Debug)]
pub struct FleetHost {
    key: u64,
    weight: f64,
}

impl FleetHost {
    /// Builds a host with the demand that it states.
    pub fn new(host: &HostId, level: DemandLevel) -> Self {
        let mut hasher = DefaultHasher::new();
        host.as_str().hash(&mut hasher);
        Self { key: hasher.finish(), weight: level.weight() }
    }

    /// Returns the host's score for a server; those with the highest scores hold its limit.
    fn score(self, server: u64) -> f64 {
        let mut hasher = DefaultHasher::new();
        (server, self.key).hash(&mut hasher);
        // Uniform in (0, 1]: the lowest bits do not fit into the mantissa.
        let uniform = ((hasher.finish() >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        self.weight / -uniform.ln()
    }
}

/// How many hosts there are, as far as a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetSize {
    /// So many were heard from lately, this one included, or are listed if none was.
    Hosts(u32),
    /// It has neither heard from a host nor read their list.
    Unknown,
}

/// The hosts that may send to the servers of one service, as one of them sees them.
#[derive(Clone, Debug)]
pub struct LimitFleet {
    /// This host, with the least weight that it has stated for a while.
    own: FleetHost,
    /// Peers that are heard from.
    peers: Vec<FleetHost>,
    size: FleetSize,
}

/// The part of a limit that a host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitPart {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be sent at once.
    pub burst: f64,
}

impl LimitFleet {
    /// Builds a view of the fleet.
    pub fn new(own: FleetHost, peers: Vec<FleetHost>, size: FleetSize) -> Self {
        Self { own, peers, size }
    }

    /// Returns this host's part of a server's limit, in requests per second; `None` if it holds none.
    pub fn part(&self, server: &ServerId, limit: f64) -> Option<LimitPart> {
        let share = self.reachable_share();
        let holders = ((BASE_HOLDERS + limit * HOLDERS_PER_RATE).ceil() * share).max(1.0);
        let mut hasher = DefaultHasher::new();
        server.as_str().hash(&mut hasher);
        let server = hasher.finish();
        let own_score = self.own.score(server);
        if own_score <= 0.0 {
            return None;
        }
        let mut others: Vec<(f64, f64)> =
            self.peers.iter().map(|peer| (peer.score(server), peer.weight)).collect();
        let ahead = others.iter().filter(|(score, _)| *score > own_score).count();
        // A limit beyond the size of the fleet has all hosts as holders.
        let holders = (holders as usize).min(others.len() + 1);
        if ahead >= holders {
            return None;
        }
        if holders <= others.len() {
            others.select_nth_unstable_by(holders - 1, |(a, _), (b, _)| b.total_cmp(a));
            others.truncate(holders - 1);
        }
        let weights = self.own.weight + others.iter().map(|(_, weight)| weight).sum::<f64>();
        let fraction = self.own.weight / weights;
        let rate = limit * share;
        let common_burst = rate * BURST_PER_RATE + BASE_BURST - (holders + 1) as f64;
        Some(LimitPart { rate: rate * fraction, burst: 1.0 + common_burst.max(0.0) * fraction })
    }

    /// Returns the part of all limits that the hosts together may use that this one hears from. The
    /// rest may be in use by those that it does not hear from.
    fn reachable_share(&self) -> f64 {
        let group = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let known = match self.size {
            FleetSize::Hosts(known) => known,
            FleetSize::Unknown => UNKNOWN_FLEET_HOSTS,
        };
        if group * 2 > known { 1.0 } else { f64::from(group) / f64::from(known) }
    }
}
