//! Streams whose host is killed some seconds after the store came back from a copy.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::bench::TestBench;
use crate::bench::Verdict;
use crate::caller::Attempt;
use crate::caller::AttemptEnd;
use crate::caller::WantedStream;
use crate::caller::attempt;
use crate::fleet::config_text;

/// Servers of the first version, and those of the second that join later.
const FIRST_SERVERS: usize = 6;
const SECOND_SERVERS: usize = 2;

/// Time between two events of a stream, and events of one.
const GAP_MS: u64 = 100;
const EVENTS: u64 = 110;

/// Streams at the host that is killed, and new ones at each of the others.
const STREAMS: u64 = 32;
const NEW_STREAMS: u64 = 16;

/// Number of times that a caller takes up its stream.
const TAKE_UPS: u32 = 3;

/// Retry delay of callers; the hosts state half a second.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Times after the start of the test.
const SECOND_VERSION_AT: Duration = Duration::from_secs(10);
const COPY_AT: Duration = Duration::from_secs(15);
const DRILL_AT: Duration = Duration::from_secs(18);
const AWAY_TIME: Duration = Duration::from_secs(1);
const STREAMS_AT: Duration = Duration::from_secs(25);
const KILL_AT: Duration = Duration::from_secs(29);

/// Runs the test.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut bench = TestBench::start()?;
    bench.platform.put("keyed.op", "config", &config_text(7, 1_200, 800));
    for _ in 0..FIRST_SERVERS {
        bench.add_server("model", "v1", GAP_MS, 0)?;
    }
    thread::sleep(Duration::from_millis(500));
    bench.start_hosts(3)?;
    bench.wait_until(SECOND_VERSION_AT);
    for _ in 0..SECOND_SERVERS {
        bench.add_server("model", "v2", GAP_MS, 0)?;
    }
    bench.wait_until(COPY_AT);
    let copy = bench.platform.copy();
    bench.wait_until(DRILL_AT);
    if has_trouble {
        bench.note("the store goes away, and comes back from a copy three seconds old");
        bench.platform.drill(copy, AWAY_TIME);
        bench.note("the store is back");
    }
    bench.wait_until(STREAMS_AT);
    let hosts = bench.fronts();
    let callers: Vec<_> = (0..STREAMS).map(|number| spawn_caller(number, hosts.clone())).collect();
    bench.wait_until(KILL_AT);
    bench.note("the first host is killed");
    bench.hosts[0].kill();
    let news: Vec<JoinHandle<Attempt>> = (0..2 * NEW_STREAMS)
        .map(|number| {
            let host = hosts[1 + usize::from(number % 2 == 1)];
            let name = format!("new-{number}");
            let wanted = WantedStream { name, count: 20, prefix: 100 + number };
            thread::spawn(move || attempt(host, &wanted, 1, None, 0))
        })
        .collect();
    let streams: Vec<Vec<Attempt>> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let news: Vec<Attempt> = news.into_iter().filter_map(|caller| caller.join().ok()).collect();
    streams.iter().for_each(|tries| bench.note_attempts(tries));
    bench.note_attempts(&news);
    let verdict = judge(&mut bench, &streams, &news);
    bench.finish(folder, verdict)?;
    Ok(verdict)
}

/// A caller whose connection breaks takes its stream up at another host.
fn spawn_caller(number: u64, hosts: Vec<SocketAddr>) -> JoinHandle<Vec<Attempt>> {
    let wanted = WantedStream { name: format!("stream-{number}"), count: EVENTS, prefix: number };
    thread::spawn(move || {
        let first = attempt(hosts[0], &wanted, 1, None, 0);
        let mut last_event = first.events.last().map_or(0, |event| event.number);
        let mut tries = vec![first];
        while tries.len() <= TAKE_UPS as usize
            && last_event > 0
            && tries.last().is_some_and(|last| last.end != AttemptEnd::Whole)
        {
            if tries.len() > 1 {
                thread::sleep(RETRY_DELAY);
            }
            let host = hosts[1 + (number as usize + tries.len()) % 2];
            let origin = tries[0].request_id.clone();
            let next = attempt(host, &wanted, tries.len() as u32 + 1, Some(&origin), last_event);
            last_event = next.events.last().map_or(last_event, |event| event.number);
            tries.push(next);
        }
        tries
    })
}

/// Compares the share of the streams that went on with that of the new ones that began, for streams of the
/// version that at least two servers run.
fn judge(bench: &mut TestBench, streams: &[Vec<Attempt>], news: &[Attempt]) -> Verdict {
    let (mut taken_up, mut went_on) = (0_u32, 0_u32);
    for version in ["v1", "v2"] {
        let of_version = streams.iter().filter(|tries| {
            tries.len() > 1 && tries[0].events.first().is_some_and(|event| event.version == version)
        });
        let of_version: Vec<_> = of_version.collect();
        let resumed =
            of_version.iter().filter(|tries| tries[1..].iter().any(|next| !next.events.is_empty()));
        let resumed = resumed.count() as u32;
        bench.note(&format!(
            "streams of {version}: {} were taken up, {resumed} went on",
            of_version.len()
        ));
        taken_up += of_version.len() as u32;
        went_on += resumed;
    }
    let begun = news.iter().filter(|new| !new.events.is_empty()).count() as u32;
    let asked = news.len() as u32;
    bench.note(&format!("streams taken up: {taken_up}, gone on: {went_on}"));
    bench.note(&format!("new streams asked for: {asked}, begun: {begun}"));
    let share = f64::from(went_on) / f64::from(taken_up.max(1));
    let new_share = f64::from(begun) / f64::from(asked.max(1));
    match taken_up >= 12 && share < new_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
