//! Pauses that servers ask a host for.

use std::time::Duration;

use pomelostack_lib::gateway::server_pause::MAX_SERVER_PAUSE;
use pomelostack_lib::gateway::server_pause::PauseState;
use pomelostack_lib::gateway::server_pause::PauseTable;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::timestamp::Timestamp;

const PAUSE: Duration = Duration::from_millis(1_500);

fn server(number: u32) -> ServerId {
    ServerId::try_from(format!("s{number}")).expect("valid in tests")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn paused_table() -> PauseTable {
    let mut table = PauseTable::default();
    table.on_pause(at(1_000), &server(0), PAUSE);
    table
}

#[test]
fn pause_ends() {
    let table = paused_table();
    assert_eq!(table.state(at(2_499), &server(0)), PauseState::PausedUntil(at(2_500)));
    assert_eq!(table.state(at(2_500), &server(0)), PauseState::Open);
    assert_eq!(table.state(at(1_000), &server(1)), PauseState::Open);
}

#[test]
fn late_answer() {
    // An answer to a request that was sent before the pause does not end it.
    let mut table = paused_table();
    table.on_answered(at(1_100), &server(0));
    assert_eq!(table.state(at(1_200), &server(0)), PauseState::PausedUntil(at(2_500)));
}

#[test]
fn shorter_pause() {
    let mut table = paused_table();
    table.on_pause(at(1_100), &server(0), Duration::from_millis(10));
    assert_eq!(table.state(at(1_200), &server(0)), PauseState::PausedUntil(at(2_500)));
    table.on_pause(at(1_200), &server(0), Duration::ZERO);
    assert_eq!(table.state(at(1_200), &server(0)), PauseState::PausedUntil(at(2_500)));
}

#[test]
fn one_request_first() {
    let mut table = paused_table();
    table.on_sent(at(2_600), &server(0));
    assert_eq!(table.state(at(2_700), &server(0)), PauseState::OnTrial);
    table.on_answered(at(2_800), &server(0));
    assert_eq!(table.state(at(2_800), &server(0)), PauseState::Open);
}

#[test]
fn silent_trial() {
    let mut table = paused_table();
    table.on_sent(at(2_600), &server(0));
    assert_eq!(table.state(at(3_600), &server(0)), PauseState::Open);
}

#[test]
fn turned_away_again() {
    let mut table = paused_table();
    table.on_sent(at(2_600), &server(0));
    table.on_pause(at(2_700), &server(0), PAUSE);
    assert_eq!(table.state(at(2_700), &server(0)), PauseState::PausedUntil(at(4_200)));
}

#[test]
fn absurd_pause() {
    let mut table = PauseTable::default();
    table.on_pause(at(1_000), &server(0), Duration::MAX);
    let end = at(1_000) + MAX_SERVER_PAUSE;
    assert_eq!(table.state(at(1_000), &server(0)), PauseState::PausedUntil(end));
    assert_eq!(table.state(end, &server(0)), PauseState::Open);
}

#[test]
fn many_servers() {
    let mut table = PauseTable::default();
    for number in 0..10_000 {
        let pause = Duration::from_secs(1 + u64::from(number));
        table.on_pause(at(0), &server(number), pause.min(MAX_SERVER_PAUSE));
    }
    let paused =
        (0..10_000).filter(|number| table.state(at(0), &server(*number)) != PauseState::Open);
    assert_eq!(paused.count(), 4_096);
}
