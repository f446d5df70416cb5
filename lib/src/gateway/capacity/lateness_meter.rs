//! Counts the answers of each service and how many of them came late, over the last seconds.
//!
//! Load pattern: a fleet that matches the learned speeds leaves no reserve for what these do not show,
//! such as uneven servers or bursts. Hosts therefore state how many of their callers were served late,
//! and the holder of the duties adds servers while it is more than a few.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Period over which answers are counted: long enough for dozens of answers per host, short compared
/// with the start of a server.
const COUNTING_PERIOD: Duration = Duration::from_secs(4);

/// Period of one count; the state of a service is bounded by the number of them.
const SLOT_PERIOD: Duration = Duration::from_millis(500);

/// Answers of one service, and how many of them were late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers, and requests refused because all servers were full.
    pub answers: u64,
    /// Those beyond the latency goal, and the refused ones.
    pub late: u64,
}

impl AnswerCounts {
    /// Adds the counts of another host; no count exceeds what one host can answer.
    pub fn add(&mut self, other: Self) {
        /// Far more answers than one host gives in the counting period.
        const MAX_HOST_ANSWERS: u64 = 100_000;
        let answers = other.answers.min(MAX_HOST_ANSWERS);
        self.answers += answers;
        self.late += other.late.min(answers);
    }

    /// Returns the share of late answers.
    pub fn late_share(self) -> f64 {
        if self.answers == 0 { 0.0 } else { self.late as f64 / self.answers as f64 }
    }
}

/// Answers within the counting period, by service.
#[derive(Clone, Debug, Default)]
pub struct LatenessMeter {
    services: BTreeMap<ServiceName, VecDeque<(Timestamp, AnswerCounts)>>,
}

impl LatenessMeter {
    /// Counts an answer, or a request refused because all servers were full.
    pub fn on_answer(&mut self, now: Timestamp, service: &ServiceName, is_late: bool) {
        let slots = match self.services.get_mut(service) {
            Some(slots) => slots,
            None => self.services.entry(service.clone()).or_default(),
        };
        if slots.back().is_none_or(|(begun_at, _)| now.since(*begun_at) >= SLOT_PERIOD) {
            slots.push_back((now, AnswerCounts::default()));
        }
        if let Some((_, counts)) = slots.back_mut() {
            counts.answers += 1;
            counts.late += u64::from(is_late);
        }
        while slots.front().is_some_and(|(begun_at, _)| now.since(*begun_at) >= COUNTING_PERIOD) {
            slots.pop_front();
        }
    }

    /// Counts an answer as late whose first event was counted as in time.
    pub fn on_late_pause(&mut self, now: Timestamp, service: &ServiceName) {
        let newest = self.services.get_mut(service).and_then(VecDeque::back_mut);
        if let Some((_, counts)) = newest.filter(|(at, _)| now.since(*at) < COUNTING_PERIOD) {
            counts.late += 1;
        }
    }

    /// Returns the counts of the services that were used.
    pub fn counts(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, AnswerCounts)> {
        self.services.iter().filter_map(move |(service, slots)| {
            let recent =
                slots.iter().filter(|(begun_at, _)| now.since(*begun_at) < COUNTING_PERIOD);
            let counts = recent.fold(AnswerCounts::default(), |sum, (_, slot)| AnswerCounts {
                answers: sum.answers + slot.answers,
                late: sum.late + slot.late,
            });
            (counts.answers > 0).then_some((service, counts))
        })
    }
}
