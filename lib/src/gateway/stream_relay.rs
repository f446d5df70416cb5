//! Relays a stream of events to its caller, and resumes it at another server if its server is lost.
//!
//! Only complete events are relayed. Each numbered event is relayed once: duplicates that another
//! server sends are dropped.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::Response;
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
use crate::gateway::server_attempt::send_attempt;
use crate::gateway::server_health::HealthEvidence;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Time without data in a started stream after which a resumable one resumes at another server:
/// several times the pause that any batch causes.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time without data before the first event after which a resumable stream resumes at another
/// server, as a multiple of its latency goal. At least `EVENT_TIMEOUT`.
const FIRST_EVENT_TIMEOUT_PER_GOAL: u32 = 3;

/// How relaying from one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The connection broke, timed out, or carried an oversized or incomplete event.
    Lost,
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    TimedOut,
}

/// The relay of one request's stream.
pub struct StreamRelay<W> {
    state: Rc<GatewayState>,
    wire: Rc<W>,
    request: Rc<AcceptedRequest>,
    plan: AttemptPlan,
    chunks: ChunkSender,
    last_event: Option<u64>,
    relayed_events: u64,
}

impl<W: WireProtocol + 'static> StreamRelay<W> {
    /// Starts relaying and returns the reply, with the first server's status and header fields.
    pub fn start(
        (state, wire): (Rc<GatewayState>, Rc<W>),
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
        let relay = Self { state, wire, request, plan, chunks, last_event, relayed_events: 0 };
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
        loop {
            let limit = self.read_timeout(first);
            let frame = tokio::select! {
                frame = timeout(limit, body.frame()) => frame,
                () = self.chunks.closed() => return RelayEnd::CallerDisconnected,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if splitter.has_partial_event() => return RelayEnd::Lost,
                Ok(None) => {
                    connection.release();
                    return RelayEnd::Complete;
                }
                Ok(Some(Err(error))) => {
                    record_lost(&self.state, &self.request, &attempt);
                    self.log_stream_lost(&attempt, &error.to_string());
                    return RelayEnd::Lost;
                }
                Err(_) if self.state.now() >= self.plan.deadline() => return RelayEnd::TimedOut,
                Err(_) => {
                    self.log_stream_lost(&attempt, "read timed out");
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
    async fn resume(&mut self, lost: crate::ids::ServerKey) -> Option<OpenResponse> {
        let mut failure = AttemptFailure::Lost;
        let mut key = lost;
        loop {
            let now = self.state.now();
            let step = self.plan.on_failure(now, key, failure);
            if !matches!(step, AttemptStep::TryAnother { .. })
                || self.state.crashes.borrow().is_refused(self.request.fingerprint)
                || !self.state.try_retry(now, &self.request.service)
            {
                return None;
            }
            let placed = place_request(&self.state, now, &self.request, self.plan.tried()).ok()?;
            key = placed.key;
            let attempt = ServerAttempt::start(&self.state, &self.request, placed)?;
            let deadline: Timestamp = self.plan.deadline();
            let attempt_timeout = Some(self.read_timeout(true));
            log::info!(
                "event=stream_resumed request={} after={:?} server={}",
                self.request.head.request_id,
                self.last_event,
                attempt.server(),
            );
            let outcome = send_attempt(
                &*self.wire,
                attempt,
                &self.request,
                self.last_event,
                deadline,
                attempt_timeout,
            );
            let outcome = tokio::select! {
                outcome = outcome => outcome,
                () = self.chunks.closed() => return None,
            };
            failure = match outcome {
                AttemptOutcome::Stream(stream) => return Some(*stream),
                AttemptOutcome::Buffered(_) | AttemptOutcome::TimedOut => return None,
                AttemptOutcome::Failed(failure, _) => failure,
            };
        }
    }

    /// Returns the timeout for the next bytes: the time left for a stream that is not resumable.
    fn read_timeout(&self, first: bool) -> Duration {
        let time_left = self.plan.deadline().since(self.state.now());
        if !self.request.route.kind.is_repeatable() {
            return time_left;
        }
        let first_limit = self.request.route.latency_goal * FIRST_EVENT_TIMEOUT_PER_GOAL;
        let limit = if first { first_limit.max(EVENT_TIMEOUT) } else { EVENT_TIMEOUT };
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
