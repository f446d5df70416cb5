//! Claims a request's key, or waits for the request on this host that holds it.

use crate::answer_table::AnswerState;
use crate::ids::RequestId;
use crate::result_code::ResultCode;
use crate::session_claim::ClaimDecision;
use crate::session_claim::ClaimPort;
use crate::session_ports::SessionPorts;
use crate::session_request::CheckedRequest;
use crate::session_request::SessionEnd;

/// How the request that holds the key ended.
enum HolderOutcome {
    /// The outcome of the key's work is decided.
    Decided(ClaimDecision),
    /// The work was not run, and the key was released.
    Released,
}

/// Maximum claims of a request's key, if its holders release it each time.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Claims the key; if another request on this host holds it, waits for that request's answer.
///
/// Blocks no longer than until the request's deadline.
pub(super) fn claim_or_wait(
    ports: &SessionPorts,
    claims: &dyn ClaimPort,
    request: &CheckedRequest,
) -> ClaimDecision {
    let mut decision = claims.claim(request);
    for _ in 1..MAX_CLAIM_ATTEMPTS {
        let holder = match &decision {
            ClaimDecision::AnsweredBefore { request, answer: None } => *request,
            ClaimDecision::RunningElsewhere { request } => *request,
            _ => return decision,
        };
        match wait_for_holder(ports, request, holder) {
            None => return decision,
            Some(HolderOutcome::Decided(decided)) => return decided,
            Some(HolderOutcome::Released) => decision = claims.claim(request),
        }
    }
    decision
}

/// Waits for the end of the holder; returns `None` if this host does not have its answer or it does
/// not end before the request's deadline.
fn wait_for_holder(
    ports: &SessionPorts,
    request: &CheckedRequest,
    holder: RequestId,
) -> Option<HolderOutcome> {
    let remaining = request.deadline.since(ports.clock.now());
    let part = ports.answers.wait_from(holder, u32::MAX, remaining)?;
    let AnswerState::Finished(end) = part.state else { return None };
    let decided = match end {
        SessionEnd::AppDone(answer) => {
            ClaimDecision::AnsweredBefore { request: holder, answer: Some(answer) }
        }
        SessionEnd::NotRun { .. } => return Some(HolderOutcome::Released),
        SessionEnd::Unknown { code, .. } => ClaimDecision::Unknown(code),
        SessionEnd::ModelDone { .. } => ClaimDecision::Unknown(ResultCode::Internal),
    };
    Some(HolderOutcome::Decided(decided))
}
