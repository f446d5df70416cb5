//! When a host that was told to stop ends.
//!
//! Load pattern: hosts are stopped in turn under full load. The balancer needs a moment to notice
//! that a host is not ready; until then the host serves what comes, and it ends as soon as nothing
//! runs afterwards, or shortly before it would be killed.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time that the balancer needs to send no new connections: two failed checks a second apart, and
/// half a second of margin.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the host ends in any case.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// What a leaving host does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Serve on; connections close after their next answer.
    Serve,
    /// Close idle connections and wait for the requests that run.
    Drain,
    /// End.
    Exit,
}

/// The course of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    requested_at: Timestamp,
    grace: Duration,
}

impl ShutdownPlan {
    /// Begins at a request to stop that allows some grace.
    pub fn new(requested_at: Timestamp, grace: Duration) -> Self {
        Self { requested_at, grace }
    }

    /// Returns the time left for requests that come in now, or `None` as long as all are served.
    pub fn time_left(&self, now: Timestamp) -> Option<Duration> {
        let elapsed = now.since(self.requested_at);
        (elapsed >= BALANCER_DELAY).then(|| self.grace.saturating_sub(elapsed + KILL_MARGIN))
    }

    /// Returns what to do while `running` requests are unanswered.
    pub fn step(&self, now: Timestamp, running: usize) -> ShutdownStep {
        let elapsed = now.since(self.requested_at);
        if elapsed + KILL_MARGIN >= self.grace {
            return ShutdownStep::Exit;
        }
        match (elapsed >= BALANCER_DELAY, running) {
            (false, _) => ShutdownStep::Serve,
            (true, 0) => ShutdownStep::Exit,
            (true, _) => ShutdownStep::Drain,
        }
    }
}
