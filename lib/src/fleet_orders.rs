//! Orders of hosts that are under way, refusals, and the weight store's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::cloud::HostOrder;
use crate::fleet_mix::PoolKey;
use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// What the cloud is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    /// Start a host; repeated until its result is known.
    Start {
        /// Order.
        order: HostOrder,
        /// Number of the lease under which it is given.
        fence: FencingNumber,
    },
    /// Drain a host, then stop it; repeated until the host is gone.
    Retire {
        /// Host.
        host: HostId,
        /// Number of the lease under which it is given.
        fence: FencingNumber,
    },
}

/// An order that has not led to a host in the list yet.
#[derive(Clone, Debug)]
struct PendingStart {
    order: HostOrder,
    ordered_at: Timestamp,
    host: Option<HostId>,
}

/// Orders under way under one lease.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    fence: FencingNumber,
    next_number: u64,
    pending: BTreeMap<String, PendingStart>,
}

impl OrderBook {
    /// Takes the lease in force; orders of an earlier lease are forgotten.
    pub fn set_fence(&mut self, fence: FencingNumber) {
        if fence != self.fence {
            *self = Self { fence, ..Self::default() };
        }
    }

    /// Adds an order for one host.
    pub fn add(&mut self, now: Timestamp, service: &ServiceName, pool: &PoolKey) {
        let order_id = format!("fleet-{}-{}", self.fence.0, self.next_number);
        self.next_number += 1;
        let order = HostOrder {
            order_id: order_id.clone(),
            service: service.clone(),
            zone: pool.zone.clone(),
            class: pool.class.clone(),
            market: pool.market,
        };
        self.pending.insert(order_id, PendingStart { order, ordered_at: now, host: None });
    }

    /// Notes the host that an order started.
    pub fn note_started(&mut self, order_id: &str, host: HostId) {
        if let Some(pending) = self.pending.get_mut(order_id) {
            pending.host = Some(host);
        }
    }

    /// Removes a refused order and returns what it was for.
    pub fn take_refused(&mut self, order_id: &str) -> Option<PoolKey> {
        self.pending.remove(order_id).map(|pending| pool_of(&pending.order))
    }

    /// Forgets orders whose host is in the list, and those older than `timeout`.
    pub fn settle(
        &mut self,
        now: Timestamp,
        timeout: Duration,
        is_listed: impl Fn(&HostId) -> bool,
    ) {
        self.pending.retain(|_, pending| {
            let is_done = pending.host.as_ref().is_some_and(&is_listed);
            !is_done && now.since(pending.ordered_at) < timeout
        });
    }

    /// Counts the hosts under way for a service from one pool.
    pub fn count(&self, service: &ServiceName, pool: &PoolKey) -> u32 {
        let matching = self.pending.values().filter(|pending| {
            pending.order.service == *service && pool_of(&pending.order) == *pool
        });
        matching.fold(0, |count, _| count + 1)
    }

    /// Returns the orders whose result is not known.
    pub fn open_orders(&self) -> Vec<FleetOrder> {
        let open = self.pending.values().filter(|pending| pending.host.is_none());
        open.map(|pending| FleetOrder::Start { order: pending.order.clone(), fence: self.fence })
            .collect()
    }
}

fn pool_of(order: &HostOrder) -> PoolKey {
    PoolKey { zone: order.zone.clone(), class: order.class.clone(), market: order.market }
}

/// Pools whose starts were refused, each with a time before which none is tried again.
#[derive(Clone, Debug, Default)]
pub struct RefusalBackoff {
    pools: BTreeMap<PoolKey, (u32, Timestamp)>,
}

impl RefusalBackoff {
    /// Notes a refusal; the wait doubles with each one, up to `longest`.
    pub fn note_refused(
        &mut self,
        now: Timestamp,
        pool: PoolKey,
        shortest: Duration,
        longest: Duration,
    ) {
        let (refusals, until) = self.pools.entry(pool).or_default();
        // A burst of orders that is refused at once counts as one refusal.
        if now >= *until {
            let wait = shortest.saturating_mul(1 << (*refusals).min(16)).min(longest);
            *until = now + wait;
            *refusals += 1;
        }
    }

    /// Forgets the refusals of a pool that gave a host.
    pub fn note_started(&mut self, pool: &PoolKey) {
        self.pools.remove(pool);
    }

    /// Returns whether the pool is not to be tried now.
    pub fn is_waiting(&self, now: Timestamp, pool: &PoolKey) -> bool {
        self.pools.get(pool).is_some_and(|(_, until)| now < *until)
    }
}

/// Time at which the weight store has carried the loads of all hosts ordered so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSchedule {
    free_at: Timestamp,
}

impl LoadSchedule {
    /// Takes a load of the given length unless it would have to wait for the store for longer than
    /// `lead`; returns whether it was taken.
    pub fn try_take(&mut self, now: Timestamp, lead: Duration, length: Duration) -> bool {
        let starts_at = self.free_at.max(now);
        if starts_at > now + lead {
            return false;
        }
        self.free_at = starts_at + length;
        true
    }
}
