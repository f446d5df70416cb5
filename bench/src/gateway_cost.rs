//! Measures processor time, memory and added latency of an entry host and a gateway host under the
//! same load: 50 requests per second while 300 streams are open.
//!
//! Both run in separate processes; build them first with `cargo build --release`. Each stream
//! carries one event every 20 ms.

use std::fs;
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::json;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::FRONT_PORT;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::dev_cluster::TEAMS;
use testutils::gateway_process::GatewayProcess;
use testutils::gateway_process::request_headers;
use testutils::process_fleet::ProcessFleet;

use crate::front_door::new_histogram;
use crate::front_door::program_path;
use crate::front_door::resident_kib;

/// Requests in a run.
const REQUESTS: u32 = 200;
/// Interval between requests: 50 requests per second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Concurrent streams.
const STREAMS: usize = 300;
/// Events per stream: at 20 ms each, they outlast the requests by some seconds.
const STREAM_EVENTS: u32 = 400;
/// Clock ticks per second in `/proc/<pid>/stat` (`USER_HZ` on Linux).
const TICKS_PER_S: f64 = 100.0;
/// Loopback IP address of the gateway.
const GATEWAY_IP: &str = "127.0.78.1";

/// Measures an entry host and a gateway host, and prints one line for each.
pub fn run(_seed: u64) {
    let program = program_path();
    measure_entry(program.to_str().expect("the program's path is UTF-8"));
    measure_gateway(&program);
}

/// Calls to a backend server: one directly, the other through the measured host.
struct CostTargets {
    direct: Box<dyn Fn()>,
    through: Box<dyn Fn()>,
}

fn measure_entry(program: &str) {
    let fleet = ProcessFleet::start(program, 1);
    let app = fleet.app_addresses()[0];
    let entry_address = fleet.http_address(0);
    let call = |agent: ureq::Agent, url: String| -> Box<dyn Fn()> {
        let token = format!("Bearer {}", TEAMS[0].1);
        Box::new(move || read_whole(agent.get(&url).header("authorization", &token)))
    };
    let targets = CostTargets {
        direct: call(ureq::agent(), format!("http://{app}/wind")),
        through: call(ureq::agent(), format!("http://{entry_address}/services/lookup/wind")),
    };
    let open = AtomicUsize::new(0);
    thread::scope(|scope| {
        for index in 0..STREAMS {
            let (caller, open) = (fleet.caller(0), &open);
            scope.spawn(move || {
                let prompt = format!("stream {index} [[tokens={STREAM_EVENTS}]]");
                caller.stream(MODEL_SERVICE, &prompt, STREAM_EVENTS, |tokens| {
                    open.fetch_add(usize::from(tokens == 2), Ordering::Relaxed);
                });
            });
        }
        print_cost("entry", fleet.process_id(0), &open, &targets);
    });
}

fn measure_gateway(program: &Path) {
    let standin = DeploymentStandin::start().expect("loopback ports are free");
    standin.publish_config(1);
    let process = GatewayProcess::start(program, &standin, "gateway-1", GATEWAY_IP)
        .expect("the program was built");
    let gateway_address =
        SocketAddr::new(GATEWAY_IP.parse().expect("the IP address is valid"), FRONT_PORT);
    let request = |agent: &ureq::Agent, address: SocketAddr, path: &str| {
        let request = agent.get(format!("http://{address}{path}"));
        let headers = request_headers("cost").into_iter();
        headers.fold(request, |request, (name, value)| request.header(name, value))
    };
    let probe = ureq::agent();
    wait_for(|| request(&probe, gateway_address, "/look/1").call().is_ok());
    let call = |address: SocketAddr| -> Box<dyn Fn()> {
        let agent = ureq::agent();
        Box::new(move || read_whole(request(&agent, address, "/look/1")))
    };
    let targets = CostTargets { direct: call(standin.replicas[0]), through: call(gateway_address) };
    let open = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..STREAMS {
            let open = &open;
            scope.spawn(move || {
                let agent = ureq::agent();
                let path = format!("/brief/events-{STREAM_EVENTS}");
                let reply =
                    request(&agent, gateway_address, &path).call().expect("the stream starts");
                let mut body = reply.into_body().into_reader();
                let mut bytes = [0; 1_024];
                let mut is_open = false;
                while body.read(&mut bytes).expect("the stream is whole") > 0 {
                    if !is_open {
                        is_open = true;
                        open.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        print_cost("gateway", process.id(), &open, &targets);
    });
}

/// Makes the requests while the streams are open, and prints their cost.
fn print_cost(name: &str, process: u32, open: &AtomicUsize, targets: &CostTargets) {
    let idle_kib = resident_kib(process);
    wait_for(|| open.load(Ordering::Relaxed) >= STREAMS);
    let streams_only = processor_time_of(process, || {
        thread::sleep(REQUEST_INTERVAL * REQUESTS / 5);
    });
    let streams_per_s = streams_only / (REQUEST_INTERVAL * REQUESTS / 5).as_secs_f64();
    let mut histograms = [new_histogram(), new_histogram()];
    let begin = Instant::now();
    let with_requests = processor_time_of(process, || {
        for number in 0..REQUESTS {
            let due = begin + REQUEST_INTERVAL * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            record(&mut histograms[0], &*targets.direct);
            record(&mut histograms[1], &*targets.through);
        }
    });
    let requests = with_requests - streams_per_s * begin.elapsed().as_secs_f64();
    let [direct, through] = histograms;
    let added = |quantile: f64| {
        through.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64
    };
    let line = json!({
        "case": "gateway-cost",
        "host": name,
        "streams": STREAMS,
        "processor_ms_per_request": requests * 1_000.0 / f64::from(REQUESTS),
        "processor_us_per_event": streams_per_s * 1e6 / (STREAMS as f64 * 50.0),
        "cores": with_requests / begin.elapsed().as_secs_f64(),
        "idle_resident_kib": idle_kib,
        "open_resident_kib": resident_kib(process),
        "added_p50_us": added(0.5),
        "added_p99_us": added(0.99),
    });
    println!("{line}");
}

fn record(histogram: &mut Histogram<u64>, call: &dyn Fn()) {
    let begin = Instant::now();
    call();
    histogram.saturating_record(u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX));
}

fn read_whole(request: ureq::RequestBuilder<ureq::typestate::WithoutBody>) {
    let mut reply = request.call().expect("the call succeeds");
    reply.body_mut().read_to_string().expect("the response body is text");
}

/// Returns the processor time, in seconds, that a process used while `work` ran.
fn processor_time_of(process: u32, work: impl FnOnce()) -> f64 {
    let before = processor_ticks(process);
    work();
    (processor_ticks(process) - before) as f64 / TICKS_PER_S
}

/// Returns the processor time of a process in clock ticks, user and system time together.
fn processor_ticks(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect("the process runs");
    // The second field is the program's name in parentheses and may contain spaces; user and system
    // time are the 14th and 15th fields.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let times = fields.split_whitespace().skip(11).take(2);
    times.map(|time| time.parse::<u64>().expect("a time is a number")).sum()
}
