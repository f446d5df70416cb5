//! Naive versions of fleet decisions: exhaustive search, a static fleet, and reactive scaling.

use pomelostack_lib::fleet_mix::HostPool;
use pomelostack_lib::fleet_mix::MixNeed;
use pomelostack_lib::fleet_mix::is_share_kept;
use pomelostack_lib::fleet_mix::surviving_permille;

/// Returns the price of the cheapest mix that meets the need, by trying every one.
///
/// The time grows with `max_hosts` to the power of the number of pools.
pub fn cheapest_cost(need: MixNeed, pools: &[HostPool]) -> Option<u64> {
    let mut counts = vec![0; pools.len()];
    let mut best = None;
    search(need, pools, &mut counts, 0, need.max_hosts, &mut best);
    best
}

/// Returns the price of given numbers of hosts, one for each pool.
pub fn cost_of(pools: &[HostPool], counts: &[u32]) -> u64 {
    pools.iter().zip(counts).map(|(pool, &count)| pool.micros_per_hour * u64::from(count)).sum()
}

/// Returns whether the numbers of hosts meet the need.
pub fn is_need_met(need: MixNeed, pools: &[HostPool], counts: &[u32]) -> bool {
    let total: u32 = counts.iter().sum();
    (need.min_hosts..=need.max_hosts).contains(&total)
        && is_share_kept(pools, counts, need.reclaimable_percent)
        && surviving_permille(pools, counts) >= need.rate_permille
}

fn search(
    need: MixNeed,
    pools: &[HostPool],
    counts: &mut Vec<u32>,
    index: usize,
    room: u32,
    best: &mut Option<u64>,
) {
    if index == pools.len() {
        let cost = cost_of(pools, counts);
        if best.is_none_or(|found| cost < found) && is_need_met(need, pools, counts) {
            *best = Some(cost);
        }
        return;
    }
    for count in 0..=room.min(pools[index].limit) {
        counts[index] = count;
        search(need, pools, counts, index + 1, room - count, best);
    }
    counts[index] = 0;
}

/// Scales one kind of host by the load now, without forecast and mix.
#[derive(Clone, Copy, Debug)]
pub struct ReactiveScaler {
    /// Load that a host should carry, in percent of its capacity.
    pub utilisation_percent: u64,
    /// Minutes for which fewer hosts must suffice before any is stopped.
    pub hold_minutes: u64,
    low_since: Option<u64>,
}

impl ReactiveScaler {
    /// Builds a scaler that has seen nothing.
    pub fn new(utilisation_percent: u64, hold_minutes: u64) -> Self {
        Self { utilisation_percent, hold_minutes, low_since: None }
    }

    /// Returns the number of hosts to have.
    pub fn wanted(&mut self, minute: u64, rate: u64, capacity: u64, running: usize) -> usize {
        let wanted = (rate * 100).div_ceil(capacity * self.utilisation_percent).max(1) as usize;
        if wanted >= running {
            self.low_since = None;
            return wanted;
        }
        let since = *self.low_since.get_or_insert(minute);
        if minute - since < self.hold_minutes { running } else { wanted }
    }
}
