//! Binds each stream to the software version that began it, for all hosts together.
//!
//! Failure pattern: servers of several versions serve side by side, and what they write does not fit
//! together. A caller may take up its stream at any host, also after all hosts were lost at once, and
//! names only the attempt that brought the first event. The store therefore names one version of each
//! service, its base. A stream at the base has no record: one that nobody knows is of the base. Any
//! other stream is recorded in the store before its first event is relayed. The base changes only when
//! its version has had no server for longer than any caller waits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::version_census::ReturnedVersion;
use crate::gateway::version_census::VersionCensus;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::software_version::SoftwareVersion;
use crate::text_label::TextLabel;
use crate::timestamp::Timestamp;

/// Time for which a caller is expected to wait until streams show another one.
const EXPECTED_WAIT: Duration = Duration::from_secs(30);

/// Longest time for which a caller is taken to wait.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Time after its caller's deadline for which a stream stays known: clocks and links differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

/// Time for which a server may serve after it was last listed.
const SERVER_EXIT_TIME: Duration = Duration::from_secs(30);

/// Time that hosts need to record their streams anew after the store came back from a copy.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Time after the return of a version from which on a read of its service's base holds: a change of the
/// base that was decided before may take as long.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Interval of the reads while the base of a service is not known.
const UNKNOWN_READ_PERIOD: Duration = Duration::from_millis(1_500);

/// Interval of the reads while this host lists streams.
const LISTED_READ_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of streams that a host knows. Of more, those that expire first are dropped.
const MAX_KNOWN_STREAMS: usize = 65_536;

/// Maximum number of streams in a host's list: half of what a record of the store may hold.
pub const MAX_LISTED_STREAMS: usize = 16_384;

/// Identifies a stream over all tries of its caller: a hash of its team and of the attempt that brought
/// its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a team's caller began.
    pub fn of(team: Option<&TeamName>, attempt: &TextLabel) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [team.map_or("", TeamName::as_str), attempt.as_str()] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamBegin {
    /// Service.
    pub service: ServiceName,
    /// Software version of the server.
    pub version: SoftwareVersion,
}

/// State of the list up to which it must be recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordTicket(pub u64);

/// What must happen before the first event of a stream is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordNeed {
    /// Nothing: the stream is of the base.
    Nothing,
    /// The list must be recorded up to this state.
    Recorded(RecordTicket),
}

/// Where the knowledge of a stream's version comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceSource {
    /// This host began the stream, or has resumed it before.
    Memory,
    /// A list in the store.
    Record,
    /// No list names the stream.
    Base,
    /// The store cannot be read, and no other version was listed for long.
    OnlyVersion,
}

/// At which software version a stream may be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamTrace {
    /// At this one only.
    Version(SoftwareVersion, TraceSource),
    /// At none, now or later: where it began cannot be told, or was another service.
    Untraceable,
    /// It is not known now.
    Unavailable,
}

/// The base of a service as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionBase {
    /// Version of the streams that no list names.
    pub version: SoftwareVersion,
    /// Era of the store in which the lists were complete.
    pub era: StoreEra,
}

/// Where a stream began according to all lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedBegin {
    /// Here.
    At(StreamBegin),
    /// The lists disagree.
    Several,
}

/// The records of all hosts, as one read of the store shows them.
#[derive(Clone, Debug, Default)]
pub struct VersionRecords {
    /// Era of the store.
    pub era: StoreEra,
    /// Base of each service.
    pub bases: BTreeMap<ServiceName, VersionBase>,
    /// Streams that began at other versions.
    pub streams: HashMap<StreamKey, ListedBegin>,
}

impl VersionRecords {
    /// Adds a stream of a host's list.
    pub fn add(&mut self, key: StreamKey, begin: StreamBegin) {
        let listed = ListedBegin::At(begin);
        let known = self.streams.entry(key).or_insert_with(|| listed.clone());
        if *known != listed {
            *known = ListedBegin::Several;
        }
    }

    /// Returns the base of a service, unless lists may have been lost since it was recorded.
    fn base(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        self.bases.get(service).filter(|base| base.era == self.era).map(|base| &base.version)
    }

    /// Returns whether a list names a stream of a service.
    fn lists_service(&self, service: &ServiceName) -> bool {
        self.streams.values().any(|listed| match listed {
            ListedBegin::At(begin) => begin.service == *service,
            ListedBegin::Several => true,
        })
    }
}

/// Whether hosts may have begun streams before this one started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetStart {
    /// The fleet started for the first time with this host.
    First,
    /// Other hosts may have been there before.
    Later,
}

/// What this host believes of a service's base.
#[derive(Clone, Debug)]
struct BaseBelief {
    version: SoftwareVersion,
    /// If its servers returned since it was read, from when on a read shows whether it had changed.
    suspect_until: Option<Timestamp>,
}

/// A stream that this host knows.
#[derive(Clone, Debug)]
struct KnownStream {
    begin: StreamBegin,
    /// Whether a caller has events of it.
    has_events: bool,
    /// Whether attempts with the same name had events of several versions.
    is_ambiguous: bool,
    expires_at: Timestamp,
    /// State of the list from which on it holds the stream as it is here, if it must.
    ticket: Option<RecordTicket>,
}

/// The versions at which streams began, as far as this host knows them.
#[derive(Clone, Debug, Default)]
pub struct VersionLedger {
    streams: HashMap<StreamKey, KnownStream>,
    expirations: BTreeSet<(Timestamp, StreamKey)>,
    bases: BTreeMap<ServiceName, BaseBelief>,
    census: VersionCensus,
    /// Last state of the list.
    changed: RecordTicket,
    /// State of the list that is recorded.
    recorded: RecordTicket,
    /// Whether the last try to record the list failed.
    is_failing: bool,
    /// Longest time for which callers of streams wait, if it is beyond the expected one.
    longest_wait: Duration,
    /// Since when this host knows the store's era.
    era_since: Option<(StoreEra, Timestamp)>,
    /// When this host first read the records.
    began_at: Option<Timestamp>,
    /// When it last read them.
    read_at: Option<Timestamp>,
}

/// The streams to record, and the state of the list that they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// State of the list.
    pub ticket: RecordTicket,
    /// Streams by service and version.
    pub streams: BTreeMap<(ServiceName, SoftwareVersion), Vec<StreamKey>>,
}

/// A base to record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseProposal {
    /// Service.
    pub service: ServiceName,
    /// Its new base.
    pub base: VersionBase,
}

impl VersionLedger {
    /// Returns the versions that were listed.
    pub fn census(&self) -> &VersionCensus {
        &self.census
    }

    /// Returns the versions that were listed, to record what is listed now. What it returns of
    /// versions that are back goes to [`Self::on_returned`].
    pub fn census_mut(&mut self) -> &mut VersionCensus {
        &mut self.census
    }

    /// Records that versions are listed again after a while.
    pub fn on_returned(&mut self, now: Timestamp, returned: &[ReturnedVersion]) {
        for ReturnedVersion { service, version } in returned {
            if let Some(belief) = self.bases.get_mut(service)
                && belief.version == *version
            {
                belief.suspect_until = Some(now + RETURN_TIME);
            }
        }
    }

    /// Returns whether the records must be read although no caller asks for it: the base of one of
    /// these services is not known or may have changed, or keeping this host's list costs calls that a
    /// new base may make needless.
    pub fn must_read(&self, now: Timestamp, services: &BTreeSet<ServiceName>) -> bool {
        let age = self.read_at.map(|read_at| now.since(read_at));
        let is_due = |period: Duration| age.is_none_or(|age| age >= period);
        let is_unknown = |service: &ServiceName| {
            self.census.staying_versions(service) > 0
                && match self.bases.get(service) {
                    Some(belief) => belief.suspect_until.is_some_and(|until| until <= now),
                    None => true,
                }
        };
        (services.iter().any(is_unknown) && is_due(UNKNOWN_READ_PERIOD))
            || (is_due(LISTED_READ_PERIOD) && self.listed_count() > 0)
    }

    /// Records that an attempt which may begin a stream is sent to a server. If several are, what
    /// counts is the last one before the first event.
    pub fn on_sent(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        begin: &StreamBegin,
        wait: Duration,
    ) -> RecordNeed {
        let wait = wait.min(MAX_WAIT);
        self.longest_wait = self.longest_wait.max(wait);
        let expires_at = now + wait + EXPIRY_MARGIN;
        let is_base = self.base(&begin.service) == Some(&begin.version);
        let Some(known) = self.streams.get_mut(&key) else {
            let ticket = (!is_base).then(|| self.next_ticket());
            let known = KnownStream {
                begin: begin.clone(),
                has_events: false,
                is_ambiguous: false,
                expires_at,
                ticket,
            };
            self.insert(key, known);
            return need(ticket);
        };
        if known.begin == *begin {
            return need(known.ticket);
        }
        if known.has_events {
            known.is_ambiguous = true;
        }
        known.begin = begin.clone();
        // Once a list may have named it with another version, a list must name it with this one.
        if known.ticket.is_some() || !is_base {
            self.changed.0 += 1;
            known.ticket = Some(self.changed);
        }
        need(known.ticket)
    }

    /// Records that the first event of a stream is relayed.
    pub fn on_first_event(&mut self, key: StreamKey) {
        if let Some(known) = self.streams.get_mut(&key) {
            known.has_events = true;
        }
    }

    /// Records where a stream began that this host resumes.
    pub fn on_traced(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        begin: StreamBegin,
        wait: Duration,
    ) {
        if self.streams.contains_key(&key) {
            return;
        }
        let expires_at = now + wait.min(MAX_WAIT) + EXPIRY_MARGIN;
        let known =
            KnownStream { begin, has_events: true, is_ambiguous: false, expires_at, ticket: None };
        self.insert(key, known);
    }

    /// Returns at which version a stream of a service may be resumed, if this host knows it.
    pub fn recall(&self, key: StreamKey, service: &ServiceName) -> Option<StreamTrace> {
        let known = self.streams.get(&key)?;
        if known.is_ambiguous || known.begin.service != *service {
            return Some(StreamTrace::Untraceable);
        }
        known
            .has_events
            .then(|| StreamTrace::Version(known.begin.version.clone(), TraceSource::Memory))
    }

    /// Returns at which version a stream of a service may be resumed that this host does not know.
    /// `records` are those of a read that began after the caller's request had come, if one succeeded;
    /// `key` is missing if the caller did not name the stream.
    pub fn trace(
        &self,
        now: Timestamp,
        key: Option<StreamKey>,
        service: &ServiceName,
        records: Option<&VersionRecords>,
    ) -> StreamTrace {
        let only_version = || {
            let only = self.census.only_version(now, service, self.longest_life());
            match only.filter(|version| self.base(service) == Some(version)) {
                Some(version) => StreamTrace::Version(version.clone(), TraceSource::OnlyVersion),
                None => StreamTrace::Unavailable,
            }
        };
        let Some(records) = records else { return only_version() };
        match key.and_then(|key| records.streams.get(&key)) {
            Some(ListedBegin::At(begin)) if begin.service == *service => {
                return StreamTrace::Version(begin.version.clone(), TraceSource::Record);
            }
            Some(ListedBegin::At(_) | ListedBegin::Several) => return StreamTrace::Untraceable,
            None if key.is_none() && records.lists_service(service) => {
                return StreamTrace::Untraceable;
            }
            None => {}
        }
        match records.base(service) {
            Some(version) => StreamTrace::Version(version.clone(), TraceSource::Base),
            None => only_version(),
        }
    }

    /// Records what a read of the store showed that was begun at `read_at`. `own` are the streams of this
    /// host's list, which its former incarnation may have written. Returns the bases that changed.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        read_at: Timestamp,
        records: &VersionRecords,
        own: Vec<(StreamKey, StreamBegin)>,
    ) -> Vec<(ServiceName, SoftwareVersion)> {
        self.read_at = Some(now);
        if self.began_at.is_none() {
            self.began_at = Some(now);
            let expires_at = now + self.longest_life();
            for (key, begin) in own {
                // It is in the list already, and stays there.
                let ticket = Some(self.recorded);
                let known = KnownStream {
                    begin,
                    has_events: true,
                    is_ambiguous: false,
                    expires_at,
                    ticket,
                };
                self.insert(key, known);
            }
        }
        self.on_era(now, records.era);
        let mut changed = Vec::new();
        for (service, base) in &records.bases {
            // A base of an earlier era is older than what this host knows, if it knows one.
            if base.era != records.era {
                continue;
            }
            let known = self.bases.get(service).and_then(|belief| belief.suspect_until);
            let suspect_until = known.filter(|until| read_at < *until);
            let belief = BaseBelief { version: base.version.clone(), suspect_until };
            let former = self.bases.insert(service.clone(), belief);
            if former.is_none_or(|former| former.version != base.version) {
                changed.push((service.clone(), base.version.clone()));
            }
        }
        changed
    }

    /// Records an era of the store. After the store came back from a copy, the list is recorded again.
    pub fn on_era(&mut self, now: Timestamp, era: StoreEra) {
        let known = self.era_since;
        if known.is_some_and(|(known, _)| known >= era) {
            return;
        }
        self.era_since = Some((era, now));
        if known.is_some() && self.listed_count() > 0 {
            self.changed.0 += 1;
        }
    }

    /// Returns the list to record, if it changed since it was recorded.
    pub fn pending_list(&self) -> Option<ListUpdate> {
        // What the former incarnation of this host recorded is not known before the first read.
        if self.recorded >= self.changed || self.began_at.is_none() {
            return None;
        }
        let mut streams: BTreeMap<_, Vec<StreamKey>> = BTreeMap::new();
        let latest = self.expirations.iter().rev();
        let listed = latest.filter_map(|(_, key)| {
            let known = self.streams.get(key)?;
            known.ticket.map(|_| (key, known))
        });
        for (key, known) in listed.take(MAX_LISTED_STREAMS) {
            let StreamBegin { service, version } = known.begin.clone();
            streams.entry((service, version)).or_default().push(*key);
        }
        Some(ListUpdate { ticket: self.changed, streams })
    }

    /// Records that the list was recorded up to a state.
    pub fn on_recorded(&mut self, ticket: RecordTicket) {
        self.is_failing = false;
        self.recorded = self.recorded.max(ticket);
    }

    /// Records that the list could not be recorded.
    pub fn on_record_failed(&mut self) {
        self.is_failing = true;
    }

    /// Returns whether the last try to record the list failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns whether this host has read the base of a service.
    pub fn knows_base(&self, service: &ServiceName) -> bool {
        self.bases.contains_key(service)
    }

    /// Returns the number of streams in this host's list.
    pub fn listed_count(&self) -> usize {
        self.streams.values().filter(|known| known.ticket.is_some()).count()
    }

    /// Returns the version that new streams of a service should begin at: the base, while others
    /// cannot be recorded.
    pub fn required_version(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let base = self.base(service).filter(|_| self.is_failing)?;
        self.census.has_servers(service, base).then_some(base)
    }

    /// Returns whether a stream that cannot be recorded may begin nevertheless: no server of the base is
    /// there at which it could be resumed by mistake.
    pub fn may_begin_unrecorded(&self, service: &ServiceName) -> bool {
        match self.bases.get(service) {
            Some(belief) => !self.census.has_servers(service, &belief.version),
            None => self.census.staying_versions(service) <= 1,
        }
    }

    /// Returns the base of a service to record, if it should change. `records` are those of a read that
    /// was just made, after the directory.
    pub fn propose_base(
        &self,
        now: Timestamp,
        service: &ServiceName,
        records: &VersionRecords,
        start: FleetStart,
    ) -> Option<BaseProposal> {
        let span = self.longest_life();
        let known_for = self.began_at.map_or(Duration::ZERO, |began_at| now.since(began_at));
        let propose = |version: &SoftwareVersion| {
            let base = VersionBase { version: version.clone(), era: records.era };
            Some(BaseProposal { service: service.clone(), base })
        };
        match records.bases.get(service) {
            Some(base) if base.era == records.era => self
                .census
                .is_gone(now, service, &base.version, span)
                .then(|| self.census.largest(service))
                .flatten()
                .and_then(propose),
            // The store came back from a copy: hosts that were there before know what it lost.
            _ if let Some(belief) = self.bases.get(service) => {
                let (_, since) = self.era_since?;
                (now.since(since) >= REWRITE_TIME).then(|| propose(&belief.version)).flatten()
            }
            Some(base) => (known_for >= span).then(|| propose(&base.version)).flatten(),
            None => {
                let is_first = start == FleetStart::First;
                let is_settled =
                    known_for >= span || (is_first && self.census.staying_versions(service) == 1);
                is_settled.then(|| self.census.largest(service)).flatten().and_then(propose)
            }
        }
    }

    /// Forgets streams whose callers do not wait any more.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((expires_at, key)) = self.expirations.first().copied()
            && (expires_at <= now || self.streams.len() > MAX_KNOWN_STREAMS)
        {
            self.expirations.remove(&(expires_at, key));
            self.streams.remove(&key);
        }
    }

    /// Returns the longest time from the begin of a stream, or from when its server was last listed, until
    /// its caller gives up.
    fn longest_life(&self) -> Duration {
        self.longest_wait.max(EXPECTED_WAIT) + SERVER_EXIT_TIME
    }

    fn base(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        self.bases
            .get(service)
            .filter(|belief| belief.suspect_until.is_none())
            .map(|belief| &belief.version)
    }

    fn next_ticket(&mut self) -> RecordTicket {
        self.changed.0 += 1;
        self.changed
    }

    fn insert(&mut self, key: StreamKey, known: KnownStream) {
        self.expirations.insert((known.expires_at, key));
        self.streams.insert(key, known);
    }
}

fn need(ticket: Option<RecordTicket>) -> RecordNeed {
    ticket.map_or(RecordNeed::Nothing, RecordNeed::Recorded)
}
