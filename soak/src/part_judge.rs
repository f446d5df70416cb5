//! Judges what reaches replicas that crash, that say that they leave, or that ask for a pause.

use std::time::Duration;

use crate::touch_record::TouchRecord;

/// Crashes by one part after which requests with it must stop.
const CRASH_LIMIT: usize = 5;

/// Time after that crash from which on they must.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests that may follow all the same.
const MAX_LATE_RUNS: usize = 3;

/// Time after the begin of a run by which its host knows that the replica leaves: the longest work, the
/// longest silence, and a second.
const LEAVING_BOUND: Duration = Duration::from_secs(6);

/// Time after a request was turned away by which its host knows of the pause.
const PAUSE_SLACK: Duration = Duration::from_millis(250);

/// A request that reached a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaArrival {
    /// Id of the replica.
    pub replica: String,
    /// Host that sent it.
    pub host: usize,
    /// When it arrived.
    pub at: Duration,
    /// What the replica did with it.
    pub outcome: ArrivalOutcome,
}

/// What a replica did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// It answered.
    Answered,
    /// It answered and said that it leaves.
    SaidLeaving,
    /// It asked for a pause.
    TurnedAway,
    /// It began to crash by a part of the request.
    Crashed,
}

/// Returns crashing requests that reached replicas though they had crashed enough of them, if there are
/// too many from hosts in touch.
pub fn judge_crashing<'a>(
    arrivals: &'a [ReplicaArrival],
    crashes: &[Duration],
    touch: &TouchRecord,
) -> Vec<&'a ReplicaArrival> {
    let Some(limit) = crashes.get(CRASH_LIMIT - 1) else { return Vec::new() };
    let late: Vec<&ReplicaArrival> = arrivals
        .iter()
        .filter(|arrival| {
            arrival.outcome == ArrivalOutcome::Crashed
                && arrival.at > *limit + CONTACT_TIME
                && touch.in_touch(arrival.host, arrival.at - CONTACT_TIME, arrival.at)
        })
        .collect();
    if late.len() > MAX_LATE_RUNS { late } else { Vec::new() }
}

/// Returns requests that a host sent to a replica after it had said to that host that it leaves.
pub fn judge_leaving<'a>(
    arrivals: &'a [ReplicaArrival],
    touch: &TouchRecord,
) -> Vec<&'a ReplicaArrival> {
    let notices = arrivals.iter().filter(|item| item.outcome == ArrivalOutcome::SaidLeaving);
    let late = notices.flat_map(|notice| {
        arrivals.iter().filter(move |arrival| {
            arrival.replica == notice.replica
                && arrival.host == notice.host
                && arrival.at > notice.at + LEAVING_BOUND
                && touch.in_touch(arrival.host, notice.at, arrival.at)
        })
    });
    late.collect()
}

/// Returns requests that a host sent to a replica during a pause that it had asked that host for.
pub fn judge_pauses<'a>(
    arrivals: &'a [ReplicaArrival],
    pause: Duration,
    touch: &TouchRecord,
) -> Vec<&'a ReplicaArrival> {
    let notices = arrivals.iter().filter(|item| item.outcome == ArrivalOutcome::TurnedAway);
    let early = notices.flat_map(|notice| {
        arrivals.iter().filter(move |arrival| {
            arrival.replica == notice.replica
                && arrival.host == notice.host
                && arrival.at > notice.at + PAUSE_SLACK
                && arrival.at < notice.at + pause
                && touch.in_touch(arrival.host, notice.at, arrival.at)
        })
    });
    early.collect()
}
