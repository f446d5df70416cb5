//! Finds requests that crash backend servers and keeps them from further servers.

use crate::ids::RequestId;
use crate::ids::ServerId;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::timestamp::Timestamp;

/// Hash of a request's service and work: equal for every resend of the same request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct WorkFingerprint(pub u128);

impl From<&CheckedRequest> for WorkFingerprint {
    fn from(request: &CheckedRequest) -> Self {
        let mut hasher = blake3::Hasher::new();
        let mut field = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        field(request.service.name.as_str().as_bytes());
        match &request.work {
            RequestWork::Model { prompt, .. } => field(prompt.as_bytes()),
            RequestWork::App { method, path, body, .. } => {
                field(method.as_bytes());
                field(path.as_bytes());
                field(body);
            }
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(first))
    }
}

/// Where a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectPlacement {
    /// To any server but these, on which a suspect is tried.
    Free {
        /// Servers to avoid.
        avoid: Vec<ServerId>,
    },
    /// To this server alone.
    Trial(ServerId),
    /// To none now; ask again.
    Hold,
    /// To none ever: it crashes servers.
    Refused,
}

/// Why a server's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeathCause {
    /// The process ended while its host goes on: new connections are refused.
    ProcessEnded,
    /// The end was announced, or the whole host is gone.
    HostGone,
}

/// How an attempt left its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLeft {
    /// It was answered.
    Answered,
    /// It failed or was stopped.
    Stopped,
}

/// Suspicions of one entry host.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {}

impl CrashSuspects {
    /// Decides where a request may be sent; `candidates` are the servers that could run it.
    pub fn place(
        &mut self,
        _now: Timestamp,
        _fingerprint: WorkFingerprint,
        _request: RequestId,
        _candidates: &[ServerId],
    ) -> SuspectPlacement {
        SuspectPlacement::Free { avoid: Vec::new() }
    }

    /// Records an attempt that is sent to a server.
    pub fn begin(
        &mut self,
        _now: Timestamp,
        _fingerprint: WorkFingerprint,
        _request: RequestId,
        _server: &ServerId,
    ) {
    }

    /// Records that an attempt is not on the server any more.
    pub fn end(
        &mut self,
        _now: Timestamp,
        _request: RequestId,
        _server: &ServerId,
        _left: AttemptLeft,
    ) {
    }

    /// Records the end of a server's process; call it before [`Self::end`] of what ran there.
    pub fn on_death(&mut self, _now: Timestamp, _server: &ServerId, _cause: DeathCause) {}
}
