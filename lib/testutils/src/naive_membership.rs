//! Naive membership: every host sends a heartbeat to every other one.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::ids::HostId;
use pomelostack_lib::timestamp::Timestamp;

/// Time without a heartbeat after which a host counts as dead.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// One host's view from all-to-all heartbeats.
#[derive(Clone, Debug, Default)]
pub struct NaiveMembership {
    last_heard: BTreeMap<HostId, (Timestamp, bool)>,
}

impl NaiveMembership {
    /// Takes the heartbeat of a host that is leaving or not.
    pub fn on_heartbeat(&mut self, now: Timestamp, host: HostId, leaving: bool) {
        self.last_heard.insert(host, (now, leaving));
    }

    /// Returns the hosts that may get new work, in order.
    pub fn live(&self, now: Timestamp) -> Vec<HostId> {
        self.last_heard
            .iter()
            .filter(|(_, (heard, leaving))| !leaving && now.since(*heard) < HEARTBEAT_TIMEOUT)
            .map(|(host, _)| host.clone())
            .collect()
    }
}
