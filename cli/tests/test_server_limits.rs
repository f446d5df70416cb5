//! Servers that name how many requests a second they accept from all hosts together.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Span over which requests at a server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;

/// Time after a server first named its limit from which on it holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time between two requests to a host.
const PERIOD: Duration = Duration::from_millis(50);

/// Sends requests to each host until the time is over; returns the statuses of the answers.
fn send_traffic(hosts: &[&GatewayFixture], length: Duration) -> Vec<u16> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers = hosts.iter().enumerate().map(|(number, host)| {
            let stop = &stop;
            scope.spawn(move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("r-{number}-{}", answers.len());
                    answers.push(host.call("GET", "/look/1", &id, Some(TEAM_KEY)).status);
                    thread::sleep(PERIOD);
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        thread::sleep(length);
        stop.store(true, Ordering::SeqCst);
        callers.into_iter().flat_map(|caller| caller.join().expect("valid in tests")).collect()
    })
}

/// Returns when a server ran requests after a time.
fn runs_since(standin: &DeploymentStandin, index: usize, since: Instant) -> Vec<Instant> {
    let runs = standin.runs().into_iter();
    runs.filter(|run| run.replica == index && run.at >= since).map(|run| run.at).collect()
}

/// Returns the largest number of requests in a window.
fn most_in_window(runs: &[Instant]) -> usize {
    let in_window = |begin: &Instant| {
        runs.iter()
            .filter(|at| (Duration::ZERO..WINDOW).contains(&at.duration_since(*begin)))
            .count()
    };
    runs.iter().map(in_window).max().unwrap_or_default()
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + SLACK) as usize
}

/// Starts hosts in front of servers.
fn start_hosts<const COUNT: usize>(
    numbers: [u8; COUNT],
    servers: usize,
) -> (Arc<DeploymentStandin>, [GatewayFixture; COUNT]) {
    let services = vec![SERVICE; servers];
    let standin = Arc::new(DeploymentStandin::start_with(&services).expect("valid in tests"));
    standin.publish_config(3);
    let hosts = numbers
        .map(|number| GatewayFixture::start_host(PROGRAM, standin.clone(), number).serving());
    (standin, hosts)
}

#[test]
fn limit_of_fleet() {
    let (standin, hosts) = start_hosts([140, 141, 142, 143], 3);
    let hosts = hosts.each_ref();
    send_traffic(&hosts, CONTACT_TIME);
    standin.set_limit(0, Some("1"));
    let named_at = Instant::now();
    let answers = send_traffic(&hosts, Duration::from_secs(14));
    let runs = runs_since(&standin, 0, named_at + CONTACT_TIME);
    let most = most_in_window(&runs);
    assert!(most <= allowed(1.0), "{most} requests in a window, {} allowed", allowed(1.0));
    assert!(!runs.is_empty(), "a limited server is used");
    let unserved = answers.iter().filter(|status| **status != 200).count();
    assert_eq!(unserved, 0, "the other servers have room");
}
