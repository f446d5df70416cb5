//! This host's copy of the configuration, which recovers from expired log records.
//!
//! A pure state machine over slices of the log. As long as records are contiguous, they are folded.
//! If records expire before they are read, the stream is scanned for the checkpoint that covers the
//! most, and folding resumes from there. If no checkpoint covers the lost records, the last known
//! state stays in force and the replica waits for a host that has folded them to write its
//! checkpoint. The replica never skips a record that it has not seen.

use std::collections::BTreeMap;
use std::fmt;

use crate::config_checkpoint::CheckpointAssembler;
use crate::config_checkpoint::JoinedCheckpoint;
use crate::config_fold::ConfigFold;
use crate::config_record::CheckpointPart;
use crate::config_record::ConfigChange;
use crate::config_record::ConfigRecord;
use crate::ids::LogOffset;
use crate::log_service::LogRecord;
use crate::log_service::LogSlice;
use crate::record_error::RecordError;
use crate::record_error::Result;
use crate::result_code::ResultCode;

/// Where the replica's state comes from, and whether log records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Nothing was read or installed yet.
    Empty,
    /// The state comes from a peer's checkpoint; the log has not been read since.
    Peer,
    /// The state covers all log records so far, directly or through a checkpoint.
    Log,
    /// Records were lost; the stream is scanned for a checkpoint.
    Scanning,
    /// Records were lost and no checkpoint covers them yet; earlier state stays in force.
    Gap,
}

impl fmt::Display for ReplicaState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "empty",
            Self::Peer => "peer",
            Self::Log => "log",
            Self::Scanning => "scanning",
            Self::Gap => "gap",
        })
    }
}

/// A complete checkpoint found in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenCheckpoint {
    /// Offset of its first part.
    pub first_offset: LogOffset,
    /// First offset that it does not cover.
    pub next_offset: LogOffset,
    /// Earliest append time, in milliseconds since the Unix epoch, of the records that must be
    /// readable for it to be usable: its first part and the first record that it does not cover.
    pub needed_ms: u64,
}

impl SeenCheckpoint {
    /// Returns whether a new host can start from it, if `first` is the oldest readable offset.
    pub fn is_usable(&self, first: LogOffset) -> bool {
        self.first_offset >= first && self.next_offset >= first
    }
}

/// A fold from which folding can resume after a scan.
struct ScanCandidate {
    fold: ConfigFold,
    /// Whether it comes from a restore; any usable checkpoint takes precedence over a restore.
    is_restore: bool,
}

/// This host's copy of the configuration.
#[derive(Default)]
pub struct ConfigReplica {
    fold: ConfigFold,
    /// Next offset to read.
    cursor: LogOffset,
    /// Oldest readable offset and end of the stream at the last read.
    bounds: (LogOffset, LogOffset),
    log_now_ms: u64,
    state: Option<ReplicaState>,
    assembler: CheckpointAssembler,
    newest_checkpoint: Option<SeenCheckpoint>,
    candidate: Option<ScanCandidate>,
    skipped: BTreeMap<ResultCode, u64>,
    /// Skipped records before this offset are already counted.
    counted_to: LogOffset,
    /// Append time of the oldest change folded from the log.
    oldest_change_ms: Option<u64>,
}

impl ConfigReplica {
    /// Returns the fold, whose state is in force.
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Returns the state of the replica.
    pub fn state(&self) -> ReplicaState {
        self.state.unwrap_or(ReplicaState::Empty)
    }

    /// Returns the offset to read next.
    pub fn cursor(&self) -> LogOffset {
        self.cursor
    }

    /// Returns the complete checkpoint that covers the most, readable or not.
    pub fn newest_checkpoint(&self) -> Option<SeenCheckpoint> {
        self.newest_checkpoint
    }

    /// Returns the append time of the oldest change that was folded from the log, in milliseconds
    /// since the Unix epoch.
    pub fn oldest_change_ms(&self) -> Option<u64> {
        self.oldest_change_ms
    }

    /// Returns the oldest offset that was readable at the last read.
    pub fn first_readable(&self) -> LogOffset {
        self.bounds.0
    }

    /// Returns the log's clock at the last read, in milliseconds since the Unix epoch.
    pub fn log_now_ms(&self) -> u64 {
        self.log_now_ms
    }

    /// Returns whether every record that existed at the last read is folded.
    pub fn is_caught_up(&self) -> bool {
        self.state() == ReplicaState::Log && self.cursor >= self.bounds.1
    }

    /// Returns how many records were skipped, by result code.
    pub fn skipped(&self) -> &BTreeMap<ResultCode, u64> {
        &self.skipped
    }

    /// Handles a slice read at the cursor; returns whether more can be read immediately.
    pub fn on_slice(&mut self, slice: &LogSlice) -> bool {
        self.bounds = (slice.first, slice.end);
        self.log_now_ms = slice.now_ms;
        if slice.end < self.cursor {
            let (end, cursor) = (slice.end.0, self.cursor.0);
            log::error!("config log ends before the cursor end={end} cursor={cursor}");
            *self.skipped.entry(ResultCode::Internal).or_default() += 1;
        }
        if slice.first > self.cursor {
            self.on_expired(slice.first);
            return true;
        }
        if matches!(self.state(), ReplicaState::Empty | ReplicaState::Peer) {
            self.state = Some(ReplicaState::Log);
        }
        for record in &slice.records {
            if record.offset == self.cursor {
                self.cursor = record.offset.next();
                self.on_record(record);
            }
        }
        if self.cursor >= slice.end && self.is_scanning() {
            return self.finish_scan();
        }
        self.cursor < slice.end && !slice.records.is_empty()
    }

    /// Handles the expiry of all records before `first`.
    pub fn on_expired(&mut self, first: LogOffset) {
        self.bounds.0 = first;
        self.candidate = None;
        if self.fold.next_offset() < first {
            self.state = Some(ReplicaState::Scanning);
            self.cursor = first;
        } else {
            self.state = Some(ReplicaState::Log);
            self.cursor = self.fold.next_offset();
        }
    }

    /// Installs a peer's fold if it covers more; returns whether it did.
    pub fn install(&mut self, fold: ConfigFold) -> bool {
        if fold.next_offset() <= self.fold.next_offset() {
            return false;
        }
        self.cursor = fold.next_offset();
        self.fold = fold;
        self.candidate = None;
        self.state = Some(ReplicaState::Peer);
        true
    }

    fn is_scanning(&self) -> bool {
        matches!(self.state(), ReplicaState::Scanning | ReplicaState::Gap)
    }

    fn on_record(&mut self, record: &LogRecord) {
        match ConfigRecord::decode(&record.data) {
            Ok(ConfigRecord::Change(change)) if self.is_scanning() => {
                self.consider_restore(record, &change);
            }
            Ok(ConfigRecord::Change(change)) => {
                self.fold.set_appended_ms(record.appended_ms);
                self.oldest_change_ms.get_or_insert(record.appended_ms);
                self.fold.apply(record.offset, &change);
            }
            Ok(ConfigRecord::CheckpointPart(part)) => {
                self.skip_in_fold(record);
                if let Err(error) = self.on_part(record, part) {
                    self.count(record.offset, &error);
                }
            }
            Err(error) => {
                self.skip_in_fold(record);
                self.count(record.offset, &error);
            }
        }
    }

    fn skip_in_fold(&mut self, record: &LogRecord) {
        if !self.is_scanning() {
            self.fold.set_appended_ms(record.appended_ms);
            self.fold.skip(record.offset);
        }
    }

    /// Counts and logs a skipped record, only once even if it is read again.
    fn count(&mut self, offset: LogOffset, error: &RecordError) {
        if offset < self.counted_to {
            return;
        }
        self.counted_to = offset.next();
        let code = error.code();
        log::warn!("config record skipped offset={} code={code} reason=\"{error}\"", offset.0);
        *self.skipped.entry(code).or_default() += 1;
    }

    fn on_part(&mut self, record: &LogRecord, part: CheckpointPart) -> Result<()> {
        let Some(joined) = self.assembler.add(record, part)? else { return Ok(()) };
        let fold = ConfigFold::from_checkpoint(&joined.checkpoint)?;
        if fold.next_offset() > joined.first_offset {
            return Err(RecordError::Malformed("checkpoint covers records after its own offset"));
        }
        self.track_newest_checkpoint(&joined, &fold);
        if self.is_scanning() {
            self.consider_checkpoint(fold);
        } else if fold.revision() == self.fold.revision() && fold.digest() != self.fold.digest() {
            return Err(RecordError::DigestMismatch);
        }
        Ok(())
    }

    fn track_newest_checkpoint(&mut self, joined: &JoinedCheckpoint, fold: &ConfigFold) {
        let follows_at_once = fold.next_offset() == joined.first_offset;
        let seen = SeenCheckpoint {
            first_offset: joined.first_offset,
            next_offset: fold.next_offset(),
            needed_ms: if follows_at_once { joined.first_ms } else { fold.appended_ms() },
        };
        if self.newest_checkpoint.is_none_or(|newest| newest.next_offset <= seen.next_offset) {
            self.newest_checkpoint = Some(seen);
        }
    }

    /// Keeps the first restore that takes effect as the candidate if there is none yet.
    fn consider_restore(&mut self, record: &LogRecord, change: &ConfigChange) {
        if self.candidate.is_some() || !change.is_restore() {
            return;
        }
        let mut fold = ConfigFold::starting_at(record.offset);
        fold.set_appended_ms(record.appended_ms);
        fold.apply(record.offset, change);
        if fold.revision() == Some(record.offset) {
            self.candidate = Some(ScanCandidate { fold, is_restore: true });
        }
    }

    /// Keeps the checkpoint that covers the most as the candidate, if the record after it is still
    /// readable.
    fn consider_checkpoint(&mut self, fold: ConfigFold) {
        if fold.next_offset() < self.bounds.0 {
            return;
        }
        let covers_more = |found: &ScanCandidate| {
            found.is_restore || found.fold.next_offset() < fold.next_offset()
        };
        if self.candidate.as_ref().is_none_or(covers_more) {
            self.candidate = Some(ScanCandidate { fold, is_restore: false });
        }
    }

    /// Resumes from the candidate, or enters [`ReplicaState::Gap`] if none is usable; returns whether
    /// more can be read immediately.
    fn finish_scan(&mut self) -> bool {
        let usable = |candidate: &ScanCandidate| candidate.fold.next_offset() >= self.bounds.0;
        let Some(ScanCandidate { fold, .. }) = self.candidate.take().filter(usable) else {
            self.state = Some(ReplicaState::Gap);
            return false;
        };
        self.cursor = fold.next_offset();
        self.fold = fold;
        self.state = Some(ReplicaState::Log);
        self.cursor < self.bounds.1
    }
}
