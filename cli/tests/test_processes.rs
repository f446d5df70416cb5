//! Runs entry hosts as processes that are killed, paused, reclaimed and stopped during requests.
//!
//! The journals of the backend servers show what ran, so no check depends on timing.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use testutils::bounded_wait::wait_for;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::front_door_client::FrontDoorReply;
use testutils::process_fleet::ProcessFleet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Replies to the sends of each key, in order.
type SendLog = Mutex<BTreeMap<String, Vec<FrontDoorReply>>>;

/// Result code of an answered request.
const COMPLETE: u16 = 0;
/// Result code of a request that arrives at a leaving host.
const HOST_LEAVING: u16 = 205;
/// Result code of a request that waited until its deadline for the claimant of its key.
const STILL_RUNNING: u16 = 308;

/// Sends every key once to one host, all concurrently, while `act` runs.
fn send_all(fleet: &ProcessFleet, host: u16, keys: &[String], log: &SendLog, act: impl FnOnce()) {
    thread::scope(|scope| {
        for key in keys {
            scope.spawn(move || {
                let reply = fleet.caller(host).post("/services/lookup/alert", Some(key), "gust");
                let mut sends = log.lock().expect("no sender panics");
                sends.entry(key.clone()).or_default().push(reply);
            });
        }
        act();
    });
}

/// Waits until the app servers have started at least `count` runs.
fn wait_for_runs(fleet: &ProcessFleet, count: usize) {
    wait_for(|| keyed_runs(fleet).len() >= count);
}

fn keyed_runs(fleet: &ProcessFleet) -> Vec<String> {
    fleet.app_runs().into_iter().filter_map(|run| run.key).collect()
}

/// Checks that every key ran at most once, and exactly once if any send was answered.
fn check_runs(fleet: &ProcessFleet, log: &SendLog) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for key in keyed_runs(fleet) {
        *runs.entry(key).or_default() += 1;
    }
    let sends = log.lock().expect("no sender panics");
    for (key, replies) in sends.iter() {
        let ran = runs.get(key).copied().unwrap_or_default();
        assert!(ran <= 1, "{key} ran {ran} times: {replies:?}");
        let answers: Vec<&FrontDoorReply> =
            replies.iter().filter(|reply| reply.code == Some(COMPLETE)).collect();
        if !answers.is_empty() {
            assert_eq!(ran, 1, "{key} was answered and never ran: {replies:?}");
        }
        assert!(answers.windows(2).all(|pair| pair[0].body == pair[1].body), "{replies:?}");
        let last = replies.last().expect("every key was sent");
        assert!(last.status != 0, "{key} has no final answer: {replies:?}");
    }
}

fn keys(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("alert-{index}")).collect()
}

#[test]
fn killed_host() {
    let mut fleet = ProcessFleet::start(PROGRAM, 3);
    fleet.inject_app_fault(&json!({ "slow": { "extra_ms": 300 } }));
    let (keys, log) = (keys(24), SendLog::default());
    send_all(&fleet, 0, &keys, &log, || {
        wait_for_runs(&fleet, 4);
        fleet.signal(0, Signal::KILL);
    });
    assert!(!fleet.wait_for_exit(0));
    fleet.inject_app_fault(&json!({ "slow": { "extra_ms": 0 } }));
    send_all(&fleet, 1, &keys, &log, || {});
    send_all(&fleet, 2, &keys, &log, || {});
    check_runs(&fleet, &log);
    fleet.restart(PROGRAM, 0);
    send_all(&fleet, 0, &keys, &log, || {});
    check_runs(&fleet, &log);
    // The restarted host must not be taken for the incarnation that made the claims, or resends
    // would wait for a claimant that is gone.
    let sends = log.lock().expect("no sender panics");
    assert!(sends.values().flatten().all(|reply| reply.code != Some(STILL_RUNNING)), "{sends:?}");
}

#[test]
fn paused_host() {
    let fleet = ProcessFleet::start(PROGRAM, 3);
    fleet.inject_app_fault(&json!({ "slow": { "extra_ms": 200 } }));
    let (keys, log) = (keys(24), SendLog::default());
    send_all(&fleet, 0, &keys, &log, || {
        wait_for_runs(&fleet, 4);
        fleet.signal(0, Signal::STOP);
        send_all(&fleet, 1, &keys, &log, || {});
        fleet.signal(0, Signal::CONT);
    });
    send_all(&fleet, 2, &keys, &log, || {});
    check_runs(&fleet, &log);
}

/// Host 0 is reclaimed during calls that must not be repeated. While it hands them over, it or its
/// successor is killed or reclaimed.
#[rstest]
#[case::no_crash(&[], &[])]
#[case::source_crashes(&[0], &[])]
#[case::successor_crashes(&[1], &[])]
#[case::both_crash(&[0, 1], &[])]
#[case::successor_reclaimed(&[], &[1])]
fn reclaimed_host(#[case] killed: &[usize], #[case] reclaimed: &[usize]) {
    let mut fleet = ProcessFleet::start(PROGRAM, 3);
    fleet.inject_app_fault(&json!({ "slow": { "extra_ms": 1_000 } }));
    let (keys, log) = (keys(12), SendLog::default());
    send_all(&fleet, 0, &keys, &log, || {
        wait_for_runs(&fleet, 4);
        fleet.reclaim(0, 3_000);
        wait_for(|| fleet.caller(0).get("/readyz").status != 200);
        reclaimed.iter().for_each(|&host| fleet.reclaim(host, 2_000));
        killed.iter().for_each(|&host| fleet.signal(host, Signal::KILL));
    });
    // Unless it is killed, the reclaimed host exits by itself with code 0.
    assert_eq!(fleet.wait_for_exit(0), !killed.contains(&0));
    for &host in reclaimed {
        assert!(fleet.wait_for_exit(host));
    }
    fleet.inject_app_fault(&json!({ "slow": { "extra_ms": 0 } }));
    send_all(&fleet, 2, &keys, &log, || {});
    check_runs(&fleet, &log);
    // A resend gets the known state at once; it does not wait for a host that is gone.
    let sends = log.lock().expect("no sender panics");
    let resends = sends.values().filter_map(|replies| replies.last());
    assert!(resends.into_iter().all(|reply| reply.code != Some(STILL_RUNNING)), "{sends:?}");
}

#[test]
fn stopped_host() {
    let mut fleet = ProcessFleet::start(PROGRAM, 2);
    let ask = |host| fleet.caller(host).complete(MODEL_SERVICE, "Whole course today", 40);
    let whole = ask(1);
    let streams: Vec<FrontDoorReply> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8).map(|_| scope.spawn(|| ask(0))).collect();
        wait_for(|| fleet.active_model_runs() >= 4);
        fleet.signal(0, Signal::TERM);
        callers.into_iter().map(|caller| caller.join().expect("no caller panics")).collect()
    });
    for reply in streams {
        // A request that arrives after the stop is refused, never truncated.
        match reply.code {
            Some(COMPLETE) => assert_eq!(reply.text(), whole.text()),
            code => assert!(code == Some(HOST_LEAVING) || reply.status == 0, "{reply:?}"),
        }
    }
    assert!(fleet.wait_for_exit(0));
    assert_eq!(fleet.caller(1).get("/readyz").status, 200);
}

#[test]
fn resent_prompt() {
    let mut fleet = ProcessFleet::start(PROGRAM, 2);
    let ask = |fleet: &ProcessFleet, host| {
        fleet.caller(host).complete(MODEL_SERVICE, "Gusts at noon", 30)
    };
    let whole = ask(&fleet, 1);
    let cut = thread::scope(|scope| {
        let caller = scope.spawn(|| ask(&fleet, 0));
        wait_for(|| fleet.active_model_runs() >= 1);
        fleet.signal(0, Signal::KILL);
        caller.join().expect("the caller does not panic")
    });
    assert!(cut.status == 0 || cut.text() == whole.text(), "{cut:?}");
    assert!(!fleet.wait_for_exit(0));
    assert_eq!(ask(&fleet, 1).text(), whole.text());
}
