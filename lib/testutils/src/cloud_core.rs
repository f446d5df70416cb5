//! State of the cloud stand-in: orders, pending boots, reclaim notices, refusals and prices.
//!
//! Does no I/O and reads no clock; the caller passes the time and runs the due actions.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostOrder;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::cloud::ReclaimNotice;
use pomelostack_lib::ids::ClassName;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Filter for the starts that the cloud refuses; a field that is `None` matches any value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRefusal {
    /// Availability zone.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// Machine class.
    #[serde(default)]
    pub class: Option<ClassName>,
    /// Market that the host is bought on.
    #[serde(default)]
    pub market: Option<HostMarket>,
}

impl StartRefusal {
    fn matches(&self, order: &HostOrder) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == order.zone)
            && self.class.as_ref().is_none_or(|class| *class == order.class)
            && self.market.is_none_or(|market| market == order.market)
    }
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted, or repeats one that was accepted with this host.
    Started(HostId),
    /// The cloud has no capacity for the order.
    NoCapacity,
    /// The order's fencing token is stale; holds the largest token seen.
    Fenced(FencingToken),
}

/// Action that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudAction {
    /// Starts the server of a host whose boot delay has passed.
    Boot(HostId, HostOrder),
    /// Reclaims a host whose notice has run out.
    Reclaim(HostId),
}

/// State of the cloud stand-in.
#[derive(Debug)]
pub struct CloudCore {
    fencing_check: bool,
    largest_fencing_token: Option<FencingToken>,
    boot_delay: Duration,
    started: u64,
    orders: BTreeMap<String, HostId>,
    pending_boots: Vec<(Instant, HostId, HostOrder)>,
    notices: BTreeMap<HostId, Instant>,
    prices: Vec<HostPrice>,
    /// Filters for refused starts; one match is enough.
    pub refusals: Vec<StartRefusal>,
}

impl CloudCore {
    /// Builds the state of a cloud with no hosts.
    pub fn new(fencing_check: bool, boot_delay: Duration, prices: Vec<HostPrice>) -> Self {
        Self {
            fencing_check,
            largest_fencing_token: None,
            boot_delay,
            started: 0,
            orders: BTreeMap::new(),
            pending_boots: Vec::new(),
            notices: BTreeMap::new(),
            prices,
            refusals: Vec::new(),
        }
    }

    /// Accepts or rejects an order.
    ///
    /// Orders are idempotent: a repeated order id returns the host of the first order, even if
    /// starts are refused by then.
    pub fn place_order(
        &mut self,
        now: Instant,
        order: HostOrder,
        fence: Option<FencingToken>,
    ) -> OrderOutcome {
        if let Err(largest) = self.check_fencing_token(fence) {
            return OrderOutcome::Fenced(largest);
        }
        if let Some(host) = self.orders.get(&order.order_id) {
            return OrderOutcome::Started(host.clone());
        }
        if self.refusals.iter().any(|refusal| refusal.matches(&order)) {
            return OrderOutcome::NoCapacity;
        }
        let Some(host) = self.next_host_id() else { return OrderOutcome::NoCapacity };
        self.orders.insert(order.order_id.clone(), host.clone());
        self.pending_boots.push((now + self.boot_delay, host.clone(), order));
        OrderOutcome::Started(host)
    }

    /// Checks a fencing token and records it as the largest one seen.
    ///
    /// Fails with the largest token seen if the given one is smaller. Always succeeds if there is
    /// no token or the check is off.
    pub fn check_fencing_token(&mut self, fence: Option<FencingToken>) -> Result<(), FencingToken> {
        let (true, Some(fence)) = (self.fencing_check, fence) else { return Ok(()) };
        match self.largest_fencing_token {
            Some(largest) if largest > fence => Err(largest),
            _ => {
                self.largest_fencing_token = Some(fence);
                Ok(())
            }
        }
    }

    /// Cancels the pending boot and the reclaim notice of a stopped host.
    pub fn forget(&mut self, host: &HostId) {
        self.pending_boots.retain(|(_, found, _)| found != host);
        self.notices.remove(host);
    }

    /// Gives notice that a host is reclaimed after `left`; of several notices the earliest applies.
    pub fn give_notice(&mut self, now: Instant, host: HostId, left: Duration) {
        let due = now + left;
        let found = self.notices.entry(host).or_insert(due);
        *found = due.min(*found);
    }

    /// Returns the pending reclaim notices.
    pub fn notices(&self, now: Instant) -> Vec<ReclaimNotice> {
        let left_ms = |due: Instant| {
            u64::try_from(due.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
        };
        let notices = self.notices.iter();
        notices
            .map(|(host, &due)| ReclaimNotice { host: host.clone(), left_ms: left_ms(due) })
            .collect()
    }

    /// Returns the current prices.
    pub fn prices(&self) -> &[HostPrice] {
        &self.prices
    }

    /// Sets the price of one combination of zone, class and market.
    pub fn set_price(&mut self, price: HostPrice) {
        let is_same = |found: &HostPrice| {
            (&found.zone, &found.class, found.market) == (&price.zone, &price.class, price.market)
        };
        self.prices.retain(|found| !is_same(found));
        self.prices.push(price);
    }

    /// Removes and returns the boots and reclaims that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<CloudAction> {
        let (due, later) =
            std::mem::take(&mut self.pending_boots).into_iter().partition(|(at, ..)| *at <= now);
        self.pending_boots = later;
        let boots: Vec<(Instant, HostId, HostOrder)> = due;
        let mut actions: Vec<_> =
            boots.into_iter().map(|(_, host, order)| CloudAction::Boot(host, order)).collect();
        let expired = self.notices.iter().filter(|(_, due)| **due <= now);
        let expired: Vec<_> = expired.map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.forget(&host);
            actions.push(CloudAction::Reclaim(host));
        }
        actions
    }

    fn next_host_id(&mut self) -> Option<HostId> {
        self.started += 1;
        HostId::try_from(format!("host-{}", self.started)).ok()
    }
}
