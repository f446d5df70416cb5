//! Handing unfinished requests from a leaving host to a peer.

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
use pomelostack_lib::handover_protocol::LeaverAction;
use pomelostack_lib::handover_protocol::LeaverEvent;
use pomelostack_lib::handover_protocol::LeaverHandover;
use pomelostack_lib::handover_protocol::TakerAction;
use pomelostack_lib::handover_protocol::TakerEvent;
use pomelostack_lib::handover_protocol::TakerHandover;
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
fn any_bytes() {
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
            // A changed byte may still make a state; it must never panic.
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
fn any_message(#[case] body: HandoverBody) {
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

/// An offer inside a message is checked as one on its own.
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
fn fetched_answers() {
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
            // A peer's noise makes no end of an answer.
            let read = from_fetched_answer(FetchedAnswer { state, parts });
            assert!(read.is_none_or(|part| kind == 1 && part.state == AnswerState::Running));
            Ok(())
        })
        .unwrap();
}

/// A code that claims NOT_RUN has no proof here, so it is reported as UNKNOWN.
#[rstest]
#[case::unknown(ResultCode::ServerLost.number(), ResultCode::ServerLost)]
#[case::not_run(ResultCode::NoServer.number(), ResultCode::ClaimantGone)]
#[case::no_code(65_000, ResultCode::ClaimantGone)]
fn foreign_code(#[case] code: u16, #[case] expected: ResultCode) {
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

/// Both sides and the messages between them, which may be lost, repeated and reordered.
struct HandoverRun {
    phase: HandoverPhase,
    leaver: LeaverHandover,
    taker: TakerHandover,
    leaver_up: bool,
    taker_up: bool,
    session_open: bool,
    messages: Vec<Message>,
    offers_sent: u32,
    dispatches: u32,
    taker_kept: bool,
    taker_done: bool,
    results_stored: u32,
    relayed_after_offer: bool,
}

impl HandoverRun {
    fn new(phase: HandoverPhase) -> Self {
        let dispatched = phase != HandoverPhase::NotDispatched;
        Self {
            phase,
            leaver: LeaverHandover::new(phase),
            taker: TakerHandover::new(phase, Timestamp::from_millis(60_000)),
            leaver_up: true,
            taker_up: true,
            session_open: true,
            messages: Vec::new(),
            offers_sent: 0,
            dispatches: u32::from(dispatched),
            taker_kept: false,
            taker_done: false,
            results_stored: 0,
            relayed_after_offer: false,
        }
    }

    fn leaver_event(&mut self, now: Timestamp, event: LeaverEvent) {
        if !self.leaver_up {
            return;
        }
        for action in self.leaver.on_event(now, event) {
            match action {
                LeaverAction::SendOffer => {
                    self.offers_sent += 1;
                    self.messages.push(Message::Offer);
                }
                LeaverAction::SendConfirm => self.messages.push(Message::Confirm),
                LeaverAction::SendResult => self.messages.push(Message::Result),
                LeaverAction::StopSession => self.session_open = false,
                LeaverAction::Freeze | LeaverAction::Unfreeze => {}
            }
        }
    }

    fn taker_event(&mut self, now: Timestamp, event: TakerEvent) {
        if !self.taker_up {
            return;
        }
        for action in self.taker.on_event(now, event) {
            match action {
                TakerAction::Refuse => self.messages.push(Message::Refusal),
                TakerAction::KeepAndAck => {
                    self.taker_kept = true;
                    self.messages.push(Message::Ack);
                }
                TakerAction::StartSession => {
                    self.dispatches += 1;
                    self.taker_done = true;
                }
                TakerAction::StoreResult => {
                    self.results_stored += 1;
                    self.taker_done = true;
                }
                TakerAction::FinishUnknown => self.taker_done = true,
            }
        }
    }

    fn deliver(&mut self, now: Timestamp, message: Message, has_room: bool) {
        match message {
            Message::Offer => self.taker_event(now, TakerEvent::Offered { has_room }),
            Message::Ack => self.leaver_event(now, LeaverEvent::Acked),
            Message::Refusal => self.leaver_event(now, LeaverEvent::Refused),
            Message::Confirm => self.taker_event(now, TakerEvent::Confirmed),
            Message::Result => self.taker_event(now, TakerEvent::ResultArrived),
        }
    }

    /// The leaver's own session goes on: dispatches what was not, then ends.
    fn session_step(&mut self, now: Timestamp) {
        if !self.leaver_up || !self.session_open {
            return;
        }
        // What the session did before the offer has shaped the phase already.
        if self.leaver.may_act() && self.offers_sent > 0 {
            self.relayed_after_offer |= self.taker_kept;
            self.dispatches += u32::from(self.dispatches == 0);
            return;
        }
        if self.phase == HandoverPhase::InFlight && self.offers_sent > 0 {
            self.session_open = false;
            self.leaver_event(now, LeaverEvent::SessionEnded);
        }
    }

    fn step(&mut self, now: Timestamp, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..20) {
            0 => self.leaver_event(now, LeaverEvent::Leave),
            1 if rng.random_bool(0.2) => self.leaver_up = false,
            2 if rng.random_bool(0.1) => self.taker_up = false,
            3 => self.session_step(now),
            4 if !self.leaver_up => self.taker_event(now, TakerEvent::LeaverGone),
            5 => self.leaver_event(now, LeaverEvent::Timer),
            6 => self.taker_event(now, TakerEvent::Timer),
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
fn any_order(#[case] phase: HandoverPhase) {
    let (mut taken, mut unknown) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut run = HandoverRun::new(phase);
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
        // What a live taker has kept comes to an end once the leaver is known to be gone.
        run.taker_event(now, TakerEvent::LeaverGone);
        assert_eq!(run.taker_up && run.taker_kept, run.taker_up && run.taker_done, "seed {seed}");
        taken += u32::from(run.taker_done);
        unknown += u32::from(run.taker_done && run.results_stored == 0);
    }
    assert!(taken > 500, "{taken}");
    assert!(phase != HandoverPhase::InFlight || unknown < taken, "{unknown} of {taken}");
}
