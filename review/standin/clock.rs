//! Times of records, in milliseconds since 1970.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time of day.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
