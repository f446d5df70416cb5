//! Weighted fair queueing.

use pomelostack_lib::fair_queue::FairQueue;
use pomelostack_lib::ids::TeamName;
use rstest::rstest;

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).expect("valid")
}

fn fill(queue: &mut FairQueue<u32>, name: &str, weight: u32, count: u32) {
    (0..count).for_each(|item| queue.push(&team(name), weight, item));
}

fn served(queue: &mut FairQueue<u32>, count: usize, name: &str) -> usize {
    let popped = (0..count).filter_map(|_| queue.pop(|_| true));
    popped.filter(|(found, _)| *found == team(name)).count()
}

#[rstest]
#[case::equal(1, 1, 50)]
#[case::triple(3, 1, 75)]
#[case::large(9_000, 1_000, 90)]
fn weighted_shares(#[case] first: u32, #[case] second: u32, #[case] expected: usize) {
    let mut queue = FairQueue::default();
    fill(&mut queue, "a", first, 1_000);
    fill(&mut queue, "b", second, 1_000);
    assert!(served(&mut queue, 100, "a").abs_diff(expected) <= 1);
}

#[test]
fn idle_team() {
    let mut queue = FairQueue::default();
    fill(&mut queue, "a", 1, 1_000);
    assert_eq!(served(&mut queue, 500, "a"), 500);
    // A team that was idle has no credit, and does not wait for the backlog of the other team.
    fill(&mut queue, "b", 1, 100);
    assert!(served(&mut queue, 20, "b").abs_diff(10) <= 1);
}

#[test]
fn skipped_team() {
    let mut queue = FairQueue::default();
    fill(&mut queue, "a", 1, 2);
    fill(&mut queue, "b", 1, 1);
    let not_a = |name: &TeamName| *name != team("a");
    assert_eq!(queue.pop(not_a), Some((team("b"), 0)));
    assert_eq!(queue.pop(not_a), None);
    assert_eq!(queue.pop(|_| true), Some((team("a"), 0)));
}

#[test]
fn removed_item() {
    let mut queue = FairQueue::default();
    fill(&mut queue, "a", 1, 2);
    assert!(queue.remove(&team("a"), &0));
    assert!(!queue.remove(&team("a"), &0));
    assert_eq!(queue.waiting(&team("a")), 1);
    assert_eq!(queue.pop(|_| true), Some((team("a"), 1)));
}
