//! Whether this host holds the duties that one host at a time performs.
//!
//! Load pattern: the platform's group hands the duties from host to host at every start, death and
//! outage, at times all at once, and a holder may be frozen while that happens. A host acts only on
//! a grant that it has held for the whole settling time, which keeps holders from alternating
//! within that time, and it stops as soon as a grant lapses by its own clock or a newer holder was
//! seen.

use std::time::Duration;

use crate::ids::FencingNumber;
use crate::timestamp::Timestamp;

/// What the group said at a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyGrant {
    /// Generation of the group; it rises with each change.
    pub generation: u64,
    /// Whether the duties are this host's.
    pub held: bool,
    /// Partitions that are dealt to this host.
    pub own_partitions: u32,
    /// Partitions that are dealt evenly to all members.
    pub all_partitions: u32,
}

impl DutyGrant {
    /// Estimates the number of members, from the part of the partitions that is this host's. With
    /// less than two of them there is no upper bound.
    pub fn members(&self) -> Option<u32> {
        (self.own_partitions >= 2).then(|| self.all_partitions / self.own_partitions)
    }
}

/// Times that bound a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTimings {
    /// Time that a new holder waits before it acts.
    pub activation_delay: Duration,
    /// Time after the sending of the last renewal for which a grant is good.
    pub validity: Duration,
    /// Time without a renewal after which the group drops a member.
    pub session_timeout: Duration,
}

impl DutyTimings {
    /// Derives the bounds from the time within which two holders must not alternate.
    ///
    /// A holder that was replaced acts for at most the validity. The next one acts at least half a
    /// lease after that, and if the first one returns, half a lease passes again.
    pub const fn for_lease(lease: Duration) -> Self {
        let millis = lease.as_millis() as u64;
        let validity = millis * 5 / 6;
        Self {
            activation_delay: Duration::from_millis(validity + millis / 2),
            validity: Duration::from_millis(validity),
            session_timeout: lease,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    /// Fencing number: the generation in which the turn began.
    fence: FencingNumber,
    since: Timestamp,
    renewed_at: Timestamp,
}

/// A change worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The host holds the duties from now on.
    Began(FencingNumber),
    /// It holds them no longer.
    Ended,
    /// Nothing changed.
    Unchanged,
}

/// This host's turn at the duties.
#[derive(Clone, Debug)]
pub struct DutyLease {
    bounds: DutyTimings,
    generation: u64,
    /// Members of the group, as far as the last grant tells.
    members: Option<u32>,
    held: Option<HeldLease>,
    /// Largest fencing number that was refused.
    fenced: Option<FencingNumber>,
}

impl DutyLease {
    /// Builds the state of a host that holds nothing.
    pub fn new(bounds: DutyTimings) -> Self {
        Self { bounds, generation: 0, members: None, held: None, fenced: None }
    }

    /// Changes the times that bound a turn.
    pub fn set_bounds(&mut self, bounds: DutyTimings) {
        self.bounds = bounds;
    }

    /// Returns the newest generation that the group told.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes in the group's answer to a renewal that was sent at `sent_at`.
    pub fn on_grant(
        &mut self,
        sent_at: Timestamp,
        now: Timestamp,
        grant: DutyGrant,
    ) -> LeaseChange {
        if grant.generation < self.generation {
            return LeaseChange::Unchanged;
        }
        self.generation = grant.generation;
        self.members = grant.members();
        let fence = FencingNumber(grant.generation);
        if !grant.held || self.fenced.is_some_and(|fenced| fence <= fenced) {
            return if self.held.take().is_some() {
                LeaseChange::Ended
            } else {
                LeaseChange::Unchanged
            };
        }
        let lapsed = self.is_lapsed(sent_at);
        match &mut self.held {
            Some(lease) if !lapsed => {
                lease.renewed_at = sent_at;
                LeaseChange::Unchanged
            }
            held => {
                *held = Some(HeldLease { fence, since: now, renewed_at: sent_at });
                LeaseChange::Began(fence)
            }
        }
    }

    /// Records that the platform refused a fencing number in favour of a larger one.
    pub fn on_fenced(&mut self, fence: FencingNumber) {
        self.fenced = self.fenced.max(Some(fence));
        if self.held.is_some_and(|lease| lease.fence <= fence) {
            self.held = None;
        }
    }

    /// Returns the number of members of the group, if the last grant tells.
    pub fn members(&self) -> Option<u32> {
        self.members
    }

    /// Records that this host left the group.
    pub fn on_left(&mut self) {
        self.held = None;
        self.members = None;
    }

    /// Returns the fencing number to act with now, if the host may act.
    pub fn active_fence(&self, now: Timestamp) -> Option<FencingNumber> {
        let lease = self.held?;
        let settled = now.since(lease.since) >= self.bounds.activation_delay;
        (settled && !self.is_lapsed(now)).then_some(lease.fence)
    }

    fn is_lapsed(&self, now: Timestamp) -> bool {
        self.held.is_none_or(|lease| now.since(lease.renewed_at) >= self.bounds.validity)
    }
}
