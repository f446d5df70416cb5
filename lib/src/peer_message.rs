//! Validated membership messages and their encoding.
//!
//! A received message is either decoded into a [`PeerMessage`] or refused with a result code. Other
//! modules only see validated values.

use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;

use prost::Message as _;
use thiserror::Error;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_section::MAX_SECTION_BYTES;
use crate::member_section::PayloadSection;
use crate::member_section::SectionKind;
use crate::member_section::SectionVersion;
use crate::member_zone::ZoneSummary;
use crate::protos::peer as proto;
use crate::result_code::ResultCode;

/// Version of the message format.
pub const MESSAGE_VERSION: u32 = 1;

/// Maximum size of an encoded message, in bytes; a full table of 600 members fits.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Why a message was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The sender uses another message version.
    #[error("message version {0} is not read")]
    Version(u32),
    /// The message is truncated or has an invalid field.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The message is too large.
    #[error("message of {0} bytes is over {MAX_MESSAGE_BYTES}")]
    TooLarge(usize),
}

impl MessageError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Version(_) => ResultCode::RecordVersion,
            Self::Malformed(_) => ResultCode::RecordMalformed,
            Self::TooLarge(_) => ResultCode::RecordTooLarge,
        }
    }
}

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, MessageError>;

/// Kind of a message, with the fields of that kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks the receiver to prove that it is alive.
    Probe,
    /// Answers a probe.
    ProbeReply,
    /// Asks the receiver to probe a third member.
    IndirectProbe(HostId),
    /// Confirms that a third member answered a probe made on the receiver's behalf.
    Confirm(HostId, Incarnation),
    /// Requests the members of each region whose digest differs from the given one.
    TableRequest(Vec<RegionDigest>),
    /// Answers a table request; the members are in the updates.
    TableReply,
    /// Carries updates without a request.
    Push,
    /// Acknowledges a message that needs no other reply.
    Ack,
}

/// Digest of the members of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionDigest {
    /// Region.
    pub region: RegionName,
    /// Sum of the digests of its members that are not dead.
    pub digest: u64,
}

/// One membership message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Kind of the message, with its fields.
    pub body: MessageBody,
    /// Sum of the digests of all members that the sender knows.
    pub table_digest: u64,
    /// Newest configuration offset that the sender knows.
    pub config_offset: LogOffset,
    /// Load of the sender, in percent of its capacity.
    pub load_percent: u8,
    /// Member records that changed.
    pub updates: Vec<MemberRecord>,
    /// Payloads of other modules.
    pub sections: Vec<PayloadSection>,
    /// Summaries of availability zones.
    pub zones: Vec<ZoneSummary>,
}

impl PeerMessage {
    /// Decodes and validates one message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLarge(bytes.len()));
        }
        let envelope = proto::Envelope::decode(bytes)
            .map_err(|_| MessageError::Malformed("not an envelope"))?;
        Self::try_from(envelope)
    }

    /// Returns the encoded message.
    pub fn encode(&self) -> Vec<u8> {
        proto::Envelope::from(self).encode_to_vec()
    }
}

impl TryFrom<proto::Envelope> for PeerMessage {
    type Error = MessageError;

    fn try_from(raw: proto::Envelope) -> Result<Self> {
        if raw.version != MESSAGE_VERSION {
            return Err(MessageError::Version(raw.version));
        }
        let size = raw.encoded_len();
        if size > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLarge(size));
        }
        let body = decode_body(&raw)?;
        let sender = raw.sender.ok_or(MessageError::Malformed("no sender"))?;
        Ok(Self {
            sender: MemberRecord::try_from(sender)?,
            body,
            table_digest: raw.table_digest,
            config_offset: LogOffset(raw.config_offset),
            load_percent: u8::try_from(raw.load_percent)
                .map_err(|_| MessageError::Malformed("load"))?,
            updates: raw.updates.into_iter().map(MemberRecord::try_from).collect::<Result<_>>()?,
            sections: raw
                .sections
                .into_iter()
                .map(PayloadSection::try_from)
                .collect::<Result<_>>()?,
            zones: raw.zones.into_iter().map(ZoneSummary::try_from).collect::<Result<_>>()?,
        })
    }
}

fn decode_body(raw: &proto::Envelope) -> Result<MessageBody> {
    match raw.kind() {
        proto::MessageKind::Unspecified => Err(MessageError::Malformed("unknown kind")),
        proto::MessageKind::Probe => Ok(MessageBody::Probe),
        proto::MessageKind::ProbeReply => Ok(MessageBody::ProbeReply),
        proto::MessageKind::IndirectProbe => Ok(MessageBody::IndirectProbe(decode_target(raw)?)),
        proto::MessageKind::Confirm => {
            Ok(MessageBody::Confirm(decode_target(raw)?, Incarnation(raw.target_incarnation)))
        }
        proto::MessageKind::TableRequest => {
            let digests = raw.region_digests.iter().map(decode_digest).collect::<Result<_>>()?;
            Ok(MessageBody::TableRequest(digests))
        }
        proto::MessageKind::TableReply => Ok(MessageBody::TableReply),
        proto::MessageKind::Push => Ok(MessageBody::Push),
        proto::MessageKind::Noted => Ok(MessageBody::Ack),
    }
}

fn decode_target(raw: &proto::Envelope) -> Result<HostId> {
    HostId::try_from(raw.target.as_str()).map_err(|_| MessageError::Malformed("target"))
}

fn decode_digest(raw: &proto::RegionDigest) -> Result<RegionDigest> {
    let region = RegionName::try_from(raw.region.as_str())
        .map_err(|_| MessageError::Malformed("region of digest"))?;
    Ok(RegionDigest { region, digest: raw.digest })
}

impl TryFrom<proto::MemberInfo> for MemberRecord {
    type Error = MessageError;

    fn try_from(raw: proto::MemberInfo) -> Result<Self> {
        let status = match raw.status() {
            proto::MemberStatus::Unspecified => return Err(MessageError::Malformed("status")),
            proto::MemberStatus::Live => MemberStatus::Live,
            proto::MemberStatus::Suspected => MemberStatus::Suspected,
            proto::MemberStatus::Leaving => MemberStatus::Leaving,
            proto::MemberStatus::Dead => MemberStatus::Dead,
        };
        let malformed = MessageError::Malformed;
        let port = u16::try_from(raw.port).map_err(|_| malformed("port"))?;
        Ok(Self {
            host: HostId::try_from(raw.host).map_err(|_| malformed("host"))?,
            incarnation: Incarnation(raw.incarnation),
            status,
            address: SocketAddr::new(decode_ip(&raw.ip)?, port),
            region: RegionName::try_from(raw.region).map_err(|_| malformed("region"))?,
            zone: ZoneName::try_from(raw.zone).map_err(|_| malformed("zone"))?,
        })
    }
}

fn decode_ip(bytes: &[u8]) -> Result<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Ok(IpAddr::from(octets));
    }
    let octets = <[u8; 16]>::try_from(bytes).map_err(|_| MessageError::Malformed("ip"))?;
    Ok(IpAddr::V6(Ipv6Addr::from(octets)))
}

impl TryFrom<proto::Section> for PayloadSection {
    type Error = MessageError;

    fn try_from(raw: proto::Section) -> Result<Self> {
        let kind = match raw.kind() {
            proto::SectionKind::Unspecified => return Err(MessageError::Malformed("section kind")),
            proto::SectionKind::CrashSuspicions => SectionKind::CrashSuspicions,
            proto::SectionKind::LoadDigest => SectionKind::LoadDigest,
        };
        if raw.payload.len() > MAX_SECTION_BYTES {
            return Err(MessageError::TooLarge(raw.payload.len()));
        }
        Ok(Self {
            origin: raw.origin,
            kind,
            version: SectionVersion {
                incarnation: Incarnation(raw.incarnation),
                sequence: raw.sequence,
            },
            payload: raw.payload,
        })
    }
}

impl TryFrom<proto::ZoneSummary> for ZoneSummary {
    type Error = MessageError;

    fn try_from(raw: proto::ZoneSummary) -> Result<Self> {
        let malformed = MessageError::Malformed;
        Ok(Self {
            region: RegionName::try_from(raw.region).map_err(|_| malformed("summary region"))?,
            zone: ZoneName::try_from(raw.zone).map_err(|_| malformed("summary zone"))?,
            version: raw.version,
            live: raw.live,
            leaving: raw.leaving,
            load_percent: raw.load_percent,
        })
    }
}

impl From<&PeerMessage> for proto::Envelope {
    fn from(message: &PeerMessage) -> Self {
        let mut envelope = Self {
            version: MESSAGE_VERSION,
            sender: Some(proto::MemberInfo::from(&message.sender)),
            table_digest: message.table_digest,
            config_offset: message.config_offset.0,
            load_percent: message.load_percent.into(),
            updates: message.updates.iter().map(proto::MemberInfo::from).collect(),
            sections: message.sections.iter().map(proto::Section::from).collect(),
            zones: message.zones.iter().map(proto::ZoneSummary::from).collect(),
            ..Self::default()
        };
        encode_body(&message.body, &mut envelope);
        envelope
    }
}

fn encode_body(body: &MessageBody, envelope: &mut proto::Envelope) {
    let kind = match body {
        MessageBody::Probe => proto::MessageKind::Probe,
        MessageBody::ProbeReply => proto::MessageKind::ProbeReply,
        MessageBody::IndirectProbe(target) => {
            envelope.target = target.to_string();
            proto::MessageKind::IndirectProbe
        }
        MessageBody::Confirm(target, incarnation) => {
            envelope.target = target.to_string();
            envelope.target_incarnation = incarnation.0;
            proto::MessageKind::Confirm
        }
        MessageBody::TableRequest(digests) => {
            envelope.region_digests = digests
                .iter()
                .map(|row| proto::RegionDigest {
                    region: row.region.to_string(),
                    digest: row.digest,
                })
                .collect();
            proto::MessageKind::TableRequest
        }
        MessageBody::TableReply => proto::MessageKind::TableReply,
        MessageBody::Push => proto::MessageKind::Push,
        MessageBody::Ack => proto::MessageKind::Noted,
    };
    envelope.set_kind(kind);
}

impl From<&MemberRecord> for proto::MemberInfo {
    fn from(record: &MemberRecord) -> Self {
        let status = match record.status {
            MemberStatus::Live => proto::MemberStatus::Live,
            MemberStatus::Suspected => proto::MemberStatus::Suspected,
            MemberStatus::Leaving => proto::MemberStatus::Leaving,
            MemberStatus::Dead => proto::MemberStatus::Dead,
        };
        let ip = match record.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            host: record.host.to_string(),
            incarnation: record.incarnation.0,
            status: status.into(),
            ip,
            port: record.address.port().into(),
            region: record.region.to_string(),
            zone: record.zone.to_string(),
        }
    }
}

impl From<&PayloadSection> for proto::Section {
    fn from(section: &PayloadSection) -> Self {
        let kind = match section.kind {
            SectionKind::CrashSuspicions => proto::SectionKind::CrashSuspicions,
            SectionKind::LoadDigest => proto::SectionKind::LoadDigest,
        };
        Self {
            origin: section.origin,
            kind: kind.into(),
            incarnation: section.version.incarnation.0,
            sequence: section.version.sequence,
            payload: section.payload.clone(),
        }
    }
}

impl From<&ZoneSummary> for proto::ZoneSummary {
    fn from(summary: &ZoneSummary) -> Self {
        Self {
            region: summary.region.to_string(),
            zone: summary.zone.to_string(),
            version: summary.version,
            live: summary.live,
            leaving: summary.leaving,
            load_percent: summary.load_percent,
        }
    }
}
