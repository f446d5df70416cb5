//! Measures how long the servers take to begin an answer, and how much time callers state, by route.
//!
//! Load pattern: the time to the first event depends on the service, on the prompts of a route and on
//! how full the servers are. A request may wait only as long as leaves this time before its goal. A
//! caller that was told to come back states less time than the callers of its route that are new.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// Weight of a new measurement: a dozen answers replace an old average.
const NEW_WEIGHT: f64 = 1.0 / 12.0;

/// Assumed time to begin an answer as a fraction of the goal, until one was measured.
const UNKNOWN_ANSWER_FRACTION: f64 = 0.25;

/// Time after which the longest stated time is forgotten, unless it was stated again.
const TIMEOUT_MEMORY: Duration = Duration::from_secs(60);

/// Minimum by which a returning caller's time is shorter: the shortest delay that callers are told is
/// longer.
const MIN_SPENT: Duration = Duration::from_millis(40);

/// Maximum number of routes that are measured. The others use the assumed time.
const MAX_ROUTES: usize = 512;

#[derive(Clone, Copy, Debug, Default)]
struct RouteTime {
    answer_s: Option<f64>,
    /// Longest time stated in this period and in the last one.
    longest: [Duration; 2],
    period: u64,
}

/// Whether a caller was told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerVisit {
    /// It comes for the first time, as far as its time tells.
    First,
    /// It was refused before.
    Return,
}

/// Times of every route with traffic.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    routes: BTreeMap<String, RouteTime>,
}

impl RouteTimes {
    fn entry(&mut self, route: &str) -> Option<&mut RouteTime> {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            self.routes.insert(route.to_owned(), RouteTime::default());
        }
        self.routes.get_mut(route)
    }

    /// Records the time from the first attempt of a request to its first event or its whole answer.
    pub fn on_answer(&mut self, route: &str, elapsed: Duration) {
        let Some(times) = self.entry(route) else { return };
        let elapsed = elapsed.as_secs_f64();
        let average = times.answer_s.unwrap_or(elapsed);
        times.answer_s = Some(average + (elapsed - average) * NEW_WEIGHT);
    }

    /// Returns the time that a server is expected to take to begin an answer.
    pub fn expected_answer(&self, route: &str, goal: Duration) -> Duration {
        let measured = self.routes.get(route).and_then(|times| times.answer_s);
        measured.map_or(goal.mul_f64(UNKNOWN_ANSWER_FRACTION), Duration::from_secs_f64)
    }

    /// Records the time that a caller states, and returns whether it was refused before.
    pub fn on_stated_time(&mut self, now: Timestamp, route: &str, stated: Duration) -> CallerVisit {
        let Some(times) = self.entry(route) else { return CallerVisit::First };
        let period = now.as_millis() / TIMEOUT_MEMORY.as_millis() as u64;
        if period != times.period {
            let last = if period == times.period + 1 { times.longest[0] } else { Duration::ZERO };
            (times.longest, times.period) = ([Duration::ZERO, last], period);
        }
        times.longest[0] = times.longest[0].max(stated);
        let longest = times.longest[0].max(times.longest[1]);
        match stated + MIN_SPENT <= longest {
            true => CallerVisit::Return,
            false => CallerVisit::First,
        }
    }
}
