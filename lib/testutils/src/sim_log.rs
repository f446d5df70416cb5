//! In-memory stream of the platform's log in virtual time, and what failures do to calls of it.

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

/// The log's clock at virtual time 0, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Records of one read at most.
const MAX_READ_RECORDS: usize = 64;

/// Time for which records are kept while retention is short, in microseconds.
const SHORT_RETENTION_US: u64 = 5_000_000;

/// Share of appends whose reply is lost without any failure.
const BASE_REPLY_LOSS: f64 = 0.02;

/// Longest time until a delayed append lands, in microseconds.
const MAX_APPEND_DELAY_US: u64 = 200_000_000;

/// One stream; nothing is removed, trimming moves the first readable offset.
#[derive(Clone, Debug, Default)]
pub struct SimLog {
    records: Vec<(u64, Vec<u8>)>,
    first: usize,
}

impl SimLog {
    /// Appends at a time in microseconds.
    pub fn append(&mut self, now_us: u64, data: Vec<u8>) {
        self.records.push((now_us, data));
    }

    /// Drops what is past the short retention.
    pub fn trim(&mut self, now_us: u64) {
        let kept = |record: &(u64, Vec<u8>)| record.0 + SHORT_RETENTION_US >= now_us;
        self.first = self.records.iter().position(kept).unwrap_or(self.records.len());
    }

    /// Reads from an offset.
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

    /// Serves the read of a host under failures.
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

    /// Takes the append of a host under failures.
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

    /// Returns when a record was appended, in microseconds.
    pub fn appended_at(&self, offset: LogOffset) -> u64 {
        self.records.get(offset.0 as usize).map_or(0, |(at_us, _)| *at_us)
    }
}

/// What a host learns of its append, and what is still to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimulatedAppend {
    /// Result that the host is told.
    pub result: Result<(), AppendFailure>,
    /// Record that lands later, with its delay in microseconds.
    pub delayed: Option<(u64, Vec<u8>)>,
}

/// Returns the one-way times of a call to the log, in microseconds.
pub fn log_latency_us(schedule: &FaultSchedule, now_us: u64) -> Range<u64> {
    match schedule.is_active(FaultKind::LogSlow, now_us) {
        true => 200_000..1_500_000,
        false => 1_000..5_000,
    }
}

/// Returns whether a host's call reaches the log.
fn log_is_reachable(schedule: &FaultSchedule, host: usize, now_us: u64) -> bool {
    !schedule.is_active(FaultKind::LogDown, now_us)
        && !schedule.is_active(FaultKind::HostCutOff(host), now_us)
}
