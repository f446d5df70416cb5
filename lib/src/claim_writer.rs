//! Decides for the requests of one host: when their claims are sent, when they are voided instead,
//! and what each request is told.
//!
//! The writer never concludes anything from time or from a missing record. A request is told that
//! it may run only after its claim was read back as the one in force, and that it did not run only
//! after a void was read back while no claim was in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::claim_checkpoint::cut_checkpoint;
use crate::claim_fold::KeyState;
use crate::claim_queue::AppendFailure;
use crate::claim_queue::BatchHeader;
use crate::claim_queue::ClaimQueue;
use crate::claim_reader::ClaimReader;
use crate::claim_reader::ReadChange;
use crate::claim_record::ClaimEntry;
use crate::claim_record::ClaimKey;
use crate::claim_record::ClaimNonce;
use crate::claim_record::ClaimStatement;
use crate::claim_record::Claimant;
use crate::claim_record::MAX_CLAIM_AGE_MS;
use crate::claim_record::MAX_KEY_RETENTION_MS;
use crate::claim_record::MIN_KEY_RETENTION_MS;
use crate::claim_record::StoredAnswer;
use crate::claim_verdict::ClaimRequest;
use crate::claim_verdict::ClaimToken;
use crate::claim_verdict::ClaimVerdict;
use crate::claim_verdict::judge_wait;
use crate::claim_verdict::not_run;
use crate::claim_verdict::verdict_of_holder;
use crate::ids::FencingToken;
use crate::ids::LogOffset;
use crate::not_run::NotRunProof;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Longest wait of a request for its claim.
const MAX_HOLD: Duration = Duration::from_millis(MAX_CLAIM_AGE_MS);

/// Longest time before the deadline at which a claim is given up for a void.
const MAX_VOID_LEAD: Duration = Duration::from_secs(1);

/// The claim is given up after this many parts of four of its time.
const VOID_LEAD_PARTS: u32 = 4;

/// Bounds and identity of a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterSettings {
    /// This process.
    pub claimant: Claimant,
    /// Time for which a resend is recognised.
    pub key_retention: Duration,
    /// Keys remembered at most; above it new claims are refused.
    pub max_keys: usize,
    /// Bytes of kept answers at most; above it new claims are refused.
    pub max_answer_bytes: usize,
    /// Requests that wait at most.
    pub max_pending: usize,
    /// Time between two appends at least.
    pub append_interval: Duration,
}

/// Handle of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimTicket(pub u64);

/// What happened.
#[derive(Debug, PartialEq, Eq)]
pub enum WriterEvent {
    /// A request asks for its claim.
    Submit(ClaimTicket, ClaimRequest, Timestamp),
    /// A request waits for the answer of a claim of another request, until the time given.
    Wait(ClaimTicket, ClaimRequest, Timestamp),
    /// A claimed request ended.
    Complete(ClaimToken, StoredAnswer),
    /// A claimed request was not dispatched and will not be.
    Release(ClaimToken),
    /// The record under way was appended.
    Appended,
    /// The append of the record under way failed.
    AppendFailed(AppendFailure),
    /// The reader folded records.
    Folded(ReadChange),
    /// A checkpoint is due.
    WriteCheckpoint,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, PartialEq, Eq)]
pub enum WriterAction {
    /// Append the record, then report [`WriterEvent::Appended`] or [`WriterEvent::AppendFailed`].
    Append(Vec<u8>),
    /// Tell the request.
    Decide(ClaimTicket, ClaimVerdict),
}

/// What a waiting request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingStage {
    /// Its own claim.
    Claiming { nonce: ClaimNonce, basis: LogOffset, void_at: Timestamp },
    /// The void of its own claim.
    Voiding { nonce: ClaimNonce, basis: LogOffset, claim_sent: bool },
    /// The answer of a claim of another request.
    Waiting,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: ClaimRequest,
    deadline: Timestamp,
    stage: PendingStage,
}

impl PendingRequest {
    /// Returns when time alone decides something.
    fn wake(&self) -> Timestamp {
        match self.stage {
            PendingStage::Claiming { void_at, .. } => void_at,
            PendingStage::Voiding { .. } | PendingStage::Waiting => self.deadline,
        }
    }
}

/// Claims of one process.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    settings: WriterSettings,
    queue: ClaimQueue,
    pending: BTreeMap<ClaimTicket, PendingRequest>,
    by_key: BTreeSet<(ClaimKey, ClaimTicket)>,
    last_nonce: u64,
}

impl ClaimWriter {
    /// Builds a writer without requests.
    pub fn new(settings: WriterSettings) -> Self {
        let header = BatchHeader {
            claimant: settings.claimant.clone(),
            retention_ms: retention_ms(settings.key_retention),
        };
        let queue = ClaimQueue::new(header, settings.append_interval);
        let (pending, by_key) = Default::default();
        Self { settings, queue, pending, by_key, last_nonce: 0 }
    }

    /// Returns the requests that wait.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether nothing waits to be appended.
    pub fn is_flushed(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.queue.is_failing()
    }

    /// Sets the time for which keys are remembered.
    pub fn set_key_retention(&mut self, key_retention: Duration) {
        self.queue.set_retention_ms(retention_ms(key_retention));
    }

    /// Returns when [`WriterEvent::Tick`] is due for a request, or `None` once it is decided.
    pub fn wake_of(&self, ticket: ClaimTicket) -> Option<Timestamp> {
        self.pending.get(&ticket).map(PendingRequest::wake)
    }

    /// Returns when [`WriterEvent::Tick`] is due, if nothing else happens before.
    pub fn next_wake(&self, reader: &ClaimReader) -> Option<Timestamp> {
        let requests = self.pending.values().map(PendingRequest::wake);
        requests.chain(self.queue.next_wake(reader.can_claim())).min()
    }

    /// Takes one event and returns what to do.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        event: WriterEvent,
        reader: &ClaimReader,
    ) -> Vec<WriterAction> {
        let mut actions = Vec::new();
        match event {
            WriterEvent::Submit(ticket, request, deadline) => {
                actions.extend(self.submit(now, ticket, request, deadline, reader));
            }
            WriterEvent::Wait(ticket, request, deadline) => {
                let pending = PendingRequest { request, deadline, stage: PendingStage::Waiting };
                self.insert(ticket, pending);
                actions.extend(self.judge(now, ticket, reader));
            }
            WriterEvent::Complete(token, answer) => self.complete(token, answer),
            WriterEvent::Release(token) => self.push_void(token.key, token.nonce),
            WriterEvent::Appended => self.queue.on_appended(now),
            WriterEvent::AppendFailed(failure) => self.queue.on_failed(now, failure),
            WriterEvent::Folded(change) => actions = self.on_folded(now, change, reader),
            WriterEvent::WriteCheckpoint => {
                let parts = cut_checkpoint(&self.settings.claimant, reader.fold());
                self.queue.set_checkpoint(parts.unwrap_or_default());
            }
            WriterEvent::Tick => {}
        }
        actions.extend(self.check_time(now));
        let record = self.queue.next_record(now, reader.status());
        actions.extend(record.map(WriterAction::Append));
        actions
    }

    fn submit(
        &mut self,
        now: Timestamp,
        ticket: ClaimTicket,
        request: ClaimRequest,
        deadline: Timestamp,
        reader: &ClaimReader,
    ) -> Option<WriterAction> {
        let state = reader.state(request.key);
        if let KeyState::Held(holder) = state {
            return Some(WriterAction::Decide(ticket, verdict_of_holder(holder, &request)));
        }
        if self.is_full(reader) {
            let refusal = not_run(ResultCode::QueueFull, NotRunProof::NeverDispatched);
            return Some(WriterAction::Decide(ticket, refusal));
        }
        self.last_nonce += 1;
        let nonce = ClaimNonce(self.last_nonce);
        let basis = reader.position();
        let deadline = deadline.min(now + MAX_HOLD);
        let lead = (deadline.since(now) / VOID_LEAD_PARTS).min(MAX_VOID_LEAD);
        let stage = PendingStage::Claiming { nonce, basis, void_at: deadline - lead };
        self.insert(ticket, PendingRequest { request, deadline, stage });
        let statement = ClaimStatement::Claim { fingerprint: request.fingerprint, basis };
        self.queue.push(ClaimEntry { key: request.key, nonce, statement });
        None
    }

    fn is_full(&self, reader: &ClaimReader) -> bool {
        let usage = reader.usage();
        usage.keys + self.pending.len() >= self.settings.max_keys
            || usage.answer_bytes >= self.settings.max_answer_bytes
            || self.pending.len() >= self.settings.max_pending
    }

    fn complete(&mut self, token: ClaimToken, answer: StoredAnswer) {
        let kept = match answer.fits_log() {
            true => answer,
            false => StoredAnswer::Failed(ResultCode::AnswerExpired),
        };
        let statement = ClaimStatement::Completion(kept);
        self.queue.push(ClaimEntry { key: token.key, nonce: token.nonce, statement });
    }

    fn push_void(&mut self, key: ClaimKey, nonce: ClaimNonce) {
        self.queue.push(ClaimEntry { key, nonce, statement: ClaimStatement::Void });
    }

    fn on_folded(
        &mut self,
        now: Timestamp,
        change: ReadChange,
        reader: &ClaimReader,
    ) -> Vec<WriterAction> {
        self.queue.on_landed(now, reader.own_sequence());
        let tickets: Vec<ClaimTicket> = match change {
            ReadChange::Everything => self.pending.keys().copied().collect(),
            ReadChange::Keys(keys) => keys.into_iter().flat_map(|key| self.tickets(key)).collect(),
        };
        tickets.into_iter().filter_map(|ticket| self.judge(now, ticket, reader)).collect()
    }

    fn tickets(&self, key: ClaimKey) -> Vec<ClaimTicket> {
        let range = (key, ClaimTicket(0))..=(key, ClaimTicket(u64::MAX));
        self.by_key.range(range).map(|(_, ticket)| *ticket).collect()
    }

    /// Decides a waiting request if the state of its key allows it.
    fn judge(
        &mut self,
        now: Timestamp,
        ticket: ClaimTicket,
        reader: &ClaimReader,
    ) -> Option<WriterAction> {
        let pending = *self.pending.get(&ticket)?;
        let state = reader.state(pending.request.key);
        let verdict = match pending.stage {
            PendingStage::Waiting => judge_wait(state, &pending.request),
            PendingStage::Claiming { nonce, basis, .. } => {
                self.judge_claim(state, &pending, nonce, basis, now)
            }
            PendingStage::Voiding { nonce, basis, .. } => {
                // Past the point of no return: the claim is never dispatched, even if it won.
                self.judge_claim(state, &pending, nonce, basis, pending.deadline)
            }
        }?;
        self.remove(ticket);
        if let PendingStage::Claiming { nonce, .. } = pending.stage {
            self.queue.withdraw_claim(nonce);
        }
        Some(WriterAction::Decide(ticket, verdict))
    }

    fn judge_claim(
        &self,
        state: KeyState,
        pending: &PendingRequest,
        nonce: ClaimNonce,
        basis: LogOffset,
        now: Timestamp,
    ) -> Option<ClaimVerdict> {
        match state {
            KeyState::Held(holder)
                if holder.nonce == nonce && holder.claimant == self.settings.claimant =>
            {
                let token =
                    ClaimToken { key: pending.request.key, nonce, deadline: pending.deadline };
                let fence = FencingToken(holder.offset.0);
                (now < pending.deadline).then_some(ClaimVerdict::Won { fence, token })
            }
            KeyState::Held(holder) => Some(verdict_of_holder(holder, &pending.request)),
            KeyState::Free(floor) if floor >= basis => {
                Some(not_run(ResultCode::ClaimVoided, NotRunProof::ClaimVoided(floor)))
            }
            KeyState::Free(_) | KeyState::Fresh | KeyState::Doubtful => None,
        }
    }

    /// Gives up claims near their deadline and answers requests past it.
    fn check_time(&mut self, now: Timestamp) -> Vec<WriterAction> {
        let tickets: Vec<ClaimTicket> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.wake())
            .map(|(&ticket, _)| ticket)
            .collect();
        tickets.into_iter().filter_map(|ticket| self.on_due(now, ticket)).collect()
    }

    fn on_due(&mut self, now: Timestamp, ticket: ClaimTicket) -> Option<WriterAction> {
        let pending = self.pending.get_mut(&ticket)?;
        if let PendingStage::Claiming { nonce, basis, .. } = pending.stage {
            let claim_sent = self.queue.withdraw_claim(nonce);
            pending.stage = PendingStage::Voiding { nonce, basis, claim_sent };
            let key = pending.request.key;
            self.push_void(key, nonce);
        }
        let pending = *self.pending.get(&ticket)?;
        if now < pending.deadline {
            return None;
        }
        self.remove(ticket);
        let code = match pending.stage {
            PendingStage::Waiting => ResultCode::StillRunning,
            PendingStage::Voiding { nonce, claim_sent: false, .. } => {
                // The void would only have proved that nothing ran; nobody asks any more.
                self.queue.withdraw_void(nonce);
                ResultCode::ClaimUnresolved
            }
            _ => ResultCode::ClaimUnresolved,
        };
        Some(WriterAction::Decide(ticket, ClaimVerdict::Unknown(code)))
    }

    /// Forgets a request that will not be told anything; its claim is voided.
    pub fn abandon(&mut self, ticket: ClaimTicket) {
        let Some(pending) = self.pending.get(&ticket).copied() else { return };
        if let PendingStage::Claiming { nonce, .. } = pending.stage
            && self.queue.withdraw_claim(nonce)
        {
            self.push_void(pending.request.key, nonce);
        }
        self.remove(ticket);
    }

    fn insert(&mut self, ticket: ClaimTicket, pending: PendingRequest) {
        self.by_key.insert((pending.request.key, ticket));
        self.pending.insert(ticket, pending);
    }

    fn remove(&mut self, ticket: ClaimTicket) {
        if let Some(pending) = self.pending.remove(&ticket) {
            self.by_key.remove(&(pending.request.key, ticket));
        }
    }
}

/// Returns the time to remember a key: a resend that arrives within the key retention may then be
/// held for its own claim.
fn retention_ms(key_retention: Duration) -> u64 {
    let retention_ms = u64::try_from((key_retention + MAX_HOLD).as_millis()).unwrap_or(u64::MAX);
    retention_ms.clamp(MIN_KEY_RETENTION_MS, MAX_KEY_RETENTION_MS)
}
