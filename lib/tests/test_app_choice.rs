//! Choice among plain application servers: many hosts with late reports, slow servers, false claims.

use std::time::Duration;

use pomelostack_lib::gateway::zones::app_choice::AppChoice;
use pomelostack_lib::gateway::zones::app_choice::AppServer;
use pomelostack_lib::gateway::zones::app_choice::AppView;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::timestamp::Timestamp;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use slotmap::SlotMap;
use testutils::app_fleet::AppFleet;
use testutils::app_fleet::AppResult;
use testutils::app_fleet::AppRule;
use testutils::app_fleet::AppShape;

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn calm(hosts: usize, load: f64) -> AppShape {
    AppShape { slow_share: 0.0, ..AppShape::six_servers(AppRule::ShortestWait, hosts, load) }
}

/// Guards against all hosts choosing the server that was reported as free.
#[rstest]
fn spread_choices(#[values(15, 75, 295)] hosts: usize, #[values(1.0, 1.5, 2.0)] load: f64) {
    let run = |rule| AppFleet::run(AppShape::six_servers(rule, hosts, load), 1);
    let (naive, spread) = (run(AppRule::FewestReported), run(AppRule::ShortestWait));
    let allowed = (naive.late_share() / 3.0).max(0.02);
    assert!(spread.late_share() < allowed, "{} of {}", spread.late_share(), naive.late_share());
}

/// Guards against calls that leave their zone although its servers are free.
#[rstest]
fn stay_at_home(#[values(7, 75)] hosts: usize) {
    let quiet = AppShape { speeds: vec![1.0; 4], ..calm(hosts, 0.3) };
    let AppResult { left_zone, sent, late, .. } = AppFleet::run(quiet, 1);
    let calls: u32 = sent.iter().sum();
    assert!(left_zone * 20 < calls, "{left_zone} of {calls} left");
    assert_eq!(late, 0);
}

/// Guards against sending as many calls to slow servers as to fast ones.
#[test]
fn uneven_servers() {
    let shape = AppShape { speeds: vec![0.5, 2.0, 0.5, 2.0, 0.5, 2.0], ..calm(75, 1.2) };
    let AppResult { sent, calls, late, .. } = AppFleet::run(shape, 1);
    assert!(late * 100 < calls, "{late} of {calls} late, sent {sent:?}");
}

/// Guards against a server that goes on getting calls while it is ten times as slow, and against one that
/// is avoided for long after it has recovered.
#[test]
fn slow_by_ten() {
    let slow_server = Some((2, seconds(20), seconds(24)));
    let shape = AppShape { slow_server, end: seconds(30), ..calm(75, 1.0) };
    let AppResult { sent_to_slow, .. } = AppFleet::run(shape, 1);
    let usual = 40;
    assert!(sent_to_slow[1..4].iter().all(|sent| *sent < usual / 2), "{sent_to_slow:?}");
    assert!(sent_to_slow[6..9].iter().all(|sent| *sent > usual / 2), "{sent_to_slow:?}");
}

/// Guards against a server that claims a hundred times its slots and is preferred for that.
#[test]
fn false_claim() {
    let shape = AppShape { claimed_slots: Some((0, 600)), ..calm(75, 1.2) };
    let AppResult { calls, late, sent, .. } = AppFleet::run(shape, 1);
    assert!(late * 20 < calls, "{late} of {calls} late, sent {sent:?}");
}

/// Guards against hosts that hear of half of the load only and overload the server that looks free.
#[test]
fn half_of_fleet() {
    let shape = AppShape::six_servers(AppRule::ShortestWait, 75, 1.5);
    let whole = AppFleet::run(shape.clone(), 1);
    let cut = Some((seconds(20), seconds(120)));
    let halves = AppFleet::run(AppShape { cut, ..shape }, 1);
    let allowed = whole.late_share() * 2.0 + 0.01;
    assert!(halves.late_share() < allowed, "{} of {}", halves.late_share(), whole.late_share());
}

/// Guards against small fleets that are served worse than by the former rule.
#[test]
fn small_fleet() {
    let run = |rule| {
        let speeds = vec![1.0; 4];
        let goal = Duration::from_millis(145);
        let shape = AppShape { speeds, rate: 147.0, work_ms: 30.0, goal, ..calm(7, 1.0) };
        AppFleet::run(AppShape { rule, ..shape }, 1)
    };
    let (former, result) = (run(AppRule::FewestReported), run(AppRule::ShortestWait));
    assert_eq!(result.late, 0);
    assert!(result.left_zone <= former.left_zone, "{} of {}", result.left_zone, former.left_zone);
}

/// Answers of a server, and its cost besides.
struct KnownServer {
    answers: usize,
    service_ms: u64,
    zone: usize,
    extra_ms: f64,
}

/// Returns how many of 6,400 calls of an idle fleet each server gets beside one that answers in 2 ms.
fn calls_at(other: &KnownServer) -> usize {
    let mut slots: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let keys = [slots.insert(()), slots.insert(())];
    let mut choice = AppChoice::default();
    let known = [(100, 2), (other.answers, other.service_ms)];
    for (key, (answers, service_ms)) in keys.into_iter().zip(known) {
        let elapsed = Duration::from_millis(service_ms);
        (0..answers).for_each(|_| choice.on_answer(key, 16, 0, elapsed));
    }
    let server = |key, zone, extra_ms| AppServer {
        key,
        zone,
        slots: 16,
        own: 0,
        peers: 0,
        leaving_ms: 4.0,
        extra_ms,
    };
    let servers = [server(keys[0], 0, 0.0), server(keys[1], other.zone, other.extra_ms)];
    let view = AppView { servers: &servers, zone_shares: &[0.5, 0.5], home: 0 };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let chosen = (0..6_400).filter(|_| choice.choose(seconds(1), &view, &mut random) == Some(1));
    chosen.count()
}

/// Guards against a server that is never tried again since it was slow once, as one that names a limit
/// was: no answer shows that its limit has ended.
#[rstest]
#[case::slow_once(1, 40, 50..=400)]
#[case::never_used(0, 0, 50..=400)]
#[case::slow_for_long(256, 40, 1..=32)]
fn tried_again(
    #[case] answers: usize,
    #[case] service_ms: u64,
    #[case] calls: std::ops::RangeInclusive<usize>,
) {
    let tried = calls_at(&KnownServer { answers, service_ms, zone: 0, extra_ms: 0.0 });
    assert!(calls.contains(&tried), "{tried} of 6,400 calls");
}

/// Guards against calls that try a server in another zone, or one at which a place is scarce.
#[rstest]
#[case::other_zone(1, 0.0)]
#[case::scarce_place(0, 100.0)]
fn not_tried(#[case] zone: usize, #[case] extra_ms: f64) {
    assert_eq!(calls_at(&KnownServer { answers: 1, service_ms: 40, zone, extra_ms }), 0);
}
