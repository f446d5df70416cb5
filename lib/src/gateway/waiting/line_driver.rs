//! Wakes the requests that wait at this host, and tells them why they wait no longer.
//!
//! Each waiting request is a future of its caller's connection, which is dropped when the caller
//! disconnects; its place in the line goes with it. The futures sleep until they are called, reviewed
//! or due.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::request_rank::RequestRank;
use crate::gateway::waiting::rank_shares::RankReport;
use crate::gateway::waiting::rank_shares::RankShares;
use crate::gateway::waiting::rank_shares::ShareChange;
use crate::gateway::waiting::route_times::RouteTimes;
use crate::gateway::waiting::waiting_line::EnterDecision;
use crate::gateway::waiting::waiting_line::WaitBounds;
use crate::gateway::waiting::waiting_line::WaitCause;
use crate::gateway::waiting::waiting_line::WaitRefusal;
use crate::gateway::waiting::waiting_line::WaitRequest;
use crate::gateway::waiting::waiting_line::WaitTicket;
use crate::gateway::waiting::waiting_line::WaitingLine;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Least urgent priority that the metrics tell apart.
const MAX_RANK_LABEL: u32 = 9;

/// Label of the requests that started after a wait.
const STARTED: &str = "started";

/// Label of the requests whose callers left.
const CALLER_LEFT: &str = "caller_left";

/// What a waiting request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceSignal {
    Try,
    Refuse(WaitRefusal),
}

#[derive(Debug, Default)]
struct PlaceBell {
    signal: Cell<Option<PlaceSignal>>,
    notify: Notify,
}

impl PlaceBell {
    fn send(&self, signal: PlaceSignal) {
        self.signal.set(Some(signal));
        self.notify.notify_one();
    }
}

/// What a waiting request does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitTurn {
    /// It tries whether there is room.
    Try,
    /// It tries for the last time: it must start now.
    FinalTry,
    /// It is refused.
    Refused(WaitRefusal),
}

/// The requests that wait at this host, and what bounds their waits.
#[derive(Debug, Default)]
pub struct LineDriver {
    line: RefCell<WaitingLine>,
    bells: RefCell<BTreeMap<WaitTicket, Rc<PlaceBell>>>,
    /// Measured times of routes.
    pub times: RefCell<RouteTimes>,
    /// Shares of the ranks that are admitted.
    pub shares: RefCell<RankShares>,
}

impl LineDriver {
    /// Returns whether no request waits.
    pub fn is_idle(&self) -> bool {
        self.line.borrow().is_empty()
    }

    /// Returns whether a new request goes behind others that wait.
    pub fn must_wait(&self, request: &WaitRequest) -> bool {
        self.line.borrow().must_wait(request)
    }

    /// Returns the time after which a request that joins the end of a line would start.
    pub fn time_until_room(&self, now: Timestamp, cause: &WaitCause) -> Option<Duration> {
        self.line.borrow().time_until_room(now, cause)
    }

    /// Records that a request was sent to a server.
    pub fn on_server_found(&self, now: Timestamp, service: &ServiceName) {
        self.line.borrow_mut().on_started(now, &WaitCause::Server(service.clone()));
    }

    /// Records that a request was admitted by its team's quota.
    pub fn on_quota_admitted(&self, now: Timestamp, team: &TeamName) {
        self.line.borrow_mut().on_started(now, &WaitCause::Quota(team.clone()));
    }

    /// Tells the first request that waits for a service that there may be room.
    pub fn on_room(&self, service: &ServiceName) {
        if self.is_idle() {
            return;
        }
        let next = self.line.borrow_mut().call_next(&WaitCause::Server(service.clone()));
        self.call(next);
    }

    /// Tells the first request of each line that there may be room: the loads of servers, the
    /// directory or the configuration changed.
    pub fn on_change(&self, now: Timestamp) {
        if self.is_idle() {
            return;
        }
        let late = self.line.borrow_mut().expire(now);
        self.refuse(&late, WaitRefusal::Expired);
        let causes = self.line.borrow().causes();
        for cause in &causes {
            let next = self.line.borrow_mut().call_next(cause);
            self.call(next);
        }
    }

    /// Refuses all requests that wait, since the host is leaving.
    pub fn close(&self) {
        let waiting = self.line.borrow_mut().close();
        self.refuse(&waiting, WaitRefusal::Closed);
    }

    fn call(&self, ticket: Option<WaitTicket>) {
        let Some(ticket) = ticket else { return };
        if let Some(bell) = self.bells.borrow().get(&ticket) {
            bell.send(PlaceSignal::Try);
        }
    }

    fn refuse(&self, tickets: &[WaitTicket], reason: WaitRefusal) {
        let bells = self.bells.borrow();
        for bell in tickets.iter().filter_map(|ticket| bells.get(ticket)) {
            bell.send(PlaceSignal::Refuse(reason));
        }
    }
}

/// A request's place in a line. It leaves the line when it is dropped.
pub struct WaitingPlace {
    state: Rc<GatewayState>,
    ticket: WaitTicket,
    bell: Rc<PlaceBell>,
    entered_at: Timestamp,
    rank: RequestRank,
    bounds: WaitBounds,
    is_reviewed: bool,
    outcome: &'static str,
}

impl WaitingPlace {
    /// Lets a request wait, unless its line refuses it.
    pub fn enter(state: &Rc<GatewayState>, request: WaitRequest) -> Result<Self, WaitRefusal> {
        let now = state.now();
        let (rank, bounds) = (request.rank, request.bounds);
        let decision = state.waiting.line.borrow_mut().enter(now, request);
        let (ticket, displaced) = match decision {
            EnterDecision::Waits { ticket, displaced } => (ticket, displaced),
            EnterDecision::Refused(reason) => {
                count_end(state, rank, refusal_label(reason));
                return Err(reason);
            }
        };
        let bell = Rc::new(PlaceBell::default());
        state.waiting.bells.borrow_mut().insert(ticket, bell.clone());
        let reason = WaitRefusal::OutOfReach { expected: None };
        state.waiting.refuse(&displaced, reason);
        state.metrics.waiting_requests.with_label_values(&[&rank_label(rank)]).inc();
        Ok(Self {
            state: state.clone(),
            ticket,
            bell,
            entered_at: now,
            rank,
            bounds,
            is_reviewed: false,
            outcome: CALLER_LEFT,
        })
    }

    /// Waits until the request is to be tried or refused. `retry_at` is when there will be room for the
    /// first request of the line, if that is known.
    pub async fn next_turn(&mut self, retry_at: Option<Timestamp>) -> WaitTurn {
        loop {
            let now = self.state.now();
            match self.bell.signal.take() {
                Some(PlaceSignal::Refuse(reason)) => return WaitTurn::Refused(reason),
                _ if self.bounds.is_over(now) => return WaitTurn::Refused(WaitRefusal::Expired),
                Some(PlaceSignal::Try) => return WaitTurn::Try,
                None => {}
            }
            if now >= self.bounds.start_by {
                return WaitTurn::FinalTry;
            }
            let retry_at =
                retry_at.filter(|_| self.state.waiting.line.borrow().is_first(self.ticket));
            if retry_at.is_some_and(|at| at <= now) {
                return WaitTurn::Try;
            }
            let review_at = self.entered_at + self.bounds.unsure_time;
            if !self.is_reviewed && review_at <= now {
                self.is_reviewed = true;
                // A known time of room needs no prediction.
                let late = match retry_at {
                    Some(_) => None,
                    None => self.state.waiting.line.borrow().review(now, self.ticket),
                };
                if let Some(reason) = late {
                    return WaitTurn::Refused(reason);
                }
            }
            let review_at = (!self.is_reviewed).then_some(review_at);
            let due_at = retry_at.into_iter().chain(review_at).fold(self.bounds.start_by, Ord::min);
            tokio::select! {
                () = self.bell.notify.notified() => {}
                () = tokio::time::sleep(due_at.since(now)) => {}
            }
        }
    }

    /// Records that there was no room. `is_own_reason` says that there may be room for others.
    pub fn on_tried(&self, is_own_reason: bool) {
        let next = self.state.waiting.line.borrow_mut().on_tried(self.ticket, is_own_reason);
        self.state.waiting.call(next);
    }

    /// Ends the wait, since the request starts.
    pub fn start(mut self) {
        self.outcome = STARTED;
        // There may be room for the next one.
        self.state.waiting.line.borrow_mut().mark_called(self.ticket);
    }

    /// Ends the wait, since the request is refused.
    pub fn refuse(mut self, reason: WaitRefusal) {
        self.outcome = refusal_label(reason);
    }

    /// Returns how long the request has waited.
    pub fn waited(&self) -> Duration {
        self.state.now().since(self.entered_at)
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let (state, waiting) = (&self.state, &self.state.waiting);
        waiting.bells.borrow_mut().remove(&self.ticket);
        let next = waiting.line.borrow_mut().leave(self.ticket);
        waiting.call(next);
        let rank = rank_label(self.rank);
        state.metrics.waiting_requests.with_label_values(&[&rank]).dec();
        let waited = self.waited().as_secs_f64();
        state.metrics.wait_time.with_label_values(&[&rank]).observe(waited);
        count_end(state, self.rank, self.outcome);
    }
}

/// Decides anew which share of each rank is admitted, from what the peers state.
pub fn update_shares(state: &GatewayState, reports: &[RankReport]) {
    let changes = state.waiting.shares.borrow_mut().step(state.now(), reports);
    for ShareChange { service, rank, before, share, missed } in changes {
        let permille = (share * 1_000.0) as i64;
        let labels = [service.as_str(), &rank.to_string()];
        state.metrics.admitted_shares.with_label_values(&labels).set(permille);
        let event = match (before >= 1.0, share >= 1.0) {
            (true, false) => "rank_reduced",
            (false, true) => "rank_restored",
            (true, true) | (false, false) => continue,
        };
        state.metrics.events.with_label_values(&[event]).inc();
        log::info!(
            "event={event} service={service} rank={rank} share_permille={permille} \
             missed_permille={:.0} reports={}",
            missed * 1_000.0,
            reports.len(),
        );
    }
}

fn count_end(state: &GatewayState, rank: RequestRank, outcome: &str) {
    state.metrics.wait_ends.with_label_values(&[rank_label(rank).as_str(), outcome]).inc();
}

fn rank_label(rank: RequestRank) -> String {
    rank.priority.min(MAX_RANK_LABEL).to_string()
}

/// Returns the metric and log label of a refusal.
pub fn refusal_label(reason: WaitRefusal) -> &'static str {
    match reason {
        WaitRefusal::OutOfReach { .. } => "out_of_reach",
        WaitRefusal::LineFull => "line_full",
        WaitRefusal::TeamFull => "team_full",
        WaitRefusal::Expired => "expired",
        WaitRefusal::Closed => "closed",
    }
}
