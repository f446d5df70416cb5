//! Timestamps of decision modules, in microseconds since an origin that the caller chooses.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// A point in time in microseconds since the origin of its clock.
///
/// Timestamps of different clocks must not be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Builds a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The monotonic clock of the process, or that of a runtime whose time is paused.
///
/// Supervisors read it and pass timestamps to decision modules, which never read a clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + self.origin.elapsed()
    }

    /// Returns the instant at which this clock shows a time.
    pub fn instant_of(&self, time: Timestamp) -> Instant {
        self.origin + time.since(Timestamp::default())
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch, for records that outlive a process.
pub fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
