//! Seeded schedules of the platform's and the hosts' failures, alone, together or twice.

use std::ops::Range;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Kinds of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Every call to the log fails; an append may be refused or of unknown fate, without effect.
    LogDown,
    /// Calls to the log take seconds.
    LogSlow,
    /// Appends take effect and their replies are lost.
    RepliesLost,
    /// Appends are reported as of unknown fate and take effect much later.
    AppendsDelayed,
    /// The log keeps records for a short time only.
    ShortRetention,
    /// The host does nothing and does not know it.
    HostPaused(usize),
    /// The process dies; a new one starts at the end of the fault.
    HostKilled(usize),
    /// The host cannot reach the log.
    HostCutOff(usize),
}

/// One failure in a time range, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind.
    pub kind: FaultKind,
    /// When it holds.
    pub during: Range<u64>,
}

/// Failures of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSchedule {
    /// Failures in no order.
    pub faults: Vec<Fault>,
}

impl FaultSchedule {
    /// Draws up to six failures that start before `horizon_us`, each up to a third of it long.
    ///
    /// Half of them share their start with the failure before, so that failures come together.
    pub fn draw(rng: &mut ChaCha8Rng, hosts: usize, horizon_us: u64) -> Self {
        let mut faults: Vec<Fault> = Vec::new();
        for _ in 0..rng.random_range(1..=6) {
            let start = match faults.last() {
                Some(previous) if rng.random_bool(0.5) => previous.during.start,
                _ => rng.random_range(0..horizon_us),
            };
            let length = rng.random_range(horizon_us / 200..horizon_us / 3);
            let kind = draw_kind(rng, hosts);
            faults.push(Fault { kind, during: start..start + length });
        }
        Self { faults }
    }

    /// Returns whether a failure of the kind holds at a time.
    pub fn is_active(&self, kind: FaultKind, at_us: u64) -> bool {
        self.faults.iter().any(|fault| fault.kind == kind && fault.during.contains(&at_us))
    }

    /// Returns the end of a pause of the host that holds at a time.
    pub fn pause_end(&self, host: usize, at_us: u64) -> Option<u64> {
        let pauses = self.faults.iter().filter(|fault| fault.kind == FaultKind::HostPaused(host));
        pauses.filter(|fault| fault.during.contains(&at_us)).map(|fault| fault.during.end).max()
    }
}

fn draw_kind(rng: &mut ChaCha8Rng, hosts: usize) -> FaultKind {
    let host = rng.random_range(0..hosts);
    match rng.random_range(0..8) {
        0 => FaultKind::LogDown,
        1 => FaultKind::LogSlow,
        2 => FaultKind::RepliesLost,
        3 => FaultKind::AppendsDelayed,
        4 => FaultKind::ShortRetention,
        5 => FaultKind::HostPaused(host),
        6 => FaultKind::HostKilled(host),
        _ => FaultKind::HostCutOff(host),
    }
}
