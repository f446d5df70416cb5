//! State of peers by gossip: summaries, silent hosts, partitions and relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pomelostack_lib::gateway::peer_table::PeerTable;
use pomelostack_lib::gateway::peer_table::RecordScope;
use pomelostack_lib::gateway::peer_table::SummaryOutcome;
use pomelostack_lib::gateway::peer_table::SummaryTargets;
use pomelostack_lib::gateway::quota::quota_limiter::PeerReachability;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::part_suspects::FleetView;
use pomelostack_lib::protos::gateway::HostSummary;
use pomelostack_lib::protos::gateway::TeamUse;
use pomelostack_lib::timestamp::Timestamp;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::sample::Index;
use prost::Message as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn host(name: &str) -> HostId {
    HostId::try_from(name).expect("valid in tests")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("valid in tests")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn summary(name: &str, incarnation: u64, sequence: u64, spent: u64) -> HostSummary {
    HostSummary {
        host: name.to_owned(),
        incarnation,
        sequence,
        address: "10.0.0.9:7600".to_owned(),
        teams: vec![TeamUse { team: "club".to_owned(), spent, asked: spent, ..TeamUse::default() }],
        ..HostSummary::default()
    }
}

fn spent(table: &PeerTable) -> u64 {
    table
        .spending()
        .get(&TeamName::try_from("club").expect("valid in tests"))
        .map_or(0, |sum| sum.spent)
}

#[test]
fn late_summary_ignored() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    assert_eq!(table.on_summary(at(0), summary("h2", 1, 5, 50)), SummaryOutcome::PeerHeard);
    assert_eq!(table.on_summary(at(10), summary("h2", 1, 4, 40)), SummaryOutcome::Ignored);
    assert_eq!(spent(&table), 50);
}

#[test]
fn earlier_life_counts() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    table.on_summary(at(0), summary("h2", 1, 5, 50));
    table.on_summary(at(1_000), summary("h2", 2, 1, 7));
    assert_eq!(spent(&table), 57);
    table.expire(at(8_500), Duration::from_secs(8));
    assert_eq!(spent(&table), 7);
}

#[test]
fn malformed_summary() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    let nameless = HostSummary { host: "no such name!".to_owned(), ..summary("h2", 1, 1, 1) };
    assert_eq!(table.on_summary(at(0), nameless), SummaryOutcome::Ignored);
    let homeless = HostSummary { address: "nowhere".to_owned(), ..summary("h2", 1, 1, 1) };
    assert_eq!(table.on_summary(at(0), homeless), SummaryOutcome::Ignored);
    assert_eq!(table.targets(at(60_000), 1), SummaryTargets::default());
}

/// In the first moments of a cut all peers count as live, and a host took what it knew for the newest (ORDER).
#[rstest]
fn cut_has_no_news(#[values(3, 8, 84, 295)] hosts: u64) {
    let mut table = PeerTable::new(host("h0"), zone("north"));
    let hear_all = |table: &mut PeerTable, now: Timestamp, sequence: u64| {
        for number in 1..hosts {
            table.on_summary(now, summary(&format!("h{number}"), 1, sequence, 0));
        }
    };
    hear_all(&mut table, at(1_000), 1);
    assert!(!table.is_partitioned(at(1_600)), "the cut is not known yet");
    assert!(!table.has_news_since(at(1_600), at(1_100)));
    hear_all(&mut table, at(1_400), 2);
    assert!(table.has_news_since(at(1_600), at(1_100)));
    assert!(!table.has_news_since(at(1_600), at(1_500)));
}

#[test]
fn only_host_has_news() {
    let table = PeerTable::new(host("h0"), zone("north"));
    assert!(table.has_news_since(at(1_600), at(1_100)));
}

#[test]
fn partition_sides() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    assert_eq!(
        table.reachability(at(0)),
        PeerReachability::Minority { group: 1, known: 1 },
        "nobody was heard yet"
    );
    assert!(!table.is_partitioned(at(0)), "it may be the only host");
    for (index, name) in ["h2", "h3", "h4", "h5"].iter().enumerate() {
        table.on_summary(at(index as u64), summary(name, 1, 1, 0));
    }
    assert_eq!(table.reachability(at(100)), PeerReachability::Majority { silent: 0, known: 5 });
    // Two peers stay live; then only one.
    table.on_summary(at(2_000), summary("h2", 1, 2, 0));
    table.on_summary(at(2_000), summary("h3", 1, 2, 0));
    assert_eq!(table.reachability(at(2_100)), PeerReachability::Majority { silent: 2, known: 5 });
    table.on_summary(at(4_000), summary("h2", 1, 3, 0));
    assert_eq!(table.reachability(at(4_100)), PeerReachability::Minority { group: 2, known: 5 });
    assert!(table.is_partitioned(at(4_100)));
}

#[test]
fn missing_hosts() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    for name in ["h2", "h3", "h4", "h5"] {
        table.on_summary(at(0), summary(name, 1, 1, 0));
    }
    assert_eq!(table.fleet_view(at(100)), FleetView::Whole);
    // One host ends and says so; then another one falls silent.
    table.on_summary(at(200), HostSummary { leaving: true, ..summary("h2", 1, 2, 0) });
    for name in ["h3", "h4", "h5"] {
        table.on_summary(at(2_000), summary(name, 1, 2, 0));
    }
    assert_eq!(table.fleet_view(at(2_500)), FleetView::Whole);
    table.on_summary(at(4_000), summary("h3", 1, 3, 0));
    table.on_summary(at(4_000), summary("h5", 1, 3, 0));
    assert_eq!(table.fleet_view(at(4_100)), FleetView::Most);
    // The host that left starts again, and is silent.
    table.on_summary(at(4_200), summary("h2", 2, 1, 0));
    table.on_summary(at(6_500), summary("h4", 1, 3, 0));
    table.on_summary(at(6_500), summary("h3", 1, 4, 0));
    table.on_summary(at(6_500), summary("h5", 1, 4, 0));
    assert_eq!(table.fleet_view(at(6_600)), FleetView::Most);
}

#[test]
fn listed_peer_found() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    table.on_listed(at(0), host("h1"), "10.0.0.1:7600".parse().expect("valid in tests"));
    table.on_listed(at(0), host("h2"), "10.0.0.2:7600".parse().expect("valid in tests"));
    assert_eq!(
        table.targets(at(0), 1).direct,
        vec!["10.0.0.2:7600".parse().expect("valid in tests")]
    );
    assert_eq!(table.reachability(at(0)), PeerReachability::Minority { group: 1, known: 2 });
    table.expire(at(60_000), Duration::from_secs(8));
    assert_eq!(table.targets(at(60_000), 1), SummaryTargets::default());
}

/// Hosts of a large fleet, spread evenly over the zones.
const FLEET: u64 = 84;
/// Availability zones of the large fleet.
const ZONES: u64 = 5;
/// Time between two summaries of a host.
const PERIOD_MS: u64 = 400;

fn fleet_host(index: u64) -> HostId {
    host(&format!("h{index:02}"))
}

fn fleet_zone(index: u64) -> ZoneName {
    zone(&format!("zone-{}", index % ZONES))
}

fn fleet_address(index: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_600))
}

/// Fleet whose summaries arrive at once, unless the sender or receiver is dead.
struct FleetSimulation {
    tables: Vec<PeerTable>,
    dead: Vec<bool>,
    /// Datagrams between zones so far.
    between_zones: u64,
    /// Datagrams sent by the busiest host in one period.
    most_sent: u64,
}

impl FleetSimulation {
    fn start() -> Self {
        let tables = (0..FLEET).map(|own| {
            let mut table = PeerTable::new(fleet_host(own), fleet_zone(own));
            (0..FLEET)
                .for_each(|peer| table.on_listed(at(0), fleet_host(peer), fleet_address(peer)));
            table
        });
        let tables = tables.collect();
        Self { tables, dead: vec![false; FLEET as usize], between_zones: 0, most_sent: 0 }
    }

    fn deliver(&mut self, now: Timestamp, from: u64, to: SocketAddr, sequence: u64) -> bool {
        let SocketAddr::V4(to) = to else { return false };
        let receiver = u64::from(to.ip().octets()[3]);
        if self.dead[receiver as usize] {
            return false;
        }
        let summary = HostSummary {
            address: fleet_address(from).to_string(),
            zone: fleet_zone(from).to_string(),
            ..summary(fleet_host(from).as_str(), 1, sequence, 1)
        };
        self.tables[receiver as usize].on_summary(now, summary);
        true
    }

    fn run_period(&mut self, number: u64) {
        let now = at(number * PERIOD_MS);
        let mut sent = vec![0; FLEET as usize];
        for from in (0..FLEET).filter(|from| !self.dead[*from as usize]).collect::<Vec<_>>() {
            let targets = self.tables[from as usize].targets(now, number);
            sent[from as usize] += (targets.direct.len() + targets.relays.len()) as u64;
            for to in targets.direct {
                self.count_between(from, to);
                self.deliver(now, from, to, number);
            }
            for relay in targets.relays {
                self.count_between(from, relay);
                if !self.deliver(now, from, relay, number) {
                    continue;
                }
                let SocketAddr::V4(address) = relay else { continue };
                let relay = usize::from(address.ip().octets()[3]);
                let near: Vec<SocketAddr> = self.tables[relay].zone_peers().collect();
                sent[relay] += near.len() as u64;
                near.into_iter().for_each(|to| {
                    self.deliver(now, from, to, number);
                });
            }
        }
        self.most_sent = sent.into_iter().max().unwrap_or(0);
    }

    fn count_between(&mut self, from: u64, to: SocketAddr) {
        let SocketAddr::V4(to) = to else { return };
        let receiver = u64::from(to.ip().octets()[3]);
        self.between_zones += u64::from(receiver % ZONES != from % ZONES);
    }

    fn min_live_peers(&self, now: Timestamp) -> usize {
        let living = self.tables.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
        living.map(|(table, _)| table.live_peers(now)).min().unwrap_or(0)
    }
}

#[test]
fn large_fleet_relays() {
    let mut fleet = FleetSimulation::start();
    (1..=2).for_each(|number| fleet.run_period(number));
    fleet.between_zones = 0;
    (3..=12).for_each(|number| fleet.run_period(number));
    assert_eq!(fleet.min_live_peers(at(12 * PERIOD_MS)), FLEET as usize - 1);
    // One datagram per host, other zone and period; sending to all would take 67 per host.
    assert_eq!(fleet.between_zones, FLEET * (ZONES - 1) * 10);
    // Forwarding is spread evenly: own zone, other zones, and twice an even part of the relayed
    // ones.
    assert!(fleet.most_sent <= (FLEET / ZONES + 1) * (1 + 2 * ZONES), "{}", fleet.most_sent);
}

#[test]
fn dead_relays_skipped() {
    let mut fleet = FleetSimulation::start();
    (1..=5).for_each(|number| fleet.run_period(number));
    // Half of the hosts die at once; the others stay live for each other.
    (0..FLEET)
        .filter(|index| index.is_multiple_of(2))
        .for_each(|index| fleet.dead[index as usize] = true);
    let living = FLEET as usize / 2;
    let mut least = usize::MAX;
    for number in 6..=30 {
        fleet.run_period(number);
        if number > 6 + 4 {
            least = least.min(fleet.min_live_peers(at(number * PERIOD_MS)));
        }
    }
    assert_eq!(least, living - 1);
}

#[test]
fn silent_zone_rediscovered() {
    let mut fleet = FleetSimulation::start();
    (1..=5).for_each(|number| fleet.run_period(number));
    let in_zone = |index: &u64| index.is_multiple_of(ZONES);
    (0..FLEET).filter(in_zone).for_each(|index| fleet.dead[index as usize] = true);
    (6..=25).for_each(|number| fleet.run_period(number));
    (0..FLEET).filter(in_zone).for_each(|index| fleet.dead[index as usize] = false);
    (26..=29).for_each(|number| fleet.run_period(number));
    assert_eq!(fleet.min_live_peers(at(29 * PERIOD_MS)), FLEET as usize - 1);
}

#[test]
fn totals_match_summaries() {
    // Incarnations appear, continue and expire; the incremental sums equal those computed from
    // scratch.
    let mut table = PeerTable::new(host("h1"), zone("north"));
    let mut expected: BTreeMap<(u64, u64), (u64, u64)> = BTreeMap::new();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for step in 0..2_000 {
        let now = step * 50;
        let (index, incarnation) = (random.random_range(2..9), random.random_range(1..4));
        let spending = random.random_range(0..100);
        let told = summary(&format!("h{index}"), incarnation, step + 1, spending);
        table.on_summary(at(now), told);
        expected.insert((index, incarnation), (now, spending));
        if step % 7 == 0 {
            table.expire(at(now), Duration::from_millis(700));
            expected.retain(|_, (heard, _)| now - *heard < 700);
        }
        assert_eq!(spent(&table), expected.values().map(|(_, spending)| spending).sum::<u64>());
    }
}

#[test]
fn huge_spending() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    table.on_summary(at(0), summary("h2", 1, 1, u64::MAX));
    table.on_summary(at(0), summary("h3", 1, 1, u64::MAX));
    assert!(spent(&table) > 0);
    table.expire(at(60_000), Duration::from_secs(8));
    assert_eq!(spent(&table), 0);
}

#[test]
fn dead_or_partitioned() {
    // Four of six hosts fall silent. While six are known to be living this host may be partitioned;
    // once two are, the others are dead.
    let mut table = PeerTable::new(host("h1"), zone("north"));
    for name in ["h2", "h3", "h4", "h5", "h6"] {
        table.on_summary(at(0), summary(name, 1, 1, 0));
    }
    table.on_summary(at(3_000), summary("h2", 1, 2, 0));
    assert!(table.is_partitioned_among(at(3_100), None));
    assert!(table.is_partitioned_among(at(3_100), Some(6)));
    assert!(!table.is_partitioned_among(at(3_100), Some(2)));
    // A larger number than was ever heard from changes nothing.
    assert!(table.is_partitioned_among(at(3_100), Some(12)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_datagrams(datagrams in vec(vec(any::<u8>(), 0..200), 0..20)) {
        // Datagrams come from the network: arbitrary bytes are merged or skipped without a panic.
        let mut table = PeerTable::new(host("h1"), zone("north"));
        for (index, bytes) in datagrams.iter().enumerate() {
            if let Ok(summary) = HostSummary::decode(bytes.as_slice()) {
                table.on_summary(at(index as u64), summary);
            }
        }
        table.expire(at(60_000), Duration::from_secs(8));
        prop_assert!(table.spending().is_empty());
    }

    #[test]
    fn corrupted_summaries(
        overwrites in vec((any::<Index>(), any::<u8>()), 0..6),
        spent in any::<u64>(),
    ) {
        let mut bytes = summary("h2", 1, 1, spent).encode_to_vec();
        for (index, value) in overwrites {
            let at = index.index(bytes.len());
            bytes[at] = value;
        }
        let mut table = PeerTable::new(host("h1"), zone("north"));
        if let Ok(summary) = HostSummary::decode(bytes.as_slice()) {
            table.on_summary(at(0), summary);
        }
        prop_assert!(table.live_peers(at(1)) <= 1);
    }
}

#[test]
fn zone_recorder_failover() {
    let mut fleet = FleetSimulation::start();
    (1..=3).for_each(|number| fleet.run_period(number));
    let scopes = |fleet: &FleetSimulation, now: Timestamp| {
        let tables = fleet.tables.iter().zip(&fleet.dead).filter(|(_, dead)| !**dead);
        let scopes = tables.map(|(table, _)| table.record_scope(now));
        scopes.filter(|scope| *scope == RecordScope::Zone).count() as u64
    };
    assert_eq!(scopes(&fleet, at(3 * PERIOD_MS)), ZONES);
    // The zone's recording host reports the spending of all others in its zone.
    let spent: u64 = fleet.tables[0].zone_spending().values().map(|sum| sum.spent).sum();
    assert_eq!(spent, (0..FLEET).filter(|index| index.is_multiple_of(ZONES)).count() as u64 - 1);
    // The first host of each zone dies, and the next one takes over.
    (0..ZONES).for_each(|index| fleet.dead[index as usize] = true);
    (4..=7).for_each(|number| fleet.run_period(number));
    assert_eq!(scopes(&fleet, at(7 * PERIOD_MS)), ZONES);
}

#[test]
fn small_fleet_scope() {
    let mut table = PeerTable::new(host("h2"), zone("north"));
    table.on_summary(at(0), HostSummary { zone: "north".to_owned(), ..summary("h1", 1, 1, 5) });
    assert_eq!(table.record_scope(at(1)), RecordScope::Own);
}

#[rstest]
#[case::unstated(0, 900)]
#[case::small_fleet(400, 1_000)]
#[case::large_fleet(600, 1_500)]
#[case::absurd(u32::MAX, 5_000)]
fn silence_by_stated_period(#[case] period_ms: u32, #[case] timeout_ms: u64) {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    let stated = |sequence| HostSummary { period_ms, ..summary("h2", 1, sequence, 0) };
    assert_eq!(table.on_summary(at(0), stated(1)), SummaryOutcome::PeerHeard);
    assert_eq!(table.live_peers(at(timeout_ms - 1)), 1);
    assert_eq!(table.live_peers(at(timeout_ms)), 0);
    assert_eq!(table.on_summary(at(timeout_ms), stated(2)), SummaryOutcome::PeerHeard);
    assert_eq!(table.on_summary(at(timeout_ms + 1), stated(3)), SummaryOutcome::Merged);
}

#[test]
fn invalid_team_names() {
    let mut table = PeerTable::new(host("h1"), zone("north"));
    let mut named = summary("h2", 1, 1, 50);
    named.teams.push(TeamUse {
        team: "no name".to_owned(),
        spent: 7,
        asked: 7,
        ..TeamUse::default()
    });
    named.teams.push(TeamUse { team: String::new(), spent: 7, asked: 7, ..TeamUse::default() });
    table.on_summary(at(0), named);
    assert_eq!(table.spending().len(), 1);
    table.on_summary(at(10), summary("h2", 1, 2, 20));
    assert_eq!(spent(&table), 20);
    table.expire(at(60_000), Duration::from_secs(8));
    assert!(table.spending().is_empty());
}

/// Guards against hosts that start together and each spend a quota as if there were two of them.
#[test]
fn joining_hosts() {
    let mut table = PeerTable::new(host("h0"), zone("north"));
    for number in 1..8 {
        let address = "10.0.0.9:7600".parse().expect("valid in tests");
        table.on_listed(at(0), host(&format!("h{number}")), address);
    }
    table.on_summary(at(100), summary("h1", 1, 1, 0));
    assert_eq!(table.reachability(at(200)), PeerReachability::Minority { group: 2, known: 8 });
    table.on_summary(at(1_800), summary("h1", 1, 2, 0));
    assert_eq!(table.reachability(at(2_000)), PeerReachability::Majority { silent: 0, known: 2 });
}

#[test]
fn recorder_replaced() {
    // The record of a zone's former recorder holds the spending of hosts that are still heard from.
    let mut table = PeerTable::new(host("h1"), zone("north"));
    let in_zone = |name, sequence, spent| HostSummary {
        zone: "north".to_owned(),
        ..summary(name, 1, sequence, spent)
    };
    table.on_record(at(0), in_zone("h0", 0, 100));
    table.on_summary(at(100), in_zone("h2", 1, 100));
    assert_eq!(spent(&table), 100);
    let recorded = table.zone_spending();
    let recorded = recorded.values().map(|spending| spending.spent).sum::<u64>();
    assert_eq!(recorded, 100, "the next record");
}
