//! Failure detection: selects the members to probe, and suspects those that do not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::member_event::MemberAction;
use crate::member_event::PeerConnection;
use crate::member_record::MemberStatus;
use crate::member_roster::HostListStatus;
use crate::member_roster::MemberKey;
use crate::membership::MembershipTable;
use crate::peer_message::MessageBody;
use crate::timestamp::Timestamp;

/// Maximum number of member changes in one push.
pub(crate) const UPDATES_PER_PUSH: usize = 24;

/// Absent hosts probed in one period by a host that knows no other member that is alive.
const ABSENT_PROBES_WHEN_ALONE: usize = 3;

/// Target of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProbeTarget {
    /// A member.
    Member(MemberKey),
    /// An address where an absent host may answer: a dead member, a listed host or a seed.
    Address(SocketAddr),
}

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Sent on the connection in use.
    Direct,
    /// The connection in use, `silent`, did not answer: sent on a new connection and through other
    /// members.
    Indirect { silent: PeerConnection },
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingProbe {
    pub(crate) connection: PeerConnection,
    pub(crate) stage: ProbeStage,
    pub(crate) deadline: Timestamp,
    pub(crate) requesters: BTreeSet<MemberKey>,
}

impl MembershipTable {
    /// Probes the next members of the local region.
    pub(crate) fn start_probe_round(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let mut left = self.config.probes_per_round;
        let mut refilled = false;
        while left > 0 {
            let Some(key) = self.probe_round.pop_front() else {
                if refilled {
                    return;
                }
                refilled = true;
                self.refill_probe_round();
                continue;
            };
            if self.can_probe(key) {
                left -= 1;
                self.probe_member(now, key, actions);
            }
        }
    }

    fn refill_probe_round(&mut self) {
        let region = self.local.region.clone();
        let keys = self.shuffled(|entry| {
            entry.record.region == region && entry.record.status != MemberStatus::Dead
        });
        self.probe_round.extend(keys);
    }

    fn can_probe(&self, key: MemberKey) -> bool {
        let alive =
            self.roster.get(key).is_some_and(|entry| entry.record.status != MemberStatus::Dead);
        alive && !self.probes.contains_key(&ProbeTarget::Member(key))
    }

    /// Sends a direct probe to a member, unless a probe is in flight.
    pub(crate) fn probe_member(
        &mut self,
        now: Timestamp,
        key: MemberKey,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.can_probe(key) {
            return;
        }
        let Some(connection) = self.connection_to(key) else { return };
        self.start_probe(now, ProbeTarget::Member(key), connection);
        let message = self.compose(Some(key), MessageBody::Probe);
        actions.push(MemberAction::Send(connection, message));
    }

    fn start_probe(&mut self, now: Timestamp, target: ProbeTarget, connection: PeerConnection) {
        let probe = OutstandingProbe {
            connection,
            stage: ProbeStage::Direct,
            deadline: now + self.config.probe_timeout,
            requesters: BTreeSet::new(),
        };
        self.probes.insert(target, probe);
    }

    /// Probes a member on behalf of another one, which is notified when the member answers.
    pub(crate) fn probe_on_behalf_of(
        &mut self,
        now: Timestamp,
        requester: MemberKey,
        target: &HostId,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(key) = self.roster.key_of(target) else { return };
        self.probe_member(now, key, actions);
        if let Some(probe) = self.probes.get_mut(&ProbeTarget::Member(key)) {
            probe.requesters.insert(requester);
        }
    }

    /// Fails the current stage of every probe whose deadline has passed.
    pub(crate) fn expire_probes(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let expired: Vec<ProbeTarget> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(&target, _)| target)
            .collect();
        for target in expired {
            self.on_probe_failed(now, target, actions);
        }
    }

    /// Fails a direct probe before its deadline because its connection failed.
    pub(crate) fn on_send_failed(
        &mut self,
        now: Timestamp,
        connection: PeerConnection,
        actions: &mut Vec<MemberAction>,
    ) {
        let failed = self
            .probes
            .iter()
            .find(|(_, probe)| probe.connection == connection && probe.stage == ProbeStage::Direct)
            .map(|(&target, _)| target);
        if let Some(target) = failed {
            self.on_probe_failed(now, target, actions);
        }
    }

    fn on_probe_failed(
        &mut self,
        now: Timestamp,
        target: ProbeTarget,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(probe) = self.probes.remove(&target) else { return };
        match (target, probe.stage) {
            (ProbeTarget::Address(_), _) => {
                actions.push(MemberAction::RetireConnection(probe.connection));
            }
            (ProbeTarget::Member(key), ProbeStage::Direct) => {
                self.start_indirect_stage(now, key, probe, actions);
            }
            (ProbeTarget::Member(key), ProbeStage::Indirect { silent }) => {
                actions.push(MemberAction::RetireConnection(silent));
                self.on_member_unresponsive(now, key, actions);
            }
        }
    }

    /// Probes a member again on a new connection, and asks other members to probe it.
    fn start_indirect_stage(
        &mut self,
        now: Timestamp,
        key: MemberKey,
        probe: OutstandingProbe,
        actions: &mut Vec<MemberAction>,
    ) {
        let silent = probe.connection;
        let number = self.next_connection;
        self.next_connection += 1;
        let Some(entry) = self.roster.get_mut(key) else { return };
        entry.connection = Some(number);
        let host = entry.record.host.clone();
        let connection = PeerConnection { address: entry.record.address, number };
        let deadline = now + self.config.indirect_probe_timeout;
        let stage = ProbeStage::Indirect { silent };
        self.probes.insert(
            ProbeTarget::Member(key),
            OutstandingProbe { connection, stage, deadline, ..probe },
        );
        actions.push(MemberAction::OpenConnection(connection));
        let message = self.compose(Some(key), MessageBody::Probe);
        actions.push(MemberAction::Send(connection, message));
        self.request_indirect_probes(key, &host, actions);
    }

    fn request_indirect_probes(
        &mut self,
        key: MemberKey,
        host: &HostId,
        actions: &mut Vec<MemberAction>,
    ) {
        let region = self.roster.get(key).map(|entry| entry.record.region.clone());
        if region.as_ref() != Some(&self.local.region) {
            return;
        }
        let region = self.local.region.clone();
        let helpers = self.shuffled(|entry| {
            entry.record.region == region
                && entry.record.status == MemberStatus::Live
                && entry.record.host != *host
        });
        for helper in helpers.into_iter().take(self.config.indirect_probes) {
            self.send_to(helper, MessageBody::IndirectProbe(host.clone()), actions);
        }
    }

    /// Suspects a live member of the local region that answered neither stage of a probe.
    ///
    /// A leaving member that no longer answers has left and is declared dead. An isolated host
    /// suspects no member, as the fault is likely its own.
    fn on_member_unresponsive(
        &mut self,
        now: Timestamp,
        key: MemberKey,
        actions: &mut Vec<MemberAction>,
    ) {
        let isolated = self.is_isolated(now);
        let Some(entry) = self.roster.get_mut(key) else { return };
        if entry.record.region != self.local.region {
            return;
        }
        if isolated {
            entry.unverified = true;
            actions.push(MemberAction::PublishView);
            return;
        }
        match entry.record.status {
            MemberStatus::Live => {
                self.counters.suspicions += 1;
                self.roster.set_status(now, key, MemberStatus::Suspected);
                self.announce_change(actions);
                self.send_to(key, MessageBody::Push, actions);
            }
            MemberStatus::Leaving => self.declare_dead(now, key, actions),
            MemberStatus::Suspected | MemberStatus::Dead => {}
        }
    }

    /// Declares the members of the local region dead that did not refute a suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        if self.is_isolated(now) {
            return;
        }
        let timeout = self.config.suspicion_timeout;
        let expired: Vec<MemberKey> = self
            .roster
            .iter()
            .filter(|(_, entry)| {
                entry.record.status == MemberStatus::Suspected
                    && entry.record.region == self.local.region
                    && now.since(entry.changed) >= timeout
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.declare_dead(now, key, actions);
        }
    }

    fn declare_dead(&mut self, now: Timestamp, key: MemberKey, actions: &mut Vec<MemberAction>) {
        self.counters.deaths += 1;
        self.roster.set_status(now, key, MemberStatus::Dead);
        self.discard_member_state(key, None, actions);
        self.announce_change(actions);
    }

    /// Completes the probe of a member that answered, and notifies the members that requested it.
    pub(crate) fn complete_probe(
        &mut self,
        key: MemberKey,
        answered_on: Option<PeerConnection>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(probe) = self.probes.remove(&ProbeTarget::Member(key)) else { return };
        if let ProbeStage::Indirect { silent } = probe.stage {
            self.keep_one_connection(key, silent, probe.connection, answered_on, actions);
        }
        let Some(entry) = self.roster.get(key) else { return };
        let body = MessageBody::Confirm(entry.record.host.clone(), entry.record.incarnation);
        for requester in probe.requesters {
            self.send_to(requester, body.clone(), actions);
        }
    }

    /// Keeps the connection that the answer arrived on, or else the new one, and retires the other.
    fn keep_one_connection(
        &mut self,
        key: MemberKey,
        silent: PeerConnection,
        new: PeerConnection,
        answered_on: Option<PeerConnection>,
        actions: &mut Vec<MemberAction>,
    ) {
        if answered_on == Some(silent) {
            if let Some(entry) = self.roster.get_mut(key) {
                entry.connection = Some(silent.number);
            }
            actions.push(MemberAction::RetireConnection(new));
            return;
        }
        if answered_on == Some(new) {
            self.counters.silent_connections += 1;
        }
        actions.push(MemberAction::RetireConnection(silent));
    }

    /// Handles the confirmation by another member that a member answered an indirect probe.
    pub(crate) fn on_confirm(
        &mut self,
        target: &HostId,
        incarnation: Incarnation,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(key) = self.roster.key_of(target) else { return };
        if self.roster.get(key).is_some_and(|entry| incarnation >= entry.record.incarnation) {
            self.complete_probe(key, None, actions);
        }
    }

    /// Probes random absent hosts: dead members, listed hosts and seeds that are not known to be
    /// alive.
    pub(crate) fn probe_absent_hosts(&mut self, now: Timestamp, actions: &mut Vec<MemberAction>) {
        let mut addresses = self.absent_addresses();
        let alone = !self.roster.iter().any(|(_, entry)| entry.record.status != MemberStatus::Dead);
        let count = if alone { ABSENT_PROBES_WHEN_ALONE } else { 1 };
        use rand::seq::SliceRandom as _;
        addresses.shuffle(&mut self.rng);
        for address in addresses.into_iter().take(count) {
            self.probe_address(now, address, actions);
        }
    }

    fn probe_address(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        let target = ProbeTarget::Address(address);
        if self.probes.contains_key(&target) {
            return;
        }
        let connection = PeerConnection { address, number: self.next_connection };
        self.next_connection += 1;
        self.start_probe(now, target, connection);
        let known = self.roster.iter().find(|(_, entry)| entry.record.address == address);
        let known = known.map(|(key, _)| key);
        let message = self.compose(known, MessageBody::Probe);
        actions.push(MemberAction::Send(connection, message));
    }

    fn absent_addresses(&self) -> Vec<SocketAddr> {
        let mut alive = BTreeSet::from([self.local.address]);
        let mut absent = BTreeSet::new();
        for (_, entry) in self.roster.iter() {
            match entry.record.status {
                MemberStatus::Dead if entry.listed == HostListStatus::Absent => {}
                MemberStatus::Dead => {
                    absent.insert(entry.record.address);
                }
                _ => {
                    alive.insert(entry.record.address);
                }
            }
        }
        absent.extend(self.listed.iter().map(|listed| listed.address));
        absent.extend(&self.seeds);
        absent.difference(&alive).copied().collect()
    }
}
