//! Published view of the members.

use std::net::SocketAddr;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_record::process_incarnation;
use crate::member_roster::HostListStatus;
use crate::member_roster::MemberEntry;
use crate::member_section::PayloadSection;
use crate::member_section::SectionKind;
use crate::member_zone::RegionReachability;
use crate::member_zone::ZoneSummary;
use crate::membership::MembershipTable;
use crate::timestamp::Timestamp;

/// State of a member, which determines what other modules may send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It may get new work.
    Live,
    /// It did not answer recently: it gets new work only if no live member can take it.
    Suspected,
    /// It is leaving: it answers questions about its work and gets no new work.
    Leaving,
    /// Its region is unreachable, or the local host is isolated: it is kept and gets no work.
    Unreachable,
}

/// One member as the local host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Identity.
    pub host: HostId,
    /// Hash of its host id, which identifies it as the origin of payload sections.
    pub hash: u64,
    /// Incarnation of its process: stays the same until the process is replaced.
    pub process_incarnation: Incarnation,
    /// Address of its peer link.
    pub address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
    /// State.
    pub state: MemberState,
}

/// Freshness of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFreshness {
    /// It is up to date with other members.
    Fresh,
    /// The local host was just started, paused or isolated, and has not caught up yet.
    Stale,
}

/// Snapshot of all members that are not dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSnapshot {
    /// The local host.
    pub local: MemberRecord,
    /// All other members, ordered by host id.
    pub members: Vec<MemberView>,
    /// Freshness of the view.
    pub freshness: ViewFreshness,
    /// Newest offset of the configuration that any host reported.
    pub config_offset: LogOffset,
    /// Newest summaries of all zones.
    pub zones: Vec<ZoneSummary>,
    /// Newest payloads of other hosts.
    pub sections: Vec<PayloadSection>,
}

impl MemberSnapshot {
    /// Returns the members that may get new work: the live ones, followed by the suspected ones.
    pub fn routable(&self) -> impl Iterator<Item = &MemberView> {
        let of = |state| self.members.iter().filter(move |view| view.state == state);
        of(MemberState::Live).chain(of(MemberState::Suspected))
    }

    /// Returns the member with this host id, unless it is dead or not known.
    pub fn find(&self, host: &HostId) -> Option<&MemberView> {
        let index = self.members.binary_search_by(|view| view.host.cmp(host)).ok()?;
        self.members.get(index)
    }
}

impl MembershipTable {
    /// Returns the view to publish.
    pub fn snapshot(&self, now: Timestamp) -> MemberSnapshot {
        let members =
            self.roster.iter().filter_map(|(_, entry)| self.view_of(now, entry)).collect();
        let kinds = [SectionKind::CrashSuspicions, SectionKind::LoadDigest];
        MemberSnapshot {
            local: self.local.clone(),
            members,
            freshness: self.freshness,
            config_offset: self.config_offset,
            zones: self.zones.summaries().cloned().collect(),
            sections: kinds.iter().flat_map(|&kind| self.sections.of_kind(kind)).cloned().collect(),
        }
    }

    fn view_of(&self, now: Timestamp, entry: &MemberEntry) -> Option<MemberView> {
        let record = &entry.record;
        Some(MemberView {
            host: record.host.clone(),
            hash: entry.hash,
            process_incarnation: process_incarnation(record.incarnation),
            address: record.address,
            region: record.region.clone(),
            zone: record.zone.clone(),
            state: self.state_of(now, entry)?,
        })
    }

    /// Returns the state of a member, or `None` if it is dead.
    pub fn state_of(&self, now: Timestamp, entry: &MemberEntry) -> Option<MemberState> {
        let status = entry.record.status;
        if status == MemberStatus::Dead {
            return None;
        }
        if status == MemberStatus::Leaving || entry.listed == HostListStatus::Leaving {
            return Some(MemberState::Leaving);
        }
        if entry.unverified || self.is_region_unreachable(now, entry) {
            return Some(MemberState::Unreachable);
        }
        match status {
            MemberStatus::Suspected => Some(MemberState::Suspected),
            _ => Some(MemberState::Live),
        }
    }

    /// Returns whether a member belongs to another region that is unreachable.
    pub(crate) fn is_region_unreachable(&self, now: Timestamp, entry: &MemberEntry) -> bool {
        let silence_limit = self.config.region_silence;
        entry.record.region != self.local.region
            && self.zones.reachability(now, &entry.record.region, silence_limit)
                == RegionReachability::Unreachable
    }
}
