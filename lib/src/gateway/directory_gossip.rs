//! Recent directory changes, gossiped to peers.
//!
//! Load pattern: dozens of hosts follow a directory in which dozens of servers come and go, and
//! they share the reads of it. A host that reads a change includes it in its next summaries; a host
//! that missed some changes detects the gap by the running count.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::backend_directory::BackendEntry;
use crate::gateway::backend_directory::DirectoryChange;
use crate::gateway::backend_directory::ServingState;
use crate::ids::LogOffset;
use crate::ids::LogPosition;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::ZoneName;
use crate::protos::gateway::ServerChange;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time for which a change is included in summaries: three of them, or two in the largest fleets.
const GOSSIP_WINDOW: Duration = Duration::from_millis(1_200);

/// Maximum number of changes in one summary; at about 90 bytes each they fill half of a datagram.
/// Peers that miss changes read the directory themselves.
const MAX_CHANGES_PER_SUMMARY: usize = 40;

/// Number of peers that have read a change after which this host does not tell it as well. When many
/// servers come or go at once, dozens of hosts read the same changes, and telling them all would fill
/// the links.
const ENOUGH_READERS: usize = 3;

/// A change that this host read.
#[derive(Clone, Debug)]
struct ReadChange {
    read_at: Timestamp,
    position: LogPosition,
    change: DirectoryChange,
    /// Whether a summary has carried it.
    is_told: bool,
}

impl ReadChange {
    /// Returns whether a host that has read up to `next` knows the change.
    fn is_before(&self, next: LogPosition) -> bool {
        self.position.era == next.era && self.position < next
    }
}

/// Changes to gossip, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DirectoryGossip {
    changes: VecDeque<ReadChange>,
    /// Number of changes added since the host started.
    count: u64,
    /// Position after the last read.
    read_to: LogPosition,
}

/// The changes in one summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipedChanges {
    /// The most recent changes.
    pub changes: Vec<ServerChange>,
    /// Number of changes since the host started.
    pub count: u64,
    /// Number of changes that are not told, since enough peers have read them.
    pub untold: usize,
}

impl DirectoryGossip {
    /// Records up to where this host has read the directory.
    pub fn on_read(&mut self, next: LogPosition) {
        self.read_to = next;
    }

    /// Returns up to where this host has read the directory.
    pub fn read_to(&self) -> LogPosition {
        self.read_to
    }

    /// Adds a change that this host read and that had an effect.
    pub fn on_change(&mut self, now: Timestamp, position: LogPosition, change: DirectoryChange) {
        self.count += 1;
        self.changes.push_back(ReadChange { read_at: now, position, change, is_told: false });
        if self.changes.len() > MAX_CHANGES_PER_SUMMARY {
            self.changes.pop_front();
        }
    }

    /// Returns the changes to include in the next summary, and drops older ones. Those that enough
    /// peers have read, up to `peers_read_to`, are not told unless a summary has carried them.
    pub fn recent_changes(
        &mut self,
        now: Timestamp,
        peers_read_to: Option<LogPosition>,
    ) -> GossipedChanges {
        while self.changes.front().is_some_and(|first| now.since(first.read_at) >= GOSSIP_WINDOW) {
            self.changes.pop_front();
        }
        let queued = self.changes.len();
        self.changes.retain(|read| {
            read.is_told || !peers_read_to.is_some_and(|read_to| read.is_before(read_to))
        });
        // A change that is never told counts for nobody.
        let untold = queued - self.changes.len();
        self.count -= untold as u64;
        let encode = |read: &mut ReadChange| {
            read.is_told = true;
            encode_change(read.position, &read.change)
        };
        GossipedChanges {
            changes: self.changes.iter_mut().map(encode).collect(),
            count: self.count,
            untold,
        }
    }
}

/// Returns the position up to which enough peers have read, if there are that many.
pub fn read_by_enough(peers_read_to: impl Iterator<Item = LogPosition>) -> Option<LogPosition> {
    let mut positions: Vec<LogPosition> = peers_read_to.collect();
    let index = positions.len().checked_sub(ENOUGH_READERS)?;
    Some(*positions.select_nth_unstable(index).1)
}

/// Returns whether a peer read changes that this host never received.
///
/// `known_count` is the peer's count in its last summary, `count` the one in its new summary, and
/// `included` the number of changes in the new summary.
pub fn has_missed_changes(known_count: Option<u64>, count: u64, included: usize) -> bool {
    count.saturating_sub(included as u64) > known_count.unwrap_or(0)
}

fn encode_change(position: LogPosition, change: &DirectoryChange) -> ServerChange {
    let (era, offset) = (position.era.0, position.offset.0);
    match change {
        DirectoryChange::Absent(id) => {
            ServerChange { era, offset, server: id.to_string(), ..ServerChange::default() }
        }
        DirectoryChange::Present(entry) => ServerChange {
            era,
            offset,
            server: entry.id.to_string(),
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            zone: entry.zone.to_string(),
            draining: entry.state == ServingState::Draining,
            slots: entry.slots,
            born_ms: entry.started_at_ms,
            reclaimable: entry.reclaimable,
            leaves_in_ms: entry.reclaimed_in.map(|left| left.as_millis() as u64),
            sequence: entry.sequence,
            version: Some(entry.version.to_string()),
        },
    }
}

/// Decodes a change received from a peer; `None` if it is malformed, or is an entry without a version
/// as builds tell it that read none.
pub fn decode_change(received: &ServerChange) -> Option<(LogPosition, DirectoryChange)> {
    let id = ServerId::try_from(received.server.as_str()).ok()?;
    let position = LogPosition { era: StoreEra(received.era), offset: LogOffset(received.offset) };
    if received.address.is_empty() {
        return Some((position, DirectoryChange::Absent(id)));
    }
    let address: SocketAddr = received.address.parse().ok()?;
    let state = if received.draining { ServingState::Draining } else { ServingState::Ready };
    let entry = BackendEntry {
        id,
        service: ServiceName::try_from(received.service.as_str()).ok()?,
        address,
        zone: ZoneName::try_from(received.zone.as_str()).ok()?,
        version: SoftwareVersion::parse(received.version.as_deref()?)?,
        state,
        slots: received.slots,
        started_at_ms: received.born_ms,
        reclaimable: received.reclaimable,
        reclaimed_in: received.leaves_in_ms.map(Duration::from_millis),
        sequence: received.sequence,
    };
    Some((position, DirectoryChange::Present(entry)))
}
