//! Lost attempts, and which of them were lost in the crash of a server.

use std::time::Duration;

use pomelostack_lib::gateway::crash_tracker::CrashTracker;
use pomelostack_lib::gateway::crash_tracker::LostAttempt;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::part_suspects::AnswerProgress;
use pomelostack_lib::part_suspects::FleetView;
use pomelostack_lib::part_suspects::LossSource;
use pomelostack_lib::part_suspects::LostRequest;
use pomelostack_lib::timestamp::Timestamp;
use pomelostack_lib::work_parts::WorkPart;
use pomelostack_lib::work_parts::WorkParts;

/// Time after which crashes are judged with all reports.
const SETTLED: Duration = Duration::from_secs(1);

fn server(index: u64) -> ServerId {
    ServerId::try_from(format!("s{index}")).expect("valid in tests")
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::default() + Duration::from_secs(seconds)
}

fn work(body: &[u8]) -> WorkParts {
    WorkParts::new(WorkPart::of_request(&[b"k1", b"/a", body]), [])
}

fn lost(work: &WorkParts, began_at: Timestamp) -> LostAttempt<'_> {
    let whole = work.first().expect("valid in tests");
    LostAttempt { whole, work, began_at, answer_begun_at: None }
}

/// Loses an attempt at a server that turns out to be gone.
fn crash(tracker: &mut CrashTracker, seconds: u64, index: u64, work: &WorkParts) {
    let began_at = at(seconds) - Duration::from_millis(50);
    tracker.on_connection_lost(at(seconds), &server(index), &lost(work, began_at));
    assert_eq!(tracker.on_server_gone(at(seconds), &server(index)).len(), 1);
    tracker.judge(at(seconds) + SETTLED, 0, FleetView::Whole);
}

#[test]
fn third_crash_refuses() {
    let poison = work(b"boom");
    let mut tracker = CrashTracker::default();
    for index in 0..3 {
        assert!(!tracker.is_refused(&poison));
        crash(&mut tracker, 1 + 2 * index, index, &poison);
    }
    assert!(tracker.is_refused(&poison));
    assert!(!tracker.is_refused(&work(b"other")));
    tracker.judge(at(300), 0, FleetView::Whole);
    assert!(tracker.is_refused(&poison));
    tracker.judge(at(2 * 3_600), 0, FleetView::Whole);
    assert!(!tracker.is_refused(&poison));
}

#[test]
fn losses_without_crash() {
    // Responses are lost, but the servers stay alive.
    let bystander = work(b"fine");
    let mut tracker = CrashTracker::default();
    for index in 0..10 {
        tracker.on_connection_lost(at(index), &server(index), &lost(&bystander, at(index)));
        tracker.on_server_alive(&server(index));
        assert!(tracker.on_server_gone(at(index), &server(index)).is_empty());
        tracker.judge(at(index) + SETTLED, 0, FleetView::Whole);
    }
    assert!(!tracker.is_refused(&bystander));
}

#[test]
fn old_loss_expires() {
    let mut tracker = CrashTracker::default();
    tracker.on_connection_lost(at(0), &server(1), &lost(&work(b"fine"), at(0)));
    assert!(tracker.on_server_gone(at(60), &server(1)).is_empty());
}

#[test]
fn peer_reports_count() {
    let poison = work(b"boom");
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    crash(&mut first, 1, 1, &poison);
    crash(&mut first, 3, 2, &poison);
    crash(&mut second, 6, 9, &poison);
    assert!(!second.is_refused(&poison));
    // The same reports arrive several times.
    for _ in 0..3 {
        for (seconds, index) in [(1, 1), (3, 2)] {
            let began_at = at(seconds) - Duration::from_millis(50);
            let (parts, source) = (poison.clone(), LossSource::Peer);
            let progress = AnswerProgress::Beginning;
            let lost = LostRequest { parts, began_at, source, progress };
            second.suspects_mut().on_crash(at(7), at(seconds), &server(index), [lost]);
        }
    }
    second.judge(at(7) + SETTLED, 0, FleetView::Whole);
    assert!(second.is_refused(&poison));
    assert!(!first.is_refused(&poison));
}

#[test]
fn crashes_are_told() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, 1, 1, &work(b"boom"));
    assert_eq!(tracker.recent_crashes().count(), 1);
    tracker.judge(at(10), 0, FleetView::Whole);
    assert_eq!(tracker.recent_crashes().count(), 0);
}

#[test]
fn verdicts_are_told_again() {
    let mut tracker = CrashTracker::default();
    for number in 0..40_u64 {
        for index in 0..3 {
            let seconds = 1 + 6 * number + 2 * index;
            crash(&mut tracker, seconds, seconds, &work(&number.to_be_bytes()));
        }
    }
    let told = (0..20).flat_map(|sequence| tracker.told_verdicts(at(900), sequence));
    let told: std::collections::BTreeSet<_> = told.map(|verdict| verdict.parts.clone()).collect();
    assert_eq!(told.len(), 40);
    assert!(tracker.told_verdicts(at(900), 0).len() <= 8);
}

#[test]
fn begun_answer_clears_parts() {
    // A stream that went on for a while was lost beside what crashed the server.
    let whole = WorkPart::of_request(&[b"r"]);
    let shared = WorkPart::of_prompt("chat", b"p");
    let work = WorkParts::new(whole, [shared]);
    let mut tracker = CrashTracker::default();
    let attempt = LostAttempt { whole, work: &work, began_at: at(1), answer_begun_at: Some(at(2)) };
    tracker.on_connection_lost(at(4), &server(1), &attempt);
    let lost = tracker.on_server_gone(at(4), &server(1));
    assert!(lost[0].parts.contains(whole) && !lost[0].parts.contains(shared));
}
