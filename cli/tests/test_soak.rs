//! A short seeded soak of gateway processes. `cargo run --release -p pomelostack-soak` runs long ones.

use std::path::Path;
use std::time::Duration;

use pomelostack_soak::soak_run::SoakSettings;
use pomelostack_soak::soak_run::log_folder;
use pomelostack_soak::soak_run::run_soak;
use rstest::rstest;

/// Second byte of the hosts' loopback addresses of the first run, apart from those of other tests.
const FIRST_SUBNET: u8 = 201;

#[rstest]
#[case::silent_connections(106, 0)]
#[case::silent_store(101, 1)]
#[case::restored_store(125, 2)]
#[case::silent_replicas(6, 3)]
#[case::growing_fleet(3, 4)]
fn short_soak(#[case] seed: u64, #[case] number: u8) {
    let settings = SoakSettings {
        program: env!("CARGO_BIN_EXE_pomelostack").into(),
        logs: log_folder(Path::new(env!("CARGO_TARGET_TMPDIR")), seed),
        seed,
        hosts: 5,
        callers: 6,
        length: Duration::from_secs(39),
        subnet: FIRST_SUBNET + number,
    };
    let report = run_soak(&settings).expect("the run ends");
    assert!(report.answers > 1_000 && report.versions > 10, "{report:?}");
    assert!(report.violations.is_empty(), "{report:#?}");
}
