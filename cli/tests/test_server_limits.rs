//! Servers that name how many requests a second they accept from all hosts together.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use testutils::bounded_wait::wait_for;
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

#[test]
fn limits_of_all_servers() {
    let (standin, hosts) = start_hosts([150, 151, 152], 2);
    let hosts = hosts.each_ref();
    (0..2).for_each(|index| standin.set_limit(index, Some("1")));
    let named_at = Instant::now();
    send_traffic(&hosts, CONTACT_TIME);
    let host = hosts[0];
    let (mut served, mut refused) = (0, 0);
    for number in 0..60 {
        let id = format!("all-{number}");
        let sent_at = Instant::now();
        let response = host.call("POST", "/book/1", &id, Some(TEAM_KEY));
        assert!(sent_at.elapsed() < Duration::from_secs(1), "answered at once");
        match response.status {
            200 => served += 1,
            503 => {
                refused += 1;
                assert_eq!(host.runs_of(&id), 0, "refused as not run");
                let retry_after = response.retry_after.and_then(|text| text.parse::<f64>().ok());
                assert!(retry_after.is_some_and(|time| time > 0.0), "{retry_after:?}");
            }
            status => panic!("status {status}"),
        }
        thread::sleep(PERIOD * 2);
    }
    assert!(refused > 0 && served > 0, "{refused} refused, {served} served");
    for index in 0..2 {
        let runs = runs_since(&standin, index, named_at + CONTACT_TIME);
        assert!(most_in_window(&runs) <= allowed(1.0), "server {index}");
    }
}

#[test]
fn end_of_limit() {
    let (standin, hosts) = start_hosts([153, 154], 1);
    let hosts = hosts.each_ref();
    standin.set_limit(0, Some("2"));
    send_traffic(&hosts, CONTACT_TIME);
    standin.set_limit(0, None);
    // Until all have heard it, and the rate has risen.
    send_traffic(&hosts, Duration::from_secs(12));
    let answers = send_traffic(&hosts, Duration::from_secs(2));
    let served = answers.iter().filter(|status| **status == 200).count();
    assert!(served > 20 && served == answers.len(), "{served} of {} served", answers.len());
}

#[test]
fn limit_of_new_process() {
    let (standin, [host]) = start_hosts([155], 1);
    standin.set_limit(0, Some("0.2"));
    send_traffic(&[&host], CONTACT_TIME);
    assert_eq!(host.level("limited_servers"), Some(1));
    standin.replace_replica(0, "i-new");
    wait_for(|| host.call("GET", "/look/1", "new", Some(TEAM_KEY)).status == 200);
    let answers = send_traffic(&[&host], Duration::from_secs(1));
    let refused = answers.iter().filter(|status| **status != 200).count();
    assert!(answers.len() > 5 && refused == 0, "{refused} of {} refused", answers.len());
}

#[test]
fn silent_servers() {
    // Requests at servers that never answer are hedged at the one that names a limit.
    let (standin, hosts) = start_hosts([156, 157, 158], 3);
    let hosts = hosts.each_ref();
    standin.set_limit(0, Some("1"));
    let named_at = Instant::now();
    send_traffic(&hosts, CONTACT_TIME);
    (1..3).for_each(|index| standin.silence_replica(index, Duration::from_secs(3)));
    send_traffic(&hosts, Duration::from_secs(10));
    let runs = runs_since(&standin, 0, named_at + CONTACT_TIME);
    let most = most_in_window(&runs);
    assert!(most <= allowed(1.0), "{most} requests in a window, {} allowed", allowed(1.0));
}

#[rstest]
#[case(159, "")]
#[case(160, "-1")]
#[case(161, "NaN")]
#[case(162, "many")]
fn malformed_limit(#[case] number: u8, #[case] field: &str) {
    let (standin, [host]) = start_hosts([number], 1);
    standin.set_limit(0, Some(field));
    for request in 0..20 {
        let id = format!("r{request}");
        assert_eq!(host.call("GET", "/look/1", &id, Some(TEAM_KEY)).status, 200);
    }
    assert!(host.metrics().contains("event=\"server_notice_skipped\"} 20"));
}
