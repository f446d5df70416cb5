//! Runs the claim reader and writer against the platform's log.
//!
//! One thread reads and one appends; calls block the request's thread until its claim is decided.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

pub use crate::claim_outcome::ClaimOutcome;
pub use crate::claim_outcome::ClaimRequest;
pub use crate::claim_outcome::ClaimToken;
use crate::claim_queue::AppendFailure;
use crate::claim_reader::ClaimReader;
use crate::claim_record::Claimant;
use crate::claim_record::StoredAnswer;
use crate::claim_writer::ClaimTicket;
use crate::claim_writer::ClaimWriter;
use crate::claim_writer::WriterAction;
use crate::claim_writer::WriterEvent;
pub use crate::claim_writer::WriterSettings;
use crate::ids::LogOffset;
use crate::log_service;
use crate::log_service::LogError;
use crate::log_service::LogService;
use crate::log_service::LogSlice;
use crate::log_service::LogStream;
use crate::result_code::ResultCode;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Maximum number of records in one read.
const READ_BATCH: usize = 256;

/// Read interval while requests are waiting.
const BUSY_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that the append thread sleeps without an event.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Settings of a [`ClaimKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Limits and identity of the writer.
    pub writer: WriterSettings,
    /// Read interval while no request is waiting.
    pub read_interval: Duration,
}

impl KeeperSettings {
    /// Returns the default settings.
    pub fn new(claimant: Claimant) -> Self {
        let writer = WriterSettings {
            claimant,
            key_retention: Duration::from_secs(600),
            max_keys: 200_000,
            max_answer_bytes: 32 * 1024 * 1024,
            max_pending: 1_000,
            append_interval: Duration::from_millis(25),
        };
        Self { writer, read_interval: Duration::from_millis(200) }
    }
}

/// Counters and gauges for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperStats {
    /// Unexpired keys.
    pub keys: usize,
    /// Size of the stored answers in bytes.
    pub answer_bytes: usize,
    /// Waiting requests.
    pub pending: usize,
    /// Records appended.
    pub appends: u64,
    /// Appends that the log refused; their records were not stored.
    pub refused_appends: u64,
    /// Failed appends whose record may have been stored.
    pub unconfirmed_appends: u64,
    /// Reads that failed.
    pub failed_reads: u64,
    /// Records that could not be decoded.
    pub bad_records: u64,
    /// Checkpoints whose digest did not match their keys.
    pub digest_mismatches: u64,
    /// Times that records expired before they were read.
    pub gaps: u64,
}

/// The claims of one entry host.
pub struct ClaimKeeper {
    shared: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

struct Shared {
    log: Arc<dyn LogService>,
    clock: ProcessClock,
    read_interval: Duration,
    core: Mutex<Core>,
    /// Notified after every change of `core`.
    changed: Condvar,
}

struct Core {
    reader: ClaimReader,
    writer: ClaimWriter,
    outbox: Option<Vec<u8>>,
    outcomes: BTreeMap<ClaimTicket, ClaimOutcome>,
    last_ticket: u64,
    read_now: bool,
    stopping: bool,
    stats: KeeperStats,
}

impl ClaimKeeper {
    /// Starts the read and append threads.
    pub fn start(
        settings: KeeperSettings,
        log: Arc<dyn LogService>,
        clock: ProcessClock,
    ) -> Arc<Self> {
        let core = Core {
            reader: ClaimReader::new(settings.writer.claimant.clone()),
            writer: ClaimWriter::new(settings.writer),
            outbox: None,
            outcomes: BTreeMap::new(),
            last_ticket: 0,
            read_now: true,
            stopping: false,
            stats: KeeperStats::default(),
        };
        let shared = Arc::new(Shared {
            log,
            clock,
            read_interval: settings.read_interval,
            core: Mutex::new(core),
            changed: Condvar::new(),
        });
        let reader = Arc::clone(&shared);
        let appender = Arc::clone(&shared);
        let threads = vec![
            thread::spawn(move || reader.run_reader()),
            thread::spawn(move || appender.run_appender()),
        ];
        Arc::new(Self { shared, threads: Mutex::new(threads) })
    }

    /// Claims a key and blocks until the claim is decided or `deadline` is reached.
    ///
    /// If another request holds the key and has no answer yet, returns
    /// [`ClaimOutcome::RunningElsewhere`] at once; use [`Self::wait_for_answer`] to wait for the
    /// answer.
    pub fn claim(&self, request: ClaimRequest, deadline: Timestamp) -> ClaimOutcome {
        self.shared.submit_and_wait(|ticket| WriterEvent::Submit(ticket, request, deadline))
    }

    /// Blocks until the key has an answer, its claim is voided or `deadline` is reached.
    ///
    /// Never returns [`ClaimOutcome::Won`] or [`ClaimOutcome::RunningElsewhere`].
    pub fn wait_for_answer(&self, request: ClaimRequest, deadline: Timestamp) -> ClaimOutcome {
        self.shared.submit_and_wait(|ticket| WriterEvent::Wait(ticket, request, deadline))
    }

    /// Records the answer of a claimed request; does not wait for the log.
    pub fn complete(&self, token: ClaimToken, answer: StoredAnswer) {
        self.shared.on_event(WriterEvent::Complete(token, answer));
    }

    /// Releases a claim whose request no server ran or will run: it was not dispatched, or every
    /// attempt was refused before it started. A resend can then run. Does not wait for the log.
    pub fn release(&self, token: ClaimToken) {
        self.shared.on_event(WriterEvent::Release(token));
    }

    /// Appends a checkpoint of every key unless this host's state has gaps; does not wait for the
    /// log.
    pub fn write_checkpoint(&self) {
        self.shared.on_event(WriterEvent::WriteCheckpoint);
    }

    /// Sets the time within which a resend is recognised.
    pub fn set_key_retention(&self, key_retention: Duration) {
        self.shared.lock().writer.set_key_retention(key_retention);
    }

    /// Returns whether every record up to the last known end of the stream is folded, without a
    /// gap.
    pub fn is_caught_up(&self) -> bool {
        self.shared.lock().reader.is_caught_up()
    }

    /// Returns whether both threads are running; the supervisor ends the process if they are not.
    pub fn is_running(&self) -> bool {
        let threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        !threads.is_empty() && threads.iter().all(|thread| !thread.is_finished())
    }

    /// Returns the current counters and gauges.
    pub fn stats(&self) -> KeeperStats {
        let core = self.shared.lock();
        let usage = core.reader.usage();
        KeeperStats {
            keys: usage.keys,
            answer_bytes: usage.answer_bytes,
            pending: core.writer.pending(),
            bad_records: core.reader.bad_records().total(),
            digest_mismatches: core.reader.digest_mismatches(),
            gaps: core.reader.gaps(),
            ..core.stats
        }
    }

    /// Flushes queued records, unless appends fail, and stops the threads.
    ///
    /// Requests that are still waiting get UNKNOWN.
    pub fn stop(&self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        for thread in threads {
            if thread.join().is_err() {
                log::error!("code={} claim thread panicked", ResultCode::Internal);
            }
        }
    }
}

impl fmt::Debug for ClaimKeeper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimKeeper").field("stats", &self.stats()).finish_non_exhaustive()
    }
}

impl Core {
    fn on_event(&mut self, now: Timestamp, event: WriterEvent) {
        for action in self.writer.on_event(now, event, &self.reader) {
            match action {
                WriterAction::Append(data) => self.outbox = Some(data),
                WriterAction::Decide(ticket, outcome) => {
                    self.outcomes.insert(ticket, outcome);
                }
            }
        }
    }
}

impl Shared {
    /// Locks the core.
    ///
    /// A poisoned lock is ignored: every event is applied completely, so a panic in another thread
    /// leaves the core usable.
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, core: MutexGuard<'a, Core>, timeout: Duration) -> MutexGuard<'a, Core> {
        self.changed.wait_timeout(core, timeout).unwrap_or_else(PoisonError::into_inner).0
    }

    fn on_event(&self, event: WriterEvent) {
        self.lock().on_event(self.clock.now(), event);
        self.changed.notify_all();
    }

    /// Submits a request's event and blocks until its outcome.
    fn submit_and_wait(&self, event: impl FnOnce(ClaimTicket) -> WriterEvent) -> ClaimOutcome {
        let mut core = self.lock();
        core.last_ticket += 1;
        let ticket = ClaimTicket(core.last_ticket);
        core.on_event(self.clock.now(), event(ticket));
        self.changed.notify_all();
        loop {
            if let Some(outcome) = core.outcomes.remove(&ticket) {
                return outcome;
            }
            if core.stopping {
                core.writer.abandon(ticket);
                return ClaimOutcome::Unknown(ResultCode::ClaimUnresolved);
            }
            let now = self.clock.now();
            let wake = core.writer.wake_of(ticket).unwrap_or(now);
            if wake > now {
                core = self.wait(core, wake.since(now));
                continue;
            }
            // The append thread may be blocked on the log, so this thread handles its own deadline.
            core.on_event(now, WriterEvent::Tick);
            if core.outbox.is_some() {
                self.changed.notify_all();
            }
        }
    }

    fn run_appender(&self) {
        let mut core = self.lock();
        loop {
            let now = self.clock.now();
            core.on_event(now, WriterEvent::Tick);
            if let Some(data) = core.outbox.take() {
                drop(core);
                let result = self.log.append(LogStream::Claims, &data);
                core = self.lock();
                core.on_append_result(self.clock.now(), result);
                self.changed.notify_all();
                continue;
            }
            if core.stopping && (core.writer.is_flushed() || core.writer.is_failing()) {
                return;
            }
            let wake = core.writer.next_wake(&core.reader);
            let sleep = wake.map_or(MAX_SLEEP, |wake| wake.since(now));
            core = self.wait(core, sleep.min(MAX_SLEEP));
        }
    }

    fn run_reader(&self) {
        loop {
            let position = {
                let mut core = self.lock();
                if core.stopping {
                    return;
                }
                core.read_now = false;
                core.reader.position()
            };
            let result = self.log.read(LogStream::Claims, position, READ_BATCH);
            let mut core = self.lock();
            let more = core.on_read_result(self.clock.now(), result);
            self.changed.notify_all();
            if !more {
                self.sleep_reader(core);
            }
        }
    }

    /// Waits until the next read is due.
    fn sleep_reader(&self, mut core: MutexGuard<Core>) {
        let start = self.clock.now();
        loop {
            let interval = match core.writer.pending() {
                0 => self.read_interval,
                _ => BUSY_READ_INTERVAL.min(self.read_interval),
            };
            let now = self.clock.now();
            let due = start + interval;
            if core.stopping || core.read_now || now >= due {
                return;
            }
            core = self.wait(core, due.since(now));
        }
    }
}

impl Core {
    fn on_append_result(&mut self, now: Timestamp, result: log_service::Result<LogOffset>) {
        let event = match result {
            Ok(_) => {
                self.stats.appends += 1;
                self.read_now = true;
                WriterEvent::Appended
            }
            Err(LogError::Refused(reason)) => {
                self.stats.refused_appends += 1;
                log::warn!("code={} claims append refused: {reason}", ResultCode::LogUnavailable);
                WriterEvent::AppendFailed(AppendFailure::NotAppended)
            }
            Err(error) => {
                self.stats.unconfirmed_appends += 1;
                log::warn!(
                    "code={} claims append outcome unknown: {error}",
                    ResultCode::LogUnavailable
                );
                WriterEvent::AppendFailed(AppendFailure::OutcomeUnknown)
            }
        };
        self.on_event(now, event);
    }

    /// Folds the records of a read; returns whether more records are available.
    fn on_read_result(&mut self, now: Timestamp, result: log_service::Result<LogSlice>) -> bool {
        let change = match result {
            Ok(slice) => self.reader.on_slice(&slice),
            Err(LogError::Expired(first)) => {
                log::warn!("offset={} claims records before this offset have expired", first.0);
                self.reader.on_expired(first)
            }
            Err(error) => {
                self.stats.failed_reads += 1;
                log::warn!("code={} claims read failed: {error}", ResultCode::LogUnavailable);
                self.reader.on_read_failed();
                return false;
            }
        };
        self.on_event(now, WriterEvent::Folded(change));
        !self.reader.is_read_to_end()
    }
}
