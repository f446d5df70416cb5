//! Measures the time of one routing decision and the memory of the router's cache locations, by
//! number of replicas and of contexts (cached prompts).

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::request_router::RequestRouter;
use pomelostack_lib::request_router::RouteChoice;
use pomelostack_lib::request_router::RouteQuery;
use pomelostack_lib::request_router::ServerInfo;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Blocks of each prompt, 4,096 tokens in total.
const PROMPT_BLOCKS: usize = 256;
const DECISIONS: usize = 20_000;
const ZONES: usize = 4;

/// Measures decisions and load reports for each size, and prints one line for each.
pub fn run(seed: u64) {
    for replicas in [14, 140, 1_400] {
        for contexts in [10, 1_000, 10_000] {
            measure(seed, replicas, contexts);
        }
    }
}

fn measure(seed: u64, replicas: usize, contexts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service = ServiceName::try_from("briefing").expect("valid");
    let mut router = RequestRouter::new(zone(0), seed);
    let servers: Vec<_> = (0..replicas).map(|index| server_info(index, &service)).collect();
    router.set_servers(Timestamp::default(), servers);
    let keys: Vec<_> = router.servers().map(|(key, _)| key).collect();
    let prompts: Vec<Vec<BlockHash>> = (0..contexts)
        .map(|_| (0..PROMPT_BLOCKS).map(|_| BlockHash(rng.random())).collect())
        .collect();
    let query = |blocks| RouteQuery {
        service: &service,
        blocks,
        prompt_tokens: PROMPT_BLOCKS as u32 * 16,
        excluded: &[],
    };
    let now = Timestamp::from_millis(1_000);
    for prompt in &prompts {
        if let RouteChoice::Server(key) = router.choose(now, &query(prompt)) {
            router.on_dispatched(now, key, &query(prompt));
            router.on_ended(now, key);
        }
    }
    let report = LoadReport { running: 4, batch_limit: 16, age_ms: 500, ..LoadReport::default() };
    let started = Instant::now();
    for key in &keys {
        router.on_load_report(now, *key, &report);
    }
    let report_us = started.elapsed().as_secs_f64() * 1e6 / replicas as f64;
    let picks: Vec<usize> = (0..DECISIONS).map(|_| rng.random_range(0..contexts)).collect();
    let started = Instant::now();
    for pick in picks {
        black_box(router.choose(now, &query(&prompts[pick])));
    }
    let decision_us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    println!(
        "{}",
        json!({"case": "decision_cost", "seed": seed, "replicas": replicas, "contexts": contexts,
            "decision_us": decision_us, "report_us": report_us,
            "location_bytes": router.location_bytes()})
    );
}

fn zone(index: usize) -> ZoneName {
    ZoneName::try_from(format!("zone-{}", index % ZONES)).expect("valid")
}

fn server_info(index: usize, service: &ServiceName) -> ServerInfo {
    ServerInfo {
        id: ServerId::try_from(format!("model-{index}")).expect("valid"),
        host: HostId::try_from(format!("host-{index}")).expect("valid"),
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 9_000)),
        zone: zone(index),
        service: service.clone(),
        state: ServerState::Live,
        concurrency: 32,
    }
}
