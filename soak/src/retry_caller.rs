//! Callers that keep a request's id over their tries, at one host over a kept connection or at others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::call_judge::CallOutcome;
use crate::call_judge::CallRecord;
use crate::soak_run::SoakWorld;
use crate::soak_run::lock;
use crate::work_caller::WorkCall;
use crate::work_caller::try_call;

/// Tries of a request.
const MAX_TRIES: usize = 4;

/// Longest pause before a request and before a try in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// One in so many tries goes to any of the hosts.
const MOVE_RATIO: u32 = 4;

/// Sends requests until the run is over, each again after a refusal.
pub(crate) fn call_again(world: &SoakWorld, home: usize, hosts: &[SocketAddr], seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut kept = BTreeMap::new();
    let mut number = 0_u64;
    while world.is_running() {
        number += 1;
        // No judge of a host's own requests reads an id that does not begin with the host's number.
        let call = WorkCall::draw_short(&mut random, format!("k{home}-{number}"));
        let mut tries: Vec<CallRecord> = Vec::new();
        let mut host = home;
        while tries.len() < MAX_TRIES {
            thread::sleep(Duration::from_millis(random.random_range(0..=MAX_PAUSE_MS)));
            let started_at = world.now();
            let record = try_call(world, host, hosts[host], &mut kept, &call);
            if let Some(last) = tries.last_mut() {
                last.followed_at = Some(started_at);
            }
            let Some(record) = record else { break };
            let is_refused = matches!(record.outcome, CallOutcome::Refused(_));
            tries.push(record);
            if !is_refused {
                break;
            }
            if random.random_ratio(1, MOVE_RATIO) {
                host = random.random_range(0..hosts.len());
            }
        }
        lock(&world.calls).extend(tries);
    }
}
