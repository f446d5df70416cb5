//! Handles received messages: merges their content, replies, and refutes wrong claims about the
//! local host.

use crate::host_list::HostState;
use crate::ids::Incarnation;
use crate::ids::RegionName;
use crate::member_event::ListedHost;
use crate::member_event::MemberAction;
use crate::member_event::PeerConnection;
use crate::member_probe::ProbeTarget;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_roster::HostListStatus;
use crate::member_roster::MemberKey;
use crate::member_roster::RosterMerge;
use crate::member_section::SectionMerge;
use crate::member_snapshot::ViewFreshness;
use crate::membership::MembershipTable;
use crate::peer_message::MessageBody;
use crate::peer_message::PeerMessage;
use crate::peer_message::RegionDigest;
use crate::timestamp::Timestamp;

/// Sender of a message.
enum MessageSender {
    /// The current process of a member.
    Member(MemberKey),
    /// An earlier process of a member, or a process with the local host id. The message is skipped.
    Skipped(Option<MemberKey>),
}

/// Kind of message that a record came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordSource {
    /// A change, which is gossiped further.
    Change,
    /// The table of a member of the local region, whose content the region already knows.
    Table,
}

impl MembershipTable {
    /// Merges a request and adds the reply.
    pub(crate) fn on_request(
        &mut self,
        now: Timestamp,
        message: PeerMessage,
        actions: &mut Vec<MemberAction>,
    ) {
        let body = message.body.clone();
        let their_digest = message.table_digest;
        let key = match self.merge_message(now, message, actions) {
            MessageSender::Member(key) => key,
            MessageSender::Skipped(key) => {
                let reply = self.compose_stale_reply(key);
                actions.push(MemberAction::Reply(reply));
                return;
            }
        };
        let answer = match body {
            MessageBody::Probe => MessageBody::ProbeReply,
            MessageBody::TableRequest(digests) => {
                let reply = self.table_reply(key, &digests);
                actions.push(MemberAction::Reply(reply));
                return;
            }
            MessageBody::IndirectProbe(target) => {
                self.probe_on_behalf_of(now, key, &target, actions);
                MessageBody::Ack
            }
            MessageBody::Confirm(target, incarnation) => {
                self.on_confirm(&target, incarnation, actions);
                MessageBody::Ack
            }
            _ => MessageBody::Ack,
        };
        let mut reply = self.compose(Some(key), answer);
        if reply.table_digest != their_digest {
            self.attach_recent_changes(&mut reply);
        }
        actions.push(MemberAction::Reply(reply));
    }

    /// Returns the reply to an earlier process of a member. It carries the newer record.
    fn compose_stale_reply(&mut self, key: Option<MemberKey>) -> PeerMessage {
        let mut reply = self.compose(key, MessageBody::Ack);
        if let Some(entry) = key.and_then(|key| self.roster.get(key))
            && !reply.updates.contains(&entry.record)
        {
            reply.updates.push(entry.record.clone());
        }
        reply
    }

    /// Merges the reply to a message sent on a connection.
    pub(crate) fn on_reply(
        &mut self,
        now: Timestamp,
        connection: PeerConnection,
        message: PeerMessage,
        actions: &mut Vec<MemberAction>,
    ) {
        let is_table = message.body == MessageBody::TableReply;
        let key = match self.merge_message(now, message, actions) {
            MessageSender::Member(key) => key,
            MessageSender::Skipped(_) => {
                self.drop_address_probe(connection, actions);
                return;
            }
        };
        self.complete_probe(key, Some(connection), actions);
        self.adopt_connection(key, connection, actions);
        if is_table {
            self.on_table_reply(actions);
        }
    }

    /// Keeps the connection on which a dead member or an absent host answered, if it has no other.
    fn adopt_connection(
        &mut self,
        key: MemberKey,
        connection: PeerConnection,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.probes.remove(&ProbeTarget::Address(connection.address)).is_none() {
            return;
        }
        let Some(entry) = self.roster.get_mut(key) else { return };
        let is_usable =
            entry.record.address == connection.address && entry.record.status != MemberStatus::Dead;
        if is_usable && entry.connection.is_none() {
            entry.connection = Some(connection.number);
        } else if entry.connection != Some(connection.number) {
            actions.push(MemberAction::RetireConnection(connection));
        }
    }

    fn drop_address_probe(&mut self, connection: PeerConnection, actions: &mut Vec<MemberAction>) {
        if self.probes.remove(&ProbeTarget::Address(connection.address)).is_some() {
            actions.push(MemberAction::RetireConnection(connection));
        }
    }

    /// Marks the view as fresh, as it now includes the current table of another member.
    fn on_table_reply(&mut self, actions: &mut Vec<MemberAction>) {
        self.region_mismatch_since = None;
        for key in self.roster.keys() {
            if let Some(entry) = self.roster.get_mut(key) {
                entry.unverified = false;
            }
        }
        self.freshness = ViewFreshness::Fresh;
        actions.push(MemberAction::PublishView);
    }

    fn merge_message(
        &mut self,
        now: Timestamp,
        message: PeerMessage,
        actions: &mut Vec<MemberAction>,
    ) -> MessageSender {
        let sender = &message.sender;
        if sender.host == self.local.host {
            self.check_superseded(sender.incarnation, actions);
            return MessageSender::Skipped(None);
        }
        let known = self.roster.key_of(&sender.host);
        let newest = known.and_then(|key| self.roster.get(key)).map(|entry| &entry.record);
        if newest.is_some_and(|record| record.incarnation > sender.incarnation) {
            self.counters.stale_messages += 1;
            return MessageSender::Skipped(known);
        }
        self.last_heard = now;
        let is_same_region = sender.region == self.local.region;
        let source = match message.body {
            MessageBody::TableReply if is_same_region => RecordSource::Table,
            _ => RecordSource::Change,
        };
        let host = sender.host.clone();
        let region = sender.region.clone();
        self.zones.mark_heard(now, &sender.region);
        self.merge_record(now, message.sender, RecordSource::Change, actions);
        for record in message.updates {
            self.merge_record(now, record, source, actions);
        }
        self.merge_payloads(now, message.sections, message.zones);
        self.advance_config_offset(message.config_offset, actions);
        let Some(key) = self.roster.key_of(&host) else { return MessageSender::Skipped(None) };
        self.compare_tables(now, key, &region, message.table_digest);
        self.mark_heard(key, message.load_percent, actions);
        MessageSender::Member(key)
    }

    fn mark_heard(&mut self, key: MemberKey, load_percent: u8, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.roster.get_mut(key) else { return };
        entry.load_percent = load_percent;
        if std::mem::take(&mut entry.unverified) {
            actions.push(MemberAction::PublishView);
        }
    }

    fn merge_payloads(
        &mut self,
        now: Timestamp,
        sections: Vec<crate::member_section::PayloadSection>,
        zones: Vec<crate::member_zone::ZoneSummary>,
    ) {
        let own = crate::member_record::host_hash(&self.local.host);
        for section in sections.into_iter().filter(|section| section.origin != own) {
            let is_urgent = section.kind.is_global();
            match self.sections.merge(section) {
                SectionMerge::Stored if is_urgent => self.payload_pending = true,
                SectionMerge::Stored | SectionMerge::Known => {}
                SectionMerge::Full => self.counters.dropped += 1,
            }
        }
        for summary in zones {
            self.zones.merge(now, summary);
        }
    }

    /// Records since when the tables of other members differ: one time for the local region, and one
    /// for each other region.
    fn compare_tables(&mut self, now: Timestamp, key: MemberKey, region: &RegionName, digest: u64) {
        let is_same = digest == self.table_digest();
        match (*region == self.local.region, is_same) {
            (true, true) => self.region_mismatch_since = None,
            (true, false) => {
                self.region_mismatch_since.get_or_insert(now);
            }
            (false, true) => {
                self.remote_mismatches.remove(region);
            }
            (false, false) => {
                self.remote_mismatches.entry(region.clone()).or_insert((now, key));
            }
        }
    }

    fn merge_record(
        &mut self,
        now: Timestamp,
        record: MemberRecord,
        source: RecordSource,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.host == self.local.host {
            self.on_local_record(record, actions);
            return;
        }
        let status = record.status;
        let (key, moved) = match self.roster.merge(now, record) {
            RosterMerge::Known => return,
            RosterMerge::Ignored => {
                self.counters.dropped += u64::from(status != MemberStatus::Dead);
                return;
            }
            RosterMerge::Added(key) => (key, None),
            RosterMerge::Changed(key, moved) => (key, moved),
        };
        if status == MemberStatus::Dead || moved.is_some() {
            self.discard_member_state(key, moved, actions);
        }
        match source {
            RecordSource::Change => self.announce_change(actions),
            RecordSource::Table => self.roster.unqueue(key),
        }
    }

    /// Schedules a push of the queued changes and publishes the view.
    pub(crate) fn announce_change(&mut self, actions: &mut Vec<MemberAction>) {
        self.push_pending = true;
        actions.push(MemberAction::PublishView);
    }

    /// Handles a record of the local host that another host sent. Raises the incarnation to refute a
    /// suspicion or a death.
    fn on_local_record(&mut self, record: MemberRecord, actions: &mut Vec<MemberAction>) {
        if !record.supersedes(&self.local) {
            return;
        }
        match record.status {
            MemberStatus::Live | MemberStatus::Leaving => {
                self.check_superseded(record.incarnation, actions);
            }
            MemberStatus::Suspected | MemberStatus::Dead => {
                if self.local.status == MemberStatus::Dead {
                    return;
                }
                self.counters.refutations += 1;
                self.local.incarnation = Incarnation(record.incarnation.0 + 1);
                self.announce_change(actions);
            }
        }
    }

    fn check_superseded(&self, incarnation: Incarnation, actions: &mut Vec<MemberAction>) {
        if incarnation > self.local.incarnation {
            actions.push(MemberAction::Superseded(incarnation));
        }
    }

    /// Drops the probe of a member and closes the connection to it. If it is dead, drops its
    /// sections too.
    pub(crate) fn discard_member_state(
        &mut self,
        key: MemberKey,
        moved: Option<std::net::SocketAddr>,
        actions: &mut Vec<MemberAction>,
    ) {
        if let Some(probe) = self.probes.remove(&ProbeTarget::Member(key))
            && let crate::member_probe::ProbeStage::Indirect { silent } = probe.stage
        {
            actions.push(MemberAction::RetireConnection(silent));
        }
        let Some(entry) = self.roster.get_mut(key) else { return };
        let address = moved.unwrap_or(entry.record.address);
        if let Some(number) = entry.connection.take() {
            actions.push(MemberAction::RetireConnection(PeerConnection { address, number }));
        }
        if entry.record.status == MemberStatus::Dead {
            let hash = entry.hash;
            self.sections.remove_origin(hash);
        }
    }

    /// Returns the members of all regions whose digest differs from the requester's.
    fn table_reply(&mut self, key: MemberKey, digests: &[RegionDigest]) -> PeerMessage {
        let own = self.region_digests();
        let differs = |record: &MemberRecord| {
            let theirs = digests.iter().find(|row| row.region == record.region);
            let ours = own.iter().find(|row| row.region == record.region);
            theirs.map(|row| row.digest) != ours.map(|row| row.digest)
        };
        let mut reply = self.compose(Some(key), MessageBody::TableReply);
        reply.updates =
            self.roster.iter().map(|(_, entry)| entry.record.clone()).filter(differs).collect();
        reply
    }

    /// Returns the digest of each region, including the local host.
    pub(crate) fn region_digests(&self) -> Vec<RegionDigest> {
        let mut digests = self.roster.digests().clone();
        let own = digests.entry(self.local.region.clone()).or_default();
        *own = own.wrapping_add(self.local_digest());
        digests.into_iter().map(|(region, digest)| RegionDigest { region, digest }).collect()
    }

    /// Merges the platform's host list.
    ///
    /// A listed host that is not known to be alive is probed as an absent host. A host listed as
    /// leaving counts as leaving as long as the list says so. A host that is not listed stays live
    /// as long as it answers. A dead host that is not listed is no longer probed.
    pub(crate) fn on_host_list(
        &mut self,
        listed: Vec<ListedHost>,
        actions: &mut Vec<MemberAction>,
    ) {
        for key in self.roster.keys() {
            let Some(entry) = self.roster.get_mut(key) else { continue };
            let row = listed.iter().find(|row| row.host == entry.record.host);
            entry.listed = match row.map(|row| row.state) {
                Some(HostState::Live) => HostListStatus::Live,
                Some(HostState::Leaving) => HostListStatus::Leaving,
                None => HostListStatus::Absent,
            };
        }
        self.listed = listed;
        actions.push(MemberAction::PublishView);
    }
}
