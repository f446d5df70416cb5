//! Seeded random schedules of failures of the log and the hosts, which may overlap and repeat.

use std::ops::Range;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Kinds of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Every call to the log fails. An append has no effect, and its result is a refusal or an
    /// unknown outcome.
    LogDown,
    /// Calls to the log take seconds.
    LogSlow,
    /// Appends take effect, but their replies are lost.
    RepliesLost,
    /// Appends return an unknown outcome and take effect much later.
    AppendsDelayed,
    /// The log retains records for a short time only.
    ShortRetention,
    /// The host's process is suspended and does not notice it.
    HostPaused(usize),
    /// The process dies; a new one starts at the end of the fault.
    HostKilled(usize),
    /// The host cannot reach the log.
    HostCutOff(usize),
}

/// One failure and the time during which it is active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind.
    pub kind: FaultKind,
    /// Time range, in microseconds.
    pub during: Range<u64>,
}

/// Failures of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSchedule {
    /// Failures, in no particular order.
    pub faults: Vec<Fault>,
}

impl FaultSchedule {
    /// Draws one to six random failures that start before `horizon_us` and last less than a third
    /// of it.
    ///
    /// Each starts with probability 0.5 at the same time as the previous one, so that failures
    /// coincide.
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

    /// Returns whether a failure of the kind is active at a time, in microseconds.
    pub fn is_active(&self, kind: FaultKind, at_us: u64) -> bool {
        self.faults.iter().any(|fault| fault.kind == kind && fault.during.contains(&at_us))
    }

    /// Returns the end of the host's pause that is active at a time, both in microseconds.
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
