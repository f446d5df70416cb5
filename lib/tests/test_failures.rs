//! End-to-end tests of platform failures: host and zone reclaims, engine crashes, silent
//! connections, leaving entry hosts and outages of the log. Streamed answers must stay complete
//! and unchanged.

use std::thread;
use std::time::Duration;

use pomelostack_lib::entry_leave::LeaveReason;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::result_code::RequestOutcome;
use pomelostack_lib::result_code::ResultCode;
use rstest::rstest;
use testutils::bounded_wait::wait_for;
use testutils::cloud_standin::CloudFault;
use testutils::dev_cluster::DevCluster;
use testutils::dev_cluster::DevPlan;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::dev_cluster::TEAMS;
use testutils::engine_standin::EngineFault;
use testutils::engine_standin::EngineSettings;
use testutils::engine_standin::whole_answer;
use testutils::front_door_client::FrontDoorClient;
use testutils::front_door_client::StreamedReply;
use testutils::log_standin::LogFault;

const PROMPT: &str = "Write the regatta briefing for the start at noon. [[tokens=60]]";
const MAX_TOKENS: u32 = 60;
/// Result code that rejects a request because it has crashed servers.
const CRASH_REFUSED_CODE: u16 = 207;
/// Number of tokens after which the failure is injected.
const FAIL_AFTER_TOKENS: usize = 8;

fn start(hosts: u16) -> DevCluster {
    let plan = DevPlan::for_test(hosts);
    let engine = EngineSettings { decode_step: Duration::from_millis(20), ..plan.engine.clone() };
    DevCluster::start(DevPlan { engine, ..plan }).expect("the cluster starts")
}

fn caller(cluster: &DevCluster, index: u16) -> FrontDoorClient {
    FrontDoorClient::new(cluster.plan().http_address(index), TEAMS[0].1)
}

fn expected() -> String {
    whole_answer("briefing-7b", PROMPT, MAX_TOKENS)
}

/// Returns the host of the engine that is running a request.
fn busy_host(cluster: &DevCluster) -> HostId {
    let engines = cluster.platform().engines();
    let busy = engines.into_iter().find(|(_, engine)| {
        engine.is_up() && engine.journal().entries().iter().any(|run| run.end_ms.is_none())
    });
    busy.expect("an engine runs the request").0
}

/// Streams an answer and injects a failure after [`FAIL_AFTER_TOKENS`] tokens.
fn stream_with_failure(cluster: &DevCluster, fail: impl Fn(&HostId)) -> StreamedReply {
    caller(cluster, 0).stream(MODEL_SERVICE, PROMPT, MAX_TOKENS, |tokens| {
        if tokens == FAIL_AFTER_TOKENS {
            fail(&busy_host(cluster));
        }
    })
}

fn assert_complete(streamed: &StreamedReply) {
    assert_eq!((streamed.is_done, streamed.error), (true, None), "{streamed:?}");
    assert_eq!(streamed.tokens.concat(), expected());
}

fn inject_engine_fault(cluster: &DevCluster, host: &HostId, fault: EngineFault) {
    let engines = cluster.platform().engines();
    let engine = engines.iter().find(|(found, _)| found == host).expect("the engine is listed");
    engine.1.apply_fault(fault);
}

#[test]
fn crashed_server() {
    let cluster = start(1);
    let streamed = stream_with_failure(&cluster, |host| {
        inject_engine_fault(&cluster, host, EngineFault::Crash { restart_after_ms: None });
    });
    assert_complete(&streamed);
    cluster.stop();
}

#[test]
fn silent_connections() {
    let cluster = start(1);
    let streamed = stream_with_failure(&cluster, |host| {
        inject_engine_fault(&cluster, host, EngineFault::SilenceConnections);
    });
    assert_complete(&streamed);
    cluster.stop();
}

#[rstest]
#[case::ample(3_000)]
#[case::short(400)]
#[case::none(0)]
fn reclaimed_server(#[case] left_ms: u64) {
    let cluster = start(1);
    let streamed = stream_with_failure(&cluster, |host| {
        let fault = CloudFault::ReclaimHost { host: host.clone(), left_ms };
        cluster.platform().cloud().apply_fault(fault);
    });
    assert_complete(&streamed);
    cluster.stop();
}

#[test]
fn reclaimed_entry() {
    let mut cluster = start(2);
    let leaving_host = cluster.take_entry(0);
    let first = caller(&cluster, 0);
    let (sender, receiver) = std::sync::mpsc::channel();
    let leaving = thread::spawn(move || {
        receiver.recv().expect("the stream begins");
        leaving_host.leave(LeaveReason::Reclaimed { left: Duration::from_secs(1) });
    });
    let cut = first.stream(MODEL_SERVICE, PROMPT, MAX_TOKENS, |tokens| {
        if tokens == FAIL_AFTER_TOKENS {
            sender.send(()).expect("the leaving host waits");
        }
    });
    leaving.join().expect("the leaving host does not panic");
    assert!(!cut.is_done, "the stream ended before the host left: {cut:?}");
    let rest = caller(&cluster, 1).fetch_remaining_text(&cut.request_id, cut.tokens.len());
    assert_eq!(cut.tokens.concat() + &rest, expected());
    cluster.stop();
}

#[test]
fn reclaimed_zone() {
    let cluster = start(1);
    let streamed = stream_with_failure(&cluster, |host| {
        let entries = cluster.platform().registry().current();
        let entry = entries.into_iter().find(|entry| entry.host == *host);
        let zone = entry.expect("the host is listed").zone;
        let fault = CloudFault::ReclaimZone { zone, left_ms: 300 };
        cluster.platform().cloud().apply_fault(fault);
    });
    assert_complete(&streamed);
    cluster.stop();
}

#[test]
fn crash_request() {
    let cluster = start(2);
    let mut codes = Vec::new();
    for round in 0..6 {
        let reply = caller(&cluster, round % 2).complete(MODEL_SERVICE, "[[crash]] now", 10);
        codes.push(reply.code);
    }
    // A crashed engine stays down, so the engines that are down count the crashes.
    let engines = cluster.platform().engines();
    let crashes = engines.iter().filter(|(_, engine)| !engine.is_up()).count();
    assert!(crashes <= 2, "{crashes} servers crashed, codes {codes:?}");
    assert_eq!(codes.last(), Some(&Some(CRASH_REFUSED_CODE)), "{codes:?}");
    let unrelated = caller(&cluster, 1).complete(MODEL_SERVICE, PROMPT, MAX_TOKENS);
    assert_eq!(unrelated.text(), expected());
    cluster.stop();
}

#[test]
fn restart_at_address() {
    // The ports of a host that has left are free when `leave` returns, also while peers still hold
    // connections to it.
    let mut cluster = start(2);
    let mut entry = cluster.take_entry(1);
    for _ in 0..8 {
        entry.leave(LeaveReason::Planned);
        entry = cluster.plan().start_entry(1).expect("the ports are free");
    }
    entry.leave(LeaveReason::Planned);
    cluster.stop();
}

#[test]
fn start_in_outage() {
    let mut cluster = start(2);
    cluster.take_entry(1).leave(LeaveReason::Planned);
    cluster.platform().log().apply_fault(LogFault::Down(true));
    let entry = cluster.plan().start_entry(1).expect("an entry host starts without the log");
    let second = caller(&cluster, 1);
    wait_for(|| second.get("/readyz").status == 200);
    assert_eq!(second.get("/readyz").json()["config_standing"], "peer");
    wait_for(|| second.complete(MODEL_SERVICE, PROMPT, 1).status == 200);
    assert_eq!(second.complete(MODEL_SERVICE, PROMPT, MAX_TOKENS).text(), expected());
    entry.leave(LeaveReason::Planned);
    cluster.stop();
}

#[test]
fn calls_in_outage() {
    let cluster = start(1);
    let caller = caller(&cluster, 0);
    cluster.platform().log().apply_fault(LogFault::Down(true));
    assert_eq!(caller.get("/services/lookup/wind").code, Some(0));
    let refused = caller.post_with_deadline("/services/lookup/alert", "gust-1", 300, "gust");
    let code = refused.code.and_then(ResultCode::from_number);
    assert_eq!(code.map(ResultCode::outcome), Some(RequestOutcome::Unknown), "{refused:?}");
    assert_eq!(app_runs(&cluster), ["GET /wind"]);
    cluster.platform().log().apply_fault(LogFault::Down(false));
    wait_for(|| {
        caller.post_with_deadline("/services/lookup/alert", "gust-2", 5_000, "gust").code == Some(0)
    });
    let again = caller.post_with_deadline("/services/lookup/alert", "gust-1", 5_000, "gust");
    let ran = app_runs(&cluster).iter().filter(|run| *run == "POST /alert gust-1").count();
    // The first request with this key may still win its claim, but is never dispatched any more.
    assert_eq!((again.code == Some(0), ran), (ran == 1, ran), "{again:?}");
    cluster.stop();
}

/// Returns the runs of the app servers as method, path and idempotency key.
fn app_runs(cluster: &DevCluster) -> Vec<String> {
    let apps = cluster.platform().apps();
    let runs = apps.iter().flat_map(|(_, app)| app.journal().entries());
    runs.map(|run| match run.key {
        Some(key) => format!("{} {key}", run.work),
        None => run.work,
    })
    .collect()
}
