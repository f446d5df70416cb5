//! Shares of ranks that hosts admit under overload, decided from late and lost reports.

use std::collections::VecDeque;

use pomelostack_lib::gateway::waiting::rank_shares::RankDecision;
use pomelostack_lib::gateway::waiting::rank_shares::RankReport;
use pomelostack_lib::gateway::waiting::rank_shares::RankShares;
use pomelostack_lib::gateway::waiting::route_times::CallerVisit;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time of a step of the model, and of a summary.
const STEP_MS: u64 = 20;
const SUMMARY_MS: u64 = 360;

fn chat() -> ServiceName {
    ServiceName::try_from("chat").expect("a valid name")
}

/// A fleet whose servers answer `capacity` requests a second in time, whatever their rank.
struct ModelFleet {
    hosts: Vec<RankShares>,
    /// What each host stated, oldest first, at most as many as are used.
    stated: Vec<VecDeque<Vec<RankReport>>>,
    capacity: f64,
    rng: ChaCha8Rng,
    now_ms: u64,
    /// Fraction of the summaries that are lost.
    loss: f64,
    /// Hosts from this one on hear only one another, and the others likewise.
    cut: Option<usize>,
    admitted: [u64; 3],
    offered: [u64; 3],
}

impl ModelFleet {
    fn new(hosts: usize, seed: u64) -> Self {
        Self {
            hosts: vec![RankShares::default(); hosts],
            stated: vec![VecDeque::new(); hosts],
            capacity: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            loss: 0.0,
            cut: None,
            admitted: [0; 3],
            offered: [0; 3],
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Runs the fleet for a while at a load per second by rank.
    fn run(&mut self, ms: u64, load: [f64; 3]) {
        (self.admitted, self.offered) = ([0; 3], [0; 3]);
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            let step_s = STEP_MS as f64 / 1_000.0;
            let mut started = Vec::new();
            for (rank, load) in load.iter().enumerate() {
                let requests = load * step_s + self.rng.random::<f64>();
                for _ in 0..requests as u64 {
                    let host = self.rng.random_range(0..self.hosts.len());
                    let fraction = self.rng.random();
                    let shares = &self.hosts[host];
                    self.offered[rank] += 1;
                    let visit = CallerVisit::First;
                    if shares.decide(&chat(), rank as u32, fraction, visit)
                        == RankDecision::Admitted
                    {
                        self.admitted[rank] += 1;
                        started.push((host, rank as u32));
                    }
                }
            }
            let in_time = self.capacity * step_s / started.len().max(1) as f64;
            let now = self.now();
            for (host, rank) in started {
                self.hosts[host].on_admitted(now, &chat(), rank);
                if self.rng.random::<f64>() >= in_time {
                    self.hosts[host].on_missed(now, &chat(), rank);
                }
            }
            (0..self.hosts.len()).for_each(|host| self.exchange(host));
        }
    }

    fn exchange(&mut self, host: usize) {
        // Hosts send at different times.
        if !(self.now_ms / STEP_MS + host as u64).is_multiple_of(SUMMARY_MS / STEP_MS) {
            return;
        }
        let now = self.now();
        let side = |other: usize| self.cut.is_none_or(|cut| (host < cut) == (other < cut));
        let mut heard = Vec::new();
        for other in (0..self.hosts.len()).filter(|other| *other != host && side(*other)) {
            let age = usize::from(self.loss > 0.0 && self.rng.random::<f64>() < self.loss);
            let newest = self.stated[other].iter().rev().nth(age);
            heard.extend(newest.into_iter().flatten().cloned());
        }
        self.hosts[host].step(now, &heard);
        let reports = self.hosts[host].reports(now);
        self.stated[host].push_back(reports);
        if self.stated[host].len() > 2 {
            self.stated[host].pop_front();
        }
    }

    fn shares(&self, rank: u32) -> (f64, f64) {
        let shares = self.hosts.iter().map(|host| host.share(&chat(), rank));
        shares.fold((1.0, 0.0), |(least, most), share| {
            (f64::min(least, share), f64::max(most, share))
        })
    }
}

/// Guards against ranks that are served alike under overload, hosts that disagree, and shares that
/// stay low after it, in small and large fleets with lost summaries.
#[rstest]
#[case::small(8, 0.0)]
#[case::dozens(63, 0.1)]
#[case::hundreds(295, 0.3)]
fn overload_and_calm(#[case] hosts: usize, #[case] loss: f64) {
    let mut fleet = ModelFleet::new(hosts, 7);
    (fleet.loss, fleet.capacity) = (loss, 500.0);
    fleet.run(5_000, [140.0, 170.0, 110.0]);
    assert_eq!(fleet.shares(2), (1.0, 1.0));
    // Within a second, or two at the longest delay, the least urgent rank gives way.
    fleet.run(2_000, [200.0, 200.0, 300.0]);
    assert!(fleet.shares(2).1 < 0.75, "{:?}", fleet.shares(2));
    fleet.run(10_000, [200.0, 200.0, 300.0]);
    let admitted = |rank: usize| fleet.admitted[rank] as f64 / fleet.offered[rank] as f64;
    assert!(admitted(0) > 0.95 && admitted(2) < 0.6, "{:?} of {:?}", fleet.admitted, fleet.offered);
    let (least, most) = fleet.shares(2);
    assert!(most - least < 0.25, "{least} to {most}");
    fleet.run(12_000, [140.0, 170.0, 110.0]);
    assert_eq!(fleet.shares(2), (1.0, 1.0));
}

/// Guards against a less urgent rank that is admitted more often than a more urgent one, and a rank
/// that is not admitted at all, however large the overload.
#[test]
fn least_shares() {
    let mut fleet = ModelFleet::new(63, 3);
    fleet.capacity = 200.0;
    fleet.run(20_000, [600.0, 200.0, 300.0]);
    let shares: Vec<f64> = (0..3).map(|rank| fleet.shares(rank).0).collect();
    assert!(shares[0] >= shares[1] && shares[1] >= shares[2], "{shares:?}");
    assert!(shares[2] >= 0.35, "{shares:?}");
}

/// Guards against shares that swing: a steady overload moves them little once they have settled.
#[test]
fn steady_shares() {
    let mut fleet = ModelFleet::new(63, 5);
    fleet.capacity = 500.0;
    let load = [200.0, 200.0, 300.0];
    fleet.run(10_000, load);
    let mut served = Vec::new();
    for _ in 0..10 {
        fleet.run(2_000, load);
        served.push(fleet.admitted.iter().sum::<u64>());
    }
    let (least, most) = (served.iter().min(), served.iter().max());
    let (least, most) = (least.copied().unwrap_or(0), most.copied().unwrap_or(0));
    assert!(most < least + least / 4, "{served:?}");
}

/// Guards against a partition of which one side decides nothing, and against sides that disagree after
/// it.
#[test]
fn partitioned_halves() {
    let mut fleet = ModelFleet::new(62, 11);
    (fleet.capacity, fleet.cut) = (500.0, Some(31));
    fleet.run(6_000, [200.0, 200.0, 300.0]);
    assert!(fleet.shares(2).1 < 0.75, "{:?}", fleet.shares(2));
    fleet.cut = None;
    fleet.run(3_000, [200.0, 200.0, 300.0]);
    let (least, most) = fleet.shares(2);
    assert!(most - least < 0.25, "{least} to {most}");
}

/// Guards against a peer that states an absurd count, or a share of nothing.
#[test]
fn false_report() {
    let mut shares = RankShares::default();
    let report = RankReport { service: chat(), rank: 2, requests: 1e18, missed: 1e18, share: -3.0 };
    for step in 1..20 {
        shares.step(Timestamp::from_millis(step * 400), std::slice::from_ref(&report));
    }
    assert_eq!(shares.share(&chat(), 2), 0.35);
    for step in 20..60 {
        shares.step(Timestamp::from_millis(step * 400), &[]);
    }
    assert_eq!(shares.share(&chat(), 2), 1.0);
}

/// Guards against the last room of a server going to a less urgent rank, and against room that is kept
/// where no more urgent request comes.
#[test]
fn reserved_room() {
    let (mut shares, now) = (RankShares::default(), Timestamp::from_millis(50));
    shares.on_admitted(now, &chat(), 2);
    assert_eq!(shares.reserved_fraction(&chat(), 2), 0.0);
    shares.on_admitted(now, &chat(), 0);
    shares.on_admitted(now, &chat(), 1);
    let reserved: Vec<f64> = (0..3).map(|rank| shares.reserved_fraction(&chat(), rank)).collect();
    assert_eq!(reserved, [0.0, 0.1, 0.2]);
    shares.step(Timestamp::from_millis(20_000), &[]);
    assert_eq!(shares.reserved_fraction(&chat(), 2), 0.0);
}

/// Guards against summaries that carry ranks while no request misses its goal.
#[test]
fn silent_when_calm() {
    let mut shares = RankShares::default();
    for ms in 0..500 {
        shares.on_admitted(Timestamp::from_millis(ms), &chat(), 0);
    }
    shares.step(Timestamp::from_millis(600), &[]);
    assert_eq!(shares.reports(Timestamp::from_millis(600)), []);
}
