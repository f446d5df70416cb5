//! Holds teams to quotas that all hosts share.
//!
//! Load pattern: one team sends many times its usual, unevenly over hosts that start, die and lose
//! sight of each other. Each host knows its own spending of the sliding window exactly and that of
//! its peers a fraction of a second late. Well below the quota a host admits freely; near it each
//! host keeps to a part of the quota in proportion to the demand that it sees, so that hosts do not
//! all spend the same room. A host that hears of no peer falls back to a part so small that the
//! hosts that are cut off stay within the tolerance together.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::serving_config::TeamQuota;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Part of the operators' tolerance that is used; the rest covers what hosts admit before they hear
/// of one another.
const TOLERANCE_PART: f64 = 0.5;

/// Part of the quota up to which hosts admit without regard to parts: what they can overshoot by
/// at once, in the time that news takes, must fit into the rest.
const FREE_PART: f64 = 0.6;

/// Part of the quota that a host which hears of no peer may use.
const ALONE_PART: f64 = 0.1;

/// Least part of the quota that any host may use, so that new demand is not starved.
const LEAST_PART: f64 = 0.02;

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
        units + tolerance * TOLERANCE_PART
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

/// How many peers this host hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerSight {
    /// It hears of none, though others may be there.
    Alone,
    /// It hears of some.
    Connected,
}

/// Whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// It is.
    Admitted,
    /// It is not; there is room after this time.
    Over {
        /// Time until spending of the window that makes room expires.
        retry_after: Duration,
        /// What decided.
        basis: QuotaBasis,
    },
}

/// Units behind a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBasis {
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
struct SpentUnits {
    at: Timestamp,
    units: u64,
    admitted: bool,
}

#[derive(Clone, Debug, Default)]
struct TeamWindow {
    entries: VecDeque<SpentUnits>,
    own: TeamSpending,
    peers: TeamSpending,
}

/// This host's view of every team's window.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    bounds: QuotaBounds,
    teams: BTreeMap<TeamName, TeamWindow>,
}

impl QuotaShare {
    /// Builds a view in which nothing was spent.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, teams: BTreeMap::new() }
    }

    /// Decides on a request of some units and counts it.
    pub fn admit(
        &mut self,
        now: Timestamp,
        team: &TeamName,
        quota: TeamQuota,
        units: u64,
        sight: PeerSight,
    ) -> QuotaVerdict {
        let span = self.bounds.window;
        let window = self.teams.entry(team.clone()).or_default();
        window.expire(now, span);
        let total = self.bounds.admitted_units(quota);
        let share = window.share(total, units, sight);
        let own = (window.own.spent + units) as f64;
        let all = own + window.peers.spent as f64;
        let free = sight == PeerSight::Connected && all <= total * FREE_PART;
        let admitted = free || own <= share;
        window.entries.push_back(SpentUnits { at: now, units, admitted });
        window.own.asked += units;
        if admitted {
            window.own.spent += units;
            return QuotaVerdict::Admitted;
        }
        let retry_after = window.time_to_room(now, span, own - share);
        let basis = QuotaBasis { own, peers: all - own, share, total };
        QuotaVerdict::Over { retry_after, basis }
    }

    /// Gives back units of a request that was proved not to have run.
    pub fn give_back(&mut self, team: &TeamName, units: u64) {
        let Some(window) = self.teams.get_mut(team) else { return };
        let admitted = |entry: &&mut SpentUnits| entry.admitted && entry.units == units;
        if let Some(entry) = window.entries.iter_mut().rev().find(admitted) {
            entry.admitted = false;
            window.own.spent = window.own.spent.saturating_sub(units);
        }
    }

    /// Replaces what the peers spent, all of them together.
    pub fn set_peers(&mut self, peers: &BTreeMap<TeamName, TeamSpending>) {
        for (team, window) in &mut self.teams {
            window.peers = peers.get(team).copied().unwrap_or_default();
        }
        for (team, spending) in peers {
            self.teams.entry(team.clone()).or_default().peers = *spending;
        }
    }

    /// Returns this host's own spending of the window.
    pub fn own_spending(&mut self, now: Timestamp) -> Vec<(TeamName, TeamSpending)> {
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

    /// Returns the units that this host may have spent in the window.
    fn share(&self, total: f64, units: u64, sight: PeerSight) -> f64 {
        match sight {
            PeerSight::Alone => total * ALONE_PART,
            PeerSight::Connected => {
                let own = (self.own.asked + units) as f64;
                let part = own / (own + self.peers.asked as f64);
                total * part.max(LEAST_PART)
            }
        }
    }

    /// Returns the time until at least `missing` units of the window have expired.
    fn time_to_room(&self, now: Timestamp, span: Duration, missing: f64) -> Duration {
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
