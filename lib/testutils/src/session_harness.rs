//! Seeded fault schedules in virtual time over request sessions and fake servers.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use pomelostack_lib::app_server::AppResponse;
use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::GenerateEnd;
use pomelostack_lib::engine::ServerError;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::not_run::NotRunRefusal;
use pomelostack_lib::request_session::RequestSession;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::retry_budget::RetryBudget;
use pomelostack_lib::session_claim::ClaimDecision;
use pomelostack_lib::session_event::AttemptEnd;
use pomelostack_lib::session_event::AttemptPlan;
use pomelostack_lib::session_event::EvacuationOrder;
use pomelostack_lib::session_event::SessionAction;
use pomelostack_lib::session_event::SessionEvent;
use pomelostack_lib::session_event::SessionKind;
use pomelostack_lib::session_event::SessionLimits;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::session_checker::FakeCaller;
use crate::session_checker::InjectedBug;
use crate::session_checker::ViolationCounts;
use crate::session_faults::Fault;
use crate::session_faults::draw_faults;

const SERVERS: usize = 5;
const SESSIONS: usize = 6;
const DEADLINE: Timestamp = Timestamp::from_millis(20_000);
const END: Timestamp = Timestamp::from_millis(25_000);
/// Steps of an application call, one each [`TOKEN_TIME`].
const CALL_STEPS: u32 = 25;
const TOKEN_TIME: Duration = Duration::from_millis(30);

#[derive(Clone, Debug)]
enum ScheduledEvent {
    Deliver(usize, SessionEvent),
    Step(u32),
    Cancel(u32),
    Fault(usize, Fault),
}

#[derive(Clone, Copy, Debug)]
struct ServerRun {
    server: usize,
    session: usize,
    attempt: AttemptNumber,
    next: u32,
    silent: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct FakeServer {
    key: ServerKey,
    down: bool,
    gone: bool,
    muted: bool,
    refuses: bool,
}

/// One seeded fault schedule.
pub struct SessionHarness {
    rng: ChaCha8Rng,
    bug: InjectedBug,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    next_id: u64,
    servers: Vec<FakeServer>,
    callers: Vec<FakeCaller>,
    runs: BTreeMap<u32, ServerRun>,
    budget: RetryBudget,
    /// Whether every fault is an announced reclaim.
    announced_only: bool,
}

impl SessionHarness {
    /// Draws a schedule.
    pub fn draw(seed: u64, bug: InjectedBug) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut keys = SlotMap::<ServerKey, ()>::with_key();
        let server = |_| FakeServer { key: keys.insert(()), ..FakeServer::default() };
        let servers = (0..SERVERS).map(server).collect();
        let announced_only = rng.random_bool(0.3);
        let mut harness = Self {
            rng,
            bug,
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_id: 0,
            servers,
            callers: Vec::new(),
            runs: BTreeMap::new(),
            budget: RetryBudget::new(if bug == InjectedBug::NoticesIgnored { 0 } else { 20 }),
            announced_only,
        };
        (0..SESSIONS).for_each(|_| harness.draw_session());
        for planned in draw_faults(&mut harness.rng, SERVERS, announced_only) {
            harness.schedule(planned.delay, ScheduledEvent::Fault(planned.server, planned.fault));
        }
        harness
    }

    fn draw_session(&mut self) {
        let kind = match self.rng.random_range(0..3) {
            0 => SessionKind::NonIdempotentCall,
            1 => SessionKind::IdempotentCall,
            _ => SessionKind::Model { max_tokens: self.rng.random_range(1..100) },
        };
        let limits = SessionLimits {
            first_token: Duration::from_millis(1_000),
            token_gap: Duration::from_millis(500),
            caller_grace: Duration::from_secs(5),
            max_attempts: if self.bug == InjectedBug::NoticesIgnored { 1 } else { 6 },
        };
        self.callers.push(FakeCaller {
            session: RequestSession::new(kind, limits, DEADLINE),
            kind,
            relayed: Vec::new(),
            resumed_at: BTreeMap::new(),
            ends: Vec::new(),
            runs: 0,
            disconnected: self.rng.random_bool(0.15),
        });
        let session = self.callers.len() - 1;
        let delay = Duration::from_millis(self.rng.random_range(0..2_000));
        self.schedule(delay, ScheduledEvent::Deliver(session, SessionEvent::Start));
        if self.callers[session].disconnected {
            let delay = delay + Duration::from_millis(self.rng.random_range(0..2_000));
            self.schedule(
                delay,
                ScheduledEvent::Deliver(session, SessionEvent::CallerDisconnected),
            );
        }
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + delay, self.next_id)));
        self.scheduled.insert(self.next_id, event);
    }

    /// Runs the schedule and counts violations.
    pub fn play(mut self) -> ViolationCounts {
        while self.now < END {
            let queued = self.queue.peek().map_or(END, |Reverse((at, _))| *at);
            let open = (0..SESSIONS).filter(|&n| !self.callers[n].session.is_finished());
            let timer = open.map(|n| (self.callers[n].session.next_timer(), n)).min();
            match timer {
                Some((at, session)) if at < queued => {
                    self.now = at.max(self.now);
                    self.deliver(session, SessionEvent::Timer);
                }
                _ => {
                    self.now = queued;
                    if let Some(Reverse((_, id))) = self.queue.pop() {
                        let event = self.scheduled.remove(&id).unwrap();
                        self.apply(event);
                    }
                }
            }
        }
        ViolationCounts::check(&self.callers, DEADLINE, self.announced_only)
    }

    fn apply(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver(session, event) => self.deliver(session, event),
            ScheduledEvent::Step(run) => self.step(run),
            ScheduledEvent::Cancel(run) => drop(self.runs.remove(&run)),
            ScheduledEvent::Fault(server, fault) => self.apply_fault(server, fault),
        }
    }

    fn deliver(&mut self, session: usize, event: SessionEvent) {
        let event = self.inject_bug(session, event);
        let caller = &mut self.callers[session];
        for action in caller.session.on_event(self.now, event, &mut self.budget) {
            self.perform(session, action);
        }
    }

    fn inject_bug(&self, session: usize, event: SessionEvent) -> SessionEvent {
        let current = self.callers[session].session.last_attempt();
        match (self.bug, event) {
            (
                InjectedBug::LostAsRefused,
                SessionEvent::AttemptFailed { attempt, error: ServerError::Lost(text) },
            ) => SessionEvent::AttemptFailed { attempt, error: ServerError::Refused(text) },
            (InjectedBug::StaleAsCurrent, SessionEvent::Chunk { chunk, .. }) => {
                SessionEvent::Chunk { attempt: current, chunk }
            }
            (InjectedBug::NoticesIgnored, SessionEvent::EvacuationOrdered { .. }) => {
                SessionEvent::CallerReconnected
            }
            (_, event) => event,
        }
    }

    fn perform(&mut self, session: usize, action: SessionAction) {
        match action {
            SessionAction::RequestClaim => {
                let decision = match self.rng.random_range(0..10) {
                    0 => ClaimDecision::Unknown(ResultCode::ClaimUnresolved),
                    1 => ClaimDecision::NotRun(claim_void()),
                    _ => ClaimDecision::Won { fence: None },
                };
                self.reply(session, SessionEvent::ClaimDecided(decision));
            }
            SessionAction::ChooseServer { excluded } => self.choose(session, &excluded),
            SessionAction::StartAttempt(plan) => self.start(session, &plan),
            SessionAction::CancelAttempt { attempt, .. } => {
                let mut runs = self.runs.iter();
                let found = runs.find(|(_, r)| r.session == session && r.attempt == attempt);
                if let Some(&run) = found.map(|(run, _)| run) {
                    // Until the cancellation arrives, the old attempt continues to send output.
                    let delay = Duration::from_millis(self.rng.random_range(1..200));
                    self.schedule(delay, ScheduledEvent::Cancel(run));
                }
            }
            SessionAction::Relay(chunk) => {
                self.callers[session].relayed.push((chunk.offset, chunk.text));
            }
            SessionAction::Finish(end) => self.callers[session].ends.push((self.now, end)),
            SessionAction::RetireConnections(_) | SessionAction::SuspectServer(_) => {}
        }
    }

    fn choose(&mut self, session: usize, excluded: &[ServerKey]) {
        let open = self.servers.iter().filter(|s| !s.gone && !excluded.contains(&s.key));
        let keys: Vec<ServerKey> = open.map(|server| server.key).collect();
        let event = match keys.is_empty() {
            true => SessionEvent::NoServer,
            false => SessionEvent::ServerChosen(keys[self.rng.random_range(0..keys.len())]),
        };
        self.deliver(session, event);
    }

    fn reply(&mut self, session: usize, event: SessionEvent) {
        let delay = Duration::from_millis(self.rng.random_range(1..20));
        self.schedule(delay, ScheduledEvent::Deliver(session, event));
    }

    fn start(&mut self, session: usize, plan: &AttemptPlan) {
        let attempt = plan.attempt;
        self.callers[session].resumed_at.insert(attempt.0, plan.resume_from);
        let server = self.servers.iter().position(|s| s.key == plan.server).unwrap();
        let state = self.servers[server];
        let failed = |error| SessionEvent::AttemptFailed { attempt, error };
        if state.down || state.gone {
            let error = ServerError::NotConnected("down".to_owned());
            return self.reply(session, failed(error));
        }
        if state.refuses {
            return self.reply(session, failed(ServerError::Refused("busy".to_owned())));
        }
        self.callers[session].runs += 1;
        let run = ServerRun { server, session, attempt, next: plan.resume_from, silent: false };
        let id = self.next_id as u32;
        self.runs.insert(id, run);
        if !state.muted {
            self.reply(session, SessionEvent::AttemptAccepted(attempt));
        }
        self.schedule(TOKEN_TIME, ScheduledEvent::Step(id));
    }

    fn step(&mut self, id: u32) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let (run_now, attempt) = (*run, run.attempt);
        run.next += 1;
        let kind = self.callers[run_now.session].kind;
        let event = match kind {
            SessionKind::Model { max_tokens } if run_now.next < max_tokens => {
                let text = format!("{}.{} ", attempt.0, run_now.next);
                let chunk = TokenChunk { offset: run_now.next, text };
                self.schedule(TOKEN_TIME, ScheduledEvent::Step(id));
                SessionEvent::Chunk { attempt, chunk }
            }
            SessionKind::Model { max_tokens } => {
                self.runs.remove(&id);
                let end = GenerateEnd {
                    finish_reason: FinishReason::Length,
                    end_offset: max_tokens,
                    prompt_tokens: 0,
                    cached_tokens: 0,
                    computed_tokens: 0,
                };
                SessionEvent::AttemptEnded { attempt, end: AttemptEnd::Model(end) }
            }
            _ if run_now.next < CALL_STEPS => {
                return self.schedule(TOKEN_TIME, ScheduledEvent::Step(id));
            }
            SessionKind::NonIdempotentCall | SessionKind::IdempotentCall => {
                self.runs.remove(&id);
                let answer = AppResponse { status: 200, headers: Vec::new(), body: Vec::new() };
                SessionEvent::AttemptEnded { attempt, end: AttemptEnd::App(answer) }
            }
        };
        if !run_now.silent && !self.servers[run_now.server].muted {
            // Chunks may overtake each other, but not the end.
            let delay = match event {
                SessionEvent::Chunk { .. } => Duration::from_millis(self.rng.random_range(1..60)),
                _ => Duration::from_millis(100),
            };
            self.schedule(delay, ScheduledEvent::Deliver(run_now.session, event));
        }
    }

    fn apply_fault(&mut self, index: usize, fault: Fault) {
        match fault {
            Fault::Crash => {
                self.servers[index].down = true;
                self.lose_runs(index);
            }
            Fault::Restart => self.servers[index].down = false,
            Fault::CutConnections => {
                let runs = self.runs.values_mut();
                runs.filter(|run| run.server == index).for_each(|run| run.silent = true);
            }
            Fault::Mute => self.servers[index].muted = true,
            Fault::Unmute => self.servers[index].muted = false,
            Fault::Refuse => self.servers[index].refuses = true,
            Fault::Allow => self.servers[index].refuses = false,
            Fault::Notice(left) => {
                self.announce(index);
                self.schedule(left, ScheduledEvent::Fault(index, Fault::Reclaim));
            }
            Fault::Reclaim => {
                self.servers[index].gone = true;
                self.lose_runs(index);
            }
        }
    }

    fn announce(&mut self, index: usize) {
        let server = self.servers[index].key;
        for session in 0..SESSIONS {
            let order = match self.rng.random_range(0..3) {
                0 => EvacuationOrder::FinishInPlace,
                1 => EvacuationOrder::ResumeElsewhere,
                _ => EvacuationOrder::ResumeAt(self.servers[self.rng.random_range(0..SERVERS)].key),
            };
            // Each notice is delivered twice, as notices may be repeated.
            (0..2).for_each(|_| {
                self.reply(session, SessionEvent::EvacuationOrdered { server, order })
            });
        }
    }

    fn lose_runs(&mut self, index: usize) {
        for (_, run) in self.runs.extract_if(.., |_, r| r.server == index).collect::<Vec<_>>() {
            if !run.silent && !self.servers[index].muted {
                let error = ServerError::Lost("server ended".to_owned());
                let event = SessionEvent::AttemptFailed { attempt: run.attempt, error };
                self.reply(run.session, event);
            }
        }
    }
}

fn claim_void() -> NotRunRefusal {
    let proof = NotRunProof::ClaimVoided(LogOffset(1));
    NotRunRefusal::new(ResultCode::ClaimVoided, proof).unwrap()
}
