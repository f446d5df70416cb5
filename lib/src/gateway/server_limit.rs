//! Limits that backend servers name: how many requests a second they accept from all hosts together.

use std::time::Duration;

use thiserror::Error;

/// Lowest limit that is kept, in requests per 1,000 seconds. A server that names a lower one, or zero,
/// still gets a request from time to time: only its answer shows when the limit ends.
pub const MIN_LIMIT_PER_1000_S: u64 = 50;

/// Highest limit that is kept, in requests per 1,000 seconds.
pub const MAX_LIMIT_PER_1000_S: u64 = 1_000_000_000;

/// Time for which a host sends nothing to a brittle server that has turned one of its requests away.
const FULL_PAUSE: Duration = Duration::from_secs(1);

/// Requests in the unit of [`RequestLimit`] that are one request per second.
const UNITS_PER_RATE: f64 = 1_000.0;

/// A number that is no rate of requests: negative, infinite or not a number.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is not a number of requests per second")]
pub struct LimitError(pub f64);

/// Requests that a server accepts from all hosts together, per 1,000 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestLimit(u64);

impl RequestLimit {
    /// Builds a limit from requests per 1,000 seconds; one that is out of bounds counts as the nearest
    /// that is kept.
    pub fn from_per_1000_s(requests: u64) -> Self {
        Self(requests.clamp(MIN_LIMIT_PER_1000_S, MAX_LIMIT_PER_1000_S))
    }

    /// Returns the limit in requests per 1,000 seconds.
    pub fn per_1000_s(self) -> u64 {
        self.0
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_RATE
    }
}

/// What a response says of its server's brittleness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrittleNotice {
    /// Nothing: it is not the server's own, or malformed.
    #[default]
    Unknown,
    /// The server is not brittle.
    Sound,
    /// The server fails if it has to turn more requests away than it tolerates.
    Brittle {
        /// What it tolerates.
        tolerance: RequestLimit,
        /// Whether this response turns a request away.
        is_full: bool,
    },
}

impl BrittleNotice {
    /// Returns for how long a server is spared that turned a request away although the hosts together use no
    /// more than its slots.
    pub fn pause(self) -> Option<Duration> {
        matches!(self, Self::Brittle { is_full: true, .. }).then_some(FULL_PAUSE)
    }
}

impl TryFrom<f64> for RequestLimit {
    type Error = LimitError;

    /// Builds a limit from requests per second.
    fn try_from(rate: f64) -> Result<Self, LimitError> {
        if !rate.is_finite() || rate < 0.0 {
            return Err(LimitError(rate));
        }
        let bounded = rate.min(MAX_LIMIT_PER_1000_S as f64 / UNITS_PER_RATE);
        Ok(Self::from_per_1000_s((bounded * UNITS_PER_RATE).round() as u64))
    }
}

/// What a response says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// It names none.
    #[default]
    Unnamed,
    /// It names one.
    Named(RequestLimit),
    /// It says nothing: it is not the server's own, or names what is no limit.
    Unknown,
}
