//! A session driver over scripted servers, with a recording sink and recorded claims.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pomelostack_lib::answer_store::AnswerStore;
use pomelostack_lib::answer_table::AnswerLimits;
use pomelostack_lib::app_server::AppResponse;
use pomelostack_lib::crash_suspects::CrashSuspects;
use pomelostack_lib::engine::RequestPriority;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::not_run::NotRunRefusal;
use pomelostack_lib::request_router::RequestRouter;
use pomelostack_lib::request_router::ServerInfo;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::resource::IdempotencyRule;
use pomelostack_lib::resource::LatencyTarget;
use pomelostack_lib::resource::ServiceKind;
use pomelostack_lib::resource::ServiceResource;
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

use crate::scripted_servers::ScriptedServers;
use crate::scripted_servers::scripted_token;

/// Tokens of the answer to [`DriverFixture::model_request`].
pub const MAX_TOKENS: u32 = 12;

/// Id of the fixture's requests.
pub const REQUEST: RequestId = RequestId { origin: 7, sequence: 1 };

/// Records what a caller receives.
#[derive(Default)]
pub struct RecordingSink {
    /// Text of all tokens.
    pub text: String,
    /// Final answers.
    pub ends: Vec<SessionEnd>,
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

/// Wins every claim unless scripted otherwise, and counts completed and released keys.
#[derive(Default)]
pub struct RecordingClaims {
    /// Number of completed keys.
    pub completed: Mutex<u32>,
    /// Number of released keys.
    pub released: Mutex<u32>,
    /// Scripted decisions of the next claims; without one a claim is won.
    pub decisions: Mutex<VecDeque<ClaimDecision>>,
}

impl ClaimPort for RecordingClaims {
    fn claim(&self, _request: &CheckedRequest) -> ClaimDecision {
        let scripted = self.decisions.lock().unwrap().pop_front();
        scripted.unwrap_or(ClaimDecision::Won { fence: None })
    }

    fn complete(&self, _request: &CheckedRequest, _answer: &AppResponse) {
        *self.completed.lock().unwrap() += 1;
    }

    fn release(&self, _request: &CheckedRequest, _refusal: &NotRunRefusal) {
        *self.released.lock().unwrap() += 1;
    }
}

/// A driver and its dependencies.
pub struct DriverFixture {
    /// Backend servers.
    pub servers: ScriptedServers,
    /// Claims.
    pub claims: Arc<RecordingClaims>,
    /// Ports of the driver.
    pub ports: SessionPorts,
    /// Addresses of the servers.
    pub addresses: Vec<SocketAddr>,
}

impl DriverFixture {
    /// Builds a fixture with its own servers.
    pub fn new(server_count: u16) -> Self {
        Self::with_servers(server_count, ScriptedServers::default())
    }

    /// Builds a fixture that shares servers with another.
    pub fn with_servers(server_count: u16, servers: ScriptedServers) -> Self {
        let clock = ProcessClock::start();
        let zone = ZoneName::try_from("salish-a").unwrap();
        let host = HostId::try_from("entry-1").unwrap();
        let mut router = RequestRouter::new(zone.clone(), 1);
        let addresses: Vec<SocketAddr> =
            (1..=server_count).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
        // The router chooses at random among equal servers; only the first one is in its zone, so
        // tests know which one is used.
        let far_zone = ZoneName::try_from("salish-b").unwrap();
        let zones = std::iter::once(&zone).chain(std::iter::repeat(&far_zone));
        let servers_by_zone = addresses.iter().zip(zones);
        let infos = servers_by_zone.map(|(address, zone)| server_info(*address, zone)).collect();
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

    /// Runs a request to its end; checks that it has one final answer and that no session is left.
    pub fn run(&self, request: CheckedRequest) -> RecordingSink {
        let sink = self.run_concurrently(request);
        assert!(self.ports.registry.running().is_empty());
        sink
    }

    /// Runs a request to its end while others may be running.
    pub fn run_concurrently(&self, request: CheckedRequest) -> RecordingSink {
        let mut sink = RecordingSink::default();
        SessionDriver::new(self.ports.clone()).run(request, &mut sink);
        assert_eq!(sink.ends.len(), 1, "one final answer");
        sink
    }

    /// Returns a model request.
    pub fn model_request(&self) -> CheckedRequest {
        let work = RequestWork::Model { prompt: "a b c d".into(), max_tokens: MAX_TOKENS };
        self.request(work, true)
    }

    /// Returns a non-idempotent call with an idempotency key.
    pub fn non_idempotent_request(&self) -> CheckedRequest {
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
            id: REQUEST,
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

/// Returns the service of every fixture.
pub fn service() -> ServiceResource {
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

/// Returns the whole answer to [`DriverFixture::model_request`].
pub fn full_text() -> String {
    (0..MAX_TOKENS).map(scripted_token).collect()
}
