//! Cuts the claim fold into checkpoint records and joins them again.

use std::collections::BTreeMap;

use crate::claim_codec::encode_checkpoint;
use crate::claim_codec::encode_key;
use crate::claim_fold::ClaimFold;
use crate::claim_fold::digest_records;
use crate::claim_record::CheckpointPart;
use crate::claim_record::ClaimKey;
use crate::claim_record::Claimant;
use crate::claim_record::KeyRecord;
use crate::ids::LogOffset;
use crate::log_service::MAX_RECORD_BYTES;
use crate::result_code::ResultCode;

/// Bytes of keys in one part; the rest of the record is its fixed fields.
const PART_KEY_BYTES: usize = MAX_RECORD_BYTES - 1_024;

/// Bytes that the list of keys adds to each key's own.
const KEY_FRAME_BYTES: usize = 6;

/// Checkpoints that are joined at a time.
const MAX_OPEN_CHECKPOINTS: usize = 4;

/// Encodes the fold as checkpoint records in order, or returns `None` if the fold has gaps.
pub fn cut_checkpoint(writer: &Claimant, fold: &ClaimFold) -> Option<Vec<Vec<u8>>> {
    let mut parts: Vec<Vec<(ClaimKey, KeyRecord)>> = vec![Vec::new()];
    let mut part_bytes = 0;
    for (key, record) in fold.records()? {
        let key_bytes = encode_key(key, record).len() + KEY_FRAME_BYTES;
        if part_bytes + key_bytes > PART_KEY_BYTES {
            parts.push(Vec::new());
            part_bytes = 0;
        }
        part_bytes += key_bytes;
        if let Some(part) = parts.last_mut() {
            part.push((key, record.clone()));
        }
    }
    let count = u32::try_from(parts.len()).ok()?;
    let digest = fold.digest();
    let encode = |(index, keys)| {
        let (covered, clock_ms) = (fold.position(), fold.clock_ms());
        encode_checkpoint(writer, &CheckpointPart { covered, clock_ms, index, count, digest, keys })
    };
    Some((0..count).zip(parts).map(encode).collect())
}

/// Joins the parts of checkpoints, in whatever order and however mixed they arrive.
#[derive(Clone, Debug, Default)]
pub struct CheckpointJoiner {
    open: BTreeMap<(LogOffset, [u8; 16]), BTreeMap<u32, CheckpointPart>>,
    mismatches: u64,
}

impl CheckpointJoiner {
    /// Returns the checkpoints whose digest did not match their keys.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Takes one part; returns the fold once its checkpoint is whole.
    ///
    /// Only the newest few unfinished checkpoints are kept.
    pub fn on_part(&mut self, part: CheckpointPart) -> Option<ClaimFold> {
        let id = (part.covered, part.digest);
        let count = part.count;
        let parts = self.open.entry(id).or_default();
        parts.insert(part.index, part);
        let whole = u32::try_from(parts.len()).is_ok_and(|found| found >= count);
        if !whole {
            self.drop_oldest();
            return None;
        }
        let parts = self.open.remove(&id)?;
        let fold = join_parts(id.0, id.1, parts);
        if fold.is_none() {
            self.mismatches += 1;
            let code = ResultCode::DigestMismatch;
            log::warn!("offset={} code={code} claims checkpoint passed over", id.0.0);
        }
        fold
    }

    fn drop_oldest(&mut self) {
        while self.open.len() > MAX_OPEN_CHECKPOINTS {
            self.open.pop_first();
        }
    }
}

fn join_parts(
    covered: LogOffset,
    digest: [u8; 16],
    parts: BTreeMap<u32, CheckpointPart>,
) -> Option<ClaimFold> {
    let clock_ms = parts.values().next()?.clock_ms;
    let keys: BTreeMap<ClaimKey, KeyRecord> =
        parts.into_values().flat_map(|part| part.keys).collect();
    let records = keys.iter().map(|(key, record)| (*key, record));
    if digest_records(covered, clock_ms, records) != digest {
        return None;
    }
    Some(ClaimFold::from_checkpoint(covered, clock_ms, keys))
}
