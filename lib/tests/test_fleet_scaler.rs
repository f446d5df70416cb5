//! Fleet sizes under varying demand and reclaimed servers.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::fleet_scaler::FleetOrder;
use pomelostack_lib::gateway::fleet_scaler::FleetScaler;
use pomelostack_lib::gateway::fleet_scaler::TokenDemand;
use pomelostack_lib::gateway::fleet_scaler::ZoneFleet;
use pomelostack_lib::gateway::serving_config::FleetBounds;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("valid in tests")
}

fn bounds(reclaimable_price: Option<f64>) -> FleetBounds {
    FleetBounds {
        min: 1,
        max: 6,
        boot_time: Duration::from_secs(4),
        reclaimable_price,
        zone_prices: ZONES.iter().zip([1.0, 0.8, 1.25, 0.9]).map(|(z, p)| (zone(z), p)).collect(),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// A cloud that fills every order at once, but has no new reclaimable servers while
/// `out_of_reclaimable` is set.
struct InstantCloud {
    scaler: FleetScaler,
    bounds: FleetBounds,
    present: BTreeMap<ZoneName, ZoneFleet>,
    out_of_reclaimable: bool,
}

impl InstantCloud {
    fn new(reclaimable_price: Option<f64>) -> Self {
        let ordinary = ZoneFleet { ordinary: 2, reclaimable: 0 };
        Self {
            scaler: FleetScaler::new(ServiceName::try_from("chat").expect("valid in tests")),
            bounds: bounds(reclaimable_price),
            present: ZONES.iter().map(|name| (zone(name), ordinary)).collect(),
            out_of_reclaimable: false,
        }
    }

    /// Records the demand of one second and fills the resulting orders.
    fn step(&mut self, second: u64, servers: f64) {
        // Prompt tokens per second of one server at the target utilization.
        let prefill = servers * 33_000.0;
        self.scaler.on_demand(at(second), TokenDemand { prefill, output: 0.0 });
        for order in self.scaler.orders(at(second), &self.bounds, &self.present) {
            let accepted = self.execute(&order);
            self.scaler.on_outcome(at(second), &order, accepted);
        }
    }

    fn execute(&mut self, order: &FleetOrder) -> bool {
        let existing = self.present.entry(order.zone.clone()).or_default();
        if order.reclaimable && self.out_of_reclaimable && order.desired > existing.reclaimable {
            return false;
        }
        match order.reclaimable {
            true => existing.reclaimable = order.desired,
            false => existing.ordinary = order.desired,
        }
        true
    }

    fn count(&self, count: impl Fn(&ZoneFleet) -> u32) -> u32 {
        self.present.values().map(count).sum()
    }

    fn total(&self) -> u32 {
        self.count(|fleet| fleet.ordinary + fleet.reclaimable)
    }
}

#[test]
fn initial_fleet_stays() {
    // The demand is unknown before the first request, so the fleet must not shrink.
    let mut cloud = InstantCloud::new(None);
    for second in 0..10 {
        cloud.step(second, 0.0);
        assert_eq!(cloud.total(), 8);
    }
}

#[test]
fn late_listing() {
    // The host that places orders evaluates them before it knows of any server, and again when only
    // some servers are listed. The fleet must not shrink.
    let mut cloud = InstantCloud::new(None);
    let listed = std::mem::take(&mut cloud.present);
    for second in 0..3 {
        cloud.step(second, 0.0);
        assert_eq!(cloud.total(), 0, "nothing is ordered before any server is known");
    }
    let first = listed.clone().into_iter().take(1).collect();
    cloud.scaler.orders(at(3), &cloud.bounds, &first);
    cloud.present = listed;
    for second in 4..14 {
        cloud.step(second, 0.0);
        assert_eq!(cloud.total(), 8);
    }
}

#[test]
fn follows_demand() {
    let mut cloud = InstantCloud::new(None);
    for second in 0..40 {
        cloud.step(second, 3.0);
    }
    assert_eq!(cloud.total(), 4);
    cloud.step(40, 11.0);
    assert_eq!(cloud.total(), 12);
    for second in 41..50 {
        cloud.step(second, 3.0);
    }
    assert_eq!(cloud.total(), 12, "a short dip in demand must not scale down");
    for second in 50..54 {
        cloud.step(second, 3.0);
    }
    assert_eq!(cloud.total(), 4);
}

#[test]
fn reclaimable_stay_at_peak() {
    // Demand beyond the fleet's maximum must not replace reclaimable servers by ordinary ones.
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    let before = cloud.count(|fleet| fleet.reclaimable);
    for second in 40..60 {
        cloud.step(second, 40.0);
        assert!(cloud.count(|fleet| fleet.reclaimable) >= before);
        assert!(cloud.present.values().all(|fleet| fleet.ordinary + fleet.reclaimable <= 6));
    }
    assert_eq!(cloud.total(), 24);
}

#[test]
fn cheap_reclaimable() {
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    assert_eq!(cloud.count(|fleet| fleet.ordinary), 0);
    for name in ZONES {
        let lost = cloud.present[&zone(name)].reclaimable;
        assert!(cloud.total() - lost >= 6, "the loss of zone {name} leaves too few");
    }
}

#[test]
fn expensive_reclaimable() {
    let mut cloud = InstantCloud::new(Some(0.95));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    assert_eq!(cloud.count(|fleet| fleet.reclaimable), 0);
}

#[test]
fn successive_reclaims() {
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    cloud.out_of_reclaimable = true;
    for (second, name) in (40..).step_by(6).zip(ZONES) {
        cloud.present.get_mut(&zone(name)).expect("valid in tests").reclaimable = 0;
        for later in second..second + 6 {
            cloud.step(later, 5.0);
        }
        assert!(cloud.total() >= 6, "too few servers after the reclaim of zone {name}");
    }
    cloud.out_of_reclaimable = false;
    for second in 64..90 {
        cloud.step(second, 5.0);
    }
    assert_eq!(cloud.count(|fleet| fleet.ordinary), 0, "ordinary servers are no longer needed");
}
