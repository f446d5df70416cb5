//! Requests that share parts of their prompts, some of which crash servers, in simulated fleets.

use std::time::Duration;

use pomelostack_lib::ids::ServerId;
use pomelostack_lib::part_suspects::AnswerProgress;
use pomelostack_lib::part_suspects::FleetView;
use pomelostack_lib::part_suspects::LossSource;
use pomelostack_lib::part_suspects::LostRequest;
use pomelostack_lib::part_suspects::PartSuspects;
use pomelostack_lib::timestamp::Timestamp;
use pomelostack_lib::work_parts::MAX_WORK_PARTS;
use pomelostack_lib::work_parts::WorkPart;
use pomelostack_lib::work_parts::WorkParts;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use testutils::part_fleet::FleetFault;
use testutils::part_fleet::FleetOutcome;
use testutils::part_fleet::FleetRequest;
use testutils::part_fleet::FleetShape;
use testutils::part_fleet::PartFleet;

/// Requests that may reach servers after the fifth crash and the time of contact.
const MAX_LATE_RUNS: usize = 3;

/// Time for which requests come.
const TRAFFIC_MS: u64 = 40_000;

/// Popular first parts, and further parts that some requests share.
const FIRST_PARTS: u64 = 4;
const OTHER_PARTS: u64 = 300;

/// First of the parts that crash servers.
const CRASHING_PARTS: u64 = 1_000_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn part(number: u64) -> WorkPart {
    WorkPart::of_prompt("chat", &number.to_be_bytes())
}

fn whole(request: u64) -> WorkPart {
    WorkPart::of_request(&[b"request", &request.to_be_bytes()])
}

fn work(request: u64, parts: &[u64]) -> WorkParts {
    WorkParts::new(whole(request), parts.iter().map(|number| part(*number)))
}

/// Time of contact of a fleet, as the users' deployments state it.
fn contact(hosts: usize) -> Duration {
    match hosts {
        0..=12 => Duration::from_secs(3),
        13..=128 => Duration::from_secs(4),
        _ => Duration::from_secs(5),
    }
}

/// What the traffic of a simulation is made of.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    hosts: usize,
    /// Parts that crash servers.
    crashing_parts: u64,
    crashing_per_s: u64,
    seed: u64,
}

/// Adds sound requests that share first and other parts, and crashing ones with the same parts and
/// one more at any place.
fn add_traffic(fleet: &mut PartFleet, traffic: Traffic) {
    let mut random = ChaCha8Rng::seed_from_u64(traffic.seed);
    let sound_per_s = 3 * traffic.hosts as u64;
    let mut number = 0;
    let mut send = |random: &mut ChaCha8Rng, millis: u64, crashing: Option<u64>| {
        number += 1;
        let first = random.random_range(0..FIRST_PARTS);
        let other = FIRST_PARTS + random.random_range(0..OTHER_PARTS);
        let mut parts = vec![first, other];
        if let Some(crashing) = crashing {
            parts.insert(random.random_range(0..=2), crashing);
        }
        fleet.send(FleetRequest {
            at: at(millis),
            host: random.random_range(0..traffic.hosts),
            whole: whole(number),
            work: work(number, &parts),
            begins_after: Duration::from_millis(random.random_range(20..800)),
            length: Duration::from_millis(random.random_range(50..4_000)),
            crashes: crashing.is_some(),
        });
    };
    for _ in 0..sound_per_s * TRAFFIC_MS / 1_000 {
        let millis = random.random_range(0..TRAFFIC_MS);
        send(&mut random, millis, None);
    }
    if traffic.crashing_parts > 0 {
        for _ in 0..traffic.crashing_per_s * (TRAFFIC_MS - 5_000) / 1_000 {
            let millis = random.random_range(5_000..TRAFFIC_MS);
            let crashing = CRASHING_PARTS + random.random_range(0..traffic.crashing_parts);
            send(&mut random, millis, Some(crashing));
        }
    }
}

fn run(traffic: Traffic, faults: &[(u64, FleetFault)]) -> FleetOutcome {
    let mut fleet = PartFleet::new(FleetShape::of_hosts(traffic.hosts), traffic.seed);
    add_traffic(&mut fleet, traffic);
    faults.iter().for_each(|(millis, fault)| fleet.add_fault(at(*millis), *fault));
    fleet.run(at(TRAFFIC_MS + 5_000))
}

#[rstest]
#[case::small(8)]
#[case::grown(84)]
#[case::large(295)]
fn one_part(#[case] hosts: usize, #[values(1, 2, 3)] seed: u64, #[values(1, 6)] rate: u64) {
    let outcome = run(Traffic { hosts, crashing_parts: 1, crashing_per_s: rate, seed }, &[]);
    assert!(outcome.late_runs(contact(hosts)) <= MAX_LATE_RUNS, "{outcome:?}");
    assert!(outcome.sound_refused.is_empty(), "{:?}", outcome.changes);
    assert!(outcome.crashing_refused > 10, "{outcome:?}");
}

#[rstest]
#[case::small(8)]
#[case::grown(84)]
#[case::large(295)]
fn several_parts(#[case] hosts: usize, #[values(2, 3)] parts: u64, #[values(1, 2)] seed: u64) {
    let traffic = Traffic { hosts, crashing_parts: parts, crashing_per_s: 3, seed };
    let outcome = run(traffic, &[]);
    // Each part may crash five servers, and three more requests with it may follow.
    let last = parts as usize * 5;
    let fifth = outcome.crashes.get(last - 1).copied().unwrap_or(at(TRAFFIC_MS));
    let late = outcome.crashing_runs.iter().filter(|(at, _)| *at > fifth + contact(hosts));
    assert!(late.count() <= parts as usize * MAX_LATE_RUNS, "{outcome:?}");
    assert!(outcome.sound_refused.is_empty(), "{:?}", outcome.changes);
}

#[rstest]
#[case::small(8)]
#[case::grown(84)]
#[case::large(295)]
fn servers_lost_without_cause(#[case] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let traffic = Traffic { hosts, crashing_parts: 0, crashing_per_s: 0, seed };
    let servers = FleetShape::of_hosts(hosts).servers;
    let mut faults = vec![
        (6_000, FleetFault::ZoneLost(0)),
        (14_000, FleetFault::ZoneLost(1)),
        (14_300, FleetFault::ZoneLost(2)),
    ];
    // A release without notices.
    let releases = (0..servers).map(|server| {
        (22_000 + 15_000 * server as u64 / servers as u64, FleetFault::ServerRestart(server))
    });
    faults.extend(releases);
    let outcome = run(traffic, &faults);
    assert!(outcome.sound_refused.is_empty(), "{:?}", outcome.changes);
    assert!(outcome.verdicts.is_empty(), "{:?}", outcome.changes);
}

#[rstest]
#[case::host_restarts(vec![(20_000, FleetFault::HostRestart(0)), (25_000, FleetFault::HostRestart(1))])]
#[case::power_loss(vec![(20_000, FleetFault::PowerLoss)])]
#[case::cut_off(vec![(4_000, FleetFault::CutOff(0)), (16_000, FleetFault::Reconnect(0))])]
fn hosts_that_missed_it(
    #[case] faults: Vec<(u64, FleetFault)>,
    #[values(8, 84)] hosts: usize,
    #[values(1, 2)] seed: u64,
) {
    let outcome = run(Traffic { hosts, crashing_parts: 1, crashing_per_s: 4, seed }, &faults);
    let fifth = outcome.crashes.get(4).copied().unwrap_or(at(TRAFFIC_MS));
    // A host that is cut off or has just started is not in touch.
    let out_of_touch = |time: Timestamp, host: usize| match faults[0].1 {
        FleetFault::CutOff(cut) => host == cut && time < at(16_000) + contact(hosts),
        FleetFault::HostRestart(_) => false,
        _ => time >= at(20_000) && time < at(20_000) + contact(hosts),
    };
    let late = outcome
        .crashing_runs
        .iter()
        .filter(|(time, host)| *time > fifth + contact(hosts) && !out_of_touch(*time, *host));
    assert!(late.count() <= MAX_LATE_RUNS, "{outcome:?}");
    assert!(outcome.sound_refused.is_empty(), "{:?}", outcome.changes);
}

fn server(number: u64) -> ServerId {
    ServerId::try_from(format!("s{number}")).expect("valid in tests")
}

/// Reports a crash a second for each list of lost requests, and judges after each.
fn crash_each(suspects: &mut PartSuspects, first_ms: u64, crashes: &[Vec<WorkParts>]) -> u64 {
    crash_each_with(suspects, first_ms, crashes, FleetView::Whole)
}

fn crash_each_with(
    suspects: &mut PartSuspects,
    first_ms: u64,
    crashes: &[Vec<WorkParts>],
    view: FleetView,
) -> u64 {
    let mut millis = first_ms;
    for lost in crashes {
        let lost = lost.iter().map(|parts| LostRequest {
            parts: parts.clone(),
            began_at: at(millis - 50),
            source: LossSource::Own,
            progress: AnswerProgress::Beginning,
        });
        suspects.on_crash(at(millis), at(millis), &server(millis), lost);
        suspects.judge(at(millis + 900), millis, view);
        millis += 1_000;
    }
    millis
}

#[test]
fn rare_companion() {
    // Part 2 crashes; part 7 has only been seen beside it.
    let mut suspects = PartSuspects::default();
    let beside: Vec<_> = (0..3).map(|number| vec![work(number, &[1, 2, 7])]).collect();
    let next = crash_each(&mut suspects, 1_000, &beside);
    assert!(suspects.find_verdict(&work(10, &[1, 2, 7])).is_some());
    // Apart from each other, both are tried.
    assert!(suspects.find_verdict(&work(11, &[1, 7])).is_none());
    suspects.on_answered(at(next), &work(11, &[1, 7]));
    crash_each(&mut suspects, next + 100, &[vec![work(12, &[2])]]);
    assert!(suspects.find_verdict(&work(13, &[2])).is_some());
    assert!(suspects.find_verdict(&work(14, &[1, 7])).is_none());
}

#[test]
fn bystander_in_each_crash() {
    // Another request's part is in each of the first three crashes; a fourth one decides.
    let mut suspects = PartSuspects::default();
    let beside: Vec<_> =
        (0..3).map(|number| vec![work(number, &[2]), work(50 + number, &[7])]).collect();
    let next = crash_each(&mut suspects, 1_000, &beside);
    assert!(suspects.find_verdict(&work(10, &[7])).is_none());
    crash_each(&mut suspects, next, &[vec![work(12, &[2])]]);
    assert!(suspects.find_verdict(&work(13, &[2])).is_some());
    assert!(suspects.find_verdict(&work(14, &[7])).is_none());
}

#[test]
fn answer_clears() {
    let mut suspects = PartSuspects::default();
    let next = crash_each(&mut suspects, 1_000, &[vec![work(1, &[2])], vec![work(2, &[2])]]);
    suspects.on_answered(at(next), &work(3, &[2]));
    let next = crash_each(&mut suspects, next + 10, &[vec![work(4, &[2])], vec![work(5, &[2])]]);
    assert!(suspects.find_verdict(&work(6, &[2])).is_none());
    crash_each(&mut suspects, next, &[vec![work(7, &[2])]]);
    assert!(suspects.find_verdict(&work(8, &[2])).is_some());
}

#[test]
fn identical_request() {
    // Only resends of the same request crash; others that share its part do not.
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..3).map(|_| vec![work(1, &[2])]).collect();
    crash_each(&mut suspects, 1_000, &crashes);
    assert!(suspects.find_verdict(&work(1, &[2])).is_some());
    assert!(suspects.find_verdict(&work(9, &[2])).is_none());
}

#[test]
fn one_moment_is_one_crash() {
    let mut suspects = PartSuspects::default();
    for number in 0..8 {
        let lost = LostRequest {
            parts: work(number, &[2]),
            began_at: at(900),
            source: LossSource::Own,
            progress: AnswerProgress::Beginning,
        };
        suspects.on_crash(at(1_000 + number), at(1_000 + number), &server(number), [lost]);
    }
    suspects.judge(at(3_000), 3_000, FleetView::Whole);
    assert!(suspects.verdicts().is_empty());
}

#[test]
fn disproved_verdict() {
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..3).map(|number| vec![work(number, &[2])]).collect();
    let next = crash_each(&mut suspects, 1_000, &crashes);
    assert!(suspects.find_verdict(&work(9, &[2])).is_some());
    // A request that was under way at another server is answered after all.
    suspects.on_answered(at(next), &work(8, &[2]));
    let changed = suspects.judge(at(next + 1), next, FleetView::Whole);
    assert_eq!(changed.len(), 1);
    assert!(suspects.find_verdict(&work(9, &[2])).is_none());
}

#[test]
fn refused_part_does_not_lapse() {
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..3).map(|number| vec![work(number, &[2])]).collect();
    crash_each(&mut suspects, 1_000, &crashes);
    for minute in 1..300 {
        suspects.judge(at(minute * 60_000), minute * 60_000, FleetView::Whole);
        assert!(suspects.refuse(at(minute * 60_000), &work(1_000 + minute, &[2])).is_some());
    }
    // Unused for over an hour, it does.
    suspects.judge(at(400 * 60_000), 400 * 60_000, FleetView::Whole);
    assert!(suspects.refuse(at(400 * 60_000), &work(9, &[2])).is_none());
}

#[test]
fn random_parts_are_bounded() {
    // Lists of thousands of random parts in thousands of crashes: time and memory stay bounded.
    let mut suspects = PartSuspects::default();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for crash in 0..3_000 {
        let parts: Vec<u64> = (0..1_000).map(|_| random.random()).collect();
        let lost = (0..3).map(|number| work(crash * 10 + number, &parts)).collect();
        crash_each(&mut suspects, 1_000 + crash * 1_000, &[lost]);
    }
    assert!(suspects.watched_parts() <= 128 * 32 * MAX_WORK_PARTS);
    assert!(suspects.verdicts().records().count() <= 256);
}

/// Parts of a request to a service, as hosts build them.
fn service_work(request: u64, service: &str, parts: &[u64]) -> WorkParts {
    let prompt = parts.iter().flat_map(|number| {
        let id = number.to_be_bytes();
        [WorkPart::of_prompt(service, &id), WorkPart::of_any_service(&id)]
    });
    WorkParts::new(whole(request), prompt)
}

/// Records crashes of one service by part 2 until there is a verdict. Part 1 is in all requests.
fn convict_in_first_service(suspects: &mut PartSuspects) -> u64 {
    let first: Vec<_> = (0..4).map(|number| vec![service_work(number, "chat", &[1, 2])]).collect();
    let next = crash_each(suspects, 1_000, &first);
    assert!(suspects.find_verdict(&service_work(20, "chat", &[1, 2])).is_some());
    assert!(suspects.find_verdict(&service_work(20, "code", &[1, 2])).is_none());
    next
}

#[test]
fn next_service() {
    // Part 2 crashed the servers of one service, and then crashes those of another.
    let mut suspects = PartSuspects::default();
    let next = convict_in_first_service(&mut suspects);
    let lost = [21, 22].map(|number| service_work(number, "code", &[1, 2]));
    crash_each(&mut suspects, next, &[lost.to_vec()]);
    assert!(suspects.find_verdict(&service_work(23, "code", &[1, 2])).is_some());
    assert!(suspects.find_verdict(&service_work(24, "code", &[1])).is_none());
    assert!(suspects.find_verdict(&service_work(25, "chat", &[1])).is_none());
}

#[test]
fn sound_in_next_service() {
    // The servers of another service answer requests with the part, before and after one is lost there.
    let mut suspects = PartSuspects::default();
    let next = convict_in_first_service(&mut suspects);
    suspects.on_answered(at(next), &service_work(21, "code", &[1, 2]));
    let next = crash_each(&mut suspects, next + 1, &[vec![service_work(22, "code", &[1, 2])]]);
    assert!(suspects.find_verdict(&service_work(23, "code", &[1, 2])).is_none());
    suspects.on_answered(at(next), &service_work(24, "code", &[1, 2]));
    suspects.judge(at(next + 1_000), next, FleetView::Whole);
    assert!(suspects.find_verdict(&service_work(25, "code", &[1, 2])).is_none());
}

#[test]
fn popular_part_of_next_service() {
    // A request of another service is lost that has only the popular part of a verdict.
    let mut suspects = PartSuspects::default();
    let next = convict_in_first_service(&mut suspects);
    crash_each(&mut suspects, next, &[vec![service_work(21, "code", &[1])]]);
    assert!(suspects.find_verdict(&service_work(22, "code", &[1])).is_none());
    assert!(suspects.find_verdict(&service_work(23, "chat", &[1])).is_none());
}

#[test]
fn popular_first_part() {
    // Part 1 is in all requests, and none of them is answered for a while.
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..4)
        .map(|number| vec![work(number, &[1, 2]), work(50 + number, &[1]), work(70 + number, &[1])])
        .collect();
    crash_each(&mut suspects, 1_000, &crashes);
    assert!(suspects.find_verdict(&work(90, &[1])).is_none());
    assert!(suspects.find_verdict(&work(91, &[1, 2])).is_some());
}

#[test]
fn unknown_loss() {
    // Part 1 is in all requests. Nobody tells of the request with part 2 in the last crash.
    let mut suspects = PartSuspects::default();
    let crashes = vec![
        vec![work(1, &[1, 2]), work(2, &[1]), work(3, &[1])],
        vec![work(4, &[1, 2])],
        vec![work(5, &[1, 2])],
        vec![work(6, &[1])],
    ];
    crash_each(&mut suspects, 1_000, &crashes);
    assert!(suspects.find_verdict(&work(7, &[1])).is_none());
    assert!(suspects.find_verdict(&work(8, &[1, 2])).is_some());
}

#[test]
fn bystander_of_one_host() {
    // Two requests with part 2 are lost in each crash, and one with part 7 in every other.
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..6)
        .map(|number| {
            let mut lost = vec![work(number, &[2]), work(50 + number, &[2])];
            lost.extend((number % 2 == 0).then(|| work(70 + number, &[7])));
            lost
        })
        .collect();
    crash_each(&mut suspects, 1_000, &crashes);
    assert!(suspects.find_verdict(&work(90, &[2])).is_some());
    assert!(suspects.find_verdict(&work(91, &[7])).is_none());
}

#[test]
fn silent_host_returns() {
    // A host is silent while three crashes are judged, and had no part in them.
    let mut suspects = PartSuspects::default();
    let crashes: Vec<_> = (0..3).map(|number| vec![work(number, &[2])]).collect();
    let next = crash_each_with(&mut suspects, 1_000, &crashes, FleetView::Most);
    assert!(suspects.find_verdict(&work(9, &[2])).is_none());
    assert_eq!(suspects.judge(at(next), next, FleetView::Whole).len(), 1);
    assert!(suspects.find_verdict(&work(9, &[2])).is_some());
}
