//! Bounded waits for conditions that hold eventually in every correct run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest wait. It only detects hangs: a correct run is never judged by its duration.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `ready` returns true.
///
/// # Panics
///
/// Panics if `ready` does not return true within [`WAIT_TIMEOUT`].
pub fn wait_for(mut ready: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !ready() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "condition never held");
        thread::yield_now();
    }
}
