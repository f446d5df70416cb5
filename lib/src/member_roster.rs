//! Table of all known members, with the queue of changes to gossip.

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

/// Maximum number of members. Records of further hosts are dropped.
pub const MAX_MEMBERS: usize = 2_048;

slotmap::new_key_type! {
    /// Handle of a member in the roster.
    pub struct MemberKey;
}

/// Status of a member in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListStatus {
    /// No list was read since the member was added.
    Unread,
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
    /// It is not listed.
    Absent,
}

/// One known member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its newest record.
    pub record: MemberRecord,
    /// Hash of its host id.
    pub hash: u64,
    /// Time of the last change of the record.
    pub changed: Timestamp,
    /// Number of the connection in use, if any.
    pub connection: Option<u32>,
    /// Its status in the platform's host list.
    pub listed: HostListStatus,
    /// It did not answer while the local host was isolated, which is no reason to suspect it.
    pub unverified: bool,
    /// Load that it last reported, in percent.
    pub load_percent: u8,
    sends: u32,
    digest: u64,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterMerge {
    /// The record does not supersede the known one.
    Known,
    /// The member is new.
    Added(MemberKey),
    /// The member changed. Carries its old address if the address changed too.
    Changed(MemberKey, Option<SocketAddr>),
    /// The record is of a dead host that is not known, or the roster is full.
    Ignored,
}

/// All known members except the local host.
#[derive(Debug, Default)]
pub struct MemberRoster {
    entries: SlotMap<MemberKey, MemberEntry>,
    keys: BTreeMap<HostId, MemberKey>,
    queue: BTreeSet<(u32, MemberKey)>,
    digests: BTreeMap<RegionName, u64>,
}

impl MemberRoster {
    /// Merges a record, and queues it if it changes a member.
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

    /// Sets the status of a member at its current incarnation, and queues the change.
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

    /// Removes a member.
    pub fn remove(&mut self, key: MemberKey) {
        if self.entries.contains_key(key) {
            self.subtract_digest(key);
        }
        if let Some(entry) = self.entries.remove(key) {
            self.keys.remove(&entry.record.host);
            self.queue.remove(&(entry.sends, key));
        }
    }

    /// Removes a change from the queue, so that the local host does not gossip it.
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

    /// Takes up to `count` changes for one message, those sent least often first. A change leaves
    /// the queue after `max_sends` sends.
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

    /// Returns up to `count` members that changed since `since`, newest change first.
    ///
    /// Suspected members are omitted, as digests do not reflect suspicions.
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

    /// Returns a member to change fields that are not gossiped.
    pub fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberEntry> {
        self.entries.get_mut(key)
    }

    /// Returns all members, ordered by host id.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.keys.values().map(|&key| (key, &self.entries[key]))
    }

    /// Returns the keys of all members, ordered by host id.
    pub fn keys(&self) -> Vec<MemberKey> {
        self.keys.values().copied().collect()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
