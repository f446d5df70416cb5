//! When a host that has started takes connections.

use std::time::Duration;

use pomelostack_lib::gateway::start_gate::MAX_LIST_WAIT;
use pomelostack_lib::gateway::start_gate::StartGate;
use pomelostack_lib::gateway::start_gate::StartReads;
use pomelostack_lib::timestamp::Timestamp;

const ALL: StartReads = StartReads { config: true, spending: true, hosts: true };

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// Guards against a host that serves before it knows of its peers, or without a configuration.
#[test]
fn reads_awaited() {
    let mut gate = StartGate::default();
    for reads in [
        StartReads { config: false, ..ALL },
        StartReads { spending: false, ..ALL },
        StartReads { hosts: false, ..ALL },
    ] {
        assert!(!gate.is_open(seconds(1), reads), "{reads:?}");
    }
    assert!(gate.is_open(seconds(1), ALL));
}

/// Guards against a host that never serves since the store lists no hosts, and against a wait that is over
/// before the store has answered anything.
#[test]
fn missing_list() {
    let mut gate = StartGate::default();
    let reads = StartReads { hosts: false, ..ALL };
    assert!(!gate.is_open(seconds(1), StartReads { config: false, ..reads }));
    assert!(!gate.is_open(seconds(30), reads));
    let due_at = seconds(30) + MAX_LIST_WAIT;
    assert!(!gate.is_open(due_at - Duration::from_millis(1), reads));
    assert!(gate.is_open(due_at, reads));
}
