//! Traffic between zones: too few servers, zones that are reclaimed or come back, partitions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use pomelostack_lib::gateway::zones::zone_flow::LeaveReason;
use pomelostack_lib::gateway::zones::zone_flow::ZoneFlow;
use pomelostack_lib::gateway::zones::zone_flow::ZoneLoad;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;

const PERIOD: Duration = Duration::from_millis(333);

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("valid in tests")
}

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid in tests")
}

/// A zone of three, "a", "b" and "c": slots, and requests of its callers in flight.
type Shape = [(u32, u32); 3];

/// Zones whose hosts all decide by reports that are two periods old.
struct Zones {
    now: Timestamp,
    flows: Vec<(ZoneName, ZoneFlow)>,
    reports: VecDeque<Vec<Vec<u32>>>,
}

impl Zones {
    fn new() -> Self {
        let names = ["a", "b", "c"].map(zone);
        let flows = names.map(|name| (name.clone(), ZoneFlow::new(name))).into();
        Self { now: Timestamp::from_millis(1_000), flows, reports: VecDeque::new() }
    }

    /// Lets a period pass; returns the requests in flight on each zone's servers.
    fn step(&mut self, shape: Shape, is_partial: bool) -> Vec<u32> {
        self.now = self.now + PERIOD;
        // Where each zone's requests run: a column for each zone.
        let rows: Vec<Vec<u32>> = self
            .flows
            .iter()
            .zip(shape)
            .map(|((_, flow), (_, demand))| {
                let mut row: Vec<u32> = self
                    .flows
                    .iter()
                    .map(|(there, _)| (self.share(flow, there) * f64::from(demand)) as u32)
                    .collect();
                let sent: u32 = row.iter().sum();
                let home = self.flows.iter().position(|(_, other)| std::ptr::eq(other, flow));
                row[home.expect("listed")] = demand - sent;
                row
            })
            .collect();
        let running = (0..3).map(|there| rows.iter().map(|row| row[there]).sum()).collect();
        self.reports.push_back(rows);
        if self.reports.len() > 2 {
            self.reports.pop_front();
        }
        let rows = &self.reports[0];
        let names: Vec<ZoneName> = self.flows.iter().map(|(name, _)| name.clone()).collect();
        for (home, (_, flow)) in self.flows.iter_mut().enumerate() {
            let loads: BTreeMap<ZoneName, ZoneLoad> = (0..3)
                .map(|there| {
                    let running = rows.iter().map(|row| row[there]).sum();
                    let (slots, demand) = shape[there];
                    (
                        names[there].clone(),
                        ZoneLoad { slots, running, demand, from_home: rows[home][there] },
                    )
                })
                .collect();
            flow.on_loads(self.now, &service(), &loads, is_partial);
        }
        running
    }

    /// Returns the share of a zone's requests that goes to another, as drawn.
    fn share(&self, flow: &ZoneFlow, there: &ZoneName) -> f64 {
        let service = service();
        let is_open = |drawn: &u32| {
            let open = flow.open_zone(&service, f64::from(*drawn) / 100.0);
            flow.cost(there, open, None) > 0.0
                && flow.cost(there, open, None) <= flow.leaving_ms(there, None)
        };
        (0..100).filter(is_open).count() as f64 / 100.0
    }

    fn leaving(&self, index: usize) -> f64 {
        self.flows[index].1.leaving_share(&service())
    }

    fn run(&mut self, shape: Shape, periods: u32) -> Vec<f64> {
        (0..periods)
            .map(|_| {
                self.step(shape, false);
                self.leaving(0)
            })
            .collect()
    }
}

/// Guards against a zone that keeps requests which its servers are too few for, and against a flow that
/// swings to the next zone and back.
#[test]
fn steady_excess() {
    let mut zones = Zones::new();
    let shares = zones.run([(10, 40), (60, 10), (60, 10)], 60);
    assert!(shares[0] < 0.3, "the flow rises over several reports: {shares:?}");
    let settled = &shares[20..];
    let (least, most) =
        settled.iter().fold((1.0, 0.0), |(least, most), share| (share.min(least), share.max(most)));
    assert!(least > 0.75 && most - least < 0.05, "{settled:?}");
}

/// Guards against more requests than the other zones can take beside their own.
#[test]
fn bounded_by_spare() {
    let mut zones = Zones::new();
    for _ in 0..60 {
        let running = zones.step([(10, 100), (40, 20), (40, 30)], false);
        assert!(running[1] <= 26 && running[2] <= 30, "{running:?}");
    }
}

/// Guards against two zones that each believe that the other has room.
#[test]
fn both_too_small() {
    let mut zones = Zones::new();
    for _ in 0..60 {
        zones.step([(10, 20), (10, 20), (10, 20)], false);
        assert_eq!((0..3).map(|index| zones.leaving(index)).sum::<f64>(), 0.0);
    }
}

/// Guards against requests that stay with a zone whose servers were reclaimed, or go on to one that was
/// reclaimed while it took them.
#[test]
fn reclaimed_zone() {
    let mut zones = Zones::new();
    zones.run([(20, 20), (60, 10), (60, 10)], 10);
    zones.step([(0, 20), (60, 10), (60, 10)], false);
    assert!(zones.leaving(0) > 0.99, "{}", zones.leaving(0));
    let flow = &zones.flows[0].1;
    assert_eq!(flow.leave_reason(&service(), &zone("b")), Some(LeaveReason::NoServer));
    zones.step([(0, 20), (0, 10), (60, 10)], false);
    let flow = &zones.flows[0].1;
    assert_eq!(zones.share(flow, &zone("b")), 0.0);
    assert!(zones.share(flow, &zone("c")) > 0.98);
}

/// Guards against all requests returning at once to a zone that comes back empty.
#[test]
fn comes_back_empty() {
    let mut zones = Zones::new();
    zones.run([(0, 20), (60, 10), (60, 10)], 10);
    let shares = zones.run([(40, 20), (60, 10), (60, 10)], 45);
    assert!(shares[2] > 0.5 && shares[44] < 0.05, "{shares:?}");
    assert!(shares.is_sorted_by(|one, next| one >= next), "{shares:?}");
}

/// Guards against hosts that take the silence of half of the fleet for room.
#[test]
fn half_of_fleet() {
    let mut zones = Zones::new();
    for _ in 0..30 {
        zones.step([(10, 40), (60, 0), (60, 0)], true);
    }
    assert_eq!(zones.leaving(0), 0.0);
}

/// Guards against a load that no server can have.
#[test]
fn false_load() {
    let mut flow = ZoneFlow::new(zone("a"));
    let home = ZoneLoad { slots: 10, running: 10, demand: 40, from_home: 10 };
    let there = ZoneLoad { slots: 60, running: u32::MAX, demand: 0, from_home: 0 };
    let loads = BTreeMap::from([(zone("a"), home), (zone("b"), there)]);
    for period in 0..20 {
        flow.on_loads(Timestamp::default() + PERIOD * period, &service(), &loads, false);
    }
    assert_eq!(flow.leaving_share(&service()), 0.0);
}

/// Guards against a round trip that late connections of a busy host inflate.
#[test]
fn measured_trip() {
    let mut flow = ZoneFlow::new(zone("a"));
    for millis in [30, 3, 40, 3, 90] {
        flow.on_trip(&zone("b"), Duration::from_millis(millis));
    }
    assert!(flow.trip_ms(&zone("b")) < 6.0, "{}", flow.trip_ms(&zone("b")));
    assert_eq!(flow.trip_ms(&zone("c")), 4.0);
}
