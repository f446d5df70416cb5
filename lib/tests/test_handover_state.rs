//! Encoding of handover state and messages, and the state machines of both hosts.
//!
//! Guards against decoders that panic or accept inconsistent input. Also guards against requests
//! that never end, and non-repeatable ones that are dispatched twice, when messages are lost,
//! duplicated or reordered or a host fails.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::answer_finder::from_fetched_answer;
use pomelostack_lib::answer_finder::to_fetched_answer;
use pomelostack_lib::answer_table::AnswerPart;
use pomelostack_lib::answer_table::AnswerState;
use pomelostack_lib::engine::RequestPriority;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::handover::HANDOVER_VERSION;
use pomelostack_lib::handover::HandoverEnd;
use pomelostack_lib::handover::HandoverPhase;
use pomelostack_lib::handover::HandoverResult;
use pomelostack_lib::handover::HandoverWork;
use pomelostack_lib::handover::MAX_HANDOVER_BYTES;
use pomelostack_lib::handover::UnfinishedRequest;
use pomelostack_lib::handover_message::HandoverBody;
use pomelostack_lib::handover_message::HandoverMessage;
use pomelostack_lib::handover_protocol::ReceiverAction;
use pomelostack_lib::handover_protocol::ReceiverEvent;
use pomelostack_lib::handover_protocol::ReceiverProtocol;
use pomelostack_lib::handover_protocol::SenderAction;
use pomelostack_lib::handover_protocol::SenderEvent;
use pomelostack_lib::handover_protocol::SenderProtocol;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::peer_link;
use pomelostack_lib::peer_link::FetchedAnswer;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::timestamp::Timestamp;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn state() -> UnfinishedRequest {
    UnfinishedRequest {
        version: HANDOVER_VERSION,
        id: RequestId { origin: 3, sequence: 4 },
        team: TeamName::try_from("clubs").unwrap(),
        service: ServiceName::try_from("briefing").unwrap(),
        work: HandoverWork::Model { prompt: "a b".to_owned(), max_tokens: 9 },
        idempotency_key: None,
        idempotent: true,
        left_ms: 5_000,
        priority: RequestPriority(3),
        tokens: vec!["one ".to_owned(), "two ".to_owned()],
        last_attempt: AttemptNumber(1),
        claimed: false,
        fence: None,
        phase: HandoverPhase::Repeatable,
    }
}

#[test]
fn round_trip() {
    let state = state();
    assert_eq!(UnfinishedRequest::decode(&state.encode().unwrap()).unwrap(), state);
}

#[rstest]
#[case::phase(|s: &mut UnfinishedRequest| s.phase = HandoverPhase::InFlight, 601)]
#[case::model(|s: &mut UnfinishedRequest| s.idempotent = false, 601)]
#[case::tokens(|s: &mut UnfinishedRequest| s.tokens = vec![String::new(); 10], 601)]
#[case::deadline(|s: &mut UnfinishedRequest| s.left_ms = u64::MAX, 601)]
#[case::version(|s: &mut UnfinishedRequest| s.version = 2, 600)]
fn bad_state(#[case] change: fn(&mut UnfinishedRequest), #[case] code: u16) {
    let mut state = state();
    change(&mut state);
    let error = UnfinishedRequest::decode(&state.encode().unwrap()).unwrap_err();
    assert_eq!(error.code().number(), code);
}

#[test]
fn large_state() {
    let bytes = vec![b'{'; MAX_HANDOVER_BYTES + 1];
    assert_eq!(UnfinishedRequest::decode(&bytes).unwrap_err().code().number(), 602);
    let work = HandoverWork::Model { prompt: "x".repeat(MAX_HANDOVER_BYTES), max_tokens: 9 };
    let large = UnfinishedRequest { work, ..state() };
    assert_eq!(large.encode().unwrap_err().code().number(), 602);
}

#[test]
fn state_decoder() {
    let whole = state().encode().unwrap();
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let inputs = (vec(any::<u8>(), 0..200), 0..whole.len(), any::<u8>());
    runner
        .run(&inputs, |(noise, at, byte)| {
            assert!(UnfinishedRequest::decode(&noise).is_err());
            assert!(HandoverResult::decode(&noise).is_err());
            assert!(UnfinishedRequest::decode(&whole[..at]).is_err());
            let mut changed = whole.clone();
            changed[at] = byte;
            // A changed byte may still give a valid state, but must never cause a panic.
            if let Err(error) = UnfinishedRequest::decode(&changed) {
                assert!((600..=602).contains(&error.code().number()));
            }
            Ok(())
        })
        .unwrap();
}

fn result(code: u16) -> HandoverResult {
    let end = HandoverEnd::Unknown { code };
    HandoverResult { version: HANDOVER_VERSION, id: state().id, end }
}

#[rstest]
#[case::offer(HandoverBody::Offer(Box::new(state())))]
#[case::confirm(HandoverBody::Confirm)]
#[case::result(HandoverBody::Result(result(301)))]
fn message_decoder(#[case] body: HandoverBody) {
    let message = HandoverMessage::new(HostId::try_from("entry-1").unwrap(), body);
    let whole = message.encode().unwrap();
    assert_eq!(HandoverMessage::decode(&whole).unwrap(), message);
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let inputs = (vec(any::<u8>(), 0..200), 0..whole.len(), any::<u8>());
    runner
        .run(&inputs, |(noise, at, byte)| {
            assert!(HandoverMessage::decode(&noise).is_err());
            assert!(HandoverMessage::decode(&whole[..at]).is_err());
            let mut changed = whole.clone();
            changed[at] = byte;
            match HandoverMessage::decode(&changed) {
                Ok(read) => assert_eq!(HandoverMessage::decode(&read.encode().unwrap()), Ok(read)),
                Err(error) => assert!((600..=602).contains(&error.code().number())),
            }
            Ok(())
        })
        .unwrap();
}

/// An offer inside a message is checked like a state on its own.
#[rstest]
#[case::phase(|s: &mut UnfinishedRequest| s.phase = HandoverPhase::InFlight)]
#[case::tokens(|s: &mut UnfinishedRequest| s.tokens = vec![String::new(); 10])]
#[case::deadline(|s: &mut UnfinishedRequest| s.left_ms = u64::MAX)]
#[case::version(|s: &mut UnfinishedRequest| s.version = 2)]
fn bad_offer(#[case] change: fn(&mut UnfinishedRequest)) {
    let mut state = state();
    change(&mut state);
    let offer = HandoverBody::Offer(Box::new(state));
    let message = HandoverMessage::new(HostId::try_from("entry-1").unwrap(), offer);
    assert!(HandoverMessage::decode(&message.encode().unwrap()).is_err());
}

#[test]
fn fetched_answer_decoder() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let parts = vec((any::<bool>(), any::<u32>(), vec(any::<u8>(), 0..40)), 0..6);
    let inputs = (vec(".{0,9}", 0..6), any::<bool>(), parts, 0..3_u8);
    let id = state().id;
    runner
        .run(&inputs, |(texts, finished, noise, kind)| {
            let chunks = texts.into_iter().zip(3..);
            let chunks = chunks.map(|(text, offset)| TokenChunk { offset, text }).collect();
            let end = SessionEnd::Unknown { code: ResultCode::ServerLost, retry_after: None };
            let state = if finished { AnswerState::Finished(end) } else { AnswerState::Running };
            let part = AnswerPart { chunks, state };
            let sent = to_fetched_answer(id, Some(part.clone()));
            assert_eq!(from_fetched_answer(sent), Some(part));
            let state = match kind {
                0 => peer_link::AnswerState::Unknown,
                1 => peer_link::AnswerState::Running,
                _ => peer_link::AnswerState::Complete(ResultCode::Complete),
            };
            let part = |(last, offset, data): (bool, u32, Vec<u8>)| peer_link::AnswerPart {
                offset: if last { u32::MAX } else { offset },
                data,
            };
            let parts = noise.into_iter().map(part).collect();
            // Random bytes from a peer are never read as the end of an answer.
            let read = from_fetched_answer(FetchedAnswer { state, parts });
            assert!(read.is_none_or(|part| kind == 1 && part.state == AnswerState::Running));
            Ok(())
        })
        .unwrap();
}

/// A forwarded code that claims NOT_RUN has no proof on this host, so it is reported as UNKNOWN.
#[rstest]
#[case::unknown(ResultCode::ServerLost.number(), ResultCode::ServerLost)]
#[case::not_run(ResultCode::NoServer.number(), ResultCode::ClaimantGone)]
#[case::no_code(65_000, ResultCode::ClaimantGone)]
fn forwarded_code(#[case] code: u16, #[case] expected: ResultCode) {
    assert_eq!(SessionEnd::from(HandoverEnd::Unknown { code }).code(), expected);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Message {
    Offer,
    Ack,
    Refusal,
    Confirm,
    Result,
}

/// Both hosts and the messages between them, which may be lost, duplicated and reordered.
struct HandoverSimulation {
    phase: HandoverPhase,
    sender: SenderProtocol,
    receiver: ReceiverProtocol,
    sender_up: bool,
    receiver_up: bool,
    session_open: bool,
    messages: Vec<Message>,
    offers_sent: u32,
    dispatches: u32,
    receiver_stored: bool,
    receiver_done: bool,
    results_stored: u32,
    relayed_after_offer: bool,
}

impl HandoverSimulation {
    fn new(phase: HandoverPhase) -> Self {
        let dispatched = phase != HandoverPhase::NotDispatched;
        Self {
            phase,
            sender: SenderProtocol::new(phase),
            receiver: ReceiverProtocol::new(phase, Timestamp::from_millis(60_000)),
            sender_up: true,
            receiver_up: true,
            session_open: true,
            messages: Vec::new(),
            offers_sent: 0,
            dispatches: u32::from(dispatched),
            receiver_stored: false,
            receiver_done: false,
            results_stored: 0,
            relayed_after_offer: false,
        }
    }

    fn sender_event(&mut self, now: Timestamp, event: SenderEvent) {
        if !self.sender_up {
            return;
        }
        for action in self.sender.on_event(now, event) {
            match action {
                SenderAction::SendOffer => {
                    self.offers_sent += 1;
                    self.messages.push(Message::Offer);
                }
                SenderAction::SendConfirm => self.messages.push(Message::Confirm),
                SenderAction::SendResult => self.messages.push(Message::Result),
                SenderAction::StopSession => self.session_open = false,
                SenderAction::Pause | SenderAction::Resume => {}
            }
        }
    }

    fn receiver_event(&mut self, now: Timestamp, event: ReceiverEvent) {
        if !self.receiver_up {
            return;
        }
        for action in self.receiver.on_event(now, event) {
            match action {
                ReceiverAction::Refuse => self.messages.push(Message::Refusal),
                ReceiverAction::StoreAndAck => {
                    self.receiver_stored = true;
                    self.messages.push(Message::Ack);
                }
                ReceiverAction::StartSession => {
                    self.dispatches += 1;
                    self.receiver_done = true;
                }
                ReceiverAction::StoreResult => {
                    self.results_stored += 1;
                    self.receiver_done = true;
                }
                ReceiverAction::FinishUnknown => self.receiver_done = true,
            }
        }
    }

    fn deliver(&mut self, now: Timestamp, message: Message, has_capacity: bool) {
        match message {
            Message::Offer => self.receiver_event(now, ReceiverEvent::Offered { has_capacity }),
            Message::Ack => self.sender_event(now, SenderEvent::Acked),
            Message::Refusal => self.sender_event(now, SenderEvent::Refused),
            Message::Confirm => self.receiver_event(now, ReceiverEvent::Confirmed),
            Message::Result => self.receiver_event(now, ReceiverEvent::ResultArrived),
        }
    }

    /// Advances the sender's own session: it dispatches work that was not dispatched, then ends.
    fn session_step(&mut self, now: Timestamp) {
        if !self.sender_up || !self.session_open {
            return;
        }
        // The phase already reflects what the session did before the offer.
        if self.sender.may_act() && self.offers_sent > 0 {
            self.relayed_after_offer |= self.receiver_stored;
            self.dispatches += u32::from(self.dispatches == 0);
            return;
        }
        if self.phase == HandoverPhase::InFlight && self.offers_sent > 0 {
            self.session_open = false;
            self.sender_event(now, SenderEvent::SessionEnded);
        }
    }

    fn step(&mut self, now: Timestamp, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..20) {
            0 => self.sender_event(now, SenderEvent::Leave),
            1 if rng.random_bool(0.2) => self.sender_up = false,
            2 if rng.random_bool(0.1) => self.receiver_up = false,
            3 => self.session_step(now),
            4 if !self.sender_up => self.receiver_event(now, ReceiverEvent::SenderGone),
            5 => self.sender_event(now, SenderEvent::Timer),
            6 => self.receiver_event(now, ReceiverEvent::Timer),
            7 if !self.messages.is_empty() => {
                let lost = rng.random_range(0..self.messages.len());
                self.messages.remove(lost);
            }
            8..=9 => {
                if let Some(&message) = self.messages.choose(rng) {
                    self.deliver(now, message, rng.random_bool(0.8));
                }
            }
            _ if !self.messages.is_empty() => {
                let index = rng.random_range(0..self.messages.len());
                let message = self.messages.remove(index);
                self.deliver(now, message, rng.random_bool(0.8));
            }
            _ => {}
        }
    }
}

#[rstest]
#[case::not_dispatched(HandoverPhase::NotDispatched)]
#[case::repeatable(HandoverPhase::Repeatable)]
#[case::in_flight(HandoverPhase::InFlight)]
fn random_schedules(#[case] phase: HandoverPhase) {
    let (mut ended, mut unknown) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut run = HandoverSimulation::new(phase);
        let mut now = Timestamp::default();
        for _ in 0..200 {
            run.step(now, &mut rng);
            now = now + Duration::from_millis(rng.random_range(1..100));
        }
        assert!(!run.relayed_after_offer, "seed {seed}");
        if phase != HandoverPhase::Repeatable {
            assert!(run.dispatches <= 1, "seed {seed}: {}", run.dispatches);
        }
        assert!(run.results_stored <= 1, "seed {seed}");
        // A live receiver ends each request that it stored once the sender is known to be gone.
        run.receiver_event(now, ReceiverEvent::SenderGone);
        assert_eq!(
            run.receiver_up && run.receiver_stored,
            run.receiver_up && run.receiver_done,
            "seed {seed}"
        );
        ended += u32::from(run.receiver_done);
        unknown += u32::from(run.receiver_done && run.results_stored == 0);
    }
    assert!(ended > 500, "{ended}");
    assert!(phase != HandoverPhase::InFlight || unknown < ended, "{unknown} of {ended}");
}
