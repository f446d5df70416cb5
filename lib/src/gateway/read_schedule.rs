//! How often a host reads a topic of the store.
//!
//! Load pattern: dozens of hosts follow one topic. If each read it at the full rate, the store's
//! load would grow with the fleet, so hosts that receive each other's summaries share the reads.

use std::time::Duration;

use rand::Rng;

use crate::timestamp::Timestamp;

/// Up to this many hosts each read once per period; a larger fleet shares the same number of reads.
const MAX_FULL_RATE_HOSTS: u32 = 8;

/// Maximum interval between reads, in periods; bounds the delay of a change whose gossip was lost.
const MAX_INTERVAL_FACTOR: u32 = 8;

/// Returns the factor by which a host may lengthen the read period when it is one of `hosts` hosts
/// that hear each other, itself included.
pub fn read_interval_factor(hosts: u32) -> u32 {
    hosts.div_ceil(MAX_FULL_RATE_HOSTS).clamp(1, MAX_INTERVAL_FACTOR)
}

/// Minimum age of the newest read by any host before another host reads, as a fraction of the
/// period.
const MIN_READ_AGE_FRACTION: f64 = 0.3;

/// Two reported times that differ by less than this belong to one read: the delay of summaries on
/// the network.
const SAME_READ_TOLERANCE: Duration = Duration::from_millis(100);

/// Decides when a host reads a topic next.
///
/// After each read that it learns of, a host draws a random delay. The host whose delay ends first
/// reads next. New jitter for every read keeps hosts from reading in step, and if the host that is
/// due dies, the next one reads in its place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadSchedule {
    /// Newest read by any host, and the delay after it as a fraction of the lengthened period.
    drawn_jitter: Option<(Timestamp, f64)>,
}

/// Times of the last reads known to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimes {
    /// Last read by this host.
    pub own: Timestamp,
    /// Newest read by any host, or the newest whose result this host knows.
    pub newest: Timestamp,
}

/// When this host and its peers last read a topic successfully.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadHistory {
    own: Option<Timestamp>,
    newest: Option<Timestamp>,
}

impl ReadHistory {
    /// Records a read by this host.
    pub fn on_read(&mut self, now: Timestamp) {
        self.own = Some(now);
        self.on_peer_read(now);
    }

    /// Records a read by a peer at the given time.
    pub fn on_peer_read(&mut self, at: Timestamp) {
        self.newest = self.newest.max(Some(at));
    }

    /// Returns the newest read by any host.
    pub fn newest(&self) -> Option<Timestamp> {
        self.newest
    }

    /// Returns the time since this host's last read, or `None` before the first.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.own.map(|at| now.since(at))
    }

    /// Returns the times of the last reads, or `None` before this host's first.
    pub fn times(&self) -> Option<ReadTimes> {
        let own = self.own?;
        Some(ReadTimes { own, newest: self.newest.unwrap_or(own) })
    }
}

impl ReadSchedule {
    /// Returns whether to read now. A host on its own reads once per `period`; `factor` is the
    /// result of [`read_interval_factor`]. A host of a larger fleet reads `2 * factor` periods
    /// after its own last read at the latest.
    pub fn is_due(
        &mut self,
        now: Timestamp,
        times: ReadTimes,
        period: Duration,
        factor: u32,
        random: &mut impl Rng,
    ) -> bool {
        if factor == 1 {
            return now.since(times.own) >= period;
        }
        let jitter = match self.drawn_jitter {
            Some((newest, jitter)) if times.newest.since(newest) < SAME_READ_TOLERANCE => jitter,
            _ => {
                let jitter = random.random_range(0.0..1.0);
                self.drawn_jitter = Some((times.newest, jitter));
                jitter
            }
        };
        let interval = period * factor;
        let wait = period.mul_f64(MIN_READ_AGE_FRACTION) + interval.mul_f64(jitter);
        now.since(times.newest) >= wait || now.since(times.own) >= interval * 2
    }
}
