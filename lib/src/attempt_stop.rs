//! Stops an attempt from another thread than the one that reads its answer.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

type CloseAction = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct StopState {
    stopped_at: Option<Instant>,
    close: Option<CloseAction>,
}

/// Stops an attempt. Clones stop the same one.
#[derive(Clone, Default)]
pub struct AttemptStop(Arc<Mutex<StopState>>);

impl AttemptStop {
    /// Stops the attempt and closes its connection.
    pub fn stop(&self) {
        let close = {
            let mut state = self.lock();
            state.stopped_at.get_or_insert_with(Instant::now);
            state.close.take()
        };
        if let Some(close) = close {
            close();
        }
    }

    /// Returns when the attempt was stopped, if it was.
    pub fn stopped_at(&self) -> Option<Instant> {
        self.lock().stopped_at
    }

    /// Sets what closes the connection of the attempt. Runs it at once if the attempt is stopped.
    pub fn on_stop(&self, close: impl FnOnce() + Send + 'static) {
        {
            let mut state = self.lock();
            if state.stopped_at.is_none() {
                state.close = Some(Box::new(close));
                return;
            }
        }
        close();
    }

    fn lock(&self) -> MutexGuard<'_, StopState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for AttemptStop {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("AttemptStop").field(&self.stopped_at()).finish()
    }
}
