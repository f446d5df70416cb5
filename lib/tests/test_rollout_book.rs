//! Roll-outs when hosts, the holder of the duties or the store fail.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::platform_api::LogBounds;
use pomelostack_lib::gateway::rollout::answer_tally::AnswerOutcome;
use pomelostack_lib::gateway::rollout::exposure_meter::RolloutBounds;
use pomelostack_lib::gateway::rollout::rollout_book::HostView;
use pomelostack_lib::gateway::rollout::rollout_book::ListedVersion;
use pomelostack_lib::gateway::rollout::rollout_book::PlacedAttempt;
use pomelostack_lib::gateway::rollout::rollout_book::RolloutBook;
use pomelostack_lib::gateway::rollout::rollout_book::RolloutSide;
use pomelostack_lib::gateway::rollout::rollout_order::OrderRecord;
use pomelostack_lib::gateway::rollout::rollout_order::RolloutOrder;
use pomelostack_lib::gateway::rollout::rollout_order::RolloutState;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRead;
use pomelostack_lib::gateway::rollout::rollout_order::StatusRecord;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(12);
const VIEW: HostView = HostView { is_partitioned: false };

fn service() -> ServiceName {
    ServiceName::try_from("huvo11a").expect("valid in tests")
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::of(text.as_bytes())
}

/// A store with one service's orders and states.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    order: Option<(u64, Option<&'static str>)>,
    log: Vec<StatusRecord>,
}

impl Store {
    fn ordered(offset: u64, to: &'static str) -> Self {
        Self { era: 1, order: Some((offset, Some(to))), log: Vec::new() }
    }
}

/// One host.
struct Host {
    book: RolloutBook,
    now: Timestamp,
    /// Wall-clock time of its start in milliseconds.
    started_ms: u64,
}

impl Host {
    /// Starts a host before which the versions are listed.
    fn start(number: u64, listed: &[&str]) -> Self {
        let name = HostId::try_from(format!("h{number}").as_str()).expect("valid in tests");
        let book = RolloutBook::new((name, Incarnation(number)), RolloutBounds::default());
        let mut host = Self { book, now: Timestamp::from_millis(5), started_ms: 1_000_000 };
        host.list(listed);
        host
    }

    /// Starts a host that runs when the order arrives.
    fn running() -> Self {
        let mut host = Self::start(1, &["v1"]);
        host.read(&Store { era: 1, ..Store::default() });
        host
    }

    fn list(&mut self, listed: &[&str]) {
        let (service, versions) = (service(), listed.iter().map(|text| version(text)));
        let versions: Vec<SoftwareVersion> = versions.collect();
        self.book.observe(self.now, versions.iter().map(|version| (&service, version)));
    }

    fn wall_ms(&self) -> u64 {
        self.started_ms + self.now.as_millis()
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    fn read_orders(&mut self, store: &Store) {
        let record = store.order.map(|(offset, to)| OrderRecord {
            service: service(),
            offset: LogOffset(offset),
            order: to.map(|to| RolloutOrder {
                to: version(to),
                to_text: to.to_owned(),
                duration: DURATION,
            }),
        });
        let times = (self.now, self.now);
        self.book.on_orders(times, StoreEra(store.era), record.into_iter().collect(), 1);
    }

    fn read_statuses(&mut self, store: &Store) {
        // Only the newest record of the key is kept.
        let newest = store.log.last().cloned().into_iter();
        let offset = LogOffset(store.log.len().saturating_sub(1) as u64);
        let next = LogOffset(store.log.len() as u64);
        let bounds = LogBounds { era: StoreEra(store.era), end: next, ..LogBounds::default() };
        let records = newest.map(|record| (offset, record)).collect();
        let read = StatusRead { records, next, bounds, ..StatusRead::default() };
        self.book.on_statuses((self.now, self.now), self.wall_ms(), read);
    }

    fn read(&mut self, store: &Store) {
        self.read_orders(store);
        self.read_statuses(store);
    }

    fn next(&self, new_servers: u32) -> Option<StatusRecord> {
        let ready = BTreeMap::from([(version("v1"), 4), (version("v2"), new_servers)]);
        self.book
            .next_record(self.now, self.wall_ms(), &service(), &ready)
            .map(|(_, record)| record)
    }

    /// Lets the holder of the duties append until nothing is due.
    fn decide(&mut self, store: &mut Store) {
        for _ in 0..5 {
            let Some(record) = self.next(4) else { return };
            store.log.push(record);
            self.read(store);
        }
    }

    /// Returns which of two servers a request may be placed at.
    fn places(&self, side: RolloutSide) -> Vec<&'static str> {
        let (first, second) = (version("v1"), version("v2"));
        let server = |key, version| ListedVersion { key, id: key, version, is_ready: true };
        let servers = [server("v1", &first), server("v2", &second)];
        let excluded = self.book.excluded(self.now, VIEW, &service(), side, &servers);
        ["v1", "v2"].into_iter().filter(|key| !excluded.contains(key)).collect()
    }

    /// Sends requests; returns how many went to the new version.
    fn send(&mut self, count: u64) -> u64 {
        let mut sent = 0;
        for _ in 0..count {
            self.book.on_request(self.now, &service());
            let side = self.book.side(self.now, VIEW, &service(), PlacedAttempt::First);
            if side == RolloutSide::New {
                self.book.on_sent(self.now, &service(), &version("v2"), "look");
                sent += 1;
            }
        }
        sent
    }

    fn answer(&mut self, to: &str, count: u64, outcome: AnswerOutcome) {
        for _ in 0..count {
            self.book.on_answer(&service(), &version(to), "look", outcome);
        }
        self.wait(Duration::from_millis(500));
        self.book.judge(self.now);
    }

    /// Lets the version fail beside a sound one.
    fn fail(&mut self) {
        self.answer("v1", 100, AnswerOutcome::Answered(Duration::from_millis(50)));
        self.answer("v2", 20, AnswerOutcome::Failed);
    }
}

/// Returns a host that holds the duties, in the first step of a roll-out of v2, and its store.
fn stepping() -> (Host, Store) {
    let mut store = Store::ordered(5, "v2");
    let mut host = Host::running();
    host.read(&store);
    host.list(&["v1", "v2"]);
    host.read(&store);
    host.decide(&mut store);
    assert!(store.log.last().is_some_and(|record| record.step.share > 0));
    (host, store)
}

/// A host sends to a version that it lists before it has read the order.
#[test]
fn listed_before_order() {
    let mut host = Host::running();
    host.wait(Duration::from_millis(10));
    host.list(&["v1", "v2"]);
    assert_eq!(host.places(RolloutSide::Old), ["v1"]);
    assert!(!host.book.may_send(host.now, VIEW, &service(), &version("v2")));
    // A read that began earlier does not tell.
    let early = host.now - Duration::from_millis(5);
    host.book.on_orders((host.now, early), StoreEra(1), Vec::new(), 1);
    assert!(host.book.must_read_orders());
    assert_eq!(host.places(RolloutSide::Old), ["v1"]);
    // Without an order both serve side by side.
    host.read(&Store { era: 1, ..Store::default() });
    let side = host.book.side(host.now, VIEW, &service(), PlacedAttempt::First);
    assert_eq!(side, RolloutSide::Any);
}

/// A host that knows the order and no step sends to the new version, or one that starts in the middle does.
#[test]
fn no_step_known() {
    let (_, store) = stepping();
    let mut late = Host::start(2, &["v1", "v2"]);
    late.started_ms += 5_000;
    assert_eq!(late.places(RolloutSide::Old), Vec::<&str>::new());
    late.read_orders(&store);
    assert_eq!(late.send(1_000), 0);
    assert_eq!(late.places(RolloutSide::Old), ["v1"]);
    late.read_statuses(&store);
    assert!((1..=91).contains(&late.send(1_000)));
    // The record tells when the order was seen, which may be before the process and its clock began.
    late.wait(DURATION - Duration::from_secs(5));
    late.read(&store);
    assert_eq!(late.send(1_000), 0);
}

/// The store is unavailable or does not answer, or the host stood still or is cut off: it may have missed
/// that the version was rolled back.
#[rstest]
#[case::unread(Duration::from_millis(2_300), VIEW)]
#[case::frozen(Duration::from_secs(9), VIEW)]
#[case::partitioned(Duration::ZERO, HostView { is_partitioned: true })]
fn out_of_touch(#[case] time: Duration, #[case] view: HostView) {
    let (mut host, _) = stepping();
    assert!(host.send(1_000) > 0);
    host.wait(time);
    host.book.on_request(host.now, &service());
    let side = host.book.side(host.now, view, &service(), PlacedAttempt::First);
    assert_eq!(side, RolloutSide::Old);
    assert!(!host.book.may_send(host.now, view, &service(), &version("v2")));
}

/// A version that was rolled back gets requests again by a record of a restored store, by a stale one, or
/// at a host that has started since.
#[test]
fn restored_during_step() {
    let (mut host, mut store) = stepping();
    let mut copy = store.clone();
    host.fail();
    host.decide(&mut store);
    assert_eq!(store.log.last().map(|record| record.state), Some(RolloutState::RolledBack));
    copy.era = 2;
    let mut fresh = Host::start(2, &["v1", "v2"]);
    for reader in [&mut host, &mut fresh] {
        reader.read(&copy);
        assert_eq!(reader.send(1_000), 0);
        assert_eq!(reader.places(RolloutSide::Bound), ["v1"]);
    }
    // A fresh holder learns the end from a peer before it acts.
    assert_eq!(fresh.next(4), None);
    let reports = host.book.reports(host.now, 1);
    let name = (HostId::try_from("h1").expect("valid in tests"), Incarnation(1));
    fresh.book.on_reports(fresh.now, &name, &reports);
    let restated = fresh.next(4).expect("the end is recorded again");
    assert_eq!((restated.state, restated.era), (RolloutState::RolledBack, StoreEra(2)));
    // The operator writes the lost order again, at another offset.
    copy.order = Some((4, Some("v2")));
    host.book.on_era(host.now, StoreEra(3));
    copy.era = 3;
    host.read(&copy);
    assert_eq!(host.send(1_000), 0);
    assert_eq!(host.next(4).map(|record| record.state), Some(RolloutState::RolledBack));
}

/// The holder is lost after its append took effect without an answer, and the next one completes the version.
#[test]
fn holder_lost_after() {
    let (mut holder, mut store) = stepping();
    holder.fail();
    store.log.push(holder.next(4).expect("the version is bad"));
    let mut successor = Host::start(2, &["v1", "v2"]);
    successor.read(&store);
    successor.answer("v1", 1_000, AnswerOutcome::Answered(Duration::from_millis(50)));
    successor.answer("v2", 100, AnswerOutcome::Answered(Duration::from_millis(50)));
    successor.wait(DURATION);
    assert_eq!(successor.next(4), None);
    assert_eq!(successor.places(RolloutSide::Old), ["v1"]);
}

/// The holder is lost before it writes a state, and the next one begins anew or never ends the roll-out.
#[test]
fn holder_lost_before() {
    let (_, store) = stepping();
    let step = store.log.last().map(|record| record.step);
    let mut successor = Host::start(2, &["v1", "v2"]);
    successor.started_ms += 5_000;
    successor.read(&store);
    assert_eq!(successor.next(4), None, "it goes on with {step:?}");
    successor.answer("v1", 1_000, AnswerOutcome::Answered(Duration::from_millis(50)));
    successor.answer("v2", 100, AnswerOutcome::Answered(Duration::from_millis(50)));
    successor.wait(Duration::from_millis(4_600));
    let record = successor.next(4).expect("the version is proven");
    assert_eq!(record.state, RolloutState::Completed);
    // It did not see the order arrive.
    assert_eq!(record.ordered_ms, store.log[0].ordered_ms);
}

/// A second order while one runs leaves the version of the first one without a state, or with requests.
#[test]
fn second_order() {
    let (mut host, mut store) = stepping();
    store.order = Some((6, Some("v3")));
    host.read(&store);
    assert_eq!(host.send(1_000), 0);
    assert_eq!(host.places(RolloutSide::Old), ["v1"]);
    let first = host.next(4).expect("the first order ends");
    assert_eq!((first.state, first.to_text.as_str()), (RolloutState::RolledBack, "v2"));
    store.log.push(first);
    host.read(&store);
    let second = host.next(4).expect("the second order begins");
    assert_eq!((second.state, second.to_text.as_str()), (RolloutState::Running, "v3"));
    assert_eq!(second.refused, [version("v2")]);
    store.log.push(second);
    // A host that starts now learns that the former version may not serve.
    let mut fresh = Host::start(2, &["v1", "v2"]);
    fresh.read(&store);
    assert_eq!(fresh.places(RolloutSide::Old), ["v1"]);
}

/// A version that was rolled back cannot be ordered again, or a record of the first order ends the second.
#[test]
fn ordered_again() {
    let (mut host, mut store) = stepping();
    host.fail();
    host.decide(&mut store);
    host.wait(Duration::from_secs(60));
    store.order = Some((9, Some("v2")));
    host.read(&store);
    assert_eq!(host.send(1_000), 0);
    host.decide(&mut store);
    let last = store.log.last().expect("valid in tests");
    assert_eq!((last.state, last.order), (RolloutState::Running, LogOffset(9)));
    assert!(host.send(1_000) > 0);
    // The late copy of an order that is superseded changes nothing.
    host.read_orders(&Store::ordered(5, "v2"));
    assert!(host.send(1_000) > 0);
}

/// An order without servers, or for a service that no host knows, runs for ever or is completed.
#[test]
fn unknown_version() {
    let mut store = Store::ordered(5, "v2");
    let mut host = Host::running();
    host.read(&store);
    store.log.push(host.next(0).expect("the order is seen"));
    host.read(&store);
    assert_eq!(host.next(0), None);
    host.wait(Duration::from_millis(11_600));
    let record = host.next(0).expect("the order ends");
    assert_eq!((record.state, record.reason.as_str()), (RolloutState::RolledBack, "TooFewServers"));
}

/// A version that fails in the last seconds is completed, since it was good before.
#[test]
fn fails_at_last() {
    let (mut host, mut store) = stepping();
    for _ in 0..6 {
        host.answer("v1", 200, AnswerOutcome::Answered(Duration::from_millis(50)));
        host.answer("v2", 20, AnswerOutcome::Answered(Duration::from_millis(50)));
    }
    host.wait(Duration::from_millis(2_500));
    host.answer("v1", 200, AnswerOutcome::Answered(Duration::from_millis(50)));
    host.answer("v2", 8, AnswerOutcome::Failed);
    host.wait(Duration::from_millis(600));
    host.read(&store);
    host.decide(&mut store);
    assert_eq!(store.log.last().map(|record| record.state), Some(RolloutState::RolledBack));
}

/// A good version is rolled back since one of its servers was killed with all that it ran.
#[test]
fn killed_server() {
    let (mut host, _) = stepping();
    for _ in 0..4 {
        host.answer("v1", 200, AnswerOutcome::Answered(Duration::from_millis(50)));
        host.answer("v2", 40, AnswerOutcome::Answered(Duration::from_millis(50)));
    }
    host.answer("v2", 24, AnswerOutcome::Lost);
    assert!(!host.book.evidence(&service()).is_bad(), "{}", host.book.evidence(&service()));
}

/// An operator who removes an order leaves the version with requests.
#[test]
fn withdrawn_order() {
    let (mut host, mut store) = stepping();
    store.order = Some((6, None));
    host.read(&store);
    assert_eq!(host.send(1_000), 0);
    host.decide(&mut store);
    let last = store.log.last().map(|record| (record.state, record.reason.clone()));
    assert_eq!(last, Some((RolloutState::RolledBack, "Withdrawn".to_owned())));
}

/// After the completion requests go to servers that stop at once.
#[test]
fn completed_version() {
    let (mut host, mut store) = stepping();
    let mut record = store.log.last().cloned().expect("valid in tests");
    record.state = RolloutState::Completed;
    store.log.push(record);
    host.read(&store);
    assert_eq!(host.places(RolloutSide::Old), ["v2"]);
    host.wait(Duration::from_secs(11));
    let side = host.book.side(host.now, VIEW, &service(), PlacedAttempt::First);
    assert_eq!(side, RolloutSide::Any);
}

/// A version that served alone before it was ordered is withheld, and the service has no server.
#[test]
fn served_alone() {
    let mut host = Host::running();
    let store = Store::ordered(5, "v1");
    host.read(&store);
    assert_eq!(host.places(RolloutSide::Old), ["v1"]);
    let ready = BTreeMap::from([(version("v1"), 4)]);
    let next = host.book.next_record(host.now, host.wall_ms(), &service(), &ready);
    assert_eq!(next.map(|(_, record)| record.state), Some(RolloutState::Completed));
}
