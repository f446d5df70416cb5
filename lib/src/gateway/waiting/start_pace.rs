//! Measures how often requests of a host start, to predict how long others wait.
//!
//! Load pattern: a service that is full starts a request only when another one ends, so that the
//! recent starts of a host are its part of the service's throughput.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time over which starts are averaged: several starts of a host with a few requests a second, and
/// short beside the time in which the load changes.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Minimum averaged number of starts from which a pace is derived; fewer say little.
const MIN_STARTS: f64 = 1.5;

/// Shortest time for which a pace is averaged, so that two starts at once are no high pace.
const MIN_AVERAGED_TIME: Duration = Duration::from_millis(250);

/// Exponentially averaged rate of starts.
#[derive(Clone, Copy, Debug)]
pub struct StartPace {
    /// Starts, each weighted by its age.
    starts: f64,
    weighed_at: Timestamp,
    measured_since: Timestamp,
}

impl StartPace {
    /// Builds a pace that is measured from now on.
    pub fn new(now: Timestamp) -> Self {
        Self { starts: 0.0, weighed_at: now, measured_since: now }
    }

    /// Records that a request started.
    pub fn on_started(&mut self, now: Timestamp) {
        self.starts = self.weighed(now) + 1.0;
        self.weighed_at = now;
    }

    /// Returns the time until `count` further requests have started; `None` if too few started
    /// recently.
    pub fn time_until(&self, now: Timestamp, count: usize) -> Option<Duration> {
        let starts = self.weighed(now);
        if starts < MIN_STARTS {
            return None;
        }
        let measured = now.since(self.measured_since).max(MIN_AVERAGED_TIME).as_secs_f64();
        let average = AVERAGING_TIME.as_secs_f64();
        // A measurement that began recently has not collected the full weight yet.
        let weight = average * (1.0 - (-measured / average).exp());
        Some(Duration::from_secs_f64(count as f64 * weight / starts))
    }

    /// Returns whether nothing started recently.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        now.since(self.weighed_at) > AVERAGING_TIME * 8
    }

    fn weighed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.weighed_at).as_secs_f64();
        self.starts * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
