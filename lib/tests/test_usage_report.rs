//! Usage reports: all reports of a window have the same counts, whichever host sends them, and
//! counts survive the loss of hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::platform_api::LogBounds;
use pomelostack_lib::gateway::platform_api::RecordsRead;
use pomelostack_lib::gateway::usage_ledger::TeamCounts;
use pomelostack_lib::gateway::usage_ledger::UsageLedger;
use pomelostack_lib::gateway::usage_report::ReportSchedule;
use pomelostack_lib::gateway::usage_report::ReportStep;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WINDOW_MS: u64 = 5_000;
const DEADLINE: Duration = Duration::from_secs(10);

fn life(host: &str, incarnation: u64) -> (HostId, Incarnation) {
    (HostId::try_from(host).expect("valid in tests"), Incarnation(incarnation))
}

fn team() -> TeamName {
    TeamName::try_from("club").expect("valid in tests")
}

fn counts(count: u64) -> TeamCounts {
    TeamCounts::from([(team(), count)])
}

#[test]
fn counts_outlive_hosts() {
    let mut survivor = UsageLedger::new(life("h1", 1), WINDOW_MS);
    survivor.on_request_started(1_000, &team());
    survivor.merge_counts(life("h2", 1), 0, counts(4));
    survivor.merge_counts(life("h2", 1), 0, counts(3));
    survivor.merge_counts(life("h2", 2), 0, counts(2));
    assert_eq!(survivor.total(0), counts(1 + 4 + 2));
}

#[test]
fn old_windows_dropped() {
    let mut ledger = UsageLedger::new(life("h1", 1), WINDOW_MS);
    ledger.on_request_started(1_000, &team());
    ledger.expire(60_000);
    assert_eq!(ledger.total(0), TeamCounts::new());
}

#[test]
fn due_after_delay() {
    let mut ledger = UsageLedger::new(life("h1", 1), WINDOW_MS);
    ledger.on_request_started(21_000, &team());
    let schedule = ReportSchedule::new(DEADLINE);
    let now = Timestamp::default();
    assert_eq!(schedule.next_step(now, 25_100, &ledger), ReportStep::Idle);
    let step = schedule.next_step(now, 27_100, &ledger);
    assert_eq!(step, ReportStep::ReadLog(LogOffset(0)));
}

/// First window of the simulation.
const FIRST_WINDOW: u64 = 200;

/// A usage log that comes back from copies.
#[derive(Clone, Default)]
struct UsageLog {
    era: u64,
    records: Vec<Vec<u8>>,
}

impl UsageLog {
    fn read(&self, from: LogOffset) -> Option<RecordsRead> {
        let records = self.records.get(from.0 as usize..)?.to_vec();
        let next = LogOffset(self.records.len() as u64);
        let bounds = LogBounds { era: StoreEra(self.era), first: LogOffset(0), end: next };
        Some(RecordsRead { records, next, bounds })
    }
}

/// The duty moves between holders at any step, appends and reports may succeed without a response,
/// and the log may come back from a copy some seconds old.
#[rstest]
#[case::lasting_store(0.0)]
#[case::restored_store(0.01)]
fn one_report_per_window(#[case] restores: f64) {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = UsageLog::default();
        let mut copies: Vec<UsageLog> = Vec::new();
        // When each host came to know the log's era.
        let mut known_since_ms = [0; 3];
        let mut reported: BTreeMap<u64, Vec<TeamCounts>> = BTreeMap::new();
        let mut schedules = vec![ReportSchedule::new(DEADLINE); 3];
        // Each host has received different counts.
        let ledgers: Vec<UsageLedger> = (0..3)
            .map(|host| {
                let mut ledger = UsageLedger::new(life("h1", host), WINDOW_MS);
                for window in FIRST_WINDOW..FIRST_WINDOW + 12 {
                    ledger.merge_counts(life("h2", 1), window, counts(10 + host));
                }
                ledger
            })
            .collect();
        let mut holder = 0;
        for step in 0..600_u64 {
            let now = Timestamp::from_millis(step * 100);
            let wall_ms = FIRST_WINDOW * WINDOW_MS + step * 100;
            if rng.random_bool(0.05) {
                schedules[holder].mark_stale();
                holder = rng.random_range(0..3);
            }
            copies.push(log.clone());
            if rng.random_bool(restores) {
                let age = rng.random_range(0..50.min(copies.len()));
                let copy = copies[copies.len() - 1 - age].clone();
                log = UsageLog { era: log.era + 1, records: copy.records };
                known_since_ms = [wall_ms; 3];
                copies.clear();
            }
            let schedule = &mut schedules[holder];
            match schedule.next_step(now, wall_ms, &ledgers[holder]) {
                ReportStep::Idle => {}
                ReportStep::ReadLog(from) => match log.read(from) {
                    Some(read) => {
                        schedule.on_records(now, &read, known_since_ms[holder]);
                    }
                    None => schedule.on_dropped(LogOffset(0)),
                },
                ReportStep::Record { at, record } => {
                    let fits = at.0 as usize == log.records.len();
                    if fits {
                        log.records.push(record.clone());
                    }
                    match fits && !rng.random_bool(0.3) {
                        true => schedule.on_appended(now, &record, StoreEra(log.era), at),
                        // The end of the log has moved, or the append succeeded without a response.
                        false => schedule.mark_stale(),
                    }
                }
                ReportStep::Send { window, counts } => {
                    reported.entry(window).or_default().push(counts);
                    if !rng.random_bool(0.3) {
                        schedule.on_sent(window);
                    }
                }
            }
        }
        let least = if restores > 0.0 { 2 } else { 8 };
        assert!(reported.len() >= least, "seed {seed}: {} windows reported", reported.len());
        for (window, sent) in reported {
            assert!(sent.iter().all(|counts| *counts == sent[0]), "seed {seed}: window {window}");
        }
    }
}
