//! Gossip-based membership and failure detection of entry hosts.
//!
//! Each host probes a few random members of its region in every round. A member that does not
//! answer is probed on a new connection and through other members. If it answers neither, it is
//! suspected, and if it does not refute the suspicion in time, it is declared dead. Changes are
//! pushed at once and piggybacked on later messages. Regions exchange changes and zone summaries
//! through relays, and never suspect each other's members.

use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::ids::LogOffset;
use crate::ids::RegionName;
use crate::member_config::MembershipConfig;
use crate::member_event::ListedHost;
use crate::member_event::MemberAction;
use crate::member_event::MemberEvent;
use crate::member_event::PeerConnection;
use crate::member_probe::OutstandingProbe;
use crate::member_probe::ProbeTarget;
use crate::member_rate::TokenBucket;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_record::first_incarnation;
use crate::member_record::host_hash;
use crate::member_roster::MemberEntry;
use crate::member_roster::MemberKey;
use crate::member_roster::MemberRoster;
use crate::member_section::PayloadSection;
use crate::member_section::SectionKind;
use crate::member_section::SectionScope;
use crate::member_section::SectionStore;
use crate::member_section::SectionVersion;
use crate::member_snapshot::ViewFreshness;
use crate::member_zone::ZoneStore;
use crate::member_zone::ZoneSummary;
use crate::peer_message::MessageBody;
use crate::peer_message::PeerMessage;
use crate::timestamp::Timestamp;

/// Maximum number of member changes piggybacked on a message other than a push.
const UPDATES_PER_MESSAGE: usize = 6;

/// Maximum number of zone summaries in one message within a region.
const ZONES_PER_MESSAGE: usize = 2;

/// Number of times that one host sends one version of a section or zone summary.
pub(crate) const PAYLOAD_SENDS: u32 = 4;

/// Counters of the membership table, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Messages of an earlier incarnation of their sender.
    pub stale_messages: u64,
    /// Suspicions that this host raised.
    pub suspicions: u64,
    /// Members that this host declared dead.
    pub deaths: u64,
    /// Times that this host refuted its suspicion or its death.
    pub refutations: u64,
    /// Connections that did not respond while a new one to the same member did.
    pub silent_connections: u64,
    /// Times that this host did not run for the stall limit or longer.
    pub stalls: u64,
    /// Sections and members dropped because a store was full, and payloads that were too large.
    pub dropped: u64,
}

/// Due times of the periodic steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NextSteps {
    pub(crate) probe: Timestamp,
    pub(crate) relay: Timestamp,
    pub(crate) absent_probe: Timestamp,
    pub(crate) table: Timestamp,
}

/// The local host's view of all members.
#[derive(Debug)]
pub struct MembershipTable {
    pub(crate) config: MembershipConfig,
    pub(crate) local: MemberRecord,
    pub(crate) local_load: u8,
    pub(crate) local_sequence: u32,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) roster: MemberRoster,
    pub(crate) sections: SectionStore,
    pub(crate) zones: ZoneStore,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) listed: Vec<ListedHost>,
    pub(crate) probes: BTreeMap<ProbeTarget, OutstandingProbe>,
    pub(crate) probe_round: VecDeque<MemberKey>,
    pub(crate) next: NextSteps,
    pub(crate) last_event: Timestamp,
    pub(crate) last_heard: Timestamp,
    pub(crate) region_mismatch_since: Option<Timestamp>,
    pub(crate) remote_mismatches: BTreeMap<RegionName, (Timestamp, MemberKey)>,
    pub(crate) unreachable: BTreeSet<RegionName>,
    pub(crate) push_pending: bool,
    pub(crate) payload_pending: bool,
    pub(crate) change_rate: TokenBucket,
    pub(crate) payload_rate: TokenBucket,
    pub(crate) freshness: ViewFreshness,
    pub(crate) config_offset: LogOffset,
    pub(crate) next_connection: u32,
    pub(crate) counters: MemberCounters,
}

impl MembershipTable {
    /// Returns the table of a host that knows only itself and the addresses of its seeds.
    ///
    /// The incarnation of `local` is that of the process, which must be larger than that of any
    /// earlier process with this host id.
    pub fn new(
        now: Timestamp,
        config: MembershipConfig,
        local: MemberRecord,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let incarnation = first_incarnation(local.incarnation);
        Self {
            config,
            local: MemberRecord { incarnation, status: MemberStatus::Live, ..local },
            local_load: 0,
            local_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            roster: MemberRoster::default(),
            sections: SectionStore::default(),
            zones: ZoneStore::default(),
            seeds,
            listed: Vec::new(),
            probes: BTreeMap::new(),
            probe_round: VecDeque::new(),
            next: NextSteps::default(),
            last_event: now,
            last_heard: now,
            region_mismatch_since: Some(now),
            remote_mismatches: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            push_pending: false,
            payload_pending: false,
            change_rate: TokenBucket::new(config.change_burst, config.change_period),
            payload_rate: TokenBucket::new(config.payload_burst, config.payload_period),
            freshness: ViewFreshness::Stale,
            config_offset: LogOffset::default(),
            next_connection: 0,
            counters: MemberCounters::default(),
        }
    }

    /// Handles one event and returns the actions to perform.
    pub fn on_event(&mut self, now: Timestamp, event: MemberEvent) -> Vec<MemberAction> {
        let mut actions = self.compensate_stall(now);
        match event {
            MemberEvent::Tick => self.on_tick(now, &mut actions),
            MemberEvent::Request(message) => self.on_request(now, message, &mut actions),
            MemberEvent::Reply(connection, message) => {
                self.on_reply(now, connection, message, &mut actions);
            }
            MemberEvent::SendFailed(connection) => {
                self.on_send_failed(now, connection, &mut actions);
            }
            MemberEvent::HostList(listed) => self.on_host_list(listed, &mut actions),
            MemberEvent::Publish(kind, payload) => self.publish(kind, payload),
            MemberEvent::ConfigOffset(offset) => self.advance_config_offset(offset, &mut actions),
            MemberEvent::LocalLoad(percent) => self.local_load = percent,
            MemberEvent::Leave => self.set_local_status(MemberStatus::Leaving, &mut actions),
            MemberEvent::Left => {
                self.set_local_status(MemberStatus::Dead, &mut actions);
                self.push_changes(&mut actions);
            }
        }
        actions
    }

    /// Extends all deadlines by the time in which the local host did not run, as it could not
    /// receive answers in that time. After a long stall, also marks the view as stale.
    fn compensate_stall(&mut self, now: Timestamp) -> Vec<MemberAction> {
        let gap = now.since(self.last_event);
        self.last_event = now;
        let stalled = gap.saturating_sub(2 * self.config.tick);
        if stalled.is_zero() {
            return Vec::new();
        }
        self.last_heard = self.last_heard + stalled;
        for probe in self.probes.values_mut() {
            probe.deadline = probe.deadline + stalled;
        }
        for key in self.roster.keys() {
            if let Some(entry) = self.roster.get_mut(key) {
                entry.changed = entry.changed + stalled;
            }
        }
        if gap < self.config.stall_limit {
            return Vec::new();
        }
        self.counters.stalls += 1;
        self.freshness = ViewFreshness::Stale;
        self.next = NextSteps::default();
        self.region_mismatch_since.get_or_insert(now);
        vec![MemberAction::PublishView]
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        self.expire_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.check_isolation(now, actions);
        if now >= self.next.probe {
            self.next.probe = now + self.config.probe_period;
            self.expire_members(now, actions);
            self.start_probe_round(now, actions);
        }
        if now >= self.next.absent_probe {
            self.next.absent_probe = now + self.config.absent_probe_period;
            self.probe_absent_hosts(now, actions);
        }
        self.exchange_regions(now, actions);
        self.run_anti_entropy(now, actions);
        self.push_within_rate(now, actions);
    }

    /// Publishes a payload of the local host. A payload that is too large is dropped and counted.
    fn publish(&mut self, kind: SectionKind, payload: Vec<u8>) {
        if payload.len() > crate::member_section::MAX_SECTION_BYTES {
            self.counters.dropped += 1;
            return;
        }
        self.local_sequence += 1;
        let version =
            SectionVersion { incarnation: self.local.incarnation, sequence: self.local_sequence };
        let origin = host_hash(&self.local.host);
        self.sections.merge(PayloadSection { origin, kind, version, payload });
        if kind.is_global() {
            self.payload_pending = true;
        }
    }

    pub(crate) fn advance_config_offset(
        &mut self,
        offset: LogOffset,
        actions: &mut Vec<MemberAction>,
    ) {
        if offset > self.config_offset {
            self.config_offset = offset;
            self.payload_pending = true;
            actions.push(MemberAction::PublishView);
        }
    }

    fn set_local_status(&mut self, status: MemberStatus, actions: &mut Vec<MemberAction>) {
        if status > self.local.status {
            self.local.status = status;
            self.push_pending = true;
            actions.push(MemberAction::PublishView);
        }
    }

    /// Returns a message to a member, or to an address without a known member.
    pub(crate) fn compose(&mut self, to: Option<MemberKey>, body: MessageBody) -> PeerMessage {
        let updates = self.take_changes(UPDATES_PER_MESSAGE);
        self.compose_with(to, body, updates)
    }

    /// Takes up to `count` queued changes to send.
    pub(crate) fn take_changes(&mut self, count: usize) -> Vec<MemberRecord> {
        let max_sends = self.max_sends();
        self.roster.take_changes(max_sends, count)
    }

    /// Returns a message that carries the given changes.
    ///
    /// A suspected or dead receiver also gets its own record, so that it can refute it.
    pub(crate) fn compose_with(
        &mut self,
        to: Option<MemberKey>,
        body: MessageBody,
        mut updates: Vec<MemberRecord>,
    ) -> PeerMessage {
        let target = to.and_then(|key| self.roster.get(key)).map(|entry| entry.record.clone());
        let is_remote = target.as_ref().is_some_and(|to| to.region != self.local.region);
        let is_suspected_or_dead = |record: &MemberRecord| {
            matches!(record.status, MemberStatus::Suspected | MemberStatus::Dead)
        };
        if let Some(record) = target.filter(is_suspected_or_dead)
            && !updates.contains(&record)
        {
            updates.push(record);
        }
        let (sections, zones) = self.payloads_for(&body, is_remote);
        PeerMessage {
            sender: self.local.clone(),
            body,
            table_digest: self.table_digest(),
            config_offset: self.config_offset,
            load_percent: self.local_load,
            updates,
            sections,
            zones,
        }
    }

    /// Returns the sections and zone summaries for a message.
    ///
    /// The caller adds the sections of pushes. Replies to pushes, indirect probes and confirmations
    /// carry none, so that changes and lost messages cause little traffic.
    fn payloads_for(
        &mut self,
        body: &MessageBody,
        is_remote: bool,
    ) -> (Vec<PayloadSection>, Vec<ZoneSummary>) {
        let budget = self.config.section_budget_bytes;
        match body {
            MessageBody::Push
            | MessageBody::Ack
            | MessageBody::IndirectProbe(_)
            | MessageBody::Confirm(..) => (Vec::new(), Vec::new()),
            _ if is_remote => (
                self.sections.take(SectionScope::Global, PAYLOAD_SENDS, budget),
                self.zones.of_region(&self.local.region).cloned().collect(),
            ),
            _ => (
                self.sections.take(SectionScope::Region, PAYLOAD_SENDS, budget),
                self.zones.take(PAYLOAD_SENDS, ZONES_PER_MESSAGE),
            ),
        }
    }

    /// Returns the number of times that one member sends one change besides the push. Together with
    /// the pushes of all others, this reaches every member with high probability. Anti-entropy
    /// repairs the rest.
    fn max_sends(&self) -> u32 {
        usize::BITS - (self.roster.len() + 1).leading_zeros()
    }

    pub(crate) fn table_digest(&self) -> u64 {
        let others =
            self.roster.digests().values().fold(0, |sum: u64, part| sum.wrapping_add(*part));
        others.wrapping_add(self.local_digest())
    }

    pub(crate) fn local_digest(&self) -> u64 {
        match self.local.status {
            MemberStatus::Dead => 0,
            _ => self.local.digest(),
        }
    }

    /// Returns the connection in use to a member, or the number of a new one.
    pub(crate) fn connection_to(&mut self, key: MemberKey) -> Option<PeerConnection> {
        let number = self.next_connection;
        let entry = self.roster.get_mut(key)?;
        let number = *entry.connection.get_or_insert(number);
        let address = entry.record.address;
        if number == self.next_connection {
            self.next_connection += 1;
        }
        Some(PeerConnection { address, number })
    }

    /// Sends a message to a member over the connection in use.
    pub(crate) fn send_to(
        &mut self,
        key: MemberKey,
        body: MessageBody,
        actions: &mut Vec<MemberAction>,
    ) {
        if let Some(connection) = self.connection_to(key) {
            let message = self.compose(Some(key), body);
            actions.push(MemberAction::Send(connection, message));
        }
    }

    /// Returns the members that match, in random order.
    pub(crate) fn shuffled(&mut self, wanted: impl Fn(&MemberEntry) -> bool) -> Vec<MemberKey> {
        let mut keys: Vec<MemberKey> =
            self.roster.iter().filter(|(_, entry)| wanted(entry)).map(|(key, _)| key).collect();
        keys.shuffle(&mut self.rng);
        keys
    }

    /// Returns the known members.
    pub fn roster(&self) -> &MemberRoster {
        &self.roster
    }

    /// Returns the counters.
    pub fn counters(&self) -> MemberCounters {
        self.counters
    }
}
