//! Edge between a session and the claims of idempotency keys.

use crate::app_server::AppAnswer;
use crate::ids::FencingToken;
use crate::ids::RequestId;
use crate::not_run::NotRunRefusal;
use crate::result_code::ResultCode;
use crate::session_request::CheckedRequest;

/// What the claim of a key decided about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The key is this request's own: it may be dispatched.
    Won {
        /// Number for servers that check one.
        fence: Option<FencingToken>,
    },
    /// The key's work was completed before.
    AnsweredBefore {
        /// Request that did the work.
        request: RequestId,
        /// Its answer, if the completion carries one.
        answer: Option<AppAnswer>,
    },
    /// Another request runs the key's work now.
    RunningElsewhere {
        /// Request that runs it.
        request: RequestId,
    },
    /// Whether the work runs cannot be told.
    Unknown(ResultCode),
    /// The claim is void or the key was used for other work.
    NotRun(NotRunRefusal),
}

/// Claims keys of non-idempotent calls.
pub trait ClaimPort: Send + Sync {
    /// Claims the request's key; blocks until it is decided, until the deadline at most.
    fn claim(&self, request: &CheckedRequest) -> ClaimDecision;

    /// Records the answer of a claimed key; queues the record and returns.
    fn complete(&self, request: &CheckedRequest, answer: &AppAnswer);

    /// Gives a claimed key back; queues the record and returns. The refusal carries the proof that
    /// nothing ran under it.
    fn release(&self, request: &CheckedRequest, refusal: &NotRunRefusal);
}
