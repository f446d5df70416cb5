//! Reader thread of one attempt: sends the request to its server and reports the events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use crate::app_server::AppRequest;
use crate::app_server::AppServer;
use crate::attempt_stop::AttemptStop;
use crate::engine::GenerateEvent;
use crate::engine::GenerateRequest;
use crate::engine::ModelEngine;
use crate::engine::ServerError;
use crate::engine::StreamFlow;
use crate::ids::RequestId;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ZoneName;
use crate::session_event::AttemptEnd;
use crate::session_event::AttemptPlan;
use crate::session_event::SessionEvent;
use crate::session_ports::ServerConnector;
use crate::session_registry::DriverMessage;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;

/// Server client and request of one attempt.
enum AttemptWork {
    Model(Arc<dyn ModelEngine>, GenerateRequest),
    App(Arc<dyn AppServer>, AppRequest),
}

/// A running attempt.
pub struct AttemptHandle {
    /// Parameters of the attempt.
    pub plan: AttemptPlan,
    /// Server that runs it.
    pub server: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Key of the server.
    pub key: ServerKey,
    /// Address of the server.
    pub address: SocketAddr,
    stop: AttemptStop,
}

impl AttemptHandle {
    /// Closes the connection of a stream, and makes the reader stop.
    pub fn stop(&self) {
        self.stop.stop();
    }
}

/// Server of a new attempt, and the reader's timeout.
pub struct AttemptTarget {
    /// Server.
    pub server: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time without any data after which the reader gives up.
    pub silence_limit: Duration,
}

/// Starts the reader thread of an attempt; its events go to `sender`.
pub fn start_attempt(
    connector: &dyn ServerConnector,
    request: &CheckedRequest,
    plan: AttemptPlan,
    generated: &str,
    target: AttemptTarget,
    sender: Sender<DriverMessage>,
) -> AttemptHandle {
    let stop = AttemptStop::default();
    let work = build_work(connector, request, &plan, generated, target.address);
    let reader = AttemptReader {
        request: request.id,
        plan: plan.clone(),
        stop: stop.clone(),
        sender: sender.clone(),
    };
    let name = format!("attempt-{}-{}", request.id, plan.attempt.0);
    let limit = target.silence_limit;
    if let Err(error) = thread::Builder::new().name(name).spawn(move || reader.run(work, limit)) {
        let error =
            ServerError::NotConnected(format!("cannot start the attempt's thread: {error}"));
        let event = SessionEvent::AttemptFailed { attempt: plan.attempt, error };
        // Cannot fail: the caller holds the receiver.
        let _ = sender.send(DriverMessage::Event(event));
    }
    AttemptHandle {
        key: plan.server,
        plan,
        server: target.server,
        zone: target.zone,
        address: target.address,
        stop,
    }
}

fn build_work(
    connector: &dyn ServerConnector,
    request: &CheckedRequest,
    plan: &AttemptPlan,
    generated: &str,
    address: SocketAddr,
) -> AttemptWork {
    match &request.work {
        RequestWork::Model { prompt, max_tokens } => {
            let generate = GenerateRequest {
                request: request.id,
                attempt: plan.attempt,
                model: request.service.model.clone().unwrap_or_default(),
                prompt: prompt.to_string(),
                generated: generated.to_owned(),
                resume_from: plan.resume_from,
                max_tokens: *max_tokens,
                priority: request.priority,
                fence: plan.fence,
            };
            AttemptWork::Model(connector.engine(address), generate)
        }
        RequestWork::App { method, path, headers, body } => {
            let call = AppRequest {
                request: request.id,
                attempt: plan.attempt,
                method: method.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.to_vec(),
                idempotency_key: request.idempotency_key.clone(),
                fence: plan.fence,
            };
            AttemptWork::App(connector.app(address), call)
        }
    }
}

struct AttemptReader {
    request: RequestId,
    plan: AttemptPlan,
    stop: AttemptStop,
    sender: Sender<DriverMessage>,
}

impl AttemptReader {
    fn run(&self, work: AttemptWork, limit: Duration) {
        let attempt = self.plan.attempt;
        let result = match work {
            AttemptWork::Model(engine, request) => engine
                .generate(&request, limit, &self.stop, &mut |event| self.on_event(event))
                .map(AttemptEnd::Model),
            AttemptWork::App(app, request) => app.call(&request, limit).map(AttemptEnd::App),
        };
        if let Some(stopped_at) = self.stop.stopped_at() {
            log::info!(
                "event=attempt_closed request={} attempt={} after_stop_ms={}",
                self.request,
                attempt.0,
                stopped_at.elapsed().as_millis(),
            );
        }
        self.send(match result {
            Ok(end) => SessionEvent::AttemptEnded { attempt, end },
            Err(error) => SessionEvent::AttemptFailed { attempt, error },
        });
    }

    fn on_event(&self, event: GenerateEvent) -> StreamFlow {
        if self.stop.stopped_at().is_some() {
            return StreamFlow::Stop;
        }
        let attempt = self.plan.attempt;
        let sent = self.send(match event {
            GenerateEvent::Accepted => SessionEvent::AttemptAccepted(attempt),
            GenerateEvent::Token(chunk) => SessionEvent::Chunk { attempt, chunk },
        });
        if sent { StreamFlow::Continue } else { StreamFlow::Stop }
    }

    /// Returns whether the session still receives events.
    fn send(&self, event: SessionEvent) -> bool {
        self.sender.send(DriverMessage::Event(event)).is_ok()
    }
}
