//! Decides when to order servers of a service: from its demand, its servers and its earlier orders.
//!
//! Load pattern: demand that swings within a minute, servers that take seconds to start and are by
//! far the largest cost, and a cloud that refuses orders for a while. The fleet follows the tokens
//! that callers request, divided by the speed that is learned of the service's servers: it scales up at
//! once, and down only after demand has stayed lower for a while. A learned speed shows neither bursts
//! nor uneven servers. While callers are late, the servers that it saves compared with the initial guess
//! are therefore added again. `fleet_plan` turns the number of servers needed into orders for each zone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::capacity::fleet_plan::MAX_LOST_ZONES;
use crate::gateway::capacity::fleet_plan::ServerNeed;
use crate::gateway::capacity::fleet_plan::SpareMarket;
use crate::gateway::capacity::fleet_plan::ZoneFleet;
use crate::gateway::capacity::fleet_plan::ZoneSupply;
use crate::gateway::capacity::fleet_plan::plan_ordinary;
use crate::gateway::capacity::fleet_plan::plan_reclaimable;
use crate::gateway::capacity::lateness_meter::AnswerCounts;
use crate::gateway::capacity::service_speed::ServiceSpeed;
use crate::gateway::capacity::service_speed::SpeedBasis;
use crate::gateway::serving_config::FleetBounds;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Fraction of a server's capacity that demand may use; the rest absorbs bursts within seconds.
const TARGET_UTILIZATION: f64 = 0.6;

/// The same for a learned speed, which is less than that of an engine that only reads prompts: it contains
/// what servers spend on decoding meanwhile. With 0.7 fleets of engines like the initial guess grew.
const LEARNED_UTILIZATION: f64 = 0.85;

/// Sliding window over which the peak demand sets the number of ordinary servers. It is short
/// because servers are back within their start time, and servers kept after a short peak cost as
/// much as needed ones.
const ORDINARY_PEAK_WINDOW: Duration = Duration::from_secs(10);

/// Sliding window over which the peak demand sets the number of reclaimable servers. They are cheap
/// to keep, and may be out of stock when demand returns.
const RECLAIMABLE_PEAK_WINDOW: Duration = Duration::from_secs(40);

/// Time for which servers that name limits are made up for after the last of them is free: limits come
/// and go within seconds, and servers take as long to start.
const SHORTFALL_HOLD: Duration = Duration::from_secs(10);

/// Share of late answers above which servers are added, and the one below which they are given up again.
/// A few percent are late for reasons that servers do not mend, such as lost hosts.
const HIGH_LATE_SHARE: f64 = 0.04;
const LOW_LATE_SHARE: f64 = 0.02;

/// Answers below which their late share is left to chance.
const MIN_COUNTED_ANSWERS: u64 = 50;

/// Part of the spared servers that is added per second while callers are late: all of them within the
/// start time of a server.
const RELIEF_RISE_PER_S: f64 = 0.25;

/// Part of the saved servers that is given up per second while callers are served in time.
const RELIEF_FALL_PER_S: f64 = 0.02;

/// Time between two counts up to which the change of the relief is in proportion to it.
const MAX_RELIEF_STEP: Duration = Duration::from_secs(1);

/// Time after the first demand until the measured demand is trusted.
const DEMAND_WARMUP: Duration = Duration::from_secs(6);

/// Time beyond a server's start time after which an order is repeated if the directory does not
/// show its servers.
const ORDER_RETRY_MARGIN: Duration = Duration::from_secs(2);

/// Time after a refused order until the next attempt in that zone.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Tokens per second that callers request from a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenDemand {
    /// Prompt tokens that servers have to prefill.
    pub prefill: f64,
    /// Tokens that servers may have to generate.
    pub output: f64,
}

impl TokenDemand {
    /// Returns the number of servers of a speed that the demand needs.
    pub fn required_servers(self, speed: ServiceSpeed) -> f64 {
        let utilization = match speed.basis {
            SpeedBasis::Guessed => TARGET_UTILIZATION,
            SpeedBasis::Learned => LEARNED_UTILIZATION,
        };
        (self.prefill / speed.prefill_tokens_per_s + self.output / speed.output_tokens_per_s)
            / utilization
    }
}

/// Demand at one time.
#[derive(Clone, Copy, Debug)]
struct DemandPeak {
    at: Timestamp,
    demand: TokenDemand,
    /// Servers needed, at the speed that was known then.
    servers: f64,
}

/// An order for the servers of one kind of a service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Desired number of servers of the kind in the zone.
    pub desired: u32,
    /// Whether the order is for reclaimable servers.
    pub reclaimable: bool,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    desired: u32,
    at: Timestamp,
    accepted: bool,
}

/// Servers of one zone as the directory lists them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedServers {
    /// Servers that accept requests.
    pub ready: ZoneFleet,
    /// Servers whose entries are missing and may reappear.
    pub missing: ZoneFleet,
    /// Reclaimable servers that the cloud is about to reclaim.
    pub under_notice: u32,
}

/// Demand and orders of one service.
#[derive(Clone, Debug)]
pub struct FleetScaler {
    service: ServiceName,
    /// Sliding-window maximum: each entry is larger than all later ones; oldest and largest first.
    peaks: VecDeque<DemandPeak>,
    /// Speed of a server.
    speed: ServiceSpeed,
    /// Part of the servers saved by the learned speed that is added again, from 0 to 1.
    relief: f64,
    /// When the lateness of callers was last counted.
    relief_at: Option<Timestamp>,
    /// Last order by zone and by whether it was for reclaimable servers.
    placed: BTreeMap<(ZoneName, bool), PlacedOrder>,
    /// Zones where reclaimable servers have been listed.
    reclaimable_seen: BTreeSet<ZoneName>,
    /// Last time without any demand, and the number of servers present at first; their number
    /// stands in for the demand until it is known.
    initial_servers: Option<(Timestamp, u32)>,
    /// When orders were first evaluated.
    first_evaluated_at: Option<Timestamp>,
    /// Servers that those with limits lack, and when there were so many.
    shortfall: Option<(Timestamp, f64)>,
}

impl FleetScaler {
    /// Creates the state of a service without demand.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            peaks: VecDeque::new(),
            speed: ServiceSpeed::INITIAL,
            relief: 0.0,
            relief_at: None,
            placed: BTreeMap::new(),
            reclaimable_seen: BTreeSet::new(),
            initial_servers: None,
            first_evaluated_at: None,
            shortfall: None,
        }
    }

    /// Records the speed that is expected of a server.
    pub fn on_speed(&mut self, speed: ServiceSpeed) {
        let is_first_learned =
            self.speed.basis == SpeedBasis::Guessed && speed.basis == SpeedBasis::Learned;
        self.speed = speed;
        if is_first_learned {
            // What was needed by the guess no longer counts.
            for peak in std::mem::take(&mut self.peaks) {
                self.push_peak(peak.at, peak.demand);
            }
        }
    }

    /// Records how many callers of all hosts were served late.
    pub fn on_lateness(&mut self, now: Timestamp, counts: AnswerCounts) {
        let step = now.since(self.relief_at.unwrap_or(now)).min(MAX_RELIEF_STEP).as_secs_f64();
        self.relief_at = Some(now);
        if counts.answers < MIN_COUNTED_ANSWERS {
            return;
        }
        let change = match counts.late_share() {
            share if share > HIGH_LATE_SHARE => RELIEF_RISE_PER_S * step,
            share if share < LOW_LATE_SHARE => -RELIEF_FALL_PER_S * step,
            _ => 0.0,
        };
        self.relief = (self.relief + change).clamp(0.0, 1.0);
    }

    /// Returns the part of the saved servers that is added again, from 0 to 1.
    pub fn relief(&self) -> f64 {
        self.relief
    }

    /// Records the current demand.
    pub fn on_demand(&mut self, now: Timestamp, demand: TokenDemand) {
        self.push_peak(now, demand);
        while self.peaks.front().is_some_and(|peak| now.since(peak.at) > RECLAIMABLE_PEAK_WINDOW) {
            self.peaks.pop_front();
        }
    }

    fn push_peak(&mut self, at: Timestamp, demand: TokenDemand) {
        let servers = demand.required_servers(self.speed.optimistic());
        while self.peaks.back().is_some_and(|peak| peak.servers <= servers) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(DemandPeak { at, demand, servers });
    }

    /// Records the servers that are listed, also while another host places the orders.
    pub fn on_servers(&mut self, listed: &BTreeMap<ZoneName, ListedServers>) {
        let has_reclaimable = |servers: &ListedServers| {
            servers.ready.reclaimable + servers.missing.reclaimable + servers.under_notice > 0
        };
        let zones = listed.iter().filter(|(_, servers)| has_reclaimable(servers));
        self.reclaimable_seen.extend(zones.map(|(zone, _)| zone.clone()));
    }

    /// Records how many servers are missing, since those that name limits count with what they name.
    pub fn on_shortfall(&mut self, now: Timestamp, servers: f64) {
        let is_kept = self
            .shortfall
            .is_some_and(|(at, known)| known > servers && now.since(at) < SHORTFALL_HOLD);
        if !is_kept {
            self.shortfall = (servers > 0.0).then_some((now, servers));
        }
    }

    /// Records whether the cloud accepted an order.
    pub fn on_outcome(&mut self, now: Timestamp, order: &FleetOrder, accepted: bool) {
        let placed = PlacedOrder { desired: order.desired, at: now, accepted };
        self.placed.insert((order.zone.clone(), order.reclaimable), placed);
    }

    /// Returns the demand within a sliding window that needed most servers.
    fn peak(&self, now: Timestamp, window: Duration) -> Option<&DemandPeak> {
        self.peaks.iter().find(|peak| now.since(peak.at) <= window)
    }

    /// Returns the peak demand that sets the number of ordinary servers.
    pub fn current_demand(&self, now: Timestamp) -> TokenDemand {
        self.peak(now, ORDINARY_PEAK_WINDOW).map_or(TokenDemand::default(), |peak| peak.demand)
    }

    /// Returns the servers needed for the peak demand within a sliding window, with those that are added
    /// since callers are late.
    fn required_servers(&self, now: Timestamp, window: Duration) -> f64 {
        let Some(peak) = self.peak(now, window) else { return 0.0 };
        let guessed = peak.demand.required_servers(ServiceSpeed::INITIAL);
        peak.servers + (guessed - peak.servers).max(0.0) * self.relief
    }

    /// Returns the orders for one kind of server to place now, given the servers listed in each zone.
    ///
    /// Orders for reclaimable servers go first: whether they are accepted decides how many ordinary
    /// ones are needed.
    pub fn orders(
        &mut self,
        now: Timestamp,
        bounds: &FleetBounds,
        listed: &BTreeMap<ZoneName, ListedServers>,
        reclaimable: bool,
    ) -> Vec<FleetOrder> {
        self.on_servers(listed);
        let Some(need) = self.server_need(now, listed) else { return Vec::new() };
        let zones: BTreeMap<ZoneName, ZoneSupply> = bounds
            .zone_prices
            .keys()
            .map(|zone| (zone.clone(), self.zone_supply(now, zone, bounds, listed)))
            .collect();
        let market = self.market(need, bounds, listed, &zones);
        let planned = match reclaimable {
            true => plan_reclaimable(bounds, need, &zones, market),
            false => plan_ordinary(bounds, need, &zones, market),
        };
        let mut orders = Vec::new();
        for (zone, desired) in planned {
            let servers = listed.get(&zone).copied().unwrap_or_default();
            let count = servers.ready.count(reclaimable);
            // Servers whose entries are missing may be alive, so nothing is released meanwhile.
            let is_release = desired < count + servers.missing.count(reclaimable);
            let is_held =
                is_release && (servers.missing.total() > 0 || self.is_listing_new(now, bounds));
            if desired != count
                && !is_held
                && !self.is_pending(now, &zone, reclaimable, desired, bounds)
            {
                let service = self.service.clone();
                orders.push(FleetOrder { service, zone, desired, reclaimable });
            }
        }
        orders
    }

    /// Returns whether the first listings may still lack servers.
    fn is_listing_new(&self, now: Timestamp, bounds: &FleetBounds) -> bool {
        self.first_evaluated_at.is_none_or(|at| now.since(at) < bounds.boot_time)
    }

    /// Returns the number of servers needed, or `None` while neither the demand nor any server is
    /// known.
    fn server_need(
        &mut self,
        now: Timestamp,
        listed: &BTreeMap<ZoneName, ListedServers>,
    ) -> Option<ServerNeed> {
        let existing: u32 = listed.values().map(|servers| servers.ready.total()).sum();
        let ordinary: u32 = listed.values().map(|servers| servers.ready.ordinary).sum();
        let is_demand_unknown = self
            .peak(now, RECLAIMABLE_PEAK_WINDOW)
            .is_none_or(|peak| peak.demand == TokenDemand::default());
        let initial_servers = match self.initial_servers {
            // The first evaluations may run before all servers are listed.
            Some((_, initial_servers)) if is_demand_unknown && self.placed.is_empty() => {
                initial_servers.max(existing)
            }
            // The reclaimable ones among them may be ordered to replace the initial servers.
            Some((_, initial_servers)) if is_demand_unknown => initial_servers.max(ordinary),
            Some((_, initial_servers)) => initial_servers,
            None => existing,
        };
        let first_evaluated_at = *self.first_evaluated_at.get_or_insert(now);
        if is_demand_unknown || self.initial_servers.is_none() {
            self.initial_servers = Some((now, initial_servers));
        }
        if is_demand_unknown
            && initial_servers == 0
            && now.since(first_evaluated_at) < DEMAND_WARMUP
        {
            return None;
        }
        // One server more than needed, to tolerate the loss of one.
        let shortfall = self.shortfall.map_or(0.0, |(_, servers)| servers).ceil() as u32;
        let by_demand = |window| self.required_servers(now, window).ceil() as u32 + 1 + shortfall;
        let current = by_demand(ORDINARY_PEAK_WINDOW);
        let recent_peak = by_demand(RECLAIMABLE_PEAK_WINDOW);
        Some(match self.initial_servers {
            // The first fleet may be larger than needed, so its full reserve waits for the demand.
            Some((at, initial_servers)) if now.since(at) < DEMAND_WARMUP => ServerNeed {
                current: current.max(initial_servers + shortfall),
                recent_peak: recent_peak.max(initial_servers + shortfall),
                lost_zones: 1,
            },
            _ => ServerNeed { current, recent_peak, lost_zones: MAX_LOST_ZONES },
        })
    }

    /// Returns what is known of a zone's servers and of those ordered there.
    fn zone_supply(
        &self,
        now: Timestamp,
        zone: &ZoneName,
        bounds: &FleetBounds,
        listed: &BTreeMap<ZoneName, ListedServers>,
    ) -> ZoneSupply {
        let ready = listed.get(zone).copied().unwrap_or_default().ready;
        let boot_limit = bounds.boot_time + ORDER_RETRY_MARGIN;
        let booting = self
            .placed
            .get(&(zone.clone(), true))
            .filter(|placed| placed.accepted && now.since(placed.at) < boot_limit)
            .map_or(0, |placed| placed.desired.saturating_sub(ready.reclaimable));
        ZoneSupply { ready, booting }
    }

    /// Returns whether lost reclaimable servers can be replaced: not while a zone is under notice or
    /// lacks most of those it had, nor after a refused order.
    fn market(
        &self,
        need: ServerNeed,
        bounds: &FleetBounds,
        listed: &BTreeMap<ZoneName, ListedServers>,
        zones: &BTreeMap<ZoneName, ZoneSupply>,
    ) -> SpareMarket {
        let zone_count = u32::try_from(bounds.zone_prices.len()).unwrap_or(u32::MAX);
        let expected = need.current.div_ceil(zone_count.max(1));
        let is_scarce = |(zone, supply): (&ZoneName, &ZoneSupply)| {
            let is_under_notice = listed.get(zone).is_some_and(|servers| servers.under_notice > 0);
            let is_lost = self.reclaimable_seen.contains(zone)
                && (supply.ready.reclaimable + supply.booting) * 2 < expected;
            let is_refused = self.placed.get(&(zone.clone(), true)).is_some_and(|placed| {
                !placed.accepted && placed.desired > supply.ready.reclaimable
            });
            is_under_notice || is_lost || is_refused
        };
        if zones.iter().any(is_scarce) { SpareMarket::Scarce } else { SpareMarket::Open }
    }

    fn is_pending(
        &self,
        now: Timestamp,
        zone: &ZoneName,
        reclaimable: bool,
        count: u32,
        bounds: &FleetBounds,
    ) -> bool {
        self.placed.get(&(zone.clone(), reclaimable)).is_some_and(|placed| {
            let delay = if placed.accepted {
                bounds.boot_time + ORDER_RETRY_MARGIN
            } else {
                REFUSED_RETRY_DELAY
            };
            placed.desired == count && now.since(placed.at) < delay
        })
    }
}
