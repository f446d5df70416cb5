//! Tracks attempts that are lost, and which of them were lost in the crash of a server.
//!
//! An attempt that loses its connection is lost in a crash if its server's process turns out to be
//! gone. What the requests of the crashes have in common is found by [`PartSuspects`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServerId;
use crate::part_suspects::AnswerProgress;
use crate::part_suspects::FleetView;
use crate::part_suspects::LostRequest;
use crate::part_suspects::MAX_LOST_REQUESTS;
use crate::part_suspects::PartSuspects;
use crate::timestamp::Timestamp;
use crate::verdict_table::PartVerdict;
use crate::verdict_table::VerdictRecord;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Time after a lost attempt within which its server must turn out to be gone for it to count as a
/// crash.
const CRASH_CONFIRMATION_WINDOW: Duration = Duration::from_secs(4);

/// Time for which news is gossiped to peers; it spans several summaries.
const GOSSIP_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of servers with lost attempts that are not confirmed as crashes.
const MAX_LOSING_SERVERS: usize = 1_024;

/// Maximum number of parts in the crashes of one summary: three kilobytes.
const MAX_TOLD_PARTS: usize = 384;

/// Maximum number of own crashes and cleared parts that are told at a time.
const MAX_TOLD_CRASHES: usize = 64;
const MAX_TOLD_CLEARED: usize = 64;

/// Number of verdicts in one summary besides those that are news.
const VERDICTS_PER_SUMMARY: usize = 2;

/// Maximum number of verdicts in one summary.
const MAX_TOLD_VERDICTS: usize = 8;

/// What showed that a server's process is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitEvidence {
    /// A new connection was refused.
    Refused,
    /// The directory lists a new process.
    Restarted,
}

/// An attempt that lost its connection.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt<'a> {
    /// The request as a whole.
    pub whole: WorkPart,
    /// All parts of its work.
    pub work: &'a WorkParts,
    /// When it was sent.
    pub began_at: Timestamp,
    /// When the first piece of its answer came, if one did.
    pub answer_begun_at: Option<Timestamp>,
}

impl LostAttempt<'_> {
    fn lost_request(&self, now: Timestamp) -> LostRequest {
        let progress = AnswerProgress::of(now, self.answer_begun_at);
        LostRequest::new(self.whole, self.work, self.began_at, progress)
    }
}

/// A crash that this host saw.
#[derive(Clone, Debug)]
pub struct OwnCrash {
    /// Server.
    pub server: ServerId,
    /// When its first attempt was lost.
    pub at: Timestamp,
    /// Requests of this host that were lost.
    pub lost: Vec<LostRequest>,
    seen_at: Timestamp,
}

/// Lost attempts, and what they show of the requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    lost: BTreeMap<ServerId, Vec<(Timestamp, LostRequest)>>,
    suspects: PartSuspects,
    /// Recent crashes and cleared parts to tell peers, oldest first.
    own_crashes: VecDeque<OwnCrash>,
    own_cleared: VecDeque<(WorkPart, Timestamp)>,
}

impl CrashTracker {
    /// Returns the suspects and verdicts.
    pub fn suspects(&self) -> &PartSuspects {
        &self.suspects
    }

    /// Returns the suspects and verdicts, to merge what peers tell.
    pub fn suspects_mut(&mut self) -> &mut PartSuspects {
        &mut self.suspects
    }

    /// Records an attempt whose connection broke before its response was complete.
    pub fn on_connection_lost(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        attempt: &LostAttempt<'_>,
    ) {
        if !self.lost.contains_key(server) && self.lost.len() >= MAX_LOSING_SERVERS {
            return;
        }
        let lost = self.lost.entry(server.clone()).or_default();
        lost.retain(|(at, _)| now.since(*at) < CRASH_CONFIRMATION_WINDOW);
        if lost.len() < MAX_LOST_REQUESTS {
            lost.push((now, attempt.lost_request(now)));
        }
    }

    /// Returns whether attempts were lost at a server and may turn out to be lost in a crash.
    pub fn has_lost(&self, server: &ServerId) -> bool {
        self.lost.contains_key(server)
    }

    /// Records that a server's process still runs: what was lost there was not lost in a crash.
    pub fn on_server_alive(&mut self, server: &ServerId) {
        self.lost.remove(server);
    }

    /// Records that a server's process is gone; returns the requests that were lost.
    pub fn on_server_gone(&mut self, now: Timestamp, server: &ServerId) -> Vec<LostRequest> {
        let mut lost = self.lost.remove(server).unwrap_or_default();
        lost.retain(|(at, _)| now.since(*at) < CRASH_CONFIRMATION_WINDOW);
        let Some(at) = lost.iter().map(|(at, _)| *at).min() else { return Vec::new() };
        let requests: Vec<LostRequest> = lost.into_iter().map(|(_, request)| request).collect();
        self.suspects.on_crash(now, at, server, requests.iter().cloned());
        if self.own_crashes.len() == MAX_TOLD_CRASHES {
            self.own_crashes.pop_front();
        }
        let (server, lost) = (server.clone(), requests.clone());
        self.own_crashes.push_back(OwnCrash { server, at, lost, seen_at: now });
        requests
    }

    /// Records that a request was answered soundly. Returns its parts that were suspects.
    pub fn on_answered(&mut self, now: Timestamp, parts: &WorkParts) -> Vec<WorkPart> {
        let cleared = self.suspects.on_answered(now, parts);
        for part in &cleared {
            if self.own_cleared.len() == MAX_TOLD_CLEARED {
                self.own_cleared.pop_front();
            }
            self.own_cleared.push_back((*part, now));
        }
        cleared
    }

    /// Returns whether a request must not be sent to any server.
    pub fn is_refused(&self, parts: &WorkParts) -> bool {
        self.suspects.find_verdict(parts).is_some()
    }

    /// Records the refusal of a request; returns the verdict if there is one.
    pub fn refuse(&mut self, now: Timestamp, parts: &WorkParts) -> Option<&VerdictRecord> {
        let key = self.suspects.refuse(now, parts)?;
        self.suspects.verdicts().get(key)
    }

    /// Judges crashes whose reports have arrived, and returns verdicts that have changed.
    pub fn judge(&mut self, now: Timestamp, wall_ms: u64, view: FleetView) -> Vec<PartVerdict> {
        self.lost.retain(|_, lost| {
            lost.iter().any(|(at, _)| now.since(*at) < CRASH_CONFIRMATION_WINDOW)
        });
        let is_recent = |at: Timestamp| now.since(at) < GOSSIP_WINDOW;
        self.own_crashes.retain(|crash| is_recent(crash.seen_at));
        self.own_cleared.retain(|(_, at)| is_recent(*at));
        self.suspects.judge(now, wall_ms, view)
    }

    /// Returns this host's recent crashes to tell peers, newest first, with a bounded number of
    /// parts.
    pub fn recent_crashes(&self) -> impl Iterator<Item = &OwnCrash> {
        let mut parts = 0;
        self.own_crashes.iter().rev().take_while(move |crash| {
            parts += crash.lost.iter().map(|lost| lost.parts.len()).sum::<usize>();
            parts <= MAX_TOLD_PARTS
        })
    }

    /// Returns the parts that this host recently had answered, and when.
    pub fn recent_cleared(&self) -> impl Iterator<Item = (WorkPart, Timestamp)> {
        self.own_cleared.iter().copied()
    }

    /// Returns the verdicts of summary number `sequence`: those that are news, and a few others in
    /// turn, for hosts that missed them.
    pub fn told_verdicts(&self, now: Timestamp, sequence: u64) -> Vec<&PartVerdict> {
        let (news, known): (Vec<_>, Vec<_>) = self
            .suspects
            .verdicts()
            .records()
            .partition(|record| now.since(record.learned_at) < GOSSIP_WINDOW);
        let turn = usize::try_from(sequence).unwrap_or_default().wrapping_mul(VERDICTS_PER_SUMMARY);
        let turn = turn.checked_rem(known.len()).unwrap_or_default();
        let known = known.iter().cycle().skip(turn).take(VERDICTS_PER_SUMMARY.min(known.len()));
        let told = news.iter().take(MAX_TOLD_VERDICTS - VERDICTS_PER_SUMMARY).chain(known);
        told.map(|record| &record.verdict).collect()
    }
}
