//! A world of hosts, servers of several software versions and a store, in virtual time, to check that
//! each stream goes on at the version that began it.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::version_census::ListedServer;
use pomelostack_lib::gateway::version_ledger::BaseProposal;
use pomelostack_lib::gateway::version_ledger::BeginRule;
use pomelostack_lib::gateway::version_ledger::DirectoryView;
use pomelostack_lib::gateway::version_ledger::FleetStart;
use pomelostack_lib::gateway::version_ledger::RecordNeed;
use pomelostack_lib::gateway::version_ledger::RecordTicket;
use pomelostack_lib::gateway::version_ledger::StreamBegin;
use pomelostack_lib::gateway::version_ledger::StreamKey;
use pomelostack_lib::gateway::version_ledger::StreamTrace;
use pomelostack_lib::gateway::version_ledger::VersionBase;
use pomelostack_lib::gateway::version_ledger::VersionLedger;
use pomelostack_lib::gateway::version_ledger::VersionRecords;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;

/// Time for which callers wait.
const CALLER_WAIT: Duration = Duration::from_secs(30);

/// Time for which a server serves after its entry was removed.
const EXIT_TIME: Duration = Duration::from_secs(10);

/// Interval at which a host looks at the directory that it knows.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Longest time for which a host in touch does not read the directory.
const READ_TIME: Duration = Duration::from_secs(10);

/// A step of the world. Hosts, versions and streams are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldStep {
    /// The servers of a version start, or leave.
    Release(usize),
    /// A host reads the directory.
    ReadDirectory(usize),
    /// A host hears from another one which servers there are.
    HearDirectory(usize, usize),
    /// A host sends an attempt that may begin a stream to a server of a version.
    Send(usize, usize),
    /// The attempt of a stream without events fails, and its host sends it to another version.
    Resend(usize, usize),
    /// The first event of a stream is relayed, if its host allows that.
    RelayFirst(usize),
    /// A host's list is recorded.
    Record(usize),
    /// A host's list is refused, and not recorded.
    RefuseRecord(usize),
    /// A host's list gets no answer, and may be carried out later.
    LoseRecord(usize),
    /// The oldest list without an answer is carried out now.
    CarryOutLate,
    /// A host reads the records.
    ReadRecords(usize),
    /// A host begins to read the records.
    BeginRead(usize),
    /// The read that a host has begun ends.
    EndRead(usize),
    /// A host decides whether the base should change.
    ProposeBase(usize),
    /// The change of the base that a host decided on is sent, if the directory still asks for it.
    AppendBase(usize),
    /// The oldest change of the base that was sent is carried out.
    CarryOutBase,
    /// A stream that never was, so that others keep their numbers.
    NoStream,
    /// A caller takes up a stream at a host.
    TakeUp(usize, usize),
    /// A host is killed.
    Kill(usize),
    /// All hosts are killed.
    KillAll,
    /// A host starts.
    Start(usize),
    /// A host is cut off from the store, or reaches it again.
    Cut(usize),
    /// The store is copied.
    CopyStore,
    /// The store comes back from its copy.
    RestoreStore,
    /// Three seconds pass.
    PassSeconds,
    /// More time passes than any caller waits.
    PassLife,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
struct WorldStore {
    era: StoreEra,
    base: Option<VersionBase>,
    base_changes: u64,
    lists: BTreeMap<usize, WorldList>,
}

/// A host's list.
#[derive(Clone, Debug, Default)]
struct WorldList {
    epoch: u64,
    streams: BTreeMap<StreamKey, StreamBegin>,
    base_at: Option<LogPosition>,
}

/// Servers of one version.
#[derive(Clone, Copy, Debug)]
struct WorldServers {
    /// Counts their starts.
    generation: u64,
    is_listed: bool,
    serves_until: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct WorldHost {
    ledger: VersionLedger,
    /// Counts the starts of the host.
    life: u64,
    /// Generation of the listed servers of each version, as the host knows it.
    view: Vec<Option<u64>>,
    /// Generation of the last servers of each version whose entries it has read.
    seen: Vec<u64>,
    read_at: Option<Timestamp>,
    epoch: u64,
    recorded: RecordTicket,
    begun_read: Option<WorldStore>,
    proposal: Option<(u64, RecordTicket, BaseProposal)>,
    is_cut: bool,
}

#[derive(Clone, Debug)]
struct WorldStream {
    version: usize,
    host: usize,
    life: u64,
    has_events: bool,
    ends_at: Timestamp,
}

/// How take-ups ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldCounts {
    /// Streams that began.
    pub begun: u32,
    /// Streams that began at another version than the base in the store.
    pub begun_elsewhere: u32,
    /// Take-ups whose version was told.
    pub traced: u32,
    /// Take-ups that were refused.
    pub refused: u32,
    /// Changes of the base.
    pub base_changes: u32,
}

/// A stream that went on at another version than its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinedStream {
    /// Stream.
    pub stream: usize,
    /// Host that took it up.
    pub host: usize,
}

/// The world at one moment.
#[derive(Clone, Debug)]
pub struct VersionWorld {
    now: Timestamp,
    store: WorldStore,
    copy: Option<WorldStore>,
    servers: Vec<WorldServers>,
    hosts: Vec<Option<WorldHost>>,
    lives: Vec<u64>,
    streams: Vec<WorldStream>,
    late: Vec<(usize, WorldList)>,
    /// Changes of the base that were sent and not carried out.
    sent_bases: Vec<(u64, BaseProposal)>,
    counts: WorldCounts,
}

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid in tests")
}

fn version(number: usize) -> SoftwareVersion {
    SoftwareVersion::of(format!("v{number}").as_bytes())
}

fn begin(number: usize) -> StreamBegin {
    StreamBegin { service: service(), version: version(number) }
}

fn key(stream: usize) -> StreamKey {
    StreamKey(stream as u64)
}

impl VersionWorld {
    /// Builds a world in which hosts have served the first version for long, and its base is recorded.
    pub fn new(hosts: usize, versions: usize) -> Self {
        let mut world = Self::without_base(hosts, versions);
        world.apply(WorldStep::PassLife);
        world.apply(WorldStep::ProposeBase(0));
        world.apply(WorldStep::Record(0));
        world.apply(WorldStep::AppendBase(0));
        world.apply(WorldStep::CarryOutBase);
        (0..hosts).for_each(|host| world.apply(WorldStep::ReadRecords(host)));
        assert!(world.store.base.is_some());
        world
    }

    /// Builds a world in which hosts have just started, and there is no base.
    pub fn without_base(hosts: usize, versions: usize) -> Self {
        let absent = WorldServers { generation: 0, is_listed: false, serves_until: None };
        let mut servers = vec![absent; versions];
        servers[0].is_listed = true;
        let mut world = Self {
            now: Timestamp::from_millis(1_000_000),
            store: WorldStore::default(),
            copy: None,
            servers,
            hosts: vec![None; hosts],
            lives: vec![0; hosts],
            streams: Vec::new(),
            late: Vec::new(),
            sent_bases: Vec::new(),
            counts: WorldCounts::default(),
        };
        for host in 0..hosts {
            world.apply(WorldStep::Start(host));
            world.apply(WorldStep::ReadDirectory(host));
            world.apply(WorldStep::ReadRecords(host));
        }
        world
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> WorldCounts {
        self.counts
    }

    /// Returns the number of streams that were sent.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether a step changes anything now.
    pub fn allows(&self, step: WorldStep) -> bool {
        match step {
            WorldStep::Release(_)
            | WorldStep::PassSeconds
            | WorldStep::PassLife
            | WorldStep::NoStream
            | WorldStep::CopyStore => true,
            WorldStep::CarryOutBase => !self.sent_bases.is_empty(),
            WorldStep::RestoreStore => self.copy.is_some(),
            WorldStep::CarryOutLate => !self.late.is_empty(),
            WorldStep::KillAll => self.hosts.iter().any(Option::is_some),
            WorldStep::Start(host) => self.hosts[host].is_none(),
            WorldStep::Kill(host) | WorldStep::Cut(host) => self.hosts[host].is_some(),
            WorldStep::ReadDirectory(host)
            | WorldStep::ReadRecords(host)
            | WorldStep::BeginRead(host) => self.reaches_store(host),
            WorldStep::HearDirectory(host, peer) => {
                host != peer && self.hosts[host].is_some() && self.hosts[peer].is_some()
            }
            WorldStep::EndRead(host) => {
                self.hosts[host].as_ref().is_some_and(|host| host.begun_read.is_some())
            }
            WorldStep::ProposeBase(host) => self.reaches_store(host),
            WorldStep::AppendBase(host) => {
                self.reaches_store(host)
                    && self.hosts[host].as_ref().is_some_and(|host| {
                        host.proposal
                            .as_ref()
                            .is_some_and(|(_, ticket, _)| host.recorded >= *ticket)
                    })
            }
            WorldStep::Record(host) | WorldStep::LoseRecord(host) => {
                self.reaches_store(host) && self.has_pending_list(host)
            }
            WorldStep::RefuseRecord(host) => self.has_pending_list(host),
            WorldStep::Send(host, version) => self.may_send(host, version),
            WorldStep::Resend(stream, version) => self.streams.get(stream).is_some_and(|sent| {
                !sent.has_events
                    && sent.version != version
                    && self.is_alive(sent)
                    && self.may_send(sent.host, version)
            }),
            WorldStep::RelayFirst(stream) => self.may_relay(stream),
            WorldStep::TakeUp(host, stream) => {
                self.hosts[host].is_some()
                    && self
                        .streams
                        .get(stream)
                        .is_some_and(|sent| sent.has_events && self.now < sent.ends_at)
            }
        }
    }

    /// Makes a step that is allowed.
    pub fn apply(&mut self, step: WorldStep) {
        let taken = self.try_apply(step);
        assert_eq!(taken, Ok(()), "no take-up");
    }

    /// Makes a step that is allowed; an error tells that a stream went on at another version.
    pub fn try_apply(&mut self, step: WorldStep) -> Result<(), JoinedStream> {
        match step {
            WorldStep::Release(number) => self.release(number),
            WorldStep::ReadDirectory(host) => self.read_directory(host),
            WorldStep::HearDirectory(host, peer) => {
                let view = self.hosts[peer].as_ref().map(|peer| peer.view.clone());
                if let (Some(own), Some(view)) = (&mut self.hosts[host], view) {
                    for (number, told) in view.into_iter().enumerate() {
                        if told > own.view[number] {
                            own.view[number] = told;
                            own.ledger.on_joined(self.now, &service(), &version(number));
                        }
                    }
                }
                self.look(host);
            }
            WorldStep::Send(host, number) => self.send(host, number),
            WorldStep::Resend(stream, number) => {
                self.streams[stream].version = number;
                let sent = self.streams[stream].clone();
                if let Some(host) = &mut self.hosts[sent.host] {
                    host.ledger.on_sent(self.now, key(stream), &begin(number), CALLER_WAIT);
                }
            }
            WorldStep::RelayFirst(stream) => self.relay_first(stream),
            WorldStep::Record(host) => self.record(host),
            WorldStep::RefuseRecord(host) => {
                if let Some(host) = &mut self.hosts[host] {
                    host.ledger.on_record_failed();
                    host.epoch += 1;
                }
            }
            WorldStep::LoseRecord(number) => {
                if let Some((list, _)) = self.pending_list(number) {
                    self.late.push((number, list));
                }
                if let Some(host) = &mut self.hosts[number] {
                    host.ledger.on_record_failed();
                    host.epoch += 1;
                }
            }
            WorldStep::CarryOutLate => {
                let (host, list) = self.late.remove(0);
                self.carry_out(host, list);
            }
            WorldStep::ReadRecords(host) => {
                let store = self.store.clone();
                self.apply_read(host, &store);
            }
            WorldStep::BeginRead(host) => {
                let store = self.store.clone();
                if let Some(host) = &mut self.hosts[host] {
                    host.begun_read = Some(store);
                }
            }
            WorldStep::EndRead(number) => {
                let begun = self.hosts[number].as_mut().and_then(|host| host.begun_read.take());
                if let Some(store) = begun {
                    self.apply_read(number, &store);
                }
            }
            WorldStep::ProposeBase(host) => self.propose_base(host),
            WorldStep::AppendBase(host) => self.append_base(host),
            WorldStep::CarryOutBase => {
                let (at, proposal) = self.sent_bases.remove(0);
                self.carry_out_base(at, proposal);
            }
            WorldStep::NoStream => self.streams.push(WorldStream {
                version: 0,
                host: 0,
                life: 0,
                has_events: false,
                ends_at: self.now,
            }),
            WorldStep::TakeUp(host, stream) => return self.take_up(host, stream),
            WorldStep::Kill(host) => self.hosts[host] = None,
            WorldStep::KillAll => self.hosts.fill(None),
            WorldStep::Start(host) => self.start(host),
            WorldStep::Cut(host) => {
                if let Some(host) = &mut self.hosts[host] {
                    host.is_cut = !host.is_cut;
                }
            }
            WorldStep::CopyStore => self.copy = Some(self.store.clone()),
            WorldStep::RestoreStore => self.restore_store(),
            WorldStep::PassSeconds => self.pass(Duration::from_secs(3)),
            WorldStep::PassLife => self.pass(Duration::from_secs(63)),
        }
        Ok(())
    }

    fn reaches_store(&self, host: usize) -> bool {
        self.hosts[host].as_ref().is_some_and(|host| !host.is_cut)
    }

    fn serves(&self, number: usize, generation: u64) -> bool {
        let servers = &self.servers[number];
        servers.generation == generation
            && (servers.is_listed || servers.serves_until.is_some_and(|until| self.now < until))
    }

    fn may_send(&self, host: usize, number: usize) -> bool {
        let Some(host) = &self.hosts[host] else { return false };
        let may_begin = match host.ledger.begin_rule(&service()) {
            BeginRule::AnyVersion => true,
            BeginRule::OnlyAt(required) => *required == version(number),
            BeginRule::Nowhere => false,
        };
        may_begin && host.view[number].is_some_and(|generation| self.serves(number, generation))
    }

    fn is_alive(&self, sent: &WorldStream) -> bool {
        self.hosts[sent.host].as_ref().is_some_and(|host| host.life == sent.life)
            && self.now < sent.ends_at
    }

    fn may_relay(&self, stream: usize) -> bool {
        let Some(sent) = self.streams.get(stream) else { return false };
        if sent.has_events || !self.is_alive(sent) {
            return false;
        }
        let Some(host) = &self.hosts[sent.host] else { return false };
        let mut ledger = host.ledger.clone();
        match ledger.on_sent(self.now, key(stream), &begin(sent.version), CALLER_WAIT) {
            RecordNeed::Nothing | RecordNeed::Advised => true,
            RecordNeed::Recorded(ticket) => host.recorded >= ticket,
        }
    }

    fn has_pending_list(&self, host: usize) -> bool {
        self.hosts[host].as_ref().is_some_and(|host| host.ledger.pending_list().is_some())
    }

    fn pending_list(&self, host: usize) -> Option<(WorldList, RecordTicket)> {
        let host = self.hosts[host].as_ref()?;
        let update = host.ledger.pending_list()?;
        let streams = update.streams.into_iter().flat_map(|((service, version), keys)| {
            let begin = StreamBegin { service, version };
            keys.into_iter().map(move |key| (key, begin.clone()))
        });
        let list =
            WorldList { epoch: host.epoch, streams: streams.collect(), base_at: update.base_at };
        Some((list, update.ticket))
    }

    fn release(&mut self, number: usize) {
        let servers = &mut self.servers[number];
        servers.is_listed = !servers.is_listed;
        match servers.is_listed {
            true => servers.generation += 1,
            false => servers.serves_until = Some(self.now + EXIT_TIME),
        }
    }

    fn read_directory(&mut self, number: usize) {
        let now = self.now;
        if let Some(host) = &mut self.hosts[number] {
            for (number, servers) in self.servers.iter().enumerate() {
                // The host reads each entry, however soon it was removed again.
                if servers.generation > host.seen[number] {
                    host.seen[number] = servers.generation;
                    host.ledger.on_joined(now, &service(), &version(number));
                }
                host.view[number] = servers.is_listed.then_some(servers.generation);
            }
            host.read_at = Some(now);
            host.ledger.on_directory_read(now);
        }
        self.look(number);
    }

    /// Lets a host look at the directory that it knows.
    fn look(&mut self, host: usize) {
        let Some(host) = &mut self.hosts[host] else { return };
        let service = service();
        let listed: Vec<SoftwareVersion> = host
            .view
            .iter()
            .enumerate()
            .filter(|(_, generation)| generation.is_some())
            .map(|(number, _)| version(number))
            .collect();
        let listed = listed.iter().map(|version| ListedServer {
            service: &service,
            version,
            is_staying: true,
        });
        let returned = host.ledger.census_mut().observe(self.now, listed);
        host.ledger.on_returned(self.now, &returned);
        host.ledger.expire(self.now);
    }

    fn send(&mut self, number: usize, version: usize) {
        let Some(host) = &mut self.hosts[number] else { return };
        let stream = self.streams.len();
        host.ledger.on_sent(self.now, key(stream), &begin(version), CALLER_WAIT);
        let (life, ends_at) = (host.life, self.now + CALLER_WAIT);
        self.streams.push(WorldStream { version, host: number, life, has_events: false, ends_at });
    }

    fn relay_first(&mut self, stream: usize) {
        let sent = &mut self.streams[stream];
        sent.has_events = true;
        let begin = begin(sent.version);
        self.counts.begun += 1;
        let is_base = self.store.base.as_ref().is_some_and(|base| base.version == begin.version);
        self.counts.begun_elsewhere += u32::from(!is_base);
        if let Some(host) = &mut self.hosts[sent.host] {
            host.ledger.on_sent(self.now, key(stream), &begin, CALLER_WAIT);
            host.ledger.on_first_event(key(stream));
        }
    }

    fn record(&mut self, number: usize) {
        let Some((list, ticket)) = self.pending_list(number) else { return };
        let is_accepted = self.carry_out(number, list);
        if let Some(host) = &mut self.hosts[number] {
            match is_accepted {
                true => {
                    host.ledger.on_recorded(ticket);
                    host.recorded = ticket;
                }
                false => {
                    host.ledger.on_record_failed();
                    host.epoch += 1;
                }
            }
        }
    }

    /// Carries out the append of a list, unless a later writer has written.
    fn carry_out(&mut self, host: usize, list: WorldList) -> bool {
        let known = self.store.lists.entry(host).or_default();
        if list.epoch < known.epoch {
            return false;
        }
        *known = list;
        true
    }

    fn records(&self, store: &WorldStore) -> VersionRecords {
        let mut records = VersionRecords { era: store.era, ..VersionRecords::default() };
        if let Some(base) = &store.base {
            let position = LogPosition { era: store.era, ..base.position };
            records.bases.insert(service(), VersionBase { position, ..base.clone() });
        }
        let end = LogPosition { era: store.era, offset: LogOffset(store.base_changes) };
        for list in store.lists.values() {
            records.is_changing |= list.base_at.is_some_and(|at| at.era == end.era && at >= end);
            for (key, begin) in &list.streams {
                records.add(*key, begin.clone());
            }
        }
        records
    }

    fn apply_read(&mut self, number: usize, store: &WorldStore) {
        let records = self.records(store);
        let own = store.lists.get(&number).cloned().unwrap_or_default();
        let now = self.now;
        if let Some(host) = &mut self.hosts[number] {
            host.epoch = host.epoch.max(own.epoch + 1);
            host.ledger.on_read(now, &records, own.streams.into_iter().collect());
        }
    }

    fn propose_base(&mut self, number: usize) {
        self.read_directory(number);
        let store = self.store.clone();
        self.apply_read(number, &store);
        let records = self.records(&store);
        let now = self.now;
        if let Some(host) = &mut self.hosts[number] {
            let proposal = host.ledger.propose_base(now, &service(), &records, FleetStart::Later);
            host.proposal = proposal.map(|proposal| {
                let offset = LogOffset(store.base_changes);
                let at = LogPosition { era: store.era, offset };
                (store.base_changes, host.ledger.announce_base(at), proposal)
            });
        }
    }

    fn append_base(&mut self, number: usize) {
        let Some((at, _, proposal)) =
            self.hosts[number].as_mut().and_then(|host| host.proposal.take())
        else {
            return;
        };
        self.read_directory(number);
        let (records, now) = (self.records(&self.store), self.now);
        let Some(host) = &self.hosts[number] else { return };
        let confirmed = host.ledger.propose_base(now, &service(), &records, FleetStart::Later);
        if confirmed.as_ref() == Some(&proposal) {
            self.sent_bases.push((at, proposal));
        }
    }

    fn carry_out_base(&mut self, at: u64, proposal: BaseProposal) {
        if at != self.store.base_changes {
            return;
        }
        let BaseProposal { version, era, .. } = proposal;
        let offset = LogOffset(self.store.base_changes);
        let position = LogPosition { era: self.store.era, offset };
        self.store.base = Some(VersionBase { version, era, position });
        self.store.base_changes += 1;
        self.counts.base_changes += 1;
    }

    fn take_up(&mut self, number: usize, stream: usize) -> Result<(), JoinedStream> {
        let records = self.reaches_store(number).then(|| self.records(&self.store));
        if records.is_some() {
            let store = self.store.clone();
            self.apply_read(number, &store);
        }
        let sent = self.streams[stream].clone();
        let now = self.now;
        let read_at = |host: &WorldHost| host.read_at.unwrap_or_default();
        let newest = self.hosts.iter().flatten().map(read_at).max().unwrap_or_default();
        let own = self.hosts[number].as_ref().map(read_at).unwrap_or_default();
        let view = match newest > own {
            true => DirectoryView::Outdated,
            false => DirectoryView::Shared,
        };
        let Some(host) = &mut self.hosts[number] else { return Ok(()) };
        let (key, service) = (key(stream), service());
        let recalled = host.ledger.recall(key, &service);
        let trace = recalled
            .unwrap_or_else(|| host.ledger.trace(now, Some(key), &service, records.as_ref(), view));
        match trace {
            StreamTrace::Version(traced, _) if traced == version(sent.version) => {
                self.counts.traced += 1;
                let wait = sent.ends_at.since(now);
                host.ledger.on_traced(now, key, begin(sent.version), wait);
                Ok(())
            }
            // Its servers may be gone, or not known to the host.
            StreamTrace::Version(traced, _)
                if !(0..self.servers.len()).any(|number| {
                    version(number) == traced
                        && host.view[number].is_some_and(|generation| {
                            let servers = &self.servers[number];
                            servers.generation == generation
                                && (servers.is_listed
                                    || servers.serves_until.is_some_and(|until| now < until))
                        })
                }) =>
            {
                self.counts.refused += 1;
                Ok(())
            }
            StreamTrace::Version(..) => Err(JoinedStream { stream, host: number }),
            StreamTrace::Untraceable | StreamTrace::Unavailable => {
                self.counts.refused += 1;
                Ok(())
            }
        }
    }

    fn start(&mut self, number: usize) {
        self.lives[number] += 1;
        self.hosts[number] = Some(WorldHost {
            ledger: VersionLedger::default(),
            life: self.lives[number],
            view: vec![None; self.servers.len()],
            seen: vec![0; self.servers.len()],
            read_at: None,
            // Wall clocks rise from one life of a host to the next.
            epoch: self.now.as_millis(),
            recorded: RecordTicket::default(),
            begun_read: None,
            proposal: None,
            is_cut: false,
        });
    }

    fn restore_store(&mut self) {
        let era = StoreEra(self.store.era.0 + 1);
        if let Some(copy) = &self.copy {
            self.store = WorldStore { era, ..copy.clone() };
        }
        let now = self.now;
        self.hosts.iter_mut().flatten().filter(|host| !host.is_cut).for_each(|host| {
            host.ledger.on_era(now, era);
        });
    }

    /// Lets time pass. Hosts in touch read the directory now and then.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + LOOK_PERIOD.min(end.since(self.now));
            for host in 0..self.hosts.len() {
                let read_at = self.hosts[host].as_ref().and_then(|host| host.read_at);
                let is_due = read_at.is_none_or(|read_at| self.now.since(read_at) >= READ_TIME);
                match is_due && self.reaches_store(host) {
                    true => self.read_directory(host),
                    false => self.look(host),
                }
            }
        }
    }
}
