//! A slow server whose streams are also sent to a second server, which falls silent before its first
//! event.

use std::collections::BTreeMap;
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
use crate::caller::WantedStream;
use crate::caller::attempt;
use crate::fleet::config_text;

/// Servers, of which one turns slow.
const SERVERS: usize = 7;

/// Time between two events of a stream, how many times as long it is at the slow server, and events of a
/// stream.
const GAP_MS: u64 = 400;
const SLOWDOWN: u64 = 8;
const EVENTS: u64 = 12;

/// Time for which each server is silent before its first event.
const SILENCE_MS: u64 = 1_000;

/// Callers, each with one stream at a time.
const CALLERS: u64 = 28;

/// Longest time for which two servers may work on a request.
const ALLOWED_OVERLAP_MS: u64 = 400;

/// Times after the start of the test.
const CALLERS_AT: Duration = Duration::from_secs(8);
const SLOW_AT: Duration = Duration::from_secs(16);
const SLOW_TIME: Duration = Duration::from_millis(6_500);
const END_AT: Duration = Duration::from_secs(30);

/// Runs the test.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut bench = TestBench::start()?;
    bench.platform.put("keyed.op", "config", &config_text(7, 1_200, 800));
    for _ in 0..SERVERS {
        bench.add_server("model", "v1", GAP_MS, SILENCE_MS)?;
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
    bench.wait_until(SLOW_AT);
    if has_trouble {
        bench.note("server i-0 turns slow");
        bench.set_gap(0, GAP_MS * SLOWDOWN)?;
    }
    bench.wait_until(SLOW_AT + SLOW_TIME);
    bench.set_gap(0, GAP_MS)?;
    bench.note("server i-0 has its usual speed");
    bench.wait_until(END_AT);
    is_over.store(true, Ordering::Relaxed);
    let attempts: Vec<Attempt> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).flatten().collect();
    bench.note_attempts(&attempts);
    let verdict = judge(&mut bench, attempts.len());
    bench.finish(folder, verdict)?;
    Ok(verdict)
}

fn call_until(number: u64, hosts: &[SocketAddr], is_over: &AtomicBool) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    thread::sleep(Duration::from_millis(GAP_MS * EVENTS * number / CALLERS));
    while !is_over.load(Ordering::Relaxed) {
        let name = format!("stream-{number}-{}", attempts.len());
        let wanted = WantedStream { name, count: EVENTS, prefix: number };
        let host = hosts[(number as usize + attempts.len()) % hosts.len()];
        attempts.push(attempt(host, &wanted, 1, None, 0));
        thread::sleep(Duration::from_millis(100));
    }
    attempts
}

/// Looks for requests on which two servers work 400 ms after the second one began to run them.
fn judge(bench: &mut TestBench, asked: usize) -> Verdict {
    let lines = bench.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
    let mut runs: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
    for line in &lines {
        let words: Vec<&str> = line.split(' ').collect();
        let [time, event, request, server, ..] = words.as_slice() else { continue };
        let time = time.parse().unwrap_or(0);
        let key = ((*request).to_owned(), (*server).to_owned());
        match *event {
            "run" => drop(runs.insert(key, (time, time))),
            _ => {
                if let Some(run) = runs.get_mut(&key) {
                    run.1 = time;
                }
            }
        }
    }
    let mut doubled = 0;
    for ((request, server), (first, ended)) in &runs {
        for ((other_request, other), (begun, other_ended)) in &runs {
            if request != other_request || server == other || first >= begun {
                continue;
            }
            let overlap = ended.min(other_ended).saturating_sub(*begun);
            if overlap > ALLOWED_OVERLAP_MS {
                doubled += 1;
                bench.note(&format!("{request}: {server} and {other} worked for {overlap} ms"));
            }
        }
    }
    bench.note(&format!("streams: {asked}, at two servers for over 400 ms: {doubled}"));
    if doubled > 0 { Verdict::Broken } else { Verdict::Held }
}
