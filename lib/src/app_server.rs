//! Interface to an application server behind the front door.

use std::time::Duration;

use crate::engine::Result;
use crate::ids::AttemptNumber;
use crate::ids::FencingToken;
use crate::ids::RequestId;

/// One attempt at an application call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppRequest {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, with its leading slash and query.
    pub path: String,
    /// Headers in order, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Fencing token, for servers that check it.
    pub fence: Option<FencingToken>,
}

/// Response of an application.
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
    /// Makes one call and waits at most `timeout` for the complete response.
    ///
    /// An HTTP error status of the application is a response, not an error.
    fn call(&self, request: &AppRequest, timeout: Duration) -> Result<AppResponse>;
}
