//! HTTP listeners for callers, for the load balancer's readiness check and for metrics scrapers.

use std::convert::Infallible;
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

use crate::gateway::connection_pool::set_tcp_timeouts;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::reply_body::GatewayReply;
use crate::gateway::reply_body::full_body;
use crate::gateway::request_runner::RequestRunner;

/// Maximum size of a header section before a configuration is loaded.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Minimum size of the buffer that hyper reads a header section into.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

/// Idle timeout of a connection before a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time for which bytes sent to a caller may stay unacknowledged; long, because callers may
/// read slowly.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Backoff after a failed accept: while file descriptors are exhausted, accept fails again at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

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
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_caller(stream, state, runner, closing).await {
                log::debug!("event=caller_connection_failed detail=\"{error}\"");
            }
        });
    }
}

async fn serve_caller<W: WireProtocol + 'static>(
    stream: TcpStream,
    state: Rc<GatewayState>,
    runner: RequestRunner<W>,
    mut closing: watch::Receiver<bool>,
) -> hyper::Result<()> {
    if let Err(error) = set_tcp_timeouts(&stream, TCP_USER_TIMEOUT) {
        log::debug!("event=socket_option_failed detail=\"{error}\"");
    }
    let limits = state.config.borrow().current().map(|config| config.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    // Hyper's header read timeout also applies to an idle keep-alive connection.
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let service = service_fn(move |request| {
        let (state, runner) = (state.clone(), runner.clone());
        async move { Ok::<_, Infallible>(handle_request(&state, &runner, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

async fn handle_request<W: WireProtocol + 'static>(
    state: &GatewayState,
    runner: &RequestRunner<W>,
    request: Request<Incoming>,
) -> GatewayReply {
    let mut reply = runner.run(request).await;
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

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("event=accept_failed detail=\"{error}\"");
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            None
        }
    }
}
