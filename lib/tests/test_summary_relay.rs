//! Summaries that a relay in a large fleet forwards together.

use bytes::Bytes;
use pomelostack_lib::gateway::summary_relay::SummaryRelay;
use pomelostack_lib::timestamp::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn summary(length: usize) -> Bytes {
    Bytes::from(vec![b's'; length])
}

#[test]
fn collected_for_a_moment() {
    let mut relay = SummaryRelay::default();
    assert_eq!(relay.due_at(), None);
    assert_eq!(relay.push(at(1_000), summary(600)), None);
    assert_eq!(relay.push(at(1_100), summary(600)), None);
    assert_eq!(relay.due_at(), Some(at(1_150)));
    assert_eq!(relay.take().len(), 2);
    assert_eq!(relay.due_at(), None);
}

#[test]
fn datagram_is_full() {
    let mut relay = SummaryRelay::default();
    let sizes = (0..100).map(|number| 200 + number * 20);
    let mut forwarded = 0;
    for size in sizes {
        if let Some(bundle) = relay.push(at(0), summary(size)) {
            assert!(bundle.iter().map(Bytes::len).sum::<usize>() <= 7 * 1024);
            forwarded += bundle.len();
        }
    }
    assert_eq!(forwarded + relay.take().len(), 100);
}

#[test]
fn oversized_alone() {
    let mut relay = SummaryRelay::default();
    assert_eq!(relay.push(at(0), summary(8_000)), None);
    let bundle = relay.push(at(0), summary(10));
    assert_eq!(bundle.map(|bundle| bundle.len()), Some(1));
    assert_eq!(relay.take().len(), 1);
}

#[test]
fn fleet_of_300() {
    // A relay of a fleet of 300 hosts in 6 zones gets 250 summaries every 600 ms times 1/50.
    let mut relay = SummaryRelay::default();
    let (mut bundles, mut summaries) = (0, 0);
    for millis in 0..60_000 {
        if relay.due_at().is_some_and(|due_at| due_at <= at(millis)) {
            summaries += relay.take().len();
            bundles += 1;
        }
        if millis % 120 == 0 {
            assert_eq!(relay.push(at(millis), summary(700)), None);
        }
    }
    assert_eq!(summaries + relay.take().len(), 500);
    assert!(bundles * 2 <= summaries, "{bundles} datagrams for {summaries} summaries");
}
