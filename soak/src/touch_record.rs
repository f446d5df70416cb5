//! When which host was disturbed. Rules with a time bound hold only for hosts in touch.

use std::time::Duration;

/// Time without disturbance after which a host is in touch.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What a disturbance concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbedPart {
    /// The store, and with it every host.
    Store,
    /// One host's way to the store.
    Link(usize),
    /// The process of one host: it was killed, started or stood still.
    Host(usize),
    /// The process of one host got SIGTERM and ended.
    Shutdown(usize),
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

/// Hosts that were cut off from replicas. They stay in touch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostCut {
    /// Numbers of the hosts.
    pub hosts: Vec<usize>,
    /// Begin.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// All disturbances of a run.
#[derive(Clone, Debug, Default)]
pub struct TouchRecord {
    disturbances: Vec<Disturbance>,
    cuts: Vec<HostCut>,
}

impl TouchRecord {
    /// Adds a disturbance.
    pub fn add(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    /// Adds a cut between hosts and replicas.
    pub fn add_cut(&mut self, cut: HostCut) {
        self.cuts.push(cut);
    }

    /// Returns the cuts between hosts and replicas.
    pub fn cuts(&self) -> &[HostCut] {
        &self.cuts
    }

    /// Returns whether a host was cut off from replicas at some time, or until a moment before.
    pub fn was_cut(&self, host: usize, from: Duration, to: Duration) -> bool {
        self.cuts
            .iter()
            .any(|cut| cut.hosts.contains(&host) && cut.from <= to && cut.to + CONTACT_TIME >= from)
    }

    /// Returns whether a host was in touch all the while.
    pub fn in_touch(&self, host: usize, from: Duration, to: Duration) -> bool {
        self.is_calm(from.saturating_sub(CONTACT_TIME), to, |part| match part {
            DisturbedPart::Store => true,
            DisturbedPart::Link(other)
            | DisturbedPart::Host(other)
            | DisturbedPart::Shutdown(other) => other == host,
        })
    }

    /// Returns whether a host's process was there and ran from the time of contact before `from` to
    /// `to`, planned shutdowns included.
    pub fn processes_ran(&self, host: usize, from: Duration, to: Duration) -> bool {
        self.is_calm(from.saturating_sub(CONTACT_TIME), to, |part| {
            part == DisturbedPart::Host(host)
        })
    }

    /// Returns whether a host's process ran on, also beyond a planned shutdown.
    pub fn ran_on(&self, host: usize, from: Duration, to: Duration) -> bool {
        self.is_calm(from.saturating_sub(CONTACT_TIME), to, |part| match part {
            DisturbedPart::Host(other) | DisturbedPart::Shutdown(other) => other == host,
            DisturbedPart::Store | DisturbedPart::Link(_) => false,
        })
    }

    /// Returns when the shutdown of a host began that was under way at a moment.
    pub fn shutdown_begin(&self, host: usize, at: Duration) -> Option<Duration> {
        self.disturbances
            .iter()
            .filter(|item| item.part == DisturbedPart::Shutdown(host))
            .find(|item| item.from <= at && item.to >= at)
            .map(|item| item.from)
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
