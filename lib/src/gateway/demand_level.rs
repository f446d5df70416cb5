//! Demand of a host for each service, in steps that the host states to its peers.
//!
//! Hosts divide the limits of servers by it, so it must mean the same to all of them at nearly the
//! same time: a level changes only when the demand has doubled or halved, and a host relies on a
//! higher level only after its peers have had time to hear of it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Time over which requests are counted, as a number of slots.
const RATE_SLOTS: usize = 8;

/// Length of a slot.
const SLOT_TIME: Duration = Duration::from_secs(4);

/// Time after which all peers have heard a statement.
pub const STATEMENT_DELAY: Duration = Duration::from_secs(3);

/// Level of one request per second.
const UNIT_LEVEL: u32 = 4;

/// Demand of a level as a multiple of that of the level before.
const LEVEL_STEP: f64 = 4.0;

/// Lowest level of a host with any demand: a few requests in the time over which they are counted say
/// little of the demand.
const MIN_LEVEL: u32 = 3;

/// Highest level.
const MAX_LEVEL: u32 = 12;

/// Time without a request after which there is no demand.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Steps by which the demand must differ from its level for the level to change.
const LEVEL_HYSTERESIS: f64 = 0.8;

/// Demand of a host for a service: 0 if there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandLevel(u32);

impl DemandLevel {
    /// No demand.
    pub const NONE: Self = Self(0);

    /// Level of a host that states none.
    pub const UNSTATED: Self = Self(UNIT_LEVEL);

    /// Builds a level that a peer states.
    pub fn stated(level: u32) -> Self {
        Self(level.min(MAX_LEVEL))
    }

    /// Returns the number of the level.
    pub fn number(self) -> u32 {
        self.0
    }

    /// Returns the demand in the unit of one request per second.
    pub fn weight(self) -> f64 {
        match self.0 {
            0 => 0.0,
            level => LEVEL_STEP.powf(f64::from(level) - f64::from(UNIT_LEVEL)),
        }
    }

    /// Returns the level of so many requests per second, which stays the same if it is near.
    fn next(self, rate: f64) -> Self {
        let exact = rate.log(LEVEL_STEP) + f64::from(UNIT_LEVEL);
        let exact = exact.clamp(f64::from(MIN_LEVEL), f64::from(MAX_LEVEL));
        if (exact - f64::from(self.0)).abs() <= LEVEL_HYSTERESIS {
            return self;
        }
        Self(exact.round() as u32)
    }
}

#[derive(Clone, Copy, Debug)]
struct StatedLevel {
    at: Timestamp,
    level: DemandLevel,
}

#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    /// Requests in each of the last slots.
    counts: [u32; RATE_SLOTS],
    /// Number of the newest slot.
    slot: u64,
    /// When the last request came.
    counted_at: Option<Timestamp>,
    /// What was stated, oldest first; the first one may be older than the delay.
    stated: VecDeque<StatedLevel>,
}

impl ServiceDemand {
    fn advance(&mut self, now: Timestamp) {
        let slot = now.as_millis() / SLOT_TIME.as_millis() as u64;
        let passed = slot.saturating_sub(self.slot).min(RATE_SLOTS as u64);
        for step in 1..=passed {
            self.counts[((slot - passed + step) % RATE_SLOTS as u64) as usize] = 0;
        }
        self.slot = self.slot.max(slot);
    }

    fn count(&mut self, now: Timestamp) {
        self.advance(now);
        self.counts[(self.slot % RATE_SLOTS as u64) as usize] += 1;
        self.counted_at = Some(now);
    }

    /// Returns the requests per second of a host that has run since `started_at`.
    fn rate(&mut self, now: Timestamp, started_at: Timestamp) -> f64 {
        self.advance(now);
        let counted = now.since(started_at).clamp(SLOT_TIME, SLOT_TIME * RATE_SLOTS as u32);
        f64::from(self.counts.iter().sum::<u32>()) / counted.as_secs_f64()
    }

    fn state(&mut self, now: Timestamp, level: DemandLevel) {
        if self.stated.back().is_none_or(|last| last.level != level) {
            self.stated.push_back(StatedLevel { at: now, level });
        }
        while self.stated.get(1).is_some_and(|next| now.since(next.at) >= STATEMENT_DELAY) {
            self.stated.pop_front();
        }
    }
}

/// Demand of one host by service.
#[derive(Clone, Debug)]
pub struct DemandLevels {
    started_at: Timestamp,
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandLevels {
    /// Builds the levels of a host that starts.
    pub fn new(started_at: Timestamp) -> Self {
        Self { started_at, services: BTreeMap::new() }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        match self.services.get_mut(service) {
            Some(demand) => demand.count(now),
            None => self.services.entry(service.clone()).or_default().count(now),
        }
    }

    /// Returns the level of a service to state in the next summary.
    pub fn state_level(&mut self, now: Timestamp, service: &ServiceName) -> DemandLevel {
        let demand = self.services.entry(service.clone()).or_default();
        let rate = demand.rate(now, self.started_at);
        let last = demand.stated.back().map_or(DemandLevel::UNSTATED, |last| last.level);
        let is_idle = demand.counted_at.is_none_or(|at| now.since(at) >= IDLE_TIME);
        let level = if is_idle { DemandLevel::NONE } else { last.next(rate) };
        demand.state(now, level);
        level
    }

    /// Records that a summary states no levels, since no server names a limit.
    pub fn state_none(&mut self) {
        self.services.values_mut().for_each(|demand| demand.stated.clear());
    }

    /// Returns the least level of a service that peers may still rely on.
    pub fn known_level(&self, now: Timestamp, service: &ServiceName) -> DemandLevel {
        if now.since(self.started_at) < STATEMENT_DELAY {
            return DemandLevel::NONE;
        }
        let stated = self.services.get(service).map(|demand| &demand.stated);
        let Some(first) = stated.and_then(VecDeque::front) else { return DemandLevel::UNSTATED };
        // Before its first statement peers take the level of a host that states none.
        let unstated = (now.since(first.at) < STATEMENT_DELAY).then_some(DemandLevel::UNSTATED);
        let levels = stated.into_iter().flatten().map(|stated| stated.level);
        levels.chain(unstated).min().unwrap_or(DemandLevel::UNSTATED)
    }
}
