//! The request router's choice of a server by cached prefix, zone, state and load.

use std::net::SocketAddr;

use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::request_router::RequestRouter;
use pomelostack_lib::request_router::RouteChoice;
use pomelostack_lib::request_router::RouteQuery;
use pomelostack_lib::request_router::ServerInfo;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;

const BLOCKS: u64 = 100;

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("valid")
}

fn service() -> ServiceName {
    ServiceName::try_from("briefing").expect("valid")
}

fn server(index: u16, zone_name: &str) -> ServerInfo {
    ServerInfo {
        id: ServerId::try_from(format!("model-{index}")).expect("valid"),
        host: HostId::try_from(format!("host-{index}")).expect("valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        zone: zone(zone_name),
        service: service(),
        state: ServerState::Live,
        concurrency: 4,
    }
}

struct RouterHarness {
    router: RequestRouter,
    service: ServiceName,
    now: Timestamp,
}

impl RouterHarness {
    fn new(servers: Vec<ServerInfo>) -> Self {
        let mut router = RequestRouter::new(zone("a"), 1);
        router.set_servers(Timestamp::default(), servers);
        Self { router, service: service(), now: Timestamp::from_millis(1_000) }
    }

    fn key(&self, index: u16) -> ServerKey {
        self.router.key_of(&server(index, "a").id).expect("known")
    }

    fn choose(&mut self, blocks: &[BlockHash], excluded: &[ServerKey]) -> RouteChoice {
        let prompt_tokens = blocks.len() as u32 * 16;
        let query = RouteQuery { service: &self.service, blocks, prompt_tokens, excluded };
        self.router.choose(self.now, &query)
    }

    fn dispatch(&mut self, key: ServerKey, blocks: &[BlockHash]) {
        let prompt_tokens = blocks.len() as u32 * 16;
        let query = RouteQuery { service: &self.service, blocks, prompt_tokens, excluded: &[] };
        self.router.on_dispatched(self.now, key, &query);
    }

    /// Runs a request to its end and advances the clock by a minute, so that the server is idle
    /// again and has the prompt in its prefix cache.
    fn run_to_end(&mut self, key: ServerKey, blocks: &[BlockHash]) {
        self.dispatch(key, blocks);
        self.router.on_first_token(self.now, key, 0);
        self.router.on_ended(self.now, key);
        self.now = Timestamp::from_millis(self.now.as_millis() + 60_000);
    }
}

fn prompt(seed: u64) -> Vec<BlockHash> {
    (0..BLOCKS).map(|index| BlockHash(seed * 1_000 + index)).collect()
}

#[test]
fn cached_prefix() {
    let mut harness = RouterHarness::new((0..6).map(|index| server(index, "a")).collect());
    let key = harness.key(4);
    harness.run_to_end(key, &prompt(1));
    for _ in 0..20 {
        assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(key));
    }
}

#[test]
fn home_zone() {
    let mut harness = RouterHarness::new(vec![server(0, "b"), server(1, "a"), server(2, "c")]);
    let home = harness.key(1);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(home));
}

#[rstest]
#[case::leaving(ServerState::Leaving)]
#[case::suspected(ServerState::Suspected)]
fn ineligible_server(#[case] state: ServerState) {
    let mut harness = RouterHarness::new(vec![server(0, "a"), server(1, "a")]);
    let (holder, other) = (harness.key(0), harness.key(1));
    harness.run_to_end(holder, &prompt(1));
    harness.router.set_state(harness.now, &server(0, "a").id, state);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(other));
    harness.router.set_state(harness.now, &server(1, "a").id, state);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::NoServer);
}

#[test]
fn excluded_servers() {
    let mut harness = RouterHarness::new(vec![server(0, "a"), server(1, "a")]);
    let (first, second) = (harness.key(0), harness.key(1));
    assert_eq!(harness.choose(&prompt(1), &[first]), RouteChoice::Server(second));
    assert_eq!(harness.choose(&prompt(1), &[first, second]), RouteChoice::NoServer);
}

#[test]
fn full_servers() {
    let mut harness = RouterHarness::new(vec![server(0, "a")]);
    let key = harness.key(0);
    (0..4).for_each(|_| harness.dispatch(key, &prompt(1)));
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Wait);
    harness.router.on_ended(harness.now, key);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(key));
}

#[test]
fn fallback_beyond_sample() {
    // There are more servers than a decision samples, and all but one are full.
    let mut harness = RouterHarness::new((0..200).map(|index| server(index, "a")).collect());
    for index in (0..200).filter(|index| *index != 150) {
        let key = harness.key(index);
        (0..4).for_each(|_| harness.dispatch(key, &[]));
    }
    let free = harness.key(150);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(free));
}

#[test]
fn nearly_full_holder() {
    let mut harness = RouterHarness::new(vec![server(0, "a"), server(1, "a")]);
    let (holder, other) = (harness.key(0), harness.key(1));
    harness.run_to_end(holder, &prompt(1));
    let report = LoadReport { running: 3, batch_limit: 4, ..LoadReport::default() };
    harness.router.on_load_report(harness.now, holder, &report);
    assert_eq!(harness.choose(&prompt(1), &[]), RouteChoice::Server(other));
}

#[test]
fn stale_report() {
    // The report was made before this host sent its prompts, so their load must be added to it.
    let mut harness = RouterHarness::new(vec![server(0, "a"), server(1, "a")]);
    let (busy, other) = (harness.key(0), harness.key(1));
    harness.dispatch(busy, &prompt(1));
    harness.dispatch(busy, &prompt(2));
    let report = LoadReport { batch_limit: 16, age_ms: 500, ..LoadReport::default() };
    harness.router.on_load_report(harness.now, busy, &report);
    harness.router.on_load_report(harness.now, other, &report);
    assert_eq!(harness.choose(&prompt(3), &[]), RouteChoice::Server(other));
}

#[test]
fn suspected_persists() {
    let servers = vec![server(1, "a"), server(2, "b")];
    let mut harness = RouterHarness::new(servers.clone());
    let suspected = servers[0].id.clone();
    harness.router.set_state(harness.now, &suspected, ServerState::Suspected);
    // The platform's list still has it as live.
    harness.router.set_servers(harness.now, servers);
    assert_eq!(harness.choose(&[], &[]), RouteChoice::Server(harness.key(2)));
    harness.router.set_state(harness.now, &suspected, ServerState::Live);
    assert_eq!(harness.choose(&[], &[]), RouteChoice::Server(harness.key(1)));
}
