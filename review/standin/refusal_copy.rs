//! Servers that reject calls while they are full, and send some of their answers a second time, late.

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
use crate::caller::AttemptEnd;
use crate::caller::confirm;
use crate::fleet::config_text;

/// Servers, and how many of them send copies.
const SERVERS: usize = 4;
const COPYING_SERVERS: usize = 2;

/// One in this many answers is sent again.
const COPIES_ONE_IN: u64 = 40;

/// Callers, each with one call at a time.
const CALLERS: usize = 40;

/// Retry delay of a caller whose call was refused.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Statuses that promise that a call has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Times after the start of the test.
const CALLERS_AT: Duration = Duration::from_secs(8);
const COPIES_AT: Duration = Duration::from_secs(10);
const COPIES_TIME: Duration = Duration::from_secs(5);
const END_AT: Duration = Duration::from_secs(18);

/// Runs the test.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut bench = TestBench::start()?;
    bench.platform.put("keyed.op", "config", &config_text(7, 1_200, 800));
    for _ in 0..SERVERS {
        bench.add_server("desk", "v1", 0, 0)?;
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
    bench.wait_until(COPIES_AT);
    if has_trouble {
        bench.note("two servers send some of their answers again");
        (0..COPYING_SERVERS).try_for_each(|index| bench.set_copies(index, COPIES_ONE_IN))?;
    }
    bench.wait_until(COPIES_AT + COPIES_TIME);
    (0..COPYING_SERVERS).try_for_each(|index| bench.set_copies(index, 0))?;
    bench.note("no answers are sent again");
    bench.wait_until(END_AT);
    is_over.store(true, Ordering::Relaxed);
    let attempts: Vec<Attempt> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).flatten().collect();
    bench.note_attempts(&attempts);
    let verdict = judge(&mut bench, &attempts);
    bench.finish(folder, verdict)?;
    Ok(verdict)
}

fn call_until(number: usize, hosts: &[SocketAddr], is_over: &AtomicBool) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let host = hosts[(number + attempts.len()) % hosts.len()];
        let attempt = confirm(host, &format!("call-{number}-{}", attempts.len()));
        if attempt.end != AttemptEnd::Whole {
            thread::sleep(RETRY_DELAY);
        }
        attempts.push(attempt);
    }
    attempts
}

/// Looks for calls that were answered with a promise that they have not run, and have run.
fn judge(bench: &mut TestBench, attempts: &[Attempt]) -> Verdict {
    let lines = bench.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for line in &lines {
        let words: Vec<&str> = line.split(' ').collect();
        if let [_, "run", request, ..] = words.as_slice() {
            *runs.entry(request).or_default() += 1;
        }
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut broken = 0;
    for attempt in attempts {
        *counts.entry(format!("{:?}", attempt.end)).or_default() += 1;
        let has_run = runs.contains_key(attempt.request_id.as_str());
        if has_run
            && let AttemptEnd::Status(status) = attempt.end
            && PROMISES.contains(&status)
        {
            broken += 1;
            bench.note(&format!("{} was answered {status}, and ran", attempt.request_id));
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    bench.note(&format!("calls: {counts:?}, run more than once: {twice}"));
    bench.note(&format!("calls that ran, and were said not to have: {broken}"));
    if broken > 0 || twice > 0 { Verdict::Broken } else { Verdict::Held }
}
