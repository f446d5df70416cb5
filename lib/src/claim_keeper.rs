//! Joins the claim decisions with the platform's log: threads that append and read, and calls that
//! block a request's thread until its claim is decided.

use std::sync::Arc;
use std::time::Duration;

use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimNonce;
use crate::claim_record::Claimant;
use crate::claim_record::RequestFingerprint;
use crate::claim_record::StoredAnswer;
use crate::ids::FencingNumber;
use crate::log_service::LogService;
use crate::not_run::NotRunRefusal;
use crate::result_code::ResultCode;
use crate::timestamp::ProcessClock;
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
    key: ClaimKey,
    nonce: ClaimNonce,
    deadline: Timestamp,
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
        fence: FencingNumber,
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
    /// No request with this key that was accepted before ran or will run.
    NotRun(NotRunRefusal),
    /// The key belongs to another request.
    KeyReused(NotRunRefusal),
}

/// Settings of a [`ClaimKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// This process.
    pub claimant: Claimant,
    /// Time for which keys are remembered.
    pub key_retention: Duration,
    /// Keys remembered at most; above it new claims are refused.
    pub max_keys: usize,
    /// Requests that wait for their claims at most.
    pub max_pending: usize,
    /// Time between two appends at least.
    pub append_interval: Duration,
    /// Time between two reads while nothing waits.
    pub read_interval: Duration,
}

/// Figures for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperStats {
    /// Keys remembered.
    pub keys: usize,
    /// Requests that wait.
    pub pending: usize,
    /// Records appended.
    pub appends: u64,
    /// Appends whose fate is unknown.
    pub open_appends: u64,
    /// Records that could not be decoded.
    pub bad_records: u64,
}

/// The claims of one entry host.
#[derive(Debug)]
pub struct ClaimKeeper {}

impl ClaimKeeper {
    /// Starts the threads that append and read.
    pub fn start(
        _settings: KeeperSettings,
        _log: Arc<dyn LogService>,
        _clock: ProcessClock,
    ) -> Arc<Self> {
        Arc::new(Self {})
    }

    /// Claims a key and blocks until the claim is decided, until `deadline` at most.
    pub fn claim(&self, _request: ClaimRequest, _deadline: Timestamp) -> ClaimVerdict {
        ClaimVerdict::Unknown(ResultCode::ClaimUnresolved)
    }

    /// Blocks until the key has an answer or is free, until `deadline` at most.
    ///
    /// Never returns [`ClaimVerdict::Won`].
    pub fn wait_for_answer(&self, _request: ClaimRequest, _deadline: Timestamp) -> ClaimVerdict {
        ClaimVerdict::Unknown(ResultCode::StillRunning)
    }

    /// Records how a claimed request ended; does not wait for the log.
    pub fn complete(&self, _token: ClaimToken, _answer: StoredAnswer) {}

    /// Gives up a claim whose request was not dispatched, so that a resend can run.
    pub fn release(&self, _token: ClaimToken) {}

    /// Returns whether every record up to the end seen last is folded, without a gap.
    pub fn is_caught_up(&self) -> bool {
        false
    }

    /// Returns figures for metrics.
    pub fn stats(&self) -> KeeperStats {
        KeeperStats::default()
    }

    /// Stops the threads; requests that wait get UNKNOWN.
    pub fn stop(&self) {}
}
