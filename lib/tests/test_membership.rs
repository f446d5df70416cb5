//! Membership under the failures that it handles: killed, paused, restarted and isolated hosts,
//! unresponsive connections, region partitions and stale gossip.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RegionName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::member_config::MembershipConfig;
use pomelostack_lib::member_event::ListedHost;
use pomelostack_lib::member_event::MemberAction;
use pomelostack_lib::member_event::MemberEvent;
use pomelostack_lib::member_record::MemberRecord;
use pomelostack_lib::member_record::MemberStatus;
use pomelostack_lib::member_record::first_incarnation;
use pomelostack_lib::member_section::SectionKind;
use pomelostack_lib::member_snapshot::MemberState;
use pomelostack_lib::member_snapshot::ViewFreshness;
use pomelostack_lib::membership::MembershipTable;
use pomelostack_lib::peer_message::MessageBody;
use pomelostack_lib::peer_message::PeerMessage;
use pomelostack_lib::timestamp::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use testutils::membership_sim::MembershipSim;
use testutils::naive_membership::NaiveMembership;

const JOIN: Duration = Duration::from_secs(15);
const DETECTION: Duration = Duration::from_secs(5);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn joined(members: usize, regions: usize) -> MembershipSim {
    let mut sim = MembershipSim::new(members, regions, 7);
    sim.run_for(JOIN);
    sim
}

fn assert_all_live(sim: &MembershipSim, members: usize) {
    for observer in 0..members {
        for index in (0..members).filter(|&index| index != observer) {
            let state = sim.state_of(observer, index);
            assert_eq!(state, Some(MemberState::Live), "{observer} sees {index}");
        }
    }
}

fn suspicions(sim: &MembershipSim, members: usize) -> u64 {
    (0..members).map(|index| sim.table(index).counters().suspicions).sum()
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        host: MembershipSim::host_id(index),
        incarnation: Incarnation(1),
        status: MemberStatus::Live,
        address: ([10, 0, 0, index as u8], 7_000).into(),
        region: RegionName::try_from("region-0").unwrap(),
        zone: ZoneName::try_from("zone-0").unwrap(),
    }
}

fn message_from(sender: MemberRecord, body: MessageBody) -> PeerMessage {
    PeerMessage {
        sender,
        body,
        table_digest: 0,
        config_offset: LogOffset(0),
        load_percent: 0,
        updates: Vec::new(),
        sections: Vec::new(),
        zones: Vec::new(),
    }
}

fn first_incarnation_of(index: usize) -> MemberRecord {
    MemberRecord { incarnation: first_incarnation(Incarnation(1)), ..record(index) }
}

/// Returns the table of host 0 after the members 1 to `count` probed it, and its time.
fn table_with_members(count: usize) -> (MembershipTable, Timestamp) {
    let now = Timestamp::from_millis(1_000);
    let mut table =
        MembershipTable::new(now, MembershipConfig::default(), record(0), Vec::new(), 1);
    for index in 1..=count {
        let probe = message_from(first_incarnation_of(index), MessageBody::Probe);
        table.on_event(now, MemberEvent::Request(probe));
    }
    (table, now)
}

fn status_of(table: &MembershipTable, index: usize) -> Option<MemberStatus> {
    let key = table.roster().key_of(&MembershipSim::host_id(index))?;
    Some(table.roster().get(key)?.record.status)
}

#[rstest]
#[case(1, 1)]
#[case(7, 1)]
#[case(40, 4)]
fn cold_start(#[case] members: usize, #[case] regions: usize) {
    let sim = joined(members, regions);
    assert_all_live(&sim, members);
    for index in 0..members {
        let freshness = sim.table(index).snapshot(sim.now).freshness;
        assert_eq!(freshness, ViewFreshness::Fresh, "view of {index}");
    }
}

#[rstest]
#[case(7, 1, &[3])]
#[case(3, 1, &[0, 1])]
#[case(2, 1, &[0])]
#[case(40, 1, &[0, 4, 8, 12, 16, 20, 24, 28, 32, 36])]
#[case(40, 4, &[0, 1, 2, 3])]
fn dead_hosts(#[case] members: usize, #[case] regions: usize, #[case] victims: &[usize]) {
    let mut sim = joined(members, regions);
    victims.iter().for_each(|&victim| sim.kill(victim));
    sim.run_for(DETECTION);
    for &victim in victims {
        assert_eq!(sim.count_routing_to(victim), 0, "hosts that route to {victim}");
    }
    let survivors = (0..members).filter(|index| !victims.contains(index));
    for index in survivors {
        assert_eq!(
            sim.count_routing_to(index),
            members - victims.len() - 1,
            "hosts that route to {index}"
        );
    }
}

#[rstest]
#[case(7, 1)]
#[case(40, 4)]
fn announced_leave(#[case] members: usize, #[case] regions: usize) {
    let mut sim = joined(members, regions);
    sim.send_event(5, MemberEvent::Leave);
    sim.run_for(seconds(2));
    assert_eq!(sim.count_routing_to(5), 0);
    assert_eq!(sim.state_of(0, 5), Some(MemberState::Leaving));
    sim.run_for(seconds(20));
    assert_eq!(sim.state_of(0, 5), Some(MemberState::Leaving));
    sim.send_event(5, MemberEvent::Left);
    sim.run_for(seconds(2));
    assert_eq!(sim.state_of(0, 5), None);
}

#[rstest]
#[case(MemberStatus::Live)]
#[case(MemberStatus::Suspected)]
fn stale_gossip(#[case] status: MemberStatus) {
    let (mut table, now) = table_with_members(2);
    let leaving = MemberRecord { status: MemberStatus::Leaving, ..first_incarnation_of(1) };
    table.on_event(now, MemberEvent::Request(message_from(leaving, MessageBody::Push)));
    let mut gossip = message_from(first_incarnation_of(2), MessageBody::Push);
    gossip.updates = vec![MemberRecord { status, ..first_incarnation_of(1) }];
    table.on_event(now, MemberEvent::Request(gossip));
    assert_eq!(status_of(&table, 1), Some(MemberStatus::Leaving));
}

#[test]
fn restarted_host() {
    let mut sim = joined(7, 1);
    sim.kill(2);
    sim.run_for(DETECTION);
    sim.restart(2);
    sim.run_for(seconds(5));
    assert_all_live(&sim, 7);
}

#[test]
fn stale_incarnation() {
    let (mut table, now) = table_with_members(1);
    let newer = MemberRecord { incarnation: first_incarnation(Incarnation(2)), ..record(1) };
    table.on_event(now, MemberEvent::Request(message_from(newer.clone(), MessageBody::Probe)));
    let actions = table.on_event(
        now,
        MemberEvent::Request(message_from(first_incarnation_of(1), MessageBody::Probe)),
    );
    assert_eq!(table.counters().stale_messages, 1);
    let Some(MemberAction::Reply(reply)) = actions.last() else { panic!("no reply") };
    assert_eq!(reply.body, MessageBody::Ack);
    assert!(reply.updates.contains(&newer));
}

#[test]
fn superseded_host() {
    let (mut table, now) = table_with_members(1);
    let newer = MemberRecord { incarnation: first_incarnation(Incarnation(2)), ..record(0) };
    let mut gossip = message_from(first_incarnation_of(1), MessageBody::Push);
    gossip.updates = vec![newer.clone()];
    let actions = table.on_event(now, MemberEvent::Request(gossip));
    assert!(actions.contains(&MemberAction::Superseded(newer.incarnation)));
}

#[rstest]
#[case(MemberStatus::Suspected)]
#[case(MemberStatus::Dead)]
fn refuted_suspicion(#[case] status: MemberStatus) {
    let (mut table, now) = table_with_members(1);
    let mut gossip = message_from(first_incarnation_of(1), MessageBody::Push);
    gossip.updates = vec![MemberRecord { status, ..first_incarnation_of(0) }];
    let actions = table.on_event(now, MemberEvent::Request(gossip));
    let Some(MemberAction::Reply(reply)) = actions.last() else { panic!("no reply") };
    assert!(reply.sender.supersedes(&MemberRecord { status, ..first_incarnation_of(0) }));
    assert_eq!(reply.sender.status, MemberStatus::Live);
}

#[test]
fn reconnect_first() {
    let (mut table, begin) = table_with_members(1);
    let mut now = begin;
    let mut opened = None;
    while status_of(&table, 1) == Some(MemberStatus::Live) {
        now = now + MembershipConfig::default().tick;
        assert!(now.since(begin) < seconds(5), "never suspected");
        let actions = table.on_event(now, MemberEvent::Tick);
        let is_open = |action: &MemberAction| matches!(action, MemberAction::OpenConnection(_));
        if actions.iter().any(is_open) {
            assert_eq!(status_of(&table, 1), Some(MemberStatus::Live));
            opened = Some(now);
        }
    }
    let indirect_probe_timeout = MembershipConfig::default().indirect_probe_timeout;
    assert!(opened.is_some_and(|opened| now.since(opened) >= indirect_probe_timeout));
}

#[rstest]
#[case(2)]
#[case(7)]
fn silent_connections(#[case] members: usize) {
    let mut sim = joined(members, 1);
    for from in 0..members {
        for to in 0..members {
            sim.silence_connections(from, to);
        }
    }
    sim.run_for(seconds(20));
    assert_all_live(&sim, members);
    assert_eq!(suspicions(&sim, members), 0);
    for index in 0..members {
        assert!(sim.table(index).counters().silent_connections > 0, "host {index}");
        assert!(sim.open_connections(index) <= members, "host {index}");
    }
}

#[test]
fn one_way_silence() {
    let mut sim = joined(7, 1);
    sim.silence_connections(0, 1);
    sim.run_for(seconds(10));
    assert_all_live(&sim, 7);
}

#[test]
fn region_partition() {
    let mut sim = joined(24, 4);
    for index in (0..24).filter(|index| index % 4 == 1) {
        sim.set_partition(index, 1);
    }
    sim.run_for(seconds(180));
    assert_eq!(sim.state_of(0, 1), Some(MemberState::Unreachable));
    assert_eq!(sim.state_of(1, 0), Some(MemberState::Unreachable));
    assert_eq!(sim.state_of(0, 4), Some(MemberState::Live));
    assert_eq!(sim.state_of(0, 2), Some(MemberState::Live));
    assert_eq!(sim.state_of(1, 5), Some(MemberState::Live));
    assert_eq!(suspicions(&sim, 24), 0);
    (0..24).for_each(|index| sim.set_partition(index, 0));
    sim.run_for(seconds(10));
    assert_all_live(&sim, 24);
}

#[test]
fn isolated_host() {
    let mut sim = joined(20, 1);
    sim.set_partition(3, 1);
    sim.run_for(seconds(30));
    let snapshot = sim.table(3).snapshot(sim.now);
    assert_eq!(snapshot.freshness, ViewFreshness::Stale);
    assert_eq!(snapshot.routable().count(), 0);
    sim.set_partition(3, 0);
    for _ in 0..40 {
        sim.run_for(Duration::from_millis(250));
        for index in (0..20).filter(|&index| index != 3) {
            let routers = sim.count_routing_to(index);
            let by_isolated = usize::from(sim.state_of(3, index) == Some(MemberState::Live));
            assert_eq!(routers - by_isolated, 18, "others route to {index}");
        }
    }
    assert_all_live(&sim, 20);
}

#[rstest]
#[case(7, 1)]
#[case(40, 4)]
fn paused_host(#[case] members: usize, #[case] regions: usize) {
    let mut sim = joined(members, regions);
    sim.pause(5, seconds(3));
    sim.run_for(seconds(3) + Duration::from_millis(1));
    assert_eq!(sim.table(5).counters().stalls, 1);
    sim.run_for(seconds(2));
    assert_all_live(&sim, members);
    assert_eq!(sim.table(5).snapshot(sim.now).freshness, ViewFreshness::Fresh);
}

#[test]
fn stale_view() {
    let (mut table, now) = table_with_members(2);
    let reply = message_from(first_incarnation_of(1), MessageBody::TableReply);
    let connection =
        pomelostack_lib::member_event::PeerConnection { address: record(1).address, number: 0 };
    table.on_event(now, MemberEvent::Reply(connection, reply));
    assert_eq!(table.snapshot(now).freshness, ViewFreshness::Fresh);
    let resumed = now + seconds(3);
    table.on_event(resumed, MemberEvent::Tick);
    assert_eq!(table.snapshot(resumed).freshness, ViewFreshness::Stale);
    assert_eq!(status_of(&table, 1), Some(MemberStatus::Live));
}

#[rstest]
#[case::unknown_listed(9, Some(HostState::Live), None)]
#[case::listed_live(1, Some(HostState::Live), Some(MemberState::Live))]
#[case::listed_leaving(1, Some(HostState::Leaving), Some(MemberState::Leaving))]
#[case::not_listed(1, None, Some(MemberState::Live))]
fn host_list(
    #[case] index: usize,
    #[case] listed: Option<HostState>,
    #[case] expected: Option<MemberState>,
) {
    let (mut table, now) = table_with_members(1);
    let address = record(index).address;
    let row =
        listed.map(|state| ListedHost { host: MembershipSim::host_id(index), address, state });
    table.on_event(now, MemberEvent::HostList(row.into_iter().collect()));
    let snapshot = table.snapshot(now);
    let state = snapshot.find(&MembershipSim::host_id(index)).map(|view| view.state);
    assert_eq!(state, expected);
    let actions = table.on_event(now, MemberEvent::Tick);
    let probes_address = actions.iter().any(|action| {
        matches!(action, MemberAction::Send(connection, _) if connection.address == address)
    });
    assert!(probes_address, "a listed or known host must be probed");
}

#[test]
fn candidate_joins() {
    let mut sim = joined(7, 1);
    sim.kill(6);
    sim.run_for(seconds(700));
    sim.restart(6);
    sim.run_for(seconds(5));
    assert_all_live(&sim, 7);
}

#[test]
fn config_offset() {
    let mut sim = joined(40, 4);
    sim.send_event(17, MemberEvent::ConfigOffset(LogOffset(88)));
    sim.run_for(seconds(2));
    for index in 0..40 {
        let offset = sim.table(index).snapshot(sim.now).config_offset;
        assert_eq!(offset, LogOffset(88), "host {index}");
    }
}

#[test]
fn crash_suspicions() {
    let mut sim = joined(40, 4);
    sim.send_event(17, MemberEvent::Publish(SectionKind::CrashSuspicions, vec![9; 8]));
    sim.send_event(17, MemberEvent::Publish(SectionKind::LoadDigest, vec![1; 8]));
    sim.run_for(seconds(5));
    for index in (0..40).filter(|&index| index != 17) {
        let sections = sim.table(index).snapshot(sim.now).sections;
        let holds = |kind| sections.iter().any(|section| section.kind == kind);
        assert!(holds(SectionKind::CrashSuspicions), "host {index}");
        assert_eq!(holds(SectionKind::LoadDigest), index % 4 == 1, "host {index}");
    }
}

#[test]
fn oversized_section() {
    let (mut table, now) = table_with_members(1);
    table.on_event(now, MemberEvent::Publish(SectionKind::LoadDigest, vec![0; 4_096]));
    assert_eq!(table.counters().dropped, 1);
    assert!(table.snapshot(now).sections.is_empty());
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Partition(usize, u32),
    Loss(u32),
    Leave(usize),
    Wait(u64),
}

const COMPARED_MEMBERS: usize = 9;

fn any_fault() -> impl Strategy<Value = Fault> {
    let host = 0..COMPARED_MEMBERS;
    prop_oneof![
        host.clone().prop_map(Fault::Kill),
        host.clone().prop_map(Fault::Restart),
        (host.clone(), 1..8_u64).prop_map(|(index, seconds)| Fault::Pause(index, seconds)),
        (host.clone(), 0..3_u32).prop_map(|(index, partition)| Fault::Partition(index, partition)),
        (0..20_u32).prop_map(Fault::Loss),
        host.prop_map(Fault::Leave),
        (1..10_u64).prop_map(Fault::Wait),
    ]
}

/// Simulation that runs all-to-all heartbeats beside the membership table of each host.
struct ComparedFleet {
    sim: MembershipSim,
    naive: Vec<NaiveMembership>,
    leaving: Vec<bool>,
    running: Vec<bool>,
}

impl ComparedFleet {
    fn start(regions: usize) -> Self {
        Self {
            sim: MembershipSim::new(COMPARED_MEMBERS, regions, 3),
            naive: vec![NaiveMembership::default(); COMPARED_MEMBERS],
            leaving: vec![false; COMPARED_MEMBERS],
            running: vec![true; COMPARED_MEMBERS],
        }
    }

    fn run(&mut self, count: u64) {
        for _ in 0..count {
            self.sim.run_for(seconds(1));
            for from in (0..COMPARED_MEMBERS).filter(|&from| self.sim.is_awake(from)) {
                for to in (0..COMPARED_MEMBERS).filter(|&to| self.sim.can_reach(from, to)) {
                    let host = MembershipSim::host_id(from);
                    self.naive[to].on_heartbeat(self.sim.now, host, self.leaving[from]);
                }
            }
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(index) => {
                self.running[index] = false;
                self.sim.kill(index);
            }
            Fault::Restart(index) if !self.running[index] => {
                self.running[index] = true;
                self.leaving[index] = false;
                self.sim.restart(index);
            }
            Fault::Pause(index, count) => self.sim.pause(index, seconds(count)),
            Fault::Partition(index, partition) => self.sim.set_partition(index, partition),
            Fault::Loss(percent) => self.sim.loss_percent = percent,
            Fault::Leave(index) if self.running[index] => {
                self.leaving[index] = true;
                self.sim.send_event(index, MemberEvent::Leave);
            }
            Fault::Wait(count) => self.run(count),
            Fault::Restart(_) | Fault::Leave(_) => {}
        }
    }

    fn heal(&mut self) {
        self.sim.loss_percent = 0;
        (0..COMPARED_MEMBERS).for_each(|index| self.sim.set_partition(index, 0));
        self.run(60);
    }

    fn live_by_table(&self, observer: usize) -> Vec<HostId> {
        let snapshot = self.sim.table(observer).snapshot(self.sim.now);
        let live = snapshot.members.iter().filter(|view| view.state == MemberState::Live);
        live.map(|view| view.host.clone()).collect()
    }

    fn live_by_naive(&self, observer: usize) -> Vec<HostId> {
        let own = MembershipSim::host_id(observer);
        let live = self.naive[observer].live(self.sim.now);
        live.into_iter().filter(|host| *host != own).collect()
    }
}

#[test]
fn matches_heartbeats() {
    let cases = std::env::var("MEMBERSHIP_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(48), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let schedules = (1..4_usize, proptest::collection::vec(any_fault(), 1..24));
    TestRunner::new_with_rng(config, rng)
        .run(&schedules, |(regions, faults)| {
            let mut fleet = ComparedFleet::start(regions);
            fleet.run(10);
            faults.iter().for_each(|fault| fleet.apply(fault));
            fleet.heal();
            for observer in (0..COMPARED_MEMBERS).filter(|&index| fleet.running[index]) {
                prop_assert_eq!(fleet.live_by_table(observer), fleet.live_by_naive(observer));
            }
            Ok(())
        })
        .unwrap();
}
