//! Verdicts on parts of requests that crash backend servers, as hosts share and record them.
//!
//! A verdict names a set of parts; requests that contain all of them are refused. It is a register
//! that the last change wins, so that hosts may tell, record and merge it in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::timestamp::Timestamp;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Maximum number of verdicts; those whose last refusal is the longest ago are evicted.
pub const MAX_VERDICTS: usize = 256;

/// Time after the last refusal for which a verdict is kept.
pub const VERDICT_RETENTION: Duration = Duration::from_secs(3_600);

new_key_type! {
    /// Key of a verdict.
    pub struct VerdictKey;
}

/// Whether requests with the parts of a verdict are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VerdictState {
    /// They are.
    InForce,
    /// They are no longer: one was answered, or an operator lifted the verdict.
    Lifted,
}

/// A verdict on a set of parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartVerdict {
    /// Parts.
    pub parts: WorkParts,
    /// State.
    pub state: VerdictState,
    /// Wall-clock time of the last change of the state, in milliseconds since 1970.
    pub changed_ms: u64,
    /// Crashes that led to it.
    pub crashes: u32,
}

/// A verdict as one host knows it.
#[derive(Clone, Debug)]
pub struct VerdictRecord {
    /// Verdict.
    pub verdict: PartVerdict,
    /// When this host learned of its last change.
    pub learned_at: Timestamp,
    /// When this host last refused a request for it, or learned of it.
    used_at: Timestamp,
}

/// The verdicts that one host knows.
#[derive(Clone, Debug, Default)]
pub struct VerdictTable {
    records: SlotMap<VerdictKey, VerdictRecord>,
    /// Verdicts by the first of their parts.
    index: BTreeMap<WorkPart, Vec<VerdictKey>>,
}

impl VerdictTable {
    /// Returns whether there are no verdicts.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the verdicts, lifted ones included.
    pub fn records(&self) -> impl Iterator<Item = &VerdictRecord> {
        self.records.values()
    }

    /// Returns the verdicts in force.
    pub fn in_force(&self) -> impl Iterator<Item = &VerdictRecord> {
        self.records().filter(|record| record.verdict.state == VerdictState::InForce)
    }

    /// Returns a verdict.
    pub fn get(&self, key: VerdictKey) -> Option<&VerdictRecord> {
        self.records.get(key)
    }

    /// Returns the verdict in force that a request with these parts meets.
    pub fn find(&self, parts: &WorkParts) -> Option<VerdictKey> {
        if self.records.is_empty() {
            return None;
        }
        let keys = parts.iter().filter_map(|part| self.index.get(&part)).flatten().copied();
        keys.into_iter().find(|key| {
            self.records.get(*key).is_some_and(|VerdictRecord { verdict, .. }| {
                verdict.state == VerdictState::InForce && parts.contains_all(&verdict.parts)
            })
        })
    }

    /// Records that a request was refused, so that the verdict does not expire.
    pub fn on_refused(&mut self, now: Timestamp, key: VerdictKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.used_at = now;
        }
    }

    /// Merges a verdict. Returns whether it is newer than what was known of its parts.
    pub fn merge(&mut self, now: Timestamp, verdict: PartVerdict) -> bool {
        let Some(first) = verdict.parts.first() else { return false };
        let record = VerdictRecord { verdict, learned_at: now, used_at: now };
        let keys = self.index.entry(first).or_default();
        let is_same = |key: &&VerdictKey| {
            self.records.get(**key).is_some_and(|old| old.verdict.parts == record.verdict.parts)
        };
        let known = keys.iter().find(is_same).and_then(|key| self.records.get_mut(*key));
        match known {
            Some(known) => {
                let rank = |verdict: &PartVerdict| (verdict.changed_ms, verdict.state);
                let is_newer = rank(&record.verdict) > rank(&known.verdict);
                if is_newer {
                    *known = record;
                }
                is_newer
            }
            None => {
                keys.push(self.records.insert(record));
                self.evict();
                true
            }
        }
    }

    /// Changes the state of a verdict, or adds it; returns it with the time of the change.
    pub fn change(&mut self, now: Timestamp, wall_ms: u64, change: PartVerdict) -> PartVerdict {
        let known = self.records().find(|record| record.verdict.parts == change.parts);
        // A clock that is behind must not make the change older than the one before.
        let after = known.map_or(0, |record| record.verdict.changed_ms + 1);
        let changed = PartVerdict { changed_ms: wall_ms.max(after), ..change };
        self.merge(now, changed.clone());
        changed
    }

    /// Drops verdicts that were not used for [`VERDICT_RETENTION`].
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<VerdictKey> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.used_at) >= VERDICT_RETENTION)
            .map(|(key, _)| key)
            .collect();
        expired.into_iter().for_each(|key| self.remove(key));
    }

    fn evict(&mut self) {
        while self.records.len() > MAX_VERDICTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.used_at);
            let Some(oldest) = oldest.map(|(key, _)| key) else { return };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, key: VerdictKey) {
        let Some(record) = self.records.remove(key) else { return };
        let Some(first) = record.verdict.parts.first() else { return };
        if let Some(keys) = self.index.get_mut(&first) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.index.remove(&first);
            }
        }
    }
}
