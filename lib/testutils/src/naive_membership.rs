//! Reference implementation of membership: all-to-all heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::ids::HostId;
use pomelostack_lib::timestamp::Timestamp;

/// Time without a heartbeat after which a host counts as dead.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// View of one host from all-to-all heartbeats.
#[derive(Clone, Debug, Default)]
pub struct NaiveMembership {
    last_heard: BTreeMap<HostId, (Timestamp, bool)>,
}

impl NaiveMembership {
    /// Records a heartbeat. `leaving` tells whether the host is leaving.
    pub fn on_heartbeat(&mut self, now: Timestamp, host: HostId, leaving: bool) {
        self.last_heard.insert(host, (now, leaving));
    }

    /// Returns the hosts that may get new work, ordered by host id.
    pub fn live(&self, now: Timestamp) -> Vec<HostId> {
        self.last_heard
            .iter()
            .filter(|(_, (heard, leaving))| !leaving && now.since(*heard) < HEARTBEAT_TIMEOUT)
            .map(|(host, _)| host.clone())
            .collect()
    }
}
