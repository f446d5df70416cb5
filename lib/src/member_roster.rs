//! Arena of the members that are known, with the queue of changes to spread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::ids::HostId;
use crate::ids::RegionName;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_record::host_hash;
use crate::timestamp::Timestamp;

/// Members that are kept, at most; records of further hosts are dropped.
pub const MAX_MEMBERS: usize = 2_048;

slotmap::new_key_type! {
    /// Handle of a member in the roster.
    pub struct MemberKey;
}

/// Whether a member is on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListStatus {
    /// No list was read since the member became known.
    Unread,
    /// The list calls it live.
    Live,
    /// The list calls it leaving.
    Leaving,
    /// The list does not name it.
    Absent,
}

/// One known member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// What is known about it.
    pub record: MemberRecord,
    /// Hash of its host id.
    pub hash: u64,
    /// Time of the last change of the record.
    pub changed: Timestamp,
    /// Number of the connection in use, if there is one.
    pub connection: Option<u32>,
    /// Its place on the platform's list.
    pub listed: HostListStatus,
    /// It did not answer while this host was isolated, which proves nothing against it.
    pub unverified: bool,
    /// Load that it reported last, in percent.
    pub load_percent: u8,
    sends: u32,
    digest: u64,
}

/// What became of a record that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterMerge {
    /// It is known already, or older than what is known.
    Known,
    /// The member is new.
    Added(MemberKey),
    /// The member changed; its old address comes with it if that changed too.
    Changed(MemberKey, Option<SocketAddr>),
    /// It is dead and was never known alive, or the roster is full.
    Ignored,
}

/// All known members but the local one.
#[derive(Debug, Default)]
pub struct MemberRoster {
    entries: SlotMap<MemberKey, MemberEntry>,
    keys: BTreeMap<HostId, MemberKey>,
    queue: BTreeSet<(u32, MemberKey)>,
    digests: BTreeMap<RegionName, u64>,
}

impl MemberRoster {
    /// Offers a record.
    pub fn merge(&mut self, now: Timestamp, record: MemberRecord) -> RosterMerge {
        let Some(&key) = self.keys.get(&record.host) else { return self.add(now, record) };
        if !record.supersedes(&self.entries[key].record) {
            return RosterMerge::Known;
        }
        self.subtract_digest(key);
        let entry = &mut self.entries[key];
        let old_address = entry.record.address;
        let moved = (old_address != record.address).then_some(old_address);
        entry.record = record;
        entry.changed = now;
        self.add_digest(key);
        self.requeue(key);
        RosterMerge::Changed(key, moved)
    }

    fn add(&mut self, now: Timestamp, record: MemberRecord) -> RosterMerge {
        if record.status == MemberStatus::Dead || self.entries.len() >= MAX_MEMBERS {
            return RosterMerge::Ignored;
        }
        let host = record.host.clone();
        let key = self.entries.insert(MemberEntry {
            hash: host_hash(&host),
            record,
            changed: now,
            connection: None,
            listed: HostListStatus::Unread,
            unverified: false,
            load_percent: 0,
            sends: 0,
            digest: 0,
        });
        self.keys.insert(host, key);
        self.queue.insert((0, key));
        self.add_digest(key);
        RosterMerge::Added(key)
    }

    /// Gives a member another status at its present incarnation and spreads that.
    pub fn set_status(&mut self, now: Timestamp, key: MemberKey, status: MemberStatus) {
        if !self.entries.contains_key(key) {
            return;
        }
        self.subtract_digest(key);
        let entry = &mut self.entries[key];
        entry.record.status = status;
        entry.changed = now;
        self.add_digest(key);
        self.requeue(key);
    }

    /// Forgets a member.
    pub fn remove(&mut self, key: MemberKey) {
        if self.entries.contains_key(key) {
            self.subtract_digest(key);
        }
        if let Some(entry) = self.entries.remove(key) {
            self.keys.remove(&entry.record.host);
            self.queue.remove(&(entry.sends, key));
        }
    }

    /// Leaves a change to others to spread.
    pub fn unqueue(&mut self, key: MemberKey) {
        if let Some(entry) = self.entries.get(key) {
            self.queue.remove(&(entry.sends, key));
        }
    }

    fn requeue(&mut self, key: MemberKey) {
        let entry = &mut self.entries[key];
        self.queue.remove(&(entry.sends, key));
        entry.sends = 0;
        self.queue.insert((0, key));
    }

    /// Takes up to `count` changes for one message: those sent least often first; a change leaves
    /// the queue after `max_sends`.
    pub fn take_changes(&mut self, max_sends: u32, count: usize) -> Vec<MemberRecord> {
        let chosen: Vec<(u32, MemberKey)> = self.queue.iter().take(count).copied().collect();
        let mut records = Vec::with_capacity(chosen.len());
        for (sends, key) in chosen {
            self.queue.remove(&(sends, key));
            let entry = &mut self.entries[key];
            entry.sends = sends + 1;
            if entry.sends < max_sends {
                self.queue.insert((entry.sends, key));
            }
            records.push(entry.record.clone());
        }
        records
    }

    /// Returns up to `count` members that changed since `since`, the newest change first.
    ///
    /// Suspicions are left out, as digests do not count them either.
    pub fn recent_changes(&self, since: Timestamp, count: usize) -> Vec<MemberRecord> {
        let mut recent: Vec<&MemberEntry> = self
            .keys
            .values()
            .map(|&key| &self.entries[key])
            .filter(|entry| entry.changed >= since)
            .filter(|entry| entry.record.status != MemberStatus::Suspected)
            .collect();
        recent.sort_by_key(|entry| std::cmp::Reverse(entry.changed));
        recent.into_iter().take(count).map(|entry| entry.record.clone()).collect()
    }

    fn add_digest(&mut self, key: MemberKey) {
        let entry = &mut self.entries[key];
        let dead = entry.record.status == MemberStatus::Dead;
        entry.digest = if dead { 0 } else { entry.record.digest() };
        let sum = self.digests.entry(entry.record.region.clone()).or_default();
        *sum = sum.wrapping_add(entry.digest);
    }

    fn subtract_digest(&mut self, key: MemberKey) {
        let entry = &self.entries[key];
        if let Some(sum) = self.digests.get_mut(&entry.record.region) {
            *sum = sum.wrapping_sub(entry.digest);
        }
    }

    /// Returns, for each region, the sum of the digests of its members that are not dead.
    pub fn digests(&self) -> &BTreeMap<RegionName, u64> {
        &self.digests
    }

    /// Returns the key of a member.
    pub fn key_of(&self, host: &HostId) -> Option<MemberKey> {
        self.keys.get(host).copied()
    }

    /// Returns a member.
    pub fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.entries.get(key)
    }

    /// Returns a member to change what is not spread.
    pub fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberEntry> {
        self.entries.get_mut(key)
    }

    /// Returns all members in the order of their hosts.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.keys.values().map(|&key| (key, &self.entries[key]))
    }

    /// Returns the keys of all members in the order of their hosts.
    pub fn keys(&self) -> Vec<MemberKey> {
        self.keys.values().copied().collect()
    }

    /// Returns how many members are known.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
