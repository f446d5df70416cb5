//! Tells a session when its caller's connection ends before the reply began.

use std::sync::Arc;

use crate::ids::RequestId;
use crate::session_event::SessionEvent;
use crate::session_registry::SessionRegistry;

/// Reports the caller as gone when it is dropped before [`Self::disarm`].
///
/// The HTTP library drops the future of a reply when the caller's connection ends.
pub struct CallerGuard {
    registry: Arc<SessionRegistry>,
    request: RequestId,
    armed: bool,
}

impl CallerGuard {
    /// Guards a request.
    pub fn new(registry: Arc<SessionRegistry>, request: RequestId) -> Self {
        Self { registry, request, armed: true }
    }

    /// Ends the guard: from now on the reply's stream tells whether the caller is there.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            // A session that has just ended needs no news.
            self.registry.send(self.request, SessionEvent::CallerGone);
        }
    }
}
