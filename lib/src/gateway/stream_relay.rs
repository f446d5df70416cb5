//! Relays a stream of events to its caller, and resumes it at another server if its server is lost.
//!
//! Only complete events are relayed. Each numbered event is relayed once: duplicates that another
//! server sends are dropped. A stream that falls silent stays open while another server is asked to
//! resume it; whichever sends first is relayed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use tokio::time::timeout;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::InFlightGuard;
use crate::gateway::accepted_request::end_to_end_headers;
use crate::gateway::accepted_request::log_request_end;
use crate::gateway::accepted_request::place_request;
use crate::gateway::accepted_request::record_health;
use crate::gateway::accepted_request::record_started;
use crate::gateway::accepted_request::request_kind_label;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::attempt_plan::AttemptPlan;
use crate::gateway::attempt_plan::AttemptStep;
use crate::gateway::attempt_race::AttemptRace;
use crate::gateway::attempt_race::RaceEvent;
use crate::gateway::attempt_race::record_silent_server;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::StreamEvent;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::reply_body::ChunkSender;
use crate::gateway::reply_body::GatewayReply;
use crate::gateway::reply_body::streaming_body;
use crate::gateway::server_attempt::AttemptOutcome;
use crate::gateway::server_attempt::OpenResponse;
use crate::gateway::server_attempt::ServerAttempt;
use crate::gateway::server_attempt::record_lost;
use crate::gateway::server_health::HealthEvidence;
use crate::ids::ServerKey;
use crate::result_code::ResultCode;

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
    Lost,
    /// The server was silent, and another one resumes the stream.
    Superseded(Box<OpenResponse>),
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
    /// No data within the time limit.
    Silent(Duration),
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    TimedOut,
}

/// The relay of one request's stream.
pub struct StreamRelay<W> {
    state: Rc<GatewayState>,
    request: Rc<AcceptedRequest>,
    plan: AttemptPlan,
    /// Attempts beside the stream that is relayed.
    race: AttemptRace<W>,
    chunks: ChunkSender,
    last_event: Option<u64>,
    relayed_events: u64,
}

impl<W: WireProtocol + 'static> StreamRelay<W> {
    /// Starts relaying and returns the reply, with the first server's status and header fields.
    pub fn start(
        state: Rc<GatewayState>,
        race: AttemptRace<W>,
        request: Rc<AcceptedRequest>,
        plan: AttemptPlan,
        stream: OpenResponse,
        guard: InFlightGuard,
    ) -> GatewayReply {
        let (chunks, body) = streaming_body();
        let mut reply = Response::new(body);
        *reply.status_mut() = stream.response.status();
        *reply.headers_mut() = end_to_end_headers(stream.response.headers());
        // The first server's length is wrong if another server resumes the stream.
        reply.headers_mut().remove(CONTENT_LENGTH);
        let last_event = request.head.resume_after;
        let relay = Self { state, request, plan, race, chunks, last_event, relayed_events: 0 };
        tokio::task::spawn_local(async move {
            relay.run(stream).await;
            drop(guard);
        });
        reply
    }

    async fn run(mut self, stream: OpenResponse) {
        let mut stream = stream;
        loop {
            let key = stream.attempt.key;
            let end = self.relay_from_server(stream).await;
            let code = match end {
                RelayEnd::Complete => ResultCode::Complete,
                RelayEnd::CallerDisconnected => ResultCode::CallerLost,
                RelayEnd::TimedOut => ResultCode::DeadlinePassed,
                RelayEnd::Superseded(next) => {
                    self.plan.on_hedge_dropped(key);
                    stream = *next;
                    continue;
                }
                RelayEnd::Lost => {
                    record_health(&self.state, key, HealthEvidence::Failed);
                    match self.resume(key).await {
                        Some(next) => {
                            stream = next;
                            continue;
                        }
                        None => ResultCode::AttemptsLost,
                    }
                }
            };
            return self.finish(code).await;
        }
    }

    async fn finish(self, code: ResultCode) {
        // The plan counts only failed attempts; any other end adds one that did not fail.
        let unfailed = u32::from(code != ResultCode::AttemptsLost);
        let attempts = self.plan.sent() + unfailed;
        let detail = format!("events={} attempts={attempts}", self.relayed_events);
        log_request_end(&self.state, &self.request, code, &detail);
        if code != ResultCode::Complete && code != ResultCode::CallerLost {
            // Sending fails only if the caller disconnected meanwhile; it needs no error then.
            let _ = self.chunks.send_truncated().await;
        }
    }

    /// Relays events from one server until its stream ends.
    async fn relay_from_server(&mut self, stream: OpenResponse) -> RelayEnd {
        let OpenResponse { mut attempt, response, connection } = stream;
        let mut body = response.into_body();
        let mut splitter = EventSplitter::new(&self.state.buffers);
        let mut first = true;
        let mut was_silent = false;
        loop {
            let read = match self.next_event(&mut body, first).await {
                RelayEvent::Read(read) => read,
                RelayEvent::HedgeEnded(key, outcome) => match self.on_hedge_ended(key, outcome) {
                    Some(stream) => return RelayEnd::Superseded(stream),
                    None => continue,
                },
                RelayEvent::Silent(silence) => {
                    if !was_silent {
                        record_silent_server(&self.state, &self.request, attempt.key, silence);
                    }
                    was_silent = true;
                    self.race.hedge(&mut self.plan, Some(attempt.key), self.last_event);
                    continue;
                }
                RelayEvent::CallerDisconnected => return RelayEnd::CallerDisconnected,
                RelayEvent::TimedOut => return RelayEnd::TimedOut,
            };
            let frame = match read {
                Some(Ok(frame)) => frame,
                None if splitter.has_partial_event() => return RelayEnd::Lost,
                None => {
                    connection.release();
                    return RelayEnd::Complete;
                }
                Some(Err(error)) => {
                    record_lost(&self.state, &self.request, &attempt);
                    self.log_stream_lost(&attempt, &error.to_string());
                    return RelayEnd::Lost;
                }
            };
            let Ok(bytes) = frame.into_data() else { continue };
            let mut pushed = splitter.push(&bytes);
            loop {
                let event = match pushed.and_then(|()| splitter.next_event()) {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(error) => {
                        self.log_stream_lost(&attempt, &error.to_string());
                        return RelayEnd::Lost;
                    }
                };
                pushed = Ok(());
                was_silent = false;
                self.race.drop_rest(&mut self.plan);
                if first {
                    first = false;
                    attempt.on_prefilled();
                    self.on_first_event();
                }
                if let Some(end) = self.relay_event(event).await {
                    return end;
                }
            }
        }
    }

    /// Waits for the next piece of a stream and for what may end the wait.
    async fn next_event(&mut self, body: &mut Incoming, first: bool) -> RelayEvent {
        let time_left = self.plan.deadline().since(self.state.now());
        let limit = self.silence_limit(first);
        let is_hedged = !self.race.is_empty();
        tokio::select! {
            frame = body.frame() => RelayEvent::Read(frame),
            event = self.race.next(None), if is_hedged => match event {
                RaceEvent::Ended(key, outcome) => RelayEvent::HedgeEnded(key, outcome),
                RaceEvent::Silent => RelayEvent::Silent(limit),
            },
            () = self.chunks.closed() => RelayEvent::CallerDisconnected,
            () = tokio::time::sleep(limit) => match limit < time_left {
                true => RelayEvent::Silent(limit),
                false => RelayEvent::TimedOut,
            },
        }
    }

    /// Returns the stream of a hedged attempt that was answered with one.
    fn on_hedge_ended(
        &mut self,
        key: ServerKey,
        outcome: AttemptOutcome,
    ) -> Option<Box<OpenResponse>> {
        let failure = match outcome {
            AttemptOutcome::Stream(stream) => return Some(stream),
            AttemptOutcome::Buffered(_) | AttemptOutcome::TimedOut => AttemptFailure::Lost,
            AttemptOutcome::Failed(failure, _) => failure,
        };
        // The stream that is relayed goes on, whatever the plan says of the hedge.
        self.plan.on_failure(self.state.now(), key, failure);
        None
    }

    /// Relays a complete event; returns how relaying ended if it cannot continue.
    async fn relay_event(&mut self, event: StreamEvent) -> Option<RelayEnd> {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) if id <= last => return None,
            _ => {}
        }
        self.last_event = event.id.or(self.last_event);
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
    /// is available.
    async fn resume(&mut self, lost: ServerKey) -> Option<OpenResponse> {
        let now = self.state.now();
        let mut step = self.plan.on_failure(now, lost, AttemptFailure::Lost);
        loop {
            match step {
                AttemptStep::AwaitOther => {}
                AttemptStep::TryAnother { .. } => self.start_resume()?,
                AttemptStep::RelayFailure | AttemptStep::End(_) => return None,
            }
            let (key, outcome) = self.next_ended().await?;
            let failure = match outcome {
                AttemptOutcome::Stream(stream) => {
                    self.race.drop_rest(&mut self.plan);
                    return Some(*stream);
                }
                AttemptOutcome::Buffered(_) | AttemptOutcome::TimedOut => return None,
                AttemptOutcome::Failed(failure, _) => failure,
            };
            step = self.plan.on_failure(self.state.now(), key, failure);
        }
    }

    /// Sends an attempt that resumes the stream; `None` if none may be sent.
    fn start_resume(&mut self) -> Option<()> {
        let now = self.state.now();
        if self.state.crashes.borrow().is_refused(self.request.fingerprint)
            || !self.state.try_retry(now, &self.request.service)
        {
            return None;
        }
        let placed = place_request(&self.state, now, &self.request, self.plan.tried()).ok()?;
        log::info!(
            "event=stream_resumed request={} after={:?}",
            self.request.head.request_id,
            self.last_event,
        );
        self.race.start(placed, self.plan.deadline(), self.last_event).then_some(())
    }

    /// Waits until an attempt to resume the stream ends, and hedges silent ones; `None` if the caller
    /// disconnects.
    async fn next_ended(&mut self) -> Option<(ServerKey, AttemptOutcome)> {
        loop {
            let limit = self.silence_limit(true);
            let event = tokio::select! {
                event = self.race.next(Some(limit)) => event,
                () = self.chunks.closed() => return None,
            };
            match event {
                RaceEvent::Ended(key, outcome) => return Some((key, outcome)),
                RaceEvent::Silent => {
                    self.race.hedge(&mut self.plan, None, self.last_event);
                }
            }
        }
    }

    /// Returns the time without data after which the stream is hedged: the time left for one that is
    /// not resumable.
    fn silence_limit(&self, first: bool) -> Duration {
        let time_left = self.plan.deadline().since(self.state.now());
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
            let elapsed = self.state.now().since(self.request.arrived_at).as_secs_f64();
            let kind = [request_kind_label(self.request.route.kind)];
            self.state.metrics.first_byte_latency.with_label_values(&kind).observe(elapsed);
        }
    }

    fn log_stream_lost(&self, attempt: &ServerAttempt, detail: &str) {
        self.state.metrics.attempts.with_label_values(&["StreamLost"]).inc();
        log::info!(
            "event=stream_lost request={} server={} events={} detail=\"{detail}\"",
            self.request.head.request_id,
            attempt.server(),
            self.relayed_events,
        );
    }
}
