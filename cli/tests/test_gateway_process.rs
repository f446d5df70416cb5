//! The gateway as a process, before a stand-in of its platform.
//!
//! Verdicts come from what callers get and what the replicas ran; time only bounds a hang.

use std::io::Read as _;
use std::path::Path;
use std::sync::Arc;

use rstest::rstest;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::ROUTE_HOST;
use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::StoreMode;
use testutils::deployment_standin::TEAM_KEY;
use testutils::deployment_standin::event_text;
use testutils::gateway_process::GatewayProcess;
use testutils::hang_guard::wait_for;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// A gateway process and its platform; each test has a loopback address of its own.
struct GatewayFixture {
    standin: Arc<DeploymentStandin>,
    ip: String,
    process: GatewayProcess,
}

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
struct CallerAnswer {
    status: u16,
    signature: Option<String>,
    retry_after: Option<String>,
    /// The body, or `None` if it broke off.
    body: Option<String>,
}

impl GatewayFixture {
    fn start(number: u8) -> Self {
        Self::start_host(Arc::new(DeploymentStandin::start().expect("valid in tests")), number)
    }

    /// Starts a further host before a platform.
    fn start_host(standin: Arc<DeploymentStandin>, number: u8) -> Self {
        let ip = format!("127.0.77.{number}");
        let host = format!("h{number:02}");
        let process = GatewayProcess::start(Path::new(PROGRAM), &standin, &host, &ip)
            .expect("valid in tests");
        Self { standin, ip, process }
    }

    /// Starts a gateway that has a configuration.
    fn ready(number: u8) -> Self {
        let fixture = Self::start(number);
        fixture.standin.publish_config(3);
        fixture.serving()
    }

    /// Waits until the host serves.
    fn serving(self) -> Self {
        let fixture = self;
        wait_for(|| fixture.readiness() == Some(200));
        // The directory may be read a moment later than the configuration.
        wait_for(|| fixture.call("GET", "/look/warm", "warm", Some(TEAM_KEY)).status == 200);
        fixture
    }

    fn agent() -> ureq::Agent {
        ureq::Agent::config_builder().http_status_as_error(false).build().into()
    }

    fn readiness(&self) -> Option<u16> {
        let reply = Self::agent().get(format!("http://{}:7701/ready", self.ip)).call();
        reply.ok().map(|reply| reply.status().as_u16())
    }

    fn metrics(&self) -> String {
        let url = format!("http://{}:9464/metrics", self.ip);
        let reply = Self::agent().get(url).call().expect("valid in tests");
        reply.into_body().read_to_string().expect("valid in tests")
    }

    fn call(&self, method: &str, path: &str, id: &str, key: Option<&str>) -> CallerAnswer {
        let mut request = hyper::http::Request::builder()
            .method(method)
            .uri(format!("http://{}:7700{path}", self.ip))
            .header("Host", ROUTE_HOST)
            .header("Request-Id", id)
            .header("Request-Deadline", "8000")
            .header("Tenant-Id", "forged");
        if let Some(key) = key {
            request = request.header("Authorization", format!("Token {key}"));
        }
        let reply =
            Self::agent().run(request.body(()).expect("valid in tests")).expect("valid in tests");
        let field = |name: &str| {
            reply.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let (signature, retry_after) = (field("replica-signature"), field("retry-after"));
        let status = reply.status().as_u16();
        let mut text = String::new();
        let read = reply.into_body().into_reader().read_to_string(&mut text);
        CallerAnswer { status, signature, retry_after, body: read.is_ok().then_some(text) }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.standin.runs().iter().filter(|run| run.request_id == id).count()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).expect("valid in tests");
        kill_process(Pid::from_raw(id).expect("valid in tests"), signal).expect("valid in tests");
    }
}

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(event_text).collect()
}

#[test]
fn no_configuration() {
    let fixture = GatewayFixture::start(1);
    wait_for(|| fixture.readiness().is_some());
    assert_eq!(fixture.readiness(), Some(503));
    let answer = fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY));
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
}

#[test]
fn whole_answers() {
    let fixture = GatewayFixture::ready(2);
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    assert!(stream.signature.is_some());
    let call = fixture.call("POST", "/book/1", "r2", Some(TEAM_KEY));
    assert_eq!((call.status, call.body.as_deref()), (200, Some("answer to r2")));
    for run in fixture.standin.runs() {
        assert_eq!(run.team.as_deref(), Some("club"), "the caller's own claim was passed on");
        assert!(!run.saw_key);
    }
}

#[test]
fn refused_callers() {
    let fixture = GatewayFixture::ready(3);
    assert_eq!(fixture.call("GET", "/look/1", "r1", Some("nobody")).status, 401);
    assert_eq!(fixture.call("GET", "/nowhere/1", "r2", Some(TEAM_KEY)).status, 404);
    assert_eq!(fixture.runs_of("r1") + fixture.runs_of("r2"), 0);
}

#[test]
fn stream_goes_on() {
    let fixture = GatewayFixture::ready(4);
    fixture.standin.set_mode(0, ReplicaMode::CutAfter(3));
    fixture.standin.set_mode(1, ReplicaMode::CutAfter(9));
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!((stream.status, stream.body), (200, Some(whole_stream())));
    let runs = fixture.standin.runs();
    let resumed = runs.iter().find(|run| run.resumed_after.is_some()).expect("valid in tests");
    assert_eq!(resumed.request_id, "r1");
}

#[test]
fn broken_stream_looks_broken() {
    let fixture = GatewayFixture::ready(5);
    fixture.standin.set_mode(0, ReplicaMode::CutAfter(2));
    fixture.standin.set_mode(1, ReplicaMode::CutAfter(2));
    let stream = fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY));
    assert_eq!(stream.body, None);
    assert_eq!(fixture.runs_of("r1"), 2);
}

#[test]
fn lost_call_not_repeated() {
    let fixture = GatewayFixture::ready(6);
    fixture.standin.set_mode(0, ReplicaMode::LoseAnswer);
    fixture.standin.set_mode(1, ReplicaMode::LoseAnswer);
    let answer = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((answer.status, answer.signature), (502, None));
    assert_eq!(fixture.runs_of("r1"), 1);
}

#[rstest]
#[case(7, "/look/1", ReplicaMode::LoseAnswer)]
#[case(8, "/book/1", ReplicaMode::Refuse)]
fn other_replica_answers(#[case] number: u8, #[case] path: &str, #[case] mode: ReplicaMode) {
    let fixture = GatewayFixture::ready(number);
    // Whichever replica is asked first fails once; the other one answers.
    let first = fixture.standin.runs().last().map_or(0, |run| run.replica);
    fixture.standin.set_mode(first, mode);
    let answer = fixture.call("GET", path, "r1", Some(TEAM_KEY));
    assert_eq!((answer.status, answer.body.as_deref()), (200, Some("answer to r1")));
}

#[test]
fn all_refuse() {
    let fixture = GatewayFixture::ready(9);
    fixture.standin.set_mode(0, ReplicaMode::Refuse);
    fixture.standin.set_mode(1, ReplicaMode::Refuse);
    let answer = fixture.call("POST", "/book/1", "r1", Some(TEAM_KEY));
    assert_eq!((answer.status, answer.signature), (503, None));
    assert!(answer.retry_after.is_some());
    assert_eq!(fixture.runs_of("r1"), 0);
}

#[test]
fn stop_finishes_stream() {
    let mut fixture = GatewayFixture::ready(10);
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        fixture.signal(Signal::TERM);
        wait_for(|| fixture.readiness() != Some(200));
        caller.join().expect("valid in tests")
    });
    assert_eq!(stream.body, Some(whole_stream()));
    assert!(fixture.process.wait_for_end().expect("valid in tests"));
}

#[test]
fn reload_drops_nothing() {
    let fixture = GatewayFixture::ready(11);
    let stream = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.call("POST", "/brief/1", "r1", Some(TEAM_KEY)));
        wait_for(|| fixture.runs_of("r1") == 1);
        std::fs::write(fixture.process.settings(), "{ half a file").expect("valid in tests");
        fixture.signal(Signal::HUP);
        caller.join().expect("valid in tests")
    });
    assert_eq!(stream.body, Some(whole_stream()));
    assert_eq!(fixture.call("GET", "/look/2", "r2", Some(TEAM_KEY)).status, 200);
}

#[test]
fn usage_is_reported() {
    let fixture = GatewayFixture::ready(12);
    wait_for(|| !fixture.standin.usage_reports().is_empty());
    let report = &fixture.standin.usage_reports()[0].body;
    assert!(report["counts"]["club"].as_u64().is_some_and(|count| count > 0), "{report}");
}

#[test]
fn settings_without_signal() {
    let fixture = GatewayFixture::ready(14);
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
    let fixture = GatewayFixture::ready(13);
    let text = fixture.metrics();
    assert!(text.contains("pomelostack_requests_total{code=\"0\",kind=\"idempotent\"}"), "{text}");
    assert!(text.contains("pomelostack_answer_seconds_bucket"));
}

#[rstest]
#[case(20, StoreMode::Refuse)]
#[case(21, StoreMode::LoseAnswers)]
fn store_outage(#[case] number: u8, #[case] mode: StoreMode) {
    let fixture = GatewayFixture::ready(number);
    fixture.standin.set_store(mode);
    wait_for(|| fixture.metrics().contains("call=\"read_directory\",outcome=\"failed\""));
    // The last configuration and directory hold, and a change of the outage is made up for.
    assert_eq!(fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY)).status, 200);
    fixture.standin.publish_config(4);
    assert_eq!(fixture.call("GET", "/look/2", "r2", Some(TEAM_KEY)).status, 200);
    fixture.standin.set_store(StoreMode::Answer);
    wait_for(|| fixture.metrics().contains("event=\"config_adopted\"} 2"));
}

#[test]
fn entries_lapse_in_outage() {
    let fixture = GatewayFixture::ready(22);
    fixture.standin.set_store(StoreMode::Refuse);
    wait_for(|| fixture.metrics().contains("call=\"read_directory\",outcome=\"failed\""));
    fixture.standin.lapse_replica(0);
    fixture.standin.lapse_replica(1);
    fixture.standin.set_store(StoreMode::Answer);
    for number in 0..20 {
        // The servers live, and what the store lost of them is no proof of the contrary.
        let answer = fixture.call("GET", "/look/1", &format!("r{number}"), Some(TEAM_KEY));
        assert_eq!(answer.status, 200);
        if number == 10 {
            fixture.standin.list_replica(0, "ready");
            fixture.standin.list_replica(1, "ready");
        }
    }
}

#[test]
fn duty_handed_on() {
    // The first member holds the duties; it is killed, and the other one reports for both.
    let first = GatewayFixture::ready(30);
    let second = GatewayFixture::start_host(first.standin.clone(), 31).serving();
    let standin = first.standin.clone();
    wait_for(|| !standin.usage_reports().is_empty());
    let fence = standin.usage_reports()[0].fence;
    drop(first);
    wait_for(|| second.call("GET", "/look/1", "r1", Some(TEAM_KEY)).status == 200);
    wait_for(|| standin.usage_reports().iter().any(|report| report.fence > fence));
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
        assert!(counts.all(|other| Some(other) == first), "a window was reported in two ways");
    }
}
