//! The backend directory during outages of its store, restarts and removals.

use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::RECOVERY_GRACE_PERIOD;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;

fn server_id(name: &str) -> ServerId {
    ServerId::try_from(name).expect("valid in tests")
}

fn entry(name: &str, started_at_ms: u64) -> BackendEntry {
    BackendEntry {
        id: server_id(name),
        service: ServiceName::try_from("chat").expect("valid in tests"),
        address: "10.0.0.1:80".parse().expect("valid in tests"),
        zone: ZoneName::try_from("a").expect("valid in tests"),
        state: ServingState::Ready,
        slots: 8,
        started_at_ms: Some(started_at_ms),
        reclaimable: false,
        reclaimed_in: None,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a directory with one server, listed at offset 1.
fn listing_one() -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0));
    directory.apply(at(0), LogOffset(1), DirectoryChange::Present(entry("s1", 1)));
    directory
}

#[test]
fn removal_is_final() {
    let mut directory = listing_one();
    let effect = directory.apply(at(100), LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    assert!(matches!(effect, DirectoryEffect::Removed(_)));
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn older_change_ignored() {
    let mut directory = listing_one();
    directory.apply(at(100), LogOffset(5), DirectoryChange::Absent(server_id("s1")));
    let effect = directory.apply(at(200), LogOffset(3), DirectoryChange::Present(entry("s1", 1)));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn expiry_in_outage() {
    let mut directory = listing_one();
    directory.on_read_failure(at(1_000));
    directory.on_read(at(5_000));
    directory.on_read_failure(at(4_900));
    let effect = directory.apply(at(5_000), LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    let key = directory.find(&server_id("s1")).expect("valid in tests");
    assert!(
        directory.get(key).expect("valid in tests").is_missing,
        "used only if there is no other"
    );

    directory.apply(at(6_500), LogOffset(3), DirectoryChange::Present(entry("s1", 1)));
    assert!(directory.expire(at(60_000)).is_empty());
    assert!(!directory.get(key).expect("valid in tests").is_missing);
}

#[test]
fn missing_after_grace() {
    let mut directory = listing_one();
    directory.on_read_failure(at(4_900));
    directory.apply(at(5_000), LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    let grace_end = at(4_900) + RECOVERY_GRACE_PERIOD;
    assert!(directory.expire(grace_end - Duration::from_millis(1)).is_empty());
    assert_eq!(directory.expire(grace_end).len(), 1);
    assert_eq!(directory.find(&server_id("s1")), None);
}

#[test]
fn read_gap_starts_grace() {
    // After a pause of the process the host has read nothing for seconds; entries that expired
    // meanwhile may reappear.
    let mut directory = listing_one();
    directory.on_read(at(9_000));
    let effect = directory.apply(at(9_000), LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
}

#[test]
fn same_id_restarts() {
    let mut directory = listing_one();
    let effect = directory.apply(at(100), LogOffset(2), DirectoryChange::Present(entry("s1", 2)));
    assert!(matches!(effect, DirectoryEffect::Restarted(_)));
}

#[test]
fn draining_reported_once() {
    let mut directory = listing_one();
    let draining = BackendEntry { state: ServingState::Draining, ..entry("s1", 1) };
    let change = DirectoryChange::Present(draining);
    let first = directory.apply(at(100), LogOffset(2), change.clone());
    assert!(matches!(first, DirectoryEffect::Draining(_)));
    let second = directory.apply(at(200), LogOffset(3), change);
    assert_eq!(second, DirectoryEffect::Unchanged);
    let key = directory.find(&server_id("s1")).expect("valid in tests");
    assert_eq!(directory.get(key).expect("valid in tests").draining_since, Some(at(100)));
}

#[test]
fn complete_listing_removes() {
    let mut directory = listing_one();
    directory.apply(at(0), LogOffset(2), DirectoryChange::Present(entry("s2", 1)));
    let effects = directory.retain_listed(at(100), &[server_id("s2")]);
    assert!(matches!(effects.as_slice(), [DirectoryEffect::Removed(_)]));
    assert_eq!(directory.iter().count(), 1);
}
