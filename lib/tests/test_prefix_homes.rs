//! Homes of prefixes in the own zone: common and rare prefixes, hosts that agree, memory for copies.

use std::time::Duration;

use pomelostack_lib::gateway::zones::prefix_homes::HomeScope;
use pomelostack_lib::gateway::zones::prefix_homes::PrefixHomes;
use pomelostack_lib::gateway::zones::prefix_homes::PrefixUse;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const USE: PrefixUse =
    PrefixUse { prefix: 1, tokens: 5_400, copy_ms: 324.0, leaving_ms: 8.0, zone_hosts: 1 };

/// Lets hosts of one zone share so many uses a second; returns how many have a home in the zone.
fn homes_in_zone(hosts: u32, uses_per_s: f64, seconds: u64) -> usize {
    let mut homes = vec![PrefixHomes::default(); hosts as usize];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut now = Timestamp::default();
    while now < Timestamp::from_millis(seconds * 1_000) {
        now = now + Duration::from_secs_f64(1.0 / uses_per_s);
        let host = random.random_range(0..homes.len());
        homes[host].on_use(now, PrefixUse { zone_hosts: hosts, ..USE });
    }
    homes.iter().filter(|homes| homes.scope(now, 1, 20) == HomeScope::Zone).count()
}

/// Guards against common prompts that all cross zones, and against copies of rare ones.
#[rstest]
fn common_and_rare(#[values(2, 19, 74)] hosts: u32) {
    assert_eq!(homes_in_zone(hosts, 30.0, 60), hosts as usize);
    assert!(homes_in_zone(hosts, 0.3, 60) * 10 <= hosts as usize);
}

/// Guards against copies that take the memory of running requests.
#[test]
fn limited_memory() {
    let mut homes = PrefixHomes::default();
    for round in 0..200 {
        for prefix in 0..50 {
            let now = Timestamp::from_millis(round * 100);
            homes.on_use(now, PrefixUse { prefix, zone_hosts: 20, ..USE });
        }
    }
    let now = Timestamp::from_millis(20_000);
    assert_eq!(homes.zone_homes(), 50);
    assert_eq!(homes.scope(now, 1, 10), HomeScope::Zone);
    assert_eq!(homes.scope(now, 1, 2), HomeScope::Fleet);
}

/// Guards against a state that grows with the number of prefixes.
#[test]
fn bounded_state() {
    let mut homes = PrefixHomes::default();
    for prefix in 0..5_000 {
        homes.on_use(Timestamp::from_millis(prefix), PrefixUse { prefix, ..USE });
    }
    let later = Timestamp::from_millis(120_000);
    homes.on_use(later, PrefixUse { prefix: 9_999, ..USE });
    homes.on_use(later, PrefixUse { prefix: 9_999, zone_hosts: 100, ..USE });
    assert_eq!(homes.scope(later, 9_999, 1), HomeScope::Zone);
}
