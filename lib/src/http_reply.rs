//! Replies and errors that the front door itself writes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;

use crate::ids::RequestId;
use crate::result_code::ResultCode;

/// Header that carries the numbered result code.
pub const RESULT_HEADER: &str = "pomelostack-result";
/// Header that carries the request id, with which the caller can fetch the answer again.
pub const REQUEST_ID_HEADER: &str = "pomelostack-request-id";
/// Request header with the caller's deadline, in milliseconds after arrival.
pub const DEADLINE_HEADER: &str = "pomelostack-deadline-ms";
/// Request header with the idempotency key, which stays the same when a request is resent.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Body of any reply; its stream fails if the answer is incomplete.
pub type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;
/// Any HTTP reply of the front door.
pub type FrontReply = Response<ReplyBody>;

/// An error that is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontError {
    /// Numbered result code.
    pub code: ResultCode,
    /// What is wrong and what to do.
    pub message: String,
    /// Field, header or path that is wrong.
    pub param: Option<String>,
    /// When to retry, if that may help.
    pub retry_after: Option<Duration>,
    /// Request that the error belongs to, if it already has an id.
    pub request: Option<RequestId>,
}

impl FrontError {
    /// Creates an error with a message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), param: None, retry_after: None, request: None }
    }

    /// Sets the field, header or path that is wrong.
    pub fn with_param(mut self, param: &str) -> Self {
        self.param = Some(param.to_string());
        self
    }

    /// Sets the request that the error belongs to.
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets when to retry.
    pub fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Returns the JSON body in the format that clients of the completion API expect.
    pub fn to_json(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": format!("{:?}", self.code),
                "code": self.code.number(),
                "param": self.param,
                "outcome": self.code.outcome().to_string(),
                "request_id": self.request.map(|id| id.to_string()),
            }
        })
    }

    /// Returns the HTTP reply.
    pub fn to_reply(&self) -> FrontReply {
        let mut reply = json_reply(self.code, &self.to_json());
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1).to_string();
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if let Some(request) = self.request {
            set_request_id(&mut reply, request);
        }
        reply
    }
}

/// Wraps bytes as a body.
pub fn full_body(data: impl Into<Bytes>) -> ReplyBody {
    Full::new(data.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Builds a reply with the code's status and a JSON body.
pub fn json_reply(code: ResultCode, body: &Value) -> FrontReply {
    let mut reply = Response::new(full_body(body.to_string()));
    let status = hyper::StatusCode::from_u16(code.http_status());
    *reply.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    reply
}

/// Sets the request id header.
pub fn set_request_id(reply: &mut FrontReply, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        reply.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
