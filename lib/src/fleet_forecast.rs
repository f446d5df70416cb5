//! Forecasts the load of a service from its recent load.

use std::collections::VecDeque;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// Time over which the slope is taken.
const SLOPE_WINDOW: Duration = Duration::from_secs(600);
/// Samples whose largest is the load now.
const RECENT_SAMPLES: usize = 3;
/// Most samples that are kept.
const MAX_SAMPLES: usize = 600;

/// Recent load of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadForecast {
    samples: VecDeque<(Timestamp, u64)>,
}

impl LoadForecast {
    /// Adds a measured load, in thousandths of a request per second.
    pub fn add_sample(&mut self, now: Timestamp, rate_permille: u64) {
        self.samples.push_back((now, rate_permille));
        let is_old = |at: Timestamp| now.since(at) > SLOPE_WINDOW;
        while self.samples.len() > MAX_SAMPLES || self.samples.front().is_some_and(|s| is_old(s.0))
        {
            self.samples.pop_front();
        }
    }

    /// Returns the load to expect after `lead`, in thousandths of a request per second.
    ///
    /// A rising load is drawn on in a straight line; a falling one is taken to stay.
    pub fn expect_after(&self, lead: Duration) -> u64 {
        let recent = self.samples.iter().rev().take(RECENT_SAMPLES).map(|sample| sample.1).max();
        let rise = self.slope_per_s().max(0.0) * lead.as_secs_f64();
        recent.unwrap_or(0) + rise as u64
    }

    /// Returns the least-squares slope in thousandths of a request per second, each second.
    fn slope_per_s(&self) -> f64 {
        let Some(&(first, _)) = self.samples.front() else { return 0.0 };
        let count = self.samples.len() as f64;
        let points = || self.samples.iter().map(|s| (s.0.since(first).as_secs_f64(), s.1 as f64));
        let mean_time = points().map(|(time, _)| time).sum::<f64>() / count;
        let mean_rate = points().map(|(_, rate)| rate).sum::<f64>() / count;
        let spread: f64 = points().map(|(time, _)| (time - mean_time).powi(2)).sum();
        let product: f64 =
            points().map(|(time, rate)| (time - mean_time) * (rate - mean_rate)).sum();
        if spread > 0.0 { product / spread } else { 0.0 }
    }
}
