//! Relaying between regions, pushes of changes, anti-entropy, and expiry of members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::member_event::MemberAction;
use crate::member_probe::UPDATES_PER_PUSH;
use crate::member_record::MemberStatus;
use crate::member_record::host_hash;
use crate::member_record::process_incarnation;
use crate::member_roster::HostListStatus;
use crate::member_roster::MemberKey;
use crate::member_section::SectionScope;
use crate::member_snapshot::ViewFreshness;
use crate::member_zone::RegionReachability;
use crate::member_zone::ZoneSummary;
use crate::membership::MembershipTable;
use crate::membership::PAYLOAD_SENDS;
use crate::peer_message::MessageBody;
use crate::peer_message::PeerMessage;
use crate::timestamp::Timestamp;

/// With fewer other members in the local region, silence does not show that the local host is
/// isolated.
const MIN_REGION_MEMBERS_FOR_ISOLATION: usize = 2;

/// Time within which a change normally reaches all members.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(1);

/// Maximum bytes of payload sections in one push.
const PUSH_SECTION_BYTES: usize = 160;

/// Maximum age of a change that is sent again to a member with a different table digest.
const RECENT_CHANGE_WINDOW: Duration = Duration::from_secs(8);

/// Maximum number of changes sent again in one message.
const RECENT_CHANGES_PER_MESSAGE: usize = 12;

#[derive(Default)]
struct ZoneCount {
    live: u32,
    leaving: u32,
    load_sum: u32,
}

impl ZoneCount {
    fn add(&mut self, status: MemberStatus, load_percent: u8) {
        match status {
            MemberStatus::Live | MemberStatus::Suspected => self.live += 1,
            MemberStatus::Leaving => self.leaving += 1,
            MemberStatus::Dead => return,
        }
        self.load_sum += u32::from(load_percent);
    }
}

impl MembershipTable {
    /// Returns whether the local host is a relay, which exchanges messages with other regions.
    ///
    /// The relays are the live members of the region with the smallest hashes, so that all members
    /// agree on them without coordination.
    pub(crate) fn is_relay(&self) -> bool {
        if self.local.status != MemberStatus::Live {
            return false;
        }
        let own = host_hash(&self.local.host);
        let smaller = self
            .roster
            .iter()
            .filter(|(_, entry)| entry.record.region == self.local.region)
            .filter(|(_, entry)| entry.record.status == MemberStatus::Live && entry.hash < own)
            .count();
        smaller < self.config.relays
    }

    /// Updates the unreachable regions. On a relay, also summarizes the local zones and probes one
    /// member of each other region.
    pub(crate) fn exchange_regions(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        if now < self.next.relay {
            return;
        }
        self.next.relay = now + self.config.relay_period;
        self.update_unreachable_regions(now, actions);
        if !self.is_relay() {
            return;
        }
        self.summarize_zones(now);
        for key in self.pick_remote_members() {
            self.probe_member(now, key, actions);
        }
    }

    /// Adds recent changes to the reply to a member whose table differs, however often they were
    /// sent, so that a member that missed them gets them in its next exchange with any member that
    /// has them.
    pub(crate) fn attach_recent_changes(&self, reply: &mut PeerMessage) {
        let since = self.last_event - RECENT_CHANGE_WINDOW;
        for record in self.roster.recent_changes(since, RECENT_CHANGES_PER_MESSAGE) {
            if !reply.updates.contains(&record) {
                reply.updates.push(record);
            }
        }
    }

    /// Returns one random member of each other region that is not dead.
    fn pick_remote_members(&mut self) -> Vec<MemberKey> {
        let local_region = self.local.region.clone();
        let remote = self.shuffled(|entry| {
            entry.record.region != local_region && entry.record.status != MemberStatus::Dead
        });
        let mut picked: BTreeMap<RegionName, MemberKey> = BTreeMap::new();
        for key in remote {
            if let Some(entry) = self.roster.get(key) {
                picked.entry(entry.record.region.clone()).or_insert(key);
            }
        }
        picked.into_values().collect()
    }

    /// Publishes the view when a region becomes unreachable or reachable again.
    fn update_unreachable_regions(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let unreachable: BTreeSet<RegionName> = self
            .roster
            .digests()
            .keys()
            .filter(|region| **region != self.local.region)
            .filter(|region| {
                self.zones.reachability(now, region, self.config.region_silence)
                    == RegionReachability::Unreachable
            })
            .cloned()
            .collect();
        if unreachable != self.unreachable {
            self.unreachable = unreachable;
            actions.push(MemberAction::PublishView);
        }
    }

    fn summarize_zones(&mut self, now: Timestamp) {
        let mut counts: BTreeMap<ZoneName, ZoneCount> = BTreeMap::new();
        let local = &self.local;
        counts.entry(local.zone.clone()).or_default().add(local.status, self.local_load);
        for (_, entry) in self.roster.iter() {
            if entry.record.region == local.region {
                let count = counts.entry(entry.record.zone.clone()).or_default();
                count.add(entry.record.status, entry.load_percent);
            }
        }
        let region = local.region.clone();
        let incarnation = process_incarnation(local.incarnation).0;
        for (zone, count) in counts {
            let period = self.config.summary_period;
            let Some(next) = self.zones.next_version(now, &region, &zone, period) else { continue };
            let version = incarnation.max(next);
            let members = (count.live + count.leaving).max(1);
            let summary = ZoneSummary {
                region: region.clone(),
                zone,
                version,
                live: count.live,
                leaving: count.leaving,
                load_percent: count.load_sum / members,
            };
            self.zones.merge(now, summary);
        }
    }

    /// Pushes the queued changes and payloads as far as the token buckets allow. Later messages
    /// carry the rest.
    pub(crate) fn push_within_rate(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let changes_due = self.push_pending && self.change_rate.take(now);
        let payloads_due = self.payload_pending && self.payload_rate.take(now);
        if changes_due || payloads_due {
            self.push_changes(actions);
        }
    }

    /// Pushes the queued changes to a few random members of the local region, and to other regions
    /// if the local host is a relay.
    pub(crate) fn push_changes(&mut self, actions: &mut Vec<MemberAction>) {
        self.push_pending = false;
        self.payload_pending = false;
        let local_region = self.local.region.clone();
        let candidates = self.shuffled(|entry| {
            entry.record.region == local_region && entry.record.status != MemberStatus::Dead
        });
        let mut targets: Vec<MemberKey> =
            candidates.into_iter().take(self.config.push_fanout).collect();
        if self.is_relay() {
            targets.extend(self.pick_remote_members());
        }
        let changes = self.take_changes(UPDATES_PER_PUSH);
        let sections = self.sections.take(SectionScope::Global, PAYLOAD_SENDS, PUSH_SECTION_BYTES);
        for key in targets {
            let Some(connection) = self.connection_to(key) else { continue };
            let mut message = self.compose_with(Some(key), MessageBody::Push, changes.clone());
            message.sections = sections.clone();
            actions.push(MemberAction::Send(connection, message));
        }
    }

    /// Requests a table if the view is stale, or has differed from that of other members for longer
    /// than the convergence limit.
    pub(crate) fn run_anti_entropy(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        if now < self.next.table || self.roster.is_empty() {
            return;
        }
        let is_old = |since: Timestamp| now.since(since) >= CONVERGENCE_LIMIT;
        let is_stale = self.freshness == ViewFreshness::Stale;
        if is_stale || self.region_mismatch_since.is_some_and(is_old) {
            let source =
                self.pick_region_member().or_else(|| self.pick_remote_members().first().copied());
            self.request_table(now, source, actions);
            return;
        }
        let differing = self.remote_mismatches.iter().find(|(_, (since, _))| is_old(*since));
        let Some((region, &(_, key))) = differing else { return };
        let region = region.clone();
        self.remote_mismatches.remove(&region);
        self.request_table(now, Some(key), actions);
    }

    /// Returns a random live member of the local region.
    fn pick_region_member(&mut self) -> Option<MemberKey> {
        let local_region = self.local.region.clone();
        let candidates = self.shuffled(|entry| {
            entry.record.region == local_region && entry.record.status == MemberStatus::Live
        });
        candidates.first().copied()
    }

    fn request_table(
        &mut self,
        now: Timestamp,
        from: Option<MemberKey>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(key) = from else { return };
        // The rest of the process cannot use a stale view, so retry sooner.
        self.next.table = match self.freshness {
            ViewFreshness::Stale => now + self.config.probe_period,
            ViewFreshness::Fresh => now + self.config.table_period,
        };
        let digests = self.region_digests();
        self.send_to(key, MessageBody::TableRequest(digests), actions);
    }

    fn count_region_members(&self) -> usize {
        self.roster
            .iter()
            .filter(|(_, entry)| entry.record.region == self.local.region)
            .filter(|(_, entry)| entry.record.status != MemberStatus::Dead)
            .count()
    }

    /// Returns whether no message arrived for so long that the fault is likely at the local host.
    pub(crate) fn is_isolated(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) > self.config.isolation_limit
            && self.count_region_members() >= MIN_REGION_MEMBERS_FOR_ISOLATION
    }

    /// Marks the view as stale while the local host is isolated, and as fresh if it is the only
    /// member of its region.
    pub(crate) fn check_isolation(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let silence = now.since(self.last_heard);
        let freshness = if self.is_isolated(now) {
            ViewFreshness::Stale
        } else if self.count_region_members() == 0 && silence > self.config.table_period {
            ViewFreshness::Fresh
        } else {
            self.freshness
        };
        if freshness != self.freshness {
            self.freshness = freshness;
            actions.push(MemberAction::PublishView);
        }
    }

    /// Removes expired tombstones, and unlisted members of regions that were unreachable for as
    /// long as a tombstone is kept.
    pub(crate) fn expire_members(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let ttl = self.config.tombstone_ttl;
        let expired: Vec<MemberKey> = self
            .roster
            .iter()
            .filter(|(_, entry)| match entry.record.status {
                MemberStatus::Dead => now.since(entry.changed) >= ttl,
                _ => {
                    entry.record.region != self.local.region
                        && entry.listed == HostListStatus::Absent
                        && self.zones.reachability(now, &entry.record.region, ttl)
                            == RegionReachability::Unreachable
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.discard_member_state(key, None, actions);
            self.roster.remove(key);
            actions.push(MemberAction::PublishView);
        }
    }
}
