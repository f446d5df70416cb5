//! Detects requests that crash backend servers and keeps them away from further servers.
//!
//! Requests in flight on a server when its process exits are suspects. A suspect is rerun in a
//! trial: one host sends it to one server that all hosts avoid, and only once no other request is
//! in flight there. The trial either clears the suspect or, together with the first crash, proves
//! that it crashes servers.

mod trials;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::CrashVerdict;
use crate::crash_evidence::SETTLE_TIME;
use crate::crash_report::AffectedRequest;
use crate::crash_report::AgedPart;
use crate::crash_report::CrashReport;
use crate::crash_report::CrashView;
use crate::crash_report::MAX_AFFECTED_REQUESTS;
use crate::crash_report::MAX_REPORT_ENTRIES;
use crate::crash_report::MAX_REPORT_PARTS;
use crate::crash_report::MAX_REPORT_VERDICTS;
use crate::crash_report::REPORT_VERSION;
use crate::crash_report::TrialReply;
use crate::crash_report::TrialView;
pub use crate::crash_report::WorkFingerprint;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::part_suspects::AnswerProgress;
use crate::part_suspects::FleetView;
use crate::part_suspects::LossSource;
use crate::part_suspects::LostRequest;
use crate::part_suspects::PartSuspects;
use crate::session_request::CheckedRequest;
use crate::session_request::RequestWork;
use crate::timestamp::Timestamp;
use crate::verdict_table::PartVerdict;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Time that a suspect must run alone, in addition to its longest run before a crash, to be cleared.
pub const TRIAL_MARGIN: Duration = Duration::from_secs(2);

/// Additional wait per rank among a crash's reporters before a host starts the trial itself, in
/// case the hosts ranked before it do not.
pub const TRIAL_TAKEOVER_DELAY: Duration = Duration::from_secs(10);

/// Time after its last report after which a host no longer counts as a peer.
pub const PEER_EXPIRY: Duration = Duration::from_secs(10);

/// Time for which a failed attempt still counts as in flight, in case the exit of its server is
/// noticed only later.
pub const FAILED_ATTEMPT_RETENTION: Duration = Duration::from_secs(1);

/// Time for which an announced shutdown keeps the exit of a server's process from counting as a
/// crash.
pub const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_secs(600);

/// Length of the shortest line of a prompt that is a part of its own.
const MIN_PART_BYTES: usize = 8;

/// Time for which parts that were answered are told to peers.
const CLEARED_PART_WINDOW: Duration = Duration::from_secs(5);

/// Age of a crash up to which the parts of its requests are told to peers.
const PART_REPORT_WINDOW: Duration = Duration::from_secs(10);

impl From<&CheckedRequest> for WorkFingerprint {
    fn from(request: &CheckedRequest) -> Self {
        let mut hasher = blake3::Hasher::new();
        let mut field = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        field(request.service.name.as_str().as_bytes());
        match &request.work {
            RequestWork::Model { prompt, .. } => field(prompt.as_bytes()),
            RequestWork::App { method, path, body, .. } => {
                field(method.as_bytes());
                field(path.as_bytes());
                field(body);
            }
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(first))
    }
}

/// The parts of a request's work. Those of a prompt are its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectWork {
    /// The whole work.
    pub whole: WorkPart,
    /// All parts.
    pub parts: WorkParts,
}

impl From<&CheckedRequest> for SuspectWork {
    fn from(request: &CheckedRequest) -> Self {
        let fingerprint = WorkFingerprint::from(request);
        let whole = WorkPart::of_request(&[&fingerprint.0.to_be_bytes()]);
        let service = request.service.name.as_str();
        let lines = match &request.work {
            RequestWork::Model { prompt, .. } => prompt.lines(),
            RequestWork::App { .. } => "".lines(),
        };
        let parts = lines
            .map(str::trim)
            .filter(|line| line.len() >= MIN_PART_BYTES)
            .map(|line| WorkPart::of_prompt(service, line.as_bytes()));
        Self { whole, parts: WorkParts::new(whole, parts) }
    }
}

/// Where a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectPlacement {
    /// To any server except those reserved for trials.
    Free {
        /// Servers to avoid.
        avoid: Vec<ServerId>,
    },
    /// Only to this server, as a trial.
    Trial(ServerId),
    /// To no server for now; ask again later.
    Hold,
    /// To no server at all, because the request crashes servers.
    Refused,
}

/// Why a server's process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// The process exited while its host is still up: new connections are refused.
    ProcessEnded,
    /// The shutdown was announced, or the whole host is gone.
    HostGone,
}

/// How an attempt ended on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptExit {
    /// It was answered.
    Answered,
    /// It failed or was stopped.
    Stopped,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    fingerprint: WorkFingerprint,
    since: Timestamp,
    /// When it failed or was stopped, if it was.
    failed_at: Option<Timestamp>,
    /// Whether its connection was lost.
    lost: bool,
    /// When the first piece of its answer came, if one did.
    answer_begun_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct OwnTrial {
    number: u64,
    server: ServerId,
    request: RequestId,
    /// Longest time that the suspect ran before a crash.
    ran: Duration,
    started_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct PeerState {
    heard_at: Timestamp,
    trials: Vec<TrialView>,
    /// Requests that the peer has in flight on the server of each trial of this host, by number of
    /// the trial. Trials that the peer has not acknowledged are missing.
    busy: BTreeMap<u64, u32>,
}

/// Crash suspects and trials, as known to one entry host.
#[derive(Clone, Debug)]
pub struct CrashSuspects {
    host: HostId,
    evidence: CrashEvidence,
    in_flight: BTreeMap<ServerId, BTreeMap<RequestId, InFlight>>,
    trials: BTreeMap<WorkFingerprint, OwnTrial>,
    trial_count: u64,
    peers: BTreeMap<HostId, PeerState>,
    announced: BTreeMap<ServerId, Timestamp>,
    parts: PartSuspects,
    works: BTreeMap<RequestId, SuspectWork>,
    /// Parts that were answered, to tell peers.
    cleared_parts: BTreeMap<WorkPart, Timestamp>,
}

impl CrashSuspects {
    /// Builds the state of an entry host without any suspects.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            evidence: CrashEvidence::default(),
            in_flight: BTreeMap::new(),
            trials: BTreeMap::new(),
            trial_count: 0,
            peers: BTreeMap::new(),
            announced: BTreeMap::new(),
            parts: PartSuspects::default(),
            works: BTreeMap::new(),
            cleared_parts: BTreeMap::new(),
        }
    }

    /// Records the parts of a request's work, until [`Self::forget`].
    pub fn admit(&mut self, request: RequestId, work: SuspectWork) {
        self.works.insert(request, work);
    }

    /// Judges recent crashes, and returns verdicts on parts of requests that have changed.
    pub fn judge(&mut self, now: Timestamp, wall_ms: u64) -> Vec<PartVerdict> {
        self.cleared_parts.retain(|_, at| now.since(*at) < CLEARED_PART_WINDOW);
        self.parts.judge(now, wall_ms, FleetView::Whole)
    }

    /// Returns whether there are no suspects and no trials, so that requests may go to any server.
    pub fn has_no_suspects(&self) -> bool {
        let no_trials = self.trials.is_empty() && self.peers.values().all(|p| p.trials.is_empty());
        no_trials && self.evidence.is_empty() && self.parts.verdicts().is_empty()
    }

    /// Decides where a request may be sent. `candidates` are the servers that could run it.
    pub fn place(
        &mut self,
        now: Timestamp,
        fingerprint: WorkFingerprint,
        request: RequestId,
        candidates: &[ServerId],
    ) -> SuspectPlacement {
        if self.has_no_suspects() {
            return SuspectPlacement::Free { avoid: Vec::new() };
        }
        self.expire(now);
        if let Some(work) = self.works.get(&request)
            && self.parts.refuse(now, &work.parts).is_some()
        {
            return SuspectPlacement::Refused;
        }
        match self.evidence.verdict(now, fingerprint) {
            CrashVerdict::Clear => SuspectPlacement::Free { avoid: self.trial_servers() },
            CrashVerdict::Pending => SuspectPlacement::Hold,
            CrashVerdict::Refused => {
                self.evidence.add_refused(now, fingerprint);
                SuspectPlacement::Refused
            }
            CrashVerdict::Suspect { reporters, heard_at, ran, crashed } => {
                let rank = reporters.iter().position(|host| *host == self.host);
                let wait_turns = u32::try_from(rank.unwrap_or(reporters.len())).unwrap_or(u32::MAX);
                if now.since(heard_at) < SETTLE_TIME + TRIAL_TAKEOVER_DELAY * wait_turns {
                    return SuspectPlacement::Hold;
                }
                // A second crash of the same server may be due to a fault of that server.
                let fresh: Vec<ServerId> =
                    candidates.iter().filter(|id| !crashed.contains(id)).cloned().collect();
                let candidates = if fresh.is_empty() { candidates } else { &fresh };
                self.place_in_trial(fingerprint, request, ran, candidates)
            }
        }
    }

    fn running_count(&self, server: &ServerId) -> usize {
        let count_running = |attempts: &BTreeMap<RequestId, InFlight>| {
            attempts.values().filter(|attempt| attempt.failed_at.is_none()).count()
        };
        self.in_flight.get(server).map_or(0, count_running)
    }

    /// Records that an attempt was sent to a server.
    pub fn begin(
        &mut self,
        now: Timestamp,
        fingerprint: WorkFingerprint,
        request: RequestId,
        server: &ServerId,
    ) {
        let attempt = InFlight {
            fingerprint,
            since: now,
            failed_at: None,
            lost: false,
            answer_begun_at: None,
        };
        self.in_flight.entry(server.clone()).or_default().insert(request, attempt);
        if let Some(trial) = self.trials.get_mut(&fingerprint)
            && trial.request == request
            && trial.server == *server
        {
            trial.started_at = Some(now);
        }
    }

    /// Records that an attempt is no longer in flight on the server.
    pub fn end(
        &mut self,
        now: Timestamp,
        request: RequestId,
        server: &ServerId,
        exit: AttemptExit,
    ) {
        let Some(attempts) = self.in_flight.get_mut(server) else { return };
        let Some(attempt) = attempts.get_mut(&request) else { return };
        let fingerprint = attempt.fingerprint;
        match exit {
            AttemptExit::Answered => {
                attempts.remove(&request);
            }
            AttemptExit::Stopped => attempt.failed_at = Some(now),
        }
        drop_old_failures(attempts, now);
        if self.is_trial_of(request, server) {
            self.trials.remove(&fingerprint);
        }
        if exit == AttemptExit::Answered && self.evidence.involves(fingerprint) {
            self.evidence.add_cleared(now, fingerprint);
        }
        if exit == AttemptExit::Answered
            && let Some(work) = self.works.get(&request)
        {
            let cleared = self.parts.on_answered(now, &work.parts);
            self.cleared_parts.extend(cleared.into_iter().map(|part| (part, now)));
        }
    }

    /// Records that the first piece of an attempt's answer came.
    pub fn on_answer_begun(&mut self, now: Timestamp, request: RequestId, server: &ServerId) {
        let attempt = self.in_flight.get_mut(server).and_then(|found| found.get_mut(&request));
        if let Some(attempt) = attempt {
            attempt.answer_begun_at.get_or_insert(now);
        }
    }

    /// Removes a request that has ended, and cancels its trial if that has not started.
    pub fn forget(&mut self, request: RequestId) {
        self.trials.retain(|_, trial| trial.request != request || trial.started_at.is_some());
        self.works.remove(&request);
    }

    /// Records that a server's shutdown was announced. Its exit no longer counts as a crash.
    pub fn announce_end(&mut self, now: Timestamp, server: &ServerId) {
        self.announced.insert(server.clone(), now);
    }

    /// Records that an attempt's connection was lost. Call it before [`Self::end`]. Returns whether
    /// the server's process must have exited.
    ///
    /// `serves` tells whether a new connection to the server works. Even if one does, the process
    /// must have restarted if two or more attempts were in flight and all lost their connection, or
    /// if the attempt was a suspect under trial.
    pub fn on_connection_lost(
        &mut self,
        now: Timestamp,
        request: RequestId,
        server: &ServerId,
        zone: &ZoneName,
        serves: bool,
    ) -> bool {
        if let Some(attempts) = self.in_flight.get_mut(server) {
            drop_old_failures(attempts, now);
            if let Some(attempt) = attempts.get_mut(&request) {
                attempt.lost = true;
            }
        }
        let ended = !serves || self.all_lost(server) || self.is_trial_of(request, server);
        if ended {
            self.on_server_exit(now, server, zone, ExitCause::ProcessEnded);
        }
        ended
    }

    fn all_lost(&self, server: &ServerId) -> bool {
        let found = self.in_flight.get(server);
        found.is_some_and(|found| found.len() >= 2 && found.values().all(|attempt| attempt.lost))
    }

    fn is_trial_of(&self, request: RequestId, server: &ServerId) -> bool {
        self.trials.values().any(|trial| {
            trial.request == request && trial.server == *server && trial.started_at.is_some()
        })
    }

    /// Records the exit of a server's process. Call it before [`Self::end`] of the attempts that
    /// were in flight there.
    pub fn on_server_exit(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        zone: &ZoneName,
        cause: ExitCause,
    ) {
        self.expire(now);
        let attempts = self.in_flight.remove(server).unwrap_or_default();
        if cause == ExitCause::HostGone || self.announced.contains_key(server) {
            self.evidence.drop_crashes(server, now - SETTLE_TIME);
            return;
        }
        let lost: Vec<LostRequest> = attempts
            .iter()
            .filter_map(|(request, attempt)| {
                let SuspectWork { whole, parts } = self.works.get(request)?;
                let progress = AnswerProgress::of(now, attempt.answer_begun_at);
                Some(LostRequest::new(*whole, parts, attempt.since, progress))
            })
            .collect();
        if !lost.is_empty() {
            self.parts.on_crash(now, now, server, lost);
        }
        let works = &self.works;
        let companions = attempts.iter().take(MAX_AFFECTED_REQUESTS).map(|(request, attempt)| {
            let progress = AnswerProgress::of(now, attempt.answer_begun_at);
            let lost = works.get(request).map(|SuspectWork { whole, parts }| {
                LostRequest::new(*whole, parts, attempt.since, progress)
            });
            AffectedRequest {
                fingerprint: attempt.fingerprint,
                ran_ms: u64::try_from(now.since(attempt.since).as_millis()).unwrap_or(u64::MAX),
                parts: lost.map(|lost| lost.parts).unwrap_or_default(),
                progress,
            }
        });
        let view = CrashView {
            server: server.clone(),
            zone: zone.clone(),
            reporter: self.host.clone(),
            age_ms: 0,
            companions: companions.collect(),
        };
        self.trials.retain(|_, trial| trial.server != *server);
        if !view.companions.is_empty() {
            self.evidence.add_view(now, &view);
        }
    }

    /// Returns the report for this host's peers. The same report may be sent many times.
    pub fn report(&mut self, now: Timestamp) -> CrashReport {
        self.expire(now);
        let busy = self.peer_trials().map(|trial| TrialReply {
            owner: trial.owner.clone(),
            number: trial.number,
            in_flight: u32::try_from(self.running_count(&trial.server)).unwrap_or(u32::MAX),
        });
        let trials = self.trials.iter().map(|(&fingerprint, trial)| TrialView {
            owner: self.host.clone(),
            number: trial.number,
            server: trial.server.clone(),
            fingerprint,
        });
        let verdicts = self.parts.verdicts().records();
        let verdicts = verdicts.take(MAX_REPORT_VERDICTS).map(|record| record.verdict.clone());
        let cleared_parts = self.cleared_parts.iter().map(|(part, at)| AgedPart {
            part: *part,
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
        });
        CrashReport {
            version: REPORT_VERSION,
            from: self.host.clone(),
            verdicts: verdicts.collect(),
            cleared_parts: cleared_parts.take(MAX_REPORT_ENTRIES).collect(),
            crashes: without_old_parts(self.evidence.views(now)),
            trials: trials.collect(),
            busy: busy.collect(),
            cleared: self.evidence.cleared(now),
            refused: self.evidence.refused(now),
        }
    }

    /// Merges a peer's report.
    pub fn on_report(&mut self, now: Timestamp, report: &CrashReport) {
        if report.from == self.host {
            return;
        }
        for view in report.crashes.iter().filter(|view| !self.announced.contains_key(&view.server))
        {
            self.evidence.add_view(now, view);
        }
        for view in &report.crashes {
            self.merge_lost(now, view);
        }
        for cleared in &report.cleared_parts {
            let at = now - Duration::from_millis(cleared.age_ms);
            self.parts.clear(at, cleared.part);
        }
        for verdict in &report.verdicts {
            self.parts.merge_verdict(now, verdict.clone());
        }
        for verdict in &report.cleared {
            let at = now - Duration::from_millis(verdict.age_ms);
            self.evidence.add_cleared(at, verdict.fingerprint);
        }
        for verdict in &report.refused {
            let at = now - Duration::from_millis(verdict.age_ms);
            self.evidence.add_refused(at, verdict.fingerprint);
        }
        let own = report.busy.iter().filter(|busy| busy.owner == self.host);
        let busy = own.map(|busy| (busy.number, busy.in_flight));
        let trials = report.trials.clone();
        let peer = PeerState { heard_at: now, trials, busy: busy.collect() };
        self.peers.insert(report.from.clone(), peer);
    }

    /// Merges the requests that another host lost in a crash.
    fn merge_lost(&mut self, now: Timestamp, view: &CrashView) {
        if view.reporter == self.host || self.announced.contains_key(&view.server) {
            return;
        }
        let at = now - Duration::from_millis(view.age_ms);
        let lost = view.companions.iter().filter(|lost| !lost.parts.is_empty()).map(|lost| {
            let began_at = at - Duration::from_millis(lost.ran_ms);
            let (parts, source) = (lost.parts.clone(), LossSource::Peer);
            LostRequest { parts, began_at, source, progress: lost.progress }
        });
        let lost: Vec<LostRequest> = lost.collect();
        if !lost.is_empty() {
            self.parts.on_crash(now, at, &view.server, lost);
        }
    }

    /// Clears suspects whose trial has lasted long enough and drops expired entries.
    fn expire(&mut self, now: Timestamp) {
        self.evidence.expire(now);
        self.peers.retain(|_, peer| now.since(peer.heard_at) < PEER_EXPIRY);
        self.announced.retain(|_, at| now.since(*at) < ANNOUNCEMENT_EXPIRY);
        for attempts in self.in_flight.values_mut() {
            drop_old_failures(attempts, now);
        }
        self.in_flight.retain(|_, attempts| !attempts.is_empty());
        let passed = self.trials.extract_if(.., |_, trial| {
            let probation = trial.ran + TRIAL_MARGIN;
            trial.started_at.is_some_and(|at| now.since(at) >= probation)
        });
        for (fingerprint, _) in passed.collect::<Vec<_>>() {
            self.evidence.add_cleared(now, fingerprint);
        }
    }
}

/// Drops attempts that failed longer than [`FAILED_ATTEMPT_RETENTION`] ago.
fn drop_old_failures(attempts: &mut BTreeMap<RequestId, InFlight>, now: Timestamp) {
    attempts.retain(|_, attempt| {
        attempt.failed_at.is_none_or(|at| now.since(at) < FAILED_ATTEMPT_RETENTION)
    });
}

/// Leaves the parts of requests out of views of old crashes, and beyond the maximum of a report.
fn without_old_parts(mut views: Vec<CrashView>) -> Vec<CrashView> {
    let mut count = 0;
    for view in &mut views {
        let is_old = Duration::from_millis(view.age_ms) >= PART_REPORT_WINDOW;
        for companion in &mut view.companions {
            count += companion.parts.len();
            if is_old || count > MAX_REPORT_PARTS {
                companion.parts = WorkParts::default();
            }
        }
    }
    views
}
