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

/// Time after its last summary for which a peer counts as heard.
const SIGHT_LIFE: Duration = Duration::from_millis(1_800);

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
    contacts: BTreeMap<HostId, (SocketAddr, Timestamp)>,
}

impl PeerTable {
    /// Builds the table of a host that has heard of none.
    pub fn new(own: HostId) -> Self {
        Self { own, lives: BTreeMap::new(), contacts: BTreeMap::new() }
    }

    /// Adds a host whose card was read.
    pub fn on_card(&mut self, now: Timestamp, host: HostId, address: SocketAddr) {
        if host != self.own {
            self.contacts.insert(host, (address, now));
        }
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
        self.contacts.insert(host, (address, now));
        self.lives.insert(life.clone(), PeerLife { heard_at: now, summary });
        Some(life)
    }

    /// Forgets lives whose spending has left a window of this length, and lost contacts.
    pub fn expire(&mut self, now: Timestamp, window: Duration) {
        self.lives.retain(|_, life| now.since(life.heard_at) < window);
        while self.lives.len() > MAX_LIVES {
            self.lives.pop_first();
        }
        self.contacts.retain(|_, (_, heard_at)| now.since(*heard_at) < CONTACT_LIFE);
    }

    /// Returns whether this host hears any peer.
    pub fn sight(&self, now: Timestamp) -> PeerSight {
        if self.lives.values().any(|life| now.since(life.heard_at) < SIGHT_LIFE) {
            PeerSight::Connected
        } else {
            PeerSight::Alone
        }
    }

    /// Returns the number of peers heard lately.
    pub fn heard(&self, now: Timestamp) -> usize {
        self.lives.values().filter(|life| now.since(life.heard_at) < SIGHT_LIFE).count()
    }

    /// Returns the addresses to send summaries to.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.contacts.values().map(|(address, _)| *address).collect()
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
