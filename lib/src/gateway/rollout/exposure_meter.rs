//! This host's part of the requests that an unproven version may get.
//!
//! Load pattern: hundreds of hosts share one bound, hear of one another late, and are killed and start
//! again. Each host keeps the bound on its own arrivals alone, so that the sum holds whatever the hosts
//! know of one another: a process that starts anew has neither arrivals nor anything to send.

use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time::Duration;

use crate::gateway::usage_ledger::HostIncarnation;
use crate::ids::LogPosition;

/// Part of the allowed share that hosts use. The rest covers arrivals that callers give up before the
/// platform counts them.
const USED_SHARE: f64 = 0.9;

/// Part of the slack that all hosts together use. The rest covers the rounding of hosts' parts: with 295
/// hosts these deviate by 9 requests (standard deviation).
const USED_SLACK: f64 = 0.4;

/// Bounds of a roll-out by the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Share of a service's requests that an unproven version may get.
    pub share: f64,
    /// Requests that it may get in addition.
    pub slack: f64,
    /// Time from the 50th bad answer after which nothing more may be sent.
    pub stop_time: Duration,
}

impl Default for RolloutBounds {
    /// The bounds of platforms that state none.
    fn default() -> Self {
        Self { share: 0.1, slack: 50.0, stop_time: Duration::from_secs(5) }
    }
}

impl RolloutBounds {
    /// Returns the share that hosts may use.
    pub fn used_share(&self) -> f64 {
        (self.share * USED_SHARE).clamp(0.0, 1.0)
    }

    /// Returns the requests that one of so many hosts may send in addition.
    pub fn used_slack(&self, hosts: u32) -> f64 {
        self.slack * USED_SLACK / f64::from(hosts.max(1))
    }
}

/// Counts of one host since it learned of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExposureMeter {
    arrivals: u64,
    sent: u64,
    /// Fraction of a request by which this host's part is rounded up; differs between hosts, so that
    /// hosts with few requests send their parts together.
    rounding: f64,
    credit: f64,
    /// Requests and attempts of the current step while the new version was on.
    step_arrivals: u64,
    step_sent: u64,
}

impl ExposureMeter {
    /// Creates the meter of a process for an order.
    pub fn new(host: &HostIncarnation, order: LogPosition) -> Self {
        let mut hasher = DefaultHasher::new();
        (host.0.as_str(), host.1.0, order.era.0, order.offset.0).hash(&mut hasher);
        let rounding = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        Self { rounding, ..Self::default() }
    }

    /// Grants requests beyond the share. Only a process that saw the order arrive gets them, once.
    pub fn grant(&mut self, credit: f64) {
        self.credit = credit;
    }

    /// Begins the next step.
    pub fn on_step(&mut self) {
        (self.step_arrivals, self.step_sent) = (0, 0);
    }

    /// Counts a request for the service, and whether the new version was on.
    pub fn on_arrival(&mut self, is_on: bool) {
        self.arrivals += 1;
        self.step_arrivals += u64::from(is_on);
    }

    /// Counts an attempt at the new version.
    pub fn on_sent(&mut self) {
        self.sent += 1;
        self.step_sent += 1;
    }

    /// Returns the numbers of requests and of attempts at the new version.
    pub fn traffic(&self) -> (u64, u64) {
        (self.arrivals, self.sent)
    }

    /// Returns whether one more attempt keeps to the pace of the step. A draw for each request would send
    /// too little where a host has a few requests in all, since the bound would thin it once more.
    pub fn is_due(&self, share: f64) -> bool {
        (self.step_sent + 1) as f64 <= self.step_arrivals as f64 * share + self.rounding
    }

    /// Returns whether one more attempt keeps within a share of the requests.
    pub fn may_send(&self, share: f64) -> bool {
        let allowed = self.arrivals as f64 * share + self.rounding + self.credit;
        (self.sent + 1) as f64 <= allowed
    }
}
