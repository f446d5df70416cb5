//! Reads the log stream "claims": keeps the position, folds the records and handles gaps and
//! checkpoints.

use std::collections::BTreeSet;

use crate::claim_checkpoint::CheckpointAssembler;
use crate::claim_codec::decode_record;
use crate::claim_fold::ClaimFold;
use crate::claim_fold::FoldUsage;
use crate::claim_fold::KeyState;
use crate::claim_record::BatchKnowledge;
use crate::claim_record::ClaimBatch;
use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimRecord;
use crate::claim_record::Claimant;
use crate::claim_record::MAX_KEY_RETENTION_MS;
use crate::ids::LogOffset;
use crate::log_service::LogRecord;
use crate::log_service::LogSlice;
use crate::record_error::RecordError;

/// Keys whose state was changed by a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadChange {
    /// These keys.
    Keys(BTreeSet<ClaimKey>),
    /// Possibly every key, as the fold was replaced.
    Everything,
}

/// Number of skipped records, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BadRecords {
    /// Records of another version.
    pub version: u64,
    /// Truncated or malformed records.
    pub malformed: u64,
    /// Records over the size limit.
    pub too_large: u64,
}

impl BadRecords {
    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.version + self.malformed + self.too_large
    }

    fn count(&mut self, error: &RecordError) {
        match error {
            RecordError::Version(_) => self.version += 1,
            RecordError::Malformed(_) | RecordError::DigestMismatch => self.malformed += 1,
            RecordError::TooLarge(_) => self.too_large += 1,
        }
    }
}

/// What the next batch can state about the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderStatus {
    /// Log time of the last read that reached the end, in milliseconds since the Unix epoch.
    pub checked_ms: u64,
    /// Log time since the last record, in milliseconds; 0 if there was none.
    pub idle_ms: u64,
    /// What is known about older records; `None` if claims may not be sent.
    pub knowledge: Option<BatchKnowledge>,
}

/// Which records before the position were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    /// Every record.
    Complete,
    /// Not the records before `first`; the append time of the first record is not yet known.
    GapBefore { first: LogOffset },
    /// Not the records before `first`, all of which were appended no later than `missed_until_ms`.
    GapUntil { first: LogOffset, missed_until_ms: u64 },
}

/// Reads the stream for one process.
#[derive(Clone, Debug)]
pub struct ClaimReader {
    claimant: Claimant,
    fold: ClaimFold,
    coverage: Coverage,
    assembler: CheckpointAssembler,
    end: Option<LogOffset>,
    now_ms: u64,
    checked_ms: u64,
    own_sequence: u64,
    last_read_failed: bool,
    bad: BadRecords,
    gaps: u64,
}

impl ClaimReader {
    /// Builds a reader that has read nothing yet.
    pub fn new(claimant: Claimant) -> Self {
        Self {
            claimant,
            fold: ClaimFold::new(),
            coverage: Coverage::Complete,
            assembler: CheckpointAssembler::default(),
            end: None,
            now_ms: 0,
            checked_ms: 0,
            own_sequence: 0,
            last_read_failed: false,
            bad: BadRecords::default(),
            gaps: 0,
        }
    }

    /// Returns the offset to read from next.
    pub fn position(&self) -> LogOffset {
        self.fold.position()
    }

    /// Returns the fold of everything read.
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Returns the state of a key at the log time of the last read.
    pub fn state(&self, key: ClaimKey) -> KeyState<'_> {
        match self.is_trusted() {
            true => self.fold.state(key, self.now_ms),
            false => KeyState::Unknown,
        }
    }

    /// Returns the usage of the fold at the log time of the last read.
    pub fn usage(&self) -> FoldUsage {
        self.fold.usage(self.now_ms)
    }

    /// Returns what the next batch of this process can state.
    pub fn status(&self) -> ReaderStatus {
        let knowledge = self.can_claim().then(|| BatchKnowledge {
            folded: self.position(),
            bound_ms: self.fold.retention_bound_ms(),
            horizon_ms: self.fold.horizon_ms(),
        });
        let idle_ms = match self.position() {
            LogOffset(0) => 0,
            _ => self.now_ms.saturating_sub(self.fold.clock_ms()),
        };
        ReaderStatus { checked_ms: self.checked_ms, idle_ms, knowledge }
    }

    /// Returns the largest sequence number of this process's batches that was read back.
    pub fn own_sequence(&self) -> u64 {
        self.own_sequence
    }

    /// Returns the number of skipped records.
    pub fn bad_records(&self) -> BadRecords {
        self.bad
    }

    /// Returns the number of checkpoints whose digest did not match their keys.
    pub fn digest_mismatches(&self) -> u64 {
        self.assembler.mismatches()
    }

    /// Returns how often records expired before they were read.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns whether a key without a record is known to be unseen, rather than missed in a gap.
    pub fn is_trusted(&self) -> bool {
        match self.coverage {
            Coverage::Complete => self.end.is_some(),
            Coverage::GapBefore { .. } => false,
            Coverage::GapUntil { .. } => self.now_ms >= self.fold.trusted_from_ms(),
        }
    }

    /// Returns whether the position has reached the last known end.
    pub fn is_read_to_end(&self) -> bool {
        self.end.is_some_and(|end| self.position() >= end)
    }

    /// Returns whether the fold is trusted and has reached the last known end.
    pub fn is_caught_up(&self) -> bool {
        self.is_trusted() && self.is_read_to_end()
    }

    /// Returns whether claims may be sent.
    ///
    /// After a failed read they may not: a claim with a stale `checked_ms` would be invalid.
    pub fn can_claim(&self) -> bool {
        self.is_caught_up() && !self.last_read_failed
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) {
        self.last_read_failed = true;
    }

    /// Handles that the records before `first` have expired.
    pub fn on_expired(&mut self, first: LogOffset) -> ReadChange {
        self.gaps += 1;
        self.fold = ClaimFold::with_gap(first, u64::MAX);
        self.coverage = Coverage::GapBefore { first };
        ReadChange::Everything
    }

    /// Folds the records of a read at [`Self::position`].
    pub fn on_slice(&mut self, slice: &LogSlice) -> ReadChange {
        if slice.end < self.position() || slice.first > self.position() {
            return self.on_expired(slice.first);
        }
        self.last_read_failed = false;
        self.set_gap_time(slice);
        self.now_ms = self.now_ms.max(slice.now_ms);
        self.end = Some(slice.end);
        let mut changed = BTreeSet::new();
        for record in &slice.records {
            if record.offset < self.position() {
                continue;
            }
            if record.offset > self.position() {
                return self.on_expired(record.offset);
            }
            match self.on_record(record) {
                ReadChange::Keys(keys) => changed.extend(keys),
                ReadChange::Everything => return ReadChange::Everything,
            }
        }
        if self.position() >= slice.end {
            self.checked_ms = self.checked_ms.max(slice.now_ms);
        }
        ReadChange::Keys(changed)
    }

    /// Sets the time from which missed records have expired.
    ///
    /// All of them were appended before the first readable record.
    fn set_gap_time(&mut self, slice: &LogSlice) {
        let Coverage::GapBefore { first } = self.coverage else { return };
        let missed_until_ms =
            slice.records.first().map_or(slice.now_ms, |record| record.appended_ms);
        let trusted_from_ms = missed_until_ms.saturating_add(MAX_KEY_RETENTION_MS);
        self.fold = ClaimFold::with_gap(self.position(), trusted_from_ms);
        self.coverage = Coverage::GapUntil { first, missed_until_ms };
    }

    fn on_record(&mut self, record: &LogRecord) -> ReadChange {
        let changed = match decode_record(&record.data) {
            Ok(ClaimRecord::Batch(batch)) => {
                if batch.claimant == self.claimant {
                    self.own_sequence = self.own_sequence.max(batch.sequence);
                }
                self.apply_knowledge(&batch);
                self.fold.apply(record.offset, record.appended_ms, &batch)
            }
            Ok(ClaimRecord::Checkpoint(part)) => {
                let changed = self.fold.skip(record.offset, record.appended_ms);
                if let Some(fold) = self.assembler.on_part(part)
                    && self.accept_checkpoint(fold)
                {
                    return ReadChange::Everything;
                }
                changed
            }
            Err(error) => {
                self.bad.count(&error);
                log::warn!(
                    "offset={} code={} claims record skipped: {error}",
                    record.offset.0,
                    error.code()
                );
                self.fold.skip(record.offset, record.appended_ms)
            }
        };
        ReadChange::Keys(changed)
    }

    /// Ends a gap earlier if the writer of the batch had read the records that this reader missed.
    fn apply_knowledge(&mut self, batch: &ClaimBatch) {
        let (Coverage::GapUntil { first, missed_until_ms }, Some(knowledge)) =
            (self.coverage, batch.knowledge)
        else {
            return;
        };
        if knowledge.folded >= first {
            let by_bound_ms = missed_until_ms.saturating_add(knowledge.bound_ms);
            self.fold.lower_trusted_from(by_bound_ms.min(knowledge.horizon_ms));
        }
    }

    /// Replaces the fold by the checkpoint if it closes a gap: if every record from the
    /// checkpoint's offset on is still readable.
    fn accept_checkpoint(&mut self, fold: ClaimFold) -> bool {
        let first = match self.coverage {
            Coverage::Complete => return false,
            Coverage::GapBefore { first } | Coverage::GapUntil { first, .. } => first,
        };
        let closes_gap = fold.position() >= first && fold.position() <= self.position();
        if closes_gap {
            self.fold = fold;
            self.coverage = Coverage::Complete;
        }
        closes_gap
    }
}
