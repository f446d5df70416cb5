//! Simulates gateway hosts and backend servers in virtual time, with requests that share parts of
//! their prompts and crash servers.
//!
//! Connects the [`CrashTracker`]s of the hosts by summaries that take a while and may be lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use pomelostack_lib::gateway::crash_tracker::CrashTracker;
use pomelostack_lib::gateway::crash_tracker::LostAttempt;
use pomelostack_lib::gateway::peer_table::LARGE_FLEET_HOSTS;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::part_suspects::FLEET_PACE;
use pomelostack_lib::part_suspects::FleetView;
use pomelostack_lib::part_suspects::LARGE_FLEET_PACE;
use pomelostack_lib::part_suspects::LossSource;
use pomelostack_lib::part_suspects::LostRequest;
use pomelostack_lib::timestamp::Timestamp;
use pomelostack_lib::verdict_table::PartVerdict;
use pomelostack_lib::work_parts::WorkPart;
use pomelostack_lib::work_parts::WorkParts;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 3;

/// Time from the begin of a crashing answer to the crash.
const CRASH_DELAYS_MS: std::ops::Range<u64> = 1..200;

/// Time until a host has noticed a crash.
const NOTICE_DELAYS_MS: std::ops::Range<u64> = 1..20;

/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Wall clock at the start of the simulation, in milliseconds since 1970.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// One in so many summaries is lost on the way to a host.
const LOSS_RATIO: u32 = 50;

/// Size and pace of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Gateway hosts.
    pub hosts: usize,
    /// Servers, in as many zones as there are letters.
    pub servers: usize,
    /// Zones of the servers.
    pub zones: usize,
    /// Time between two summaries of a host.
    pub summary_period: Duration,
    /// Longest time that a summary takes.
    pub summary_delay: Duration,
}

impl FleetShape {
    /// Returns the shape of a fleet of so many hosts.
    pub fn of_hosts(hosts: usize) -> Self {
        let (summary_period, summary_delay) = match hosts {
            0..=12 => (Duration::from_millis(400), Duration::from_millis(50)),
            13..=128 => (Duration::from_millis(400), Duration::from_millis(150)),
            _ => (Duration::from_millis(600), Duration::from_millis(500)),
        };
        Self { hosts, servers: (hosts * 2).max(12), zones: 4, summary_period, summary_delay }
    }
}

/// A request of the simulation.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    /// When it is sent.
    pub at: Timestamp,
    /// Host that it is sent to.
    pub host: usize,
    /// The whole request.
    pub whole: WorkPart,
    /// Parts of its work.
    pub work: WorkParts,
    /// Time until its answer begins.
    pub begins_after: Duration,
    /// How long the answer takes, unless it crashes its server.
    pub length: Duration,
    /// Whether it crashes each server that runs it.
    pub crashes: bool,
}

/// What happens to the fleet besides the requests.
#[derive(Clone, Copy, Debug)]
pub enum FleetFault {
    /// All servers of a zone are gone at one moment, and come back.
    ZoneLost(usize),
    /// A server's process ends without a notice and starts again.
    ServerRestart(usize),
    /// A host starts again and has forgotten everything.
    HostRestart(usize),
    /// All hosts start again; what was recorded in the store stays.
    PowerLoss,
    /// A host neither sends nor receives summaries from now on.
    CutOff(usize),
    /// It does again.
    Reconnect(usize),
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct FleetOutcome {
    /// Times of the crashes by requests.
    pub crashes: Vec<Timestamp>,
    /// Times at which crashing requests reached servers, and their hosts.
    pub crashing_runs: Vec<(Timestamp, usize)>,
    /// Crashing requests that were refused.
    pub crashing_refused: usize,
    /// Times at which sound requests were refused.
    pub sound_refused: Vec<Timestamp>,
    /// Sound requests that were answered.
    pub sound_answered: usize,
    /// Changes of verdicts by the hosts' own judgement, with their times and hosts.
    pub changes: Vec<(Timestamp, usize, PartVerdict)>,
    /// Verdicts in force at any host at the end.
    pub verdicts: BTreeSet<WorkParts>,
}

impl FleetOutcome {
    /// Returns how many crashing requests reached servers later than `contact` after the fifth crash.
    pub fn late_runs(&self, contact: Duration) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.crashing_runs.iter().filter(|(at, _)| *at > *fifth + contact).count()
    }
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: usize,
    attempt: u32,
    began_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct SimServer {
    starts: u32,
    is_up: bool,
    running: Vec<RunningRequest>,
}

#[derive(Clone, Debug)]
struct SimNews {
    sent_at: Timestamp,
    crashes: Vec<(ServerId, Timestamp, Vec<LostRequest>)>,
    cleared: Vec<(WorkPart, Timestamp)>,
    verdicts: Vec<PartVerdict>,
}

impl SimNews {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.verdicts.is_empty()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimStep {
    Send { request: usize, attempt: u32 },
    Finish { server: usize, start: u32, request: usize },
    Crash { server: usize, start: u32 },
    Notice { host: usize, server: usize, start: u32 },
    Return { server: usize },
    Summary { host: usize, sequence: u64 },
    Deliver { host: usize, news: usize },
    Fault(usize),
}

/// A simulated fleet.
pub struct PartFleet {
    shape: FleetShape,
    random: ChaCha8Rng,
    hosts: Vec<CrashTracker>,
    cut_off: BTreeSet<usize>,
    servers: Vec<SimServer>,
    requests: Vec<FleetRequest>,
    faults: Vec<FleetFault>,
    news: Vec<SimNews>,
    recorded: BTreeMap<WorkParts, PartVerdict>,
    steps: BinaryHeap<Reverse<(Timestamp, u64, SimStep)>>,
    next_step: u64,
    outcome: FleetOutcome,
}

impl PartFleet {
    /// Builds a fleet whose servers are all up.
    pub fn new(shape: FleetShape, seed: u64) -> Self {
        let server = SimServer { is_up: true, ..SimServer::default() };
        Self {
            shape,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: vec![new_host(shape); shape.hosts],
            cut_off: BTreeSet::new(),
            servers: vec![server; shape.servers],
            requests: Vec::new(),
            faults: Vec::new(),
            news: Vec::new(),
            recorded: BTreeMap::new(),
            steps: BinaryHeap::new(),
            next_step: 0,
            outcome: FleetOutcome::default(),
        }
    }

    /// Adds a request.
    pub fn send(&mut self, request: FleetRequest) {
        let at = request.at;
        self.requests.push(request);
        self.plan(at, SimStep::Send { request: self.requests.len() - 1, attempt: 1 });
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, at: Timestamp, fault: FleetFault) {
        self.faults.push(fault);
        self.plan(at, SimStep::Fault(self.faults.len() - 1));
    }

    /// Runs the simulation until `end`.
    pub fn run(mut self, end: Timestamp) -> FleetOutcome {
        for host in 0..self.shape.hosts {
            let phase = self.shape.summary_period.mul_f64(self.random.random());
            self.plan(Timestamp::default() + phase, SimStep::Summary { host, sequence: 0 });
        }
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            if now >= end {
                break;
            }
            self.take_step(now, step);
        }
        let verdicts = self.hosts.iter().flat_map(|host| host.suspects().verdicts().in_force());
        self.outcome.verdicts = verdicts.map(|record| record.verdict.parts.clone()).collect();
        self.outcome
    }

    fn plan(&mut self, at: Timestamp, step: SimStep) {
        self.next_step += 1;
        self.steps.push(Reverse((at, self.next_step, step)));
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn take_step(&mut self, now: Timestamp, step: SimStep) {
        match step {
            SimStep::Send { request, attempt } => self.send_attempt(now, request, attempt),
            SimStep::Finish { server, start, request } => self.finish(now, server, start, request),
            SimStep::Crash { server, start } => {
                if self.servers[server].is_up && self.servers[server].starts == start {
                    self.outcome.crashes.push(now);
                    self.end_server(now, server);
                }
            }
            SimStep::Notice { host, server, start } => {
                self.hosts[host].on_server_gone(now, &server_id(server, start));
            }
            SimStep::Return { server } => self.servers[server].is_up = true,
            SimStep::Summary { host, sequence } => self.tell(now, host, sequence),
            SimStep::Deliver { host, news } => self.deliver(now, host, news),
            SimStep::Fault(fault) => self.strike(now, self.faults[fault]),
        }
    }

    fn send_attempt(&mut self, now: Timestamp, request: usize, attempt: u32) {
        let FleetRequest { host, work, begins_after, length, crashes, .. } =
            self.requests[request].clone();
        if self.hosts[host].refuse(now, &work).is_some() {
            if attempt == 1 && !crashes {
                self.outcome.sound_refused.push(now);
            }
            self.outcome.crashing_refused += usize::from(crashes);
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|server| self.servers[*server].is_up).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.random.random_range(0..up.len())];
        let start = self.servers[server].starts;
        let running = RunningRequest { request, attempt, began_at: now };
        self.servers[server].running.push(running);
        if crashes {
            self.outcome.crashing_runs.push((now, host));
            let delay = self.millis(CRASH_DELAYS_MS);
            self.plan(now + begins_after + delay, SimStep::Crash { server, start });
        } else {
            self.plan(now + begins_after + length, SimStep::Finish { server, start, request });
        }
    }

    fn finish(&mut self, now: Timestamp, server: usize, start: u32, request: usize) {
        let running = &mut self.servers[server].running;
        let position = running.iter().position(|running| running.request == request);
        let Some(position) = position.filter(|_| self.servers[server].starts == start) else {
            return;
        };
        self.servers[server].running.remove(position);
        let FleetRequest { host, work, .. } = &self.requests[request];
        self.hosts[*host].on_answered(now, work);
        self.outcome.sound_answered += 1;
    }

    /// Ends a server's process; hosts notice that its connections are lost, and that it is gone.
    fn end_server(&mut self, now: Timestamp, server: usize) {
        let start = self.servers[server].starts;
        let id = server_id(server, start);
        let lost = std::mem::take(&mut self.servers[server].running);
        self.servers[server].is_up = false;
        self.servers[server].starts += 1;
        self.plan(now + DOWN_TIME, SimStep::Return { server });
        let mut notices: BTreeMap<usize, Timestamp> = BTreeMap::new();
        for RunningRequest { request, attempt, began_at } in lost {
            let FleetRequest { host, work, whole, begins_after, .. } =
                self.requests[request].clone();
            let delay = self.millis(NOTICE_DELAYS_MS);
            let notice = *notices.entry(host).or_insert(now + delay);
            let answer_begun_at = Some(began_at + begins_after).filter(|at| *at <= now);
            let attempt_lost = LostAttempt { whole, work: &work, began_at, answer_begun_at };
            self.hosts[host].on_connection_lost(notice, &id, &attempt_lost);
            if attempt < MAX_ATTEMPTS {
                let again = SimStep::Send { request, attempt: attempt + 1 };
                self.plan(notice + Duration::from_millis(1), again);
            }
        }
        for (host, at) in notices {
            self.plan(at, SimStep::Notice { host, server, start });
        }
    }

    fn tell(&mut self, now: Timestamp, host: usize, sequence: u64) {
        let wall_ms = START_WALL_MS + now.as_millis();
        let view = if self.cut_off.contains(&host) {
            FleetView::Partial
        } else if self.cut_off.is_empty() {
            FleetView::Whole
        } else {
            FleetView::Most
        };
        for verdict in self.hosts[host].judge(now, wall_ms, view) {
            self.outcome.changes.push((now, host, verdict.clone()));
            self.recorded.insert(verdict.parts.clone(), verdict);
        }
        let period = self.shape.summary_period;
        self.plan(now + period, SimStep::Summary { host, sequence: sequence + 1 });
        let tracker = &self.hosts[host];
        let crashes = tracker.recent_crashes();
        let news = SimNews {
            sent_at: now,
            crashes: crashes
                .map(|crash| (crash.server.clone(), crash.at, crash.lost.clone()))
                .collect(),
            cleared: tracker.recent_cleared().collect(),
            verdicts: tracker.told_verdicts(now, sequence).into_iter().cloned().collect(),
        };
        if news.is_empty() || self.cut_off.contains(&host) {
            return;
        }
        self.news.push(news);
        let news = self.news.len() - 1;
        for other in (0..self.shape.hosts).filter(|other| *other != host) {
            if !self.random.random_ratio(1, LOSS_RATIO) {
                let delay = self.shape.summary_delay.mul_f64(self.random.random());
                self.plan(now + delay, SimStep::Deliver { host: other, news });
            }
        }
    }

    /// Delivers a summary; its receiver takes the time of arrival for that of the sending.
    fn deliver(&mut self, now: Timestamp, host: usize, news: usize) {
        if self.cut_off.contains(&host) {
            return;
        }
        let SimNews { sent_at, crashes, cleared, verdicts } = &self.news[news];
        let suspects = self.hosts[host].suspects_mut();
        let delay = now.since(*sent_at);
        for (server, at, lost) in crashes {
            let lost = lost.iter().map(|lost| LostRequest {
                parts: lost.parts.clone(),
                began_at: lost.began_at + delay,
                source: LossSource::Peer,
                progress: lost.progress,
            });
            suspects.on_crash(now, *at + delay, server, lost);
        }
        for (part, at) in cleared {
            suspects.clear(*at + delay, *part);
        }
        for verdict in verdicts {
            suspects.merge_verdict(now, verdict.clone());
        }
    }

    fn strike(&mut self, now: Timestamp, fault: FleetFault) {
        match fault {
            FleetFault::ZoneLost(zone) => {
                let lost =
                    (0..self.servers.len()).filter(|server| server % self.shape.zones == zone);
                for server in lost.collect::<Vec<_>>() {
                    if self.servers[server].is_up {
                        self.end_server(now, server);
                    }
                }
            }
            FleetFault::ServerRestart(server) => {
                if self.servers[server].is_up {
                    self.end_server(now, server);
                }
            }
            FleetFault::HostRestart(host) => self.restart_host(now, host),
            FleetFault::PowerLoss => {
                (0..self.shape.hosts).for_each(|host| self.restart_host(now, host));
            }
            FleetFault::CutOff(host) => {
                self.cut_off.insert(host);
            }
            FleetFault::Reconnect(host) => {
                self.cut_off.remove(&host);
            }
        }
    }

    fn restart_host(&mut self, now: Timestamp, host: usize) {
        self.hosts[host] = new_host(self.shape);
        for server in &mut self.servers {
            server.running.retain(|running| self.requests[running.request].host != host);
        }
        for verdict in self.recorded.values() {
            self.hosts[host].suspects_mut().merge_verdict(now, verdict.clone());
        }
    }
}

fn new_host(shape: FleetShape) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    let is_large = shape.hosts > LARGE_FLEET_HOSTS as usize;
    tracker.suspects_mut().set_pace(if is_large { LARGE_FLEET_PACE } else { FLEET_PACE });
    tracker
}

fn server_id(server: usize, start: u32) -> ServerId {
    ServerId::try_from(format!("s{server}-{start}")).expect("the id is valid")
}
