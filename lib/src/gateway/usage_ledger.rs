//! Counts started requests by team and window of wall-clock time.
//!
//! Load pattern: hosts die between the end of a window and its report. Each host sends its counts
//! to all others several times a window, and each keeps the highest count it received for every
//! incarnation of every host, so that any survivor can report them.

use std::collections::BTreeMap;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::TeamName;

/// Number of windows kept: the current one and those whose report may still be due.
pub const KEPT_WINDOWS: u64 = 5;

/// Summaries in a row that carry a window after it changed, since a summary may be lost.
const REPEATED_SUMMARIES: u64 = 2;

/// Every so many summaries carry a window that did not change, for hosts that started since.
const UNCHANGED_WINDOW_INTERVAL: u64 = 5;

/// One incarnation of one host: its life from one start to the next.
pub type HostIncarnation = (HostId, Incarnation);

/// Requests by team.
pub type TeamCounts = BTreeMap<TeamName, u64>;

/// Counts of every known incarnation.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    window_ms: u64,
    own: HostIncarnation,
    /// By window and incarnation.
    windows: BTreeMap<u64, BTreeMap<HostIncarnation, TeamCounts>>,
    /// What this host's summaries have told of its windows.
    told: BTreeMap<u64, ToldWindow>,
}

/// The state of a window when a summary first told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ToldWindow {
    /// Requests of all teams.
    requests: u64,
    /// Number of the summary.
    sequence: u64,
}

impl UsageLedger {
    /// Builds an empty ledger.
    pub fn new(own: HostIncarnation, window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), own, windows: BTreeMap::new(), told: BTreeMap::new() }
    }

    /// Returns the window of a wall-clock time in milliseconds since 1970.
    pub fn window_at(&self, wall_ms: u64) -> u64 {
        wall_ms / self.window_ms
    }

    /// Returns the wall-clock time at which a window ends, in milliseconds since 1970.
    pub fn window_end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Counts a request that this host has started.
    pub fn on_request_started(&mut self, wall_ms: u64, team: &TeamName) {
        let window = self.window_at(wall_ms);
        let counts = self.windows.entry(window).or_default().entry(self.own.clone()).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        self.drop_old(window);
    }

    /// Merges the counts that a host sent for one of its windows; the higher count of each team
    /// wins.
    pub fn merge_counts(
        &mut self,
        incarnation: HostIncarnation,
        window: u64,
        reported: TeamCounts,
    ) {
        let counts = self.windows.entry(window).or_default().entry(incarnation).or_default();
        for (team, count) in reported {
            let known = counts.entry(team).or_default();
            *known = (*known).max(count);
        }
    }

    /// Returns this host's windows that summary number `sequence` carries: those that changed since
    /// the last few summaries, and the others from time to time.
    pub fn windows_to_tell(&mut self, sequence: u64) -> Vec<(u64, TeamCounts)> {
        let mut windows = Vec::new();
        for (window, incarnations) in &self.windows {
            let Some(counts) = incarnations.get(&self.own) else { continue };
            let requests = counts.values().sum();
            let told = self.told.entry(*window).or_insert(ToldWindow { requests, sequence });
            if told.requests != requests {
                *told = ToldWindow { requests, sequence };
            }
            let is_due = sequence.wrapping_sub(told.sequence) < REPEATED_SUMMARIES
                || sequence.wrapping_add(*window).is_multiple_of(UNCHANGED_WINDOW_INTERVAL);
            if is_due {
                windows.push((*window, counts.clone()));
            }
        }
        windows
    }

    /// Returns the counts of a window summed over all incarnations.
    pub fn total(&self, window: u64) -> TeamCounts {
        let mut total = TeamCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (team, count) in counts {
                *total.entry(team.clone()).or_default() += count;
            }
        }
        total
    }

    /// Drops windows that are too old to be reported at `wall_ms`.
    pub fn expire(&mut self, wall_ms: u64) {
        self.drop_old(self.window_at(wall_ms));
    }

    fn drop_old(&mut self, window: u64) {
        let first_kept = window.saturating_sub(KEPT_WINDOWS);
        self.windows = self.windows.split_off(&first_kept);
        self.told = self.told.split_off(&first_kept);
    }
}
