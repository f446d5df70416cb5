//! Holds teams to quotas that all hosts share.
//!
//! Load pattern: one team sends many times its usual, unevenly over hosts that start, die and lose
//! reachability of each other. Each host knows its own spending of the sliding window exactly and that of
//! its peers a fraction of a second late. Well below the quota a host admits freely; near it each host
//! keeps to a part of the quota in proportion to the demand that it sees, so that hosts do not all
//! spend the same room. What a host may spend before its peers hear of it is bounded, since it
//! tells them as soon as a part of the quota was asked for. Hosts that lose reachability of each other keep
//! to the parts of the hosts that they hear, an equal one for each host.
//!
//! Hosts may all be lost at once, so what was spent of a quota is recorded in the store while much
//! of it is. A host that starts takes the records for its peers' spending, and what may have been
//! spent without a record for spent evenly over the window.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::serving_config::TeamQuota;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Part of the operators' tolerance that is used; the rest covers what hosts admit before they hear
/// of one another.
const TOLERANCE_FRACTION: f64 = 0.4;

/// Part of the quota up to which hosts admit without regard to parts: what they can overshoot by
/// at once, in the time that news takes, must fit into the rest.
const UNRESTRICTED_FRACTION: f64 = 0.6;

/// Part of the quota that a host may use which has not heard of any other, and may be one of many.
const ISOLATED_FRACTION: f64 = 0.06;

/// Part of the quota from which on its spending is recorded.
const RECORD_FRACTION: f64 = 0.4;

/// Part of the quota that a host spends before it records its spending again.
const RECORD_STEP_FRACTION: f64 = 0.02;

/// Part of the quota that a host is asked for before it tells its peers at once.
const PUBLISH_FRACTION: f64 = 0.02;

/// Part of the quota up to which the peers' unpublished spending is estimated: at eight times a quota's rate
/// they spend that much between two summaries of a large fleet.
const MAX_UNPUBLISHED_FRACTION: f64 = 0.4;

/// Least part of the quota that any host may use, so that new demand is not starved.
const MIN_SHARE_FRACTION: f64 = 0.02;

/// Window in which the quota is counted, and the tolerance over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Tolerance as a part of a window's quota.
    pub tolerance_ratio: f64,
    /// Tolerance in units, on top.
    pub tolerance_units: f64,
}

impl QuotaBounds {
    /// Returns the units that all hosts together may admit in a window.
    fn admitted_units(&self, quota: TeamQuota) -> f64 {
        let units = quota.rate as f64 * self.window.as_secs_f64() + quota.burst as f64;
        let tolerance = units * self.tolerance_ratio + self.tolerance_units;
        units + tolerance * TOLERANCE_FRACTION
    }
}

/// What one host spent of a team's quota and was asked for in the window, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamSpending {
    /// Units that were admitted.
    pub spent: u64,
    /// Units that were asked for, refused ones included.
    pub asked: u64,
}

/// How many of the other hosts this one hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReachability {
    /// Fewer than half.
    Minority {
        /// Hosts that hear one another, this one included.
        group: u32,
        /// Hosts that were heard lately, this one included.
        known: u32,
    },
    /// Half or more.
    Majority {
        /// Hosts that were heard lately and no longer are.
        silent: u32,
        /// Hosts that were heard lately, this one included.
        known: u32,
    },
}

impl PeerReachability {
    /// Returns the part of a quota that the hosts in reachability may spend together.
    fn available_fraction(self) -> f64 {
        match self {
            Self::Minority { known: 0 | 1, .. } => ISOLATED_FRACTION,
            Self::Minority { group, known } => f64::from(group) / f64::from(known),
            Self::Majority { silent, known } => 1.0 - f64::from(silent) / f64::from(known.max(1)),
        }
    }
}

/// Whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is.
    Admitted,
    /// It is not; there is room after this time.
    Exceeded {
        /// Time until spending of the window that makes room expires.
        retry_after: Duration,
        /// What decided.
        usage: QuotaUsage,
    },
}

/// Units behind a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUsage {
    /// Spent by this host in the window, the refused request included.
    pub own: f64,
    /// Spent by all peers, as far as they told.
    pub peers: f64,
    /// This host's part of the quota.
    pub share: f64,
    /// What all hosts may spend in a window.
    pub total: f64,
}

#[derive(Clone, Copy, Debug)]
struct WindowEntry {
    at: Timestamp,
    units: u64,
    admitted: bool,
}

#[derive(Clone, Debug, Default)]
struct TeamWindow {
    entries: VecDeque<WindowEntry>,
    own: TeamSpending,
    peers: TeamSpending,
    /// Units asked for since the peers were told.
    unpublished: u64,
    /// Units admitted since then.
    unpublished_spent: u64,
    /// Units asked for in the window, as the peers were told.
    published_asked: u64,
    /// Units admitted since the spending was recorded.
    unrecorded: u64,
}

/// A part of every quota that is taken for spent.
#[derive(Clone, Copy, Debug)]
struct AssumedSpending {
    fraction: f64,
    at: Timestamp,
}

/// This host's view of every team's window.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    bounds: QuotaBounds,
    teams: BTreeMap<TeamName, TeamWindow>,
    /// What may have been spent before this host's start.
    assumed: Option<AssumedSpending>,
    must_publish: bool,
    must_record: bool,
}

impl QuotaLimiter {
    /// Builds a view in which nothing was spent.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            teams: BTreeMap::new(),
            assumed: None,
            must_publish: false,
            must_record: false,
        }
    }

    /// Changes how quotas are counted; what was spent stays spent.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Takes every quota for spent evenly over the window before `now`: what this host or all hosts
    /// spent before they were lost is not known.
    pub fn assume_spent(&mut self, now: Timestamp) {
        self.assumed = Some(AssumedSpending { fraction: 1.0, at: now });
    }

    /// Takes in that the records were read, and with them all spending beyond the part that is not
    /// recorded.
    pub fn on_records_read(&mut self) {
        if let Some(assumed) = &mut self.assumed {
            assumed.fraction = RECORD_FRACTION;
        }
    }

    /// Returns whether this host's spending should be recorded.
    pub fn must_record(&self) -> bool {
        self.must_record
    }

    /// Returns whether all hosts together spent so much of any team's quota that it must be recorded.
    pub fn exceeds_record_threshold(
        &self,
        quota_of: impl Fn(&TeamName) -> Option<TeamQuota>,
    ) -> bool {
        self.teams.iter().any(|(team, window)| {
            let spent = (window.own.spent + window.peers.spent) as f64;
            let whole = quota_of(team).map(|quota| self.bounds.admitted_units(quota));
            whole.is_some_and(|whole| spent > whole * RECORD_FRACTION)
        })
    }

    /// Returns this host's spending of the window, for the record.
    pub fn record_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
        self.must_record = false;
        self.teams.values_mut().for_each(|window| window.unrecorded = 0);
        self.own_spending(now)
    }

    /// Returns whether the peers should hear of this host's spending at once.
    pub fn must_publish(&self) -> bool {
        self.must_publish
    }

    /// Returns the part of a window's quota that counts as spent before this host's start.
    fn assumed_fraction(&self, now: Timestamp) -> f64 {
        let Some(assumed) = self.assumed else { return 0.0 };
        let elapsed = now.since(assumed.at).as_secs_f64() / self.bounds.window.as_secs_f64();
        assumed.fraction * (1.0 - elapsed).max(0.0)
    }

    /// Decides on a request of some units and counts it.
    pub fn admit(
        &mut self,
        now: Timestamp,
        team: &TeamName,
        quota: TeamQuota,
        units: u64,
        reachability: PeerReachability,
    ) -> QuotaDecision {
        let span = self.bounds.window;
        let available_fraction =
            (reachability.available_fraction() - self.assumed_fraction(now)).max(0.0);
        let window = self.teams.entry(team.clone()).or_default();
        window.expire(now, span);
        let whole = self.bounds.admitted_units(quota);
        let total = whole * available_fraction;
        let share = window.share(total, units);
        let own = (window.own.spent + units) as f64;
        let all = own + window.peers.spent as f64;
        let likely =
            all + window.estimate_unpublished(reachability).min(whole * MAX_UNPUBLISHED_FRACTION);
        let free = matches!(reachability, PeerReachability::Majority { .. })
            && likely <= total * UNRESTRICTED_FRACTION;
        // Parts that were measured at different times may add up to more than the whole.
        let admitted = free || (own <= share && likely <= total);
        window.entries.push_back(WindowEntry { at: now, units, admitted });
        window.own.asked += units;
        window.unpublished += units;
        self.must_publish |= window.unpublished as f64 > whole * PUBLISH_FRACTION;
        if admitted {
            window.own.spent += units;
            window.unpublished_spent += units;
            window.unrecorded += units;
            self.must_record |= all > whole * RECORD_FRACTION
                && window.unrecorded as f64 > whole * RECORD_STEP_FRACTION;
            return QuotaDecision::Admitted;
        }
        let retry_after = window.time_until_capacity(now, span, own - share);
        let usage = QuotaUsage { own, peers: all - own, share, total };
        QuotaDecision::Exceeded { retry_after, usage }
    }

    /// Gives back units of a request that was proved not to have run.
    pub fn refund(&mut self, team: &TeamName, units: u64) {
        let Some(window) = self.teams.get_mut(team) else { return };
        let admitted = |entry: &&mut WindowEntry| entry.admitted && entry.units == units;
        if let Some(entry) = window.entries.iter_mut().rev().find(admitted) {
            entry.admitted = false;
            window.own.spent = window.own.spent.saturating_sub(units);
        }
    }

    /// Replaces what the peers spent, all of them together.
    pub fn set_peer_spending(&mut self, peers: &BTreeMap<TeamName, TeamSpending>) {
        for (team, window) in &mut self.teams {
            window.peers = peers.get(team).copied().unwrap_or_default();
        }
        for (team, spending) in peers {
            self.teams.entry(team.clone()).or_default().peers = *spending;
        }
    }

    /// Returns this host's own spending of the window, for telling the peers.
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
            self.own.asked = self.own.asked.saturating_sub(entry.units);
            if entry.admitted {
                self.own.spent = self.own.spent.saturating_sub(entry.units);
            }
            self.entries.pop_front();
        }
    }

    /// Estimates what the peers spent since they told: as much, by their part of the demand, as this
    /// host has spent since it told them.
    ///
    /// A host that told little takes its part for half of an even one at least, so that a single large
    /// request does not stand for many.
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

    /// Returns the units that this host may have spent in the window.
    fn share(&self, total: f64, units: u64) -> f64 {
        let own = (self.own.asked + units) as f64;
        let fraction = own / (own + self.peers.asked as f64);
        total * fraction.max(MIN_SHARE_FRACTION)
    }

    /// Returns the time until at least `missing` units of the window have expired.
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
