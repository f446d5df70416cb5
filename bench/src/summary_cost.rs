//! Measures what a gateway host spends on the summaries of its peers, by number of hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::gateway::duty_lease::DutyTimings;
use pomelostack_lib::gateway::gateway_metrics::GatewayMetrics;
use pomelostack_lib::gateway::gateway_settings::GatewaySettings;
use pomelostack_lib::gateway::gateway_state::GatewayState;
use pomelostack_lib::gateway::host_summary;
use pomelostack_lib::gateway::quota::quota_limiter::QuotaBounds;
use pomelostack_lib::gateway::retry_limiter::RetryBounds;
use pomelostack_lib::gateway::rollout::exposure_meter::RolloutBounds;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::gateway::HostSummary;
use pomelostack_lib::protos::gateway::ServerUse;
use pomelostack_lib::protos::gateway::TeamUse;
use pomelostack_lib::protos::gateway::WindowUse;
use pomelostack_lib::timestamp::wall_clock_ms;
use prost::Message as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Summaries of each host.
const ROUNDS: u64 = 20;
const TEAMS: u32 = 40;
/// Teams with spending in the window of one host.
const ACTIVE_TEAMS: u32 = 16;
const SERVERS: u32 = 160;
/// Servers with requests of one host.
const USED_SERVERS: u32 = 10;
const USAGE_WINDOW_MS: u64 = 5_000;
/// Windows whose counts a summary carries, each with some teams.
const WINDOWS: u64 = 3;
const WINDOW_TEAMS: u32 = 8;

/// Measures each size, and prints one line for each.
pub fn run(seed: u64) {
    for hosts in [30, 100, 295] {
        measure(seed, hosts);
    }
}

fn measure(seed: u64, hosts: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let state = host_state();
    let mut merge_time = Duration::ZERO;
    let mut apply_time = Duration::ZERO;
    let mut bytes = 0;
    for sequence in 1..=ROUNDS {
        let summaries: Vec<Vec<u8>> =
            (1..hosts).map(|host| summary(&mut rng, host, sequence).encode_to_vec()).collect();
        bytes += summaries.iter().map(Vec::len).sum::<usize>();
        let begin = Instant::now();
        for encoded in &summaries {
            let decoded = HostSummary::decode(encoded.as_slice()).expect("encoded above");
            host_summary::on_summary(&state, decoded);
        }
        merge_time += begin.elapsed();
        let begin = Instant::now();
        host_summary::apply_peer_summaries(&state);
        apply_time += begin.elapsed();
    }
    let summaries = (hosts - 1) * ROUNDS;
    println!(
        "{}",
        json!({
            "case": "summary-cost",
            "hosts": hosts,
            "bytes": bytes as u64 / summaries,
            "merge_us": merge_time.as_secs_f64() * 1e6 / summaries as f64,
            "apply_us": apply_time.as_secs_f64() * 1e6 / ROUNDS as f64,
        })
    );
}

fn host_state() -> Rc<GatewayState> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = GatewaySettings {
        host: HostId::try_from("h0").expect("valid"),
        zone: zone(0),
        first_start: true,
        front: address,
        ready: address,
        metrics: address,
        summaries: address,
        grace: Duration::from_secs(8),
        retries: RetryBounds { ratio: 0.2, window: Duration::from_secs(10), allowance: 630.0 },
        quotas: QuotaBounds {
            window: Duration::from_secs(8),
            tolerance_ratio: 0.1,
            tolerance_units: 140_000.0,
        },
        rollouts: RolloutBounds::default(),
        duty: DutyTimings::for_lease(Duration::from_secs(3)),
        reports_usage: true,
        orders_servers: false,
        usage_window: Duration::from_millis(USAGE_WINDOW_MS),
        usage_report_deadline: Duration::from_secs(10),
    };
    Rc::new(GatewayState::new(settings, GatewayMetrics::new().expect("valid")))
}

fn zone(number: u64) -> ZoneName {
    ZoneName::try_from(format!("zone-{number}")).expect("valid")
}

fn team(number: u32) -> TeamName {
    TeamName::try_from(format!("team-{number}")).expect("valid")
}

fn summary(rng: &mut ChaCha8Rng, host: u64, sequence: u64) -> HostSummary {
    let first_team = rng.random_range(0..TEAMS);
    let teams = (0..ACTIVE_TEAMS).map(|index| TeamUse {
        team: team((first_team + index) % TEAMS).to_string(),
        spent: rng.random_range(1..100_000),
        asked: rng.random_range(1..100_000),
        total: rng.random_range(1..100_000),
        total_asked: rng.random_range(1..100_000),
        asked_by_rank: (0..3).map(|_| rng.random_range(1..100_000)).collect(),
    });
    let teams = teams.collect();
    let servers = (0..USED_SERVERS).map(|_| ServerUse {
        server: format!("i-{:08x}", rng.random_range(0..SERVERS)),
        running: rng.random_range(1..3),
        prefill_tokens: rng.random_range(0..12_000),
    });
    let servers = servers.collect();
    let window = wall_clock_ms() / USAGE_WINDOW_MS;
    let windows = (0..WINDOWS).map(|age| WindowUse {
        host: format!("host-{host}"),
        incarnation: 1,
        window: window - age,
        counts: (0..WINDOW_TEAMS).map(|number| (team(number).to_string(), sequence)).collect(),
    });
    HostSummary {
        host: format!("host-{host}"),
        incarnation: 1,
        sequence,
        address: format!("10.{}.{}.1:7600", host / 250, host % 250),
        teams,
        servers,
        windows: windows.collect(),
        config_version: 1,
        zone: zone(host % 6).to_string(),
        directory_age_ms: 100,
        config_age_ms: 100,
        ..HostSummary::default()
    }
}
