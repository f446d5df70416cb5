//! Changes of the directory that this host read a moment ago, for telling its peers.
//!
//! Load pattern: dozens of hosts follow a directory in which servers come and go by the dozen, and
//! take turns at reading it. Whoever reads a change tells the others with its next summaries, and a
//! host that was not told all changes notices.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::backend_directory::BackendEntry;
use crate::gateway::backend_directory::DirectoryChange;
use crate::gateway::backend_directory::ServingState;
use crate::ids::LogOffset;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::protos::gateway::ServerChange;
use crate::timestamp::Timestamp;

/// Time for which a change is received: three summaries.
const GOSSIP_WINDOW: Duration = Duration::from_millis(1_200);

/// Changes in one summary at most; with about 90 bytes each they fill a quarter of a datagram. Peers
/// that miss the others read the directory themselves.
const MAX_CHANGES_PER_SUMMARY: usize = 24;

/// Changes to tell, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DirectoryGossip {
    changes: VecDeque<(Timestamp, LogOffset, DirectoryChange)>,
    /// Changes added since the start.
    count: u64,
}

/// What a summary tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipedChanges {
    /// The last changes.
    pub changes: Vec<ServerChange>,
    /// Number of all changes so far.
    pub count: u64,
}

impl DirectoryGossip {
    /// Adds a change that this host read and that had an effect.
    pub fn on_change(&mut self, now: Timestamp, offset: LogOffset, change: DirectoryChange) {
        self.count += 1;
        self.changes.push_back((now, offset, change));
        if self.changes.len() > MAX_CHANGES_PER_SUMMARY {
            self.changes.pop_front();
        }
    }

    /// Returns what to tell now.
    pub fn recent_changes(&mut self, now: Timestamp) -> GossipedChanges {
        while self.changes.front().is_some_and(|(at, _, _)| now.since(*at) >= GOSSIP_WINDOW) {
            self.changes.pop_front();
        }
        let encode =
            |(_, offset, change): &(_, LogOffset, DirectoryChange)| encode_change(*offset, change);
        GossipedChanges { changes: self.changes.iter().map(encode).collect(), count: self.count }
    }
}

/// Returns whether a peer read changes that this host was not told, by what it told last time and
/// tells now.
pub fn has_missed_changes(known_count: Option<u64>, count: u64, included: usize) -> bool {
    count.saturating_sub(included as u64) > known_count.unwrap_or(0)
}

fn encode_change(offset: LogOffset, change: &DirectoryChange) -> ServerChange {
    match change {
        DirectoryChange::Absent(id) => {
            ServerChange { offset: offset.0, server: id.to_string(), ..ServerChange::default() }
        }
        DirectoryChange::Present(entry) => ServerChange {
            offset: offset.0,
            server: entry.id.to_string(),
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            zone: entry.zone.to_string(),
            draining: entry.state == ServingState::Draining,
            slots: entry.slots,
            born_ms: entry.started_at_ms,
            reclaimable: entry.reclaimable,
            leaves_in_ms: entry.reclaimed_in.map(|left| left.as_millis() as u64),
        },
    }
}

/// Decodes a change that a peer told; `None` if it is malformed.
pub fn decode_change(received: &ServerChange) -> Option<(LogOffset, DirectoryChange)> {
    let id = ServerId::try_from(received.server.as_str()).ok()?;
    let offset = LogOffset(received.offset);
    if received.address.is_empty() {
        return Some((offset, DirectoryChange::Absent(id)));
    }
    let address: SocketAddr = received.address.parse().ok()?;
    let state = if received.draining { ServingState::Draining } else { ServingState::Ready };
    let entry = BackendEntry {
        id,
        service: ServiceName::try_from(received.service.as_str()).ok()?,
        address,
        zone: ZoneName::try_from(received.zone.as_str()).ok()?,
        state,
        slots: received.slots,
        started_at_ms: received.born_ms,
        reclaimable: received.reclaimable,
        reclaimed_in: received.leaves_in_ms.map(Duration::from_millis),
    };
    Some((offset, DirectoryChange::Present(entry)))
}
