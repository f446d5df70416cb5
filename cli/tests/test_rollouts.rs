//! Roll-outs of a good and a bad version at hosts that run as processes.

use std::path::Path;

use pomelostack_soak::rollout_soak::RolloutSettings;
use pomelostack_soak::rollout_soak::run_rollouts;
use pomelostack_soak::soak_run::log_folder;
use rstest::rstest;

/// Second byte of the hosts' loopback addresses of the first run, apart from those of other tests.
const FIRST_SUBNET: u8 = 221;

/// A bad version gets too much or is completed, a good one is rolled back, or a version runs requests before
/// its order or after its end.
#[rstest]
#[case::calm(1, 0, false)]
#[case::faults(2, 1, true)]
fn good_and_bad(#[case] seed: u64, #[case] number: u8, #[case] has_faults: bool) {
    let settings = RolloutSettings {
        program: env!("CARGO_BIN_EXE_pomelostack").into(),
        logs: log_folder(Path::new(env!("CARGO_TARGET_TMPDIR")), 9_000 + seed),
        seed,
        hosts: 3,
        subnet: FIRST_SUBNET + number,
        has_faults,
    };
    let report = run_rollouts(&settings).expect("the run ends");
    assert_eq!(report.orders.len(), 2, "{report:#?}");
    assert!(report.orders.iter().all(|order| order.runs > 0), "{report:#?}");
    assert!(report.violations.is_empty(), "{report:#?}");
}
