//! Crash reports that entry hosts exchange: small, bounded and mergeable.
//!
//! A report is a full snapshot of what its sender knows, with ages in place of clock times.
//! Reports may therefore be lost, duplicated, reordered or relayed by third hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::part_suspects::AnswerProgress;
use crate::record_bounds::RecordError;
use crate::record_bounds::Result;
use crate::record_bounds::decode_bounded;
use crate::record_bounds::encode_bounded;
use crate::verdict_table::PartVerdict;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Version of the encoding.
pub const REPORT_VERSION: u16 = 2;

/// Largest encoded report, in bytes.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Maximum number of entries in each list of a report.
pub const MAX_REPORT_ENTRIES: usize = 256;

/// Maximum number of affected requests listed per crash and reporter.
pub const MAX_AFFECTED_REQUESTS: usize = 64;

/// Hash of a request's service and work. Every resend of the same request has the same hash.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WorkFingerprint(pub u128);

/// Maximum number of parts of requests in a report: sixteen kilobytes.
pub const MAX_REPORT_PARTS: usize = 2_048;

/// Maximum number of verdicts in a report.
pub const MAX_REPORT_VERDICTS: usize = 64;

/// A request that was in flight on a server when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AffectedRequest {
    /// Request.
    pub fingerprint: WorkFingerprint,
    /// Time for which it had run there, in milliseconds.
    pub ran_ms: u64,
    /// Its parts that may have crashed the server; empty in reports of old crashes.
    pub parts: WorkParts,
    /// How far its answer was.
    pub progress: AnswerProgress,
}

/// A part of requests that are answered, and the time since the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPart {
    /// Part.
    pub part: WorkPart,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// One host's view of one crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashView {
    /// Server whose process exited.
    pub server: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Host that observed the crash.
    pub reporter: HostId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Requests of the reporter that were in flight there.
    pub companions: Vec<AffectedRequest>,
}

/// A trial, which runs one suspect alone on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialView {
    /// Host that runs it.
    pub owner: HostId,
    /// Number of the trial, unique per owner.
    pub number: u64,
    /// Server reserved for the trial: no other request may be sent to it.
    pub server: ServerId,
    /// Suspect under trial.
    pub fingerprint: WorkFingerprint,
}

/// Acknowledges another host's trial: the sender avoids the server from now on and reports how many
/// of its requests are still in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// Host that runs the trial.
    pub owner: HostId,
    /// Number of the trial, unique per owner.
    pub number: u64,
    /// Requests of the sender that are in flight on the trial's server.
    pub in_flight: u32,
}

/// A request that was cleared or refused, and the age of that decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedVerdict {
    /// Request.
    pub fingerprint: WorkFingerprint,
    /// Time since the decision, in milliseconds.
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
    /// Acknowledgements of the peers' trials, one for each that the sender knows of.
    pub busy: Vec<TrialReply>,
    /// Suspects that were answered or passed their trial.
    pub cleared: Vec<AgedVerdict>,
    /// Refused requests, with the time since each was last sent.
    pub refused: Vec<AgedVerdict>,
    /// Parts of requests that the sender recently had answered and that were suspects.
    pub cleared_parts: Vec<AgedPart>,
    /// Verdicts on parts of requests.
    pub verdicts: Vec<PartVerdict>,
}

impl CrashReport {
    /// Encodes the report.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_REPORT_BYTES)
    }

    /// Decodes a report and checks its version, size and list lengths.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let report: Self = decode_bounded(bytes, REPORT_VERSION, MAX_REPORT_BYTES)?;
        let lists = [
            report.crashes.len(),
            report.trials.len(),
            report.busy.len(),
            report.cleared.len(),
            report.refused.len(),
            report.cleared_parts.len(),
            report.verdicts.len(),
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
