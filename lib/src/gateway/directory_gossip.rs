//! Recent directory changes, gossiped to peers.
//!
//! Load pattern: dozens of hosts follow a directory in which dozens of servers come and go, and
//! they share the reads of it. A host that reads a change includes it in its next summaries, with the
//! range of the log whose changes they hold. A peer's read counts as this host's own only if that range
//! follows what this host knows: summaries are lost, and a listing at the start is not told.

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

/// Number of peers that tell a change after which this host does not tell it as well. When many servers
/// come or go at once, dozens of hosts read the same changes, and telling them all would fill the links.
const ENOUGH_TELLERS: usize = 3;

/// A change that this host read.
#[derive(Clone, Debug)]
struct ReadChange {
    read_at: Timestamp,
    position: LogPosition,
    change: DirectoryChange,
    /// Whether a summary has carried it.
    is_told: bool,
}

/// A range of the directory's log, all of whose changes a host's summaries hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldRange {
    /// First position.
    pub from: LogPosition,
    /// Position after the last one.
    pub next: LogPosition,
}

impl ToldRange {
    /// Returns whether a change in the range is told.
    fn holds(&self, position: LogPosition) -> bool {
        position.era == self.next.era && self.from <= position && position < self.next
    }
}

/// Up to where this host knows the directory, from its own reads and from those of its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCoverage {
    /// Position before which every change is known, and a time before which none was made after it.
    known: Option<(LogPosition, Timestamp)>,
}

impl DirectoryCoverage {
    /// Records a read by this host that began at a time.
    pub fn on_read(&mut self, begun_at: Timestamp, next: LogPosition) {
        self.known = Some((next, begun_at));
    }

    /// Records a read by a peer that began at a time, after its changes were applied. It counts if no
    /// change between what this host knows and the peer's position is missing.
    pub fn on_peer_read(&mut self, begun_at: Timestamp, range: ToldRange) {
        let Some((known_to, as_of)) = &mut self.known else { return };
        let is_gapless = range.from <= *known_to || range.next <= *known_to;
        if known_to.era == range.next.era && is_gapless {
            *known_to = range.next.max(*known_to);
            *as_of = begun_at.max(*as_of);
        }
    }

    /// Returns the time before which this host knows every change, or `None` before its first read.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.known.map(|(_, as_of)| as_of)
    }
}

/// Changes to gossip, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DirectoryGossip {
    changes: VecDeque<ReadChange>,
    /// Number of changes added since the host started.
    count: u64,
    /// Recent reads, and the position after each.
    reads: VecDeque<(Timestamp, LogPosition)>,
    /// Range of the log whose changes are told.
    told: ToldRange,
    /// When the last read began.
    begun_at: Option<Timestamp>,
}

/// The changes in one summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipedChanges {
    /// The most recent changes.
    pub changes: Vec<ServerChange>,
    /// Number of changes since the host started.
    pub count: u64,
    /// Number of changes that are not told, since enough peers tell them.
    pub untold: usize,
}

impl DirectoryGossip {
    /// Records up to where this host has read the directory, before the changes of the read. Nothing is
    /// told of a listing.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        next: LogPosition,
        is_listing: bool,
    ) {
        self.begun_at = Some(begun_at);
        if is_listing || self.told.next.era != next.era {
            self.told.from = next;
        }
        self.told.next = next;
        self.reads.push_back((now, next));
    }

    /// Returns the time since this host's last read began, or `None` before the first.
    pub fn read_age(&self, now: Timestamp) -> Option<Duration> {
        self.begun_at.map(|begun_at| now.since(begun_at))
    }

    /// Returns the range of the log whose changes are told.
    pub fn told(&self) -> ToldRange {
        self.told
    }

    /// Adds a change that this host read and that had an effect.
    pub fn on_change(&mut self, now: Timestamp, position: LogPosition, change: DirectoryChange) {
        self.count += 1;
        self.changes.push_back(ReadChange { read_at: now, position, change, is_told: false });
        if self.changes.len() > MAX_CHANGES_PER_SUMMARY
            && let Some(first) = self.changes.pop_front()
        {
            self.on_untold(first.position);
        }
    }

    /// Records that a change is not told: it is too old, or peers tell it.
    pub fn on_untold(&mut self, position: LogPosition) {
        if position.era == self.told.next.era {
            let after = LogPosition { offset: LogOffset(position.offset.0 + 1), ..position };
            self.told.from = self.told.from.max(after);
        }
    }

    /// Returns whether there are changes that no summary has carried.
    pub fn has_new(&self) -> bool {
        self.changes.iter().any(|read| !read.is_told)
    }

    /// Returns the changes to include in the next summary, and drops older ones. Those that enough
    /// peers tell, by their ranges, are not told unless a summary has carried them.
    pub fn recent_changes(&mut self, now: Timestamp, peers: &[ToldRange]) -> GossipedChanges {
        let is_old = |read_at: Timestamp| now.since(read_at) >= GOSSIP_WINDOW;
        while self.changes.front().is_some_and(|first| is_old(first.read_at)) {
            self.changes.pop_front();
        }
        while let Some((_, next)) = self.reads.pop_front_if(|(read_at, _)| is_old(*read_at)) {
            if next.era == self.told.next.era {
                self.told.from = self.told.from.max(next);
            }
        }
        let is_untold =
            |read: &ReadChange| !read.is_told && is_told_by_enough(read.position, peers);
        let untold: Vec<LogPosition> =
            self.changes.iter().filter(|read| is_untold(read)).map(|read| read.position).collect();
        self.changes.retain(|read| !is_untold(read));
        untold.iter().for_each(|position| self.on_untold(*position));
        // A change that is never told counts for nobody.
        self.count -= untold.len() as u64;
        let encode = |read: &mut ReadChange| {
            read.is_told = true;
            encode_change(read.position, &read.change)
        };
        GossipedChanges {
            changes: self.changes.iter_mut().map(encode).collect(),
            count: self.count,
            untold: untold.len(),
        }
    }
}

/// Returns whether enough peers tell a change.
fn is_told_by_enough(position: LogPosition, peers: &[ToldRange]) -> bool {
    peers.iter().filter(|range| range.holds(position)).count() >= ENOUGH_TELLERS
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
