//! Servers whose processes may have ended since their entries were read.
//!
//! Failure pattern: a server crashes and starts again at its address, under its id, with other software.
//! Until its new entry is read, a stream that is sent there would begin, or go on, at a version that nobody
//! knows. A host sees its connections to the server end, but a single one may also break at a process that
//! lives on: another connection from before that is still open, or an entry written afterwards, shows that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_directory::BackendEntry;
use crate::ids::ServerId;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time after which a doubt ends by itself, for an outage of the store: entries are renewed sooner.
const DOUBT_TTL: Duration = Duration::from_secs(5);

/// A process as its server's entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLabel {
    /// Start time in milliseconds since 1970.
    pub started_at_ms: Option<u64>,
    /// Version of the software.
    pub version: SoftwareVersion,
}

impl ProcessLabel {
    /// Returns the label of an entry's process.
    pub fn of(entry: &BackendEntry) -> Self {
        Self { started_at_ms: entry.started_at_ms, version: entry.version.clone() }
    }
}

#[derive(Clone, Debug)]
struct ProcessDoubt {
    label: ProcessLabel,
    since: Timestamp,
    /// Whether a read of the directory has begun and ended since then: an entry in a later one was written
    /// after the doubt arose.
    has_read: bool,
}

/// The servers in doubt.
#[derive(Clone, Debug, Default)]
pub struct ProcessDoubts {
    doubts: BTreeMap<ServerId, ProcessDoubt>,
}

impl ProcessDoubts {
    /// Records that a connection to a server's process broke.
    pub fn on_lost(&mut self, now: Timestamp, server: &ServerId, label: ProcessLabel) {
        let doubt = ProcessDoubt { label, since: now, has_read: false };
        self.doubts.insert(server.clone(), doubt);
    }

    /// Records that a server's process was alive at a time.
    pub fn on_alive(&mut self, server: &ServerId, at: Timestamp) {
        if self.doubts.get(server).is_some_and(|doubt| doubt.since <= at) {
            self.doubts.remove(server);
        }
    }

    /// Records an entry that was read by any host.
    pub fn on_entry(&mut self, server: &ServerId, label: &ProcessLabel) {
        if self.doubts.get(server).is_some_and(|doubt| doubt.has_read || doubt.label != *label) {
            self.doubts.remove(server);
        }
    }

    /// Records the end of a read of the directory by this host that began at a time.
    pub fn on_read(&mut self, begun_at: Timestamp) {
        for doubt in self.doubts.values_mut() {
            doubt.has_read |= begun_at > doubt.since;
        }
    }

    /// Returns whether a server's process may be another one than its entry describes.
    pub fn is_doubted(&self, now: Timestamp, server: &ServerId) -> bool {
        self.doubts.get(server).is_some_and(|doubt| now.since(doubt.since) < DOUBT_TTL)
    }

    /// Returns the servers in doubt, and forgets those that are no longer.
    pub fn doubted(&mut self, now: Timestamp) -> impl Iterator<Item = &ServerId> {
        self.doubts.retain(|_, doubt| now.since(doubt.since) < DOUBT_TTL);
        self.doubts.keys()
    }
}
