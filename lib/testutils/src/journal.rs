//! Journal of the runs of a stand-in, from which tests check that a request ran once.

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
    /// The run completed.
    Done,
    /// A call cancelled it.
    Cancelled,
    /// The client closed the connection before the end.
    ClientGone,
}

/// One run of one attempt. After a crash of the server, its end and outcome are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Idempotency key, if the call carried one.
    pub key: Option<String>,
    /// Request id, as received.
    pub request: String,
    /// Attempt number, as received; 0 if the call carried none.
    pub attempt: u32,
    /// What ran: method and path of an app call, or the model of a generation.
    pub work: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub begin_ms: u64,
    /// End of the run, in milliseconds since the Unix epoch.
    pub end_ms: Option<u64>,
    /// How the run ended.
    pub outcome: Option<RunOutcome>,
}

/// Index of a run in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNumber(usize);

/// Journal of one stand-in. It survives simulated crashes of the server.
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

    /// Returns all runs in the order in which they started.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.lock().clone()
    }

    /// Returns the number of runs that started with the idempotency key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.lock().iter().filter(|entry| entry.key.as_deref() == Some(key)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
