//! Distributed rate limiter: enforces each team's quota over all hosts.
//!
//! Load pattern: one team sends many times its usual traffic, unevenly over hosts that start, die
//! and are partitioned from each other. Each host knows its own spending in the sliding window
//! exactly and that of its peers a fraction of a second late. Well below the quota a host admits
//! every request. Near the quota each host is limited to a share in proportion to the demand it
//! sees, so that hosts do not all spend the same remaining capacity. Spending that the peers do not
//! know of yet is bounded: a host publishes its spending as soon as a small fraction of the quota
//! has been requested. The hosts on one side of a partition together use only their fraction of the
//! quota, counting an equal part for each host.
//!
//! Streams that their callers take up again go first: work was done for them already, and their callers
//! try a few times only. What was refused to them is kept free of new requests until they may have
//! come back.
//!
//! All hosts may be lost at once, so spending is recorded in the store once a large fraction of a
//! quota is spent. A host that starts counts the records as its peers' spending. It assumes that
//! spending which may not have been recorded is spread evenly over the window.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::request_rank::RequestRank;
use crate::gateway::serving_config::TeamQuota;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Fraction of the configured tolerance that is used; the rest covers what hosts admit before they
/// hear from each other.
const TOLERANCE_FRACTION: f64 = 0.4;

/// Fraction of the quota up to which hosts admit without regard to their shares. The rest must
/// cover what all hosts together can overspend before a summary arrives.
const UNRESTRICTED_FRACTION: f64 = 0.6;

/// Fraction of the quota for a host that has not heard from any peer and may be one of many.
const ISOLATED_FRACTION: f64 = 0.06;

/// Fraction of the quota above which spending is recorded in the store.
const RECORD_FRACTION: f64 = 0.4;

/// Fraction of the quota that a host spends between two records.
const RECORD_STEP_FRACTION: f64 = 0.02;

/// Fraction of the quota requested at a host that makes it publish its spending at once.
const PUBLISH_FRACTION: f64 = 0.02;

/// Upper bound, as a fraction of the quota, on the estimate of the peers' unpublished spending. At
/// eight times the quota's rate a large fleet spends that much between two summaries.
const MAX_UNPUBLISHED_FRACTION: f64 = 0.4;

/// Minimum share of any host as a fraction of the quota, so that new demand is not starved.
const MIN_SHARE_FRACTION: f64 = 0.02;

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
}

/// Units of one team's quota in the sliding window of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamSpending {
    /// Units admitted.
    pub spent: u64,
    /// Units requested, including refused ones.
    pub asked: u64,
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
        /// Time until enough spending leaves the window.
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
    /// This host's share of the quota.
    pub share: f64,
    /// Limit for all reachable hosts together in a window.
    pub total: f64,
}

#[derive(Clone, Copy, Debug)]
struct WindowEntry {
    at: Timestamp,
    units: u64,
    /// The units, unless they were counted as asked before.
    asked: u64,
    admitted: bool,
}

#[derive(Clone, Debug, Default)]
struct TeamWindow {
    entries: VecDeque<WindowEntry>,
    own: TeamSpending,
    peers: TeamSpending,
    /// Units requested since the last summary.
    unpublished: u64,
    /// Units admitted since the last summary.
    unpublished_spent: u64,
    /// Units requested in the window, according to the last summary.
    published_asked: u64,
    /// Units admitted since the last record.
    unrecorded: u64,
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

/// Fraction of every quota that is assumed to be spent.
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
            must_publish: false,
            must_record: false,
        }
    }

    /// Changes the bounds; counted spending is kept.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Assumes that every quota was spent in full, evenly over the window before `now`. What this
    /// host or all hosts spent before a crash is unknown.
    pub fn assume_spent(&mut self, now: Timestamp) {
        self.assumed = Some(AssumedSpending { fraction: 1.0, at: now });
    }

    /// Lowers the assumed spending to the fraction that is not recorded, after the records were
    /// read.
    pub fn on_records_read(&mut self) {
        if let Some(assumed) = &mut self.assumed {
            assumed.fraction = RECORD_FRACTION;
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

    /// Returns the fraction of a window's quota that counts as spent before this host's start.
    fn assumed_fraction(&self, now: Timestamp) -> f64 {
        let Some(assumed) = self.assumed else { return 0.0 };
        let elapsed = now.since(assumed.at).as_secs_f64() / self.bounds.window.as_secs_f64();
        assumed.fraction * (1.0 - elapsed).max(0.0)
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
        let QuotaRequest { units, claim, has_asked, .. } = request;
        let asked = if has_asked { 0 } else { units };
        let span = self.bounds.window;
        let available_fraction =
            (reachability.available_fraction() - self.assumed_fraction(now)).max(0.0);
        let window = self.teams.entry(team.clone()).or_default();
        window.expire(now, span);
        let window_units = self.bounds.admitted_units(quota);
        let total = window_units * available_fraction;
        let share = window.share(total, asked);
        let own = (window.own.spent + units) as f64;
        let all = own + window.peers.spent as f64;
        let estimated = all
            + window
                .estimate_unpublished(reachability)
                .min(window_units * MAX_UNPUBLISHED_FRACTION);
        let kept = window.kept_units(now, claim) as f64;
        let is_unrestricted = matches!(reachability, PeerReachability::Majority { .. })
            && estimated + kept <= total * UNRESTRICTED_FRACTION;
        // Shares are computed from measurements of different times, so they may add up to more than
        // the total.
        let admitted = is_unrestricted || (own + kept <= share && estimated + kept <= total);
        window.entries.push_back(WindowEntry { at: now, units, asked, admitted });
        window.own.asked += asked;
        window.unpublished += asked;
        self.must_publish |= window.unpublished as f64 > window_units * PUBLISH_FRACTION;
        if admitted {
            window.own.spent += units;
            window.unpublished_spent += units;
            window.unrecorded += units;
            if claim == QuotaClaim::TakenUp {
                window.on_returned(units);
            }
            self.must_record |= all > window_units * RECORD_FRACTION
                && window.unrecorded as f64 > window_units * RECORD_STEP_FRACTION;
            return QuotaDecision::Admitted;
        }
        let retry_after = window.time_until_capacity(now, span, own + kept - share);
        if claim == QuotaClaim::TakenUp {
            let kept_until = now + RETURN_TIME;
            window.returning.push_back(ReturningStream { kept_until, units });
        }
        let usage = QuotaUsage { own, peers: all - own, share, total };
        QuotaDecision::Exceeded { retry_after, usage }
    }

    /// Refunds the units of a request that is known not to have run.
    pub fn refund(&mut self, team: &TeamName, units: u64) {
        let Some(window) = self.teams.get_mut(team) else { return };
        let admitted = |entry: &&mut WindowEntry| entry.admitted && entry.units == units;
        if let Some(entry) = window.entries.iter_mut().rev().find(admitted) {
            entry.admitted = false;
            window.own.spent = window.own.spent.saturating_sub(units);
        }
    }

    /// Replaces the spending of all peers, summed by team.
    pub fn set_peer_spending(&mut self, peers: &BTreeMap<TeamName, TeamSpending>) {
        for (team, window) in &mut self.teams {
            window.peers = peers.get(team).copied().unwrap_or_default();
        }
        for (team, spending) in peers {
            self.teams.entry(team.clone()).or_default().peers = *spending;
        }
    }

    /// Returns this host's spending in the window and marks it as published.
    pub fn publish_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
        self.must_publish = false;
        for window in self.teams.values_mut() {
            window.expire(now, self.bounds.window);
            (window.unpublished, window.unpublished_spent) = (0, 0);
            window.published_asked = window.own.asked;
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

impl TeamWindow {
    fn expire(&mut self, now: Timestamp, span: Duration) {
        while let Some(entry) = self.entries.front()
            && now.since(entry.at) >= span
        {
            self.own.asked = self.own.asked.saturating_sub(entry.asked);
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

    /// Estimates what the peers have spent since their last summaries: this host's spending since
    /// its own last summary, scaled by the ratio of the peers' demand to its own.
    ///
    /// The ratio is capped at twice that of evenly spread demand, so that a single large request at
    /// a host with little demand does not count as many at its peers.
    fn estimate_unpublished(&self, reachability: PeerReachability) -> f64 {
        if self.published_asked == 0 {
            return 0.0;
        }
        let (PeerReachability::Minority { known, .. } | PeerReachability::Majority { known, .. }) =
            reachability;
        let even = f64::from(known.saturating_sub(1));
        let ratio = self.peers.asked as f64 / self.published_asked as f64;
        self.unpublished_spent as f64 * ratio.min(2.0 * even)
    }

    /// Returns the number of units that this host may spend in the window.
    fn share(&self, total: f64, asked: u64) -> f64 {
        let own = (self.own.asked + asked) as f64;
        let fraction = own / (own + self.peers.asked as f64);
        total * fraction.max(MIN_SHARE_FRACTION)
    }

    /// Returns the time until at least `missing` admitted units have left the window.
    fn time_until_capacity(&self, now: Timestamp, span: Duration, missing: f64) -> Duration {
        let mut freed = 0.0;
        for entry in self.entries.iter().filter(|entry| entry.admitted) {
            freed += entry.units as f64;
            if freed >= missing {
                return (entry.at + span).since(now);
            }
        }
        span
    }
}
