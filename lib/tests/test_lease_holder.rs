//! Leases: one effective holder under seeded failures, for servers that check fencing numbers and
//! for those that do not; the fold agrees with a naive one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::lease::LeaseAction;
use pomelostack_lib::lease::LeaseEvent;
use pomelostack_lib::lease::LeaseHolder;
use pomelostack_lib::lease::LeaseSettings;
use pomelostack_lib::lease_codec::LeaseDuty;
use pomelostack_lib::lease_codec::LeaseRecord;
use pomelostack_lib::lease_codec::LeaseStatement;
use pomelostack_lib::lease_codec::decode_record;
use pomelostack_lib::lease_codec::encode_record;
use pomelostack_lib::lease_keeper::LeaseKeeper;
use pomelostack_lib::log_service;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::timestamp::ProcessClock;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use testutils::lease_harness::LeaseCase;
use testutils::lease_harness::LeaseReport;
use testutils::lease_harness::run_lease_schedule;
use testutils::naive_lease::naive_holder;
use testutils::schedule_log::ScheduleLog;

const SCHEDULES_IN_CI: u64 = 500;

fn schedule_count() -> u64 {
    let set = std::env::var("POMELOSTACK_SCHEDULES").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(SCHEDULES_IN_CI)
}

fn run_all(case: LeaseCase) -> LeaseReport {
    (0..schedule_count()).map(|seed| run_lease_schedule(seed, case)).fold(
        LeaseReport::default(),
        |mut sum, report| {
            sum.stale_orders += report.stale_orders;
            sum.refused_orders += report.refused_orders;
            sum.orders += report.orders;
            sum.holders += report.holders;
            sum
        },
    )
}

#[rstest]
#[case::checked(FencingCheck::Checked, true)]
#[case::ignored(FencingCheck::Ignored, false)]
fn one_holder(#[case] fencing: FencingCheck, #[case] pause_before_send: bool) {
    let report = run_all(LeaseCase::new(fencing, pause_before_send));
    println!("{fencing:?} {report:?}");
    assert_eq!(report.stale_orders, 0, "{report:?}");
    assert!(report.orders > 200 * schedule_count(), "{report:?}");
    assert!(report.holders > schedule_count(), "{report:?}");
}

#[test]
fn fencing_refuses() {
    let report = run_all(LeaseCase::new(FencingCheck::Checked, true));
    assert!(report.refused_orders > 0, "{report:?}");
}

#[test]
fn pause_residual() {
    let report = run_all(LeaseCase::new(FencingCheck::Ignored, true));
    assert!(report.stale_orders > 0, "{report:?}");
}

#[test]
fn missing_margin() {
    let case =
        LeaseCase { order_timeout: Duration::ZERO, ..LeaseCase::new(FencingCheck::Ignored, false) };
    let report = run_all(case);
    assert!(report.stale_orders > 0, "{report:?}");
}

/// The host had an old acquire under way when it lost its place in the log; after the gap it took
/// the record for a lease, although another host had held the duty since.
#[test]
fn acquire_before_gap() {
    let report = run_lease_schedule(319, LeaseCase::new(FencingCheck::Ignored, false));
    assert_eq!(report.stale_orders, 0, "{report:?}");
}

fn settings(host: &str) -> LeaseSettings {
    let host = HostId::try_from(host).expect("a valid name");
    let usual = LeaseSettings::new(LeaseDuty::CheckpointWriter, host, Incarnation(1));
    LeaseSettings { stagger: Duration::ZERO, ..usual }
}

fn read(records: Vec<(LogOffset, LeaseRecord)>, position: u64) -> LeaseEvent {
    LeaseEvent::Read { records, position: LogOffset(position), at_end: true }
}

fn acquire_record(holder: &mut LeaseHolder, now: Timestamp) -> LeaseRecord {
    let actions = holder.on_event(now, LeaseEvent::Tick);
    let [LeaseAction::Append(data)] = &actions[..] else { panic!("{actions:?}") };
    decode_record(data).expect("a valid record")
}

#[test]
fn stops_by_own_clock() {
    let mut holder = LeaseHolder::new(settings("entry-0"));
    holder.on_event(Timestamp(0), LeaseEvent::Want(true));
    holder.on_event(Timestamp(0), read(Vec::new(), 0));
    let sent = Timestamp::from_millis(10_200);
    let record = acquire_record(&mut holder, sent);
    assert_eq!(record.statement, LeaseStatement::Acquire { basis: LogOffset(0) });
    holder.on_event(sent + Duration::from_secs(5), read(vec![(LogOffset(0), record)], 1));
    // 10 s less 1% from the send, less the order timeout with 1% more.
    let last = sent + Duration::from_millis(9_900 - 2_020);
    assert_eq!(holder.may_act(Timestamp(last.0 - 1)), Some(FencingNumber(0)));
    assert_eq!(holder.may_act(last), None);
}

#[test]
fn release_frees_duty() {
    let mut holder = LeaseHolder::new(settings("entry-0"));
    holder.on_event(Timestamp(0), LeaseEvent::Want(true));
    holder.on_event(Timestamp(0), read(Vec::new(), 0));
    let sent = Timestamp::from_millis(10_200);
    let record = acquire_record(&mut holder, sent);
    holder.on_event(sent, LeaseEvent::Appended);
    holder.on_event(sent, read(vec![(LogOffset(0), record)], 1));
    assert!(holder.on_event(sent, LeaseEvent::Want(false)).is_empty());
    assert_eq!(holder.may_act(sent), None);
    let release = acquire_record(&mut holder, sent + Duration::from_millis(2_500));
    assert_eq!(release.statement, LeaseStatement::Release(FencingNumber(0)));
    // The release may take effect at any time from now on, so the lease is never used again.
    holder.on_event(sent + Duration::from_millis(2_600), LeaseEvent::Want(true));
    assert_eq!(holder.may_act(sent + Duration::from_millis(2_600)), None);
}

#[test]
fn agrees_with_naive() {
    let step = (0..3usize, 0..4u8, 0..12u64);
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 500, failure_persistence: None, ..Config::default() },
        rng,
    );
    let steps = proptest::collection::vec(step, 1..40);
    let checked = runner.run(&steps, |steps| {
        let mut holder = LeaseHolder::new(settings("entry-9"));
        let mut history = Vec::new();
        for (index, (host, kind, back)) in steps.into_iter().enumerate() {
            let offset = LogOffset(index as u64);
            let earlier = (index as u64).saturating_sub(back);
            let statement = match kind {
                0 | 1 => LeaseStatement::Acquire { basis: LogOffset(earlier) },
                2 => LeaseStatement::Renew(FencingNumber(earlier)),
                _ => LeaseStatement::Release(FencingNumber(earlier)),
            };
            let host = HostId::try_from(format!("entry-{host}")).unwrap();
            let (duty, incarnation) = (LeaseDuty::CheckpointWriter, Incarnation(1));
            let record = LeaseRecord { duty, host, incarnation, sequence: index as u64, statement };
            history.push((offset, record.clone()));
            holder.on_event(Timestamp(index as u64), read(vec![(offset, record)], offset.0 + 1));
            let found = holder.current_holder().map(|(fence, host)| (fence, host.clone()));
            prop_assert_eq!(found, naive_holder(LeaseDuty::CheckpointWriter, &history));
        }
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn decoder_survives() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 2_000, failure_persistence: None, ..Config::default() },
        rng,
    );
    let bytes = proptest::collection::vec(any::<u8>(), 0..64);
    let checked = runner.run(&bytes, |bytes| {
        if let Err(error) = decode_record(&bytes) {
            prop_assert!((600..=602).contains(&error.code().number()));
        }
        Ok(())
    });
    checked.unwrap();
}

/// A log in memory whose first append loses its reply.
struct MemoryLog {
    clock: ProcessClock,
    log: Mutex<ScheduleLog>,
    appends: AtomicU64,
}

impl LogService for MemoryLog {
    fn append(&self, _: LogStream, data: &[u8]) -> log_service::Result<LogOffset> {
        let offset = self.appends.fetch_add(1, Ordering::SeqCst);
        self.log.lock().expect("unpoisoned").append(self.clock.now().0, data.to_vec());
        match offset {
            0 => Err(LogError::FateUnknown("reply lost".to_owned())),
            _ => Ok(LogOffset(offset)),
        }
    }

    fn read(&self, _: LogStream, from: LogOffset, _: usize) -> log_service::Result<LogSlice> {
        self.log.lock().expect("unpoisoned").read(self.clock.now().0, from)
    }
}

#[test]
fn keeper_acquires() {
    let clock = ProcessClock::start();
    let log = Arc::new(MemoryLog { clock, log: Mutex::default(), appends: AtomicU64::default() });
    let (term, order_timeout) = (Duration::from_secs(60), Duration::ZERO);
    let lease = LeaseSettings { term, order_timeout, ..settings("entry-0") };
    // A released lease frees the duty at once, so the test does not wait for a term.
    let earlier = LeaseRecord {
        duty: lease.duty,
        host: HostId::try_from("entry-1").unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        statement: LeaseStatement::Acquire { basis: LogOffset(0) },
    };
    let release =
        LeaseRecord { statement: LeaseStatement::Release(FencingNumber(0)), ..earlier.clone() };
    for record in [earlier, release] {
        log.log.lock().unwrap().append(0, encode_record(&record));
    }
    let keeper = LeaseKeeper::start(vec![lease], Duration::from_millis(2), log.clone(), clock);
    assert_eq!(keeper.may_act(LeaseDuty::CheckpointWriter), None);
    keeper.want(LeaseDuty::CheckpointWriter, true);
    let fence = loop {
        match keeper.may_act(LeaseDuty::CheckpointWriter) {
            Some(fence) => break fence,
            None => thread::yield_now(),
        }
    };
    assert_eq!(fence, FencingNumber(2));
    assert_eq!(keeper.may_act(LeaseDuty::FleetPlanner), None);
    keeper.want(LeaseDuty::CheckpointWriter, false);
    assert_eq!(keeper.may_act(LeaseDuty::CheckpointWriter), None);
    keeper.stop();
    assert_eq!(keeper.stats().failed_appends, 1);
}
