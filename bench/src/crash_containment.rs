//! Measures how many servers a crashing request takes down, by the delay of crash reports between
//! hosts and by the interval at which callers resend the request.

use std::time::Duration;

use pomelostack_lib::crash_suspects::WorkFingerprint;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use testutils::crash_fleet::CrashFleet;
use testutils::crash_fleet::FleetJob;
use testutils::crash_fleet::ServerChoice;

const HOSTS: usize = 8;
const SERVERS: usize = 10;
const SCHEDULES: u64 = 20;
const CRASHING_REQUESTS: u64 = 30;
const HARMLESS_REQUESTS: u128 = 200;
const END: Timestamp = Timestamp::from_millis(150_000);
const CRASHING_WORK: WorkFingerprint = WorkFingerprint(1);
const SHARING_DELAYS_MS: [u64; 4] = [20, 100, 500, 1_500];
const CHOICES: [(&str, ServerChoice); 2] =
    [("least_loaded", ServerChoice::LeastLoaded), ("same_two", ServerChoice::SameTwo)];
const RESEND_INTERVALS_MS: [u64; 4] = [3_000, 1_000, 200, 50];

/// Printed result; an innocent is a request that does not crash its server.
#[derive(Serialize)]
struct ContainmentLine {
    case: &'static str,
    choice: &'static str,
    seed: u64,
    sharing_delay_ms: u64,
    resend_interval_ms: u64,
    schedules: u64,
    target_servers: u32,
    max_servers: u32,
    schedules_over_target: u64,
    innocents: u64,
    innocents_refused: u64,
    innocents_unanswered: u64,
}

/// Simulates schedules for each policy, delay and interval, and prints one line for each.
pub fn run(seed: u64) {
    for (choice_name, choice) in CHOICES {
        for sharing_delay_ms in SHARING_DELAYS_MS {
            for resend_interval_ms in RESEND_INTERVALS_MS {
                let line = measure(seed, choice, sharing_delay_ms, resend_interval_ms);
                let line = ContainmentLine { choice: choice_name, ..line };
                match serde_json::to_string(&line) {
                    Ok(text) => println!("{text}"),
                    Err(error) => eprintln!("crash_containment: {error}"),
                }
            }
        }
    }
}

fn measure(
    seed: u64,
    choice: ServerChoice,
    sharing_delay_ms: u64,
    resend_interval_ms: u64,
) -> ContainmentLine {
    let mut line = ContainmentLine {
        case: "crash_containment",
        choice: "",
        seed,
        sharing_delay_ms,
        resend_interval_ms,
        schedules: SCHEDULES,
        target_servers: 2,
        max_servers: 0,
        schedules_over_target: 0,
        innocents: SCHEDULES * HARMLESS_REQUESTS as u64,
        innocents_refused: 0,
        innocents_unanswered: 0,
    };
    for schedule in seed..seed + SCHEDULES {
        let jobs = random_jobs(schedule, resend_interval_ms);
        let delay = Duration::from_millis(sharing_delay_ms);
        let fleet = CrashFleet::new(HOSTS, SERVERS, delay, choice);
        let counts = fleet.play(&jobs, END);
        let servers = counts.crashes.get(&CRASHING_WORK).copied().unwrap_or(0);
        line.max_servers = line.max_servers.max(servers);
        line.schedules_over_target += u64::from(servers > line.target_servers);
        let refused = counts.refused.iter().filter(|&&refused| refused != CRASHING_WORK);
        line.innocents_refused += refused.count() as u64;
        line.innocents_unanswered += HARMLESS_REQUESTS as u64 - u64::from(counts.answered);
    }
    line
}

fn random_jobs(seed: u64, resend_interval_ms: u64) -> Vec<FleetJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let crashes_after = Duration::from_millis(rng.random_range(20..800));
    let mut jobs = Vec::new();
    for n in 0..HARMLESS_REQUESTS {
        jobs.push(FleetJob {
            part: None,
            at: Timestamp::from_millis(rng.random_range(0..60_000)),
            host: rng.random_range(0..HOSTS),
            fingerprint: WorkFingerprint(1_000 + n),
            length: Duration::from_millis(rng.random_range(50..4_000)),
            crashes_after: None,
        });
    }
    for n in 0..CRASHING_REQUESTS {
        jobs.push(FleetJob {
            part: None,
            at: Timestamp::from_millis(1_000 + n * resend_interval_ms),
            host: rng.random_range(0..HOSTS),
            fingerprint: CRASHING_WORK,
            length: Duration::from_secs(1),
            crashes_after: Some(crashes_after),
        });
    }
    jobs
}
