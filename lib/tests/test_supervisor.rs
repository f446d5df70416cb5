//! Restarts of a process's long-lived threads: the decisions of the policy, and their execution.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use pomelostack_lib::supervisor::ChildContext;
use pomelostack_lib::supervisor::ChildFailure;
use pomelostack_lib::supervisor::ChildSpec;
use pomelostack_lib::supervisor::ChildSupervisor;
use pomelostack_lib::supervisor::FailureResponse;
use pomelostack_lib::supervisor::RestartPolicy;
use pomelostack_lib::supervisor::SupervisorEvent;
use pomelostack_lib::timestamp::ProcessClock;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use testutils::bounded_wait::WAIT_TIMEOUT;

const CHILD: &str = "child";

/// Returns the delays of the restarts after failures at the given times; `None` is an escalation.
fn delays_ms(failures_ms: &[u64]) -> Vec<Option<u64>> {
    let mut policy = RestartPolicy::default();
    let decide = |&at: &u64| {
        let now = Timestamp::from_millis(at);
        match policy.on_failure(now) {
            FailureResponse::RestartAt(due) => Some(due.as_millis() - at),
            FailureResponse::Escalate => None,
        }
    };
    failures_ms.iter().map(decide).collect()
}

#[test]
fn growing_delays() {
    let expected = [50, 100, 200, 400, 800, 1_600, 3_200].map(Some);
    assert_eq!(delays_ms(&[0, 1, 2, 3, 4, 5, 6]), expected);
}

#[rstest]
#[case::within(59_999, None)]
#[case::at_the_end(60_000, Some(3_200))]
fn failure_window(#[case] last_ms: u64, #[case] expected: Option<u64>) {
    let failures = [0, 1, 2, 3, 4, 5, 6, last_ms];
    assert_eq!(delays_ms(&failures).last(), Some(&expected));
}

#[test]
fn rare_failures() {
    let failures: Vec<u64> = (0..20).map(|index| index * 60_000).collect();
    assert!(delays_ms(&failures).iter().all(|delay| *delay == Some(50)));
}

/// A supervised child. Its work gets the number of the current start, counted from 1.
struct Supervised {
    supervisor: ChildSupervisor,
    events: mpsc::Receiver<SupervisorEvent>,
    runs: mpsc::Receiver<u64>,
}

impl Supervised {
    fn start(
        stall_limit: Option<Duration>,
        work: impl Fn(u64, &ChildContext) + Send + Sync + 'static,
    ) -> Self {
        let (begun, runs) = mpsc::channel();
        let starts = AtomicU64::new(0);
        let work = Arc::new(move |context: &ChildContext| {
            let number = starts.fetch_add(1, Ordering::Relaxed) + 1;
            begun.send(number).expect("the test receives the start");
            work(number, context);
        });
        let (sender, events) = mpsc::channel();
        let specs = vec![ChildSpec { name: CHILD, stall_limit, work }];
        let supervisor = ChildSupervisor::start(specs, ProcessClock::start(), sender);
        Self { supervisor: supervisor.expect("the threads start"), events, runs }
    }

    fn next_event(&self) -> SupervisorEvent {
        self.events.recv_timeout(WAIT_TIMEOUT).expect("an event arrives")
    }

    fn wait_for_run(&self, number: u64) {
        while self.runs.recv_timeout(WAIT_TIMEOUT).expect("the child starts") < number {}
    }
}

fn work_until_stopped(context: &ChildContext) {
    while !context.must_stop() {
        context.report_progress();
        std::thread::yield_now();
    }
}

#[rstest]
#[case::panicked(ChildFailure::Panicked)]
#[case::ended(ChildFailure::Ended)]
fn failed_child(#[case] failure: ChildFailure) {
    let supervised = Supervised::start(None, move |number, context| match (number, failure) {
        (1, ChildFailure::Panicked) => panic!("the first start fails"),
        (1, _) => {}
        _ => work_until_stopped(context),
    });
    assert_eq!(supervised.next_event(), SupervisorEvent::Restarting(CHILD, failure));
    supervised.wait_for_run(2);
    assert_eq!(supervised.supervisor.restarts(), 1);
    supervised.supervisor.stop();
    assert!(supervised.events.try_recv().is_err(), "a stopped child does not count as failed");
}

#[test]
fn stalled_child() {
    let (superseded, ended) = mpsc::channel();
    let limit = Some(Duration::from_millis(500));
    let supervised = Supervised::start(limit, move |number, context| {
        if number > 1 {
            return work_until_stopped(context);
        }
        while !context.must_stop() {
            std::thread::yield_now();
        }
        superseded.send(()).expect("the test receives the end");
    });
    let event = supervised.next_event();
    assert_eq!(event, SupervisorEvent::Restarting(CHILD, ChildFailure::Stalled));
    ended.recv_timeout(WAIT_TIMEOUT).expect("the stalled child is told to end");
    supervised.wait_for_run(2);
    supervised.supervisor.stop();
}

#[test]
fn escalated_child() {
    let supervised = Supervised::start(None, |_, _| panic!("every start fails"));
    for _ in 1..8 {
        let restarting = SupervisorEvent::Restarting(CHILD, ChildFailure::Panicked);
        assert_eq!(supervised.next_event(), restarting);
    }
    let escalated = SupervisorEvent::Escalated(CHILD, ChildFailure::Panicked);
    assert_eq!(supervised.next_event(), escalated);
    assert_eq!(supervised.supervisor.restarts(), 7);
    supervised.supervisor.stop();
}
