//! Callers that disconnect or stop reading must not occupy a backend server.

use std::io::ErrorKind;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::TcpStream;

use pomelostack_lib::ids::HostId;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use testutils::app_standin::AppFault;
use testutils::bounded_wait::WAIT_TIMEOUT;
use testutils::bounded_wait::wait_for;
use testutils::dev_cluster::APP_SERVICE;
use testutils::dev_cluster::DevCluster;
use testutils::dev_cluster::DevPlan;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::dev_cluster::TEAMS;
use testutils::dev_cluster::dev_configuration;
use testutils::engine_standin::EngineFault;
use testutils::front_door_client::FrontDoorClient;
use testutils::journal::JournalEntry;
use testutils::journal::RunOutcome;

/// Starts one entry host and one backend server per service, which runs one request at a time.
fn start(overrides: Value) -> DevCluster {
    let plan = DevPlan::for_test(1);
    let mut fields = plan.overrides.clone();
    let more = overrides.as_object().expect("overrides are an object").clone();
    fields.as_object_mut().expect("overrides are an object").extend(more);
    let plan = DevPlan { overrides: fields, model_servers: 1, app_servers: 1, ..plan };
    let cluster = DevCluster::start(plan).expect("the cluster starts");
    let mut configuration = dev_configuration();
    for service in configuration["services"].as_array_mut().expect("it lists services") {
        service["server_concurrency"] = json!(1);
    }
    cluster.publish(&configuration).expect("the configuration is published");
    cluster
}

/// Sends a request without reading the reply.
fn send(cluster: &DevCluster, path: &str, key: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.plan().http).expect("the front door listens");
    stream.write_all(request(path, key, body).as_bytes()).expect("the request is sent");
    stream
}

fn request(path: &str, key: &str, body: &str) -> String {
    let (token, length) = (TEAMS[0].1, body.len());
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         idempotency-key: {key}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn completion(prompt: &str, max_tokens: u32, stream: bool) -> String {
    json!({ "model": MODEL_SERVICE, "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
        .to_string()
}

fn runs(cluster: &DevCluster, service: &str) -> Vec<JournalEntry> {
    let platform = cluster.platform();
    if service == MODEL_SERVICE {
        platform.engines().iter().flat_map(|(_, engine)| engine.journal().entries()).collect()
    } else {
        platform.apps().iter().flat_map(|(_, app)| app.journal().entries()).collect()
    }
}

fn slow_down(cluster: &DevCluster, extra_ms: u64) {
    let platform = cluster.platform();
    let of_engine = EngineFault::SlowSteps { extra_ms };
    let engines: Vec<(HostId, _)> = platform.engines();
    engines.iter().for_each(|(_, engine)| engine.apply_fault(of_engine));
    platform.apps().iter().for_each(|(_, app)| app.apply_fault(AppFault::Slow { extra_ms }));
}

/// One caller holds the only slot, and a second disconnects while it waits. A third is served, and
/// the second request never reaches the backend server.
#[rstest]
#[case::model(MODEL_SERVICE, "/v1/completions", completion("Gusts at noon", 2, false))]
#[case::stream(MODEL_SERVICE, "/v1/completions", completion("Gusts at noon", 2, true))]
#[case::app(APP_SERVICE, "/services/lookup/alert", "gust".to_owned())]
fn disconnected_in_queue(#[case] service: &str, #[case] path: &str, #[case] body: String) {
    let cluster = start(json!({}));
    slow_down(&cluster, 500);
    let first = send(&cluster, path, "first", &body);
    wait_for(|| runs(&cluster, service).iter().any(|run| run.end_ms.is_none()));
    let running_requests = || cluster.entries()[0].running_requests();
    let second = send(&cluster, path, "second", &body);
    wait_for(|| running_requests() == 2);
    drop(second);
    wait_for(|| running_requests() == 1);
    let caller = FrontDoorClient::new(cluster.plan().http, TEAMS[0].1);
    assert_eq!(caller.post(path, Some("third"), &body).status, 200);
    drop(first);
    assert_eq!(runs(&cluster, service).len(), 2);
    cluster.stop();
}

/// A caller that disconnects while its call runs frees the slot when the call ends at the latest.
#[rstest]
#[case::model(MODEL_SERVICE, "/v1/completions", completion("Gusts at noon", 20, true))]
#[case::app(APP_SERVICE, "/services/lookup/alert", "gust".to_owned())]
fn disconnected_while_running(#[case] service: &str, #[case] path: &str, #[case] body: String) {
    let cluster = start(json!({}));
    slow_down(&cluster, 50);
    let first = send(&cluster, path, "first", &body);
    wait_for(|| runs(&cluster, service).iter().any(|run| run.end_ms.is_none()));
    first.shutdown(Shutdown::Both).expect("the connection is open");
    let caller = FrontDoorClient::new(cluster.plan().http, TEAMS[0].1);
    assert_eq!(caller.post(path, Some("next"), &body).status, 200);
    assert_eq!(runs(&cluster, service).len(), 2);
    cluster.stop();
}

/// The engine completes a stream at its own speed even if the caller does not read it.
#[test]
fn unread_stream() {
    let cluster = start(json!({ "front_door": { "write_timeout_ms": 60_000 } }));
    // The answer exceeds the socket buffers.
    let prompt = "Write the log of the whole season. [[tokens=30000]]";
    let body = completion(prompt, 30_000, true);
    let unread = send(&cluster, "/v1/completions", "unread", &body);
    wait_for(|| {
        let runs = runs(&cluster, MODEL_SERVICE);
        runs.iter().any(|run| run.outcome == Some(RunOutcome::Done))
    });
    let caller = FrontDoorClient::new(cluster.plan().http, TEAMS[0].1);
    assert_eq!(caller.complete(MODEL_SERVICE, "next", 2).status, 200);
    drop(unread);
    cluster.stop();
}

/// A caller that keeps sending requests and reads no replies is disconnected: a write fails.
#[test]
fn unread_replies() {
    let cluster = start(json!({ "front_door": { "write_timeout_ms": 100 } }));
    let mut stream = TcpStream::connect(cluster.plan().http).expect("the front door listens");
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("the socket takes a timeout");
    let body = "x".repeat(1 << 20);
    let refused = (0..256).find_map(|index| {
        let raw = request("/services/lookup/alert", &format!("unread-{index}"), &body);
        stream.write_all(raw.as_bytes()).err()
    });
    let kind = refused.expect("the buffers are finite").kind();
    assert!(matches!(kind, ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{kind:?}");
    cluster.stop();
}

/// A caller that stops reading for less than the write timeout gets the complete reply.
#[test]
fn paused_reader() {
    let cluster = start(json!({ "front_door": { "write_timeout_ms": 60_000 } }));
    let body = completion("Write it all down. [[tokens=30000]]", 30_000, true);
    let mut stream = send(&cluster, "/v1/completions", "late", &body);
    wait_for(|| {
        let runs = runs(&cluster, MODEL_SERVICE);
        runs.iter().any(|run| run.outcome == Some(RunOutcome::Done))
    });
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket takes a timeout");
    let mut text = String::new();
    let mut piece = [0; 65_536];
    while !text.ends_with("0\r\n\r\n") {
        let count = stream.read(&mut piece).expect("the reply goes on");
        assert!(count > 0, "the reply was cut off after {} bytes", text.len());
        text.push_str(&String::from_utf8_lossy(&piece[..count]));
    }
    assert!(text.contains("data: [DONE]"));
    cluster.stop();
}
