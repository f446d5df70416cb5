//! The session driver with scripted servers: complete requests on real threads.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pomelostack_lib::evacuation::EvacuationChoice;
use pomelostack_lib::evacuation::EvacuationRates;
use pomelostack_lib::evacuation::EvacuationServer;
use pomelostack_lib::evacuation_runner::EvacuationRunner;
use pomelostack_lib::handover::UnfinishedRequest;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::session_claim::ClaimDecision;
use pomelostack_lib::session_driver::SessionDriver;
use pomelostack_lib::session_event::SessionEvent;
use pomelostack_lib::session_registry::DriverMessage;
use pomelostack_lib::session_request::CheckedRequest;
use pomelostack_lib::session_request::SessionEnd;
use rstest::rstest;
use testutils::driver_fixture::DriverFixture;
use testutils::driver_fixture::MAX_TOKENS;
use testutils::driver_fixture::REQUEST;
use testutils::driver_fixture::RecordingSink;
use testutils::driver_fixture::full_text;
use testutils::driver_fixture::service;
use testutils::scripted_servers::AttemptScript;
use testutils::scripted_servers::scripted_token;

const HELD_TOKENS: u32 = 4;
const LONG: Duration = Duration::from_secs(60);

#[rstest]
#[case::no_fault(&[])]
#[case::lost(&[AttemptScript::LostAfter(5)])]
#[case::refused(&[AttemptScript::Refused])]
#[case::not_connected(&[AttemptScript::NotConnected])]
#[case::silent_once(&[AttemptScript::TimeOutAfter(3)])]
#[case::silent_twice(&[AttemptScript::TimeOutAfter(3), AttemptScript::TimeOutAfter(0)])]
#[case::wrong_end(&[AttemptScript::WrongEnd])]
fn whole_answer(#[case] scripts: &[AttemptScript]) {
    let fixture = DriverFixture::new(2);
    for script in scripts {
        fixture.servers.script(fixture.addresses[0], script.clone());
    }
    let sink = fixture.run(fixture.model_request());
    assert_eq!(sink.ends[0].code(), ResultCode::Complete);
    assert_eq!(sink.text, full_text());
    let kept = fixture.ports.answers.read_from(REQUEST, 4).unwrap();
    let kept: String = kept.chunks.into_iter().map(|chunk| chunk.text).collect();
    assert_eq!(kept, (4..MAX_TOKENS).map(scripted_token).collect::<String>());
}

#[test]
fn resumed_offset() {
    let fixture = DriverFixture::new(2);
    fixture.servers.script(fixture.addresses[0], AttemptScript::LostAfter(5));
    fixture.run(fixture.model_request());
    let resumed: Vec<u32> = fixture.servers.journal().iter().map(|line| line.resume_from).collect();
    assert_eq!(resumed, [0, 5]);
}

#[test]
fn silent_probe() {
    let fixture = DriverFixture::new(2);
    fixture.servers.script(fixture.addresses[0], AttemptScript::TimeOutAfter(3));
    fixture.run(fixture.model_request());
    let addresses: Vec<SocketAddr> = fixture.servers.journal().iter().map(|l| l.address).collect();
    assert_eq!(addresses, [fixture.addresses[0], fixture.addresses[0]]);
    assert!(fixture.servers.retired().contains(&fixture.addresses[0]));
}

#[rstest]
#[case::whole(AttemptScript::Whole, ResultCode::Complete, 1)]
#[case::lost(AttemptScript::LostAfter(0), ResultCode::ServerLost, 1)]
#[case::malformed(AttemptScript::WrongEnd, ResultCode::BadServerAnswer, 1)]
#[case::refused(AttemptScript::Refused, ResultCode::Complete, 1)]
#[case::not_connected(AttemptScript::NotConnected, ResultCode::Complete, 1)]
fn at_most_once(#[case] script: AttemptScript, #[case] code: ResultCode, #[case] runs: usize) {
    let fixture = DriverFixture::new(2);
    fixture.servers.script(fixture.addresses[0], script);
    let sink = fixture.run(fixture.non_idempotent_request());
    assert_eq!(sink.ends[0].code(), code);
    assert_eq!(fixture.servers.journal().len(), runs);
    let completed = u32::from(code == ResultCode::Complete);
    assert_eq!(*fixture.claims.completed.lock().unwrap(), completed);
}

#[test]
fn refused_everywhere() {
    let fixture = DriverFixture::new(2);
    for address in &fixture.addresses {
        fixture.servers.script(*address, AttemptScript::Refused);
    }
    let sink = fixture.run(fixture.non_idempotent_request());
    let SessionEnd::NotRun { refusal, .. } = &sink.ends[0] else { panic!("{:?}", sink.ends) };
    assert_eq!(refusal.code(), ResultCode::RetriesExhausted);
    assert!(matches!(refusal.proof(), NotRunProof::EveryAttemptRefused(_)));
    assert_eq!(*fixture.claims.released.lock().unwrap(), 1);
    assert!(fixture.servers.journal().is_empty());
}

#[test]
fn key_required() {
    let fixture = DriverFixture::new(1);
    let mut request = fixture.non_idempotent_request();
    request.idempotency_key = None;
    let sink = fixture.run(request);
    assert_eq!(sink.ends[0].code(), ResultCode::KeyRequired);
    assert!(fixture.servers.journal().is_empty());
}

/// Runs a request on a new thread until its first attempt pauses after [`HELD_TOKENS`] tokens.
fn run_until_held(fixture: &DriverFixture) -> thread::JoinHandle<RecordingSink> {
    fixture.servers.script(fixture.addresses[0], AttemptScript::HoldAfter(HELD_TOKENS));
    let (driver, request) = (SessionDriver::new(fixture.ports.clone()), fixture.model_request());
    let thread = thread::spawn(move || {
        let mut sink = RecordingSink::default();
        driver.run(request, &mut sink);
        sink
    });
    // The store may not have the request yet.
    while fixture.ports.answers.wait_from(REQUEST, HELD_TOKENS - 1, LONG).is_none() {
        thread::yield_now();
    }
    thread
}

fn stored_text(fixture: &DriverFixture) -> String {
    let part = fixture.ports.answers.read_from(REQUEST, 0).unwrap();
    part.chunks.into_iter().map(|chunk| chunk.text).collect()
}

#[test]
fn handed_over() {
    let leaver = DriverFixture::new(1);
    let taker = DriverFixture::with_servers(1, leaver.servers.clone());
    let thread = run_until_held(&leaver);
    let (sender, receiver) = mpsc::channel();
    assert!(leaver.ports.registry.send_message(REQUEST, DriverMessage::HandOver(sender)));
    let state = receiver.recv().unwrap();
    let state = UnfinishedRequest::decode(&state.encode().unwrap()).unwrap();
    // Later output is not relayed to the caller.
    leaver.servers.release();
    let driver = SessionDriver::new(taker.ports.clone());
    assert!(driver.store_offer(&state, Arc::new(service())));
    assert!(driver.store_offer(&state, Arc::new(service())));
    assert!(leaver.ports.registry.send(REQUEST, SessionEvent::HandoverTaken));
    let sink = thread.join().unwrap();
    assert_eq!(sink.ends[0].code(), ResultCode::StillRunning);
    assert_eq!(sink.text, state.tokens.concat());
    driver.take_over(&state, Arc::new(service()));
    assert_eq!(stored_text(&taker), full_text());
}

#[test]
fn handover_refused() {
    let fixture = DriverFixture::new(1);
    let thread = run_until_held(&fixture);
    let (sender, receiver) = mpsc::channel();
    fixture.ports.registry.send_message(REQUEST, DriverMessage::HandOver(sender));
    assert_eq!(receiver.recv().unwrap().tokens.len(), HELD_TOKENS as usize);
    fixture.servers.release();
    fixture.ports.registry.send_message(REQUEST, DriverMessage::Resume);
    assert_eq!(thread.join().unwrap().text, full_text());
}

/// Evacuates the fixture's first server, which ends after `left`.
fn evacuate(fixture: &DriverFixture, left: Duration) -> (Vec<ServerKey>, EvacuationChoice) {
    let keys: Vec<ServerKey> =
        fixture.ports.router.lock().unwrap().servers().map(|(key, _)| key).collect();
    let leaves_at = fixture.ports.clock.now() + left;
    let server = |(index, &key): (usize, &ServerKey)| EvacuationServer {
        key,
        leaves_at: (index == 0).then_some(leaves_at),
        free_slots: 4,
        cached_blocks: BTreeSet::new(),
    };
    let servers: Vec<EvacuationServer> = keys.iter().enumerate().map(server).collect();
    // Too slow to finish in place, however long this test takes.
    let rates = EvacuationRates {
        token_time: Duration::from_secs(1_000),
        transfer_tokens_per_second: 1_000,
    };
    let moves = EvacuationRunner::new(fixture.ports.clone(), rates).evacuate(&servers);
    (keys, moves[0].choice)
}

#[rstest]
#[case::transfer(LONG, true, 1)]
#[case::no_kv_cache(LONG, false, 0)]
#[case::no_time(Duration::ZERO, true, 0)]
fn evacuated_stream(#[case] left: Duration, #[case] moves_kv: bool, #[case] imports: usize) {
    let fixture = DriverFixture::new(2);
    if moves_kv {
        fixture.servers.allow_kv_export();
    }
    let thread = run_until_held(&fixture);
    let (keys, choice) = evacuate(&fixture, left);
    let planned = match choice {
        EvacuationChoice::FinishInPlace => None,
        EvacuationChoice::Transfer { target, .. } => Some((true, target)),
        EvacuationChoice::Recompute { target } => target.map(|target| (false, target)),
    };
    assert_eq!(planned, Some((!left.is_zero(), keys[1])));
    let sink = thread.join().unwrap();
    assert_eq!((sink.text, sink.ends[0].code()), (full_text(), ResultCode::Complete));
    let journal = fixture.servers.journal();
    assert_eq!((journal[1].address, journal[1].resume_from), (fixture.addresses[1], HELD_TOKENS));
    assert_eq!(fixture.servers.imports(), vec![(fixture.addresses[1], AttemptNumber(2)); imports]);
    let router = fixture.ports.router.lock().unwrap();
    assert_eq!(router.server(keys[0]).unwrap().state, ServerState::Leaving);
    fixture.servers.release();
}

/// A second request with a key that is in flight on this host waits for the first one's answer.
#[rstest]
#[case::answered(AttemptScript::HoldAfter(0), ResultCode::Complete)]
#[case::lost(AttemptScript::LostAfter(0), ResultCode::ServerLost)]
fn key_in_flight(#[case] script: AttemptScript, #[case] code: ResultCode) {
    let fixture = DriverFixture::new(1);
    fixture.servers.script(fixture.addresses[0], script);
    let (driver, request) =
        (SessionDriver::new(fixture.ports.clone()), fixture.non_idempotent_request());
    let first = thread::spawn(move || driver.run(request, &mut RecordingSink::default()));
    while fixture.servers.journal().is_empty() {
        thread::yield_now();
    }
    let running = ClaimDecision::RunningElsewhere { request: REQUEST };
    fixture.claims.decisions.lock().unwrap().push_back(running);
    let servers = fixture.servers.clone();
    let release = thread::spawn(move || servers.release());
    let again = CheckedRequest {
        id: RequestId { origin: 7, sequence: 2 },
        ..fixture.non_idempotent_request()
    };
    let sink = fixture.run_concurrently(again);
    assert_eq!(sink.ends[0].code(), code);
    first.join().unwrap();
    release.join().unwrap();
    assert_eq!(fixture.servers.journal().len(), 1);
}

/// A request whose server process ended waits for evidence from other hosts, then is tried on a
/// server without other requests. After that server ends too, the request ends, and
/// another request with the same work is refused.
#[test]
fn crashing_request() {
    let fixture = DriverFixture::new(3);
    for &address in &fixture.addresses {
        fixture.servers.script(address, AttemptScript::LostAfter(0));
        fixture.servers.set_dead(address);
    }
    let sink = fixture.run(fixture.model_request());
    assert_eq!(sink.ends[0].code(), ResultCode::AttemptsLost);
    assert_eq!(fixture.servers.journal().len(), 2);
    let again =
        CheckedRequest { id: RequestId { origin: 7, sequence: 2 }, ..fixture.model_request() };
    let sink = fixture.run(again);
    assert_eq!(sink.ends[0].code(), ResultCode::CrashRefused);
    assert_eq!(fixture.servers.journal().len(), 2);
}
