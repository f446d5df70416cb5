//! Typed proofs that a request was not run.
//!
//! A NOT_RUN answer can only be built from a [`NotRunProof`], so every code path that returns one
//! states why no backend server ran the request or will run it. Once a session has started an
//! attempt, its [`AttemptLedger`] is the only source of proofs.

use std::collections::BTreeMap;

use crate::engine::ServerError;
use crate::ids::AttemptNumber;
use crate::ids::LogOffset;
use crate::result_code::RequestOutcome;
use crate::result_code::ResultCode;

/// Evidence that every attempt of a request was refused before it ran.
///
/// Only [`AttemptLedger`] can build it, from the errors that it observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedAttempts {
    last: AttemptNumber,
    count: u32,
}

impl RefusedAttempts {
    /// Returns the last refused attempt.
    pub fn last(&self) -> AttemptNumber {
        self.last
    }

    /// Returns the number of refused attempts.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Why it is certain that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunProof {
    /// The request was refused before any attempt was started.
    NeverDispatched,
    /// Each attempt so far was refused by its backend server before it began, or its connection
    /// was never opened.
    EveryAttemptRefused(RefusedAttempts),
    /// A void record at the offset precedes any claim of the key.
    ClaimVoided(LogOffset),
}

/// A NOT_RUN result code with the proof that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunRefusal {
    code: ResultCode,
    proof: NotRunProof,
}

impl NotRunRefusal {
    /// Builds a refusal, or returns `None` if the outcome of the code is not NOT_RUN.
    pub fn new(code: ResultCode, proof: NotRunProof) -> Option<Self> {
        (code.outcome() == RequestOutcome::NotRun).then_some(Self { code, proof })
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns the proof that nothing ran.
    pub fn proof(&self) -> NotRunProof {
        self.proof
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStatus {
    /// The attempt was passed to a connection and may run.
    MayRun,
    /// The attempt did not run: the server refused it, or the connection was never opened.
    Refused,
}

/// Status of every attempt of one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    statuses: BTreeMap<AttemptNumber, AttemptStatus>,
}

impl AttemptLedger {
    /// Records that an attempt is about to be sent and may run from now on.
    pub fn begin(&mut self, attempt: AttemptNumber) {
        self.statuses.insert(attempt, AttemptStatus::MayRun);
    }

    /// Records the error of an attempt; has an effect only if the error proves that nothing ran.
    pub fn observe(&mut self, attempt: AttemptNumber, error: &ServerError) {
        if !proves_not_run(error) {
            return;
        }
        if let Some(status) = self.statuses.get_mut(&attempt) {
            *status = AttemptStatus::Refused;
        }
    }

    /// Returns the number of attempts that were started.
    pub fn begun(&self) -> u32 {
        u32::try_from(self.statuses.len()).unwrap_or(u32::MAX)
    }

    /// Returns the proof that nothing ran, or `None` if any attempt may have run.
    pub fn proof(&self) -> Option<NotRunProof> {
        if self.statuses.values().any(|&status| status == AttemptStatus::MayRun) {
            return None;
        }
        Some(match self.statuses.last_key_value() {
            None => NotRunProof::NeverDispatched,
            Some((&last, _)) => {
                NotRunProof::EveryAttemptRefused(RefusedAttempts { last, count: self.begun() })
            }
        })
    }
}

/// Returns whether the error proves that the server ran no part of the attempt.
pub fn proves_not_run(error: &ServerError) -> bool {
    match error {
        ServerError::NotConnected(_) | ServerError::Refused(_) | ServerError::Fenced(_) => true,
        ServerError::Lost(_) | ServerError::TimedOut(_) | ServerError::Malformed(_) => false,
    }
}
