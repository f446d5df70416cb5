//! HTTP client of a model engine, with JSON bodies and JSON lines for streams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::attempt_stop::AttemptStop;
use crate::engine::CacheEvent;
use crate::engine::EngineOrder;
use crate::engine::GenerateEnd;
use crate::engine::GenerateEvent;
use crate::engine::GenerateRequest;
use crate::engine::KvExport;
use crate::engine::LoadReport;
use crate::engine::ModelEngine;
use crate::engine::Result;
use crate::engine::ServerError;
use crate::engine::StreamFlow;
use crate::engine::TokenChunk;
use crate::http_client::CallTimeout;
use crate::http_client::ConnectionUse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientLimits;
use crate::http_client::HttpError;
use crate::http_client::HttpResponse;
use crate::http_client::StreamEnd;
use crate::http_client::json_headers;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::RequestId;

/// One line of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLine {
    /// The engine accepted the request.
    Accepted,
    /// One token.
    Token(TokenChunk),
    /// The answer is complete.
    End(GenerateEnd),
}

/// Identifies one attempt in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptNumber,
}

/// Body of `POST /kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// Attempt to import for.
    pub name: AttemptId,
    /// KV cache.
    pub kv: KvExport,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Desired state.
    pub order: EngineOrder,
    /// Fencing token of the lease holder that sends the order.
    pub fence: Option<FencingToken>,
}

/// Body of a response that refuses a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRefusal {
    /// Whether any part of the work ran; `Some(false)` guarantees that none did or ever will.
    #[serde(default)]
    pub ran: Option<bool>,
    /// Largest fencing token seen, if the call was refused for a stale one.
    #[serde(default)]
    pub fence: Option<FencingToken>,
    /// Reason for the refusal.
    #[serde(default)]
    pub reason: String,
}

/// Client of the model engine at one address.
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { client: HttpClient::new(address, limits) }
    }

    /// Returns the engine's address.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Closes idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.client.retire_connections();
    }

    fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<HttpResponse> {
        let body = serde_json::to_vec(value).map_err(|e| HttpError::Malformed(e.to_string()))?;
        let timeout = CallTimeout::Total(self.client.limits().call_timeout);
        expect_ok(self.client.call(&post_call(path, &json_headers(), &body, timeout))?)
    }
}

/// Builds a call on a connection of its own. Responses do not name their call, so on a shared connection a
/// late copy of a refusal would be taken for the response to the next call.
fn post_call<'a>(
    path: &'a str,
    headers: &'a [(String, String)],
    body: &'a [u8],
    timeout: CallTimeout,
) -> HttpCall<'a> {
    let connection = ConnectionUse::Fresh;
    HttpCall { method: "POST", path, headers, body, timeout, connection }
}

impl ModelEngine for EngineClient {
    fn generate(
        &self,
        request: &GenerateRequest,
        gap_limit: Duration,
        stop: &AttemptStop,
        on_event: &mut dyn FnMut(GenerateEvent) -> StreamFlow,
    ) -> Result<GenerateEnd> {
        let body =
            serde_json::to_vec(request).map_err(|e| ServerError::NotConnected(e.to_string()))?;
        let headers = json_headers();
        let connection = self.client.own_connection();
        let closed = connection.clone();
        stop.on_stop(move || closed.close());
        let call = HttpCall {
            connection: ConnectionUse::Own(&connection),
            ..post_call("/generate", &headers, &body, CallTimeout::PerRead(gap_limit))
        };
        let mut end = None;
        let mut on_line = |line: &[u8]| match parse_line(line)? {
            EngineLine::Accepted => Ok(on_event(GenerateEvent::Accepted)),
            EngineLine::Token(chunk) => Ok(on_event(GenerateEvent::Token(chunk))),
            EngineLine::End(found) => {
                end = Some(found);
                Ok(StreamFlow::Continue)
            }
        };
        let outcome = self.client.stream(&call, &mut on_line);
        // The end line completes the stream, so a connection error after it does not matter.
        if let Some(end) = end {
            return Ok(end);
        }
        match outcome? {
            StreamEnd::Ended => {
                Err(ServerError::Lost("stream ended without an end line".to_owned()))
            }
            StreamEnd::Stopped => Err(ServerError::Lost("stopped by the caller".to_owned())),
            StreamEnd::Status(response) => Err(parse_refusal(&response)),
        }
    }

    fn cancel(&self, request: RequestId, attempt: AttemptNumber) -> Result<()> {
        self.post("/cancel", &AttemptId { request, attempt }).map(drop)
    }

    fn load_report(&self) -> Result<LoadReport> {
        Ok(expect_ok(self.client.get("/load")?)?.json()?)
    }

    fn cache_events(&self, from: u64) -> Result<Vec<CacheEvent>> {
        Ok(expect_ok(self.client.get(&format!("/cache_events?from={from}"))?)?.json()?)
    }

    fn export_kv(&self, request: RequestId, attempt: AttemptNumber) -> Result<KvExport> {
        Ok(self.post("/kv/export", &AttemptId { request, attempt })?.json()?)
    }

    fn import_kv(&self, request: RequestId, attempt: AttemptNumber, kv: &KvExport) -> Result<()> {
        let name = AttemptId { request, attempt };
        self.post("/kv/import", &KvImport { name, kv: kv.clone() }).map(drop)
    }

    fn order(&self, order: &EngineOrder, fence: Option<FencingToken>) -> Result<()> {
        self.post("/orders", &FencedOrder { order: order.clone(), fence }).map(drop)
    }
}

fn parse_line(line: &[u8]) -> std::result::Result<EngineLine, HttpError> {
    serde_json::from_slice(line).map_err(|e| HttpError::Malformed(e.to_string()))
}

fn expect_ok(response: HttpResponse) -> Result<HttpResponse> {
    if response.status == 200 { Ok(response) } else { Err(parse_refusal(&response)) }
}

/// Converts an error response; only an explicit statement that nothing ran counts as a refusal.
fn parse_refusal(response: &HttpResponse) -> ServerError {
    let Ok(refusal) = response.json::<ServerRefusal>() else {
        return ServerError::Malformed(response.summary());
    };
    match (refusal.fence, refusal.ran) {
        (Some(fence), _) if response.status == 409 => ServerError::Fenced(fence),
        (_, Some(false)) => ServerError::Refused(refusal.reason),
        _ => ServerError::Malformed(response.summary()),
    }
}
