//! The backend servers listed in the platform's directory, as this host last read them.
//!
//! Load pattern: while the directory's store is unavailable, dozens of entries expire although
//! their servers are alive. A removal that arrives during or shortly after an outage is therefore
//! held for a grace period. The server is then used only if there is no other, and it is removed if
//! its entry is still missing when the period ends.
//!
//! When the store comes back from an older copy, it lists servers as they were some seconds ago. A
//! record of the new era has an effect only if its server wrote it after the last one known here.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::gateway::read_schedule::ReadHistory;
use crate::gateway::read_schedule::ReadTimes;
use crate::ids::LogPosition;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::ZoneName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time after the store recovers for which a missing entry may still reappear: two seconds by the
/// directory's contract, plus half a second to read it.
pub const RECOVERY_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Time without a successful read after which the store counts as unavailable.
pub const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// Maximum number of servers known to be leaving by their own word; the oldest are dropped first.
const MAX_DEPARTURES: usize = 4_096;

/// Time for which a departure is told to peers; it spans several summaries.
const DEPARTURE_GOSSIP_WINDOW: Duration = Duration::from_secs(2);

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests and finishes those in flight.
    Draining,
}

/// A server's own entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Server id.
    pub id: ServerId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Version of the software that it runs.
    pub version: SoftwareVersion,
    /// Whether it accepts new requests.
    pub state: ServingState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in milliseconds since the Unix epoch; changes when a server restarts under the
    /// same id.
    pub started_at_ms: Option<u64>,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Time until it is reclaimed, if known.
    pub reclaimed_in: Option<Duration>,
    /// Number that the server gave to the entry; increases with each one.
    pub sequence: Option<u64>,
}

impl BackendEntry {
    /// Returns whether another entry says the same, whatever their sequence numbers. A server that is
    /// reclaimed writes the time left in each of its entries.
    pub fn is_same_state(&self, other: &Self) -> bool {
        let reclaimed_in = match (self.reclaimed_in, other.reclaimed_in) {
            (Some(_), left @ Some(_)) => left,
            (own, _) => own,
        };
        Self { sequence: other.sequence, reclaimed_in, ..self.clone() } == *other
    }
}

/// A change read from the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The server's current entry.
    Present(BackendEntry),
    /// The entry was removed, or can no longer be parsed.
    Absent(ServerId),
}

/// The effect of a change on the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryEffect {
    /// A server was added.
    Joined(ServerKey),
    /// A server restarted under the same id; what was known about its cache no longer holds.
    Restarted(ServerKey),
    /// A server started draining.
    Draining(ServerKey),
    /// A server was removed; its key is no longer valid.
    Removed(ServerKey),
    /// Nothing changed that affects routing.
    Unchanged,
}

/// A listed backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Latest entry.
    pub entry: BackendEntry,
    /// When this host learned that the server is draining, if it is.
    pub draining_since: Option<Timestamp>,
    /// Whether its entry is missing but may reappear after an outage of the store.
    pub is_missing: bool,
}

/// A server removed because its entry did not reappear within the grace period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredServer {
    /// Its former key.
    pub key: ServerKey,
    /// Server id.
    pub id: ServerId,
    /// Position of the record that removed it, unless a complete listing showed the removal.
    pub position: Option<LogPosition>,
}

/// Who told this host that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureSource {
    /// The server itself.
    Server,
    /// A peer that heard it from the server.
    Peer,
}

/// Whether removals that are read from now on are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalHold {
    /// They are, and were not before.
    Begun,
    /// Nothing changed, but for how long they are held.
    Unchanged,
}

/// A server's own word that it is leaving. It holds for the process that gave it, whatever the
/// directory lists.
#[derive(Clone, Copy, Debug)]
struct ServerDeparture {
    started_at_ms: Option<u64>,
    heard_at: Timestamp,
    source: DepartureSource,
}

impl ServerDeparture {
    /// Returns whether an entry is of the process that is leaving.
    fn covers(&self, entry: &BackendEntry) -> bool {
        match (self.started_at_ms, entry.started_at_ms) {
            (Some(left), Some(started)) => left == started,
            _ => true,
        }
    }
}

/// The newest record of a server, kept when the server is removed.
#[derive(Clone, Copy, Debug)]
struct KnownRecord {
    position: LogPosition,
    /// Start time in the newest entry.
    started_at_ms: Option<u64>,
    /// Sequence number of the newest entry.
    sequence: Option<u64>,
    /// Whether the store came back from a copy and has not yet shown a newer entry.
    may_be_copied: bool,
}

impl KnownRecord {
    /// Returns whether an entry was written before the newest known one, or is that one.
    fn covers(&self, entry: &BackendEntry) -> bool {
        match (entry.started_at_ms, self.started_at_ms) {
            (Some(started), Some(known)) if started != known => started < known,
            _ => {
                matches!((entry.sequence, self.sequence), (Some(sequence), Some(known)) if sequence <= known)
            }
        }
    }
}

/// Whether a record says anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordAge {
    New,
    /// It was copied before the newest known one was written.
    Covered,
}

/// This host's view of the directory.
#[derive(Clone, Debug, Default)]
pub struct BackendDirectory {
    servers: SlotMap<ServerKey, BackendServer>,
    by_id: HashMap<ServerId, ServerKey>,
    records: HashMap<ServerId, KnownRecord>,
    departures: HashMap<ServerId, ServerDeparture>,
    /// Era of the store at this host's last read.
    era: Option<StoreEra>,
    /// Missing servers, and when each is removed unless its entry reappears.
    pending_removals: BTreeMap<ServerId, Timestamp>,
    reads: ReadHistory,
    /// Until when the last failed read counts as recent.
    failures_recent_until: Option<Timestamp>,
    /// Until when removals are held.
    grace_ends_at: Option<Timestamp>,
}

impl BackendDirectory {
    /// Records a successful read of the store. A gap of [`STORE_OUTAGE_THRESHOLD`] before it, or
    /// another era, starts the grace period.
    pub fn on_read(&mut self, now: Timestamp, era: StoreEra) -> RemovalHold {
        let hold = self.on_peer_read(now, now);
        self.reads.on_read(now);
        if self.era.replace(era).is_some_and(|known| known != era) {
            return self.hold_removals(now);
        }
        hold
    }

    /// Records that a peer read the store successfully at the given time. The first read after a
    /// long gap starts the grace period on this host as well.
    pub fn on_peer_read(&mut self, now: Timestamp, at: Timestamp) -> RemovalHold {
        let after_gap =
            self.reads.newest().is_some_and(|known| at.since(known) >= STORE_OUTAGE_THRESHOLD);
        self.reads.on_peer_read(at);
        if after_gap { self.hold_removals(now) } else { RemovalHold::Unchanged }
    }

    fn hold_removals(&mut self, now: Timestamp) -> RemovalHold {
        let was_held = self.removal_held_for(now).is_some();
        self.grace_ends_at = Some(now + RECOVERY_GRACE_PERIOD);
        if was_held { RemovalHold::Unchanged } else { RemovalHold::Begun }
    }

    /// Returns for how long a removal that is read now is held; `None` if it has an effect at once.
    pub fn removal_held_for(&self, now: Timestamp) -> Option<Duration> {
        self.grace_ends_at.filter(|until| *until > now).map(|until| until.since(now))
    }

    /// Returns whether this host should read the directory at the full rate: missing entries may
    /// reappear, or its own reads failed recently.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        !self.pending_removals.is_empty()
            || self.failures_recent_until.is_some_and(|until| until > now)
    }

    /// Records that a read of the store failed or was refused; entries that expire from now on may
    /// reappear.
    pub fn on_read_failure(&mut self, now: Timestamp) -> RemovalHold {
        self.failures_recent_until = Some(now + RECOVERY_GRACE_PERIOD);
        self.hold_removals(now)
    }

    /// Applies a change; one that is not newer than the last known record of the server has no
    /// effect.
    pub fn apply(
        &mut self,
        now: Timestamp,
        position: LogPosition,
        change: DirectoryChange,
    ) -> DirectoryEffect {
        let id = match &change {
            DirectoryChange::Present(entry) => entry.id.clone(),
            DirectoryChange::Absent(id) => id.clone(),
        };
        if !self.is_newer(&id, position) {
            return DirectoryEffect::Unchanged;
        }
        if self.record(id, position, &change) == RecordAge::Covered {
            return DirectoryEffect::Unchanged;
        }
        match change {
            DirectoryChange::Present(entry) => self.set_present(now, entry),
            DirectoryChange::Absent(id) => self.set_absent(now, id),
        }
    }

    /// Records that a server says that it is leaving; it counts as draining from now on. `started_at_ms`
    /// tells its process from later ones of the same id.
    pub fn on_departure(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        started_at_ms: Option<u64>,
        source: DepartureSource,
    ) -> DirectoryEffect {
        let is_old = |known: &ServerDeparture| {
            known.started_at_ms == started_at_ms
                || known.started_at_ms.zip(started_at_ms).is_some_and(|(known, told)| known > told)
        };
        if self.departures.get(id).is_some_and(is_old) {
            return DirectoryEffect::Unchanged;
        }
        let departure = ServerDeparture { started_at_ms, heard_at: now, source };
        self.departures.insert(id.clone(), departure);
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.heard_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.departures.remove(&oldest);
            }
        }
        let Some(key) = self.find(id) else { return DirectoryEffect::Unchanged };
        let Some(server) = self.servers.get_mut(key) else { return DirectoryEffect::Unchanged };
        if server.draining_since.is_some() || !departure.covers(&server.entry) {
            return DirectoryEffect::Unchanged;
        }
        server.draining_since = Some(now);
        DirectoryEffect::Draining(key)
    }

    /// Returns the servers that recently told this host that they are leaving, with the start times of
    /// their processes.
    pub fn recent_departures(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ServerId, Option<u64>)> {
        let is_recent = move |departure: &ServerDeparture| {
            departure.source == DepartureSource::Server
                && now.since(departure.heard_at) < DEPARTURE_GOSSIP_WINDOW
        };
        let recent = self.departures.iter().filter(move |(_, departure)| is_recent(departure));
        recent.map(|(id, departure)| (id, departure.started_at_ms))
    }

    /// Removes the servers whose grace period has ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ExpiredServer> {
        let due: Vec<ServerId> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        let remove = |id: ServerId| {
            let position = self.records.get(&id).map(|known| known.position);
            let key = self.remove(&id)?;
            Some(ExpiredServer { key, id, position })
        };
        due.into_iter().filter_map(remove).collect()
    }

    /// Returns whether a record of a server is newer than the last known one.
    pub fn is_newer(&self, id: &ServerId, position: LogPosition) -> bool {
        self.records.get(id).is_none_or(|known| known.position < position)
    }

    /// Returns whether what is known of a server is of an earlier era than a position: it has written nothing
    /// new since the store came back from a copy.
    pub fn is_of_earlier_era(&self, id: &ServerId, position: LogPosition) -> bool {
        self.records
            .get(id)
            .is_some_and(|known| known.may_be_copied || known.position.era < position.era)
    }

    /// Treats servers that are missing from a complete listing as removed.
    pub fn retain_listed(&mut self, now: Timestamp, listed: &[ServerId]) -> Vec<DirectoryEffect> {
        let missing: Vec<ServerId> =
            self.by_id.keys().filter(|id| !listed.contains(id)).cloned().collect();
        missing.into_iter().map(|id| self.set_absent(now, id)).collect()
    }

    /// Returns the time since this host's last successful read, or `None` before the first.
    pub fn read_age(&self, now: Timestamp) -> Option<Duration> {
        self.reads.age(now)
    }

    /// Returns the times of the last read by this host and by any host, or `None` if this host has
    /// not read yet.
    pub fn read_times(&self) -> Option<ReadTimes> {
        self.reads.times()
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        self.servers.get(key)
    }

    /// Returns whether a server is listed as the process that it was when it was chosen, and is not
    /// leaving.
    pub fn accepts_work(
        &self,
        key: ServerKey,
        started_at_ms: Option<u64>,
        address: SocketAddr,
    ) -> bool {
        self.get(key).is_some_and(|server| {
            server.draining_since.is_none()
                && server.entry.started_at_ms == started_at_ms
                && server.entry.address == address
        })
    }

    /// Returns the key of a server.
    pub fn find(&self, id: &ServerId) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the servers of a service, including draining ones.
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

    /// Notes the newest record of a server.
    fn record(
        &mut self,
        id: ServerId,
        position: LogPosition,
        change: &DirectoryChange,
    ) -> RecordAge {
        let fresh =
            KnownRecord { position, started_at_ms: None, sequence: None, may_be_copied: false };
        let known = self.records.entry(id).or_insert(fresh);
        known.may_be_copied |= known.position.era < position.era;
        known.position = position;
        let DirectoryChange::Present(entry) = change else { return RecordAge::New };
        if known.may_be_copied && known.covers(entry) {
            return RecordAge::Covered;
        }
        (known.started_at_ms, known.sequence) = (entry.started_at_ms, entry.sequence);
        known.may_be_copied = false;
        RecordAge::New
    }

    fn set_present(&mut self, now: Timestamp, entry: BackendEntry) -> DirectoryEffect {
        self.pending_removals.remove(&entry.id);
        let departed = self.departures.get(&entry.id).is_some_and(|known| known.covers(&entry));
        let draining = departed || entry.state == ServingState::Draining;
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
