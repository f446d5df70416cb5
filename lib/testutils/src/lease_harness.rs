//! Joins the lease holders of several hosts with a log and a backend server in virtual time, under
//! a schedule of failures, and counts orders of an old holder that took effect after a newer one.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::lease::LeaseAction;
use pomelostack_lib::lease::LeaseEvent;
use pomelostack_lib::lease::LeaseHolder;
use pomelostack_lib::lease::LeaseSettings;
use pomelostack_lib::lease_codec::LeaseDuty;
use pomelostack_lib::lease_codec::decode_record;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fault_schedule::FaultKind;
use crate::fault_schedule::FaultSchedule;
use crate::schedule_log::ScheduleLog;
use crate::schedule_log::log_latency_us;

const HOSTS: usize = 3;
const SECOND_US: u64 = 1_000_000;
const HORIZON_US: u64 = 120 * SECOND_US;
const READ_INTERVAL_US: u64 = SECOND_US / 2;
const ORDER_INTERVAL_US: Range<u64> = SECOND_US / 20..SECOND_US / 5;
/// Longest time from check to send without a pause, in the cases that allow one in between.
const SEND_DELAY_US: u64 = SECOND_US / 20;
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Case under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseCase {
    /// Whether the backend server checks fencing numbers.
    pub fencing: FencingCheck,
    /// Whether a pause can fall between the check of the lease and the send of an order.
    pub pause_before_send: bool,
    /// Order timeout that the holders count with; the real one is two seconds.
    pub order_timeout: Duration,
}

impl LeaseCase {
    /// Returns the case in which the holders count with the real order timeout.
    pub fn new(fencing: FencingCheck, pause_before_send: bool) -> Self {
        Self { fencing, pause_before_send, order_timeout: ORDER_TIMEOUT }
    }
}

/// What one run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseReport {
    /// Orders that took effect after an order of a newer holder.
    pub stale_orders: u64,
    /// Orders that the server refused for their fencing number.
    pub refused_orders: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Holders whose orders took effect.
    pub holders: u64,
}

enum SimEvent {
    Step(usize),
    ReadReply(usize, Result<LogSlice, LogError>),
    AppendArrives(usize, Vec<u8>),
    AppendReply(usize, bool),
    DelayedAppend(Vec<u8>),
    Check(usize),
    Send(usize, FencingNumber),
    OrderArrives(FencingNumber),
    Want(usize, bool),
    Restart(usize),
}

struct SimHost {
    holder: LeaseHolder,
    position: LogOffset,
    incarnation: Incarnation,
    clock_permille: u64,
}

struct LeaseHarness {
    rng: ChaCha8Rng,
    case: LeaseCase,
    schedule: FaultSchedule,
    log: ScheduleLog,
    hosts: Vec<SimHost>,
    newest: Option<FencingNumber>,
    report: LeaseReport,
    events: BTreeMap<(u64, u64), (Option<Incarnation>, SimEvent)>,
    order: u64,
    now: u64,
}

/// Runs one schedule.
pub fn run_lease_schedule(seed: u64, case: LeaseCase) -> LeaseReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedule = FaultSchedule::draw(&mut rng, HOSTS, HORIZON_US / 2);
    let hosts = (0..HOSTS)
        .map(|host| new_host(host, Incarnation(1), rng.random_range(990..=1_010), case))
        .collect();
    let mut harness = LeaseHarness {
        rng,
        case,
        schedule,
        log: ScheduleLog::default(),
        hosts,
        newest: None,
        report: LeaseReport::default(),
        events: BTreeMap::new(),
        order: 0,
        now: 0,
    };
    harness.plan();
    harness.run();
    harness.report
}

impl LeaseHarness {
    fn plan(&mut self) {
        for host in 0..HOSTS {
            self.push(0, SimEvent::Want(host, true));
            self.push(host as u64, SimEvent::Step(host));
            self.push(host as u64, SimEvent::Check(host));
            if self.rng.random_bool(0.3) {
                let at = self.rng.random_range(0..HORIZON_US);
                self.push(at, SimEvent::Want(host, false));
                self.push(at + 5 * SECOND_US, SimEvent::Want(host, true));
            }
        }
        for fault in self.schedule.faults.clone() {
            if let FaultKind::HostKilled(host) = fault.kind {
                self.push(fault.during.end, SimEvent::Restart(host));
            }
        }
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        let life = event_host(&event).map(|host| self.hosts[host].incarnation);
        self.order += 1;
        self.events.insert((at, self.order), (life, event));
    }

    fn push_in(&mut self, range_us: Range<u64>, event: SimEvent) {
        let at = self.now + self.rng.random_range(range_us);
        self.push(at, event);
    }

    fn run(&mut self) {
        while let Some(((at, _), (life, event))) = self.events.pop_first() {
            if at > HORIZON_US {
                return;
            }
            self.now = at;
            let host = event_host(&event);
            if let Some(end) = host.and_then(|host| self.schedule.pause_end(host, at)) {
                self.order += 1;
                self.events.insert((end, self.order), (life, event));
                continue;
            }
            let dead = |host: usize| {
                self.schedule.holds(FaultKind::HostKilled(host), at)
                    || life != Some(self.hosts[host].incarnation)
            };
            if !host.is_some_and(dead) {
                self.on_event(event);
            }
        }
    }

    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Step(host) => self.read(host),
            SimEvent::ReadReply(host, result) => self.on_read_reply(host, result),
            SimEvent::AppendArrives(host, data) => self.on_append_arrives(host, data),
            SimEvent::AppendReply(host, true) => self.holder_event(host, LeaseEvent::Appended),
            SimEvent::AppendReply(host, false) => self.holder_event(host, LeaseEvent::AppendFailed),
            SimEvent::DelayedAppend(data) => self.log.append(self.now, data),
            SimEvent::Check(host) => self.check(host),
            SimEvent::Send(_, fence) => self.send(fence),
            SimEvent::OrderArrives(fence) => self.on_order(fence),
            SimEvent::Want(host, wanted) => self.holder_event(host, LeaseEvent::Want(wanted)),
            SimEvent::Restart(host) => {
                let life = Incarnation(self.hosts[host].incarnation.0 + 1);
                let rate = self.hosts[host].clock_permille;
                self.hosts[host] = new_host(host, life, rate, self.case);
                for event in [SimEvent::Want(host, true), SimEvent::Step(host)] {
                    self.push(self.now, event);
                }
                self.push(self.now, SimEvent::Check(host));
            }
        }
    }

    fn clock(&self, host: usize) -> Timestamp {
        let offset_us = 1_000 * SECOND_US * (host as u64 + 1);
        Timestamp(offset_us + self.now * self.hosts[host].clock_permille / 1_000)
    }

    fn holder_event(&mut self, host: usize, event: LeaseEvent) {
        let now = self.clock(host);
        for LeaseAction::Append(data) in self.hosts[host].holder.on_event(now, event) {
            let latency = log_latency_us(&self.schedule, self.now);
            self.push_in(latency, SimEvent::AppendArrives(host, data));
        }
    }

    fn read(&mut self, host: usize) {
        let position = self.hosts[host].position;
        let result = self.log.serve_read(&self.schedule, host, self.now, position);
        let latency = log_latency_us(&self.schedule, self.now);
        self.push_in(latency, SimEvent::ReadReply(host, result));
    }

    fn on_read_reply(&mut self, host: usize, result: Result<LogSlice, LogError>) {
        self.push(self.now + READ_INTERVAL_US, SimEvent::Step(host));
        let event = match result {
            Ok(slice) => {
                let read = slice.records.iter();
                let records: Vec<_> = read
                    .filter_map(|r| decode_record(&r.data).ok().map(|record| (r.offset, record)))
                    .collect();
                let next = slice.records.last().map(|record| record.offset.next());
                let position = next.unwrap_or(self.hosts[host].position);
                self.hosts[host].position = position;
                LeaseEvent::Read { records, position, at_end: position >= slice.end }
            }
            Err(LogError::Expired(first)) => {
                self.hosts[host].position = first;
                LeaseEvent::Gap(first)
            }
            Err(_) => LeaseEvent::Tick,
        };
        self.holder_event(host, event);
    }

    fn on_append_arrives(&mut self, host: usize, data: Vec<u8>) {
        let fate = self.log.take_append(&mut self.rng, &self.schedule, host, self.now, data);
        if let Some((delay_us, data)) = fate.delayed {
            // Short delays matter most here: they land within a few terms.
            self.push(self.now + delay_us / 8, SimEvent::DelayedAppend(data));
        }
        let latency = log_latency_us(&self.schedule, self.now);
        self.push_in(latency, SimEvent::AppendReply(host, fate.result.is_ok()));
    }

    fn check(&mut self, host: usize) {
        self.push_in(ORDER_INTERVAL_US, SimEvent::Check(host));
        let Some(fence) = self.hosts[host].holder.may_act(self.clock(host)) else { return };
        match self.case.pause_before_send {
            true => self.push_in(1_000..SEND_DELAY_US, SimEvent::Send(host, fence)),
            false => self.send(fence),
        }
    }

    /// Sends an order, which arrives within the real order timeout.
    fn send(&mut self, fence: FencingNumber) {
        let timeout_us = ORDER_TIMEOUT.as_micros() as u64;
        self.push_in(1_000..timeout_us, SimEvent::OrderArrives(fence));
    }

    fn on_order(&mut self, fence: FencingNumber) {
        let stale = self.newest.is_some_and(|newest| fence < newest);
        if stale && self.case.fencing == FencingCheck::Checked {
            self.report.refused_orders += 1;
            return;
        }
        self.report.stale_orders += u64::from(stale);
        self.report.orders += 1;
        self.report.holders += u64::from(self.newest.is_none_or(|newest| fence > newest));
        self.newest = self.newest.max(Some(fence));
    }
}

/// Returns the host whose process the event needs.
fn event_host(event: &SimEvent) -> Option<usize> {
    match event {
        SimEvent::Step(host)
        | SimEvent::ReadReply(host, _)
        | SimEvent::AppendReply(host, _)
        | SimEvent::Check(host)
        | SimEvent::Send(host, _)
        | SimEvent::Want(host, _) => Some(*host),
        SimEvent::AppendArrives(..)
        | SimEvent::DelayedAppend(_)
        | SimEvent::OrderArrives(_)
        | SimEvent::Restart(_) => None,
    }
}

fn new_host(
    host: usize,
    incarnation: Incarnation,
    clock_permille: u64,
    case: LeaseCase,
) -> SimHost {
    let name = HostId::try_from(format!("entry-{host}")).expect("a valid name");
    let settings = LeaseSettings {
        order_timeout: case.order_timeout,
        stagger: Duration::from_millis(300 * host as u64),
        ..LeaseSettings::new(LeaseDuty::FleetPlanner, name, incarnation)
    };
    SimHost {
        holder: LeaseHolder::new(settings),
        position: LogOffset::default(),
        incarnation,
        clock_permille,
    }
}
