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
}

impl UsageLedger {
    /// Builds an empty ledger.
    pub fn new(own: HostIncarnation, window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), own, windows: BTreeMap::new() }
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

    /// Returns the counts of every incarnation in all kept windows.
    pub fn incarnations(&self) -> impl Iterator<Item = (u64, &HostIncarnation, &TeamCounts)> {
        self.windows.iter().flat_map(|(window, incarnations)| {
            incarnations.iter().map(move |(incarnation, counts)| (*window, incarnation, counts))
        })
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
    }
}
