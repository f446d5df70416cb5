//! Journal of what a stand-in ran, from which "ran once" can be checked from outside.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pomelostack_lib::timestamp::wall_clock_ms;
use serde::Deserialize;
use serde::Serialize;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It ran to its end.
    Done,
    /// It was cancelled by a call.
    Cancelled,
    /// Its client closed the connection first.
    ClientGone,
}

/// One run of one attempt; a crash leaves it without an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Idempotency key, if the call carried one.
    pub key: Option<String>,
    /// Request id, as sent.
    pub request: String,
    /// Number of the attempt, as sent; 0 if none was.
    pub attempt: u32,
    /// What ran: method and path of an app call, model of a generation.
    pub work: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub begin_ms: u64,
    /// End of the run, in milliseconds since the Unix epoch.
    pub end_ms: Option<u64>,
    /// How the run ended.
    pub outcome: Option<RunOutcome>,
}

/// Names a run that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNumber(usize);

/// Journal of one stand-in; it outlives crashes of the server that it tells about.
#[derive(Debug, Default)]
pub struct ServerJournal {
    entries: Mutex<Vec<JournalEntry>>,
}

impl ServerJournal {
    /// Records the start of a run.
    pub fn begin(
        &self,
        key: Option<String>,
        request: String,
        attempt: u32,
        work: &str,
    ) -> RunNumber {
        let mut entries = self.lock();
        entries.push(JournalEntry {
            key,
            request,
            attempt,
            work: work.to_owned(),
            begin_ms: wall_clock_ms(),
            end_ms: None,
            outcome: None,
        });
        RunNumber(entries.len() - 1)
    }

    /// Records the end of a run.
    pub fn end(&self, run: RunNumber, outcome: RunOutcome) {
        let mut entries = self.lock();
        entries[run.0].end_ms = Some(wall_clock_ms());
        entries[run.0].outcome = Some(outcome);
    }

    /// Returns all runs in the order of their starts.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.lock().clone()
    }

    /// Returns the runs that began with the idempotency key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.lock().iter().filter(|entry| entry.key.as_deref() == Some(key)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
