//! Seeded simulation of many membership tables that exchange messages in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::RegionName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::member_config::MembershipConfig;
use pomelostack_lib::member_event::MemberAction;
use pomelostack_lib::member_event::MemberEvent;
use pomelostack_lib::member_event::PeerConnection;
use pomelostack_lib::member_record::MemberRecord;
use pomelostack_lib::member_record::MemberStatus;
use pomelostack_lib::member_snapshot::MemberState;
use pomelostack_lib::membership::MembershipTable;
use pomelostack_lib::peer_message::PeerMessage;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const ZONES_PER_REGION: usize = 4;
const LATENCY_IN_REGION_US: u64 = 1_500;
const LATENCY_CROSS_REGION_US: u64 = 60_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Encoded messages and bytes of one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberTraffic {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes sent and received.
    pub bytes: u64,
}

enum Delivery {
    Tick(usize, u64),
    Event(usize, u64, Box<MemberEvent>),
    Request { from: usize, to: usize, connection: PeerConnection, bytes: Vec<u8> },
    Reply { to: usize, connection: PeerConnection, bytes: Vec<u8> },
}

struct SimHost {
    id: HostId,
    table: MembershipTable,
    incarnation: u64,
    running: bool,
    paused_until: Timestamp,
    partition: u32,
    open: BTreeSet<PeerConnection>,
    silent: BTreeSet<PeerConnection>,
    traffic: MemberTraffic,
}

/// Membership tables that exchange messages through one event queue.
pub struct MembershipSim {
    /// Share of messages that are lost, in percent, in each direction.
    pub loss_percent: u32,
    /// Current virtual time.
    pub now: Timestamp,
    /// Wall-clock time spent in the tables and codecs of all members.
    pub processing_time: Duration,
    regions: usize,
    seed: u64,
    members: usize,
    rng: ChaCha8Rng,
    hosts: Vec<SimHost>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
}

impl MembershipSim {
    /// Starts `members` hosts, assigned to the regions in turn.
    pub fn new(members: usize, regions: usize, seed: u64) -> Self {
        let mut sim = Self {
            loss_percent: 0,
            now: Timestamp::from_millis(1_000),
            processing_time: Duration::ZERO,
            regions,
            seed,
            members,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for index in 0..members {
            sim.hosts.push(SimHost {
                id: Self::host_id(index),
                table: sim.build_table(index, 1),
                incarnation: 1,
                running: true,
                paused_until: Timestamp::default(),
                partition: 0,
                open: BTreeSet::new(),
                silent: BTreeSet::new(),
                traffic: MemberTraffic::default(),
            });
            sim.start_ticks(index);
        }
        sim
    }

    /// Returns the id of a host.
    pub fn host_id(index: usize) -> HostId {
        HostId::try_from(format!("entry-{index:03}")).expect("valid")
    }

    fn build_table(&self, index: usize, incarnation: u64) -> MembershipTable {
        let local = MemberRecord {
            host: Self::host_id(index),
            incarnation: Incarnation(incarnation),
            status: MemberStatus::Live,
            address: address_of(index),
            region: RegionName::try_from(format!("region-{}", index % self.regions))
                .expect("valid"),
            zone: ZoneName::try_from(format!("zone-{}", index / self.regions % ZONES_PER_REGION))
                .expect("valid"),
        };
        let seeds = (0..self.members.min(2 * self.regions)).map(address_of).collect();
        let seed = self.seed ^ (index as u64) << 32 ^ incarnation;
        MembershipTable::new(self.now, MembershipConfig::default(), local, seeds, seed)
    }

    fn start_ticks(&mut self, index: usize) {
        let offset = Duration::from_micros(self.rng.random_range(0..100_000));
        self.push(self.now + offset, Delivery::Tick(index, self.hosts[index].incarnation));
    }

    fn push(&mut self, at: Timestamp, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    /// Kills the process of a host. Messages to it fail.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].running = false;
    }

    /// Starts a new process on a killed host.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        let table = self.build_table(index, incarnation);
        let host = &mut self.hosts[index];
        (host.table, host.incarnation, host.running) = (table, incarnation, true);
        host.open.clear();
        self.start_ticks(index);
    }

    /// Pauses the process of a host. Messages that arrive in that time are delivered afterwards.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.hosts[index].paused_until = self.now + duration;
    }

    /// Moves a host into a network partition. Messages only pass within a partition.
    pub fn set_partition(&mut self, index: usize, partition: u32) {
        self.hosts[index].partition = partition;
    }

    /// Drops all messages on the open connections from one host to another. New connections work.
    pub fn silence_connections(&mut self, from: usize, to: usize) {
        let host = &mut self.hosts[from];
        host.silent.extend(host.open.iter().filter(|open| open.address == address_of(to)));
    }

    /// Sends an event to one host.
    pub fn send_event(&mut self, index: usize, event: MemberEvent) {
        self.push(self.now, Delivery::Event(index, self.hosts[index].incarnation, Box::new(event)));
    }

    /// Returns whether a host is running and not paused.
    pub fn is_awake(&self, index: usize) -> bool {
        self.hosts[index].running && self.hosts[index].paused_until <= self.now
    }

    /// Returns whether two hosts are in the same partition.
    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        self.hosts[from].partition == self.hosts[to].partition
    }

    /// Returns the table of a host.
    pub fn table(&self, index: usize) -> &MembershipTable {
        &self.hosts[index].table
    }

    /// Returns the state of a host as another sees it, or `None` if it is dead or not known there.
    pub fn state_of(&self, observer: usize, index: usize) -> Option<MemberState> {
        let table = &self.hosts[observer].table;
        let key = table.roster().key_of(&self.hosts[index].id)?;
        table.roster().get(key).and_then(|entry| table.state_of(self.now, entry))
    }

    /// Returns how many other awake hosts may send a host new work.
    pub fn count_routing_to(&self, index: usize) -> usize {
        let sees = |observer: &usize| {
            let state = self.state_of(*observer, index);
            matches!(state, Some(MemberState::Live | MemberState::Suspected))
        };
        let others = (0..self.hosts.len()).filter(|&other| other != index && self.is_awake(other));
        others.filter(sees).count()
    }

    /// Returns the number of connections that a host holds open.
    pub fn open_connections(&self, index: usize) -> usize {
        self.hosts[index].open.len()
    }

    /// Returns the traffic of a host since the previous call.
    pub fn take_traffic(&mut self, index: usize) -> MemberTraffic {
        std::mem::take(&mut self.hosts[index].traffic)
    }

    /// Runs the simulation for some virtual time.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    fn deliver(&mut self, delivery: Delivery) {
        let to = match &delivery {
            Delivery::Tick(to, incarnation) | Delivery::Event(to, incarnation, _) => {
                if self.hosts[*to].incarnation != *incarnation {
                    return;
                }
                *to
            }
            Delivery::Request { to, .. } | Delivery::Reply { to, .. } => *to,
        };
        if !self.hosts[to].running {
            return self.report_failure(delivery);
        }
        if self.hosts[to].paused_until > self.now {
            return self.push(self.hosts[to].paused_until, delivery);
        }
        match delivery {
            Delivery::Tick(to, incarnation) => {
                self.push(
                    self.now + MembershipConfig::default().tick,
                    Delivery::Tick(to, incarnation),
                );
                self.handle_event(to, MemberEvent::Tick, None);
            }
            Delivery::Event(to, _, event) => self.handle_event(to, *event, None),
            Delivery::Request { from, to, connection, bytes } => {
                let message = self.decode(to, &bytes);
                self.handle_event(to, MemberEvent::Request(message), Some((from, connection)));
            }
            Delivery::Reply { to, connection, bytes } => {
                let message = self.decode(to, &bytes);
                self.handle_event(to, MemberEvent::Reply(connection, message), None);
            }
        }
    }

    fn decode(&mut self, to: usize, bytes: &[u8]) -> PeerMessage {
        self.count(to, bytes.len());
        let begin = Instant::now();
        let message = PeerMessage::decode(bytes).expect("valid");
        self.processing_time += begin.elapsed();
        message
    }

    fn count(&mut self, index: usize, bytes: usize) {
        let traffic = &mut self.hosts[index].traffic;
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    fn handle_event(
        &mut self,
        index: usize,
        event: MemberEvent,
        requester: Option<(usize, PeerConnection)>,
    ) {
        let begin = Instant::now();
        let actions = self.hosts[index].table.on_event(self.now, event);
        self.processing_time += begin.elapsed();
        for action in actions {
            match (action, requester) {
                (MemberAction::Send(connection, message), _) => {
                    self.hosts[index].open.insert(connection);
                    let to = index_of(connection.address);
                    let bytes = self.encode(index, &message);
                    let request = Delivery::Request { from: index, to, connection, bytes };
                    self.transmit(index, to, connection, request);
                }
                (MemberAction::Reply(message), Some((to, connection))) => {
                    let bytes = self.encode(index, &message);
                    self.transmit(index, to, connection, Delivery::Reply { to, connection, bytes });
                }
                (MemberAction::RetireConnection(connection), _) => {
                    self.hosts[index].open.remove(&connection);
                }
                _ => {}
            }
        }
    }

    fn encode(&mut self, from: usize, message: &PeerMessage) -> Vec<u8> {
        let begin = Instant::now();
        let bytes = message.encode();
        self.processing_time += begin.elapsed();
        self.count(from, bytes.len());
        bytes
    }

    fn transmit(&mut self, from: usize, to: usize, over: PeerConnection, delivery: Delivery) {
        let opener = if over.address == address_of(to) { from } else { to };
        let is_lost = self.rng.random_range(0..100) < self.loss_percent
            || !self.can_reach(from, to)
            || self.hosts[opener].silent.contains(&over);
        if is_lost {
            return self.report_failure(delivery);
        }
        let is_same_region = from % self.regions == to % self.regions;
        let base = if is_same_region { LATENCY_IN_REGION_US } else { LATENCY_CROSS_REGION_US };
        let latency = base + self.rng.random_range(0..base);
        self.push(self.now + Duration::from_micros(latency), delivery);
    }

    /// Reports a lost request or reply to the host that sent the request, after the call timeout.
    fn report_failure(&mut self, delivery: Delivery) {
        let (waiting, connection) = match delivery {
            Delivery::Request { from, connection, .. } => (from, connection),
            Delivery::Reply { to, connection, .. } => (to, connection),
            Delivery::Tick(..) | Delivery::Event(..) => return,
        };
        let incarnation = self.hosts[waiting].incarnation;
        let failure =
            Delivery::Event(waiting, incarnation, Box::new(MemberEvent::SendFailed(connection)));
        self.push(self.now + CALL_TIMEOUT, failure);
    }
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}
