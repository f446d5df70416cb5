//! What this host heard of its peers: load, spending, usage, and where to reach them.
//!
//! Load pattern: hosts that die, freeze, return and are replaced while others go on. A summary
//! replaces the one before it, a silent host's load counts for a moment and its spending as long as
//! the quota's window, and hosts nobody heard of are found again through their cards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::quota_share::PeerSight;
use crate::gateway::quota_share::TeamSpending;
use crate::gateway::usage_ledger::HostLife;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::TeamName;
use crate::protos::gateway::HostSummary;
use crate::timestamp::Timestamp;

/// Time for which a summary's load counts: a few summaries may be lost on the way.
const LOAD_LIFE: Duration = Duration::from_millis(1_800);

/// Time after its last summary for which a peer counts as heard: two summaries in a row are hardly
/// ever lost, and until then both sides of a cut spend as if there were none.
const SIGHT_LIFE: Duration = Duration::from_millis(900);

/// Time after which a silent peer is told nothing any more.
const CONTACT_LIFE: Duration = Duration::from_secs(30);

/// Lives remembered at most; hosts of a deployment, twice over.
const MAX_LIVES: usize = 1_024;

#[derive(Clone, Debug)]
struct PeerLife {
    heard_at: Timestamp,
    summary: HostSummary,
}

/// Peers by life, and the addresses of their hosts.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: HostId,
    lives: BTreeMap<HostLife, PeerLife>,
    contacts: BTreeMap<HostId, PeerContact>,
}

/// Where a host is reached.
#[derive(Clone, Copy, Debug)]
struct PeerContact {
    address: SocketAddr,
    listed_at: Timestamp,
    /// Last summary, if any came.
    heard_at: Option<Timestamp>,
}

impl PeerTable {
    /// Builds the table of a host that has heard of none.
    pub fn new(own: HostId) -> Self {
        Self { own, lives: BTreeMap::new(), contacts: BTreeMap::new() }
    }

    /// Adds a host whose card was read.
    pub fn on_card(&mut self, now: Timestamp, host: HostId, address: SocketAddr) {
        if host == self.own {
            return;
        }
        let contact = PeerContact { address, listed_at: now, heard_at: None };
        self.contacts.entry(host).or_insert(contact);
    }

    /// Takes in the recorded spending of a life, this host's earlier ones included, as of some time
    /// ago. A summary of that life replaces it.
    pub fn on_record(&mut self, recorded_at: Timestamp, record: HostSummary) {
        let Ok(host) = HostId::try_from(record.host.as_str()) else { return };
        let life = (host, Incarnation(record.incarnation));
        let life_record = PeerLife { heard_at: recorded_at, summary: record };
        self.lives.entry(life).or_insert(life_record);
    }

    /// Takes in a summary; returns the sender's life if the summary is new and well-formed.
    pub fn on_summary(&mut self, now: Timestamp, summary: HostSummary) -> Option<HostLife> {
        let host = HostId::try_from(summary.host.as_str()).ok()?;
        let address: SocketAddr = summary.address.parse().ok()?;
        let life = (host.clone(), Incarnation(summary.incarnation));
        let known = self.lives.get(&life).map(|life| life.summary.sequence);
        if host == self.own || known.is_some_and(|known| known >= summary.sequence) {
            return None;
        }
        let contact = PeerContact { address, listed_at: now, heard_at: Some(now) };
        self.contacts.insert(host, contact);
        self.lives.insert(life.clone(), PeerLife { heard_at: now, summary });
        Some(life)
    }

    /// Forgets lives whose spending has left a window of this length, and lost contacts.
    pub fn expire(&mut self, now: Timestamp, window: Duration) {
        self.lives.retain(|_, life| now.since(life.heard_at) < window);
        while self.lives.len() > MAX_LIVES {
            self.lives.pop_first();
        }
        self.contacts.retain(|_, contact| {
            now.since(contact.heard_at.unwrap_or(contact.listed_at)) < CONTACT_LIFE
        });
    }

    /// Returns how many of the hosts that were heard in the last time this host still hears.
    pub fn sight(&self, now: Timestamp) -> PeerSight {
        let heard = u32::try_from(self.heard(now)).unwrap_or(u32::MAX);
        let known = self.contacts.values().filter(|contact| contact.heard_at.is_some()).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        if known == 0 {
            // A host that never heard any cannot tell whether it is cut off, or the only one.
            return PeerSight::Minority { group: 1, known: self.known_hosts() };
        }
        if (heard + 1) * 2 <= known + 1 {
            PeerSight::Minority { group: heard + 1, known: known + 1 }
        } else {
            PeerSight::Majority { silent: known.saturating_sub(heard), known: known + 1 }
        }
    }

    /// Returns the number of hosts that were heard or listed lately, this one included.
    pub fn known_hosts(&self) -> u32 {
        u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether this host no longer hears half of the peers that it heard before.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        let heard_before = self.contacts.values().any(|contact| contact.heard_at.is_some());
        heard_before && matches!(self.sight(now), PeerSight::Minority { .. })
    }

    /// Returns the number of peers heard lately.
    pub fn heard(&self, now: Timestamp) -> usize {
        let is_heard =
            |contact: &&PeerContact| contact.heard_at.is_some_and(|at| now.since(at) < SIGHT_LIFE);
        self.contacts.values().filter(is_heard).count()
    }

    /// Returns the addresses to send summaries to.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.contacts.values().map(|contact| contact.address).collect()
    }

    /// Returns what all peers spent of each team's quota.
    pub fn spending(&self) -> BTreeMap<TeamName, TeamSpending> {
        let mut total: BTreeMap<TeamName, TeamSpending> = BTreeMap::new();
        for team in self.lives.values().flat_map(|life| &life.summary.teams) {
            let Ok(name) = TeamName::try_from(team.team.as_str()) else { continue };
            let spending = total.entry(name).or_default();
            spending.spent += team.spent;
            spending.asked += team.asked;
        }
        total
    }

    /// Returns the newest summaries whose load still counts.
    pub fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &HostSummary> {
        self.lives
            .values()
            .filter(move |life| now.since(life.heard_at) < LOAD_LIFE)
            .map(|life| &life.summary)
    }
}
