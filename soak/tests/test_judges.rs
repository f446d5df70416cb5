//! What the judges of the soak accept and reject.

use std::time::Duration;

use pomelostack_soak::config_judge::ConfigFault;
use pomelostack_soak::config_judge::Observation;
use pomelostack_soak::config_judge::SentVersion;
use pomelostack_soak::config_judge::judge_answers;
use pomelostack_soak::config_plan::ConfigVersion;
use pomelostack_soak::config_plan::ProbeOutcome;
use pomelostack_soak::config_plan::ProbeRequest;
use pomelostack_soak::duty_judge::AcceptedReport;
use pomelostack_soak::duty_judge::DutyFault;
use pomelostack_soak::duty_judge::LeavingReplica;
use pomelostack_soak::duty_judge::ObservedRun;
use pomelostack_soak::duty_judge::judge_reports;
use pomelostack_soak::duty_judge::judge_runs;
use pomelostack_soak::touch_record::Disturbance;
use pomelostack_soak::touch_record::DisturbedPart;
use pomelostack_soak::touch_record::TouchRecord;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::json;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns two versions that differ for a request; the second is acknowledged at second 10.
fn two_versions() -> (Vec<SentVersion>, ProbeRequest) {
    let first = ConfigVersion::first();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (second, request) = loop {
        let next = first.next(&mut random);
        let request = ProbeRequest::draw(&mut random);
        if next.outcome(request) != first.outcome(request) {
            break (next, request);
        }
    };
    let sent = |config, sent_at, at| SentVersion { config, sent_at, acknowledged_at: Some(at) };
    let versions =
        vec![sent(first, millis(0), millis(0)), sent(second, millis(9_900), millis(10_000))];
    (versions, request)
}

fn observe(sent_ms: u64, request: ProbeRequest, outcome: ProbeOutcome) -> Observation {
    Observation {
        host: 0,
        incarnation: 1,
        sent_at: millis(sent_ms),
        ended_at: millis(sent_ms + 5),
        request,
        outcome,
    }
}

#[rstest]
#[case::before_the_bound(11_900, false)]
#[case::after_the_bound(12_100, true)]
fn old_answer(#[case] sent_ms: u64, #[case] is_fault: bool) {
    let (versions, request) = two_versions();
    let seen = [observe(sent_ms, request, versions[0].config.outcome(request))];
    let faults = judge_answers(&versions, &seen, &TouchRecord::default());
    let (allowed_by, due) = (versions[0].config.version, versions[1].config.version);
    let expected = is_fault.then_some((0, ConfigFault::NotInForce { allowed_by, due }));
    assert_eq!(faults, Vec::from_iter(expected));
}

#[rstest]
#[case::store(DisturbedPart::Store, 9_200, false)]
#[case::host(DisturbedPart::Host(0), 9_200, false)]
#[case::other_host(DisturbedPart::Host(1), 9_200, true)]
#[case::long_ago(DisturbedPart::Store, 9_000, true)]
fn disturbed_host(#[case] part: DisturbedPart, #[case] end_ms: u64, #[case] is_fault: bool) {
    let (versions, request) = two_versions();
    let seen = [observe(12_100, request, versions[0].config.outcome(request))];
    let mut touch = TouchRecord::default();
    touch.add(Disturbance { part, from: millis(8_000), to: millis(end_ms) });
    assert_eq!(!judge_answers(&versions, &seen, &touch).is_empty(), is_fault);
}

#[test]
fn older_again() {
    let (versions, request) = two_versions();
    let outcome = |index: usize| versions[index].config.outcome(request);
    let seen = [observe(10_100, request, outcome(1)), observe(10_500, request, outcome(0))];
    let faults = judge_answers(&versions, &seen, &TouchRecord::default());
    assert!(matches!(faults[..], [(1, ConfigFault::WentBack { .. })]), "{faults:?}");
    // A new process may start from an older version.
    let mut restarted = seen.clone();
    restarted[1].incarnation = 2;
    assert_eq!(judge_answers(&versions, &restarted, &TouchRecord::default()), []);
}

#[test]
fn early_answer() {
    let (versions, request) = two_versions();
    let seen = [observe(9_000, request, versions[1].config.outcome(request))];
    let faults = judge_answers(&versions, &seen, &TouchRecord::default());
    assert_eq!(faults, [(0, ConfigFault::NeverAllowed)]);
}

fn report(at_ms: u64, holder: &str, fencing_token: u64, window: u64, count: u64) -> AcceptedReport {
    let (holder, counts) = (holder.to_owned(), json!({"club": count}));
    AcceptedReport { at: millis(at_ms), holder, fencing_token, window, counts }
}

#[rstest]
#[case::repeated([report(0, "a", 1, 7, 3), report(50, "a", 1, 7, 3)].to_vec(), None)]
#[case::handed_on([report(0, "a", 1, 7, 3), report(50, "b", 2, 8, 3)].to_vec(), None)]
#[case::twice([report(0, "a", 1, 7, 3), report(900, "b", 2, 7, 4)].to_vec(), Some(DutyFault::WindowTwice(7)))]
#[case::shared([report(0, "a", 1, 7, 3), report(900, "b", 1, 8, 4)].to_vec(), Some(DutyFault::TokenShared(1)))]
#[case::alternated(
    [report(0, "a", 1, 7, 3), report(100, "b", 2, 8, 4), report(200, "a", 3, 9, 4)].to_vec(),
    Some(DutyFault::Alternated(millis(200)))
)]
fn usage_reports(#[case] reports: Vec<AcceptedReport>, #[case] expected: Option<DutyFault>) {
    assert_eq!(judge_reports(&reports, millis(600)), Vec::from_iter(expected));
}

#[rstest]
#[case::soon(6_900, 0)]
#[case::late(7_100, 1)]
fn leaving_replica(#[case] at_ms: u64, #[case] faults: usize) {
    let leaving = [LeavingReplica { id: "i-1".to_owned(), acknowledged_at: millis(5_000) }];
    let run =
        |replica: &str| ObservedRun { replica: replica.to_owned(), host: 0, at: millis(at_ms) };
    let runs = [run("i-1"), run("i-2")];
    assert_eq!(judge_runs(&leaving, &runs, &TouchRecord::default()).len(), faults);
}
