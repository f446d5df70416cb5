//! Schedules the graceful shutdown of a host.
//!
//! Load pattern: hosts are stopped one after the other under full load. The load balancer needs a
//! moment to notice that a host is not ready. Until then the host serves new requests. Afterwards
//! it exits as soon as no request is running and every response is written to its caller's socket,
//! or shortly before it would be killed.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time until the load balancer sends no new connections: two failed checks a second apart, and
/// half a second of margin.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the host exits in any case.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit by which a request must end, so that its answer is written.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// What a host does during shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Keep serving; connections close after their next response.
    Serve,
    /// Close idle connections and wait for running requests.
    Drain,
    /// Exit.
    Exit,
}

/// What a host has not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainLoad {
    /// Requests without a response.
    pub requests: usize,
    /// Open connections of callers. While the host drains, a connection closes once its last
    /// response is written.
    pub connections: usize,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    requested_at: Timestamp,
    grace: Duration,
}

impl ShutdownPlan {
    /// Builds the plan of a shutdown that was requested with a grace period.
    pub fn new(requested_at: Timestamp, grace: Duration) -> Self {
        Self { requested_at, grace }
    }

    /// Returns the time within which new requests must end, or `None` while all of them are served.
    pub fn time_left(&self, now: Timestamp) -> Option<Duration> {
        let elapsed = now.since(self.requested_at);
        let margin = KILL_MARGIN + ANSWER_MARGIN;
        (elapsed >= BALANCER_DELAY).then(|| self.grace.saturating_sub(elapsed + margin))
    }

    /// Returns what to do with what is not finished.
    pub fn step(&self, now: Timestamp, load: DrainLoad) -> ShutdownStep {
        let elapsed = now.since(self.requested_at);
        if elapsed + KILL_MARGIN >= self.grace {
            return ShutdownStep::Exit;
        }
        if elapsed < BALANCER_DELAY {
            return ShutdownStep::Serve;
        }
        match load {
            DrainLoad { requests: 0, connections: 0 } => ShutdownStep::Exit,
            DrainLoad { .. } => ShutdownStep::Drain,
        }
    }
}
