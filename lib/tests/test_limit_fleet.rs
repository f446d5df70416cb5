//! Limits that servers name for all hosts together, in simulated fleets.

use std::time::Duration;

use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use testutils::limit_simulator::LimitFault;
use testutils::limit_simulator::LimitOutcome;
use testutils::limit_simulator::LimitSchedule;
use testutils::limit_simulator::LimitShape;
use testutils::limit_simulator::LimitSimulator;

/// Demand as a multiple of what the servers take.
const OVERLOAD: f64 = 100.0;

/// Time from the first naming of a limit from which on it holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from which on the parts of a limit are in use.
const SETTLED: Duration = Duration::from_secs(9);

/// Part of a limit that is used by a demand far beyond it.
const USED: f64 = 0.9;

fn begin() -> Timestamp {
    LimitSimulator::begin()
}

fn after(millis: u64) -> Timestamp {
    begin() + Duration::from_millis(millis)
}

/// Returns servers that name a limit from the begin on.
fn limited(count: usize, limit: f64) -> Vec<LimitSchedule> {
    vec![LimitSchedule(vec![(begin(), Some(limit))]); count]
}

/// Checks that no server got more than it allows in any window after the time of contact.
fn check_windows(outcome: &LimitOutcome, schedules: &[LimitSchedule], from: Timestamp) {
    for (server, schedule) in schedules.iter().enumerate() {
        if let Some((count, allowed, at)) = outcome.worst_window(server, schedule, from) {
            assert!(
                count as f64 <= allowed,
                "{count} requests in a window at server {server} from {:?} on, {allowed} allowed",
                at.since(begin())
            );
        }
    }
}

/// Checks that the requests of a span are near what the limit allows.
fn check_mean(outcome: &LimitOutcome, server: usize, limit: f64, from: Timestamp, to: Timestamp) {
    let allowed = limit * to.since(from).as_secs_f64();
    let count = outcome.told_arrivals(server, from, to) as f64;
    // A request more or less at each end of the span.
    assert!(
        count <= allowed * 1.02 + 5.0,
        "{count} requests at server {server}, {allowed} allowed"
    );
    let least = allowed * USED - 2.0;
    assert!(count >= least, "{count} requests at server {server}, {allowed} allowed");
}

#[rstest]
fn steady_limit(
    #[values(8, 84, 295)] hosts: usize,
    #[values(0.1, 1.0, 1.1, 7.0, 200.0)] limit: f64,
) {
    let shape = LimitShape::of_hosts(hosts, limit * OVERLOAD);
    let schedules = limited(1, limit);
    let end = after(if limit < 1.0 { 50_000 } else { 25_000 });
    let outcome = LimitSimulator::new(shape, schedules.clone(), 1).run(end);
    check_windows(&outcome, &schedules, begin() + CONTACT);
    check_mean(&outcome, 0, limit, begin() + SETTLED, end);
}

/// Returns a limit that takes these values in turn, each for so long.
fn changing(limits: &[Option<f64>], each_ms: u64, count: u64) -> LimitSchedule {
    let values = limits.iter().copied().cycle().zip(0..count);
    LimitSchedule(values.map(|(limit, index)| (after(index * each_ms), limit)).collect())
}

#[rstest]
// With each answer, nearly.
#[case::changed(&[Some(3.0), Some(5.0), Some(4.0)], 300)]
#[case::alternating(&[Some(1.0), Some(20.0)], 1_000)]
#[case::doubled(&[Some(2.0), Some(4.0), Some(8.0), Some(16.0)], 6_000)]
#[case::halved(&[Some(16.0), Some(8.0), Some(4.0), Some(2.0)], 6_000)]
#[case::lifted(&[Some(2.0), None], 8_000)]
#[case::named_anew(&[Some(2.0), Some(2.0), Some(2.0), Some(2.0), None], 1_000)]
fn changing_limit(
    #[case] limits: &[Option<f64>],
    #[case] each_ms: u64,
    #[values(8, 84)] hosts: usize,
    #[values(1, 2)] seed: u64,
) {
    let schedules = vec![changing(limits, each_ms, 30_000 / each_ms)];
    let shape = LimitShape::of_hosts(hosts, 400.0);
    let outcome = LimitSimulator::new(shape, schedules.clone(), seed).run(after(30_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
}

#[rstest]
#[case::restart(&[(5_000, LimitFault::Restart(0)), (9_000, LimitFault::Restart(1))])]
#[case::rolling(&[
    (4_000, LimitFault::Restart(0)), (6_000, LimitFault::Restart(1)),
    (8_000, LimitFault::Restart(2)), (10_000, LimitFault::Restart(3)),
    (12_000, LimitFault::Restart(4)), (14_000, LimitFault::Restart(5)),
])]
#[case::power_loss(&[(6_000, LimitFault::PowerLoss), (15_000, LimitFault::PowerLoss)])]
#[case::killed(&[(5_000, LimitFault::Kill(0)), (5_000, LimitFault::Kill(1)),
    (5_000, LimitFault::Kill(2))])]
#[case::leaving(&[(4_000, LimitFault::Leave(0)), (7_000, LimitFault::Leave(1)),
    (10_000, LimitFault::Leave(2))])]
#[case::cut_off(&[(5_000, LimitFault::CutOff(0)), (18_000, LimitFault::Reconnect(0))])]
#[case::partition(&[(5_000, LimitFault::Partition), (18_000, LimitFault::Heal)])]
#[case::frozen(&[(5_000, LimitFault::Freeze(0, 8_000)), (5_500, LimitFault::Freeze(1, 3_000)),
    (16_000, LimitFault::Freeze(2, 500))])]
#[case::held_link(&[(5_000, LimitFault::HoldLink(0, 2_000)), (9_000, LimitFault::HoldLink(1, 2_400))])]
#[case::held_links(&[(5_000, LimitFault::HoldLinks(1_500)), (12_000, LimitFault::HoldLinks(2_400))])]
#[case::added(&[(5_000, LimitFault::Add(4)), (12_000, LimitFault::Add(16))])]
fn fleet_faults(
    #[case] faults: &[(u64, LimitFault)],
    #[values((8, 1), (8, 2), (8, 3), (84, 1))] (hosts, seed): (usize, u64),
    #[values(1.0, 7.0)] limit: f64,
) {
    let schedules = limited(3, limit);
    let shape = LimitShape::of_hosts(hosts, limit * OVERLOAD * 3.0);
    let mut simulator = LimitSimulator::new(shape, schedules.clone(), seed);
    for (millis, fault) in faults {
        simulator.add_fault(after(*millis), *fault);
    }
    let outcome = simulator.run(after(26_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
}

#[rstest]
#[case::partition(&[(5_000, LimitFault::Partition), (70_000, LimitFault::Heal)])]
#[case::cut_off(&[(5_000, LimitFault::CutOff(0)), (6_000, LimitFault::CutOff(1)),
    (70_000, LimitFault::Reconnect(0))])]
fn long_cut(
    #[case] faults: &[(u64, LimitFault)],
    #[values(8, 84)] hosts: usize,
    #[values(1.0, 7.0)] limit: f64,
) {
    let schedules = limited(3, limit);
    let shape = LimitShape::of_hosts(hosts, limit * OVERLOAD * 3.0);
    let mut simulator = LimitSimulator::new(shape, schedules.clone(), 1);
    for (millis, fault) in faults {
        simulator.add_fault(after(*millis), *fault);
    }
    let outcome = simulator.run(after(80_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
}

#[rstest]
fn lossy_summaries(#[values(8, 84)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut shape = LimitShape::of_hosts(hosts, 600.0);
    (shape.loss_one_in, shape.summary_delay) = (3, Duration::from_millis(1_400));
    let schedules = limited(3, 2.0);
    let outcome = LimitSimulator::new(shape, schedules.clone(), seed).run(after(40_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
    for server in 0..3 {
        check_mean(&outcome, server, 2.0, begin() + SETTLED, after(40_000));
    }
}

#[rstest]
fn uneven_demand(#[values(8, 84)] hosts: usize, #[values(1, 2)] seed: u64) {
    // Half of the hosts get next to nothing.
    let mut shape = LimitShape::of_hosts(hosts, 800.0);
    shape.demand.iter_mut().step_by(2).for_each(|demand| *demand /= 200.0);
    let schedules = limited(2, 4.0);
    let outcome = LimitSimulator::new(shape, schedules.clone(), seed).run(after(40_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
    for server in 0..2 {
        check_mean(&outcome, server, 4.0, begin() + SETTLED, after(40_000));
    }
}

#[rstest]
#[case::large(295, 1)]
#[case::large_power_loss(295, 2)]
fn large_fleet(#[case] hosts: usize, #[case] seed: u64) {
    let schedules = limited(12, 1.0);
    let shape = LimitShape::of_hosts(hosts, 12.0 * OVERLOAD);
    let mut simulator = LimitSimulator::new(shape, schedules.clone(), seed);
    if seed == 2 {
        simulator.add_fault(after(6_000), LimitFault::PowerLoss);
    }
    let outcome = simulator.run(after(16_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
}

#[rstest]
fn limits_of_service(#[values(8, 84)] hosts: usize, #[values(1, 2)] seed: u64) {
    let schedules = limited(24, 1.0);
    let shape = LimitShape::of_hosts(hosts, 24.0 * OVERLOAD);
    let outcome = LimitSimulator::new(shape, schedules.clone(), seed).run(after(40_000));
    check_windows(&outcome, &schedules, begin() + CONTACT);
    for server in 0..24 {
        check_mean(&outcome, server, 1.0, begin() + SETTLED, after(40_000));
    }
}

#[rstest]
fn end_of_limit(#[values(8, 84)] hosts: usize, #[values(1, 2)] seed: u64) {
    let lifted_at = after(10_000);
    let schedules = vec![LimitSchedule(vec![(begin(), Some(2.0)), (lifted_at, None)])];
    let demand = 400.0;
    let shape = LimitShape::of_hosts(hosts, demand);
    let outcome = LimitSimulator::new(shape, schedules, seed).run(after(24_000));
    let arrivals = |from: u64, to: u64| {
        let span = after(from)..after(to);
        outcome.arrivals[0].iter().filter(|arrival| span.contains(&arrival.at)).count()
    };
    // All of the demand again, but not at once.
    let all = demand * 4.0;
    assert!(arrivals(20_000, 24_000) as f64 > all * 0.9, "{}", arrivals(20_000, 24_000));
    let first = arrivals(10_000, 13_000);
    assert!((first as f64) < demand, "{first} requests in three seconds");
}
