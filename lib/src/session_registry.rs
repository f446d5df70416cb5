//! Registry of running sessions, by request and by server, through which other threads reach them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc::Sender;

use crate::handover::UnfinishedRequest;
use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::ids::ServerKey;
use crate::prompt::BlockHash;
use crate::session_event::EvacuationOrder;
use crate::session_event::SessionEvent;

/// A message to the thread that drives a session.
#[derive(Debug)]
pub enum DriverMessage {
    /// An event for the session.
    Event(SessionEvent),
    /// A query for the state of the session.
    Describe(Sender<SessionView>),
    /// The host is draining: pause, and describe the request for a peer. A call in flight
    /// continues.
    HandOver(Sender<UnfinishedRequest>),
    /// The handover was refused: continue.
    Resume,
}

/// State of a running session as other threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionView {
    /// Id of the request.
    pub id: RequestId,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt and the output so far.
    pub context_tokens: u32,
    /// Maximum number of tokens still to come.
    pub remaining_tokens: u32,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Number of the last attempt.
    pub last_attempt: AttemptNumber,
}

#[derive(Debug)]
struct RegistryEntry {
    sender: Sender<DriverMessage>,
    server: Option<ServerKey>,
}

/// Sessions running on one host.
#[derive(Debug, Default)]
pub struct SessionRegistry {
    entries: Mutex<BTreeMap<RequestId, RegistryEntry>>,
}

impl SessionRegistry {
    /// Builds an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a session.
    pub fn insert(&self, id: RequestId, sender: Sender<DriverMessage>) {
        self.lock().insert(id, RegistryEntry { sender, server: None });
    }

    /// Sets the server of a session's current attempt.
    pub fn set_server(&self, id: RequestId, server: Option<ServerKey>) {
        if let Some(entry) = self.lock().get_mut(&id) {
            entry.server = server;
        }
    }

    /// Removes a session.
    pub fn remove(&self, id: RequestId) {
        self.lock().remove(&id);
    }

    /// Returns the ids of all running sessions, in order.
    pub fn running(&self) -> Vec<RequestId> {
        self.lock().keys().copied().collect()
    }

    /// Returns the number of sessions that currently have no attempt on a server.
    pub fn waiting(&self) -> usize {
        self.lock().values().filter(|entry| entry.server.is_none()).count()
    }

    /// Returns the sessions whose current attempt runs on the server, in order.
    pub fn on_server(&self, server: ServerKey) -> Vec<RequestId> {
        let entries = self.lock();
        entries.iter().filter(|(_, e)| e.server == Some(server)).map(|(&id, _)| id).collect()
    }

    /// Sends an event to one session; returns whether the session runs on this host.
    pub fn send(&self, id: RequestId, event: SessionEvent) -> bool {
        self.send_message(id, DriverMessage::Event(event))
    }

    /// Sends a message to one session; returns whether the session runs on this host.
    pub fn send_message(&self, id: RequestId, message: DriverMessage) -> bool {
        match self.lock().get(&id) {
            Some(entry) => entry.sender.send(message).is_ok(),
            None => false,
        }
    }

    /// Notifies every session that a server will be reclaimed; `order_of` returns the order for
    /// each session on it.
    ///
    /// Sessions on other servers exclude it from now on.
    pub fn announce_reclaim(
        &self,
        server: ServerKey,
        mut order_of: impl FnMut(RequestId) -> EvacuationOrder,
    ) {
        for (&id, entry) in self.lock().iter() {
            let order = match entry.server {
                Some(current) if current == server => order_of(id),
                _ => EvacuationOrder::FinishInPlace,
            };
            let event = SessionEvent::EvacuationOrdered { server, order };
            // Sending fails only if the session has just ended.
            let _ = entry.sender.send(DriverMessage::Event(event));
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, RegistryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
