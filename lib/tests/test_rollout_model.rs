//! Roll-outs of good and bad versions in fleets of all sizes, whose reports arrive late or never.

use std::time::Duration;

use pomelostack_lib::gateway::rollout::rollout_order::RolloutState;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use testutils::rollout_world::RolloutCase;
use testutils::rollout_world::RolloutOutcome;
use testutils::rollout_world::VersionFault;
use testutils::rollout_world::run_rollout;

/// Bad answers that hosts must have seen to tell a bad version from a good one.
const TELLING_ANSWERS: u64 = 12;

/// Time of an order.
const DURATION: Duration = Duration::from_secs(12);

fn draw_case(seed: u64, hosts: usize) -> RolloutCase {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fault = match random.random_range(0..4) {
        0 | 1 => VersionFault::Good,
        2 => VersionFault::Fails(random.random_range(0.1..1.0)),
        _ => VersionFault::Slow(random.random_range(0.4..1.0), random.random_range(4.0..8.0)),
    };
    let millis = |random: &mut ChaCha8Rng, least, most| {
        Duration::from_millis(random.random_range(least..most))
    };
    let servers_at = millis(&mut random, 200, 4_000);
    RolloutCase {
        seed,
        hosts,
        rate: random.random_range(150.0..700.0),
        duration: DURATION,
        fault,
        fault_from: if random.random() { Duration::ZERO } else { millis(&mut random, 0, 8_000) },
        fault_route: random.random_bool(0.4).then(|| random.random_range(0..3)),
        servers_at,
        holder_lost_at: random.random_bool(0.2).then(|| millis(&mut random, 500, 5_000)),
        restarts: random
            .random_bool(0.3)
            .then(|| (millis(&mut random, 500, 10_000), random.random_range(1..=hosts))),
    }
}

/// Checks what holds for all versions.
fn check_bounds(case: &RolloutCase, outcome: &RolloutOutcome) {
    assert_eq!(outcome.forbidden, 0, "{case:?} {outcome:?}");
    if case.fault != VersionFault::Good {
        assert!(outcome.excess <= 0.0, "{case:?} {outcome:?}");
        assert_eq!(outcome.late, 0, "{case:?} {outcome:?}");
    }
}

/// Hosts send more to a bad version than it may get, send before a step or after the end, complete a bad
/// version, or roll back a good one.
#[rstest]
#[case::small(8, 160)]
#[case::medium(63, 120)]
#[case::large(295, 50)]
fn generated_cases(#[case] hosts: usize, #[case] cases: u64) {
    let mut wrong = Vec::new();
    let mut unseen = 0;
    for seed in 0..cases {
        let case = draw_case(seed * 1_000 + hosts as u64, hosts);
        let outcome = run_rollout(&case);
        check_bounds(&case, &outcome);
        let expected = match case.fault {
            VersionFault::Good => RolloutState::Completed,
            VersionFault::Fails(_) | VersionFault::Slow(..) => RolloutState::RolledBack,
        };
        let is_right = outcome.end.is_some_and(|(state, age)| state == expected && age <= DURATION);
        // A fault that strikes just before the decision cannot be seen.
        let is_unseen = case.fault != VersionFault::Good && outcome.seen_bad < TELLING_ANSWERS;
        unseen += u64::from(!is_right && is_unseen);
        if !is_right && !is_unseen {
            wrong.push((case, outcome));
        }
    }
    let wrong: Vec<String> =
        wrong.iter().map(|(case, outcome)| format!("{case:?} {outcome:?}")).collect();
    assert!(unseen * 25 <= cases, "{unseen} of {cases} were not seen");
    assert!(wrong.is_empty(), "{} of {cases}:\n{}", wrong.len(), wrong.join("\n"));
}
