//! How often a host reads the directory.
//!
//! Load pattern: dozens of hosts follow one directory. If each read it as often as one host alone
//! must, the store's load would grow with the fleet, so the hosts that hear each other take turns.

use std::time::Duration;

use rand::Rng;

use crate::timestamp::Timestamp;

/// Hosts that read as often as one alone must; a larger fleet shares that number of reads.
const MAX_FULL_RATE_HOSTS: u32 = 8;

/// Longest stretch of a period: a change whose telling was lost is read by then.
const MAX_INTERVAL_FACTOR: u32 = 8;

/// Returns by how much a host may stretch a period in which one host of a fleet should look at the
/// store, if it hears from `hosts` hosts, itself included.
pub fn read_interval_factor(hosts: u32) -> u32 {
    hosts.div_ceil(MAX_FULL_RATE_HOSTS).clamp(1, MAX_INTERVAL_FACTOR)
}

/// Part of the period after the newest read of any host before another one reads.
const MIN_READ_AGE_FRACTION: f64 = 0.3;

/// Difference up to which two told times are those of one read: what summaries take on their way.
const SAME_READ_TOLERANCE: Duration = Duration::from_millis(100);

/// When a host reads the directory next.
///
/// The first host whose patience ends after the newest read that it heard of reads. Each draws its
/// patience anew for every read that it hears of, so hosts that read at the same moment do not go on
/// doing so, and whoever dies is replaced by the next.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadSchedule {
    /// Newest read of any host, and the patience after it as a part of the whole period.
    drawn_jitter: Option<(Timestamp, f64)>,
}

/// Times of reads, as a host knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimes {
    /// This host's own last read.
    pub own: Timestamp,
    /// The newest read of any host.
    pub newest: Timestamp,
}

impl ReadSchedule {
    /// Returns whether to read now, if a host alone reads once a period and hosts share reads as
    /// [`read_interval_factor`] says.
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
