//! Runs the gateway as a process against a stand-in of its platform.
//!
//! The tests check what callers receive and what the replicas ran. Timeouts only guard against
//! hangs.

use rstest::rstest;
use rustix::process::Signal;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

#[test]
fn no_configuration() {
    let fixture = GatewayFixture::start(PROGRAM, 1);
    wait_for(|| fixture.readiness().is_some());
    assert_eq!(fixture.readiness(), Some(503));
    let response = fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY));
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
}

#[test]
fn complete_answers() {
    let fixture = GatewayFixture::ready(PROGRAM, 2);
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    assert!(stream.signature.is_some());
    let call = fixture.call("POST", "/book/1", "r2", Some(TEAM_KEY));
    assert_eq!((call.status, call.body.as_deref()), (200, Some("answer to r2")));
    for run in fixture.standin.runs() {
        assert_eq!(run.team.as_deref(), Some("club"), "the caller's own tenant-id was passed on");
        assert!(!run.received_team_key);
    }
}

#[test]
fn refused_callers() {
    let fixture = GatewayFixture::ready(PROGRAM, 3);
    assert_eq!(fixture.call("GET", "/look/1", "r1", Some("nobody")).status, 401);
    assert_eq!(fixture.call("GET", "/nowhere/1", "r2", Some(TEAM_KEY)).status, 404);
    assert_eq!(fixture.runs_of("r1") + fixture.runs_of("r2"), 0);
}

#[test]
fn stream_resumes() {
    let fixture = GatewayFixture::ready(PROGRAM, 4);
    fixture.standin.set_replica_mode(0, ReplicaMode::CutAfter(3));
    fixture.standin.set_replica_mode(1, ReplicaMode::CutAfter(9));
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    let runs = fixture.standin.runs();
    let resumed = runs.iter().find(|run| run.resumed_after.is_some()).expect("valid in tests");
    assert_eq!(resumed.request_id, "r1");
}

#[test]
fn truncated_stream() {
    let fixture = GatewayFixture::ready(PROGRAM, 5);
    fixture.standin.set_replica_mode(0, ReplicaMode::CutAfter(2));
    fixture.standin.set_replica_mode(1, ReplicaMode::CutAfter(2));
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!(stream.body, None);
    assert_eq!(fixture.runs_of("r1"), 2);
}

#[test]
fn lost_call_not_retried() {
    let fixture = GatewayFixture::ready(PROGRAM, 6);
    fixture.standin.set_replica_mode(0, ReplicaMode::DropResponse);
    fixture.standin.set_replica_mode(1, ReplicaMode::DropResponse);
    let response = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.signature), (502, None));
    assert_eq!(fixture.runs_of("r1"), 1);
}

#[rstest]
#[case(7, "/look/1", ReplicaMode::DropResponse)]
#[case(8, "/book/1", ReplicaMode::Refuse)]
fn other_replica_answers(#[case] number: u8, #[case] path: &str, #[case] mode: ReplicaMode) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    // One replica fails; whichever is asked first, the other one answers.
    let first = fixture.standin.runs().last().map_or(0, |run| run.replica);
    fixture.standin.set_replica_mode(first, mode);
    let response = fixture.call("GET", path, "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.body.as_deref()), (200, Some("answer to r1")));
}

#[test]
fn all_refuse() {
    let fixture = GatewayFixture::ready(PROGRAM, 9);
    fixture.standin.set_replica_mode(0, ReplicaMode::Refuse);
    fixture.standin.set_replica_mode(1, ReplicaMode::Refuse);
    let response = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.signature), (503, None));
    assert!(response.retry_after.is_some());
    assert_eq!(fixture.runs_of("r1"), 0);
}

#[test]
fn stop_finishes_stream() {
    let mut fixture = GatewayFixture::ready(PROGRAM, 10);
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        fixture.process.signal(Signal::TERM).expect("valid in tests");
        wait_for(|| fixture.readiness() != Some(200));
        caller.join().expect("valid in tests")
    });
    assert_eq!(stream.body, Some(whole_stream()));
    assert!(fixture.process.wait_for_exit().expect("valid in tests"));
}

#[test]
fn reload_keeps_streams() {
    let fixture = GatewayFixture::ready(PROGRAM, 11);
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        std::fs::write(fixture.process.settings(), "{ half a file").expect("valid in tests");
        fixture.process.signal(Signal::HUP).expect("valid in tests");
        caller.join().expect("valid in tests")
    });
    assert_eq!(stream.body, Some(whole_stream()));
    assert_eq!(fixture.call("GET", "/look/2", "r2", Some(TEAM_KEY)).status, 200);
}

#[test]
fn usage_is_reported() {
    let fixture = GatewayFixture::ready(PROGRAM, 12);
    wait_for(|| !fixture.standin.usage_reports().is_empty());
    let report = &fixture.standin.usage_reports()[0].body;
    assert!(report["counts"]["club"].as_u64().is_some_and(|count| count > 0), "{report}");
}

#[test]
fn reload_without_signal() {
    let fixture = GatewayFixture::ready(PROGRAM, 14);
    let counted = |event: &str| fixture.metrics().contains(&format!("event=\"{event}\"}} 1"));
    std::fs::write(fixture.process.settings(), "{ half a file").expect("valid in tests");
    wait_for(|| counted("settings_rejected"));
    let mut settings = fixture.standin.settings("h14", &fixture.ip);
    settings["bounds"]["retry-budget-ratio"] = 0.5.into();
    std::fs::write(fixture.process.settings(), settings.to_string()).expect("valid in tests");
    wait_for(|| counted("settings_reloaded"));
    assert_eq!(fixture.call("GET", "/look/2", "r2", Some(TEAM_KEY)).status, 200);
}

#[test]
fn metrics_are_served() {
    let fixture = GatewayFixture::ready(PROGRAM, 13);
    let text = fixture.metrics();
    assert!(text.contains("pomelostack_requests_total{code=\"0\",kind=\"idempotent\"}"), "{text}");
    assert!(text.contains("pomelostack_answer_seconds_bucket"));
}

#[rstest]
#[case(20, StoreMode::Refuse)]
#[case(21, StoreMode::DropResponses)]
fn store_outage(#[case] number: u8, #[case] mode: StoreMode) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    fixture.standin.set_store_mode(mode);
    wait_for(|| fixture.metrics().contains("call=\"read_directory\",outcome=\"failed\""));
    // During an outage the last configuration and directory stay in use; a change made meanwhile is
    // applied afterwards.
    assert_eq!(fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY)).status, 200);
    fixture.standin.publish_config(4);
    assert_eq!(fixture.call("GET", "/look/2", "r2", Some(TEAM_KEY)).status, 200);
    fixture.standin.set_store_mode(StoreMode::Answer);
    wait_for(|| fixture.metrics().contains("event=\"config_adopted\"} 2"));
}

#[test]
fn entries_expire_in_outage() {
    let fixture = GatewayFixture::ready(PROGRAM, 22);
    fixture.standin.set_store_mode(StoreMode::Refuse);
    wait_for(|| fixture.metrics().contains("call=\"read_directory\",outcome=\"failed\""));
    fixture.standin.expire_replica(0);
    fixture.standin.expire_replica(1);
    fixture.standin.set_store_mode(StoreMode::Answer);
    for number in 0..20 {
        // The servers still run. Entries that expired during a store outage don't prove otherwise.
        let response = fixture.call("GET", "/look/1", &format!("r{number}"), Some(TEAM_KEY));
        assert_eq!(response.status, 200);
        if number == 10 {
            fixture.standin.register_replica(0, "ready");
            fixture.standin.register_replica(1, "ready");
        }
    }
}

#[test]
fn duty_failover() {
    // The first member holds the duties. After it is killed, the other one reports with a larger
    // fencing token, and no window is reported with two different counts.
    let first = GatewayFixture::ready(PROGRAM, 30);
    let second = GatewayFixture::start_host(PROGRAM, first.standin.clone(), 31).serving();
    let standin = first.standin.clone();
    wait_for(|| !standin.usage_reports().is_empty());
    let fence = standin.usage_reports()[0].fencing_token;
    drop(first);
    wait_for(|| second.call("GET", "/look/1", "r1", Some(TEAM_KEY)).status == 200);
    wait_for(|| standin.usage_reports().iter().any(|report| report.fencing_token > fence));
    let windows: Vec<u64> = standin
        .usage_reports()
        .iter()
        .filter_map(|report| report.body["window"].as_u64())
        .collect();
    let mut distinct = windows.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(!windows.is_empty());
    for window in distinct {
        let bodies = standin.usage_reports();
        let mut counts = bodies
            .iter()
            .filter(|report| report.body["window"].as_u64() == Some(window))
            .map(|report| &report.body["counts"]);
        let first = counts.next();
        assert!(counts.all(|other| Some(other) == first), "a window has different counts");
    }
}
