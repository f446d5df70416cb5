//! Notifies a session when its caller disconnects before the reply begins.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::ids::RequestId;
use crate::session_event::SessionEvent;
use crate::session_registry::SessionRegistry;

/// Whether a caller has disconnected, shared with threads that wait on its behalf.
#[derive(Clone, Debug, Default)]
pub struct CallerStatus(Arc<AtomicBool>);

impl CallerStatus {
    /// Returns whether the caller has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Reports the caller as disconnected if dropped before [`Self::disarm`].
///
/// The HTTP library drops the future of a reply when the caller's connection closes.
pub struct DisconnectGuard {
    registry: Arc<SessionRegistry>,
    request: RequestId,
    status: CallerStatus,
    armed: bool,
}

impl DisconnectGuard {
    /// Creates an armed guard for a request.
    pub fn new(registry: Arc<SessionRegistry>, request: RequestId, status: CallerStatus) -> Self {
        Self { registry, request, status, armed: true }
    }

    /// Disarms the guard: from now on the reply's stream detects whether the caller disconnects.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.status.0.store(true, Ordering::Relaxed);
            // A session that has already ended does not need the event.
            self.registry.send(self.request, SessionEvent::CallerDisconnected);
        }
    }
}
