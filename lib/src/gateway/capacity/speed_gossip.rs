//! Speed measurements in summaries: at most [`MAX_SHARED_SAMPLES`] per summary, whatever the size of the
//! fleet.

use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time::Duration;

use crate::gateway::backend_directory::BackendDirectory;
use crate::gateway::capacity::lateness_meter::AnswerCounts;
use crate::gateway::capacity::lateness_meter::LatenessMeter;
use crate::gateway::capacity::sample_ring::SampleSource;
use crate::gateway::capacity::speed_table::MAX_SHARED_SAMPLES;
use crate::gateway::capacity::speed_table::PromptRead;
use crate::gateway::capacity::speed_table::ReadQuality;
use crate::gateway::capacity::speed_table::ReadSample;
use crate::gateway::capacity::speed_table::SpeedSample;
use crate::gateway::capacity::speed_table::SpeedTable;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::protos::gateway::ServiceTimeliness;
use crate::protos::gateway::SpeedMeasurement;
use crate::timestamp::Timestamp;

/// Encodes this host's new measurements.
pub fn encode_samples(
    speeds: &mut SpeedTable,
    directory: &BackendDirectory,
) -> Vec<SpeedMeasurement> {
    let encode = |(key, sample): (ServerKey, SpeedSample)| {
        let entry = &directory.get(key)?.entry;
        let (own, pending, elapsed, is_disturbed) = match sample {
            SpeedSample::Read(ReadSample { read, elapsed }) => {
                let is_disturbed = read.quality == ReadQuality::Disturbed;
                (read.own_tokens, read.pending_tokens, elapsed, is_disturbed)
            }
            SpeedSample::Plain(elapsed) => (0, 0, elapsed, false),
        };
        Some(SpeedMeasurement {
            server: entry.id.to_string(),
            born_ms: entry.started_at_ms,
            prompt_tokens: u32::try_from(own).unwrap_or(u32::MAX),
            pending_tokens: u32::try_from(pending).unwrap_or(u32::MAX),
            elapsed_us: u32::try_from(elapsed.as_micros()).unwrap_or(u32::MAX),
            disturbed: is_disturbed,
        })
    };
    speeds.take_unshared().into_iter().filter_map(encode).collect()
}

/// Learns from the measurements of a peer. Those of servers that are not listed, or that have restarted
/// since, are skipped.
pub fn apply_samples(
    now: Timestamp,
    speeds: &mut SpeedTable,
    directory: &BackendDirectory,
    peer: &str,
    samples: &[SpeedMeasurement],
) {
    let mut hasher = DefaultHasher::new();
    peer.hash(&mut hasher);
    let source = SampleSource::Peer(hasher.finish());
    for sample in samples.iter().take(MAX_SHARED_SAMPLES) {
        let id = ServerId::try_from(sample.server.as_str()).ok();
        let Some(key) = id.and_then(|id| directory.find(&id)) else { continue };
        let is_same = |started: Option<u64>| started == sample.born_ms;
        if !directory.get(key).is_some_and(|server| is_same(server.entry.started_at_ms)) {
            continue;
        }
        let elapsed = Duration::from_micros(u64::from(sample.elapsed_us));
        let quality = match sample.disturbed {
            true => ReadQuality::Disturbed,
            false => ReadQuality::Undisturbed,
        };
        let decoded = match u64::from(sample.prompt_tokens) {
            0 => SpeedSample::Plain(elapsed),
            own_tokens => {
                let pending_tokens = u64::from(sample.pending_tokens);
                let read = PromptRead { own_tokens, pending_tokens, quality };
                SpeedSample::Read(ReadSample { read, elapsed })
            }
        };
        speeds.on_peer_sample(now, key, decoded, source);
    }
}

/// Encodes how many of this host's answers were late.
pub fn encode_lateness(now: Timestamp, meter: &LatenessMeter) -> Vec<ServiceTimeliness> {
    let encode = |(service, counts): (&crate::ids::ServiceName, AnswerCounts)| ServiceTimeliness {
        service: service.to_string(),
        answers: counts.answers,
        late: counts.late,
    };
    meter.counts(now).map(encode).collect()
}
