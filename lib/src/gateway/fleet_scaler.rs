//! Decides how many servers of a service to order in each availability zone, and of which kind.
//!
//! Load pattern: demand that swings within a minute, servers that take seconds to start and are by
//! far the largest cost, and a cloud that reclaims all reclaimable servers of a zone at once and
//! then has none for a while. The fleet follows the tokens that callers request: it scales up at
//! once, and down only after demand has stayed lower for a while. Where reclaimable servers are
//! cheap enough, every zone gets so many of them that the other zones can carry the load while one
//! zone is reclaimed; ordinary servers cover the part of the demand that the existing reclaimable
//! ones can't.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::serving_config::FleetBounds;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Prompt tokens that one server prefills per second when it does nothing else.
const PREFILL_TOKENS_PER_S: f64 = 55_000.0;

/// Requested output tokens that one server serves per second with a half-full batch; responses are
/// shorter than the requested maximum.
const OUTPUT_TOKENS_PER_S: f64 = 16_000.0;

/// Fraction of a server's capacity that demand may use; the rest absorbs bursts within seconds.
const TARGET_UTILIZATION: f64 = 0.6;

/// Sliding window over which the peak demand sets the fleet size. It is short because servers are
/// back within their start time, and servers kept after a short peak cost as much as needed ones.
const PEAK_WINDOW: Duration = Duration::from_secs(10);

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
    /// Returns the number of servers needed for the demand.
    pub fn required_servers(self) -> f64 {
        (self.prefill / PREFILL_TOKENS_PER_S + self.output / OUTPUT_TOKENS_PER_S)
            / TARGET_UTILIZATION
    }
}

/// Servers of one zone by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// Servers that the cloud does not reclaim.
    pub ordinary: u32,
    /// Servers that the cloud may reclaim.
    pub reclaimable: u32,
}

impl ZoneFleet {
    fn total(self) -> u32 {
        self.ordinary + self.reclaimable
    }
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

/// Demand and orders of one service.
#[derive(Clone, Debug)]
pub struct FleetScaler {
    service: ServiceName,
    /// Sliding-window maximum: each entry is larger than all later ones; oldest and largest first.
    peaks: VecDeque<(Timestamp, TokenDemand)>,
    /// Last order by zone and by whether it was for reclaimable servers.
    placed: BTreeMap<(ZoneName, bool), PlacedOrder>,
    /// Last time without any demand, and the number of servers present at first; their number
    /// stands in for the demand until it is known.
    initial_servers: Option<(Timestamp, u32)>,
    /// When orders were first evaluated.
    first_evaluated_at: Option<Timestamp>,
}

impl FleetScaler {
    /// Creates the state of a service without demand.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            peaks: VecDeque::new(),
            placed: BTreeMap::new(),
            initial_servers: None,
            first_evaluated_at: None,
        }
    }

    /// Records the current demand.
    pub fn on_demand(&mut self, now: Timestamp, demand: TokenDemand) {
        while self
            .peaks
            .back()
            .is_some_and(|(_, peak)| peak.required_servers() <= demand.required_servers())
        {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_WINDOW) {
            self.peaks.pop_front();
        }
    }

    /// Records whether the cloud accepted an order.
    pub fn on_outcome(&mut self, now: Timestamp, order: &FleetOrder, accepted: bool) {
        let placed = PlacedOrder { desired: order.desired, at: now, accepted };
        self.placed.insert((order.zone.clone(), order.reclaimable), placed);
    }

    /// Returns the peak demand in the window.
    pub fn peak_demand(&self) -> TokenDemand {
        self.peaks.front().map_or(TokenDemand::default(), |(_, peak)| *peak)
    }

    /// Returns the orders to place now, given the servers present in each zone.
    pub fn orders(
        &mut self,
        now: Timestamp,
        bounds: &FleetBounds,
        present: &BTreeMap<ZoneName, ZoneFleet>,
    ) -> Vec<FleetOrder> {
        let existing: u32 = present.values().map(|fleet| fleet.total()).sum();
        let is_demand_unknown = self.peak_demand() == TokenDemand::default();
        let initial_servers = match self.initial_servers {
            // The first evaluations may run before all servers are listed.
            Some((_, initial_servers)) if is_demand_unknown && self.placed.is_empty() => {
                initial_servers.max(existing)
            }
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
            return Vec::new();
        }
        let needed = self.needed_servers(now);
        let wanted = plan_zones(bounds, needed, present);
        let mut orders = Vec::new();
        for (zone, wanted) in wanted {
            let existing = present.get(&zone).copied().unwrap_or_default();
            for (reclaimable, desired, count) in [
                (true, wanted.reclaimable, existing.reclaimable),
                (false, wanted.ordinary, existing.ordinary),
            ] {
                if desired != count && !self.is_pending(now, &zone, reclaimable, desired, bounds) {
                    let service = self.service.clone();
                    let zone = zone.clone();
                    orders.push(FleetOrder { service, zone, desired, reclaimable });
                }
            }
        }
        orders
    }

    /// Returns the number of servers needed for the demand, plus one to tolerate the loss of one.
    fn needed_servers(&self, now: Timestamp) -> u32 {
        let by_demand = self.peak_demand().required_servers().ceil() as u32 + 1;
        match self.initial_servers {
            Some((at, initial_servers)) if now.since(at) < DEMAND_WARMUP => {
                by_demand.max(initial_servers)
            }
            _ => by_demand,
        }
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

/// Returns the desired servers of each zone, given those present.
fn plan_zones(
    bounds: &FleetBounds,
    needed: u32,
    present: &BTreeMap<ZoneName, ZoneFleet>,
) -> BTreeMap<ZoneName, ZoneFleet> {
    let reclaimable = reclaimable_per_zone(bounds, needed);
    let existing: u32 = present.values().map(|fleet| fleet.reclaimable).sum();
    let ordinary = match reclaimable {
        0 => spread_ordinary(bounds, needed, present, bounds.min),
        _ => spread_ordinary(bounds, needed.saturating_sub(existing), present, 0),
    };
    let zones = ordinary.into_iter().map(|(zone, ordinary)| {
        let capacity = bounds.max.saturating_sub(ordinary);
        let reclaimable = reclaimable.min(capacity);
        (zone, ZoneFleet { ordinary, reclaimable })
    });
    zones.collect()
}

/// Returns the number of reclaimable servers for each zone, such that the other zones suffice when
/// one is reclaimed; 0 if ordinary servers are cheaper.
fn reclaimable_per_zone(bounds: &FleetBounds, needed: u32) -> u32 {
    let Some(price) = bounds.reclaimable_price else { return 0 };
    let zones = u32::try_from(bounds.zone_prices.len()).unwrap_or(u32::MAX);
    let per_zone = needed.div_ceil(zones.saturating_sub(1).max(1)).clamp(bounds.min, bounds.max);
    let is_cheaper = f64::from(per_zone * zones) * price < f64::from(needed);
    if is_cheaper { per_zone } else { 0 }
}

/// Distributes ordinary servers over the zones: existing ones stay, and new ones go to the zones
/// with the fewest, the cheapest first. Existing reclaimable servers count against a zone's
/// maximum.
fn spread_ordinary(
    bounds: &FleetBounds,
    count: u32,
    present: &BTreeMap<ZoneName, ZoneFleet>,
    min: u32,
) -> BTreeMap<ZoneName, u32> {
    let existing = |zone: &ZoneName| present.get(zone).copied().unwrap_or_default();
    let capacity = |zone: &ZoneName| match min {
        0 => bounds.max.saturating_sub(existing(zone).reclaimable),
        _ => bounds.max,
    };
    let mut zones: Vec<(&ZoneName, u32)> =
        bounds.zone_prices.keys().map(|zone| (zone, min)).collect();
    zones.sort_by(|a, b| bounds.zone_prices[a.0].total_cmp(&bounds.zone_prices[b.0]));
    let mut remaining = count.saturating_sub(zones.iter().map(|(_, count)| count).sum());
    for (zone, planned) in &mut zones {
        let retained = existing(zone).ordinary.min(capacity(zone));
        let kept = retained.saturating_sub(*planned).min(remaining);
        *planned += kept;
        remaining -= kept;
    }
    while remaining > 0 {
        let with_capacity = zones.iter_mut().filter(|(zone, planned)| *planned < capacity(zone));
        let Some((_, planned)) = with_capacity.min_by_key(|(_, planned)| *planned) else { break };
        *planned += 1;
        remaining -= 1;
    }
    zones.into_iter().map(|(zone, planned)| (zone.clone(), planned)).collect()
}
