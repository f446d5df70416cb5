//! Judges of what reaches replicas that crash, leave or ask for a pause.

use std::time::Duration;

use pomelostack_soak::part_judge::ArrivalOutcome;
use pomelostack_soak::part_judge::ReplicaArrival;
use pomelostack_soak::part_judge::judge_crashing;
use pomelostack_soak::part_judge::judge_leaving;
use pomelostack_soak::part_judge::judge_pauses;
use pomelostack_soak::touch_record::Disturbance;
use pomelostack_soak::touch_record::DisturbedPart;
use pomelostack_soak::touch_record::TouchRecord;
use rstest::rstest;

const PAUSE: Duration = Duration::from_millis(1_500);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(millis: u64, host: usize, outcome: ArrivalOutcome) -> ReplicaArrival {
    ReplicaArrival { replica: "i-0".to_owned(), host, at: at(millis), outcome }
}

/// Returns a record in which host 1 was down at second 10.
fn disturbed() -> TouchRecord {
    let mut touch = TouchRecord::default();
    touch.add(Disturbance { part: DisturbedPart::Host(1), from: at(10_000), to: at(10_100) });
    touch
}

#[rstest]
#[case::three_late(3, 0, 0)]
#[case::four_late(4, 0, 4)]
#[case::out_of_touch(4, 1, 0)]
fn late_crashing_requests(#[case] count: u64, #[case] host: usize, #[case] faults: usize) {
    let crashes: Vec<Duration> = (1..=5).map(|second| at(second * 1_000)).collect();
    let early = (0..10).map(|number| arrival(7_900 + number, 0, ArrivalOutcome::Crashed));
    let late = (0..count).map(|number| arrival(10_200 + number, host, ArrivalOutcome::Crashed));
    let arrivals: Vec<ReplicaArrival> = early.chain(late).collect();
    assert_eq!(judge_crashing(&arrivals, &crashes, &disturbed()).len(), faults);
    assert!(judge_crashing(&arrivals, &crashes[..4], &disturbed()).is_empty());
}

#[rstest]
#[case::soon(500, 0, 0)]
#[case::late(6_500, 0, 1)]
#[case::other_host(6_500, 2, 0)]
fn after_leaving(#[case] millis: u64, #[case] host: usize, #[case] faults: usize) {
    let notice = arrival(20_000, 0, ArrivalOutcome::SaidLeaving);
    let arrivals = [notice, arrival(20_000 + millis, host, ArrivalOutcome::Answered)];
    assert_eq!(judge_leaving(&arrivals, &disturbed()).len(), faults);
}

#[rstest]
#[case::crossed_the_answer(100, 0, 0)]
#[case::within(700, 0, 1)]
#[case::over(1_600, 0, 0)]
#[case::other_host(700, 2, 0)]
fn during_pause(#[case] millis: u64, #[case] host: usize, #[case] faults: usize) {
    let notice = arrival(20_000, 0, ArrivalOutcome::TurnedAway);
    let arrivals = [notice, arrival(20_000 + millis, host, ArrivalOutcome::Answered)];
    assert_eq!(judge_pauses(&arrivals, PAUSE, &disturbed()).len(), faults);
}

#[test]
fn restarted_host_forgets() {
    let notice = arrival(9_000, 1, ArrivalOutcome::SaidLeaving);
    let arrivals = [notice, arrival(16_000, 1, ArrivalOutcome::Answered)];
    assert!(judge_leaving(&arrivals, &disturbed()).is_empty());
}
