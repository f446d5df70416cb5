//! Encodes and decodes what the store keeps of streams and software versions.

use prost::Message as _;

use crate::gateway::platform_api::VersionsRead;
use crate::gateway::version_ledger::ListUpdate;
use crate::gateway::version_ledger::MAX_LISTED_STREAMS;
use crate::gateway::version_ledger::StreamBegin;
use crate::gateway::version_ledger::StreamKey;
use crate::gateway::version_ledger::VersionBase;
use crate::gateway::version_ledger::VersionRecords;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::protos::gateway::StreamList;
use crate::protos::gateway::VersionBase as BaseMessage;
use crate::protos::gateway::VersionStreams;
use crate::software_version::SoftwareVersion;

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

/// Decodes what a read of the store returned to a host.
pub fn decode_versions(read: &VersionsRead, host: &HostId) -> DecodedVersions {
    let mut decoded = DecodedVersions::default();
    decoded.records.era = read.era;
    decoded.skipped = read.malformed;
    for (service, record) in &read.bases {
        match decode_base(record) {
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

fn decode_base(record: &[u8]) -> Option<VersionBase> {
    let message = BaseMessage::decode(record).ok()?;
    let version = SoftwareVersion::parse(&message.version)?;
    Some(VersionBase { version, era: StoreEra(message.era) })
}

/// Encodes the base of a service.
pub fn encode_base(base: &VersionBase) -> Vec<u8> {
    BaseMessage { version: base.version.to_string(), era: base.era.0 }.encode_to_vec()
}

/// Encodes the list of a host.
pub fn encode_list(update: &ListUpdate, epoch: u64, wall_ms: u64) -> Vec<u8> {
    let versions = update.streams.iter().map(|((service, version), keys)| VersionStreams {
        service: service.to_string(),
        version: version.to_string(),
        streams: keys.iter().map(|key| key.0).collect(),
    });
    StreamList { versions: versions.collect(), epoch, wall_ms }.encode_to_vec()
}
