//! Encodes and decodes what the store keeps of streams and software versions.

use std::time::Duration;

use prost::Message as _;

use crate::gateway::platform_api::VersionsRead;
use crate::gateway::version_ledger::BaseProposal;
use crate::gateway::version_ledger::ListUpdate;
use crate::gateway::version_ledger::MAX_LISTED_STREAMS;
use crate::gateway::version_ledger::MAX_WAIT;
use crate::gateway::version_ledger::StreamBegin;
use crate::gateway::version_ledger::StreamKey;
use crate::gateway::version_ledger::VersionBase;
use crate::gateway::version_ledger::VersionRecords;
use crate::ids::HostId;
use crate::ids::LogPosition;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::protos::gateway::StreamList;
use crate::protos::gateway::VersionBase as BaseMessage;
use crate::protos::gateway::VersionStreams;
use crate::software_version::SoftwareVersion;

/// Age from which on a list is ignored: its host is gone, and so are the callers of its streams.
const LIST_RETENTION: Duration = MAX_WAIT.saturating_mul(2);

/// The records of all hosts, and what one of them had listed.
#[derive(Clone, Debug, Default)]
pub struct DecodedVersions {
    /// Records of all hosts.
    pub records: VersionRecords,
    /// Streams of the host itself.
    pub own: Vec<(StreamKey, StreamBegin)>,
    /// Epoch of the last writer of its list.
    pub own_epoch: u64,
    /// Records, or parts of records, that cannot be used.
    pub skipped: usize,
}

/// Decodes what a read of the store returned to a host at a time on the wall clock.
pub fn decode_versions(read: &VersionsRead, host: &HostId, wall_ms: u64) -> DecodedVersions {
    let mut decoded = DecodedVersions::default();
    decoded.records.era = read.era;
    decoded.skipped = read.malformed;
    for (service, offset, record) in &read.bases {
        let position = LogPosition { era: read.era, offset: *offset };
        match decode_base(record, position) {
            Some(base) => drop(decoded.records.bases.insert(service.clone(), base)),
            None => decoded.skipped += 1,
        }
    }
    for (writer, record) in &read.lists {
        let Ok(list) = StreamList::decode(record.as_slice()) else {
            decoded.skipped += 1;
            continue;
        };
        if writer == host {
            decoded.own_epoch = list.epoch;
        }
        let age = Duration::from_millis(wall_ms.saturating_sub(list.wall_ms));
        if age > LIST_RETENTION {
            continue;
        }
        decoded.records.is_changing |=
            list.base_era == read.era.0 && list.base_at.is_some_and(|at| at >= read.bases_end.0);
        for versions in &list.versions {
            let Some(begin) = decode_begin(versions) else {
                decoded.skipped += 1;
                continue;
            };
            for stream in versions.streams.iter().take(MAX_LISTED_STREAMS) {
                let key = StreamKey(*stream);
                decoded.records.add(key, begin.clone());
                if writer == host {
                    decoded.own.push((key, begin.clone()));
                }
            }
        }
    }
    decoded
}

fn decode_begin(versions: &VersionStreams) -> Option<StreamBegin> {
    Some(StreamBegin {
        service: ServiceName::try_from(versions.service.as_str()).ok()?,
        version: SoftwareVersion::parse(&versions.version)?,
    })
}

fn decode_base(record: &[u8], position: LogPosition) -> Option<VersionBase> {
    let message = BaseMessage::decode(record).ok()?;
    let version = SoftwareVersion::parse(&message.version)?;
    Some(VersionBase { version, era: StoreEra(message.era), position })
}

/// Encodes the base of a service.
pub fn encode_base(proposal: &BaseProposal) -> Vec<u8> {
    let BaseProposal { version, era, .. } = proposal;
    BaseMessage { version: version.to_string(), era: era.0 }.encode_to_vec()
}

/// Encodes the list of a host.
pub fn encode_list(update: &ListUpdate, epoch: u64, wall_ms: u64) -> Vec<u8> {
    let versions = update.streams.iter().map(|((service, version), keys)| VersionStreams {
        service: service.to_string(),
        version: version.to_string(),
        streams: keys.iter().map(|key| key.0).collect(),
    });
    StreamList {
        versions: versions.collect(),
        epoch,
        wall_ms,
        base_at: update.base_at.map(|at| at.offset.0),
        base_era: update.base_at.map_or(0, |at| at.era.0),
    }
    .encode_to_vec()
}
