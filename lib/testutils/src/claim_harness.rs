//! Simulates the claims of several hosts with a log, backend servers and callers in virtual time,
//! under a fault schedule, and counts violations.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use pomelostack_lib::claim_outcome::ClaimOutcome;
use pomelostack_lib::claim_outcome::ClaimRequest;
use pomelostack_lib::claim_outcome::ClaimToken;
use pomelostack_lib::claim_record::ClaimKey;
use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::claim_record::WholeAnswer;
use pomelostack_lib::claim_writer::ClaimTicket;
use pomelostack_lib::claim_writer::WriterAction;
use pomelostack_lib::claim_writer::WriterEvent;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogSlice;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::not_run::NotRunRefusal;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claim_audit::CallerReply;
use crate::claim_audit::CallerSend;
use crate::claim_audit::ClaimRule;
use crate::claim_audit::HarnessReport;
use crate::claim_audit::audit_sends;
use crate::fault_schedule::FaultKind;
use crate::fault_schedule::FaultSchedule;
use crate::harness_host::SECOND_US;
use crate::harness_host::SimHost;
use crate::harness_host::claim_key;
use crate::harness_queue::EventQueue;
use crate::harness_queue::Permit;
use crate::harness_queue::ScheduledEvent;
use crate::harness_queue::SimEvent;
use crate::harness_queue::event_host;
use crate::naive_claims::MemoryOutcome;
use crate::sim_log::SimLog;
use crate::sim_log::log_latency_us;

const HOSTS: usize = 3;
const KEYS: usize = 8;
const MAX_SENDS_PER_KEY: usize = 8;
/// Time within which callers make their first sends.
const SEND_HORIZON_US: u64 = 40 * SECOND_US;
/// The same for schedules without checkpoints, in which gaps end only by time.
const LONG_HORIZON_US: u64 = 200 * SECOND_US;
/// Longest time after the first send of a key at which a caller decides to resend it.
const RESEND_HORIZON_US: u64 = 60 * SECOND_US;
/// End of a run; every request is decided and every delayed append is stored by then.
const END_US: u64 = 480 * SECOND_US;
/// Latency of the reply to a failed append.
const FAILURE_US: Range<u64> = 1_000..SECOND_US / 2;

/// Runs one schedule.
pub fn run_schedule(seed: u64, rule: ClaimRule) -> HarnessReport {
    let mut harness = ClaimHarness::new(seed, rule);
    harness.run();
    let incarnations =
        harness.hosts.iter().map(|host| host.alive.then_some(host.incarnation)).collect();
    audit_sends(&harness.sends, &harness.runs, incarnations)
}

struct ClaimHarness {
    rng: ChaCha8Rng,
    rule: ClaimRule,
    schedule: FaultSchedule,
    log: SimLog,
    hosts: Vec<SimHost>,
    sends: Vec<CallerSend>,
    /// Sends that ran, by key, in order.
    runs: BTreeMap<usize, Vec<usize>>,
    queue: EventQueue,
    horizon: u64,
    now: u64,
}

impl ClaimHarness {
    fn new(seed: u64, rule: ClaimRule) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let horizon = if seed.is_multiple_of(2) { SEND_HORIZON_US } else { LONG_HORIZON_US };
        let schedule = FaultSchedule::draw(&mut rng, HOSTS, SEND_HORIZON_US);
        let hosts = (0..HOSTS).map(|host| SimHost::new(host, Incarnation(1), 0)).collect();
        let mut harness = Self {
            rng,
            rule,
            schedule,
            log: SimLog::default(),
            hosts,
            sends: Vec::new(),
            runs: BTreeMap::new(),
            queue: EventQueue::default(),
            horizon,
            now: 0,
        };
        harness.plan();
        harness
    }

    /// Schedules first sends, resends without waiting for a reply, crashes, restarts and the hosts'
    /// first wakes.
    fn plan(&mut self) {
        for host in 0..HOSTS {
            self.push(0, SimEvent::Wake(host));
        }
        for fault in self.schedule.faults.clone() {
            if let FaultKind::HostKilled(host) = fault.kind {
                self.push(fault.during.start, SimEvent::Kill(host));
                self.push(fault.during.end, SimEvent::Restart(host));
            }
        }
        for key in 0..KEYS {
            let first = self.rng.random_range(0..self.horizon);
            self.plan_send(key, first);
            for _ in 0..self.rng.random_range(0..4) {
                let spread =
                    if self.rng.random_bool(0.3) { SECOND_US / 50 } else { 20 * SECOND_US };
                let later = self.rng.random_range(0..spread);
                self.plan_send(key, first + later);
            }
        }
    }

    fn plan_send(&mut self, key: usize, at: u64) {
        let other_body = self.rng.random_bool(0.05);
        self.sends.push(CallerSend {
            key,
            fingerprint: RequestFingerprint(u64::from(other_body)),
            host: self.rng.random_range(0..HOSTS),
            deadline: Duration::from_millis(self.rng.random_range(500..30_000)),
            accepted: None,
            reply: None,
        });
        self.push(at, SimEvent::Send(self.sends.len() - 1));
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        let incarnation = event_host(&event).map(|host| self.hosts[host].incarnation);
        self.queue.push(at, ScheduledEvent { incarnation, event });
    }

    fn push_in(&mut self, range_us: Range<u64>, event: SimEvent) {
        let at = self.now + self.rng.random_range(range_us);
        self.push(at, event);
    }

    fn run(&mut self) {
        while let Some((at, next)) = self.queue.pop() {
            if at > END_US {
                return;
            }
            self.now = at;
            let host = event_host(&next.event);
            if let Some(end) = host.and_then(|host| self.schedule.pause_end(host, self.now)) {
                self.queue.push(end, next);
                continue;
            }
            let dead = |host: usize| {
                !self.hosts[host].alive || next.incarnation != Some(self.hosts[host].incarnation)
            };
            if !host.is_some_and(dead) {
                self.on_event(next.event);
            }
        }
    }

    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Send(send) => self.on_send(send),
            SimEvent::Wake(host) => self.on_wake(host),
            SimEvent::ReadArrives(host) => self.on_read_arrives(host),
            SimEvent::ReadReply(host, result) => self.on_read_reply(host, result),
            SimEvent::AppendArrives(host, data) => self.on_append_arrives(host, data),
            SimEvent::AppendReply(host, result) => {
                self.hosts[host].next_read = self.now;
                let appended = |()| WriterEvent::Appended;
                let event = result.map_or_else(WriterEvent::AppendFailed, appended);
                self.writer_event(host, event);
            }
            SimEvent::DelayedAppend(data) => self.log.append(self.now, data),
            SimEvent::Dispatch(host, send, permit) => self.on_dispatch(host, send, permit),
            SimEvent::Served(host, send, permit, answer) => {
                self.on_served(host, send, permit, answer)
            }
            SimEvent::Kill(host) => self.hosts[host].alive = false,
            SimEvent::Restart(host) => {
                let incarnation = Incarnation(self.hosts[host].incarnation.0 + 1);
                self.hosts[host] = SimHost::new(host, incarnation, self.now);
                self.push(self.now, SimEvent::Wake(host));
            }
        }
    }

    fn host_time(&self, host: usize) -> Timestamp {
        Timestamp(self.now) + self.hosts[host].clock_offset
    }

    fn request_of(&self, index: usize) -> ClaimRequest {
        let send = &self.sends[index];
        ClaimRequest { key: claim_key(send.key), fingerprint: send.fingerprint }
    }

    fn on_send(&mut self, index: usize) {
        let host = self.sends[index].host;
        if !self.hosts[host].alive {
            return;
        }
        if let Some(end) = self.schedule.pause_end(host, self.now) {
            return self.push(end, SimEvent::Send(index));
        }
        self.sends[index].accepted = Some((self.now, self.hosts[host].incarnation));
        let request = self.request_of(index);
        if self.rule == ClaimRule::MemoryOnly {
            return self.submit_to_memory(host, index, request.key);
        }
        let deadline = self.host_time(host) + self.sends[index].deadline;
        let ticket = ClaimTicket(index as u64);
        self.writer_event(host, WriterEvent::Submit(ticket, request, deadline));
    }

    fn submit_to_memory(&mut self, host: usize, send: usize, key: ClaimKey) {
        match self.hosts[host].memory.claim(key) {
            MemoryOutcome::Run => self.push(self.now, SimEvent::Dispatch(host, send, None)),
            MemoryOutcome::Running => self.reply_to_caller(send, CallerReply::Unknown),
            MemoryOutcome::Answered(answer) => {
                self.reply_to_caller(send, CallerReply::Complete(answer))
            }
        }
    }

    /// Passes an event to the host's writer and performs its actions.
    fn writer_event(&mut self, host: usize, event: WriterEvent) {
        let now = self.host_time(host);
        let found = &mut self.hosts[host];
        for action in found.writer.on_event(now, event, &found.reader) {
            match action {
                WriterAction::Append(data) => {
                    let latency = log_latency_us(&self.schedule, self.now);
                    self.push_in(latency, SimEvent::AppendArrives(host, data));
                }
                WriterAction::Decide(ticket, outcome) => {
                    self.on_outcome(host, ticket.0 as usize, outcome);
                }
            }
        }
        self.plan_wake(host);
    }

    fn plan_wake(&mut self, host: usize) {
        let Some(wake) = self.hosts[host].next_wake() else { return };
        let wake = wake.max(self.now + 1);
        if self.hosts[host].timers.insert(wake) {
            self.push(wake, SimEvent::Wake(host));
        }
    }

    fn on_wake(&mut self, host: usize) {
        let found = &mut self.hosts[host];
        found.timers = found.timers.split_off(&(self.now + 1));
        if !found.reading && self.now >= found.next_read {
            found.reading = true;
            let latency = log_latency_us(&self.schedule, self.now);
            self.push_in(latency, SimEvent::ReadArrives(host));
        }
        let checkpoints = self.horizon == SEND_HORIZON_US;
        if checkpoints && self.hosts[host].take_due_checkpoint(self.now) {
            self.writer_event(host, WriterEvent::WriteCheckpoint);
        }
        self.writer_event(host, WriterEvent::Tick);
    }

    fn on_read_arrives(&mut self, host: usize) {
        let position = self.hosts[host].reader.position();
        let result = self.log.serve_read(&self.schedule, host, self.now, position);
        let latency = log_latency_us(&self.schedule, self.now);
        self.push_in(latency, SimEvent::ReadReply(host, result));
    }

    fn on_read_reply(&mut self, host: usize, result: Result<LogSlice, LogError>) {
        match self.hosts[host].take_read(self.now, result) {
            Some(change) => self.writer_event(host, WriterEvent::Folded(change)),
            None => self.plan_wake(host),
        }
    }

    fn on_append_arrives(&mut self, host: usize, data: Vec<u8>) {
        let fate = self.log.take_append(&mut self.rng, &self.schedule, host, self.now, data);
        if let Some((delay_us, data)) = fate.delayed {
            self.push(self.now + delay_us, SimEvent::DelayedAppend(data));
        }
        let slow = log_latency_us(&self.schedule, self.now);
        let latency = if fate.result.is_ok() { slow } else { FAILURE_US };
        self.push_in(latency, SimEvent::AppendReply(host, fate.result));
    }

    fn on_outcome(&mut self, host: usize, send: usize, outcome: ClaimOutcome) {
        match outcome {
            ClaimOutcome::Won { token, .. } if self.rng.random_bool(0.05) => {
                self.release_claim(host, send, token);
            }
            ClaimOutcome::Won { token, .. } => {
                self.push_in(0..SECOND_US / 10, SimEvent::Dispatch(host, send, Some(token)));
            }
            ClaimOutcome::AnsweredBefore(answer) => self.reply_with_answer(send, answer),
            ClaimOutcome::RunningElsewhere { .. } => self.wait_elsewhere(host, send),
            ClaimOutcome::Unknown(code) => self.on_unknown(host, send, code),
            ClaimOutcome::NotRun(refusal) => {
                let reference = self.not_run_reference(&refusal);
                self.reply_to_caller(send, CallerReply::NotRun(reference));
            }
            ClaimOutcome::KeyReused(_) => self.reply_to_caller(send, CallerReply::KeyReused),
        }
    }

    fn wait_elsewhere(&mut self, host: usize, index: usize) {
        let (request, send) = (self.request_of(index), &self.sends[index]);
        let accepted = Timestamp(send.accepted.map_or(0, |(at, _)| at));
        let deadline = accepted + self.hosts[host].clock_offset + send.deadline;
        self.writer_event(host, WriterEvent::Wait(ClaimTicket(index as u64), request, deadline));
    }

    fn on_unknown(&mut self, host: usize, send: usize, code: ResultCode) {
        match (self.rule, code) {
            (ClaimRule::NotRunAtDeadline, ResultCode::ClaimUnresolved) => {
                self.reply_to_caller(send, CallerReply::NotRun(Some(self.now)));
            }
            (ClaimRule::RerunAfterWait, ResultCode::StillRunning) => {
                self.push(self.now, SimEvent::Dispatch(host, send, None));
            }
            _ => self.reply_to_caller(send, CallerReply::Unknown),
        }
    }

    /// Returns the time before which every accepted request is proved not to run, if the proof
    /// covers more than one send.
    fn not_run_reference(&self, refusal: &NotRunRefusal) -> Option<u64> {
        match refusal.proof() {
            NotRunProof::ClaimVoided(offset) => Some(self.log.appended_at(offset)),
            NotRunProof::NeverDispatched | NotRunProof::EveryAttemptRefused(_) => None,
        }
    }

    /// Releases a claim that was won but not dispatched.
    fn release_claim(&mut self, host: usize, send: usize, token: ClaimToken) {
        self.reply_to_caller(send, CallerReply::NotRun(Some(self.now)));
        self.writer_event(host, WriterEvent::Release(token));
    }

    fn on_dispatch(&mut self, host: usize, send: usize, permit: Permit) {
        let now = self.host_time(host);
        let permit = match permit {
            Some(token) if !token.may_dispatch(now) => {
                return self.release_claim(host, send, token);
            }
            permit => permit,
        };
        let runs = self.runs.entry(self.sends[send].key).or_default();
        runs.push(send);
        let body = vec![runs.len() as u8, send as u8, self.sends[send].key as u8];
        let answer = StoredAnswer::Whole(WholeAnswer { status: 200, headers: Vec::new(), body });
        let answer = self.rng.random_bool(0.9).then_some(answer);
        self.push_in(5_000..3 * SECOND_US, SimEvent::Served(host, send, permit, answer));
    }

    fn on_served(
        &mut self,
        host: usize,
        send: usize,
        permit: Permit,
        answer: Option<StoredAnswer>,
    ) {
        let answer = answer.unwrap_or(StoredAnswer::Failed(ResultCode::ServerLost));
        self.reply_with_answer(send, answer.clone());
        match permit {
            Some(token) => self.writer_event(host, WriterEvent::Complete(token, answer)),
            None => self.hosts[host].memory.complete(claim_key(self.sends[send].key), answer),
        }
    }

    fn reply_with_answer(&mut self, send: usize, answer: StoredAnswer) {
        match answer {
            StoredAnswer::Failed(_) => self.reply_to_caller(send, CallerReply::Unknown),
            answer => self.reply_to_caller(send, CallerReply::Complete(answer)),
        }
    }

    /// Replies to a caller, which resends after a short delay if the reply is NOT_RUN.
    fn reply_to_caller(&mut self, index: usize, reply: CallerReply) {
        let key = self.sends[index].key;
        let sends = self.sends.iter().filter(|send| send.key == key);
        let first = sends.clone().filter_map(|send| send.accepted).map(|(at, _)| at).min();
        let in_time = first.is_some_and(|first| self.now < first + RESEND_HORIZON_US);
        let few = sends.count() < MAX_SENDS_PER_KEY;
        if matches!(reply, CallerReply::NotRun(_)) && few && in_time {
            let at = self.now + self.rng.random_range(1_000..SECOND_US);
            self.plan_send(key, at);
        }
        self.sends[index].reply = Some(reply);
    }
}
