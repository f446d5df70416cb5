//! Decides when a caller's connection is closed for want of a request.
//!
//! Load pattern: callers reuse a connection for as long as the idle limit in force allows, and a
//! change of the configuration may raise that limit while connections are open. A lowered limit
//! applies from the next idle period on, since a caller may not know of it yet.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Limits on a connection that waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// Maximum idle time.
    pub idle: Duration,
    /// Maximum time for a head section, from its first byte. A head that begins at the start of an
    /// idle period may use that period as well.
    pub head: Duration,
}

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// No byte of the next request was read.
    Idle {
        /// When the idle period began.
        since: Timestamp,
        /// Idle limit at that time.
        limit: Duration,
    },
    /// A part of a head section was read.
    Head {
        /// When the idle period before it began.
        idle_since: Timestamp,
        /// When its first bytes were read.
        since: Timestamp,
    },
    /// A request was read and has no complete response.
    Request,
    /// The end of the response waits to be written to the socket.
    Flushing,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseStep {
    /// Leave it open and ask again at this time.
    WaitUntil(Timestamp),
    /// Close it: the idle limit has passed.
    CloseIdle,
    /// Close it: the head section did not become complete in time.
    CloseSlowHead,
}

impl CallerPhase {
    /// Builds the phase of a connection that was opened.
    pub fn new(now: Timestamp, limits: WaitLimits) -> Self {
        Self::Idle { since: now, limit: limits.idle }
    }

    /// Returns the phase after bytes were read.
    #[must_use]
    pub fn on_bytes(self, now: Timestamp) -> Self {
        match self {
            Self::Idle { since, .. } => Self::Head { idle_since: since, since: now },
            Self::Head { .. } | Self::Request | Self::Flushing => self,
        }
    }

    /// Returns the phase after the end of the response was queued for writing.
    #[must_use]
    pub fn on_response_queued(self) -> Self {
        match self {
            Self::Request => Self::Flushing,
            Self::Idle { .. } | Self::Head { .. } | Self::Flushing => self,
        }
    }

    /// Returns the phase after all queued bytes were written to the socket.
    #[must_use]
    pub fn on_flushed(self, now: Timestamp, limits: WaitLimits) -> Self {
        match self {
            Self::Flushing => Self::new(now, limits),
            Self::Idle { .. } | Self::Head { .. } | Self::Request => self,
        }
    }

    /// Returns whether a request was read that has no complete response.
    pub fn is_answering(self) -> bool {
        match self {
            Self::Request | Self::Flushing => true,
            Self::Idle { .. } | Self::Head { .. } => false,
        }
    }

    /// Returns what to do under the limits in force.
    pub fn step(self, now: Timestamp, limits: WaitLimits) -> PhaseStep {
        let (end, step) = match self {
            Self::Idle { since, limit } => (since + limit.max(limits.idle), PhaseStep::CloseIdle),
            Self::Head { idle_since, since } => {
                let end = (idle_since + limits.idle).max(since + limits.head);
                (end, PhaseStep::CloseSlowHead)
            }
            // The next idle period ends no sooner.
            Self::Request | Self::Flushing => return PhaseStep::WaitUntil(now + limits.idle),
        };
        if now >= end { step } else { PhaseStep::WaitUntil(end) }
    }
}
