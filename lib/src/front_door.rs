//! The front door: accepts callers' HTTP requests and starts a session for each.
//!
//! Requests are checked in the order header size, route, token, body, content. No body is read and
//! no work is done for a caller without a valid token.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;

use crate::admin_access::OperatorAccess;
use crate::admission_port::AdmissionPort;
use crate::answer_finder::AnswerFinder;
use crate::answer_reply::answer_reply;
use crate::burn;
use crate::burn_report::BurnReport;
use crate::caller_guard::CallerStatus;
use crate::caller_guard::DisconnectGuard;
use crate::caller_reply::app_reply;
use crate::caller_reply::completion_reply;
use crate::caller_request::Result;
use crate::caller_request::check_header_size;
use crate::caller_request::find_team;
use crate::caller_request::forwarded_headers;
use crate::caller_request::read_body;
use crate::caller_request::read_deadline;
use crate::caller_request::read_idempotency_key;
use crate::caller_request::read_token;
use crate::completion_api::CompletionKind;
use crate::completion_api::CompletionRequest;
use crate::completion_api::CompletionWriter;
use crate::config_follower::ConfigFollower;
use crate::engine::RequestPriority;
use crate::http_reply::FrontError;
use crate::http_reply::FrontReply;
use crate::http_reply::json_reply;
use crate::http_route::FrontRoute;
use crate::http_route::find_route;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::metrics::CounterMetric;
use crate::metrics::MetricsReporter;
use crate::reply_channel::ReplyReceiver;
use crate::reply_channel::open_reply_channel;
use crate::request_id_generator::RequestIdGenerator;
use crate::request_meter::RequestMeter;
use crate::request_meter::TimesRecorder;
use crate::resource::ConfigState;
use crate::resource::ServiceKind;
use crate::resource::ServiceResource;
use crate::resource::TeamResource;
use crate::result_code::ResultCode;
use crate::session_driver::SessionDriver;
use crate::session_registry::SessionRegistry;
use crate::session_request::CallerSink;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::settings::FrontDoorSettings;
use crate::timestamp::ProcessClock;
use crate::timestamp::wall_clock_ms;

/// Collects the burn report over all hosts.
pub type BurnSource = Arc<dyn Fn() -> burn::Result<BurnReport> + Send + Sync>;

/// Dependencies of the front door.
pub struct FrontDoorPorts {
    /// Current configuration.
    pub config: Arc<ConfigFollower>,
    /// Runs sessions.
    pub driver: Arc<SessionDriver>,
    /// Admission control.
    pub admission: Arc<AdmissionPort>,
    /// Finds answers that callers fetch again.
    pub answers: Arc<AnswerFinder>,
    /// Running sessions.
    pub registry: Arc<SessionRegistry>,
    /// Metrics.
    pub metrics: Arc<MetricsReporter>,
    /// Records the times of each request.
    pub recorder: TimesRecorder,
    /// Operators' tokens, for the burn report.
    pub operators: OperatorAccess,
    /// Collects the burn report; blocks the calling thread.
    pub burn: BurnSource,
    /// Clock that sessions use.
    pub clock: ProcessClock,
}

/// Handles callers' HTTP requests.
pub struct FrontDoor {
    settings: FrontDoorSettings,
    ports: FrontDoorPorts,
    ids: RequestIdGenerator,
    draining: AtomicBool,
    running: Arc<AtomicUsize>,
}

/// Team, idempotency key and headers of an authenticated caller.
struct CallerHeaders {
    team: TeamName,
    key: Option<String>,
    headers: HeaderMap,
}

impl FrontDoor {
    /// Creates a front door.
    pub fn new(
        settings: FrontDoorSettings,
        ports: FrontDoorPorts,
        ids: RequestIdGenerator,
    ) -> Self {
        Self { settings, ports, ids, draining: AtomicBool::new(false), running: Arc::default() }
    }

    /// Refuses new work from now on; running requests continue.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Refuses requests that wait for admission, since the host stops before it could run them.
    pub fn refuse_waiting(&self) {
        self.ports.admission.close();
    }

    /// Returns the number of accepted requests without a final answer, including those that wait
    /// for admission.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Handles one request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> FrontReply {
        match self.route(request).await {
            Ok(reply) => reply,
            Err(error) => {
                self.ports.metrics.count_code(CounterMetric::Outcomes, error.code, 1);
                log::info!(
                    "event=refused code={} message=\"{}\"",
                    error.code.number(),
                    error.message
                );
                error.to_reply()
            }
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<FrontReply> {
        let uri = request.uri();
        check_header_size(
            request.headers(),
            uri.path().len() + uri.query().map_or(0, str::len),
            self.settings.max_header_bytes,
        )?;
        let route = find_route(request.method().as_str(), uri.path(), uri.query())
            .map_err(|code| route_error(code, request.method().as_str(), uri.path()))?;
        match route {
            FrontRoute::Health => Ok(json_reply(ResultCode::Complete, &json!({"alive": true}))),
            FrontRoute::Ready => Ok(self.ready_reply()),
            FrontRoute::Completions => self.complete(CompletionKind::Text, request).await,
            FrontRoute::ChatCompletions => self.complete(CompletionKind::Chat, request).await,
            FrontRoute::App { service, path } => self.call_app(service, path, request).await,
            FrontRoute::Answer { request: id, from } => self.fetch_answer(id, from, request).await,
            FrontRoute::Burn => self.report_burn(request.headers()).await,
        }
    }

    fn ready_reply(&self) -> FrontReply {
        let snapshot = self.ports.config.current();
        let code = if self.draining.load(Ordering::Relaxed) {
            ResultCode::HostLeaving
        } else if snapshot.state.services.is_empty() {
            ResultCode::NotReady
        } else {
            ResultCode::Complete
        };
        let body = json!({
            "ready": code == ResultCode::Complete,
            "code": code.number(),
            "config_revision": snapshot.revision.map(|revision| revision.0),
            "config_standing": snapshot.replica_state.to_string(),
        });
        json_reply(code, &body)
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        request: Request<Incoming>,
    ) -> Result<FrontReply> {
        let caller = self.authenticate(&request)?;
        let body = read_body(request, &self.settings).await?;
        let completion = CompletionRequest::parse(kind, &body)?;
        let service = self.find_service(&completion.service, ServiceKind::Model, &caller.team)?;
        let work = RequestWork::Model {
            prompt: Arc::from(completion.prompt.as_str()),
            max_tokens: completion.max_tokens,
        };
        let checked = self.build_request(caller, service, work, true)?;
        let id = checked.id;
        let model = completion.service.as_str();
        let writer = CompletionWriter::new(kind, id, model, wall_clock_ms() / 1_000);
        let caller_status = CallerStatus::default();
        let parts = self.start_session(checked, caller_status.clone())?;
        let guard = DisconnectGuard::new(self.ports.registry.clone(), id, caller_status);
        let reply = completion_reply(id, &completion, writer, parts).await;
        guard.disarm();
        Ok(reply)
    }

    async fn call_app(
        &self,
        name: ServiceName,
        path: String,
        request: Request<Incoming>,
    ) -> Result<FrontReply> {
        let caller = self.authenticate(&request)?;
        let service = self.find_service(&name, ServiceKind::App, &caller.team)?;
        let method = request.method().to_string();
        let body = read_body(request, &self.settings).await?;
        let idempotent = service.idempotency.is_idempotent(&method, &path);
        let headers = forwarded_headers(&caller.headers);
        let work = RequestWork::App { method, path, headers, body: Arc::from(&body[..]) };
        let checked = self.build_request(caller, service, work, idempotent)?;
        let id = checked.id;
        let caller_status = CallerStatus::default();
        let parts = self.start_session(checked, caller_status.clone())?;
        let guard = DisconnectGuard::new(self.ports.registry.clone(), id, caller_status);
        let reply = app_reply(id, parts).await;
        guard.disarm();
        Ok(reply)
    }

    async fn fetch_answer(
        &self,
        id: RequestId,
        from: u32,
        request: Request<Incoming>,
    ) -> Result<FrontReply> {
        self.authenticate(&request)?;
        answer_reply(&self.ports.answers, id, from).await
    }

    async fn report_burn(&self, headers: &HeaderMap) -> Result<FrontReply> {
        let token = read_token(headers)?;
        if !self.ports.operators.may_read(token) {
            let message = "send an operator's token as 'Authorization: Bearer <token>'";
            return Err(FrontError::new(ResultCode::OperatorUnauthorized, message));
        }
        let burn = self.ports.burn.clone();
        let report = tokio::task::spawn_blocking(move || burn()).await;
        let failed = |error: String| FrontError::new(ResultCode::Internal, error);
        let report = report.map_err(|error| failed(error.to_string()))?;
        let report = report.map_err(|error| failed(error.to_string()))?;
        let body = serde_json::to_value(&report).map_err(|error| failed(error.to_string()))?;
        Ok(json_reply(ResultCode::Complete, &body))
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<CallerHeaders> {
        let headers = request.headers();
        let snapshot = self.ports.config.current();
        let team = find_team(headers, &snapshot.state)?.name.clone();
        Ok(CallerHeaders { team, key: read_idempotency_key(headers)?, headers: headers.clone() })
    }

    fn find_service(
        &self,
        name: &ServiceName,
        kind: ServiceKind,
        team: &TeamName,
    ) -> Result<Arc<ServiceResource>> {
        if self.draining.load(Ordering::Relaxed) {
            let message = "this entry host is leaving; send the request again";
            return Err(FrontError::new(ResultCode::HostLeaving, message));
        }
        let snapshot = self.ports.config.current();
        let service = find_service_of_kind(&snapshot.state, name, kind)?;
        match snapshot.state.teams.get(team) {
            Some(team) if may_use(team, name) => Ok(Arc::new(service.clone())),
            _ => {
                let message = format!("team {team} may not use service {name}");
                Err(FrontError::new(ResultCode::Forbidden, message))
            }
        }
    }

    fn build_request(
        &self,
        caller: CallerHeaders,
        service: Arc<ServiceResource>,
        work: RequestWork,
        idempotent: bool,
    ) -> Result<CheckedRequest> {
        let accepted_at = self.ports.clock.now();
        let deadline = read_deadline(&caller.headers, service.default_deadline)?;
        Ok(CheckedRequest {
            id: self.ids.next_id(),
            team: caller.team,
            service,
            work,
            idempotency_key: caller.key,
            idempotent,
            deadline: accepted_at + deadline,
            accepted_at,
            priority: RequestPriority::default(),
        })
    }

    /// Returns the team whose limits apply to a request, if any do.
    ///
    /// Non-idempotent calls are not limited: an earlier call with the same key may have run, which
    /// only the claim on the key tells, so a refusal here could not guarantee NOT_RUN. A team that
    /// was deleted after authentication no longer has limits.
    fn limited_team(&self, request: &CheckedRequest) -> Option<TeamResource> {
        let snapshot = self.ports.config.current();
        snapshot.state.teams.get(&request.team).filter(|_| request.idempotent).cloned()
    }

    /// Starts a session on a new thread and returns the receiver of its output.
    fn start_session(
        &self,
        request: CheckedRequest,
        caller: CallerStatus,
    ) -> Result<ReplyReceiver> {
        self.ports.metrics.count(CounterMetric::Requests, &request.service.name, 1);
        let (sender, receiver) = open_reply_channel();
        let mut sink = RequestMeter::new(
            sender,
            &request,
            self.ports.clock,
            self.ports.metrics.clone(),
            self.ports.recorder.clone(),
        );
        let (driver, id) = (self.ports.driver.clone(), request.id);
        let admission = self.ports.admission.clone();
        let team = self.limited_team(&request);
        let running = RunningGuard::add(&self.running);
        let thread = std::thread::Builder::new()
            .name("session".into())
            .stack_size(SESSION_STACK_BYTES)
            .spawn(move || {
                let _running = running;
                let permit =
                    team.map(|team| admission.acquire(&request, &team, &caller)).transpose();
                match permit {
                    Ok(_permit) => driver.run(request, &mut sink),
                    Err(end) => {
                        sink.accepted(request.id);
                        sink.finish(&end);
                    }
                }
            });
        match thread {
            Ok(_) => Ok(receiver),
            Err(error) => {
                log::error!("event=session_not_started request={id} error=\"{error}\"");
                let message = "this entry host has no thread left; send the request again";
                Err(FrontError::new(ResultCode::QueueFull, message).with_request(id))
            }
        }
    }
}

/// Counts one accepted request as running until dropped.
struct RunningGuard(Arc<AtomicUsize>);

impl RunningGuard {
    fn add(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Stack size of a session's thread.
const SESSION_STACK_BYTES: usize = 256 * 1024;

fn find_service_of_kind<'a>(
    config: &'a ConfigState,
    name: &ServiceName,
    kind: ServiceKind,
) -> Result<&'a ServiceResource> {
    let found = config.services.get(name);
    found.filter(|service| service.kind == kind).ok_or_else(|| {
        let (code, message) = if config.services.is_empty() {
            (ResultCode::NotReady, "this entry host has no configuration yet".to_string())
        } else {
            (ResultCode::UnknownService, format!("no {kind:?} service is named {name}"))
        };
        FrontError::new(code, message)
    })
}

fn may_use(team: &TeamResource, service: &ServiceName) -> bool {
    team.services.is_empty() || team.services.contains(service)
}

fn route_error(code: ResultCode, method: &str, path: &str) -> FrontError {
    let message = match code {
        ResultCode::MethodNotAllowed => format!("{path} does not take {method}"),
        ResultCode::BadValue => "from must be a whole number".to_string(),
        ResultCode::UnknownRequest => format!("{path} names no request id"),
        ResultCode::UnknownService => format!("{path} names no service"),
        _ => format!("no route is named {path}"),
    };
    FrontError::new(code, message)
}
