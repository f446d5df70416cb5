//! The follower thread on a faulty log: publishing, recovering from outages, stopping.

use std::sync::Arc;
use std::time::Duration;

use pomelostack_lib::config_fold::ConfigDigest;
use pomelostack_lib::config_follower::ConfigFollower;
use pomelostack_lib::config_publish::PublishOutcome;
use pomelostack_lib::config_record::ConfigRecord;
use pomelostack_lib::config_replica::ReplicaState;
use pomelostack_lib::config_snapshot::FollowerOptions;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::record_error::RecordError;
use testutils::config_samples::TEST_TIMEOUT;
use testutils::config_samples::change_service;
use testutils::config_samples::create_service;
use testutils::config_samples::follower_options;
use testutils::config_samples::sample_change;
use testutils::config_samples::start_follower;
use testutils::log_fake::LogFake;
use testutils::log_fake::LogOutage;

/// Timeout after which a change with an unknown outcome is reported as pending.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

fn short_follower(log: &Arc<LogFake>) -> ConfigFollower {
    let options = FollowerOptions { publish_timeout: SHORT_TIMEOUT, ..follower_options() };
    let follower =
        ConfigFollower::start(Arc::clone(log) as Arc<dyn LogService>, options).expect("starts");
    follower.wait_for_read(TEST_TIMEOUT);
    follower
}

#[test]
fn publish_accepted() {
    let log = Arc::new(LogFake::default());
    let publisher = start_follower(&log);
    let reader = start_follower(&log);
    let change = sample_change(1, None, vec![create_service("lookup", 200)]);
    assert_eq!(publisher.publish(&change), PublishOutcome::Accepted(LogOffset(0)));
    assert_eq!(publisher.current().revision, Some(LogOffset(0)));
    assert!(reader.wait_for(LogOffset(0), TEST_TIMEOUT));
    assert_eq!(reader.current().digest, publisher.current().digest);
    assert_eq!(reader.current().replica_state, ReplicaState::Log);
}

#[test]
fn concurrent_changes() {
    let log = Arc::new(LogFake::default());
    let first = start_follower(&log);
    let second = start_follower(&log);
    let create = sample_change(1, None, vec![create_service("lookup", 200)]);
    first.publish(&create);
    let slow = sample_change(2, Some(0), vec![change_service("lookup", 300)]);
    let fast = sample_change(3, Some(0), vec![change_service("lookup", 100)]);
    assert_eq!(first.publish(&slow), PublishOutcome::Accepted(LogOffset(1)));
    assert_eq!(second.publish(&fast), PublishOutcome::Conflict(Some(LogOffset(1))));
}

#[test]
fn lost_reply() {
    let log = Arc::new(LogFake::default());
    let follower = start_follower(&log);
    log.lose_replies(1);
    let change = sample_change(1, None, vec![create_service("lookup", 200)]);
    assert_eq!(follower.publish(&change), PublishOutcome::Accepted(LogOffset(0)));
    assert_eq!(follower.retry_publish(&change), PublishOutcome::Accepted(LogOffset(0)));
    assert_eq!(log.records(LogStream::Config).len(), 1);
}

#[test]
fn unknown_outcome() {
    let log = Arc::new(LogFake::default());
    let follower = short_follower(&log);
    log.set_outage(LogOutage::Unreachable);
    let change = sample_change(1, None, vec![create_service("lookup", 200)]);
    assert_eq!(follower.publish(&change), PublishOutcome::Pending);
    log.set_outage(LogOutage::Refusing);
    assert_eq!(follower.retry_publish(&change), PublishOutcome::Pending);
    log.set_outage(LogOutage::None);
    let other = start_follower(&log);
    assert_eq!(other.retry_publish(&change), PublishOutcome::Accepted(LogOffset(0)));
    assert!(follower.wait_for(LogOffset(0), TEST_TIMEOUT));
    assert_eq!(follower.retry_publish(&change), PublishOutcome::Accepted(LogOffset(0)));
}

#[test]
fn late_append() {
    let log = Arc::new(LogFake::default());
    let follower = short_follower(&log);
    log.hold_appends(1);
    let change = sample_change(1, None, vec![create_service("lookup", 200)]);
    assert_eq!(follower.publish(&change), PublishOutcome::Pending);
    assert_eq!(follower.retry_publish(&change), PublishOutcome::Accepted(LogOffset(0)));
    let second = sample_change(2, Some(0), vec![change_service("lookup", 300)]);
    assert_eq!(follower.publish(&second), PublishOutcome::Accepted(LogOffset(1)));
    assert_eq!(log.release_held(), 1);
    assert!(follower.wait_for(LogOffset(2), TEST_TIMEOUT));
    assert_eq!(follower.current().revision, Some(LogOffset(1)));
    assert_eq!(follower.retry_publish(&change), PublishOutcome::Accepted(LogOffset(0)));
}

#[test]
fn log_outage() {
    let log = Arc::new(LogFake::default());
    let follower = start_follower(&log);
    follower.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    let before = follower.current();
    log.set_outage(LogOutage::Refusing);
    assert!(!follower.wait_for_read(TEST_TIMEOUT));
    assert_eq!(follower.current(), before);
    let change = sample_change(2, Some(0), vec![change_service("lookup", 300)]);
    assert!(matches!(follower.publish(&change), PublishOutcome::LogUnavailable(_)));
    assert!(!follower.status().log_readable);
    log.set_outage(LogOutage::None);
    assert!(follower.wait_for_read(TEST_TIMEOUT));
    assert_eq!(follower.known_change(change.id), None);
}

#[test]
fn start_from_peer() {
    let log = Arc::new(LogFake::default());
    let peer = start_follower(&log);
    peer.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    log.set_outage(LogOutage::Refusing);
    let starting = start_follower(&log);
    assert_eq!(starting.current().replica_state, ReplicaState::Empty);
    let checkpoint = peer.checkpoint();
    let wrong = ConfigDigest([1; 32]);
    let refused = starting.install_checkpoint(&checkpoint, Some(wrong));
    assert_eq!(refused, Err(RecordError::DigestMismatch));
    assert_eq!(starting.current().revision, None);
    let confirmed = Some(peer.current().digest);
    assert_eq!(starting.install_checkpoint(&checkpoint, confirmed), Ok(true));
    assert_eq!(starting.install_checkpoint(&checkpoint, confirmed), Ok(false));
    assert_eq!(starting.current().replica_state, ReplicaState::Peer);
    assert_eq!(starting.current().state, peer.current().state);
    log.set_outage(LogOutage::None);
    assert!(starting.wait_for_read(TEST_TIMEOUT));
    assert_eq!(starting.current().replica_state, ReplicaState::Log);
}

#[test]
fn peer_catches_up() {
    let log = Arc::new(LogFake::default());
    let behind = start_follower(&log);
    let ahead = start_follower(&log);
    ahead.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    log.set_outage(LogOutage::Refusing);
    assert!(!behind.wait_for_read(TEST_TIMEOUT));
    assert_eq!(behind.install_checkpoint(&ahead.checkpoint(), None), Ok(true));
    log.set_retention_ms(1);
    log.set_now_ms(10);
    log.set_outage(LogOutage::None);
    assert!(behind.wait_for_read(TEST_TIMEOUT));
    assert_eq!(behind.current().replica_state, ReplicaState::Log);
    assert_eq!(behind.current().revision, Some(LogOffset(0)));
}

#[test]
fn holder_writes() {
    let log = Arc::new(LogFake::default());
    let holder = start_follower(&log);
    holder.set_checkpoint_holder(true);
    holder.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    assert!(holder.wait_for(LogOffset(1), TEST_TIMEOUT));
    assert!(holder.wait_for_read(TEST_TIMEOUT));
    assert_eq!(holder.status().checkpoints_written, 1);
    let records = log.records(LogStream::Config);
    assert!(matches!(ConfigRecord::decode(&records[1].data), Ok(ConfigRecord::CheckpointPart(_))));
    assert_eq!(records.len(), 2);
}

#[test]
fn gap_rejects_publish() {
    let log = Arc::new(LogFake::default());
    let host = start_follower(&log);
    host.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    log.set_retention_ms(1);
    log.set_now_ms(10);
    let fresh = start_follower(&log);
    assert_eq!(fresh.current().replica_state, ReplicaState::Gap);
    let change = sample_change(2, None, vec![create_service("other", 200)]);
    assert!(matches!(fresh.publish(&change), PublishOutcome::LogUnavailable(_)));
    assert!(log.records(LogStream::Config).is_empty());
    host.set_checkpoint_holder(true);
    assert!(host.wait_for_read(TEST_TIMEOUT));
    assert!(host.wait_for(LogOffset(1), TEST_TIMEOUT));
    assert!(fresh.wait_for(LogOffset(1), TEST_TIMEOUT));
    assert_eq!(fresh.current().replica_state, ReplicaState::Log);
    assert_eq!(fresh.current().digest, host.current().digest);
}

#[test]
fn reused_id() {
    let log = Arc::new(LogFake::default());
    let follower = start_follower(&log);
    follower.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    let other = sample_change(1, Some(0), vec![change_service("lookup", 300)]);
    assert_eq!(follower.publish(&other), PublishOutcome::IdReused);
}

#[test]
fn clean_stop() {
    let log = Arc::new(LogFake::default());
    let follower = start_follower(&log);
    follower.publish(&sample_change(1, None, vec![create_service("lookup", 200)]));
    assert!(follower.is_running());
    follower.stop();
    assert!(!follower.is_running());
    assert_eq!(follower.current().revision, Some(LogOffset(0)));
}
