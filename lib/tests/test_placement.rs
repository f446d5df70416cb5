//! Placement: warm prefixes, full and suspected servers, and peers' load.

use std::collections::BTreeMap;

use pomelostack_lib::gateway::backend_directory::BackendDirectory;
use pomelostack_lib::gateway::backend_directory::BackendEntry;
use pomelostack_lib::gateway::backend_directory::DirectoryChange;
use pomelostack_lib::gateway::backend_directory::DirectoryEffect;
use pomelostack_lib::gateway::backend_directory::ServingState;
use pomelostack_lib::gateway::caller_request::PromptPart;
use pomelostack_lib::gateway::caller_request::PromptShape;
use pomelostack_lib::gateway::placement::PeerLoad;
use pomelostack_lib::gateway::placement::PlacementChoice;
use pomelostack_lib::gateway::placement::PlacementQuery;
use pomelostack_lib::gateway::placement::PlacementTable;
use pomelostack_lib::gateway::server_health::HealthEvidence;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::ServerId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::timestamp::Timestamp;

const SLOTS: u32 = 8;

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid in tests")
}

fn now() -> Timestamp {
    Timestamp::from_millis(1_000)
}

struct Rig {
    directory: BackendDirectory,
    board: PlacementTable,
    keys: Vec<ServerKey>,
}

impl Rig {
    /// Servers in the given zones; the host is in zone "a".
    fn new(zones: &[&str]) -> Self {
        let mut directory = BackendDirectory::default();
        let mut board = PlacementTable::new(ZoneName::try_from("a").expect("valid in tests"));
        let mut keys = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let entry = BackendEntry {
                id: ServerId::try_from(format!("s{index}")).expect("valid in tests"),
                service: service(),
                address: format!("10.0.0.{index}:80").parse().expect("valid in tests"),
                zone: ZoneName::try_from(*zone).expect("valid in tests"),
                state: ServingState::Ready,
                slots: SLOTS,
                started_at_ms: Some(1),
                reclaimable: false,
                reclaimed_in: None,
            };
            let change = DirectoryChange::Present(entry);
            let offset = LogOffset(index as u64);
            if let DirectoryEffect::Joined(key) = directory.apply(now(), offset, change) {
                board.reset(key);
                keys.push(key);
            }
        }
        Self { directory, board, keys }
    }

    fn choose(&self, prompt: Option<&PromptShape>, excluded: &[ServerKey]) -> PlacementChoice {
        let service = service();
        let query = PlacementQuery { service: &service, prompt, excluded, max_running: 1_000 };
        self.board.choose(now(), &self.directory, &query)
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
    // Two hosts that know nothing of each other send a prefix to one server.
    let (first, second) = (Rig::new(&["a", "b", "c"]), Rig::new(&["a", "b", "c"]));
    for shared in 10..40 {
        let prompt = prompt(shared, 1_000 + shared);
        assert_eq!(first.chosen(Some(&prompt)), second.chosen(Some(&prompt)));
    }
}

#[test]
fn crowded_prefix_spreads() {
    let mut rig = Rig::new(&["a", "a", "a"]);
    let first = prompt(10, 100);
    let home = rig.chosen(Some(&first));
    rig.board.on_sent(now(), home, Some(&first), 5_500);
    for own in 101..104 {
        let next = prompt(10, own);
        assert_eq!(rig.chosen(Some(&next)), home, "waiting is cheaper than reading again");
        rig.board.on_sent(now(), home, Some(&next), 1_000);
    }
    rig.board.on_sent(now(), home, Some(&prompt(11, 200)), 50_000);
    assert_ne!(rig.chosen(Some(&prompt(10, 105))), home);
}

#[test]
fn peers_count() {
    let mut rig = Rig::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = rig.chosen(Some(&prompt));
    let load = PeerLoad { running: 2, prefill_tokens: 80_000 };
    rig.board.set_peer_loads(&BTreeMap::from([(home, load)]));
    assert_ne!(rig.chosen(Some(&prompt)), home);
    rig.board.set_peer_loads(&BTreeMap::new());
    assert_eq!(rig.chosen(Some(&prompt)), home);
}

#[test]
fn own_zone_first() {
    let mut rig = Rig::new(&["b", "a", "c"]);
    let near = rig.keys[1];
    assert_eq!(rig.chosen(None), near);
    for _ in 0..SLOTS {
        rig.board.on_sent(now(), near, None, 0);
    }
    assert_ne!(rig.chosen(None), near, "a zone away is better than waiting for a slot");
}

#[test]
fn all_full() {
    let mut rig = Rig::new(&["a"]);
    let key = rig.keys[0];
    for _ in 0..SLOTS * 4 {
        rig.board.on_sent(now(), key, None, 0);
    }
    assert_eq!(rig.choose(None, &[]), PlacementChoice::Full);
    rig.board.on_ended(key);
    assert_eq!(rig.choose(None, &[key]), PlacementChoice::NoServer);
}

#[test]
fn suspected_last() {
    let mut rig = Rig::new(&["a", "b"]);
    let near = rig.keys[0];
    assert!(rig.board.on_evidence(now(), near, HealthEvidence::Unreachable));
    assert_ne!(rig.chosen(None), near);
    rig.board.on_evidence(now(), rig.keys[1], HealthEvidence::Unreachable);
    assert_eq!(rig.chosen(None), near, "all are suspected, so the nearest is tried");
}

#[test]
fn one_failure_forgiven() {
    let mut rig = Rig::new(&["a", "b"]);
    let near = rig.keys[0];
    assert!(!rig.board.on_evidence(now(), near, HealthEvidence::Failed));
    assert_eq!(rig.chosen(None), near);
    assert!(rig.board.on_evidence(now(), near, HealthEvidence::Failed));
    assert_ne!(rig.chosen(None), near);
}

#[test]
fn restarted_is_cold() {
    let mut rig = Rig::new(&["a", "a"]);
    let prompt = prompt(10, 100);
    let home = rig.chosen(Some(&prompt));
    let other = *rig.keys.iter().find(|key| **key != home).expect("valid in tests");
    rig.board.on_sent(now(), other, Some(&prompt), 5_500);
    rig.board.on_prefilled(other, 5_500);
    rig.board.on_ended(other);
    rig.board.reset(other);
    assert_eq!(rig.chosen(Some(&prompt)), home);
}
