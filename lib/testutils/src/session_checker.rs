//! Checks what the callers saw under a fault schedule.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use pomelostack_lib::request_session::RequestSession;
use pomelostack_lib::result_code::RequestOutcome;
use pomelostack_lib::session_event::SessionKind;
use pomelostack_lib::session_request::SessionEnd;
use pomelostack_lib::timestamp::Timestamp;

/// A bug injected into the session's input, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// A lost connection is reported as a refusal.
    LostAsRefused,
    /// Output of earlier attempts is reported as the current one's.
    StaleAsCurrent,
    /// Announced reclaims are not reported, and retries are denied.
    NoticesIgnored,
}

/// Violations, all of which must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Answers with a token missing or repeated, or of an attempt that did not resume at the right
    /// offset.
    pub corrupt_answers: u32,
    /// Idempotent requests left unanswered although every server that ended was announced before.
    pub unanswered_after_notice: u32,
    /// Non-idempotent calls that ran twice.
    pub double_runs: u32,
    /// Requests reported as not run that ran.
    pub false_not_run: u32,
    /// Sessions with no final answer, with two, or with a late one.
    pub bad_ends: u32,
}

/// One request of a schedule and what its caller saw.
pub struct FakeCaller {
    /// Session.
    pub session: RequestSession,
    /// Kind of work.
    pub kind: SessionKind,
    /// Relayed tokens: the offset, and the text `attempt.offset`.
    pub relayed: Vec<(u32, String)>,
    /// First offset of each attempt, by attempt number.
    pub resumed_at: BTreeMap<u32, u32>,
    /// Final answers, with their times.
    pub ends: Vec<(Timestamp, SessionEnd)>,
    /// Number of attempts that ran.
    pub runs: u32,
    /// Whether the caller disconnects.
    pub disconnected: bool,
}

impl ViolationCounts {
    /// Counts the violations of one schedule. `announced_only` states that every fault was an
    /// announced reclaim.
    pub fn check(callers: &[FakeCaller], deadline: Timestamp, announced_only: bool) -> Self {
        let mut counts = Self::default();
        for caller in callers {
            let complete = |end: &SessionEnd| end.code().outcome() == RequestOutcome::Complete;
            let answered = caller.ends.iter().any(|(_, end)| complete(end));
            let single = caller.kind == SessionKind::NonIdempotentCall;
            let not_run =
                caller.ends.iter().any(|(_, end)| matches!(end, SessionEnd::NotRun { .. }));
            counts.corrupt_answers += u32::from(is_corrupt(caller, answered));
            counts.unanswered_after_notice +=
                u32::from(announced_only && !caller.disconnected && !single && !answered);
            counts.double_runs += u32::from(single && caller.runs > 1);
            counts.false_not_run += u32::from(not_run && caller.runs > 0);
            let late = caller.ends.iter().any(|(at, _)| *at > deadline);
            counts.bad_ends += u32::from(caller.ends.len() != 1 || late);
        }
        counts
    }
}

/// Returns whether an answer breaks the rule that each token has the next offset and that each
/// attempt resumes exactly where the one before it stopped.
fn is_corrupt(caller: &FakeCaller, answered: bool) -> bool {
    let mut attempt = 0;
    for (index, (offset, text)) in caller.relayed.iter().enumerate() {
        let (by, at) = text.trim().split_once('.').unwrap();
        let (by, at): (u32, u32) = (by.parse().unwrap(), at.parse().unwrap());
        let begins = by != attempt && caller.resumed_at[&by] != at;
        if *offset as usize != index || at != *offset || by < attempt || begins {
            return true;
        }
        attempt = by;
    }
    match caller.kind {
        SessionKind::Model { max_tokens } => answered && caller.relayed.len() as u32 != max_tokens,
        _ => false,
    }
}
