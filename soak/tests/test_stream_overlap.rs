//! For how long two replicas worked on one stream.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::ReplicaRun;
use testutils::deployment_standin::StreamEnd;
use testutils::stream_overlap::MAX_STREAM_OVERLAP;
use testutils::stream_overlap::long_overlaps;

fn run(number: u64, replica: usize, at: Instant, is_stream: bool) -> ReplicaRun {
    ReplicaRun {
        number,
        replica,
        replica_id: format!("i-{replica}"),
        at,
        mode: ReplicaMode::Answer,
        request_id: "0-w0-1".to_owned(),
        is_stream,
        resumed_after: None,
        team: None,
        received_team_key: false,
        crashing_part: None,
        version: "v1".to_owned(),
    }
}

/// The first run ends so many milliseconds after the second one began, which then ends a second later.
#[rstest]
#[case::short(400, 1, true, None)]
#[case::long(401, 1, true, Some(401))]
#[case::same_replica(800, 0, true, None)]
#[case::call(800, 1, false, None)]
#[case::second_ends_first(3_000, 1, true, Some(1_000))]
fn side_by_side(
    #[case] first_end_ms: u64,
    #[case] second: usize,
    #[case] is_stream: bool,
    #[case] expected_ms: Option<u64>,
) {
    let begin = Instant::now();
    let second_at = begin + Duration::from_secs(2);
    let runs = [run(1, 0, begin, is_stream), run(2, second, second_at, is_stream)];
    let request_id = || "0-w0-1".to_owned();
    let ends = [(1, 0, first_end_ms), (2, second, 1_000)].map(|(run, replica, ms)| {
        let at = second_at + Duration::from_millis(ms);
        StreamEnd { run, replica, request_id: request_id(), at }
    });
    let overlaps = long_overlaps(&runs, &ends, begin, MAX_STREAM_OVERLAP);
    let times: Vec<Duration> = overlaps.iter().map(|overlap| overlap.time).collect();
    assert_eq!(times, Vec::from_iter(expected_ms.map(Duration::from_millis)));
}

#[test]
fn unended_run() {
    let begin = Instant::now();
    let runs = [run(1, 0, begin, true), run(2, 1, begin, true)];
    let until = begin + Duration::from_secs(1);
    let overlaps = long_overlaps(&runs, &[], until, MAX_STREAM_OVERLAP);
    assert_eq!(overlaps.len(), 1, "{overlaps:?}");
}
