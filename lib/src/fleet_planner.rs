//! Decides which hosts to start and which to retire, from load, prices, notices and refusals.
//!
//! The planner compares the hosts that are there or under way with the cheapest mix for the load
//! to expect, so it may be asked at any time and repeats what is not done yet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::cloud::HostPrice;
use crate::cloud::ReclaimNotice;
use crate::fleet_forecast::LoadForecast;
use crate::fleet_mix::HostMix;
use crate::fleet_mix::HostPool;
use crate::fleet_mix::MixNeed;
use crate::fleet_mix::PoolKey;
use crate::fleet_mix::plan_mix;
use crate::fleet_mix::surviving_permille;
use crate::fleet_orders::FleetOrder;
use crate::fleet_orders::LoadSchedule;
use crate::fleet_orders::OrderBook;
use crate::fleet_orders::RefusalBackoff;
use crate::host_list::HostDuty;
use crate::host_list::HostEntry;
use crate::host_list::HostState;
use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::resource::ConfigState;
use crate::resource::ServiceResource;
use crate::timestamp::Timestamp;

/// An order is given up if its host is not in the list after this many boot times.
const ORDER_TIMEOUT_BOOTS: u32 = 5;

/// Times of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Time from an order to a server that takes requests.
    pub boot_time: Duration,
    /// Time for which a host must be spare before it is retired.
    pub spare_hold: Duration,
    /// Wait after the first refusal of a start.
    pub refusal_backoff: Duration,
    /// Longest wait after a refusal.
    pub max_backoff: Duration,
    /// Time for which one load of weights takes the whole rate of the weight store.
    pub load_time: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            boot_time: Duration::from_secs(120),
            spare_hold: Duration::from_secs(300),
            refusal_backoff: Duration::from_secs(60),
            max_backoff: Duration::from_secs(960),
            load_time: Duration::from_secs(5),
        }
    }
}

/// State of the platform and the configuration at one moment.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigState,
    /// Prices in force.
    pub prices: &'a [HostPrice],
    /// Hosts in the platform's list.
    pub hosts: &'a [HostEntry],
    /// Notices in force.
    pub notices: &'a [ReclaimNotice],
    /// Number of the lease under which orders are given.
    pub fence: FencingNumber,
}

/// Something that the planner learns.
#[derive(Clone, Debug)]
pub enum FleetEvent<'a> {
    /// Load of a service was measured.
    Load {
        /// Service.
        service: ServiceName,
        /// Arrivals in thousandths of a request per second.
        rate_permille: u64,
    },
    /// The cloud started a host for an order.
    Started {
        /// Order.
        order_id: &'a str,
        /// Host.
        host: HostId,
    },
    /// The cloud refused an order; no host was started.
    Refused {
        /// Order.
        order_id: &'a str,
    },
    /// The platform was read: plan.
    View(FleetView<'a>),
}

/// Plans the fleet of all services.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    settings: FleetSettings,
    forecasts: BTreeMap<ServiceName, LoadForecast>,
    orders: OrderBook,
    backoff: RefusalBackoff,
    loads: LoadSchedule,
    retiring: BTreeSet<HostId>,
    spare_since: BTreeMap<(ServiceName, PoolKey), Timestamp>,
    shortfalls: BTreeMap<ServiceName, u64>,
}

/// Hosts of one service as the mix sees them.
struct ServiceFleet<'a> {
    service: &'a ServiceResource,
    need: MixNeed,
    pools: Vec<HostPool>,
    /// Hosts that serve now, for each pool.
    ready: Vec<Vec<HostId>>,
}

impl ServiceFleet<'_> {
    /// Returns whether the hosts that serve now still do without one of a pool.
    fn can_lose(&self, index: usize) -> bool {
        let mut counts: Vec<u32> = self.ready.iter().map(|hosts| hosts.len() as u32).collect();
        if counts[index] == 0 {
            return false;
        }
        counts[index] -= 1;
        counts.iter().sum::<u32>() >= self.need.min_hosts
            && surviving_permille(&self.pools, &counts) >= self.need.rate_permille
    }
}

impl FleetPlanner {
    /// Builds a planner that knows no load.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            forecasts: BTreeMap::new(),
            orders: OrderBook::default(),
            backoff: RefusalBackoff::default(),
            loads: LoadSchedule::default(),
            retiring: BTreeSet::new(),
            spare_since: BTreeMap::new(),
            shortfalls: BTreeMap::new(),
        }
    }

    /// Takes an event; a view gives the orders to be given now.
    pub fn on_event(&mut self, now: Timestamp, event: FleetEvent<'_>) -> Vec<FleetOrder> {
        match event {
            FleetEvent::Load { service, rate_permille } => {
                self.forecasts.entry(service).or_default().add_sample(now, rate_permille);
            }
            FleetEvent::Started { order_id, host } => self.orders.note_started(order_id, host),
            FleetEvent::Refused { order_id } => self.on_refused(now, order_id),
            FleetEvent::View(view) => return self.on_view(now, view),
        }
        Vec::new()
    }

    /// Returns, for each service that cannot be kept at its target through the loss of a zone, the
    /// load that would be shed then, in thousandths of a request per second.
    pub fn shortfalls(&self) -> &BTreeMap<ServiceName, u64> {
        &self.shortfalls
    }

    fn on_refused(&mut self, now: Timestamp, order_id: &str) {
        let Some(pool) = self.orders.take_refused(order_id) else { return };
        let (shortest, longest) = (self.settings.refusal_backoff, self.settings.max_backoff);
        self.backoff.note_refused(now, pool, shortest, longest);
    }

    fn on_view(&mut self, now: Timestamp, view: FleetView<'_>) -> Vec<FleetOrder> {
        let listed: BTreeSet<&HostId> = view.hosts.iter().map(|entry| &entry.host).collect();
        self.orders.set_fence(view.fence);
        let timeout = self.settings.boot_time * ORDER_TIMEOUT_BOOTS;
        self.orders.settle(now, timeout, |host| listed.contains(host));
        self.retiring.retain(|host| listed.contains(host));
        self.shortfalls.clear();
        for service in view.config.services.values() {
            self.plan_service(now, view, service);
        }
        let retire = |host: &HostId| FleetOrder::Retire { host: host.clone(), fence: view.fence };
        let mut orders = self.orders.open_orders();
        orders.extend(self.retiring.iter().map(retire));
        orders
    }

    fn plan_service(&mut self, now: Timestamp, view: FleetView<'_>, service: &ServiceResource) {
        let Some(mut fleet) = self.describe_service(now, view, service) else { return };
        let mix = plan_mix(fleet.need, &fleet.pools);
        if mix.shortfall_permille > 0 {
            self.shortfalls.insert(service.name.clone(), mix.shortfall_permille);
        }
        self.order_missing(now, &fleet, &mix);
        self.retire_spare(now, &mut fleet, &mix);
    }

    /// Collects what is known of a service; `None` if it is not scaled or its load is unknown.
    fn describe_service<'a>(
        &self,
        now: Timestamp,
        view: FleetView<'_>,
        service: &'a ServiceResource,
    ) -> Option<ServiceFleet<'a>> {
        let forecast = self.forecasts.get(&service.name)?;
        let need = MixNeed {
            rate_permille: forecast.expect_after(self.settings.boot_time),
            min_hosts: service.min_replicas,
            max_hosts: service.max_replicas,
            reclaimable_percent: view.config.policy.reclaimable_percent,
        };
        let mut fleet = ServiceFleet { service, need, pools: Vec::new(), ready: Vec::new() };
        for price in view.prices {
            let Some(class) = view.config.classes.get(&price.class) else { continue };
            let Some(&capacity) = class.capacity_permille.get(&service.name) else { continue };
            let key = PoolKey {
                zone: price.zone.clone(),
                class: price.class.clone(),
                market: price.market,
            };
            let ready = self.ready_hosts(view, &service.name, &key);
            let running = ready.len() as u32 + self.orders.count(&service.name, &key);
            let is_bought = class.markets.contains(&price.market)
                && price.micros_per_hour <= class.max_micros_per_hour;
            let limit = match (is_bought, self.backoff.is_waiting(now, &key)) {
                (false, _) => 0,
                (true, true) => running,
                (true, false) => service.max_replicas,
            };
            fleet.pools.push(HostPool {
                key,
                capacity_permille: u64::from(capacity),
                micros_per_hour: price.micros_per_hour,
                running,
                limit,
            });
            fleet.ready.push(ready);
        }
        (!fleet.pools.is_empty()).then_some(fleet)
    }

    /// Lists the hosts of a pool that serve and will go on to: a leaving, noticed, drained or
    /// retiring host counts as gone.
    fn ready_hosts(
        &self,
        view: FleetView<'_>,
        service: &ServiceName,
        pool: &PoolKey,
    ) -> Vec<HostId> {
        let serves = |entry: &&HostEntry| {
            (&entry.zone, &entry.class, entry.market) == (&pool.zone, &pool.class, pool.market)
                && entry.duty == HostDuty::Backend(service.clone())
                && entry.state == HostState::Live
        };
        let stays = |entry: &&HostEntry| {
            !self.retiring.contains(&entry.host)
                && !view.config.drained.contains(&entry.host)
                && view.notices.iter().all(|notice| notice.host != entry.host)
        };
        let hosts = view.hosts.iter().filter(serves).filter(stays);
        hosts.map(|entry| entry.host.clone()).collect()
    }

    fn order_missing(&mut self, now: Timestamp, fleet: &ServiceFleet<'_>, mix: &HostMix) {
        let running: u32 = fleet.pools.iter().map(|pool| pool.running).sum();
        let mut room = fleet.need.max_hosts.saturating_sub(running);
        for pool in &fleet.pools {
            let wanted = mix.counts.get(&pool.key).copied().unwrap_or(0);
            for _ in 0..wanted.saturating_sub(pool.running).min(room) {
                let lead = self.settings.boot_time;
                if !self.loads.try_take(now, lead, self.settings.load_time) {
                    return;
                }
                self.orders.add(now, &fleet.service.name, &pool.key);
                room -= 1;
            }
        }
    }

    /// Retires hosts that the mix has been without for long enough and that the others outweigh.
    fn retire_spare(&mut self, now: Timestamp, fleet: &mut ServiceFleet<'_>, mix: &HostMix) {
        for index in 0..fleet.pools.len() {
            let key = fleet.pools[index].key.clone();
            let wanted = mix.counts.get(&key).copied().unwrap_or(0) as usize;
            let place = (fleet.service.name.clone(), key);
            if fleet.ready[index].len() <= wanted {
                self.spare_since.remove(&place);
                continue;
            }
            let since = *self.spare_since.entry(place).or_insert(now);
            if now.since(since) < self.settings.spare_hold {
                continue;
            }
            while fleet.ready[index].len() > wanted && fleet.can_lose(index) {
                self.retiring.extend(fleet.ready[index].pop());
            }
        }
    }
}
