//! Judges whether each request that was wholly sent got a whole answer, the right one, and ran as
//! often as its kind allows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::str;
use std::time::Duration;

use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::UnframedEnd;
use testutils::deployment_standin::event_text;

use crate::config_judge::CONFIG_BOUND;
use crate::config_judge::SentVersion;
use crate::duty_judge::LeavingReplica;
use crate::reply_parser::ReplyParser;
use crate::reply_parser::ReplyProgress;
use crate::touch_record::TouchRecord;
use crate::work_plan::WORK_ROUTES;

/// Time from the last byte of a request to the end of its connection, for a request that crossed the
/// close of an idle connection.
const CROSSING_SLACK: Duration = Duration::from_millis(500);

/// Time before the deadline from which it counts as reached.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// Time after SIGTERM until which a host takes requests that it may have to break off.
const BALANCER_TIME: Duration = Duration::from_secs(3);

/// Runs of a stream that went back to replicas which had it before.
const MAX_RETURNED_RUNS: usize = 3;

/// Part of the grace period in which a host breaks off what still runs.
const LAST_PART: f64 = 1.0 / 6.0;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// A whole answer of success.
    Complete,
    /// A whole answer of failure, which may have run.
    Failure(u16),
    /// A whole answer that promises that the request has not run and never will.
    Refused(u16),
    /// The connection ended within the answer.
    Cut,
    /// The connection ended before the answer.
    Closed,
    /// There was no whole answer when the caller gave up.
    TimedOut,
    /// The answer breaks the protocol.
    Malformed,
}

impl CallOutcome {
    /// Returns the outcome of a whole reply.
    pub fn of_reply(parser: &ReplyParser) -> Self {
        match parser.head().map_or(0, |head| head.status) {
            200..=299 => Self::Complete,
            status @ (408 | 421 | 429 | 503) => Self::Refused(status),
            status => Self::Failure(status),
        }
    }

    /// Returns the outcome of a connection that ended before a whole reply.
    pub fn of_closed(parser: &ReplyParser) -> Self {
        match parser.progress() {
            ReplyProgress::AwaitingHead => Self::Closed,
            ReplyProgress::ReadingBody | ReplyProgress::Complete => Self::Cut,
        }
    }
}

/// What is wrong with a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyFault {
    /// A success without the signature of a replica.
    Unsigned,
    /// It belongs to another request.
    OtherRequest,
    /// A body that no replica sent.
    WrongBody,
    /// A stream whose events are not those from the first on, each once.
    WrongEvents,
    /// A stream that ends as if it were complete before its last event.
    MissingEnd,
}

/// Returns what is wrong with a reply, whole or in part, to the request with this id, and with this
/// number of events if it is a stream.
pub fn check_reply(id: &str, events: Option<u64>, parser: &ReplyParser) -> Option<ReplyFault> {
    let head = parser.head()?;
    if head.field("request-id").is_some_and(|named| named != id) {
        return Some(ReplyFault::OtherRequest);
    }
    if !(200..300).contains(&head.status) {
        return None;
    }
    if head.field("replica-signature").is_none() {
        return Some(ReplyFault::Unsigned);
    }
    if head.field("request-id") != Some(id) {
        return Some(ReplyFault::OtherRequest);
    }
    let is_whole = parser.progress() == ReplyProgress::Complete;
    match events {
        Some(events) => check_events(parser.body(), events, is_whole),
        None => {
            let is_right = parser.body() == format!("answer to {id}").as_bytes();
            (is_whole && !is_right).then_some(ReplyFault::WrongBody)
        }
    }
}

fn check_events(body: &[u8], events: u64, is_whole: bool) -> Option<ReplyFault> {
    let expected: String = (1..=events).map(event_text).collect();
    match expected.as_bytes().strip_prefix(body) {
        None => Some(ReplyFault::WrongEvents),
        Some(missing) => (is_whole && !missing.is_empty()).then_some(ReplyFault::MissingEnd),
    }
}

/// A request that was wholly sent. Times are counted from the start of the run.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Number of the host.
    pub host: usize,
    /// Id of the request.
    pub request_id: String,
    /// Index of its route.
    pub route: usize,
    /// Whether its connection had carried another request.
    pub is_reused: bool,
    /// When its first byte was sent.
    pub started_at: Duration,
    /// When its last byte was sent.
    pub sent_at: Duration,
    /// When it ended for its caller.
    pub ended_at: Duration,
    /// How long the caller waits.
    pub deadline: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
    /// What is wrong with the reply.
    pub fault: Option<ReplyFault>,
    /// When its caller sent it again under the same id.
    pub followed_at: Option<Duration>,
    /// The replica that answered, if the answer says that it leaves.
    pub leaver: Option<String>,
}

/// A run of a request at a replica.
#[derive(Clone, Debug)]
pub struct WorkRun {
    /// Id of the replica.
    pub replica: String,
    /// How the replica handled requests when the run began.
    pub mode: ReplicaMode,
    /// When it began.
    pub at: Duration,
    /// Whether its process crashed during the run, or may have.
    pub crashed: bool,
}

impl WorkRun {
    fn is_endless(&self) -> bool {
        matches!(self.mode, ReplicaMode::Endless(_))
    }

    fn broke_off(&self) -> bool {
        if self.crashed {
            return true;
        }
        match self.mode {
            ReplicaMode::Unframed(end) => end != UnframedEnd::Complete,
            ReplicaMode::CutAfter(_)
            | ReplicaMode::TrickleAfter(_)
            | ReplicaMode::DropResponse
            | ReplicaMode::FailResumed
            | ReplicaMode::Endless(_) => true,
            ReplicaMode::Answer
            | ReplicaMode::PauseAfter { .. }
            | ReplicaMode::HangOn { .. }
            | ReplicaMode::Fail
            | ReplicaMode::Refuse
            | ReplicaMode::TurnAway { .. }
            | ReplicaMode::FailOn { .. }
            | ReplicaMode::SlowBy(_)
            | ReplicaMode::CopyLate(_)
            | ReplicaMode::Leaving => false,
        }
    }
}

/// How a request broke a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It was passed on and its connection ended without a whole answer.
    Lost,
    /// It was not passed on, and its connection ended long after it was sent.
    Unread,
    /// It had neither an answer nor an end a second after its deadline.
    Unanswered,
    /// It ran more often than its kind allows.
    RanTwice,
    /// It ran, although the status promises that it never does.
    RefusedAndRan,
    /// It reached more replicas than its route allows, or the same ones too often.
    TooManyAttempts,
    /// The reply is wrong.
    WrongReply(ReplyFault),
    /// The reply breaks the protocol.
    Malformed,
}

/// Why a request may end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallExcuse {
    /// The process of its host was killed, had just started, or stood still.
    HostDisturbed,
    /// It crossed the close of its connection and was not passed on.
    CrossedClose,
    /// Its replica broke off.
    ReplicaBrokeOff,
    /// Its deadline or the time limit of its route was reached.
    TimeOver,
    /// Its host left, and it still ran at the end of the grace period.
    HostLeaving,
    /// Its host was cut off from replicas while it ran.
    HostCutOff,
}

/// How the end of a connection is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndVerdict {
    Answered,
    Excused(CallExcuse),
    Faulty(CallFault),
}

/// What is known of a run besides its calls.
pub struct CallContext<'a> {
    /// Runs by request id, in the order of their begin.
    pub runs: &'a BTreeMap<String, Vec<WorkRun>>,
    /// Versions of the configuration.
    pub versions: &'a [SentVersion],
    /// When which host was disturbed.
    pub touch: &'a TouchRecord,
    /// Time from SIGTERM until a host is killed.
    pub grace: Duration,
}

/// Returns the faults among the calls, each with the index of its call.
pub fn judge_calls(calls: &[CallRecord], context: &CallContext<'_>) -> Vec<(usize, CallFault)> {
    let judged = calls.iter().enumerate();
    judged.flat_map(|(index, call)| context.judge(call).map(move |fault| (index, fault))).collect()
}

/// Returns how many calls ended without an answer for each reason that excuses it.
pub fn count_excuses(
    calls: &[CallRecord],
    context: &CallContext<'_>,
) -> BTreeMap<CallExcuse, usize> {
    let mut counts = BTreeMap::new();
    for call in calls {
        if let EndVerdict::Excused(excuse) = context.judge_end(call, &context.runs_of(call)) {
            *counts.entry(excuse).or_default() += 1;
        }
    }
    counts
}

impl CallContext<'_> {
    /// Returns the runs since a request was sent, until it was sent again.
    fn runs_of(&self, call: &CallRecord) -> Vec<&WorkRun> {
        let runs = self.runs.get(&call.request_id).into_iter().flatten();
        let is_own = |run: &&WorkRun| {
            run.at >= call.started_at && call.followed_at.is_none_or(|at| run.at < at)
        };
        runs.filter(is_own).collect()
    }

    fn judge(&self, call: &CallRecord) -> impl Iterator<Item = CallFault> + use<> {
        let runs = self.runs_of(call);
        let end = match self.judge_end(call, &runs) {
            EndVerdict::Faulty(fault) => Some(fault),
            EndVerdict::Answered | EndVerdict::Excused(_) => None,
        };
        let total = self.runs.get(&call.request_id).map_or(0, Vec::len);
        let faults = [end, judge_runs(call, &runs, total)];
        let is_malformed = call.outcome == CallOutcome::Malformed;
        let (replies, is_malformed) = match runs.iter().any(|run| run.is_endless()) {
            // What such a replica writes may be no answer, but it must not look like a whole one.
            true => (call.fault.filter(|_| call.outcome == CallOutcome::Complete), false),
            false => (call.fault, is_malformed),
        };
        let replies =
            [replies.map(CallFault::WrongReply), is_malformed.then_some(CallFault::Malformed)];
        faults.into_iter().chain(replies).flatten()
    }

    /// Judges how the connection ended. A disturbance of the store excuses nothing here.
    fn judge_end(&self, call: &CallRecord, runs: &[&WorkRun]) -> EndVerdict {
        let fault = match call.outcome {
            CallOutcome::Cut => CallFault::Lost,
            CallOutcome::Closed if !runs.is_empty() => CallFault::Lost,
            CallOutcome::Closed => CallFault::Unread,
            CallOutcome::TimedOut => CallFault::Unanswered,
            CallOutcome::Complete
            | CallOutcome::Failure(_)
            | CallOutcome::Refused(_)
            | CallOutcome::Malformed => return EndVerdict::Answered,
        };
        let crossed = fault == CallFault::Unread && call.ended_at <= call.sent_at + CROSSING_SLACK;
        if !self.touch.processes_ran(call.host, call.sent_at, call.ended_at) {
            EndVerdict::Excused(CallExcuse::HostDisturbed)
        } else if crossed {
            EndVerdict::Excused(CallExcuse::CrossedClose)
        } else if fault == CallFault::Unanswered {
            EndVerdict::Faulty(fault)
        } else if runs.iter().any(|run| run.broke_off()) {
            EndVerdict::Excused(CallExcuse::ReplicaBrokeOff)
        } else if self.is_time_over(call) {
            EndVerdict::Excused(CallExcuse::TimeOver)
        } else if self.touch.was_cut(call.host, call.started_at, call.ended_at) {
            EndVerdict::Excused(CallExcuse::HostCutOff)
        } else if self.is_leaving(call) {
            EndVerdict::Excused(CallExcuse::HostLeaving)
        } else {
            EndVerdict::Faulty(fault)
        }
    }

    /// Returns whether the caller's deadline or the time limit of a version that may be in force was
    /// reached.
    fn is_time_over(&self, call: &CallRecord) -> bool {
        let in_touch = self.touch.in_touch(call.host, call.started_at, call.started_at);
        let due = self
            .versions
            .iter()
            .filter(|sent| {
                sent.acknowledged_at.is_some_and(|at| at + CONFIG_BOUND <= call.started_at)
            })
            .map(|sent| sent.config.version)
            .max()
            .filter(|_| in_touch)
            .unwrap_or(0);
        let limits = self
            .versions
            .iter()
            .filter(|sent| sent.config.version >= due && sent.sent_at <= call.sent_at)
            .map(|sent| sent.config.work.time_limit(call.route));
        let limit = limits.min().unwrap_or(call.deadline).min(call.deadline);
        call.ended_at + DEADLINE_SLACK >= call.started_at + limit
    }

    /// Returns whether a request that was taken before the balancer knew that the host leaves still
    /// ran at the end of the grace period.
    fn is_leaving(&self, call: &CallRecord) -> bool {
        self.touch.shutdown_begin(call.host, call.ended_at).is_some_and(|begin| {
            call.sent_at <= begin + BALANCER_TIME
                && call.ended_at >= begin + self.grace.mul_f64(1.0 - LAST_PART)
        })
    }
}

/// Judges the runs of a try of a request that ran so often over all tries.
fn judge_runs(call: &CallRecord, runs: &[&WorkRun], total: usize) -> Option<CallFault> {
    let route = WORK_ROUTES[call.route];
    let is_refused = matches!(call.outcome, CallOutcome::Refused(_));
    let sound: Vec<&str> =
        runs.iter().filter(|run| !run.broke_off()).map(|run| run.replica.as_str()).collect();
    let replicas: BTreeSet<&str> = sound.iter().copied().collect();
    if !route.kind.is_repeatable() && total > 1 {
        return Some(CallFault::RanTwice);
    }
    if !route.kind.is_repeatable() && is_refused && !runs.is_empty() {
        return Some(CallFault::RefusedAndRan);
    }
    let returned = if route.kind.is_stream() { MAX_RETURNED_RUNS } else { 0 };
    let is_over = replicas.len() > route.attempts || sound.len() > route.attempts + returned;
    is_over.then_some(CallFault::TooManyAttempts)
}

/// Returns the replicas whose answers said that they leave, from when hosts in touch had passed such an
/// answer on.
pub fn announced_leavers(calls: &[CallRecord], touch: &TouchRecord) -> Vec<LeavingReplica> {
    let mut leaving: BTreeMap<&str, Duration> = BTreeMap::new();
    for call in calls.iter().filter(|call| touch.in_touch(call.host, call.ended_at, call.ended_at))
    {
        let Some(id) = &call.leaver else { continue };
        let first = leaving.entry(id).or_insert(call.ended_at);
        *first = call.ended_at.min(*first);
    }
    let leaving = leaving.into_iter();
    leaving.map(|(id, at)| LeavingReplica { id: id.to_owned(), acknowledged_at: at }).collect()
}
