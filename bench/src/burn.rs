//! Measures the error budget burn report: size of contributions, time to record a request, and time
//! to merge the contributions of all hosts.

use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::burn::BUCKET_LENGTH;
use pomelostack_lib::burn::BurnMerger;
use pomelostack_lib::burn::BurnRecorder;
use pomelostack_lib::burn::RETAINED_BUCKETS;
use pomelostack_lib::burn_report::BurnReport;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::ServiceName;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const HOST_COUNTS: [usize; 4] = [7, 50, 100, 370];
const SERVICES: usize = 10;
const REQUESTS_PER_BUCKET: usize = 18;
const TARGET_SHARE_PERMILLE: u16 = 950;
const START_UNIX_MS: u64 = 1_000_000_000;

/// Measures each fleet size and prints one line for it.
pub fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let begin = Instant::now();
    let mut recorder = full_recorder(0, &mut rng);
    let records = RETAINED_BUCKETS * SERVICES * REQUESTS_PER_BUCKET;
    let record_ns = begin.elapsed().as_nanos() as f64 / records as f64;
    let end_ms = START_UNIX_MS + RETAINED_BUCKETS as u64 * BUCKET_LENGTH.as_millis() as u64;
    let sample = recorder.contribution(end_ms).expect("encodes");
    let bytes = sample.encode().expect("encodes").len();
    for hosts in HOST_COUNTS {
        let begin = Instant::now();
        let mut merger = BurnMerger::default();
        for index in 0..hosts {
            let mut contribution = sample.clone();
            contribution.host = host(index);
            merger.merge(contribution);
        }
        let report = BurnReport::build(end_ms, &merger, Vec::new()).expect("builds");
        println!(
            "{}",
            json!({"case": "burn_report", "seed": seed, "hosts": hosts, "services": SERVICES,
                "contribution_bytes": bytes, "fetched_bytes": bytes * hosts,
                "record_ns": record_ns, "build_ms": begin.elapsed().as_secs_f64() * 1e3,
                "requests": report.services.iter().map(|row| row.windows[2].count.total)
                    .sum::<u64>()})
        );
    }
}

fn host(index: usize) -> HostId {
    HostId::try_from(format!("entry-{index:03}")).expect("valid")
}

/// Returns a recorder whose ring of buckets is full for every service.
fn full_recorder(index: usize, rng: &mut ChaCha8Rng) -> BurnRecorder {
    let mut recorder = BurnRecorder::new(host(index), Incarnation(1));
    let services: Vec<ServiceName> = (0..SERVICES)
        .map(|index| ServiceName::try_from(format!("service-{index}")).expect("valid"))
        .collect();
    for bucket in 0..RETAINED_BUCKETS as u64 {
        let unix_ms = START_UNIX_MS + bucket * BUCKET_LENGTH.as_millis() as u64;
        for service in &services {
            for _ in 0..REQUESTS_PER_BUCKET {
                let latency = Duration::from_micros(rng.random_range(1_000..2_000_000));
                let is_good = latency < Duration::from_secs(1);
                recorder.record(unix_ms, service, TARGET_SHARE_PERMILLE, latency, is_good);
            }
        }
    }
    recorder
}
