//! Judges how many requests reach replicas that name a limit for all hosts together.

use std::time::Duration;

use pomelostack_lib::timestamp::Timestamp;
use testutils::limit_simulator::LimitSchedule;
use testutils::limit_simulator::NOTICE_TIME;
use testutils::limit_simulator::WINDOW;

use crate::touch_record::CONTACT_TIME;
use crate::touch_record::TouchRecord;

/// A request of a host at a replica, or the head of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitArrival {
    /// Host.
    pub host: usize,
    /// When it arrived, or was sent.
    pub at: Duration,
}

/// A process of a replica that named limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitedReplica {
    /// Limits in requests per second, each from a time on; `None` if it named none.
    pub limits: Vec<(Duration, Option<f64>)>,
    /// Requests that it got.
    pub arrivals: Vec<LimitArrival>,
    /// Answers that named a limit.
    pub answers: Vec<LimitArrival>,
}

/// Requests beyond what a limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExcess {
    /// Begin of the window.
    pub begin: Duration,
    /// Requests in the window.
    pub count: usize,
    /// Requests that the limit allows there.
    pub allowed: f64,
}

fn timestamp(at: Duration) -> Timestamp {
    Timestamp::default() + at
}

impl LimitedReplica {
    /// Returns the requests of hosts that had been told of a limit, in order. A host that was killed,
    /// started or stood still since then is excused.
    pub fn told_arrivals(&self, touch: &TouchRecord) -> Vec<Duration> {
        let is_told = |arrival: &&LimitArrival| {
            let answers = self.answers.iter().filter(|answer| answer.host == arrival.host);
            let newest =
                answers.map(|answer| answer.at).filter(|at| *at + NOTICE_TIME <= arrival.at);
            newest.max().is_some_and(|told_at| touch.ran_on(arrival.host, told_at, arrival.at))
        };
        let told = self.arrivals.iter().filter(is_told);
        let mut told: Vec<Duration> = told.map(|arrival| arrival.at).collect();
        told.sort_unstable();
        told
    }

    /// Returns the window with the largest excess, if there is one, later than the time of contact
    /// after the replica first named a limit.
    pub fn worst_excess(&self, told: &[Duration]) -> Option<LimitExcess> {
        let first_named = self.answers.iter().map(|answer| answer.at).min()?;
        let limits = self.limits.iter().map(|(at, limit)| (timestamp(*at), *limit));
        let schedule = LimitSchedule(limits.collect());
        let windows = told.iter().enumerate().filter(|(_, at)| **at >= first_named + CONTACT_TIME);
        let excesses = windows.filter_map(|(first, begin)| {
            let allowed = schedule.allowed(timestamp(*begin))?;
            let count = told[first..].iter().take_while(|at| **at < *begin + WINDOW).count();
            (count as f64 > allowed).then_some(LimitExcess { begin: *begin, count, allowed })
        });
        excesses
            .max_by(|a, b| (a.count as f64 - a.allowed).total_cmp(&(b.count as f64 - b.allowed)))
    }
}
