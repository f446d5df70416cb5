//! Plans for moving running streams when servers are reclaimed.
//!
//! Guards against lost answers, overcommitted targets, transfers that end too late, and more
//! recomputed tokens than resending the requests would cost.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use pomelostack_lib::evacuation::EvacuationChoice;
use pomelostack_lib::evacuation::EvacuationRates;
use pomelostack_lib::evacuation::EvacuationServer;
use pomelostack_lib::evacuation::EvacuationStream;
use pomelostack_lib::evacuation::plan_evacuation;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use slotmap::SlotMap;
use testutils::evacuation_wave::EvacuationWave;
use testutils::evacuation_wave::WavePolicy;

const NOW: Timestamp = Timestamp::from_millis(1_000);
const RATES: EvacuationRates =
    EvacuationRates { token_time: Duration::from_millis(30), transfer_tokens_per_second: 1_000 };

/// Returns three servers, the first of which leaves after `left_ms`.
fn servers(left_ms: u64, free_slots: u32) -> Vec<EvacuationServer> {
    let mut keys = SlotMap::<ServerKey, ()>::with_key();
    (0..3)
        .map(|n| EvacuationServer {
            key: keys.insert(()),
            leaves_at: (n == 0).then(|| NOW + Duration::from_millis(left_ms)),
            free_slots,
            cached_blocks: BTreeSet::new(),
        })
        .collect()
}

fn stream(sequence: u64, server: ServerKey, context: u32, remaining: u32) -> EvacuationStream {
    EvacuationStream {
        request: RequestId { origin: 1, sequence },
        server,
        blocks: Vec::new(),
        context_tokens: context,
        remaining_tokens: remaining,
        repeatable: true,
        transfer: None,
    }
}

fn choose(servers: &[EvacuationServer], stream: EvacuationStream) -> EvacuationChoice {
    plan_evacuation(NOW, servers, &[stream], RATES)[0].choice
}

fn target_of(choice: EvacuationChoice) -> Option<ServerKey> {
    match choice {
        EvacuationChoice::FinishInPlace => None,
        EvacuationChoice::Transfer { target, .. } => Some(target),
        EvacuationChoice::Recompute { target } => target,
    }
}

#[derive(Debug, PartialEq)]
enum Expected {
    Finish,
    Transfer,
    Recompute,
}

#[rstest]
#[case::ends_in_time(10_000, 500, 100, Expected::Finish)]
#[case::time_to_transfer(10_000, 500, 1_000, Expected::Transfer)]
#[case::no_time_to_transfer(550, 500, 1_000, Expected::Recompute)]
#[case::almost_no_time(1, 500, 1_000, Expected::Recompute)]
fn time_left(
    #[case] left_ms: u64,
    #[case] context: u32,
    #[case] remaining: u32,
    #[case] expected: Expected,
) {
    let servers = servers(left_ms, 4);
    let choice = choose(&servers, stream(1, servers[0].key, context, remaining));
    let found = match choice {
        EvacuationChoice::FinishInPlace => Expected::Finish,
        EvacuationChoice::Transfer { .. } => Expected::Transfer,
        EvacuationChoice::Recompute { .. } => Expected::Recompute,
    };
    assert_eq!(found, expected);
}

#[test]
fn non_repeatable() {
    let servers = servers(100, 4);
    let call = EvacuationStream { repeatable: false, ..stream(1, servers[0].key, 500, 1_000) };
    assert_eq!(choose(&servers, call), EvacuationChoice::FinishInPlace);
}

#[test]
fn cached_prefix() {
    let mut servers = servers(100, 4);
    let blocks: Vec<BlockHash> = (0..30).map(BlockHash).collect();
    servers[2].cached_blocks.extend(&blocks);
    let cached = EvacuationStream { blocks, ..stream(1, servers[0].key, 500, 1_000) };
    let moves = plan_evacuation(NOW, &servers, &[cached], RATES);
    assert_eq!(target_of(moves[0].choice), Some(servers[2].key));
    assert_eq!(moves[0].recomputed_tokens, 20);
}

#[test]
fn free_slot_limit() {
    let servers = servers(100, 1);
    let streams: Vec<_> = (0..3).map(|n| stream(n, servers[0].key, 500, 1_000)).collect();
    let moves = plan_evacuation(NOW, &servers, &streams, RATES);
    let placed: Vec<_> = moves.iter().filter_map(|planned| target_of(planned.choice)).collect();
    assert_eq!(placed.len(), 2);
    assert_ne!(placed[0], placed[1]);
}

#[test]
fn same_plan() {
    let servers = servers(5_000, 4);
    let mut streams: Vec<_> = (0..6).map(|n| stream(n, servers[0].key, 500, 1_000)).collect();
    let first = plan_evacuation(NOW, &servers, &streams, RATES);
    assert_eq!(first, plan_evacuation(NOW, &servers, &streams, RATES));
    for planned in &first {
        if let EvacuationChoice::Transfer { target, ready_at } = planned.choice {
            let moved = streams.iter_mut().find(|s| s.request == planned.request).unwrap();
            moved.transfer = Some((target, ready_at));
        }
    }
    let second = plan_evacuation(NOW, &servers, &streams, RATES);
    let choices = |moves: &[pomelostack_lib::evacuation::EvacuationMove]| {
        moves.iter().map(|m| (m.request, target_of(m.choice))).collect::<BTreeSet<_>>()
    };
    assert_eq!(choices(&first), choices(&second));
}

#[test]
fn target_reclaimed() {
    let mut servers = servers(5_000, 4);
    let mut moving = stream(1, servers[0].key, 500, 1_000);
    moving.transfer = Some((servers[1].key, NOW + Duration::from_millis(300)));
    servers[1].leaves_at = Some(NOW + Duration::from_millis(2_000));
    let choice = choose(&servers, moving);
    assert_eq!(target_of(choice), Some(servers[2].key));
}

#[test]
fn all_leaving() {
    let mut servers = servers(100, 4);
    for server in &mut servers {
        server.leaves_at = Some(NOW);
    }
    let choice = choose(&servers, stream(1, servers[0].key, 500, 1_000));
    assert_eq!(choice, EvacuationChoice::Recompute { target: None });
}

/// Plays seeded waves under both policies and checks that the same answers finish under both.
/// Returns the recomputed tokens of each wave, first of resending, then of the plan.
fn play_waves(notice_ms: &Range<u64>) -> Vec<(u64, u64)> {
    let play = |seed| {
        let wave = EvacuationWave::draw(seed, notice_ms.clone());
        let resent = wave.clone().play(WavePolicy::Resend);
        let planned = wave.play(WavePolicy::Planned);
        assert_eq!(planned.finished, resent.finished, "seed {seed}");
        (resent.recomputed, planned.recomputed)
    };
    (0..20).map(play).collect()
}

/// The plan recomputes at most a quarter of the tokens that resending recomputes.
#[test]
fn recomputed_tokens() {
    let waves = play_waves(&(200..15_000));
    let naive: u64 = waves.iter().map(|(naive, _)| naive).sum();
    let planned: u64 = waves.iter().map(|(_, planned)| planned).sum();
    assert!(planned * 4 <= naive, "{planned} of {naive}");
}

/// On very short notice the transfer rate is the limit, but no wave costs more than resending.
#[test]
fn short_notice() {
    for (seed, (naive, planned)) in play_waves(&(1..1_000)).into_iter().enumerate() {
        assert!(planned <= naive, "seed {seed}: {planned} of {naive}");
    }
}
