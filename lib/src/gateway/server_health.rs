//! Passive health checks: which backend servers to avoid, judged by the outcomes of callers'
//! requests.
//!
//! Load pattern: servers that refuse or reset connections, or fail a share of their requests, while
//! their health check passes. No probes are sent. A server with consecutive failures is avoided for
//! a time that doubles with each repetition; the first request after that time decides whether it is
//! avoided again.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Number of consecutive failures after which a server is avoided; single failures happen at any
/// load.
const FAILURES_TO_AVOID: u32 = 2;

/// Initial time for which a server is avoided; about the time that a crashed server takes to
/// restart.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(500);

/// Maximum time for which a server is avoided; the entry of a dead server expires in about this
/// time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// How a request to a server ended, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// The server responded.
    Answered,
    /// The connection could not be opened, or another server now has the address.
    Unreachable,
    /// The request failed, its connection broke, or the response stalled.
    Failed,
}

/// Health of a server as seen by this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    avoided_until: Option<Timestamp>,
    avoidance: Duration,
}

impl ServerHealth {
    /// Records how a request ended; returns whether the server is avoided from now on and was not
    /// before.
    pub fn on_evidence(&mut self, now: Timestamp, evidence: HealthEvidence) -> bool {
        let penalty = match evidence {
            HealthEvidence::Answered => {
                *self = Self::default();
                return false;
            }
            HealthEvidence::Unreachable => FAILURES_TO_AVOID,
            HealthEvidence::Failed => 1,
        };
        self.failures += penalty;
        if self.failures < FAILURES_TO_AVOID || self.is_avoided(now) {
            return false;
        }
        self.avoidance = (self.avoidance * 2).clamp(INITIAL_AVOIDANCE, MAX_AVOIDANCE);
        self.avoided_until = Some(now + self.avoidance);
        true
    }

    /// Returns whether new requests should go to other servers.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
