//! Timing and size limits of membership.

use std::time::Duration;

/// Timing and size limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two ticks of the supervisor.
    pub tick: Duration,
    /// Time between two rounds of probes.
    pub probe_period: Duration,
    /// Members of the own region probed in one round.
    pub probes_per_round: usize,
    /// Time for the answer on the open connection.
    pub probe_timeout: Duration,
    /// Time for the answer on a new connection or through other members.
    pub indirect_probe_timeout: Duration,
    /// Members asked to probe a silent one.
    pub indirect_probes: usize,
    /// Time for a suspected member to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Members that a change is pushed to at once by each member that learns it.
    pub push_fanout: usize,
    /// Pushes of member changes that one host makes at once, at most.
    pub change_burst: u32,
    /// Time in which one more push of member changes is allowed.
    pub change_period: Duration,
    /// Pushes of payloads that one host makes at once, at most.
    pub payload_burst: u32,
    /// Time in which one more push of payloads is allowed.
    pub payload_period: Duration,
    /// Members of a region that exchange messages with other regions.
    pub relays: usize,
    /// Time between two messages of a relay to another region.
    pub relay_period: Duration,
    /// Time between two summaries of a zone.
    pub summary_period: Duration,
    /// Time between two probes of a dead member or a candidate.
    pub absent_probe_period: Duration,
    /// Time without any new summary after which a region counts as unreachable.
    pub region_silence: Duration,
    /// Time without any message after which this host counts itself as isolated.
    pub isolation_limit: Duration,
    /// Time without a tick after which the own view counts as stale.
    pub stall_limit: Duration,
    /// Time for which the record of a dead member is kept.
    pub tombstone_ttl: Duration,
    /// Least time between two requests for a table.
    pub table_period: Duration,
    /// Bytes of payload sections in one message.
    pub section_budget_bytes: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            probe_period: Duration::from_millis(500),
            probes_per_round: 2,
            probe_timeout: Duration::from_millis(300),
            indirect_probe_timeout: Duration::from_millis(400),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_millis(1_500),
            push_fanout: 3,
            change_burst: 20,
            change_period: Duration::from_millis(500),
            payload_burst: 4,
            payload_period: Duration::from_secs(2),
            relays: 3,
            relay_period: Duration::from_secs(1),
            summary_period: Duration::from_secs(3),
            absent_probe_period: Duration::from_secs(2),
            region_silence: Duration::from_secs(8),
            isolation_limit: Duration::from_secs(1),
            stall_limit: Duration::from_secs(1),
            tombstone_ttl: Duration::from_secs(600),
            table_period: Duration::from_secs(2),
            section_budget_bytes: 350,
        }
    }
}
