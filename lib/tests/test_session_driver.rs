//! The session driver with scripted servers: whole requests on real threads.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pomelostack_lib::answer_store::AnswerStore;
use pomelostack_lib::answer_table::AnswerLimits;
use pomelostack_lib::app_server::AppAnswer;
use pomelostack_lib::crash_suspects::CrashSuspects;
use pomelostack_lib::engine::RequestPriority;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::not_run::NotRunRefusal;
use pomelostack_lib::request_router::RequestRouter;
use pomelostack_lib::request_router::ServerInfo;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::resource::IdempotencyRule;
use pomelostack_lib::resource::LatencyTarget;
use pomelostack_lib::resource::ServiceKind;
use pomelostack_lib::resource::ServiceResource;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::retry_budget::RetryBudget;
use pomelostack_lib::session_claim::ClaimDecision;
use pomelostack_lib::session_claim::ClaimPort;
use pomelostack_lib::session_driver::SessionDriver;
use pomelostack_lib::session_ports::SessionCounters;
use pomelostack_lib::session_ports::SessionPorts;
use pomelostack_lib::session_registry::SessionRegistry;
use pomelostack_lib::session_request::CallerSink;
use pomelostack_lib::session_request::CheckedRequest;
use pomelostack_lib::session_request::RequestWork;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::session_request::SinkState;
use pomelostack_lib::timestamp::ProcessClock;
use rstest::rstest;
use testutils::scripted_servers::AttemptScript;
use testutils::scripted_servers::ScriptedServers;
use testutils::scripted_servers::scripted_token;

const MAX_TOKENS: u32 = 12;

#[derive(Default)]
struct RecordingSink {
    text: String,
    ends: Vec<SessionEnd>,
}

impl CallerSink for RecordingSink {
    fn accepted(&mut self, _id: RequestId) {}

    fn token(&mut self, chunk: &TokenChunk) -> SinkState {
        self.text.push_str(&chunk.text);
        SinkState::Open
    }

    fn finish(&mut self, end: &SessionEnd) {
        self.ends.push(end.clone());
    }
}

/// Wins every claim and keeps what became of it.
#[derive(Default)]
struct RecordingClaims {
    completed: Mutex<u32>,
    released: Mutex<u32>,
}

impl ClaimPort for RecordingClaims {
    fn claim(&self, _request: &CheckedRequest) -> ClaimDecision {
        ClaimDecision::Won { fence: None }
    }

    fn complete(&self, _request: &CheckedRequest, _answer: &AppAnswer) {
        *self.completed.lock().unwrap() += 1;
    }

    fn release(&self, _request: &CheckedRequest, _refusal: &NotRunRefusal) {
        *self.released.lock().unwrap() += 1;
    }
}

struct DriverRig {
    servers: ScriptedServers,
    claims: Arc<RecordingClaims>,
    ports: SessionPorts,
    addresses: Vec<SocketAddr>,
}

impl DriverRig {
    fn new(server_count: u16) -> Self {
        let servers = ScriptedServers::default();
        let clock = ProcessClock::start();
        let zone = ZoneName::try_from("salish-a").unwrap();
        let host = HostId::try_from("entry-1").unwrap();
        let mut router = RequestRouter::new(zone.clone(), 1);
        let addresses: Vec<SocketAddr> =
            (1..=server_count).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
        let infos = addresses.iter().map(|address| server_info(*address, &zone)).collect();
        router.set_servers(clock.now(), infos);
        let limits = AnswerLimits {
            max_entries: 10,
            max_bytes: 1 << 20,
            retention: Duration::from_secs(60),
        };
        let claims = Arc::new(RecordingClaims::default());
        let ports = SessionPorts {
            clock,
            router: Arc::new(Mutex::new(router)),
            connector: Arc::new(servers.clone()),
            claims: Some(claims.clone()),
            answers: Arc::new(AnswerStore::new(clock, limits)),
            suspects: Arc::new(Mutex::new(CrashSuspects::new(host))),
            budget: Arc::new(Mutex::new(RetryBudget::new(20))),
            registry: Arc::new(SessionRegistry::new()),
            counters: Arc::new(SessionCounters::default()),
        };
        Self { servers, claims, ports, addresses }
    }

    fn run(&self, request: CheckedRequest) -> RecordingSink {
        let mut sink = RecordingSink::default();
        SessionDriver::new(self.ports.clone()).run(request, &mut sink);
        assert_eq!(sink.ends.len(), 1, "one final answer");
        assert!(self.ports.registry.running().is_empty());
        sink
    }

    fn model_request(&self) -> CheckedRequest {
        let work = RequestWork::Model { prompt: "a b c d".into(), max_tokens: MAX_TOKENS };
        self.request(work, true)
    }

    fn alert_request(&self) -> CheckedRequest {
        let work = RequestWork::App {
            method: "POST".to_owned(),
            path: "/alert".to_owned(),
            headers: Vec::new(),
            body: b"gust".as_slice().into(),
        };
        self.request(work, false)
    }

    fn request(&self, work: RequestWork, idempotent: bool) -> CheckedRequest {
        let now = self.ports.clock.now();
        CheckedRequest {
            id: RequestId { origin: 7, sequence: 1 },
            team: TeamName::try_from("clubs").unwrap(),
            service: Arc::new(service()),
            work,
            idempotency_key: Some("key-1".to_owned()),
            idempotent,
            deadline: now + Duration::from_secs(30),
            accepted_at: now,
            priority: RequestPriority::default(),
        }
    }
}

fn server_info(address: SocketAddr, zone: &ZoneName) -> ServerInfo {
    let name = format!("server-{}", address.port());
    ServerInfo {
        id: ServerId::try_from(name.as_str()).unwrap(),
        host: HostId::try_from(name.as_str()).unwrap(),
        address,
        zone: zone.clone(),
        service: service().name,
        state: ServerState::Live,
        concurrency: 4,
    }
}

fn service() -> ServiceResource {
    ServiceResource {
        name: ServiceName::try_from("briefing").unwrap(),
        kind: ServiceKind::Model,
        model: Some("forecast".to_owned()),
        latency_target: LatencyTarget {
            first_token: Duration::from_secs(1),
            token_gap: Duration::from_millis(46),
            share_permille: 950,
        },
        idempotency: IdempotencyRule {
            idempotent_paths: Vec::new(),
            non_idempotent_paths: Vec::new(),
        },
        fencing: FencingCheck::Ignored,
        static_servers: Vec::new(),
        default_deadline: Duration::from_secs(30),
        server_concurrency: 4,
        min_replicas: 1,
        max_replicas: 4,
    }
}

fn whole_text() -> String {
    (0..MAX_TOKENS).map(scripted_token).collect()
}

#[rstest]
#[case::no_fault(&[])]
#[case::lost(&[AttemptScript::LostAfter(5)])]
#[case::refused(&[AttemptScript::Refused])]
#[case::not_connected(&[AttemptScript::NotConnected])]
#[case::silent_once(&[AttemptScript::SilentAfter(3)])]
#[case::silent_twice(&[AttemptScript::SilentAfter(3), AttemptScript::SilentAfter(0)])]
#[case::wrong_end(&[AttemptScript::WrongEnd])]
fn whole_answer(#[case] scripts: &[AttemptScript]) {
    let rig = DriverRig::new(2);
    for script in scripts {
        rig.servers.script(rig.addresses[0], script.clone());
    }
    let sink = rig.run(rig.model_request());
    assert_eq!(sink.ends[0].code(), ResultCode::Complete);
    assert_eq!(sink.text, whole_text());
    let kept = rig.ports.answers.read_from(RequestId { origin: 7, sequence: 1 }, 4).unwrap();
    let kept: String = kept.chunks.into_iter().map(|chunk| chunk.text).collect();
    assert_eq!(kept, (4..MAX_TOKENS).map(scripted_token).collect::<String>());
}

#[test]
fn resumed_offset() {
    let rig = DriverRig::new(2);
    rig.servers.script(rig.addresses[0], AttemptScript::LostAfter(5));
    rig.run(rig.model_request());
    let resumed: Vec<u32> = rig.servers.journal().iter().map(|line| line.resume_from).collect();
    assert_eq!(resumed, [0, 5]);
}

#[test]
fn silent_probe() {
    let rig = DriverRig::new(2);
    rig.servers.script(rig.addresses[0], AttemptScript::SilentAfter(3));
    rig.run(rig.model_request());
    let addresses: Vec<SocketAddr> = rig.servers.journal().iter().map(|l| l.address).collect();
    assert_eq!(addresses, [rig.addresses[0], rig.addresses[0]]);
    assert!(rig.servers.retired().contains(&rig.addresses[0]));
}

#[rstest]
#[case::whole(AttemptScript::Whole, ResultCode::Complete, 1)]
#[case::lost(AttemptScript::LostAfter(0), ResultCode::ServerLost, 1)]
#[case::malformed(AttemptScript::WrongEnd, ResultCode::BadServerAnswer, 1)]
#[case::refused(AttemptScript::Refused, ResultCode::Complete, 1)]
#[case::not_connected(AttemptScript::NotConnected, ResultCode::Complete, 1)]
fn single_run(#[case] script: AttemptScript, #[case] code: ResultCode, #[case] runs: usize) {
    let rig = DriverRig::new(2);
    rig.servers.script(rig.addresses[0], script);
    let sink = rig.run(rig.alert_request());
    assert_eq!(sink.ends[0].code(), code);
    assert_eq!(rig.servers.journal().len(), runs);
    let completed = u32::from(code == ResultCode::Complete);
    assert_eq!(*rig.claims.completed.lock().unwrap(), completed);
}

#[test]
fn refused_everywhere() {
    let rig = DriverRig::new(2);
    for address in &rig.addresses {
        rig.servers.script(*address, AttemptScript::Refused);
    }
    let sink = rig.run(rig.alert_request());
    let SessionEnd::NotRun { refusal, .. } = &sink.ends[0] else { panic!("{:?}", sink.ends) };
    assert_eq!(refusal.code(), ResultCode::RetriesExhausted);
    assert!(matches!(refusal.proof(), NotRunProof::EveryAttemptRefused(_)));
    assert_eq!(*rig.claims.released.lock().unwrap(), 1);
    assert!(rig.servers.journal().is_empty());
}

#[test]
fn key_required() {
    let rig = DriverRig::new(1);
    let mut request = rig.alert_request();
    request.idempotency_key = None;
    let sink = rig.run(request);
    assert_eq!(sink.ends[0].code(), ResultCode::KeyRequired);
    assert!(rig.servers.journal().is_empty());
}
