//! Streams of entry hosts that go on at another model server: the former one's work ends soon.

use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use testutils::bounded_wait::wait_for;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::process_fleet::ProcessFleet;
use testutils::process_fleet::RunRecord;
use testutils::stream_overlap::MAX_STREAM_OVERLAP;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Tokens of a stream, and the time that each takes: the stream lasts for longer than any silence limit.
const TOKENS: u32 = 60;
const STEP_MS: u64 = 250;

/// Time to the end of an entry host that is reclaimed.
const RECLAIM_MS: u64 = 3_000;

/// Time for a server to see that a connection was closed.
const CLOSE_TIME: Duration = Duration::from_millis(600);

/// Why a stream moves.
#[derive(Clone, Copy)]
enum StreamTrouble {
    /// Its server works on, sends nothing and takes no cancellation.
    MutedServer,
    /// Its host is reclaimed.
    ReclaimedHost,
    /// Both, in this order.
    MutedThenReclaimed,
}

fn strike(fleet: &ProcessFleet, server: usize, trouble: StreamTrouble) {
    let mute = || fleet.inject_model_fault(server, &json!({ "mute": true }));
    match trouble {
        StreamTrouble::MutedServer => mute(),
        StreamTrouble::ReclaimedHost => fleet.reclaim(0, RECLAIM_MS),
        StreamTrouble::MutedThenReclaimed => {
            mute();
            fleet.reclaim(0, RECLAIM_MS);
        }
    }
}

/// Returns for how long two servers worked on one request, for each pair of runs.
fn overlaps(servers: &[Vec<RunRecord>]) -> Vec<Duration> {
    let end_of = |run: &RunRecord| run.end_ms.unwrap_or(u64::MAX);
    let mut overlaps = Vec::new();
    for (index, runs) in servers.iter().enumerate() {
        let others = || servers[..index].iter().flatten();
        for run in runs {
            for other in others().filter(|other| other.request == run.request) {
                let both_begin = run.begin_ms.max(other.begin_ms);
                let both_end = end_of(run).min(end_of(other));
                overlaps.push(Duration::from_millis(both_end.saturating_sub(both_begin)));
            }
        }
    }
    overlaps
}

/// A stream went on at another server while the one before still worked on it: nothing but a call that it did
/// not take ended its work (TWICE).
#[rstest]
#[case::muted(StreamTrouble::MutedServer)]
#[case::reclaimed(StreamTrouble::ReclaimedHost)]
#[case::muted_then_reclaimed(StreamTrouble::MutedThenReclaimed)]
fn former_server_ends(#[case] trouble: StreamTrouble) {
    let fleet = ProcessFleet::start(PROGRAM, 2);
    let whole = fleet.caller(1).complete(MODEL_SERVICE, "Tides of the strait", TOKENS).text();
    let servers = fleet.model_runs().len();
    for server in 0..servers {
        fleet.inject_model_fault(server, &json!({ "slow_steps": { "extra_ms": STEP_MS } }));
    }
    let running =
        || fleet.model_runs().iter().position(|runs| runs.iter().any(|run| run.end_ms.is_none()));
    let reply = thread::scope(|scope| {
        let caller =
            scope.spawn(|| fleet.caller(0).complete(MODEL_SERVICE, "Tides of the strait", TOKENS));
        wait_for(|| running().is_some());
        thread::sleep(CLOSE_TIME);
        strike(&fleet, running().expect("the stream runs"), trouble);
        caller.join().expect("the caller does not panic")
    });
    let text = match reply.code {
        Some(0) => reply.text(),
        _ => {
            let id = reply.request_id.clone().expect("the reply has a request id");
            fleet.caller(1).fetch_remaining_text(&id, 0)
        }
    };
    assert_eq!(text, whole, "{reply:?}");
    thread::sleep(CLOSE_TIME);
    let runs = fleet.model_runs();
    let longest = overlaps(&runs).into_iter().max();
    let is_short = longest.is_some_and(|longest| longest <= MAX_STREAM_OVERLAP);
    assert!(is_short, "moved with an overlap of {longest:?}: {runs:?}");
}
