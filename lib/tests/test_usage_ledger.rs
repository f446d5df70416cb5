//! Usage windows in summaries: told when they change, and from time to time after that.

use pomelostack_lib::gateway::usage_ledger::TeamCounts;
use pomelostack_lib::gateway::usage_ledger::UsageLedger;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::TeamName;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const WINDOW_MS: u64 = 5_000;

fn team(number: u32) -> TeamName {
    TeamName::try_from(format!("team-{number}")).expect("valid in tests")
}

fn ledger(host: &str) -> UsageLedger {
    let host = HostId::try_from(host).expect("valid in tests");
    UsageLedger::new((host, Incarnation(1)), WINDOW_MS)
}

fn told(ledger: &mut UsageLedger, sequence: u64) -> Vec<u64> {
    ledger.windows_to_tell(sequence).into_iter().map(|(window, _)| window).collect()
}

#[test]
fn changed_window() {
    let mut ledger = ledger("h1");
    for sequence in 1..=20 {
        ledger.on_request_started(1, &team(0));
        assert_eq!(told(&mut ledger, sequence), [0]);
    }
}

#[test]
fn unchanged_window() {
    let mut ledger = ledger("h1");
    ledger.on_request_started(1, &team(0));
    let carried = (1..=100).filter(|sequence| !told(&mut ledger, *sequence).is_empty()).count();
    assert!((20..=22).contains(&carried), "{carried}");
    // A request of an earlier window that starts late is told at once.
    ledger.on_request_started(WINDOW_MS, &team(0));
    ledger.on_request_started(1, &team(1));
    assert_eq!(told(&mut ledger, 101), [0, 1]);
}

#[test]
fn lost_summaries() {
    // A third of the summaries is lost, and a host that starts late hears only the last few.
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sender = ledger("h1");
    let mut receivers = [ledger("h2"), ledger("h3")];
    let owner = (HostId::try_from("h1").expect("valid in tests"), Incarnation(1));
    for sequence in 1..=60 {
        if sequence <= 24 {
            sender.on_request_started(sequence * 200, &team(random.random_range(0..40)));
        }
        for (window, counts) in sender.windows_to_tell(sequence) {
            let is_late = [false, sequence < 30];
            for (receiver, is_late) in receivers.iter_mut().zip(is_late) {
                if !is_late && random.random_bool(0.67) {
                    receiver.merge_counts(owner.clone(), window, counts.clone());
                }
            }
        }
    }
    let whole: TeamCounts = sender.total(0);
    assert_eq!(whole.values().sum::<u64>(), 24);
    assert!(receivers.iter().all(|receiver| receiver.total(0) == whole));
}
