//! Converts lease records between their checked form and the bytes on the log.

use prost::Message;

use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::protos::leases as wire;
use crate::record_error::RecordError;
use crate::record_error::Result;
use crate::record_error::check_version;
use crate::record_error::decode_message;

/// Version of the format that this program writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// Duties that need one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseDuty {
    /// Starting and stopping hosts, and orders to engines.
    FleetPlanner,
    /// Writing checkpoints of the log streams.
    CheckpointWriter,
}

impl LeaseDuty {
    /// Every duty.
    pub const ALL: [Self; 2] = [Self::FleetPlanner, Self::CheckpointWriter];

    fn number(self) -> u32 {
        match self {
            Self::FleetPlanner => 1,
            Self::CheckpointWriter => 2,
        }
    }
}

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Duty that the record is about.
    pub duty: LeaseDuty,
    /// Host that wrote it.
    pub host: HostId,
    /// Life of that host.
    pub incarnation: Incarnation,
    /// Counts the records of that life.
    pub sequence: u64,
    /// What the record states.
    pub statement: LeaseStatement,
}

/// What a lease record states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatement {
    /// Asks for the duty; takes effect only if no record of the duty lies at or after `basis` and
    /// before this one.
    Acquire {
        /// The writer had read every record below this offset.
        basis: LogOffset,
    },
    /// Extends the lease with the fencing number.
    Renew(FencingNumber),
    /// Gives up the lease with the fencing number.
    Release(FencingNumber),
}

/// Encodes a record.
pub fn encode_record(record: &LeaseRecord) -> Vec<u8> {
    use wire::lease_record::Kind;
    let kind = match record.statement {
        LeaseStatement::Acquire { basis } => Kind::Acquire(wire::LeaseAcquire { basis: basis.0 }),
        LeaseStatement::Renew(fence) => Kind::Renew(wire::LeaseRenew { fence: fence.0 }),
        LeaseStatement::Release(fence) => Kind::Release(wire::LeaseRelease { fence: fence.0 }),
    };
    let record = wire::LeaseRecord {
        version: RECORD_VERSION,
        duty: record.duty.number(),
        host: record.host.as_str().to_owned(),
        incarnation: record.incarnation.0,
        sequence: record.sequence,
        kind: Some(kind),
    };
    record.encode_to_vec()
}

/// Decodes one record of the stream.
pub fn decode_record(data: &[u8]) -> Result<LeaseRecord> {
    use wire::lease_record::Kind;
    let record: wire::LeaseRecord = decode_message(data)?;
    check_version(record.version, RECORD_VERSION)?;
    let duty = LeaseDuty::ALL.into_iter().find(|duty| duty.number() == record.duty);
    let statement = match record.kind.ok_or(RecordError::Malformed("statement"))? {
        Kind::Acquire(acquire) => LeaseStatement::Acquire { basis: LogOffset(acquire.basis) },
        Kind::Renew(renew) => LeaseStatement::Renew(FencingNumber(renew.fence)),
        Kind::Release(release) => LeaseStatement::Release(FencingNumber(release.fence)),
    };
    Ok(LeaseRecord {
        duty: duty.ok_or(RecordError::Malformed("duty"))?,
        host: HostId::try_from(record.host).map_err(|_| RecordError::Malformed("host"))?,
        incarnation: Incarnation(record.incarnation),
        sequence: record.sequence,
        statement,
    })
}
