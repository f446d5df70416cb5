//! Finds the parts of requests that crash backend servers, and refuses requests with them.
//!
//! Load pattern: requests that share one part of their prompts, no two alike, crash every server
//! that begins to answer them. They come at all hosts, with parts that sound requests share, and
//! each crash also ends sound requests beside them.
//!
//! A part is a suspect of each crash in which a request with it was lost, until a request with it
//! is answered. One that is a suspect of three crashes in a row is convicted, together with the
//! parts that all those requests share, unless another part explains the same crashes: then a
//! further crash decides between them. Crashes with a convicted part count against no other part.
//!
//! A part is known within its service and in any service. When requests with a convicted part crash a
//! server of another service as well, one crash is enough to convict the part in all services.
//!
//! Servers also end without the fault of any request. Those that are lost at one moment, such as the
//! servers of an availability zone, are one crash. While servers end one after the other, a part
//! must explain a fair share of these crashes to be convicted.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServerId;
use crate::timestamp::Timestamp;
use crate::verdict_table::PartVerdict;
use crate::verdict_table::VerdictKey;
use crate::verdict_table::VerdictState;
use crate::verdict_table::VerdictTable;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Number of crashes in a row after which a part is convicted if no other part explains them all.
pub const CONVICTING_CRASHES: usize = 3;

/// Number of crashes after which a part is convicted beside others that explain them as well.
pub const DECIDING_CRASHES: usize = 5;

/// Least fraction of the crashes of its time that a part must explain for [`CONVICTING_CRASHES`] to be
/// enough.
const CLEAR_SHARE: f64 = 0.5;

/// Least fraction that a part must explain to be convicted at all. Several parts may crash servers at
/// the same time.
const FAIR_SHARE: f64 = 0.2;

/// The same while servers end so fast that their crashes are not all kept.
const CROWDED_SHARE: f64 = 0.9;

/// Least fraction of a part's crashes that another one must explain to be its rival. The requests of
/// some hosts may be unknown.
const RIVAL_SHARE: f64 = 0.5;

/// Fraction from which two rivals can hardly be told apart.
const NEAR_SHARE: f64 = 0.8;

/// Time before the first crash of a part in which other crashes count as well.
const BACKGROUND_WINDOW: Duration = Duration::from_secs(5);

/// Pace of the reports in a fleet whose hosts forward each report at once.
pub const FLEET_PACE: ReportPace =
    ReportPace { slack: Duration::from_millis(200), settle: Duration::from_millis(700) };

/// Pace of the reports in a large fleet, whose relays collect them before they forward them.
pub const LARGE_FLEET_PACE: ReportPace =
    ReportPace { slack: Duration::from_millis(700), settle: Duration::from_millis(1_400) };

/// Time within which this host notices that servers are lost at one moment.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Reports of the end of one server within this time are of the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time since its begin after which an answer shows that no part of the prompt crashes the server.
const SOUND_ANSWER_TIME: Duration = Duration::from_millis(700);

/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of crashes kept; the oldest are evicted.
const MAX_CRASHES: usize = 128;

/// Maximum number of lost requests kept for one crash.
pub const MAX_LOST_REQUESTS: usize = 32;

/// How fast hosts hear of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPace {
    /// Maximum error of the times in another host's report, which is the time that it takes.
    pub slack: Duration,
    /// Time after a crash until the reports of all hosts have arrived.
    pub settle: Duration,
}

/// Who saw a request get lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossSource {
    /// This host.
    Own,
    /// Another host, whose report took a while.
    Peer,
}

/// How far the answer to a lost request was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AnswerProgress {
    /// It had not begun, or just so.
    Beginning,
    /// It had gone on for a while, so that no part of the prompt is a suspect. The whole request is.
    GoingOn,
}

impl AnswerProgress {
    /// Returns how far an answer is that began at a time, if it has.
    pub fn of(now: Timestamp, begun_at: Option<Timestamp>) -> Self {
        match begun_at.is_some_and(|at| now.since(at) >= SOUND_ANSWER_TIME) {
            true => Self::GoingOn,
            false => Self::Beginning,
        }
    }
}

/// How much of the fleet a host hears of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetView {
    /// All known peers.
    Whole,
    /// Most of them: some requests that were lost in a crash may be unknown.
    Most,
    /// Few of them: most requests that were lost in a crash are unknown.
    Partial,
}

/// A request that was lost when its server crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Its parts.
    pub parts: WorkParts,
    /// When it was sent to the server.
    pub began_at: Timestamp,
    /// Who saw it.
    pub source: LossSource,
    /// How far its answer was.
    pub progress: AnswerProgress,
}

impl LostRequest {
    /// Builds a request that this host lost, with those of its parts that may have crashed the server: a
    /// part does so when an answer to it begins, and a whole request at any time.
    pub fn new(
        whole: WorkPart,
        work: &WorkParts,
        began_at: Timestamp,
        progress: AnswerProgress,
    ) -> Self {
        let parts = match progress {
            AnswerProgress::Beginning => work.clone(),
            AnswerProgress::GoingOn => WorkParts::new(whole, []),
        };
        Self { parts, began_at, source: LossSource::Own, progress }
    }
}

#[derive(Clone, Debug)]
struct CrashRecord {
    server: ServerId,
    at: Timestamp,
    /// When this host first learned of it.
    heard_at: Timestamp,
    lost: Vec<LostRequest>,
    /// Whether it has been judged with all reports.
    is_judged: bool,
}

impl CrashRecord {
    fn is_settled(&self, now: Timestamp, pace: ReportPace) -> bool {
        now.since(self.heard_at) >= pace.settle
    }

    fn parts(&self) -> BTreeSet<WorkPart> {
        self.lost.iter().flat_map(|lost| lost.parts.iter()).collect()
    }
}

/// A part of a lost request.
#[derive(Clone, Copy, Debug, Default)]
struct WatchedPart {
    /// Number of recorded crashes in which it was lost.
    crashes: usize,
    last_crash_at: Timestamp,
    /// When a request with it was last answered, if one was.
    cleared_at: Option<Timestamp>,
}

/// The crashes that one part is a suspect of.
#[derive(Clone, Debug, Default)]
struct PartCover {
    /// Indexes of the crashes, in the order of their times.
    crashes: Vec<usize>,
    lost_requests: usize,
}

impl PartCover {
    /// Returns whether at least a share of another part's crashes are also in this cover.
    fn explains(&self, other: &Self, share: f64) -> bool {
        let is_common = |index: &&usize| self.crashes.binary_search(index).is_ok();
        let common = other.crashes.iter().filter(is_common).count();
        common as f64 >= other.crashes.len() as f64 * share
    }

    /// Returns the crashes of this cover that another one does not explain.
    fn without(&self, other: &Self) -> Vec<usize> {
        let is_other = |index: &usize| other.crashes.binary_search(index).is_ok();
        self.crashes.iter().copied().filter(|index| !is_other(index)).collect()
    }

    /// Returns the number of lost requests for each crash.
    fn lost_rate(&self) -> f64 {
        self.lost_requests as f64 / self.crashes.len().max(1) as f64
    }

    /// Compares the number of lost requests for each crash, where less than twice as many are equal.
    /// What crashes servers is in few of them.
    fn compare_lost(&self, other: &Self) -> Ordering {
        let (own, other) = (self.lost_rate(), other.lost_rate());
        if own * 2.0 <= other {
            Ordering::Less
        } else if other * 2.0 <= own {
            Ordering::Greater
        } else {
            Ordering::Equal
        }
    }
}

/// A part that explains crashes of another one.
#[derive(Clone, Copy, Debug)]
struct RivalPart<'a> {
    cover: &'a PartCover,
    is_convicted: bool,
}

/// Suspects of crashes and verdicts, as known to one host.
#[derive(Clone, Debug)]
pub struct PartSuspects {
    /// In the order of their times.
    crashes: VecDeque<CrashRecord>,
    watched: BTreeMap<WorkPart, WatchedPart>,
    verdicts: VerdictTable,
    pace: ReportPace,
    /// Whether crashes were judged while some hosts were silent, and must be again once they are not.
    is_judged_in_part: bool,
}

impl Default for PartSuspects {
    fn default() -> Self {
        Self {
            crashes: VecDeque::new(),
            watched: BTreeMap::new(),
            verdicts: VerdictTable::default(),
            pace: FLEET_PACE,
            is_judged_in_part: false,
        }
    }
}

impl PartSuspects {
    /// Returns the verdicts.
    pub fn verdicts(&self) -> &VerdictTable {
        &self.verdicts
    }

    /// Sets how fast hosts hear of one another.
    pub fn set_pace(&mut self, pace: ReportPace) {
        self.pace = pace;
    }

    /// Returns the number of parts that it keeps anything of.
    pub fn watched_parts(&self) -> usize {
        self.watched.len()
    }

    /// Returns the verdict that a request with these parts meets; it must not be sent then.
    pub fn find_verdict(&self, parts: &WorkParts) -> Option<&PartVerdict> {
        let key = self.verdicts.find(parts)?;
        self.verdicts.get(key).map(|record| &record.verdict)
    }

    /// Returns the verdict that a request meets as [`Self::find_verdict`] does, and records that the
    /// request is refused.
    pub fn refuse(&mut self, now: Timestamp, parts: &WorkParts) -> Option<VerdictKey> {
        let key = self.verdicts.find(parts)?;
        self.verdicts.on_refused(now, key);
        Some(key)
    }

    /// Records requests that were lost in the crash of a server. The same ones may be told again.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        server: &ServerId,
        lost: impl IntoIterator<Item = LostRequest>,
    ) {
        let is_same = |crash: &CrashRecord| {
            crash.server == *server
                && at.since(crash.at).max(crash.at.since(at)) < SAME_CRASH_WINDOW
        };
        let index = match self.crashes.iter().position(is_same) {
            Some(index) => index,
            None => {
                if self.crashes.len() == MAX_CRASHES {
                    self.drop_oldest();
                }
                let (server, lost) = (server.clone(), Vec::new());
                let record = CrashRecord { server, at, heard_at: now, lost, is_judged: false };
                let index = self.crashes.partition_point(|crash| crash.at <= at);
                self.crashes.insert(index, record);
                index
            }
        };
        let crash = &mut self.crashes[index];
        for request in lost {
            if crash.lost.len() == MAX_LOST_REQUESTS
                || crash.lost.iter().any(|known| known.parts == request.parts)
            {
                continue;
            }
            let known = crash.parts();
            for part in request.parts.iter() {
                let watched = self.watched.entry(part).or_default();
                watched.crashes += usize::from(!known.contains(&part));
                watched.last_crash_at = watched.last_crash_at.max(crash.at);
            }
            crash.lost.push(request);
            crash.is_judged = false;
        }
    }

    /// Records that a request was answered soundly: its parts are suspects of no crash so far. Returns
    /// those that were.
    pub fn on_answered(&mut self, now: Timestamp, parts: &WorkParts) -> Vec<WorkPart> {
        if self.watched.is_empty() {
            return Vec::new();
        }
        parts.iter().filter(|part| self.clear(now, *part)).collect()
    }

    /// Records that another host had a request with a part answered. Returns whether it was a
    /// suspect.
    pub fn clear(&mut self, at: Timestamp, part: WorkPart) -> bool {
        let Some(watched) = self.watched.get_mut(&part) else { return false };
        let was_suspect = watched.cleared_at.is_none_or(|before| before < watched.last_crash_at)
            && at > watched.last_crash_at;
        watched.cleared_at = watched.cleared_at.max(Some(at));
        was_suspect
    }

    /// Merges a verdict of another host or of the record. Returns whether it was news.
    pub fn merge_verdict(&mut self, now: Timestamp, verdict: PartVerdict) -> bool {
        let (parts, state) = (verdict.parts.clone(), verdict.state);
        if !self.verdicts.merge(now, verdict) {
            return false;
        }
        for part in parts.iter() {
            self.watched.entry(part).or_default();
            // Crashes from before a verdict was lifted do not count any more.
            if state == VerdictState::Lifted {
                self.clear(now, part);
            }
        }
        true
    }

    /// Judges crashes whose reports have arrived. Returns verdicts that have changed.
    pub fn judge(&mut self, now: Timestamp, wall_ms: u64, view: FleetView) -> Vec<PartVerdict> {
        self.expire(now);
        let mut changed = self.lift_disproved(now, wall_ms);
        if view == FleetView::Partial {
            // What crashed these servers may be unknown.
            self.crashes.iter().for_each(|crash| release_watched(&mut self.watched, crash));
            self.crashes.clear();
            return changed;
        }
        let (mut is_due, pace) = (self.is_judged_in_part && view == FleetView::Whole, self.pace);
        for crash in self.crashes.iter_mut().filter(|crash| crash.is_settled(now, pace)) {
            is_due |= !std::mem::replace(&mut crash.is_judged, true);
        }
        if is_due {
            self.is_judged_in_part = view != FleetView::Whole;
        }
        while is_due
            && let Some((parts, crashes)) =
                self.convict_next(now, view).or_else(|| self.convict_in_any_service(now))
        {
            let state = VerdictState::InForce;
            let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            let verdict = PartVerdict { parts, state, changed_ms: wall_ms, crashes };
            changed.push(self.verdicts.change(now, wall_ms, verdict));
        }
        changed
    }

    /// Lifts verdicts of which each part was answered since.
    fn lift_disproved(&mut self, now: Timestamp, wall_ms: u64) -> Vec<PartVerdict> {
        let answered_since = |part: WorkPart, at: Timestamp| {
            self.watched.get(&part).and_then(|watched| watched.cleared_at).is_some_and(|t| t > at)
        };
        let disproved = self.verdicts.in_force().filter(|record| {
            record.verdict.parts.iter().all(|part| answered_since(part, record.learned_at))
        });
        let lifted: Vec<PartVerdict> = disproved
            .map(|record| PartVerdict { state: VerdictState::Lifted, ..record.verdict.clone() })
            .collect();
        lifted.into_iter().map(|verdict| self.verdicts.change(now, wall_ms, verdict)).collect()
    }

    /// Returns the parts to convict next and the number of their crashes, if there are any.
    fn convict_next(&self, now: Timestamp, view: FleetView) -> Option<(WorkParts, usize)> {
        let covers = self.covers(now);
        let convicted: BTreeSet<WorkPart> =
            self.verdicts.in_force().flat_map(|record| record.verdict.parts.iter()).collect();
        let mut suspects: Vec<(WorkPart, usize)> = covers
            .iter()
            .filter(|(_, cover)| cover.crashes.len() >= CONVICTING_CRASHES)
            .map(|(part, cover)| (*part, self.count_separate(*part, &cover.crashes)))
            .filter(|(_, count)| *count >= CONVICTING_CRASHES)
            .collect();
        suspects.sort_by_key(|(part, count)| {
            (std::cmp::Reverse(*count), covers[part].lost_requests, *part)
        });
        suspects.into_iter().find_map(|(part, count)| {
            let cover = &covers[&part];
            let shared = self.shared_parts(part, cover);
            let mut rivals = covers.iter().filter(|(other, rival)| {
                !shared.contains(**other) && rival.explains(cover, RIVAL_SHARE)
            });
            let is_convicted = self.verdicts.find(&shared).is_none()
                && self.is_conspicuous(now, view, part, cover, count)
                && rivals.all(|(other, rival)| {
                    let rival = RivalPart { cover: rival, is_convicted: convicted.contains(other) };
                    self.outweighs(part, cover, count, rival)
                });
            is_convicted.then_some((shared, count))
        })
    }

    /// Returns the parts of a verdict that were lost in another service as well, and the number of crashes,
    /// if no request with them was answered since the verdict.
    fn convict_in_any_service(&self, now: Timestamp) -> Option<(WorkParts, usize)> {
        self.verdicts.in_force().find_map(|record| {
            let parts = record.verdict.parts.in_any_service()?;
            if self.verdicts.find(&parts).is_some() {
                return None;
            }
            let is_lost = |crash: &CrashRecord| {
                let since = crash.at.min(record.learned_at);
                crash.is_settled(now, self.pace)
                    && parts.iter().any(|part| !self.is_cleared_since(part, since))
                    && crash.lost.iter().any(|lost| {
                        lost.parts.contains_all(&parts)
                            && !lost.parts.contains_all(&record.verdict.parts)
                    })
            };
            let crashes = usize::try_from(record.verdict.crashes).unwrap_or(usize::MAX);
            self.crashes.iter().any(is_lost).then(|| (parts, crashes.saturating_add(1)))
        })
    }

    /// Returns whether a part with `count` separate crashes is a better explanation than a rival: it is in
    /// fewer of the requests that were lost in a crash, or explains more crashes. A part in more of
    /// them may be a popular one, and a few of its crashes the rival's whose requests are unknown.
    /// So it needs crashes without the rival, as it does if the rival is convicted already.
    fn outweighs(
        &self,
        part: WorkPart,
        cover: &PartCover,
        count: usize,
        RivalPart { cover: rival, is_convicted }: RivalPart<'_>,
    ) -> bool {
        let is_no_more = !is_convicted && cover.lost_rate() <= rival.lost_rate();
        match cover.compare_lost(rival) {
            Ordering::Less => count > CONVICTING_CRASHES,
            Ordering::Equal if is_no_more => match rival.explains(cover, NEAR_SHARE) {
                true => count >= DECIDING_CRASHES,
                false => count > CONVICTING_CRASHES,
            },
            Ordering::Equal | Ordering::Greater => {
                self.count_separate(part, &cover.without(rival)) >= CONVICTING_CRASHES
            }
        }
    }

    /// Returns whether a part explains enough of the crashes of its time.
    fn is_conspicuous(
        &self,
        now: Timestamp,
        view: FleetView,
        part: WorkPart,
        cover: &PartCover,
        count: usize,
    ) -> bool {
        let share = self.explained_share(now, cover);
        let least = if self.is_crowded(cover) { CROWDED_SHARE } else { FAIR_SHARE };
        let is_clear =
            share >= CLEAR_SHARE && view == FleetView::Whole && self.is_begin_fatal(part, cover);
        share >= least && (is_clear || count >= DECIDING_CRASHES)
    }

    /// Returns the settled crashes that each part is a suspect of.
    fn covers(&self, now: Timestamp) -> BTreeMap<WorkPart, PartCover> {
        let mut covers: BTreeMap<WorkPart, PartCover> = BTreeMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            if !crash.is_settled(now, self.pace) {
                continue;
            }
            let convicted: BTreeSet<WorkPart> = crash
                .lost
                .iter()
                .filter_map(|lost| self.find_verdict(&lost.parts))
                .flat_map(|verdict| verdict.parts.iter())
                .collect();
            for part in crash.lost.iter().flat_map(|lost| lost.parts.iter()) {
                let is_explained = !convicted.is_empty() && !convicted.contains(&part);
                if is_explained || self.is_cleared_since(part, crash.at) {
                    continue;
                }
                let cover = covers.entry(part).or_default();
                cover.lost_requests += 1;
                if cover.crashes.last() != Some(&index) {
                    cover.crashes.push(index);
                }
            }
        }
        covers
    }

    fn is_cleared_since(&self, part: WorkPart, at: Timestamp) -> bool {
        let answered = self.watched.get(&part).and_then(|watched| watched.cleared_at);
        answered.is_some_and(|answered| answered > at)
    }

    /// Returns the share of the crashes from shortly before the first to the last of a cover that are in
    /// it, but for those with a convicted part. Crashes at one moment are one.
    fn explained_share(&self, now: Timestamp, cover: &PartCover) -> f64 {
        let own = cover.crashes.iter().map(|index| self.crashes[*index].at);
        let (Some(first), Some(last)) = (own.clone().min(), own.clone().max()) else { return 0.0 };
        let all = self.crashes.iter().filter(|crash| {
            crash.at + BACKGROUND_WINDOW >= first
                && crash.at <= last
                && crash.is_settled(now, self.pace)
                && !crash.lost.iter().any(|lost| self.find_verdict(&lost.parts).is_some())
        });
        let all = count_moments(all.map(|crash| crash.at));
        count_moments(own) as f64 / all.max(1) as f64
    }

    /// Returns whether crashes from shortly before the first of a cover may have been evicted.
    fn is_crowded(&self, cover: &PartCover) -> bool {
        let first = cover.crashes.first().map(|index| self.crashes[*index].at);
        let oldest = self.crashes.front().map(|crash| crash.at + BACKGROUND_WINDOW);
        self.crashes.len() == MAX_CRASHES && oldest > first
    }

    /// Returns the requests with a part that were lost in the crashes that it is a suspect of.
    fn lost_with<'a>(
        &'a self,
        part: WorkPart,
        crash: &'a CrashRecord,
    ) -> impl Iterator<Item = &'a LostRequest> {
        crash.lost.iter().filter(move |lost| lost.parts.contains(part))
    }

    /// Counts the crashes of a part, of which those at one moment are one: a crash is separate from
    /// the one before if a request with the part was sent after that.
    fn count_separate(&self, part: WorkPart, crashes: &[usize]) -> usize {
        let mut count = 0;
        let mut last: Option<Timestamp> = None;
        for crash in crashes.iter().map(|index| &self.crashes[*index]) {
            let is_separate = last.is_none_or(|last| {
                self.lost_with(part, crash).any(|lost| match lost.source {
                    LossSource::Own => lost.began_at > last && crash.at > last + SAME_MOMENT,
                    LossSource::Peer => lost.began_at > last + self.pace.slack,
                })
            });
            if is_separate {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }

    /// Returns whether all requests with a part were lost when their answers began.
    fn is_begin_fatal(&self, part: WorkPart, cover: &PartCover) -> bool {
        let crashes = cover.crashes.iter().map(|index| &self.crashes[*index]);
        let mut lost = crashes.flat_map(|crash| self.lost_with(part, crash));
        lost.all(|lost| lost.progress == AnswerProgress::Beginning)
    }

    /// Returns the parts that all lost requests with a part share, but for those that were answered
    /// meanwhile.
    fn shared_parts(&self, part: WorkPart, cover: &PartCover) -> WorkParts {
        let crashes = cover.crashes.iter().map(|index| &self.crashes[*index]);
        let first_at = crashes.clone().map(|crash| crash.at).min().unwrap_or_default();
        let mut lost = crashes.flat_map(|crash| self.lost_with(part, crash));
        let mut shared = lost.next().map(|lost| lost.parts.clone()).unwrap_or_default();
        shared.retain(|other| other == part || !self.is_cleared_since(other, first_at));
        lost.for_each(|lost| shared.retain(|other| lost.parts.contains(other)));
        shared
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.pop_front();
        oldest.iter().for_each(|crash| release_watched(&mut self.watched, crash));
    }

    /// Drops old crashes and verdicts, and what is no longer needed of parts.
    fn expire(&mut self, now: Timestamp) {
        while self.crashes.front().is_some_and(|crash| now.since(crash.at) >= CRASH_RETENTION) {
            self.drop_oldest();
        }
        self.verdicts.expire(now);
        if self.watched.values().any(|watched| watched.crashes == 0) {
            let convicted: BTreeSet<WorkPart> =
                self.verdicts.in_force().flat_map(|record| record.verdict.parts.iter()).collect();
            self.watched.retain(|part, watched| watched.crashes > 0 || convicted.contains(part));
        }
    }
}

/// Counts the moments among times in ascending order.
fn count_moments(times: impl Iterator<Item = Timestamp>) -> usize {
    let mut count = 0;
    let mut last: Option<Timestamp> = None;
    for at in times {
        if last.is_none_or(|last| at > last + SAME_MOMENT) {
            count += 1;
            last = Some(at);
        }
    }
    count
}

/// Counts a crash no longer in what is watched of its parts.
fn release_watched(watched: &mut BTreeMap<WorkPart, WatchedPart>, crash: &CrashRecord) {
    for part in crash.parts() {
        if let Some(watched) = watched.get_mut(&part) {
            watched.crashes -= 1;
        }
    }
}
