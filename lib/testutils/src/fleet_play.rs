//! Plays a [`FleetDay`] against a policy and adds up cost and requests within the target.
//!
//! Queueing relation: a server whose capacity is c requests per second has the service rate 1.5 c,
//! and a request sent at load r is late with probability `exp(-6 (1.5 - r/c))`, as in an M/M/1
//! queue with a target of 6/c. At r = c this is 5%. Above 1.5 c everything is late and the
//! excess waits for the next minute.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::ReclaimNotice;
use pomelostack_lib::fleet_mix::PoolKey;
use pomelostack_lib::fleet_orders::FleetOrder;
use pomelostack_lib::fleet_planner::FleetEvent;
use pomelostack_lib::fleet_planner::FleetPlanner;
use pomelostack_lib::fleet_planner::FleetView;
use pomelostack_lib::host_list::HostDuty;
use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::timestamp::Timestamp;

use crate::fleet_day::BOOT_TIME;
use crate::fleet_day::CLASSES;
use crate::fleet_day::DAY_MINUTES;
use crate::fleet_day::FleetDay;
use crate::naive_fleet::ReactiveScaler;

/// Service rate of a server relative to its capacity.
const SERVICE_RATE: f64 = 1.5;
/// Target relative to the mean time between requests at capacity.
const TARGET_GAPS: f64 = 6.0;

/// Who decides.
pub enum DayPolicy {
    /// The planner under test.
    Planner {
        /// Planner.
        planner: Box<FleetPlanner>,
        /// Configuration.
        config: Box<ConfigState>,
    },
    /// A fixed number of on-demand hosts.
    Static(usize),
    /// On-demand hosts by the load of the last minute.
    Reactive(ReactiveScaler),
}

/// Sums of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DayResult {
    /// Cost in currency units.
    pub cost: f64,
    /// Share of requests within the target.
    pub within: f64,
    /// Hosts started.
    pub starts: u64,
    /// Starts refused.
    pub refused: u64,
    /// Hosts lost to reclaims.
    pub lost: u64,
}

/// A played day, minute by minute.
#[derive(Clone, Debug, Default)]
pub struct DayRecord {
    /// Capacity of the servers that take requests, in requests per second.
    pub capacities: Vec<f64>,
}

struct DayHost {
    entry: HostEntry,
    ready_at: usize,
    gone_at: Option<usize>,
}

/// One day being played.
pub struct DayPlayer<'a> {
    day: &'a FleetDay,
    service: ServiceName,
    hosts: Vec<DayHost>,
    known_orders: BTreeMap<String, HostId>,
    next_host: u64,
    backlog: f64,
    requests: f64,
    within: f64,
    result: DayResult,
    record: DayRecord,
}

impl<'a> DayPlayer<'a> {
    /// Builds a day without hosts.
    pub fn new(day: &'a FleetDay, service: ServiceName) -> Self {
        Self {
            day,
            service,
            hosts: Vec::new(),
            known_orders: BTreeMap::new(),
            next_host: 0,
            backlog: 0.0,
            requests: 0.0,
            within: 0.0,
            result: DayResult::default(),
            record: DayRecord::default(),
        }
    }

    /// Plays the day; the fleet of the first minute is there at its start.
    pub fn play(mut self, policy: &mut DayPolicy) -> DayResult {
        self.play_minutes(policy);
        self.result
    }

    /// Plays the day like [`Self::play`] and returns its minutes.
    pub fn play_recorded(mut self, policy: &mut DayPolicy) -> DayRecord {
        self.play_minutes(policy);
        self.record
    }

    fn play_minutes(&mut self, policy: &mut DayPolicy) {
        self.decide(0, policy);
        self.hosts.iter_mut().for_each(|host| host.ready_at = 0);
        for minute in 0..DAY_MINUTES {
            self.hosts.retain(|host| host.gone_at.is_none_or(|gone| gone > minute));
            self.give_notices(minute);
            self.serve(minute);
            self.charge(minute);
            self.decide(minute, policy);
        }
        self.result.within = self.within / self.requests;
    }

    fn give_notices(&mut self, minute: usize) {
        let zones: BTreeSet<_> =
            self.day.waves.iter().filter(|wave| wave.0 == minute).map(|wave| &wave.1).collect();
        for host in &mut self.hosts {
            let entry = &host.entry;
            if entry.market == HostMarket::Reclaimable && zones.contains(&entry.zone) {
                host.gone_at = Some(minute + 1);
                self.result.lost += 1;
            }
        }
    }

    fn serve(&mut self, minute: usize) {
        let capacity: f64 = self
            .hosts
            .iter()
            .filter(|host| host.ready_at <= minute)
            .map(|host| capacity_of(&host.entry) as f64 / 1_000.0)
            .sum();
        self.record.capacities.push(capacity);
        let arriving = self.day.rates[minute] as f64 / 1_000.0;
        let load = arriving + self.backlog / 60.0;
        let share = if capacity > 0.0 { within_share(load / capacity) } else { 0.0 };
        self.requests += arriving * 60.0;
        self.within += arriving * 60.0 * share;
        self.backlog = ((load - capacity * SERVICE_RATE) * 60.0).max(0.0);
    }

    fn charge(&mut self, minute: usize) {
        let prices = &self.day.prices[minute];
        for host in &self.hosts {
            let pool = pool_of(&host.entry);
            let price = prices.iter().find(|price| {
                (&price.zone, &price.class, price.market) == (&pool.zone, &pool.class, pool.market)
            });
            self.result.cost += price.map_or(0.0, |found| found.micros_per_hour as f64) / 60e6;
        }
    }

    fn decide(&mut self, minute: usize, policy: &mut DayPolicy) {
        match policy {
            DayPolicy::Planner { planner, config } => self.ask_planner(minute, planner, config),
            DayPolicy::Static(count) => self.scale_on_demand(minute, *count),
            DayPolicy::Reactive(scaler) => {
                let rate = self.day.rates[minute];
                let running = self.hosts.len();
                let wanted = scaler.wanted(minute as u64, rate, CLASSES[0].1, running);
                self.scale_on_demand(minute, wanted);
            }
        }
    }

    /// Brings the number of small on-demand hosts to `wanted`, in every zone in turn.
    fn scale_on_demand(&mut self, minute: usize, wanted: usize) {
        self.hosts.truncate(wanted.max(1));
        let prices = self.day.prices[minute].iter();
        let pools: Vec<PoolKey> = prices
            .filter(|price| price.market == HostMarket::OnDemand)
            .filter(|price| price.class.as_str() == CLASSES[0].0)
            .map(|price| PoolKey {
                zone: price.zone.clone(),
                class: price.class.clone(),
                market: price.market,
            })
            .collect();
        for offset in 0..pools.len() {
            while self.hosts.len() < wanted {
                let pool = &pools[(self.hosts.len() + offset) % pools.len()];
                if self.start(minute, pool).is_none() {
                    break;
                }
            }
        }
    }

    fn ask_planner(&mut self, minute: usize, planner: &mut FleetPlanner, config: &ConfigState) {
        let now = Timestamp::from_millis(minute as u64 * 60_000);
        let rate_permille = self.day.rates[minute];
        let load = FleetEvent::Load { service: self.service.clone(), rate_permille };
        planner.on_event(now, load);
        let ready = self.hosts.iter().filter(|host| host.ready_at <= minute);
        let entries: Vec<HostEntry> = ready.map(|host| host.entry.clone()).collect();
        let noticed = self.hosts.iter().filter(|host| host.gone_at.is_some());
        let notices: Vec<ReclaimNotice> = noticed
            .map(|host| ReclaimNotice { host: host.entry.host.clone(), left_ms: 60_000 })
            .collect();
        let view = FleetView {
            config,
            prices: &self.day.prices[minute],
            hosts: &entries,
            notices: &notices,
            fence: FencingNumber(1),
        };
        for order in planner.on_event(now, FleetEvent::View(view)) {
            self.obey(minute, now, planner, order);
        }
    }

    fn obey(
        &mut self,
        minute: usize,
        now: Timestamp,
        planner: &mut FleetPlanner,
        order: FleetOrder,
    ) {
        let order = match order {
            FleetOrder::Retire { host, .. } => {
                self.hosts.retain(|found| found.entry.host != host);
                return;
            }
            FleetOrder::Start { order, .. } => order,
        };
        let order_id = order.order_id.as_str();
        let pool = PoolKey { zone: order.zone, class: order.class, market: order.market };
        let known = self.known_orders.get(order_id).cloned();
        match known.or_else(|| self.start(minute, &pool)) {
            Some(host) => {
                self.known_orders.insert(order_id.to_owned(), host.clone());
                planner.on_event(now, FleetEvent::Started { order_id, host });
            }
            None => {
                planner.on_event(now, FleetEvent::Refused { order_id });
            }
        }
    }

    fn start(&mut self, minute: usize, pool: &PoolKey) -> Option<HostId> {
        if self.day.is_refused(minute, pool) {
            self.result.refused += 1;
            return None;
        }
        self.next_host += 1;
        self.result.starts += 1;
        let host = HostId::try_from(format!("host-{}", self.next_host)).ok()?;
        let entry = HostEntry {
            host: host.clone(),
            address: String::new(),
            zone: pool.zone.clone(),
            class: pool.class.clone(),
            market: pool.market,
            state: HostState::Live,
            duty: HostDuty::Backend(self.service.clone()),
        };
        let ready_at = minute + 1 + BOOT_TIME.as_secs() as usize / 60;
        self.hosts.push(DayHost { entry, ready_at, gone_at: None });
        Some(host)
    }
}

/// Returns the share of requests within the target at a load relative to the capacity.
pub fn within_share(load: f64) -> f64 {
    if load >= SERVICE_RATE { 0.0 } else { 1.0 - (-TARGET_GAPS * (SERVICE_RATE - load)).exp() }
}

fn capacity_of(entry: &HostEntry) -> u64 {
    CLASSES.iter().find(|class| class.0 == entry.class.as_str()).map_or(0, |class| class.1)
}

fn pool_of(entry: &HostEntry) -> PoolKey {
    PoolKey { zone: entry.zone.clone(), class: entry.class.clone(), market: entry.market }
}
