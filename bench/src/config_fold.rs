//! Measures the configuration fold: time of a change, a digest and a checkpoint, and their sizes.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::config_fold::ConfigFold;
use pomelostack_lib::config_fold::MAX_KNOWN_CHANGES;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ConfigRecord;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::ids::LogOffset;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use testutils::config_samples::change_service;
use testutils::config_samples::document_json;
use testutils::config_samples::sample_change;
use testutils::config_samples::service_json;

/// Number of services in each measured configuration.
const SIZES: [usize; 3] = [10, 100, 1_000];

/// Changes that are folded for each size: one day's changes at the target size.
const CHANGES: u64 = 4_400;

/// Repetitions over which the time of a digest or checkpoint is averaged.
const REPEATS: u32 = 50;

/// Measures each size and prints one line for it.
pub fn run(seed: u64) {
    for services in SIZES {
        measure(services, seed);
    }
}

fn measure(services: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<String> = (0..services).map(|index| format!("service-{index:04}")).collect();
    let document: Vec<String> = names.iter().map(|name| service_json(name, 200)).collect();
    let mut fold = ConfigFold::default();
    let whole = ResourceOperation::PutWhole(document_json(&document, &[]));
    fold.apply(LogOffset(0), &sample_change(0, None, vec![whole]));
    let changes: Vec<ConfigChange> = (1..=CHANGES)
        .map(|offset| {
            let name = &names[rng.random_range(0..services)];
            let step = change_service(name, rng.random_range(100..1_000));
            sample_change(u128::from(offset), Some(offset - 1), vec![step])
        })
        .collect();
    let record_bytes = ConfigRecord::Change(changes[0].clone()).encode().map_or(0, |r| r.len());
    let started = Instant::now();
    for (offset, change) in (1..).zip(&changes) {
        fold.apply(LogOffset(offset), change);
    }
    let fold_time = started.elapsed();
    let digest_time = time_each(|| fold.digest());
    let checkpoint_time = time_each(|| fold.to_checkpoint());
    let checkpoint = fold.to_checkpoint();
    let load_time = time_each(|| ConfigFold::from_checkpoint(&checkpoint));
    let line = json!({
        "case": "config_fold",
        "services": services,
        "changes": CHANGES,
        "accepted_last": fold.revision().map(|offset| offset.0),
        "known_changes": fold.history().count().min(MAX_KNOWN_CHANGES),
        "record_bytes": record_bytes,
        "document_bytes": fold.state().to_json().len(),
        "checkpoint_bytes": checkpoint.data.len(),
        "checkpoint_parts": checkpoint.split().len(),
        "fold_us_per_change": fold_time.as_secs_f64() * 1e6 / CHANGES as f64,
        "digest_us": micros(digest_time),
        "write_checkpoint_us": micros(checkpoint_time),
        "read_checkpoint_us": micros(load_time),
        "seed": seed,
    });
    println!("{line}");
}

fn time_each<T>(mut work: impl FnMut() -> T) -> Duration {
    let started = Instant::now();
    for _ in 0..REPEATS {
        black_box(work());
    }
    started.elapsed() / REPEATS
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
