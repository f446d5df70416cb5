//! Plans a [`FleetDay`] with knowledge of the whole day.

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::fleet_mix::HostPool;
use pomelostack_lib::fleet_mix::MixNeed;
use pomelostack_lib::fleet_mix::PoolKey;
use pomelostack_lib::fleet_mix::plan_mix;

use crate::fleet_day::CLASSES;
use crate::fleet_day::DAY_MINUTES;
use crate::fleet_day::FleetDay;
use crate::naive_fleet::cost_of;

/// Returns the cost of the day if each minute had the mix for exactly its load, with hosts that
/// start at once and are never refused; the mix keeps to the same rules as the planner's.
pub fn offline_cost(day: &FleetDay, reclaimable_percent: u32, max_hosts: u32) -> f64 {
    let minutes = (0..DAY_MINUTES).map(|minute| {
        let pools: Vec<HostPool> =
            day.prices[minute].iter().map(|price| pool_of(price, max_hosts)).collect();
        let need = MixNeed {
            rate_permille: day.rates[minute],
            min_hosts: 1,
            max_hosts,
            reclaimable_percent,
        };
        let mix = plan_mix(need, &pools);
        let count = |pool: &HostPool| mix.counts.get(&pool.key).copied().unwrap_or(0);
        let counts: Vec<u32> = pools.iter().map(count).collect();
        cost_of(&pools, &counts) as f64 / 60e6
    });
    minutes.sum()
}

/// Returns the cost of the day if each minute's load were carried by parts of hosts at the cheapest
/// prices within the share of reclaimable hosts, with no reserve for a zone.
pub fn lower_bound(day: &FleetDay, reclaimable_percent: u32) -> f64 {
    let minutes = (0..DAY_MINUTES).map(|minute| {
        let cheapest = |market: HostMarket| {
            let prices = day.prices[minute].iter().filter(move |price| price.market == market);
            prices.map(price_of_rate).fold(f64::INFINITY, f64::min)
        };
        // Small on-demand hosts beside large reclaimable ones give these the largest part.
        let large = CLASSES.iter().map(|class| class.1).max().unwrap_or(1) as f64;
        let small = CLASSES.iter().map(|class| class.1).min().unwrap_or(1) as f64;
        let hosts = f64::from(reclaimable_percent.min(100));
        let part = hosts * large / (hosts * large + (100.0 - hosts) * small);
        let reclaimable = cheapest(HostMarket::Reclaimable);
        let on_demand = cheapest(HostMarket::OnDemand).max(reclaimable);
        let rate = day.rates[minute] as f64;
        rate * (part * reclaimable + (1.0 - part) * on_demand) / 60e6
    });
    minutes.sum()
}

/// Returns the price of a thousandth of a request per second for an hour.
fn price_of_rate(price: &HostPrice) -> f64 {
    price.micros_per_hour as f64 / capacity_of(price) as f64
}

fn capacity_of(price: &HostPrice) -> u64 {
    CLASSES.iter().find(|class| class.0 == price.class.as_str()).map_or(1, |class| class.1)
}

fn pool_of(price: &HostPrice, limit: u32) -> HostPool {
    HostPool {
        key: PoolKey { zone: price.zone.clone(), class: price.class.clone(), market: price.market },
        capacity_permille: capacity_of(price),
        micros_per_hour: price.micros_per_hour,
        running: 0,
        limit,
    }
}
