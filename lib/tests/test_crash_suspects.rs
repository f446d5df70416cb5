//! Requests that crash servers are refused after two servers; their companions are not.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::crash_report::CrashReport;
use pomelostack_lib::crash_suspects::AttemptExit;
use pomelostack_lib::crash_suspects::CrashSuspects;
use pomelostack_lib::crash_suspects::ExitCause;
use pomelostack_lib::crash_suspects::SuspectPlacement;
use pomelostack_lib::crash_suspects::WorkFingerprint;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use testutils::crash_fleet::CrashFleet;
use testutils::crash_fleet::FleetJob;
use testutils::crash_fleet::ServerChoice;

const HOSTS: usize = 8;
const SERVERS: usize = 10;
const SHARING_DELAY: Duration = Duration::from_millis(100);
const CULPRIT: WorkFingerprint = WorkFingerprint(1);
const OTHER_CULPRIT: WorkFingerprint = WorkFingerprint(2);
const MAX_CRASHES: u32 = 2;

fn job(at_ms: u64, host: usize, fingerprint: WorkFingerprint) -> FleetJob {
    let at = Timestamp::from_millis(at_ms);
    FleetJob { at, host, fingerprint, length: Duration::from_secs(1), crashes_after: None }
}

/// Innocent requests over 60 s, each with work of its own.
fn background(rng: &mut ChaCha8Rng, count: u128) -> Vec<FleetJob> {
    let innocent = |n| {
        let fingerprint = WorkFingerprint(1_000 + n);
        let length = Duration::from_millis(rng.random_range(50..4_000));
        let at_ms = rng.random_range(0..60_000);
        FleetJob { length, ..job(at_ms, rng.random_range(0..HOSTS), fingerprint) }
    };
    (0..count).map(innocent).collect()
}

/// The same crashing request, sent again and again to any host.
fn resends(rng: &mut ChaCha8Rng, work: WorkFingerprint, every_ms: u64) -> Vec<FleetJob> {
    let crashes_after = Some(Duration::from_millis(rng.random_range(20..800)));
    (0..30)
        .map(|n| FleetJob {
            crashes_after,
            ..job(1_000 + n * every_ms, rng.random_range(0..HOSTS), work)
        })
        .collect()
}

#[rstest]
#[case::alone(0, &[CULPRIT])]
#[case::among_others(300, &[CULPRIT])]
#[case::two_at_once(300, &[CULPRIT, OTHER_CULPRIT])]
fn crash_bound(
    #[case] innocents: u128,
    #[case] culprits: &[WorkFingerprint],
    #[values(ServerChoice::LeastLoaded, ServerChoice::SameTwo)] choice: ServerChoice,
) {
    for seed in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = background(&mut rng, innocents);
        for &culprit in culprits {
            jobs.extend(resends(&mut rng, culprit, 3_000));
        }
        let fleet = CrashFleet::new(HOSTS, SERVERS, SHARING_DELAY, choice);
        let counts = fleet.play(&jobs, Timestamp::from_millis(150_000));
        for culprit in culprits {
            assert!(counts.crashes[culprit] <= MAX_CRASHES, "seed {seed}: {counts:?}");
            assert!(counts.refused.contains(culprit), "seed {seed}: {counts:?}");
        }
        assert_eq!(counts.refused.len(), culprits.len(), "seed {seed}: {counts:?}");
        assert_eq!(counts.answered as u128, innocents, "seed {seed}: {counts:?}");
    }
}

/// Two hosts that try two suspects at once must not choose one server for both, or neither is ever
/// alone: seed 9 lost 12 servers to it.
#[test]
fn trial_conflict() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = background(&mut rng, 200);
        jobs.extend(resends(&mut rng, CULPRIT, 3_000));
        let delay = Duration::from_millis(20);
        let fleet = CrashFleet::new(HOSTS, SERVERS, delay, ServerChoice::SameTwo);
        let counts = fleet.play(&jobs, Timestamp::from_millis(100_000));
        assert!(counts.crashes[&CULPRIT] <= MAX_CRASHES, "seed {seed}: {counts:?}");
    }
}

/// The bound rests on shared suspicions: without them each host loses servers of its own.
#[test]
fn unshared_suspicions() {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let jobs = resends(&mut rng, CULPRIT, 3_000);
    let fleet =
        CrashFleet::new(HOSTS, SERVERS, Duration::from_secs(3_600), ServerChoice::LeastLoaded);
    let counts = fleet.play(&jobs, Timestamp::from_millis(150_000));
    assert!(counts.crashes[&CULPRIT] > MAX_CRASHES, "{counts:?}");
}

fn suspects(host: &str) -> CrashSuspects {
    CrashSuspects::new(HostId::try_from(host).unwrap())
}

fn server(n: u32) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).unwrap()
}

fn request(sequence: u64) -> RequestId {
    RequestId { origin: 1, sequence }
}

/// Runs work alone on a server whose process ends.
fn lose(host: &mut CrashSuspects, at_s: u64, work: WorkFingerprint, on: u32, cause: ExitCause) {
    let now = Timestamp::from_millis(at_s * 1_000);
    host.begin(now, work, request(at_s), &server(on));
    let now = now + Duration::from_millis(5);
    host.on_server_exit(now, &server(on), &zone("salish-a"), cause);
    host.end(now, request(at_s), &server(on), AttemptExit::Stopped);
}

fn place(host: &mut CrashSuspects, at_s: u64, work: WorkFingerprint) -> SuspectPlacement {
    let candidates: Vec<ServerId> = (0..8).map(server).collect();
    host.place(Timestamp::from_millis(at_s * 1_000), work, request(999), &candidates)
}

fn free() -> SuspectPlacement {
    SuspectPlacement::Free { avoid: Vec::new() }
}

#[rstest]
#[case::process_ended(ExitCause::ProcessEnded, SuspectPlacement::Refused)]
#[case::host_gone(ExitCause::HostGone, free())]
fn two_deaths(#[case] cause: ExitCause, #[case] expected: SuspectPlacement) {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, cause);
    lose(&mut host, 20, CULPRIT, 1, cause);
    assert_eq!(place(&mut host, 30, CULPRIT), expected);
}

#[test]
fn same_server() {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    lose(&mut host, 20, CULPRIT, 0, ExitCause::ProcessEnded);
    assert_eq!(place(&mut host, 30, CULPRIT), SuspectPlacement::Hold);
    assert!(matches!(place(&mut host, 31, CULPRIT), SuspectPlacement::Trial(_)));
}

/// A suspect is tried on a server that has not crashed with it, if there is one.
#[test]
fn fresh_server() {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    place(&mut host, 30, CULPRIT);
    let SuspectPlacement::Trial(chosen) = place(&mut host, 31, CULPRIT) else { panic!() };
    assert_ne!(chosen, server(0));
}

#[test]
fn only_server() {
    let mut host = suspects("entry-0");
    let only = [server(0)];
    for at_s in [10, 20, 30] {
        let now = Timestamp::from_millis((at_s - 1) * 1_000);
        assert_ne!(host.place(now, CULPRIT, request(1), &only), SuspectPlacement::Refused);
        lose(&mut host, at_s, CULPRIT, 0, ExitCause::ProcessEnded);
    }
    assert_eq!(place(&mut host, 40, CULPRIT), SuspectPlacement::Refused);
}

/// Work that was answered after a crash does not crash every server.
#[test]
fn answered_between() {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    let now = Timestamp::from_millis(15_000);
    host.begin(now, CULPRIT, request(15), &server(2));
    host.end(now, request(15), &server(2), AttemptExit::Answered);
    lose(&mut host, 20, CULPRIT, 1, ExitCause::ProcessEnded);
    assert_eq!(place(&mut host, 30, CULPRIT), SuspectPlacement::Hold);
    assert!(matches!(place(&mut host, 31, CULPRIT), SuspectPlacement::Trial(_)));
}

/// A process that ended and serves again is told from a connection that was reset.
#[rstest]
#[case::one_of_one(1, 1, false)]
#[case::one_of_two(2, 1, false)]
#[case::two_of_two(2, 2, true)]
fn restarted_process(#[case] running: u64, #[case] lost: u64, #[case] ended: bool) {
    let mut host = suspects("entry-0");
    let now = Timestamp::from_millis(10_000);
    for n in 0..running {
        host.begin(now, WorkFingerprint(n.into()), request(n), &server(0));
    }
    let mut seen = false;
    for n in 0..lost {
        seen |= host.on_connection_lost(now, request(n), &server(0), &zone("salish-a"), true);
        host.end(now, request(n), &server(0), AttemptExit::Stopped);
    }
    assert_eq!(seen, ended);
    assert_eq!(place(&mut host, 11, WorkFingerprint(0)) == SuspectPlacement::Hold, ended);
}

/// A suspect whose connection is lost while it runs alone has ended the process.
#[test]
fn restarted_trial() {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    place(&mut host, 20, CULPRIT);
    let SuspectPlacement::Trial(on) = place(&mut host, 21, CULPRIT) else { panic!() };
    let now = Timestamp::from_millis(21_000);
    host.begin(now, CULPRIT, request(999), &on);
    assert!(host.on_connection_lost(now, request(999), &on, &zone("salish-a"), true));
    assert_eq!(place(&mut host, 30, CULPRIT), SuspectPlacement::Refused);
}

#[test]
fn announced_end() {
    let mut host = suspects("entry-0");
    for (at_s, on) in [(10, 0), (20, 1)] {
        host.announce_end(Timestamp::from_millis(at_s * 1_000), &server(on));
        lose(&mut host, at_s, CULPRIT, on, ExitCause::ProcessEnded);
    }
    assert_eq!(place(&mut host, 30, CULPRIT), free());
}

#[test]
fn zone_loss() {
    let mut host = suspects("entry-0");
    for (n, on) in [(1, 0), (2, 1), (3, 2)] {
        lose(&mut host, 10, WorkFingerprint(n), on, ExitCause::ProcessEnded);
    }
    for n in 1..=3 {
        assert_eq!(place(&mut host, 13, WorkFingerprint(n)), free());
    }
}

#[test]
fn shared_crash() {
    let mut first = suspects("entry-0");
    let mut second = suspects("entry-1");
    lose(&mut first, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    lose(&mut second, 10, OTHER_CULPRIT, 0, ExitCause::ProcessEnded);
    lose(&mut second, 20, OTHER_CULPRIT, 1, ExitCause::ProcessEnded);
    let report = first.report(Timestamp::from_millis(20_500));
    let bytes = report.encode().unwrap();
    second.on_report(Timestamp::from_millis(20_600), &CrashReport::decode(&bytes).unwrap());
    let report = second.report(Timestamp::from_millis(20_700));
    first.on_report(Timestamp::from_millis(20_800), &report);
    // The second request ended server-1 alone; the first shared its only crash.
    assert_eq!(place(&mut second, 30, OTHER_CULPRIT), SuspectPlacement::Refused);
    assert_eq!(place(&mut first, 30, OTHER_CULPRIT), SuspectPlacement::Refused);
    assert_eq!(place(&mut first, 30, CULPRIT), SuspectPlacement::Hold);
}

#[test]
fn report_twice() {
    let mut first = suspects("entry-0");
    lose(&mut first, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    let report = first.report(Timestamp::from_millis(11_000));
    let mut second = suspects("entry-1");
    for at_ms in [11_100, 11_900, 13_000] {
        second.on_report(Timestamp::from_millis(at_ms), &report);
    }
    assert_eq!(second.report(Timestamp::from_millis(13_000)).crashes.len(), 1);
}

#[test]
fn report_decoder() {
    let mut host = suspects("entry-0");
    lose(&mut host, 10, CULPRIT, 0, ExitCause::ProcessEnded);
    let whole = host.report(Timestamp::from_millis(11_000)).encode().unwrap();
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), rng);
    let inputs = (vec(any::<u8>(), 0..64), 0..whole.len());
    runner
        .run(&inputs, |(noise, cut)| {
            let code = CrashReport::decode(&noise).unwrap_err().code().number();
            assert!((600..=602).contains(&code));
            assert!(CrashReport::decode(&whole[..cut]).is_err());
            Ok(())
        })
        .unwrap();
    let newer = String::from_utf8(whole).unwrap().replace("\"version\":1", "\"version\":2");
    assert_eq!(CrashReport::decode(newer.as_bytes()).unwrap_err().code().number(), 600);
    assert_eq!(CrashReport::decode(&vec![b' '; 1 << 17]).unwrap_err().code().number(), 602);
}
