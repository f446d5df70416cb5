//! Directory changes that hosts tell one another, and reads that a fleet shares.

use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::RECOVERY_GRACE_PERIOD;
use pomelostack_lib::gateway::backend_directory::STORE_OUTAGE_THRESHOLD;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::directory_gossip::DirectoryGossip;
use pomelostack_lib::gateway::directory_gossip::GossipedChanges;
use pomelostack_lib::gateway::directory_gossip::decode_change;
use pomelostack_lib::gateway::directory_gossip::has_missed_changes;
use pomelostack_lib::gateway::read_schedule::ReadSchedule;
use pomelostack_lib::gateway::read_schedule::ReadTimes;
use pomelostack_lib::gateway::read_schedule::read_interval_factor;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::ServerChange;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn server_id(name: &str) -> ServerId {
    ServerId::try_from(name).expect("valid in tests")
}

fn entry(
    name: &str,
    slots: u32,
    started_at_ms: Option<u64>,
    leaves_ms: Option<u64>,
) -> BackendEntry {
    BackendEntry {
        id: server_id(name),
        service: ServiceName::try_from("chat").expect("valid in tests"),
        address: "10.0.1.1:8000".parse().expect("valid in tests"),
        zone: ZoneName::try_from("north").expect("valid in tests"),
        state: if slots.is_multiple_of(2) { ServingState::Ready } else { ServingState::Draining },
        slots,
        started_at_ms,
        reclaimable: slots.is_multiple_of(3),
        reclaimed_in: leaves_ms.map(Duration::from_millis),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn entries_round_trip(
        offset in any::<u64>(),
        slots in any::<u32>(),
        born in any::<Option<u64>>(),
        leaves in any::<Option<u64>>(),
    ) {
        let change = DirectoryChange::Present(entry("s1", slots, born, leaves));
        let mut gossip = DirectoryGossip::default();
        gossip.on_change(at(0), LogOffset(offset), change.clone());
        let told: Vec<_> = gossip.recent_changes(at(1)).changes.iter().map(decode_change).collect();
        prop_assert_eq!(told, vec![Some((LogOffset(offset), change))]);
    }

    #[test]
    fn any_texts(server in ".*", service in ".*", address in ".*", zone in ".*") {
        // Whatever a datagram says is decoded or skipped.
        let told = ServerChange { server, service, address, zone, ..ServerChange::default() };
        if let Some((_, DirectoryChange::Present(entry))) = decode_change(&told) {
            prop_assert_eq!(entry.address.to_string().parse().ok(), Some(entry.address));
        }
    }
}

#[test]
fn removal_is_told() {
    let mut gossip = DirectoryGossip::default();
    gossip.on_change(at(0), LogOffset(7), DirectoryChange::Absent(server_id("s1")));
    let told = gossip.recent_changes(at(800)).changes;
    assert_eq!(
        decode_change(&told[0]),
        Some((LogOffset(7), DirectoryChange::Absent(server_id("s1"))))
    );
    assert!(gossip.recent_changes(at(2_000)).changes.is_empty(), "three summaries are enough");
}

#[test]
fn burst_is_bounded() {
    let mut gossip = DirectoryGossip::default();
    for number in 0..500 {
        gossip.on_change(at(0), LogOffset(number), DirectoryChange::Absent(server_id("s1")));
    }
    let GossipedChanges { changes: told, count } = gossip.recent_changes(at(1));
    assert!(told.len() <= 40);
    assert!(
        has_missed_changes(Some(0), count, told.len()),
        "whoever hears it knows that changes are missing"
    );
    assert!(!has_missed_changes(Some(count), count, told.len()));
    assert_eq!(told.last().map(|change| change.offset), Some(499), "the newest are told");
}

#[rstest]
#[case(0, 1)]
#[case(8, 1)]
#[case(9, 2)]
#[case(70, 8)]
#[case(370, 8)]
fn reads_are_shared(#[case] hosts: u32, #[case] stretch: u32) {
    assert_eq!(read_interval_factor(hosts), stretch);
}

#[test]
fn peers_read_for_all() {
    // Between two reads of its own, ten seconds apart, a host hears that others read; a removal that
    // it reads then is no sign of an outage.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0));
    directory.apply(at(0), LogOffset(1), DirectoryChange::Present(entry("s1", 2, Some(1), None)));
    for second in 1..10 {
        directory.on_peer_read(at(second * 1_000 + 20), at(second * 1_000));
    }
    directory.on_read(at(10_000));
    let effect =
        directory.apply(at(10_000), LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    assert!(matches!(effect, DirectoryEffect::Removed(_)));
}

#[test]
fn outage_told_by_peers() {
    // Nobody could read for a while. The first to read again says so, and what this host reads after
    // that may come back although its own read came moments later.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0));
    directory.apply(at(0), LogOffset(1), DirectoryChange::Present(entry("s1", 2, Some(1), None)));
    let back = at(1_000) + STORE_OUTAGE_THRESHOLD * 2;
    directory.on_peer_read(back, back);
    let now = back + Duration::from_millis(300);
    directory.on_read(now);
    let effect = directory.apply(now, LogOffset(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    assert!(directory.is_recovering(now), "it looks again soon");
    assert_eq!(directory.expire(back + RECOVERY_GRACE_PERIOD).len(), 1);
    assert!(!directory.is_recovering(back + RECOVERY_GRACE_PERIOD));
}

#[test]
fn told_change_is_old_news() {
    // A change comes from a peer first and is read in the store later.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0));
    let change = DirectoryChange::Present(entry("s1", 2, Some(1), None));
    assert!(directory.is_newer(&server_id("s1"), LogOffset(5)));
    let effect = directory.apply(at(10), LogOffset(5), change.clone());
    assert!(matches!(effect, DirectoryEffect::Joined(_)));
    assert!(!directory.is_newer(&server_id("s1"), LogOffset(5)));
    assert_eq!(directory.apply(at(20), LogOffset(5), change), DirectoryEffect::Unchanged);
    // A told record from before the newest one that was read changes nothing.
    let late = DirectoryChange::Absent(server_id("s1"));
    assert_eq!(directory.apply(at(30), LogOffset(4), late), DirectoryEffect::Unchanged);
}

#[test]
fn lost_summaries_noticed() {
    // One change a second, told by each summary of the next second. A host that misses a second of
    // summaries notices; one that misses a single summary is told all the same.
    let mut gossip = DirectoryGossip::default();
    let mut heard_all = None;
    let mut heard_some = None;
    for step in 0..40_u64 {
        if step % 5 == 0 {
            let change = DirectoryChange::Absent(server_id("s1"));
            gossip.on_change(at(step * 200), LogOffset(step), change);
        }
        let told = gossip.recent_changes(at(step * 200));
        if step % 4 != 1 {
            assert!(!has_missed_changes(heard_all, told.count, told.changes.len()), "step {step}");
            heard_all = Some(told.count);
        }
        if !(3..=16).contains(&step) {
            assert_eq!(has_missed_changes(heard_some, told.count, told.changes.len()), step == 17);
            heard_some = Some(told.count);
        }
    }
}

/// Period of a host alone.
const PERIOD: Duration = Duration::from_millis(1_300);
/// Time between two summaries of a host.
const SUMMARY_MS: u64 = 400;

/// Plays a fleet that starts with one read of all hosts at once; returns the longest time without a
/// read and the number of reads.
fn play_turns(hosts: u64, seed: u64, lively: impl Fn(u64, u64) -> bool) -> (u64, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut turns = vec![ReadSchedule::default(); hosts as usize];
    let mut own = vec![0; hosts as usize];
    // What each host has told of its last read.
    let mut told = vec![0; hosts as usize];
    let (mut last, mut longest, mut count) = (0, 0, 0);
    for now in (0..60_000_u64).step_by(20) {
        let newest = told.iter().copied().max().unwrap_or(0);
        // Hosts that fell silent count as heard for a moment.
        let heard = (0..hosts).filter(|host| lively(*host, now.saturating_sub(900))).count() as u32;
        for host in (0..hosts).filter(|host| lively(*host, now)) {
            let index = host as usize;
            let times = ReadTimes { own: at(own[index]), newest: at(own[index].max(newest)) };
            let is_look = now - own[index] >= 1_300 && (now + host * 20) % 100 == 0;
            let stretch = read_interval_factor(heard);
            if is_look && turns[index].is_due(at(now), times, PERIOD, stretch, &mut random) {
                longest = longest.max(now - last);
                (last, own[index], count) = (now, now, count + 1);
            }
            if (now + host * 20) % SUMMARY_MS == 0 {
                told[index] = own[index];
            }
        }
    }
    (longest, count)
}

#[test]
fn turns_without_gaps() {
    // A change is read within two of a lone host's periods, and the fleet reads no more often than a
    // dozen hosts that each read for themselves.
    for seed in 0..40 {
        let (longest, count) = play_turns(70, seed, |_, _| true);
        assert!(longest <= 2_600, "seed {seed}: {longest} ms without a read");
        assert!(count <= 12 * 60_000 / 1_300, "seed {seed}: {count} reads");
    }
}

#[test]
fn turns_outlive_hosts() {
    // Two thirds of the hosts are gone after a while.
    for seed in 0..40 {
        let lively = |host: u64, now: u64| host.is_multiple_of(3) || now < 20_000;
        let (longest, _) = play_turns(70, seed, lively);
        assert!(longest <= 2_600, "seed {seed}: {longest} ms without a read");
    }
}
