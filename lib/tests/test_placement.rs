//! Placement: cached prefixes, full servers, avoided servers, and peers' load.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::caller_request::PromptPart;
use pomelostack_lib::gateway::caller_request::PromptShape;
use pomelostack_lib::gateway::capacity::speed_table::PromptRead;
use pomelostack_lib::gateway::capacity::speed_table::ReadQuality;
use pomelostack_lib::gateway::placement::ConnectionShare;
use pomelostack_lib::gateway::placement::PeerLoad;
use pomelostack_lib::gateway::placement::PlacementChoice;
use pomelostack_lib::gateway::placement::PlacementQuery;
use pomelostack_lib::gateway::placement::PlacementTable;
use pomelostack_lib::gateway::server_health::HealthEvidence;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::LogPosition;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::software_version::SoftwareVersion;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;

const SLOTS: u32 = 8;

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid in tests")
}

fn now() -> Timestamp {
    Timestamp::from_millis(1_000)
}

struct Fixture {
    directory: BackendDirectory,
    table: PlacementTable,
    keys: Vec<ServerKey>,
}

impl Fixture {
    /// Creates one server in each of the given zones; the host is in zone "a".
    fn new(zones: &[&str]) -> Self {
        let unstated: Vec<_> = zones.iter().map(|zone| (*zone, "")).collect();
        Self::with_versions(&unstated)
    }

    /// Creates servers in zones and with software versions.
    fn with_versions(servers: &[(&str, &str)]) -> Self {
        let mut directory = BackendDirectory::default();
        let mut table = PlacementTable::new(ZoneName::try_from("a").expect("valid in tests"));
        let mut keys = Vec::new();
        for (index, (zone, version)) in servers.iter().enumerate() {
            let entry = BackendEntry {
                id: ServerId::try_from(format!("s{index}")).expect("valid in tests"),
                service: service(),
                address: format!("10.0.0.{index}:80").parse().expect("valid in tests"),
                zone: ZoneName::try_from(*zone).expect("valid in tests"),
                version: SoftwareVersion::of(version.as_bytes()),
                state: ServingState::Ready,
                slots: SLOTS,
                started_at_ms: Some(1),
                reclaimable: false,
                reclaimed_in: None,
                sequence: None,
            };
            let change = DirectoryChange::Present(entry);
            let offset = LogOffset(index as u64);
            let position = LogPosition { offset, ..LogPosition::default() };
            if let DirectoryEffect::Joined(key) = directory.apply(now(), position, change) {
                table.reset(key);
                keys.push(key);
            }
        }
        Self { directory, table, keys }
    }

    fn choose(&self, prompt: Option<&PromptShape>, excluded: &[ServerKey]) -> PlacementChoice {
        let service = service();
        let query = PlacementQuery {
            service: &service,
            prompt,
            excluded,
            version: None,
            is_resumed: false,
            connections: ConnectionShare::UNLIMITED,
        };
        self.table.choose(now(), &self.directory, &query)
    }

    /// Chooses a server for a stream that began at a version.
    fn resume_at(&self, version: &str, excluded: &[ServerKey]) -> PlacementChoice {
        let (service, version) = (service(), SoftwareVersion::of(version.as_bytes()));
        let prompt = prompt(2, 3);
        let query = PlacementQuery {
            service: &service,
            prompt: Some(&prompt),
            excluded,
            version: Some(&version),
            is_resumed: true,
            connections: ConnectionShare::UNLIMITED,
        };
        self.table.choose(now(), &self.directory, &query)
    }

    fn chosen(&self, prompt: Option<&PromptShape>) -> ServerKey {
        match self.choose(prompt, &[]) {
            PlacementChoice::Server { key, .. } => key,
            other => panic!("no server chosen: {other:?}"),
        }
    }
}

fn prompt(shared: u64, own: u64) -> PromptShape {
    PromptShape {
        prompt_tokens: 5_500,
        max_output_tokens: 300,
        parts: vec![
            PromptPart { id: 1, tokens: 500 },
            PromptPart { id: shared, tokens: 4_000 },
            PromptPart { id: own, tokens: 1_000 },
        ],
    }
}

#[test]
fn hosts_agree() {
    // Two hosts without shared state send a prefix to the same server.
    let (first, second) = (Fixture::new(&["a", "b", "c"]), Fixture::new(&["a", "b", "c"]));
    for shared in 10..40 {
        let prompt = prompt(shared, 1_000 + shared);
        assert_eq!(first.chosen(Some(&prompt)), second.chosen(Some(&prompt)));
    }
}

#[test]
fn busy_home_overflows() {
    let mut fixture = Fixture::new(&["a", "a", "a"]);
    let first = prompt(10, 100);
    let home = fixture.chosen(Some(&first));
    fixture.table.on_sent(now(), home, Some(&first), 5_500);
    for own in 101..104 {
        let next = prompt(10, own);
        assert_eq!(fixture.chosen(Some(&next)), home, "waiting is cheaper than prefilling again");
        fixture.table.on_sent(now(), home, Some(&next), 1_000);
    }
    fixture.table.on_sent(now(), home, Some(&prompt(11, 200)), 50_000);
    assert_ne!(fixture.chosen(Some(&prompt(10, 105))), home);
}

#[test]
fn peer_load_counts() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = fixture.chosen(Some(&prompt));
    let load = PeerLoad { running: 2, prefill_tokens: 80_000 };
    fixture.table.set_peer_loads(&BTreeMap::from([(home, load)]));
    assert_ne!(fixture.chosen(Some(&prompt)), home);
    fixture.table.set_peer_loads(&BTreeMap::new());
    assert_eq!(fixture.chosen(Some(&prompt)), home);
}

#[test]
fn own_zone_first() {
    let mut fixture = Fixture::new(&["b", "a", "c"]);
    let near = fixture.keys[1];
    assert_eq!(fixture.chosen(None), near);
    for _ in 0..SLOTS {
        fixture.table.on_sent(now(), near, None, 0);
    }
    assert_ne!(fixture.chosen(None), near, "another zone is better than waiting for a slot");
}

#[test]
fn all_full() {
    let mut fixture = Fixture::new(&["a"]);
    let key = fixture.keys[0];
    for _ in 0..SLOTS * 4 {
        fixture.table.on_sent(now(), key, None, 0);
    }
    assert_eq!(fixture.choose(None, &[]), PlacementChoice::Full);
    fixture.table.on_ended(key);
    assert_eq!(fixture.choose(None, &[key]), PlacementChoice::NoServer);
}

#[test]
fn avoided_last() {
    let mut fixture = Fixture::new(&["a", "b"]);
    let near = fixture.keys[0];
    assert!(fixture.table.on_evidence(now(), near, HealthEvidence::Unreachable));
    assert_ne!(fixture.chosen(None), near);
    fixture.table.on_evidence(now(), fixture.keys[1], HealthEvidence::Unreachable);
    assert_eq!(fixture.chosen(None), near, "all servers are avoided, so the nearest is tried");
}

#[test]
fn one_failure_forgiven() {
    let mut fixture = Fixture::new(&["a", "b"]);
    let near = fixture.keys[0];
    assert!(!fixture.table.on_evidence(now(), near, HealthEvidence::Failed));
    assert_eq!(fixture.chosen(None), near);
    assert!(fixture.table.on_evidence(now(), near, HealthEvidence::Failed));
    assert_ne!(fixture.chosen(None), near);
}

#[test]
fn restarted_is_cold() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = fixture.chosen(Some(&prompt));
    let other = *fixture.keys.iter().find(|key| **key != home).expect("valid in tests");
    fixture.table.on_sent(now(), other, Some(&prompt), 5_500);
    fixture.table.on_prefilled(other, 5_500);
    fixture.table.on_ended(other);
    fixture.table.reset(other);
    assert_eq!(fixture.chosen(Some(&prompt)), home);
}

#[test]
fn paused_never() {
    // Unlike an avoided server, a paused one is not even a last resort.
    let mut fixture = Fixture::new(&["a", "b"]);
    let ids = ["s0", "s1"].map(|id| ServerId::try_from(id).expect("valid in tests"));
    fixture.table.on_pause(now(), &ids[0], Duration::from_millis(700));
    assert_eq!(fixture.chosen(None), fixture.keys[1]);
    fixture.table.on_pause(now(), &ids[1], Duration::from_millis(300));
    let until = now() + Duration::from_millis(300);
    assert_eq!(fixture.choose(None, &[]), PlacementChoice::Closed { until, limited: 0 });
    // A new key of the same server, after its entry was missing, has the same pause.
    fixture.table.reset(fixture.keys[0]);
    assert_eq!(fixture.choose(None, &[]), PlacementChoice::Closed { until, limited: 0 });
}

#[test]
fn return_after_pause() {
    // One request at a time shows whether a server accepts them again: no herd returns with it.
    let mut fixture = Fixture::new(&["a", "b"]);
    let id = ServerId::try_from("s0").expect("valid in tests");
    fixture.table.on_pause(Timestamp::from_millis(500), &id, Duration::from_millis(400));
    assert_eq!(fixture.chosen(None), fixture.keys[0]);
    fixture.table.on_handed_over(now(), &id);
    assert_eq!(fixture.chosen(None), fixture.keys[1]);
    fixture.table.on_answered(now(), &id);
    assert_eq!(fixture.chosen(None), fixture.keys[0]);
}

#[rstest]
fn connections_of_fleet(#[values(8, 84, 295)] hosts: u32, #[values(100, 360, 1_900)] most: u32) {
    for number in 0..20 {
        let server = ServerId::try_from(format!("s{number}")).expect("valid in tests");
        let shares = (0..hosts)
            .map(|rank| ConnectionShare { max_connections: most, hosts, rank }.at_server(&server));
        let sum: u32 = shares.sum();
        assert!(sum <= most, "{sum} connections of {hosts} hosts to a server of {most}");
        assert!(sum * 4 >= most.min(hosts) * 3, "{sum} connections of {hosts} hosts of {most}");
    }
}

#[test]
fn resumed_at_its_version() {
    let mut fixture = Fixture::with_versions(&[("a", "v1"), ("b", "v2"), ("b", "v2")]);
    let PlacementChoice::Server { key, .. } = fixture.resume_at("v2", &[]) else {
        panic!("a server is free");
    };
    assert!(fixture.keys[1..].contains(&key));
    assert_eq!(fixture.resume_at("v2", &fixture.keys[1..]), PlacementChoice::NoServer);
    assert_eq!(fixture.resume_at("v3", &[]), PlacementChoice::NoServer);
    // Servers that failed are tried if there are no others of the version.
    for index in [1, 2] {
        for _ in 0..3 {
            fixture.table.on_evidence(now(), fixture.keys[index], HealthEvidence::Unreachable);
        }
    }
    assert!(matches!(fixture.resume_at("v2", &[]), PlacementChoice::Server { .. }));
}

#[test]
fn resumed_when_full() {
    let mut fixture = Fixture::with_versions(&[("a", "v1"), ("b", "v1")]);
    while let PlacementChoice::Server { key, .. } = fixture.choose(Some(&prompt(2, 3)), &[]) {
        fixture.table.on_sent(now(), key, None, 0);
    }
    let resumed = std::iter::from_fn(|| match fixture.resume_at("v1", &[]) {
        PlacementChoice::Server { key, .. } => {
            fixture.table.on_sent(now(), key, None, 0);
            Some(key)
        }
        _ => None,
    });
    assert_eq!(resumed.count(), 2 * SLOTS as usize / 4);
    assert_eq!(fixture.resume_at("v1", &[]), PlacementChoice::Full);
}

/// Lets a table learn that a server prefills a prompt of 5,000 tokens in a number of milliseconds.
fn teach(table: &mut PlacementTable, key: ServerKey, millis: u64) {
    let read =
        PromptRead { own_tokens: 5_000, pending_tokens: 0, quality: ReadQuality::Undisturbed };
    let elapsed = Duration::from_millis(20 + millis);
    for at_ms in 0..20 {
        table.speeds_mut().on_first_event(Timestamp::from_millis(at_ms), key, read, elapsed);
    }
}

#[test]
fn faster_server() {
    // Equal queues are not equal waits at uneven servers.
    let mut fixture = Fixture::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = fixture.chosen(Some(&prompt));
    let other = fixture.keys.iter().copied().find(|key| *key != home).expect("two servers");
    for key in [home, other] {
        fixture.table.speeds_mut().on_joined(key, &service());
        teach(&mut fixture.table, key, if key == home { 100 } else { 25 });
    }
    assert_eq!(fixture.chosen(Some(&prompt)), home);
    let load = PeerLoad { running: 2, prefill_tokens: 20_000 };
    fixture.table.set_peer_loads(&BTreeMap::from([(home, load), (other, load)]));
    assert_eq!(fixture.chosen(Some(&prompt)), other);
}

#[test]
fn stalled_streams() {
    // Prompts that pile up at a server must not stall its streams beyond their pause goal.
    let mut fixture = Fixture::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = fixture.chosen(Some(&prompt));
    fixture.keys.iter().for_each(|key| fixture.table.speeds_mut().on_joined(*key, &service()));
    let load = PeerLoad { running: 6, prefill_tokens: 8_000 };
    fixture.table.set_peer_loads(&BTreeMap::from([(home, load)]));
    assert_eq!(fixture.chosen(Some(&prompt)), home);
    let goals = BTreeMap::from([(service(), Duration::from_millis(200))]);
    fixture.table.speeds_mut().set_pause_goals(&goals);
    assert_ne!(fixture.chosen(Some(&prompt)), home);
}
