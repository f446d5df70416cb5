//! Encodes and decodes claim records.

use prost::Message;

use crate::claim_record::BatchKnowledge;
use crate::claim_record::CheckpointPart;
use crate::claim_record::ClaimBatch;
use crate::claim_record::ClaimEntry;
use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimNonce;
use crate::claim_record::ClaimRecord;
use crate::claim_record::ClaimStatement;
use crate::claim_record::Claimant;
use crate::claim_record::KeyHolder;
use crate::claim_record::KeyRecord;
use crate::claim_record::MAX_KEY_RETENTION_MS;
use crate::claim_record::MIN_KEY_RETENTION_MS;
use crate::claim_record::RequestFingerprint;
use crate::claim_record::StoredAnswer;
use crate::claim_record::WholeAnswer;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::protos::claims as wire;
use crate::record_error::RecordError;
use crate::record_error::Result;
use crate::record_error::check_version;
use crate::record_error::decode_message;
use crate::result_code::ResultCode;

/// Version of the record format; records of another version are rejected.
pub const RECORD_VERSION: u32 = 1;

/// Encodes a batch of entries.
pub fn encode_batch(batch: &ClaimBatch) -> Vec<u8> {
    let record = wire::ClaimRecord {
        sequence: batch.sequence,
        retention_ms: batch.retention_ms,
        checked_ms: batch.checked_ms,
        entry_count: u32::try_from(batch.entries.len()).unwrap_or(u32::MAX),
        entries: batch.entries.iter().map(entry_to_wire).collect(),
        knowledge: batch.knowledge.map(knowledge_to_wire),
        ..record_of(&batch.claimant)
    };
    record.encode_to_vec()
}

/// Encodes one part of a checkpoint.
pub fn encode_checkpoint(writer: &Claimant, part: CheckpointPart) -> Vec<u8> {
    let wire_part = wire::CheckpointPart {
        covered: part.covered.0,
        index: part.index,
        count: part.count,
        digest: part.digest.to_vec(),
        entries: part.keys,
        clock_ms: part.clock_ms,
    };
    let record = wire::ClaimRecord { checkpoint: Some(wire_part), ..record_of(writer) };
    record.encode_to_vec()
}

/// Returns the most bytes that an entry can add to a batch.
pub fn entry_bytes(entry: &ClaimEntry) -> usize {
    const TAG_AND_LENGTH_BYTES: usize = 6;
    entry_to_wire(entry).encoded_len() + TAG_AND_LENGTH_BYTES
}

/// Returns the canonical encoding of one key of a checkpoint.
pub fn encode_key(key: ClaimKey, record: &KeyRecord) -> Vec<u8> {
    key_to_wire(key, record).encode_to_vec()
}

/// Decodes one key of a checkpoint.
pub fn decode_key(data: &[u8]) -> Result<(ClaimKey, KeyRecord)> {
    let entry: wire::CheckpointEntry = decode_message(data)?;
    let record = KeyRecord {
        expires_ms: entry.expires_ms,
        last_void: entry.floor_next.checked_sub(1).map(LogOffset),
        holder: entry.holder.map(holder_from_wire).transpose()?,
    };
    Ok((key_from_wire(&entry.key)?, record))
}

/// Decodes one record of the stream.
pub fn decode_record(data: &[u8]) -> Result<ClaimRecord> {
    let record: wire::ClaimRecord = decode_message(data)?;
    check_version(record.version, RECORD_VERSION)?;
    match record.checkpoint {
        Some(part) => Ok(ClaimRecord::Checkpoint(checkpoint_from_wire(part)?)),
        None => Ok(ClaimRecord::Batch(batch_from_wire(record)?)),
    }
}

fn record_of(claimant: &Claimant) -> wire::ClaimRecord {
    wire::ClaimRecord {
        version: RECORD_VERSION,
        host: claimant.host.as_str().to_owned(),
        incarnation: claimant.incarnation.0,
        ..Default::default()
    }
}

fn batch_from_wire(record: wire::ClaimRecord) -> Result<ClaimBatch> {
    let whole = u32::try_from(record.entries.len()).is_ok_and(|found| found == record.entry_count);
    let empty = record.entries.is_empty() && record.knowledge.is_none();
    if empty || !whole {
        return Err(RecordError::Malformed("entry count"));
    }
    Ok(ClaimBatch {
        claimant: claimant_from_wire(record.host, record.incarnation)?,
        sequence: record.sequence,
        retention_ms: record.retention_ms.clamp(MIN_KEY_RETENTION_MS, MAX_KEY_RETENTION_MS),
        checked_ms: record.checked_ms,
        entries: record.entries.into_iter().map(entry_from_wire).collect::<Result<_>>()?,
        knowledge: record.knowledge.map(knowledge_from_wire),
    })
}

fn knowledge_to_wire(knowledge: BatchKnowledge) -> wire::Knowledge {
    wire::Knowledge {
        folded: knowledge.folded.0,
        bound_ms: knowledge.bound_ms,
        horizon_ms: knowledge.horizon_ms,
    }
}

fn knowledge_from_wire(knowledge: wire::Knowledge) -> BatchKnowledge {
    BatchKnowledge {
        folded: LogOffset(knowledge.folded),
        bound_ms: knowledge.bound_ms,
        horizon_ms: knowledge.horizon_ms,
    }
}

fn claimant_from_wire(host: String, incarnation: u64) -> Result<Claimant> {
    let host = HostId::try_from(host).map_err(|_| RecordError::Malformed("host"))?;
    Ok(Claimant { host, incarnation: Incarnation(incarnation) })
}

fn entry_to_wire(entry: &ClaimEntry) -> wire::ClaimEntry {
    use wire::claim_entry::Kind;
    let kind = match &entry.statement {
        ClaimStatement::Claim { fingerprint, basis } => {
            Kind::Claim(wire::Claim { fingerprint: fingerprint.0, basis: basis.0 })
        }
        ClaimStatement::Void => Kind::Void(wire::Void {}),
        ClaimStatement::Completion(answer) => Kind::Completion(answer_to_wire(answer)),
    };
    wire::ClaimEntry { key: entry.key.0.to_vec(), nonce: entry.nonce.0, kind: Some(kind) }
}

fn entry_from_wire(entry: wire::ClaimEntry) -> Result<ClaimEntry> {
    use wire::claim_entry::Kind;
    let statement = match entry.kind.ok_or(RecordError::Malformed("statement"))? {
        Kind::Claim(claim) => ClaimStatement::Claim {
            fingerprint: RequestFingerprint(claim.fingerprint),
            basis: LogOffset(claim.basis),
        },
        Kind::Void(_) => ClaimStatement::Void,
        Kind::Completion(completion) => ClaimStatement::Completion(answer_from_wire(completion)?),
    };
    Ok(ClaimEntry { key: key_from_wire(&entry.key)?, nonce: ClaimNonce(entry.nonce), statement })
}

fn key_from_wire(key: &[u8]) -> Result<ClaimKey> {
    key.try_into().map(ClaimKey).map_err(|_| RecordError::Malformed("key"))
}

fn answer_to_wire(answer: &StoredAnswer) -> wire::Completion {
    use wire::completion::Outcome;
    let outcome = match answer {
        StoredAnswer::Whole(answer) => Outcome::Whole(wire::WholeAnswer {
            status: u32::from(answer.status),
            headers: answer.headers.iter().map(header_to_wire).collect(),
            body: answer.body.clone(),
        }),
        StoredAnswer::Failed(code) => Outcome::Code(u32::from(code.number())),
        StoredAnswer::Reference(request) => Outcome::Reference(wire::AnswerReference {
            request_origin: request.origin,
            request_sequence: request.sequence,
        }),
    };
    wire::Completion { outcome: Some(outcome) }
}

fn header_to_wire((name, value): &(String, String)) -> wire::AnswerHeader {
    wire::AnswerHeader { name: name.clone(), value: value.clone() }
}

fn answer_from_wire(completion: wire::Completion) -> Result<StoredAnswer> {
    use wire::completion::Outcome;
    match completion.outcome.ok_or(RecordError::Malformed("completion"))? {
        Outcome::Whole(answer) => Ok(StoredAnswer::Whole(WholeAnswer {
            status: u16::try_from(answer.status).map_err(|_| RecordError::Malformed("status"))?,
            headers: answer.headers.into_iter().map(|pair| (pair.name, pair.value)).collect(),
            body: answer.body,
        })),
        Outcome::Code(number) => u16::try_from(number)
            .ok()
            .and_then(ResultCode::from_number)
            .map(StoredAnswer::Failed)
            .ok_or(RecordError::Malformed("result code")),
        Outcome::Reference(reference) => Ok(StoredAnswer::Reference(RequestId {
            origin: reference.request_origin,
            sequence: reference.request_sequence,
        })),
    }
}

fn key_to_wire(key: ClaimKey, record: &KeyRecord) -> wire::CheckpointEntry {
    wire::CheckpointEntry {
        key: key.0.to_vec(),
        expires_ms: record.expires_ms,
        floor_next: record.last_void.map_or(0, |last_void| last_void.next().0),
        holder: record.holder.as_ref().map(holder_to_wire),
    }
}

fn holder_to_wire(holder: &KeyHolder) -> wire::CheckpointHolder {
    wire::CheckpointHolder {
        host: holder.claimant.host.as_str().to_owned(),
        incarnation: holder.claimant.incarnation.0,
        nonce: holder.nonce.0,
        offset: holder.offset.0,
        fingerprint: holder.fingerprint.0,
        completion: holder.answer.as_deref().map(answer_to_wire),
    }
}

fn checkpoint_from_wire(part: wire::CheckpointPart) -> Result<CheckpointPart> {
    if part.index >= part.count {
        return Err(RecordError::Malformed("part index"));
    }
    Ok(CheckpointPart {
        covered: LogOffset(part.covered),
        clock_ms: part.clock_ms,
        index: part.index,
        count: part.count,
        digest: part.digest.try_into().map_err(|_| RecordError::Malformed("digest"))?,
        keys: part.entries,
    })
}

fn holder_from_wire(holder: wire::CheckpointHolder) -> Result<KeyHolder> {
    Ok(KeyHolder {
        claimant: claimant_from_wire(holder.host, holder.incarnation)?,
        nonce: ClaimNonce(holder.nonce),
        offset: LogOffset(holder.offset),
        fingerprint: RequestFingerprint(holder.fingerprint),
        answer: holder.completion.map(answer_from_wire).transpose()?.map(Box::new),
    })
}
