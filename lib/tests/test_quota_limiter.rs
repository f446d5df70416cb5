//! Quotas over a simulated fleet: the tolerance is never exceeded, and little is refused below the
//! quota.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use pomelostack_lib::gateway::quota::quota_limiter::PeerReachability;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaBounds;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaClaim;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaDecision;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaLimiter;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaRequest;
use pomelostack_lib::gateway::quota::quota_limiter::TeamSpending;
use pomelostack_lib::gateway::quota::rank_split::ByRank;
use pomelostack_lib::gateway::quota::rank_split::split_refill;
use pomelostack_lib::gateway::request_rank::RequestRank;
use pomelostack_lib::gateway::serving_config::TeamQuota;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const HOSTS: usize = 7;
const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: TeamQuota = TeamQuota { rate: 100_000, burst: 100_000 };
const TOLERANCE_RATIO: f64 = 0.1;
const TOLERANCE_UNITS: f64 = 140_000.0;
/// Time between two periodic summaries, and the delay of each.
const SUMMARY_MS: u64 = 400;
const DELAY_MS: u64 = 20;
/// Time after its start in which a host's summaries show that it has just started.
const START_MS: u64 = 1_500;
/// Minimum time between two records of a host.
const RECORD_MS: u64 = 250;
/// Minimum time between two records of a zone.
const ZONE_RECORD_MS: u64 = 650;
const MEAN_REQUEST_UNITS: u64 = 6_000;

/// Hosts with a common quota.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    hosts: usize,
    quota: TeamQuota,
    /// Minimum time between two summaries of a host.
    min_publish_ms: u64,
    /// Delay of a summary.
    delay_ms: u64,
    /// Number of availability zones in each of which one host records for all; `None` if each host
    /// records its own spending.
    recording_zones: Option<usize>,
}

const SMALL_FLEET: Fleet = Fleet {
    hosts: HOSTS,
    quota: QUOTA,
    min_publish_ms: 1,
    delay_ms: DELAY_MS,
    recording_zones: None,
};

/// Summaries are relayed, and limited to the datagrams that a host may send.
const LARGE_FLEET: Fleet = Fleet {
    hosts: 70,
    quota: TeamQuota { rate: 1_000_000, burst: 1_000_000 },
    min_publish_ms: 340,
    delay_ms: 3 * DELAY_MS,
    recording_zones: Some(4),
};

/// A fleet in which a summary takes as long as the datagrams of a host allow.
const LARGEST_FLEET: Fleet = Fleet {
    hosts: 84,
    quota: TeamQuota { rate: 500_000, burst: 500_000 },
    min_publish_ms: 400,
    delay_ms: 3 * DELAY_MS,
    recording_zones: Some(5),
};

/// The sizes that a deployment may have.
const FLEET_8: Fleet = Fleet { hosts: 8, ..SMALL_FLEET };
const FLEET_63: Fleet = Fleet { hosts: 63, ..LARGE_FLEET };
const FLEET_295: Fleet = Fleet { hosts: 295, min_publish_ms: 600, delay_ms: 160, ..LARGE_FLEET };

/// Requests of one route.
#[derive(Clone, Copy, Debug)]
struct RequestClass {
    priority: u32,
    /// Requests per request of all classes.
    weight: f64,
    units: (u64, u64),
}

const UNIFORM: &[RequestClass] =
    &[RequestClass { priority: 0, weight: 1.0, units: (100, 2 * MEAN_REQUEST_UNITS) }];

/// Small urgent requests, and large ones that are not urgent.
const RANKED: &[RequestClass] = &[
    RequestClass { priority: 0, weight: 0.33, units: (400, 1_300) },
    RequestClass { priority: 1, weight: 0.41, units: (1_500, 3_300) },
    RequestClass { priority: 2, weight: 0.26, units: (6_000, 18_000) },
];

/// Requested units as multiples of the quota's rate.
#[derive(Clone, Copy, Debug)]
struct Demand {
    usual: f64,
    /// From `hot_from_ms` on.
    hot: f64,
    hot_from_ms: u64,
    classes: &'static [RequestClass],
}

impl Demand {
    fn constant(rate: f64) -> Self {
        Self::growing(rate, rate, 0)
    }

    fn growing(usual: f64, hot: f64, hot_from_ms: u64) -> Self {
        Self { usual, hot, hot_from_ms, classes: UNIFORM }
    }

    fn ranked(rate: f64) -> Self {
        Self { classes: RANKED, ..Self::constant(rate) }
    }

    fn mean_units(self) -> f64 {
        let mean = |class: &RequestClass| (class.units.0 + class.units.1) as f64 / 2.0;
        self.classes.iter().map(|class| class.weight * mean(class)).sum()
    }

    /// Draws a request: the index of its class, and its units.
    fn draw(self, rng: &mut ChaCha8Rng) -> (usize, u64) {
        let mut rest = if self.classes.len() > 1 { rng.random_range(0.0..1.0) } else { 0.0 };
        let mut index = 0;
        while index + 1 < self.classes.len() && rest >= self.classes[index].weight {
            rest -= self.classes[index].weight;
            index += 1;
        }
        let (from, to) = self.classes[index].units;
        (index, rng.random_range(from..to))
    }

    fn rate_at(self, at_ms: u64) -> f64 {
        if at_ms < self.hot_from_ms { self.usual } else { self.hot }
    }
}

/// Returns the units that the configured bounds allow in any window.
fn allowed_units(quota: TeamQuota) -> f64 {
    let units = quota.rate as f64 * WINDOW.as_secs_f64() + quota.burst as f64;
    units * (1.0 + TOLERANCE_RATIO) + TOLERANCE_UNITS
}

fn new_limiter() -> QuotaLimiter {
    QuotaLimiter::new(QuotaBounds {
        window: WINDOW,
        tolerance_ratio: TOLERANCE_RATIO,
        tolerance_units: TOLERANCE_UNITS,
    })
}

fn team() -> TeamName {
    TeamName::try_from("forecast").expect("valid in tests")
}

fn new_request(units: u64) -> QuotaRequest {
    ranked_request(units, 0)
}

fn ranked_request(units: u64, priority: u32) -> QuotaRequest {
    let rank = RequestRank { priority, route: priority };
    QuotaRequest { units, claim: QuotaClaim::New, rank, has_asked: false }
}

/// A host and the number of its restarts.
type HostIncarnation = (usize, u32);

/// Summaries that a host received.
#[derive(Clone, Debug, Default)]
struct HeardSummaries {
    /// Newest summary of each incarnation, and when it arrived.
    newest: BTreeMap<HostIncarnation, (u64, TeamSpending)>,
    /// Units that peers spent and were asked for between their summaries.
    total: i64,
    total_asked: i64,
}

impl HeardSummaries {
    fn insert(
        &mut self,
        at_ms: u64,
        sender: HostIncarnation,
        is_new: bool,
        spending: TeamSpending,
    ) {
        let known = self.newest.insert(sender, (at_ms, spending));
        let is_replaced = self.newest.range((sender.0, 0)..sender).next().is_some();
        match known {
            Some((_, known)) => {
                self.total += spending.total - known.total;
                self.total_asked += spending.total_asked - known.total_asked;
            }
            None if is_replaced || is_new => {
                self.total += spending.total;
                self.total_asked += spending.total_asked;
            }
            None => {}
        }
    }

    /// Returns the sum over all incarnations whose summaries are not older than the window.
    fn sum(&mut self, at_ms: u64) -> TeamSpending {
        self.newest.retain(|_, (at, _)| at_ms < *at + WINDOW.as_millis() as u64);
        let (total, total_asked) = (self.total, self.total_asked);
        let mut sum = TeamSpending { total, total_asked, ..TeamSpending::default() };
        for (_, spending) in self.newest.values() {
            sum.add_window(spending);
        }
        sum
    }
}

/// Faults during the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Two hosts are partitioned from all others after three seconds.
    Partition,
    /// All hosts are killed at once after six seconds.
    KillAll,
    /// Hosts restart one after the other.
    RollingRestart,
    /// The fleet is partitioned into two halves after three seconds.
    Halves,
    /// All hosts are killed at once after six seconds, and the store could be neither written nor read.
    KillAllUnrecorded,
    /// A host is frozen from the fourth to the ninth second.
    Frozen,
    /// From the twelfth second on, hosts learn within three seconds that the quota is a third.
    Lowered,
    /// The same with a quota that is twice as large.
    Raised,
}

impl Fault {
    /// Returns how many hosts are cut off from the others.
    fn cut_hosts(self, hosts: usize, at_ms: u64) -> usize {
        match self {
            Self::Partition if at_ms >= 3_000 => 2,
            Self::Halves if at_ms >= 3_000 => hosts / 2,
            _ => 0,
        }
    }

    fn is_frozen(self, host: usize, at_ms: u64) -> bool {
        self == Self::Frozen && host == 0 && (4_000..9_000).contains(&at_ms)
    }

    /// Returns the quota that a host knows of.
    fn quota(self, quota: TeamQuota, host: usize, at_ms: u64) -> TeamQuota {
        let TeamQuota { rate, burst } = quota;
        match self {
            _ if at_ms < 12_000 + 37 * host as u64 % 3_000 => quota,
            Self::Lowered => TeamQuota { rate: rate / 3, burst: burst / 3 },
            Self::Raised => TeamQuota { rate: 2 * rate, burst: 2 * burst },
            _ => quota,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SimulatedRequest {
    at_ms: u64,
    /// Index of its class.
    class: usize,
    units: u64,
    admitted: bool,
}

struct SimulationResult {
    /// Largest number of units admitted in a window.
    worst_window: u64,
    asked: u64,
    admitted: u64,
    requests: Vec<SimulatedRequest>,
}

impl SimulationResult {
    fn admitted_between(&self, from_ms: u64, to_ms: u64) -> u64 {
        let is_inside = |request: &&SimulatedRequest| {
            request.admitted && (from_ms..to_ms).contains(&request.at_ms)
        };
        self.requests.iter().filter(is_inside).map(|request| request.units).sum()
    }

    /// Returns the fraction of requests that was admitted, of a class and within bounds of units.
    fn admitted_fraction(&self, class: usize, units: Range<u64>) -> f64 {
        let chosen = |request: &&SimulatedRequest| {
            request.class == class && units.contains(&request.units) && request.at_ms > 3_000
        };
        let (mut asked, mut admitted) = (0, 0);
        for request in self.requests.iter().filter(chosen) {
            (asked, admitted) = (asked + 1, admitted + u32::from(request.admitted));
        }
        f64::from(admitted) / f64::from(asked.max(1))
    }
}

/// Simulates hosts whose summaries arrive late.
fn simulate(fleet: Fleet, seed: u64, demand: Demand, fault: Fault) -> SimulationResult {
    let Fleet { hosts, quota, .. } = fleet;
    let known = hosts as u32;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let weights: Vec<f64> = (0..hosts).map(|_| rng.random_range(0.2..2.0)).collect();
    let total_weight: f64 = weights.iter().sum();
    let host_limiter = |host: usize| {
        new_limiter().with_host(&HostId::try_from(format!("h{host}")).expect("valid in tests"))
    };
    let mut limiters: Vec<QuotaLimiter> = (0..hosts).map(host_limiter).collect();
    // Newest summary of each host that has arrived, and summaries in flight. Spending of earlier
    // incarnations counts as long as the window.
    let mut heard = vec![HeardSummaries::default(); hosts];
    let mut in_flight: Vec<(u64, HostIncarnation, TeamSpending)> = Vec::new();
    let mut restart_counts = vec![0; hosts];
    let mut started_ms = vec![0; hosts];
    let mut published_ms = vec![0; hosts];
    // The store: newest record of each host with the time it was written.
    let mut records: BTreeMap<usize, (u64, HostIncarnation, TeamSpending)> = BTreeMap::new();
    let mut requests: Vec<SimulatedRequest> = Vec::new();
    let mut asked = 0;
    for at_ms in 0..30_000_u64 {
        let now = Timestamp::from_millis(at_ms);
        let cut_hosts = fault.cut_hosts(hosts, at_ms);
        // Two hosts are each alone, and a half is a group.
        let is_partitioned = |host: usize| {
            (fault == Fault::Partition && host < cut_hosts) || fault.is_frozen(host, at_ms)
        };
        let is_cut = |from: usize, to: usize| (from < cut_hosts) != (to < cut_hosts);
        for host in (0..hosts).filter(|host| !fault.is_frozen(*host, at_ms)) {
            let quota = fault.quota(quota, host, at_ms);
            let restarts = match fault {
                Fault::KillAll | Fault::KillAllUnrecorded => at_ms == 6_000,
                Fault::RollingRestart => at_ms == 4_000 + 2_000 * host as u64,
                _ => false,
            };
            if restarts {
                limiters[host] = host_limiter(host);
                limiters[host].assume_spent(now);
                heard[host] = HeardSummaries::default();
                restart_counts[host] += 1;
                started_ms[host] = at_ms;
                if fault != Fault::KillAllUnrecorded {
                    for (written_ms, incarnation, spending) in records.values() {
                        heard[host].newest.insert(*incarnation, (*written_ms, *spending));
                    }
                    limiters[host].on_records_read();
                }
            }
            let rate = quota.rate as f64 * demand.rate_at(at_ms);
            let per_ms = rate * weights[host] / total_weight / 1_000.0;
            if rng.random_bool((per_ms / demand.mean_units()).min(1.0)) {
                let (class, units) = demand.draw(&mut rng);
                asked += units;
                let reachability = match (fault, is_partitioned(host)) {
                    (_, true) if at_ms > 4_000 => PeerReachability::Minority { group: 1, known },
                    (Fault::Frozen, _) if host == 0 && (9_000..9_400).contains(&at_ms) => {
                        PeerReachability::Minority { group: 1, known }
                    }
                    (Fault::Halves, _) if at_ms > 4_000 => {
                        let cut = cut_hosts as u32;
                        let group = if host < cut_hosts { cut } else { known - cut };
                        match group * 2 > known {
                            true => PeerReachability::Majority { silent: known - group, known },
                            false => PeerReachability::Minority { group, known },
                        }
                    }
                    (Fault::Partition, false) if at_ms > 4_000 => {
                        PeerReachability::Majority { silent: 2, known }
                    }
                    _ => PeerReachability::Majority { silent: 0, known },
                };
                let request = ranked_request(units, demand.classes[class].priority);
                let decision = limiters[host].admit(now, &team(), quota, request, reachability);
                let admitted = decision == QuotaDecision::Admitted;
                requests.push(SimulatedRequest { at_ms, class, units, admitted });
            }
            let written_ms = records.get(&host).map_or(0, |(at, _, _)| *at);
            let must_record = match fleet.recording_zones {
                None => limiters[host].must_record() && at_ms >= written_ms + RECORD_MS,
                Some(zones) => {
                    host < zones
                        && at_ms >= written_ms + ZONE_RECORD_MS
                        && limiters[host].exceeds_record_threshold(|_| Some(quota))
                }
            };
            if must_record {
                let own = limiters[host].record_spending(now);
                let mut spending = own.first().map_or(TeamSpending::default(), |own| own.1);
                for ((peer, _), (_, published)) in &heard[host].newest {
                    if fleet.recording_zones.is_some_and(|zones| peer % zones == host % zones) {
                        spending.spent += published.spent;
                        spending.asked += published.asked;
                    }
                }
                records.insert(host, (at_ms, (host, restart_counts[host]), spending));
            }
            let regular = (at_ms + 57 * host as u64).is_multiple_of(SUMMARY_MS);
            let may_publish = at_ms >= published_ms[host] + fleet.min_publish_ms;
            if regular || (may_publish && limiters[host].must_publish()) {
                published_ms[host] = at_ms;
                let published = limiters[host].publish_spending(now);
                let spending =
                    published.first().map_or(TeamSpending::default(), |published| published.1);
                if !is_partitioned(host) {
                    in_flight.push((
                        at_ms + fleet.delay_ms,
                        (host, restart_counts[host]),
                        spending,
                    ));
                }
            }
        }
        let (arrived, rest) = in_flight.into_iter().partition(|(due, _, _)| *due <= at_ms);
        in_flight = rest;
        let arrived: Vec<(u64, HostIncarnation, TeamSpending)> = arrived;
        for (_, sender, spending) in arrived {
            let reached = |host: &usize| {
                *host != sender.0 && !is_partitioned(*host) && !is_cut(sender.0, *host)
            };
            for host in (0..hosts).filter(reached) {
                let is_new = at_ms < started_ms[sender.0] + START_MS;
                heard[host].insert(at_ms, sender, is_new, spending);
            }
        }
        // Large fleets expire summaries less often, which saves time.
        let step = hosts as u64 / HOSTS as u64;
        for host in (0..hosts).filter(|_| at_ms.is_multiple_of(step)) {
            let sum = heard[host].sum(at_ms);
            limiters[host].set_peer_spending(&BTreeMap::from([(team(), sum)]));
        }
    }
    let window_ms = WINDOW.as_millis() as u64;
    let admitted: Vec<(u64, u64)> = requests
        .iter()
        .filter(|request| request.admitted)
        .map(|request| (request.at_ms, request.units))
        .collect();
    let worst_window = admitted
        .iter()
        .map(|(start, _)| {
            let inside = admitted.iter().filter(|(at, _)| (*start..start + window_ms).contains(at));
            inside.map(|(_, units)| units).sum()
        })
        .max();
    let total = admitted.iter().map(|(_, units)| units).sum();
    let worst_window = worst_window.unwrap_or(0);
    SimulationResult { worst_window, asked, admitted: total, requests }
}

#[rstest]
fn within_tolerance(
    #[values(Fault::None, Fault::Partition, Fault::RollingRestart)] fault: Fault,
    #[values(1.5, 4.0, 8.0)] demand: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    assert_within(QUOTA, &simulate(SMALL_FLEET, seed, Demand::constant(demand), fault));
}

#[test]
fn all_killed() {
    for seed in 1..=3 {
        for demand in [1.5, 4.0, 8.0] {
            assert_within(
                QUOTA,
                &simulate(SMALL_FLEET, seed, Demand::constant(demand), Fault::KillAll),
            );
        }
    }
}

fn assert_within(quota: TeamQuota, result: &SimulationResult) {
    assert!(
        (result.worst_window as f64) <= allowed_units(quota),
        "{} units in a window, {} allowed",
        result.worst_window,
        allowed_units(quota)
    );
}

#[test]
fn large_fleet_killed() {
    for seed in 1..=3 {
        let result = simulate(LARGE_FLEET, seed, Demand::constant(4.0), Fault::KillAll);
        assert_within(LARGE_FLEET.quota, &result);
    }
}

#[test]
fn large_fleet_overload() {
    for seed in 1..=3 {
        assert_within(
            LARGE_FLEET.quota,
            &simulate(LARGE_FLEET, seed, Demand::constant(4.0), Fault::None),
        );
        let result = simulate(LARGE_FLEET, seed, Demand::constant(0.55), Fault::None);
        assert_eq!(result.admitted, result.asked, "refused below the quota");
    }
}

#[test]
fn sudden_overload() {
    for fleet in [LARGE_FLEET, LARGEST_FLEET] {
        for (usual, hot) in [(0.55, 4.0), (0.55, 8.0), (0.9, 4.0), (0.9, 8.0)] {
            for seed in 1..=2 {
                let demand = Demand::growing(usual, hot, 9_000);
                assert_within(fleet.quota, &simulate(fleet, seed, demand, Fault::None));
            }
        }
    }
}

/// Guards against refusals of what the rate entitles a team to, after it has spent a window's quota at
/// once.
#[rstest]
fn steady_use(
    #[values(LARGE_FLEET, LARGEST_FLEET, FLEET_63, FLEET_295)] fleet: Fleet,
    #[values(1, 2)] seed: u64,
) {
    let result = simulate(fleet, seed, Demand::constant(7.0), Fault::None);
    assert_within(fleet.quota, &result);
    // Summaries of the largest fleet take most of a second. What it overspends at first is paid back.
    let from_ms = if fleet.hosts > 128 { 3_000 } else { 2_000 };
    assert_used(&result, fleet.quota, from_ms, 0.9);
}

/// Asserts that a fraction of the limit is used in every two seconds from a time on.
fn assert_used(result: &SimulationResult, quota: TeamQuota, from_ms: u64, fraction: f64) {
    for from_ms in (from_ms..28_000).step_by(500) {
        let used = result.admitted_between(from_ms, from_ms + 2_000) as f64;
        let limit = 2.0 * quota.rate as f64;
        assert!(used >= limit * fraction, "{used} of {limit} from {from_ms} ms");
    }
}

/// Guards against more than the bound in a fault of many hosts, and against a fleet that goes on
/// refusing after it.
#[rstest]
fn faulty_fleet(
    #[values(FLEET_8, FLEET_63, FLEET_295)] fleet: Fleet,
    #[values(
        Fault::Halves,
        Fault::KillAll,
        Fault::KillAllUnrecorded,
        Fault::Frozen,
        Fault::RollingRestart
    )]
    fault: Fault,
) {
    let result = simulate(fleet, 1, Demand::constant(7.0), fault);
    assert_within(fleet.quota, &result);
    if fault != Fault::Halves {
        assert_used(&result, fleet.quota, 8_000, 0.7);
    }
}

/// Guards against hosts that keep to an old limit.
#[rstest]
fn changed_quota(
    #[values(FLEET_8, FLEET_63, FLEET_295)] fleet: Fleet,
    #[values(Fault::Lowered, Fault::Raised)] fault: Fault,
) {
    let result = simulate(fleet, 1, Demand::constant(7.0), fault);
    let quota = fault.quota(fleet.quota, 0, 12_000);
    for from_ms in 15_000..22_000 {
        let units = result.admitted_between(from_ms, from_ms + 8_000) as f64;
        assert!(units <= allowed_units(quota), "{units} units from {from_ms} ms");
    }
    assert_used(&result, quota, 19_000, 0.8);
}

/// Guards against large requests that take the room of more urgent ones, against ranks that starve, and
/// against refusals of large requests for their size.
#[rstest]
fn urgent_first(
    #[values(FLEET_8, FLEET_63, FLEET_295)] fleet: Fleet,
    #[values(1.5, 3.0, 7.0)] demand: f64,
) {
    let result = simulate(fleet, 1, Demand::ranked(demand), Fault::None);
    assert_within(fleet.quota, &result);
    let fraction = |class| result.admitted_fraction(class, 0..u64::MAX);
    assert!(fraction(0) >= 0.7 && fraction(0) >= fraction(1) && fraction(1) > fraction(2));
    let without_ranks = result.admitted as f64 / result.asked as f64;
    assert!(fraction(2) >= without_ranks * 0.5, "{} of {without_ranks}", fraction(2));
    let (from, to) = RANKED[2].units;
    let tenth = (to - from) / 10;
    let refused = |units| 1.0 - result.admitted_fraction(2, units);
    assert!(refused(to - tenth..to) <= 2.0 * refused(from..from + tenth));
}

/// Guards against requests that are larger than the bucket of a small team and are never admitted.
#[test]
fn large_request() {
    let quota = TeamQuota { rate: 36_000, burst: 36_000 };
    let reachability = PeerReachability::Majority { silent: 0, known: 63 };
    let mut limiter = new_limiter();
    let (mut now, mut waits) = (Timestamp::from_millis(0), 0);
    for round in 0..3 {
        let mut has_asked = false;
        while let QuotaDecision::Exceeded { retry_after, .. } = limiter.admit(
            now,
            &team(),
            quota,
            QuotaRequest { has_asked, ..new_request(50_000) },
            reachability,
        ) {
            (now, waits, has_asked) = (now + retry_after, waits + 1, true);
            assert!(waits < 20, "round {round}");
        }
    }
    // Three such requests are the quota of about four seconds.
    assert!(
        now >= Timestamp::from_millis(1_000) && now <= Timestamp::from_millis(8_000),
        "{now:?}"
    );
}

/// Guards against requests larger than the bucket's largest deficit, of which the rest was not paid back.
#[rstest]
fn large_requests_paid(#[values(0, 100, 300)] burst: u64) {
    let quota = TeamQuota { rate: 1_000, burst };
    let reachability = PeerReachability::Majority { silent: 0, known: 1 };
    let bounds = QuotaBounds { window: WINDOW, tolerance_ratio: 0.0, tolerance_units: 0.0 };
    let mut limiter = QuotaLimiter::new(bounds);
    let mut admitted = 0;
    for step in 0..4_000 {
        let now = Timestamp::from_millis(step * 10);
        let request = new_request(4_000);
        let decision = limiter.admit(now, &team(), quota, request, reachability);
        admitted += u64::from(decision == QuotaDecision::Admitted) * 4_000;
    }
    // The refill of 40 s, a full bucket and one request.
    let allowed = 40_000 + burst + 4_000;
    assert!(admitted <= allowed, "{admitted} units, {allowed} allowed");
    assert!(admitted * 10 >= 40_000 * 9, "{admitted} units");
}

/// Guards against a refill that is lost or given out twice, and against ranks without their floors.
#[test]
fn rank_division() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..1_000 {
        let demand: ByRank<f64> = std::array::from_fn(|_| random.random_range(0.0..100.0));
        let total: f64 = demand.iter().sum();
        let refill = total * random.random_range(0.05..1.5);
        let split = split_refill(refill, refill, demand);
        assert!((split.iter().sum::<f64>() - refill).abs() < 1e-6);
        for class in 0..split.len() {
            let fair = refill * demand[class] / total;
            assert!(split[class] >= 0.5 * fair - 1e-6);
            let served = |class: usize| split[class] / demand[class];
            assert!(class == 0 || served(class - 1) >= served(class) - 1e-6);
        }
    }
}

#[rstest]
fn below_quota(#[values(1, 2, 3, 4)] seed: u64) {
    let result = simulate(SMALL_FLEET, seed, Demand::constant(0.55), Fault::None);
    assert_eq!(result.admitted, result.asked, "refused below the quota");
}

#[rstest]
fn below_quota_after_kill(#[values(1, 2, 3, 4)] seed: u64) {
    let result = simulate(SMALL_FLEET, seed, Demand::constant(0.55), Fault::KillAll);
    let refused = result.asked - result.admitted;
    assert!(refused * 20 <= result.asked, "refused {refused} of {}", result.asked);
}

#[test]
fn uncoordinated_hosts_overspend() {
    // Hosts that receive no summaries each admit a whole quota.
    let mut limiters: Vec<QuotaLimiter> = (0..HOSTS).map(|_| new_limiter()).collect();
    let mut spent = 0;
    for limiter in &mut limiters {
        for at_ms in (0..8_000).step_by(10) {
            let now = Timestamp::from_millis(at_ms);
            let reachability = PeerReachability::Majority { silent: 0, known: 7 };
            if limiter.admit(now, &team(), QUOTA, new_request(6_000), reachability)
                == QuotaDecision::Admitted
            {
                spent += 6_000;
            }
        }
    }
    assert!(f64::from(spent) > allowed_units(QUOTA));
}

#[test]
fn refunded_units() {
    let mut limiter = new_limiter();
    let now = Timestamp::from_millis(0);
    let reachability = PeerReachability::Minority { group: 1, known: 7 };
    while limiter.admit(now, &team(), QUOTA, new_request(1_000), reachability)
        == QuotaDecision::Admitted
    {}
    limiter.refund(&team(), 1_000);
    assert_eq!(
        limiter.admit(now, &team(), QUOTA, new_request(1_000), reachability),
        QuotaDecision::Admitted
    );
}

#[test]
fn capacity_returns() {
    let mut limiter = new_limiter();
    let reachability = PeerReachability::Minority { group: 1, known: 7 };
    let start = Timestamp::from_millis(0);
    let retry_after = loop {
        match limiter.admit(start, &team(), QUOTA, new_request(1_000), reachability) {
            QuotaDecision::Admitted => {}
            QuotaDecision::Exceeded { retry_after, .. } => break retry_after,
        }
    };
    let decision =
        limiter.admit(start + retry_after, &team(), QUOTA, new_request(1_000), reachability);
    assert_eq!(decision, QuotaDecision::Admitted);
}

/// Streams break off while new requests use up the quota, and their callers take them up a few times.
#[test]
fn returning_streams() {
    let reachability = PeerReachability::Majority { silent: 0, known: 1 };
    let mut limiter = new_limiter();
    let mut random = ChaCha8Rng::seed_from_u64(41);
    let (streams, units) = (40, 14_000);
    let mut tries: Vec<(u64, u32)> = (0..streams).map(|_| (10_000, 4)).collect();
    let (mut went_on, mut begun, mut refused) = (0, 0, 0);
    for at_ms in 0..20_000 {
        // New requests ask for twice and a half the rate.
        if at_ms % 10 == 0 {
            let size = random.random_range(1_000..4_000);
            let decision = limiter.admit(
                Timestamp::from_millis(at_ms),
                &team(),
                QUOTA,
                new_request(size),
                reachability,
            );
            let admitted = decision == QuotaDecision::Admitted;
            (begun, refused) = (begun + u32::from(admitted), refused + u32::from(!admitted));
        }
        for (due, left) in tries.iter_mut().filter(|(due, left)| *due == at_ms && *left > 0) {
            let decision = limiter.admit(
                Timestamp::from_millis(at_ms),
                &team(),
                QUOTA,
                QuotaRequest { claim: QuotaClaim::TakenUp, ..new_request(units) },
                reachability,
            );
            *left -= 1;
            if decision == QuotaDecision::Admitted {
                (went_on, *left) = (went_on + 1, 0);
            }
            *due += 1_000 + random.random_range(0..200);
        }
    }
    let share = f64::from(went_on) / f64::from(streams as u32);
    let share_of_new = f64::from(begun) / f64::from(begun + refused);
    assert!(
        share >= share_of_new,
        "{share} of the streams went on, {share_of_new} of new ones began"
    );
}
