//! Measures the latency that an entry host adds, its throughput, and its memory with many open
//! streams.
//!
//! The entry host and the simulated services run in separate processes; build them first with
//! `cargo build --release`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::json;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::dev_cluster::TEAMS;
use testutils::process_fleet::ProcessFleet;

/// Requests in the latency run.
const REQUESTS: u32 = 1_000;
/// Requests in the throughput run, over all callers.
const THROUGHPUT_REQUESTS: u32 = 8_000;
/// Concurrent callers in the throughput run.
const CALLERS: u32 = 8;
/// Interval between requests in the latency run: 50 requests per second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Concurrent streams in the memory run.
const STREAMS: usize = 300;
/// Tokens per stream; enough that all streams are open at the same time.
const STREAM_TOKENS: u32 = 120;

/// Measures latency, throughput and memory, and prints one line for each.
pub fn run(_seed: u64) {
    let program = program_path();
    let program = program.to_str().expect("the program's path is UTF-8");
    let fleet = ProcessFleet::start_with(program, 1, &["--no-delay"]);
    let direct = fleet.app_addresses()[0];
    let through = fleet.http_address(0);
    print_latency(direct, through);
    print_throughput(direct, through);
    drop(fleet);
    print_memory(&ProcessFleet::start(program, 1));
}

/// Returns the path of the `pomelostack` program that was built next to this one.
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    own.with_file_name("pomelostack")
}

fn print_latency(direct: SocketAddr, through: SocketAddr) {
    // Calls to the two targets alternate, so that load on the host affects both alike.
    let mut histograms = [new_histogram(), new_histogram()];
    let targets = [Target::direct(direct), Target::through(through)];
    let begin = Instant::now();
    for number in 0..REQUESTS {
        let due = begin + REQUEST_INTERVAL * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        for (target, histogram) in targets.iter().zip(&mut histograms) {
            histogram.saturating_record(target.call());
        }
    }
    let [direct, through] = histograms;
    let added = |quantile: f64| {
        through.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64
    };
    let line = json!({
        "case": "front-door-latency",
        "requests": REQUESTS,
        "requests_per_s": 1_000 / REQUEST_INTERVAL.as_millis(),
        "direct_p50_us": direct.value_at_quantile(0.5),
        "direct_p99_us": direct.value_at_quantile(0.99),
        "through_p50_us": through.value_at_quantile(0.5),
        "through_p99_us": through.value_at_quantile(0.99),
        "added_p50_us": added(0.5),
        "added_p99_us": added(0.99),
        "target_added_p99_us": 1_000,
    });
    println!("{line}");
}

fn print_throughput(direct: SocketAddr, through: SocketAddr) {
    let rate = |target: Target| {
        let begin = Instant::now();
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    let target = target.clone();
                    for _ in 0..THROUGHPUT_REQUESTS / CALLERS {
                        target.call();
                    }
                });
            }
        });
        f64::from(THROUGHPUT_REQUESTS) / begin.elapsed().as_secs_f64()
    };
    let line = json!({
        "case": "front-door-throughput",
        "requests": THROUGHPUT_REQUESTS,
        "callers": CALLERS,
        "direct_requests_per_s": rate(Target::direct(direct)).round(),
        "through_requests_per_s": rate(Target::through(through)).round(),
    });
    println!("{line}");
}

fn print_memory(fleet: &ProcessFleet) {
    let process = fleet.process_id(0);
    let idle_kib = resident_kib(process);
    let open = Arc::new(Barrier::new(STREAMS + 1));
    let during_kib = thread::scope(|scope| {
        for index in 0..STREAMS {
            let (caller, open) = (fleet.caller(0), open.clone());
            scope.spawn(move || {
                let prompt = format!("stream {index} [[tokens={STREAM_TOKENS}]]");
                let streamed = caller.stream(MODEL_SERVICE, &prompt, STREAM_TOKENS, |tokens| {
                    // All streams are open once each has received its second token.
                    if tokens == 2 {
                        open.wait();
                    }
                });
                assert!(streamed.is_done, "a stream was cut off: {:?}", streamed.error);
            });
        }
        open.wait();
        resident_kib(process)
    });
    let line = json!({
        "case": "front-door-memory",
        "streams": STREAMS,
        "idle_resident_kib": idle_kib,
        "open_resident_kib": during_kib,
        "after_resident_kib": resident_kib(process),
        "kib_per_stream": (during_kib as f64 - idle_kib as f64) / STREAMS as f64,
        "target_resident_kib": 64 * 1_024,
    });
    println!("{line}");
}

/// Returns the resident memory of a process in KiB.
pub fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).expect("the status holds the resident memory")
}

/// Returns a histogram of times in microseconds up to one minute, with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// A URL to call, over connections that are kept alive.
#[derive(Clone)]
struct Target {
    agent: ureq::Agent,
    url: String,
}

impl Target {
    fn direct(address: SocketAddr) -> Self {
        Self { agent: ureq::agent(), url: format!("http://{address}/wind") }
    }

    fn through(address: SocketAddr) -> Self {
        Self { agent: ureq::agent(), url: format!("http://{address}/services/lookup/wind") }
    }

    /// Makes one call, reads the whole response, and returns the time in microseconds.
    fn call(&self) -> u64 {
        let begin = Instant::now();
        let token = format!("Bearer {}", TEAMS[0].1);
        let mut reply = self
            .agent
            .get(&self.url)
            .header("authorization", token)
            .call()
            .expect("the call succeeds");
        reply.body_mut().read_to_string().expect("the response body is text");
        u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
