//! The fleet planner: the mix against exhaustive search, and what it does about notices, prices
//! and spare hosts.

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostOrder;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::cloud::ReclaimNotice;
use pomelostack_lib::fleet_mix::HostPool;
use pomelostack_lib::fleet_mix::MixNeed;
use pomelostack_lib::fleet_mix::PoolKey;
use pomelostack_lib::fleet_mix::plan_mix;
use pomelostack_lib::fleet_orders::FleetOrder;
use pomelostack_lib::fleet_planner::FleetEvent;
use pomelostack_lib::fleet_planner::FleetPlanner;
use pomelostack_lib::fleet_planner::FleetSettings;
use pomelostack_lib::fleet_planner::FleetView;
use pomelostack_lib::host_list::HostDuty;
use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use testutils::fleet_day::day_configuration;
use testutils::naive_fleet::cheapest_cost;
use testutils::naive_fleet::cost_of;
use testutils::naive_fleet::is_need_met;

/// Cost of a plan relative to the best one, at most, as the issue states it for whole days.
const MAX_COST_PERCENT: u64 = 125;

fn key(zone: &str, market: HostMarket) -> PoolKey {
    PoolKey {
        zone: zone.try_into().expect("a name"),
        class: "gpu-small".try_into().expect("a name"),
        market,
    }
}

fn small_pools() -> impl Strategy<Value = Vec<HostPool>> {
    let parts = (1_u64..4, 100_u64..1_000, 0_u32..6);
    prop::collection::vec(parts, 5).prop_map(|parts| {
        let kinds = [
            key("a", HostMarket::Reclaimable),
            key("b", HostMarket::Reclaimable),
            key("c", HostMarket::Reclaimable),
            key("a", HostMarket::OnDemand),
            key("b", HostMarket::OnDemand),
        ];
        let pairs = kinds.into_iter().zip(parts);
        pairs
            .map(|(key, (capacity, price, limit))| HostPool {
                micros_per_hour: price * if key.market == HostMarket::OnDemand { 2 } else { 1 },
                key,
                capacity_permille: capacity * 500,
                running: 0,
                limit,
            })
            .collect()
    })
}

fn small_needs() -> impl Strategy<Value = MixNeed> {
    (0_u64..6_000, 0_u32..3, 0_u32..=100).prop_map(|(rate, min, percent)| MixNeed {
        rate_permille: rate,
        min_hosts: min,
        max_hosts: 8,
        reclaimable_percent: percent,
    })
}

#[test]
fn mix_search() {
    let cases = std::env::var("FLEET_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(200), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(small_needs(), small_pools()), |(need, pools)| {
        let mix = plan_mix(need, &pools);
        let count = |pool: &HostPool| mix.counts.get(&pool.key).copied().unwrap_or(0);
        let counts: Vec<u32> = pools.iter().map(count).collect();
        let best = cheapest_cost(need, &pools);
        prop_assert_eq!(best.is_some(), is_need_met(need, &pools, &counts), "{:?}", counts);
        if let Some(best) = best {
            let cost = cost_of(&pools, &counts);
            prop_assert!(cost * 100 <= best * MAX_COST_PERCENT, "{cost} against {best}");
        }
        Ok(())
    });
    result.expect("every plan is close to the best");
}

/// A platform that starts what is ordered at once.
struct Bed {
    config: ConfigState,
    service: ServiceName,
    planner: FleetPlanner,
    prices: Vec<HostPrice>,
    hosts: Vec<HostEntry>,
    notices: Vec<ReclaimNotice>,
    minute: u64,
}

impl Bed {
    fn new() -> Self {
        let service = ServiceName::try_from("model").expect("a name");
        let mut prices = Vec::new();
        for zone in ["a", "b", "c", "d"] {
            for (market, micros_per_hour) in
                [(HostMarket::Reclaimable, 300_000), (HostMarket::OnDemand, 1_000_000)]
            {
                let PoolKey { zone, class, market } = key(zone, market);
                prices.push(HostPrice { zone, class, market, micros_per_hour });
            }
        }
        Self {
            config: day_configuration(&service, 60).expect("a configuration"),
            service,
            planner: FleetPlanner::new(FleetSettings::default()),
            prices,
            hosts: Vec::new(),
            notices: Vec::new(),
            minute: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.minute * 60_000)
    }

    fn load(&mut self, rate_permille: u64) {
        let event = FleetEvent::Load { service: self.service.clone(), rate_permille };
        self.planner.on_event(self.now(), event);
    }

    fn plan(&mut self) -> Vec<FleetOrder> {
        let view = FleetView {
            config: &self.config,
            prices: &self.prices,
            hosts: &self.hosts,
            notices: &self.notices,
            fence: FencingNumber(7),
        };
        let now = Timestamp::from_millis(self.minute * 60_000);
        self.planner.on_event(now, FleetEvent::View(view))
    }

    fn start(&mut self, order: HostOrder) {
        let host = HostId::try_from(order.order_id.as_str()).expect("a name");
        self.hosts.push(HostEntry {
            host: host.clone(),
            address: String::new(),
            zone: order.zone,
            class: order.class,
            market: order.market,
            state: HostState::Live,
            duty: HostDuty::Backend(order.service),
        });
        let event = FleetEvent::Started { order_id: &order.order_id, host };
        self.planner.on_event(self.now(), event);
    }

    /// Lets time pass with a steady load; every order is carried out.
    fn run(&mut self, minutes: u64, rate_permille: u64) {
        for _ in 0..minutes {
            self.minute += 1;
            self.load(rate_permille);
            for order in self.plan() {
                match order {
                    FleetOrder::Start { order, .. } => self.start(order),
                    FleetOrder::Retire { host, .. } => self.hosts.retain(|h| h.host != host),
                }
            }
        }
    }

    /// Capacity left when the zone with the most reclaimable hosts loses them.
    fn surviving(&self) -> usize {
        let reclaimable = |zone: &str| {
            let taken = self.hosts.iter().filter(|host| {
                host.zone.as_str() == zone && host.market == HostMarket::Reclaimable
            });
            taken.count()
        };
        let worst = ["a", "b", "c", "d"].into_iter().map(reclaimable).max().unwrap_or(0);
        (self.hosts.len() - worst) * 1_000
    }
}

#[test]
fn same_orders() {
    let mut bed = Bed::new();
    bed.load(6_000);
    let orders = bed.plan();
    assert!(orders.len() >= 6, "{orders:?}");
    assert_eq!(bed.plan(), orders);
    let fenced = |order: &FleetOrder| matches!(order, FleetOrder::Start { fence, .. } if *fence == FencingNumber(7));
    assert!(orders.iter().all(fenced), "{orders:?}");
}

#[test]
fn zone_loss() {
    let mut bed = Bed::new();
    bed.run(10, 6_000);
    assert!(bed.surviving() >= 6_000, "{:?}", bed.hosts);
    let taken = |host: &&HostEntry| host.market == HostMarket::Reclaimable;
    let zone = bed.hosts.iter().find(taken).expect("a reclaimable host").zone.clone();
    let lost: Vec<HostId> = bed
        .hosts
        .iter()
        .filter(|host| host.zone == zone && host.market == HostMarket::Reclaimable)
        .map(|host| host.host.clone())
        .collect();
    let notice = |host: &HostId| ReclaimNotice { host: host.clone(), left_ms: 30_000 };
    bed.notices = lost.iter().map(notice).collect();
    bed.run(1, 6_000);
    bed.hosts.retain(|host| !lost.contains(&host.host));
    assert!(bed.surviving() >= 6_000, "{:?}", bed.hosts);
}

#[test]
fn reclaimable_share() {
    let mut bed = Bed::new();
    bed.run(10, 9_000);
    let reclaimable =
        bed.hosts.iter().filter(|host| host.market == HostMarket::Reclaimable).count();
    assert!(reclaimable > 0 && reclaimable * 100 <= bed.hosts.len() * 60, "{:?}", bed.hosts);
}

#[test]
fn spare_hosts() {
    let mut bed = Bed::new();
    bed.run(10, 8_000);
    let before = bed.hosts.len();
    bed.run(2, 2_000);
    assert_eq!(bed.hosts.len(), before, "retired before the hold time");
    bed.run(30, 2_000);
    assert!(bed.hosts.len() < before && bed.surviving() >= 2_000, "{:?}", bed.hosts);
}

#[test]
fn price_ceiling() {
    let mut bed = Bed::new();
    for class in bed.config.classes.values_mut() {
        class.max_micros_per_hour = 500_000;
    }
    bed.config.policy.reclaimable_percent = 100;
    bed.run(10, 3_000);
    let reclaimable = |host: &HostEntry| host.market == HostMarket::Reclaimable;
    assert!(bed.surviving() >= 3_000 && bed.hosts.iter().all(reclaimable), "{:?}", bed.hosts);
}

#[test]
fn most_replicas() {
    let mut bed = Bed::new();
    let service = bed.service.clone();
    bed.config.services.get_mut(&service).expect("the service").max_replicas = 5;
    bed.run(10, 20_000);
    assert_eq!(bed.hosts.len(), 5, "{:?}", bed.hosts);
    assert!(bed.planner.shortfalls().contains_key(&service));
}
