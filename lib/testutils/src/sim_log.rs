//! In-memory stream of the platform's log in virtual time, with injected failures.

use std::ops::Range;

use pomelostack_lib::claim_queue::AppendFailure;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogSlice;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fault_schedule::FaultKind;
use crate::fault_schedule::FaultSchedule;

/// Time of the log's clock at virtual time 0, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 64;

/// Retention during [`FaultKind::ShortRetention`], in microseconds.
const SHORT_RETENTION_US: u64 = 5_000_000;

/// Probability that the reply to an append is lost without [`FaultKind::RepliesLost`].
const BASE_REPLY_LOSS: f64 = 0.02;

/// Maximum time until a delayed append takes effect, in microseconds.
const MAX_APPEND_DELAY_US: u64 = 200_000_000;

/// A stream of records. Trimming removes nothing and only advances the first readable offset.
#[derive(Clone, Debug, Default)]
pub struct SimLog {
    records: Vec<(u64, Vec<u8>)>,
    first: usize,
}

impl SimLog {
    /// Appends a record at `now_us`, in microseconds.
    pub fn append(&mut self, now_us: u64, data: Vec<u8>) {
        self.records.push((now_us, data));
    }

    /// Trims records that are older than the short retention.
    pub fn trim(&mut self, now_us: u64) {
        let kept = |record: &(u64, Vec<u8>)| record.0 + SHORT_RETENTION_US >= now_us;
        self.first = self.records.iter().position(kept).unwrap_or(self.records.len());
    }

    /// Reads records from an offset on.
    pub fn read(&self, now_us: u64, from: LogOffset) -> Result<LogSlice, LogError> {
        let start = from.0 as usize;
        if start < self.first {
            return Err(LogError::Expired(LogOffset(self.first as u64)));
        }
        let found = self.records.iter().enumerate().skip(start).take(MAX_READ_RECORDS);
        let records = found.map(|(offset, (at_us, data))| LogRecord {
            offset: LogOffset(offset as u64),
            appended_ms: EPOCH_MS + at_us / 1_000,
            data: data.clone(),
        });
        Ok(LogSlice {
            first: LogOffset(self.first as u64),
            end: LogOffset(self.records.len() as u64),
            now_ms: EPOCH_MS + now_us / 1_000,
            records: records.collect(),
        })
    }

    /// Serves a read by a host, subject to the scheduled failures.
    pub fn serve_read(
        &mut self,
        schedule: &FaultSchedule,
        host: usize,
        now_us: u64,
        from: LogOffset,
    ) -> Result<LogSlice, LogError> {
        if schedule.is_active(FaultKind::ShortRetention, now_us) {
            self.trim(now_us);
        }
        match log_is_reachable(schedule, host, now_us) {
            true => self.read(now_us, from),
            false => Err(LogError::OutcomeUnknown("unreachable".to_owned())),
        }
    }

    /// Handles an append by a host, subject to the scheduled failures.
    pub fn take_append(
        &mut self,
        rng: &mut ChaCha8Rng,
        schedule: &FaultSchedule,
        host: usize,
        now_us: u64,
        data: Vec<u8>,
    ) -> SimulatedAppend {
        let unknown = Err(AppendFailure::OutcomeUnknown);
        if !log_is_reachable(schedule, host, now_us) {
            let refused = Err(AppendFailure::NotAppended);
            let result = if rng.random_bool(0.5) { refused } else { unknown };
            return SimulatedAppend { result, delayed: None };
        }
        if schedule.is_active(FaultKind::AppendsDelayed, now_us) {
            let delayed = Some((rng.random_range(0..MAX_APPEND_DELAY_US), data));
            return SimulatedAppend { result: unknown, delayed };
        }
        self.append(now_us, data);
        let lost =
            schedule.is_active(FaultKind::RepliesLost, now_us) || rng.random_bool(BASE_REPLY_LOSS);
        SimulatedAppend { result: if lost { unknown } else { Ok(()) }, delayed: None }
    }

    /// Returns the time at which a record was appended, in microseconds; 0 if there is none.
    pub fn appended_at(&self, offset: LogOffset) -> u64 {
        self.records.get(offset.0 as usize).map_or(0, |(at_us, _)| *at_us)
    }
}

/// Outcome of a simulated append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimulatedAppend {
    /// Result that the host receives.
    pub result: Result<(), AppendFailure>,
    /// Record that takes effect later, with its delay in microseconds.
    pub delayed: Option<(u64, Vec<u8>)>,
}

/// Returns the range of one-way latencies of a call to the log, in microseconds.
pub fn log_latency_us(schedule: &FaultSchedule, now_us: u64) -> Range<u64> {
    match schedule.is_active(FaultKind::LogSlow, now_us) {
        true => 200_000..1_500_000,
        false => 1_000..5_000,
    }
}

/// Returns whether a host can reach the log.
fn log_is_reachable(schedule: &FaultSchedule, host: usize, now_us: u64) -> bool {
    !schedule.is_active(FaultKind::LogDown, now_us)
        && !schedule.is_active(FaultKind::HostCutOff(host), now_us)
}
