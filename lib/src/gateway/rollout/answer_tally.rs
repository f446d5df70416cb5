//! Counts of answers by route and by side of a roll-out: the new version, and the versions that served
//! before.
//!
//! Load pattern: hundreds of hosts see a few answers each, on routes whose times differ a hundredfold,
//! while hosts are killed and start again. Each host states all its counts since the order, so that a
//! lost or late report costs nothing but time, and times are counted in classes, so that a report has a
//! constant size.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::protos::gateway::RouteAnswers;
use crate::protos::gateway::VersionAnswers;

/// Number of classes of answer times. Each is longer than the one before by a factor of the square
/// root of 2; the last one has no upper bound.
pub const TIME_CLASSES: usize = 24;

/// Classes by which a time doubles.
pub const CLASSES_PER_DOUBLING: usize = 2;

/// Upper bound of the first class in milliseconds. The bound of the last but one is 8.2 s.
const FIRST_CLASS_MS: f64 = 4.0;

/// Maximum number of routes of a service that are counted apart; the others count together.
const MAX_ROUTES: usize = 8;

/// Maximum number of routes in one report. If there are more, each report tells others of them.
const MAX_TOLD_ROUTES: usize = 4;

/// A route, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// The routes that are not counted apart.
const OTHER_ROUTES: RouteKey = RouteKey(0);

impl RouteKey {
    /// Returns the key of a route.
    pub fn of(name: &str) -> Self {
        let mut first = [0; 4];
        first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..4]);
        Self(u32::from_le_bytes(first).max(1))
    }
}

/// Side of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionSide {
    /// The version that the order names.
    New,
    /// All other versions of the service.
    Old,
}

impl VersionSide {
    /// Returns the label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Old => "old",
        }
    }
}

/// How an attempt ended, as evidence of its server's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The answer, or its first event, came after this time.
    Answered(Duration),
    /// The server answered with an error of its own, or not in time.
    Failed,
    /// The connection broke. A server that is killed loses all its answers at once.
    Lost,
}

impl AnswerOutcome {
    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Answers of one side on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// Errors of the servers.
    pub failed: u32,
    /// Broken connections.
    pub lost: u32,
    /// Answers by their time.
    pub times: [u32; TIME_CLASSES],
}

impl SideCounts {
    /// Returns the number of answers with a time.
    pub fn answered(&self) -> u64 {
        self.times.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of attempts that ended.
    pub fn total(&self) -> u64 {
        self.answered() + self.bad()
    }

    /// Returns the number of attempts without an answer.
    pub fn bad(&self) -> u64 {
        u64::from(self.failed) + u64::from(self.lost)
    }

    /// Returns the number of answers in a class or a later one.
    pub fn at_least(&self, class: usize) -> u64 {
        self.times.iter().skip(class).map(|count| u64::from(*count)).sum()
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count = count.saturating_add(more);
        }
    }

    /// Returns what was counted since an earlier state.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut counts = *self;
        counts.failed = counts.failed.saturating_sub(earlier.failed);
        counts.lost = counts.lost.saturating_sub(earlier.lost);
        for (count, known) in counts.times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(known);
        }
        counts
    }

    fn record(&mut self, outcome: AnswerOutcome) {
        let count = match outcome {
            AnswerOutcome::Answered(time) => &mut self.times[time_class(time)],
            AnswerOutcome::Failed => &mut self.failed,
            AnswerOutcome::Lost => &mut self.lost,
        };
        *count = count.saturating_add(1);
    }

    fn encode(&self) -> VersionAnswers {
        VersionAnswers { failed: self.failed, lost: self.lost, times: encode_times(&self.times) }
    }

    fn decode(answers: Option<&VersionAnswers>) -> Self {
        let mut counts = Self::default();
        let Some(answers) = answers else { return counts };
        (counts.failed, counts.lost) = (answers.failed, answers.lost);
        counts.times = decode_times(&answers.times);
        counts
    }
}

fn encode_times(times: &[u32; TIME_CLASSES]) -> Vec<u32> {
    let used = times.iter().rposition(|count| *count > 0).map_or(0, |last| last + 1);
    times.iter().take(used).copied().collect()
}

fn decode_times(told: &[u32]) -> [u32; TIME_CLASSES] {
    let mut times = [0; TIME_CLASSES];
    for (count, told) in times.iter_mut().zip(told) {
        *count = *told;
    }
    times
}

/// Returns the class of a time.
pub fn time_class(time: Duration) -> usize {
    let ratio = (time.as_secs_f64() * 1_000.0 / FIRST_CLASS_MS).max(f64::MIN_POSITIVE);
    let class = (ratio.log2() * CLASSES_PER_DOUBLING as f64).floor() + 1.0;
    (class.max(0.0) as usize).min(TIME_CLASSES - 1)
}

/// Answers of both sides on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Answers of the new version.
    pub new: SideCounts,
    /// Answers of the versions that served before.
    pub old: SideCounts,
    /// Attempts at the new version without an answer yet, by the time since they began. Slow answers are
    /// known before they come.
    pub waiting: [u32; TIME_CLASSES],
}

impl RouteCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
        for (count, more) in self.waiting.iter_mut().zip(other.waiting) {
            *count = count.saturating_add(more);
        }
    }
}

/// Answers of a service by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerTally {
    routes: BTreeMap<RouteKey, RouteCounts>,
}

impl AnswerTally {
    /// Counts the end of an attempt.
    pub fn record(&mut self, route: RouteKey, side: VersionSide, outcome: AnswerOutcome) {
        let counts = self.route_mut(route);
        match side {
            VersionSide::New => counts.new.record(outcome),
            VersionSide::Old => counts.old.record(outcome),
        }
    }

    /// Returns the counts of each route.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &RouteCounts)> {
        self.routes.iter().map(|(key, counts)| (*key, counts))
    }

    /// Returns the counts of one route.
    pub fn route(&self, key: RouteKey) -> RouteCounts {
        self.routes.get(&key).copied().unwrap_or_default()
    }

    /// Returns the counts of all routes together.
    pub fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        self.routes.values().for_each(|counts| total.add(counts));
        total
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        for (key, counts) in &other.routes {
            self.route_mut(*key).add(counts);
        }
    }

    /// Counts an attempt at the new version that has waited for a time.
    pub fn record_waiting(&mut self, route: RouteKey, time: Duration) {
        self.route_mut(route).waiting[time_class(time)] += 1;
    }

    /// Sets the counts of a route.
    pub fn set(&mut self, key: RouteKey, counts: RouteCounts) {
        *self.route_mut(key) = counts;
    }

    /// Encodes the counts for report number `sequence`.
    pub fn encode(&self, sequence: u64) -> Vec<RouteAnswers> {
        let parts = self.routes.len().div_ceil(MAX_TOLD_ROUTES).max(1);
        let part = usize::try_from(sequence % parts as u64).unwrap_or(0);
        let told = self.routes.iter().skip(part * MAX_TOLD_ROUTES).take(MAX_TOLD_ROUTES);
        told.map(|(key, counts)| RouteAnswers {
            route: key.0,
            new: Some(counts.new.encode()),
            old: Some(counts.old.encode()),
            waiting: encode_times(&counts.waiting),
        })
        .collect()
    }

    /// Replaces the counts of the routes that a report names.
    pub fn apply(&mut self, answers: &[RouteAnswers]) {
        for told in answers.iter().take(MAX_TOLD_ROUTES) {
            let counts = RouteCounts {
                new: SideCounts::decode(told.new.as_ref()),
                old: SideCounts::decode(told.old.as_ref()),
                waiting: decode_times(&told.waiting),
            };
            self.set(RouteKey(told.route), counts);
        }
    }

    fn route_mut(&mut self, key: RouteKey) -> &mut RouteCounts {
        // One more for the others.
        let is_apart = self.routes.contains_key(&key) || self.routes.len() < MAX_ROUTES;
        self.routes.entry(if is_apart { key } else { OTHER_ROUTES }).or_default()
    }
}

/// What one host reported.
#[derive(Clone, Debug, Default)]
struct HostCounts {
    incarnation: Incarnation,
    arrivals: u64,
    sent: u64,
    answers: AnswerTally,
}

/// Counts of all hosts, including what former processes of a host reported last.
#[derive(Clone, Debug, Default)]
pub struct FleetTally {
    hosts: BTreeMap<HostId, HostCounts>,
    gone: HostCounts,
}

impl FleetTally {
    /// Merges a host's report.
    pub fn on_report(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        (arrivals, sent): (u64, u64),
        answers: &[RouteAnswers],
    ) {
        let known = self.hosts.entry(host.clone()).or_default();
        if incarnation < known.incarnation {
            return;
        }
        if incarnation > known.incarnation {
            let former =
                std::mem::replace(known, HostCounts { incarnation, ..HostCounts::default() });
            let mut answers = former.answers;
            // What it waited for is lost.
            answers.routes.values_mut().for_each(|counts| counts.waiting = [0; TIME_CLASSES]);
            self.gone.arrivals += former.arrivals;
            self.gone.sent += former.sent;
            self.gone.answers.add(&answers);
        }
        known.arrivals = known.arrivals.max(arrivals);
        known.sent = known.sent.max(sent);
        known.answers.apply(answers);
    }

    /// Returns the answers that all hosts reported.
    pub fn answers(&self) -> AnswerTally {
        let mut total = self.gone.answers.clone();
        self.hosts.values().for_each(|host| total.add(&host.answers));
        total
    }

    /// Returns how many requests arrived and how many attempts were sent to the new version.
    pub fn traffic(&self) -> (u64, u64) {
        let hosts = self.hosts.values().chain([&self.gone]);
        hosts.fold((0, 0), |(arrivals, sent), host| (arrivals + host.arrivals, sent + host.sent))
    }
}
