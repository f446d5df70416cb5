//! Retry budget: the share granted per success, and the refill over time.

use std::time::Duration;

use pomelostack_lib::retry_budget::RetryBudget;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;

/// Spends all retries in the budget and returns their number.
fn drain(budget: &mut RetryBudget, now: Timestamp) -> u32 {
    (0..1_000).take_while(|_| budget.try_spend(now)).count() as u32
}

#[rstest]
#[case::fifth(20, 100, 20)]
#[case::none(0, 100, 0)]
#[case::most(100, 10_000, 50)]
fn share_granted(#[case] percent: u32, #[case] successes: u32, #[case] retries: u32) {
    let mut budget = RetryBudget::new(percent);
    let now = Timestamp::default();
    drain(&mut budget, now);
    (0..successes).for_each(|_| budget.on_success());
    assert_eq!(drain(&mut budget, now), retries);
}

#[test]
fn idle_refill() {
    let mut budget = RetryBudget::new(20);
    drain(&mut budget, Timestamp::default());
    let now = Timestamp::default() + Duration::from_secs(3);
    assert_eq!(drain(&mut budget, now), 3);
    assert_eq!(drain(&mut budget, now), 0);
    assert_eq!(drain(&mut budget, now + Duration::from_secs(3_600)), 50);
}

/// Spending at intervals of less than a millisecond must not lose fractions of the refill.
#[test]
fn frequent_refills() {
    let mut budget = RetryBudget::new(0);
    drain(&mut budget, Timestamp::default());
    let times = (1..=10_000_u64).map(|n| Timestamp(n * 300));
    let granted = times.filter(|&now| budget.try_spend(now)).count();
    assert_eq!(granted, 3);
}
