//! Decides for the requests of one host when their claims are sent, when they are voided instead,
//! and what the outcome of each request is.
//!
//! A timeout or a missing record proves nothing. A request may run only after its claim was read
//! back as the one in force. It is reported as not run only after a void was read back while no
//! claim was in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::claim_checkpoint::checkpoint_records;
use crate::claim_fold::KeyState;
use crate::claim_outcome::ClaimOutcome;
use crate::claim_outcome::ClaimRequest;
use crate::claim_outcome::ClaimToken;
use crate::claim_outcome::not_run;
use crate::claim_outcome::outcome_of_holder;
use crate::claim_outcome::outcome_of_wait;
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
use crate::ids::FencingToken;
use crate::ids::LogOffset;
use crate::not_run::NotRunProof;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Longest wait of a request for its claim.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(MAX_CLAIM_AGE_MS);

/// Largest time before a request's deadline at which its claim is replaced by a void.
const MAX_VOID_LEAD: Duration = Duration::from_secs(1);

/// Divisor of a request's time; the quotient, up to [`MAX_VOID_LEAD`], is left for the void.
const VOID_LEAD_DIVISOR: u32 = 4;

/// Limits and identity of a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterSettings {
    /// This process.
    pub claimant: Claimant,
    /// Time within which a resend is recognised.
    pub key_retention: Duration,
    /// Maximum number of unexpired keys and waiting requests together; at the limit new claims are
    /// refused.
    pub max_keys: usize,
    /// Maximum size of the stored answers in bytes; at the limit new claims are refused.
    pub max_answer_bytes: usize,
    /// Maximum number of waiting requests.
    pub max_pending: usize,
    /// Shortest time between two appends.
    pub append_interval: Duration,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimTicket(pub u64);

/// Input of a [`ClaimWriter`].
#[derive(Debug, PartialEq, Eq)]
pub enum WriterEvent {
    /// A request claims its key, until the deadline given.
    Submit(ClaimTicket, ClaimRequest, Timestamp),
    /// A request waits for the answer of another request's claim, until the deadline given.
    Wait(ClaimTicket, ClaimRequest, Timestamp),
    /// A claimed request ended.
    Complete(ClaimToken, StoredAnswer),
    /// No server ran a claimed request or will run it.
    Release(ClaimToken),
    /// The record in flight was appended.
    Appended,
    /// The append in flight failed.
    AppendFailed(AppendFailure),
    /// The reader folded records.
    Folded(ReadChange),
    /// A checkpoint is due.
    WriteCheckpoint,
    /// Time passed.
    Tick,
}

/// Action that a [`ClaimWriter`] asks of its caller.
#[derive(Debug, PartialEq, Eq)]
pub enum WriterAction {
    /// Append the record, then report [`WriterEvent::Appended`] or [`WriterEvent::AppendFailed`].
    Append(Vec<u8>),
    /// Report the outcome to the request.
    Decide(ClaimTicket, ClaimOutcome),
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingStage {
    /// Its own claim.
    Claiming { nonce: ClaimNonce, basis: LogOffset, void_at: Timestamp },
    /// The void of its own claim.
    Voiding { nonce: ClaimNonce, basis: LogOffset, claim_sent: bool },
    /// The answer of another request's claim.
    Waiting,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: ClaimRequest,
    deadline: Timestamp,
    stage: PendingStage,
}

impl PendingRequest {
    /// Returns when the next timeout of the request is due.
    fn wake(&self) -> Timestamp {
        match self.stage {
            PendingStage::Claiming { void_at, .. } => void_at,
            PendingStage::Voiding { .. } | PendingStage::Waiting => self.deadline,
        }
    }
}

/// Decides the claims of one process.
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

    /// Returns the number of waiting requests.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether nothing waits to be appended or is in flight.
    pub fn is_flushed(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.queue.is_failing()
    }

    /// Sets the time within which a resend is recognised.
    pub fn set_key_retention(&mut self, key_retention: Duration) {
        self.queue.set_retention_ms(retention_ms(key_retention));
    }

    /// Returns when [`WriterEvent::Tick`] is due for a request, or `None` once it is decided.
    pub fn wake_of(&self, ticket: ClaimTicket) -> Option<Timestamp> {
        self.pending.get(&ticket).map(PendingRequest::wake)
    }

    /// Returns when [`WriterEvent::Tick`] is due if no other event comes first.
    pub fn next_wake(&self, reader: &ClaimReader) -> Option<Timestamp> {
        let requests = self.pending.values().map(PendingRequest::wake);
        requests.chain(self.queue.next_wake(reader.can_claim())).min()
    }

    /// Handles one event and returns the actions to take.
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
                actions.extend(self.try_decide(now, ticket, reader));
            }
            WriterEvent::Complete(token, answer) => self.complete(token, answer),
            WriterEvent::Release(token) => self.push_void(token.key, token.nonce),
            WriterEvent::Appended => self.queue.on_appended(now),
            WriterEvent::AppendFailed(failure) => self.queue.on_failed(now, failure),
            WriterEvent::Folded(change) => actions = self.on_folded(now, change, reader),
            WriterEvent::WriteCheckpoint => {
                let parts = checkpoint_records(&self.settings.claimant, reader.fold());
                self.queue.set_checkpoint(parts.unwrap_or_default());
            }
            WriterEvent::Tick => {}
        }
        actions.extend(self.process_deadlines(now));
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
            return Some(WriterAction::Decide(ticket, outcome_of_holder(holder, &request)));
        }
        if self.is_full(reader) {
            let refusal = not_run(ResultCode::QueueFull, NotRunProof::NeverDispatched);
            return Some(WriterAction::Decide(ticket, refusal));
        }
        self.last_nonce += 1;
        let nonce = ClaimNonce(self.last_nonce);
        let basis = reader.position();
        let deadline = deadline.min(now + MAX_CLAIM_WAIT);
        let lead = (deadline.since(now) / VOID_LEAD_DIVISOR).min(MAX_VOID_LEAD);
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
        tickets.into_iter().filter_map(|ticket| self.try_decide(now, ticket, reader)).collect()
    }

    fn tickets(&self, key: ClaimKey) -> Vec<ClaimTicket> {
        let range = (key, ClaimTicket(0))..=(key, ClaimTicket(u64::MAX));
        self.by_key.range(range).map(|(_, ticket)| *ticket).collect()
    }

    /// Decides a waiting request if the state of its key allows it.
    fn try_decide(
        &mut self,
        now: Timestamp,
        ticket: ClaimTicket,
        reader: &ClaimReader,
    ) -> Option<WriterAction> {
        let pending = *self.pending.get(&ticket)?;
        let state = reader.state(pending.request.key);
        let outcome = match pending.stage {
            PendingStage::Waiting => outcome_of_wait(state, &pending.request),
            PendingStage::Claiming { nonce, basis, .. } => {
                self.outcome_of_claim(state, &pending, nonce, basis, now)
            }
            PendingStage::Voiding { nonce, basis, .. } => {
                // The void is already queued, so the claim is not dispatched even if it wins.
                self.outcome_of_claim(state, &pending, nonce, basis, pending.deadline)
            }
        }?;
        self.remove(ticket);
        if let PendingStage::Claiming { nonce, .. } = pending.stage {
            self.queue.cancel_claim(nonce);
        }
        Some(WriterAction::Decide(ticket, outcome))
    }

    fn outcome_of_claim(
        &self,
        state: KeyState,
        pending: &PendingRequest,
        nonce: ClaimNonce,
        basis: LogOffset,
        now: Timestamp,
    ) -> Option<ClaimOutcome> {
        match state {
            KeyState::Held(holder)
                if holder.nonce == nonce && holder.claimant == self.settings.claimant =>
            {
                let token =
                    ClaimToken { key: pending.request.key, nonce, deadline: pending.deadline };
                let fence = FencingToken(holder.offset.0);
                (now < pending.deadline).then_some(ClaimOutcome::Won { fence, token })
            }
            KeyState::Held(holder) => Some(outcome_of_holder(holder, &pending.request)),
            KeyState::Voided(last_void) if last_void >= basis => {
                Some(not_run(ResultCode::ClaimVoided, NotRunProof::ClaimVoided(last_void)))
            }
            KeyState::Voided(_) | KeyState::Unseen | KeyState::Unknown => None,
        }
    }

    /// Voids claims close to their deadline and answers requests past theirs.
    fn process_deadlines(&mut self, now: Timestamp) -> Vec<WriterAction> {
        let tickets: Vec<ClaimTicket> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.wake())
            .map(|(&ticket, _)| ticket)
            .collect();
        tickets.into_iter().filter_map(|ticket| self.on_deadline(now, ticket)).collect()
    }

    fn on_deadline(&mut self, now: Timestamp, ticket: ClaimTicket) -> Option<WriterAction> {
        let pending = self.pending.get_mut(&ticket)?;
        if let PendingStage::Claiming { nonce, basis, .. } = pending.stage {
            let claim_sent = self.queue.cancel_claim(nonce);
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
                // The claim was never sent, and nobody waits for the proof that nothing ran.
                self.queue.cancel_void(nonce);
                ResultCode::ClaimUnresolved
            }
            _ => ResultCode::ClaimUnresolved,
        };
        Some(WriterAction::Decide(ticket, ClaimOutcome::Unknown(code)))
    }

    /// Removes a request that does not wait for its outcome any more; voids its claim if it may
    /// have been sent.
    pub fn abandon(&mut self, ticket: ClaimTicket) {
        let Some(pending) = self.pending.get(&ticket).copied() else { return };
        if let PendingStage::Claiming { nonce, .. } = pending.stage
            && self.queue.cancel_claim(nonce)
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

/// Returns the retention of a key, in milliseconds: the time within which a resend is recognised
/// plus the time that the resend may wait for its own claim.
fn retention_ms(key_retention: Duration) -> u64 {
    let retention_ms =
        u64::try_from((key_retention + MAX_CLAIM_WAIT).as_millis()).unwrap_or(u64::MAX);
    retention_ms.clamp(MIN_KEY_RETENTION_MS, MAX_KEY_RETENTION_MS)
}
