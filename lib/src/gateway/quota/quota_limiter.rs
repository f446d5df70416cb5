//! Distributed rate limiter: enforces each team's quota over all hosts.
//!
//! Load pattern: one team sends many times its usual traffic, unevenly over hosts that start, die
//! and are partitioned from each other. Each host knows its own spending exactly and that of its
//! peers a fraction of a second late. Spending is paced by a token bucket over all hosts whose refill
//! and depth keep the bound of every window (`quota_pace`), so that a team that sends too much is
//! served evenly and not in bursts. While the bucket is well filled a host admits every request.
//! Otherwise it is limited to its part of the refill, in proportion to the demand that it sees
//! (`host_credit`), divided among the ranks of requests (`rank_split`). What it spends between two summaries is scaled to all hosts and counts as spent
//! already. The hosts on one side of a partition together use only their fraction of the quota,
//! counting an equal part for each host.
//!
//! Streams that their callers take up again go first: work was done for them already, and their callers
//! try a few times only. What was refused to them is kept free of new requests until they may have
//! come back.
//!
//! All hosts may be lost at once, with what they knew. A host that starts assumes that the bucket is
//! empty, which is no more than any spending before it can have left.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time::Duration;

use crate::gateway::quota::host_credit::HostCredit;
use crate::gateway::quota::host_credit::MeanSize;
use crate::gateway::quota::quota_pace::BucketLevel;
use crate::gateway::quota::quota_pace::QuotaPace;
use crate::gateway::quota::rank_split::ByRank;
use crate::gateway::quota::rank_split::RANK_CLASSES;
use crate::gateway::quota::rank_split::rank_class;
use crate::gateway::quota::rank_split::split_refill;
use crate::gateway::quota::rank_split::urgent_fraction;
use crate::gateway::request_rank::RequestRank;
use crate::gateway::serving_config::TeamQuota;
use crate::ids::HostId;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Fraction of the configured tolerance that is used; the rest covers what hosts admit before they
/// hear from each other.
const TOLERANCE_FRACTION: f64 = 0.4;

/// Level of the bucket, as a fraction of its depth, above which hosts admit without regard to their
/// parts.
const POOL_FRACTION: f64 = 0.1;

/// Further fraction of the depth that a request leaves to more urgent ranks, if all other demand is
/// more urgent.
const URGENT_POOL_FRACTION: f64 = 0.4;

/// Fraction of the quota for a host that has not heard from any peer and may be one of many.
const ISOLATED_FRACTION: f64 = 0.06;

/// Fraction of the quota above which spending is recorded in the store.
const RECORD_FRACTION: f64 = 0.4;

/// Fraction of the quota that a host spends between two records.
const RECORD_STEP_FRACTION: f64 = 0.02;

/// Fraction of the quota requested at a host that makes it publish its spending at once.
const PUBLISH_FRACTION: f64 = 0.02;

/// Time within which a surplus or deficit of the bucket changes the refill of all hosts. Shorter than
/// the delay of summaries would make hosts overcorrect together.
const CORRECTION_TIME: Duration = Duration::from_millis(600);

/// Level of the bucket, as a fraction of its depth, that is kept for surges of the more urgent ranks of
/// a team whose requests differ in rank.
const RESERVE_FRACTION: f64 = 0.4;

/// Largest factor on the refill while the bucket has a surplus.
const MAX_REFILL_FACTOR: f64 = 2.0;

/// Minimum part of any host, as a fraction of an equal part, so that new demand is not starved.
const MIN_PART_FRACTION: f64 = 0.25;

/// Time after a start, or after a team's first request, in which a host may not know the demand at its
/// peers, and the largest part of the refill that it takes meanwhile, in equal parts.
const START_TIME: Duration = Duration::from_millis(1_500);
const START_PARTS: f64 = 2.0;

/// Time over which the peers' demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Shortest time over which a rate is computed.
const MIN_RATE_TIME: Duration = Duration::from_micros(1);

/// Time from a change at a peer until its summary arrives, beside the time between two summaries.
const SUMMARY_DELAY: Duration = Duration::from_millis(100);

/// Time between two summaries before one was sent.
const DEFAULT_SUMMARY_PERIOD: Duration = Duration::from_millis(400);

/// Longest time between two summaries that is believed.
const MAX_SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Requests of the mean size at one host that are no evidence of more demand at all hosts.
const SURGE_REQUESTS: f64 = 3.0;

/// Time after a refusal for which a host saves its part of the refill for a large request.
const SAVING_TIME: Duration = Duration::from_secs(2);

/// Level of the bucket, as a fraction of its depth, below which every host saves.
const SAVING_FRACTION: f64 = 0.75;

/// Longest time after which a refused request is told to ask again, as a fraction of the window.
const MAX_RETRY_FRACTION: f64 = 0.25;

/// Spending that is assumed at a start, as a fraction of the bucket's depth: before records of
/// spending were read, and after.
const UNREAD_FRACTION: f64 = 1.5;
const UNRECORDED_FRACTION: f64 = 1.0;

/// Time between two reports of the use of quotas.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Longest time in seconds that is computed for a refusal.
const MAX_WAIT_S: f64 = 3_600.0;

/// Time for which the units of a stream that was refused are kept for its return.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Sliding window over which quotas are counted, and the tolerance above them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Tolerance as a fraction of a window's quota.
    pub tolerance_ratio: f64,
    /// Additional tolerance in units.
    pub tolerance_units: f64,
}

impl QuotaBounds {
    /// Returns the number of units that all hosts together may admit in a window.
    fn admitted_units(&self, quota: TeamQuota) -> f64 {
        let units = quota.rate as f64 * self.window.as_secs_f64() + quota.burst as f64;
        let tolerance = units * self.tolerance_ratio + self.tolerance_units;
        units + tolerance * TOLERANCE_FRACTION
    }

    fn pace(&self, quota: TeamQuota) -> QuotaPace {
        QuotaPace::new(self.admitted_units(quota), quota.rate as f64, self.window)
    }
}

/// Units of one team's quota in the sliding window of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamSpending {
    /// Units admitted.
    pub spent: u64,
    /// Units requested, including refused ones.
    pub asked: u64,
    /// Units admitted since the start of the host; since this host's start for a sum over peers.
    pub total: i64,
    /// Units requested since then.
    pub total_asked: i64,
    /// Units requested in the window by rank.
    pub asked_by_rank: ByRank<u64>,
}

impl TeamSpending {
    /// Adds what another host spent and was asked for in the window.
    pub fn add_window(&mut self, other: &Self) {
        self.spent += other.spent;
        self.asked += other.asked;
        for (sum, asked) in self.asked_by_rank.iter_mut().zip(other.asked_by_rank) {
            *sum += asked;
        }
    }

    /// Subtracts what was added before.
    pub fn subtract_window(&mut self, other: &Self) {
        self.spent -= other.spent;
        self.asked -= other.asked;
        for (sum, asked) in self.asked_by_rank.iter_mut().zip(other.asked_by_rank) {
            *sum -= asked;
        }
    }
}

/// How many of the other recently known hosts this host still hears from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReachability {
    /// Fewer than half.
    Minority {
        /// Hosts on this side of the partition, including this one.
        group: u32,
        /// Hosts heard from recently, including this one.
        known: u32,
    },
    /// Half or more.
    Majority {
        /// Hosts that were heard from recently and have fallen silent.
        silent: u32,
        /// Hosts heard from recently, including this one.
        known: u32,
    },
}

impl PeerReachability {
    /// Returns the number of hosts that are heard from, including this one.
    fn group(self) -> u32 {
        match self {
            Self::Minority { group, .. } => group,
            Self::Majority { silent, known } => known.saturating_sub(silent),
        }
    }

    /// Returns the fraction of a quota that the reachable hosts may spend together.
    fn available_fraction(self) -> f64 {
        match self {
            Self::Minority { known: 0 | 1, .. } => ISOLATED_FRACTION,
            Self::Minority { group, known } => f64::from(group) / f64::from(known),
            Self::Majority { silent, known } => 1.0 - f64::from(silent) / f64::from(known.max(1)),
        }
    }
}

/// What a request's units are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaClaim {
    /// New work.
    New,
    /// A stream that its caller takes up again.
    TakenUp,
}

/// What a request asks of its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Units that it costs.
    pub units: u64,
    /// What the units are for.
    pub claim: QuotaClaim,
    /// Urgency.
    pub rank: RequestRank,
    /// Whether it waits at this host since it asked before, so that its units are counted as asked.
    pub has_asked: bool,
}

/// Whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the quota.
    Admitted,
    /// The request exceeds the quota.
    Exceeded {
        /// Time until the request would be admitted here, according to what is known.
        retry_after: Duration,
        /// Units that the decision is based on.
        usage: QuotaUsage,
    },
}

/// Units behind a refusal, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUsage {
    /// Spent by this host in the window, including the refused request.
    pub own: f64,
    /// Spent by all peers according to their summaries.
    pub peers: f64,
    /// Units that this host may spend now.
    pub share: f64,
    /// Units that all reachable hosts together may spend now; negative if they spent too much.
    pub total: f64,
}

/// Use of a team's quota, and decisions since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamReport {
    /// Team.
    pub team: TeamName,
    /// Units spent by all hosts in the window, as a fraction of what rate and burst allow in it.
    pub used_fraction: f64,
    /// Units that all hosts together may spend now.
    pub available: f64,
    /// Requests admitted here by rank.
    pub admitted: ByRank<u32>,
    /// Requests refused here by rank.
    pub refused: ByRank<u32>,
}

#[derive(Clone, Copy, Debug)]
struct WindowEntry {
    at: Timestamp,
    units: u64,
    /// The units, unless they were counted as asked before.
    asked: u64,
    class: usize,
    admitted: bool,
}

/// Refill of this host's part of one rank.
#[derive(Clone, Copy, Debug)]
struct RankRefill {
    /// This host's part of the rank's demand.
    part: f64,
    /// Fraction of the bucket that the rank gets.
    fraction: f64,
    /// Units per second that this host gets for the rank.
    rate: f64,
}

#[derive(Clone, Debug, Default)]
struct TeamWindow {
    entries: VecDeque<WindowEntry>,
    own: TeamSpending,
    peers: TeamSpending,
    /// Bucket of all hosts as this host knows it.
    level: BucketLevel,
    /// This host's part of the bucket by rank.
    credits: ByRank<HostCredit>,
    /// Units that are saved for streams that may come back.
    returning_credit: f64,
    /// Mean size of requests.
    size: MeanSize,
    /// Time of the last refusal.
    refused_at: Option<Timestamp>,
    /// Since when units are requested here.
    active_since: Option<Timestamp>,
    /// Units requested since the last summary.
    unpublished: u64,
    /// Units that peers requested since the last refill.
    peer_growth: f64,
    /// Units per second that peers requested recently.
    peer_rate: f64,
    /// Units admitted since the last record.
    unrecorded: u64,
    /// Requests admitted and refused since the last report by rank.
    admitted_count: ByRank<u32>,
    refused_count: ByRank<u32>,
    /// Units of refused streams that may come back, oldest first.
    returning: VecDeque<ReturningStream>,
}

/// A stream that was refused when its caller took it up.
#[derive(Clone, Copy, Debug)]
struct ReturningStream {
    /// Until when its units are kept.
    kept_until: Timestamp,
    units: u64,
}

/// Fraction of every bucket that is assumed to be spent.
#[derive(Clone, Copy, Debug)]
struct AssumedSpending {
    fraction: f64,
    at: Timestamp,
}

/// Sliding windows of all teams as this host sees them.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    bounds: QuotaBounds,
    teams: BTreeMap<TeamName, TeamWindow>,
    /// Assumed spending before this host's start.
    assumed: Option<AssumedSpending>,
    /// Number from 0 to 1 in which hosts differ.
    phase: f64,
    published_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    /// Mean time between two summaries.
    publish_period: Duration,
    must_publish: bool,
    must_record: bool,
}

impl QuotaLimiter {
    /// Builds a limiter with empty windows.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            teams: BTreeMap::new(),
            assumed: None,
            phase: 0.5,
            published_at: None,
            reported_at: None,
            publish_period: DEFAULT_SUMMARY_PERIOD,
            must_publish: false,
            must_record: false,
        }
    }

    /// Names this host. Hosts differ in the times at which they admit requests that are larger than
    /// their parts.
    pub fn with_host(mut self, host: &HostId) -> Self {
        let mut hasher = DefaultHasher::new();
        host.hash(&mut hasher);
        self.phase = hasher.finish() as f64 / u64::MAX as f64;
        self
    }

    /// Changes the bounds; counted spending is kept.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Assumes that the bucket of every quota is empty at `now`: what this host or all hosts spent
    /// before a crash is unknown, and no more than the bucket's deficit may be unrecorded.
    pub fn assume_spent(&mut self, now: Timestamp) {
        self.assumed = Some(AssumedSpending { fraction: UNREAD_FRACTION, at: now });
    }

    /// Lowers the assumed spending after the records were read.
    pub fn on_records_read(&mut self) {
        if let Some(assumed) = &mut self.assumed {
            assumed.fraction = UNRECORDED_FRACTION;
        }
    }

    /// Returns whether this host's spending should be written to the store.
    pub fn must_record(&self) -> bool {
        self.must_record
    }

    /// Returns whether all hosts together spent so much of any team's quota that it must be
    /// recorded.
    pub fn exceeds_record_threshold(
        &self,
        quota_of: impl Fn(&TeamName) -> Option<TeamQuota>,
    ) -> bool {
        self.teams.iter().any(|(team, window)| {
            let spent = (window.own.spent + window.peers.spent) as f64;
            let window_units = quota_of(team).map(|quota| self.bounds.admitted_units(quota));
            window_units.is_some_and(|window_units| spent > window_units * RECORD_FRACTION)
        })
    }

    /// Returns the use of each quota and the decisions since the last report, if one is due.
    pub fn take_reports(
        &mut self,
        now: Timestamp,
        quota_of: impl Fn(&TeamName) -> Option<TeamQuota>,
    ) -> Vec<TeamReport> {
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_PERIOD) {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let bounds = self.bounds;
        let report = |(team, window): (&TeamName, &mut TeamWindow)| {
            let quota = quota_of(team)?;
            window.expire(now, bounds.window);
            let spent = (window.own.spent + window.peers.spent) as f64;
            let units = quota.rate as f64 * bounds.window.as_secs_f64() + quota.burst as f64;
            Some(TeamReport {
                team: team.clone(),
                used_fraction: spent / units.max(1.0),
                available: window.level.available(bounds.pace(quota)),
                admitted: std::mem::take(&mut window.admitted_count),
                refused: std::mem::take(&mut window.refused_count),
            })
        };
        self.teams.iter_mut().filter_map(report).collect()
    }

    /// Returns this host's spending in the window and marks it as recorded.
    pub fn record_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
        self.must_record = false;
        self.teams.values_mut().for_each(|window| window.unrecorded = 0);
        self.own_spending(now)
    }

    /// Returns whether this host's spending should be sent to the peers at once.
    pub fn must_publish(&self) -> bool {
        self.must_publish
    }

    /// Decides whether a request is within its team's quota, and counts it.
    pub fn admit(
        &mut self,
        now: Timestamp,
        team: &TeamName,
        quota: TeamQuota,
        request: QuotaRequest,
        reachability: PeerReachability,
    ) -> QuotaDecision {
        let QuotaRequest { units, claim, rank, has_asked } = request;
        let class = rank_class(rank);
        let asked = if has_asked { 0 } else { units };
        let span = self.bounds.window;
        let window_units = self.bounds.admitted_units(quota);
        let pace = self.bounds.pace(quota).scaled(reachability.available_fraction());
        let phase = self.phase;
        let unpublished_time = self.published_at.map_or(self.publish_period, |at| now.since(at));
        let hidden_time = self.publish_period / 2 + SUMMARY_DELAY;
        let window = self.teams.entry(team.clone()).or_insert_with(|| TeamWindow::new(phase));
        window.expire(now, span);
        window.on_asked(now, class, asked);
        let refill = window.refill(now, span, pace, self.assumed, reachability)[class];
        window.level.on_request(units as f64);
        let kept = window.kept_units(now, claim) as f64;
        let level = window.level.available(pace) - kept;
        let surge = window.surge_factor(asked, unpublished_time, span);
        let demand = window.demand();
        // Peers admit no less urgent requests beyond their parts while this rank is short.
        let hidden = urgent_fraction(demand, class + 1)
            * window.hidden_units(surge, hidden_time, reachability);
        let pool_fraction = POOL_FRACTION + URGENT_POOL_FRACTION * urgent_fraction(demand, class);
        let pool_level = pace.depth * pool_fraction + hidden + kept;
        let has_pool = matches!(reachability, PeerReachability::Majority { .. });
        let is_pooled = has_pool && level + kept >= pool_level;
        let saved = if claim == QuotaClaim::TakenUp { window.returning_credit } else { 0.0 };
        let missing = window.credits[class].missing_units() - saved;
        let admitted = is_pooled || missing <= 0.0;
        if admitted || asked > 0 {
            window.entries.push_back(WindowEntry { at: now, units, asked, class, admitted });
        }
        self.must_publish |= window.unpublished as f64 > window_units * PUBLISH_FRACTION;
        if admitted {
            window.admitted_count[class] += 1;
            window.own.spent += units;
            window.own.total = window.own.total.saturating_add_unsigned(units);
            window.level.charge(units as f64);
            let from_saved = saved.min(units as f64);
            window.returning_credit -= from_saved;
            window.credits[class].charge(units as f64 - from_saved, refill.part * pace.depth);
            window.unrecorded += units;
            if claim == QuotaClaim::TakenUp {
                window.on_returned(units);
            }
            let all = (window.own.spent + window.peers.spent) as f64;
            self.must_record |= all > window_units * RECORD_FRACTION
                && window.unrecorded as f64 > window_units * RECORD_STEP_FRACTION;
            return QuotaDecision::Admitted;
        }
        window.refused_at = Some(now);
        // One that asks again was counted when it first asked.
        window.refused_count[class] += u32::from(!has_asked);
        if claim == QuotaClaim::TakenUp {
            let kept_until = now + RETURN_TIME;
            window.returning.push_back(ReturningStream { kept_until, units });
        }
        let retry_after = retry_time(missing, refill.rate).min(span.mul_f64(MAX_RETRY_FRACTION));
        let pool_time = recovery_time(level + kept, pool_level, reserve_units(demand, pace));
        let retry_after = match pool_time.filter(|_| has_pool) {
            Some(pool_time) => retry_after.min(pool_time),
            None => retry_after,
        };
        let usage = QuotaUsage {
            own: (window.own.spent + units) as f64,
            peers: window.peers.spent as f64,
            share: window.credits[class].units() + saved,
            total: level,
        };
        QuotaDecision::Exceeded { retry_after, usage }
    }

    /// Refunds the units of a request that is known not to have run.
    pub fn refund(&mut self, team: &TeamName, units: u64) {
        let Some(window) = self.teams.get_mut(team) else { return };
        let admitted = |entry: &&mut WindowEntry| entry.admitted && entry.units == units;
        if let Some(entry) = window.entries.iter_mut().rev().find(admitted) {
            entry.admitted = false;
            window.own.spent = window.own.spent.saturating_sub(units);
            window.own.total = window.own.total.saturating_sub_unsigned(units);
            window.level.charge(-(units as f64));
            window.credits[entry.class].refund(units);
        }
    }

    /// Replaces the spending of all peers, summed by team, and charges what they spent since the last
    /// call to the buckets.
    pub fn set_peer_spending(&mut self, peers: &BTreeMap<TeamName, TeamSpending>) {
        for (team, window) in &mut self.teams {
            let TeamSpending { total, total_asked, .. } = window.peers;
            window.peers = TeamSpending { total, total_asked, ..TeamSpending::default() };
            if let Some(spending) = peers.get(team) {
                window.set_peers(*spending);
            }
        }
        for (team, spending) in peers {
            if !self.teams.contains_key(team) {
                let mut window = TeamWindow::new(self.phase);
                window.set_peers(*spending);
                self.teams.insert(team.clone(), window);
            }
        }
    }

    /// Returns this host's spending in the window and marks it as published.
    pub fn publish_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
        self.must_publish = false;
        if let Some(at) = self.published_at.replace(now) {
            let period = now.since(at).min(MAX_SUMMARY_PERIOD);
            self.publish_period = (self.publish_period * 3 + period) / 4;
        }
        for window in self.teams.values_mut() {
            window.expire(now, self.bounds.window);
            window.unpublished = 0;
        }
        self.own_spending(now)
    }

    fn own_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
        let span = self.bounds.window;
        self.teams
            .iter_mut()
            .filter_map(|(team, window)| {
                window.expire(now, span);
                (window.own != TeamSpending::default()).then(|| (team.clone(), window.own))
            })
            .collect()
    }
}

/// Returns the time until missing units are refilled, rounded up so that the request is admitted then.
fn retry_time(missing: f64, refill_per_s: f64) -> Duration {
    let seconds = missing / refill_per_s.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT_S)) + Duration::from_millis(1)
}

/// Returns the level that the hosts keep for surges of more urgent ranks.
fn reserve_units(demand: ByRank<f64>, pace: QuotaPace) -> f64 {
    let is_ranked = demand.iter().filter(|units| **units > 0.0).count() > 1;
    if is_ranked { pace.depth * RESERVE_FRACTION } else { 0.0 }
}

/// Returns the time until the bucket reaches a level; `None` if it is not known to. The correction of
/// the refill lets the level approach the reserve.
fn recovery_time(level: f64, wanted: f64, reserve: f64) -> Option<Duration> {
    let ratio = (reserve - level) / (reserve - wanted);
    let is_reached = wanted < reserve && level < wanted;
    is_reached.then(|| CORRECTION_TIME.mul_f64(ratio.ln()) + Duration::from_millis(1))
}

impl TeamWindow {
    fn new(phase: f64) -> Self {
        let credits = std::array::from_fn(|class| {
            HostCredit::new(phase + class as f64 / RANK_CLASSES as f64)
        });
        Self { credits, ..Self::default() }
    }

    /// Replaces the spending of all peers, and charges its growth to the bucket.
    fn set_peers(&mut self, peers: TeamSpending) {
        let growth = peers.total.saturating_sub(self.peers.total);
        self.level.charge(growth as f64);
        self.peer_growth += peers.total_asked.saturating_sub(self.peers.total_asked) as f64;
        self.peers = peers;
    }

    /// Refills the bucket and this host's part of it. Returns the refill of each rank.
    fn refill(
        &mut self,
        now: Timestamp,
        span: Duration,
        pace: QuotaPace,
        assumed: Option<AssumedSpending>,
        reachability: PeerReachability,
    ) -> ByRank<RankRefill> {
        let elapsed = self.refill_level(now, span, pace, assumed);
        let level = self.level.available(pace);
        let demand = self.demand();
        let reserve = reserve_units(demand, pace);
        let correction = (level - reserve) / CORRECTION_TIME.as_secs_f64();
        let factor = 1.0 + correction / pace.rate.max(f64::MIN_POSITIVE);
        let rate = pace.rate * factor.clamp(0.0, MAX_REFILL_FACTOR);
        let is_starting = self.is_starting(now, assumed.map(|assumed| assumed.at));
        let demand_rates = demand.map(|units| units / span.as_secs_f64());
        let deficit = (level + reserve).min(0.0) / CORRECTION_TIME.as_secs_f64();
        let split = split_refill(rate, (pace.rate + deficit).max(0.0), demand_rates);
        let refills: ByRank<RankRefill> = std::array::from_fn(|class| {
            let part = self.part(class, is_starting, reachability);
            let fraction = split[class] / rate.max(f64::MIN_POSITIVE);
            RankRefill { part, fraction, rate: part * split[class] }
        });
        let Some(elapsed) = elapsed else {
            for (credit, refill) in self.credits.iter_mut().zip(&refills) {
                credit.fill(refill.part * refill.fraction * level.max(0.0));
            }
            return refills;
        };
        let elapsed_s = elapsed.as_secs_f64();
        let has_refused = self.refused_at.is_some_and(|at| now.since(at) < SAVING_TIME);
        let is_saving = has_refused || level < pace.depth * SAVING_FRACTION;
        // Streams that may come back are saved for before any rank.
        let refilled: f64 = refills.iter().map(|refill| refill.rate * elapsed_s).sum();
        let kept: u64 = self.returning.iter().map(|stream| stream.units).sum();
        let saved = (kept as f64 - self.returning_credit).clamp(0.0, refilled);
        self.returning_credit = (self.returning_credit + saved).min(kept as f64);
        let rest = 1.0 - saved / refilled.max(f64::MIN_POSITIVE);
        for (credit, refill) in self.credits.iter_mut().zip(&refills) {
            let pooled = refill.part * refill.fraction * level.max(0.0);
            credit.refill(refill.rate * elapsed_s * rest, pooled, is_saving);
        }
        refills
    }

    /// Refills the bucket and averages the peers' demand. Returns the time since the last call; `None`
    /// at the first one, at which the level follows from what was spent in the window.
    fn refill_level(
        &mut self,
        now: Timestamp,
        span: Duration,
        pace: QuotaPace,
        assumed: Option<AssumedSpending>,
    ) -> Option<Duration> {
        let Some(refilled_at) = self.level.refilled_at() else {
            let window_units = pace.rate * span.as_secs_f64();
            let spent = (self.peers.spent as f64 / window_units.max(1.0)).min(1.0);
            let assumed_spent = assumed.map_or(0.0, |assumed| {
                let elapsed = now.since(assumed.at).as_secs_f64();
                pace.depth * assumed.fraction - pace.rate * elapsed
            });
            self.level.start(now, assumed_spent.max(pace.depth * spent), pace);
            self.peer_growth = 0.0;
            self.peer_rate = self.peers.asked as f64 / span.as_secs_f64();
            return None;
        };
        let elapsed = now.since(refilled_at);
        self.level.refill(now, elapsed, pace);
        let elapsed_s = elapsed.as_secs_f64().max(MIN_RATE_TIME.as_secs_f64());
        let recent_rate = std::mem::take(&mut self.peer_growth) / elapsed_s;
        let weight = -(-elapsed_s / DEMAND_TIME.as_secs_f64()).exp_m1();
        self.peer_rate += (recent_rate - self.peer_rate) * weight;
        Some(elapsed)
    }

    /// Returns the units requested of all hosts in the window by rank.
    fn demand(&self) -> ByRank<f64> {
        let peers = self.peers.asked_by_rank;
        std::array::from_fn(|class| (self.own.asked_by_rank[class] + peers[class]) as f64)
    }

    fn expire(&mut self, now: Timestamp, span: Duration) {
        while let Some(entry) = self.entries.front()
            && now.since(entry.at) >= span
        {
            self.own.asked = self.own.asked.saturating_sub(entry.asked);
            let by_rank = &mut self.own.asked_by_rank[entry.class];
            *by_rank = by_rank.saturating_sub(entry.asked);
            if entry.admitted {
                self.own.spent = self.own.spent.saturating_sub(entry.units);
            }
            self.entries.pop_front();
        }
    }

    /// Returns the units that a request must leave to streams that may come back.
    fn kept_units(&mut self, now: Timestamp, claim: QuotaClaim) -> u64 {
        self.returning.retain(|stream| stream.kept_until > now);
        match claim {
            QuotaClaim::New => self.returning.iter().map(|stream| stream.units).sum(),
            QuotaClaim::TakenUp => 0,
        }
    }

    /// Records that a stream was admitted; one of its size need not be expected any more.
    fn on_returned(&mut self, units: u64) {
        let returned = self.returning.iter().position(|stream| stream.units == units);
        match returned {
            Some(index) => drop(self.returning.remove(index)),
            None => drop(self.returning.pop_front()),
        }
    }

    /// Counts units that are requested.
    fn on_asked(&mut self, now: Timestamp, class: usize, asked: u64) {
        if asked == 0 {
            return;
        }
        if self.own.asked == 0 {
            self.active_since = Some(now);
        }
        self.own.asked += asked;
        self.own.asked_by_rank[class] += asked;
        self.own.total_asked = self.own.total_asked.saturating_add_unsigned(asked);
        self.unpublished += asked;
        self.size.observe(asked);
        self.credits[class].observe_request(asked);
    }

    /// Returns whether this host may not know the demand at its peers yet.
    fn is_starting(&self, now: Timestamp, started_at: Option<Timestamp>) -> bool {
        let is_recent = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < START_TIME);
        is_recent(started_at) || is_recent(self.active_since)
    }

    /// Returns by how much demand grew since this host's last summary, as far as it can tell from its own
    /// requests. The request at hand counts as one of the mean size, so that a large one is not refused
    /// for its size.
    fn surge_factor(&self, asked: u64, unpublished_time: Duration, span: Duration) -> f64 {
        let mean = self.size.units().max(1.0);
        let noise = SURGE_REQUESTS * mean;
        let unpublished = self.unpublished.saturating_sub(asked) as f64 + mean;
        let usual_rate = self.own.asked as f64 / span.as_secs_f64();
        let usual = usual_rate * unpublished_time.as_secs_f64();
        ((unpublished + noise) / (usual + noise)).max(1.0)
    }

    /// Estimates what the peers were asked for and could not tell yet. If they have told of nothing in
    /// the window, each may be asked for as much as this host.
    fn hidden_units(
        &self,
        surge_factor: f64,
        hidden_time: Duration,
        reachability: PeerReachability,
    ) -> f64 {
        if self.peers.asked == 0 {
            let peers = f64::from(reachability.group().saturating_sub(1));
            let noise = SURGE_REQUESTS * self.size.units();
            return (self.unpublished as f64 - noise).max(0.0) * peers;
        }
        self.peer_rate * hidden_time.as_secs_f64() * surge_factor
    }

    /// Returns this host's part of a rank's refill: its part of the demand.
    fn part(&self, class: usize, is_starting: bool, reachability: PeerReachability) -> f64 {
        let even = 1.0 / f64::from(reachability.group().max(1));
        let own = self.own.asked_by_rank[class] as f64;
        let all = own + self.peers.asked_by_rank[class] as f64;
        let part = (own / all.max(1.0)).max(even * MIN_PART_FRACTION);
        if is_starting { part.min(even * START_PARTS) } else { part }
    }
}
