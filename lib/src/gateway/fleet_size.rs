//! How many servers of a service to order in each availability zone.
//!
//! Load pattern: demand that swings within a minute, and servers that take seconds to start and are
//! by far the largest price. The fleet follows the tokens that callers ask for, up at once and down
//! only after demand has stayed lower for a while; each zone keeps the least that operators allow,
//! and what is needed beyond goes to the cheapest zones.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::serving_config::FleetBounds;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Prompt tokens that one server reads per second when it does nothing else.
const PREFILL_TOKENS_PER_S: f64 = 55_000.0;

/// Tokens that one server generates per second at a half-full batch.
const OUTPUT_TOKENS_PER_S: f64 = 16_000.0;

/// Part of a server's capacity that demand may use, so that waves within seconds find room.
const TARGET_USE: f64 = 0.6;

/// Time for which the largest demand decides.
const PEAK_MEMORY: Duration = Duration::from_secs(20);

/// Time after an order until it is repeated if the directory does not show it.
const REPEAT_DELAY: Duration = Duration::from_secs(4);

/// Time after a refused order until the next try in that zone.
const REFUSED_DELAY: Duration = Duration::from_secs(3);

/// Tokens per second that callers ask of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenDemand {
    /// Prompt tokens that servers have to read.
    pub prefill: f64,
    /// Tokens that servers have to generate.
    pub output: f64,
}

impl TokenDemand {
    /// Returns the number of servers that serve the demand.
    fn servers(self) -> f64 {
        (self.prefill / PREFILL_TOKENS_PER_S + self.output / OUTPUT_TOKENS_PER_S) / TARGET_USE
    }
}

/// An order for the servers of a service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Servers wanted there.
    pub desired: u32,
    /// Whether the order is for servers that the cloud may take back.
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
pub struct FleetSize {
    service: ServiceName,
    /// Demands that were the largest since, oldest and largest first.
    peaks: VecDeque<(Timestamp, TokenDemand)>,
    placed: BTreeMap<ZoneName, PlacedOrder>,
}

impl FleetSize {
    /// Builds the state of a service without demand.
    pub fn new(service: ServiceName) -> Self {
        Self { service, peaks: VecDeque::new(), placed: BTreeMap::new() }
    }

    /// Records the demand of the moment.
    pub fn on_demand(&mut self, now: Timestamp, demand: TokenDemand) {
        while self.peaks.back().is_some_and(|(_, peak)| peak.servers() <= demand.servers()) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_MEMORY) {
            self.peaks.pop_front();
        }
    }

    /// Records what became of an order.
    pub fn on_outcome(&mut self, now: Timestamp, order: &FleetOrder, accepted: bool) {
        let placed = PlacedOrder { desired: order.desired, at: now, accepted };
        self.placed.insert(order.zone.clone(), placed);
    }

    /// Returns the orders to place now, given the servers that are there by zone.
    pub fn orders(
        &self,
        now: Timestamp,
        bounds: &FleetBounds,
        present: &BTreeMap<ZoneName, u32>,
    ) -> Vec<FleetOrder> {
        let desired = self.desired(bounds);
        let differing = desired.into_iter().filter(|(zone, count)| {
            present.get(zone).copied().unwrap_or(0) != *count && !self.is_pending(now, zone, *count)
        });
        differing
            .map(|(zone, desired)| FleetOrder {
                service: self.service.clone(),
                zone,
                desired,
                reclaimable: false,
            })
            .collect()
    }

    /// Returns the number of servers wanted in each zone.
    pub fn desired(&self, bounds: &FleetBounds) -> BTreeMap<ZoneName, u32> {
        let peak = self.peak_demand().servers();
        let mut desired: BTreeMap<ZoneName, u32> =
            bounds.zone_prices.keys().map(|zone| (zone.clone(), bounds.min)).collect();
        let mut zones: Vec<(&ZoneName, f64)> =
            bounds.zone_prices.iter().map(|(zone, price)| (zone, *price)).collect();
        zones.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut total: u32 = desired.values().sum();
        // One more than the demand needs: the fleet must outlast the loss of a server.
        let wanted = peak.ceil() + 1.0;
        while f64::from(total) < wanted {
            let least = zones.iter().copied().min_by_key(|(zone, _)| desired.get(*zone).copied());
            let Some((zone, _)) = least else { break };
            let Some(count) = desired.get_mut(zone).filter(|count| **count < bounds.max) else {
                break;
            };
            *count += 1;
            total += 1;
        }
        desired
    }

    /// Returns the largest demand that is remembered.
    pub fn peak_demand(&self) -> TokenDemand {
        self.peaks.front().map_or(TokenDemand::default(), |(_, peak)| *peak)
    }

    fn is_pending(&self, now: Timestamp, zone: &ZoneName, count: u32) -> bool {
        self.placed.get(zone).is_some_and(|placed| {
            let delay = if placed.accepted { REPEAT_DELAY } else { REFUSED_DELAY };
            placed.desired == count && now.since(placed.at) < delay
        })
    }
}
