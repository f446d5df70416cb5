//! Servers that crash and start again under the ids that they had, with another version of their
//! software.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::bench::TestBench;
use crate::bench::Verdict;
use crate::caller::Attempt;
use crate::caller::AttemptEnd;
use crate::caller::WantedStream;
use crate::caller::attempt;
use crate::fleet::config_text;

/// Servers, and how many of them crash in each round.
const SERVERS: usize = 12;
const ROUND_SERVERS: usize = 2;

/// Time between two events of a stream, and events of one.
const GAP_MS: u64 = 100;
const EVENTS: u64 = 40;

/// Callers, each with one stream at a time.
const CALLERS: u64 = 72;

/// Time until a server that crashed is started again.
const DOWN_TIME: Duration = Duration::from_millis(200);

/// Time between the crashes of a round.
const CRASH_GAP: Duration = Duration::from_millis(600);

/// Times after the start of the test.
const CALLERS_AT: Duration = Duration::from_secs(10);
const FIRST_ROUND_AT: Duration = Duration::from_secs(16);
const ROUND_TIME: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(56);

/// Streams of two versions that the rule allows.
const ALLOWED_STREAMS: usize = 2;

/// Runs the test.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut bench = TestBench::start()?;
    bench.platform.put("keyed.op", "config", &config_text(7, 1_200, 800));
    for _ in 0..SERVERS {
        bench.add_server("model", "v1", GAP_MS, 0)?;
    }
    thread::sleep(Duration::from_millis(500));
    bench.start_hosts(2)?;
    bench.wait_until(CALLERS_AT);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (hosts, is_over) = (bench.fronts(), is_over.clone());
            thread::spawn(move || call_until(number, &hosts, &is_over))
        })
        .collect();
    if has_trouble {
        for round in 0..SERVERS / ROUND_SERVERS {
            bench.wait_until(FIRST_ROUND_AT + ROUND_TIME * round as u32);
            crash_round(&mut bench, round)?;
        }
    }
    bench.wait_until(END_AT);
    is_over.store(true, Ordering::Relaxed);
    let streams: Vec<Vec<Attempt>> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).flatten().collect();
    streams.iter().for_each(|tries| bench.note_attempts(tries));
    let verdict = judge(&mut bench, &streams);
    bench.finish(folder, verdict)?;
    Ok(verdict)
}

/// Lets the servers of a round crash one after the other; each is started again at once.
fn crash_round(bench: &mut TestBench, round: usize) -> io::Result<()> {
    for index in round * ROUND_SERVERS..(round + 1) * ROUND_SERVERS {
        let id = bench.servers[index].spec.id.clone();
        bench.note(&format!("server {id} crashes"));
        bench.kill_server(index);
        thread::sleep(DOWN_TIME);
        bench.restart_server(index, "v2")?;
        bench.note(&format!("server {id} starts again as v2"));
        thread::sleep(CRASH_GAP - DOWN_TIME);
    }
    Ok(())
}

/// Asks for one stream after the other, and takes up once what breaks.
fn call_until(number: u64, hosts: &[SocketAddr], is_over: &AtomicBool) -> Vec<Vec<Attempt>> {
    let mut streams = Vec::new();
    thread::sleep(Duration::from_millis(GAP_MS * EVENTS * number / CALLERS));
    while !is_over.load(Ordering::Relaxed) {
        let name = format!("stream-{number}-{}", streams.len());
        let wanted = WantedStream { name, count: EVENTS, prefix: number };
        let host = hosts[(number as usize + streams.len()) % hosts.len()];
        let mut tries = vec![attempt(host, &wanted, 1, None, 0)];
        if tries[0].end == AttemptEnd::Broken
            && let Some(last) = tries[0].events.last().map(|event| event.number)
        {
            let origin = tries[0].request_id.clone();
            let host = hosts[(number as usize + streams.len() + 1) % hosts.len()];
            tries.push(attempt(host, &wanted, 2, Some(&origin), last));
        }
        if tries[0].events.is_empty() {
            thread::sleep(Duration::from_millis(500));
        }
        streams.push(tries);
    }
    streams
}

fn judge(bench: &mut TestBench, streams: &[Vec<Attempt>]) -> Verdict {
    let mut mixed = 0;
    for tries in streams {
        let versions: BTreeSet<&str> = tries
            .iter()
            .flat_map(|next| next.events.iter().map(|event| event.version.as_str()))
            .collect();
        if versions.len() > 1 {
            mixed += 1;
            bench.note(&format!("{} holds events of {versions:?}", tries[0].request_id));
        }
    }
    bench.note(&format!("streams: {}, of two versions: {mixed}", streams.len()));
    match mixed > ALLOWED_STREAMS {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
