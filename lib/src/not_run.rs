//! Typed proofs that a request was not run.
//!
//! A NOT_RUN answer is built from a [`NotRunProof`] alone, so no code path can return one without
//! stating why no backend server ran the request and none will.

use crate::ids::AttemptNumber;
use crate::ids::LogOffset;
use crate::result_code::RequestOutcome;
use crate::result_code::ResultCode;

/// Why it is certain that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunProof {
    /// The request was refused before any attempt was started.
    NeverDispatched,
    /// Each attempt so far was refused by its backend server before it began, or its connection
    /// was never opened; the value is the last such attempt.
    EveryAttemptRefused(AttemptNumber),
    /// A void record at the offset precedes any claim of the key.
    ClaimVoided(LogOffset),
}

/// A refusal that is certain not to have run anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunRefusal {
    code: ResultCode,
    proof: NotRunProof,
}

impl NotRunRefusal {
    /// Joins a NOT_RUN code with its proof.
    ///
    /// Returns `None` if the code has another outcome than NOT_RUN.
    pub fn new(code: ResultCode, proof: NotRunProof) -> Option<Self> {
        (code.outcome() == RequestOutcome::NotRun).then_some(Self { code, proof })
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns why nothing ran.
    pub fn proof(&self) -> NotRunProof {
        self.proof
    }
}
