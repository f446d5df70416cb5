//! Servers whose processes may have ended since their entries were read.

use pomelostack_lib::gateway::process_doubts::ProcessDoubts;
use pomelostack_lib::gateway::process_doubts::ProcessLabel;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn server() -> ServerId {
    ServerId::try_from("i-1").expect("valid in tests")
}

fn label(started_at_ms: u64, version: &str) -> ProcessLabel {
    let version = SoftwareVersion::of(version.as_bytes());
    ProcessLabel { started_at_ms: Some(started_at_ms), version }
}

fn doubted() -> ProcessDoubts {
    let mut doubts = ProcessDoubts::default();
    doubts.on_lost(at(1_000), &server(), label(1, "v1"));
    doubts
}

#[test]
fn new_process_ends_doubt() {
    let mut doubts = doubted();
    assert!(doubts.is_doubted(at(1_100), &server()));
    doubts.on_entry(&server(), &label(2, "v2"));
    assert!(!doubts.is_doubted(at(1_100), &server()));
}

/// An entry that is read after a crash may have been written before it (ORDER).
#[test]
fn old_entry_read_late() {
    let mut doubts = doubted();
    // This read had begun before the connection broke.
    doubts.on_entry(&server(), &label(1, "v1"));
    doubts.on_read(at(900));
    // This one began after it, and shows what the process wrote before it ended.
    doubts.on_entry(&server(), &label(1, "v1"));
    doubts.on_read(at(1_100));
    assert!(doubts.is_doubted(at(1_200), &server()));
    // What the next one shows was written since.
    doubts.on_entry(&server(), &label(1, "v1"));
    assert!(!doubts.is_doubted(at(2_400), &server()));
}

#[test]
fn older_connection_lives() {
    let mut doubts = doubted();
    doubts.on_alive(&server(), at(900));
    assert!(doubts.is_doubted(at(1_100), &server()));
    doubts.on_alive(&server(), at(1_020));
    assert!(!doubts.is_doubted(at(1_100), &server()));
}

#[test]
fn breaks_again() {
    let mut doubts = doubted();
    doubts.on_read(at(1_100));
    doubts.on_lost(at(1_200), &server(), label(1, "v1"));
    doubts.on_entry(&server(), &label(1, "v1"));
    assert!(doubts.is_doubted(at(1_300), &server()));
}

#[test]
fn outage_of_store() {
    let mut doubts = doubted();
    assert_eq!(doubts.doubted(at(5_900)).count(), 1);
    assert_eq!(doubts.doubted(at(6_000)).count(), 0);
}
