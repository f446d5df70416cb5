//! Judges a new version by its answers, against the versions that serve beside it at the same time.
//!
//! Load pattern: a bad version fails, or is several times slower, in a part of its answers, on one route
//! only, under load, or after a while. A good one has few answers, empty prefix caches at first, and loses
//! servers as the others do. Answers are compared route by route, since the beginning and lately. What is
//! compared is the probability of so many bad answers from a version that is twice as bad as the old ones
//! and a bit more: a cold cache less than doubles the time to a first event.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::gateway::rollout::answer_tally::AnswerTally;
use crate::gateway::rollout::answer_tally::CLASSES_PER_DOUBLING;
use crate::gateway::rollout::answer_tally::RouteCounts;
use crate::gateway::rollout::answer_tally::RouteKey;
use crate::gateway::rollout::answer_tally::SideCounts;
use crate::gateway::rollout::answer_tally::TIME_CLASSES;
use crate::timestamp::Timestamp;

/// Interval of the comparisons, and of the moments in which lost answers are capped.
pub const JUDGE_PERIOD: Duration = Duration::from_millis(500);

/// Lost answers of a side and route that count in one interval: a server that is killed loses all of
/// its answers at once, whatever its version.
const MAX_LOST_PER_PERIOD: u32 = 4;

/// Intervals that count as lately. Shorter ones have too few answers in fleets of a few requests a second.
const RECENT_PERIODS: usize = 5;

/// Logarithm of the probability below which a version is bad: 1 in 100,000, since a roll-out has
/// hundreds of comparisons.
const BAD_SCORE: f64 = 11.5;

/// The same above which a version is not proven good: 1 in 90.
const DOUBTFUL_SCORE: f64 = 4.5;

/// Failures, or slow answers, from which on a version can be bad.
const MIN_BAD_ANSWERS: u64 = 4;

/// Share of failures that a good version may have beyond twice those of the old ones.
const FAILURE_TOLERANCE: f64 = 0.005;

/// Share of answers longer than twice a time that a good version may have beyond those of the old ones
/// that are longer than that time, as a factor and an addition.
const SLOW_FACTOR: f64 = 1.25;
const SLOW_TOLERANCE: f64 = 0.03;

/// Answers of the old versions on a route from which on their times are compared.
const MIN_OLD_ANSWERS: u64 = 20;

/// Answers of the new version that prove a route, where there are enough; and the share of the old
/// versions' answers that is enough on routes with few requests.
const ROUTE_ANSWERS: u64 = 12;
const ROUTE_SHARE: f64 = 0.01;

/// The same for all routes together, and the least number.
const FLEET_ANSWERS: u64 = 24;
const FLEET_SHARE: f64 = 0.03;
const MIN_FLEET_ANSWERS: u64 = 5;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadSign {
    /// More of its answers are failures.
    Failing,
    /// More of its answers are slow.
    Slow,
}

/// What the answers show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Negative logarithm of the probability that a good version shows what was seen.
    score: f64,
    /// The strongest sign against the version.
    pub sign: Option<(BadSign, RouteKey)>,
    /// Answers of the new version, and of the old ones.
    pub answers: (u64, u64),
    /// Answers without success of the new version, and of the old ones.
    pub failures: (u64, u64),
    /// Routes with too few answers of the new version.
    pub unproven: usize,
}

impl Evidence {
    /// Returns whether the version is bad.
    pub fn is_bad(&self) -> bool {
        self.score >= BAD_SCORE
    }

    /// Returns whether the version is proven good.
    pub fn is_good(&self) -> bool {
        self.score < DOUBTFUL_SCORE && self.unproven == 0 && self.has_answers()
    }

    /// Returns whether there are enough answers of all routes together.
    pub fn has_answers(&self) -> bool {
        let (new, old) = self.answers;
        let enough = (old as f64 * FLEET_SHARE) as u64;
        new >= enough.clamp(MIN_FLEET_ANSWERS, FLEET_ANSWERS)
    }

    fn raise(&mut self, score: f64, sign: BadSign, route: RouteKey) {
        if score > self.score {
            (self.score, self.sign) = (score, Some((sign, route)));
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, route) = match self.sign {
            Some((sign, route)) => (format!("{sign:?}"), route.0),
            None => ("None".to_owned(), 0),
        };
        write!(
            formatter,
            "new={} old={} new_failed={} old_failed={} unproven_routes={} score={:.1} sign={sign} \
             route={route:08x}",
            self.answers.0,
            self.answers.1,
            self.failures.0,
            self.failures.1,
            self.unproven,
            self.score,
        )
    }
}

/// Lost answers of one side on a route.
#[derive(Clone, Copy, Debug, Default)]
struct LostCap {
    seen: u32,
    counted: u32,
}

impl LostCap {
    fn on_total(&mut self, lost: u32) -> u32 {
        let new = lost.saturating_sub(self.seen);
        self.counted += new.min(MAX_LOST_PER_PERIOD);
        self.seen = self.seen.max(lost);
        self.counted
    }
}

/// Compares the answers of all hosts from time to time.
#[derive(Clone, Debug, Default)]
pub struct EvidenceJudge {
    caps: BTreeMap<RouteKey, (LostCap, LostCap)>,
    history: VecDeque<AnswerTally>,
    judged_at: Option<Timestamp>,
    evidence: Evidence,
}

impl EvidenceJudge {
    /// Returns what the last comparison showed.
    pub fn evidence(&self) -> Evidence {
        self.evidence
    }

    /// Returns whether the next comparison is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.judged_at.is_none_or(|at| now.since(at) >= JUDGE_PERIOD)
    }

    /// Compares all answers since the order.
    pub fn judge(&mut self, now: Timestamp, reported: &AnswerTally) -> Evidence {
        self.judged_at = Some(now);
        let mut total = AnswerTally::default();
        for (key, counts) in reported.routes() {
            let mut counts = *counts;
            let (new, old) = self.caps.entry(key).or_default();
            counts.new.lost = new.on_total(counts.new.lost);
            counts.old.lost = old.on_total(counts.old.lost);
            total.set(key, counts);
        }
        let mut evidence = Evidence::default();
        judge_tally(&mut evidence, &total);
        if let Some(earlier) = self.history.front() {
            let mut recent = AnswerTally::default();
            for (key, counts) in total.routes() {
                let known = earlier.route(key);
                let new = counts.new.since(&known.new);
                let old = counts.old.since(&known.old);
                recent.set(key, RouteCounts { new, old, waiting: counts.waiting });
            }
            judge_tally(&mut evidence, &recent);
        }
        for (_, counts) in total.routes() {
            let enough = (counts.old.total() as f64 * ROUTE_SHARE) as u64;
            evidence.unproven += usize::from(counts.new.total() < enough.min(ROUTE_ANSWERS));
        }
        let all = total.total();
        evidence.answers = (all.new.total(), all.old.total());
        evidence.failures = (all.new.bad(), all.old.bad());
        self.history.push_back(total);
        if self.history.len() > RECENT_PERIODS {
            self.history.pop_front();
        }
        self.evidence = evidence;
        evidence
    }
}

/// Adds the signs against the new version in some counts.
fn judge_tally(evidence: &mut Evidence, tally: &AnswerTally) {
    let total = tally.total();
    evidence.raise(failure_score(&total.new, &total.old), BadSign::Failing, RouteKey(0));
    for (key, counts) in tally.routes() {
        evidence.raise(failure_score(&counts.new, &counts.old), BadSign::Failing, key);
        evidence.raise(slow_score(counts), BadSign::Slow, key);
    }
}

fn failure_score(new: &SideCounts, old: &SideCounts) -> f64 {
    let old_share = old.bad() as f64 / old.total().max(1) as f64;
    tail_score(new.bad(), new.total(), 2.0 * old_share + FAILURE_TOLERANCE)
}

/// Compares the shares of answers beyond twice a time and beyond that time, for all times. Attempts that
/// have waited longer count as such answers.
fn slow_score(RouteCounts { new, old, waiting }: &RouteCounts) -> f64 {
    let (new_count, old_count) = (new.answered(), old.answered());
    if old_count < MIN_OLD_ANSWERS {
        return 0.0;
    }
    let score = |class: usize| {
        let old_share = old.at_least(class) as f64 / old_count as f64;
        let slow_class = class + CLASSES_PER_DOUBLING;
        let late: u64 = waiting.iter().skip(slow_class).map(|count| u64::from(*count)).sum();
        let slow = new.at_least(slow_class) + late;
        tail_score(slow, new_count + late, old_share * SLOW_FACTOR + SLOW_TOLERANCE)
    };
    (1..TIME_CLASSES - CLASSES_PER_DOUBLING).map(score).fold(0.0, f64::max)
}

/// Returns a bound on the negative logarithm of the probability that at least `bad` of `count` answers are
/// bad if each one is with probability `share` (Chernoff).
fn tail_score(bad: u64, count: u64, share: f64) -> f64 {
    let seen = bad as f64 / count.max(1) as f64;
    if bad < MIN_BAD_ANSWERS || seen <= share || share >= 1.0 {
        return 0.0;
    }
    let rest = match 1.0 - seen {
        good if good > 0.0 => good * (good / (1.0 - share)).ln(),
        _ => 0.0,
    };
    count as f64 * (seen * (seen / share).ln() + rest)
}
