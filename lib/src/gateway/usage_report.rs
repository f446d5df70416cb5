//! Decides which usage reports are due and makes the counts of each window immutable.
//!
//! Load pattern: the host that holds the reporting duty dies or loses the duty between recording a
//! report, sending it and receiving the response. The counts of a window are appended to the log
//! before they are sent, and the first record of a window wins, so that two holders cannot report
//! different counts.
//!
//! When the store comes back from a copy, records of windows that were sent may be gone. A host that
//! does not know such a record leaves the window unreported: a missing report costs less than two
//! that differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use prost::Message as _;

use crate::gateway::platform_api::RecordsRead;
use crate::gateway::usage_ledger::TeamCounts;
use crate::gateway::usage_ledger::UsageLedger;
use crate::ids::LogOffset;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::protos::gateway::UsageRecord;
use crate::timestamp::Timestamp;

/// Time to wait after a window's end for the hosts' last counts: hosts send summaries twice a
/// second, and their clocks differ slightly.
const SETTLE_DELAY: Duration = Duration::from_millis(2_000);

/// Time that the holder which recorded a window has to send it before this host does.
const SENDER_HEAD_START: Duration = Duration::from_millis(1_500);

/// Next step of the reporting duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportStep {
    /// Nothing is due.
    Idle,
    /// Read the usage log from this offset first.
    ReadLog(LogOffset),
    /// Append a record to the usage log.
    Record {
        /// Known end of the log.
        at: LogOffset,
        /// Encoded record.
        record: Vec<u8>,
    },
    /// Send the recorded counts of a window.
    Send {
        /// Window number, counted from 1970.
        window: u64,
        /// Requests by team.
        counts: TeamCounts,
    },
}

/// Recorded windows and sent reports, as far as this host knows them.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    deadline_ms: u64,
    cursor: LogOffset,
    /// Era of the store that the cursor belongs to.
    era: Option<StoreEra>,
    is_current: bool,
    /// Windows that ended before this time on the wall clock may have been recorded in an earlier era.
    era_known_since_ms: u64,
    /// First window that was recorded in this era. Later ones were not recorded before it.
    first_window_of_era: Option<u64>,
    recorded: BTreeMap<u64, (TeamCounts, Timestamp, bool)>,
    sent: BTreeSet<u64>,
}

impl ReportSchedule {
    /// Builds a schedule that has read nothing of the log. Reports are due within `deadline` of the
    /// end of their window.
    pub fn new(deadline: Duration) -> Self {
        let deadline_ms = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
        Self {
            deadline_ms,
            cursor: LogOffset(0),
            era: None,
            is_current: false,
            era_known_since_ms: 0,
            first_window_of_era: None,
            recorded: BTreeMap::new(),
            sent: BTreeSet::new(),
        }
    }

    /// Makes the next step read the log, since it may hold a record that this host has not seen.
    pub fn mark_stale(&mut self) {
        self.is_current = false;
    }

    /// Starts over from the first offset of a log that does not have the cursor.
    pub fn on_dropped(&mut self, first: LogOffset) {
        self.cursor = first;
        self.is_current = false;
    }

    /// Adds records read from the log at the cursor; returns how many could not be decoded.
    /// `era_known_since_ms` is when this host came to know the era, on the wall clock.
    pub fn on_records(
        &mut self,
        now: Timestamp,
        read: &RecordsRead,
        era_known_since_ms: u64,
    ) -> usize {
        let bounds = read.bounds;
        let is_restored = self.era.is_some_and(|era| era != bounds.era);
        if self.era.replace(bounds.era) != Some(bounds.era) {
            self.era_known_since_ms = era_known_since_ms;
            self.first_window_of_era = None;
        }
        if is_restored || self.cursor < bounds.first || read.next > bounds.end {
            self.on_dropped(bounds.first);
            return 0;
        }
        let mut skipped = 0;
        for record in &read.records {
            match UsageRecord::decode(record.as_slice()) {
                Ok(record) => self.add(now, record, false),
                Err(_) => skipped += 1,
            }
        }
        self.cursor = read.next;
        self.is_current = true;
        skipped
    }

    /// Adds a record that this host appended at `offset`. In another era than that of the cursor it
    /// may follow records that this host has not read.
    pub fn on_appended(&mut self, now: Timestamp, record: &[u8], era: StoreEra, offset: LogOffset) {
        if self.era != Some(era) {
            return self.mark_stale();
        }
        if let Ok(record) = UsageRecord::decode(record) {
            self.add(now, record, true);
        }
        self.cursor = offset.next();
    }

    /// Marks a window as done: its report was accepted, or can no longer be.
    pub fn on_sent(&mut self, window: u64) {
        self.sent.insert(window);
    }

    /// Returns the next step at `now` on the monotonic clock and `wall_ms` on the wall clock.
    pub fn next_step(&self, now: Timestamp, wall_ms: u64, ledger: &UsageLedger) -> ReportStep {
        let delay_ms = u64::try_from(SETTLE_DELAY.as_millis()).unwrap_or(u64::MAX);
        let ended = ledger.window_at(wall_ms.saturating_sub(delay_ms)).saturating_sub(1);
        let first = ledger.window_at(wall_ms.saturating_sub(self.deadline_ms)).saturating_sub(1);
        for window in first..=ended {
            if self.sent.contains(&window) {
                continue;
            }
            match self.recorded.get(&window) {
                Some((counts, _, true)) => {
                    return ReportStep::Send { window, counts: counts.clone() };
                }
                Some((counts, seen_at, false)) if now.since(*seen_at) >= SENDER_HEAD_START => {
                    return ReportStep::Send { window, counts: counts.clone() };
                }
                Some(_) => {}
                None => {
                    let counts = ledger.total(window);
                    if counts.is_empty() {
                        continue;
                    }
                    if !self.is_current {
                        return ReportStep::ReadLog(self.cursor);
                    }
                    if self.may_be_lost(window, ledger) {
                        continue;
                    }
                    let counts = counts.iter().map(|(team, n)| (team.as_str().into(), *n));
                    let era = self.era.unwrap_or_default().0;
                    let record = UsageRecord { window, counts: counts.collect(), era };
                    return ReportStep::Record { at: self.cursor, record: record.encode_to_vec() };
                }
            }
        }
        ReportStep::Idle
    }

    /// Returns whether a window without a record may have been recorded and sent in an earlier era.
    fn may_be_lost(&self, window: u64, ledger: &UsageLedger) -> bool {
        ledger.window_end_ms(window) <= self.era_known_since_ms
            && self.first_window_of_era.is_none_or(|first| window < first)
    }

    fn add(&mut self, now: Timestamp, record: UsageRecord, own: bool) {
        if self.era == Some(StoreEra(record.era)) {
            let first = self.first_window_of_era.get_or_insert(record.window);
            *first = record.window.min(*first);
        }
        let counts = record.counts.iter().filter_map(|(team, count)| {
            // Records are written from validated names, so none is lost here.
            TeamName::try_from(team.as_str()).ok().map(|team| (team, *count))
        });
        let counts = counts.collect();
        self.recorded.entry(record.window).or_insert((counts, now, own));
    }
}
