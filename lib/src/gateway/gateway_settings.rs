//! Settings of a gateway host, as its platform's crate hands them over.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::duty_turn::DutyBounds;
use crate::gateway::quota_limiter::QuotaBounds;
use crate::gateway::retry_limiter::RetryBounds;
use crate::ids::HostId;
use crate::ids::ZoneName;

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Identity of the host.
    pub host: HostId,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time, so that nothing can have been spent.
    pub first_start: bool,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address at which the balancer asks whether the host is ready.
    pub ready: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address for summaries of peers (UDP).
    pub summaries: SocketAddr,
    /// Time between a request to stop and the kill.
    pub grace: Duration,
    /// Retry budget.
    pub retries: RetryBounds,
    /// How quotas are counted.
    pub quotas: QuotaBounds,
    /// Bounds of a turn at the duties.
    pub duty: DutyBounds,
    /// Whether usage is reported.
    pub reports_usage: bool,
    /// Whether servers are ordered.
    pub orders_servers: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a window's end by which its report is due.
    pub usage_late: Duration,
}
