//! Relays a stream of events to its caller, and resumes it at another server if its server is lost.
//!
//! Only complete events are relayed. Each numbered event is relayed once: duplicates that another
//! server sends are dropped. A stream that falls silent stays open while another server is asked to
//! resume it; whichever sends first is relayed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::InFlightGuard;
use crate::gateway::accepted_request::end_to_end_headers;
use crate::gateway::accepted_request::log_request_end;
use crate::gateway::accepted_request::place_request;
use crate::gateway::accepted_request::record_health;
use crate::gateway::accepted_request::record_late_answer;
use crate::gateway::accepted_request::record_started;
use crate::gateway::accepted_request::record_timeliness;
use crate::gateway::accepted_request::request_kind_label;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::attempt_plan::AttemptPlan;
use crate::gateway::attempt_plan::AttemptStep;
use crate::gateway::attempt_race::AttemptRace;
use crate::gateway::attempt_race::DropReason;
use crate::gateway::attempt_race::RaceEvent;
use crate::gateway::attempt_race::record_dropped;
use crate::gateway::attempt_race::record_silent_server;
use crate::gateway::caller_request::EventNumber;
use crate::gateway::caller_request::PartList;
use crate::gateway::caller_request::PromptShape;
use crate::gateway::capacity::answer_timing::AnswerTiming;
use crate::gateway::connection_pool::PooledConnection;
use crate::gateway::event_sequence::EventSequence;
use crate::gateway::event_sequence::EventStep;
use crate::gateway::event_splitter;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::StreamEvent;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::panic_catcher::catch_panic;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::reply_body::ChunkSender;
use crate::gateway::reply_body::GatewayReply;
use crate::gateway::reply_body::streaming_body;
use crate::gateway::retry_limiter::RetryPurpose;
use crate::gateway::rollout::answer_tally::AnswerOutcome;
use crate::gateway::rollout::rollout_keeper::record_answer;
use crate::gateway::server_attempt::AttemptOutcome;
use crate::gateway::server_attempt::BegunStream;
use crate::gateway::server_attempt::OpenResponse;
use crate::gateway::server_attempt::ServerAttempt;
use crate::gateway::server_attempt::ended_with_process;
use crate::gateway::server_attempt::record_answered;
use crate::gateway::server_attempt::record_lost;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::stream_binding::BindOutcome;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::result_code::ResultCode;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time after its first event from which a stream that goes on shows that its request does not crash
/// the server.
const SOUND_STREAM_TIME: Duration = Duration::from_secs(2);

/// Time without data in a started stream after which a resumable one is hedged: several times the
/// pause that any batch causes.
const EVENT_SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time without data before the first event after which a resumable stream is hedged, as a multiple
/// of its latency goal. At least `EVENT_SILENCE_LIMIT`.
const FIRST_EVENT_LIMIT_PER_GOAL: u32 = 3;

/// How relaying from one server ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The connection broke, or carried an oversized or incomplete event.
    Lost {
        /// Whether that says nothing about the server.
        is_own: bool,
    },
    /// The server was silent, and another one resumes the stream.
    Superseded(Box<OpenResponse>),
    /// The server was silent, and the stream moved to the attempt in flight.
    Moved,
    /// The software version of the server could not be recorded.
    Unrecorded,
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    TimedOut,
}

/// What a relay waits for.
enum RelayEvent {
    /// The end of a read: a frame, or the end of the body.
    Read(Option<hyper::Result<Frame<Bytes>>>),
    /// The end of a hedged attempt.
    HedgeEnded(ServerKey, AttemptOutcome),
    /// The stream moved to the hedged attempt.
    Moved,
    /// A trial at an earlier server was dropped.
    TrialEnded,
    /// No data within the time limit.
    Silent(Duration),
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    TimedOut,
}

/// The stream of one server while it is relayed.
struct RelayedStream {
    attempt: ServerAttempt,
    body: Incoming,
    connection: PooledConnection,
    splitter: EventSplitter,
    first_event: Option<StreamEvent>,
    /// Whether its body has a length or chunks, which show where it ends.
    is_framed: bool,
    /// Whether an event of it was relayed.
    has_begun: bool,
    /// When its first event was relayed, until it counts as sound.
    begun_at: Option<Timestamp>,
    /// Whether it has been silent for longer than expected.
    is_silent: bool,
    /// Since the last event or hedge; bytes that complete no event do not count.
    quiet_since: Timestamp,
}

impl RelayedStream {
    fn new(stream: OpenResponse, now: Timestamp) -> Self {
        let OpenResponse { attempt, response, connection, begun } = stream;
        let BegunStream { splitter, first_event } = begun;
        let is_framed = is_framed(response.headers());
        Self {
            attempt,
            body: response.into_body(),
            connection,
            splitter,
            first_event,
            is_framed,
            has_begun: false,
            begun_at: None,
            is_silent: false,
            quiet_since: now,
        }
    }

    fn next_complete_event(&mut self) -> event_splitter::Result<Option<StreamEvent>> {
        match self.first_event.take() {
            Some(event) => Ok(Some(event)),
            None => self.splitter.next_event(),
        }
    }
}

/// Returns whether a response's body has a length or chunks.
pub fn is_framed(headers: &HeaderMap) -> bool {
    let coding = headers.get(TRANSFER_ENCODING).and_then(|value| value.to_str().ok());
    coding.is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"))
        || headers.contains_key(CONTENT_LENGTH)
}

/// Whether a stream has anything for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamOpening {
    /// Its first event follows, or it is complete without one.
    Begun,
    /// It ended before its first event.
    Failed(ResultCode),
}

/// The relay of one request's stream.
pub struct StreamRelay<W> {
    state: Rc<GatewayState>,
    request: Rc<AcceptedRequest>,
    plan: AttemptPlan,
    /// Attempts beside the stream that is relayed.
    race: AttemptRace<W>,
    chunks: ChunkSender,
    /// Told once whether the reply's head may be sent.
    opening: Option<oneshot::Sender<StreamOpening>>,
    sequence: EventSequence,
    relayed_events: u64,
    /// Software version of the last server of which an event was relayed.
    relayed_version: Option<SoftwareVersion>,
    /// Times of the answer's events.
    timing: AnswerTiming,
    /// Server that sent the first event, and when it was expected after the sending.
    begun_at_server: Option<(ServerId, Duration)>,
}

impl<W: WireProtocol + 'static> StreamRelay<W> {
    /// Starts relaying and returns the reply, with the first server's status and header fields, once its first
    /// event is there. The error is the code with which the request ended before that.
    pub async fn start(
        state: Rc<GatewayState>,
        race: AttemptRace<W>,
        request: Rc<AcceptedRequest>,
        plan: AttemptPlan,
        stream: OpenResponse,
        guard: InFlightGuard,
    ) -> std::result::Result<GatewayReply, ResultCode> {
        let (chunks, body) = streaming_body();
        let mut reply = Response::new(body);
        *reply.status_mut() = stream.response.status();
        *reply.headers_mut() = end_to_end_headers(stream.response.headers());
        // The first server's length is wrong if another server resumes the stream.
        reply.headers_mut().remove(CONTENT_LENGTH);
        let sequence = EventSequence::new(request.head.resume_after);
        let (opening, opened) = oneshot::channel();
        let mut race = race;
        race.skip_error_bodies();
        let relay = Self {
            state,
            request,
            plan,
            race,
            chunks,
            opening: Some(opening),
            sequence,
            relayed_events: 0,
            relayed_version: None,
            timing: AnswerTiming::default(),
            begun_at_server: None,
        };
        let chunks = relay.chunks.clone();
        tokio::task::spawn_local(async move {
            if let Err(panic) = catch_panic(relay.run(stream)).await {
                log::error!("event=request_panicked detail=\"{panic}\"");
                // Without an error the body would look complete. Sending fails only if the caller
                // disconnected meanwhile.
                let _ = chunks.send_truncated().await;
            }
            drop(guard);
        });
        match opened.await {
            Ok(StreamOpening::Begun) => Ok(reply),
            Ok(StreamOpening::Failed(code)) => Err(code),
            // The relay panicked.
            Err(_) => Err(ResultCode::Internal),
        }
    }

    /// Tells once whether the reply's head may be sent.
    fn open(&mut self, opening: StreamOpening) {
        if let Some(sender) = self.opening.take() {
            // An error means that the caller has disconnected.
            let _ = sender.send(opening);
        }
    }

    async fn run(mut self, stream: OpenResponse) {
        let mut stream = stream;
        loop {
            let key = stream.attempt.key;
            self.race.set_relaying(true);
            let end = self.relay_from_server(stream).await;
            self.race.set_relaying(false);
            let step = match end {
                RelayEnd::Complete => return self.finish(ResultCode::Complete).await,
                RelayEnd::CallerDisconnected => return self.finish(ResultCode::CallerLost).await,
                RelayEnd::TimedOut => return self.finish(ResultCode::DeadlinePassed).await,
                RelayEnd::Unrecorded => return self.finish(ResultCode::StreamUnrecorded).await,
                RelayEnd::Superseded(next) => {
                    self.plan.on_hedge_dropped(key);
                    stream = *next;
                    continue;
                }
                RelayEnd::Moved => {
                    self.plan.on_moved(key);
                    AttemptStep::AwaitOther
                }
                RelayEnd::Lost { is_own } => {
                    if !is_own {
                        record_health(&self.state, key, HealthEvidence::Failed);
                    }
                    self.plan.on_failure(self.state.now(), key, AttemptFailure::Lost)
                }
            };
            match self.resume(step).await {
                Ok(next) => stream = next,
                Err(code) => return self.finish(code).await,
            }
        }
    }

    async fn finish(mut self, code: ResultCode) {
        // The plan counts only failed attempts; any other end adds one that did not fail.
        let unfailed = u32::from(code != ResultCode::AttemptsLost);
        let attempts = self.plan.sent() + unfailed;
        let version = self.relayed_version.as_ref().map_or("-", SoftwareVersion::as_str);
        let detail =
            format!("events={} attempts={attempts} version={version}", self.relayed_events);
        log_request_end(&self.state, &self.request, code, &detail);
        if let Some((server, expected)) = &self.begun_at_server {
            record_late_answer(&self.state, &self.request, &self.timing, server, *expected);
        }
        self.open(match code {
            ResultCode::Complete => StreamOpening::Begun,
            code => StreamOpening::Failed(code),
        });
        if code != ResultCode::Complete && code != ResultCode::CallerLost {
            // Sending fails only if the caller disconnected meanwhile; it needs no error then.
            let _ = self.chunks.send_truncated().await;
        }
    }

    /// Relays events from one server until its stream ends.
    async fn relay_from_server(&mut self, stream: OpenResponse) -> RelayEnd {
        let mut stream = RelayedStream::new(stream, self.state.now());
        self.sequence.start_run();
        loop {
            if let Some(end) = self.relay_complete_events(&mut stream).await {
                return end;
            }
            match self.next_event(&mut stream).await {
                RelayEvent::Read(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Err(error) = stream.splitter.push(&bytes) {
                        return self.lose_stream(&stream, &error.to_string());
                    }
                }
                RelayEvent::Read(Some(Err(error))) => {
                    record_lost(&self.state, &self.request, &stream.attempt).await;
                    return self.lose_stream(&stream, &error.to_string());
                }
                RelayEvent::Read(None) if stream.splitter.has_partial_event() => {
                    return self.lose_stream(&stream, "ended within an event");
                }
                RelayEvent::Read(None) if !self.sequence.is_complete(stream.is_framed) => {
                    return self.lose_stream(&stream, "ended before its next event");
                }
                RelayEvent::Read(None)
                    if !stream.is_framed
                        && ended_with_process(&self.state, &stream.attempt).await =>
                {
                    record_lost(&self.state, &self.request, &stream.attempt).await;
                    return self.lose_stream(&stream, "ended with its server");
                }
                RelayEvent::Read(None) => {
                    stream.connection.release();
                    record_answered(&self.state, &self.request);
                    if let Some(prompt) = self.whole_prompt() {
                        let requested = prompt.max_output_tokens;
                        stream.attempt.on_stream_end(self.relayed_events, requested);
                    }
                    return RelayEnd::Complete;
                }
                RelayEvent::HedgeEnded(_, AttemptOutcome::Stream(next))
                    if self.continues(&next) =>
                {
                    let reason = DropReason::OtherAnswered;
                    let kept = next.attempt.progress();
                    record_dropped(&self.state, &self.request, &stream.attempt, kept, reason);
                    return RelayEnd::Superseded(next);
                }
                RelayEvent::HedgeEnded(key, outcome) => {
                    self.on_hedge_failed(&stream, key, outcome);
                }
                RelayEvent::Moved => {
                    self.race.record_moved(&stream.attempt);
                    return RelayEnd::Moved;
                }
                RelayEvent::TrialEnded => self.plan.on_trial_ended(),
                RelayEvent::Silent(silence) => self.on_silence(&mut stream, silence),
                RelayEvent::CallerDisconnected => return RelayEnd::CallerDisconnected,
                RelayEvent::TimedOut => return RelayEnd::TimedOut,
            }
        }
    }

    /// Returns the prompt of a stream that this request has relayed from its begin.
    fn whole_prompt(&self) -> Option<&PromptShape> {
        self.request.head.prompt.as_ref().filter(|_| self.request.head.resume_after.is_none())
    }

    /// Relays what is complete of a stream; returns how relaying ended if it cannot continue.
    async fn relay_complete_events(&mut self, stream: &mut RelayedStream) -> Option<RelayEnd> {
        loop {
            let event = match stream.next_complete_event() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(error) => return Some(self.lose_stream(stream, &error.to_string())),
            };
            let step = self.sequence.step(&event);
            if step == EventStep::BreakOff {
                return Some(self.lose_stream(stream, "does not continue the stream"));
            }
            stream.attempt.on_heard();
            stream.attempt.on_event_read(&self.request);
            let read_at = self.state.now();
            if let Some(gap) = self.timing.on_event_read(read_at, self.request.arrived_at) {
                stream.attempt.on_event_gap(gap);
            }
            // This stream is kept, so the attempts beside it are not needed.
            self.race.drop_rest(&mut self.plan, stream.attempt.progress());
            if std::mem::take(&mut stream.is_silent) {
                record_health(&self.state, stream.attempt.key, HealthEvidence::Answered);
            }
            if !stream.has_begun
                && let Some(end) = self.bind_version(stream).await
            {
                return Some(end);
            }
            let now = self.state.now();
            if !std::mem::replace(&mut stream.has_begun, true) {
                stream.begun_at = Some(now);
                self.relayed_version = Some(stream.attempt.version().clone());
                let begun_at = || (stream.attempt.server().clone(), stream.attempt.expected());
                self.begun_at_server.get_or_insert_with(begun_at);
                stream.attempt.on_first_event();
                let answer = AnswerOutcome::Answered(stream.attempt.elapsed());
                record_answer(&self.state, &self.request, stream.attempt.version(), answer);
                self.on_first_event();
            }
            if stream.begun_at.take_if(|at| now.since(*at) >= SOUND_STREAM_TIME).is_some() {
                record_answered(&self.state, &self.request);
            }
            if step == EventStep::Drop {
                self.sequence.on_dropped(&event);
            } else if let Some(end) = self.relay_event(event).await {
                return Some(end);
            }
            stream.quiet_since = self.state.now();
            self.timing.on_event_relayed(stream.quiet_since, read_at);
        }
    }

    /// Binds the request to the software version of the server whose first event is to be relayed; returns
    /// how relaying ended if that may not be.
    async fn bind_version(&mut self, stream: &RelayedStream) -> Option<RelayEnd> {
        let request = self.request.clone();
        let binding = request.binding.as_ref()?;
        let begin = stream.attempt.stream_begin(&request);
        let time_left = self.plan.deadline().since(self.state.now());
        let outcome = tokio::select! {
            outcome = binding.bind(&self.state, &begin) => outcome,
            () = self.chunks.closed() => return Some(RelayEnd::CallerDisconnected),
            () = tokio::time::sleep(time_left) => return Some(RelayEnd::TimedOut),
        };
        match outcome {
            BindOutcome::Bound => None,
            BindOutcome::OtherVersion => Some(self.lose_stream(stream, "another software version")),
            BindOutcome::Unrecorded => Some(RelayEnd::Unrecorded),
        }
    }

    /// Hedges a stream that is silent.
    fn on_silence(&mut self, stream: &mut RelayedStream, silence: Duration) {
        stream.quiet_since = self.state.now();
        if !std::mem::replace(&mut stream.is_silent, true) {
            let attempt = &stream.attempt;
            record_silent_server(
                &self.state,
                &self.request,
                attempt.key,
                attempt.progress(),
                silence,
            );
            let version = stream.attempt.version();
            record_answer(&self.state, &self.request, version, AnswerOutcome::Failed);
        }
        self.hedge_relayed(stream);
    }

    /// Starts a hedged attempt beside the stream that is relayed, if another server can go on with it.
    fn hedge_relayed(&mut self, stream: &RelayedStream) {
        if self.sequence.may_resume() {
            self.race.hedge(&mut self.plan, Some(stream.attempt.key), self.sequence.last());
        }
    }

    /// Returns whether a hedged attempt, of which the first event was read, continues the stream.
    fn continues(&self, hedge: &OpenResponse) -> bool {
        let event = hedge.begun.first_event.as_ref();
        event.is_none_or(|event| self.sequence.joining_step(event) != EventStep::BreakOff)
    }

    /// Records a hedged attempt that failed, and replaces it if its server certainly did not run it.
    fn on_hedge_failed(&mut self, stream: &RelayedStream, key: ServerKey, outcome: AttemptOutcome) {
        let failure = match outcome {
            AttemptOutcome::Failed(failure, _) => failure,
            AttemptOutcome::Stream(_) | AttemptOutcome::Buffered(_) | AttemptOutcome::TimedOut => {
                AttemptFailure::Lost
            }
        };
        self.plan.on_failure(self.state.now(), key, failure);
        if failure.is_not_run() && stream.is_silent {
            self.hedge_relayed(stream);
        }
    }

    fn lose_stream(&self, stream: &RelayedStream, detail: &str) -> RelayEnd {
        let version = stream.attempt.version();
        record_answer(&self.state, &self.request, version, AnswerOutcome::Lost);
        self.log_stream_lost(&stream.attempt, detail);
        RelayEnd::Lost { is_own: stream.attempt.is_own_failure() }
    }

    /// Waits for the next piece of a stream and for what may end the wait.
    async fn next_event(&mut self, stream: &mut RelayedStream) -> RelayEvent {
        let now = self.state.now();
        let time_left = self.plan.deadline().since(now);
        let limit = self.silence_limit(!stream.has_begun, time_left);
        let wait = limit.saturating_sub(now.since(stream.quiet_since)).min(time_left);
        let is_hedged = !self.race.is_empty();
        tokio::select! {
            frame = stream.body.frame() => RelayEvent::Read(frame),
            event = self.race.next(None), if is_hedged => match event {
                RaceEvent::Ended(key, outcome) => RelayEvent::HedgeEnded(key, outcome),
                RaceEvent::Moved(_) => RelayEvent::Moved,
                RaceEvent::TrialEnded => RelayEvent::TrialEnded,
                RaceEvent::Silent => RelayEvent::Silent(limit),
            },
            () = self.chunks.closed() => RelayEvent::CallerDisconnected,
            () = tokio::time::sleep(wait) => match wait < time_left {
                true => RelayEvent::Silent(limit),
                false => RelayEvent::TimedOut,
            },
        }
    }

    /// Relays a complete event; returns how relaying ended if it cannot continue.
    async fn relay_event(&mut self, event: StreamEvent) -> Option<RelayEnd> {
        self.open(StreamOpening::Begun);
        self.sequence.on_relayed(&event);
        self.relayed_events += 1;
        let time_left = self.plan.deadline().since(self.state.now());
        if time_left.is_zero() {
            return Some(RelayEnd::TimedOut);
        }
        match timeout(time_left, self.chunks.send(event.bytes)).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(RelayEnd::CallerDisconnected),
            Err(_) => Some(RelayEnd::TimedOut),
        }
    }

    /// Resumes the stream at another server, if the plan and the retry budget allow it and a server
    /// is available; `step` says how. Returns the code with which the stream ends if none resumes it.
    async fn resume(&mut self, step: AttemptStep) -> std::result::Result<OpenResponse, ResultCode> {
        let mut step = step;
        loop {
            let is_sent = match step {
                AttemptStep::AwaitOther => true,
                AttemptStep::TryAnother { .. } => self.start_resume().is_some(),
                AttemptStep::Return => {
                    self.sequence.may_resume()
                        && self.race.start_return(&mut self.plan, self.sequence.last())
                }
                AttemptStep::RelayFailure | AttemptStep::End(_) => false,
            };
            if !is_sent {
                return Err(ResultCode::AttemptsLost);
            }
            let (key, outcome) = self.next_ended().await.ok_or(ResultCode::CallerLost)?;
            let failure = match outcome {
                AttemptOutcome::Stream(stream) => return Ok(*stream),
                AttemptOutcome::Buffered(_) => return Err(ResultCode::AttemptsLost),
                AttemptOutcome::TimedOut => return Err(ResultCode::DeadlinePassed),
                AttemptOutcome::Failed(failure, _) => failure,
            };
            step = self.plan.on_failure(self.state.now(), key, failure);
        }
    }

    /// Sends an attempt that resumes the stream; `None` if none may be sent.
    fn start_resume(&mut self) -> Option<()> {
        let now = self.state.now();
        if !self.sequence.may_resume() || self.state.crashes.borrow().is_refused(&self.request.work)
        {
            return None;
        }
        let placed = place_request(&self.state, now, &self.request, self.plan.tried()).ok()?;
        if !self.state.try_retry(now, &self.request.service, RetryPurpose::Failure) {
            return None;
        }
        log::info!(
            "event=stream_resumed request={} after={}",
            self.request.head.request_id,
            EventNumber(self.sequence.last()),
        );
        self.race.start(placed, self.plan.deadline(), self.sequence.last()).then_some(())
    }

    /// Waits until an attempt to resume the stream ends, and hedges silent ones; `None` if the caller
    /// disconnects.
    async fn next_ended(&mut self) -> Option<(ServerKey, AttemptOutcome)> {
        loop {
            let time_left = self.plan.deadline().since(self.state.now());
            let limit = self.silence_limit(true, time_left);
            let event = tokio::select! {
                event = self.race.next(Some(limit)) => event,
                () = self.chunks.closed() => return None,
            };
            match event {
                RaceEvent::Ended(key, outcome) => return Some((key, outcome)),
                RaceEvent::Moved(given_up) => {
                    given_up.into_iter().for_each(|key| self.plan.on_moved(key));
                }
                RaceEvent::TrialEnded => self.plan.on_trial_ended(),
                RaceEvent::Silent => {
                    self.race.hedge(&mut self.plan, None, self.sequence.last());
                }
            }
        }
    }

    /// Returns the time without data after which the stream is hedged: the time left for one that is
    /// not resumable.
    fn silence_limit(&self, first: bool, time_left: Duration) -> Duration {
        if !self.request.route.kind.is_repeatable() {
            return time_left;
        }
        let first_limit = self.request.route.latency_goal * FIRST_EVENT_LIMIT_PER_GOAL;
        let limit = if first { first_limit.max(EVENT_SILENCE_LIMIT) } else { EVENT_SILENCE_LIMIT };
        limit.min(time_left)
    }

    fn on_first_event(&self) {
        if self.relayed_events == 0 {
            record_started(&self.state, &self.request);
            self.request.on_answer_begun(&self.state);
            let elapsed = self.state.now().since(self.request.arrived_at);
            let kind = [request_kind_label(self.request.route.kind)];
            let latency = self.state.metrics.first_byte_latency.with_label_values(&kind);
            latency.observe(elapsed.as_secs_f64());
            record_timeliness(&self.state, &self.request, elapsed);
        }
    }

    fn log_stream_lost(&self, attempt: &ServerAttempt, detail: &str) {
        self.state.metrics.attempts.with_label_values(&["StreamLost"]).inc();
        log::info!(
            "event=stream_lost request={} server={} version={} events={} parts={} detail=\"{detail}\"",
            self.request.head.request_id,
            attempt.server(),
            attempt.version(),
            self.relayed_events,
            PartList(self.request.head.prompt.as_ref()),
        );
    }
}
