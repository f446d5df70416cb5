//! Requests of a team at its cap wait while another team's requests are served. Runs a whole
//! cluster and sends requests over HTTP.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use testutils::dev_cluster::DevCluster;
use testutils::dev_cluster::DevPlan;
use testutils::dev_cluster::dev_configuration;

const TIMEOUT: Duration = Duration::from_secs(30);
const CAP: usize = 2;

fn send(address: SocketAddr, team: &str, max_tokens: u32) -> TcpStream {
    let body = json!({ "model": "briefing", "max_tokens": max_tokens, "prompt": "Gusts today" });
    let body = body.to_string();
    let raw = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\
         Authorization: Bearer dev-token-{team}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).expect("the HTTP listener accepts the connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the socket takes a timeout");
    stream.write_all(raw.as_bytes()).expect("the request is sent");
    stream
}

fn starts(cluster: &DevCluster) -> usize {
    cluster.platform().engines().iter().map(|(_, engine)| engine.started_requests().len()).sum()
}

#[test]
fn team_at_cap() {
    let mut plan = DevPlan::for_test(1);
    // Makes the answers of the greedy team last longer than the test.
    plan.engine.decode_step = Duration::from_millis(50);
    let cluster = DevCluster::start(plan).expect("the cluster starts");
    let mut configuration = dev_configuration();
    configuration["teams"][1]["max_in_flight"] = json!(CAP);
    cluster.publish(&configuration).expect("the cap is published");
    let address = cluster.plan().http;
    let greedy: Vec<_> = (0..3 * CAP).map(|_| send(address, "sailors", 4_000)).collect();
    let begun = Instant::now();
    while starts(&cluster) < CAP {
        assert!(begun.elapsed() < TIMEOUT, "the greedy team's first requests start");
        std::thread::yield_now();
    }
    let mut reply = String::new();
    let mut modest = send(address, "race-office", 1);
    modest.read_to_string(&mut reply).expect("the reply ends");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert_eq!(starts(&cluster), CAP + 1, "the greedy team is held at its cap");
    drop(greedy);
    cluster.stop();
}
