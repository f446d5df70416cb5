//! HTTP listeners for callers, for the load balancer's readiness check and for metrics scrapers.

use std::convert::Infallible;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::gateway::caller_connection::CallerBody;
use crate::gateway::caller_connection::CallerSocket;
use crate::gateway::caller_connection::OpenConnection;
use crate::gateway::caller_phase::CallerPhase;
use crate::gateway::caller_phase::PhaseStep;
use crate::gateway::connection_pool::set_tcp_timeouts;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::panic_catcher::catch_panic;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::reply_body::GatewayReply;
use crate::gateway::reply_body::full_body;
use crate::gateway::request_runner::RequestRunner;
use crate::timestamp::Timestamp;

/// Maximum size of a header section before a configuration is loaded.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Minimum size of the buffer that hyper reads a header section into.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

/// Idle timeout of a connection for readiness checks or metrics.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which a connection with unread bytes, or one that is shut down, is checked again.
const UNREAD_RECHECK: Duration = Duration::from_millis(10);

/// Maximum time for which bytes sent to a caller may stay unacknowledged; long, because callers may
/// read slowly.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Backoff after a failed accept: while file descriptors are exhausted, accept fails again at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// What to do next with a caller's connection.
enum CallerStep {
    /// Check it again after this time.
    Wait(Duration),
    /// Shut it down gracefully, and check it again after this time.
    Shutdown(Duration),
    /// Drop it, with the reason that is logged, if any.
    Drop(Option<&'static str>),
}

/// Serves callers until the process exits. Connections shut down gracefully once `closing` is true.
pub async fn serve_callers<W: WireProtocol + 'static>(
    listener: TcpListener,
    state: Rc<GatewayState>,
    runner: RequestRunner<W>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let (state, runner, closing) = (state.clone(), runner.clone(), closing.clone());
        tokio::task::spawn_local(serve_caller(stream, state, runner, closing));
    }
}

async fn serve_caller<W: WireProtocol + 'static>(
    stream: TcpStream,
    state: Rc<GatewayState>,
    runner: RequestRunner<W>,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = set_tcp_timeouts(&stream, TCP_USER_TIMEOUT) {
        log::debug!("event=socket_option_failed detail=\"{error}\"");
    }
    let caller = stream.peer_addr().map_or("unknown".to_owned(), |address| address.to_string());
    let limits = state.config.borrow().current().map(|config| config.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let open = Rc::new(OpenConnection::new(state.clone()));
    let socket = CallerSocket::new(stream, open.clone());
    let service = service_fn({
        let (state, open) = (state.clone(), open.clone());
        move |request: Request<Incoming>| {
            open.on_request();
            let version = request.version();
            let (state, runner, open) = (state.clone(), runner.clone(), open.clone());
            async move {
                let reply = handle_request(&state, &runner, request).await;
                Ok::<_, Infallible>(reply.map(|body| CallerBody::new(body, open, version)))
            }
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket.clone()), service);
    tokio::pin!(connection);
    let (mut is_closing, mut is_shut_down) = (false, false);
    let mut wait = open.limits().idle;
    loop {
        tokio::select! {
            served = connection.as_mut() => {
                if open.must_reset() {
                    socket.reset_on_drop();
                }
                return log_connection_end(&caller, &open, served);
            }
            _ = closing.wait_for(|closing| *closing), if !is_closing => is_closing = true,
            () = tokio::time::sleep(wait) => {}
        }
        match caller_step(state.now(), &open, &socket, is_closing) {
            CallerStep::Wait(time) => wait = time,
            CallerStep::Shutdown(time) if !is_shut_down => {
                connection.as_mut().graceful_shutdown();
                (is_shut_down, wait) = (true, time);
            }
            // Hyper closes an idle connection at once, unless it holds a part of a head.
            CallerStep::Shutdown(time) if !matches!(open.phase(), CallerPhase::Idle { .. }) => {
                wait = time;
            }
            CallerStep::Shutdown(_) | CallerStep::Drop(None) => return,
            CallerStep::Drop(Some(reason)) => {
                log::info!("event=caller_connection_closed caller={caller} detail=\"{reason}\"");
                return;
            }
        }
    }
}

/// Decides what to do with a connection whose limit may have passed, or whose host is leaving. A
/// connection with unread bytes is read first.
fn caller_step(
    now: Timestamp,
    open: &OpenConnection,
    socket: &CallerSocket,
    is_closing: bool,
) -> CallerStep {
    let phase = open.phase();
    let step = phase.step(now, open.limits());
    match (phase, step) {
        (CallerPhase::Request | CallerPhase::Flushing, PhaseStep::WaitUntil(time))
        | (CallerPhase::Head { .. }, PhaseStep::WaitUntil(time)) => {
            let wait = time.since(now);
            if is_closing { CallerStep::Shutdown(wait) } else { CallerStep::Wait(wait) }
        }
        (_, PhaseStep::WaitUntil(time)) if !is_closing => CallerStep::Wait(time.since(now)),
        _ if socket.has_unread_bytes() => CallerStep::Wait(UNREAD_RECHECK),
        (_, PhaseStep::CloseSlowHead) => CallerStep::Drop(Some("the head is not complete in time")),
        (_, PhaseStep::WaitUntil(_) | PhaseStep::CloseIdle) => CallerStep::Shutdown(UNREAD_RECHECK),
    }
}

/// Logs what ended a connection while a request on it had no complete response.
fn log_connection_end(caller: &str, open: &OpenConnection, served: hyper::Result<()>) {
    let detail = match served {
        Ok(()) => "closed by the caller".to_owned(),
        Err(error) => error_chain(&error),
    };
    if open.phase().is_answering() {
        log::info!("event=caller_connection_failed caller={caller} detail=\"{detail}\"");
    } else {
        log::debug!("event=caller_connection_ended caller={caller} detail=\"{detail}\"");
    }
}

/// Returns the texts of an error and of its causes.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}

async fn handle_request<W: WireProtocol + 'static>(
    state: &GatewayState,
    runner: &RequestRunner<W>,
    request: Request<Incoming>,
) -> GatewayReply {
    let mut reply = match catch_panic(runner.run(request)).await {
        Ok(reply) => reply,
        Err(panic) => {
            log::error!("event=request_panicked detail=\"{panic}\"");
            state.metrics.events.with_label_values(&["request_panicked"]).inc();
            runner.panic_reply()
        }
    };
    if state.shutdown.get().is_some() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Responds to every request with 200 while the host takes new connections, and with 503 otherwise.
pub async fn serve_readiness(listener: TcpListener, state: Rc<GatewayState>) {
    serve_fixed_reply(listener, move || {
        let status =
            if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut reply = Response::new(full_body(Bytes::new()));
        *reply.status_mut() = status;
        reply
    })
    .await;
}

/// Responds to every request with the metrics, or with 500 if they cannot be rendered.
pub async fn serve_metrics(listener: TcpListener, state: Rc<GatewayState>) {
    serve_fixed_reply(listener, move || match state.metrics.render() {
        Ok(text) => {
            let mut reply = Response::new(full_body(Bytes::from(text)));
            reply
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_CONTENT_TYPE));
            reply
        }
        Err(error) => {
            log::warn!("event=metrics_failed detail=\"{error}\"");
            let mut reply = Response::new(full_body(Bytes::new()));
            *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            reply
        }
    })
    .await;
}

async fn serve_fixed_reply(listener: TcpListener, reply: impl Fn() -> GatewayReply + 'static) {
    let reply = Rc::new(reply);
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let reply = reply.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let reply = reply();
                async move { Ok::<_, Infallible>(reply) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=plain_connection_failed detail=\"{error}\"");
            }
        });
    }
}

/// Accepts a connection; `None` after a failure.
pub async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("event=accept_failed detail=\"{error}\"");
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            None
        }
    }
}
