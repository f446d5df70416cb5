//! HTTP client of an application server.
//!
//! Method, path, headers and body are forwarded unchanged, except for hop-by-hop headers. The
//! headers defined here tell the server which request and attempt a call belongs to.

use std::net::SocketAddr;
use std::time::Duration;

use crate::app_server::AppRequest;
use crate::app_server::AppResponse;
use crate::app_server::AppServer;
use crate::engine::Result;
use crate::engine::ServerError;
use crate::http_client::CallTimeout;
use crate::http_client::ConnectionUse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;
use crate::http_client::HttpResponse;
use crate::ids::FencingToken;

/// Request header with the request id.
pub const REQUEST_ID_HEADER: &str = "Pomelostack-Request-Id";
/// Request header with the number of the attempt.
pub const ATTEMPT_HEADER: &str = "Pomelostack-Attempt";
/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Request header with the fencing token; in a 409 response, the largest token seen.
pub const FENCE_HEADER: &str = "Pomelostack-Fence";
/// Response header; the value `false` guarantees that the call did not run and never will.
pub const RAN_HEADER: &str = "Pomelostack-Ran";

/// Client of the application server at one address.
pub struct AppClient {
    client: HttpClient,
}

impl AppClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { client: HttpClient::new(address, limits) }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Closes idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.client.retire_connections();
    }
}

impl AppServer for AppClient {
    fn call(&self, request: &AppRequest, timeout: Duration) -> Result<AppResponse> {
        let headers = attempt_headers(request);
        let response = self.client.call(&HttpCall {
            method: &request.method,
            path: &request.path,
            headers: &headers,
            body: &request.body,
            timeout: CallTimeout::Total(timeout),
            connection: connection_for(&request.method),
        })?;
        match parse_refusal(&response) {
            Some(error) => Err(error),
            None => Ok(AppResponse {
                status: response.status,
                headers: response.headers,
                body: response.body,
            }),
        }
    }
}

/// Returns which connection a call uses.
///
/// A call that must not be repeated gets a new connection: if a reused one is silently broken or
/// being closed by the server, it is unknown whether the call ran.
fn connection_for(method: &str) -> ConnectionUse<'static> {
    match method {
        "GET" | "HEAD" | "OPTIONS" => ConnectionUse::Pooled,
        _ => ConnectionUse::Fresh,
    }
}

/// Returns the caller's headers and those of the attempt, which replace any of the same name.
fn attempt_headers(request: &AppRequest) -> Vec<(String, String)> {
    let mut attempt = vec![
        (REQUEST_ID_HEADER.to_owned(), request.request.to_string()),
        (ATTEMPT_HEADER.to_owned(), request.attempt.0.to_string()),
    ];
    if let Some(key) = &request.idempotency_key {
        attempt.push((IDEMPOTENCY_KEY_HEADER.to_owned(), key.clone()));
    }
    if let Some(fence) = request.fence {
        attempt.push((FENCE_HEADER.to_owned(), fence.0.to_string()));
    }
    let reserved = [REQUEST_ID_HEADER, ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, FENCE_HEADER];
    let is_reserved = |name: &str| reserved.iter().any(|other| name.eq_ignore_ascii_case(other));
    let passed = request.headers.iter().filter(|(name, _)| !is_reserved(name));
    passed.cloned().chain(attempt).collect()
}

/// Returns the error if the response states that the call did not run.
fn parse_refusal(response: &HttpResponse) -> Option<ServerError> {
    if response.header(RAN_HEADER) != Some("false") {
        return None;
    }
    let fence = response.header(FENCE_HEADER).and_then(|value| value.parse().ok());
    Some(match fence {
        Some(fence) if response.status == 409 => ServerError::Fenced(FencingToken(fence)),
        _ => ServerError::Refused(response.summary()),
    })
}
