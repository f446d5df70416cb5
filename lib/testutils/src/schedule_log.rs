//! In-memory stream of the platform's log in virtual time.

use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogSlice;

/// The log's clock at virtual time 0, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Records of one read at most.
const READ_BATCH: usize = 64;

/// Time for which records are kept while retention is short, in microseconds.
const SHORT_RETENTION_US: u64 = 5_000_000;

/// One stream; nothing is removed, trimming moves the first readable offset.
#[derive(Clone, Debug, Default)]
pub struct ScheduleLog {
    records: Vec<(u64, Vec<u8>)>,
    first: usize,
}

impl ScheduleLog {
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
        let found = self.records.iter().enumerate().skip(start).take(READ_BATCH);
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

    /// Returns when a record was appended, in microseconds.
    pub fn appended_at(&self, offset: LogOffset) -> u64 {
        self.records.get(offset.0 as usize).map_or(0, |(at_us, _)| *at_us)
    }
}
