//! Splits the claim fold into checkpoint records and reassembles it from them.

use std::collections::BTreeMap;

use crate::claim_codec::decode_key;
use crate::claim_codec::encode_checkpoint;
use crate::claim_fold::ClaimFold;
use crate::claim_fold::digest_keys;
use crate::claim_record::CheckpointPart;
use crate::claim_record::Claimant;
use crate::ids::LogOffset;
use crate::log_service::MAX_RECORD_BYTES;
use crate::record_error::Result;
use crate::result_code::ResultCode;

/// Largest size of the keys in one part; the rest of the record is left for its fixed fields.
const PART_KEY_BYTES: usize = MAX_RECORD_BYTES - 1_024;

/// Encoding overhead of one key in the list, in bytes.
const KEY_FRAME_BYTES: usize = 6;

/// Incomplete checkpoints that are kept at a time.
const MAX_PARTIAL_CHECKPOINTS: usize = 4;

/// Encodes the fold as checkpoint records in order, or returns `None` if the fold has gaps.
pub fn checkpoint_records(writer: &Claimant, fold: &ClaimFold) -> Option<Vec<Vec<u8>>> {
    if !fold.is_complete() {
        return None;
    }
    let (covered, clock_ms) = (fold.position(), fold.clock_ms());
    let keys = fold.encoded_keys();
    let digest = digest_keys(covered, clock_ms, keys.iter().map(Vec::as_slice));
    let parts = split_into_parts(keys);
    let count = u32::try_from(parts.len()).ok()?;
    let encode = |(index, keys)| {
        let part = CheckpointPart { covered, clock_ms, index, count, digest, keys };
        encode_checkpoint(writer, part)
    };
    Some((0..count).zip(parts).map(encode).collect())
}

/// Splits encoded keys into as many parts as their size requires, at least one.
fn split_into_parts(keys: Vec<Vec<u8>>) -> Vec<Vec<Vec<u8>>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for key in keys {
        let key_bytes = key.len() + KEY_FRAME_BYTES;
        if part_bytes + key_bytes > PART_KEY_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += key_bytes;
        part.push(key);
    }
    parts.push(part);
    parts
}

/// Reassembles checkpoints from their parts, which may arrive out of order and interleaved.
#[derive(Clone, Debug, Default)]
pub struct CheckpointAssembler {
    partial: BTreeMap<(LogOffset, [u8; 16]), BTreeMap<u32, CheckpointPart>>,
    mismatches: u64,
}

impl CheckpointAssembler {
    /// Returns the number of checkpoints whose digest did not match their keys.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Adds one part; returns the fold once its checkpoint is complete.
    ///
    /// Only the newest few incomplete checkpoints are kept.
    pub fn on_part(&mut self, part: CheckpointPart) -> Option<ClaimFold> {
        let id = (part.covered, part.digest);
        let count = part.count;
        let parts = self.partial.entry(id).or_default();
        parts.insert(part.index, part);
        let complete = u32::try_from(parts.len()).is_ok_and(|found| found >= count);
        if !complete {
            self.drop_oldest();
            return None;
        }
        let parts = self.partial.remove(&id)?;
        let fold = assemble_parts(id.0, id.1, parts);
        if fold.is_none() {
            self.mismatches += 1;
            let code = ResultCode::DigestMismatch;
            log::warn!("offset={} code={code} claims checkpoint skipped", id.0.0);
        }
        fold
    }

    fn drop_oldest(&mut self) {
        while self.partial.len() > MAX_PARTIAL_CHECKPOINTS {
            self.partial.pop_first();
        }
    }
}

fn assemble_parts(
    covered: LogOffset,
    digest: [u8; 16],
    parts: BTreeMap<u32, CheckpointPart>,
) -> Option<ClaimFold> {
    let clock_ms = parts.values().next()?.clock_ms;
    let keys: Vec<Vec<u8>> = parts.into_values().flat_map(|part| part.keys).collect();
    if digest_keys(covered, clock_ms, keys.iter().map(Vec::as_slice)) != digest {
        return None;
    }
    let records = keys.iter().map(|key| decode_key(key)).collect::<Result<_>>().ok()?;
    Some(ClaimFold::from_checkpoint(covered, clock_ms, records))
}
