//! Plans how many servers of each kind a service should have in each availability zone.
//!
//! Load pattern: the cloud reclaims all reclaimable servers of a zone at once, often those of a
//! second zone seconds later, and has no others for a while; the host that places orders may be lost
//! at the same time. Where reclaimable servers are cheap enough, every zone therefore gets so many of
//! them that the rest can carry the load without the lost zones, and no order is needed when a zone
//! goes. Ordinary servers cover what the existing reclaimable ones can't.

use std::collections::BTreeMap;

use crate::gateway::serving_config::FleetBounds;
use crate::ids::ZoneName;

/// Zones whose servers may be reclaimed one after the other before any of them can be replaced.
pub const MAX_LOST_ZONES: u32 = 2;

/// While only one zone has reclaimable servers, `1 / LAST_ZONE_RESERVE_DIVISOR` of the servers
/// needed are ordinary ones.
const LAST_ZONE_RESERVE_DIVISOR: u32 = 2;

/// Servers of one zone by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// Servers that the cloud does not reclaim.
    pub ordinary: u32,
    /// Servers that the cloud may reclaim.
    pub reclaimable: u32,
}

impl ZoneFleet {
    /// Returns the number of servers of either kind.
    pub fn total(self) -> u32 {
        self.ordinary + self.reclaimable
    }

    /// Returns the number of servers of one kind.
    pub fn count(self, reclaimable: bool) -> u32 {
        if reclaimable { self.reclaimable } else { self.ordinary }
    }
}

/// What is known of the servers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSupply {
    /// Servers that accept requests.
    pub ready: ZoneFleet,
    /// Reclaimable servers that were ordered and have not started yet.
    pub booting: u32,
}

/// Numbers of servers that a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNeed {
    /// Servers for the current demand.
    pub current: u32,
    /// Servers for the demand that may return while the cloud has no reclaimable servers.
    pub recent_peak: u32,
    /// Zones whose loss the reclaimable servers bear, if the price allows it; at least one.
    pub lost_zones: u32,
}

/// Whether the cloud has reclaimable servers at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareMarket {
    /// Lost servers are replaced within their start time.
    Open,
    /// A zone was reclaimed or an order was refused.
    Scarce,
}

/// Returns the reclaimable servers to order for each zone. None is given up while the market is
/// scarce.
pub fn plan_reclaimable(
    bounds: &FleetBounds,
    need: ServerNeed,
    zones: &BTreeMap<ZoneName, ZoneSupply>,
    market: SpareMarket,
) -> BTreeMap<ZoneName, u32> {
    let per_zone = reclaimable_per_zone(bounds, need);
    let planned = bounds.zone_prices.keys().map(|zone| {
        let ready = zones.get(zone).copied().unwrap_or_default().ready;
        let planned = match market {
            SpareMarket::Scarce if per_zone > 0 => per_zone.max(ready.reclaimable),
            SpareMarket::Open | SpareMarket::Scarce => per_zone,
        };
        (zone.clone(), planned.min(bounds.max.saturating_sub(ready.ordinary)))
    });
    planned.collect()
}

/// Returns the ordinary servers to order for each zone.
pub fn plan_ordinary(
    bounds: &FleetBounds,
    need: ServerNeed,
    zones: &BTreeMap<ZoneName, ZoneSupply>,
    market: SpareMarket,
) -> BTreeMap<ZoneName, u32> {
    if reclaimable_per_zone(bounds, need) == 0 {
        return spread_ordinary(bounds, need.current, zones, bounds.min);
    }
    let ready: u32 = zones.values().map(|zone| zone.ready.reclaimable).sum();
    let booting: u32 = zones.values().map(|zone| zone.booting).sum();
    // Servers that are booting spare an order, but no ordinary server leaves before they are ready.
    let mut least = need.current.saturating_sub(ready + booting);
    let mut most = need.current.saturating_sub(ready);
    let supplied = zones.values().filter(|zone| zone.ready.reclaimable + zone.booting > 0).count();
    if market == SpareMarket::Scarce && supplied <= 1 {
        // The next loss would leave nothing until servers ordered after it have started.
        let reserve = need.current.div_ceil(LAST_ZONE_RESERVE_DIVISOR);
        (least, most) = (least.max(reserve), most.max(reserve));
    }
    let existing: u32 = zones.values().map(|zone| zone.ready.ordinary).sum();
    spread_ordinary(bounds, existing.clamp(least, most), zones, 0)
}

/// Returns the number of reclaimable servers for each zone, such that the others suffice after the
/// loss of as many zones as can be afforded; 0 if ordinary servers are cheaper.
fn reclaimable_per_zone(bounds: &FleetBounds, need: ServerNeed) -> u32 {
    let Some(price) = bounds.reclaimable_price else { return 0 };
    let zones = u32::try_from(bounds.zone_prices.len()).unwrap_or(u32::MAX);
    let for_losses = |losses: u32| {
        let per_zone = need.recent_peak.div_ceil(zones.saturating_sub(losses).max(1));
        let per_zone = per_zone.clamp(bounds.min, bounds.max);
        (f64::from(per_zone * zones) * price < f64::from(need.recent_peak)).then_some(per_zone)
    };
    (1..=need.lost_zones).rev().find_map(for_losses).unwrap_or(0)
}

/// Distributes ordinary servers over the zones: existing ones stay, and new ones go to the zones
/// with the fewest, the cheapest first. Existing reclaimable servers count against a zone's
/// maximum.
fn spread_ordinary(
    bounds: &FleetBounds,
    count: u32,
    zones: &BTreeMap<ZoneName, ZoneSupply>,
    min: u32,
) -> BTreeMap<ZoneName, u32> {
    let ready = |zone: &ZoneName| zones.get(zone).copied().unwrap_or_default().ready;
    let capacity = |zone: &ZoneName| match min {
        0 => bounds.max.saturating_sub(ready(zone).reclaimable),
        _ => bounds.max,
    };
    let mut planned: Vec<(&ZoneName, u32)> =
        bounds.zone_prices.keys().map(|zone| (zone, min)).collect();
    planned.sort_by(|a, b| bounds.zone_prices[a.0].total_cmp(&bounds.zone_prices[b.0]));
    let mut remaining = count.saturating_sub(planned.iter().map(|(_, count)| count).sum());
    for (zone, planned) in &mut planned {
        let retained = ready(zone).ordinary.min(capacity(zone));
        let kept = retained.saturating_sub(*planned).min(remaining);
        *planned += kept;
        remaining -= kept;
    }
    while remaining > 0 {
        let with_capacity = planned.iter_mut().filter(|(zone, planned)| *planned < capacity(zone));
        let Some((_, planned)) = with_capacity.min_by_key(|(_, planned)| *planned) else { break };
        *planned += 1;
        remaining -= 1;
    }
    planned.into_iter().map(|(zone, planned)| (zone.clone(), planned)).collect()
}
