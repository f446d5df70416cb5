//! What entry hosts tell each other about server crashes: small, bounded and mergeable.
//!
//! A report carries everything that its sender knows and ages in place of clock times, so that
//! reports may be lost, repeated, reordered and passed on by third hosts without harm.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::record_bounds::RecordError;
use crate::record_bounds::Result;
use crate::record_bounds::decode_bounded;
use crate::record_bounds::encode_bounded;

/// Version of the encoding.
pub const REPORT_VERSION: u16 = 1;

/// Largest encoded report, in bytes.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Most entries of each list in a report.
pub const MAX_REPORT_ENTRIES: usize = 256;

/// Most requests that one crash names.
pub const MAX_AFFECTED_REQUESTS: usize = 64;

/// Hash of a request's service and work: equal for every resend of the same request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkFingerprint(pub u128);

/// A request that ran at a server when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AffectedRequest {
    /// Request.
    pub fingerprint: WorkFingerprint,
    /// Time for which it had run there, in milliseconds.
    pub ran_ms: u64,
}

/// One host's view of one crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashView {
    /// Server whose process ended.
    pub server: ServerId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Host that saw it.
    pub reporter: HostId,
    /// Time since, in milliseconds.
    pub age_ms: u64,
    /// Requests of the reporter that ran there.
    pub companions: Vec<AffectedRequest>,
}

/// A trial: one suspect alone on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialView {
    /// Host that runs it.
    pub owner: HostId,
    /// Number of the trial among those of its owner.
    pub number: u64,
    /// Server that no other request may be sent to.
    pub server: ServerId,
    /// Suspect.
    pub fingerprint: WorkFingerprint,
}

/// Answer to another host's trial: the sender avoids the server, and still has requests there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// Host that runs the trial.
    pub owner: HostId,
    /// Number of the trial among those of its owner.
    pub number: u64,
    /// Requests of the sender on its server.
    pub in_flight: u32,
}

/// Something that was decided about a request some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedVerdict {
    /// Request.
    pub fingerprint: WorkFingerprint,
    /// Time since, in milliseconds.
    pub age_ms: u64,
}

/// Everything that one host knows about crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Version of the encoding.
    pub version: u16,
    /// Sender.
    pub from: HostId,
    /// Crashes, newest first.
    pub crashes: Vec<CrashView>,
    /// Trials of the sender.
    pub trials: Vec<TrialView>,
    /// Answers to the trials of others: one entry for each that the sender knows of.
    pub busy: Vec<TrialReply>,
    /// Suspects whose trial went well.
    pub cleared: Vec<AgedVerdict>,
    /// Requests that are refused, and when they were last sent.
    pub refused: Vec<AgedVerdict>,
}

impl CrashReport {
    /// Encodes the report.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_REPORT_BYTES)
    }

    /// Decodes a report and checks its version and bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let report: Self = decode_bounded(bytes, REPORT_VERSION, MAX_REPORT_BYTES)?;
        let lists = [
            report.crashes.len(),
            report.trials.len(),
            report.busy.len(),
            report.cleared.len(),
            report.refused.len(),
        ];
        let companions = report.crashes.iter().map(|crash| crash.companions.len()).max();
        if lists.into_iter().any(|len| len > MAX_REPORT_ENTRIES)
            || companions.unwrap_or(0) > MAX_AFFECTED_REQUESTS
        {
            return Err(RecordError::TooLarge { limit: MAX_REPORT_ENTRIES });
        }
        Ok(report)
    }
}
