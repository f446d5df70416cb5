//! Gossip of directory changes, and directory reads shared by a fleet.

use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::RECOVERY_GRACE_PERIOD;
use pomelostack_lib::gateway::backend_directory::STORE_OUTAGE_THRESHOLD;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::directory_gossip::DirectoryCoverage;
use pomelostack_lib::gateway::directory_gossip::DirectoryGossip;
use pomelostack_lib::gateway::directory_gossip::GossipedChanges;
use pomelostack_lib::gateway::directory_gossip::ToldRange;
use pomelostack_lib::gateway::directory_gossip::decode_change;
use pomelostack_lib::gateway::directory_gossip::has_missed_changes;
use pomelostack_lib::gateway::read_schedule::ReadSchedule;
use pomelostack_lib::gateway::read_schedule::ReadTimes;
use pomelostack_lib::gateway::read_schedule::read_interval_factor;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::StoreEra;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::ServerChange;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn position(offset: u64) -> LogPosition {
    LogPosition { era: StoreEra::default(), offset: LogOffset(offset) }
}

fn range(from: u64, next: u64) -> ToldRange {
    ToldRange { from: position(from), next: position(next) }
}

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
        version: SoftwareVersion::UNSTATED,
        state: if slots.is_multiple_of(2) { ServingState::Ready } else { ServingState::Draining },
        slots,
        started_at_ms,
        reclaimable: slots.is_multiple_of(3),
        reclaimed_in: leaves_ms.map(Duration::from_millis),
        sequence: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn entries_round_trip(
        era in any::<u64>(),
        offset in any::<u64>(),
        slots in any::<u32>(),
        born in any::<Option<u64>>(),
        leaves in any::<Option<u64>>(),
        sequence in any::<Option<u64>>(),
    ) {
        let entry = BackendEntry { sequence, ..entry("s1", slots, born, leaves) };
        let change = DirectoryChange::Present(entry);
        let position = LogPosition { era: StoreEra(era), offset: LogOffset(offset) };
        let mut gossip = DirectoryGossip::default();
        gossip.on_change(at(0), position, change.clone());
        let gossiped: Vec<_> = gossip.recent_changes(at(1), &[]).changes.iter().map(decode_change).collect();
        prop_assert_eq!(gossiped, vec![Some((position, change))]);
    }

    #[test]
    fn arbitrary_fields(server in ".*", service in ".*", address in ".*", zone in ".*") {
        // Any datagram is either decoded or rejected.
        let gossiped = ServerChange { server, service, address, zone, ..ServerChange::default() };
        if let Some((_, DirectoryChange::Present(entry))) = decode_change(&gossiped) {
            prop_assert_eq!(entry.address.to_string().parse().ok(), Some(entry.address));
        }
    }
}

#[test]
fn removal_is_gossiped() {
    let mut gossip = DirectoryGossip::default();
    gossip.on_change(at(0), position(7), DirectoryChange::Absent(server_id("s1")));
    let gossiped = gossip.recent_changes(at(800), &[]).changes;
    assert_eq!(
        decode_change(&gossiped[0]),
        Some((position(7), DirectoryChange::Absent(server_id("s1"))))
    );
    assert!(gossip.recent_changes(at(2_000), &[]).changes.is_empty(), "three summaries are enough");
}

#[test]
fn burst_is_bounded() {
    let mut gossip = DirectoryGossip::default();
    for number in 0..500 {
        gossip.on_change(at(0), position(number), DirectoryChange::Absent(server_id("s1")));
    }
    let GossipedChanges { changes: gossiped, count, .. } = gossip.recent_changes(at(1), &[]);
    assert!(gossiped.len() <= 40);
    assert!(
        has_missed_changes(Some(0), count, gossiped.len()),
        "the receiver detects that changes are missing"
    );
    assert!(!has_missed_changes(Some(count), count, gossiped.len()));
    assert_eq!(
        gossiped.last().map(|change| change.offset),
        Some(499),
        "the newest changes are included"
    );
}

#[rstest]
#[case(0, 1)]
#[case(8, 1)]
#[case(9, 2)]
#[case(70, 8)]
#[case(370, 8)]
fn reads_are_shared(#[case] hosts: u32, #[case] factor: u32) {
    assert_eq!(read_interval_factor(hosts), factor);
}

#[test]
fn peer_reads_count() {
    // Between two of its own reads, ten seconds apart, a host learns that its peers read the store.
    // A removal in its next read does not indicate an outage.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    directory.apply(at(0), position(1), DirectoryChange::Present(entry("s1", 2, Some(1), None)));
    for second in 1..10 {
        directory.on_peer_read(at(second * 1_000 + 20), at(second * 1_000));
    }
    directory.on_read(at(10_000), StoreEra::default());
    let effect = directory.apply(at(10_000), position(2), DirectoryChange::Absent(server_id("s1")));
    assert!(matches!(effect, DirectoryEffect::Removed(_)));
}

#[test]
fn peer_reports_outage() {
    // No host could read for a while. The first one to read again gossips it, and that starts the
    // grace period on this host, although it reads the store only moments later.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    directory.apply(at(0), position(1), DirectoryChange::Present(entry("s1", 2, Some(1), None)));
    let back = at(1_000) + STORE_OUTAGE_THRESHOLD * 2;
    directory.on_peer_read(back, back);
    let now = back + Duration::from_millis(300);
    directory.on_read(now, StoreEra::default());
    let effect = directory.apply(now, position(2), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(effect, DirectoryEffect::Unchanged);
    assert!(directory.is_recovering(now), "it reads again soon");
    assert_eq!(directory.expire(back + RECOVERY_GRACE_PERIOD).len(), 1);
    assert!(!directory.is_recovering(back + RECOVERY_GRACE_PERIOD));
}

#[test]
fn known_change_ignored() {
    // A change arrives from a peer first and is read from the store later.
    let mut directory = BackendDirectory::default();
    directory.on_read(at(0), StoreEra::default());
    let change = DirectoryChange::Present(entry("s1", 2, Some(1), None));
    assert!(directory.is_newer(&server_id("s1"), position(5)));
    let effect = directory.apply(at(10), position(5), change.clone());
    assert!(matches!(effect, DirectoryEffect::Joined(_)));
    assert!(!directory.is_newer(&server_id("s1"), position(5)));
    assert_eq!(directory.apply(at(20), position(5), change), DirectoryEffect::Unchanged);
    // A gossiped record that is older than the last one read has no effect.
    let late = DirectoryChange::Absent(server_id("s1"));
    assert_eq!(directory.apply(at(30), position(4), late), DirectoryEffect::Unchanged);
}

#[test]
fn lost_summaries_detected() {
    // One change per second, included in each summary of the next 1.2 seconds. A host that misses
    // single summaries still receives every change; one that misses all summaries of a change
    // detects the gap.
    let mut gossip = DirectoryGossip::default();
    let mut count_all = None;
    let mut count_some = None;
    for step in 0..40_u64 {
        if step % 5 == 0 {
            let change = DirectoryChange::Absent(server_id("s1"));
            gossip.on_change(at(step * 200), position(step), change);
        }
        let gossiped = gossip.recent_changes(at(step * 200), &[]);
        if step % 4 != 1 {
            assert!(
                !has_missed_changes(count_all, gossiped.count, gossiped.changes.len()),
                "step {step}"
            );
            count_all = Some(gossiped.count);
        }
        if !(3..=16).contains(&step) {
            assert_eq!(
                has_missed_changes(count_some, gossiped.count, gossiped.changes.len()),
                step == 17
            );
            count_some = Some(gossiped.count);
        }
    }
}

/// Read period of a single host.
const PERIOD: Duration = Duration::from_millis(1_300);
/// Interval between a host's summaries, in milliseconds.
const SUMMARY_MS: u64 = 400;

/// Simulates a fleet whose hosts all read at time 0; returns the longest time without a read in
/// milliseconds, and the number of reads. `is_alive` tells whether a host is alive at a time.
fn simulate_reads(hosts: u64, seed: u64, is_alive: impl Fn(u64, u64) -> bool) -> (u64, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedules = vec![ReadSchedule::default(); hosts as usize];
    let mut own = vec![0; hosts as usize];
    // The last read that each host has gossiped.
    let mut gossiped = vec![0; hosts as usize];
    let (mut last, mut longest, mut count) = (0, 0, 0);
    for now in (0..60_000_u64).step_by(20) {
        let newest = gossiped.iter().copied().max().unwrap_or(0);
        // A dead host still counts as heard for 900 ms.
        let heard =
            (0..hosts).filter(|host| is_alive(*host, now.saturating_sub(900))).count() as u32;
        for host in (0..hosts).filter(|host| is_alive(*host, now)) {
            let index = host as usize;
            let times = ReadTimes { own: at(own[index]), newest: at(own[index].max(newest)) };
            let is_tick = now - own[index] >= 1_300 && (now + host * 20) % 100 == 0;
            let factor = read_interval_factor(heard);
            if is_tick && schedules[index].is_due(at(now), times, PERIOD, factor, &mut random) {
                longest = longest.max(now - last);
                (last, own[index], count) = (now, now, count + 1);
            }
            if (now + host * 20) % SUMMARY_MS == 0 {
                gossiped[index] = own[index];
            }
        }
    }
    (longest, count)
}

#[test]
fn reads_without_gaps() {
    // Any change is read within two periods of a single host, and the fleet reads no more often
    // than twelve independent hosts.
    for seed in 0..40 {
        let (longest, count) = simulate_reads(70, seed, |_, _| true);
        assert!(longest <= 2_600, "seed {seed}: {longest} ms without a read");
        assert!(count <= 12 * 60_000 / 1_300, "seed {seed}: {count} reads");
    }
}

#[test]
fn reads_survive_host_loss() {
    // Two thirds of the hosts die after 20 seconds.
    for seed in 0..40 {
        let is_alive = |host: u64, now: u64| host.is_multiple_of(3) || now < 20_000;
        let (longest, _) = simulate_reads(70, seed, is_alive);
        assert!(longest <= 2_600, "seed {seed}: {longest} ms without a read");
    }
}

/// Lets hundreds of hosts read the same burst of changes within a second, with summaries that take a
/// while to arrive. Returns how many of the hosts told the changes.
fn simulate_burst(hosts: u64, seed: u64) -> usize {
    const CHANGES: u64 = 30;
    const PERIOD_MS: u64 = 600;
    const DELAY_MS: u64 = 200;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let reads: Vec<u64> = (0..hosts).map(|_| random.random_range(0..1_000)).collect();
    // Each host's next summary after its read.
    let mut sends: Vec<(u64, usize)> = reads
        .iter()
        .enumerate()
        .map(|(host, read_at)| (read_at + random.random_range(0..PERIOD_MS), host))
        .collect();
    sends.sort_unstable();
    let mut sent: Vec<(u64, ToldRange)> = Vec::new();
    let mut told = 0;
    for (send_at, host) in sends {
        let mut gossip = DirectoryGossip::default();
        gossip.on_read(at(reads[host]), at(reads[host]), position(CHANGES), false);
        for offset in 0..CHANGES {
            let change = DirectoryChange::Absent(server_id("s1"));
            gossip.on_change(at(reads[host]), position(offset), change);
        }
        let heard = sent.iter().filter(|(sent_at, _)| *sent_at + DELAY_MS <= send_at);
        let ranges: Vec<ToldRange> = heard.map(|(_, range)| *range).collect();
        let summary = gossip.recent_changes(at(send_at), &ranges);
        assert_eq!(summary.count, summary.changes.len() as u64);
        told += usize::from(!summary.changes.is_empty());
        sent.push((send_at, gossip.told()));
    }
    told
}

#[test]
fn burst_told_by_few() {
    for seed in 0..20 {
        let told = simulate_burst(295, seed);
        assert!((3..=60).contains(&told), "{told} of 295 hosts told the changes");
    }
}

#[test]
fn told_change_repeated() {
    // A change that a summary has carried is repeated whoever else has read it: the summary may be lost.
    let mut gossip = DirectoryGossip::default();
    gossip.on_change(at(0), position(7), DirectoryChange::Absent(server_id("s1")));
    assert_eq!(gossip.recent_changes(at(100), &[]).changes.len(), 1);
    let peers = [range(0, 8); 3];
    assert_eq!(gossip.recent_changes(at(500), &peers).changes.len(), 1);
    assert_eq!(gossip.recent_changes(at(900), &peers).count, 1);
}

#[test]
fn readers_of_another_era() {
    // An offset of an era that this host has not read in says nothing of this one's changes.
    let mut gossip = DirectoryGossip::default();
    gossip.on_change(at(0), position(7), DirectoryChange::Absent(server_id("s1")));
    let later = LogPosition { era: StoreEra(9), offset: LogOffset(100) };
    let from = LogPosition { era: StoreEra(9), offset: LogOffset(0) };
    let peers = [ToldRange { from, next: later }; 3];
    assert_eq!(gossip.recent_changes(at(100), &peers).changes.len(), 1);
}

#[rstest]
#[case::two(&[(0, 9), (0, 9)], 1)]
#[case::three(&[(0, 9), (7, 9), (0, 8)], 0)]
#[case::not_read(&[(0, 9), (0, 9), (0, 7)], 1)]
#[case::listing(&[(0, 9), (0, 9), (9, 9)], 1)]
#[case::untold(&[(0, 9), (0, 9), (8, 9)], 1)]
fn enough_tellers(#[case] peers: &[(u64, u64)], #[case] told: usize) {
    // Peers that read a change and don't tell it, as after a listing at the start, count for nobody.
    let mut gossip = DirectoryGossip::default();
    gossip.on_read(at(0), at(0), position(8), false);
    gossip.on_change(at(0), position(7), DirectoryChange::Absent(server_id("s1")));
    let peers: Vec<ToldRange> = peers.iter().map(|(from, next)| range(*from, *next)).collect();
    assert_eq!(gossip.recent_changes(at(100), &peers).changes.len(), told);
    assert_eq!(gossip.told().from, position(if told == 1 { 0 } else { 8 }));
}

#[test]
fn told_range_moves_on() {
    // A range begins after what is not told: a listing, changes that left the window or a burst's first.
    let mut gossip = DirectoryGossip::default();
    gossip.on_read(at(0), at(0), position(10), true);
    assert_eq!(gossip.told(), range(10, 10));
    gossip.on_read(at(1_000), at(990), position(20), false);
    gossip.recent_changes(at(1_500), &[]);
    assert_eq!(gossip.told(), range(10, 20));
    gossip.recent_changes(at(2_300), &[]);
    assert_eq!(gossip.told(), range(20, 20));
    gossip.on_read(at(3_000), at(2_990), position(100), false);
    for offset in 30..80 {
        gossip.on_change(at(3_000), position(offset), DirectoryChange::Absent(server_id("s1")));
    }
    assert_eq!(gossip.told(), range(40, 100));
    gossip.on_untold(position(90));
    assert_eq!(gossip.told(), range(91, 100));
}

#[test]
fn gaps_are_not_covered() {
    let mut coverage = DirectoryCoverage::default();
    coverage.on_peer_read(at(0), range(0, 5));
    assert_eq!(coverage.as_of(), None, "nothing is known before the first read");
    coverage.on_read(at(100), position(10));
    coverage.on_peer_read(at(300), range(8, 15));
    assert_eq!(coverage.as_of(), Some(at(300)));
    coverage.on_peer_read(at(500), range(16, 20));
    assert_eq!(coverage.as_of(), Some(at(300)), "the record at 15 may be missing");
    coverage.on_peer_read(at(400), range(15, 15));
    assert_eq!(coverage.as_of(), Some(at(400)), "a listing that ends there shows nothing newer");
    let other = LogPosition { era: StoreEra(2), offset: LogOffset(15) };
    coverage.on_peer_read(at(600), ToldRange { from: other, next: other });
    assert_eq!(coverage.as_of(), Some(at(400)), "of another era");
}
