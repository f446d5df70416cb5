//! Servers that name a limit for all hosts together, and what this host may send them.
//!
//! Load pattern: servers in need name limits far below the demand, one of them, those of a zone or
//! all of a service. A host sends at its part of each limit ([`limit_fleet`]) and nothing to servers
//! of whose limits it holds no part; the load goes to other servers, and callers are refused at once
//! when there is none. A request takes its place when it is handed to a connection, so that what was
//! held up on the way counts when it is sent. Requests on a link that delays them arrive all at once:
//! while a server is not heard, few are sent.
//!
//! [`limit_fleet`]: crate::gateway::limit_fleet

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::limit_belief::LimitBelief;
use crate::gateway::limit_belief::LimitChange;
use crate::gateway::limit_belief::LimitSource;
use crate::gateway::limit_belief::LimitStatement;
use crate::gateway::limit_fleet::LimitPart;
use crate::gateway::server_limit::RequestLimit;
use crate::ids::ServerId;
use crate::timestamp::Timestamp;

/// Maximum number of servers that are kept; those are dropped first whose limit was stated longest ago.
const MAX_LIMITED_SERVERS: usize = 4_096;

/// Rate at which a host makes up for requests that it could have sent earlier, as a multiple of its part
/// of a limit. With the bursts of all holders it stays below what a server takes for a moment.
const CATCH_UP_RATE: f64 = 1.25;

/// Requests that a host can make up for.
const CATCH_UP_REQUESTS: f64 = 2.0;

/// Time without a response to a request after which a server counts as not heard.
const UNHEARD_LIMIT: Duration = Duration::from_secs(1);

/// Time between two requests to a server that is not heard.
const UNHEARD_PERIOD: Duration = Duration::from_secs(3);

/// Time for which a server that the directory does not list is kept.
const UNLISTED_TTL: Duration = Duration::from_secs(60);

/// Bounds of the time after which a caller may ask again.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);
const MAX_RETRY_TIME: Duration = Duration::from_secs(10);

/// Whether a server's limit lets this host send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitState {
    /// The server names no limit.
    Unlimited,
    /// It names one, and a request may be sent.
    Open {
        /// When the newest response that named the limit arrived at any host.
        named_at: Timestamp,
    },
    /// No request may be sent before this time.
    ClosedUntil(Timestamp),
}

/// What the directory and the peers make of a limited server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitListing {
    /// The directory does not list it.
    Unlisted,
    /// It is listed, and this host holds this part of its limit, if any.
    Listed(Option<LimitPart>),
}

/// A statement to tell peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldLimit {
    /// Server.
    pub server: ServerId,
    /// Start time of its process in milliseconds since 1970, if known.
    pub started_at_ms: Option<u64>,
    /// What it stated.
    pub statement: LimitStatement,
}

/// Requests that could be sent now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct SendPlaces {
    /// At once.
    burst: f64,
    /// By this host's part of the rate.
    due: f64,
}

impl SendPlaces {
    /// Returns the places a while later.
    fn after(self, elapsed: Duration, part: LimitPart) -> Self {
        let filled = part.rate * elapsed.as_secs_f64();
        Self {
            burst: (self.burst + filled * CATCH_UP_RATE).min(part.burst),
            due: (self.due + filled).min(part.burst + CATCH_UP_REQUESTS),
        }
    }

    /// Returns the seconds until there are so many places.
    fn seconds_until(self, places: f64, part: LimitPart) -> f64 {
        let burst = (places - self.burst) / (part.rate * CATCH_UP_RATE);
        burst.max((places - self.due) / part.rate)
    }
}

#[derive(Clone, Debug)]
struct LimitedServer {
    started_at_ms: Option<u64>,
    belief: LimitBelief,
    /// This host's part of the limit, if it holds one.
    part: Option<LimitPart>,
    /// Places as of `filled_at`.
    places: SendPlaces,
    filled_at: Timestamp,
    /// Attempts that were chosen to go there and have not been handed to a connection yet.
    reserved: u32,
    /// When the first request was sent since the server was last heard.
    unheard_since: Option<Timestamp>,
    sent_at: Option<Timestamp>,
    /// Whether this host's part is not known yet.
    is_new: bool,
    /// When the directory last listed it.
    listed_at: Timestamp,
    is_listed: bool,
}

impl LimitedServer {
    fn new(started_at_ms: Option<u64>, belief: LimitBelief, now: Timestamp) -> Self {
        Self {
            started_at_ms,
            belief,
            part: None,
            places: SendPlaces::default(),
            filled_at: now,
            reserved: 0,
            unheard_since: None,
            sent_at: None,
            is_new: true,
            listed_at: now,
            is_listed: true,
        }
    }

    /// Returns whether the state is that of another process.
    fn is_of_other(&self, started_at_ms: Option<u64>) -> bool {
        matches!((self.started_at_ms, started_at_ms), (Some(known), Some(other)) if known != other)
    }

    fn places_at(&self, now: Timestamp) -> SendPlaces {
        let elapsed = now.since(self.filled_at);
        self.part.map_or(SendPlaces::default(), |part| self.places.after(elapsed, part))
    }

    fn set_part(&mut self, now: Timestamp, part: Option<LimitPart>) {
        // All hosts learn of a limit at nearly the same time. A host that takes a part over later begins
        // without places.
        let places = match std::mem::take(&mut self.is_new) {
            true => SendPlaces { burst: 1.0, due: 1.0 },
            false => self.places_at(now),
        };
        self.part = part;
        self.places = part.map_or(SendPlaces::default(), |part| places.after(Duration::ZERO, part));
        self.filled_at = now;
    }

    fn list(&mut self, now: Timestamp, list: impl FnOnce(f64) -> LimitListing) {
        let rate = self.belief.rate(now);
        let listing = list(rate.unwrap_or_default());
        self.is_listed = listing != LimitListing::Unlisted;
        if let LimitListing::Listed(part) = listing {
            self.listed_at = now;
            self.set_part(now, part.filter(|_| rate.is_some()));
        }
    }

    fn on_heard(&mut self, now: Timestamp) {
        let Some(since) = self.unheard_since.take() else { return };
        if now.since(since) < UNHEARD_LIMIT {
            return;
        }
        // What was held up arrives now, in place of what could be made up for.
        let SendPlaces { burst, due } = self.places_at(now);
        self.places = SendPlaces { burst, due: due.min(burst) };
        self.filled_at = now;
    }

    /// Returns when the next request may be sent, if `waiting` others go first.
    fn opens_at(&self, now: Timestamp, rate: f64, waiting: u32) -> Option<Timestamp> {
        let Some(part) = self.part else {
            return Some(now + retry_time(1.0 / rate));
        };
        let missing = self.places_at(now).seconds_until(1.0 + f64::from(waiting), part);
        if missing > 0.0 {
            return Some(now + retry_time(missing));
        }
        let is_unheard = self.unheard_since.is_some_and(|at| now.since(at) >= UNHEARD_LIMIT);
        let quiet_until = self.sent_at.map(|at| at + UNHEARD_PERIOD);
        quiet_until.filter(|until| is_unheard && now < *until)
    }
}

fn retry_time(seconds: f64) -> Duration {
    let time = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_TIME);
    time.clamp(MIN_RETRY_TIME, MAX_RETRY_TIME)
}

/// Servers that name a limit.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    servers: HashMap<ServerId, LimitedServer>,
}

impl LimitTable {
    /// Merges what a server's process stated to this host or to a peer.
    pub fn on_statement(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        started_at_ms: Option<u64>,
        statement: LimitStatement,
        source: LimitSource,
    ) -> LimitChange {
        if let Some(known) = self.servers.get_mut(server) {
            if !known.is_of_other(started_at_ms) {
                known.started_at_ms = known.started_at_ms.or(started_at_ms);
                if source == LimitSource::Server {
                    known.on_heard(now);
                }
                return known.belief.on_statement(now, statement, source);
            }
            if started_at_ms < known.started_at_ms {
                return LimitChange::Unchanged;
            }
        }
        let LimitStatement::Named { limit, heard_at } = statement else {
            return LimitChange::Unchanged;
        };
        let belief = LimitBelief::new(now, limit, heard_at, source);
        self.servers.insert(server.clone(), LimitedServer::new(started_at_ms, belief, now));
        if self.servers.len() > MAX_LIMITED_SERVERS {
            let first = self.servers.iter().min_by_key(|(_, known)| known.belief.stated_at());
            if let Some(first) = first.map(|(server, _)| server.clone()) {
                self.servers.remove(&first);
            }
        }
        LimitChange::InForce(limit)
    }

    /// Removes a server whose process has started anew, since the new one has stated nothing.
    pub fn on_restarted(&mut self, server: &ServerId, started_at_ms: Option<u64>) {
        let is_new =
            |known: &LimitedServer| started_at_ms.is_none() || known.started_at_ms != started_at_ms;
        if self.servers.get(server).is_some_and(is_new) {
            self.servers.remove(server);
        }
    }

    /// Records that something of a response to this host arrived.
    pub fn on_heard(&mut self, now: Timestamp, server: &ServerId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.on_heard(now);
        }
    }

    /// Puts into force what has stood for long enough; returns the changes.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(ServerId, LimitChange)> {
        self.servers.retain(|_, known| {
            !known.belief.is_over(now) && now.since(known.listed_at) < UNLISTED_TTL
        });
        let settled = self.servers.iter_mut().map(|(server, known)| {
            let change = known.belief.settle(now);
            (server, change)
        });
        let changes = settled.filter(|(_, change)| *change != LimitChange::Unchanged);
        changes.map(|(server, change)| (server.clone(), change)).collect()
    }

    /// Sets this host's part of each limit. `list` gets a server and the rate of all hosts together, in
    /// requests per second.
    pub fn set_parts(
        &mut self,
        now: Timestamp,
        mut list: impl FnMut(&ServerId, f64) -> LimitListing,
    ) {
        for (server, known) in &mut self.servers {
            known.list(now, |rate| list(server, rate));
        }
    }

    /// Sets this host's part of one server's limit, as [`Self::set_parts`] does.
    pub fn set_part(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        list: impl FnOnce(f64) -> LimitListing,
    ) {
        if let Some(known) = self.servers.get_mut(server) {
            known.list(now, list);
        }
    }

    /// Returns this host's part of a server's limit.
    pub fn part(&self, server: &ServerId) -> Option<LimitPart> {
        self.servers.get(server)?.part
    }

    /// Returns the limit that a server's process names.
    pub fn limit(&self, server: &ServerId, started_at_ms: Option<u64>) -> Option<RequestLimit> {
        let known = self.servers.get(server)?;
        known.belief.limit().filter(|_| !known.is_of_other(started_at_ms))
    }

    /// Returns whether a request may be sent to a server's process.
    pub fn state(
        &self,
        now: Timestamp,
        server: &ServerId,
        started_at_ms: Option<u64>,
    ) -> LimitState {
        self.state_behind(now, server, started_at_ms, None)
    }

    fn state_behind(
        &self,
        now: Timestamp,
        server: &ServerId,
        started_at_ms: Option<u64>,
        waiting: Option<u32>,
    ) -> LimitState {
        if self.servers.is_empty() {
            return LimitState::Unlimited;
        }
        let known = self.servers.get(server).filter(|known| !known.is_of_other(started_at_ms));
        let limited = known.and_then(|known| Some((known, known.belief.rate(now)?)));
        let Some((known, rate)) = limited else { return LimitState::Unlimited };
        match known.opens_at(now, rate, waiting.unwrap_or(known.reserved)) {
            Some(opens_at) => LimitState::ClosedUntil(opens_at),
            None => LimitState::Open { named_at: known.belief.named_at() },
        }
    }

    /// Keeps a place for an attempt whose connection is being opened.
    pub fn reserve(&mut self, server: &ServerId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.reserved += 1;
        }
    }

    /// Gives up a place that was kept.
    pub fn release(&mut self, server: &ServerId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.reserved = known.reserved.saturating_sub(1);
        }
    }

    /// Takes the place of a request that is handed to a connection; returns whether there is one.
    pub fn take(&mut self, now: Timestamp, server: &ServerId, started_at_ms: Option<u64>) -> bool {
        match self.state_behind(now, server, started_at_ms, Some(0)) {
            LimitState::Unlimited => true,
            LimitState::ClosedUntil(_) => false,
            LimitState::Open { .. } => {
                if let Some(known) = self.servers.get_mut(server) {
                    let SendPlaces { burst, due } = known.places_at(now);
                    known.places = SendPlaces { burst: burst - 1.0, due: due - 1.0 };
                    known.filled_at = now;
                    known.unheard_since.get_or_insert(now);
                    known.sent_at = Some(now);
                }
                true
            }
        }
    }

    /// Returns what to tell peers, at most `most` statements; a different part of them each time.
    pub fn told(&self, now: Timestamp, sequence: u64, most: usize) -> Vec<ToldLimit> {
        let listed = self.servers.iter().filter(|(_, known)| known.is_listed);
        let told = listed.filter_map(|(server, known)| {
            let statement = known.belief.told(now)?;
            let started_at_ms = known.started_at_ms;
            Some(ToldLimit { server: server.clone(), started_at_ms, statement })
        });
        let mut told: Vec<ToldLimit> = told.collect();
        if told.len() > most {
            told.sort_unstable_by(|a, b| a.server.cmp(&b.server));
            let turn = usize::try_from(sequence).unwrap_or_default().wrapping_mul(most);
            let first = turn % told.len();
            told.rotate_left(first);
            told.truncate(most);
        }
        told
    }

    /// Returns the limits in force and this host's parts of them.
    pub fn in_force(&self) -> impl Iterator<Item = (RequestLimit, Option<LimitPart>)> {
        let listed = self.servers.values().filter(|known| known.is_listed);
        listed.filter_map(|known| Some((known.belief.limit()?, known.part)))
    }

    /// Returns whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
