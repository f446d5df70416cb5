//! Decides which share of each rank's requests a service admits while it is overloaded.
//!
//! Load pattern: for minutes, callers send more than a service can begin to answer within its latency
//! goals. Every request that is admitted then makes others late, the most urgent ones included. Each
//! host counts how many requests of each rank it admitted and how many of them missed their goals, and
//! states the counts and its shares in its summaries, as long as any host misses goals. All hosts decide from the
//! sum, so they decide the same up to the delay of a summary; what differs converges, since a host
//! moves to the mean of the stated shares. Less urgent ranks give way first, and are admitted again
//! last. Before that, a rank leaves the last room of each server to more urgent ones. Between the two bounds of the missed share nothing changes, so that shares do not oscillate.
//!
//! Reports that are late or lost are used until they expire. Without any, and on each side of a
//! partition, hosts decide from what they hear of.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::waiting::route_times::CallerVisit;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Time over which requests are averaged: two to three summaries.
const AVERAGING_TIME: Duration = Duration::from_millis(1_200);

/// Minimum time between two decisions: about the time in which a change shows in the summaries.
const STEP_TIME: Duration = Duration::from_millis(350);

/// Share of missed goals from which on less is admitted.
const HIGH_MISSED: f64 = 0.15;

/// Share of missed goals from which on less is admitted of a rank that misses its own goals and has no
/// less urgent one to give way. Fewer late answers are worth more than the refusals that avoid them.
const COLLAPSE_MISSED: f64 = 0.5;

/// Share of missed goals below which more is admitted.
const LOW_MISSED: f64 = 0.05;

/// Factor by which an admitted share is lowered: from all to the minimum in about a second.
const DECREASE_FACTOR: f64 = 0.7;

/// Amount by which an admitted share is raised: from the minimum to all in six seconds.
const INCREASE_STEP: f64 = 0.04;

/// Time for which a rank has the smallest share before the next more urgent one gives way: its effect
/// shows only after requests that were admitted before have ended.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// Smallest admitted share. No rank is to be served less than a quarter as often as all requests.
const MIN_SHARE: f64 = 0.35;

/// Number of requests in the averaging time, over all hosts, from which a missed share means
/// something.
const MIN_REQUESTS: f64 = 6.0;

/// Averaged number of requests from which on a rank is stated: a tenth, the unit of the summaries.
const MIN_WEIGHT: f64 = 0.1;

/// Part of a server's slots that a rank leaves free for each more urgent rank: in the model of
/// `test_waiting_load`, 63 hosts answered 0.89 of the most urgent requests in time with it, and 0.71
/// without.
const RESERVED_PER_RANK: f64 = 0.1;

/// Largest part of the slots that any rank leaves free.
const MAX_RESERVED: f64 = 0.25;

/// Weight of the peers' mean in a host's own share.
const PEER_WEIGHT: f64 = 0.5;

/// Factor by which callers that were refused before are admitted more often.
const RETURN_FACTOR: f64 = 2.0;

/// Maximum number of ranks of one service that are told apart; the others count as the last one.
const MAX_RANKS: u32 = 10;

/// Maximum number of services whose ranks are counted.
const MAX_SERVICES: usize = 64;

/// Maximum number of requests that are taken from one report, so that a false one cannot decide for
/// all.
const MAX_REPORTED: f64 = 10_000.0;

/// What one host states of a rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Service.
    pub service: ServiceName,
    /// Priority.
    pub rank: u32,
    /// Requests that were admitted in the averaging time.
    pub requests: f64,
    /// Those of them that missed their goals, or found no room.
    pub missed: f64,
    /// Share that the host admits.
    pub share: f64,
}

/// A change of the admitted share.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Service.
    pub service: ServiceName,
    /// Priority.
    pub rank: u32,
    /// Share until now.
    pub before: f64,
    /// Share from now on.
    pub share: f64,
    /// Highest share of missed goals among the ranks of the service.
    pub missed: f64,
}

/// Whether a request is admitted while its service is overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankDecision {
    /// It is.
    Admitted,
    /// It may start only where it makes no other request late.
    Deferred,
}

#[derive(Clone, Copy, Debug)]
struct RankState {
    requests: f64,
    missed: f64,
    weighed_at: Timestamp,
    share: f64,
    /// Since when the share is the smallest one.
    least_since: Option<Timestamp>,
}

impl RankState {
    fn new(now: Timestamp) -> Self {
        Self { requests: 0.0, missed: 0.0, weighed_at: now, share: 1.0, least_since: None }
    }

    fn weigh(&mut self, now: Timestamp) {
        let age = now.since(self.weighed_at).as_secs_f64();
        let factor = (-age / AVERAGING_TIME.as_secs_f64()).exp();
        self.requests *= factor;
        self.missed *= factor;
        self.weighed_at = now;
    }
}

/// Sums over the hosts that report a rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankSum {
    requests: f64,
    missed: f64,
    shares: f64,
    reports: f64,
}

/// The ranks of all services at one host.
#[derive(Clone, Debug, Default)]
pub struct RankShares {
    services: BTreeMap<ServiceName, BTreeMap<u32, RankState>>,
    stepped_at: Timestamp,
    /// Whether this host or a peer reported a rank at the last step.
    is_reporting: bool,
}

impl RankShares {
    fn rank(&mut self, now: Timestamp, service: &ServiceName, rank: u32) -> Option<&mut RankState> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let ranks = self.services.get_mut(service)?;
        let state = ranks.entry(rank.min(MAX_RANKS - 1)).or_insert_with(|| RankState::new(now));
        state.weigh(now);
        Some(state)
    }

    /// Records that a request was admitted.
    pub fn on_admitted(&mut self, now: Timestamp, service: &ServiceName, rank: u32) {
        if let Some(state) = self.rank(now, service, rank) {
            state.requests += 1.0;
        }
    }

    /// Records that a request missed its goal, or found no room in time.
    pub fn on_missed(&mut self, now: Timestamp, service: &ServiceName, rank: u32) {
        if let Some(state) = self.rank(now, service, rank) {
            state.missed += 1.0;
        }
    }

    /// Returns the admitted share of a rank.
    pub fn share(&self, service: &ServiceName, rank: u32) -> f64 {
        let ranks = self.services.get(service);
        let state = ranks.and_then(|ranks| ranks.get(&rank.min(MAX_RANKS - 1)));
        state.map_or(1.0, |state| state.share)
    }

    /// Returns which part of a server's slots a rank leaves free for more urgent requests, if any came
    /// here recently.
    pub fn reserved_fraction(&self, service: &ServiceName, rank: u32) -> f64 {
        let Some(ranks) = self.services.get(service) else { return 0.0 };
        let urgent = ranks.range(..rank.min(MAX_RANKS - 1));
        let urgent = urgent.filter(|(_, state)| state.requests > MIN_WEIGHT);
        (urgent.count() as f64 * RESERVED_PER_RANK).min(MAX_RESERVED)
    }

    /// Decides on a request. `fraction` is a number from 0 to 1 that is the same for one request.
    pub fn decide(
        &self,
        service: &ServiceName,
        rank: u32,
        fraction: f64,
        visit: CallerVisit,
    ) -> RankDecision {
        let share = self.share(service, rank);
        let factor = match visit {
            CallerVisit::Return => RETURN_FACTOR,
            CallerVisit::First => 1.0,
        };
        match fraction < share * factor || share >= 1.0 {
            true => RankDecision::Admitted,
            false => RankDecision::Deferred,
        }
    }

    /// Returns what to state to the peers: nothing while no host misses goals.
    pub fn reports(&mut self, now: Timestamp) -> Vec<RankReport> {
        let mut reports = Vec::new();
        let is_asked = self.is_reporting;
        for (service, ranks) in &mut self.services {
            ranks.values_mut().for_each(|state| state.weigh(now));
            let is_missing =
                ranks.values().any(|state| state.missed > MIN_WEIGHT || state.share < 1.0);
            if !is_asked && !is_missing {
                continue;
            }
            let current =
                ranks.iter().filter(|(_, state)| state.requests > MIN_WEIGHT || state.share < 1.0);
            reports.extend(current.map(|(rank, state)| RankReport {
                service: service.clone(),
                rank: *rank,
                requests: state.requests,
                missed: state.missed,
                share: state.share,
            }));
        }
        reports
    }

    /// Decides on the shares from the reports of the peers that are heard from. Returns the changes.
    pub fn step(&mut self, now: Timestamp, peers: &[RankReport]) -> Vec<ShareChange> {
        if now.since(self.stepped_at) < STEP_TIME {
            return Vec::new();
        }
        self.stepped_at = now;
        self.is_reporting = !peers.is_empty();
        let mut sums: BTreeMap<&ServiceName, BTreeMap<u32, RankSum>> = BTreeMap::new();
        for report in peers {
            let ranks = sums.entry(&report.service).or_default();
            let sum = ranks.entry(report.rank.min(MAX_RANKS - 1)).or_default();
            let requests = report.requests.clamp(0.0, MAX_REPORTED);
            sum.requests += requests;
            sum.missed += report.missed.clamp(0.0, requests.max(1.0));
            sum.shares += report.share.clamp(MIN_SHARE, 1.0);
            sum.reports += 1.0;
        }
        // Ranks of which this host had no request yet count as well.
        for (service, ranks) in &sums {
            for rank in ranks.keys() {
                self.rank(now, service, *rank);
            }
        }
        let mut changes = Vec::new();
        for (service, ranks) in &mut self.services {
            ranks.values_mut().for_each(|state| state.weigh(now));
            let none = BTreeMap::new();
            step_service(now, service, ranks, sums.get(service).unwrap_or(&none), &mut changes);
        }
        self.services.retain(|_, ranks| {
            ranks.retain(|_, state| state.requests > MIN_WEIGHT || state.share < 1.0);
            !ranks.is_empty()
        });
        changes
    }
}

/// Moves the shares of one service.
fn step_service(
    now: Timestamp,
    service: &ServiceName,
    ranks: &mut BTreeMap<u32, RankState>,
    peers: &BTreeMap<u32, RankSum>,
    changes: &mut Vec<ShareChange>,
) {
    let before: Vec<f64> = ranks.values().map(|state| state.share).collect();
    let mut worst: Option<(u32, f64)> = None;
    let mut highest = 0.0_f64;
    for (rank, state) in ranks.iter_mut() {
        let peers = peers.get(rank).copied().unwrap_or_default();
        if peers.reports > 0.0 {
            let mean = peers.shares / peers.reports;
            state.share += (mean - state.share) * PEER_WEIGHT;
        }
        let requests = state.requests + peers.requests;
        if requests < MIN_REQUESTS {
            continue;
        }
        let missed = (state.missed + peers.missed) / requests;
        highest = highest.max(missed);
        if missed > HIGH_MISSED && worst.is_none() {
            worst = Some((*rank, missed));
        }
    }
    match worst {
        // The least urgent rank gives way first.
        Some((worst, missed)) => {
            let settled = |state: &RankState| {
                state.least_since.is_some_and(|since| now.since(since) >= SETTLE_TIME)
            };
            let giving = ranks.iter_mut().rev().find(|(_, state)| !settled(state));
            if let Some((rank, state)) = giving
                && (*rank > worst || missed > COLLAPSE_MISSED)
            {
                state.share = (state.share * DECREASE_FACTOR).max(MIN_SHARE);
            }
        }
        None if highest < LOW_MISSED => {
            if let Some(state) = ranks.values_mut().find(|state| state.share < 1.0) {
                state.share = (state.share + INCREASE_STEP).min(1.0);
            }
        }
        None => {}
    }
    // A less urgent rank is not admitted more often than a more urgent one.
    let mut bound = 1.0_f64;
    for state in ranks.values_mut() {
        bound = bound.min(state.share);
        state.share = bound;
        let is_least = bound <= MIN_SHARE;
        state.least_since = state.least_since.filter(|_| is_least).or(is_least.then_some(now));
    }
    for ((rank, state), before) in ranks.iter().zip(before) {
        if (state.share - before).abs() > f64::EPSILON {
            changes.push(ShareChange {
                service: service.clone(),
                rank: *rank,
                before,
                share: state.share,
                missed: highest,
            });
        }
    }
}
