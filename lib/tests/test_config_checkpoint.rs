//! Checkpoints: when they are written, and how hosts recover from expired records with them.

use std::time::Duration;

use pomelostack_lib::checkpoint_duty::CheckpointDuty;
use pomelostack_lib::checkpoint_duty::CheckpointSchedule;
use pomelostack_lib::checkpoint_duty::MISSING_CHECKPOINT_SPREAD;
use pomelostack_lib::config_checkpoint::EncodedCheckpoint;
use pomelostack_lib::config_checkpoint::MAX_PART_BYTES;
use pomelostack_lib::config_fold::ConfigFold;
use pomelostack_lib::config_record::CheckpointPart;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ConfigRecord;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::config_replica::ConfigReplica;
use pomelostack_lib::config_replica::ReplicaState;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::log_service::MAX_RECORD_BYTES;
use pomelostack_lib::record_error::RecordError;
use pomelostack_lib::result_code::ResultCode;
use rstest::rstest;
use testutils::config_samples::RETENTION_MS;
use testutils::config_samples::change_service;
use testutils::config_samples::create_service;
use testutils::config_samples::document_json;
use testutils::config_samples::sample_change;
use testutils::config_samples::service_json;
use testutils::log_fake::LogFake;

const STREAM: LogStream = LogStream::Config;

/// Returns a log that keeps records for [`RETENTION_MS`].
fn short_log() -> LogFake {
    let log = LogFake::new();
    log.set_retention_ms(RETENTION_MS);
    log
}

fn append(log: &LogFake, record: ConfigRecord) -> LogOffset {
    log.append(STREAM, &record.encode().expect("record is valid")).expect("log works")
}

fn publish(log: &LogFake, change: ConfigChange) -> LogOffset {
    append(log, ConfigRecord::Change(change))
}

fn write_checkpoint(log: &LogFake, checkpoint: &EncodedCheckpoint) {
    for part in checkpoint.split() {
        append(log, ConfigRecord::CheckpointPart(part));
    }
}

/// Reads as the follower does until nothing more can be read immediately.
fn catch_up(replica: &mut ConfigReplica, log: &LogFake) {
    loop {
        let cursor = replica.cursor();
        let more = match log.read(STREAM, cursor, 3) {
            Ok(slice) => replica.on_slice(&slice),
            Err(LogError::Expired(first)) => {
                replica.on_expired(first);
                true
            }
            Err(error) => panic!("log works: {error}"),
        };
        if !more {
            return;
        }
    }
}

fn read_new(log: &LogFake) -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    catch_up(&mut replica, log);
    replica
}

/// Returns a log with two expired changes, and a host that has read them.
fn expired_log() -> (LogFake, ConfigReplica) {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    publish(&log, sample_change(2, Some(0), vec![change_service("a", 2)]));
    let host = read_new(&log);
    log.set_now_ms(RETENTION_MS + 1);
    (log, host)
}

fn duty(is_holder: bool, rank_permille: u16) -> CheckpointDuty {
    let retention = Duration::from_millis(RETENTION_MS);
    let mut duty =
        CheckpointDuty::new(CheckpointSchedule { retention, max_records: 10, rank_permille });
    duty.set_holder(is_holder);
    duty
}

#[test]
fn fresh_host() {
    let (log, host) = expired_log();
    write_checkpoint(&log, &host.fold().to_checkpoint());
    publish(&log, sample_change(3, Some(1), vec![change_service("a", 3)]));
    let fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Log);
    assert_eq!(fresh.fold().revision(), Some(LogOffset(3)));
    let mut host = host;
    catch_up(&mut host, &log);
    assert_eq!(host.fold(), fresh.fold());
    assert_eq!(fresh.fold().history().count(), 3);
}

#[test]
fn long_outage() {
    let (log, mut host) = expired_log();
    catch_up(&mut host, &log);
    assert_eq!(host.state(), ReplicaState::Log);
    assert_eq!(host.fold().revision(), Some(LogOffset(1)));
    assert!(duty(true, 0).is_due(&host));
    let mut late_duty = duty(false, 999);
    assert!(!late_duty.is_due(&host));
    let fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Gap);
    log.set_now_ms(RETENTION_MS + 1 + MISSING_CHECKPOINT_SPREAD.as_millis() as u64);
    catch_up(&mut host, &log);
    assert!(late_duty.is_due(&host));
}

#[test]
fn lost_records() {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let mut behind = read_new(&log);
    publish(&log, sample_change(2, Some(0), vec![change_service("a", 2)]));
    let mut ahead = read_new(&log);
    log.set_now_ms(RETENTION_MS + 1);
    publish(&log, sample_change(3, Some(1), vec![create_service("b", 1)]));
    catch_up(&mut behind, &log);
    assert_eq!(behind.state(), ReplicaState::Gap);
    assert_eq!(behind.fold().revision(), Some(LogOffset(0)));
    assert!(!duty(true, 0).is_due(&behind));
    catch_up(&mut ahead, &log);
    write_checkpoint(&log, &ahead.fold().to_checkpoint());
    catch_up(&mut behind, &log);
    catch_up(&mut ahead, &log);
    assert_eq!(behind.state(), ReplicaState::Log);
    assert_eq!(behind.fold(), ahead.fold());
}

#[test]
fn stale_checkpoint() {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let paused = read_new(&log).fold().to_checkpoint();
    publish(&log, sample_change(2, Some(0), vec![change_service("a", 2)]));
    let host = read_new(&log);
    log.set_now_ms(RETENTION_MS / 2);
    write_checkpoint(&log, &host.fold().to_checkpoint());
    write_checkpoint(&log, &paused);
    let fresh = read_new(&log);
    assert_eq!(fresh.fold().revision(), Some(LogOffset(1)));
    log.set_now_ms(RETENTION_MS + 1);
    let fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Log);
    assert_eq!(fresh.fold().revision(), Some(LogOffset(1)));
}

#[test]
fn stale_checkpoint_age() {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let paused = read_new(&log).fold().to_checkpoint();
    publish(&log, sample_change(2, Some(0), vec![change_service("a", 2)]));
    log.set_now_ms(RETENTION_MS / 4);
    write_checkpoint(&log, &paused);
    // The checkpoint was just written, but the first record that it does not cover is old.
    assert!(duty(true, 0).is_due(&read_new(&log)));
}

#[test]
fn newest_checkpoint_wins() {
    let (log, mut host) = expired_log();
    write_checkpoint(&log, &host.fold().to_checkpoint());
    publish(&log, sample_change(3, Some(1), vec![change_service("a", 3)]));
    catch_up(&mut host, &log);
    log.set_now_ms(RETENTION_MS + 100);
    write_checkpoint(&log, &host.fold().to_checkpoint());
    let mut fresh = ConfigReplica::default();
    fresh.on_expired(LogOffset(2));
    let mut slice = log.read(STREAM, LogOffset(2), 3).expect("log works");
    slice.end = slice.end.next();
    fresh.on_slice(&slice);
    // During the scan, the record after the first of the two checkpoints expires.
    log.set_now_ms(2 * RETENTION_MS + 50);
    publish(&log, sample_change(4, Some(3), vec![change_service("a", 4)]));
    catch_up(&mut fresh, &log);
    catch_up(&mut host, &log);
    assert_eq!(fresh.state(), ReplicaState::Log);
    assert_eq!(fresh.fold(), host.fold());
}

#[test]
fn only_stale_checkpoint() {
    let (log, mut host) = expired_log();
    let mut paused = ConfigFold::default();
    paused.apply(LogOffset(0), &sample_change(1, None, vec![create_service("a", 1)]));
    write_checkpoint(&log, &paused.to_checkpoint());
    let mut fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Gap);
    catch_up(&mut host, &log);
    // This holds even if the configured retention is far longer than the log's.
    let retention = Duration::from_millis(100 * RETENTION_MS);
    let schedule = CheckpointSchedule { retention, max_records: 10, rank_permille: 0 };
    assert!(CheckpointDuty::new(schedule).is_due(&host));
    let document = document_json(&[service_json("b", 5)], &[]);
    publish(&log, sample_change(7, None, vec![ResourceOperation::Restore(document)]));
    catch_up(&mut fresh, &log);
    catch_up(&mut host, &log);
    assert_eq!(fresh.fold().digest(), host.fold().digest());
    assert_eq!(read_new(&log).fold().digest(), host.fold().digest());
}

#[test]
fn whole_fleet_replaced() {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let mut now_ms = 0;
    for generation in 0..8 {
        let mut host = read_new(&log);
        let mut duty = duty(false, 999);
        assert_eq!(host.fold().revision(), Some(LogOffset(0)), "generation {generation}");
        // This host stays alive just until it writes, then all hosts are replaced.
        while !duty.is_due(&host) {
            now_ms += RETENTION_MS / 16;
            log.set_now_ms(now_ms);
            catch_up(&mut host, &log);
        }
        write_checkpoint(&log, &host.fold().to_checkpoint());
    }
    assert!(now_ms > 4 * RETENTION_MS);
}

#[test]
fn peer_checkpoint() {
    let (log, host) = expired_log();
    let checkpoint = host.fold().to_checkpoint();
    let mut starting = ConfigReplica::default();
    assert!(starting.install(ConfigFold::from_checkpoint(&checkpoint).expect("valid")));
    assert_eq!(starting.state(), ReplicaState::Peer);
    assert_eq!(starting.fold().digest(), host.fold().digest());
    assert!(!starting.install(ConfigFold::default()));
    catch_up(&mut starting, &log);
    assert_eq!(starting.state(), ReplicaState::Log);
    assert_eq!(starting.fold(), host.fold());
}

#[test]
fn restore_after_loss() {
    let (log, _) = expired_log();
    let mut fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Gap);
    let document = document_json(&[service_json("b", 5)], &[]);
    publish(&log, sample_change(7, None, vec![ResourceOperation::Restore(document)]));
    catch_up(&mut fresh, &log);
    assert_eq!(fresh.state(), ReplicaState::Log);
    assert_eq!(fresh.fold().revision(), Some(LogOffset(2)));
}

#[test]
fn many_parts() {
    let names: Vec<String> = (0..900).map(|n| format!("service-{n:050}")).collect();
    let services: Vec<String> = names.iter().map(|name| service_json(name, 5)).collect();
    let mut fold = ConfigFold::default();
    let halves = services.chunks(450).zip([None, Some(0)]);
    for (offset, (half, base)) in (0..).zip(halves) {
        let all: Vec<String> =
            services[..450 * offset as usize].iter().chain(half).cloned().collect();
        let step = ResourceOperation::PutWhole(document_json(&all, &[]));
        fold.apply(LogOffset(offset), &sample_change(u128::from(offset), base, vec![step]));
    }
    assert_eq!(fold.state().services.len(), 900);
    let checkpoint = fold.to_checkpoint();
    let parts = checkpoint.split();
    assert!(parts.len() > 1 && checkpoint.data.len() > MAX_PART_BYTES);
    let log = short_log();
    log.append(STREAM, b"").expect("log works");
    log.append(STREAM, b"").expect("log works");
    log.set_now_ms(RETENTION_MS + 1);
    let other = ConfigFold::starting_at(LogOffset(1)).to_checkpoint();
    for part in parts.iter().rev().chain(&parts[..1]) {
        let record = ConfigRecord::CheckpointPart(part.clone());
        assert!(record.encode().expect("fits").len() <= MAX_RECORD_BYTES);
        append(&log, record);
        write_checkpoint(&log, &other);
    }
    let fresh = read_new(&log);
    assert_eq!(fresh.state(), ReplicaState::Log);
    assert_eq!(fresh.fold().digest(), fold.digest());
}

#[test]
fn wrong_digest() {
    let (log, host) = expired_log();
    let mut checkpoint = host.fold().to_checkpoint();
    write_checkpoint(&log, &checkpoint);
    checkpoint.data[3] ^= 1;
    let wrong = CheckpointPart {
        digest: checkpoint.digest,
        index: 0,
        count: 1,
        data: checkpoint.data.clone(),
    };
    append(&log, ConfigRecord::CheckpointPart(wrong));
    assert_eq!(ConfigFold::from_checkpoint(&checkpoint), Err(RecordError::DigestMismatch));
    let fresh = read_new(&log);
    assert_eq!(fresh.fold().revision(), Some(LogOffset(1)));
    assert_eq!(fresh.skipped().get(&ResultCode::DigestMismatch), Some(&1));
}

#[test]
fn future_checkpoint() {
    let log = short_log();
    write_checkpoint(&log, &ConfigFold::starting_at(LogOffset(9)).to_checkpoint());
    let replica = read_new(&log);
    assert_eq!(replica.skipped().get(&ResultCode::RecordMalformed), Some(&1));
    assert_eq!(replica.newest_checkpoint(), None);
}

#[rstest]
#[case::holder_waits(true, 0, RETENTION_MS / 4 - 1, false)]
#[case::holder_writes(true, 0, RETENTION_MS / 4, true)]
#[case::first_fallback_waits(false, 0, RETENTION_MS / 2 - 1, false)]
#[case::first_fallback_writes(false, 0, RETENTION_MS / 2, true)]
#[case::last_fallback_waits(false, 999, RETENTION_MS * 7 / 10, false)]
#[case::last_fallback_writes(false, 999, RETENTION_MS * 3 / 4, true)]
fn duty_times(#[case] holder: bool, #[case] rank: u16, #[case] age_ms: u64, #[case] due: bool) {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let mut host = read_new(&log);
    write_checkpoint(&log, &host.fold().to_checkpoint());
    log.set_now_ms(age_ms);
    catch_up(&mut host, &log);
    assert_eq!(duty(holder, rank).is_due(&host), due);
}

#[test]
fn max_records_reached() {
    let log = short_log();
    publish(&log, sample_change(1, None, vec![create_service("a", 1)]));
    let mut host = read_new(&log);
    write_checkpoint(&log, &host.fold().to_checkpoint());
    for number in 0..9 {
        publish(&log, sample_change(number + 2, Some(0), vec![create_service("a", 1)]));
    }
    catch_up(&mut host, &log);
    assert!(duty(true, 0).is_due(&host));
    assert!(!duty(false, 0).is_due(&host));
}
