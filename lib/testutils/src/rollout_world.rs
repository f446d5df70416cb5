//! Simulator of a fleet that rolls out a version: hosts with books of their own, a store with orders and
//! states, reports that arrive late or never, and servers of a good or a bad version.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::platform_api::LogBounds;
use pomelostack_lib::gateway::rollout::answer_tally::AnswerOutcome;
use pomelostack_lib::gateway::rollout::exposure_meter::RolloutBounds;
use pomelostack_lib::gateway::rollout::rollout_book::AttemptTicket;
use pomelostack_lib::gateway::rollout::rollout_book::HostView;
use pomelostack_lib::gateway::rollout::rollout_book::PlacedAttempt;
use pomelostack_lib::gateway::rollout::rollout_book::RolloutBook;
use pomelostack_lib::gateway::rollout::rollout_book::RolloutSide;
use pomelostack_lib::gateway::rollout::rollout_order::OrderRecord;
use pomelostack_lib::gateway::rollout::rollout_order::RolloutOrder;
use pomelostack_lib::gateway::rollout::rollout_order::RolloutState;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRead;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRecord;
use pomelostack_lib::gateway::usage_ledger::HostIncarnation;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::protos::gateway::RolloutReport;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Length of a step of the simulation.
const TICK: Duration = Duration::from_millis(20);

/// Time from a record to its read by a host at most.
const MAX_READ_DELAY_MS: u64 = 60;

/// Time from a report to its arrival at most, and the share of the reports that are lost.
const MAX_REPORT_DELAY_MS: u64 = 60;
const LOST_REPORTS: f64 = 0.1;

/// Time after the deadline for which the simulation goes on.
const AFTER_TIME: Duration = Duration::from_secs(4);

/// Time from the loss of the holder until another one decides.
const SUCCESSION_TIME: Duration = Duration::from_millis(5_200);

/// Time after which a host's answer is known to the others.
const REPORTED_TIME: Duration = Duration::from_secs(1);

/// Hosts that merge reports. The others follow the records only, which is the worse case.
const MAX_JUDGES: usize = 4;

/// Routes of the service: the share of the requests and the usual time in milliseconds.
const ROUTES: [(&str, f64, f64); 3] =
    [("full-review", 0.25, 900.0), ("live-hint", 0.33, 150.0), ("exercise-tag", 0.42, 60.0)];

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionFault {
    /// Nothing.
    Good,
    /// This share of its answers are failures.
    Fails(f64),
    /// This share of its answers take so many times as long.
    Slow(f64, f64),
}

/// A case.
#[derive(Clone, Debug)]
pub struct RolloutCase {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Requests of all hosts a second.
    pub rate: f64,
    /// Time within which the roll-out must end.
    pub duration: Duration,
    /// What is wrong.
    pub fault: VersionFault,
    /// Since when, after the order.
    pub fault_from: Duration,
    /// On which route only, if on one.
    pub fault_route: Option<usize>,
    /// When the servers of the version register, after the order.
    pub servers_at: Duration,
    /// When the holder of the duties is killed, after the order.
    pub holder_lost_at: Option<Duration>,
    /// When so many hosts start anew, after the order.
    pub restarts: Option<(Duration, usize)>,
}

/// What came of a case.
#[derive(Clone, Debug, Default)]
pub struct RolloutOutcome {
    /// Requests since the order, up to the deadline.
    pub arrivals: u64,
    /// Attempts at the version before its end.
    pub sent: u64,
    /// Largest excess of the attempts over the allowed share and slack; negative if there was room.
    pub excess: f64,
    /// Attempts more than the stop time after the 50th bad answer.
    pub late: u64,
    /// Attempts of a host that knew no order or no step, or after the host read the end.
    pub forbidden: u64,
    /// Bad answers that had ended a second before the end of the roll-out.
    pub seen_bad: u64,
    /// How the roll-out ended, and when after the order.
    pub end: Option<(RolloutState, Duration)>,
    /// Why.
    pub reason: String,
}

struct SimHost {
    book: RolloutBook,
    name: HostIncarnation,
    reads_at: Timestamp,
    read_orders: bool,
    knows_step: bool,
    knows_end: bool,
    sequence: u64,
    next_report: Timestamp,
}

struct SimAnswer {
    at: Timestamp,
    host: usize,
    incarnation: u64,
    is_new: bool,
    route: usize,
    outcome: AnswerOutcome,
    ticket: Option<AttemptTicket>,
}

/// A fleet, a store and a service.
pub struct RolloutWorld {
    case: RolloutCase,
    random: ChaCha8Rng,
    now: Timestamp,
    ordered_at: Timestamp,
    service: ServiceName,
    old: SoftwareVersion,
    new: SoftwareVersion,
    hosts: Vec<SimHost>,
    holder: usize,
    holds_from: Timestamp,
    log: Vec<StatusRecord>,
    answers: Vec<SimAnswer>,
    reports: Vec<(Timestamp, usize, HostIncarnation, Vec<RolloutReport>)>,
    /// When the bad answers ended, or will end.
    bad_ends: Vec<Timestamp>,
    fiftieth_at: Option<Timestamp>,
    outcome: RolloutOutcome,
}

/// Runs a case.
pub fn run_rollout(case: &RolloutCase) -> RolloutOutcome {
    let mut world = RolloutWorld::new(case.clone());
    let end = world.ordered_at + case.duration + AFTER_TIME;
    while world.now < end {
        world.step();
    }
    world.outcome
}

impl RolloutWorld {
    fn new(case: RolloutCase) -> Self {
        let start = Timestamp::from_millis(100_000);
        let version = |text: &str| SoftwareVersion::of(text.as_bytes());
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(case.seed),
            now: start,
            ordered_at: start,
            service: ServiceName::try_from("huvo11a").expect("a valid name"),
            old: version("v1"),
            new: version("v2"),
            hosts: Vec::new(),
            holder: 0,
            holds_from: start,
            log: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            bad_ends: Vec::new(),
            fiftieth_at: None,
            outcome: RolloutOutcome { excess: f64::MIN, ..RolloutOutcome::default() },
            case,
        };
        for number in 0..world.case.hosts {
            let mut host = world.new_host(number, 1);
            // It ran before the order.
            host.book.on_orders((start, start), StoreEra(1), Vec::new(), 1);
            world.hosts.push(host);
        }
        world
    }

    fn new_host(&mut self, number: usize, incarnation: u64) -> SimHost {
        let host = HostId::try_from(format!("h{number}").as_str()).expect("a valid name");
        let name = (host, Incarnation(incarnation));
        let mut book = RolloutBook::new(name.clone(), RolloutBounds::default());
        book.observe(self.now, [(&self.service, &self.old)].into_iter());
        let delay = Duration::from_millis(self.random.random_range(0..MAX_READ_DELAY_MS));
        SimHost {
            book,
            name,
            reads_at: self.now + delay,
            read_orders: false,
            knows_step: false,
            knows_end: false,
            sequence: 0,
            next_report: self.now + delay,
        }
    }

    fn age(&self) -> Duration {
        self.now.since(self.ordered_at)
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.lose_hosts();
        self.deliver();
        self.follow();
        self.report();
        self.decide();
        self.serve();
    }

    fn lose_hosts(&mut self) {
        let age = self.age();
        if self.case.holder_lost_at.is_some_and(|at| age >= at) {
            self.case.holder_lost_at = None;
            let number = self.holder;
            self.hosts[number] = self.new_host(number, 2);
            self.holder = (number + 1) % self.hosts.len().min(MAX_JUDGES);
            self.holds_from = self.now + SUCCESSION_TIME;
        }
        if let Some((at, count)) = self.case.restarts
            && age >= at
        {
            self.case.restarts = None;
            for number in self.hosts.len().saturating_sub(count)..self.hosts.len() {
                if number >= MAX_JUDGES {
                    self.hosts[number] = self.new_host(number, 3);
                }
            }
        }
    }

    /// Delivers answers and reports.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.at <= now);
        self.answers = later;
        let due: Vec<SimAnswer> = due;
        for answer in due {
            let host = &mut self.hosts[answer.host];
            if host.name.1.0 != answer.incarnation {
                continue;
            }
            if let Some(ticket) = answer.ticket {
                host.book.on_settled(&self.service, ticket);
            }
            let version = if answer.is_new { &self.new } else { &self.old };
            let route = ROUTES[answer.route].0;
            host.book.on_answer(&self.service, version, route, answer.outcome);
        }
        let (due, later) =
            std::mem::take(&mut self.reports).into_iter().partition(|(at, ..)| *at <= now);
        self.reports = later;
        let due: Vec<_> = due;
        for (_, to, from, reports) in due {
            let changes = self.hosts[to].book.on_reports(now, &from, &reports);
            self.hosts[to].knows_end |= !changes.is_empty();
        }
    }

    /// Lets hosts read the directory, the orders and the states.
    fn follow(&mut self) {
        let (now, has_servers) = (self.now, self.age() >= self.case.servers_at);
        let order = RolloutOrder {
            to: self.new.clone(),
            to_text: "v2".to_owned(),
            duration: self.case.duration,
        };
        for host in &mut self.hosts {
            let listed = [&self.old, &self.new].into_iter().take(if has_servers { 2 } else { 1 });
            host.book.observe(now, listed.map(|version| (&self.service, version)));
            host.book.judge(now);
            if now < host.reads_at {
                continue;
            }
            let order = OrderRecord {
                service: self.service.clone(),
                offset: LogOffset(7),
                order: Some(order.clone()),
            };
            host.book.on_orders((now, now), StoreEra(1), vec![order], self.case.hosts as u32);
            host.read_orders = true;
            let records = self
                .log
                .iter()
                .enumerate()
                .map(|(offset, record)| (LogOffset(offset as u64), record.clone()));
            let records: Vec<_> = records.rev().take(1).collect();
            let next = LogOffset(self.log.len() as u64);
            let bounds = LogBounds { era: StoreEra(1), end: next, ..LogBounds::default() };
            let read = StatusRead { records, next, bounds, ..StatusRead::default() };
            host.book.on_statuses((now, now), now.as_millis(), read);
            let last = self.log.last();
            host.knows_step |= last.is_some_and(|record| record.step.share > 0);
            host.knows_end |= last.is_some_and(|record| record.state.is_final());
            let delay = self.random.random_range(0..MAX_READ_DELAY_MS);
            host.reads_at = now + Duration::from_millis(delay);
        }
    }

    fn report(&mut self) {
        let now = self.now;
        let period = if self.case.hosts > 128 { 600 } else { 333 };
        for host in &mut self.hosts {
            if now < host.next_report {
                continue;
            }
            host.next_report = now + Duration::from_millis(period);
            host.sequence += 1;
            let reports = host.book.reports(now, host.sequence);
            for to in 0..self.case.hosts.min(MAX_JUDGES) {
                if reports.is_empty() || self.random.random_bool(LOST_REPORTS) {
                    continue;
                }
                let delay = self.random.random_range(1..=MAX_REPORT_DELAY_MS);
                let at = now + Duration::from_millis(delay);
                self.reports.push((at, to, host.name.clone(), reports.clone()));
            }
        }
    }

    /// Lets the holder of the duties append what is due.
    fn decide(&mut self) {
        let now = self.now;
        if now < self.holds_from || !now.as_millis().is_multiple_of(100) {
            return;
        }
        let mut ready = BTreeMap::from([(self.old.clone(), 20)]);
        if self.age() >= self.case.servers_at {
            ready.insert(self.new.clone(), 20);
        }
        let book = &self.hosts[self.holder].book;
        let next = book.next_record(now, now.as_millis(), &self.service, &ready);
        let Some((at, record)) = next else { return };
        if at.0 != self.log.len() as u64 {
            return;
        }
        if record.state.is_final() && self.outcome.end.is_none() {
            self.outcome.end = Some((record.state, now.since(self.ordered_at)));
            let seen = self.bad_ends.iter().filter(|at| now.since(**at) >= REPORTED_TIME);
            self.outcome.seen_bad = seen.count() as u64;
            self.outcome.reason.clone_from(&record.reason);
        }
        self.log.push(record);
    }

    /// Lets callers send requests.
    fn serve(&mut self) {
        let expected = self.case.rate * TICK.as_secs_f64();
        let count = expected.floor() as u64
            + u64::from(self.random.random_bool(expected - expected.floor()));
        for _ in 0..count {
            let host = self.random.random_range(0..self.hosts.len());
            self.send(host);
        }
        let allowed = self.outcome.arrivals as f64 * 0.1 + 50.0;
        self.outcome.excess = self.outcome.excess.max(self.outcome.sent as f64 - allowed);
    }

    fn send(&mut self, number: usize) {
        let (now, age, view) = (self.now, self.age(), HostView::default());
        let route = self.draw_route();
        if age <= self.case.duration {
            self.outcome.arrivals += 1;
        }
        let host = &mut self.hosts[number];
        host.book.on_request(now, &self.service);
        let side = host.book.side(now, view, &self.service, PlacedAttempt::First);
        let is_new = side == RolloutSide::New;
        let ticket = is_new
            .then(|| host.book.on_sent(now, &self.service, &self.new, ROUTES[route].0))
            .flatten();
        let is_completed = matches!(self.outcome.end, Some((RolloutState::Completed, _)));
        if is_new && !is_completed {
            self.outcome.sent += 1;
            let is_known = host.read_orders && host.knows_step && !host.knows_end;
            self.outcome.forbidden += u64::from(!is_known);
            let stop = RolloutBounds::default().stop_time;
            let is_late = self.fiftieth_at.is_some_and(|at| now.since(at) > stop);
            self.outcome.late += u64::from(is_late);
        }
        let incarnation = host.name.1.0;
        let (outcome, is_bad) = self.draw_answer(is_new, route);
        let time = match outcome {
            AnswerOutcome::Answered(time) => time,
            _ => Duration::from_millis(ROUTES[route].2 as u64),
        };
        let at = now + time;
        if is_new && is_bad {
            self.bad_ends.push(at);
            if self.bad_ends.len() == 50 {
                // Some of the others may end later.
                self.fiftieth_at = Some(now);
            }
        }
        self.answers.push(SimAnswer {
            at,
            host: number,
            incarnation,
            is_new,
            route,
            outcome,
            ticket,
        });
    }

    fn draw_route(&mut self) -> usize {
        let mut rest: f64 = self.random.random();
        for (index, (_, share, _)) in ROUTES.iter().enumerate() {
            if rest < *share {
                return index;
            }
            rest -= share;
        }
        0
    }

    /// Draws an answer, and whether it is bad.
    fn draw_answer(&mut self, is_new: bool, route: usize) -> (AnswerOutcome, bool) {
        let mut millis = ROUTES[route].2 * self.random.random_range(0.7_f64..1.5);
        // One answer in twenty takes two and a half times as long, at servers of any version.
        if self.random.random_bool(0.05) {
            millis *= 2.5;
        }
        // A cold cache.
        if is_new && self.random.random_bool(0.3) {
            millis *= 1.6;
        }
        let is_struck = is_new
            && self.age() >= self.case.fault_from
            && self.case.fault_route.is_none_or(|struck| struck == route);
        let chance: f64 = self.random.random();
        let mut is_bad = false;
        match self.case.fault {
            VersionFault::Fails(share) if is_struck && chance < share => {
                return (AnswerOutcome::Failed, true);
            }
            VersionFault::Slow(share, factor) if is_struck && chance < share => {
                millis *= factor;
                is_bad = true;
            }
            _ if chance < 0.002 => return (AnswerOutcome::Failed, false),
            _ => {}
        }
        (AnswerOutcome::Answered(Duration::from_secs_f64(millis / 1_000.0)), is_bad)
    }
}
