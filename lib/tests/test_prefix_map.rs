//! Tracks which servers cache which prefixes, with lost and late cache events.

use pomelostack_lib::engine::CacheChange;
use pomelostack_lib::engine::CacheEvent;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::prefix_map::PrefixMap;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use slotmap::SlotMap;

const LATER: Timestamp = Timestamp::from_millis(60_000);

fn servers() -> Vec<ServerKey> {
    let mut arena = SlotMap::with_key();
    (0..6).map(|_| arena.insert(())).collect()
}

fn blocks(seed: u64, count: u64) -> Vec<BlockHash> {
    (0..count).map(|index| BlockHash(seed * 1_000_000 + index)).collect()
}

fn holders(map: &PrefixMap, prompt: &[BlockHash]) -> Vec<(ServerKey, usize)> {
    let mut found = Vec::new();
    map.find(prompt, &mut found);
    found.iter().map(|holder| (holder.server, holder.blocks)).collect()
}

fn events(change: CacheChange, blocks: &[BlockHash]) -> Vec<CacheEvent> {
    let numbered = (0..).zip(blocks);
    numbered.map(|(sequence, &block)| CacheEvent { sequence, change, block }).collect()
}

#[test]
fn longest_prefix() {
    let (mut map, servers) = (PrefixMap::default(), servers());
    let prompt = blocks(1, 100);
    map.on_dispatched(LATER, servers[0], &prompt[..40]);
    map.on_dispatched(LATER, servers[1], &prompt);
    let found = holders(&map, &prompt);
    assert_eq!(found[0].0, servers[1]);
    assert_eq!(found[1].0, servers[0]);
    // Sampling may miss the last blocks of a prefix but never overstates its length.
    assert!(found[0].1 > 90 && found[0].1 <= 100);
    assert!(found[1].1 > 30 && found[1].1 <= 40);
}

#[test]
fn lost_events() {
    let (mut map, servers) = (PrefixMap::default(), servers());
    let prompt = blocks(1, 100);
    let mut stored = events(CacheChange::Stored, &prompt);
    stored.retain(|event| event.sequence % 5 != 0);
    map.on_events(LATER, servers[0], &stored);
    let found = holders(&map, &prompt);
    assert_eq!(found.len(), 1);
    assert!(found[0].1 > 80, "one lost event must not hide the rest: {found:?}");
}

#[rstest]
#[case::late_event(Timestamp::from_millis(65_000), 1)]
#[case::real_eviction(Timestamp::from_millis(90_000), 0)]
fn evicted_blocks(#[case] now: Timestamp, #[case] left: usize) {
    let (mut map, servers) = (PrefixMap::default(), servers());
    let prompt = blocks(1, 100);
    map.on_dispatched(LATER, servers[0], &prompt);
    map.on_events(now, servers[0], &events(CacheChange::Evicted, &prompt));
    assert_eq!(holders(&map, &prompt).len(), left);
}

#[test]
fn removed_server() {
    let (mut map, servers) = (PrefixMap::default(), servers());
    let prompt = blocks(1, 100);
    map.on_dispatched(LATER, servers[0], &prompt);
    map.on_dispatched(LATER, servers[1], &prompt);
    map.remove_server(servers[0]);
    let found = holders(&map, &prompt);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0, servers[1]);
}

#[test]
fn bounded_state() {
    let (mut map, servers) = (PrefixMap::default(), servers());
    let hot = blocks(0, 100);
    map.on_dispatched(LATER, servers[0], &hot);
    for seed in 1..30_000 {
        map.on_dispatched(LATER, servers[1], &blocks(seed, 256));
        if seed % 1_000 == 0 {
            map.on_dispatched(LATER, servers[0], &hot);
        }
    }
    assert!(map.state_bytes() < 32 * 1024 * 1024, "{} bytes", map.state_bytes());
    assert_eq!(holders(&map, &hot).len(), 1, "a context in use stays");
}
