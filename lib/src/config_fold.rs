//! Folds the changes in the log, in offset order, into the configuration in force.
//!
//! The fold is deterministic: hosts that have read the same records have identical state. A change
//! takes effect atomically:
//!
//! - A change whose id is known has no effect; the outcome of the first record with the id stands.
//! - A change conflicts if one of its resources was written after its base revision, or if its base
//!   is older than the horizon, before which change ids may have been forgotten.
//! - A change that breaks a validation rule is rejected.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config_apply::apply_operations;
use crate::config_record::ChangeAuthor;
use crate::config_record::ChangeId;
use crate::config_record::ConfigChange;
use crate::config_record::ContentHash;
use crate::config_record::ResourceOperation;
use crate::ids::LogOffset;
use crate::resource::ConfigState;
use crate::resource_error::ResourceError;
use crate::resource_key::ResourceKey;

/// Maximum number of changes whose ids are remembered.
pub const MAX_KNOWN_CHANGES: usize = 4_096;

/// Number of newest changes whose author, time and summary are kept.
pub const MAX_HISTORY_ENTRIES: usize = 512;

/// Maximum number of operations listed in a summary; one more line counts the others.
pub const MAX_SUMMARY_LINES: usize = 16;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change takes effect at the offset of its record.
    Accepted,
    /// A resource was written after the base of the change; holds the revision then in force.
    Conflict(Option<LogOffset>),
    /// The change breaks a validation rule.
    Rejected(ResourceError),
}

/// Details of a change that are shown in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeDetail {
    /// Author of the change.
    pub author: ChangeAuthor,
    /// Wall clock of the publishing host in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// One line for each operation.
    pub summary: Vec<String>,
}

/// A change that the fold has processed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownChange {
    /// Identity.
    pub id: ChangeId,
    /// Offset of its first record.
    pub offset: LogOffset,
    /// Hash of its operations.
    pub content: ContentHash,
    /// Outcome.
    pub outcome: ChangeOutcome,
    /// Kept for the newest [`MAX_HISTORY_ENTRIES`] changes.
    pub detail: Option<ChangeDetail>,
}

/// Whether the fold has processed a change that is to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// No record with its id was processed.
    Unknown,
    /// Its record was processed at the offset.
    Known(LogOffset, ChangeOutcome),
    /// A record with its id but other content was processed.
    IdReused,
}

/// blake3 hash of a configuration and its revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigDigest(pub [u8; 32]);

/// The configuration in force after all records before an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFold {
    pub(crate) next_offset: LogOffset,
    pub(crate) revision: Option<LogOffset>,
    pub(crate) state: Arc<ConfigState>,
    /// Revision that last wrote or deleted each resource; dropped once the horizon reaches it.
    pub(crate) written: BTreeMap<ResourceKey, LogOffset>,
    /// Offset before which change ids may be forgotten; a change with an older base conflicts.
    pub(crate) horizon: Option<LogOffset>,
    pub(crate) changes: BTreeMap<LogOffset, KnownChange>,
    pub(crate) ids: BTreeMap<ChangeId, LogOffset>,
    /// Append time of the last record by the log's clock, in milliseconds since the Unix epoch.
    pub(crate) appended_ms: u64,
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::starting_at(LogOffset(0))
    }
}

impl ConfigFold {
    /// Builds an empty fold whose first record has the given offset.
    pub fn starting_at(next_offset: LogOffset) -> Self {
        Self {
            next_offset,
            revision: None,
            state: Arc::default(),
            written: BTreeMap::new(),
            horizon: None,
            changes: BTreeMap::new(),
            ids: BTreeMap::new(),
            appended_ms: 0,
        }
    }

    /// Returns the configuration in force.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Returns the offset of the last accepted change, or the horizon if that is later.
    pub fn revision(&self) -> Option<LogOffset> {
        self.revision
    }

    /// Returns the offset of the first record that is not yet folded.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the known changes, newest first.
    pub fn history(&self) -> impl Iterator<Item = &KnownChange> {
        self.changes.values().rev()
    }

    /// Returns a change by its id.
    pub fn known_change(&self, id: ChangeId) -> Option<&KnownChange> {
        self.ids.get(&id).and_then(|offset| self.changes.get(offset))
    }

    /// Returns whether a change that is to be published was already processed.
    pub fn status_of(&self, change: &ConfigChange) -> ChangeStatus {
        match self.known_change(change.id) {
            None => ChangeStatus::Unknown,
            Some(known) if known.content != change.content_hash() => ChangeStatus::IdReused,
            Some(known) => ChangeStatus::Known(known.offset, known.outcome.clone()),
        }
    }

    /// Returns the digest of state and revision, equal on all hosts at the same revision.
    pub fn digest(&self) -> ConfigDigest {
        let mut hasher = blake3::Hasher::new();
        let revision = self.revision.map_or(0, |offset| offset.0 + 1);
        hasher.update(&revision.to_le_bytes());
        for host in &self.state.drained {
            hasher.update(host.as_str().as_bytes());
            hasher.update(b"\n");
        }
        hasher.update(self.state.to_json().as_bytes());
        ConfigDigest(*hasher.finalize().as_bytes())
    }

    /// Returns the append time of the last record, in milliseconds since the Unix epoch.
    pub fn appended_ms(&self) -> u64 {
        self.appended_ms
    }

    /// Sets the append time of the record that is folded next.
    pub fn set_appended_ms(&mut self, appended_ms: u64) {
        self.appended_ms = appended_ms;
    }

    /// Skips a record that is not a change.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next_offset = offset.next();
    }

    /// Folds the change at the offset.
    pub fn apply(&mut self, offset: LogOffset, change: &ConfigChange) {
        self.next_offset = offset.next();
        if self.ids.contains_key(&change.id) {
            return;
        }
        let outcome = self.decide(offset, change);
        self.remember(KnownChange {
            id: change.id,
            offset,
            content: change.content_hash(),
            outcome,
            detail: Some(ChangeDetail {
                author: change.author.clone(),
                wall_ms: change.wall_ms,
                summary: summarize(&change.operations),
            }),
        });
    }

    fn decide(&mut self, offset: LogOffset, change: &ConfigChange) -> ChangeOutcome {
        if change.is_restore() {
            return self.restore(offset, change);
        }
        if self.conflicts(change) {
            return ChangeOutcome::Conflict(self.revision);
        }
        let applied = match apply_operations(&self.state, &change.operations) {
            Ok(applied) => applied,
            Err(error) => return ChangeOutcome::Rejected(error),
        };
        self.written.extend(applied.written.into_iter().map(|key| (key, offset)));
        self.state = Arc::new(applied.state);
        self.revision = Some(offset);
        ChangeOutcome::Accepted
    }

    /// Rebuilds the fold from the change alone, so that the result is independent of earlier
    /// records.
    fn restore(&mut self, offset: LogOffset, change: &ConfigChange) -> ChangeOutcome {
        match apply_operations(&ConfigState::default(), &change.operations) {
            Ok(applied) => {
                let appended_ms = self.appended_ms;
                *self = Self::starting_at(offset.next());
                self.appended_ms = appended_ms;
                self.state = Arc::new(applied.state);
                self.revision = Some(offset);
                self.horizon = Some(offset);
                ChangeOutcome::Accepted
            }
            Err(error) => ChangeOutcome::Rejected(error),
        }
    }

    fn conflicts(&self, change: &ConfigChange) -> bool {
        if change.base < self.horizon || change.base > self.revision {
            return true;
        }
        change.operations.iter().any(|operation| match written_keys(operation) {
            WrittenKeys::One(key) => self.written.get(&key).copied() > change.base,
            WrittenKeys::AllButHosts => self.written.iter().any(|(key, &offset)| {
                !matches!(key, ResourceKey::Host(_)) && Some(offset) > change.base
            }),
            WrittenKeys::Unreadable => false,
        })
    }

    fn remember(&mut self, change: KnownChange) {
        self.ids.insert(change.id, change.offset);
        self.changes.insert(change.offset, change);
        while self.changes.len() > MAX_KNOWN_CHANGES {
            self.forget_oldest();
        }
        if let Some(outdated) = self.changes.values_mut().rev().nth(MAX_HISTORY_ENTRIES) {
            outdated.detail = None;
        }
    }

    /// Forgets the oldest change and moves the horizon to it, so that a late duplicate conflicts.
    ///
    /// The revision never falls behind the horizon: otherwise, after a long run of changes without
    /// effect, every base would be older than the horizon and every change would conflict.
    fn forget_oldest(&mut self) {
        let Some((offset, change)) = self.changes.pop_first() else { return };
        self.ids.remove(&change.id);
        self.horizon = Some(offset);
        self.revision = self.revision.max(self.horizon);
        self.written.retain(|_, written| *written > offset);
    }
}

/// Resources that an operation writes, as far as its body can be parsed.
enum WrittenKeys {
    One(ResourceKey),
    AllButHosts,
    /// The body is invalid; the change will be rejected.
    Unreadable,
}

fn written_keys(operation: &ResourceOperation) -> WrittenKeys {
    match operation {
        ResourceOperation::Create(body) | ResourceOperation::Change(body) => match body.key() {
            Some(key) => WrittenKeys::One(key),
            None => WrittenKeys::Unreadable,
        },
        ResourceOperation::Delete(key) => WrittenKeys::One(key.clone()),
        ResourceOperation::Drain(host) | ResourceOperation::Undrain(host) => {
            WrittenKeys::One(ResourceKey::Host(host.clone()))
        }
        ResourceOperation::PutWhole(_) | ResourceOperation::Restore(_) => WrittenKeys::AllButHosts,
    }
}

fn summarize(operations: &[ResourceOperation]) -> Vec<String> {
    let mut lines: Vec<String> =
        operations.iter().take(MAX_SUMMARY_LINES).map(summarize_operation).collect();
    if operations.len() > MAX_SUMMARY_LINES {
        lines.push(format!("and {} more", operations.len() - MAX_SUMMARY_LINES));
    }
    lines
}

fn summarize_operation(operation: &ResourceOperation) -> String {
    let body = |verb: &str, body: &crate::config_record::ResourceBody| match body.key() {
        Some(key) => format!("{verb} {key}"),
        None => format!("{verb} {}", body.kind),
    };
    match operation {
        ResourceOperation::Create(new) => body("create", new),
        ResourceOperation::Change(new) => body("change", new),
        ResourceOperation::Delete(key) => format!("delete {key}"),
        ResourceOperation::PutWhole(_) => "publish configuration".to_owned(),
        ResourceOperation::Drain(host) => format!("drain host {host}"),
        ResourceOperation::Undrain(host) => format!("undrain host {host}"),
        ResourceOperation::Restore(_) => "restore configuration".to_owned(),
    }
}
