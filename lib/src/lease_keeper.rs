//! Joins the lease decisions with the platform's log: one thread that reads the stream, renews and
//! acquires.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::ids::FencingNumber;
use crate::ids::LogOffset;
use crate::lease::LeaseAction;
use crate::lease::LeaseEvent;
use crate::lease::LeaseHolder;
use crate::lease::LeaseSettings;
use crate::lease_codec::LeaseDuty;
use crate::lease_codec::LeaseRecord;
use crate::lease_codec::decode_record;
use crate::log_service;
use crate::log_service::LogError;
use crate::log_service::LogService;
use crate::log_service::LogSlice;
use crate::log_service::LogStream;
use crate::result_code::ResultCode;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Records of one read at most.
const READ_BATCH: usize = 256;

/// Figures for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseStats {
    /// Records appended.
    pub appends: u64,
    /// Appends that failed.
    pub failed_appends: u64,
    /// Reads that failed.
    pub failed_reads: u64,
    /// Records that could not be decoded.
    pub bad_records: u64,
}

/// The leases of one entry host, one for each duty.
pub struct LeaseKeeper {
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    log: Arc<dyn LogService>,
    clock: ProcessClock,
    read_interval: Duration,
    core: Mutex<Core>,
    changed: Condvar,
}

struct Core {
    holders: BTreeMap<LeaseDuty, LeaseHolder>,
    /// Records to append, by duty.
    outbox: VecDeque<(LeaseDuty, Vec<u8>)>,
    position: LogOffset,
    stopping: bool,
    stats: LeaseStats,
}

impl LeaseKeeper {
    /// Starts the thread; no duty is wanted at first.
    pub fn start(
        settings: Vec<LeaseSettings>,
        read_interval: Duration,
        log: Arc<dyn LogService>,
        clock: ProcessClock,
    ) -> Arc<Self> {
        let holders =
            settings.into_iter().map(|lease| (lease.duty, LeaseHolder::new(lease))).collect();
        let core = Core {
            holders,
            outbox: VecDeque::new(),
            position: LogOffset::default(),
            stopping: false,
            stats: LeaseStats::default(),
        };
        let shared = Arc::new(Shared {
            log,
            clock,
            read_interval,
            core: Mutex::new(core),
            changed: Condvar::new(),
        });
        let runner = Arc::clone(&shared);
        let thread = thread::spawn(move || runner.run());
        Arc::new(Self { shared, thread: Mutex::new(Some(thread)) })
    }

    /// Returns the fencing number if an order of the duty may be sent right now.
    ///
    /// Call it right before each order; the order must end within the lease's order timeout.
    pub fn may_act(&self, duty: LeaseDuty) -> Option<FencingNumber> {
        let core = self.shared.lock();
        core.holders.get(&duty)?.may_act(self.shared.clock.now())
    }

    /// Sets whether this host should hold the duty; a lease that is no longer wanted is released.
    pub fn want(&self, duty: LeaseDuty, wanted: bool) {
        let now = self.shared.clock.now();
        self.shared.lock().on_event(now, duty, LeaseEvent::Want(wanted));
        self.shared.changed.notify_all();
    }

    /// Returns figures for metrics.
    pub fn stats(&self) -> LeaseStats {
        self.shared.lock().stats
    }

    /// Stops the thread; leases that are held run out, or are released before by [`Self::want`].
    pub fn stop(&self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log::error!("code={} lease thread panicked", ResultCode::Internal);
        }
    }
}

impl Shared {
    /// Locks the core; a panic elsewhere leaves it usable, since every event is applied whole.
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        loop {
            let position = self.lock().position;
            let result = self.log.read(LogStream::Leases, position, READ_BATCH);
            let at_end = self.lock().on_read_result(self.clock.now(), result);
            self.append_all();
            let core = self.lock();
            if core.stopping {
                return;
            }
            if !at_end {
                continue;
            }
            let slept = self.changed.wait_timeout(core, self.read_interval);
            if slept.unwrap_or_else(PoisonError::into_inner).0.stopping {
                return;
            }
        }
    }

    /// Appends what waits, one record at a time.
    fn append_all(&self) {
        loop {
            let Some((duty, data)) = self.lock().outbox.pop_front() else { return };
            let result = self.log.append(LogStream::Leases, &data).map(|_| ());
            self.lock().on_append_result(self.clock.now(), duty, result);
        }
    }
}

impl Core {
    fn on_event(&mut self, now: Timestamp, duty: LeaseDuty, event: LeaseEvent) {
        let Some(holder) = self.holders.get_mut(&duty) else { return };
        for LeaseAction::Append(data) in holder.on_event(now, event) {
            self.outbox.push_back((duty, data));
        }
    }

    /// Folds what was read; returns whether nothing more can be read at once.
    fn on_read_result(&mut self, now: Timestamp, result: log_service::Result<LogSlice>) -> bool {
        let event = match result {
            Ok(slice) if slice.end < self.position || slice.first > self.position => {
                self.gap(slice.first)
            }
            Ok(slice) => self.fold_slice(&slice),
            Err(LogError::Expired(first)) => self.gap(first),
            Err(error) => {
                self.stats.failed_reads += 1;
                log::warn!("code={} leases read failed: {error}", ResultCode::LogUnavailable);
                LeaseEvent::Tick
            }
        };
        for duty in LeaseDuty::ALL {
            self.on_event(now, duty, event.clone());
        }
        !matches!(event, LeaseEvent::Read { at_end: false, .. } | LeaseEvent::Gap(_))
    }

    fn gap(&mut self, first: LogOffset) -> LeaseEvent {
        log::warn!("offset={} leases records before it are gone", first.0);
        self.position = first;
        LeaseEvent::Gap(first)
    }

    fn fold_slice(&mut self, slice: &LogSlice) -> LeaseEvent {
        let mut records: Vec<(LogOffset, LeaseRecord)> = Vec::new();
        for record in &slice.records {
            match decode_record(&record.data) {
                Ok(decoded) => records.push((record.offset, decoded)),
                Err(error) => {
                    self.stats.bad_records += 1;
                    let (offset, code) = (record.offset.0, error.code());
                    log::warn!("offset={offset} code={code} leases record passed over: {error}");
                }
            }
            self.position = record.offset.next();
        }
        let at_end = self.position >= slice.end;
        LeaseEvent::Read { records, position: self.position, at_end }
    }

    fn on_append_result(
        &mut self,
        now: Timestamp,
        duty: LeaseDuty,
        result: log_service::Result<()>,
    ) {
        let event = match result {
            Ok(()) => {
                self.stats.appends += 1;
                LeaseEvent::Appended
            }
            Err(error) => {
                self.stats.failed_appends += 1;
                log::warn!("code={} leases append failed: {error}", ResultCode::LogUnavailable);
                LeaseEvent::AppendFailed
            }
        };
        self.on_event(now, duty, event);
    }
}
