//! Replays the log's claim records in offset order to decide which host may run the request of each
//! idempotency key.
//!
//! The fold is deterministic: entry hosts that have folded the same records have the same state, so
//! they need no further coordination. The rules and their safety argument are in
//! `docs/design/idempotency.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::claim_codec::encode_key;
use crate::claim_record::ClaimBatch;
use crate::claim_record::ClaimEntry;
use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimNonce;
use crate::claim_record::ClaimStatement;
use crate::claim_record::KeyHolder;
use crate::claim_record::KeyRecord;
use crate::claim_record::MAX_CLAIM_AGE_MS;
use crate::claim_record::MAX_KEY_RETENTION_MS;
use crate::claim_record::StoredAnswer;
use crate::ids::LogOffset;

/// State of a key according to the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState<'a> {
    /// There is no unexpired record of the key.
    Unseen,
    /// No claim is in force and the last void is at the offset; claims whose basis is not above the
    /// offset are invalid.
    Voided(LogOffset),
    /// A claim is in force.
    Held(&'a KeyHolder),
    /// Records of the key may have been missed.
    Unknown,
}

/// Memory usage of a fold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoldUsage {
    /// Unexpired keys.
    pub keys: usize,
    /// Size of the stored answers in bytes.
    pub answer_bytes: usize,
}

/// State of every unexpired key.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    position: LogOffset,
    clock_ms: u64,
    trusted_from_ms: u64,
    keys: BTreeMap<ClaimKey, FoldEntry>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    /// Retention periods in use, each with the expiry time of the last key that has it, both in
    /// milliseconds.
    retentions: BTreeMap<u64, u64>,
    answer_bytes: usize,
}

#[derive(Clone, Debug)]
struct FoldEntry {
    record: KeyRecord,
    unknown: bool,
}

impl ClaimFold {
    /// Builds the fold of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds a fold that starts at an offset and has missed the records before it.
    ///
    /// The state of every key is unknown until the log's clock reaches `trusted_from_ms`. A key
    /// with a record before that time stays unknown until that record has expired.
    pub fn with_gap(position: LogOffset, trusted_from_ms: u64) -> Self {
        Self { position, trusted_from_ms, ..Self::default() }
    }

    /// Builds the fold that a checkpoint describes.
    pub fn from_checkpoint(
        covered: LogOffset,
        clock_ms: u64,
        keys: BTreeMap<ClaimKey, KeyRecord>,
    ) -> Self {
        let mut fold = Self { position: covered, clock_ms, ..Self::default() };
        for (key, record) in keys {
            fold.expiry.insert((record.expires_ms, key));
            fold.answer_bytes += answer_bytes(&record);
            fold.keys.insert(key, FoldEntry { record, unknown: false });
        }
        // A checkpoint does not contain the retention of its keys.
        fold.retentions.insert(MAX_KEY_RETENTION_MS, fold.horizon_ms());
        fold
    }

    /// Returns the offset of the next record to fold.
    pub fn position(&self) -> LogOffset {
        self.position
    }

    /// Returns the latest append time of a folded record, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the log time from which keys without a record are known to be unseen.
    pub fn trusted_from_ms(&self) -> u64 {
        self.trusted_from_ms
    }

    /// Lowers the log time from which keys without a record are known to be unseen.
    pub fn lower_trusted_from(&mut self, trusted_from_ms: u64) {
        self.trusted_from_ms = self.trusted_from_ms.min(trusted_from_ms);
    }

    /// Returns the log time at which the last key expires.
    pub fn horizon_ms(&self) -> u64 {
        self.expiry.last().map_or(self.clock_ms, |(expires_ms, _)| *expires_ms)
    }

    /// Returns the longest retention of an unexpired key, in milliseconds.
    pub fn retention_bound_ms(&self) -> u64 {
        let live = |(_, expires_ms): &(&u64, &u64)| **expires_ms > self.clock_ms;
        self.retentions.iter().rev().find(live).map_or(0, |(retention_ms, _)| *retention_ms)
    }

    /// Returns the usage without the keys that have expired at log time `now_ms`.
    pub fn usage(&self, now_ms: u64) -> FoldUsage {
        let expired = self.expiry.iter().take_while(|(expires_ms, _)| *expires_ms <= now_ms);
        let mut usage = FoldUsage { keys: self.keys.len(), answer_bytes: self.answer_bytes };
        for (_, key) in expired {
            usage.keys -= 1;
            usage.answer_bytes -= self.keys.get(key).map_or(0, |entry| answer_bytes(&entry.record));
        }
        usage
    }

    /// Returns the state of a key at log time `now_ms`.
    ///
    /// Keys that have expired by then count as removed: the next record that is folded removes them
    /// before it is applied.
    pub fn state(&self, key: ClaimKey, now_ms: u64) -> KeyState<'_> {
        let remembered = self.keys.get(&key).filter(|entry| entry.record.expires_ms > now_ms);
        let Some(entry) = remembered else {
            let trusted = now_ms.max(self.clock_ms) >= self.trusted_from_ms;
            return if trusted { KeyState::Unseen } else { KeyState::Unknown };
        };
        match (&entry.record.holder, entry.record.last_void) {
            _ if entry.unknown => KeyState::Unknown,
            (Some(holder), _) => KeyState::Held(holder),
            (None, Some(last_void)) => KeyState::Voided(last_void),
            (None, None) => KeyState::Unseen,
        }
    }

    /// Returns the encoded keys, sorted by key.
    pub fn encoded_keys(&self) -> Vec<Vec<u8>> {
        self.keys.iter().map(|(key, entry)| encode_key(*key, &entry.record)).collect()
    }

    /// Returns whether the fold has seen every record of every unexpired key.
    pub fn is_complete(&self) -> bool {
        let trusted = self.clock_ms >= self.trusted_from_ms;
        trusted && self.keys.values().all(|entry| !entry.unknown)
    }

    /// Returns a hash of position, clock and every key; equal folds have equal hashes.
    pub fn digest(&self) -> [u8; 16] {
        let keys = self.encoded_keys();
        digest_keys(self.position, self.clock_ms, keys.iter().map(Vec::as_slice))
    }

    /// Advances past a record that is not a batch; returns the keys whose state changed.
    pub fn skip(&mut self, offset: LogOffset, appended_ms: u64) -> BTreeSet<ClaimKey> {
        self.position = offset.next();
        self.clock_ms = self.clock_ms.max(appended_ms);
        self.expire_keys()
    }

    /// Folds one batch; returns the keys whose state changed.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        appended_ms: u64,
        batch: &ClaimBatch,
    ) -> BTreeSet<ClaimKey> {
        let mut changed = self.skip(offset, appended_ms);
        for entry in &batch.entries {
            if self.apply_entry(offset, batch, entry) {
                changed.insert(entry.key);
            }
        }
        changed
    }

    fn expire_keys(&mut self) -> BTreeSet<ClaimKey> {
        let mut expired = BTreeSet::new();
        self.retentions.retain(|_, expires_ms| *expires_ms > self.clock_ms);
        while let Some(&(expires_ms, key)) = self.expiry.first() {
            if expires_ms > self.clock_ms {
                break;
            }
            self.expiry.pop_first();
            if let Some(entry) = self.keys.remove(&key) {
                self.answer_bytes -= answer_bytes(&entry.record);
            }
            expired.insert(key);
        }
        expired
    }

    /// Applies one entry; returns whether the state of its key changed.
    fn apply_entry(&mut self, offset: LogOffset, batch: &ClaimBatch, entry: &ClaimEntry) -> bool {
        if matches!(self.state(entry.key, self.clock_ms), KeyState::Unknown) {
            self.mark_unknown(entry.key, batch.retention_ms);
            return true;
        }
        let changed = match &entry.statement {
            ClaimStatement::Claim { fingerprint, basis } => {
                let holder = KeyHolder {
                    claimant: batch.claimant.clone(),
                    nonce: entry.nonce,
                    offset,
                    fingerprint: *fingerprint,
                    answer: None,
                };
                let too_old = self.clock_ms > batch.checked_ms.saturating_add(MAX_CLAIM_AGE_MS);
                !too_old && self.apply_claim(entry.key, *basis, holder)
            }
            ClaimStatement::Void => self.apply_void(offset, batch, entry.key, entry.nonce),
            ClaimStatement::Completion(answer) => self.apply_completion(batch, entry, answer),
        };
        if changed {
            self.extend_expiry(entry.key, batch.retention_ms);
        }
        changed
    }

    fn apply_claim(&mut self, key: ClaimKey, basis: LogOffset, holder: KeyHolder) -> bool {
        let record = self.record_mut(key);
        let wins =
            record.holder.is_none() && record.last_void.is_none_or(|last_void| basis > last_void);
        if wins {
            record.holder = Some(holder);
        }
        wins
    }

    fn apply_void(
        &mut self,
        offset: LogOffset,
        batch: &ClaimBatch,
        key: ClaimKey,
        nonce: ClaimNonce,
    ) -> bool {
        let record = self.record_mut(key);
        let held_by_other =
            record.holder.as_ref().is_some_and(|holder| !is_claim_of(holder, batch, nonce));
        // A completed claim was dispatched, so it can no longer be voided.
        let completed = record.holder.as_ref().is_some_and(|holder| holder.answer.is_some());
        if held_by_other || completed {
            return false;
        }
        record.holder = None;
        record.last_void = Some(offset);
        true
    }

    fn apply_completion(
        &mut self,
        batch: &ClaimBatch,
        entry: &ClaimEntry,
        answer: &StoredAnswer,
    ) -> bool {
        let found = self.keys.get_mut(&entry.key);
        let Some(holder) = found.and_then(|found| found.record.holder.as_mut()) else {
            return false;
        };
        if holder.answer.is_some() || !is_claim_of(holder, batch, entry.nonce) {
            return false;
        }
        holder.answer = Some(Box::new(answer.clone()));
        self.answer_bytes += answer.size_bytes();
        true
    }

    /// Returns the record of a key, inserting an empty one if needed; call [`Self::extend_expiry`]
    /// afterwards.
    fn record_mut(&mut self, key: ClaimKey) -> &mut KeyRecord {
        let empty = || FoldEntry {
            record: KeyRecord { expires_ms: 0, last_void: None, holder: None },
            unknown: false,
        };
        &mut self.keys.entry(key).or_insert_with(empty).record
    }

    fn mark_unknown(&mut self, key: ClaimKey, retention_ms: u64) {
        self.record_mut(key);
        if let Some(entry) = self.keys.get_mut(&key) {
            entry.unknown = true;
        }
        self.extend_expiry(
            key,
            retention_ms.max(self.trusted_from_ms.saturating_sub(self.clock_ms)),
        );
    }

    fn extend_expiry(&mut self, key: ClaimKey, retention_ms: u64) {
        let expires_ms = self.clock_ms.saturating_add(retention_ms);
        let Some(entry) = self.keys.get_mut(&key) else { return };
        if expires_ms > entry.record.expires_ms {
            self.expiry.remove(&(entry.record.expires_ms, key));
            entry.record.expires_ms = expires_ms;
            self.expiry.insert((expires_ms, key));
        }
        let latest_ms = self.retentions.entry(retention_ms).or_default();
        *latest_ms = expires_ms.max(*latest_ms);
    }
}

/// Returns a hash of a fold's position, clock and encoded keys.
pub fn digest_keys<'a>(
    position: LogOffset,
    clock_ms: u64,
    keys: impl Iterator<Item = &'a [u8]>,
) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&position.0.to_le_bytes());
    hasher.update(&clock_ms.to_le_bytes());
    for key in keys {
        hasher.update(key);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

fn is_claim_of(holder: &KeyHolder, batch: &ClaimBatch, nonce: ClaimNonce) -> bool {
    holder.nonce == nonce && holder.claimant == batch.claimant
}

fn answer_bytes(record: &KeyRecord) -> usize {
    let answer = record.holder.as_ref().and_then(|holder| holder.answer.as_deref());
    answer.map_or(0, StoredAnswer::size_bytes)
}
