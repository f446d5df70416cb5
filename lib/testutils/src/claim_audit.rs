//! Claim rules under test, and the check of the callers' replies against what ran.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::claim_record::RequestFingerprint;
use pomelostack_lib::claim_record::StoredAnswer;
use pomelostack_lib::ids::Incarnation;

/// Rule under test: the real one, or a broken one that the harness must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRule {
    /// The real rule: claims on the log.
    Log,
    /// Each host keeps keys only in its own memory.
    MemoryOnly,
    /// A claim that is undecided at its deadline is reported as not run.
    NotRunAtDeadline,
    /// A request whose claimant does not answer in time is run again.
    RerunAfterWait,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HarnessReport {
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Requests that got NOT_RUN although their work ran.
    pub false_not_runs: u64,
    /// Requests that got the answer of other work.
    pub mixed_answers: u64,
    /// Accepted requests of a live host that got no reply.
    pub lost_accepted: u64,
    /// Accepted requests.
    pub accepted: u64,
    /// Requests that got their answer.
    pub complete: u64,
    /// Requests that got NOT_RUN.
    pub not_run: u64,
    /// Requests that got UNKNOWN.
    pub unknown: u64,
    /// Requests that got NOT_RUN for a key that ran for another send.
    pub runs_after_not_run: u64,
}

impl HarnessReport {
    /// Returns the number of violations, which must be 0.
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
    /// Entry host that receives the request.
    pub host: usize,
    /// Time until the deadline.
    pub deadline: Duration,
    /// Time in microseconds at which the request was accepted, and the incarnation of the host.
    pub accepted: Option<(u64, Incarnation)>,
    /// Reply to the caller.
    pub reply: Option<CallerReply>,
}

/// Reply to a caller.
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// The answer.
    Complete(StoredAnswer),
    /// No request accepted before this time ran or will run; `None` applies only to this send.
    NotRun(Option<u64>),
    /// The key was used for another body.
    KeyReused,
    /// The request may have run.
    Unknown,
}

/// Checks the reply to every send against `runs`, the sends that ran by key in order.
///
/// `incarnations` holds the incarnation of each host, or `None` if it is dead at the end.
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
