//! Group commit: batches the entries of one host into records, with one append in flight at a time.
//!
//! An entry whose append failed is sent again; entries are idempotent, so a duplicate has no
//! effect. While appends fail, claims that were never sent are held back as long as anything else
//! can be sent, so that a long outage leaves few claims whose outcome is unknown.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim_codec::encode_batch;
use crate::claim_codec::entry_bytes;
use crate::claim_reader::ReaderStatus;
use crate::claim_record::ClaimBatch;
use crate::claim_record::ClaimEntry;
use crate::claim_record::ClaimNonce;
use crate::claim_record::ClaimStatement;
use crate::claim_record::Claimant;
use crate::log_service::MAX_RECORD_BYTES;
use crate::timestamp::Timestamp;

/// Largest size of the entries in one record; the rest is left for its fixed fields.
const BATCH_ENTRY_BYTES: usize = MAX_RECORD_BYTES - 1_024;

/// Backoff after the first failed append.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Largest backoff after a failed append.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of claims in one record while appends fail.
const MAX_PROBE_CLAIMS: usize = 16;

/// Shortest time between two batches with entries that carry a `BatchKnowledge`.
const KNOWLEDGE_INTERVAL: Duration = Duration::from_secs(10);

/// Time without a record after which a heartbeat, a record without entries, is appended, in
/// milliseconds.
const HEARTBEAT_IDLE_MS: u64 = 60 * 1_000;

/// Largest additional delay of a host's heartbeat, in milliseconds; the heartbeat of the first host
/// makes those of the others unnecessary.
const HEARTBEAT_JITTER_MS: u64 = 30 * 1_000;

/// Outcome of a failed append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFailure {
    /// The record was not appended and will not be.
    NotAppended,
    /// The record may have been appended or may still be.
    OutcomeUnknown,
}

/// Fields that are the same in every record of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// This process.
    pub claimant: Claimant,
    /// Retention of keys, in milliseconds.
    pub retention_ms: u64,
}

/// Entries and checkpoint parts that wait to be appended.
#[derive(Clone, Debug)]
pub struct ClaimQueue {
    header: BatchHeader,
    append_interval: Duration,
    waiting: VecDeque<QueuedEntry>,
    parts: VecDeque<Vec<u8>>,
    in_flight: Option<InFlight>,
    part_was_last: bool,
    last_sequence: u64,
    failures: u32,
    next_append: Timestamp,
    next_heartbeat: Timestamp,
    next_knowledge: Timestamp,
    heartbeat_jitter_ms: u64,
}

#[derive(Clone, Debug)]
struct QueuedEntry {
    entry: ClaimEntry,
    /// Sequence number of the last batch that carried the entry and may have been appended.
    unconfirmed_in: Option<u64>,
}

#[derive(Clone, Debug)]
enum InFlight {
    Batch { sequence: u64, sent_at: Timestamp, entries: Vec<QueuedEntry>, landed: bool },
    Part { data: Vec<u8>, sent_at: Timestamp },
}

impl ClaimQueue {
    /// Builds an empty queue that appends at most once per `append_interval`.
    pub fn new(header: BatchHeader, append_interval: Duration) -> Self {
        let host_hash = blake3::hash(header.claimant.host.as_str().as_bytes());
        let heartbeat_jitter_ms = HEARTBEAT_JITTER_MS * u64::from(host_hash.as_bytes()[0]) / 256;
        Self {
            header,
            append_interval,
            waiting: VecDeque::new(),
            parts: VecDeque::new(),
            in_flight: None,
            part_was_last: false,
            last_sequence: 0,
            failures: 0,
            next_append: Timestamp::default(),
            next_heartbeat: Timestamp::default(),
            next_knowledge: Timestamp::default(),
            heartbeat_jitter_ms,
        }
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing is waiting and no append is in flight.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.parts.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Sets the retention of keys, in milliseconds.
    pub fn set_retention_ms(&mut self, retention_ms: u64) {
        self.header.retention_ms = retention_ms;
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: ClaimEntry) {
        self.waiting.push_back(QueuedEntry { entry, unconfirmed_in: None });
    }

    /// Replaces the waiting checkpoint records.
    pub fn set_checkpoint(&mut self, parts: Vec<Vec<u8>>) {
        self.parts = parts.into();
    }

    /// Removes a claim; returns whether a record with it may have been appended or may still be.
    pub fn cancel_claim(&mut self, nonce: ClaimNonce) -> bool {
        let is_match = |queued: &QueuedEntry| queued.entry.nonce == nonce && queued.is_claim();
        let unsent =
            self.waiting.iter().any(|queued| is_match(queued) && queued.unconfirmed_in.is_none());
        self.retain_entries(|queued| !is_match(queued));
        !unsent
    }

    /// Removes a void.
    pub fn cancel_void(&mut self, nonce: ClaimNonce) {
        let is_match = |queued: &QueuedEntry| {
            queued.entry.nonce == nonce && matches!(queued.entry.statement, ClaimStatement::Void)
        };
        self.retain_entries(|queued| !is_match(queued));
    }

    /// Removes entries; those in flight are not sent again if their append fails.
    fn retain_entries(&mut self, keep: impl Fn(&QueuedEntry) -> bool) {
        self.waiting.retain(&keep);
        if let Some(InFlight::Batch { entries, .. }) = &mut self.in_flight {
            entries.retain(&keep);
        }
    }

    /// Returns when to call [`Self::next_record`], or `None` if nothing can be sent.
    pub fn next_wake(&self, claims_allowed: bool) -> Option<Timestamp> {
        let idle = self.in_flight.is_none();
        let sendable = || self.waiting.iter().any(|queued| claims_allowed || !queued.is_claim());
        (idle && (!self.parts.is_empty() || sendable())).then_some(self.next_append)
    }

    /// Returns the next record to append, if one is due.
    ///
    /// The caller must then call either [`Self::on_appended`] or [`Self::on_failed`] once.
    pub fn next_record(&mut self, now: Timestamp, status: ReaderStatus) -> Option<Vec<u8>> {
        if self.in_flight.is_some() || now < self.next_append {
            return None;
        }
        if self.part_was_last || self.parts.is_empty() {
            self.part_was_last = false;
            if let Some(data) = self.next_batch(now, status) {
                return Some(data);
            }
        }
        let data = self.parts.pop_front()?;
        self.part_was_last = true;
        self.in_flight = Some(InFlight::Part { data: data.clone(), sent_at: now });
        Some(data)
    }

    fn next_batch(&mut self, now: Timestamp, status: ReaderStatus) -> Option<Vec<u8>> {
        let entries = self.take_entries(status.knowledge.is_some());
        if entries.is_empty() && !self.heartbeat_is_due(now, status) {
            return None;
        }
        self.next_heartbeat = now + Duration::from_millis(HEARTBEAT_IDLE_MS);
        let include_knowledge = entries.is_empty() || now >= self.next_knowledge;
        let knowledge = status.knowledge.filter(|_| include_knowledge);
        if knowledge.is_some() {
            self.next_knowledge = now + KNOWLEDGE_INTERVAL;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let data = encode_batch(&ClaimBatch {
            claimant: self.header.claimant.clone(),
            sequence,
            retention_ms: self.header.retention_ms,
            checked_ms: status.checked_ms,
            knowledge,
            entries: entries.iter().map(|queued| queued.entry.clone()).collect(),
        });
        self.in_flight = Some(InFlight::Batch { sequence, sent_at: now, entries, landed: false });
        Some(data)
    }

    /// Returns whether a heartbeat is due.
    ///
    /// Its knowledge lets new readers of an idle stream trust their state despite missed older
    /// records.
    fn heartbeat_is_due(&self, now: Timestamp, status: ReaderStatus) -> bool {
        let idle_ms = HEARTBEAT_IDLE_MS + self.heartbeat_jitter_ms;
        status.knowledge.is_some() && status.idle_ms >= idle_ms && now >= self.next_heartbeat
    }

    /// Takes entries in order, up to the size of one record.
    fn take_entries(&mut self, claims_allowed: bool) -> Vec<QueuedEntry> {
        let hold_new_claims = self.is_failing()
            && self
                .waiting
                .iter()
                .any(|queued| !queued.is_claim() || queued.unconfirmed_in.is_some());
        let mut taken = Vec::new();
        let mut kept = VecDeque::new();
        let (mut bytes, mut claims) = (0, 0);
        for queued in self.waiting.drain(..) {
            let is_claim = queued.is_claim();
            let held = is_claim
                && (!claims_allowed
                    || (hold_new_claims && queued.unconfirmed_in.is_none())
                    || (self.failures > 0 && claims >= MAX_PROBE_CLAIMS));
            let size = entry_bytes(&queued.entry);
            if held || bytes + size > BATCH_ENTRY_BYTES {
                kept.push_back(queued);
                continue;
            }
            bytes += size;
            claims += usize::from(is_claim);
            taken.push(queued);
        }
        self.waiting = kept;
        taken
    }

    /// Handles that the record in flight was appended.
    pub fn on_appended(&mut self, now: Timestamp) {
        let sent_at = match self.in_flight.take() {
            Some(InFlight::Batch { sent_at, .. } | InFlight::Part { sent_at, .. }) => sent_at,
            None => return,
        };
        self.failures = 0;
        self.next_append = now.max(sent_at + self.append_interval);
    }

    /// Handles that the append in flight failed.
    pub fn on_failed(&mut self, now: Timestamp, failure: AppendFailure) {
        match self.in_flight.take() {
            None => return,
            Some(InFlight::Batch { landed: true, .. }) => return,
            Some(InFlight::Part { data, .. }) => self.parts.push_front(data),
            Some(InFlight::Batch { sequence, entries, .. }) => {
                for mut queued in entries.into_iter().rev() {
                    if failure == AppendFailure::OutcomeUnknown {
                        queued.unconfirmed_in = Some(sequence);
                    }
                    self.waiting.push_front(queued);
                }
            }
        }
        self.next_append = now + backoff(self.failures);
        self.failures = self.failures.saturating_add(1);
    }

    /// Handles that a batch of this process was read back from the log.
    pub fn on_landed(&mut self, now: Timestamp, landed_sequence: u64) {
        if let Some(InFlight::Batch { sequence, landed, .. }) = &mut self.in_flight {
            *landed |= *sequence == landed_sequence;
        }
        let waiting = self.waiting.len();
        self.waiting.retain(|queued| queued.unconfirmed_in != Some(landed_sequence));
        if self.waiting.len() < waiting {
            self.failures = 0;
            self.next_append = self.next_append.min(now + self.append_interval);
        }
    }
}

impl QueuedEntry {
    fn is_claim(&self) -> bool {
        matches!(self.entry.statement, ClaimStatement::Claim { .. })
    }
}

/// Returns the backoff after a failed append that follows this many failures.
fn backoff(failures: u32) -> Duration {
    MIN_BACKOFF.saturating_mul(1 << failures.min(16)).min(MAX_BACKOFF)
}
