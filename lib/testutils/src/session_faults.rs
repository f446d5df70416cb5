//! Random faults of one fault schedule.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A fault of a server, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends.
    Crash,
    /// The process starts again.
    Restart,
    /// Open connections go silent; new ones work.
    CutConnections,
    /// The server stops sending.
    Mute,
    /// The server sends again.
    Unmute,
    /// The server refuses all work.
    Refuse,
    /// The server accepts work again.
    Allow,
    /// The server is told that it will be reclaimed after this time.
    Notice(Duration),
    /// The server is reclaimed.
    Reclaim,
}

/// A fault and when it happens.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Time since the start of the schedule.
    pub delay: Duration,
    /// Index of the server.
    pub server: usize,
    /// Fault.
    pub fault: Fault,
}

/// Draws faults and their ends; with `announced_only` all are reclaims with notice.
pub fn draw_faults(
    rng: &mut ChaCha8Rng,
    server_count: usize,
    announced_only: bool,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=10) {
        let delay = Duration::from_millis(rng.random_range(0..4_000));
        let server = rng.random_range(0..server_count);
        let ends = delay + Duration::from_millis(rng.random_range(50..5_000));
        if announced_only || rng.random_bool(0.2) {
            let least = if announced_only { 200 } else { 1 };
            let fault = Fault::Notice(Duration::from_millis(rng.random_range(least..3_000)));
            // Two servers are never reclaimed.
            faults.push(PlannedFault { delay, server: server % (server_count - 2), fault });
            continue;
        }
        let (begin, end) = match rng.random_range(0..4) {
            0 => (Fault::Crash, Fault::Restart),
            1 => (Fault::CutConnections, Fault::CutConnections),
            2 => (Fault::Mute, Fault::Unmute),
            _ => (Fault::Refuse, Fault::Allow),
        };
        faults.push(PlannedFault { delay, server, fault: begin });
        faults.push(PlannedFault { delay: ends, server, fault: end });
    }
    faults
}
