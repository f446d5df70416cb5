//! The era of the platform's store, and since when this host has known it.
//!
//! Failure pattern: the store comes back from a copy some seconds old. What this host had written
//! there since is gone, and what others had written may be gone before this host read it.

use std::cell::Cell;

use tokio::sync::watch;

use crate::ids::StoreEra;

/// How an era relates to the one known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// It is the first one that this host knows.
    First,
    /// The store came back from an older copy.
    Restored,
    /// It is the known one, or an earlier one in a late response.
    Unchanged,
}

/// The newest era that this host knows.
#[derive(Debug)]
pub struct EraWatch {
    era: watch::Sender<Option<StoreEra>>,
    known_since_ms: Cell<u64>,
}

impl EraWatch {
    /// Creates a watch of a host that started at `started_ms` on the wall clock.
    pub fn new(started_ms: u64) -> Self {
        Self { era: watch::Sender::new(None), known_since_ms: Cell::new(started_ms) }
    }

    /// Records an era that the store or a peer stated.
    pub fn observe(&self, era: StoreEra, wall_ms: u64) -> EraChange {
        let known = *self.era.borrow();
        if known.is_some_and(|known| known >= era) {
            return EraChange::Unchanged;
        }
        self.era.send_replace(Some(era));
        if known.is_none() {
            return EraChange::First;
        }
        self.known_since_ms.set(wall_ms);
        EraChange::Restored
    }

    /// Returns since when the era is known, in milliseconds on the wall clock: since the host's start
    /// if it has known no other. The store came back from its copy earlier.
    pub fn known_since_ms(&self) -> u64 {
        self.known_since_ms.get()
    }

    /// Returns the newest known era.
    pub fn current(&self) -> Option<StoreEra> {
        *self.era.borrow()
    }

    /// Waits until the store has come back from a copy since `written_in`, the era in which a record
    /// was written; for ever if there is none.
    pub async fn wait_for_restore(&self, written_in: Option<StoreEra>) {
        let Some(written_in) = written_in else { return std::future::pending().await };
        let is_later = |era: &Option<StoreEra>| era.is_some_and(|era| era > written_in);
        // The sender lives as long as this watch, so the wait ends only with a later era.
        let _ = self.era.subscribe().wait_for(is_later).await;
    }
}
