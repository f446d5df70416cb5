//! Judge of what reaches replicas that name a limit.

use std::time::Duration;

use pomelostack_soak::limit_judge::LimitArrival;
use pomelostack_soak::limit_judge::LimitedReplica;
use pomelostack_soak::touch_record::Disturbance;
use pomelostack_soak::touch_record::DisturbedPart;
use pomelostack_soak::touch_record::TouchRecord;
use rstest::rstest;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a replica that names a limit of 1 a second from second 10 on and tells it to two hosts.
fn replica() -> LimitedReplica {
    let answers = [0, 1].map(|host| LimitArrival { host, at: at(10_100) });
    LimitedReplica {
        limits: vec![(at(10_000), Some(1.0))],
        arrivals: Vec::new(),
        answers: answers.to_vec(),
    }
}

fn send(replica: &mut LimitedReplica, from: u64, count: u64, host: usize) {
    let sent = (0..count).map(|number| LimitArrival { host, at: at(from + number * 100) });
    replica.arrivals.extend(sent);
}

fn excess(replica: &LimitedReplica, touch: &TouchRecord) -> Option<usize> {
    let told = replica.told_arrivals(touch);
    replica.worst_excess(&told).map(|excess| excess.count)
}

#[rstest]
// 1.5 x 4 + 5 are allowed.
#[case::allowed(11, 20_000, None)]
#[case::too_many(12, 20_000, Some(12))]
#[case::before_contact(12, 10_700, None)]
fn requests_of_two_hosts(#[case] count: u64, #[case] from: u64, #[case] expected: Option<usize>) {
    let mut replica = replica();
    send(&mut replica, from, count / 2, 0);
    send(&mut replica, from + 50, count - count / 2, 1);
    assert_eq!(excess(&replica, &TouchRecord::default()), expected);
}

#[rstest]
#[case::untold_host(2, None)]
#[case::restarted_host(1, None)]
#[case::told_host(0, Some(30))]
fn excused_hosts(#[case] host: usize, #[case] expected: Option<usize>) {
    let mut touch = TouchRecord::default();
    touch.add(Disturbance { part: DisturbedPart::Host(1), from: at(15_000), to: at(15_100) });
    let mut replica = replica();
    send(&mut replica, 20_000, 30, host);
    assert_eq!(excess(&replica, &touch), expected);
}

#[test]
fn limit_that_ends() {
    let mut replica = replica();
    replica.limits.push((at(21_000), None));
    send(&mut replica, 20_000, 30, 0);
    assert_eq!(excess(&replica, &TouchRecord::default()), None);
}
