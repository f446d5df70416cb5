//! Simulates gateway hosts and backend servers that name limits, in virtual time.
//!
//! Connects the [`LimitTable`]s and [`PeerTable`]s of the hosts by summaries that take a while, arrive
//! out of order and may be lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use pomelostack_lib::gateway::demand_level::DemandLevel;
use pomelostack_lib::gateway::demand_level::DemandLevels;
use pomelostack_lib::gateway::limit_belief::LimitChange;
use pomelostack_lib::gateway::limit_belief::LimitSource;
use pomelostack_lib::gateway::limit_belief::LimitStatement;
use pomelostack_lib::gateway::limit_table::LimitListing;
use pomelostack_lib::gateway::limit_table::LimitState;
use pomelostack_lib::gateway::limit_table::LimitTable;
use pomelostack_lib::gateway::limit_table::ToldLimit;
use pomelostack_lib::gateway::peer_table::PeerTable;
use pomelostack_lib::gateway::server_limit::RequestLimit;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::HostSummary;
use pomelostack_lib::protos::gateway::ServiceDemand;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time for which spending, and with it a peer's entry, is kept.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);

/// Statements in one summary.
const MAX_TOLD: usize = 48;

/// Span over which requests at a server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Requests in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;

/// Time until what a server names holds for the hosts that passed it on.
pub const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time from the process's clock to the begin of a simulation: all hosts have run for a while.
const WARM_TIME: Duration = Duration::from_secs(60);

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct LimitShape {
    /// Hosts.
    pub hosts: usize,
    /// Time between two summaries of a host.
    pub summary_period: Duration,
    /// Longest time that a summary takes.
    pub summary_delay: Duration,
    /// Of so many summaries one is lost on its way to a host.
    pub loss_one_in: u32,
    /// Longest time until a server answers.
    pub answer_time: Duration,
    /// Requests per second to each host, which choose a server at random.
    pub demand: Vec<f64>,
}

impl LimitShape {
    /// Returns the shape of a fleet of so many hosts with a demand of all hosts together.
    pub fn of_hosts(hosts: usize, demand: f64) -> Self {
        let (summary_period, summary_delay) = match hosts {
            0..=12 => (Duration::from_millis(400), Duration::from_millis(100)),
            13..=128 => (Duration::from_millis(400), Duration::from_millis(600)),
            _ => (Duration::from_millis(600), Duration::from_millis(800)),
        };
        Self {
            hosts,
            summary_period,
            summary_delay,
            loss_one_in: 20,
            answer_time: Duration::from_millis(400),
            demand: vec![demand / hosts as f64; hosts],
        }
    }
}

/// The limits that a server names in turn: each from a time on, none if it is `None`.
#[derive(Clone, Debug, Default)]
pub struct LimitSchedule(pub Vec<(Timestamp, Option<f64>)>);

impl LimitSchedule {
    /// Returns the limit at a time.
    pub fn at(&self, now: Timestamp) -> Option<f64> {
        self.0.iter().rev().find(|(from, _)| *from <= now).and_then(|(_, limit)| *limit)
    }

    /// Returns the requests that are allowed in a window; `None` if the server names no limit in a part
    /// of it. A lower limit holds once it could be noticed.
    pub fn allowed(&self, begin: Timestamp) -> Option<f64> {
        let mut requests = 0.0;
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            let at = begin + STEP * step;
            let limit = self.at(at)?.max(self.at(at - NOTICE_TIME)?);
            requests += limit;
        }
        Some(requests * STEP.as_secs_f64() * 1.5 + SLACK)
    }
}

/// What happens to the fleet besides the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitFault {
    /// A host starts again and has forgotten everything.
    Restart(usize),
    /// All hosts start again.
    PowerLoss,
    /// A host ends for good, without a notice.
    Kill(usize),
    /// A host says that it is leaving, and ends after two seconds.
    Leave(usize),
    /// A host neither sends nor receives summaries from now on.
    CutOff(usize),
    /// It does again.
    Reconnect(usize),
    /// The hosts of two halves do not hear from each other.
    Partition,
    /// They do again.
    Heal,
    /// A host stands still for so many milliseconds.
    Freeze(usize, u64),
    /// Requests and answers of a host are held for so many milliseconds on their way.
    HoldLink(usize, u64),
    /// The same for all hosts.
    HoldLinks(u64),
    /// So many hosts are added.
    Add(usize),
}

/// A request that arrived at a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerArrival {
    /// When it arrived.
    pub at: Timestamp,
    /// Host that sent it.
    pub host: usize,
    /// Whether the host knew the limit when it sent the request.
    pub is_told: bool,
}

/// What a simulation showed.
#[derive(Clone, Debug, Default)]
pub struct LimitOutcome {
    /// Arrivals at each server, in order.
    pub arrivals: Vec<Vec<ServerArrival>>,
    /// Requests that no server would take, by host.
    pub refused: Vec<u64>,
    /// Requests that were sent, by host.
    pub sent: Vec<u64>,
    /// Largest number of statements in one summary.
    pub most_told: usize,
}

impl LimitOutcome {
    /// Returns the largest excess over the allowed number of requests in a window that begins after
    /// `from`: the number of requests, what was allowed, and when.
    pub fn worst_window(
        &self,
        server: usize,
        schedule: &LimitSchedule,
        from: Timestamp,
    ) -> Option<(usize, f64, Timestamp)> {
        let told: Vec<Timestamp> = self.arrivals[server]
            .iter()
            .filter(|arrival| arrival.is_told && arrival.at >= from)
            .map(|arrival| arrival.at)
            .collect();
        let mut worst: Option<(usize, f64, Timestamp)> = None;
        let mut last = 0;
        for (first, begin) in told.iter().enumerate() {
            last = last.max(first);
            while told.get(last).is_some_and(|at| at.since(*begin) < WINDOW) {
                last += 1;
            }
            let Some(allowed) = schedule.allowed(*begin) else { continue };
            let count = last - first;
            let excess = |(count, allowed, _): (usize, f64, Timestamp)| count as f64 - allowed;
            let found = (count, allowed, *begin);
            if worst.is_none_or(|worst| excess(found) > excess(worst)) {
                worst = Some(found);
            }
        }
        worst
    }

    /// Returns how many requests arrived at a server in a span, from hosts that knew its limit.
    pub fn told_arrivals(&self, server: usize, from: Timestamp, to: Timestamp) -> usize {
        let in_span =
            |arrival: &&ServerArrival| arrival.is_told && arrival.at >= from && arrival.at < to;
        self.arrivals[server].iter().filter(in_span).count()
    }
}

struct SimHost {
    name: HostId,
    table: LimitTable,
    peers: PeerTable,
    levels: DemandLevels,
    incarnation: u64,
    sequence: u64,
    next_summary: Timestamp,
    is_up: bool,
    ends_at: Option<Timestamp>,
    frozen_until: Timestamp,
    held_until: Timestamp,
    demand: f64,
}

struct SimSummary {
    sent_at: Timestamp,
    summary: HostSummary,
    told: Vec<ToldLimit>,
}

enum SimEvent {
    Summary { from: usize, to: usize, index: usize },
    Arrival { host: usize, incarnation: u64, server: usize, sent_at: Timestamp, is_told: bool },
    Answer { host: usize, incarnation: u64, server: usize, sent_at: Timestamp, limit: Option<f64> },
    Fault(usize),
}

/// A simulated fleet.
pub struct LimitSimulator {
    shape: LimitShape,
    service: ServiceName,
    random: ChaCha8Rng,
    hosts: Vec<SimHost>,
    servers: Vec<(ServerId, LimitSchedule)>,
    summaries: Vec<SimSummary>,
    cut_off: BTreeSet<usize>,
    is_split: bool,
    faults: Vec<LimitFault>,
    events: BTreeMap<Timestamp, Vec<SimEvent>>,
    outcome: LimitOutcome,
}

impl LimitSimulator {
    /// Builds a fleet of hosts that have run for a while, in front of servers.
    pub fn new(shape: LimitShape, servers: Vec<LimitSchedule>, seed: u64) -> Self {
        let id = |index: usize| ServerId::try_from(format!("s{seed}-{index}"));
        let servers: Vec<(ServerId, LimitSchedule)> = servers
            .into_iter()
            .enumerate()
            .map(|(index, schedule)| (id(index).expect("the id is valid"), schedule))
            .collect();
        let outcome = LimitOutcome {
            arrivals: vec![Vec::new(); servers.len()],
            refused: vec![0; shape.hosts],
            sent: vec![0; shape.hosts],
            most_told: 0,
        };
        let mut simulator = Self {
            service: ServiceName::try_from("chat").expect("the name is valid"),
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            servers,
            summaries: Vec::new(),
            cut_off: BTreeSet::new(),
            is_split: false,
            faults: Vec::new(),
            events: BTreeMap::new(),
            outcome,
            shape,
        };
        for index in 0..simulator.shape.hosts {
            let demand = simulator.shape.demand[index];
            simulator.add_host(Timestamp::default(), demand);
        }
        simulator
    }

    /// Returns the time at which the simulation begins.
    pub fn begin() -> Timestamp {
        Timestamp::default() + WARM_TIME
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, at: Timestamp, fault: LimitFault) {
        self.faults.push(fault);
        let index = self.faults.len() - 1;
        self.plan(at, SimEvent::Fault(index));
    }

    /// Runs the simulation until `end`.
    pub fn run(mut self, end: Timestamp) -> LimitOutcome {
        // Summaries of the last seconds are enough for the hosts to know of each other.
        let mut now = Self::begin() - Duration::from_secs(4);
        for host in &mut self.hosts {
            host.next_summary = now + self.shape.summary_period.mul_f64(self.random.random());
        }
        self.warm_up(now);
        while now < end {
            while let Some(entry) = self.events.first_entry().filter(|entry| *entry.key() <= now) {
                for event in entry.remove() {
                    self.take_event(now, event);
                }
            }
            for host in 0..self.hosts.len() {
                if !self.hosts[host].is_up || now < self.hosts[host].frozen_until {
                    continue;
                }
                if self.hosts[host].ends_at.is_some_and(|ends_at| now >= ends_at) {
                    self.hosts[host].is_up = false;
                    continue;
                }
                if self.hosts[host].next_summary <= now {
                    self.tell(now, host);
                }
                let mut expected = self.hosts[host].demand * STEP.as_secs_f64();
                while expected > 0.0 {
                    if self.random.random_bool(expected.min(1.0)) {
                        self.request(now, host);
                    }
                    expected -= 1.0;
                }
            }
            now = now + STEP;
        }
        for arrivals in &mut self.outcome.arrivals {
            arrivals.sort_by_key(|arrival| arrival.at);
        }
        self.outcome
    }

    /// Lets each host count the requests before the simulation.
    fn warm_up(&mut self, until: Timestamp) {
        let mut now = Timestamp::default();
        while now < until {
            for host in &mut self.hosts {
                let mut expected = host.demand * STEP.as_secs_f64();
                while expected > 0.0 {
                    if self.random.random_bool(expected.min(1.0)) {
                        host.levels.on_request(now, &self.service);
                    }
                    expected -= 1.0;
                }
            }
            now = now + STEP;
        }
    }

    fn plan(&mut self, at: Timestamp, event: SimEvent) {
        // Within one step events may happen in any order.
        let step = u64::try_from(STEP.as_micros()).unwrap_or(u64::MAX);
        let at = Timestamp(at.0.div_ceil(step) * step);
        self.events.entry(at).or_default().push(event);
    }

    fn add_host(&mut self, now: Timestamp, demand: f64) {
        let index = self.hosts.len();
        let name = HostId::try_from(format!("h{index:03}")).expect("the name is valid");
        self.hosts.push(SimHost {
            table: LimitTable::default(),
            peers: new_peers(&name),
            levels: DemandLevels::new(now),
            incarnation: 1,
            sequence: 0,
            next_summary: now,
            is_up: true,
            ends_at: None,
            frozen_until: now,
            held_until: now,
            demand,
            name,
        });
    }

    fn millis_below(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.random.random())
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let half = self.hosts.len() / 2;
        !self.cut_off.contains(&from)
            && !self.cut_off.contains(&to)
            && (!self.is_split || (from < half) == (to < half))
    }

    /// Sends a request to the first server in a random order that takes it.
    fn request(&mut self, now: Timestamp, host: usize) {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.shuffle(&mut self.random);
        let sim = &mut self.hosts[host];
        sim.levels.on_request(now, &self.service);
        let open = order.into_iter().find(|server| {
            let id = &self.servers[*server].0;
            !matches!(sim.table.state(now, id, Some(1)), LimitState::ClosedUntil(_))
        });
        let Some(server) = open else {
            self.outcome.refused[host] += 1;
            return;
        };
        let id = &self.servers[server].0;
        let is_told = sim.table.state(now, id, Some(1)) != LimitState::Unlimited;
        assert!(sim.table.take(now, id, Some(1)), "an open server takes a request");
        let (incarnation, held_until) = (sim.incarnation, sim.held_until);
        self.outcome.sent[host] += 1;
        let event = SimEvent::Arrival { host, incarnation, server, sent_at: now, is_told };
        self.plan(held_until.max(now) + STEP, event);
    }

    fn take_event(&mut self, now: Timestamp, event: SimEvent) {
        match event {
            SimEvent::Summary { from, to, index } => self.hear(now, from, to, index),
            SimEvent::Arrival { host, incarnation, server, sent_at, is_told } => {
                self.outcome.arrivals[server].push(ServerArrival { at: now, host, is_told });
                let limit = self.servers[server].1.at(now);
                let answered_at = now + self.millis_below(self.shape.answer_time);
                let heard_at = self.hosts[host].held_until.max(answered_at) + STEP;
                let answer = SimEvent::Answer { host, incarnation, server, sent_at, limit };
                self.plan(heard_at, answer);
            }
            SimEvent::Answer { host, incarnation, server, sent_at, limit } => {
                let sim = &mut self.hosts[host];
                if !sim.is_up || sim.incarnation != incarnation {
                    return;
                }
                if now < sim.frozen_until || now < sim.held_until {
                    let at = sim.frozen_until.max(sim.held_until);
                    let answer = SimEvent::Answer { host, incarnation, server, sent_at, limit };
                    return self.plan(at, answer);
                }
                let statement = match limit {
                    Some(limit) => LimitStatement::Named { limit: limit_of(limit), heard_at: now },
                    None => LimitStatement::Unnamed { sent_at },
                };
                let id = &self.servers[server].0;
                sim.table.on_heard(now, id);
                let change =
                    sim.table.on_statement(now, id, Some(1), statement, LimitSource::Server);
                if change != LimitChange::Unchanged {
                    self.refresh(now, host);
                }
            }
            SimEvent::Fault(index) => self.strike(now, self.faults[index]),
        }
    }

    fn refresh(&mut self, now: Timestamp, host: usize) {
        let sim = &mut self.hosts[host];
        if sim.table.is_empty() {
            return;
        }
        sim.table.settle(now);
        let level = match sim.ends_at {
            Some(_) => DemandLevel::NONE,
            None => sim.levels.known_level(now, &self.service),
        };
        let fleet = sim.peers.limit_fleet(now, &self.service, level);
        sim.table.set_parts(now, |server, rate| LimitListing::Listed(fleet.part(server, rate)));
    }

    fn tell(&mut self, now: Timestamp, host: usize) {
        let sim = &mut self.hosts[host];
        sim.peers.expire(now, QUOTA_WINDOW);
        sim.sequence += 1;
        sim.next_summary = now + self.shape.summary_period;
        let told = sim.table.told(now, sim.sequence, MAX_TOLD);
        self.outcome.most_told = self.outcome.most_told.max(told.len());
        let level = if sim.table.is_empty() {
            sim.levels.state_none();
            None
        } else {
            Some(sim.levels.state_level(now, &self.service).number())
        };
        let demand =
            ServiceDemand { service: self.service.to_string(), level, ..ServiceDemand::default() };
        let summary = HostSummary {
            host: sim.name.to_string(),
            incarnation: sim.incarnation,
            sequence: sim.sequence,
            address: "127.0.0.1:1".to_owned(),
            period_ms: self.shape.summary_period.as_millis() as u32,
            demands: vec![demand],
            leaving: sim.ends_at.is_some(),
            ..HostSummary::default()
        };
        self.refresh(now, host);
        self.summaries.push(SimSummary { sent_at: now, summary, told });
        let index = self.summaries.len() - 1;
        for to in (0..self.hosts.len()).filter(|to| *to != host) {
            let is_lost = self.random.random_ratio(1, self.shape.loss_one_in);
            if !is_lost && self.hears(host, to) {
                let delay = self.millis_below(self.shape.summary_delay);
                self.plan(now + delay, SimEvent::Summary { from: host, to, index });
            }
        }
    }

    fn hear(&mut self, now: Timestamp, from: usize, to: usize, index: usize) {
        if !self.hosts[to].is_up || now < self.hosts[to].frozen_until || !self.hears(from, to) {
            return;
        }
        let SimSummary { sent_at, summary, told } = &self.summaries[index];
        let delay = now.since(*sent_at);
        let sim = &mut self.hosts[to];
        sim.peers.on_summary(now, summary.clone());
        let mut has_changed = false;
        for ToldLimit { server, started_at_ms, statement } in told {
            // The receiver takes the age of a statement as of its arrival.
            let statement = match *statement {
                LimitStatement::Named { limit, heard_at } => {
                    LimitStatement::Named { limit, heard_at: heard_at + delay }
                }
                LimitStatement::Unnamed { sent_at } => {
                    LimitStatement::Unnamed { sent_at: sent_at + delay }
                }
            };
            let change =
                sim.table.on_statement(now, server, *started_at_ms, statement, LimitSource::Peer);
            has_changed |= change != LimitChange::Unchanged;
        }
        if has_changed {
            self.refresh(now, to);
        }
    }

    fn strike(&mut self, now: Timestamp, fault: LimitFault) {
        match fault {
            LimitFault::Restart(host) => self.restart(now, host),
            LimitFault::PowerLoss => {
                (0..self.hosts.len()).for_each(|host| self.restart(now, host));
            }
            LimitFault::Kill(host) => self.hosts[host].is_up = false,
            LimitFault::Leave(host) => {
                self.hosts[host].ends_at = Some(now + Duration::from_secs(2));
                self.refresh(now, host);
                self.tell(now, host);
            }
            LimitFault::CutOff(host) => {
                self.cut_off.insert(host);
            }
            LimitFault::Reconnect(host) => {
                self.cut_off.remove(&host);
            }
            LimitFault::Partition => self.is_split = true,
            LimitFault::Heal => self.is_split = false,
            LimitFault::Freeze(host, millis) => {
                self.hosts[host].frozen_until = now + Duration::from_millis(millis);
            }
            LimitFault::HoldLink(host, millis) => {
                self.hosts[host].held_until = now + Duration::from_millis(millis);
            }
            LimitFault::HoldLinks(millis) => {
                for host in &mut self.hosts {
                    host.held_until = now + Duration::from_millis(millis);
                }
            }
            LimitFault::Add(count) => {
                let demand = self.hosts[0].demand;
                for _ in 0..count {
                    self.add_host(now, demand);
                    self.outcome.refused.push(0);
                    self.outcome.sent.push(0);
                }
            }
        }
    }

    fn restart(&mut self, now: Timestamp, host: usize) {
        let sim = &mut self.hosts[host];
        sim.table = LimitTable::default();
        sim.peers = new_peers(&sim.name);
        sim.levels = DemandLevels::new(now);
        sim.incarnation += 1;
        sim.sequence = 0;
        sim.next_summary = now;
    }
}

fn new_peers(name: &HostId) -> PeerTable {
    PeerTable::new(name.clone(), ZoneName::try_from("a").expect("the name is valid"))
}

fn limit_of(rate: f64) -> RequestLimit {
    RequestLimit::try_from(rate).expect("the limit is valid")
}
