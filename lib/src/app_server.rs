//! Edge to a plain application server that stands behind the front door.

use std::time::Duration;

use crate::engine::Result;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::RequestId;

/// One attempt at a call of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppRequest {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its leading slash and query.
    pub path: String,
    /// Headers in order, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// Fencing number for servers that check one.
    pub fence: Option<FencingToken>,
}

/// Answer of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in order, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// An application server.
pub trait AppServer: Send + Sync {
    /// Makes one call and waits for its whole answer, for `timeout` at most.
    ///
    /// An HTTP error status of the application is an answer, not an error.
    fn call(&self, request: &AppRequest, timeout: Duration) -> Result<AppResponse>;
}
