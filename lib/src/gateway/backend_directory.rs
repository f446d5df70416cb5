//! The backend servers that the platform's directory lists.
//!
//! Load pattern: the directory's entries lapse by the dozen while its store is away although the
//! servers live. Removals that arrive around an outage are pending_removals back for a grace period, in which the
//! servers are used only if there is no other, and only what is still missing afterwards is gone.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::gateway::read_schedule::ReadTimes;
use crate::ids::LogOffset;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Time after the store's return for which a missing entry may still come back; the directory's
/// contract says two seconds, and half a second is for reading it.
pub const RECOVERY_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Time without a successful read after which the store counts as away.
pub const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It does.
    Ready,
    /// It is leaving and finishes what it has.
    Draining,
}

/// What a server says of itself in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Identity.
    pub id: ServerId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: ServingState,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time of its start in milliseconds since 1970; tells lives of one id apart.
    pub started_at_ms: Option<u64>,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// Time until it is taken back, if that is known.
    pub reclaimed_in: Option<Duration>,
}

/// A change read from the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The server's entry is now this.
    Present(BackendEntry),
    /// The entry was removed, or can no longer be read.
    Absent(ServerId),
}

/// What a change did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryEffect {
    /// A server joined.
    Joined(ServerKey),
    /// A server started again under its old id; what was known of its memory is void.
    Restarted(ServerKey),
    /// A server began to leave.
    Draining(ServerKey),
    /// A server is gone; its key is no longer listed.
    Removed(ServerKey),
    /// Nothing that matters to routing changed.
    Unchanged,
}

/// A listed backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Its newest entry.
    pub entry: BackendEntry,
    /// When the host learned that it leaves, if it does.
    pub draining_since: Option<Timestamp>,
    /// Whether its entry is missing, and may yet come back after an outage of the store.
    pub is_missing: bool,
}

/// A server whose entry stayed away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredServer {
    /// Its former key.
    pub key: ServerKey,
    /// Identity.
    pub id: ServerId,
    /// Record of its removal, unless a complete listing showed it.
    pub offset: Option<LogOffset>,
}

/// The directory as this host knows it.
#[derive(Clone, Debug, Default)]
pub struct BackendDirectory {
    servers: SlotMap<ServerKey, BackendServer>,
    by_id: HashMap<ServerId, ServerKey>,
    offsets: HashMap<ServerId, LogOffset>,
    /// Removals that wait for the end of the grace period.
    pending_removals: BTreeMap<ServerId, Timestamp>,
    /// This host's last successful read.
    own_read_at: Option<Timestamp>,
    /// Last successful read of any host.
    newest_read_at: Option<Timestamp>,
    /// Until when failures of reads count as recent.
    failures_recent_until: Option<Timestamp>,
    /// Until when removals are pending_removals back.
    grace_ends_at: Option<Timestamp>,
}

impl BackendDirectory {
    /// Records a successful read of the store; a long gap before it starts the grace period.
    pub fn on_read(&mut self, now: Timestamp) {
        self.own_read_at = Some(now);
        self.on_peer_read(now, now);
    }

    /// Records that a peer read the store successfully at a time; as a first read after a long gap
    /// it starts the grace period here as well.
    pub fn on_peer_read(&mut self, now: Timestamp, at: Timestamp) {
        if self.newest_read_at.is_some_and(|known| at.since(known) >= STORE_OUTAGE_THRESHOLD) {
            self.grace_ends_at = Some(now + RECOVERY_GRACE_PERIOD);
        }
        self.newest_read_at = self.newest_read_at.max(Some(at));
    }

    /// Returns whether this host should read the directory as often as if it were alone: entries are
    /// missing that may come back, or its own reads failed a moment ago.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        !self.pending_removals.is_empty()
            || self.failures_recent_until.is_some_and(|until| until > now)
    }

    /// Records that the store refused or failed a read: what lapses now may come back.
    pub fn on_read_failure(&mut self, now: Timestamp) {
        self.failures_recent_until = Some(now + RECOVERY_GRACE_PERIOD);
        self.grace_ends_at = Some(now + RECOVERY_GRACE_PERIOD);
    }

    /// Applies a change; one that is older than what is known of the server has no effect.
    pub fn apply(
        &mut self,
        now: Timestamp,
        offset: LogOffset,
        change: DirectoryChange,
    ) -> DirectoryEffect {
        let id = match &change {
            DirectoryChange::Present(entry) => entry.id.clone(),
            DirectoryChange::Absent(id) => id.clone(),
        };
        if !self.is_newer(&id, offset) {
            return DirectoryEffect::Unchanged;
        }
        self.offsets.insert(id, offset);
        match change {
            DirectoryChange::Present(entry) => self.set_present(now, entry),
            DirectoryChange::Absent(id) => self.set_absent(now, id),
        }
    }

    /// Removes what has stayed away for the whole grace period.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ExpiredServer> {
        let due: Vec<ServerId> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        let remove = |id: ServerId| {
            let offset = self.offsets.get(&id).copied();
            let key = self.remove(&id)?;
            Some(ExpiredServer { key, id, offset })
        };
        due.into_iter().filter_map(remove).collect()
    }

    /// Returns whether a record of a server is newer than what is known of it.
    pub fn is_newer(&self, id: &ServerId, offset: LogOffset) -> bool {
        self.offsets.get(id).is_none_or(|known| *known < offset)
    }

    /// Treats servers that a complete listing does not name as removed.
    pub fn retain_listed(&mut self, now: Timestamp, listed: &[ServerId]) -> Vec<DirectoryEffect> {
        let missing: Vec<ServerId> =
            self.by_id.keys().filter(|id| !listed.contains(id)).cloned().collect();
        missing.into_iter().map(|id| self.set_absent(now, id)).collect()
    }

    /// Returns the time since this host's last successful read, or `None` before the first.
    pub fn read_age(&self, now: Timestamp) -> Option<Duration> {
        self.own_read_at.map(|at| now.since(at))
    }

    /// Returns when this host and any host last read the directory, if this one ever did.
    pub fn read_times(&self) -> Option<ReadTimes> {
        let own = self.own_read_at?;
        Some(ReadTimes { own, newest: self.newest_read_at.unwrap_or(own) })
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        self.servers.get(key)
    }

    /// Returns the key of a server.
    pub fn find(&self, id: &ServerId) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the servers of a service, those that leave included.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (ServerKey, &'a BackendServer)> {
        self.servers.iter().filter(move |(_, server)| server.entry.service == *service)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &BackendServer)> {
        self.servers.iter()
    }

    fn set_present(&mut self, now: Timestamp, entry: BackendEntry) -> DirectoryEffect {
        self.pending_removals.remove(&entry.id);
        let draining = entry.state == ServingState::Draining;
        let Some(key) = self.find(&entry.id) else {
            let draining_since = draining.then_some(now);
            let id = entry.id.clone();
            let key =
                self.servers.insert(BackendServer { entry, draining_since, is_missing: false });
            self.by_id.insert(id, key);
            return DirectoryEffect::Joined(key);
        };
        let Some(server) = self.servers.get_mut(key) else { return DirectoryEffect::Unchanged };
        let restarted = server.entry.started_at_ms != entry.started_at_ms
            || server.entry.address != entry.address;
        server.entry = entry;
        server.is_missing = false;
        match (draining, server.draining_since) {
            (true, None) => {
                server.draining_since = Some(now);
                DirectoryEffect::Draining(key)
            }
            (false, Some(_)) => {
                server.draining_since = None;
                DirectoryEffect::Restarted(key)
            }
            _ if restarted => DirectoryEffect::Restarted(key),
            _ => DirectoryEffect::Unchanged,
        }
    }

    fn set_absent(&mut self, now: Timestamp, id: ServerId) -> DirectoryEffect {
        if let Some(until) = self.grace_ends_at
            && until > now
        {
            if let Some(key) = self.find(&id) {
                self.servers[key].is_missing = true;
                self.pending_removals.entry(id).or_insert(until);
            }
            return DirectoryEffect::Unchanged;
        }
        self.remove(&id).map_or(DirectoryEffect::Unchanged, DirectoryEffect::Removed)
    }

    fn remove(&mut self, id: &ServerId) -> Option<ServerKey> {
        self.pending_removals.remove(id);
        let key = self.by_id.remove(id)?;
        self.servers.remove(key);
        Some(key)
    }
}
