//! Waits for events that come in every correct run, bounded so that a broken run fails.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bound of such a wait; it decides no verdict but "hangs".
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `ready` holds.
///
/// # Panics
///
/// Panics if it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_for(mut ready: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !ready() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "condition never held");
        thread::yield_now();
    }
}
