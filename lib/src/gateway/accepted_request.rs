//! A request that passed its checks, and what the host records of it on its way.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::http::request;

use crate::gateway::caller_request::CallerHead;
use crate::gateway::crash_tracker::CallFingerprint;
use crate::gateway::fleet_scaler::TokenDemand;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::placement::PlacementChoice;
use crate::gateway::placement::PlacementQuery;
use crate::gateway::platform_api::AttemptHead;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::server_attempt::AttemptRequest;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::serving_config::RequestKind;
use crate::gateway::serving_config::RouteRule;
use crate::gateway::serving_config::TeamRule;
use crate::hop_headers::HopHeaders;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// When callers may come back after a refusal for want of a server: about one period of reading the
/// directory.
pub const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// When callers may come back after a refusal because all servers are full: about the length of a
/// short answer.
pub const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Whether a request still runs, as the host counts it for a planned stop.
pub struct InFlightGuard {
    state: Rc<GatewayState>,
}

impl InFlightGuard {
    /// Counts a request.
    pub fn new(state: &Rc<GatewayState>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.set(self.state.in_flight.get().saturating_sub(1));
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
    pub fingerprint: CallFingerprint,
    /// Version of the configuration that decided.
    pub config_version: u64,
}

impl AcceptedRequest {
    /// Returns the team's name.
    pub fn team_name(&self) -> Option<&TeamName> {
        self.team.as_ref().map(|team| &team.name)
    }

    /// Returns the rank; a team's goes before its route's.
    fn rank(&self) -> u32 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    /// Builds the message of an attempt.
    pub fn message<W: WireProtocol>(
        &self,
        wire: &W,
        attempt: &AttemptRequest<'_>,
    ) -> Request<Full<Bytes>> {
        let attempt = AttemptHead {
            server: attempt.server,
            team: self.team_name(),
            time_left: attempt.time_left,
            resume_after: attempt.resume_after,
            priority: self.rank(),
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
    pub fn with_retry_after(code: ResultCode, retry_after: Duration) -> Self {
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
    let hosts = u32::try_from(state.peers.borrow().live_peers(now) + 1).unwrap_or(u32::MAX);
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
    let choice = state.placement.borrow().choose(now, &state.directory.borrow(), &query);
    match choice {
        PlacementChoice::Server { key, running, uncached_tokens } => {
            Ok(PlacedServer { key, running, uncached_tokens })
        }
        PlacementChoice::Full => {
            Err(RefusalReason::with_retry_after(ResultCode::QueueFull, QUEUE_FULL_RETRY_AFTER))
        }
        PlacementChoice::NoServer => {
            Err(RefusalReason::with_retry_after(ResultCode::NoServer, NO_SERVER_RETRY_AFTER))
        }
    }
}

/// Gives back the quota of a request that did not run.
pub fn refund_quota(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team.as_ref().filter(|team| team.quota.is_some()) {
        let units = if team.counts_tokens { request.head.token_cost(team.default_cost) } else { 1 };
        state.quotas.borrow_mut().refund(&team.name, units);
    }
}

/// Records that a request began to run: it counts for its team's usage.
pub fn record_started(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team_name() {
        state.ledger.borrow_mut().on_request_started(wall_clock_ms(), team);
    }
}

/// Records the tokens that an attempt asks of its service.
pub fn record_demand(state: &GatewayState, request: &AcceptedRequest, uncached_tokens: u64) {
    if let Some(prompt) = &request.head.prompt {
        let tokens = TokenDemand {
            prefill: uncached_tokens as f64,
            output: f64::from(prompt.max_output_tokens),
        };
        state.demand.borrow_mut().on_request(state.now(), &request.service, tokens);
    }
}

/// Takes in how an attempt ended as evidence of its server's health.
pub fn record_health(state: &GatewayState, key: ServerKey, evidence: HealthEvidence) {
    let avoided = state.placement.borrow_mut().on_evidence(state.now(), key, evidence);
    if avoided {
        state.record_server_event("server_avoided", key);
    }
}

/// Returns the label of a kind of work in metrics.
pub fn work_kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Once => "once",
        RequestKind::Stream { resumable: true } => "resumable_stream",
        RequestKind::Stream { resumable: false } => "stream",
    }
}

/// Writes the line that ends a request, and counts it.
pub fn log_request_end(
    state: &GatewayState,
    request: &AcceptedRequest,
    code: ResultCode,
    detail: &str,
) {
    let kind = work_kind_label(request.route.kind);
    let number = code.number();
    let elapsed = state.now().since(request.arrived_at);
    state.metrics.requests.with_label_values(&[kind, &number.to_string()]).inc();
    state.metrics.total_latency.with_label_values(&[kind]).observe(elapsed.as_secs_f64());
    log::info!(
        "event=request_ended request={} route={} service={} team={} kind={kind} code={number} \
         elapsed_ms={} config={} {detail}",
        request.head.request_id,
        request.route.name,
        request.service,
        request.team_name().map_or("-", TeamName::as_str),
        elapsed.as_millis(),
        request.config_version,
    );
}

/// Copies the header fields of an answer that may be passed on.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let fields = headers
        .iter()
        .filter_map(|(name, value)| value.to_str().ok().map(|value| (name.as_str(), value)));
    let hops = HopHeaders::of(fields);
    let end_to_end = headers.iter().filter(|(name, _)| !hops.contains(name.as_str()));
    end_to_end.map(|(name, value)| (name.clone(), value.clone())).collect()
}
