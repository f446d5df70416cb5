//! Summaries of other availability zones that this host forwards within its own.
//!
//! Load pattern: in a fleet of hundreds of hosts, a relay receives a dozen summaries a second and
//! forwards each to dozens of hosts, so that a host receives several hundred datagrams a second. In
//! such a fleet a relay holds summaries for a moment and forwards them together.

use std::time::Duration;

use bytes::Bytes;

use crate::timestamp::Timestamp;

/// Time for which a relay collects summaries.
const COLLECTION_PERIOD: Duration = Duration::from_millis(150);

/// Maximum payload of one datagram, in bytes; leaves room for its framing.
const MAX_BUNDLE_BYTES: usize = 7 * 1024;

/// Encoded summaries to forward.
#[derive(Clone, Debug, Default)]
pub struct SummaryRelay {
    pending: Vec<Bytes>,
    bytes: usize,
    due_at: Option<Timestamp>,
}

impl SummaryRelay {
    /// Adds a summary; returns those to forward before it, if it does not fit in with them.
    pub fn push(&mut self, now: Timestamp, summary: Bytes) -> Option<Vec<Bytes>> {
        let full = !self.pending.is_empty() && self.bytes + summary.len() > MAX_BUNDLE_BYTES;
        let bundle = full.then(|| self.take());
        self.bytes += summary.len();
        self.pending.push(summary);
        self.due_at.get_or_insert(now + COLLECTION_PERIOD);
        bundle
    }

    /// Returns when the pending summaries are due, if there are any.
    pub fn due_at(&self) -> Option<Timestamp> {
        self.due_at
    }

    /// Removes and returns the pending summaries.
    pub fn take(&mut self) -> Vec<Bytes> {
        self.bytes = 0;
        self.due_at = None;
        std::mem::take(&mut self.pending)
    }
}
