//! Summaries of availability zones, the only thing about load that crosses regions, and the rule
//! that tells an unreachable region from one whose hosts failed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Zone summaries that are kept, at most.
const MAX_ZONES: usize = 256;

/// State of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Region of the zone.
    pub region: RegionName,
    /// Zone.
    pub zone: ZoneName,
    /// Larger is newer. A relay counts on from the largest version that it knows and from its own
    /// incarnation, so versions grow over changes of relay and whole-region restarts.
    pub version: u64,
    /// Entry hosts that are live.
    pub live: u32,
    /// Entry hosts that are leaving.
    pub leaving: u32,
    /// Load of the zone's backend servers, in percent of their concurrency.
    pub load_percent: u32,
}

/// Whether a region can be reached from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionReachability {
    /// Its summaries are recent.
    Reachable,
    /// Nothing new came from it; its members are kept as they were last known.
    Unreachable,
}

#[derive(Debug)]
struct StoredSummary {
    summary: ZoneSummary,
    updated: Timestamp,
    sends: u32,
}

/// Newest known summaries of all zones.
#[derive(Debug, Default)]
pub struct ZoneStore {
    zones: BTreeMap<(RegionName, ZoneName), StoredSummary>,
    last_heard: BTreeMap<RegionName, Timestamp>,
}

impl ZoneStore {
    /// Offers a summary; one that is not newer than the known one is dropped.
    pub fn merge(&mut self, now: Timestamp, summary: ZoneSummary) {
        let key = (summary.region.clone(), summary.zone.clone());
        let full = self.zones.len() >= MAX_ZONES;
        let is_new = match self.zones.get(&key) {
            Some(stored) => stored.summary.version < summary.version,
            None => !full,
        };
        if !is_new {
            return;
        }
        self.last_heard.insert(summary.region.clone(), now);
        self.zones.insert(key, StoredSummary { summary, updated: now, sends: 0 });
    }

    /// Takes up to `count` summaries for one message: those sent least often first, the older first
    /// among them, none more than `max_sends` times.
    pub fn take(&mut self, max_sends: u32, count: usize) -> Vec<ZoneSummary> {
        let mut waiting: Vec<&mut StoredSummary> =
            self.zones.values_mut().filter(|stored| stored.sends < max_sends).collect();
        waiting.sort_by_key(|stored| (stored.sends, stored.updated));
        waiting
            .into_iter()
            .take(count)
            .map(|stored| {
                stored.sends += 1;
                stored.summary.clone()
            })
            .collect()
    }

    /// Returns whether anything new came from a region within `silence_limit`.
    ///
    /// A region that was never heard counts as reachable: it is only just being learnt.
    pub fn reachability(
        &self,
        now: Timestamp,
        region: &RegionName,
        silence_limit: Duration,
    ) -> RegionReachability {
        match self.last_heard.get(region) {
            Some(&heard) if now.since(heard) > silence_limit => RegionReachability::Unreachable,
            _ => RegionReachability::Reachable,
        }
    }

    /// Records that a message came from a region.
    pub fn mark_heard(&mut self, now: Timestamp, region: &RegionName) {
        if let Some(heard) = self.last_heard.get_mut(region) {
            *heard = now;
        } else if self.last_heard.len() < MAX_ZONES {
            self.last_heard.insert(region.clone(), now);
        }
    }

    /// Returns the summaries of one region.
    pub fn of_region(&self, region: &RegionName) -> impl Iterator<Item = &ZoneSummary> {
        self.summaries().filter(move |summary| summary.region == *region)
    }

    /// Returns the version that the next summary of a zone gets, or `None` if the known one is
    /// younger than `period`.
    ///
    /// All relays of a region call this, and the first one spares the others the work.
    pub fn next_version(
        &self,
        now: Timestamp,
        region: &RegionName,
        zone: &ZoneName,
        period: Duration,
    ) -> Option<u64> {
        match self.zones.get(&(region.clone(), zone.clone())) {
            Some(stored) if now.since(stored.updated) < period => None,
            Some(stored) => Some(stored.summary.version + 1),
            None => Some(1),
        }
    }

    /// Returns all summaries, ordered by region and zone.
    pub fn summaries(&self) -> impl Iterator<Item = &ZoneSummary> {
        self.zones.values().map(|stored| &stored.summary)
    }
}
