//! Binds each stream to the software version that began it, for all hosts together.
//!
//! Failure pattern: servers of several versions serve side by side, and what they write does not fit
//! together. A caller may take up its stream at any host, also after all hosts were lost at once, and
//! names only the attempt that brought the first event. The store therefore names one version of each
//! service, its base. A stream at the base has no record: one that nobody knows is of the base. Any
//! other stream is recorded in the store before its first event is relayed. The base changes only when
//! its version has had no server for longer than any caller waits. After the store came back from a copy,
//! lists may be lost, so that a stream that nobody knows may be of any version: until the base is recorded
//! anew, streams of the base are listed as well.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::version_census::ReturnedVersion;
use crate::gateway::version_census::VersionCensus;
use crate::ids::LogPosition;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::TeamName;
use crate::software_version::SoftwareVersion;
use crate::text_label::TextLabel;
use crate::timestamp::Timestamp;

/// Time for which a caller is expected to wait until streams show another one.
const EXPECTED_WAIT: Duration = Duration::from_secs(30);

/// Longest time for which a caller is taken to wait.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// Time after its caller's deadline for which a stream stays known: clocks and links differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

/// Time for which a server may serve after it was last listed.
const SERVER_EXIT_TIME: Duration = Duration::from_secs(30);

/// Time after which a host that doubts a base renews it, if no other host did.
const RENEWAL_TIME: Duration = Duration::from_secs(3);

/// Time without a read of the directory after which versions may have gone and returned unseen.
const DIRECTORY_GAP: Duration = Duration::from_secs(20);

/// Interval of the reads while the base of a service is not known.
const UNKNOWN_READ_PERIOD: Duration = Duration::from_secs(2);

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

/// Where new streams of a service may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginRule<'a> {
    /// At any server.
    AnyVersion,
    /// At servers of this version.
    OnlyAt(&'a SoftwareVersion),
    /// At none.
    Nowhere,
}

/// What must happen before the first event of a stream is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordNeed {
    /// Nothing: the stream is of the base.
    Nothing,
    /// Nothing, but the list is to be recorded soon: the stream is of the base, and the record of that is
    /// of an earlier era.
    Advised,
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
    /// The store cannot be read, and for long no host has known a server of another version.
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
    /// Position of the record.
    pub position: LogPosition,
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
    /// Whether a host may be about to change a base.
    pub is_changing: bool,
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

    /// Returns whether a list names a stream of a service that is not of the base, whatever the era of its
    /// record.
    fn lists_others(&self, service: &ServiceName) -> bool {
        let base = self.bases.get(service).map(|base| &base.version);
        self.streams.values().any(|listed| match listed {
            ListedBegin::At(begin) => begin.service == *service && Some(&begin.version) != base,
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

/// How this host's directory relates to those of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryView {
    /// It hears most hosts, and none of them has read the directory later.
    Shared,
    /// Others may know servers that it does not know.
    Outdated,
}

/// What this host believes of a service's base.
#[derive(Clone, Debug)]
struct BaseBelief {
    version: SoftwareVersion,
    /// Position of its record.
    position: LogPosition,
    /// Since when it is in doubt, if it is: servers of the version are back, and a change of the base that
    /// was decided without them may still be carried out. Any later record prevents that.
    doubted_since: Option<Timestamp>,
}

impl BaseBelief {
    fn doubt(&mut self, now: Timestamp) {
        self.doubted_since.get_or_insert(now);
    }
}

/// Whether this host's list names a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamListing {
    /// It does not: the stream is of the base.
    Unlisted,
    /// It does from this state on, so that other hosts can trace the stream while the record of the base is
    /// of an earlier era. Without it they refuse to resume the stream.
    Advised(RecordTicket),
    /// It must from this state on, since other hosts would take the stream for one of the base.
    Required(RecordTicket),
}

impl StreamListing {
    fn need(self) -> RecordNeed {
        match self {
            Self::Unlisted => RecordNeed::Nothing,
            Self::Advised(_) => RecordNeed::Advised,
            Self::Required(ticket) => RecordNeed::Recorded(ticket),
        }
    }
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
    listing: StreamListing,
}

/// The versions at which streams began, as far as this host knows them.
#[derive(Clone, Debug, Default)]
pub struct VersionLedger {
    streams: BTreeMap<StreamKey, KnownStream>,
    expirations: BTreeSet<(Timestamp, StreamKey)>,
    bases: BTreeMap<ServiceName, BaseBelief>,
    census: VersionCensus,
    /// When this host last read the directory itself.
    directory_read_at: Option<Timestamp>,
    /// Last state of the list.
    changed: RecordTicket,
    /// Last state of the list that a stream or an announcement waits for.
    required: RecordTicket,
    /// State of the list that is recorded.
    recorded: RecordTicket,
    /// Whether the last try to record the list failed.
    is_failing: bool,
    /// Where this host is about to append a base.
    base_at: Option<LogPosition>,
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
    /// Whether a stream or an announcement waits until it is recorded.
    pub is_awaited: bool,
    /// Streams by service and version.
    pub streams: BTreeMap<(ServiceName, SoftwareVersion), Vec<StreamKey>>,
    /// Where the host is about to append a base.
    pub base_at: Option<LogPosition>,
}

/// A base to record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseProposal {
    /// Service.
    pub service: ServiceName,
    /// Version of the streams that no list names from now on.
    pub version: SoftwareVersion,
    /// Era of the store.
    pub era: StoreEra,
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

    /// Records that this host read the directory itself. After a gap the bases are read again.
    pub fn on_directory_read(&mut self, now: Timestamp) {
        if self.has_gap(now) {
            self.bases.values_mut().for_each(|belief| belief.doubt(now));
        }
        self.directory_read_at = Some(now);
    }

    /// Records that a server joined or restarted. Its version may have been away, also if a peer told so
    /// while this host does not read the directory.
    pub fn on_joined(&mut self, now: Timestamp, service: &ServiceName, version: &SoftwareVersion) {
        let has_gap = self.has_gap(now);
        let was_away = self.census.on_joined(now, service, version);
        if let Some(belief) = self.bases.get_mut(service)
            && (has_gap || was_away)
            && belief.version == *version
        {
            belief.doubt(now);
        }
    }

    fn has_gap(&self, now: Timestamp) -> bool {
        self.directory_read_at.is_some_and(|read_at| now.since(read_at) > DIRECTORY_GAP)
    }

    /// Records that versions are listed again after a while.
    pub fn on_returned(&mut self, now: Timestamp, returned: &[ReturnedVersion]) {
        for ReturnedVersion { service, version } in returned {
            if let Some(belief) = self.bases.get_mut(service)
                && belief.version == *version
            {
                belief.doubt(now);
            }
        }
    }

    /// Returns whether the records must be read although no caller asks for it: the base of one of
    /// these services is not known or may have changed, or keeping this host's list costs calls that a
    /// new base may make needless. In a fleet that starts, the first host records the bases before the
    /// others read them.
    pub fn must_read(
        &self,
        now: Timestamp,
        services: &BTreeSet<ServiceName>,
        start: FleetStart,
    ) -> bool {
        let began_at = self.census.began_at().filter(|_| start == FleetStart::First);
        let read_at = self.read_at.or(began_at);
        let is_due = |period: Duration| read_at.is_none_or(|read_at| now.since(read_at) >= period);
        let is_unknown = |service: &ServiceName| {
            self.census.staying_versions(service) > 0 && self.base(service).is_none()
        };
        (is_due(UNKNOWN_READ_PERIOD) && services.iter().any(is_unknown))
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
        let former = self.streams.get(&key);
        if let Some(known) = former.filter(|known| known.begin == *begin) {
            return known.listing.need();
        }
        let is_listed = former.is_some_and(|known| known.listing != StreamListing::Unlisted);
        let listing = self.next_listing(begin, is_listed);
        match self.streams.get_mut(&key) {
            Some(known) => {
                known.is_ambiguous |= known.has_events;
                known.begin = begin.clone();
                known.listing = listing;
            }
            None => {
                let known = KnownStream {
                    begin: begin.clone(),
                    has_events: false,
                    is_ambiguous: false,
                    expires_at,
                    listing,
                };
                self.insert(key, known);
            }
        }
        listing.need()
    }

    /// Returns how this host lists a stream that an attempt may begin. Once a list may have named the stream
    /// with another version, a list must name it with this one.
    fn next_listing(&mut self, begin: &StreamBegin, is_listed: bool) -> StreamListing {
        let is_base = self.base(&begin.service) == Some(&begin.version);
        match is_base && !is_listed {
            true if !self.is_base_outdated(&begin.service) => StreamListing::Unlisted,
            true => {
                self.changed.0 += 1;
                StreamListing::Advised(self.changed)
            }
            false => StreamListing::Required(self.next_ticket()),
        }
    }

    /// Returns whether the record of a base that this host knows is of an earlier era, which tells other hosts
    /// nothing.
    fn is_base_outdated(&self, service: &ServiceName) -> bool {
        let base_era = self.bases.get(service).map(|belief| belief.position.era);
        self.era_since.is_some_and(|(era, _)| base_era.is_some_and(|base_era| base_era < era))
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
        let listing = StreamListing::Unlisted;
        let known =
            KnownStream { begin, has_events: true, is_ambiguous: false, expires_at, listing };
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
        view: DirectoryView,
    ) -> StreamTrace {
        let only_version = || {
            let only = self.census.only_version(now, service, self.longest_life());
            let only = only.filter(|_| view == DirectoryView::Shared);
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
            None if key.is_none() && records.lists_others(service) => {
                return StreamTrace::Untraceable;
            }
            None => {}
        }
        match records.base(service) {
            Some(version) => StreamTrace::Version(version.clone(), TraceSource::Base),
            None => only_version(),
        }
    }

    /// Records what a read of the store showed. `own` are the streams of this
    /// host's list, which its former incarnation may have written. Returns the bases that changed.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        records: &VersionRecords,
        own: Vec<(StreamKey, StreamBegin)>,
    ) -> Vec<(ServiceName, SoftwareVersion)> {
        self.read_at = Some(now);
        if self.began_at.is_none() {
            self.began_at = Some(now);
            let expires_at = now + self.longest_life();
            for (key, begin) in own {
                // It is in the list already, and stays there.
                let listing = StreamListing::Required(self.recorded);
                let known = KnownStream {
                    begin,
                    has_events: true,
                    is_ambiguous: false,
                    expires_at,
                    listing,
                };
                self.insert(key, known);
            }
        }
        self.on_era(now, records.era);
        let mut changed = Vec::new();
        for (service, base) in &records.bases {
            // A base of an earlier era is older than what this host knows, if it knows one. One that was
            // read before the directory may have changed before a server that this host lists joined.
            if base.era != records.era || self.census.began_at().is_none() {
                continue;
            }
            let former = self.bases.get(service);
            // A read that began before another one may end after it.
            if former.is_some_and(|former| former.position > base.position) {
                continue;
            }
            // Doubt ends with a later record.
            let doubted_since = match former {
                _ if records.is_changing => Some(now),
                Some(former) if former.position == base.position => former.doubted_since,
                _ => None,
            };
            if former.is_none_or(|former| former.version != base.version) {
                changed.push((service.clone(), base.version.clone()));
            }
            let (version, position) = (base.version.clone(), base.position);
            let belief = BaseBelief { version, position, doubted_since };
            self.bases.insert(service.clone(), belief);
        }
        changed
    }

    /// Records an era of the store. After the store came back from a copy, the list is recorded again, with
    /// all streams that this host knows: the record of the base tells other hosts nothing any more.
    pub fn on_era(&mut self, now: Timestamp, era: StoreEra) {
        let known = self.era_since;
        if known.is_some_and(|(known, _)| known >= era) {
            return;
        }
        self.era_since = Some((era, now));
        if known.is_none() {
            return;
        }
        if self.listed_count() > 0 {
            self.next_ticket();
        }
        let advised = RecordTicket(self.changed.0 + 1);
        for known in self.streams.values_mut() {
            if known.listing == StreamListing::Unlisted && !known.is_ambiguous {
                known.listing = StreamListing::Advised(advised);
                self.changed = advised;
            }
        }
    }

    /// Returns the list to record, if it changed since it was recorded.
    pub fn pending_list(&self) -> Option<ListUpdate> {
        // What the former incarnation of this host recorded is not known before the first read.
        if self.recorded >= self.changed || self.began_at.is_none() {
            return None;
        }
        let mut streams: BTreeMap<_, Vec<StreamKey>> = BTreeMap::new();
        let latest = || {
            let latest = self.expirations.iter().rev();
            latest.filter_map(|(_, key)| Some((key, self.streams.get(key)?)))
        };
        let required =
            latest().filter(|(_, known)| matches!(known.listing, StreamListing::Required(_)));
        let advised =
            latest().filter(|(_, known)| matches!(known.listing, StreamListing::Advised(_)));
        for (key, known) in required.chain(advised).take(MAX_LISTED_STREAMS) {
            let StreamBegin { service, version } = known.begin.clone();
            streams.entry((service, version)).or_default().push(*key);
        }
        let is_awaited = self.required > self.recorded;
        Some(ListUpdate { ticket: self.changed, is_awaited, streams, base_at: self.base_at })
    }

    /// Announces with the list that this host is about to append a base at a position. Hosts that read the
    /// list rely on no base until the position is taken.
    pub fn announce_base(&mut self, at: LogPosition) -> RecordTicket {
        self.base_at = Some(at);
        self.next_ticket()
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

    /// Returns whether this host doubts the base of a service for so long that it should renew it.
    pub fn is_in_doubt(&self, now: Timestamp) -> bool {
        self.bases.values().any(|belief| {
            belief.doubted_since.is_some_and(|since| now.since(since) >= RENEWAL_TIME)
        })
    }

    /// Returns whether this host has read the base of a service.
    pub fn knows_base(&self, service: &ServiceName) -> bool {
        self.bases.contains_key(service)
    }

    /// Returns the number of streams in this host's list.
    pub fn listed_count(&self) -> usize {
        self.streams.values().filter(|known| known.listing != StreamListing::Unlisted).count()
    }

    /// Returns where new streams of a service may begin: at the base only, while others cannot be
    /// recorded.
    pub fn begin_rule(&self, service: &ServiceName) -> BeginRule<'_> {
        if !self.is_failing {
            return BeginRule::AnyVersion;
        }
        let base = self.base(service).filter(|base| self.census.has_servers(service, base));
        base.map_or(BeginRule::Nowhere, BeginRule::OnlyAt)
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
            Some(BaseProposal {
                service: service.clone(),
                version: version.clone(),
                era: records.era,
            })
        };
        let is_doubted = self.bases.get(service).is_some_and(|belief| {
            belief.doubted_since.is_some_and(|since| now.since(since) >= RENEWAL_TIME)
        });
        match records.bases.get(service) {
            Some(base)
                if base.era == records.era
                    && is_doubted
                    && self.census.has_servers(service, &base.version) =>
            {
                propose(&base.version)
            }
            Some(base) if base.era == records.era => self
                .census
                .is_gone(now, service, &base.version, span)
                .then(|| self.census.largest(service))
                .flatten()
                .and_then(propose),
            // The store came back from a copy, and some lists may be lost.
            Some(base) => {
                let (_, since) = self.era_since?;
                let belief = self.bases.get(service).map(|belief| &belief.version);
                let version = belief.unwrap_or(&base.version);
                let is_settled = known_for >= span && now.since(since) >= span;
                is_settled.then(|| propose(version)).flatten()
            }
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
    pub fn longest_life(&self) -> Duration {
        self.longest_wait.max(EXPECTED_WAIT) + SERVER_EXIT_TIME
    }

    /// Returns the base of a service, unless it may have changed since it was read.
    fn base(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let belief = self.bases.get(service).filter(|belief| belief.doubted_since.is_none());
        belief.map(|belief| &belief.version)
    }

    fn next_ticket(&mut self) -> RecordTicket {
        self.changed.0 += 1;
        self.required = self.changed;
        self.changed
    }

    fn insert(&mut self, key: StreamKey, known: KnownStream) {
        self.expirations.insert((known.expires_at, key));
        self.streams.insert(key, known);
    }
}
