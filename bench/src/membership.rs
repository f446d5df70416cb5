//! Measures membership by fleet size: failure detection time, false suspicions, bytes and processor
//! time.

use std::time::Duration;

use hdrhistogram::Histogram;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::member_event::MemberEvent;
use pomelostack_lib::member_section::SectionKind;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use testutils::membership_sim::MembershipSim;

use crate::peer_link;
use crate::peer_link::LinkCost;

/// Numbers of members and regions of each measured fleet.
const SIZES: [(usize, usize); 7] =
    [(7, 1), (50, 1), (100, 1), (200, 1), (48, 4), (100, 4), (200, 4)];
/// Size to which [`print_slope`] extrapolates.
const TARGET_SIZE: (usize, usize) = (370, 4);
const WARM_UP: Duration = Duration::from_secs(60);
const STEADY_PERIOD: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(50);
const DETECTION_LIMIT: Duration = Duration::from_secs(20);
const KILLS: usize = 100;
/// Hosts killed at the same time in fleets of at least [`LARGE_FLEET`] members.
const KILLS_AT_ONCE: usize = 4;
const LARGE_FLEET: usize = 50;
const PAUSES: usize = 20;
const PAUSE: Duration = Duration::from_secs(3);
const OBSERVATION_AFTER_PAUSE: Duration = Duration::from_secs(5);
const OTHERS_CHECK_INTERVAL_MS: u64 = 500;
/// Largest recorded detection time, also recorded for a host that is not detected within
/// [`DETECTION_LIMIT`].
const MAX_DETECTION_MS: u64 = 60_000;
const LOSS_PERCENT: u32 = 5;
const LOAD_DIGEST_BYTES: usize = 32;
const TARGET_BYTES_PER_S: f64 = 22_000.0;
const TARGET_CORE_PERCENT: f64 = 2.8;

/// Steady-state cost per member of one fleet size.
struct SizePoint {
    members: f64,
    regions: usize,
    bytes_per_s: f64,
    core_percent: f64,
}

/// Runs all measurements for each fleet size and prints one line for each.
pub fn run(seed: u64) {
    let link = peer_link::measure(seed);
    let points: Vec<SizePoint> = SIZES
        .iter()
        .map(|&(members, regions)| measure_steady(members, regions, &link, seed))
        .collect();
    print_slope(&points, seed);
    std::thread::scope(|scope| {
        let measures = SIZES.map(|(members, regions)| {
            scope.spawn(move || {
                [measure_detection(members, regions, seed), measure_pauses(members, regions, seed)]
            })
        });
        for line in measures.into_iter().flat_map(|measure| measure.join().expect("no panic")) {
            println!("{line}");
        }
    });
}

/// Runs one step and publishes the data that is piggybacked on gossip, at the rates of the target
/// size: a load digest of each member every 2 s, one configuration change every 20 s, and one crash
/// suspicion per minute.
fn run_step(sim: &mut MembershipSim, members: usize, step: usize) {
    if step.is_multiple_of(40) {
        for index in 0..members {
            let digest = vec![step as u8; LOAD_DIGEST_BYTES];
            sim.send_event(index, MemberEvent::Publish(SectionKind::LoadDigest, digest));
        }
    }
    if step.is_multiple_of(400) {
        let offset = LogOffset(step as u64 + 1);
        sim.send_event(step / 400 % members, MemberEvent::ConfigOffset(offset));
    }
    if step.is_multiple_of(1_200) {
        let event = MemberEvent::Publish(SectionKind::CrashSuspicions, vec![1; 16]);
        sim.send_event(step / 1_200 % members, event);
    }
    sim.run_for(STEP);
}

fn run_steps(sim: &mut MembershipSim, members: usize, duration: Duration) {
    for step in 0..(duration.as_millis() / STEP.as_millis()) as usize {
        run_step(sim, members, step);
    }
}

fn measure_steady(members: usize, regions: usize, link: &LinkCost, seed: u64) -> SizePoint {
    let mut sim = MembershipSim::new(members, regions, seed);
    run_steps(&mut sim, members, WARM_UP);
    for index in 0..members {
        sim.take_traffic(index);
    }
    sim.processing_time = Duration::ZERO;
    run_steps(&mut sim, members, STEADY_PERIOD);
    let seconds = STEADY_PERIOD.as_secs_f64();
    let traffic: Vec<_> = (0..members).map(|index| sim.take_traffic(index)).collect();
    let rate = |count: u64| count as f64 / seconds;
    let mean = |sum: f64| sum / members as f64;
    let wire = |row: &testutils::membership_sim::MemberTraffic| {
        rate(row.bytes) + rate(row.messages) * link.overhead_bytes
    };
    let bytes_per_s = mean(traffic.iter().map(wire).sum());
    let messages_per_s = mean(traffic.iter().map(|row| rate(row.messages)).sum());
    let table_percent = mean(sim.processing_time.as_secs_f64() / seconds * 100.0);
    let core_percent = table_percent + messages_per_s * link.seconds * 100.0;
    println!(
        "{}",
        json!({"case": "membership_steady", "seed": seed, "members": members, "regions": regions,
            "payload_bytes_per_s": mean(traffic.iter().map(|row| rate(row.bytes)).sum()),
            "messages_per_s": messages_per_s, "table_core_percent": table_percent,
            "wire_bytes_per_s": bytes_per_s,
            "wire_bytes_per_s_max": traffic.iter().map(wire).fold(0.0, f64::max),
            "core_percent": core_percent,
            "naive_messages_per_s": 4.0 * (members - 1) as f64})
    );
    SizePoint { members: members as f64, regions, bytes_per_s, core_percent }
}

/// Extrapolates to the target size by a least-squares line over the fleets with the target's number
/// of regions.
fn print_slope(points: &[SizePoint], seed: u64) {
    let (members, regions) = TARGET_SIZE;
    let points: Vec<&SizePoint> = points.iter().filter(|point| point.regions == regions).collect();
    let bytes = fit(&points, |point| point.bytes_per_s);
    let core = fit(&points, |point| point.core_percent);
    println!(
        "{}",
        json!({"case": "membership_slope", "seed": seed, "members": members, "regions": regions,
            "bytes_per_s_per_member": bytes.1,
            "wire_bytes_per_s": bytes.0 + bytes.1 * members as f64,
            "target_bytes_per_s": TARGET_BYTES_PER_S,
            "core_percent_per_member": core.1,
            "core_percent": core.0 + core.1 * members as f64,
            "target_core_percent": TARGET_CORE_PERCENT})
    );
}

/// Returns the intercept and slope of a least-squares line of a value over the number of members.
fn fit(points: &[&SizePoint], value: impl Fn(&SizePoint) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.members).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| value(point)).sum::<f64>() / count;
    let deviation = |point: &SizePoint| point.members - mean_x;
    let covariance: f64 =
        points.iter().map(|point| deviation(point) * (value(point) - mean_y)).sum();
    let slope = covariance / points.iter().map(|point| deviation(point).powi(2)).sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

/// Kills random hosts under message loss and measures the time until no router uses them.
fn measure_detection(members: usize, regions: usize, seed: u64) -> Value {
    let mut sim = MembershipSim::new(members, regions, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    run_steps(&mut sim, members, WARM_UP);
    sim.loss_percent = LOSS_PERCENT;
    let mut detection =
        Histogram::<u64>::new_with_max(MAX_DETECTION_MS, 3).expect("bounds are valid");
    let at_once = if members < LARGE_FLEET { 1 } else { KILLS_AT_ONCE };
    for _ in 0..KILLS / at_once {
        let victims = sample(&mut rng, members, at_once).into_vec();
        kill_hosts(&mut sim, &victims, &mut detection);
        victims.iter().for_each(|&victim| sim.restart(victim));
        run_steps(&mut sim, members, Duration::from_secs(5));
    }
    let counters: Vec<_> = (0..members).map(|index| sim.table(index).counters()).collect();
    json!({"case": "membership_detection", "seed": seed, "members": members, "regions": regions,
        "loss_percent": LOSS_PERCENT, "kills": detection.len(), "at_once": at_once,
        "p50_ms": detection.value_at_quantile(0.5), "p99_ms": detection.value_at_quantile(0.99),
        "max_ms": detection.max(), "target_p99_ms": 5_000,
        "suspicions_raised": counters.iter().map(|row| row.suspicions).sum::<u64>(),
        "connections_max": (0..members).map(|index| sim.open_connections(index)).max()})
}

/// Kills hosts at the same time and records for each the time until no router uses it.
fn kill_hosts(sim: &mut MembershipSim, victims: &[usize], detection: &mut Histogram<u64>) {
    let begin = sim.now;
    victims.iter().for_each(|&victim| sim.kill(victim));
    let mut routed = victims.to_vec();
    while !routed.is_empty() && sim.now.since(begin) < DETECTION_LIMIT {
        sim.run_for(STEP);
        let routed_before = routed.len();
        routed.retain(|&victim| sim.count_routing_to(victim) > 0);
        for _ in routed.len()..routed_before {
            detection.saturating_record(sim.now.since(begin).as_millis() as u64);
        }
    }
    for _ in routed {
        detection.saturating_record(MAX_DETECTION_MS);
    }
}

/// Pauses one random host at a time under message loss. Measures how long routers exclude it after
/// it resumes, and how often they exclude other hosts.
fn measure_pauses(members: usize, regions: usize, seed: u64) -> Value {
    let mut sim = MembershipSim::new(members, regions, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    run_steps(&mut sim, members, WARM_UP);
    sim.loss_percent = LOSS_PERCENT;
    let mut expelled_ms = 0;
    let mut others_expelled = 0;
    for _ in 0..PAUSES {
        let victim = rng.random_range(0..members);
        sim.pause(victim, PAUSE);
        let resumed = sim.now + PAUSE;
        while sim.now < resumed + OBSERVATION_AFTER_PAUSE {
            sim.run_for(STEP);
            if sim.now > resumed && is_excluded(&sim, victim, members) {
                expelled_ms = expelled_ms.max(sim.now.since(resumed).as_millis() as u64);
            }
            let check_others = sim.now.as_millis().is_multiple_of(OTHERS_CHECK_INTERVAL_MS);
            let others = (0..members).filter(|&index| check_others && index != victim);
            others_expelled += others.filter(|&index| is_excluded(&sim, index, members)).count();
        }
    }
    json!({"case": "membership_pause", "seed": seed, "members": members, "regions": regions,
        "loss_percent": LOSS_PERCENT, "pauses": PAUSES, "pause_ms": PAUSE.as_millis() as u64,
        "expelled_after_resume_ms_max": expelled_ms, "target_ms": 2_000,
        "others_expelled": others_expelled})
}

/// Returns whether the router of some awake host excludes a host.
fn is_excluded(sim: &MembershipSim, index: usize, members: usize) -> bool {
    let awake = (0..members).filter(|&other| other != index && sim.is_awake(other)).count();
    sim.count_routing_to(index) < awake
}
