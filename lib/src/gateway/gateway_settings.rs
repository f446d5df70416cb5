//! Settings of a gateway host. The platform's crate parses them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::duty_lease::DutyTimings;
use crate::gateway::quota::quota_limiter::QuotaBounds;
use crate::gateway::retry_limiter::RetryBounds;
use crate::gateway::rollout::exposure_meter::RolloutBounds;
use crate::ids::HostId;
use crate::ids::ZoneName;

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time, so that no quota can have been spent.
    pub first_start: bool,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address that receives the peers' summaries over UDP, and their attempts over TCP.
    pub summaries: SocketAddr,
    /// Grace period between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retry budget.
    pub retries: RetryBounds,
    /// Quota window and tolerances.
    pub quotas: QuotaBounds,
    /// Bounds of the roll-out of a version.
    pub rollouts: RolloutBounds,
    /// Timings of the lease on the duties.
    pub duty: DutyTimings,
    /// Whether this host reports usage while it holds the duties.
    pub reports_usage: bool,
    /// Whether this host orders servers while it holds the duties.
    pub orders_servers: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a window's end by which its report is due.
    pub usage_report_deadline: Duration,
}
