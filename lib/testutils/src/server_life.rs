//! Life of a stand-in's process: crashes, restarts, and waits that a crash cuts short.

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

/// Longest time between two looks at a condition that nothing announces, such as a closed
/// connection.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// One life of a process: from its start to its next crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeNumber(u64);

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The condition holds.
    Ready,
    /// The time has passed.
    Elapsed,
    /// The process crashed or stopped; whoever waited no longer exists.
    Crashed,
}

#[derive(Default)]
struct LifeState {
    number: u64,
    up: bool,
    stopped: bool,
}

/// Life of one stand-in's process.
pub struct ServerLife {
    relay: Arc<ConnectionRelay>,
    state: Mutex<LifeState>,
    changed: Condvar,
}

impl ServerLife {
    /// Builds the life of a process that is up behind `relay`.
    pub fn new(relay: Arc<ConnectionRelay>) -> Arc<Self> {
        let state = LifeState { up: true, ..LifeState::default() };
        Arc::new(Self { relay, state: Mutex::new(state), changed: Condvar::new() })
    }

    /// Returns the relay in front of the process.
    pub fn relay(&self) -> &Arc<ConnectionRelay> {
        &self.relay
    }

    /// Returns the current life.
    pub fn number(&self) -> LifeNumber {
        LifeNumber(self.lock().number)
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Ends the current life: every connection drops and the port closes.
    ///
    /// The process starts again after `restart_after`, or stays down if that is `None`.
    pub fn crash(self: &Arc<Self>, restart_after: Option<Duration>) {
        let Some(ended) = self.end_life() else { return };
        let Some(delay) = restart_after else { return };
        let life = self.clone();
        thread::spawn(move || {
            if life.wait(ended, Some(Instant::now() + delay), || false) != WaitEnd::Elapsed {
                return;
            }
            if let Err(error) = life.restart() {
                log::error!("event=standin_restart_failed error={error}");
            }
        });
    }

    /// Starts the process again after a crash; one that is up or stopped stays as it is.
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

    /// Ends the process for good.
    pub fn stop(&self) {
        {
            let mut state = self.lock();
            state.number += 1;
            state.up = false;
            state.stopped = true;
        }
        self.changed.notify_all();
        self.relay.shut_down();
    }

    /// Waits until `ready` holds, the deadline passes or the life ends.
    pub fn wait(
        &self,
        life: LifeNumber,
        deadline: Option<Instant>,
        mut ready: impl FnMut() -> bool,
    ) -> WaitEnd {
        let mut state = self.lock();
        loop {
            if state.number != life.0 {
                return WaitEnd::Crashed;
            }
            if ready() {
                return WaitEnd::Ready;
            }
            let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return WaitEnd::Elapsed;
            }
            let slice = left.unwrap_or(LOOK_INTERVAL).min(LOOK_INTERVAL);
            let waited = self.changed.wait_timeout(state, slice);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Makes every wait look at its condition again.
    pub fn wake(&self) {
        drop(self.lock());
        self.changed.notify_all();
    }

    /// Returns the life that follows the ended one, or `None` if the process was down.
    fn end_life(&self) -> Option<LifeNumber> {
        let number = {
            let mut state = self.lock();
            if !state.up {
                return None;
            }
            state.number += 1;
            state.up = false;
            state.number
        };
        self.changed.notify_all();
        self.relay.shut_down();
        Some(LifeNumber(number))
    }

    fn lock(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
