//! Callers whose requests share one part of their prompts, some of which crash replicas.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use testutils::deployment_standin::ROUTE_HOST;

use crate::soak_run::CRASHING_PART;
use crate::soak_run::SoakWorld;
use crate::soak_run::lock;
use crate::work_plan::WORK_KEY;

/// Time between two requests of a caller.
const MIN_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 900;

/// One in so many requests crashes replicas.
const CRASHING_RATIO: u32 = 3;

/// Time after which a caller gives up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Deadline of a request in milliseconds.
const DEADLINE_MS: &str = "2500";

/// Route of the requests, streams that may be resumed.
const PATH_PREFIX: &str = "/brief/often/";

/// Code in the answer to a request that is refused because of its parts.
const REFUSAL_CODE: &str = "\"code\":207}";

/// Sends requests to a host until the run is over.
pub(crate) fn call_crashing(world: &SoakWorld, host: usize, front: SocketAddr, seed: u64) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0_u64;
    while world.is_running() {
        let pause = random.random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause));
        number += 1;
        let crashes = random.random_ratio(1, CRASHING_RATIO);
        let second = if crashes { CRASHING_PART } else { random.random_range(1..50) };
        let id = format!("{host}-p{number}");
        let reply = agent
            .post(format!("http://{front}{PATH_PREFIX}{id}/events-10"))
            .header("Host", ROUTE_HOST)
            .header("Request-Id", &id)
            .header("Request-Deadline", DEADLINE_MS)
            .header("Authorization", format!("Token {WORK_KEY}"))
            .header("Token-Counts", "900,20")
            .header("Prompt-Prefix", format!("aa:800,{second:x}:60,{host}{number:06x}:40"))
            .send_empty();
        // A host that is down gives no answer, and an answer may be cut with its replica.
        let Ok(mut reply) = reply else { continue };
        let Ok(body) = reply.body_mut().read_to_string() else { continue };
        if !crashes && body.contains(REFUSAL_CODE) {
            lock(&world.wrongly_refused).push(id);
        }
    }
}
