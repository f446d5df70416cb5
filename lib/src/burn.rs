//! Error budget burn: how fast each service uses up the error budget of its latency target.
//!
//! For each service a host counts the requests within and beyond the target in time buckets, and
//! keeps a latency sketch. Hosts exchange these as contributions. A newer contribution of a host
//! replaces its older one, so merging is idempotent.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceName;
use crate::result_code::ResultCode;

/// Length of one bucket.
pub const BUCKET_LENGTH: Duration = Duration::from_secs(60);

/// Buckets kept for each service: six hours.
pub const RETAINED_BUCKETS: usize = 360;

/// Maximum services that one host counts.
pub const MAX_SERVICES: usize = 256;

/// Largest encoded contribution, in bytes.
pub const MAX_CONTRIBUTION_BYTES: usize = 4 * 1024 * 1024;

/// Largest latency that sketches record, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Significant decimal digits of latencies in a sketch.
const SKETCH_DIGITS: u8 = 2;

/// Buckets that one latency sketch covers. The previous sketch is kept as well.
const BUCKETS_PER_SKETCH: u64 = 5;

/// Why a contribution cannot be encoded or decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BurnError {
    /// It is malformed.
    #[error("malformed burn contribution: {0}")]
    Malformed(String),
    /// It is too large; the size is in bytes.
    #[error("burn contribution of {0} bytes is over {MAX_CONTRIBUTION_BYTES}")]
    TooLarge(usize),
    /// A sketch cannot be encoded.
    #[error("cannot encode latency sketch: {0}")]
    Encode(String),
}

impl BurnError {
    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Malformed(_) => ResultCode::RecordMalformed,
            Self::TooLarge(_) => ResultCode::RecordTooLarge,
            Self::Encode(_) => ResultCode::Internal,
        }
    }
}

/// Result of encoding, decoding or merging contributions.
pub type Result<T> = std::result::Result<T, BurnError>;

/// Requests of one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCount {
    /// Requests within the latency target.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl BurnCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.total = self.total.saturating_add(other.total);
    }
}

/// Number of a bucket since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BucketNumber(pub u64);

impl BucketNumber {
    /// Returns the bucket that contains a wall-clock time.
    pub fn of_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms / BUCKET_LENGTH.as_millis() as u64)
    }
}

/// Counts and latencies of one service in a contribution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Share of requests that must meet the target, in thousandths.
    pub share_permille: u16,
    /// Counts by bucket; empty buckets are left out.
    pub buckets: BTreeMap<BucketNumber, BurnCount>,
    /// Latency of the last five to ten minutes in microseconds, as an HdrHistogram V2 sketch.
    pub sketch: Vec<u8>,
}

/// Counts and latencies of all services on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnContribution {
    /// Host that counted.
    pub host: HostId,
    /// Incarnation of its process.
    pub life: Incarnation,
    /// Increases with each contribution of an incarnation.
    pub sequence: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceBurn>,
}

impl BurnContribution {
    /// Returns the encoded contribution.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|error| BurnError::Encode(error.to_string()))
    }

    /// Decodes and checks a contribution.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_CONTRIBUTION_BYTES {
            return Err(BurnError::TooLarge(bytes.len()));
        }
        let contribution: Self = serde_json::from_slice(bytes)
            .map_err(|error| BurnError::Malformed(error.to_string()))?;
        contribution.check()?;
        Ok(contribution)
    }

    fn check(&self) -> Result<()> {
        let malformed = |what: &str| Err(BurnError::Malformed(what.to_owned()));
        if self.services.len() > MAX_SERVICES {
            return malformed("too many services");
        }
        for burn in self.services.values() {
            if burn.share_permille > 1_000 || burn.buckets.len() > RETAINED_BUCKETS {
                return malformed("share or buckets out of range");
            }
            if burn.buckets.values().any(|count| count.good > count.total) {
                return malformed("more good requests than total requests");
            }
            decode_sketch(&burn.sketch)?;
        }
        Ok(())
    }
}

/// Returns an empty latency sketch.
pub fn new_sketch() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SKETCH_DIGITS)
        .map_err(|error| BurnError::Encode(error.to_string()))
}

/// Decodes a latency sketch.
pub fn decode_sketch(bytes: &[u8]) -> Result<Histogram<u64>> {
    let malformed = |error: String| BurnError::Malformed(error);
    let sketch: Histogram<u64> = Deserializer::new()
        .deserialize(&mut &bytes[..])
        .map_err(|error| malformed(error.to_string()))?;
    if sketch.high() > MAX_LATENCY_US || sketch.sigfig() > SKETCH_DIGITS {
        return Err(malformed("sketch is too fine".to_owned()));
    }
    Ok(sketch)
}

struct ServiceCounter {
    share_permille: u16,
    buckets: BTreeMap<BucketNumber, BurnCount>,
    sketch: Histogram<u64>,
    previous_sketch: Histogram<u64>,
    sketch_generation: u64,
}

impl ServiceCounter {
    fn new(share_permille: u16) -> Result<Self> {
        Ok(Self {
            share_permille,
            buckets: BTreeMap::new(),
            sketch: new_sketch()?,
            previous_sketch: new_sketch()?,
            sketch_generation: 0,
        })
    }

    /// Evicts buckets and sketches that are too old once `bucket` is the newest.
    fn advance(&mut self, bucket: BucketNumber) {
        let oldest = BucketNumber((bucket.0 + 1).saturating_sub(RETAINED_BUCKETS as u64));
        self.buckets = self.buckets.split_off(&oldest);
        let generation = bucket.0 / BUCKETS_PER_SKETCH;
        if generation <= self.sketch_generation {
            return;
        }
        std::mem::swap(&mut self.sketch, &mut self.previous_sketch);
        self.sketch.reset();
        if generation > self.sketch_generation + 1 {
            self.previous_sketch.reset();
        }
        self.sketch_generation = generation;
    }

    fn export(&self) -> Result<ServiceBurn> {
        let failed = |error: String| BurnError::Encode(error);
        let mut merged = self.sketch.clone();
        merged.add(&self.previous_sketch).map_err(|error| failed(error.to_string()))?;
        let mut sketch = Vec::new();
        V2Serializer::new()
            .serialize(&merged, &mut sketch)
            .map_err(|error| failed(error.to_string()))?;
        let share_permille = self.share_permille;
        Ok(ServiceBurn { share_permille, buckets: self.buckets.clone(), sketch })
    }
}

/// Counts the finished requests of the local host.
pub struct BurnRecorder {
    host: HostId,
    incarnation: Incarnation,
    sequence: u64,
    services: BTreeMap<ServiceName, ServiceCounter>,
    dropped: u64,
}

impl BurnRecorder {
    /// Builds an empty recorder.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation, sequence: 0, services: BTreeMap::new(), dropped: 0 }
    }

    /// Counts one finished request.
    ///
    /// Once [`MAX_SERVICES`] services are counted, a request of another service is dropped and adds
    /// to [`Self::dropped`].
    pub fn record(
        &mut self,
        unix_ms: u64,
        service: &ServiceName,
        share_permille: u16,
        latency: Duration,
        is_good: bool,
    ) {
        let Some(counter) = self.counter(service, share_permille) else {
            self.dropped += 1;
            return;
        };
        let bucket = BucketNumber::of_unix_ms(unix_ms);
        counter.share_permille = share_permille;
        counter.advance(bucket);
        let count = BurnCount { good: u64::from(is_good), total: 1 };
        counter.buckets.entry(bucket).or_default().add(count);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        counter.sketch.saturating_record(micros);
    }

    fn counter(&mut self, service: &ServiceName, share: u16) -> Option<&mut ServiceCounter> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.clone(), ServiceCounter::new(share).ok()?);
        }
        self.services.get_mut(service)
    }

    /// Returns how many requests were not counted because there were too many services.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns a new contribution of this host, with the next sequence number.
    pub fn contribution(&mut self, unix_ms: u64) -> Result<BurnContribution> {
        self.sequence += 1;
        let bucket = BucketNumber::of_unix_ms(unix_ms);
        let mut services = BTreeMap::new();
        for (name, counter) in &mut self.services {
            counter.advance(bucket);
            services.insert(name.clone(), counter.export()?);
        }
        let (host, life, sequence) = (self.host.clone(), self.incarnation, self.sequence);
        Ok(BurnContribution { host, life, sequence, services })
    }
}

/// Newest contribution of each host.
#[derive(Clone, Debug, Default)]
pub struct BurnMerger {
    hosts: BTreeMap<HostId, BurnContribution>,
}

impl BurnMerger {
    /// Adds a contribution unless it is not newer than the host's known one.
    ///
    /// Counts of a new incarnation replace those of the old one with the same host id.
    pub fn merge(&mut self, contribution: BurnContribution) {
        let version = |contribution: &BurnContribution| (contribution.life, contribution.sequence);
        let known = self.hosts.get(&contribution.host);
        if known.is_none_or(|known| version(known) < version(&contribution)) {
            self.hosts.insert(contribution.host.clone(), contribution);
        }
    }

    /// Returns the contributions, ordered by host.
    pub fn contributions(&self) -> impl Iterator<Item = &BurnContribution> {
        self.hosts.values()
    }
}
