//! Interface between a session and the claims of idempotency keys.

use crate::app_server::AppResponse;
use crate::ids::FencingToken;
use crate::ids::RequestId;
use crate::not_run::NotRunRefusal;
use crate::result_code::ResultCode;
use crate::session_request::CheckedRequest;

/// Outcome of claiming a request's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request holds the key and may be dispatched.
    Won {
        /// Fencing number for servers that check it.
        fence: Option<FencingToken>,
    },
    /// The key's work is already complete.
    AnsweredBefore {
        /// Request that did the work.
        request: RequestId,
        /// Its answer, if the completion record carries one.
        answer: Option<AppResponse>,
    },
    /// Another request is running the key's work.
    RunningElsewhere {
        /// Request that runs it.
        request: RequestId,
    },
    /// It is unknown whether the work ran.
    Unknown(ResultCode),
    /// The claim is void, or the key was already used for other work.
    NotRun(NotRunRefusal),
}

/// Claims the idempotency keys of non-idempotent calls.
pub trait ClaimPort: Send + Sync {
    /// Claims the request's key; blocks until the claim is decided or the deadline passes.
    fn claim(&self, request: &CheckedRequest) -> ClaimDecision;

    /// Queues a record of the answer under a claimed key, without waiting for it to be written.
    fn complete(&self, request: &CheckedRequest, answer: &AppResponse);

    /// Queues a record that releases a claimed key, without waiting for it to be written. The
    /// refusal proves that nothing ran under the key.
    fn release(&self, request: &CheckedRequest, refusal: &NotRunRefusal);
}
