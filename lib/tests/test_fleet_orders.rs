//! Orders under way, refused starts and the weight store's rate.

use std::time::Duration;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::fleet_mix::PoolKey;
use pomelostack_lib::fleet_orders::FleetOrder;
use pomelostack_lib::fleet_orders::LoadSchedule;
use pomelostack_lib::fleet_orders::OrderBook;
use pomelostack_lib::fleet_orders::RefusalBackoff;
use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::timestamp::Timestamp;

const SHORTEST: Duration = Duration::from_secs(60);
const LONGEST: Duration = Duration::from_secs(200);

fn pool() -> PoolKey {
    PoolKey {
        zone: "a".try_into().expect("a name"),
        class: "gpu-small".try_into().expect("a name"),
        market: HostMarket::Reclaimable,
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn book_with_order(fence: u64) -> (OrderBook, ServiceName, String) {
    let service = ServiceName::try_from("model").expect("a name");
    let mut book = OrderBook::default();
    book.set_fence(FencingNumber(fence));
    book.add(at(0), &service, &pool());
    let Some(FleetOrder::Start { order, .. }) = book.open_orders().pop() else {
        panic!("the order is open");
    };
    (book, service, order.order_id)
}

#[test]
fn refusal_waits() {
    let mut backoff = RefusalBackoff::default();
    for (refused_at, free_at) in [(0, 60), (60, 180), (180, 380), (380, 580)] {
        backoff.note_refused(at(refused_at), pool(), SHORTEST, LONGEST);
        assert!(backoff.is_waiting(at(free_at - 1), &pool()), "{free_at}");
        assert!(!backoff.is_waiting(at(free_at), &pool()), "{free_at}");
    }
}

#[test]
fn refusal_burst() {
    let mut backoff = RefusalBackoff::default();
    for _ in 0..5 {
        backoff.note_refused(at(0), pool(), SHORTEST, LONGEST);
    }
    assert!(!backoff.is_waiting(at(60), &pool()));
    backoff.note_started(&pool());
    backoff.note_refused(at(60), pool(), SHORTEST, LONGEST);
    assert!(!backoff.is_waiting(at(120), &pool()));
}

#[test]
fn open_orders() {
    let (mut book, service, order_id) = book_with_order(3);
    assert_eq!(book.open_orders(), book.open_orders());
    let host = HostId::try_from("host-1").expect("a name");
    book.note_started(&order_id, host);
    assert_eq!((book.open_orders(), book.count(&service, &pool())), (vec![], 1));
    book.settle(at(1), LONGEST, |_| true);
    assert_eq!(book.count(&service, &pool()), 0);
}

#[test]
fn order_timeout() {
    let (mut book, service, _) = book_with_order(3);
    book.settle(at(199), LONGEST, |_| false);
    assert_eq!(book.count(&service, &pool()), 1);
    book.settle(at(200), LONGEST, |_| false);
    assert_eq!(book.count(&service, &pool()), 0);
}

#[test]
fn new_lease() {
    let (mut book, _, first) = book_with_order(3);
    book.set_fence(FencingNumber(9));
    assert_eq!(book.open_orders(), vec![]);
    let (_, _, second) = book_with_order(9);
    assert_ne!(first, second);
}

#[test]
fn store_rate() {
    let mut schedule = LoadSchedule::default();
    let (lead, length) = (Duration::from_secs(20), Duration::from_secs(10));
    let taken = (0..5).filter(|_| schedule.try_take(at(0), lead, length)).count();
    assert_eq!(taken, 3);
    assert!(schedule.try_take(at(10), lead, length));
}
