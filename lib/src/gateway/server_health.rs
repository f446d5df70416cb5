//! Which backend servers look sick, judged by callers' own requests.
//!
//! Load pattern: servers that refuse connections, reset them, or fail a share of their requests
//! while their health check is good. No probe is sent: a server whose requests fail in a row is
//! avoided for a time that doubles, and one request after that time decides again.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Failures in a row that make a server avoided; a single one happens at any load.
const FAILURES_TO_AVOID: u32 = 2;

/// First time for which a server is avoided; about the time a crashed server takes to start.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(500);

/// Longest time for which a server is avoided; entries of gone servers lapse in about this time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// How a request at a server ended, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// It answered.
    Answered,
    /// The connection could not be opened, or its address belongs to another server.
    Unreachable,
    /// It failed, broke off or fell silent.
    Failed,
}

/// What a host knows of a server's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    avoided_until: Option<Timestamp>,
    avoidance: Duration,
}

impl ServerHealth {
    /// Takes in how a request ended; returns whether the server is now avoided and was not before.
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

    /// Returns whether new requests should go elsewhere.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
