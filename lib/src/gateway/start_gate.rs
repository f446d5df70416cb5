//! Decides when a host that has started takes connections.
//!
//! Load pattern: hosts are replaced one by one, or all lose power and start at once. The retry budget is a sum
//! over all hosts. One that does not know how many there are must take itself for one of the largest fleet,
//! whose part is less than one retry, so that a request refused by one server is not tried at another.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Maximum time for which a host that could serve waits for the list of hosts. One that serves without it
/// can retry little; with the other hosts starting as well, callers would have no host at all.
pub const MAX_LIST_WAIT: Duration = Duration::from_secs(1);

/// What a host has read since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartReads {
    /// Whether it has a configuration.
    pub config: bool,
    /// Whether it read the spending from before its start, or cannot.
    pub spending: bool,
    /// Whether it knows how many hosts there are.
    pub hosts: bool,
}

/// Gate that opens once.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartGate {
    /// Since when only the list of hosts is missing.
    lacks_hosts_since: Option<Timestamp>,
    is_open: bool,
}

impl StartGate {
    /// Returns whether the host takes connections.
    pub fn is_open(&mut self, now: Timestamp, reads: StartReads) -> bool {
        if !self.is_open && reads.config && reads.spending {
            let since = *self.lacks_hosts_since.get_or_insert(now);
            self.is_open = reads.hosts || now.since(since) >= MAX_LIST_WAIT;
        }
        self.is_open
    }
}
