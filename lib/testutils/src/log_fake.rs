//! In-memory fake of the platform's log, with a settable clock and deterministic faults.
//!
//! It opens no socket and reads no clock, so unit tests and virtual-time harnesses can use it
//! directly. The log stand-in serves one over HTTP.

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

/// Length of the sliding window of the append rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// Kind of outage, as it looks to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutage {
    /// The log works.
    #[default]
    None,
    /// Calls are refused with an error and have no effect.
    Refusing,
    /// Calls have no effect and get no reply, so their outcome is unknown to the callers.
    Unreachable,
}

#[derive(Debug)]
struct StreamState {
    first: LogOffset,
    records: VecDeque<LogRecord>,
}

impl StreamState {
    fn end(&self) -> LogOffset {
        LogOffset(self.first.0 + self.records.len() as u64)
    }
}

/// Append that takes effect later.
#[derive(Debug)]
struct HeldAppend {
    stream: LogStream,
    data: Vec<u8>,
}

#[derive(Debug)]
struct FakeState {
    now_ms: u64,
    retention_ms: u64,
    appends_per_s: usize,
    outage: LogOutage,
    lost_replies: u32,
    lost_requests: u32,
    held_appends: u32,
    held: VecDeque<HeldAppend>,
    recent_appends_ms: VecDeque<u64>,
    streams: BTreeMap<LogStream, StreamState>,
}

/// In-memory log.
#[derive(Debug)]
pub struct LogFake {
    state: Mutex<FakeState>,
}

impl Default for LogFake {
    fn default() -> Self {
        Self::new()
    }
}

impl LogFake {
    /// Builds an empty log at time 0, with no faults, unlimited retention and no rate limit.
    pub fn new() -> Self {
        let state = FakeState {
            now_ms: 0,
            retention_ms: u64::MAX,
            appends_per_s: usize::MAX,
            outage: LogOutage::None,
            lost_replies: 0,
            lost_requests: 0,
            held_appends: 0,
            held: VecDeque::new(),
            recent_appends_ms: VecDeque::new(),
            streams: BTreeMap::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Advances the log's clock, in milliseconds since the Unix epoch, and drops expired records.
    ///
    /// An earlier time than the current one is ignored.
    pub fn set_now_ms(&self, now_ms: u64) {
        let mut state = self.lock();
        state.now_ms = state.now_ms.max(now_ms);
        state.expire();
    }

    /// Sets the retention time of records, in milliseconds, and drops expired records.
    pub fn set_retention_ms(&self, retention_ms: u64) {
        let mut state = self.lock();
        state.retention_ms = retention_ms;
        state.expire();
    }

    /// Sets the maximum number of appends in any one-second window.
    pub fn set_appends_per_s(&self, appends_per_s: usize) {
        self.lock().appends_per_s = appends_per_s;
    }

    /// Returns whether the append rate is used up, so that an append would be refused now.
    pub fn is_rate_limited(&self) -> bool {
        self.lock().check_append_rate().is_err()
    }

    /// Starts an outage, or ends it with [`LogOutage::None`].
    pub fn set_outage(&self, outage: LogOutage) {
        self.lock().outage = outage;
    }

    /// Drops the replies to the next `count` appends, after the appends take effect.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Drops the next `count` appends before they take effect; their outcome is unknown to the
    /// callers.
    pub fn lose_requests(&self, count: u32) {
        self.lock().lost_requests = count;
    }

    /// Holds back the next `count` appends: they get no reply and take effect only at
    /// [`Self::release_held`].
    pub fn hold_appends(&self, count: u32) {
        self.lock().held_appends = count;
    }

    /// Applies the held appends in their order and returns how many there were.
    pub fn release_held(&self) -> usize {
        let mut state = self.lock();
        let held = std::mem::take(&mut state.held);
        let count = held.len();
        for append in held {
            state.push(append.stream, append.data);
        }
        count
    }

    /// Returns all unexpired records of a stream, ignoring faults.
    pub fn records(&self, stream: LogStream) -> Vec<LogRecord> {
        let state = self.lock();
        state
            .streams
            .get(&stream)
            .map(|found| found.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogService for LogFake {
    fn append(&self, stream: LogStream, data: &[u8]) -> Result<LogOffset> {
        let mut state = self.lock();
        state.check_outage()?;
        if data.len() > MAX_RECORD_BYTES {
            return Err(LogError::Refused(format!("record exceeds {MAX_RECORD_BYTES} bytes")));
        }
        state.check_append_rate()?;
        state.record_append_time();
        if state.lost_requests > 0 {
            state.lost_requests -= 1;
            return Err(outcome_unknown("request lost"));
        }
        if state.held_appends > 0 {
            state.held_appends -= 1;
            state.held.push_back(HeldAppend { stream, data: data.to_vec() });
            return Err(outcome_unknown("append held"));
        }
        let offset = state.push(stream, data.to_vec());
        if state.lost_replies > 0 {
            state.lost_replies -= 1;
            return Err(outcome_unknown("reply lost"));
        }
        Ok(offset)
    }

    fn read(&self, stream: LogStream, from: LogOffset, max: usize) -> Result<LogSlice> {
        let mut state = self.lock();
        state.check_outage()?;
        let now_ms = state.now_ms;
        let found = state.stream(stream);
        if from < found.first {
            return Err(LogError::Expired(found.first));
        }
        let skipped = usize::try_from(from.0 - found.first.0).unwrap_or(usize::MAX);
        let records = found.records.iter().skip(skipped).take(max).cloned().collect();
        Ok(LogSlice { first: found.first, end: found.end(), now_ms, records })
    }
}

impl FakeState {
    fn stream(&mut self, stream: LogStream) -> &mut StreamState {
        let empty = || StreamState { first: LogOffset::default(), records: VecDeque::new() };
        self.streams.entry(stream).or_insert_with(empty)
    }

    fn push(&mut self, stream: LogStream, data: Vec<u8>) -> LogOffset {
        let appended_ms = self.now_ms;
        let found = self.stream(stream);
        let offset = found.end();
        found.records.push_back(LogRecord { offset, appended_ms, data });
        offset
    }

    fn check_outage(&self) -> Result<()> {
        match self.outage {
            LogOutage::None => Ok(()),
            LogOutage::Refusing => Err(LogError::Refused("log is down".to_owned())),
            LogOutage::Unreachable => Err(outcome_unknown("log does not answer")),
        }
    }

    fn check_append_rate(&mut self) -> Result<()> {
        while self.recent_appends_ms.front().is_some_and(|&at| at + RATE_WINDOW_MS <= self.now_ms) {
            self.recent_appends_ms.pop_front();
        }
        if self.recent_appends_ms.len() >= self.appends_per_s {
            let reason = format!("over {} appends in {RATE_WINDOW_MS} ms", self.appends_per_s);
            return Err(LogError::Refused(reason));
        }
        Ok(())
    }

    fn record_append_time(&mut self) {
        if self.appends_per_s != usize::MAX {
            self.recent_appends_ms.push_back(self.now_ms);
        }
    }

    fn expire(&mut self) {
        let (now_ms, retention_ms) = (self.now_ms, self.retention_ms);
        let is_expired =
            |record: &LogRecord| record.appended_ms.saturating_add(retention_ms) < now_ms;
        for found in self.streams.values_mut() {
            while found.records.front().is_some_and(is_expired) {
                found.records.pop_front();
                found.first = found.first.next();
            }
        }
    }
}

fn outcome_unknown(reason: &str) -> LogError {
    LogError::OutcomeUnknown(reason.to_owned())
}
