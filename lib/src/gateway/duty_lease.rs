//! The lease on the duties that only one host at a time performs.
//!
//! Load pattern: the platform's group rebalances and moves the duties to another host at every start,
//! crash and outage, at times all at once, and the holder may be frozen while that happens. Meanwhile
//! nobody orders servers, so a new holder starts as soon as the last one has certainly stopped. A host
//! that returns also waits until a lease has passed since it may have acted last, so that holders do
//! not alternate within that time. A holder stops as soon as the lease expires by its own clock, a
//! renewal shows that another host holds it, or its fencing token is rejected.

use std::time::Duration;

use crate::ids::FencingToken;
use crate::ids::GroupGeneration;
use crate::timestamp::Timestamp;

/// The group's response to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyGrant {
    /// Generation of the group.
    pub generation: GroupGeneration,
    /// Whether this host holds the duties.
    pub held: bool,
    /// Number of partitions assigned to this host.
    pub own_partitions: u32,
    /// Number of partitions assigned evenly to all members.
    pub all_partitions: u32,
}

impl DutyGrant {
    /// Estimates the number of members from this host's fraction of the partitions. With fewer than
    /// two partitions there is no upper bound.
    pub fn members(&self) -> Option<u32> {
        (self.own_partitions >= 2).then(|| self.all_partitions / self.own_partitions)
    }
}

/// Timings of the lease on the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTimings {
    /// Time within which two holders must not alternate.
    pub lease: Duration,
    /// Time for which a grant is valid, counted from when its renewal was sent.
    pub validity: Duration,
    /// Time without a renewal after which the group removes a member.
    pub session_timeout: Duration,
}

impl DutyTimings {
    /// Derives the timings from the lease.
    ///
    /// A replaced holder acts for at most `validity` after its last renewal, and the next one waits
    /// as long before it acts.
    pub const fn for_lease(lease: Duration) -> Self {
        let millis = lease.as_millis() as u64;
        let validity = millis * 5 / 6;
        Self { lease, validity: Duration::from_millis(validity), session_timeout: lease }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    /// Fencing token: the generation in which the lease began.
    fence: FencingToken,
    since: Timestamp,
    renewed_at: Timestamp,
}

/// How a grant changed the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The host acquired the lease.
    Began(FencingToken),
    /// The host lost the lease.
    Ended,
    /// Nothing changed.
    Unchanged,
}

/// This host's lease on the duties.
#[derive(Clone, Debug)]
pub struct DutyLease {
    timings: DutyTimings,
    generation: GroupGeneration,
    /// Number of members of the group, if the last grant allows an estimate.
    members: Option<u32>,
    held: Option<HeldLease>,
    /// Largest fencing token that was rejected.
    fenced: Option<FencingToken>,
    /// Until when this host may have acted in an earlier lease or process.
    acted_until: Option<Timestamp>,
}

impl DutyLease {
    /// Creates a lease that is not held. `acted_until` is when an earlier process of this host may
    /// have acted last, if there was one.
    pub fn new(timings: DutyTimings, acted_until: Option<Timestamp>) -> Self {
        let generation = GroupGeneration::default();
        Self { timings, generation, members: None, held: None, fenced: None, acted_until }
    }

    /// Changes the timings.
    pub fn set_timings(&mut self, timings: DutyTimings) {
        self.timings = timings;
    }

    /// Returns the newest known generation of the group.
    pub fn generation(&self) -> GroupGeneration {
        self.generation
    }

    /// Applies the group's response to a renewal that was sent at `sent_at`.
    pub fn on_grant(
        &mut self,
        sent_at: Timestamp,
        now: Timestamp,
        grant: DutyGrant,
    ) -> LeaseChange {
        if grant.generation < self.generation {
            return LeaseChange::Unchanged;
        }
        if grant.generation.era != self.generation.era {
            // The group may have had another holder when the store was copied.
            self.end_held(now);
        }
        self.generation = grant.generation;
        self.members = grant.members();
        let fence = FencingToken::from(grant.generation);
        if !grant.held || self.fenced.is_some_and(|fenced| fence <= fenced) {
            return match self.end_held(now) {
                Some(_) => LeaseChange::Ended,
                None => LeaseChange::Unchanged,
            };
        }
        let expired = self.is_expired(sent_at);
        if expired {
            self.end_held(now);
        }
        match &mut self.held {
            Some(lease) if !expired => {
                lease.renewed_at = sent_at;
                LeaseChange::Unchanged
            }
            held => {
                *held = Some(HeldLease { fence, since: now, renewed_at: sent_at });
                LeaseChange::Began(fence)
            }
        }
    }

    /// Records that the platform rejected a fencing token because it saw a larger one.
    pub fn on_fenced(&mut self, now: Timestamp, fence: FencingToken) {
        self.fenced = self.fenced.max(Some(fence));
        if self.held.is_some_and(|lease| lease.fence <= fence) {
            self.end_held(now);
        }
    }

    /// Returns the number of members of the group, if the last grant allows an estimate.
    pub fn members(&self) -> Option<u32> {
        self.members
    }

    /// Records that this host left the group.
    pub fn on_left(&mut self, now: Timestamp) {
        self.end_held(now);
        self.members = None;
    }

    /// Returns the fencing token to act with, if the lease is active.
    pub fn active_fence(&self, now: Timestamp) -> Option<FencingToken> {
        let lease = self.held?;
        let has_predecessor_stopped = now.since(lease.since) >= self.timings.validity;
        let may_alternate = self.acted_until.is_some_and(|until| now < until + self.timings.lease);
        (has_predecessor_stopped && !may_alternate && !self.is_expired(now)).then_some(lease.fence)
    }

    /// Ends the lease if it is held, and notes until when this host may have acted in it.
    fn end_held(&mut self, now: Timestamp) -> Option<HeldLease> {
        let lease = self.held.take()?;
        let expires_at = lease.renewed_at + self.timings.validity;
        if expires_at.since(lease.since) >= self.timings.validity {
            self.acted_until = self.acted_until.max(Some(expires_at.min(now)));
        }
        Some(lease)
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.held.is_none_or(|lease| now.since(lease.renewed_at) >= self.timings.validity)
    }
}
