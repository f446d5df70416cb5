//! Checkpoints of the configuration fold: encoding with a digest, splitting and reassembly.
//!
//! The same bytes are written to the log and sent to a peer that starts during a log outage. The
//! encoding is deterministic: hosts that have folded the same records write the same bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message as _;

use crate::config_fold::ChangeDetail;
use crate::config_fold::ChangeOutcome;
use crate::config_fold::ConfigFold;
use crate::config_fold::KnownChange;
use crate::config_fold::MAX_KNOWN_CHANGES;
use crate::config_record::ChangeAuthor;
use crate::config_record::ChangeId;
use crate::config_record::CheckpointPart;
use crate::config_record::ContentHash;
use crate::config_record::RECORD_VERSION;
use crate::config_record::read_array;
use crate::ids::HostId;
use crate::ids::LogOffset;
use crate::log_service::LogRecord;
use crate::protos::config as proto;
use crate::record_error::RecordError;
use crate::record_error::Result;
use crate::record_error::check_version;
use crate::resource::ConfigState;
use crate::resource_error::ResourceError;
use crate::resource_key::ResourceKey;
use crate::resource_key::ResourceKind;
use crate::result_code::ResultCode;

/// Maximum number of checkpoint bytes in one record.
pub const MAX_PART_BYTES: usize = 192 * 1024;

/// Maximum number of parts of one checkpoint.
pub const MAX_PARTS: u32 = 64;

/// Maximum number of incomplete checkpoints whose parts are kept.
const MAX_PARTIAL_CHECKPOINTS: usize = 4;

/// A checkpoint as it is stored in the log and sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCheckpoint {
    /// blake3 hash of the bytes.
    pub digest: [u8; 32],
    /// Encoded checkpoint.
    pub data: Vec<u8>,
}

impl EncodedCheckpoint {
    /// Splits the checkpoint into parts that fit into records.
    pub fn split(&self) -> Vec<CheckpointPart> {
        let chunks: Vec<&[u8]> = self.data.chunks(MAX_PART_BYTES).collect();
        let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        (0..count)
            .zip(chunks)
            .map(|(index, data)| CheckpointPart {
                digest: self.digest,
                index,
                count,
                data: data.to_vec(),
            })
            .collect()
    }
}

impl ConfigFold {
    /// Encodes the fold as a checkpoint.
    pub fn to_checkpoint(&self) -> EncodedCheckpoint {
        let checkpoint = proto::Checkpoint {
            version: RECORD_VERSION,
            next_offset: self.next_offset.0,
            revision: self.revision.map(|offset| offset.0),
            document: self.state.to_json(),
            drained: self.state.drained.iter().map(ToString::to_string).collect(),
            horizon: self.horizon.map(|offset| offset.0),
            resources: self.written.iter().map(write_resource).collect(),
            changes: self.changes.values().map(write_known).collect(),
            appended_ms: self.appended_ms,
        };
        let data = checkpoint.encode_to_vec();
        EncodedCheckpoint { digest: *blake3::hash(&data).as_bytes(), data }
    }

    /// Verifies the digest of a checkpoint and decodes it.
    pub fn from_checkpoint(checkpoint: &EncodedCheckpoint) -> Result<Self> {
        if *blake3::hash(&checkpoint.data).as_bytes() != checkpoint.digest {
            return Err(RecordError::DigestMismatch);
        }
        let raw = proto::Checkpoint::decode(checkpoint.data.as_slice())
            .map_err(|_| RecordError::Malformed("checkpoint is not protobuf"))?;
        check_version(raw.version, RECORD_VERSION)?;
        read_checkpoint(raw)
    }
}

fn write_resource((key, revision): (&ResourceKey, &LogOffset)) -> proto::ResourceRevision {
    proto::ResourceRevision {
        kind: key.proto_kind().into(),
        drain: matches!(key, ResourceKey::Host(_)),
        name: key.name().to_owned(),
        revision: revision.0,
    }
}

fn write_known(change: &KnownChange) -> proto::KnownChange {
    let detail = change.detail.clone().unwrap_or_default();
    let mut raw = proto::KnownChange {
        change_id: change.id.0.to_vec(),
        offset: change.offset.0,
        content: change.content.0.to_vec(),
        operator: detail.author.operator,
        token_id: detail.author.token_id,
        wall_ms: detail.wall_ms,
        summary: detail.summary,
        ..Default::default()
    };
    match &change.outcome {
        ChangeOutcome::Accepted => {}
        ChangeOutcome::Conflict(current) => {
            raw.code = u32::from(ResultCode::ConfigConflict.number());
            raw.current_revision = current.map(|offset| offset.0);
        }
        ChangeOutcome::Rejected(error) => {
            raw.code = u32::from(error.code.number());
            raw.path = error.path.clone();
            raw.message = error.message.clone();
        }
    }
    raw
}

fn read_checkpoint(raw: proto::Checkpoint) -> Result<ConfigFold> {
    let mut fold = ConfigFold::starting_at(LogOffset(raw.next_offset));
    let mut state = ConfigState::from_json(&raw.document)
        .map_err(|_| RecordError::Malformed("checkpoint contains an invalid configuration"))?;
    for host in &raw.drained {
        state.drained.insert(HostId::try_from(host.as_str())?);
    }
    fold.state = Arc::new(state);
    fold.revision = raw.revision.map(LogOffset);
    fold.horizon = raw.horizon.map(LogOffset);
    fold.appended_ms = raw.appended_ms;
    for resource in raw.resources {
        let (key, revision) = read_resource(&resource)?;
        fold.written.insert(key, revision);
    }
    if raw.changes.len() > MAX_KNOWN_CHANGES {
        return Err(RecordError::Malformed("checkpoint contains too many known changes"));
    }
    for change in raw.changes {
        let known = read_known(change)?;
        fold.ids.insert(known.id, known.offset);
        fold.changes.insert(known.offset, known);
    }
    check_offsets(&fold)?;
    Ok(fold)
}

/// Checks that the fold refers to no offset at or after its next offset.
fn check_offsets(fold: &ConfigFold) -> Result<()> {
    let newest_change = fold.changes.keys().next_back().copied();
    let newest_write = fold.written.values().max().copied();
    let newest = fold.revision.max(fold.horizon).max(newest_change).max(newest_write);
    if newest >= Some(fold.next_offset) {
        return Err(RecordError::Malformed(
            "checkpoint refers to an offset that it does not cover",
        ));
    }
    if fold.ids.len() != fold.changes.len() {
        return Err(RecordError::Malformed("checkpoint contains a change id twice"));
    }
    Ok(())
}

fn read_resource(raw: &proto::ResourceRevision) -> Result<(ResourceKey, LogOffset)> {
    let key = match (raw.drain, ResourceKind::from_proto(raw.kind())) {
        (true, _) => HostId::try_from(raw.name.as_str()).map(ResourceKey::Host),
        (false, Some(kind)) => ResourceKey::parse(kind, &raw.name),
        (false, None) => return Err(RecordError::Malformed("unknown kind of resource")),
    };
    Ok((key?, LogOffset(raw.revision)))
}

fn read_known(raw: proto::KnownChange) -> Result<KnownChange> {
    let number = u16::try_from(raw.code).unwrap_or(u16::MAX);
    let code =
        ResultCode::from_number(number).ok_or(RecordError::Malformed("result code is unknown"))?;
    let outcome = match code {
        ResultCode::Complete => ChangeOutcome::Accepted,
        ResultCode::ConfigConflict => ChangeOutcome::Conflict(raw.current_revision.map(LogOffset)),
        _ => ChangeOutcome::Rejected(ResourceError::new(code, raw.path, raw.message)),
    };
    // Every change has at least one operation, so an empty summary means that no detail is kept.
    let detail = (!raw.summary.is_empty()).then_some(ChangeDetail {
        author: ChangeAuthor { operator: raw.operator, token_id: raw.token_id },
        wall_ms: raw.wall_ms,
        summary: raw.summary,
    });
    Ok(KnownChange {
        id: ChangeId(read_array(&raw.change_id)?),
        offset: LogOffset(raw.offset),
        content: ContentHash(read_array(&raw.content)?),
        outcome,
        detail,
    })
}

/// A checkpoint reassembled from its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinedCheckpoint {
    /// The checkpoint; its digest is not verified yet.
    pub checkpoint: EncodedCheckpoint,
    /// Offset of the first part.
    pub first_offset: LogOffset,
    /// Append time of the first part, in milliseconds since the Unix epoch.
    pub first_ms: u64,
}

/// Reassembles checkpoints from parts that may be duplicated and interleaved.
#[derive(Clone, Debug, Default)]
pub struct CheckpointAssembler {
    partial: BTreeMap<[u8; 32], PartialCheckpoint>,
    arrivals: u64,
}

#[derive(Clone, Debug)]
struct PartialCheckpoint {
    parts: BTreeMap<u32, Vec<u8>>,
    count: u32,
    first_offset: LogOffset,
    first_ms: u64,
    last_arrival: u64,
}

impl CheckpointAssembler {
    /// Adds the part in a record; returns the checkpoint once all of its parts have arrived.
    ///
    /// The digest is verified by [`ConfigFold::from_checkpoint`], not here. Only the few incomplete
    /// checkpoints that most recently received a part are kept.
    pub fn add(
        &mut self,
        record: &LogRecord,
        part: CheckpointPart,
    ) -> Result<Option<JoinedCheckpoint>> {
        if part.count > MAX_PARTS || part.data.len() > MAX_PART_BYTES {
            return Err(RecordError::Malformed("checkpoint part is larger than allowed"));
        }
        self.arrivals += 1;
        let partial = self.partial.entry(part.digest).or_insert_with(|| PartialCheckpoint {
            parts: BTreeMap::new(),
            count: part.count,
            first_offset: record.offset,
            first_ms: record.appended_ms,
            last_arrival: 0,
        });
        if partial.count != part.count {
            return Err(RecordError::Malformed(
                "parts of one checkpoint disagree on the part count",
            ));
        }
        partial.last_arrival = self.arrivals;
        partial.parts.insert(part.index, part.data);
        if partial.parts.len() < partial.count as usize {
            self.evict_oldest();
            return Ok(None);
        }
        let joined = self.partial.remove(&part.digest).map(|whole| JoinedCheckpoint {
            checkpoint: EncodedCheckpoint {
                digest: part.digest,
                data: whole.parts.into_values().flatten().collect(),
            },
            first_offset: whole.first_offset,
            first_ms: whole.first_ms,
        });
        Ok(joined)
    }

    fn evict_oldest(&mut self) {
        if self.partial.len() <= MAX_PARTIAL_CHECKPOINTS {
            return;
        }
        let oldest = self.partial.iter().min_by_key(|(_, partial)| partial.last_arrival);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.partial.remove(&digest);
        }
    }
}
