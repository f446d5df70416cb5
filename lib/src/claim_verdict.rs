//! What a request is told about its claim.

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

/// A non-idempotent request that asks for the right to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key, see [`ClaimKey::of`].
    pub key: ClaimKey,
    /// Hash of the request, see [`RequestFingerprint::of`].
    pub fingerprint: RequestFingerprint,
}

/// The right to run one request once.
///
/// Check [`Self::may_dispatch`] right before the request is sent. A token that is dropped leaves
/// the key claimed without an answer: resends get UNKNOWN and nothing runs again.
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

/// What became of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This host may run the request, once.
    Won {
        /// Offset of the claim, for backend servers that check fencing numbers.
        fence: FencingToken,
        /// Needed to complete or release the claim.
        token: ClaimToken,
    },
    /// The request ran before; this is how it ended.
    AnsweredBefore(StoredAnswer),
    /// The process has claimed the key and not yet completed it.
    RunningElsewhere {
        /// The process, this one included.
        claimant: Claimant,
    },
    /// It cannot be told whether the request ran or will run.
    Unknown(ResultCode),
    /// The request did not run and will not. With [`crate::not_run::NotRunProof::ClaimVoided`] this
    /// holds for every request with the key that was accepted before the void was read; with
    /// [`crate::not_run::NotRunProof::NeverDispatched`] for this send alone.
    NotRun(NotRunRefusal),
    /// The key belongs to another request.
    KeyReused(NotRunRefusal),
}

/// Returns what a request is told that waits for the answer of another request, if it is decided.
pub(crate) fn judge_wait(state: KeyState, request: &ClaimRequest) -> Option<ClaimVerdict> {
    match state {
        KeyState::Held(holder) => match verdict_of_holder(holder, request) {
            ClaimVerdict::RunningElsewhere { .. } => None,
            verdict => Some(verdict),
        },
        KeyState::Free(floor) => {
            Some(not_run(ResultCode::ClaimVoided, NotRunProof::ClaimVoided(floor)))
        }
        KeyState::Fresh => Some(ClaimVerdict::Unknown(ResultCode::ClaimUnresolved)),
        KeyState::Doubtful => None,
    }
}

/// Returns what a request is told whose key is claimed by another request.
pub(crate) fn verdict_of_holder(holder: &KeyHolder, request: &ClaimRequest) -> ClaimVerdict {
    if holder.fingerprint != request.fingerprint {
        return match NotRunRefusal::new(ResultCode::KeyReused, NotRunProof::NeverDispatched) {
            Some(refusal) => ClaimVerdict::KeyReused(refusal),
            None => ClaimVerdict::Unknown(ResultCode::Internal),
        };
    }
    match &holder.answer {
        Some(answer) => ClaimVerdict::AnsweredBefore(StoredAnswer::clone(answer)),
        None => ClaimVerdict::RunningElsewhere { claimant: holder.claimant.clone() },
    }
}

/// Builds a NOT_RUN verdict.
pub(crate) fn not_run(code: ResultCode, proof: NotRunProof) -> ClaimVerdict {
    match NotRunRefusal::new(code, proof) {
        Some(refusal) => ClaimVerdict::NotRun(refusal),
        None => ClaimVerdict::Unknown(ResultCode::Internal),
    }
}
