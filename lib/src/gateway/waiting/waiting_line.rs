//! Decides which requests wait at a host, for how long, and in which order they are tried.
//!
//! Load pattern: for moments, or for minutes, callers send more than the servers of a service can
//! run or than a team's quota admits. A request waits only while its answer can still begin within
//! its latency goal. How long those in front of it will take is predicted from how often requests
//! started recently at this host. A request whose turn is predicted to come too late is refused at
//! once, also if more urgent requests that came after it make it late. The order is: rank, streams that
//! are taken up, callers that were told to come back, and the earliest time by which the request must
//! start. Only the first request in each line is tried when there may be room, so that an event costs
//! one decision and not one for each waiting request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::request_rank::RequestRank;
use crate::gateway::waiting::start_pace::StartPace;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::timestamp::Timestamp;

/// Maximum number of requests that wait at a host: seconds of the traffic of a host, at a few KiB each.
pub const MAX_WAITING: usize = 256;

/// Maximum number of requests of one team that wait at a host.
pub const MAX_TEAM_WAITING: usize = MAX_WAITING / 4;

/// Maximum number of bytes of the requests that wait at a host: a small part of its buffers.
pub const MAX_WAITING_BYTES: usize = 8 << 20;

/// Maximum number of bytes of the requests of one team that wait at a host.
pub const MAX_TEAM_BYTES: usize = MAX_WAITING_BYTES / 4;

/// Fraction of the time left by which a request's turn must be expected to come. The rest covers the
/// error of the prediction, so that few requests wait in vain.
const REACH_FRACTION: f64 = 0.7;

/// A request that is expected to be refused has waited no longer than this part of its goal.
const REVIEW_DIVISOR: u32 = 8;

/// Part of a request's time after which it waits no longer.
const MAX_WAIT_FRACTION: f64 = 0.75;

/// Time after which a request that had to start is no longer tried: its host was frozen meanwhile, or
/// is too busy to serve it in time.
pub const FINAL_TRY_TIME: Duration = Duration::from_millis(250);

/// Number of lines from which those without requests are dropped.
const MAX_IDLE_LINES: usize = 64;

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// A server of a service that accepts it.
    Server(ServiceName),
    /// Quota of its team.
    Quota(TeamName),
}

/// Order of requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// A stream that its caller takes up again.
    Resumed,
    /// Its caller was told to come back.
    Returning,
    /// Any other request.
    New,
}

/// Times that bound the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitBounds {
    /// Time by which the request must start.
    pub start_by: Timestamp,
    /// How long it may wait without a prediction that its turn comes in time.
    pub unsure_time: Duration,
}

impl WaitBounds {
    /// Returns the bounds of a request that arrived at `arrived_at`; a server is expected to begin its
    /// answer after `answer_time`.
    pub fn new(
        arrived_at: Timestamp,
        deadline: Timestamp,
        goal: Duration,
        answer_time: Duration,
    ) -> Self {
        let by_goal = goal.saturating_sub(answer_time);
        let by_deadline = deadline.since(arrived_at).mul_f64(MAX_WAIT_FRACTION);
        Self {
            start_by: arrived_at + by_goal.min(by_deadline),
            unsure_time: (goal / REVIEW_DIVISOR).min(by_goal),
        }
    }
}

impl WaitBounds {
    /// Returns whether the request may wait for room that comes after `room_in`.
    pub fn allows(&self, now: Timestamp, room_in: Duration) -> bool {
        now + room_in <= self.start_by
    }

    /// Returns whether the time for a final try has passed.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.start_by + FINAL_TRY_TIME <= now
    }
}

/// A request that asks to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitRequest {
    /// What it waits for.
    pub cause: WaitCause,
    /// Its team.
    pub team: Option<TeamName>,
    /// Urgency.
    pub rank: RequestRank,
    /// Order within the rank.
    pub class: WaitClass,
    /// Arrival time.
    pub arrived_at: Timestamp,
    /// Bounds of its wait.
    pub bounds: WaitBounds,
    /// When there will be room for it if no other request takes it, if that is known.
    pub room_in: Option<Duration>,
    /// Bytes that it holds in memory.
    pub bytes: usize,
}

impl WaitRequest {
    fn key(&self, ticket: WaitTicket) -> PlaceKey {
        let order = match self.class {
            // Streams that are taken up keep the order in which they came.
            WaitClass::Resumed => self.arrived_at,
            WaitClass::Returning | WaitClass::New => self.bounds.start_by,
        };
        PlaceKey { rank: self.rank, class: self.class, order, ticket }
    }
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitRefusal {
    /// Its turn would come too late.
    OutOfReach {
        /// When it is expected to come, if that can be predicted.
        expected: Option<Duration>,
    },
    /// As many requests or bytes wait as may.
    LineFull,
    /// As many requests or bytes of its team wait as may.
    TeamFull,
    /// No room came until it had to start.
    Expired,
    /// The host is leaving.
    Closed,
}

/// Whether a request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnterDecision {
    /// It waits.
    Waits {
        /// Identifies it.
        ticket: WaitTicket,
        /// Requests that will not get their turn in time because of it, and wait no longer.
        displaced: Vec<WaitTicket>,
    },
    /// It may not wait.
    Refused(WaitRefusal),
}

/// Place of a request in its line; the least one is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceKey {
    rank: RequestRank,
    class: WaitClass,
    order: Timestamp,
    ticket: WaitTicket,
}

#[derive(Clone, Debug)]
struct WaitEntry {
    request: WaitRequest,
    /// Whether it was told to try.
    is_called: bool,
}

#[derive(Clone, Debug)]
struct CauseLine {
    order: BTreeSet<PlaceKey>,
    pace: StartPace,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WaitTotals {
    requests: usize,
    bytes: usize,
}

impl WaitTotals {
    fn fits(self, bytes: usize, max_requests: usize, max_bytes: usize) -> bool {
        self.requests < max_requests && self.bytes + bytes <= max_bytes
    }

    fn add(&mut self, bytes: usize) {
        self.requests += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, bytes: usize) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

/// The requests that wait at a host.
#[derive(Clone, Debug, Default)]
pub struct WaitingLine {
    entries: BTreeMap<WaitTicket, WaitEntry>,
    lines: BTreeMap<WaitCause, CauseLine>,
    teams: BTreeMap<Option<TeamName>, WaitTotals>,
    total: WaitTotals,
    next_ticket: u64,
    is_closed: bool,
}

impl WaitingLine {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the causes for which requests wait.
    pub fn causes(&self) -> Vec<WaitCause> {
        let waiting = self.lines.iter().filter(|(_, line)| !line.order.is_empty());
        waiting.map(|(cause, _)| cause.clone()).collect()
    }

    /// Returns whether requests wait that go before a new one. Streams that are taken up go behind
    /// other such streams only, and other requests not behind them.
    pub fn must_wait(&self, request: &WaitRequest) -> bool {
        let Some(line) = self.lines.get(&request.cause) else { return false };
        let key = request.key(WaitTicket(u64::MAX));
        let mut before = line.order.range(..key);
        // Streams that are taken up may use some servers only, and others not those.
        let is_resumed = |class: WaitClass| class == WaitClass::Resumed;
        before.any(|place| is_resumed(place.class) == is_resumed(request.class))
    }

    /// Records that a request started, or that its quota was admitted.
    pub fn on_started(&mut self, now: Timestamp, cause: &WaitCause) {
        match self.lines.get_mut(cause) {
            Some(line) => line.pace.on_started(now),
            None => self.line(now, cause).pace.on_started(now),
        }
    }

    fn line(&mut self, now: Timestamp, cause: &WaitCause) -> &mut CauseLine {
        if self.lines.len() >= MAX_IDLE_LINES && !self.lines.contains_key(cause) {
            self.lines.retain(|_, line| !line.order.is_empty() || !line.pace.is_idle(now));
        }
        let new = || CauseLine { order: BTreeSet::new(), pace: StartPace::new(now) };
        self.lines.entry(cause.clone()).or_insert_with(new)
    }

    /// Returns the time after which a request that joins the end of a line would start, if it can be
    /// predicted.
    pub fn time_until_room(&self, now: Timestamp, cause: &WaitCause) -> Option<Duration> {
        let line = self.lines.get(cause)?;
        line.pace.time_until(now, line.order.len() + 1)
    }

    /// Decides whether a request waits.
    pub fn enter(&mut self, now: Timestamp, request: WaitRequest) -> EnterDecision {
        if self.is_closed {
            return EnterDecision::Refused(WaitRefusal::Closed);
        }
        let team = self.teams.get(&request.team).copied().unwrap_or_default();
        let bytes = request.bytes;
        if !team.fits(bytes, MAX_TEAM_WAITING, MAX_TEAM_BYTES) {
            return EnterDecision::Refused(WaitRefusal::TeamFull);
        }
        if !self.total.fits(bytes, MAX_WAITING, MAX_WAITING_BYTES) {
            return EnterDecision::Refused(WaitRefusal::LineFull);
        }
        let ticket = WaitTicket(self.next_ticket);
        let key = request.key(ticket);
        let line = self.line(now, &request.cause);
        let position = line.order.range(..key).count();
        let left = request.bounds.start_by.since(now);
        let (expected, limit) = match request.room_in {
            Some(room_in) if position == 0 => (Some(room_in), left),
            _ => (line.pace.time_until(now, position + 1), left.mul_f64(REACH_FRACTION)),
        };
        if left.is_zero() || expected.is_some_and(|expected| expected > limit) {
            return EnterDecision::Refused(WaitRefusal::OutOfReach { expected });
        }
        line.order.insert(key);
        self.next_ticket += 1;
        self.teams.entry(request.team.clone()).or_default().add(bytes);
        self.total.add(bytes);
        let cause = request.cause.clone();
        self.entries.insert(ticket, WaitEntry { request, is_called: false });
        let displaced = self.displace_late(now, &cause, ticket);
        EnterDecision::Waits { ticket, displaced }
    }

    /// Removes the requests at the end of a line whose turn would now come too late.
    fn displace_late(
        &mut self,
        now: Timestamp,
        cause: &WaitCause,
        entered: WaitTicket,
    ) -> Vec<WaitTicket> {
        let mut displaced = Vec::new();
        while let Some(last) = self.lines.get(cause).and_then(|line| line.order.last()) {
            let ticket = last.ticket;
            if ticket == entered || self.expected_late(now, ticket).is_none() {
                break;
            }
            self.remove(ticket);
            displaced.push(ticket);
        }
        displaced
    }

    /// Returns when the turn of a request is expected if that is too late.
    fn expected_late(&self, now: Timestamp, ticket: WaitTicket) -> Option<Duration> {
        let entry = self.entries.get(&ticket)?;
        let line = self.lines.get(&entry.request.cause)?;
        let position = line.order.range(..entry.request.key(ticket)).count();
        let expected = line.pace.time_until(now, position + 1)?;
        (expected > entry.request.bounds.start_by.since(now)).then_some(expected)
    }

    /// Returns why a request that has waited for its unsure time waits no longer, if so.
    pub fn review(&self, now: Timestamp, ticket: WaitTicket) -> Option<WaitRefusal> {
        let entry = self.entries.get(&ticket)?;
        let line = self.lines.get(&entry.request.cause)?;
        let position = line.order.range(..entry.request.key(ticket)).count();
        let expected = line.pace.time_until(now, position + 1);
        let left = entry.request.bounds.start_by.since(now);
        let in_reach = expected.is_some_and(|expected| expected <= left.mul_f64(REACH_FRACTION));
        (!in_reach).then_some(WaitRefusal::OutOfReach { expected })
    }

    /// Returns whether a request is the first in its line.
    pub fn is_first(&self, ticket: WaitTicket) -> bool {
        let Some(entry) = self.entries.get(&ticket) else { return false };
        let line = self.lines.get(&entry.request.cause);
        line.and_then(|line| line.order.first()).is_some_and(|place| place.ticket == ticket)
    }

    /// Returns the request to try now that there may be room; `None` if it was told before.
    pub fn call_next(&mut self, cause: &WaitCause) -> Option<WaitTicket> {
        let first = self.lines.get(cause)?.order.first()?.ticket;
        self.call(first)
    }

    fn call(&mut self, ticket: WaitTicket) -> Option<WaitTicket> {
        let entry = self.entries.get_mut(&ticket)?;
        (!std::mem::replace(&mut entry.is_called, true)).then_some(ticket)
    }

    /// Records that a request found room without having been told to try.
    pub fn mark_called(&mut self, ticket: WaitTicket) {
        self.call(ticket);
    }

    /// Records that a request found no room. If that was for reasons of its own, returns the request
    /// behind it, which may find some.
    pub fn on_tried(&mut self, ticket: WaitTicket, is_own_reason: bool) -> Option<WaitTicket> {
        let entry = self.entries.get_mut(&ticket)?;
        entry.is_called = false;
        if !is_own_reason {
            return None;
        }
        let key = entry.request.key(ticket);
        let order = &self.lines.get(&entry.request.cause)?.order;
        let after = (std::ops::Bound::Excluded(key), std::ops::Bound::Unbounded);
        let next = order.range(after).next()?.ticket;
        self.call(next)
    }

    /// Removes a request, which starts or whose caller left. Returns the request to try next if there
    /// may be room.
    pub fn leave(&mut self, ticket: WaitTicket) -> Option<WaitTicket> {
        let entry = self.remove(ticket)?;
        match entry.is_called {
            true => self.call_next(&entry.request.cause),
            false => None,
        }
    }

    fn remove(&mut self, ticket: WaitTicket) -> Option<WaitEntry> {
        let entry = self.entries.remove(&ticket)?;
        let request = &entry.request;
        if let Some(line) = self.lines.get_mut(&request.cause) {
            line.order.remove(&request.key(ticket));
        }
        self.total.remove(request.bytes);
        if let Some(team) = self.teams.get_mut(&request.team) {
            team.remove(request.bytes);
            if team.requests == 0 {
                self.teams.remove(&request.team);
            }
        }
        Some(entry)
    }

    /// Removes the requests whose time for a final try has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<WaitTicket> {
        let is_late = |entry: &WaitEntry| entry.request.bounds.is_over(now);
        let late = self.entries.iter().filter(|(_, entry)| is_late(entry));
        let late: Vec<WaitTicket> = late.map(|(ticket, _)| *ticket).collect();
        late.iter().for_each(|ticket| drop(self.remove(*ticket)));
        late
    }

    /// Removes all requests and lets none enter from now on, since the host is leaving.
    pub fn close(&mut self) -> Vec<WaitTicket> {
        self.is_closed = true;
        let waiting: Vec<WaitTicket> = self.entries.keys().copied().collect();
        waiting.iter().for_each(|ticket| drop(self.remove(*ticket)));
        waiting
    }

    /// Returns the number of requests that wait, by rank.
    pub fn count_by_rank(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for entry in self.entries.values() {
            *counts.entry(entry.request.rank.priority).or_default() += 1;
        }
        counts
    }
}
