//! Decides which share of a zone's requests leaves it, and what leaving costs.
//!
//! Load pattern: a zone's servers are fewer than its callers need, or are reclaimed together, while other
//! zones have room. If all hosts of the zone send elsewhere as soon as that looks cheaper, they overload
//! the next zone and return all at once.
//!
//! Hosts report where their requests run, so that each host knows the demand and the room of every zone.
//! All hosts of a zone compute the same target from it: the share of the zone's demand that its own servers
//! are too few for, divided among the other zones by what these can spare. The share in force follows the
//! target slowly. A request that belongs to the share leaves if the wait elsewhere, the round trip and the
//! bytes cost less than the wait at home; any other request leaves only if it saves more than that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Round trip to another zone that is assumed until one was measured, in milliseconds.
const INITIAL_TRIP_MS: f64 = 4.0;

/// Largest round trip that is believed, and the weight of one above the estimate. A low one counts at
/// once: a connection is never set up faster than the network allows, but often late on a busy host.
const MAX_TRIP_MS: f64 = 250.0;
const LATE_TRIP_WEIGHT: f64 = 0.02;

/// Cost of sending 1 KiB to another zone, in milliseconds of wait. It stands for the price of the traffic,
/// which no setting states: a prompt of 12,000 tokens costs as much as 5 ms.
const KIB_COST_MS: f64 = 0.1;

/// Bytes of a prompt token, and of a plain call with its answer.
const BYTES_PER_TOKEN: f64 = 4.0;
const PLAIN_CALL_BYTES: f64 = 1_024.0;

/// Additional wait that a request outside the zone's share must save to leave, in milliseconds.
const STAY_MS: f64 = 8.0;

/// Requests per slot up to which a zone serves all its callers itself, and up to which it serves those of
/// other zones beside its own.
const HOME_FILL: f64 = 0.7;
const SPARE_FILL: f64 = 0.6;

/// Time in which a share moves most of the way to a larger target, and to a smaller one. Requests return
/// more slowly than they left, so that a zone that comes back empty fills up over several summaries.
const RISE_TIME: Duration = Duration::from_millis(1_000);
const FALL_TIME: Duration = Duration::from_millis(3_000);

/// Change of the share that leaves a zone from which on it is logged.
const LOGGED_CHANGE: f64 = 0.05;

/// Demand and room of one zone for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Slots of its servers.
    pub slots: u32,
    /// Requests in flight on its servers.
    pub running: u32,
    /// Requests in flight of its hosts, in any zone.
    pub demand: u32,
    /// Requests in flight of this host's zone on its servers.
    pub from_home: u32,
}

impl ZoneLoad {
    /// Returns the share of the zone's demand that its servers are too few for.
    fn excess_share(&self) -> f64 {
        match self.demand {
            0 => f64::from(u8::from(self.slots == 0)),
            demand => (1.0 - f64::from(self.slots) * HOME_FILL / f64::from(demand)).max(0.0),
        }
    }

    /// Returns how many more requests of another zone it can take, besides those that it has from there.
    fn spare(&self) -> f64 {
        let others = f64::from(self.running.saturating_sub(self.from_home));
        let own = others.max(f64::from(self.demand).min(f64::from(self.slots)));
        (f64::from(self.slots) * SPARE_FILL - own).max(0.0)
    }
}

/// Why a request left its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// The zone has no server of the service.
    NoServer,
    /// It belongs to the share for which the zone's servers are too few.
    Excess,
    /// It saves more than leaving costs, such as the prefill of a prefix that is cached elsewhere.
    Gain,
}

impl LeaveReason {
    /// Returns the label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Excess => "excess",
            Self::Gain => "gain",
        }
    }
}

/// A change of the share that leaves the zone, to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowChange {
    /// Share of the zone's requests.
    pub share: f64,
    /// Why they leave.
    pub reason: LeaveReason,
}

#[derive(Clone, Debug, Default)]
struct ServiceFlow {
    updated_at: Option<Timestamp>,
    /// Share of the home zone's requests that each other zone gets.
    shares: BTreeMap<ZoneName, f64>,
    has_home_server: bool,
    logged_share: f64,
}

/// The zone that a request may go to at the cost of the trip alone, if it belongs to the share that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenZone<'a>(Option<&'a ZoneName>);

/// Traffic of this host's zone to the others.
#[derive(Clone, Debug)]
pub struct ZoneFlow {
    home: ZoneName,
    trips_ms: BTreeMap<ZoneName, f64>,
    services: BTreeMap<ServiceName, ServiceFlow>,
}

impl ZoneFlow {
    /// Builds the state of a host that knows of no load.
    pub fn new(home: ZoneName) -> Self {
        Self { home, trips_ms: BTreeMap::new(), services: BTreeMap::new() }
    }

    /// Records how long the set-up of a connection to a zone took.
    pub fn on_trip(&mut self, there: &ZoneName, trip: Duration) {
        let sample = (trip.as_secs_f64() * 1_000.0).min(MAX_TRIP_MS);
        match self.trips_ms.get_mut(there) {
            Some(known) if sample > *known => *known += (sample - *known) * LATE_TRIP_WEIGHT,
            Some(known) => *known = sample,
            None => _ = self.trips_ms.insert(there.clone(), sample),
        }
    }

    /// Returns the round trip to another zone in milliseconds, beyond that within the own zone.
    pub fn trip_ms(&self, there: &ZoneName) -> f64 {
        let within = self.trips_ms.get(&self.home).copied().unwrap_or_default();
        self.trips_ms.get(there).map_or(INITIAL_TRIP_MS, |trip| (trip - within).max(0.0))
    }

    /// Updates the shares of a service from the loads of all zones. While this host hears from too few
    /// peers to know them (`is_partial`), no share rises, unless its zone has no server at all.
    pub fn on_loads(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        zones: &BTreeMap<ZoneName, ZoneLoad>,
        is_partial: bool,
    ) -> Option<FlowChange> {
        let home = zones.get(&self.home).copied().unwrap_or_default();
        let targets = self.targets(&home, zones);
        let flow = match self.services.get_mut(service) {
            Some(flow) => flow,
            None => self.services.entry(service.clone()).or_default(),
        };
        let elapsed = flow.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        flow.updated_at = Some(now);
        flow.has_home_server = home.slots > 0;
        flow.shares.retain(|zone, _| zones.get(zone).is_some_and(|load| load.slots > 0));
        for (zone, target) in targets {
            let share = flow.shares.entry(zone).or_default();
            *share = if !flow.has_home_server {
                target
            } else if target > *share && is_partial {
                *share
            } else {
                let time = if target > *share { RISE_TIME } else { FALL_TIME };
                target + (*share - target) * (-elapsed.div_duration_f64(time)).exp()
            };
        }
        let share = flow.shares.values().sum::<f64>();
        let reason = if flow.has_home_server { LeaveReason::Excess } else { LeaveReason::NoServer };
        if (share - flow.logged_share).abs() < LOGGED_CHANGE {
            return None;
        }
        flow.logged_share = share;
        Some(FlowChange { share, reason })
    }

    /// Returns the share of the home zone's requests that each other zone should get.
    fn targets(
        &self,
        home: &ZoneLoad,
        zones: &BTreeMap<ZoneName, ZoneLoad>,
    ) -> BTreeMap<ZoneName, f64> {
        let others = zones.iter().filter(|(zone, load)| **zone != self.home && load.slots > 0);
        // Zones whose servers are too few share what the others can spare.
        let needing = zones.values().filter(|load| load.excess_share() > 0.0).count().max(1) as f64;
        let others: Vec<(&ZoneName, f64, f64)> = others
            .map(|(zone, load)| (zone, load.spare() / needing, f64::from(load.slots)))
            .collect();
        let spare: f64 = others.iter().map(|(_, spare, _)| spare).sum();
        let slots: f64 = others.iter().map(|(_, _, slots)| slots).sum();
        let demand = f64::from(home.demand.max(1));
        let excess = home.excess_share();
        let share_of = |spare_there: f64, slots_there: f64| {
            if home.slots == 0 && spare <= 0.0 {
                // Nothing can be spared, and nothing can be kept at home.
                slots_there / slots.max(1.0)
            } else if spare <= 0.0 {
                0.0
            } else if home.slots == 0 {
                spare_there / spare
            } else {
                (excess * spare_there / spare).min(spare_there / demand)
            }
        };
        let target =
            |(zone, spare, slots): (&ZoneName, f64, f64)| (zone.clone(), share_of(spare, slots));
        others.into_iter().map(target).collect()
    }

    /// Returns the zone that a request may go to, by a number from 0 to 1 that was drawn for it.
    pub fn open_zone(&self, service: &ServiceName, drawn: f64) -> OpenZone<'_> {
        let Some(flow) = self.services.get(service) else { return OpenZone(None) };
        let mut left = drawn;
        let open = flow.shares.iter().find(|(_, share)| {
            left -= **share;
            left < 0.0
        });
        OpenZone(open.map(|(zone, _)| zone))
    }

    /// Returns the cost of a server in a zone for a request with so many prompt tokens, in milliseconds.
    pub fn cost(&self, there: &ZoneName, open: OpenZone<'_>, prompt_tokens: Option<u32>) -> f64 {
        if *there == self.home {
            return 0.0;
        }
        let stay_ms = if open.0 == Some(there) { 0.0 } else { STAY_MS };
        self.leaving_ms(there, prompt_tokens) + stay_ms
    }

    /// Returns the cost of the round trip and the bytes of a request.
    pub fn leaving_ms(&self, there: &ZoneName, prompt_tokens: Option<u32>) -> f64 {
        let bytes = prompt_tokens.map_or(PLAIN_CALL_BYTES, |n| f64::from(n) * BYTES_PER_TOKEN);
        self.trip_ms(there) + bytes / 1_024.0 * KIB_COST_MS
    }

    /// Returns why a request went to another zone; `None` if it did not.
    pub fn leave_reason(&self, service: &ServiceName, there: &ZoneName) -> Option<LeaveReason> {
        if *there == self.home {
            return None;
        }
        let flow = self.services.get(service);
        Some(match flow {
            Some(flow) if !flow.has_home_server => LeaveReason::NoServer,
            Some(flow) if flow.shares.get(there).is_some_and(|share| *share > 0.0) => {
                LeaveReason::Excess
            }
            Some(_) | None => LeaveReason::Gain,
        })
    }

    /// Returns the share of the home zone's requests for a service that leaves it.
    pub fn leaving_share(&self, service: &ServiceName) -> f64 {
        self.services.get(service).map_or(0.0, |flow| flow.shares.values().sum())
    }

    /// Forgets services that are no longer listed.
    pub fn retain_services(&mut self, is_listed: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_listed(service));
    }
}
