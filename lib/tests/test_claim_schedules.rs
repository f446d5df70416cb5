//! Claims under seeded fault schedules: no request runs twice, NOT_RUN is correct, no caller gets
//! the answer of other work, and every accepted request of a live host gets a reply.

use std::thread;

use rstest::rstest;
use testutils::claim_audit::ClaimRule;
use testutils::claim_audit::HarnessReport;
use testutils::claim_harness::run_schedule;

const SCHEDULES_IN_CI: u64 = 2_000;
const WORKERS: u64 = 8;

fn schedule_count() -> u64 {
    let set = std::env::var("POMELOSTACK_SCHEDULES").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(SCHEDULES_IN_CI)
}

fn run_worker(worker: u64, count: u64) -> (HarnessReport, Vec<u64>) {
    let mut total = HarnessReport::default();
    let mut failed = Vec::new();
    for seed in (worker..count).step_by(WORKERS as usize) {
        let report = run_schedule(seed, ClaimRule::Log);
        total.add(&report);
        if report.violations() > 0 {
            failed.push(seed);
        }
    }
    (total, failed)
}

#[test]
fn no_violation() {
    let count = schedule_count();
    let workers: Vec<_> =
        (0..WORKERS).map(|worker| thread::spawn(move || run_worker(worker, count))).collect();
    let mut total = HarnessReport::default();
    let mut failed = Vec::new();
    for worker in workers {
        let (report, seeds) = worker.join().unwrap();
        total.add(&report);
        failed.extend(seeds);
    }
    println!("schedules={count} {total:?}");
    assert_eq!(total.violations(), 0, "{total:?} seeds {failed:?}");
    assert!(total.complete * 2 > total.accepted, "{total:?}");
    assert!(total.not_run > 0 && total.unknown > 0, "{total:?}");
    assert!(total.runs_after_not_run > 0, "{total:?}");
}

#[rstest]
#[case::memory_only(ClaimRule::MemoryOnly)]
#[case::rerun_after_wait(ClaimRule::RerunAfterWait)]
fn double_runs_found(#[case] rule: ClaimRule) {
    let found: u64 = (0..50).map(|seed| run_schedule(seed, rule).double_runs).sum();
    assert!(found > 0);
}

#[test]
fn false_refusals_found() {
    let run = |seed| run_schedule(seed, ClaimRule::NotRunAtDeadline).false_not_runs;
    assert!((0..300).map(run).sum::<u64>() > 0);
}

#[test]
fn same_seed_agrees() {
    assert_eq!(run_schedule(7, ClaimRule::Log), run_schedule(7, ClaimRule::Log));
}
