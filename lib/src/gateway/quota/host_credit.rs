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

/// Mean size of recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanSize {
    units: f64,
}

impl MeanSize {
    /// Returns the mean in units; zero before the first request.
    pub fn units(self) -> f64 {
        self.units
    }

    /// Counts a request.
    pub fn observe(&mut self, units: u64) {
        let units = units as f64;
        self.units = match self.units == 0.0 {
            true => units,
            false => self.units + (units - self.units) * SIZE_WEIGHT,
        };
    }
}

/// Units that one host may spend for one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCredit {
    units: f64,
    size: MeanSize,
    /// Fraction of the mean size at which the next request is admitted.
    threshold: f64,
}

impl HostCredit {
    /// Builds an empty credit. `phase` differs between hosts.
    pub fn new(phase: f64) -> Self {
        Self { threshold: phase.fract(), ..Self::default() }
    }

    /// Returns the units that may be spent; negative after a large request.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Counts a request in the mean size.
    pub fn observe_request(&mut self, units: u64) {
        self.size.observe(units);
    }

    /// Sets the units.
    pub fn fill(&mut self, units: f64) {
        self.units = units;
    }

    /// Adds units. What exceeds `pooled` is dropped unless the host saves for a request that it
    /// refused.
    pub fn refill(&mut self, units: f64, pooled: f64, is_saving: bool) {
        let saved = if is_saving { self.size.units() } else { 0.0 };
        self.units = (self.units + units).min(pooled.max(saved));
    }

    /// Returns the units that are missing for the next request; none are if this is not positive.
    pub fn missing_units(&self) -> f64 {
        self.threshold * self.size.units() - self.units
    }

    /// Counts an admitted request. A host owes at most `max_debt` for what it admits beyond its part.
    pub fn charge(&mut self, units: f64, max_debt: f64) {
        let is_within = self.missing_units() <= 0.0;
        let rest = self.units - units;
        self.units = if is_within { rest } else { rest.max(self.units.min(-max_debt)) };
        self.threshold = (self.threshold + THRESHOLD_STEP).fract();
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, units: u64) {
        self.units += units as f64;
    }
}
