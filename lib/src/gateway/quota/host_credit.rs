//! Part of a quota's bucket that one host may spend without regard to its peers.
//!
//! Load pattern: a team's demand is spread over dozens of hosts, so that each host's part of the refill
//! is less than one request. A host admits a request, of any size, once its credit has reached a
//! threshold below the mean size of requests, and then owes the rest. Thresholds differ between hosts
//! and requests, so that the hosts do not all admit one at the same time: of all hosts with the same
//! credit, those that admit one spend what all have together. A large request is thus refused no more
//! often than a small one.

/// Step between two thresholds: the golden section spreads any number of them evenly.
const THRESHOLD_STEP: f64 = 0.618_033_988_749_895;

/// Weight of a request in the mean size.
const SIZE_WEIGHT: f64 = 1.0 / 16.0;

/// Units that one host may spend.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCredit {
    units: f64,
    /// Mean size of requests.
    mean_units: f64,
    /// Fraction of the mean size at which the next request is admitted.
    threshold: f64,
}

impl HostCredit {
    /// Builds an empty credit. `phase` differs between hosts.
    pub fn new(phase: f64) -> Self {
        Self { units: 0.0, mean_units: 0.0, threshold: phase.fract() }
    }

    /// Returns the units that may be spent; negative after a large request.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Returns the mean size of requests.
    pub fn mean_units(&self) -> f64 {
        self.mean_units
    }

    /// Counts a request in the mean size.
    pub fn observe_request(&mut self, units: u64) {
        let units = units as f64;
        self.mean_units = match self.mean_units == 0.0 {
            true => units,
            false => self.mean_units + (units - self.mean_units) * SIZE_WEIGHT,
        };
    }

    /// Sets the units.
    pub fn fill(&mut self, units: f64) {
        self.units = units;
    }

    /// Adds units. What exceeds `pooled` is dropped unless the host saves for a request that it
    /// refused, beside units that it keeps for others.
    pub fn refill(&mut self, units: f64, pooled: f64, is_saving: bool, kept: f64) {
        let saved = if is_saving { self.mean_units + kept } else { 0.0 };
        self.units = (self.units + units).min(pooled.max(saved));
    }

    /// Returns the units that are missing for the next request; none are if this is not positive.
    pub fn missing_units(&self, kept: f64) -> f64 {
        self.threshold * self.mean_units + kept - self.units
    }

    /// Counts an admitted request. A host owes at most `max_debt` for what it admits beyond its part.
    pub fn charge(&mut self, units: u64, max_debt: f64) {
        let is_within = self.missing_units(0.0) <= 0.0;
        let rest = self.units - units as f64;
        self.units = if is_within { rest } else { rest.max(self.units.min(-max_debt)) };
        self.threshold = (self.threshold + THRESHOLD_STEP).fract();
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, units: u64) {
        self.units += units as f64;
    }
}
