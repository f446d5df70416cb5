//! The budget of buffered bytes, and the buffers that lease from it.

use pomelostack_lib::gateway::buffer_budget::BufferBudget;
use pomelostack_lib::gateway::buffer_budget::BufferError;
use pomelostack_lib::gateway::buffer_budget::BufferLease;
use pomelostack_lib::gateway::leased_buffer::LeasedBuffer;
use proptest::prelude::*;

#[test]
fn returned_leases() {
    let budget = BufferBudget::new(1000);
    let mut lease = budget.lease(400);
    assert_eq!(lease.resize(400), Ok(()));
    assert_eq!(lease.resize(300), Ok(()));
    assert_eq!((lease.held(), budget.used()), (300, 300));
    drop(lease);
    assert_eq!(budget.used(), 0);
}

#[test]
fn own_limit() {
    let mut lease = BufferBudget::new(1000).lease(400);
    assert_eq!(lease.resize(401), Err(BufferError::TooLong { limit: 400 }));
    assert_eq!(lease.held(), 0);
}

#[test]
fn half_left_free() {
    let budget = BufferBudget::new(1000);
    let mut lease = budget.lease(1000);
    assert_eq!(lease.resize(500), Ok(()));
    assert_eq!(lease.resize(501), Err(BufferError::Exhausted { wanted: 501, free: 1000 }));
    assert_eq!((lease.held(), budget.used()), (500, 500));
}

#[test]
fn room_for_small_buffers() {
    const GREEDY_LEASES: usize = 40;
    let budget = BufferBudget::new(48 << 20);
    let mut leases: Vec<BufferLease> = (0..GREEDY_LEASES).map(|_| budget.lease(16 << 20)).collect();
    let mut size = 1024;
    while leases.iter_mut().filter_map(|lease| lease.resize(size).ok()).count() > 0 {
        size += 1024;
    }
    assert_eq!(budget.lease(16 << 20).resize(256 << 10), Ok(()));
}

#[test]
fn capacity_counted() {
    let budget = BufferBudget::new(1 << 20);
    let mut buffer = LeasedBuffer::new(budget.lease(100_000));
    for _ in 0..70_000 {
        buffer.extend(b"x").expect("valid in tests");
    }
    assert!((70_000..=100_000).contains(&budget.used()), "{}", budget.used());
    let bytes = buffer.freeze();
    assert_eq!(bytes.len(), 70_000);
    assert!(budget.used() >= 70_000);
    drop(bytes);
    assert_eq!(budget.used(), 0);
}

#[test]
fn split_and_refill() {
    let budget = BufferBudget::new(1 << 20);
    let mut buffer = LeasedBuffer::new(budget.lease(4));
    buffer.extend(b"abcd").expect("valid in tests");
    assert_eq!(&buffer.split_to(3).expect("valid in tests")[..], b"abc");
    buffer.extend(b"efg").expect("valid in tests");
    assert_eq!(buffer.extend(b"h"), Err(BufferError::TooLong { limit: 4 }));
    assert_eq!(buffer.as_slice(), b"defg");
    assert_eq!(&buffer.freeze()[..], b"defg");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_resizes(steps in prop::collection::vec((0_usize..8, 0_usize..1500), 1..200)) {
        let budget = BufferBudget::new(1000);
        let mut leases: Vec<BufferLease> = (0..8).map(|_| budget.lease(600)).collect();
        for (index, size) in steps {
            let (before, held) = (budget.used(), leases[index].held());
            let free = 1000 - (before - held);
            let resized = leases[index].resize(size);
            let fits = size <= 600 && (size <= held || size <= free - size.min(free));
            prop_assert_eq!(resized.is_ok(), fits);
            prop_assert_eq!(leases[index].held(), if fits { size } else { held });
            prop_assert!(budget.used() <= 1000);
            prop_assert_eq!(budget.used(), leases.iter().map(BufferLease::held).sum::<usize>());
        }
        drop(leases);
        prop_assert_eq!(budget.used(), 0);
    }
}
