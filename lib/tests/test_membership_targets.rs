//! Service targets of membership in virtual time, under message loss: time to detect killed hosts,
//! time to accept paused hosts again, and traffic including piggybacked payloads.

use std::time::Duration;

use pomelostack_lib::member_event::MemberEvent;
use pomelostack_lib::member_section::SectionKind;
use rstest::rstest;
use testutils::membership_sim::MembershipSim;

const JOIN: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(100);
const LOSS_PERCENT: u32 = 5;
const KILLS: usize = 100;
const DETECTION_LIMIT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(3);
const RETURN_LIMIT: Duration = Duration::from_secs(2);
const BYTES_PER_S_LIMIT: u64 = 22_000;
/// HTTP/2 and TCP/IP bytes of one message, as reported by the bench case `peer_link_cost`.
const TRANSPORT_BYTES: u64 = 150;

/// Seed of the tests that run with a single seed.
const SEED: u64 = 11;

fn joined(members: usize, regions: usize, seed: u64) -> MembershipSim {
    let mut sim = MembershipSim::new(members, regions, seed);
    sim.run_for(JOIN);
    sim.loss_percent = LOSS_PERCENT;
    sim
}

/// Publishes one payload of each kind on every host.
fn publish_payloads(sim: &mut MembershipSim, members: usize) {
    for index in 0..members {
        let digest = MemberEvent::Publish(SectionKind::LoadDigest, vec![1; 32]);
        sim.send_event(index, digest);
        let suspicion = MemberEvent::Publish(SectionKind::CrashSuspicions, vec![1; 16]);
        sim.send_event(index, suspicion);
    }
}

#[rstest]
#[case(7, 1, 1, 11)]
#[case(50, 1, 4, 11)]
#[case(48, 4, 4, 11)]
#[case(48, 4, 4, 1)]
#[case(48, 4, 4, 2)]
#[case(100, 4, 4, 1)]
fn detection_within_limit(
    #[case] members: usize,
    #[case] regions: usize,
    #[case] at_once: usize,
    #[case] seed: u64,
) {
    let mut sim = joined(members, regions, seed);
    let mut late = 0;
    for round in 0..KILLS / at_once {
        let victims: Vec<usize> =
            (0..at_once).map(|index| (round * 5 + index * 11) % members).collect();
        publish_payloads(&mut sim, members);
        victims.iter().for_each(|&victim| sim.kill(victim));
        sim.run_for(DETECTION_LIMIT);
        late += victims.iter().filter(|&&victim| sim.count_routing_to(victim) > 0).count();
        victims.iter().for_each(|&victim| sim.restart(victim));
        sim.run_for(DETECTION_LIMIT);
    }
    assert!(late <= KILLS / 100, "{late} of {KILLS} kills were detected late");
}

#[rstest]
#[case(7, 1)]
#[case(50, 1)]
#[case(48, 4)]
fn resume_within_limit(#[case] members: usize, #[case] regions: usize) {
    let mut sim = joined(members, regions, SEED);
    for round in 0..10 {
        let victim = round * 5 % members;
        sim.pause(victim, PAUSE);
        sim.run_for(PAUSE + RETURN_LIMIT);
        for _ in 0..20 {
            assert_eq!(sim.count_routing_to(victim), members - 1, "round {round}");
            sim.run_for(STEP);
        }
    }
}

#[rstest]
#[case(7, 1)]
#[case(50, 1)]
#[case(100, 1)]
#[case(48, 4)]
fn bytes_within_limit(#[case] members: usize, #[case] regions: usize) {
    let mut sim = joined(members, regions, SEED);
    (0..members).for_each(|index| {
        sim.take_traffic(index);
    });
    let window = 10;
    for _ in 0..window / 2 {
        publish_payloads(&mut sim, members);
        sim.run_for(Duration::from_secs(2));
    }
    for index in 0..members {
        let traffic = sim.take_traffic(index);
        let rate = (traffic.bytes + traffic.messages * TRANSPORT_BYTES) / window;
        assert!(rate < BYTES_PER_S_LIMIT, "host {index} sends and receives {rate} bytes/s");
    }
}
