//! Fleet sizes under varying demand and reclaimed servers.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::capacity::fleet_plan::ZoneFleet;
use pomelostack_lib::gateway::capacity::fleet_scaler::FleetOrder;
use pomelostack_lib::gateway::capacity::fleet_scaler::FleetScaler;
use pomelostack_lib::gateway::capacity::fleet_scaler::ListedServers;
use pomelostack_lib::gateway::capacity::fleet_scaler::TokenDemand;
use pomelostack_lib::gateway::capacity::lateness_meter::AnswerCounts;
use pomelostack_lib::gateway::capacity::service_speed::ServiceSpeed;
use pomelostack_lib::gateway::capacity::service_speed::SpeedBasis;
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
    listed: BTreeMap<ZoneName, ListedServers>,
    out_of_reclaimable: bool,
}

impl InstantCloud {
    fn new(reclaimable_price: Option<f64>) -> Self {
        let ready = ZoneFleet { ordinary: 2, reclaimable: 0 };
        let servers = ListedServers { ready, ..ListedServers::default() };
        Self {
            scaler: FleetScaler::new(ServiceName::try_from("chat").expect("valid in tests")),
            bounds: bounds(reclaimable_price),
            listed: ZONES.iter().map(|name| (zone(name), servers)).collect(),
            out_of_reclaimable: false,
        }
    }

    /// Records the demand of one second and fills the resulting orders.
    fn step(&mut self, second: u64, servers: f64) {
        self.record_demand(second, servers);
        self.place_orders(second);
    }

    fn record_demand(&mut self, second: u64, servers: f64) {
        // Prompt tokens per second of one server at the target utilization.
        let prefill = servers * 33_000.0;
        self.scaler.on_demand(at(second), TokenDemand { prefill, output: 0.0 });
    }

    fn place_orders(&mut self, second: u64) {
        for reclaimable in [true, false] {
            let orders = self.scaler.orders(at(second), &self.bounds, &self.listed, reclaimable);
            for order in orders {
                let accepted = self.execute(&order);
                self.scaler.on_outcome(at(second), &order, accepted);
            }
        }
    }

    fn execute(&mut self, order: &FleetOrder) -> bool {
        let ready = &mut self.listed.entry(order.zone.clone()).or_default().ready;
        if order.reclaimable && self.out_of_reclaimable && order.desired > ready.reclaimable {
            return false;
        }
        match order.reclaimable {
            true => ready.reclaimable = order.desired,
            false => ready.ordinary = order.desired,
        }
        true
    }

    fn reclaim(&mut self, name: &str) {
        self.listed.get_mut(&zone(name)).expect("valid in tests").ready.reclaimable = 0;
    }

    fn count(&self, count: impl Fn(&ZoneFleet) -> u32) -> u32 {
        self.listed.values().map(|servers| count(&servers.ready)).sum()
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
    let listed = std::mem::take(&mut cloud.listed);
    for second in 0..3 {
        cloud.step(second, 0.0);
        assert_eq!(cloud.total(), 0, "nothing is ordered before any server is known");
    }
    let first = listed.clone().into_iter().take(1).collect();
    cloud.scaler.orders(at(3), &cloud.bounds, &first, false);
    cloud.listed = listed;
    for second in 4..14 {
        cloud.step(second, 0.0);
        assert_eq!(cloud.total(), 8);
    }
}

#[test]
fn late_initial_servers() {
    // The first listing lacks servers, and orders are placed before the others are listed. All of
    // them count as the first fleet.
    let mut cloud = InstantCloud::new(Some(0.22));
    let listed = cloud.listed.clone();
    cloud.listed.retain(|name, _| *name == zone("a") || *name == zone("b"));
    cloud.step(0, 0.0);
    cloud.listed.extend(listed.into_iter().filter(|(name, _)| *name > zone("b")));
    for second in 1..5 {
        cloud.step(second, 0.0);
        assert!(cloud.total() >= 8, "second {second}");
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
        assert!(cloud.listed.values().all(|servers| servers.ready.total() <= 6));
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
    for (first, second) in [("a", "b"), ("b", "c"), ("c", "d"), ("d", "a")] {
        let lost: u32 =
            [first, second].iter().map(|name| cloud.listed[&zone(name)].ready.reclaimable).sum();
        assert!(cloud.total() - lost >= 6, "the loss of {first} and {second} leaves too few");
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
        cloud.reclaim(name);
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

#[test]
fn last_zone() {
    // While only one zone has reclaimable servers, its loss must not leave the service without any.
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    cloud.out_of_reclaimable = true;
    for (second, name) in [(40, "a"), (41, "b"), (42, "c")] {
        cloud.reclaim(name);
        cloud.step(second, 5.0);
    }
    assert!(cloud.count(|fleet| fleet.ordinary) >= 3);
}

#[test]
fn reserve_survives_dip() {
    // Demand returns after half a minute, when the cloud may have no reclaimable servers.
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..20 {
        cloud.step(second, 6.0);
    }
    let before = cloud.count(|fleet| fleet.reclaimable);
    for second in 20..45 {
        cloud.step(second, 2.0);
        assert_eq!(cloud.count(|fleet| fleet.reclaimable), before);
    }
    for second in 45..70 {
        cloud.step(second, 2.0);
    }
    assert!(cloud.count(|fleet| fleet.reclaimable) < before);
}

#[test]
fn scarce_market() {
    // While a zone is under notice, the others give up none of their reclaimable servers.
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..20 {
        cloud.step(second, 6.0);
    }
    let before = cloud.listed[&zone("b")].ready.reclaimable;
    let notified = cloud.listed.get_mut(&zone("a")).expect("valid in tests");
    notified.under_notice = std::mem::take(&mut notified.ready.reclaimable);
    cloud.out_of_reclaimable = true;
    for second in 20..80 {
        cloud.step(second, 2.0);
        assert_eq!(cloud.listed[&zone("b")].ready.reclaimable, before);
    }
}

#[test]
fn missing_entries() {
    // Entries lapse while the store is down although their servers live, so nothing is released.
    let mut cloud = InstantCloud::new(None);
    for second in 0..20 {
        cloud.step(second, 7.0);
    }
    for servers in cloud.listed.values_mut() {
        servers.missing.ordinary = 1;
        servers.ready.ordinary -= 1;
    }
    cloud.record_demand(21, 1.0);
    for second in 31..40 {
        cloud.record_demand(second, 1.0);
        for order in cloud.scaler.orders(at(second), &cloud.bounds, &cloud.listed, false) {
            assert!(order.desired >= 2, "{order:?}");
        }
    }
}

#[test]
fn order_holder_changes() {
    // A host that takes over knows the demand, but not the orders or the first servers.
    let mut cloud = InstantCloud::new(Some(0.22));
    for second in 0..40 {
        cloud.step(second, 5.0);
    }
    let before = cloud.listed.clone();
    cloud.scaler = FleetScaler::new(ServiceName::try_from("chat").expect("valid in tests"));
    cloud.reclaim("a");
    cloud.out_of_reclaimable = true;
    for second in 40..50 {
        cloud.step(second, 5.0);
    }
    for name in ["b", "c", "d"] {
        let reclaimable = cloud.listed[&zone(name)].ready.reclaimable;
        assert_eq!(reclaimable, before[&zone(name)].ready.reclaimable);
    }
}

#[test]
fn limited_servers() {
    let mut cloud = InstantCloud::new(None);
    for second in 0..30 {
        cloud.step(second, 5.2);
    }
    let before = cloud.total();
    // Two servers take next to nothing, by turns.
    for second in 30..60 {
        let shortfall = if second % 4 == 0 { 0.0 } else { 1.8 };
        cloud.scaler.on_shortfall(at(second), shortfall);
        cloud.step(second, 5.2);
        assert_eq!(cloud.total(), before + 2, "second {second}");
    }
    for second in 60..80 {
        cloud.scaler.on_shortfall(at(second), 0.0);
        cloud.step(second, 5.2);
    }
    assert_eq!(cloud.total(), before);
}

/// A learned speed as a multiple of the initial guess.
fn learned(factor: f64) -> ServiceSpeed {
    let initial = ServiceSpeed::INITIAL;
    ServiceSpeed {
        prefill_tokens_per_s: initial.prefill_tokens_per_s * factor,
        output_tokens_per_s: initial.output_tokens_per_s * factor,
        basis: SpeedBasis::Learned,
    }
}

#[test]
fn learned_speed() {
    // A fleet must have the servers that its engines need, and not those of another engine.
    let mut cloud = InstantCloud::new(None);
    for second in 0..20 {
        cloud.step(second, 11.0);
    }
    assert_eq!(cloud.total(), 12);
    for second in 20..22 {
        cloud.scaler.on_speed(learned(2.0));
        cloud.step(second, 11.0);
    }
    assert_eq!(cloud.total(), 5, "what the guess needed must not count once the speed is learned");
    cloud.scaler.on_speed(learned(0.7));
    cloud.step(22, 11.0);
    assert_eq!(cloud.total(), 13);
}

#[test]
fn late_callers() {
    // A speed that shows too little of what servers need must not leave callers late.
    let mut cloud = InstantCloud::new(None);
    let mut totals = Vec::new();
    for second in 0..90 {
        let late = if (20..50).contains(&second) { 100 } else { 5 };
        cloud.scaler.on_speed(learned(2.0));
        cloud.scaler.on_lateness(at(second), AnswerCounts { answers: 1_000, late });
        cloud.step(second, 11.0);
        totals.push(cloud.total());
    }
    assert_eq!((totals[19], totals[26], totals[49]), (5, 12, 12));
    assert!(totals[60] > 9, "the servers go slowly, so that callers are not late again at once");
    // Few answers show nothing.
    let mut quiet = InstantCloud::new(None);
    for second in 0..30 {
        quiet.scaler.on_speed(learned(2.0));
        quiet.scaler.on_lateness(at(second), AnswerCounts { answers: 20, late: 20 });
        quiet.step(second, 11.0);
    }
    assert_eq!(quiet.total(), 5);
}

#[test]
fn slow_decoding() {
    // A decoding speed is lower in a busy batch than what a fleet can do. Fleets must not grow beyond the
    // guess by it, also while callers are late.
    let mut cloud = InstantCloud::new(None);
    let initial = ServiceSpeed::INITIAL;
    let output_tokens_per_s = initial.output_tokens_per_s / 2.0;
    let speed = ServiceSpeed { output_tokens_per_s, basis: SpeedBasis::Learned, ..initial };
    let demand = TokenDemand { prefill: 0.0, output: 60_000.0 };
    let mut total_at = |second: u64, late: u64| {
        cloud.scaler.on_speed(speed);
        cloud.scaler.on_lateness(at(second), AnswerCounts { answers: 1_000, late });
        cloud.scaler.on_demand(at(second), demand);
        cloud.place_orders(second);
        cloud.total()
    };
    assert_eq!((0..25).map(|second| total_at(second, 0)).last(), Some(6));
    assert_eq!((25..32).map(|second| total_at(second, 100)).last(), Some(8));
}
