//! When which host was disturbed. Rules with a time bound hold only for hosts in touch.

use std::time::Duration;

/// Time without disturbance after which a host is in touch.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What a disturbance concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbedPart {
    /// The store, and with it every host.
    Store,
    /// One host, or its way to the store.
    Host(usize),
}

/// A span of time in which a part was disturbed, counted from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Disturbed part.
    pub part: DisturbedPart,
    /// Begin.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// All disturbances of a run.
#[derive(Clone, Debug, Default)]
pub struct TouchRecord {
    disturbances: Vec<Disturbance>,
}

impl TouchRecord {
    /// Adds a disturbance.
    pub fn add(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    /// Returns whether a host was in touch all the while.
    pub fn in_touch(&self, host: usize, from: Duration, to: Duration) -> bool {
        self.is_calm(from.saturating_sub(CONTACT_TIME), to, |part| {
            part == DisturbedPart::Store || part == DisturbedPart::Host(host)
        })
    }

    fn is_calm(
        &self,
        from: Duration,
        to: Duration,
        concerns: impl Fn(DisturbedPart) -> bool,
    ) -> bool {
        !self
            .disturbances
            .iter()
            .any(|item| concerns(item.part) && item.from <= to && item.to >= from)
    }
}
