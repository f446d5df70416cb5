//! Requests that crash servers, and other requests in flight on the same servers.

use std::time::Duration;

use pomelostack_lib::gateway::crash_tracker::CallFingerprint;
use pomelostack_lib::gateway::crash_tracker::CrashTracker;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::timestamp::Timestamp;

fn server(index: u64) -> ServerId {
    ServerId::try_from(format!("s{index}")).expect("valid in tests")
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::default() + Duration::from_secs(seconds)
}

#[test]
fn third_crash_refuses() {
    let poison = CallFingerprint::new("k1", "/a", b"boom");
    let mut tracker = CrashTracker::default();
    for index in 0..3 {
        assert!(!tracker.is_refused(poison));
        tracker.on_connection_lost(at(index), &server(index), poison);
        assert_eq!(tracker.on_server_gone(at(index), &server(index)), vec![poison]);
    }
    assert!(tracker.is_refused(poison));
    assert!(!tracker.is_refused(CallFingerprint::new("k2", "/a", b"boom")));
    tracker.expire(at(300));
    assert!(!tracker.is_refused(poison));
}

#[test]
fn losses_without_crash() {
    // Responses are lost, but the servers stay alive.
    let bystander = CallFingerprint::new("k1", "/a", b"fine");
    let mut tracker = CrashTracker::default();
    for index in 0..10 {
        tracker.on_connection_lost(at(index), &server(index), bystander);
    }
    assert!(!tracker.is_refused(bystander));
}

#[test]
fn old_loss_expires() {
    let bystander = CallFingerprint::new("k1", "/a", b"fine");
    let mut tracker = CrashTracker::default();
    tracker.on_connection_lost(at(0), &server(1), bystander);
    assert!(tracker.on_server_gone(at(60), &server(1)).is_empty());
}

#[test]
fn peer_reports_count() {
    let poison = CallFingerprint::new("k1", "/a", b"boom");
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    for index in 0..2 {
        first.on_connection_lost(at(index), &server(index), poison);
        first.on_server_gone(at(index), &server(index));
    }
    second.on_connection_lost(at(3), &server(9), poison);
    second.on_server_gone(at(3), &server(9));
    // The same reports arrive several times.
    for _ in 0..3 {
        for (fingerprint, server) in first.own_reports(at(1)) {
            second.on_crash_report(at(4), fingerprint, server.clone());
        }
    }
    assert!(second.is_refused(poison));
    assert!(!first.is_refused(poison));
}
