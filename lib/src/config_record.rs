//! Records of the log stream "config": operators' changes and parts of checkpoints.
//!
//! A change holds its resources as JSON, the form that operators write. Validation and field paths
//! are defined on this form, so there is one decoder and one way to name a field.

use std::fmt;

use prost::Message as _;
use rand::Rng;

use crate::ids::HostId;
use crate::ids::LogOffset;
use crate::protos::config as proto;
use crate::record_error::RecordError;
use crate::record_error::Result;
use crate::record_error::check_version;
use crate::record_error::decode_message;
use crate::resource_key::ResourceKey;
use crate::resource_key::ResourceKind;

/// Version of the record format that this program writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// Maximum number of operations in one change.
pub const MAX_OPERATIONS: usize = 256;

/// Maximum length of an operator name or token id, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

/// Identity of a change; a retried change keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub [u8; 16]);

impl ChangeId {
    /// Generates a random id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// Parses 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(|number| Self(number.to_be_bytes()))
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Author of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeAuthor {
    /// Name of the operator.
    pub operator: String,
    /// Prefix of the hash of the token used, in hexadecimal.
    pub token_id: String,
}

/// The JSON form of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceBody {
    /// Kind of resource as which the text is validated.
    pub kind: ResourceKind,
    /// JSON text.
    pub json: String,
}

/// One operation of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResourceOperation {
    /// Creates a resource, which must not exist.
    Create(ResourceBody),
    /// Replaces the resource of the same name.
    Change(ResourceBody),
    /// Deletes a service, team or class.
    Delete(ResourceKey),
    /// Replaces all services, teams, classes and the policy by a document.
    PutWhole(String),
    /// Takes a host out of service.
    Drain(HostId),
    /// Puts a host back into service.
    Undrain(HostId),
    /// Replaces everything by a document, regardless of earlier records; must be the only operation
    /// of its change.
    Restore(String),
}

/// One change, which takes effect atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Identity.
    pub id: ChangeId,
    /// Revision that the change is based on; `None` for the empty configuration.
    pub base: Option<LogOffset>,
    /// Author.
    pub author: ChangeAuthor,
    /// Wall clock of the publishing host in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Operations in order.
    pub operations: Vec<ResourceOperation>,
}

/// Hash of the operations of a change, truncated to 16 bytes.
///
/// The base is not hashed: it decides whether a change takes effect, not what the change does, and
/// a retried change may have a newer base.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentHash(pub [u8; 16]);

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointPart {
    /// Hash of the whole checkpoint.
    pub digest: [u8; 32],
    /// Zero-based index of this part.
    pub index: u32,
    /// Number of parts, 1 or more.
    pub count: u32,
    /// Bytes of the part.
    pub data: Vec<u8>,
}

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRecord {
    /// A configuration change.
    Change(ConfigChange),
    /// One part of a checkpoint.
    CheckpointPart(CheckpointPart),
}

impl ResourceBody {
    /// Returns the key of the resource, or `None` if the text has no valid name.
    pub fn key(&self) -> Option<ResourceKey> {
        #[derive(serde::Deserialize)]
        struct NamedBody {
            #[serde(default)]
            name: String,
        }
        let body: NamedBody = serde_json::from_str(&self.json).ok()?;
        ResourceKey::parse(self.kind, &body.name).ok()
    }
}

impl ConfigChange {
    /// Returns the hash that detects reuse of an id with other content.
    pub fn content_hash(&self) -> ContentHash {
        let content = proto::ConfigChange {
            operations: self.operations.iter().map(write_operation).collect(),
            ..Default::default()
        };
        let mut hash = [0; 16];
        hash.copy_from_slice(&blake3::hash(&content.encode_to_vec()).as_bytes()[..16]);
        ContentHash(hash)
    }

    /// Returns whether this change replaces everything, regardless of earlier records.
    pub fn is_restore(&self) -> bool {
        matches!(self.operations.as_slice(), [ResourceOperation::Restore(_)])
    }
}

impl ConfigRecord {
    /// Encodes the record; fails if [`Self::decode`] would reject the result.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let body = match self {
            Self::Change(change) => proto::config_record::Body::Change(write_change(change)),
            Self::CheckpointPart(part) => {
                proto::config_record::Body::CheckpointPart(proto::CheckpointPart {
                    digest: part.digest.to_vec(),
                    index: part.index,
                    count: part.count,
                    data: part.data.clone(),
                })
            }
        };
        let record = proto::ConfigRecord { version: RECORD_VERSION, body: Some(body) };
        let data = record.encode_to_vec();
        Self::decode(&data)?;
        Ok(data)
    }

    /// Decodes a record.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let record: proto::ConfigRecord = decode_message(data)?;
        check_version(record.version, RECORD_VERSION)?;
        match record.body {
            Some(proto::config_record::Body::Change(raw)) => read_change(raw).map(Self::Change),
            Some(proto::config_record::Body::CheckpointPart(raw)) => {
                read_part(raw).map(Self::CheckpointPart)
            }
            None => Err(RecordError::Malformed("record has no body")),
        }
    }
}

/// Converts bytes to an array of fixed length.
pub(crate) fn read_array<const N: usize>(data: &[u8]) -> Result<[u8; N]> {
    data.try_into().map_err(|_| RecordError::Malformed("id or hash has a wrong length"))
}

fn write_change(change: &ConfigChange) -> proto::ConfigChange {
    proto::ConfigChange {
        change_id: change.id.0.to_vec(),
        base_revision: change.base.map(|offset| offset.0),
        operator: change.author.operator.clone(),
        token_id: change.author.token_id.clone(),
        wall_ms: change.wall_ms,
        operations: change.operations.iter().map(write_operation).collect(),
    }
}

fn write_operation(operation: &ResourceOperation) -> proto::Operation {
    use proto::OperationKind as Kind;
    let with_body = |kind: Kind, body: &ResourceBody| proto::Operation {
        kind: kind.into(),
        resource: body.kind.to_proto().into(),
        name: String::new(),
        body: body.json.clone(),
    };
    let whole = |kind: Kind, body: &str| proto::Operation {
        kind: kind.into(),
        body: body.to_owned(),
        ..Default::default()
    };
    let host = |kind: Kind, host: &HostId| proto::Operation {
        kind: kind.into(),
        name: host.to_string(),
        ..Default::default()
    };
    match operation {
        ResourceOperation::Create(body) => with_body(Kind::Create, body),
        ResourceOperation::Change(body) => with_body(Kind::Change, body),
        ResourceOperation::Delete(key) => proto::Operation {
            kind: Kind::Delete.into(),
            resource: key.proto_kind().into(),
            name: key.name().to_owned(),
            body: String::new(),
        },
        ResourceOperation::PutWhole(body) => whole(Kind::PutWhole, body),
        ResourceOperation::Drain(id) => host(Kind::Drain, id),
        ResourceOperation::Undrain(id) => host(Kind::Undrain, id),
        ResourceOperation::Restore(body) => whole(Kind::Restore, body),
    }
}

fn read_change(raw: proto::ConfigChange) -> Result<ConfigChange> {
    if raw.operations.is_empty() || raw.operations.len() > MAX_OPERATIONS {
        return Err(RecordError::Malformed("operations are none or too many"));
    }
    if raw.operator.len() > MAX_AUTHOR_BYTES || raw.token_id.len() > MAX_AUTHOR_BYTES {
        return Err(RecordError::Malformed("author is too long"));
    }
    let operations = raw.operations.into_iter().map(read_operation).collect::<Result<Vec<_>>>()?;
    let restores = operations.iter().any(|step| matches!(step, ResourceOperation::Restore(_)));
    if restores && operations.len() > 1 {
        return Err(RecordError::Malformed("a restore must stand alone"));
    }
    Ok(ConfigChange {
        id: ChangeId(read_array(&raw.change_id)?),
        base: raw.base_revision.map(LogOffset),
        author: ChangeAuthor { operator: raw.operator, token_id: raw.token_id },
        wall_ms: raw.wall_ms,
        operations,
    })
}

fn read_operation(raw: proto::Operation) -> Result<ResourceOperation> {
    use proto::OperationKind as Kind;
    Ok(match raw.kind() {
        Kind::Unspecified => return Err(RecordError::Malformed("unknown operation")),
        Kind::Create => ResourceOperation::Create(read_body(raw)?),
        Kind::Change => ResourceOperation::Change(read_body(raw)?),
        Kind::Delete => {
            let kind = ResourceKind::from_proto(raw.resource())
                .ok_or(RecordError::Malformed("unknown kind of resource"))?;
            ResourceOperation::Delete(ResourceKey::parse(kind, &raw.name)?)
        }
        Kind::PutWhole => ResourceOperation::PutWhole(raw.body),
        Kind::Drain => ResourceOperation::Drain(raw.name.as_str().try_into()?),
        Kind::Undrain => ResourceOperation::Undrain(raw.name.as_str().try_into()?),
        Kind::Restore => ResourceOperation::Restore(raw.body),
    })
}

fn read_body(raw: proto::Operation) -> Result<ResourceBody> {
    let kind = ResourceKind::from_proto(raw.resource())
        .ok_or(RecordError::Malformed("unknown kind of resource"))?;
    Ok(ResourceBody { kind, json: raw.body })
}

fn read_part(raw: proto::CheckpointPart) -> Result<CheckpointPart> {
    if raw.count == 0 || raw.index >= raw.count {
        return Err(RecordError::Malformed("index of a checkpoint part is out of range"));
    }
    Ok(CheckpointPart {
        digest: read_array(&raw.digest)?,
        index: raw.index,
        count: raw.count,
        data: raw.data,
    })
}
