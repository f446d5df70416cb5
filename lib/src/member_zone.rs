//! Summaries of availability zones, which are the only load information sent to other regions, and
//! the reachability of regions, which distinguishes an unreachable region from failed hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Maximum number of stored zone summaries, and of regions whose last message is recorded.
const MAX_ZONES: usize = 256;

/// State of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Region of the zone.
    pub region: RegionName,
    /// Zone.
    pub zone: ZoneName,
    /// A larger version is newer. A relay takes the successor of the newest version that it knows,
    /// but at least the incarnation of its own process. So versions increase across changes
    /// of relay and restarts of a whole region.
    pub version: u64,
    /// Number of live entry hosts, including suspected ones.
    pub live: u32,
    /// Number of leaving entry hosts.
    pub leaving: u32,
    /// Load of the zone's backend servers, in percent of their concurrency.
    pub load_percent: u32,
}

/// Whether a region can be reached from the local host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionReachability {
    /// Something was received from it recently.
    Reachable,
    /// Nothing was received from it recently. Its members keep their last known state.
    Unreachable,
}

#[derive(Debug)]
struct StoredSummary {
    summary: ZoneSummary,
    updated: Timestamp,
    sends: u32,
}

/// Newest known summaries of all zones, with the time at which each region was last heard from.
#[derive(Debug, Default)]
pub struct ZoneStore {
    zones: BTreeMap<(RegionName, ZoneName), StoredSummary>,
    last_heard: BTreeMap<RegionName, Timestamp>,
}

impl ZoneStore {
    /// Merges a summary. Drops it if it is not newer than the known one.
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

    /// Takes up to `count` summaries for one message, those sent least often first and, among them,
    /// the oldest first. No summary is sent more than `max_sends` times.
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

    /// Returns whether a message or a new summary from a region arrived within `silence_limit`.
    ///
    /// A region that was never heard from counts as reachable, as it may have just been discovered.
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

    /// Records that a message from a region arrived.
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

    /// Returns the version of the next summary of a zone, or `None` if the known one is younger
    /// than `period`.
    ///
    /// All relays of a region call this, so that only the first one in each period creates a
    /// summary.
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
