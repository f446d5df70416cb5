//! Chooses the retry delay that a refused caller is told.
//!
//! Load pattern: many callers are refused at once and return once each. They are told when there is
//! likely to be room, with different delays so that they do not return together. A caller honours a
//! delay up to a third of its remaining time.

use std::time::Duration;

/// Longest delay that callers honour, as a divisor of their remaining time.
const HONOURED_DIVISOR: u32 = 3;

/// Shortest delay: a caller that returns sooner meets the same requests in front of it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Maximum by which a delay is lengthened, as a fraction of it.
const SPREAD_FRACTION: f64 = 0.5;

/// Returns the delay after which a caller finds room that is expected after `expected`. A delay that
/// its remaining time does not allow is stated as it is, so that the caller does not wait in vain.
pub fn stated_retry_after(expected: Duration, time_left: Duration, request_id: &str) -> Duration {
    let honoured = time_left / HONOURED_DIVISOR;
    let expected = expected.max(MIN_RETRY_AFTER);
    if expected >= honoured {
        return expected;
    }
    let spread = expected.mul_f64(SPREAD_FRACTION * request_fraction(request_id));
    (expected + spread).min(honoured)
}

/// Returns a number from 0 to 1 that is the same for one request and differs between requests.
pub fn request_fraction(request_id: &str) -> f64 {
    let hash = blake3::hash(request_id.as_bytes());
    let bytes = hash.as_bytes();
    f64::from(u16::from_le_bytes([bytes[0], bytes[1]])) / f64::from(u16::MAX)
}
