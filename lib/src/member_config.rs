//! Timeouts, rate limits and size limits of membership.

use std::time::Duration;

/// Timeouts, rate limits and size limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two ticks of the membership table.
    pub tick: Duration,
    /// Time between two probe rounds.
    pub probe_period: Duration,
    /// Members of the local region probed in one round.
    pub probes_per_round: usize,
    /// Deadline of a direct probe, which uses the open connection.
    pub probe_timeout: Duration,
    /// Deadline of the second stage, which probes on a new connection and through other members.
    pub indirect_probe_timeout: Duration,
    /// Members asked to probe one that missed its direct probe.
    pub indirect_probes: usize,
    /// Time for a suspected member to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Members to which each member that learns a change pushes it at once.
    pub push_fanout: usize,
    /// Burst of the token bucket for pushes of member changes.
    pub change_burst: u32,
    /// Refill period of the token bucket for pushes of member changes, for one token.
    pub change_period: Duration,
    /// Burst of the token bucket for pushes of payloads.
    pub payload_burst: u32,
    /// Refill period of the token bucket for pushes of payloads, for one token.
    pub payload_period: Duration,
    /// Members of a region that act as relays: they exchange messages with other regions.
    pub relays: usize,
    /// Time between two messages of a relay to another region.
    pub relay_period: Duration,
    /// Time between two summaries of a zone.
    pub summary_period: Duration,
    /// Time between two probes of absent hosts: dead members, listed hosts and seeds.
    pub absent_probe_period: Duration,
    /// Time without a message or new summary after which a region counts as unreachable.
    pub region_silence: Duration,
    /// Time without any message after which the local host considers itself isolated.
    pub isolation_limit: Duration,
    /// Time without an event after which the local view is stale.
    pub stall_limit: Duration,
    /// Time for which the tombstone of a dead member is kept.
    pub tombstone_ttl: Duration,
    /// Minimum time between two requests for a table.
    pub table_period: Duration,
    /// Maximum bytes of payload sections in one message.
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
