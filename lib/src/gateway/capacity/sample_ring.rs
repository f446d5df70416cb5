//! Recent measurements of one server or service, and their most common value.
//!
//! Load pattern: most requests wait behind others for an unknown time, some find their prompts cached,
//! and servers slow down for moments. Such measurements scatter, while undisturbed ones agree. The value
//! is therefore the center of a narrow cluster of measurements, and neither a mean, which queues
//! and pauses shift, nor an extreme, which one odd measurement sets.

use std::collections::VecDeque;
use std::time::Duration;

use crate::timestamp::Timestamp;

/// Share of the measurements that make up the cluster. With a quarter the speed of some uneven servers
/// was missed at half load, since a third of the prompts wait for nothing there.
const CLUSTER_SHARE: f64 = 0.2;

/// Of the clusters that exceed the narrowest one by at most this spread of their logarithms, the one
/// of the largest values counts: queues and pauses only lower a speed. It is about the scatter of the
/// fixed time of an engine.
const SPREAD_TOLERANCE: f64 = 0.12;

/// Minimum number of measurements in the cluster.
const MIN_CLUSTER: usize = 5;

/// Share of a ring that the measurements of one peer may fill: less than the cluster, so that no single
/// host sets the value.
const PEER_SHARE_DIVISOR: usize = 6;

/// Who measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleSource {
    /// This host.
    Own,
    /// A peer, by a hash of its name.
    Peer(u64),
}

/// A measurement with its source and time.
#[derive(Clone, Copy, Debug)]
struct RingSample<T> {
    at: Timestamp,
    source: SampleSource,
    sample: T,
}

/// The most recent measurements, oldest first.
#[derive(Clone, Debug)]
pub struct SampleRing<T> {
    capacity: usize,
    samples: VecDeque<RingSample<T>>,
}

impl<T: Copy> SampleRing<T> {
    /// Builds an empty ring.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, samples: VecDeque::new() }
    }

    /// Adds a measurement in place of the oldest one, or of the same peer's oldest one if that peer has
    /// filled its share.
    pub fn push(&mut self, at: Timestamp, source: SampleSource, sample: T) {
        let is_same = |known: &RingSample<T>| known.source == source;
        let own_count = self.samples.iter().filter(|known| is_same(known)).count();
        let is_at_share =
            source != SampleSource::Own && own_count * PEER_SHARE_DIVISOR >= self.capacity;
        if is_at_share {
            let oldest = self.samples.iter().position(is_same);
            oldest.and_then(|index| self.samples.remove(index));
        } else if self.samples.len() >= self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back(RingSample { at, source, sample });
    }

    /// Returns the number of measurements.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether there are no measurements.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the time since the last measurement, or `None` if there is none.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.samples.back().map(|last| now.since(last.at))
    }

    /// Returns the most common of the values that `value` derives from the measurements; all values are
    /// positive. `None` without enough measurements.
    pub fn common_value(&self, value: impl Fn(T) -> f64) -> Option<f64> {
        let values = self.samples.iter().map(|known| value(known.sample));
        common_value(values.collect())
    }

    /// Returns the value below which a share of the values lies that `value` derives from the
    /// measurements; `None` if there are none.
    pub fn quantile(&self, share: f64, value: impl Fn(T) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.samples.iter().map(|known| value(known.sample)).collect();
        values.sort_by(f64::total_cmp);
        values.get((values.len() as f64 * share) as usize).copied()
    }

    /// Returns the measurements that are at most `age` old, newest first.
    pub fn recent(&self, now: Timestamp, age: Duration) -> impl Iterator<Item = T> {
        let newest_first = self.samples.iter().rev();
        newest_first.take_while(move |known| now.since(known.at) <= age).map(|known| known.sample)
    }
}

/// Returns the geometric center of the largest of the narrow clusters of positive values.
fn common_value(values: Vec<f64>) -> Option<f64> {
    let mut values: Vec<f64> =
        values.into_iter().filter(|value| value.is_finite() && *value > 0.0).map(f64::ln).collect();
    values.sort_by(f64::total_cmp);
    let size = ((values.len() as f64 * CLUSTER_SHARE).ceil() as usize).max(MIN_CLUSTER);
    let spread = |cluster: &[f64]| cluster[size - 1] - cluster[0];
    let narrowest = values.windows(size).map(spread).min_by(f64::total_cmp)?;
    let limit = narrowest + SPREAD_TOLERANCE;
    let cluster = values.windows(size).rev().find(|cluster| spread(cluster) <= limit)?;
    Some((cluster.iter().sum::<f64>() / size as f64).exp())
}
