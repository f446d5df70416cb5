//! A request that passed its checks, and what the host records of it on its way.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::http::request;

use crate::gateway::caller_request::CallerHead;
use crate::gateway::crash_watch::WorkPrint;
use crate::gateway::edges::AttemptHead;
use crate::gateway::edges::WireDialect;
use crate::gateway::fleet_size::TokenDemand;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::placement::PlacementChoice;
use crate::gateway::placement::PlacementQuery;
use crate::gateway::server_attempt::AttemptRequest;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::serving_config::RouteRule;
use crate::gateway::serving_config::TeamRule;
use crate::gateway::serving_config::WorkKind;
use crate::hop_headers::HopHeaders;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// When callers may come back after a refusal for want of a server: about one period of reading the
/// directory.
pub const NO_SERVER_RETRY: Duration = Duration::from_millis(800);

/// When callers may come back after a refusal because all servers are full: about the length of a
/// short answer.
pub const FULL_RETRY: Duration = Duration::from_millis(600);

/// Whether a request still runs, as the host counts it for a planned stop.
pub struct RunningGuard {
    state: Rc<GatewayState>,
}

impl RunningGuard {
    /// Counts a request.
    pub fn new(state: &Rc<GatewayState>) -> Self {
        state.running.set(state.running.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.running.set(self.state.running.get().saturating_sub(1));
    }
}

/// A request that passed its checks, with all that its attempts need.
pub struct AcceptedRequest {
    /// Decoded head.
    pub head: CallerHead,
    /// Method, path and header fields as the caller sent them.
    pub parts: request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Rc<RouteRule>,
    /// Service that the route chose.
    pub service: ServiceName,
    /// Team of the caller, if it has one.
    pub team: Option<Rc<TeamRule>>,
    /// When it came in.
    pub arrived_at: Timestamp,
    /// What tells other sends of the same work apart from other work.
    pub print: WorkPrint,
    /// Version of the configuration that decided.
    pub version: u64,
}

impl AcceptedRequest {
    /// Returns the team's name.
    pub fn team_name(&self) -> Option<&TeamName> {
        self.team.as_ref().map(|team| &team.name)
    }

    /// Returns the rank; a team's goes before its route's.
    fn rank(&self) -> u32 {
        self.team.as_ref().and_then(|team| team.rank).unwrap_or(self.route.rank)
    }

    /// Builds the message of an attempt.
    pub fn message<W: WireDialect>(
        &self,
        wire: &W,
        attempt: &AttemptRequest<'_>,
    ) -> Request<Full<Bytes>> {
        let attempt = AttemptHead {
            server: attempt.server,
            team: self.team_name(),
            time_left: attempt.time_left,
            resume_after: attempt.resume_after,
            rank: self.rank(),
        };
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.parts.method.clone();
        *message.uri_mut() = self.parts.uri.clone();
        *message.headers_mut() = wire.attempt_headers(&self.parts.headers, &attempt);
        message
    }
}

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalReason {
    /// Code.
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl RefusalReason {
    /// Builds a reason after which coming back is of no use, or at the caller's discretion.
    pub fn new(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }

    /// Builds a reason that names a time to come back.
    pub fn retry(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, retry_after: Some(retry_after) }
    }
}

/// A server that was chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedServer {
    /// Its key.
    pub key: ServerKey,
    /// Requests that run there, all hosts together.
    pub running: u32,
    /// Prompt tokens that it has to read for the request.
    pub uncached_tokens: u64,
}

/// Chooses a server for an attempt.
pub fn place_request(
    state: &GatewayState,
    now: Timestamp,
    request: &AcceptedRequest,
    tried: &[ServerKey],
) -> Result<PlacedServer, RefusalReason> {
    let hosts = u32::try_from(state.peers.borrow().heard(now) + 1).unwrap_or(u32::MAX);
    let config = state.config.borrow().current().cloned();
    let rule = config.as_ref().and_then(|config| config.services.get(&request.service));
    // A part is kept for hosts that come up.
    let max_running = rule.map_or(u32::MAX, |rule| (rule.max_connections / (hosts + 1)).max(2));
    let query = PlacementQuery {
        service: &request.service,
        prompt: request.head.prompt.as_ref(),
        excluded: tried,
        max_running,
    };
    let choice = state.board.borrow().choose(now, &state.directory.borrow(), &query);
    match choice {
        PlacementChoice::Server { key, running, uncached_tokens } => {
            Ok(PlacedServer { key, running, uncached_tokens })
        }
        PlacementChoice::Full => Err(RefusalReason::retry(ResultCode::QueueFull, FULL_RETRY)),
        PlacementChoice::NoServer => {
            Err(RefusalReason::retry(ResultCode::NoServer, NO_SERVER_RETRY))
        }
    }
}

/// Gives back the quota of a request that did not run.
pub fn give_back_quota(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team.as_ref().filter(|team| team.quota.is_some()) {
        let units = if team.counts_tokens { request.head.token_cost(team.plain_cost) } else { 1 };
        state.quotas.borrow_mut().refund(&team.name, units);
    }
}

/// Records that a request began to run: it counts for its team's usage.
pub fn on_begun(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team_name() {
        state.ledger.borrow_mut().on_begun(wall_clock_ms(), team);
    }
}

/// Records the tokens that an attempt asks of its service.
pub fn on_demand(state: &GatewayState, request: &AcceptedRequest, uncached_tokens: u64) {
    if let Some(prompt) = &request.head.prompt {
        let tokens = TokenDemand {
            prefill: uncached_tokens as f64,
            output: f64::from(prompt.max_output_tokens),
        };
        state.demand.borrow_mut().on_request(state.now(), &request.service, tokens);
    }
}

/// Takes in how an attempt ended as evidence of its server's health.
pub fn on_evidence(state: &GatewayState, key: ServerKey, evidence: HealthEvidence) {
    let avoided = state.board.borrow_mut().on_evidence(state.now(), key, evidence);
    if avoided {
        state.log_server("server_avoided", key);
    }
}

/// Returns the label of a kind of work in metrics.
pub fn kind_label(kind: WorkKind) -> &'static str {
    match kind {
        WorkKind::Idempotent => "idempotent",
        WorkKind::Once => "once",
        WorkKind::Stream { resumable: true } => "resumable_stream",
        WorkKind::Stream { resumable: false } => "stream",
    }
}

/// Writes the line that ends a request, and counts it.
pub fn log_end(state: &GatewayState, request: &AcceptedRequest, code: ResultCode, detail: &str) {
    let kind = kind_label(request.route.kind);
    let number = code.number();
    let elapsed = state.now().since(request.arrived_at);
    state.metrics.requests.with_label_values(&[kind, &number.to_string()]).inc();
    state.metrics.whole.with_label_values(&[kind]).observe(elapsed.as_secs_f64());
    log::info!(
        "event=request_ended request={} route={} service={} team={} kind={kind} code={number} \
         elapsed_ms={} config={} {detail}",
        request.head.request_id,
        request.route.name,
        request.service,
        request.team_name().map_or("-", TeamName::as_str),
        elapsed.as_millis(),
        request.version,
    );
}

/// Copies the header fields of an answer that may be passed on.
pub fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let fields = headers
        .iter()
        .filter_map(|(name, value)| value.to_str().ok().map(|value| (name.as_str(), value)));
    let hops = HopHeaders::of(fields);
    let passed = headers.iter().filter(|(name, _)| !hops.contains(name.as_str()));
    passed.map(|(name, value)| (name.clone(), value.clone())).collect()
}
