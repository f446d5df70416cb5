//! Claims the idempotency keys of sessions through the log.
//!
//! If another request holds the claim, a request waits for that request's answer until its own
//! deadline, but only as long as the claimant's process is alive.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::app_server::AppResponse;
use crate::claim_keeper::ClaimKeeper;
use crate::claim_outcome::ClaimOutcome;
use crate::claim_outcome::ClaimRequest;
use crate::claim_outcome::ClaimToken;
use crate::claim_record::ClaimKey;
use crate::claim_record::Claimant;
use crate::claim_record::RequestFingerprint;
use crate::claim_record::StoredAnswer;
use crate::claim_record::WholeAnswer;
use crate::ids::RequestId;
use crate::not_run::NotRunRefusal;
use crate::result_code::RequestOutcome;
use crate::result_code::ResultCode;
use crate::session_claim::ClaimDecision;
use crate::session_claim::ClaimPort;
use crate::session_ports::lock;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::timestamp::ProcessClock;

/// Interval at which a waiting request checks that the claimant is alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Largest size of headers and body of an answer that is stored in the log, in bytes.
const MAX_LOGGED_ANSWER_BYTES: usize = 4 * 1_024;

/// Returns whether the process that claimed a key can still complete it.
pub type LivenessCheck = Box<dyn Fn(&Claimant) -> bool + Send + Sync>;

/// Claims keys through the log for the sessions of one host.
pub struct LogClaimPort {
    keeper: Arc<ClaimKeeper>,
    clock: ProcessClock,
    is_alive: LivenessCheck,
    tokens: Mutex<BTreeMap<RequestId, ClaimToken>>,
}

impl LogClaimPort {
    /// Builds the port; `is_alive` returns whether a claimant can still complete its claims.
    pub fn new(keeper: Arc<ClaimKeeper>, clock: ProcessClock, is_alive: LivenessCheck) -> Self {
        Self { keeper, clock, is_alive, tokens: Mutex::default() }
    }

    /// Waits for the answer of the request that holds the claim.
    fn wait_for_answer(
        &self,
        claim: ClaimRequest,
        claimant: &Claimant,
        request: &CheckedRequest,
    ) -> ClaimDecision {
        loop {
            let wait_until = (self.clock.now() + LIVENESS_CHECK_INTERVAL).min(request.deadline);
            match self.keeper.wait_for_answer(claim, wait_until) {
                ClaimOutcome::Unknown(ResultCode::StillRunning)
                    if self.clock.now() < request.deadline =>
                {
                    if !(self.is_alive)(claimant) {
                        return ClaimDecision::Unknown(ResultCode::ClaimantGone);
                    }
                }
                outcome => return self.decide(outcome, claim, request),
            }
        }
    }

    fn decide(
        &self,
        outcome: ClaimOutcome,
        claim: ClaimRequest,
        request: &CheckedRequest,
    ) -> ClaimDecision {
        match outcome {
            ClaimOutcome::Won { fence, token } => {
                lock(&self.tokens).insert(request.id, token);
                ClaimDecision::Won { fence: Some(fence) }
            }
            ClaimOutcome::AnsweredBefore(answer) => decide_answered(answer),
            ClaimOutcome::RunningElsewhere { claimant } => {
                self.wait_for_answer(claim, &claimant, request)
            }
            ClaimOutcome::Unknown(code) => ClaimDecision::Unknown(code),
            ClaimOutcome::NotRun(refusal) | ClaimOutcome::KeyReused(refusal) => {
                ClaimDecision::NotRun(refusal)
            }
        }
    }

    fn take_token(&self, request: &CheckedRequest) -> Option<ClaimToken> {
        lock(&self.tokens).remove(&request.id)
    }
}

impl ClaimPort for LogClaimPort {
    fn claim(&self, request: &CheckedRequest) -> ClaimDecision {
        let Some(claim) = claim_of(request) else {
            return ClaimDecision::Unknown(ResultCode::Internal);
        };
        let outcome = self.keeper.claim(claim, request.deadline);
        self.decide(outcome, claim, request)
    }

    fn complete(&self, request: &CheckedRequest, answer: &AppResponse) {
        if let Some(token) = self.take_token(request) {
            self.keeper.complete(token, stored_answer(request.id, answer));
        }
    }

    fn release(&self, request: &CheckedRequest, _refusal: &NotRunRefusal) {
        if let Some(token) = self.take_token(request) {
            self.keeper.release(token);
        }
    }
}

/// Returns the claim of a non-idempotent call, or `None` if the request needs no claim.
fn claim_of(request: &CheckedRequest) -> Option<ClaimRequest> {
    let key = request.idempotency_key.as_deref()?;
    let RequestWork::App { method, path, body, .. } = &request.work else { return None };
    Some(ClaimRequest {
        key: ClaimKey::of(&request.team, &request.service.name, key),
        fingerprint: RequestFingerprint::of(method, path, body),
    })
}

fn stored_answer(request: RequestId, answer: &AppResponse) -> StoredAnswer {
    let header_bytes = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    if answer.body.len() + header_bytes.sum::<usize>() > MAX_LOGGED_ANSWER_BYTES {
        return StoredAnswer::Reference(request);
    }
    StoredAnswer::Whole(WholeAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.clone(),
    })
}

fn decide_answered(answer: StoredAnswer) -> ClaimDecision {
    match answer {
        StoredAnswer::Whole(answer) => {
            let WholeAnswer { status, headers, body } = answer;
            let answer = Some(AppResponse { status, headers, body });
            ClaimDecision::AnsweredBefore { request: RequestId::default(), answer }
        }
        StoredAnswer::Reference(request) => ClaimDecision::AnsweredBefore { request, answer: None },
        StoredAnswer::Failed(code) if code.outcome() == RequestOutcome::Unknown => {
            ClaimDecision::Unknown(code)
        }
        StoredAnswer::Failed(_) => ClaimDecision::Unknown(ResultCode::AnswerExpired),
    }
}
