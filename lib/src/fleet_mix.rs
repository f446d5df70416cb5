//! Chooses the cheapest hosts that carry a load and outlast the reclaim of a whole availability
//! zone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::cloud::HostMarket;
use crate::ids::ClassName;
use crate::ids::ZoneName;

/// Price of a host that already runs, in percent, so that a small price move replaces no host.
const RUNNING_PRICE_PERCENT: u64 = 90;

/// Numbers of reclaimable hosts in a zone that are tried as starting points.
const STARTS_PER_ZONE: u32 = 16;

/// Where and how a host can be bought.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: ClassName,
    /// How the host is bought.
    pub market: HostMarket,
}

/// Hosts of one kind that can be had for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPool {
    /// Kind.
    pub key: PoolKey,
    /// Requests per second that one host serves within the target, in thousandths.
    pub capacity_permille: u64,
    /// Price of one hour in millionths of the currency unit.
    pub micros_per_hour: u64,
    /// Hosts that run or were ordered.
    pub running: u32,
    /// Most hosts to have.
    pub limit: u32,
}

/// What a mix must provide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MixNeed {
    /// Requests per second that remain served within the target when any one zone loses its
    /// reclaimable hosts, in thousandths.
    pub rate_permille: u64,
    /// Hosts at least.
    pub min_hosts: u32,
    /// Hosts at most.
    pub max_hosts: u32,
    /// Share of hosts that may be reclaimable, in percent.
    pub reclaimable_percent: u32,
}

/// Chosen hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostMix {
    /// Hosts by kind; kinds without hosts are left out.
    pub counts: BTreeMap<PoolKey, u32>,
    /// Requests per second of the need that are not served when the worst zone is reclaimed, in
    /// thousandths.
    pub shortfall_permille: u64,
}

/// Returns the cheapest mix found that meets the need, or the one that comes closest to it.
pub fn plan_mix(need: MixNeed, pools: &[HostPool]) -> HostMix {
    let search = MixSearch::new(need, pools);
    let mut filled = BTreeSet::new();
    for start in search.starts() {
        let fillers = search.fillers();
        filled.extend(fillers.filter_map(|filler| search.fill(start.clone(), filler)));
    }
    let improved = filled.into_iter().map(|counts| search.improve(counts));
    let cheapest = improved.min_by_key(|counts| search.cost(counts));
    let counts = cheapest.unwrap_or_else(|| search.come_closest());
    let chosen = pools.iter().zip(&counts).filter(|(_, count)| **count > 0);
    let surviving = surviving_permille(pools, &counts);
    HostMix {
        counts: chosen.map(|(pool, &count)| (pool.key.clone(), count)).collect(),
        shortfall_permille: need.rate_permille.saturating_sub(surviving),
    }
}

/// Returns the capacity that is left when the zone with the most reclaimable capacity loses it, in
/// thousandths of a request per second; `counts` runs along `pools`.
pub fn surviving_permille(pools: &[HostPool], counts: &[u32]) -> u64 {
    let mut total = 0;
    let mut reclaimable: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    for (pool, &count) in pools.iter().zip(counts) {
        let capacity = pool.capacity_permille * u64::from(count);
        total += capacity;
        if pool.key.market == HostMarket::Reclaimable {
            *reclaimable.entry(&pool.key.zone).or_default() += capacity;
        }
    }
    total - reclaimable.into_values().max().unwrap_or(0)
}

/// Returns whether the share of reclaimable hosts is within the bound.
pub fn is_share_kept(pools: &[HostPool], counts: &[u32], percent: u32) -> bool {
    let total: u64 = counts.iter().map(|&count| u64::from(count)).sum();
    let pairs = pools.iter().zip(counts);
    let taken = pairs.filter(|(pool, _)| pool.key.market == HostMarket::Reclaimable);
    let reclaimable: u64 = taken.map(|(_, &count)| u64::from(count)).sum();
    reclaimable * 100 <= total * u64::from(percent)
}

/// Search over the numbers of hosts of each pool.
struct MixSearch<'a> {
    need: MixNeed,
    pools: &'a [HostPool],
    /// Reclaimable pools, the cheapest of each zone, the cheapest zone first.
    zones: Vec<usize>,
    /// On-demand pools, the cheapest first.
    on_demand: Vec<usize>,
}

impl<'a> MixSearch<'a> {
    fn new(need: MixNeed, pools: &'a [HostPool]) -> Self {
        let usable = |market| {
            let indices = (0..pools.len()).filter(move |&index| {
                let pool = &pools[index];
                pool.key.market == market && pool.limit > 0 && pool.capacity_permille > 0
            });
            let mut indices: Vec<usize> = indices.collect();
            indices.sort_by_key(|&index| {
                pools[index].micros_per_hour * 1_000 / pools[index].capacity_permille
            });
            indices
        };
        let mut zones: Vec<usize> = Vec::new();
        for index in usable(HostMarket::Reclaimable) {
            if zones.iter().all(|&found| pools[found].key.zone != pools[index].key.zone) {
                zones.push(index);
            }
        }
        Self { need, pools, zones, on_demand: usable(HostMarket::OnDemand) }
    }

    /// Lists mixes to start from: the same number of reclaimable hosts in each of the cheapest
    /// zones.
    fn starts(&self) -> Vec<Vec<u32>> {
        let mut starts = vec![vec![0; self.pools.len()]];
        let capacities = self.zones.iter().map(|&index| self.pools[index].capacity_permille);
        let hosts = self.need.rate_permille.div_ceil(capacities.min().unwrap_or(1));
        let most = u32::try_from(hosts).unwrap_or(u32::MAX).min(self.need.max_hosts).max(1);
        let step = most.div_ceil(STARTS_PER_ZONE);
        for zones in 1..=self.zones.len() {
            for per_zone in (1..=most).step_by(step as usize) {
                let mut counts = vec![0; self.pools.len()];
                for &index in &self.zones[..zones] {
                    counts[index] = per_zone.min(self.pools[index].limit);
                }
                starts.push(counts);
            }
        }
        starts
    }

    /// Lists the cheapest on-demand pool of each capacity, and none: a fill that starts with each
    /// of them finds the one whose hosts leave the least over.
    fn fillers(&self) -> impl Iterator<Item = Option<usize>> {
        let mut seen = BTreeSet::new();
        let distinct = |&index: &usize| seen.insert(self.pools[index].capacity_permille);
        let firsts: Vec<usize> = self.on_demand.iter().copied().filter(distinct).collect();
        std::iter::once(None).chain(firsts.into_iter().map(Some))
    }

    /// Adds on-demand hosts, first of `filler`, until the need is met; `None` if it cannot be.
    fn fill(&self, mut counts: Vec<u32>, filler: Option<usize>) -> Option<Vec<u32>> {
        while !self.is_met(&counts) {
            let has_room = |&index: &usize| counts[index] < self.pools[index].limit;
            let index = filler.into_iter().chain(self.on_demand.iter().copied()).find(has_room)?;
            counts[index] += 1;
            if counts.iter().sum::<u32>() > self.need.max_hosts {
                return None;
            }
        }
        Some(counts)
    }

    fn is_met(&self, counts: &[u32]) -> bool {
        let total: u32 = counts.iter().sum();
        let need = self.need;
        (need.min_hosts..=need.max_hosts).contains(&total)
            && is_share_kept(self.pools, counts, need.reclaimable_percent)
            && surviving_permille(self.pools, counts) >= need.rate_permille
    }

    fn cost(&self, counts: &[u32]) -> u64 {
        let pools = self.pools.iter().zip(counts);
        let cost_of = |(pool, &count): (&HostPool, &u32)| {
            let kept = u64::from(count.min(pool.running));
            let added = u64::from(count) - kept;
            pool.micros_per_hour * (kept * RUNNING_PRICE_PERCENT + added * 100)
        };
        pools.map(cost_of).sum()
    }

    /// Takes away and moves single hosts as long as that makes the mix cheaper.
    fn improve(&self, mut counts: Vec<u32>) -> Vec<u32> {
        while let Some(better) = self.best_step(&counts) {
            counts = better;
        }
        counts
    }

    fn best_step(&self, counts: &[u32]) -> Option<Vec<u32>> {
        let mut best: Option<(u64, Vec<u32>)> = None;
        let cost = self.cost(counts);
        for from in (0..counts.len()).filter(|&from| counts[from] > 0) {
            for to in 0..counts.len() {
                let mut tried = counts.to_vec();
                tried[from] -= 1;
                if to != from {
                    tried[to] += 1;
                }
                let bound = best.as_ref().map_or(cost, |(found, _)| *found);
                let is_allowed = tried[to] <= self.pools[to].limit.max(counts[to]);
                if is_allowed && self.cost(&tried) < bound && self.is_met(&tried) {
                    best = Some((self.cost(&tried), tried));
                }
            }
        }
        best.map(|(_, counts)| counts)
    }

    /// Adds the host that helps most until the need is met or no host may be added.
    fn come_closest(&self) -> Vec<u32> {
        let mut counts = vec![0; self.pools.len()];
        while !self.is_met(&counts) && counts.iter().sum::<u32>() < self.need.max_hosts {
            let Some(index) = self.most_helpful(&counts) else { break };
            counts[index] += 1;
        }
        counts
    }

    fn most_helpful(&self, counts: &[u32]) -> Option<usize> {
        let gain = |&index: &usize| {
            let mut tried = counts.to_vec();
            tried[index] += 1;
            let keeps = is_share_kept(self.pools, &tried, self.need.reclaimable_percent);
            let pool = &self.pools[index];
            keeps.then(|| (surviving_permille(self.pools, &tried), pool.capacity_permille))
        };
        let free = (0..counts.len()).filter(|&index| counts[index] < self.pools[index].limit);
        free.filter(|index| gain(index).is_some()).max_by_key(gain)
    }
}
