//! What a host knows of the limit that one server names for all hosts together.
//!
//! Load pattern: a server in need names a limit in its responses, changes it with each of them, and
//! names none once it is free again. Every host hears some of the responses itself and learns of the
//! others from its peers, late and out of order. Of two statements that may be the later one the
//! lower counts: a lower limit is in force at once, a higher one or none only after a moment in which
//! nothing lower was heard. When a limit ends, the rate rises in steps, so that the load does not
//! return all at once.

use std::time::Duration;

use crate::gateway::server_limit::RequestLimit;
use crate::timestamp::Timestamp;

/// Maximum time by which the news of a peer is older than it states.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(2);

/// Time for which a higher limit, or none, must stand before it is in force.
const RAISE_DELAY: Duration = Duration::from_millis(1_500);

/// Time within which the rate doubles after the end of a limit.
const RECOVERY_DOUBLING: Duration = Duration::from_secs(1);

/// Time after the end of a limit from which on the rate is not limited.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time for which a response is told to peers although they may know newer ones; it spans two
/// summaries.
const TELL_TIME: Duration = Duration::from_millis(1_200);

/// Time for which the end of a limit is told to peers, after each response that shows it and after
/// each outdated statement of a peer.
const TELL_END_TIME: Duration = Duration::from_secs(2);

/// Time after which a limit ends that no host states any more: those that heard it have ended.
const SILENT_LIMIT_TTL: Duration = Duration::from_secs(15);

/// Time for which the end of a limit is remembered, longer than any peer states outdated news.
const ENDED_TTL: Duration = Duration::from_secs(60);

/// Who told this host what a server states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// The server itself.
    Server,
    /// A peer that heard it from the server.
    Peer,
}

/// What a server stated in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatement {
    /// It named a limit.
    Named {
        /// The limit.
        limit: RequestLimit,
        /// When the response arrived.
        heard_at: Timestamp,
    },
    /// It named none.
    Unnamed {
        /// When the request was sent.
        sent_at: Timestamp,
    },
}

impl LimitStatement {
    /// Returns the time that the statement counts from.
    pub fn at(self) -> Timestamp {
        match self {
            Self::Named { heard_at, .. } => heard_at,
            Self::Unnamed { sent_at } => sent_at,
        }
    }
}

/// What a statement or the time changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    Unchanged,
    /// A limit is in force that was not before.
    InForce(RequestLimit),
    /// The limit ends; the rate rises.
    Ended,
}

/// A higher limit that is not in force yet; `None` stands for no limit.
#[derive(Clone, Copy, Debug)]
struct PendingRaise {
    to: Option<RequestLimit>,
    since: Timestamp,
}

/// Whether a limit is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitPhase {
    InForce(RequestLimit),
    /// The limit has ended, and the rate rises from it.
    Recovering {
        from: RequestLimit,
        since: Timestamp,
    },
    Ended,
}

/// A response to this host that named a limit.
#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    limit: RequestLimit,
    at: Timestamp,
}

/// What is known of the limit of one server's process.
#[derive(Clone, Debug)]
pub struct LimitBelief {
    phase: LimitPhase,
    raise: Option<PendingRaise>,
    /// Bounds of the time of the newest response that named a limit.
    named_after: Timestamp,
    named_before: Timestamp,
    /// Earliest time at which the newest request was sent whose response named none.
    unnamed_after: Option<Timestamp>,
    heard_limit: Option<HeardLimit>,
    /// When the newest request of this host was sent whose response named none.
    heard_end: Option<Timestamp>,
    /// Until when the end of the limit is told to peers.
    tell_end_until: Option<Timestamp>,
    /// When a limit was last stated by anyone.
    stated_at: Timestamp,
}

impl LimitBelief {
    /// Builds the belief in a limit that was just stated.
    pub fn new(
        now: Timestamp,
        limit: RequestLimit,
        heard_at: Timestamp,
        source: LimitSource,
    ) -> Self {
        let mut belief = Self {
            phase: LimitPhase::InForce(limit),
            raise: None,
            named_after: Timestamp::default(),
            named_before: Timestamp::default(),
            unnamed_after: None,
            heard_limit: None,
            heard_end: None,
            tell_end_until: None,
            stated_at: now,
        };
        belief.note_named(now, limit, heard_at, source);
        belief
    }

    /// Merges a statement of the server.
    pub fn on_statement(
        &mut self,
        now: Timestamp,
        statement: LimitStatement,
        source: LimitSource,
    ) -> LimitChange {
        match statement {
            LimitStatement::Named { limit, heard_at } => {
                self.on_named(now, limit, heard_at, source)
            }
            LimitStatement::Unnamed { sent_at } => {
                self.on_unnamed(now, sent_at, source);
                LimitChange::Unchanged
            }
        }
    }

    /// Puts into force what has stood for long enough.
    pub fn settle(&mut self, now: Timestamp) -> LimitChange {
        match self.phase {
            LimitPhase::InForce(limit) => {
                let is_silent = now.since(self.stated_at) >= SILENT_LIMIT_TTL
                    && self.heard_limit.is_none_or(|heard| heard.at < self.named_after);
                let raise = self.raise.take_if(|raise| now.since(raise.since) >= RAISE_DELAY);
                match raise.map(|raise| raise.to) {
                    Some(Some(raised)) => {
                        self.phase = LimitPhase::InForce(raised);
                        LimitChange::InForce(raised)
                    }
                    Some(None) => self.end(now, limit),
                    None if is_silent => self.end(now, limit),
                    None => LimitChange::Unchanged,
                }
            }
            LimitPhase::Recovering { since, .. } if now.since(since) >= RECOVERY_TIME => {
                self.phase = LimitPhase::Ended;
                LimitChange::Unchanged
            }
            LimitPhase::Recovering { .. } | LimitPhase::Ended => LimitChange::Unchanged,
        }
    }

    fn end(&mut self, now: Timestamp, limit: RequestLimit) -> LimitChange {
        self.phase = LimitPhase::Recovering { from: limit, since: now };
        LimitChange::Ended
    }

    /// Returns how many requests per second all hosts together may send; `None` if that is not
    /// limited.
    pub fn rate(&self, now: Timestamp) -> Option<f64> {
        match self.phase {
            LimitPhase::InForce(limit) => Some(limit.per_second()),
            LimitPhase::Recovering { from, since } => {
                let elapsed = now.since(since);
                let doublings = elapsed.as_secs_f64() / RECOVERY_DOUBLING.as_secs_f64();
                (elapsed < RECOVERY_TIME).then(|| from.per_second() * doublings.exp2())
            }
            LimitPhase::Ended => None,
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RequestLimit> {
        match self.phase {
            LimitPhase::InForce(limit) => Some(limit),
            LimitPhase::Recovering { .. } | LimitPhase::Ended => None,
        }
    }

    /// Returns when a limit was last stated by anyone.
    pub fn stated_at(&self) -> Timestamp {
        self.stated_at
    }

    /// Returns when the newest response that named a limit arrived, at the latest.
    pub fn named_at(&self) -> Timestamp {
        self.named_before
    }

    /// Returns whether nothing of it matters any more.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.phase == LimitPhase::Ended && now.since(self.stated_at) >= ENDED_TTL
    }

    /// Returns what to tell peers: what this host heard itself, while it may be the newest.
    pub fn told(&self, now: Timestamp) -> Option<LimitStatement> {
        let is_end_newer = self
            .heard_end
            .is_some_and(|sent_at| self.heard_limit.is_none_or(|heard| heard.at < sent_at));
        let tells_end = self.tell_end_until.is_some_and(|until| now < until);
        if is_end_newer || self.limit().is_none() {
            let sent_at = self.unnamed_after.filter(|_| tells_end)?;
            return Some(LimitStatement::Unnamed { sent_at });
        }
        let heard = self.heard_limit?;
        let is_told = heard.at >= self.named_after || now.since(heard.at) < TELL_TIME;
        is_told.then_some(LimitStatement::Named { limit: heard.limit, heard_at: heard.at })
    }

    fn on_named(
        &mut self,
        now: Timestamp,
        limit: RequestLimit,
        heard_at: Timestamp,
        source: LimitSource,
    ) -> LimitChange {
        if source == LimitSource::Peer {
            if self.unnamed_after.is_some_and(|unnamed| heard_at < unnamed) {
                self.tell_end_until = Some(now + TELL_END_TIME);
                return LimitChange::Unchanged;
            }
            self.stated_at = now;
            if heard_at < self.named_after {
                return LimitChange::Unchanged;
            }
        }
        self.note_named(now, limit, heard_at, source);
        let LimitPhase::InForce(known) = self.phase else {
            self.raise = None;
            self.phase = LimitPhase::InForce(limit);
            return LimitChange::InForce(limit);
        };
        if limit > known {
            self.raise_to(now, Some(limit));
            return LimitChange::Unchanged;
        }
        self.raise = None;
        self.phase = LimitPhase::InForce(limit);
        if limit < known { LimitChange::InForce(limit) } else { LimitChange::Unchanged }
    }

    fn note_named(
        &mut self,
        now: Timestamp,
        limit: RequestLimit,
        heard_at: Timestamp,
        source: LimitSource,
    ) {
        self.stated_at = now;
        let earliest = match source {
            LimitSource::Server => heard_at,
            LimitSource::Peer => heard_at - MAX_NEWS_DELAY,
        };
        self.named_after = self.named_after.max(earliest);
        self.named_before = self.named_before.max(heard_at);
        if source == LimitSource::Server {
            self.heard_limit = Some(HeardLimit { limit, at: heard_at });
        }
    }

    fn on_unnamed(&mut self, now: Timestamp, sent_at: Timestamp, source: LimitSource) {
        let earliest = match source {
            LimitSource::Server => {
                self.heard_end = self.heard_end.max(Some(sent_at));
                self.tell_end_until = Some(now + TELL_END_TIME);
                sent_at
            }
            LimitSource::Peer => sent_at - MAX_NEWS_DELAY,
        };
        // A response to a request that was sent before a limit was named may have passed the other
        // one on its way.
        if earliest <= self.named_before {
            return;
        }
        self.unnamed_after = self.unnamed_after.max(Some(earliest));
        if self.limit().is_some() {
            self.raise_to(now, None);
        }
    }

    fn raise_to(&mut self, now: Timestamp, to: Option<RequestLimit>) {
        let raise = self.raise.get_or_insert(PendingRaise { to, since: now });
        raise.to = match (raise.to, to) {
            (Some(pending), Some(limit)) => Some(pending.min(limit)),
            (pending, limit) => pending.or(limit),
        };
    }
}
