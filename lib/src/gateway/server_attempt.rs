//! One attempt of a request at one backend server.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::PlacedServer;
use crate::gateway::accepted_request::end_to_end_headers;
use crate::gateway::accepted_request::record_demand;
use crate::gateway::accepted_request::record_health;
use crate::gateway::accepted_request::record_started;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::attempt_progress::AttemptProgress;
use crate::gateway::attempt_progress::StageGap;
use crate::gateway::backend_directory::BackendEntry;
use crate::gateway::backend_directory::DepartureSource;
use crate::gateway::backend_directory::ServingState;
use crate::gateway::body_reader::BodyError;
use crate::gateway::body_reader::MAX_SERVER_FRAMES;
use crate::gateway::body_reader::read_body;
use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::caller_request::EventNumber;
use crate::gateway::caller_request::PartList;
use crate::gateway::capacity::speed_table::PromptRead;
use crate::gateway::capacity::speed_table::ServerMoment;
use crate::gateway::connection_pool::CallError;
use crate::gateway::connection_pool::ConnectionHistory;
use crate::gateway::connection_pool::PooledConnection;
use crate::gateway::crash_tracker::ExitEvidence;
use crate::gateway::crash_tracker::LostAttempt;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::StreamEvent;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::limit_belief::LimitSource;
use crate::gateway::limit_belief::LimitStatement;
use crate::gateway::platform_api::HeadError;
use crate::gateway::platform_api::ResponseClass;
use crate::gateway::platform_api::ServerNotice;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::process_doubts::ProcessLabel;
use crate::gateway::process_probe::MAX_ENDING_TIME;
use crate::gateway::process_probe::ProbeOutcome;
use crate::gateway::reach::server_call::ServerCall;
use crate::gateway::reach::server_call::ServerTarget;
use crate::gateway::read_schedule::ReadTimes;
use crate::gateway::rollout::answer_tally::AnswerOutcome;
use crate::gateway::rollout::rollout_book::AttemptTicket;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::server_limit::BrittleNotice;
use crate::gateway::server_limit::LimitNotice;
use crate::gateway::stream_relay::is_framed;
use crate::gateway::version_ledger::StreamBegin;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;
use crate::work_parts::WorkPart;

/// Maximum size of a buffered response in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Maximum size in bytes of a body that is not relayed, and read only so that its connection can be
/// used again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// An attempt at a server. Its load counts on the placement table until it is dropped.
pub struct ServerAttempt {
    state: Rc<GatewayState>,
    /// Key of the server.
    pub key: ServerKey,
    id: ServerId,
    address: std::net::SocketAddr,
    began_at: Timestamp,
    /// Requests in flight on the server when it was chosen, from all hosts.
    running: u32,
    /// When the first event of its stream came, if one did.
    answer_begun_at: Option<Timestamp>,
    /// Start time of the server's process, in milliseconds since 1970.
    started_at_ms: Option<u64>,
    /// Version of the server's software.
    version: SoftwareVersion,
    /// Prompt tokens that still count as not prefilled.
    pending_prefill_tokens: u64,
    /// What counts it as waiting at a version that is rolled out, until it is answered.
    unsettled: Option<(ServiceName, AttemptTicket)>,
    /// Service of the server.
    service: ServiceName,
    /// Whether it keeps a place at its server's limit, until it is handed to a connection.
    has_reserved: Cell<bool>,
    /// When it was handed to a connection.
    sent_at: Cell<Timestamp>,
    progress: AttemptProgress,
    /// Connection that it was handed to, and how often that had been used before.
    connection: Cell<Option<ConnectionHistory>>,
    /// State of the server when it was sent.
    moment: ServerMoment,
    /// What the server reads before the first event, if the time to it shows the server's speed.
    read: Cell<Option<PromptRead>>,
    /// Expected time from sending to the first event.
    expected: Duration,
}

impl ServerAttempt {
    /// Starts an attempt and adds its load to the placement table; `None` if the server is no
    /// longer in the directory.
    pub fn start(
        state: &Rc<GatewayState>,
        request: &AcceptedRequest,
        placed: PlacedServer,
        resume_after: Option<u64>,
    ) -> Option<Self> {
        let PlacedServer { key, running, uncached_tokens, limited } = placed;
        let now = state.now();
        let (id, address, started_at_ms, version, slots, reads) = {
            let directory = state.directory.borrow();
            let server = directory.get(key)?;
            let BackendEntry { id, address, started_at_ms, version, slots, .. } = &server.entry;
            let reads = directory.read_times();
            (id.clone(), *address, *started_at_ms, version.clone(), *slots, reads)
        };
        let read_age = |at: fn(ReadTimes) -> Timestamp| {
            reads.map_or(Duration::ZERO, |reads| now.since(at(reads))).as_millis()
        };
        let (pending_tokens, expected) = {
            let placement = state.placement.borrow();
            let pending_tokens = placement.pending_tokens(key);
            let tokens = pending_tokens.saturating_add(uncached_tokens);
            (pending_tokens, placement.speeds().first_event_time(key, tokens))
        };
        let moment = ServerMoment { pending_tokens, running, slots };
        let limit = state.placement.borrow().limits().limit(&id, started_at_ms);
        log::info!(
            "event=attempt_started request={} server={id} version={version} origin={} after={} \
             running={running} uncached_tokens={uncached_tokens} directory_age_ms={} peer_read_age_ms={} \
             peers={} limit_per_s={} closed_by_limits={limited}",
            request.head.request_id,
            request.head.origin,
            EventNumber(resume_after),
            read_age(|reads| reads.own),
            read_age(|reads| reads.newest),
            state.peers.borrow().live_peers(now),
            limit.map_or("-".to_owned(), |limit| limit.per_second().to_string()),
        );
        let prompt = request.head.prompt.as_ref();
        {
            let mut placement = state.placement.borrow_mut();
            placement.on_sent(now, key, prompt, uncached_tokens);
            placement.limits_mut().reserve(&id);
        }
        record_demand(state, request, uncached_tokens);
        let ticket = state.rollouts.borrow_mut().on_sent(
            now,
            &request.service,
            &version,
            &request.route.name,
        );
        state.waiting.on_server_found(now, &request.service);
        request.started_at.set(request.started_at.get().or(Some(now)));
        let attempt = Self {
            state: state.clone(),
            key,
            id,
            address,
            began_at: now,
            running,
            answer_begun_at: None,
            started_at_ms,
            version,
            pending_prefill_tokens: uncached_tokens,
            unsettled: ticket.map(|ticket| (request.service.clone(), ticket)),
            service: request.service.clone(),
            has_reserved: Cell::new(true),
            sent_at: Cell::new(now),
            progress: AttemptProgress::default(),
            connection: Cell::default(),
            moment,
            expected,
            read: Cell::new(
                // A stream that is taken up skips events, which no speed explains.
                prompt
                    .filter(|_| resume_after.is_none())
                    .and_then(|prompt| PromptRead::of_request(prompt, uncached_tokens, moment)),
            ),
        };
        if let Some(binding) = &request.binding {
            // The version is recorded while the server prefills the prompt.
            binding.on_sent(state, &attempt.stream_begin(request));
        }
        Some(attempt)
    }

    /// Returns the identifier of the server.
    pub fn server(&self) -> &ServerId {
        &self.id
    }

    /// Returns the server as attempts are sent to it.
    fn target(&self) -> ServerTarget<'_> {
        ServerTarget {
            key: self.key,
            id: &self.id,
            service: &self.service,
            address: self.address,
            started_at_ms: self.started_at_ms,
        }
    }

    fn notice_source(&self) -> NoticeSource<'_> {
        let (server, started_at_ms) = (&self.id, self.started_at_ms);
        NoticeSource { server, started_at_ms, sent_at: self.sent_at.get() }
    }

    /// Returns whether a failure of the attempt says nothing about the server, since this host could not open
    /// connections to it.
    pub fn is_own_failure(&self) -> bool {
        is_own_failure(&self.state, self.key, &self.service, &self.progress)
    }

    /// Returns the expected time from sending to the first event.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Returns the version of the server's software.
    pub fn version(&self) -> &SoftwareVersion {
        &self.version
    }

    /// Returns how far the attempt has come.
    pub fn progress(&self) -> &AttemptProgress {
        &self.progress
    }

    /// Returns where a stream begins whose first event comes from this attempt.
    pub fn stream_begin(&self, request: &AcceptedRequest) -> StreamBegin {
        StreamBegin { service: request.service.clone(), version: self.version.clone() }
    }

    /// Returns the time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.state.now().since(self.began_at)
    }

    /// Records that the first event of the stream came.
    pub fn on_first_event(&mut self) {
        self.answer_begun_at = Some(self.state.now());
        self.on_prefilled();
        self.settle();
    }

    fn settle(&mut self) {
        if let Some((service, ticket)) = self.unsettled.take() {
            self.state.rollouts.borrow_mut().on_settled(&service, ticket);
        }
    }

    /// Records that an event arrived, and that of the first one as a measurement of the server's speed.
    pub fn on_event_read(&self, request: &AcceptedRequest) {
        let now = self.state.now();
        if self.progress.on_event(now) {
            let stages = self.progress.stages();
            log::info!(
                "event=stream_begun request={} server={} head_ms={} first_event_ms={}",
                request.head.request_id,
                self.id,
                StageGap(stages.sent_at, stages.head_at),
                StageGap(stages.head_at, stages.event_at),
            );
        }
        self.measure_first_event(&request.service);
    }

    fn measure_first_event(&self, service: &ServiceName) {
        let Some(read) = self.read.take() else { return };
        let now = self.state.now();
        let elapsed = now.since(self.sent_at.get());
        let ratio = elapsed.as_secs_f64() / self.expected.as_secs_f64().max(f64::EPSILON);
        let ratios = &self.state.metrics.first_event_ratio;
        ratios.with_label_values(&[service.as_str()]).observe(ratio);
        let mut placement = self.state.placement.borrow_mut();
        placement.speeds_mut().on_first_event(now, self.key, read, elapsed);
    }

    /// Records a pause between two events, as a measurement of the server's speed.
    pub fn on_event_gap(&self, gap: Duration) {
        let mut placement = self.state.placement.borrow_mut();
        placement.speeds_mut().on_event_gap(self.state.now(), self.key, gap);
    }

    /// Records the events of a complete stream whose request asked for so many output tokens at most.
    pub fn on_stream_end(&self, events: u64, requested: u32) {
        let mut placement = self.state.placement.borrow_mut();
        placement.speeds_mut().on_stream_end(self.key, self.moment.slots, events, requested);
    }

    /// Records that the whole answer of a plain call arrived, as a measurement of the server's speed.
    fn on_plain_answer(&self) {
        let now = self.state.now();
        let elapsed = now.since(self.sent_at.get());
        let mut placement = self.state.placement.borrow_mut();
        placement.speeds_mut().on_plain_answer(now, self.key, self.moment, elapsed);
    }

    /// Records that something of the response arrived.
    pub fn on_heard(&self) {
        let now = self.state.now();
        if !self.progress.stages().is_forwarded {
            self.state.reach.borrow_mut().on_heard(now, self.key);
        }
        self.state.placement.borrow_mut().limits_mut().on_heard(now, &self.id);
    }

    /// Records that the whole response of a plain application arrived.
    fn on_app_answer(&self) {
        let now = self.state.now();
        let slots = self.state.directory.borrow().get(self.key).map(|server| server.entry.slots);
        if let Some(slots) = slots {
            let elapsed = now.since(self.began_at);
            let mut placement = self.state.placement.borrow_mut();
            placement.on_app_answer(self.key, slots, self.running, elapsed);
        }
    }

    fn release_place(&self) {
        if self.has_reserved.take() {
            self.state.placement.borrow_mut().limits_mut().release(&self.id);
        }
    }

    /// Records that the server has prefilled the prompt.
    fn on_prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.state.placement.borrow_mut().on_prefilled(self.key, tokens);
    }
}

impl Drop for ServerAttempt {
    fn drop(&mut self) {
        self.on_prefilled();
        self.settle();
        self.release_place();
        self.state.placement.borrow_mut().on_ended(self.key);
        self.state.waiting.on_room(&self.service);
    }
}

/// The fields of an attempt that its server receives.
pub struct AttemptRequest<'a> {
    /// Server that the attempt is meant for.
    pub server: &'a ServerId,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Number of the event after which a stream resumes.
    pub resume_after: Option<u64>,
}

/// A response whose head has arrived, with its body still to read.
pub struct OpenResponse {
    /// The attempt.
    pub attempt: ServerAttempt,
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Connection that carries the response.
    pub connection: PooledConnection,
    /// What was read of the body as events.
    pub begun: BegunStream,
}

/// The part of a stream that was read before it is relayed.
pub struct BegunStream {
    /// Holds what was read, but for the first event.
    pub splitter: EventSplitter,
    /// The first event.
    pub first_event: Option<StreamEvent>,
}

impl BegunStream {
    /// Builds a stream of which nothing was read, with buffers leased from `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        Self { splitter: EventSplitter::new(budget), first_event: None }
    }
}

/// What becomes of the body of a server's own error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorBody {
    /// It is read, for the caller.
    Read,
    /// It is not read, so that the request goes on elsewhere at once.
    Skip,
}

/// How an attempt ended.
pub enum AttemptOutcome {
    /// A complete response to relay.
    Buffered(Response<Bytes>),
    /// The start of a stream.
    Stream(Box<OpenResponse>),
    /// The attempt failed; a server's own error comes with its response.
    Failed(AttemptFailure, Option<Response<Bytes>>),
    /// The request's deadline passed first.
    TimedOut,
}

/// Sends an attempt and waits until the deadline for a complete response or the head of a stream.
pub async fn send_attempt<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    error_body: ErrorBody,
    deadline: Timestamp,
) -> AttemptOutcome {
    let state = attempt.state.clone();
    let key = attempt.key;
    let (version, began_at) = (attempt.version.clone(), attempt.began_at);
    let (service, address, progress) =
        (attempt.service.clone(), attempt.address, attempt.progress.clone());
    let time_left = deadline.since(state.now());
    let exchange = exchange(wire, attempt, request, resume_after, error_body, time_left);
    let outcome = timeout(time_left, exchange).await.unwrap_or(AttemptOutcome::TimedOut);
    let is_own = is_own_failure(&state, key, &service, &progress);
    let evidence = match &outcome {
        AttemptOutcome::Failed(AttemptFailure::Lost, _) | AttemptOutcome::TimedOut if is_own => {
            return outcome;
        }
        AttemptOutcome::Failed(AttemptFailure::Unsent, _) if !progress.stages().is_tried => {
            return outcome;
        }
        // The process at the other end of an open connection lives.
        AttemptOutcome::Failed(AttemptFailure::Unsent, _)
            if is_own && state.pool.has_connection_from_before(address, Instant::now()) =>
        {
            return outcome;
        }
        AttemptOutcome::Buffered(_) | AttemptOutcome::Stream(_) => HealthEvidence::Answered,
        AttemptOutcome::Failed(AttemptFailure::Unsent | AttemptFailure::Misdirected, _) => {
            HealthEvidence::Unreachable
        }
        AttemptOutcome::Failed(AttemptFailure::Lost | AttemptFailure::Failed, _)
        | AttemptOutcome::TimedOut => HealthEvidence::Failed,
        AttemptOutcome::Failed(AttemptFailure::Refused, _) => HealthEvidence::Answered,
        AttemptOutcome::Failed(AttemptFailure::Withheld, _) => return outcome,
    };
    record_health(&state, key, evidence);
    let answer = match &outcome {
        AttemptOutcome::Buffered(_) => AnswerOutcome::Answered(state.now().since(began_at)),
        AttemptOutcome::Failed(AttemptFailure::Failed, _) | AttemptOutcome::TimedOut => {
            AnswerOutcome::Failed
        }
        AttemptOutcome::Failed(AttemptFailure::Lost, _) => AnswerOutcome::Lost,
        // A stream counts with its first event, and what did not run says nothing.
        AttemptOutcome::Stream(_) | AttemptOutcome::Failed(..) => return outcome,
    };
    rollout_keeper::record_answer(&state, request, &version, answer);
    outcome
}

/// Returns whether a failure of an attempt says nothing about its server, since this host's connections to the
/// server fail and no peer carried the attempt.
pub fn is_own_failure(
    state: &GatewayState,
    key: ServerKey,
    service: &ServiceName,
    progress: &AttemptProgress,
) -> bool {
    !progress.stages().is_forwarded && state.reach.borrow().is_unreached(key, service)
}

/// Records why an attempt got no response.
async fn record_call_error(
    state: &GatewayState,
    request: &AcceptedRequest,
    attempt: &ServerAttempt,
    error: &CallError,
) -> AttemptFailure {
    let failure = match error {
        CallError::Unopened { .. } | CallError::Unsent(_) => AttemptFailure::Unsent,
        CallError::Lost(_) => AttemptFailure::Lost,
        CallError::Withheld => AttemptFailure::Withheld,
    };
    log_failure(state, request, attempt, failure, &error.to_string());
    match failure {
        AttemptFailure::Unsent if !attempt.progress.stages().is_tried => {}
        AttemptFailure::Unsent => {
            let address = attempt.address;
            if !state.pool.has_connection_from_before(address, Instant::now()) {
                doubt_process(state, attempt);
            }
            // While new connections are refused, those that are open may live on.
            let now = state.now();
            if state.reach.borrow().is_silent(now, attempt.key, &attempt.service) {
                state.pool.close_idle(address);
            }
            if state.crashes.borrow().has_lost(attempt.server()) {
                confirm_crash(state, attempt, Instant::now()).await;
            }
        }
        AttemptFailure::Withheld => {}
        _ => record_lost(state, request, attempt).await,
    }
    failure
}

async fn exchange<W: WireProtocol>(
    wire: &W,
    attempt: ServerAttempt,
    request: &AcceptedRequest,
    resume_after: Option<u64>,
    error_body: ErrorBody,
    time_left: Duration,
) -> AttemptOutcome {
    let state = attempt.state.clone();
    let deadline = state.now() + time_left;
    let message = || {
        let time_left = deadline.since(state.now());
        let attempt = AttemptRequest { server: attempt.server(), time_left, resume_after };
        request.message(wire, &attempt)
    };
    let is_wanted = |history| hand_over(&state, request, &attempt, history);
    let call = ServerCall {
        target: attempt.target(),
        request_id: &request.head.request_id,
        expected: attempt.expected,
        progress: &attempt.progress,
    };
    let (response, mut connection) = match call.send(&state, message, is_wanted).await {
        Ok(called) => called,
        Err(error) => {
            let failure = record_call_error(&state, request, &attempt, &error).await;
            return AttemptOutcome::Failed(failure, None);
        }
    };
    let (head, body) = response.into_parts();
    attempt.on_heard();
    let notice = wire.read_notice(&request.head.request_id, &head);
    record_notice(&state, attempt.notice_source(), notice);
    let class = wire.classify_response(&request.head.request_id, &head);
    let names_request = wire.names_request(&head);
    if !names_request {
        connection.forbid_reuse();
    }
    if class != ResponseClass::Relay {
        log::info!(
            "event=attempt_response request={} server={} connection={} status={} class={class:?} \
             names_request={names_request}",
            request.head.request_id,
            attempt.server(),
            ConnectionLabel(attempt.connection.get()),
            head.status.as_u16(),
        );
    }
    if class == ResponseClass::Relay && request.route.kind.is_stream() && head.status.is_success() {
        if !may_be_events(&head.headers) {
            log_failure(&state, request, &attempt, AttemptFailure::Lost, "not a stream of events");
            return AttemptOutcome::Failed(AttemptFailure::Lost, None);
        }
        attempt.progress.on_head(state.now());
        let response = Response::from_parts(head, body);
        let begun = BegunStream::new(&state.buffers);
        return AttemptOutcome::Stream(Box::new(OpenResponse {
            attempt,
            response,
            connection,
            begun,
        }));
    }
    if class == ResponseClass::Unusable {
        log_failure(&state, request, &attempt, AttemptFailure::Lost, "unusable response");
        return AttemptOutcome::Failed(AttemptFailure::Lost, None);
    }
    if class == ResponseClass::Failure(AttemptFailure::Failed) && error_body == ErrorBody::Skip {
        log_failure(&state, request, &attempt, AttemptFailure::Failed, head.status.as_str());
        record_started(&state, request);
        record_answered(&state, request);
        return AttemptOutcome::Failed(AttemptFailure::Failed, None);
    }
    let response = Response::from_parts(head, body);
    let open =
        OpenResponse { attempt, response, connection, begun: BegunStream::new(&state.buffers) };
    buffer_response(&state, request, class, open).await
}

/// Returns whether a response may carry events by its content type, which it need not state.
fn may_be_events(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return true };
    let kind = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    kind.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Returns whether a request may be handed to its server's connection, and records it if so.
fn hand_over(
    state: &GatewayState,
    request: &AcceptedRequest,
    attempt: &ServerAttempt,
    history: ConnectionHistory,
) -> bool {
    let (now, server) = (state.now(), attempt.server());
    let is_refused = state.crashes.borrow().is_refused(&request.work);
    if is_refused || !rollout_keeper::may_send(state, &request.service, &attempt.version) {
        let reason = if is_refused { "crash_refused" } else { "version_withheld" };
        log::info!(
            "event=attempt_withheld request={} server={server} reason={reason}",
            request.head.request_id
        );
        return false;
    }
    // The server may have left while a connection to it was opened.
    if !state.directory.borrow().accepts_work(attempt.key, attempt.started_at_ms, attempt.address) {
        state.metrics.events.with_label_values(&["departure_withheld"]).inc();
        log::info!("event=departure_withheld request={} server={server}", request.head.request_id);
        return false;
    }
    attempt.release_place();
    let mut placement = state.placement.borrow_mut();
    if placement.is_paused(now, server) {
        log::info!(
            "event=attempt_withheld request={} server={server} reason=server_paused",
            request.head.request_id
        );
        return false;
    }
    if !placement.limits_mut().take(now, server, attempt.started_at_ms) {
        state.metrics.events.with_label_values(&["limit_withheld"]).inc();
        log::info!("event=limit_withheld request={} server={server}", request.head.request_id);
        return false;
    }
    if placement.limits().limit(server, attempt.started_at_ms).is_some() {
        state.metrics.events.with_label_values(&["limited_sent"]).inc();
    }
    attempt.sent_at.set(now);
    attempt.progress.on_sent(now);
    attempt.connection.set(Some(history));
    placement.on_handed_over(now, server);
    log::info!(
        "event=attempt_sent request={} server={server} connection={} earlier_requests={} waited_ms={}",
        request.head.request_id,
        history.connection,
        history.requests,
        now.since(attempt.began_at).as_millis(),
    );
    true
}

/// Where a notice comes from.
#[derive(Clone, Copy, Debug)]
pub struct NoticeSource<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// Start time of its process in milliseconds since 1970, if it is known.
    pub started_at_ms: Option<u64>,
    /// When the request was sent.
    pub sent_at: Timestamp,
}

/// Records what a server says of itself in the head of a response.
pub fn record_notice(
    state: &GatewayState,
    source: NoticeSource<'_>,
    (notice, errors): (ServerNotice, std::result::Result<(), HeadError>),
) {
    let (now, server) = (state.now(), source.server);
    if let Err(error) = errors {
        state.metrics.events.with_label_values(&["server_notice_skipped"]).inc();
        log::warn!("event=server_notice_skipped code=404 server={server} detail=\"{error}\"");
    }
    record_brittle(state, source, notice.brittle);
    record_limit(state, source, notice.limit);
    if notice.is_leaving {
        state.on_departure(server, source.started_at_ms, DepartureSource::Server);
    }
    let mut placement = state.placement.borrow_mut();
    match notice.pause.or(notice.brittle.pause()) {
        Some(pause) => {
            placement.on_pause(now, server, pause);
            state.metrics.events.with_label_values(&["server_paused"]).inc();
            log::info!("event=server_paused server={server} pause_ms={}", pause.as_millis());
        }
        None => placement.on_answered(now, server),
    }
}

fn record_brittle(state: &GatewayState, source: NoticeSource<'_>, notice: BrittleNotice) {
    let is_brittle = match notice {
        BrittleNotice::Unknown => return,
        BrittleNotice::Sound => false,
        BrittleNotice::Brittle { .. } => true,
    };
    let key = state.directory.borrow().find(source.server);
    let changed = key.is_some_and(|key| state.placement.borrow_mut().set_brittle(key, is_brittle));
    if changed {
        state.metrics.events.with_label_values(&["server_brittle"]).inc();
        log::info!("event=server_brittle server={} brittle={is_brittle}", source.server);
    }
}

fn record_limit(state: &GatewayState, source: NoticeSource<'_>, notice: LimitNotice) {
    let statement = match notice {
        LimitNotice::Named(limit) => LimitStatement::Named { limit, heard_at: state.now() },
        LimitNotice::Unnamed => LimitStatement::Unnamed { sent_at: source.sent_at },
        LimitNotice::Unknown => return,
    };
    state.on_limit_statement(source.server, source.started_at_ms, statement, LimitSource::Server);
}

/// Reads a stream up to its first event after number `after`, until the deadline. Comments and events that
/// it repeats do not show that its server goes on with the stream.
pub async fn await_first_event(
    state: &GatewayState,
    request: &AcceptedRequest,
    stream: OpenResponse,
    after: Option<u64>,
    deadline: Timestamp,
) -> AttemptOutcome {
    let mut stream = stream;
    let time_left = deadline.since(state.now());
    match timeout(time_left, read_first_event(&mut stream, after)).await {
        Ok(Ok(())) => {
            stream.attempt.on_event_read(request);
            AttemptOutcome::Stream(Box::new(stream))
        }
        Ok(Err(detail)) => {
            log_failure(state, request, &stream.attempt, AttemptFailure::Lost, &detail);
            record_lost(state, request, &stream.attempt).await;
            AttemptOutcome::Failed(AttemptFailure::Lost, None)
        }
        Err(_) => AttemptOutcome::TimedOut,
    }
}

async fn read_first_event(
    stream: &mut OpenResponse,
    after: Option<u64>,
) -> std::result::Result<(), String> {
    let is_new = |event: &StreamEvent| {
        let is_repeated = event.id.zip(after).is_some_and(|(id, after)| id <= after);
        !event.is_comment() && !is_repeated
    };
    let BegunStream { splitter, first_event } = &mut stream.begun;
    while first_event.is_none() {
        let frame = stream.response.body_mut().frame().await;
        let frame = frame.ok_or("no event")?.map_err(|error| error.to_string())?;
        if let Ok(bytes) = frame.into_data() {
            splitter.push(&bytes).map_err(|error| error.to_string())?;
            while let Some(event) = splitter.next_event().map_err(|error| error.to_string())? {
                if is_new(&event) {
                    *first_event = Some(event);
                    break;
                }
            }
        }
    }
    Ok(())
}

/// Reads a response to its end, for one that is not relayed event by event.
async fn buffer_response(
    state: &GatewayState,
    request: &AcceptedRequest,
    class: ResponseClass,
    open: OpenResponse,
) -> AttemptOutcome {
    let OpenResponse { mut attempt, response, connection, .. } = open;
    let (head, body) = response.into_parts();
    let limit = match class {
        ResponseClass::Failure(AttemptFailure::Failed)
        | ResponseClass::Relay
        | ResponseClass::Unusable => MAX_RESPONSE_BYTES,
        ResponseClass::Failure(_) => MAX_DISCARDED_BYTES,
    };
    let bytes = match read_body(body, state.buffers.lease(limit), MAX_SERVER_FRAMES).await {
        Ok(bytes) => bytes,
        Err(error) => {
            let failure = match class {
                ResponseClass::Failure(failure) => failure,
                ResponseClass::Relay | ResponseClass::Unusable => AttemptFailure::Lost,
            };
            log_failure(state, request, &attempt, failure, &error.to_string());
            if matches!(error, BodyError::Connection(_)) {
                record_lost(state, request, &attempt).await;
            }
            return AttemptOutcome::Failed(failure, None);
        }
    };
    if class == ResponseClass::Relay
        && !is_framed(&head.headers)
        && ended_with_process(state, &attempt).await
    {
        log_failure(state, request, &attempt, AttemptFailure::Lost, "ended with its server");
        record_lost(state, request, &attempt).await;
        return AttemptOutcome::Failed(AttemptFailure::Lost, None);
    }
    connection.release();
    attempt.on_prefilled();
    let mut response = Response::new(bytes);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    match class {
        ResponseClass::Failure(failure) => {
            log_failure(state, request, &attempt, failure, head.status.as_str());
            // Only an error of work that ran is relayed; the gateway reports the others itself.
            let ran = failure == AttemptFailure::Failed;
            if ran {
                record_started(state, request);
                record_answered(state, request);
            }
            AttemptOutcome::Failed(failure, ran.then_some(response))
        }
        ResponseClass::Relay | ResponseClass::Unusable => {
            if request.head.prompt.is_none() {
                attempt.on_plain_answer();
                attempt.on_app_answer();
            }
            record_started(state, request);
            record_answered(state, request);
            AttemptOutcome::Buffered(response)
        }
    }
}

/// Returns whether the process of a server is gone. A response without a length or chunks that ends with its
/// connection may then be a part of one.
pub async fn ended_with_process(state: &GatewayState, attempt: &ServerAttempt) -> bool {
    attempt.target().probe(state).await == ProbeOutcome::Refused
}

/// Records that a request was answered soundly, so that it does not crash servers.
pub fn record_answered(state: &GatewayState, request: &AcceptedRequest) {
    let cleared = state.crashes.borrow_mut().on_answered(state.now(), &request.work);
    if !cleared.is_empty() {
        let parts: Vec<String> = cleared.iter().map(WorkPart::to_string).collect();
        let id = &request.head.request_id;
        log::info!("event=suspects_cleared request={id} parts={}", parts.join(","));
    }
}

/// Records a request whose connection broke, and whether its server crashed.
pub async fn record_lost(state: &GatewayState, request: &AcceptedRequest, attempt: &ServerAttempt) {
    let (now, server) = (state.now(), attempt.server());
    let lost = LostAttempt {
        whole: request.whole,
        work: &request.work,
        began_at: attempt.began_at,
        answer_begun_at: attempt.answer_begun_at,
    };
    state.crashes.borrow_mut().on_connection_lost(now, server, &lost);
    let lost_at = Instant::now();
    doubt_process(state, attempt);
    confirm_crash(state, attempt, lost_at).await;
    // A crash closes all connections of a process together.
    if state.pool.has_connection_from_before(attempt.address, lost_at) {
        state.doubts.borrow_mut().on_alive(server, state.now());
    }
}

/// Records that a server's process may have ended, until its entry is read anew.
fn doubt_process(state: &GatewayState, attempt: &ServerAttempt) {
    let version = attempt.version.clone();
    let label = ProcessLabel { started_at_ms: attempt.started_at_ms, version };
    state.doubts.borrow_mut().on_lost(state.now(), attempt.server(), label);
    state.directory_hint.set(true);
}

/// Finds out whether a server that lost attempts still runs. The end of a server that is leaving is
/// no crash.
async fn confirm_crash(state: &GatewayState, attempt: &ServerAttempt, lost_at: Instant) {
    let server = attempt.server();
    if !is_listed_ready(state, attempt.key) {
        return state.crashes.borrow_mut().on_server_alive(server);
    }
    let target = attempt.target();
    let outcome = state.probes.probe(state.now(), server, target.probe(state)).await;
    // A process that is ending may accept connections until all of its own are closed.
    let has_older = state.pool.has_connection_from_before(attempt.address, lost_at);
    match outcome {
        ProbeOutcome::Serves if !has_older => recheck_process(attempt),
        outcome => record_probe(state, server, outcome),
    }
}

fn is_listed_ready(state: &GatewayState, key: ServerKey) -> bool {
    let directory = state.directory.borrow();
    directory.get(key).is_some_and(|listed| listed.entry.state == ServingState::Ready)
}

/// Probes a server once more, after the time that a process takes to end.
fn recheck_process(attempt: &ServerAttempt) {
    let state = attempt.state.clone();
    let Some(recheck) = state.probes.begin_recheck(attempt.server()) else { return };
    let (key, address, started_at_ms) = (attempt.key, attempt.address, attempt.started_at_ms);
    let (id, service) = (attempt.server().clone(), attempt.service.clone());
    tokio::task::spawn_local(async move {
        tokio::time::sleep(MAX_ENDING_TIME).await;
        let target = ServerTarget { key, id: &id, service: &service, address, started_at_ms };
        let outcome = target.probe(&state).await;
        let is_same = state.directory.borrow().accepts_work(key, started_at_ms, address);
        match outcome {
            ProbeOutcome::Refused if !is_listed_ready(&state, key) => {
                state.crashes.borrow_mut().on_server_alive(&id);
            }
            // Another process answers for itself only.
            ProbeOutcome::Serves if !is_same => {}
            outcome => record_probe(&state, &id, outcome),
        }
        drop(recheck);
    });
}

fn record_probe(state: &GatewayState, server: &ServerId, outcome: ProbeOutcome) {
    match outcome {
        ProbeOutcome::Refused => state.on_server_gone(server, ExitEvidence::Refused),
        ProbeOutcome::Serves => state.crashes.borrow_mut().on_server_alive(server),
        ProbeOutcome::Unknown => {}
    }
}

/// Displays the number of a connection, or `-` if there is none.
struct ConnectionLabel(Option<ConnectionHistory>);

impl fmt::Display for ConnectionLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(history) => write!(formatter, "{}", history.connection),
            None => formatter.write_str("-"),
        }
    }
}

fn log_failure(
    state: &GatewayState,
    request: &AcceptedRequest,
    attempt: &ServerAttempt,
    failure: AttemptFailure,
    detail: &str,
) {
    state.metrics.attempts.with_label_values(&[&format!("{failure:?}")]).inc();
    log::info!(
        "event=attempt_failed request={} server={} failure={failure:?} connection={} parts={} \
         detail=\"{detail}\"",
        request.head.request_id,
        attempt.server(),
        ConnectionLabel(attempt.connection.get()),
        PartList(request.head.prompt.as_ref()),
    );
}
