//! Simulates hosts that send calls to a few application servers, in virtual time.
//!
//! Each host knows its own calls and what the others reported in summaries, which are sent from time to
//! time, take a while and may be lost. A server runs as many calls as it has slots, in order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use pomelostack_lib::gateway::zones::app_choice::AppChoice;
use pomelostack_lib::gateway::zones::app_choice::AppServer;
use pomelostack_lib::gateway::zones::app_choice::AppView;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

/// Time between two summaries of a host.
const SUMMARY_PERIOD: Duration = Duration::from_millis(333);

/// Longest time that a summary takes, beyond the least.
const SUMMARY_DELAY_MS: f64 = 60.0;

/// Share of the summaries that are lost.
const SUMMARY_LOSS: f64 = 0.03;

/// Cost of leaving the zone, in milliseconds.
const LEAVING_MS: f64 = 4.0;

/// Round trip to another zone.
const ZONE_ROUND_TRIP_MS: f64 = 2.8;

/// Time before results are counted.
const WARM_TIME: Duration = Duration::from_secs(10);

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppRule {
    /// By the decision under test.
    ShortestWait,
    /// The naive rule: the server with the fewest reported calls, in the own zone while slots are free.
    /// Reports are counted with each summary that the host sends.
    FewestReported,
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct AppShape {
    /// Rule of all hosts.
    pub rule: AppRule,
    /// Hosts, spread over the zones in turn.
    pub hosts: usize,
    /// Zones.
    pub zones: usize,
    /// How many times as long as the work each server takes; servers are spread over the zones in turn.
    pub speeds: Vec<f64>,
    /// Slots of a server.
    pub slots: u32,
    /// Slots that a server claims to have, if it is not the number that it has.
    pub claimed_slots: Option<(usize, u32)>,
    /// Calls per second of all hosts.
    pub rate: f64,
    /// Mean work of a call in milliseconds; it varies by half of it in both directions.
    pub work_ms: f64,
    /// Time within which a call should be answered.
    pub goal: Duration,
    /// Share of the time that a server takes 2.5 times as long, for periods of about 600 ms.
    pub slow_share: f64,
    /// A server that is ten times as slow for a time, and when.
    pub slow_server: Option<(usize, Timestamp, Timestamp)>,
    /// From when until when the two halves of the hosts hear nothing of each other.
    pub cut: Option<(Timestamp, Timestamp)>,
    /// When the simulation ends.
    pub end: Timestamp,
}

impl AppShape {
    /// Six servers of six slots that are two fifths full at a load of 1.0, for hosts in four zones.
    pub fn six_servers(rule: AppRule, hosts: usize, load: f64) -> Self {
        Self {
            rule,
            hosts,
            zones: 4,
            speeds: vec![1.0; 6],
            slots: 6,
            claimed_slots: None,
            rate: 240.0 * load,
            work_ms: 60.0,
            goal: Duration::from_millis(290),
            slow_share: 0.15,
            slow_server: None,
            cut: None,
            end: Timestamp::from_millis(130_000),
        }
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct AppResult {
    /// Calls.
    pub calls: u32,
    /// Calls answered after the goal.
    pub late: u32,
    /// Calls that left their zone.
    pub left_zone: u32,
    /// Calls sent to each server.
    pub sent: Vec<u32>,
    /// Calls sent to the slow server, by second of its slowness and of the seconds after.
    pub sent_to_slow: Vec<u32>,
    /// Most calls in flight on one server.
    pub most_in_flight: usize,
}

impl AppResult {
    /// Returns the share of late calls.
    pub fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.calls.max(1))
    }

    /// Returns the share of calls that left their zone.
    pub fn left_share(&self) -> f64 {
        f64::from(self.left_zone) / f64::from(self.calls.max(1))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Call,
    Done { server: usize, call: usize },
    Tell { host: usize },
    Told { host: usize, running: Vec<u32>, sent_at: Timestamp },
    TurnSlow { server: usize },
    TurnFast { server: usize },
}

#[derive(Clone, Debug)]
struct SimCall {
    at: Timestamp,
    host: usize,
    running: u32,
    work_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct SimServer {
    is_slow: bool,
    running: u32,
    queue: VecDeque<usize>,
}

#[derive(Clone, Debug, Default)]
struct SimHost {
    own: Vec<u32>,
    choice: AppChoice,
    /// Reported loads as of the host's last summary.
    counted: Vec<u32>,
}

/// A simulation.
pub struct AppFleet {
    shape: AppShape,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Timestamp, FleetEvent)>>,
    keys: Vec<ServerKey>,
    servers: Vec<SimServer>,
    hosts: Vec<SimHost>,
    /// What each half of the hosts last heard from each host, and when it was written.
    heard: [Vec<(Vec<u32>, Timestamp)>; 2],
    calls: Vec<SimCall>,
    result: AppResult,
}

impl AppFleet {
    /// Runs a simulation.
    pub fn run(shape: AppShape, seed: u64) -> AppResult {
        let mut slots: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let servers = shape.speeds.len();
        let keys = (0..servers).map(|_| slots.insert(())).collect();
        let host =
            SimHost { own: vec![0; servers], counted: vec![0; servers], ..SimHost::default() };
        let nothing = vec![(vec![0; servers], Timestamp::default()); shape.hosts];
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            keys,
            servers: vec![SimServer::default(); servers],
            hosts: vec![host; shape.hosts],
            heard: [nothing.clone(), nothing],
            calls: Vec::new(),
            result: AppResult { sent: vec![0; servers], ..AppResult::default() },
            shape,
        };
        fleet.start();
        while let Some(Reverse((now, event))) = fleet.events.pop() {
            if now >= fleet.shape.end {
                break;
            }
            fleet.on_event(now, event);
        }
        fleet.result
    }

    fn start(&mut self) {
        let now = Timestamp::default();
        self.after(now, 0.0, FleetEvent::Call);
        for host in 0..self.shape.hosts {
            let phase = self.random.random_range(0.0..1.0) * SUMMARY_PERIOD.as_secs_f64();
            self.after(now, phase * 1_000.0, FleetEvent::Tell { host });
        }
        for server in 0..self.servers.len() {
            self.plan_slowness(now, server);
        }
    }

    fn after(&mut self, now: Timestamp, ms: f64, event: FleetEvent) {
        self.events.push(Reverse((now + Duration::from_secs_f64(ms / 1_000.0), event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random_range(0.0..1.0_f64)).ln()
    }

    fn plan_slowness(&mut self, now: Timestamp, server: usize) {
        let share = self.shape.slow_share;
        if share > 0.0 {
            let pause = self.exponential(600.0 * (1.0 - share) / share);
            self.after(now, pause, FleetEvent::TurnSlow { server });
        }
    }

    fn on_event(&mut self, now: Timestamp, event: FleetEvent) {
        match event {
            FleetEvent::Call => {
                let pause = self.exponential(1_000.0 / self.shape.rate);
                self.after(now, pause, FleetEvent::Call);
                self.on_call(now);
            }
            FleetEvent::Done { server, call } => self.on_done(now, server, call),
            FleetEvent::Tell { host } => {
                self.hosts[host].counted = self.reported(now, host).0;
                if self.random.random_range(0.0..1.0) >= SUMMARY_LOSS {
                    let delay = 10.0 + self.random.random_range(0.0..SUMMARY_DELAY_MS);
                    let running = self.hosts[host].own.clone();
                    self.after(now, delay, FleetEvent::Told { host, running, sent_at: now });
                }
                let period = SUMMARY_PERIOD.as_secs_f64() * 1_000.0;
                self.after(now, period, FleetEvent::Tell { host });
            }
            FleetEvent::Told { host, running, sent_at } => {
                let cut = self.shape.cut.is_some_and(|(from, until)| now >= from && now < until);
                for half in (0..2).filter(|half| !cut || *half == host % 2) {
                    self.heard[half][host] = (running.clone(), sent_at);
                }
            }
            FleetEvent::TurnSlow { server } => {
                self.servers[server].is_slow = true;
                let time = self.random.random_range(300.0..900.0);
                self.after(now, time, FleetEvent::TurnFast { server });
            }
            FleetEvent::TurnFast { server } => {
                self.servers[server].is_slow = false;
                self.plan_slowness(now, server);
            }
        }
    }

    /// Returns the calls of other hosts in flight on each server, as a host last heard, and the mean age.
    fn reported(&self, now: Timestamp, host: usize) -> (Vec<u32>, Duration) {
        let mut loads = vec![0; self.servers.len()];
        let (mut ages, mut hosts) = (Duration::ZERO, 0);
        let heard = self.heard[host % 2].iter().enumerate();
        for (_, (running, at)) in heard.filter(|(other, _)| *other != host) {
            if now.since(*at) < Duration::from_millis(1_800) {
                (ages, hosts) = (ages + now.since(*at), hosts + 1);
                loads.iter_mut().zip(running).for_each(|(load, running)| *load += running);
            }
        }
        (loads, ages.checked_div(hosts).unwrap_or_default())
    }

    fn on_call(&mut self, now: Timestamp) {
        let host = self.random.random_range(0..self.shape.hosts);
        let (zones, zone) = (self.shape.zones, host % self.shape.zones);
        let (loads, age) = match self.shape.rule {
            AppRule::ShortestWait => self.reported(now, host),
            AppRule::FewestReported => (self.hosts[host].counted.clone(), Duration::ZERO),
        };
        let claim = self.shape.claimed_slots;
        let servers: Vec<AppServer> = (0..self.servers.len())
            .map(|server| AppServer {
                key: self.keys[server],
                zone: server % zones,
                slots: match claim {
                    Some((claiming, slots)) if claiming == server => slots,
                    _ => self.shape.slots,
                },
                own: self.hosts[host].own[server],
                peers: loads[server],
                leaving_ms: LEAVING_MS,
                extra_ms: 0.0,
            })
            .collect();
        let shares = vec![1.0 / zones as f64; zones];
        let view = AppView { servers: &servers, zone_shares: &shares, home: zone };
        let server = match self.shape.rule {
            AppRule::FewestReported => fewest_reported(&view),
            AppRule::ShortestWait => {
                let told = servers.iter().map(|server| (server.key, server.peers));
                let choice = &mut self.hosts[host].choice;
                choice.on_loads(now, age, told);
                choice.choose(now, &view, &mut self.random).expect("there are servers")
            }
        };
        let running = servers[server].own + servers[server].peers;
        let factor = self.random.random_range(0.5..1.5) * self.shape.speeds[server];
        let work_ms = self.shape.work_ms * factor;
        self.calls.push(SimCall { at: now, host, running, work_ms });
        self.hosts[host].own[server] += 1;
        self.count_sent(now, server, server % zones != zone);
        let call = self.calls.len() - 1;
        let queue = &mut self.servers[server];
        if queue.running < self.shape.slots {
            queue.running += 1;
            self.run_call(now, server, call);
        } else {
            queue.queue.push_back(call);
        }
        let in_flight = self.servers[server].running as usize + self.servers[server].queue.len();
        self.result.most_in_flight = self.result.most_in_flight.max(in_flight);
    }

    fn count_sent(&mut self, now: Timestamp, server: usize, has_left: bool) {
        if now.since(Timestamp::default()) >= WARM_TIME {
            self.result.sent[server] += 1;
            self.result.left_zone += u32::from(has_left);
        }
        if let Some((slow, from, _)) = self.shape.slow_server
            && slow == server
            && now >= from
        {
            let second = now.since(from).as_secs() as usize;
            let sent = &mut self.result.sent_to_slow;
            sent.resize(sent.len().max(second + 1), 0);
            sent[second] += 1;
        }
    }

    fn run_call(&mut self, now: Timestamp, server: usize, call: usize) {
        let is_slow = |(slow, from, until): (usize, Timestamp, Timestamp)| {
            slow == server && now >= from && now < until
        };
        let factor = match self.shape.slow_server.is_some_and(is_slow) {
            true => 10.0,
            false if self.servers[server].is_slow => 2.5,
            false => 1.0,
        };
        self.after(now, self.calls[call].work_ms * factor, FleetEvent::Done { server, call });
    }

    fn on_done(&mut self, now: Timestamp, server: usize, call: usize) {
        let SimCall { at, host, running, .. } = self.calls[call];
        let is_near = server % self.shape.zones == host % self.shape.zones;
        let trip = if is_near { 0.0 } else { ZONE_ROUND_TRIP_MS };
        let elapsed = now.since(at) + Duration::from_secs_f64(trip / 1_000.0);
        let sim = &mut self.hosts[host];
        sim.own[server] -= 1;
        sim.choice.on_answer(self.keys[server], self.shape.slots, running, elapsed);
        if at.since(Timestamp::default()) >= WARM_TIME {
            self.result.calls += 1;
            self.result.late += u32::from(elapsed > self.shape.goal);
        }
        match self.servers[server].queue.pop_front() {
            Some(next) => self.run_call(now, server, next),
            None => self.servers[server].running -= 1,
        }
    }
}

/// Returns the server with the fewest calls as they were reported.
fn fewest_reported(view: &AppView<'_>) -> usize {
    let cost = |server: &AppServer| {
        let queued = f64::from(server.own + server.peers) / f64::from(server.slots);
        let leaving_ms = if server.zone == view.home { 0.0 } else { server.leaving_ms };
        queued.floor() * LEAVING_MS * 2.0 + leaving_ms + queued
    };
    let costs = view.servers.iter().map(cost).enumerate();
    let best = costs.min_by(|(_, one), (_, other)| one.total_cmp(other));
    best.map_or(0, |(index, _)| index)
}
