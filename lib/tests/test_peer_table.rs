//! What a host hears of its peers, and what it makes of silence.

use std::time::Duration;

use pomelostack_lib::gateway::peer_table::PeerTable;
use pomelostack_lib::gateway::quota_share::PeerSight;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::protos::gateway::HostSummary;
use pomelostack_lib::protos::gateway::TeamUse;
use pomelostack_lib::timestamp::Timestamp;

fn host(name: &str) -> HostId {
    HostId::try_from(name).expect("valid in tests")
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
        teams: vec![TeamUse { team: "club".to_owned(), spent, asked: spent }],
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
    let mut table = PeerTable::new(host("h1"));
    assert!(table.on_summary(at(0), summary("h2", 1, 5, 50)).is_some());
    assert!(table.on_summary(at(10), summary("h2", 1, 4, 40)).is_none());
    assert_eq!(spent(&table), 50);
}

#[test]
fn earlier_life_counts() {
    let mut table = PeerTable::new(host("h1"));
    table.on_summary(at(0), summary("h2", 1, 5, 50));
    table.on_summary(at(1_000), summary("h2", 2, 1, 7));
    assert_eq!(spent(&table), 57);
    table.expire(at(8_500), Duration::from_secs(8));
    assert_eq!(spent(&table), 7);
}

#[test]
fn malformed_summary() {
    let mut table = PeerTable::new(host("h1"));
    let nameless = HostSummary { host: "no such name!".to_owned(), ..summary("h2", 1, 1, 1) };
    assert!(table.on_summary(at(0), nameless).is_none());
    let homeless = HostSummary { address: "nowhere".to_owned(), ..summary("h2", 1, 1, 1) };
    assert!(table.on_summary(at(0), homeless).is_none());
    assert!(table.targets().is_empty());
}

#[test]
fn sides_of_cut() {
    let mut table = PeerTable::new(host("h1"));
    assert_eq!(
        table.sight(at(0)),
        PeerSight::Minority { group: 1, known: 1 },
        "nobody was heard yet"
    );
    assert!(!table.is_cut_off(at(0)), "it may be the only host");
    for (index, name) in ["h2", "h3", "h4", "h5"].iter().enumerate() {
        table.on_summary(at(index as u64), summary(name, 1, 1, 0));
    }
    assert_eq!(table.sight(at(100)), PeerSight::Majority { silent: 0, known: 5 });
    // Two go on; then one alone.
    table.on_summary(at(2_000), summary("h2", 1, 2, 0));
    table.on_summary(at(2_000), summary("h3", 1, 2, 0));
    assert_eq!(table.sight(at(2_100)), PeerSight::Majority { silent: 2, known: 5 });
    table.on_summary(at(4_000), summary("h2", 1, 3, 0));
    assert_eq!(table.sight(at(4_100)), PeerSight::Minority { group: 2, known: 5 });
    assert!(table.is_cut_off(at(4_100)));
}

#[test]
fn card_finds_peer() {
    let mut table = PeerTable::new(host("h1"));
    table.on_card(at(0), host("h1"), "10.0.0.1:7600".parse().expect("valid in tests"));
    table.on_card(at(0), host("h2"), "10.0.0.2:7600".parse().expect("valid in tests"));
    assert_eq!(table.targets(), vec!["10.0.0.2:7600".parse().expect("valid in tests")]);
    assert_eq!(table.sight(at(0)), PeerSight::Minority { group: 1, known: 2 });
    table.expire(at(60_000), Duration::from_secs(8));
    assert!(table.targets().is_empty());
}
