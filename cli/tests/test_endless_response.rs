//! Replicas that write without end, in any part of a response, in front of the gateway as a process.
//!
//! Timeouts only guard against hangs.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::EndlessKind;
use testutils::deployment_standin::ROUTE_HOST;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::event_text;
use testutils::gateway_fixture::GatewayFixture;
use testutils::raw_caller::RawCaller;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Memory of a host in KiB.
const HOST_MEMORY_KIB: u64 = 160 * 1024;

/// Calls whose heads come slowly, each with a connection of its caller and one to its server.
const SLOW_HEADS: usize = 1_800;

/// Requests that are sent at once.
const CONCURRENT_CALLS: usize = 40;

/// Service whose replicas write without end.
const ENDLESS_SERVICE: &str = "endless";

/// Indices of the replicas of that service.
const ENDLESS_REPLICAS: [usize; 2] = [1, 2];

/// Returns a configuration with routes to the endless service and one to the sound service.
fn config_with_endless_service() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": ROUTE_HOST, "path-prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 10_000, "latency-goal-ms": 1_000, "priority": 0,
            "service": service, "attempts": 2, "resumable": kind == "streaming",
        })
    };
    json!({
        "version": 3,
        "routes": [
            route("look", "safe", ENDLESS_SERVICE),
            route("book", "unsafe", ENDLESS_SERVICE),
            route("brief", "streaming", ENDLESS_SERVICE),
            route("sound", "safe", SERVICE),
        ],
        "services": [
            {"name": SERVICE, "max-conns": 500}, {"name": ENDLESS_SERVICE, "max-conns": 500},
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 1_048_576,
                   "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "club", "api-keys": [TEAM_KEY]}],
    })
}

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

/// Returns the replica that ran the last request.
fn last_replica(fixture: &GatewayFixture) -> usize {
    fixture.standin.runs().last().expect("a request ran").replica
}

#[rstest]
#[case::header_line(60, EndlessKind::HeaderLine)]
#[case::header_fields(61, EndlessKind::HeaderFields)]
#[case::interim_responses(62, EndlessKind::InterimResponses)]
#[case::sized_body(63, EndlessKind::SizedBody)]
#[case::chunked_body(64, EndlessKind::ChunkedBody)]
#[case::tiny_chunks(65, EndlessKind::TinyChunks)]
#[case::chunk_extension(66, EndlessKind::ChunkExtension)]
#[case::trailers(67, EndlessKind::Trailers)]
#[case::refusal_body(68, EndlessKind::RefusalBody)]
#[case::error_body(69, EndlessKind::ErrorBody)]
fn repeatable_call(#[case] number: u8, #[case] kind: EndlessKind) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    fixture.standin.set_replica_mode(last_replica(&fixture), ReplicaMode::Endless(kind));
    for call in 0..4 {
        let id = format!("r{call}");
        let response = fixture.call("GET", "/look/1", &id, Some(TEAM_KEY));
        assert_eq!((response.status, response.body), (200, Some(format!("answer to {id}"))));
    }
}

#[rstest]
#[case::interim_responses(70, EndlessKind::InterimResponses)]
#[case::stream_event(71, EndlessKind::StreamEvent)]
#[case::refusal_body(72, EndlessKind::RefusalBody)]
fn resumable_stream(#[case] number: u8, #[case] kind: EndlessKind) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    fixture.standin.set_replica_mode(last_replica(&fixture), ReplicaMode::Endless(kind));
    for call in 0..4 {
        let id = format!("r{call}");
        let response = fixture.call("POST", "/brief/1", &id, Some(TEAM_KEY));
        assert_eq!((response.status, response.body), (200, Some(whole_stream())));
    }
}

#[rstest]
#[case::interim_responses(73, EndlessKind::InterimResponses)]
#[case::sized_body(74, EndlessKind::SizedBody)]
#[case::chunked_body(75, EndlessKind::ChunkedBody)]
#[case::tiny_chunks(76, EndlessKind::TinyChunks)]
fn unrepeatable_call(#[case] number: u8, #[case] kind: EndlessKind) {
    let fixture = GatewayFixture::ready(PROGRAM, number);
    for replica in 0..fixture.standin.replicas.len() {
        fixture.standin.set_replica_mode(replica, ReplicaMode::Endless(kind));
    }
    let response = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.signature), (502, None));
    assert_eq!(fixture.runs_of("r1"), 1);
}

#[test]
fn refused_call() {
    let fixture = GatewayFixture::ready(PROGRAM, 77);
    let mode = ReplicaMode::Endless(EndlessKind::RefusalBody);
    fixture.standin.set_replica_mode(last_replica(&fixture), mode);
    let response = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((response.status, response.body.as_deref()), (200, Some("answer to r1")));
    assert_eq!(fixture.runs_of("r1"), 1);
}

/// Heads that come slowly were each held in a buffer of its own, whatever their number (LOST: the process runs out
/// of memory).
#[test]
fn many_slow_heads() {
    let standin = DeploymentStandin::start_with(&[SERVICE, ENDLESS_SERVICE, ENDLESS_SERVICE]);
    let standin = Arc::new(standin.expect("the stand-in starts"));
    let mut document = config_with_endless_service();
    document["services"][1]["max-conns"] = (2 * SLOW_HEADS).into();
    standin.publish_document(&document);
    let fixture = GatewayFixture::start_host(PROGRAM, standin, 86).serving();
    for replica in ENDLESS_REPLICAS {
        let mode = ReplicaMode::Endless(EndlessKind::SlowHead);
        fixture.standin.set_replica_mode(replica, mode);
    }
    let callers: Vec<RawCaller> = (0..SLOW_HEADS)
        .map(|number| {
            let mut caller = RawCaller::connect(&fixture.ip).expect("the host accepts");
            caller.request("POST", "/book/1", &format!("r{number}")).expect("the host reads");
            caller
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let ran = fixture.standin.runs().len();
    for call in 0..4 {
        let id = format!("sound{call}");
        let response = fixture.call("GET", "/sound/1", &id, Some(TEAM_KEY));
        assert_eq!((response.status, response.body), (200, Some(format!("answer to {id}"))));
    }
    drop(callers);
    let peak = fixture.peak_memory_kib().expect("the process is the same");
    println!("peak resident memory: {peak} KiB after {ran} runs");
    assert!(ran > SLOW_HEADS / 2, "{ran} calls ran");
    assert!(peak < HOST_MEMORY_KIB, "{peak} KiB of {HOST_MEMORY_KIB} KiB");
}

#[rstest]
#[case::chunked_body(80, &[EndlessKind::ChunkedBody])]
#[case::tiny_chunks(81, &[EndlessKind::TinyChunks])]
#[case::stream_event(82, &[EndlessKind::StreamEvent])]
#[case::empty_events(83, &[EndlessKind::EmptyEvents])]
#[case::heads(84, &[EndlessKind::HeaderLine, EndlessKind::InterimResponses])]
#[case::every_kind(85, &EndlessKind::ALL)]
fn bounded_memory(#[case] number: u8, #[case] kinds: &[EndlessKind]) {
    let standin = DeploymentStandin::start_with(&[SERVICE, ENDLESS_SERVICE, ENDLESS_SERVICE]);
    let standin = Arc::new(standin.expect("the stand-in starts"));
    standin.publish_document(&config_with_endless_service());
    let fixture = GatewayFixture::start_host(PROGRAM, standin, number).serving();
    std::thread::scope(|scope| {
        for call in 0..CONCURRENT_CALLS {
            let kind = kinds[call % kinds.len()];
            for replica in ENDLESS_REPLICAS {
                fixture.standin.set_replica_mode(replica, ReplicaMode::Endless(kind));
            }
            let route = match kind {
                EndlessKind::StreamEvent | EndlessKind::EmptyEvents => "brief",
                _ if call % 2 == 0 => "look",
                _ => "book",
            };
            let (path, id) = (format!("/{route}/{call}"), format!("r{call}"));
            let fixture = &fixture;
            scope.spawn(move || fixture.call("POST", &path, &id, Some(TEAM_KEY)));
        }
        for call in 0..4 {
            let id = format!("sound{call}");
            let response = fixture.call("GET", "/sound/1", &id, Some(TEAM_KEY));
            assert_eq!((response.status, response.body), (200, Some(format!("answer to {id}"))));
        }
    });
    let peak = fixture.peak_memory_kib().expect("the process is the same");
    println!("peak resident memory: {peak} KiB");
    assert!(peak < HOST_MEMORY_KIB, "{peak} KiB of {HOST_MEMORY_KIB} KiB");
}
