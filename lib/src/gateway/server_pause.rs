//! Backend servers that asked this host for a pause: they turned a request away and stated when they
//! want the next one.
//!
//! Load pattern: overloaded servers turn requests away one after another. Each pause is kept whatever
//! else is available; the load goes to the other servers, and callers are refused at once when there
//! is none. When a pause ends, one request at a time shows whether the server accepts them again, so
//! that waiting load does not return all at once.
//!
//! Pauses are kept by server id, so that they outlast a server's absence from the directory.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ServerId;
use crate::timestamp::Timestamp;

/// Maximum pause; a server that states a longer one is asked again after this time.
pub const MAX_SERVER_PAUSE: Duration = Duration::from_secs(600);

/// Time after which a server counts as accepting requests again although the first one after its
/// pause has no answer yet.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of servers with a pause; those that end first are dropped first.
const MAX_PAUSES: usize = 4_096;

/// Whether a server accepts requests from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseState {
    /// It does.
    Open,
    /// Its pause has ended, and the answer to the first request since is pending.
    OnTrial,
    /// It accepts none before this time.
    PausedUntil(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct ServerPause {
    until: Timestamp,
    /// When the first request after the pause was sent.
    trial_at: Option<Timestamp>,
}

/// The pauses that servers asked this host for.
#[derive(Clone, Debug, Default)]
pub struct PauseTable {
    pauses: HashMap<ServerId, ServerPause>,
}

impl PauseTable {
    /// Records that a server asked for a pause; one that ends later stays in force.
    pub fn on_pause(&mut self, now: Timestamp, server: &ServerId, pause: Duration) {
        let until = now + pause.min(MAX_SERVER_PAUSE);
        if until <= now {
            return;
        }
        let known = self.pauses.get(server).map_or(until, |known| known.until.max(until));
        self.pauses.insert(server.clone(), ServerPause { until: known, trial_at: None });
        if self.pauses.len() > MAX_PAUSES {
            let first = self.pauses.iter().min_by_key(|(_, pause)| pause.until);
            if let Some(first) = first.map(|(server, _)| server.clone()) {
                self.pauses.remove(&first);
            }
        }
    }

    /// Records that a request was sent to a server.
    pub fn on_sent(&mut self, now: Timestamp, server: &ServerId) {
        if let Some(pause) = self.pauses.get_mut(server)
            && pause.until <= now
        {
            pause.trial_at = Some(now);
        }
    }

    /// Records that a server answered without asking for a pause; one that has not ended stays in
    /// force.
    pub fn on_answered(&mut self, now: Timestamp, server: &ServerId) {
        if self.pauses.get(server).is_some_and(|pause| pause.until <= now) {
            self.pauses.remove(server);
        }
    }

    /// Returns whether a server accepts requests.
    pub fn state(&self, now: Timestamp, server: &ServerId) -> PauseState {
        let Some(pause) = self.pauses.get(server) else { return PauseState::Open };
        if now < pause.until {
            return PauseState::PausedUntil(pause.until);
        }
        match pause.trial_at {
            Some(at) if now.since(at) < TRIAL_TIMEOUT => PauseState::OnTrial,
            _ => PauseState::Open,
        }
    }
}
