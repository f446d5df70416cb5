//! Tells a session when its caller's connection ends before the reply began.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::ids::RequestId;
use crate::session_event::SessionEvent;
use crate::session_registry::SessionRegistry;

/// Whether a caller's connection has ended, for threads that wait on its behalf.
#[derive(Clone, Debug, Default)]
pub struct CallerStatus(Arc<AtomicBool>);

impl CallerStatus {
    /// Returns whether the connection has ended.
    pub fn is_disconnected(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Reports the caller as gone when it is dropped before [`Self::disarm`].
///
/// The HTTP library drops the future of a reply when the caller's connection ends.
pub struct DisconnectGuard {
    registry: Arc<SessionRegistry>,
    request: RequestId,
    status: CallerStatus,
    armed: bool,
}

impl DisconnectGuard {
    /// Guards a request.
    pub fn new(registry: Arc<SessionRegistry>, request: RequestId, status: CallerStatus) -> Self {
        Self { registry, request, status, armed: true }
    }

    /// Ends the guard: from now on the reply's stream tells whether the caller is there.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.status.0.store(true, Ordering::Relaxed);
            // A session that has just ended needs no news.
            self.registry.send(self.request, SessionEvent::CallerDisconnected);
        }
    }
}
