//! Retry budgets over all hosts.

use std::time::Duration;

use pomelostack_lib::gateway::peer_table::PeerTable;
use pomelostack_lib::gateway::retry_limiter::RetryBounds;
use pomelostack_lib::gateway::retry_limiter::RetryLimiter;
use pomelostack_lib::gateway::retry_limiter::RetryPurpose;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::HostSummary;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), allowance: 54.0 };

/// Every request is retried as often as the budget allows, on hosts with uneven load that all
/// restart at once.
#[rstest]
fn storm_stays_bounded(#[values(8, 84)] hosts: usize) {
    let service = ServiceName::try_from("chat").expect("valid in tests");
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut limiters = vec![RetryLimiter::new(BOUNDS); hosts];
        let weights: Vec<f64> =
            (0..hosts).map(|_| rng.random_range(0.0..0.24 / hosts as f64)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for at_ms in 0..40_000_u64 {
            let now = Timestamp::from_millis(at_ms);
            for host in 0..hosts {
                if at_ms == 20_000 {
                    limiters[host] = RetryLimiter::new(BOUNDS);
                }
                if rng.random_bool(weights[host]) {
                    limiters[host].on_request(now, &service);
                    requests.push(at_ms);
                }
                if limiters[host].try_spend(now, &service, hosts as u32, RetryPurpose::Failure) {
                    retries.push(at_ms);
                }
            }
        }
        for start in (0..30_000).step_by(500) {
            let inside = |times: &[u64]| {
                times.iter().filter(|at| (start..start + 10_000).contains(*at)).count() as f64
            };
            let allowed = BOUNDS.ratio * inside(&requests) + BOUNDS.allowance;
            assert!(inside(&retries) <= allowed, "seed {seed}, window from {start} ms");
        }
    }
}

#[test]
fn idle_host_may_retry() {
    let service = ServiceName::try_from("chat").expect("valid in tests");
    let mut limiter = RetryLimiter::new(BOUNDS);
    assert!(limiter.try_spend(Timestamp::default(), &service, 1, RetryPurpose::Failure));
}

/// A silent zone makes every request hedge; a crash right after it still finds a budget.
#[test]
fn hedges_leave_retries() {
    let service = ServiceName::try_from("chat").expect("valid in tests");
    let mut limiter = RetryLimiter::new(BOUNDS);
    let now = Timestamp::default();
    (0..100).for_each(|_| limiter.on_request(now, &service));
    let mut spend =
        |purpose| (0..100).filter(|_| limiter.try_spend(now, &service, 8, purpose)).count();
    let hedges = spend(RetryPurpose::Hedge);
    let retries = spend(RetryPurpose::Failure);
    assert!(hedges > 0 && retries >= hedges, "{hedges} hedges, then {retries} retries");
}

/// Returns the retries of 295 hosts that have just started and have had no requests.
fn retries_at_start(learn: impl Fn(usize, &mut PeerTable)) -> usize {
    let service = ServiceName::try_from("chat").expect("valid in tests");
    let zone = ZoneName::try_from("a").expect("valid in tests");
    let retries = (0..295).map(|number| {
        let mut peers = PeerTable::new(host(number), zone.clone());
        learn(number, &mut peers);
        let hosts = peers.possible_hosts();
        let mut limiter = RetryLimiter::new(BOUNDS);
        let now = Timestamp::default();
        let spent = |_: &usize| limiter.try_spend(now, &service, hosts, RetryPurpose::Failure);
        (0..100).filter(spent).count()
    });
    retries.sum()
}

fn host(number: usize) -> HostId {
    HostId::try_from(format!("h{number:03}")).expect("valid in tests")
}

fn address() -> std::net::SocketAddr {
    "127.0.0.1:7700".parse().expect("valid in tests")
}

/// Hosts that all start at once and know nothing of each other yet.
#[test]
fn unknown_fleet() {
    let retries = retries_at_start(|_, _| {});
    assert!(retries as f64 <= BOUNDS.allowance, "{retries} retries");
}

/// Hosts that all start for the first time: each publishes its address, then reads those before it.
#[test]
fn listed_in_turn() {
    let retries = retries_at_start(|number, peers| {
        peers.on_list_read();
        (0..number).for_each(|other| peers.on_listed(Timestamp::default(), host(other), address()));
    });
    assert!(retries as f64 <= BOUNDS.allowance, "{retries} retries");
}

/// Hosts that have heard from the first one that read the list, and have not read it themselves.
#[test]
fn heard_from_one() {
    let retries = retries_at_start(|number, peers| {
        let sender = host((number + 1) % 295).to_string();
        let (address, zone) = (address().to_string(), "a".to_owned());
        let summary = HostSummary { host: sender, address, zone, ..HostSummary::default() };
        peers.on_summary(Timestamp::default(), HostSummary { sequence: 1, ..summary });
    });
    assert!(retries as f64 <= BOUNDS.allowance, "{retries} retries");
}
