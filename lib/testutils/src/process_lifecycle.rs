//! Lifecycle of a stand-in's simulated process: crashes, restarts, and waits that a crash
//! interrupts.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::connection_relay::ConnectionRelay;

/// Polling interval for conditions that have no notification, such as a closed connection.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Incarnation of a process: one period from its start to its next crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIncarnation(u64);

/// Outcome of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The condition holds.
    Ready,
    /// The deadline passed.
    Elapsed,
    /// The process crashed or stopped, so the waiting code must no longer have any effect.
    Crashed,
}

#[derive(Default)]
struct LifecycleState {
    incarnation: u64,
    up: bool,
    stopped: bool,
}

/// Lifecycle of one stand-in's simulated process.
pub struct ProcessLifecycle {
    relay: Arc<ConnectionRelay>,
    state: Mutex<LifecycleState>,
    changed: Condvar,
}

impl ProcessLifecycle {
    /// Creates the lifecycle of a running process behind `relay`.
    pub fn new(relay: Arc<ConnectionRelay>) -> Arc<Self> {
        let state = LifecycleState { up: true, ..LifecycleState::default() };
        Arc::new(Self { relay, state: Mutex::new(state), changed: Condvar::new() })
    }

    /// Returns the relay in front of the process.
    pub fn relay(&self) -> &Arc<ConnectionRelay> {
        &self.relay
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> ProcessIncarnation {
        ProcessIncarnation(self.lock().incarnation)
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Ends the current incarnation: every connection drops and the port closes.
    ///
    /// The process starts again after `restart_after`, or stays down if that is `None`.
    pub fn crash(self: &Arc<Self>, restart_after: Option<Duration>) {
        let Some(ended) = self.end_incarnation() else { return };
        let Some(delay) = restart_after else { return };
        let lifecycle = self.clone();
        thread::spawn(move || {
            if lifecycle.wait(ended, Some(Instant::now() + delay), || false) != WaitOutcome::Elapsed
            {
                return;
            }
            if let Err(error) = lifecycle.restart() {
                log::error!("event=standin_restart_failed error={error}");
            }
        });
    }

    /// Starts the process again after a crash. Has no effect on one that is up or stopped.
    pub fn restart(self: &Arc<Self>) -> io::Result<()> {
        if self.lock().stopped {
            return Ok(());
        }
        self.relay.reopen()?;
        let stopped = {
            let mut state = self.lock();
            state.up = !state.stopped;
            state.stopped
        };
        if stopped {
            self.relay.shut_down();
        }
        Ok(())
    }

    /// Stops the process permanently.
    pub fn stop(&self) {
        {
            let mut state = self.lock();
            state.incarnation += 1;
            state.up = false;
            state.stopped = true;
        }
        self.changed.notify_all();
        self.relay.shut_down();
    }

    /// Waits until `ready` returns true, the deadline passes or the incarnation ends.
    pub fn wait(
        &self,
        incarnation: ProcessIncarnation,
        deadline: Option<Instant>,
        mut ready: impl FnMut() -> bool,
    ) -> WaitOutcome {
        let mut state = self.lock();
        loop {
            if state.incarnation != incarnation.0 {
                return WaitOutcome::Crashed;
            }
            if ready() {
                return WaitOutcome::Ready;
            }
            let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return WaitOutcome::Elapsed;
            }
            let slice = left.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL);
            let waited = self.changed.wait_timeout(state, slice);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Makes every wait check its condition again.
    pub fn wake(&self) {
        drop(self.lock());
        self.changed.notify_all();
    }

    /// Returns the incarnation that follows the ended one, or `None` if the process was down.
    fn end_incarnation(&self) -> Option<ProcessIncarnation> {
        let incarnation = {
            let mut state = self.lock();
            if !state.up {
                return None;
            }
            state.incarnation += 1;
            state.up = false;
            state.incarnation
        };
        self.changed.notify_all();
        self.relay.shut_down();
        Some(ProcessIncarnation(incarnation))
    }

    fn lock(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
