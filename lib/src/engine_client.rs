//! Reaches a model engine over HTTP: JSON calls, and JSON lines for streams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

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

/// One line of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLine {
    /// The engine took the request.
    Accepted,
    /// One token.
    Token(TokenChunk),
    /// The answer is complete.
    End(GenerateEnd),
}

/// Names one attempt in a call.
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
    /// Attempt that the import is for.
    pub name: AttemptId,
    /// KV cache.
    pub kv: KvExport,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Desired state.
    pub order: EngineOrder,
    /// Fencing number of the holder that sends it.
    pub fence: Option<FencingToken>,
}

/// Body of an answer that refuses a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRefusal {
    /// Whether any part of the work ran; `Some(false)` is a promise that none did or will.
    #[serde(default)]
    pub ran: Option<bool>,
    /// Largest fencing number seen, if an older one was the cause.
    #[serde(default)]
    pub fence: Option<FencingToken>,
    /// Cause.
    #[serde(default)]
    pub reason: String,
}

/// A model engine at one address.
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Builds a client; no connection is opened yet.
    pub fn new(address: SocketAddr, limits: HttpClientLimits) -> Self {
        Self { client: HttpClient::new(address, limits) }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Drops idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.client.retire_connections();
    }

    fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<HttpResponse> {
        expect_ok(self.client.post_json(path, value)?)
    }
}

impl ModelEngine for EngineClient {
    fn generate(
        &self,
        request: &GenerateRequest,
        gap_limit: Duration,
        on_event: &mut dyn FnMut(GenerateEvent) -> StreamFlow,
    ) -> Result<GenerateEnd> {
        let body =
            serde_json::to_vec(request).map_err(|e| ServerError::NotConnected(e.to_string()))?;
        let call = HttpCall {
            method: "POST",
            path: "/generate",
            headers: &json_headers(),
            body: &body,
            timeout: CallTimeout::PerRead(gap_limit),
            connection: ConnectionUse::Pooled,
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
        // The end line is the engine's whole word; how the connection ends after it is no matter.
        if let Some(end) = end {
            return Ok(end);
        }
        match outcome? {
            StreamEnd::Ended => Err(ServerError::Lost("answer ends without its end".to_owned())),
            StreamEnd::Stopped => Err(ServerError::Lost("stopped by the receiver".to_owned())),
            StreamEnd::Status(answer) => Err(parse_refusal(&answer)),
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

fn expect_ok(answer: HttpResponse) -> Result<HttpResponse> {
    if answer.status == 200 { Ok(answer) } else { Err(parse_refusal(&answer)) }
}

/// Reads an error status; only an explicit promise counts as a refusal before running.
fn parse_refusal(answer: &HttpResponse) -> ServerError {
    let Ok(refusal) = answer.json::<ServerRefusal>() else {
        return ServerError::Malformed(answer.summary());
    };
    match (refusal.fence, refusal.ran) {
        (Some(fence), _) if answer.status == 409 => ServerError::Fenced(fence),
        (_, Some(false)) => ServerError::Refused(refusal.reason),
        _ => ServerError::Malformed(answer.summary()),
    }
}
