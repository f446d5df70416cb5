//! A log in memory with the faults of the real one and a clock that the test moves.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogRecord;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::log_service::MAX_RECORD_BYTES;
use pomelostack_lib::log_service::Result;

/// Faults of calls to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Calls work.
    #[default]
    None,
    /// Calls are refused without an effect.
    Refused,
    /// Calls have no effect, but the caller cannot tell.
    RequestLost,
    /// Appends take effect, but the caller cannot tell; reads work.
    ReplyLost,
}

#[derive(Default)]
struct StreamRecords {
    first: u64,
    records: VecDeque<LogRecord>,
}

#[derive(Default)]
struct LogState {
    streams: BTreeMap<LogStream, StreamRecords>,
    now_ms: u64,
    retention_ms: Option<u64>,
    fault: LogFault,
}

/// A log in memory.
#[derive(Default)]
pub struct MemoryLog {
    state: Mutex<LogState>,
}

impl MemoryLog {
    /// Builds a log that drops records older than `retention_ms`.
    pub fn with_retention(retention_ms: u64) -> Self {
        let log = Self::default();
        log.lock().retention_ms = Some(retention_ms);
        log
    }

    /// Sets the fault of all calls from now on.
    pub fn set_fault(&self, fault: LogFault) {
        self.lock().fault = fault;
    }

    /// Moves the clock on and drops the records that are past their retention.
    pub fn advance(&self, millis: u64) {
        let mut state = self.lock();
        state.now_ms += millis;
        let Some(retention_ms) = state.retention_ms else { return };
        let oldest_ms = state.now_ms.saturating_sub(retention_ms);
        for stream in state.streams.values_mut() {
            while stream.records.front().is_some_and(|record| record.appended_ms < oldest_ms) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    /// Returns the readable records of a stream.
    pub fn records(&self, stream: LogStream) -> Vec<LogRecord> {
        let state = self.lock();
        state.streams.get(&stream).map(|s| s.records.iter().cloned().collect()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogState {
    fn append(&mut self, stream: LogStream, data: &[u8]) -> LogOffset {
        let appended_ms = self.now_ms;
        let stream = self.streams.entry(stream).or_default();
        let offset = LogOffset(stream.first + stream.records.len() as u64);
        stream.records.push_back(LogRecord { offset, appended_ms, data: data.to_vec() });
        offset
    }
}

impl LogService for MemoryLog {
    fn append(&self, stream: LogStream, data: &[u8]) -> Result<LogOffset> {
        let mut state = self.lock();
        if data.len() > MAX_RECORD_BYTES {
            return Err(LogError::Refused(format!("record of {} bytes", data.len())));
        }
        match state.fault {
            LogFault::None => Ok(state.append(stream, data)),
            LogFault::Refused => Err(LogError::Refused("log is down".to_owned())),
            LogFault::RequestLost => Err(LogError::FateUnknown("no reply".to_owned())),
            LogFault::ReplyLost => {
                state.append(stream, data);
                Err(LogError::FateUnknown("no reply".to_owned()))
            }
        }
    }

    fn read(&self, stream: LogStream, from: LogOffset, max: usize) -> Result<LogSlice> {
        let state = self.lock();
        match state.fault {
            LogFault::None | LogFault::ReplyLost => {}
            LogFault::Refused => return Err(LogError::Refused("log is down".to_owned())),
            LogFault::RequestLost => return Err(LogError::FateUnknown("no reply".to_owned())),
        }
        let empty = StreamRecords::default();
        let stream = state.streams.get(&stream).unwrap_or(&empty);
        if from.0 < stream.first {
            return Err(LogError::Expired(LogOffset(stream.first)));
        }
        let skip = usize::try_from(from.0 - stream.first).unwrap_or(usize::MAX);
        Ok(LogSlice {
            first: LogOffset(stream.first),
            end: LogOffset(stream.first + stream.records.len() as u64),
            now_ms: state.now_ms,
            records: stream.records.iter().skip(skip).take(max).cloned().collect(),
        })
    }
}
