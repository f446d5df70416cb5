//! Outcome of a request's claim.

use crate::claim_fold::KeyState;
use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimNonce;
use crate::claim_record::Claimant;
use crate::claim_record::KeyHolder;
use crate::claim_record::RequestFingerprint;
use crate::claim_record::StoredAnswer;
use crate::ids::FencingToken;
use crate::not_run::NotRunProof;
use crate::not_run::NotRunRefusal;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Claim of a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Claimed key, see [`ClaimKey::of`].
    pub key: ClaimKey,
    /// Hash of the request, see [`RequestFingerprint::of`].
    pub fingerprint: RequestFingerprint,
}

/// Permission to run one request once.
///
/// Check [`Self::may_dispatch`] right before the request is sent. If a token is dropped, the key
/// stays claimed without an answer: resends get UNKNOWN and the request does not run again.
#[derive(Debug, PartialEq, Eq)]
pub struct ClaimToken {
    pub(crate) key: ClaimKey,
    pub(crate) nonce: ClaimNonce,
    pub(crate) deadline: Timestamp,
}

impl ClaimToken {
    /// Returns whether the request may still be sent to a backend server.
    pub fn may_dispatch(&self, now: Timestamp) -> bool {
        now < self.deadline
    }

    /// Returns the claimed key.
    pub fn key(&self) -> ClaimKey {
        self.key
    }
}

/// Result of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host may run the request, once.
    Won {
        /// Fencing number for backend servers that check it: the offset of the claim.
        fence: FencingToken,
        /// Token to complete or release the claim.
        token: ClaimToken,
    },
    /// The request already ran, with this answer.
    AnsweredBefore(StoredAnswer),
    /// A process holds the claim and has not completed it.
    RunningElsewhere {
        /// The process, possibly this one.
        claimant: Claimant,
    },
    /// It is unknown whether the request ran or will run.
    Unknown(ResultCode),
    /// The request did not run and will not run.
    ///
    /// With [`crate::not_run::NotRunProof::ClaimVoided`] this holds for every request with the key
    /// that was accepted before the void was read; with
    /// [`crate::not_run::NotRunProof::NeverDispatched`] it holds only for this send.
    NotRun(NotRunRefusal),
    /// The key was used before for a request with another fingerprint.
    KeyReused(NotRunRefusal),
}

/// Returns the outcome for a request that waits for another request's answer, or `None` while it is
/// undecided.
pub(crate) fn outcome_of_wait(state: KeyState, request: &ClaimRequest) -> Option<ClaimOutcome> {
    match state {
        KeyState::Held(holder) => match outcome_of_holder(holder, request) {
            ClaimOutcome::RunningElsewhere { .. } => None,
            outcome => Some(outcome),
        },
        KeyState::Voided(last_void) => {
            Some(not_run(ResultCode::ClaimVoided, NotRunProof::ClaimVoided(last_void)))
        }
        KeyState::Unseen => Some(ClaimOutcome::Unknown(ResultCode::ClaimUnresolved)),
        KeyState::Unknown => None,
    }
}

/// Returns the outcome for a request whose key is claimed by another request.
pub(crate) fn outcome_of_holder(holder: &KeyHolder, request: &ClaimRequest) -> ClaimOutcome {
    if holder.fingerprint != request.fingerprint {
        return match NotRunRefusal::new(ResultCode::KeyReused, NotRunProof::NeverDispatched) {
            Some(refusal) => ClaimOutcome::KeyReused(refusal),
            None => ClaimOutcome::Unknown(ResultCode::Internal),
        };
    }
    match &holder.answer {
        Some(answer) => ClaimOutcome::AnsweredBefore(StoredAnswer::clone(answer)),
        None => ClaimOutcome::RunningElsewhere { claimant: holder.claimant.clone() },
    }
}

/// Builds a NOT_RUN outcome; returns UNKNOWN if the code has another outcome.
pub(crate) fn not_run(code: ResultCode, proof: NotRunProof) -> ClaimOutcome {
    match NotRunRefusal::new(code, proof) {
        Some(refusal) => ClaimOutcome::NotRun(refusal),
        None => ClaimOutcome::Unknown(ResultCode::Internal),
    }
}
