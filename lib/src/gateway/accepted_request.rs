//! A request that passed its checks, with the bookkeeping of its way through the host: placement,
//! quota refunds, usage, demand, server health, and the log line at its end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::http::request;

use crate::gateway::backend_directory::BackendServer;
use crate::gateway::caller_request::CallerHead;
use crate::gateway::caller_request::EventNumber;
use crate::gateway::capacity::answer_timing::AnswerGoals;
use crate::gateway::capacity::answer_timing::AnswerTiming;
use crate::gateway::capacity::answer_timing::LatePart;
use crate::gateway::capacity::fleet_scaler::TokenDemand;
use crate::gateway::capacity::service_speed::SpeedBasis;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::host_summary::apply_app_loads;
use crate::gateway::placement::ConnectionShare;
use crate::gateway::placement::MAX_APP_FILL;
use crate::gateway::placement::MAX_ENGINE_FILL;
use crate::gateway::placement::PlacementChoice;
use crate::gateway::placement::PlacementQuery;
use crate::gateway::platform_api::AttemptHead;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::request_rank::RequestRank;
use crate::gateway::rollout::rollout_book::RolloutSide;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::server_attempt::AttemptRequest;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::serving_config::RequestKind;
use crate::gateway::serving_config::RouteRule;
use crate::gateway::serving_config::TeamRule;
use crate::gateway::stream_binding::StreamBinding;
use crate::gateway::version_ledger::BeginRule;
use crate::gateway::waiting::rank_shares::RankDecision;
use crate::gateway::waiting::retry_time::request_fraction;
use crate::gateway::waiting::retry_time::stated_retry_after;
use crate::gateway::waiting::route_times::CallerVisit;
use crate::gateway::waiting::waiting_line::WaitBounds;
use crate::gateway::waiting::waiting_line::WaitCause;
use crate::gateway::waiting::waiting_line::WaitClass;
use crate::gateway::waiting::waiting_line::WaitRefusal;
use crate::gateway::waiting::waiting_line::WaitRequest;
use crate::hop_headers::HopByHopHeaders;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Retry delay stated to callers when the service has no server: about one directory poll interval.
pub const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Retry delay stated to callers when all servers are full: about the duration of a short response.
pub const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Retry delay stated to callers by a draining host: short, since they can retry at another host.
pub const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry delay stated to callers whose rank gives way to more urgent ones: the time in which shares are
/// decided on a few times.
const DEFERRED_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// A server has spare room while less than all but one in this many of its slots are in use.
const SPARE_DIVISOR: u32 = 4;

/// Memory that a waiting request takes besides its body: its head, its connection and its future.
pub const REQUEST_BYTES: usize = 8 << 10;

/// Maximum by which the retry delay of a caller exceeds the pause that a server asked for: a fraction of
/// the pause, and a time for short ones. Callers get different delays, so that they do not return all
/// at once.
const RETRY_SPREAD_FRACTION: f64 = 0.25;
const RETRY_SPREAD_TIME: Duration = Duration::from_millis(200);

/// Counts a request as in flight while it lives; a draining host waits for these.
pub struct InFlightGuard {
    state: Rc<GatewayState>,
}

impl InFlightGuard {
    /// Increments the count of requests in flight.
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

/// Whether the end of a request has been logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ClosingLine {
    /// Not yet: the request is running.
    #[default]
    Due,
    /// It has been logged.
    Logged,
}

/// A request's way out of the host: logs its end if nothing else did before it is dropped.
pub struct RequestEnd {
    state: Rc<GatewayState>,
    line: Cell<ClosingLine>,
}

impl RequestEnd {
    /// Builds the end of a request that is running.
    pub fn new(state: &Rc<GatewayState>) -> Self {
        Self { state: state.clone(), line: Cell::default() }
    }

    /// Returns the code of a request that is dropped while it is running.
    fn code_when_dropped(&self) -> ResultCode {
        if std::thread::panicking() {
            ResultCode::Internal
        } else if self.state.stopped.get() {
            ResultCode::HostStopped
        } else {
            ResultCode::CallerLost
        }
    }
}

/// A request that passed its checks, with everything that its attempts need.
pub struct AcceptedRequest {
    /// Parsed head.
    pub head: CallerHead,
    /// Method, path and header fields as the caller sent them.
    pub parts: request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Rc<RouteRule>,
    /// Service that the route selected.
    pub service: ServiceName,
    /// Team of the caller, if it has one.
    pub team: Option<Rc<TeamRule>>,
    /// Arrival time.
    pub arrived_at: Timestamp,
    /// When its caller, or its route, stops waiting.
    pub deadline: Timestamp,
    /// The whole work, which all resends share.
    pub whole: WorkPart,
    /// Parts of the work, of which other requests may share some.
    pub work: WorkParts,
    /// Level of priority that servers are told.
    pub priority_level: u32,
    /// Version of the configuration that the request was checked against.
    pub config_version: u64,
    /// Binds a stream that may be resumed to the software version that began it.
    pub binding: Option<StreamBinding>,
    /// Whether its caller was told to come back.
    pub visit: CallerVisit,
    /// When its first attempt started.
    pub started_at: Cell<Option<Timestamp>>,
    /// Logs the end of the request.
    pub end: RequestEnd,
}

impl Drop for AcceptedRequest {
    fn drop(&mut self) {
        if self.end.line.get() == ClosingLine::Due {
            let code = match (self.end.code_when_dropped(), self.started_at.get()) {
                (ResultCode::CallerLost, None) => ResultCode::CallerGone,
                (code, _) => code,
            };
            log_request_end(&self.end.state, self, code, "dropped=true");
        }
    }
}

impl AcceptedRequest {
    /// Returns the team's name.
    pub fn team_name(&self) -> Option<&TeamName> {
        self.team.as_ref().map(|team| &team.name)
    }

    /// Returns the urgency.
    pub fn rank(&self) -> RequestRank {
        RequestRank::of(self.team.as_deref(), &self.route)
    }

    /// Returns whether a server may have room for it later, and it may wait for that.
    pub fn may_wait(&self, reason: RefusalReason) -> bool {
        matches!(reason.code, ResultCode::QueueFull | ResultCode::NoServer)
            && reason.is_room_expected
    }

    /// Returns whether only some servers of its service may run it.
    pub fn is_confined(&self) -> bool {
        self.binding.as_ref().and_then(StreamBinding::version).is_some()
    }

    /// Describes it to the requests that wait for a server.
    pub fn wait_request(&self, state: &GatewayState) -> WaitRequest {
        let goal = self.route.latency_goal;
        let answer_time = state.waiting.times.borrow().expected_answer(&self.route.name, goal);
        let bounds = WaitBounds::new(self.arrived_at, self.deadline, goal, answer_time);
        WaitRequest {
            cause: WaitCause::Server(self.service.clone()),
            team: self.team_name().cloned(),
            rank: self.rank(),
            class: wait_class(&self.head, self.visit),
            arrived_at: self.arrived_at,
            bounds,
            room_in: None,
            bytes: self.body.len() + REQUEST_BYTES,
        }
    }

    /// Describes it to the requests that wait, after it found no server for a reason.
    pub fn wait_after(&self, state: &GatewayState, reason: RefusalReason) -> WaitRequest {
        let now = state.now();
        let mut request = self.wait_request(state);
        // Without a server nothing tells when there will be one. A host that has read no directory
        // yet reads it in a moment.
        if reason.code == ResultCode::NoServer && state.directory.borrow().read_age(now).is_some() {
            request.bounds.start_by = request.bounds.start_by.min(now + request.bounds.unsure_time);
        }
        request
    }

    /// Records that it is admitted, and returns whether it may make other requests late.
    pub fn admit_rank(&self, state: &GatewayState) -> RankDecision {
        // What was done for a stream that is taken up is not lost.
        if self.route.latency_goal.is_zero() || self.head.resume_after.is_some() {
            return RankDecision::Admitted;
        }
        let (now, rank) = (state.now(), self.rank().priority);
        let mut shares = state.waiting.shares.borrow_mut();
        let fraction = request_fraction(&self.head.request_id);
        let decision = shares.decide(&self.service, rank, fraction, self.visit);
        if decision == RankDecision::Admitted {
            shares.on_admitted(now, &self.service, rank);
        }
        decision
    }

    /// Records that it missed its goal, or found no room in time.
    pub fn on_goal_missed(&self, state: &GatewayState) {
        if !self.route.latency_goal.is_zero() && self.head.resume_after.is_none() {
            let (now, rank) = (state.now(), self.rank().priority);
            state.waiting.shares.borrow_mut().on_missed(now, &self.service, rank);
        }
    }

    /// Returns the refusal of a request that could only start where it makes others late.
    pub fn defer_refusal(&self, state: &GatewayState) -> RefusalReason {
        let time_left = self.deadline.since(state.now());
        let id = &self.head.request_id;
        let retry_after = stated_retry_after(DEFERRED_RETRY_AFTER, time_left, id);
        RefusalReason::with_retry_after(ResultCode::RankDeferred, retry_after)
    }

    /// Records that its answer, or the first event of it, arrived.
    pub fn on_answer_begun(&self, state: &GatewayState) {
        if state.now().since(self.arrived_at) > self.route.latency_goal {
            self.on_goal_missed(state);
        }
        if let Some(started_at) = self.started_at.get() {
            let elapsed = state.now().since(started_at);
            state.waiting.times.borrow_mut().on_answer(&self.route.name, elapsed);
        }
    }

    /// Returns the refusal of a request that waited, or may not wait, for a server.
    pub fn wait_refusal(
        &self,
        state: &GatewayState,
        refusal: WaitRefusal,
        reason: RefusalReason,
    ) -> RefusalReason {
        let now = state.now();
        let code = match (refusal, reason.code) {
            (WaitRefusal::Closed, _) if state.shutdown.get().is_some() => {
                let code = ResultCode::HostLeaving;
                return RefusalReason::with_retry_after(code, DRAINING_RETRY_AFTER);
            }
            (_, ResultCode::NoServer) => ResultCode::NoServer,
            (WaitRefusal::OutOfReach { .. }, _) => ResultCode::GoalOutOfReach,
            (WaitRefusal::Expired, _) => ResultCode::WaitExpired,
            (WaitRefusal::LineFull | WaitRefusal::TeamFull | WaitRefusal::Closed, code) => code,
        };
        let cause = WaitCause::Server(self.service.clone());
        let expected = match reason.code {
            ResultCode::NoServer => reason.retry_after,
            _ => state.waiting.time_until_room(now, &cause).or(reason.retry_after),
        };
        let time_left = self.deadline.since(now);
        let retry_after = expected.unwrap_or(QUEUE_FULL_RETRY_AFTER);
        let id = &self.head.request_id;
        RefusalReason::with_retry_after(code, stated_retry_after(retry_after, time_left, id))
    }

    /// Builds the HTTP request of an attempt.
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
            priority: self.priority_level,
        };
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.parts.method.clone();
        *message.uri_mut() = self.parts.uri.clone();
        *message.headers_mut() = wire.attempt_headers(&self.parts.headers, &attempt);
        message
    }
}

/// Why a request ends without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalReason {
    /// Result code.
    pub code: ResultCode,
    /// Delay after which the caller may retry, if one is stated.
    pub retry_after: Option<Duration>,
    /// Whether requests that run may make room soon.
    pub is_room_expected: bool,
}

impl RefusalReason {
    /// Builds a reason without a retry delay: a retry is of no use, or at the caller's discretion.
    pub fn new(code: ResultCode) -> Self {
        Self { code, retry_after: None, is_room_expected: false }
    }

    /// Builds a reason that states a retry delay.
    pub fn with_retry_after(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, retry_after: Some(retry_after), is_room_expected: false }
    }

    /// Builds a reason for which a request may wait: servers are full, or none is known.
    pub fn until_room(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, retry_after: Some(retry_after), is_room_expected: true }
    }
}

/// The server selected for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedServer {
    /// Key in the backend directory.
    pub key: ServerKey,
    /// Requests in flight there, from all hosts.
    pub running: u32,
    /// Prompt tokens that the server must prefill, since they are not in its prefix cache.
    pub uncached_tokens: u64,
    /// Servers of the service that their limits closed to this host.
    pub limited: u32,
}

/// Selects a server for an attempt, excluding those already tried.
pub fn place_request(
    state: &GatewayState,
    now: Timestamp,
    request: &AcceptedRequest,
    tried: &[ServerKey],
) -> Result<PlacedServer, RefusalReason> {
    let config = state.config.borrow().current().cloned();
    let rule = config.as_ref().and_then(|config| config.services.get(&request.service));
    let connections = rule.map_or(ConnectionShare::UNLIMITED, |rule| {
        let (hosts, rank) = state.peers.borrow().live_rank(now);
        ConnectionShare { max_connections: rule.max_connections, hosts, rank }
    });
    let bound = request.binding.as_ref().and_then(StreamBinding::version);
    let versions = state.versions.borrow();
    let version = match (&bound, &request.binding) {
        (Some(version), _) => Some(version),
        (None, None) => None,
        (None, Some(_)) => match versions.begin_rule(&request.service) {
            BeginRule::AnyVersion => None,
            BeginRule::OnlyAt(version) => Some(version),
            BeginRule::Nowhere => {
                let code = ResultCode::VersionUnrecorded;
                return Err(RefusalReason::with_retry_after(code, NO_SERVER_RETRY_AFTER));
            }
        },
    };
    let excluded = match request.binding {
        Some(_) => [tried, &doubted_servers(state, now)].concat(),
        None => tried.to_vec(),
    };
    if request.head.prompt.is_none() {
        apply_app_loads(state, &request.service);
    }
    let (side, withheld) =
        rollout_keeper::excluded_servers(state, now, request, tried, bound.as_ref());
    let place = |withheld: &[ServerKey]| {
        let excluded = [&excluded, withheld].concat();
        let query = PlacementQuery {
            service: &request.service,
            prompt: request.head.prompt.as_ref(),
            excluded: &excluded,
            connections,
            version,
            is_resumed: bound.is_some(),
        };
        state.placement.borrow().choose(now, &state.directory.borrow(), &query)
    };
    let mut choice = place(&withheld);
    let mut is_withheld = !withheld.is_empty();
    if side == RolloutSide::New && !matches!(choice, PlacementChoice::Server { .. }) {
        let withheld =
            rollout_keeper::side_excluded(state, now, &request.service, RolloutSide::Old);
        choice = place(&withheld);
        is_withheld = !withheld.is_empty();
    }
    match choice {
        PlacementChoice::Server { key, running, uncached_tokens, limited } => {
            if limited > 0 {
                state.metrics.events.with_label_values(&["limit_turned_elsewhere"]).inc();
            }
            check_deadline(state, now, request, key, uncached_tokens)?;
            count_left_zone(state, &request.service, key);
            Ok(PlacedServer { key, running, uncached_tokens, limited })
        }
        PlacementChoice::Full => {
            Err(RefusalReason::until_room(ResultCode::QueueFull, QUEUE_FULL_RETRY_AFTER))
        }
        PlacementChoice::Closed { until, limited } => {
            let retry_after = spread_retry_after(until.since(now), &request.head.request_id);
            if limited > 0 {
                state.metrics.events.with_label_values(&["limit_turned_away"]).inc();
                log::info!(
                    "event=limit_turned_away request={} service={} servers={limited} \
                     retry_after_ms={}",
                    request.head.request_id,
                    request.service,
                    retry_after.as_millis(),
                );
            }
            Err(RefusalReason::with_retry_after(ResultCode::QueueFull, retry_after))
        }
        PlacementChoice::NoServer => {
            let gone = bound.and_then(|version| refuse_absent(state, &request.service, &version));
            let code = match is_withheld {
                true => ResultCode::VersionWithheld,
                false => ResultCode::NoServer,
            };
            Err(gone.unwrap_or(RefusalReason::until_room(code, NO_SERVER_RETRY_AFTER)))
        }
    }
}

/// Refuses a model request whose first event cannot come before its deadline, going by the server that
/// was selected: where the expected wait is least.
fn check_deadline(
    state: &GatewayState,
    now: Timestamp,
    request: &AcceptedRequest,
    key: ServerKey,
    uncached_tokens: u64,
) -> Result<(), RefusalReason> {
    if request.head.prompt.is_none() || request.head.resume_after.is_some() {
        return Ok(());
    }
    let placement = state.placement.borrow();
    let speeds = placement.speeds();
    if speeds.of_service(now, &request.service).basis == SpeedBasis::Guessed {
        return Ok(());
    }
    let tokens = placement.pending_tokens(key).saturating_add(uncached_tokens);
    let expected = speeds.first_event_time(key, tokens);
    let time_left = request.deadline.since(now);
    if expected <= time_left {
        return Ok(());
    }
    state.metrics.events.with_label_values(&["deadline_unreachable"]).inc();
    log::info!(
        "event=deadline_unreachable request={} service={} expected_ms={} time_left_ms={}",
        request.head.request_id,
        request.service,
        expected.as_millis(),
        time_left.as_millis(),
    );
    let retry_after = spread_retry_after(expected - time_left, &request.head.request_id);
    Err(RefusalReason::with_retry_after(ResultCode::DeadlineUnreachable, retry_after))
}

/// Counts an attempt that leaves this host's zone.
fn count_left_zone(state: &GatewayState, service: &ServiceName, key: ServerKey) {
    let directory = state.directory.borrow();
    let Some(server) = directory.get(key) else { return };
    let placement = state.placement.borrow();
    if let Some(reason) = placement.flow().leave_reason(service, &server.entry.zone) {
        state.metrics.left_zone.with_label_values(&[service.as_str(), reason.label()]).inc();
    }
}

/// Selects a server beside what is kept for more urgent requests. The cheapest one may be crowded, since
/// it has the prompt's prefix, while others have room.
pub fn place_by_rank(
    state: &GatewayState,
    now: Timestamp,
    request: &AcceptedRequest,
    decision: RankDecision,
    tried: &[ServerKey],
) -> Result<PlacedServer, RefusalReason> {
    let placed = place_request(state, now, request, tried)?;
    let reserved = match request.head.resume_after {
        Some(_) => 0.0,
        None => {
            let rank = request.rank().priority;
            state.waiting.shares.borrow().reserved_fraction(&request.service, rank)
        }
    };
    if reserved <= 0.0 && decision == RankDecision::Admitted {
        return Ok(placed);
    }
    let has_room = |key: ServerKey, slots: u32| match decision {
        RankDecision::Admitted => has_rank_room(state, request, reserved, key, slots),
        RankDecision::Deferred => has_spare_room(state, key, slots),
    };
    let excluded = {
        let directory = state.directory.borrow();
        let slots = directory.get(placed.key).map_or(0, |server| server.entry.slots);
        if has_room(placed.key, slots) {
            return Ok(placed);
        }
        let crowded = directory.of_service(&request.service);
        let crowded = crowded.filter(|(key, server)| !has_room(*key, server.entry.slots));
        tried.iter().copied().chain(crowded.map(|(key, _)| key)).collect::<Vec<ServerKey>>()
    };
    place_request(state, now, request, &excluded).map_err(|_| match decision {
        RankDecision::Admitted => {
            RefusalReason::until_room(ResultCode::QueueFull, QUEUE_FULL_RETRY_AFTER)
        }
        RankDecision::Deferred => request.defer_refusal(state),
    })
}

/// Returns whether a server can take a request without making others late: it has free slots, and no
/// prompt waits there to be prefilled.
fn has_spare_room(state: &GatewayState, key: ServerKey, slots: u32) -> bool {
    let placement = state.placement.borrow();
    placement.running(key) * SPARE_DIVISOR < slots * (SPARE_DIVISOR - 1)
        && placement.pending_tokens(key) == 0
}

/// Returns whether a server has room for a request beside the part of its slots that is kept for more
/// urgent ones.
fn has_rank_room(
    state: &GatewayState,
    request: &AcceptedRequest,
    reserved: f64,
    key: ServerKey,
    slots: u32,
) -> bool {
    let max_fill = match request.head.prompt {
        Some(_) => MAX_ENGINE_FILL,
        None => MAX_APP_FILL,
    };
    f64::from(state.placement.borrow().running(key)) < f64::from(slots) * (max_fill - reserved)
}

/// Returns the servers whose software version is not known now.
fn doubted_servers(state: &GatewayState, now: Timestamp) -> Vec<ServerKey> {
    let directory = state.directory.borrow();
    let mut doubts = state.doubts.borrow_mut();
    doubts.doubted(now).filter_map(|server| directory.find(server)).collect()
}

/// Refuses to resume a stream if no server of a service that stays runs its software version. If this host
/// has not listed any, it may only be late to read of them.
pub fn refuse_absent(
    state: &GatewayState,
    service: &ServiceName,
    version: &SoftwareVersion,
) -> Option<RefusalReason> {
    let directory = state.directory.borrow();
    let mut servers = directory.of_service(service);
    let stays = |server: &BackendServer| {
        server.entry.version == *version && server.draining_since.is_none()
    };
    if servers.any(|(_, server)| stays(server)) {
        return None;
    }
    Some(match state.versions.borrow().census().was_listed(service, version) {
        true => RefusalReason::new(ResultCode::VersionGone),
        false => RefusalReason::with_retry_after(ResultCode::NoServer, NO_SERVER_RETRY_AFTER),
    })
}

/// Returns a retry delay for the time after which a server accepts requests again; callers get
/// different ones.
pub fn spread_retry_after(delay: Duration, request_id: &str) -> Duration {
    let hash = blake3::hash(request_id.as_bytes());
    let fraction = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
    delay + (delay.mul_f64(RETRY_SPREAD_FRACTION) + RETRY_SPREAD_TIME).mul_f64(fraction)
}

/// Refunds the quota of a request that did not run.
pub fn refund_quota(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team.as_ref().filter(|team| team.quota.is_some()) {
        let units = if team.counts_tokens { request.head.token_cost(team.default_cost) } else { 1 };
        state.quotas.borrow_mut().refund(&team.name, units);
    }
}

/// Records that a request started to run, so that it counts toward its team's usage.
pub fn record_started(state: &GatewayState, request: &AcceptedRequest) {
    if let Some(team) = request.team_name() {
        state.ledger.borrow_mut().on_request_started(wall_clock_ms(), team);
    }
}

/// Records the token demand of an attempt on its service. Requests without a prompt have none.
pub fn record_demand(state: &GatewayState, request: &AcceptedRequest, uncached_tokens: u64) {
    if let Some(prompt) = &request.head.prompt {
        let tokens = TokenDemand {
            prefill: uncached_tokens as f64,
            output: f64::from(prompt.max_output_tokens),
        };
        state.demand.borrow_mut().on_request(state.now(), &request.service, tokens);
    }
}

/// Records how long a model request took to its first event, by which late callers are counted.
pub fn record_timeliness(state: &GatewayState, request: &AcceptedRequest, elapsed: Duration) {
    if request.head.prompt.is_some() && request.head.resume_after.is_none() {
        let is_late = elapsed > request.route.latency_goal;
        state.lateness.borrow_mut().on_answer(state.now(), &request.service, is_late);
    }
}

/// Logs and counts an answer that was late, with the part that was. `server` sent its first event, which
/// was expected `expected` after the request was sent there.
pub fn record_late_answer(
    state: &GatewayState,
    request: &AcceptedRequest,
    timing: &AnswerTiming,
    server: &ServerId,
    expected: Duration,
) {
    let RouteRule { latency_goal, pause_goal, name, .. } = &*request.route;
    // The first events of a stream that is taken up came from an earlier request.
    let first_event = match request.head.resume_after {
        Some(_) => Duration::MAX,
        None => *latency_goal,
    };
    let Some(late) = timing.late_part(AnswerGoals { first_event, pause: *pause_goal }) else {
        return;
    };
    let service = &request.service;
    if late.part == LatePart::Pause && request.head.prompt.is_some() {
        state.lateness.borrow_mut().on_late_pause(state.now(), service);
    }
    let labels = [service.as_str(), late.part.label()];
    state.metrics.late_answers.with_label_values(&labels).inc();
    log::info!(
        "event=answer_late request={} route={name} service={service} server={server} part={} \
         observed_ms={} goal_ms={} expected_ms={}",
        request.head.request_id,
        late.part,
        late.observed.as_millis(),
        late.goal.as_millis(),
        expected.as_millis(),
    );
}

/// Records how an attempt ended as evidence of its server's health, and logs if the server is now
/// avoided.
pub fn record_health(state: &GatewayState, key: ServerKey, evidence: HealthEvidence) {
    let avoided = state.placement.borrow_mut().on_evidence(state.now(), key, evidence);
    if avoided {
        state.record_server_event("server_avoided", key);
    }
}

/// Returns the order of a request within its rank while it waits.
pub fn wait_class(head: &CallerHead, visit: CallerVisit) -> WaitClass {
    match (head.resume_after, visit) {
        (Some(_), _) => WaitClass::Resumed,
        (None, CallerVisit::Return) => WaitClass::Returning,
        (None, CallerVisit::First) => WaitClass::New,
    }
}

/// Returns the metric and log label of a request kind.
pub fn request_kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Once => "once",
        RequestKind::Stream { resumable: true } => "resumable_stream",
        RequestKind::Stream { resumable: false } => "stream",
    }
}

/// Logs the end of a request and updates its metrics.
pub fn log_request_end(
    state: &GatewayState,
    request: &AcceptedRequest,
    code: ResultCode,
    detail: &str,
) {
    request.end.line.set(ClosingLine::Logged);
    let kind = request_kind_label(request.route.kind);
    let number = code.number();
    let now = state.now();
    let elapsed = now.since(request.arrived_at);
    let is_overload = matches!(code, ResultCode::QueueFull | ResultCode::DeadlineUnreachable);
    if is_overload && request.head.prompt.is_some() {
        state.lateness.borrow_mut().on_answer(now, &request.service, true);
    }
    state.metrics.requests.with_label_values(&[kind, &number.to_string()]).inc();
    state.metrics.total_latency.with_label_values(&[kind]).observe(elapsed.as_secs_f64());
    log::info!(
        "event=request_ended request={} route={} service={} team={} kind={kind} code={number} \
         elapsed_ms={} config={} origin={} after={} {detail}",
        request.head.request_id,
        request.route.name,
        request.service,
        request.team_name().map_or("-", TeamName::as_str),
        elapsed.as_millis(),
        request.config_version,
        request.head.origin,
        EventNumber(request.head.resume_after),
    );
}

/// Copies the header fields of a response without the hop-by-hop fields.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let fields = headers
        .iter()
        .filter_map(|(name, value)| value.to_str().ok().map(|value| (name.as_str(), value)));
    let hops = HopByHopHeaders::of(fields);
    let end_to_end = headers.iter().filter(|(name, _)| !hops.contains(name.as_str()));
    end_to_end.map(|(name, value)| (name.clone(), value.clone())).collect()
}
