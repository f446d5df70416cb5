//! Follows the log stream "config" in a thread, and publishes changes to it.
//!
//! Reads of the configuration in force never block on the log. A change is reported as accepted
//! only after its own record was read back from the log.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::checkpoint_duty::CheckpointDuty;
use crate::config_checkpoint::EncodedCheckpoint;
use crate::config_fold::ConfigDigest;
use crate::config_fold::ConfigFold;
use crate::config_fold::KnownChange;
use crate::config_publish::PublishAttempt;
use crate::config_publish::PublishOutcome;
use crate::config_record::ChangeId;
use crate::config_record::ConfigChange;
use crate::config_record::ConfigRecord;
use crate::config_replica::ConfigReplica;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::FollowerOptions;
use crate::config_snapshot::FollowerStatus;
use crate::ids::LogOffset;
use crate::log_service;
use crate::log_service::LogError;
use crate::log_service::LogService;
use crate::log_service::LogSlice;
use crate::log_service::LogStream;
use crate::record_error;
use crate::record_error::RecordError;

/// Maximum number of records per read.
const READ_BATCH: usize = 256;

pub(crate) struct FollowerState {
    pub(crate) replica: ConfigReplica,
    duty: CheckpointDuty,
    /// Number of log reads requested so far.
    reads_requested: u64,
    /// Number of those that were requested before the last completed read began.
    reads_completed: u64,
    log_readable: bool,
    checkpoints_written: u64,
    pub(crate) is_stopping: bool,
}

pub(crate) struct FollowerShared {
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) options: FollowerOptions,
    state: Mutex<FollowerState>,
    changed: Condvar,
    snapshot: RwLock<Arc<ConfigSnapshot>>,
}

/// Follows the configuration on the log and publishes changes to it.
pub struct ConfigFollower {
    shared: Arc<FollowerShared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl ConfigFollower {
    /// Starts the follower thread.
    pub fn start(log: Arc<dyn LogService>, options: FollowerOptions) -> io::Result<Self> {
        let replica = ConfigReplica::default();
        let snapshot = RwLock::new(Arc::new(ConfigSnapshot::of(&replica)));
        let state = Mutex::new(FollowerState {
            replica,
            duty: CheckpointDuty::new(options.schedule),
            reads_requested: 0,
            reads_completed: 0,
            log_readable: false,
            checkpoints_written: 0,
            is_stopping: false,
        });
        let shared =
            Arc::new(FollowerShared { log, options, state, changed: Condvar::new(), snapshot });
        let worker = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("config-follower".to_owned())
            .spawn(move || worker.run())?;
        Ok(Self { shared, thread: Mutex::new(Some(thread)) })
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.shared.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Publishes a change whose id has never been used, and waits for its outcome.
    pub fn publish(&self, change: &ConfigChange) -> PublishOutcome {
        self.shared.publish(change, PublishAttempt::First)
    }

    /// Returns the outcome of a change that may have been published before, here or at another
    /// host; publishes it if no record of it is found.
    pub fn retry_publish(&self, change: &ConfigChange) -> PublishOutcome {
        self.shared.publish(change, PublishAttempt::Retry)
    }

    /// Returns a change by its id, if its record was read.
    pub fn known_change(&self, id: ChangeId) -> Option<KnownChange> {
        self.shared.lock().replica.fold().known_change(id).cloned()
    }

    /// Returns the newest changes first, `limit` at most.
    pub fn history(&self, limit: usize) -> Vec<KnownChange> {
        self.shared.lock().replica.fold().history().take(limit).cloned().collect()
    }

    /// Waits until the record at the offset is folded; returns whether it is.
    pub fn wait_for(&self, offset: LogOffset, timeout: Duration) -> bool {
        self.hint(offset);
        let folded = |state: &FollowerState| state.replica.fold().next_offset() > offset;
        folded(&self.shared.wait_until(timeout, folded))
    }

    /// Waits until the revision differs from the given one or the timeout expires, and returns the
    /// configuration in force.
    pub fn wait_for_change(
        &self,
        revision: Option<LogOffset>,
        timeout: Duration,
    ) -> Arc<ConfigSnapshot> {
        drop(self.shared.wait_until(timeout, |state| {
            state.replica.fold().revision() != revision || state.is_stopping
        }));
        self.current()
    }

    /// Waits for a read of the log that began after this call; returns whether it succeeded.
    pub fn wait_for_read(&self, timeout: Duration) -> bool {
        let requested = self.shared.request_read();
        let state = self.shared.wait_until(timeout, |state| state.reads_completed >= requested);
        state.reads_completed >= requested && state.log_readable
    }

    /// Handles a hint that the record at the offset exists, for example from a peer's heartbeat:
    /// requests a read if the record is not folded yet.
    pub fn hint(&self, offset: LogOffset) {
        if offset >= self.current().next_offset {
            self.shared.request_read();
        }
    }

    /// Returns a checkpoint of the configuration in force, for a peer that cannot read the log.
    pub fn checkpoint(&self) -> EncodedCheckpoint {
        self.shared.lock().replica.fold().to_checkpoint()
    }

    /// Installs a peer's checkpoint if it covers more than this host has read; returns whether it
    /// did. `confirmed` is the digest of a second peer at the same revision, if there is one.
    pub fn install_checkpoint(
        &self,
        checkpoint: &EncodedCheckpoint,
        confirmed: Option<ConfigDigest>,
    ) -> record_error::Result<bool> {
        let fold = ConfigFold::from_checkpoint(checkpoint)?;
        if confirmed.is_some_and(|digest| digest != fold.digest()) {
            return Err(RecordError::DigestMismatch);
        }
        let mut state = self.shared.lock();
        let installed = state.replica.install(fold);
        if installed {
            self.shared.update_snapshot(&state.replica);
        }
        drop(state);
        self.shared.changed.notify_all();
        Ok(installed)
    }

    /// Sets whether this host holds the checkpoint duty.
    pub fn set_checkpoint_holder(&self, is_holder: bool) {
        self.shared.lock().duty.set_holder(is_holder);
    }

    /// Returns the status of the follower.
    pub fn status(&self) -> FollowerStatus {
        let state = self.shared.lock();
        FollowerStatus {
            replica_state: state.replica.state(),
            log_readable: state.log_readable,
            skipped: state.replica.skipped().clone(),
            checkpoints_written: state.checkpoints_written,
        }
    }

    /// Stops the thread and joins it; the last configuration stays readable.
    pub fn stop(&self) {
        self.shared.lock().is_stopping = true;
        self.shared.changed.notify_all();
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log::error!("config follower panicked");
        }
    }

    /// Returns whether the thread is running.
    pub fn is_running(&self) -> bool {
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        thread.as_ref().is_some_and(|thread| !thread.is_finished())
    }
}

impl Drop for ConfigFollower {
    fn drop(&mut self) {
        self.stop();
    }
}

impl FollowerState {
    /// Handles a read at the cursor; returns whether to read again immediately.
    fn handle_read(&mut self, cursor: LogOffset, read: log_service::Result<LogSlice>) -> bool {
        if self.replica.cursor() != cursor {
            // A peer's checkpoint was installed during the read.
            return true;
        }
        match read {
            Ok(slice) => {
                self.log_readable = true;
                self.replica.on_slice(&slice)
            }
            Err(LogError::Expired(first)) if first > cursor => {
                self.log_readable = true;
                self.replica.on_expired(first);
                true
            }
            Err(error) => {
                log::warn!("config log read failed reason=\"{error}\"");
                self.log_readable = false;
                false
            }
        }
    }
}

impl FollowerShared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, FollowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wait_until(
        &self,
        timeout: Duration,
        is_done: impl Fn(&FollowerState) -> bool,
    ) -> MutexGuard<'_, FollowerState> {
        let waiting = |state: &mut FollowerState| !is_done(state);
        self.changed
            .wait_timeout_while(self.lock(), timeout, waiting)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }

    /// Requests a read of the log that begins after this call; returns the number of the request.
    pub(crate) fn request_read(&self) -> u64 {
        let mut state = self.lock();
        state.reads_requested += 1;
        let requested = state.reads_requested;
        drop(state);
        self.changed.notify_all();
        requested
    }

    fn run(&self) {
        while self.read_to_end() {
            self.write_checkpoint_if_due();
            let interval = self.options.poll_interval;
            let state = self.wait_until(interval, |state| {
                state.is_stopping || state.reads_requested > state.reads_completed
            });
            if state.is_stopping {
                return;
            }
        }
    }

    /// Reads to the end of the log; returns false if the thread must stop.
    fn read_to_end(&self) -> bool {
        let requested = self.lock().reads_requested;
        loop {
            let cursor = {
                let state = self.lock();
                if state.is_stopping {
                    return false;
                }
                state.replica.cursor()
            };
            let read = self.log.read(LogStream::Config, cursor, READ_BATCH);
            let mut state = self.lock();
            let more = state.handle_read(cursor, read);
            self.update_snapshot(&state.replica);
            if !more {
                state.reads_completed = requested;
            }
            drop(state);
            self.changed.notify_all();
            if !more {
                return true;
            }
        }
    }

    /// Replaces the snapshot if the fold advanced or the replica state changed.
    fn update_snapshot(&self, replica: &ConfigReplica) {
        let mut snapshot = self.snapshot.write().unwrap_or_else(PoisonError::into_inner);
        let is_same = snapshot.next_offset == replica.fold().next_offset()
            && snapshot.replica_state == replica.state();
        if !is_same {
            *snapshot = Arc::new(ConfigSnapshot::of(replica));
        }
    }

    fn write_checkpoint_if_due(&self) {
        let checkpoint = {
            let mut state = self.lock();
            let FollowerState { replica, duty, .. } = &mut *state;
            if !duty.is_due(replica) {
                return;
            }
            replica.fold().to_checkpoint()
        };
        if self.append_checkpoint(&checkpoint) {
            self.lock().checkpoints_written += 1;
        }
    }

    /// Appends all parts; readers ignore a checkpoint that stays incomplete.
    fn append_checkpoint(&self, checkpoint: &EncodedCheckpoint) -> bool {
        for part in checkpoint.split() {
            let appended = ConfigRecord::CheckpointPart(part)
                .encode()
                .map_err(|error| error.to_string())
                .and_then(|data| {
                    self.log.append(LogStream::Config, &data).map_err(|error| error.to_string())
                });
            if let Err(error) = appended {
                log::warn!("config checkpoint not written reason=\"{error}\"");
                return false;
            }
        }
        true
    }
}
