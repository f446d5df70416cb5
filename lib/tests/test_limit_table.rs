//! What a host knows of the limits of servers, and what it may send.

use std::time::Duration;

use pomelostack_lib::gateway::demand_level::DemandLevel;
use pomelostack_lib::gateway::limit_belief::LimitChange;
use pomelostack_lib::gateway::limit_belief::LimitSource;
use pomelostack_lib::gateway::limit_belief::LimitStatement;
use pomelostack_lib::gateway::limit_fleet::FleetHost;
use pomelostack_lib::gateway::limit_fleet::FleetSize;
use pomelostack_lib::gateway::limit_fleet::LimitFleet;
use pomelostack_lib::gateway::limit_fleet::LimitPart;
use pomelostack_lib::gateway::limit_table::LimitListing;
use pomelostack_lib::gateway::limit_table::LimitState;
use pomelostack_lib::gateway::limit_table::LimitTable;
use pomelostack_lib::gateway::server_limit::RequestLimit;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;

const BORN: Option<u64> = Some(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn server() -> ServerId {
    ServerId::try_from("s1").expect("valid in tests")
}

fn limit(rate: f64) -> RequestLimit {
    RequestLimit::try_from(rate).expect("valid in tests")
}

fn named(rate: f64, heard_ms: u64) -> LimitStatement {
    LimitStatement::Named { limit: limit(rate), heard_at: at(heard_ms) }
}

fn unnamed(sent_ms: u64) -> LimitStatement {
    LimitStatement::Unnamed { sent_at: at(sent_ms) }
}

/// A table that merges statements of one server.
#[derive(Default)]
struct Fixture(LimitTable);

impl Fixture {
    /// Returns a table of a server that named a limit at the begin.
    fn named(rate: f64) -> Self {
        let mut fixture = Self::default();
        fixture.hear(0, named(rate, 0));
        fixture
    }

    fn hear(&mut self, millis: u64, statement: LimitStatement) -> LimitChange {
        let source = LimitSource::Server;
        self.0.on_statement(at(millis), &server(), BORN, statement, source)
    }

    fn hear_peer(&mut self, millis: u64, statement: LimitStatement) -> LimitChange {
        self.0.on_statement(at(millis), &server(), BORN, statement, LimitSource::Peer)
    }

    /// Returns the limit in force at a time.
    fn rate(&mut self, millis: u64) -> Option<f64> {
        self.0.settle(at(millis));
        self.0.limit(&server(), BORN).map(RequestLimit::per_second)
    }

    fn set_part(&mut self, millis: u64, part: Option<LimitPart>) {
        self.0.set_parts(at(millis), |_, _| LimitListing::Listed(part));
    }

    fn state(&self, millis: u64) -> LimitState {
        self.0.state(at(millis), &server(), BORN)
    }

    fn take(&mut self, millis: u64) -> bool {
        self.0.take(at(millis), &server(), BORN)
    }

    /// Sends a request that is answered at once.
    fn exchange(&mut self, millis: u64) -> bool {
        let is_sent = self.take(millis);
        self.0.on_heard(at(millis), &server());
        is_sent
    }
}

#[test]
fn lower_at_once() {
    let mut fixture = Fixture::named(4.0);
    assert_eq!(fixture.hear(10, named(2.0, 10)), LimitChange::InForce(limit(2.0)));
    assert_eq!(fixture.rate(10), Some(2.0));
}

#[test]
fn higher_later() {
    let mut fixture = Fixture::named(2.0);
    fixture.hear(100, named(4.0, 100));
    assert_eq!(fixture.rate(1_500), Some(2.0));
    assert_eq!(fixture.rate(1_600), Some(4.0));
}

#[test]
fn lower_cancels_higher() {
    let mut fixture = Fixture::named(2.0);
    fixture.hear(100, named(4.0, 100));
    fixture.hear(1_000, named(2.0, 1_000));
    assert_eq!(fixture.rate(5_000), Some(2.0));
}

#[test]
fn answer_without_limit() {
    let mut fixture = Fixture::named(2.0);
    fixture.hear(200, unnamed(100));
    assert_eq!(fixture.rate(1_600), Some(2.0));
    assert_eq!(fixture.rate(1_800), None);
    // The rate rises.
    assert!(matches!(fixture.state(1_800), LimitState::ClosedUntil(_)));
    assert_eq!(fixture.state(6_800), LimitState::Unlimited);
}

#[test]
fn crossing_answers() {
    // The request was sent before the last answer that named a limit arrived.
    let mut fixture = Fixture::named(2.0);
    fixture.hear(1_000, named(2.0, 1_000));
    fixture.hear(1_200, unnamed(900));
    assert_eq!(fixture.rate(5_000), Some(2.0));
}

#[test]
fn named_anew() {
    let mut fixture = Fixture::named(2.0);
    fixture.hear(200, unnamed(100));
    assert_eq!(fixture.rate(1_800), None);
    assert_eq!(fixture.hear(2_000, named(3.0, 2_000)), LimitChange::InForce(limit(3.0)));
    assert_eq!(fixture.rate(2_000), Some(3.0));
}

#[test]
fn late_end_of_peer() {
    // A peer's news may be older than it states.
    let mut fixture = Fixture::named(2.0);
    fixture.hear_peer(3_000, unnamed(1_000));
    assert_eq!(fixture.rate(10_000), Some(2.0));
    fixture.hear_peer(10_000, unnamed(9_000));
    assert_eq!(fixture.rate(11_500), None);
}

#[test]
fn older_limit_of_peer() {
    let mut fixture = Fixture::named(2.0);
    fixture.hear(5_000, named(2.0, 5_000));
    // Certainly older, and possibly later.
    fixture.hear_peer(5_500, named(1.0, 4_900));
    assert_eq!(fixture.rate(5_500), Some(2.0));
    fixture.hear_peer(5_500, named(1.0, 5_100));
    assert_eq!(fixture.rate(5_500), Some(1.0));
}

#[test]
fn outdated_peer() {
    // A peer that states a limit which has ended is told so.
    let mut fixture = Fixture::named(2.0);
    fixture.hear(200, unnamed(100));
    assert_eq!(fixture.rate(6_000), None);
    fixture.0.settle(at(7_000));
    assert_eq!(fixture.0.told(at(7_000), 1, 10).len(), 0);
    fixture.hear_peer(8_000, named(2.0, 50));
    assert_eq!(fixture.rate(8_000), None);
    let told = fixture.0.told(at(8_000), 1, 10);
    assert_eq!(told.iter().map(|told| told.statement).collect::<Vec<_>>(), [unnamed(100)]);
}

#[test]
fn silent_limit() {
    // The hosts that heard the server have ended.
    let mut fixture = Fixture::default();
    fixture.hear_peer(0, named(2.0, 0));
    assert_eq!(fixture.rate(14_000), Some(2.0));
    assert_eq!(fixture.rate(15_000), None);
}

#[test]
fn told_once_known() {
    let mut fixture = Fixture::named(2.0);
    assert_eq!(fixture.0.told(at(0), 1, 10).len(), 1);
    // A peer has heard a newer answer, and it is that peer's to tell.
    fixture.hear_peer(9_000, named(2.0, 9_000));
    assert_eq!(fixture.0.told(at(9_000), 1, 10).len(), 0);
}

#[test]
fn new_process() {
    let mut fixture = Fixture::named(2.0);
    assert_eq!(fixture.0.state(at(10), &server(), Some(2)), LimitState::Unlimited);
    // An answer of the process before says nothing of the new one.
    fixture.0.on_statement(at(20), &server(), Some(2), named(5.0, 20), LimitSource::Server);
    fixture.hear(30, named(1.0, 30));
    assert_eq!(fixture.0.limit(&server(), Some(2)), Some(limit(5.0)));
    fixture.0.on_restarted(&server(), Some(3));
    assert!(fixture.0.is_empty());
}

#[test]
fn no_part() {
    let mut fixture = Fixture::named(2.0);
    fixture.set_part(0, None);
    assert!(matches!(fixture.state(100_000), LimitState::ClosedUntil(_)));
    assert!(!fixture.take(100_000));
}

#[test]
fn part_of_rate() {
    let mut fixture = Fixture::named(2.0);
    let part = LimitPart { rate: 0.5, burst: 1.0 };
    fixture.set_part(0, Some(part));
    assert!(fixture.exchange(0) && !fixture.exchange(0));
    let taken = (1..=60_000).step_by(10).filter(|millis| fixture.exchange(*millis)).count();
    assert_eq!(taken + 1, 30);
}

#[test]
fn taken_over() {
    // A host that takes a part over begins without places.
    let mut fixture = Fixture::named(2.0);
    fixture.set_part(0, None);
    fixture.set_part(1_000, Some(LimitPart { rate: 0.5, burst: 1.0 }));
    assert!(!fixture.take(1_000) && !fixture.take(2_500));
    assert!(fixture.take(3_000));
}

#[test]
fn reserved_place() {
    let mut fixture = Fixture::named(2.0);
    fixture.set_part(0, Some(LimitPart { rate: 0.5, burst: 1.0 }));
    fixture.0.reserve(&server());
    assert!(matches!(fixture.state(0), LimitState::ClosedUntil(_)));
    fixture.0.release(&server());
    assert!(matches!(fixture.state(0), LimitState::Open { .. }));
}

#[test]
fn unheard_server() {
    let mut fixture = Fixture::named(100.0);
    fixture.set_part(0, Some(LimitPart { rate: 100.0, burst: 10.0 }));
    let taken = (0..4_000).step_by(10).filter(|millis| fixture.take(*millis)).count();
    // For a second, and one more after three.
    assert!(taken < 120, "{taken}");
    fixture.0.on_heard(at(4_000), &server());
    let taken = (4_000..5_000).step_by(10).filter(|millis| fixture.take(*millis)).count();
    assert!((90..=110).contains(&taken), "{taken}");
}

#[test]
fn unlisted_server() {
    let mut fixture = Fixture::named(2.0);
    fixture.0.set_parts(at(0), |_, _| LimitListing::Unlisted);
    assert_eq!(fixture.0.told(at(0), 1, 10).len(), 0);
    fixture.0.settle(at(61_000));
    assert!(fixture.0.is_empty());
}

#[test]
fn bounded_table() {
    let mut table = LimitTable::default();
    for number in 0..5_000 {
        let server = ServerId::try_from(format!("s{number}")).expect("valid in tests");
        let now = at(number);
        table.on_statement(now, &server, BORN, named(1.0, number), LimitSource::Server);
    }
    let told = |sequence| table.told(at(5_000), sequence, 48);
    assert_eq!(told(1).len(), 48);
    assert_ne!(told(1), told(2));
    assert_eq!(table.limit(&ServerId::try_from("s0").expect("valid in tests"), BORN), None);
}

fn host(number: usize) -> HostId {
    HostId::try_from(format!("h{number}")).expect("valid in tests")
}

/// Returns the parts that all hosts of a fleet hold; each hears from `heard` of them.
fn parts(hosts: usize, rate: f64, heard: impl Fn(usize, usize) -> bool) -> Vec<LimitPart> {
    let fleet_host = |number| FleetHost::new(&host(number), DemandLevel::UNSTATED);
    let fleet = |own: usize| {
        let peers = (0..hosts).filter(|peer| *peer != own && heard(own, *peer)).map(fleet_host);
        let size = FleetSize::Hosts(u32::try_from(hosts).expect("valid in tests"));
        LimitFleet::new(fleet_host(own), peers.collect(), size)
    };
    (0..hosts).filter_map(|own| fleet(own).part(&server(), rate)).collect()
}

#[rstest]
fn sum_of_parts(
    #[values(1, 2, 8, 84, 295)] hosts: usize,
    #[values(0.05, 0.1, 1.0, 1.1, 7.0, 200.0, 100_000.0)] rate: f64,
) {
    let parts = parts(hosts, rate, |_, _| true);
    let sum: f64 = parts.iter().map(|part| part.rate).sum();
    let burst: f64 = parts.iter().map(|part| part.burst).sum();
    assert!((sum / rate - 1.0).abs() < 1e-9, "{sum}");
    assert!(sum * 4.0 * 1.25 + burst <= rate * 6.0 + 5.0, "{burst}");
}

#[rstest]
// Two halves, three parts, every host alone, and one host that is not heard from.
#[case(|own, peer| (own < 4) == (peer < 4))]
#[case(|own, peer| own % 3 == peer % 3)]
#[case(|_, _| false)]
#[case(|own, peer| own != 0 && peer != 0)]
fn parted_fleet(#[case] heard: fn(usize, usize) -> bool) {
    let parts = parts(8, 2.0, heard);
    let sum: f64 = parts.iter().map(|part| part.rate).sum();
    assert!(sum <= 2.0 * 1.5, "{sum}");
}

#[test]
fn leaving_host() {
    let own = FleetHost::new(&host(0), DemandLevel::NONE);
    let fleet = LimitFleet::new(own, Vec::new(), FleetSize::Hosts(1));
    assert_eq!(fleet.part(&server(), 5.0), None);
}

#[test]
fn unknown_fleet() {
    let own = FleetHost::new(&host(0), DemandLevel::UNSTATED);
    let fleet = LimitFleet::new(own, Vec::new(), FleetSize::Unknown);
    let part = fleet.part(&server(), 16.0).expect("valid in tests");
    assert!(part.rate <= 1.0 && part.rate * Duration::from_secs(4).as_secs_f64() <= 4.0);
}
