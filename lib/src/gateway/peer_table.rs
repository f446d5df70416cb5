//! State of this host's peers as received by gossip: load, spending, usage and addresses.
//!
//! Load pattern: hosts die, freeze, return and are replaced while others keep running. A new
//! summary replaces the previous one of the same incarnation. The load of a silent host expires
//! after a moment, its spending after the quota's window, and hosts that no summary has come from
//! are rediscovered by their addresses in the store.
//!
//! In a fleet of dozens of hosts a summary is sent to one relay in each other availability zone, a
//! different one each time, which forwards it to the hosts of its own zone. Traffic between zones
//! thus grows linearly with the number of hosts and not with its square, and a dead relay loses
//! only single summaries of a few hosts.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::demand_level::DemandLevel;
use crate::gateway::directory_gossip::ToldRange;
use crate::gateway::limit_fleet::FleetHost;
use crate::gateway::limit_fleet::FleetSize;
use crate::gateway::limit_fleet::LimitFleet;
use crate::gateway::quota::quota_limiter::PeerReachability;
use crate::gateway::quota::quota_limiter::TeamSpending;
use crate::gateway::reach::forwarder_choice::ForwarderPeer;
use crate::gateway::reach::forwarder_choice::ForwarderScope;
use crate::gateway::usage_ledger::HostIncarnation;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::ids::LogPosition;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::ids::ZoneName;
use crate::part_suspects::FleetView;
use crate::protos::gateway::HostSummary;
use crate::timestamp::Timestamp;

/// Fleet beyond which hosts send summaries less often and relays forward them together.
pub const LARGE_FLEET_HOSTS: u32 = 128;

/// Heartbeat timeout and lifetime of a summary's load, in periods of its sender, if these are longer
/// than the fixed ones.
const HEARTBEAT_PERIODS: f64 = 2.5;
const LOAD_PERIODS: f64 = 4.5;

/// Maximum period of summaries that is believed.
const MAX_STATED_PERIOD: Duration = Duration::from_secs(2);

/// Number of the first summaries of a host that has just started.
const START_SUMMARIES: u64 = 5;

/// Time after the first list of hosts within which the listed hosts that run are heard from.
const JOIN_TIME: Duration = Duration::from_millis(2_000);

/// Time for which a summary's load is used; a few summaries in a row may be lost.
const LOAD_TTL: Duration = Duration::from_millis(1_800);

/// Time without a summary after which a peer counts as silent. Two summaries in a row are hardly
/// ever lost, and until the timeout both sides of a partition spend as if there were none.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Share of the live peers that must be heard from for their news to count as complete, in percent.
const MIN_NEWS_PERCENT: u64 = 90;

/// Time without a summary after which a peer is not chosen as a relay; a few summaries may be lost.
const RELAY_TTL: Duration = Duration::from_millis(1_800);

/// Time without a summary for which a peer still counts as a holder of limits: it may hear no
/// summaries either, and must have stopped before another host takes its parts.
const HOLDER_TTL: Duration = Duration::from_secs(6);

/// Time without a summary after which a peer's address is dropped.
const CONTACT_TTL: Duration = Duration::from_secs(30);

/// Time for which a host that fell silent, and did not say that it was leaving, counts as one that
/// may still send to servers.
const SILENT_TTL: Duration = Duration::from_secs(3_600);

/// Largest fleet in which each host sends its summaries to all others. With up to a dozen hosts,
/// the traffic between zones is small compared with that of the callers.
const MAX_DIRECT_HOSTS: u32 = 12;

/// Hosts of the largest deployment.
const MAX_FLEET_HOSTS: u32 = 512;

/// Maximum number of services that one host is believed not to reach.
const MAX_UNREACHED_SERVICES: usize = 64;

/// Maximum number of incarnations kept: twice the hosts of a deployment.
const MAX_INCARNATIONS: usize = 2 * MAX_FLEET_HOSTS as usize;

/// Maximum units taken from one entry, so that no sum over all entries overflows.
const MAX_UNITS: u64 = 1 << 48;

/// Addresses that a summary is sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SummaryTargets {
    /// Hosts that don't forward it.
    pub direct: Vec<SocketAddr>,
    /// Hosts that forward it within their availability zone.
    pub relays: Vec<SocketAddr>,
}

/// Which spending a host records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordScope {
    /// Its own spending.
    Own,
    /// The spending of all hosts in its availability zone.
    Zone,
    /// None, since another host of the availability zone records it.
    Nothing,
}

/// What a summary changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// Nothing: it is malformed, this host's own, or not newer than the last one of its sender.
    Ignored,
    /// The state of a peer that was heard from.
    Merged,
    /// The state of a peer that was silent or unknown before.
    PeerHeard,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    heard_at: Timestamp,
    summary: HostSummary,
}

impl PeerEntry {
    /// Returns whether this is the record of a host that recorded for its availability zone.
    fn is_zone_record(&self) -> bool {
        self.summary.sequence == 0 && !self.summary.zone.is_empty()
    }

    /// Returns whether a zone's record holds spending of an incarnation; a record without a time holds
    /// that of all.
    fn covers(&self, incarnation: Incarnation) -> bool {
        self.summary.wall_ms == 0 || incarnation.0 <= self.summary.wall_ms
    }

    /// Returns the spending in the summary by team; names are not checked.
    fn spending(&self) -> impl Iterator<Item = (&str, TeamSpending)> {
        self.summary.teams.iter().map(|team| {
            let (spent, asked) = (team.spent.min(MAX_UNITS), team.asked.min(MAX_UNITS));
            let asked_by_rank = std::array::from_fn(|class| {
                team.asked_by_rank.get(class).map_or(0, |asked| *asked.min(&MAX_UNITS))
            });
            let spending = TeamSpending { spent, asked, asked_by_rank, ..TeamSpending::default() };
            (team.team.as_str(), spending)
        })
    }
}

/// Adds spending to the sum of a team; a team with an invalid name has none.
fn add_spending(sums: &mut BTreeMap<TeamName, TeamSpending>, team: &str, spending: TeamSpending) {
    let sum = match sums.get_mut(team) {
        Some(sum) => sum,
        None => {
            let Ok(name) = TeamName::try_from(team) else { return };
            sums.entry(name).or_default()
        }
    };
    sum.add_window(&spending);
}

/// Returns which changes of the directory a summary tells; `None` if its host's build does not say.
pub fn told_range(summary: &HostSummary) -> Option<ToldRange> {
    let position =
        |offset| LogPosition { era: StoreEra(summary.directory_era), offset: LogOffset(offset) };
    let from = position(summary.directory_told_from?);
    Some(ToldRange { from, next: position(summary.directory_next) })
}

/// Peers by incarnation, and the addresses of their hosts.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: HostId,
    zone: ZoneName,
    entries: BTreeMap<HostIncarnation, PeerEntry>,
    contacts: BTreeMap<HostId, PeerContact>,
    /// Hosts that fell silent without saying that they were leaving, and when they were last heard.
    /// They may still send to servers.
    silent: BTreeMap<HostId, Timestamp>,
    /// Whether the list of hosts was read.
    is_listed: bool,
    /// When the first host was listed.
    first_listed_at: Option<Timestamp>,
    /// When a peer was first heard from.
    first_heard_at: Option<Timestamp>,
    /// Whether the peers that run have had the time to be heard from.
    has_joined: bool,
    /// Spending of all entries, updated incrementally since it is read after every summary.
    total_spending: BTreeMap<TeamName, TeamSpending>,
}

/// Address of a host, and when it was last seen.
#[derive(Clone, Debug)]
struct PeerContact {
    address: SocketAddr,
    /// Availability zone, known after the first summary.
    zone: Option<ZoneName>,
    listed_at: Timestamp,
    /// Time of the last summary, if there was one.
    heard_at: Option<Timestamp>,
    /// Time between two summaries, as the host stated it.
    period: Duration,
    /// Whether the host says that it is leaving.
    is_leaving: bool,
    /// Services that the host says it does not reach.
    unreached: Vec<ServiceName>,
}

fn stated_period(summary: &HostSummary) -> Duration {
    Duration::from_millis(u64::from(summary.period_ms)).min(MAX_STATED_PERIOD)
}

impl PeerContact {
    /// Returns whether the last summary is within the heartbeat timeout.
    fn is_live(&self, now: Timestamp) -> bool {
        let timeout = self.period.mul_f64(HEARTBEAT_PERIODS).max(HEARTBEAT_TIMEOUT);
        self.heard_at.is_some_and(|at| now.since(at) < timeout)
    }
}

impl PeerTable {
    /// Builds an empty table.
    pub fn new(own: HostId, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            entries: BTreeMap::new(),
            contacts: BTreeMap::new(),
            silent: BTreeMap::new(),
            is_listed: false,
            first_listed_at: None,
            first_heard_at: None,
            has_joined: false,
            total_spending: BTreeMap::new(),
        }
    }

    /// Records that the list of hosts was read.
    pub fn on_list_read(&mut self) {
        self.is_listed = true;
    }

    /// Adds a host whose address was read from the store.
    pub fn on_listed(&mut self, now: Timestamp, host: HostId, address: SocketAddr) {
        if host == self.own {
            return;
        }
        self.first_listed_at.get_or_insert(now);
        let contact = PeerContact {
            address,
            zone: None,
            listed_at: now,
            heard_at: None,
            period: Duration::ZERO,
            is_leaving: false,
            unreached: Vec::new(),
        };
        self.contacts.entry(host).or_insert(contact);
    }

    /// Adds recorded spending as of `recorded_at`, which may be that of this host's earlier
    /// incarnations. A summary of the same incarnation takes precedence.
    pub fn on_record(&mut self, recorded_at: Timestamp, record: HostSummary) {
        let Ok(host) = HostId::try_from(record.host.as_str()) else { return };
        let incarnation = (host, Incarnation(record.incarnation));
        if !self.entries.contains_key(&incarnation) {
            self.insert_entry(incarnation, PeerEntry { heard_at: recorded_at, summary: record });
        }
    }

    /// Merges a summary.
    pub fn on_summary(&mut self, now: Timestamp, summary: HostSummary) -> SummaryOutcome {
        let host = HostId::try_from(summary.host.as_str());
        let (Ok(host), Ok(address)) = (host, summary.address.parse()) else {
            return SummaryOutcome::Ignored;
        };
        let incarnation = (host.clone(), Incarnation(summary.incarnation));
        let known = self.entries.get(&incarnation).map(|entry| entry.summary.sequence);
        if host == self.own || known.is_some_and(|known| known >= summary.sequence) {
            return SummaryOutcome::Ignored;
        }
        let zone = ZoneName::try_from(summary.zone.as_str()).ok();
        let period = stated_period(&summary);
        let heard_at = Some(now);
        let is_leaving = summary.leaving;
        let unreached = summary.unreached_services.iter().take(MAX_UNREACHED_SERVICES);
        let unreached =
            unreached.filter_map(|name| ServiceName::try_from(name.as_str()).ok()).collect();
        let contact =
            PeerContact { address, zone, listed_at: now, heard_at, period, is_leaving, unreached };
        self.silent.remove(&host);
        self.first_heard_at.get_or_insert(now);
        let known = self.contacts.insert(host, contact);
        self.insert_entry(incarnation, PeerEntry { heard_at: now, summary });
        match known.is_some_and(|known| known.is_live(now)) {
            true => SummaryOutcome::Merged,
            false => SummaryOutcome::PeerHeard,
        }
    }

    /// Returns the number of directory changes that the sender had counted as of its previous
    /// summary.
    pub fn changes_count(&self, summary: &HostSummary) -> Option<u64> {
        let host = HostId::try_from(summary.host.as_str()).ok()?;
        let entry = self.entries.get(&(host, Incarnation(summary.incarnation)))?;
        Some(entry.summary.changes_count)
    }

    fn insert_entry(&mut self, key: HostIncarnation, entry: PeerEntry) {
        if !entry.is_zone_record() {
            for (team, spending) in entry.spending() {
                add_spending(&mut self.total_spending, team, spending);
            }
        }
        self.count_growth(&key, &entry);
        let replaced = self.entries.insert(key, entry);
        replaced.iter().for_each(|entry| self.subtract_spending(entry));
    }

    /// Counts what a peer spent since its previous summary. What an incarnation spent before its first
    /// one is counted if it has started recently or replaces one that was known: otherwise this host has
    /// started later, and assumes what was spent before its start.
    fn count_growth(&mut self, key: &HostIncarnation, entry: &PeerEntry) {
        let known = self.entries.get(key).filter(|known| known.summary.sequence > 0);
        let incarnations = self.entries.range((key.0.clone(), Incarnation(0))..);
        let mut incarnations = incarnations.take_while(|((host, _), _)| *host == key.0);
        let is_replaced = incarnations.any(|((_, incarnation), _)| *incarnation < key.1);
        let is_new = is_replaced || entry.summary.sequence <= START_SUMMARIES;
        if entry.summary.sequence == 0 || (known.is_none() && !is_new) {
            return;
        }
        for team in &entry.summary.teams {
            let Some(sum) = self.total_spending.get_mut(team.team.as_str()) else { continue };
            let before = known.and_then(|known| {
                known.summary.teams.iter().find(|before| before.team == team.team)
            });
            let (total, total_asked) = before.map_or((0, 0), |team| (team.total, team.total_asked));
            // A host does not spend more between two summaries than in its window.
            let spent = i64::try_from(team.spent.min(MAX_UNITS)).unwrap_or(i64::MAX);
            let asked = i64::try_from(team.asked.min(MAX_UNITS)).unwrap_or(i64::MAX);
            let grown = team.total.saturating_sub(total).clamp(-spent, spent);
            let grown_asked = team.total_asked.saturating_sub(total_asked).clamp(0, asked);
            sum.total = sum.total.saturating_add(grown);
            sum.total_asked = sum.total_asked.saturating_add(grown_asked);
        }
    }

    fn subtract_spending(&mut self, entry: &PeerEntry) {
        if entry.is_zone_record() {
            return;
        }
        for (team, spending) in entry.spending() {
            let Some(total) = self.total_spending.get_mut(team) else { continue };
            total.subtract_window(&spending);
            if *total == TeamSpending::default() {
                self.total_spending.remove(team);
            }
        }
    }

    /// Drops entries whose spending has left a window of length `window`, and the addresses of
    /// silent hosts.
    pub fn expire(&mut self, now: Timestamp, window: Duration) {
        self.has_joined |= self.first_heard_at.is_some_and(|at| now.since(at) >= JOIN_TIME);
        let is_old =
            |_: &HostIncarnation, entry: &mut PeerEntry| now.since(entry.heard_at) >= window;
        let old: Vec<PeerEntry> =
            self.entries.extract_if(.., is_old).map(|(_, entry)| entry).collect();
        old.iter().for_each(|entry| self.subtract_spending(entry));
        while self.entries.len() > MAX_INCARNATIONS {
            let first = self.entries.pop_first();
            first.iter().for_each(|(_, entry)| self.subtract_spending(entry));
        }
        let is_stale = |_: &HostId, contact: &mut PeerContact| {
            now.since(contact.heard_at.unwrap_or(contact.listed_at)) >= CONTACT_TTL
        };
        let stale = self.contacts.extract_if(.., is_stale);
        let silent = stale.filter(|(_, contact)| !contact.is_leaving);
        let silent = silent.filter_map(|(host, contact)| Some((host, contact.heard_at?)));
        self.silent.extend(silent);
        self.silent.retain(|_, heard_at| now.since(*heard_at) < SILENT_TTL);
    }

    /// Returns how many of the other recently known hosts this host still hears from.
    pub fn reachability(&self, now: Timestamp) -> PeerReachability {
        let heard = u32::try_from(self.live_peers(now)).unwrap_or(u32::MAX);
        let known = self.contacts.values().filter(|contact| contact.heard_at.is_some()).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        let is_starting = self.first_listed_at.is_some_and(|at| now.since(at) < JOIN_TIME);
        if is_starting && (heard + 1) * 2 <= self.known_hosts() {
            // Hosts that start together would each take the few that they have heard from for all.
            return PeerReachability::Minority { group: heard + 1, known: self.known_hosts() };
        }
        if known == 0 {
            // A host that has never heard from a peer cannot tell whether it is partitioned or the
            // only one.
            return PeerReachability::Minority { group: 1, known: self.known_hosts() };
        }
        if (heard + 1) * 2 <= known + 1 {
            PeerReachability::Minority { group: heard + 1, known: known + 1 }
        } else {
            PeerReachability::Majority { silent: known.saturating_sub(heard), known: known + 1 }
        }
    }

    /// Returns the number of hosts that were heard from or listed recently, including this one.
    pub fn known_hosts(&self) -> u32 {
        u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether this host has read the list of hosts, or has heard from its peers for long enough
    /// without it. A single one that has just been heard may be one of hundreds that start.
    pub fn knows_fleet(&self) -> bool {
        self.is_listed || self.has_joined
    }

    /// Returns the number of hosts that this host may be one of: the known ones, or the largest fleet as
    /// long as it does not know its peers.
    pub fn possible_hosts(&self) -> u32 {
        if self.knows_fleet() { self.known_hosts() } else { MAX_FLEET_HOSTS }
    }

    /// Returns whether the fleet is so large that summaries are sent less often and forwarded together.
    pub fn is_large_fleet(&self) -> bool {
        self.known_hosts() > LARGE_FLEET_HOSTS
    }

    /// Returns whether this host hears from fewer than half of the peers it heard from before.
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        self.is_partitioned_among(now, None)
    }

    /// Returns how much of the fleet this host hears of. A silent host may have ended meanwhile; one
    /// that said that it was leaving told what it had lost.
    pub fn fleet_view(&self, now: Timestamp) -> FleetView {
        let is_missing = |contact: &PeerContact| {
            contact.heard_at.is_some() && !contact.is_live(now) && !contact.is_leaving
        };
        if self.is_partitioned(now) {
            FleetView::Partial
        } else if self.contacts.values().any(is_missing) {
            FleetView::Most
        } else {
            FleetView::Whole
        }
    }

    /// Returns whether this host, with the peers it hears from, is at most half of the fleet. The
    /// fleet is the hosts it has heard from recently, or `living` hosts if that is fewer.
    pub fn is_partitioned_among(&self, now: Timestamp, living: Option<u32>) -> bool {
        let known = self.contacts.values().filter(|contact| contact.heard_at.is_some()).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        let heard = u32::try_from(self.live_peers(now)).unwrap_or(u32::MAX);
        let hosts = living.map_or(known + 1, |living| living.min(known + 1));
        known > 0 && (heard + 1) * 2 <= hosts
    }

    /// Returns the hosts that may send to the servers of a service. `own_level` is this host's demand.
    pub fn limit_fleet(
        &self,
        now: Timestamp,
        service: &ServiceName,
        own_level: DemandLevel,
    ) -> LimitFleet {
        let mut newest: BTreeMap<&HostId, &HostSummary> = BTreeMap::new();
        for ((host, _), entry) in &self.entries {
            let is_holder = *host != self.own
                && entry.summary.sequence > 0
                && now.since(entry.heard_at) < HOLDER_TTL;
            if is_holder {
                // Incarnations of a host are in order.
                newest.insert(host, &entry.summary);
            }
        }
        let peers = newest.into_iter().filter(|(_, summary)| !summary.leaving);
        let peers = peers.map(|(host, summary)| {
            let demand = summary.demands.iter().find(|demand| demand.service == service.as_str());
            let level = demand.and_then(|demand| demand.level);
            FleetHost::new(host, level.map_or(DemandLevel::UNSTATED, DemandLevel::stated))
        });
        LimitFleet::new(FleetHost::new(&self.own, own_level), peers.collect(), self.fleet_size())
    }

    /// Returns how many hosts there are, without those that say that they are leaving.
    fn fleet_size(&self) -> FleetSize {
        let heard = self.contacts.values().filter(|contact| contact.heard_at.is_some());
        let staying = heard.filter(|contact| !contact.is_leaving).count();
        let hosts = |count: usize| FleetSize::Hosts(u32::try_from(count + 1).unwrap_or(u32::MAX));
        let silent = self.silent.len();
        match staying {
            0 if !self.is_listed && silent == 0 => FleetSize::Unknown,
            0 => {
                let listed = self.contacts.values().filter(|contact| !contact.is_leaving).count();
                hosts(listed.max(silent))
            }
            staying => hosts(staying + silent),
        }
    }

    /// Returns the peers that may forward attempts at a service.
    pub fn forwarder_scope(&self, now: Timestamp, service: &ServiceName) -> ForwarderScope {
        let mut scope = ForwarderScope::default();
        let live = self.contacts.iter().filter(|(_, contact)| contact.is_live(now));
        for (host, contact) in live {
            let is_near = contact.zone.as_ref() == Some(&self.zone);
            if contact.unreached.contains(service) {
                scope.near_unreached += usize::from(is_near);
            } else if !contact.is_leaving {
                let (host, address) = (host.clone(), contact.address);
                scope.peers.push(ForwarderPeer { host, address, is_near });
            }
        }
        scope
    }

    /// Returns whether a known host has an address.
    pub fn knows_address(&self, ip: IpAddr) -> bool {
        self.contacts.values().any(|contact| contact.address.ip() == ip)
    }

    /// Returns whether no peer with a smaller name is heard from.
    pub fn is_first_live(&self, now: Timestamp) -> bool {
        !self.contacts.range::<HostId, _>(..&self.own).any(|(_, contact)| contact.is_live(now))
    }

    /// Returns whether most live peers were heard from since a time. A peer counts as live for a while after
    /// its last summary, so that in the first moments of a cut all of them do.
    pub fn has_news_since(&self, now: Timestamp, since: Timestamp) -> bool {
        let live = self.contacts.values().filter(|contact| contact.is_live(now));
        let (mut peers, mut heard) = (0_u64, 0_u64);
        for contact in live {
            peers += 1;
            heard += u64::from(contact.heard_at.is_some_and(|at| at >= since));
        }
        heard * 100 >= peers * MIN_NEWS_PERCENT
    }

    /// Returns the number of peers whose last summary is within the heartbeat timeout.
    pub fn live_peers(&self, now: Timestamp) -> usize {
        self.contacts.values().filter(|contact| contact.is_live(now)).count()
    }

    /// Returns the number of hosts that are heard from, this one included, and how many of them come before
    /// this one by name.
    pub fn live_rank(&self, now: Timestamp) -> (u32, u32) {
        let (mut hosts, mut rank) = (1, 0);
        for (host, _) in self.contacts.iter().filter(|(_, contact)| contact.is_live(now)) {
            hosts += 1;
            rank += u32::from(*host < self.own);
        }
        (hosts, rank)
    }

    /// Returns the addresses to send summary number `sequence` to.
    pub fn targets(&self, now: Timestamp, sequence: u64) -> SummaryTargets {
        let is_large = self.known_hosts() > MAX_DIRECT_HOSTS;
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
        // Hosts of one zone choose different relays, so that the forwarding load is spread evenly.
        let rank = self.contacts.range::<HostId, _>(..&self.own).count() as u64;
        let turn = usize::try_from(rank.wrapping_add(sequence)).unwrap_or_default();
        for mut contacts in others.into_values() {
            let is_heard = |contact: &&PeerContact| {
                let ttl = contact.period.mul_f64(LOAD_PERIODS).max(RELAY_TTL);
                contact.heard_at.is_some_and(|at| now.since(at) < ttl)
            };
            // If the whole zone is silent, its hosts are tried in turn until one is heard from
            // again.
            if contacts.iter().any(is_heard) {
                contacts.retain(is_heard);
            }
            targets.relays.push(contacts[turn % contacts.len()].address);
        }
        targets
    }

    /// Returns the addresses of the other hosts in this host's availability zone, for forwarding a
    /// summary from another zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let is_in_zone = |contact: &&PeerContact| contact.zone.as_ref() == Some(&self.zone);
        self.contacts.values().filter(is_in_zone).map(|contact| contact.address)
    }

    /// Returns the spending of all peers by team.
    pub fn spending(&self) -> Cow<'_, BTreeMap<TeamName, TeamSpending>> {
        let mut total = Cow::Borrowed(&self.total_spending);
        for (incarnation, record) in &self.entries {
            if record.is_zone_record() {
                self.add_record_excess(total.to_mut(), incarnation, record);
            }
        }
        total
    }

    /// Adds what a zone's record holds beyond the summaries of the hosts that it covers. Those that are
    /// heard from tell their spending themselves.
    fn add_record_excess(
        &self,
        total: &mut BTreeMap<TeamName, TeamSpending>,
        recorder: &HostIncarnation,
        record: &PeerEntry,
    ) {
        let is_covered = |(incarnation, entry): &(&HostIncarnation, &PeerEntry)| {
            *incarnation != recorder
                && !entry.is_zone_record()
                && entry.summary.zone == record.summary.zone
                && record.covers(incarnation.1)
        };
        let mut told: BTreeMap<TeamName, TeamSpending> = BTreeMap::new();
        for (_, entry) in self.entries.iter().filter(is_covered) {
            entry.spending().for_each(|(team, spending)| add_spending(&mut told, team, spending));
        }
        for (team, recorded) in record.spending() {
            let known = told.get(team).copied().unwrap_or_default();
            let spent = recorded.spent.saturating_sub(known.spent);
            let asked = recorded.asked.saturating_sub(known.asked);
            if (spent, asked) != (0, 0) {
                add_spending(total, team, TeamSpending { spent, asked, ..TeamSpending::default() });
            }
        }
    }

    /// Returns which spending this host records. In a large fleet, the unrecorded spending of each
    /// host between its records would add up to the whole quota, so one host records for its zone.
    pub fn record_scope(&self, now: Timestamp) -> RecordScope {
        if self.known_hosts() <= MAX_DIRECT_HOSTS {
            return RecordScope::Own;
        }
        let precedes = |(host, contact): (&HostId, &PeerContact)| {
            *host < self.own && contact.zone.as_ref() == Some(&self.zone) && contact.is_live(now)
        };
        match self.contacts.iter().any(precedes) {
            true => RecordScope::Nothing,
            false => RecordScope::Zone,
        }
    }

    /// Returns the spending of the other hosts in this host's availability zone, by team.
    pub fn zone_spending(&self) -> BTreeMap<TeamName, TeamSpending> {
        let mut total: BTreeMap<TeamName, TeamSpending> = BTreeMap::new();
        let in_zone = |entry: &PeerEntry| entry.summary.zone == self.zone.as_str();
        for (incarnation, entry) in self.entries.iter().filter(|(_, entry)| in_zone(entry)) {
            if entry.is_zone_record() {
                self.add_record_excess(&mut total, incarnation, entry);
            } else {
                entry.spending().for_each(|(team, sum)| add_spending(&mut total, team, sum));
            }
        }
        total
    }

    /// Returns which changes of the directory each peer that is heard from tells.
    pub fn told_ranges(&self, now: Timestamp) -> impl Iterator<Item = ToldRange> {
        self.fresh_summaries(now).filter_map(told_range)
    }

    /// Returns the summaries whose load has not expired.
    pub fn fresh_summaries(&self, now: Timestamp) -> impl Iterator<Item = &HostSummary> {
        self.fresh_loads(now).map(|(_, summary)| summary)
    }

    /// Returns the summaries whose load has not expired, and the time since each arrived.
    pub fn fresh_loads(&self, now: Timestamp) -> impl Iterator<Item = (Duration, &HostSummary)> {
        self.entries.values().filter_map(move |entry| {
            let ttl = stated_period(&entry.summary).mul_f64(LOAD_PERIODS).max(LOAD_TTL);
            let age = now.since(entry.heard_at);
            (age < ttl).then_some((age, &entry.summary))
        })
    }

    /// Returns the number of hosts in each zone that are heard from, this one included.
    pub fn zone_hosts(&self, now: Timestamp) -> BTreeMap<ZoneName, u32> {
        let mut hosts = BTreeMap::from([(self.zone.clone(), 1)]);
        for contact in self.contacts.values().filter(|contact| contact.is_live(now)) {
            if let Some(zone) = &contact.zone {
                *hosts.entry(zone.clone()).or_default() += 1;
            }
        }
        hosts
    }
}
