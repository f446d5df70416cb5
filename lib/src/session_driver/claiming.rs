//! Claims a request's key, or follows the request of this host that has it.

use crate::answer_table::AnswerState;
use crate::ids::RequestId;
use crate::result_code::ResultCode;
use crate::session_claim::ClaimDecision;
use crate::session_claim::ClaimPort;
use crate::session_ports::SessionPorts;
use crate::session_request::CheckedRequest;
use crate::session_request::SessionEnd;

/// How the request that has the key ended at this host.
enum HolderOutcome {
    /// The key's work is decided.
    Decided(ClaimDecision),
    /// The work was not run, and the key was given back.
    Released,
}

/// Claims of one key after which a request stops to wait for a free one.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Claims the key; if another request of this host has it, waits for its answer.
///
/// Blocks until the request's deadline at most.
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

/// Waits for the end of a request that this host keeps; `None` if it does not or has not ended.
fn wait_for_holder(
    ports: &SessionPorts,
    request: &CheckedRequest,
    holder: RequestId,
) -> Option<HolderOutcome> {
    let left = request.deadline.since(ports.clock.now());
    let part = ports.answers.wait_from(holder, u32::MAX, left)?;
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
