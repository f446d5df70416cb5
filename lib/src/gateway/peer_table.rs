//! What this host heard of its peers: load, spending, usage, and where to reach them.
//!
//! Load pattern: hosts that die, freeze, return and are replaced while others go on. A summary
//! replaces the one before it, a silent host's load counts for a moment and its spending as long as
//! the quota's window, and hosts nobody heard of are found again through their cards. In a fleet of
//! dozens of hosts a summary goes to one host of each other availability zone, a different one each
//! time, which passes it on to the hosts of its own: traffic between zones grows with the number of
//! hosts and not with its square, and a host that died loses single summaries of a few others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::quota_limiter::PeerReachability;
use crate::gateway::quota_limiter::TeamSpending;
use crate::gateway::usage_ledger::HostLife;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::TeamName;
use crate::ids::ZoneName;
use crate::protos::gateway::HostSummary;
use crate::timestamp::Timestamp;

/// Time for which a summary's load counts: a few summaries may be lost on the way.
const LOAD_LIFE: Duration = Duration::from_millis(1_800);

/// Time after its last summary for which a peer counts as heard: two summaries in a row are hardly
/// ever lost, and until then both sides of a cut spend as if there were none.
const SIGHT_LIFE: Duration = Duration::from_millis(900);

/// Time after its last summary for which a peer is asked to pass summaries on: a few may be lost.
const RELAY_LIFE: Duration = Duration::from_millis(1_800);

/// Time after which a silent peer is told nothing any more.
const CONTACT_LIFE: Duration = Duration::from_secs(30);

/// Hosts up to which each sends its summaries to all others: up to a dozen, traffic between zones is
/// small beside the callers'.
const DIRECT_HOSTS: u32 = 12;

/// Lives remembered at most; hosts of a deployment, twice over.
const MAX_LIVES: usize = 1_024;

/// Units that one life can tell of at most, so that no sum of all lives overflows.
const MAX_UNITS: u64 = 1 << 48;

/// Where a summary is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SummaryTargets {
    /// Hosts that keep it to themselves.
    pub direct: Vec<SocketAddr>,
    /// Hosts that pass it on in their availability zone.
    pub relays: Vec<SocketAddr>,
}

/// Whose spending a host records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordScope {
    /// Its own.
    Own,
    /// That of all hosts of its availability zone.
    Zone,
    /// Nobody's: another host of the availability zone records it.
    Nothing,
}

#[derive(Clone, Debug)]
struct PeerLife {
    heard_at: Timestamp,
    summary: HostSummary,
    /// What the summary says of the teams.
    spending: Vec<(TeamName, TeamSpending)>,
}

impl PeerLife {
    fn new(heard_at: Timestamp, summary: HostSummary) -> Self {
        let spending = summary.teams.iter().filter_map(|team| {
            let name = TeamName::try_from(team.team.as_str()).ok()?;
            Some((
                name,
                TeamSpending { spent: team.spent.min(MAX_UNITS), asked: team.asked.min(MAX_UNITS) },
            ))
        });
        let spending = spending.collect();
        Self { heard_at, summary, spending }
    }
}

/// Peers by life, and the addresses of their hosts.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: HostId,
    zone: ZoneName,
    lives: BTreeMap<HostLife, PeerLife>,
    contacts: BTreeMap<HostId, PeerContact>,
    /// Spending of all lives, kept up to date since every summary asks for it.
    total: BTreeMap<TeamName, TeamSpending>,
}

/// Where a host is reached.
#[derive(Clone, Debug)]
struct PeerContact {
    address: SocketAddr,
    /// Availability zone, once a summary told it.
    zone: Option<ZoneName>,
    listed_at: Timestamp,
    /// Last summary, if any came.
    heard_at: Option<Timestamp>,
}

impl PeerTable {
    /// Builds the table of a host that has heard of none.
    pub fn new(own: HostId, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            lives: BTreeMap::new(),
            contacts: BTreeMap::new(),
            total: BTreeMap::new(),
        }
    }

    /// Adds a host whose card was read.
    pub fn on_card(&mut self, now: Timestamp, host: HostId, address: SocketAddr) {
        if host == self.own {
            return;
        }
        let contact = PeerContact { address, zone: None, listed_at: now, heard_at: None };
        self.contacts.entry(host).or_insert(contact);
    }

    /// Takes in the recorded spending of a life, this host's earlier ones included, as of some time
    /// ago. A summary of that life replaces it.
    pub fn on_record(&mut self, recorded_at: Timestamp, record: HostSummary) {
        let Ok(host) = HostId::try_from(record.host.as_str()) else { return };
        let life = (host, Incarnation(record.incarnation));
        if !self.lives.contains_key(&life) {
            self.insert_life(life, PeerLife::new(recorded_at, record));
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
        let zone = ZoneName::try_from(summary.zone.as_str()).ok();
        let contact = PeerContact { address, zone, listed_at: now, heard_at: Some(now) };
        self.contacts.insert(host, contact);
        self.insert_life(life.clone(), PeerLife::new(now, summary));
        Some(life)
    }

    /// Returns the number of directory changes that a life had told of by its last summary.
    pub fn changes_count(&self, summary: &HostSummary) -> Option<u64> {
        let host = HostId::try_from(summary.host.as_str()).ok()?;
        let life = self.lives.get(&(host, Incarnation(summary.incarnation)))?;
        Some(life.summary.changes_count)
    }

    fn insert_life(&mut self, key: HostLife, life: PeerLife) {
        for (team, spending) in &life.spending {
            let total = self.total.entry(team.clone()).or_default();
            total.spent += spending.spent;
            total.asked += spending.asked;
        }
        let replaced = self.lives.insert(key, life);
        replaced.iter().for_each(|life| self.subtract(life));
    }

    fn subtract(&mut self, life: &PeerLife) {
        for (team, spending) in &life.spending {
            let Some(total) = self.total.get_mut(team) else { continue };
            total.spent -= spending.spent;
            total.asked -= spending.asked;
            if *total == TeamSpending::default() {
                self.total.remove(team);
            }
        }
    }

    /// Forgets lives whose spending has left a window of this length, and lost contacts.
    pub fn expire(&mut self, now: Timestamp, window: Duration) {
        let is_old = |_: &HostLife, life: &mut PeerLife| now.since(life.heard_at) >= window;
        let old: Vec<PeerLife> = self.lives.extract_if(.., is_old).map(|(_, life)| life).collect();
        old.iter().for_each(|life| self.subtract(life));
        while self.lives.len() > MAX_LIVES {
            let first = self.lives.pop_first();
            first.iter().for_each(|(_, life)| self.subtract(life));
        }
        self.contacts.retain(|_, contact| {
            now.since(contact.heard_at.unwrap_or(contact.listed_at)) < CONTACT_LIFE
        });
    }

    /// Returns how many of the hosts that were heard in the last time this host still hears.
    pub fn reachability(&self, now: Timestamp) -> PeerReachability {
        let heard = u32::try_from(self.heard(now)).unwrap_or(u32::MAX);
        let known = self.contacts.values().filter(|contact| contact.heard_at.is_some()).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        if known == 0 {
            // A host that never heard any cannot tell whether it is cut off, or the only one.
            return PeerReachability::Minority { group: 1, known: self.known_hosts() };
        }
        if (heard + 1) * 2 <= known + 1 {
            PeerReachability::Minority { group: heard + 1, known: known + 1 }
        } else {
            PeerReachability::Majority { silent: known.saturating_sub(heard), known: known + 1 }
        }
    }

    /// Returns the number of hosts that were heard or listed lately, this one included.
    pub fn known_hosts(&self) -> u32 {
        u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether this host no longer hears half of the peers that it heard before.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        self.is_cut_off_from(now, None)
    }

    /// Returns whether this host no longer hears half of the hosts that there are: those that it heard
    /// before, or fewer if `living` of them are known to be left.
    pub fn is_cut_off_from(&self, now: Timestamp, living: Option<u32>) -> bool {
        let known = self.contacts.values().filter(|contact| contact.heard_at.is_some()).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        let heard = u32::try_from(self.heard(now)).unwrap_or(u32::MAX);
        let hosts = living.map_or(known + 1, |living| living.min(known + 1));
        known > 0 && (heard + 1) * 2 <= hosts
    }

    /// Returns the number of peers heard lately.
    pub fn heard(&self, now: Timestamp) -> usize {
        let is_heard =
            |contact: &&PeerContact| contact.heard_at.is_some_and(|at| now.since(at) < SIGHT_LIFE);
        self.contacts.values().filter(is_heard).count()
    }

    /// Returns the addresses to send the summary of a number to.
    pub fn targets(&self, now: Timestamp, sequence: u64) -> SummaryTargets {
        let is_large = self.known_hosts() > DIRECT_HOSTS;
        let mut targets = SummaryTargets::default();
        let mut others: BTreeMap<&ZoneName, Vec<&PeerContact>> = BTreeMap::new();
        for contact in self.contacts.values() {
            match &contact.zone {
                Some(zone) if is_large && *zone != self.zone => {
                    others.entry(zone).or_default().push(contact);
                }
                _ => targets.direct.push(contact.address),
            }
        }
        // Hosts of one zone choose different relays, so that each has a like number to pass on.
        let rank = self.contacts.range(..&self.own).count() as u64;
        let turn = usize::try_from(rank.wrapping_add(sequence)).unwrap_or_default();
        for mut contacts in others.into_values() {
            let is_heard = |contact: &&PeerContact| {
                contact.heard_at.is_some_and(|at| now.since(at) < RELAY_LIFE)
            };
            // A zone that fell silent is tried host by host until it is heard again.
            if contacts.iter().any(is_heard) {
                contacts.retain(is_heard);
            }
            targets.relays.push(contacts[turn % contacts.len()].address);
        }
        targets
    }

    /// Returns the addresses of the hosts of this one's availability zone, for passing on the
    /// summary of a host of another one.
    pub fn neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        let is_near = |contact: &&PeerContact| contact.zone.as_ref() == Some(&self.zone);
        self.contacts.values().filter(is_near).map(|contact| contact.address)
    }

    /// Returns what all peers spent of each team's quota.
    pub fn spending(&self) -> &BTreeMap<TeamName, TeamSpending> {
        &self.total
    }

    /// Returns whose spending this host records. In a large fleet what each host spends between two
    /// records of its own would add up to the whole quota, so one host records for its zone.
    pub fn record_scope(&self, now: Timestamp) -> RecordScope {
        if self.known_hosts() <= DIRECT_HOSTS {
            return RecordScope::Own;
        }
        let precedes = |(host, contact): (&HostId, &PeerContact)| {
            *host < self.own
                && contact.zone.as_ref() == Some(&self.zone)
                && contact.heard_at.is_some_and(|at| now.since(at) < SIGHT_LIFE)
        };
        match self.contacts.iter().any(precedes) {
            true => RecordScope::Nothing,
            false => RecordScope::Zone,
        }
    }

    /// Returns what the other hosts of this one's availability zone spent, by team.
    pub fn zone_spending(&self) -> BTreeMap<TeamName, TeamSpending> {
        let mut total: BTreeMap<TeamName, TeamSpending> = BTreeMap::new();
        let near = self.lives.values().filter(|life| life.summary.zone == self.zone.as_str());
        for (team, spending) in near.flat_map(|life| &life.spending) {
            let sum = total.entry(team.clone()).or_default();
            sum.spent += spending.spent;
            sum.asked += spending.asked;
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
