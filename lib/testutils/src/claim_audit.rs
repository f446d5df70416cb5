//! The rules under test, what callers were told, and the check of it against what ran.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::ids::Incarnation;

/// Rule under test: the real one, or a broken one that the harness must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRule {
    /// Claims on the log.
    Log,
    /// Each host remembers keys in its memory alone.
    MemoryOnly,
    /// A claim that was not decided by its deadline is reported as not run.
    NotRunAtDeadline,
    /// A key whose claimant does not answer in time is run again.
    RerunAfterWait,
}

/// What one run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HarnessReport {
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Requests told NOT_RUN although the work ran.
    pub false_not_runs: u64,
    /// Requests told another answer than the one of their own work.
    pub mixed_answers: u64,
    /// Accepted requests of a living host that were told nothing.
    pub lost_accepted: u64,
    /// Requests accepted.
    pub accepted: u64,
    /// Requests told their answer.
    pub complete: u64,
    /// Requests told NOT_RUN.
    pub not_run: u64,
    /// Requests told UNKNOWN.
    pub unknown: u64,
    /// Keys that ran after one of their requests was told NOT_RUN.
    pub runs_after_not_run: u64,
}

impl HarnessReport {
    /// Returns the sum of what must be 0.
    pub fn violations(&self) -> u64 {
        self.double_runs + self.false_not_runs + self.mixed_answers + self.lost_accepted
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.double_runs += other.double_runs;
        self.false_not_runs += other.false_not_runs;
        self.mixed_answers += other.mixed_answers;
        self.lost_accepted += other.lost_accepted;
        self.accepted += other.accepted;
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.runs_after_not_run += other.runs_after_not_run;
    }
}

/// One send of a key by its caller.
#[derive(Clone, Debug)]
pub struct CallerSend {
    /// Key.
    pub key: usize,
    /// Hash of the body.
    pub fingerprint: RequestFingerprint,
    /// Entry host that it goes to.
    pub host: usize,
    /// Time that it may take.
    pub deadline: Duration,
    /// Time and life of the host at which it was accepted, in microseconds.
    pub accepted: Option<(u64, Incarnation)>,
    /// What the caller was told.
    pub reply: Option<CallerReply>,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// The answer.
    Complete(StoredAnswer),
    /// Nothing that was accepted before the time ran or will; `None` speaks of this send alone.
    NotRun(Option<u64>),
    /// The key belongs to another body.
    KeyReused,
    /// It may have run.
    Unknown,
}

/// Checks every send against the runs, which are given by key in order.
///
/// `incarnations` holds the life of each host that is alive at the end.
pub fn audit_sends(
    sends: &[CallerSend],
    runs: &BTreeMap<usize, Vec<usize>>,
    incarnations: Vec<Option<Incarnation>>,
) -> HarnessReport {
    let double_runs = runs.values().filter(|runs| runs.len() > 1).count() as u64;
    let mut report = HarnessReport { double_runs, ..HarnessReport::default() };
    for (index, send) in sends.iter().enumerate() {
        let Some((_, incarnation)) = send.accepted else { continue };
        report.accepted += 1;
        let key_runs = runs.get(&send.key).map_or(&[][..], Vec::as_slice);
        match &send.reply {
            None => report.lost_accepted += u64::from(incarnations[send.host] == Some(incarnation)),
            Some(reply) => audit_reply(index, sends, key_runs, reply, &mut report),
        }
    }
    report
}

fn audit_reply(
    index: usize,
    sends: &[CallerSend],
    runs: &[usize],
    reply: &CallerReply,
    report: &mut HarnessReport,
) {
    match reply {
        CallerReply::Complete(answer) => {
            report.complete += 1;
            let same_body = |run: &&usize| sends[**run].fingerprint == sends[index].fingerprint;
            let own = runs.first().filter(same_body).is_some_and(|run| is_answer(answer, *run));
            report.mixed_answers += u64::from(!own);
        }
        CallerReply::NotRun(reference) => {
            report.not_run += 1;
            let ran = |run: &usize| {
                let accepted = sends[*run].accepted.map(|(at, _)| at);
                *run == index || reference.is_some_and(|time| accepted < Some(time))
            };
            report.false_not_runs += u64::from(runs.iter().any(ran));
            report.runs_after_not_run += u64::from(!runs.is_empty());
        }
        CallerReply::KeyReused => report.false_not_runs += u64::from(runs.contains(&index)),
        CallerReply::Unknown => report.unknown += 1,
    }
}

fn is_answer(answer: &StoredAnswer, run: usize) -> bool {
    matches!(answer, StoredAnswer::Whole(whole) if whole.body.get(1) == Some(&(run as u8)))
}
