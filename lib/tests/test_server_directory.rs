//! Merges the configuration, the host list, leaving marks and drained hosts into a list of servers.

use std::time::Duration;

use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostRole;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::ClassName;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::protos::admin::ConfigurationSpec;
use pomelostack_lib::request_router::ServerState;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::server_directory::LEAVING_MARK_TTL;
use pomelostack_lib::server_directory::ServerDirectory;
use pomelostack_lib::timestamp::Timestamp;
use rstest::rstest;
use serde_json::json;

const NOW: Timestamp = Timestamp::from_millis(1_000);
const STATIC: &str = "10.0.0.9:80";

fn host(name: &str) -> HostId {
    HostId::try_from(name).expect("the name is well formed")
}

fn entry(name: &str, address: &str) -> HostEntry {
    HostEntry {
        host: host(name),
        address: address.to_owned(),
        zone: ZoneName::try_from("salish-a").expect("the name is well formed"),
        class: ClassName::try_from("standard").expect("the name is well formed"),
        market: HostMarket::Reclaimable,
        state: HostState::Live,
        duty: HostRole::Backend(ServiceName::try_from("lookup").expect("the name is well formed")),
    }
}

/// Returns a configuration of the service `lookup` with one static server.
fn config(drained: &[&str]) -> ConfigState {
    let document = json!({ "services": [{
        "name": "lookup", "kind": "app", "server_concurrency": 3,
        "latency_target": { "first_token_ms": 100, "share_permille": 950 },
        "static_servers": [{ "address": STATIC, "zone": "salish-b" }],
    }], "teams": [] });
    let spec: ConfigurationSpec = serde_json::from_value(document).expect("it has the shape");
    let mut state = ConfigState::try_from(spec).expect("it is valid");
    state.drained = drained.iter().map(|name| host(name)).collect();
    state
}

/// Returns the host and state of each server.
fn states(directory: &ServerDirectory, config: &ConfigState) -> Vec<(String, ServerState)> {
    let servers = directory.servers(config);
    assert!(servers.iter().all(|server| server.concurrency == 3), "{servers:?}");
    servers.into_iter().map(|server| (server.host.to_string(), server.state)).collect()
}

fn directory(hosts: Vec<HostEntry>) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.set_hosts(NOW, hosts);
    directory
}

/// Returns the expected states of the static server and of host `a`, in this order.
fn pair(fixed: ServerState, listed: ServerState) -> Vec<(String, ServerState)> {
    vec![(STATIC.to_owned(), fixed), ("a".to_owned(), listed)]
}

#[test]
fn listed_servers() {
    let other = ServiceName::try_from("briefing").expect("the name is well formed");
    let directory = directory(vec![
        entry("a", "10.0.0.1:80"),
        HostEntry { duty: HostRole::Entry, ..entry("b", "10.0.0.2:80") },
        HostEntry { duty: HostRole::Backend(other), ..entry("c", "10.0.0.3:80") },
        entry("d", "nowhere"),
    ]);
    assert_eq!(states(&directory, &config(&[])), pair(ServerState::Live, ServerState::Live));
    assert_eq!(directory.servers(&ConfigState::default()), []);
}

#[rstest]
#[case::listed("a", pair(ServerState::Live, ServerState::Leaving))]
#[case::fixed(STATIC, pair(ServerState::Leaving, ServerState::Live))]
#[case::unknown("z", pair(ServerState::Live, ServerState::Live))]
fn leaving_hosts(#[case] name: &str, #[case] expected: Vec<(String, ServerState)>) {
    let mut directory = directory(vec![entry("a", "10.0.0.1:80")]);
    assert_eq!(states(&directory, &config(&[name])), expected, "drained");
    assert!(directory.mark_leaving(NOW, &host(name)));
    assert!(!directory.mark_leaving(NOW, &host(name)), "it was marked before");
    assert_eq!(states(&directory, &config(&[])), expected, "marked");
}

#[test]
fn leaving_list() {
    let leaving = HostEntry { state: HostState::Leaving, ..entry("a", "10.0.0.1:80") };
    let directory = directory(vec![leaving]);
    assert_eq!(states(&directory, &config(&[])), pair(ServerState::Live, ServerState::Leaving));
}

#[test]
fn leaving_mark_expiry() {
    let hosts = vec![entry("a", "10.0.0.1:80")];
    let mut directory = directory(hosts.clone());
    directory.mark_leaving(NOW, &host("a"));
    let again = NOW + LEAVING_MARK_TTL / 2;
    directory.mark_leaving(again, &host("a"));
    // The host list lags behind and still has the host as live.
    directory.set_hosts(again + LEAVING_MARK_TTL - Duration::from_micros(1), hosts.clone());
    assert_eq!(states(&directory, &config(&[]))[1].1, ServerState::Leaving);
    directory.set_hosts(again + LEAVING_MARK_TTL, hosts);
    assert_eq!(states(&directory, &config(&[]))[1].1, ServerState::Live);
    assert_eq!(directory.leaving().count(), 0);
    assert!(directory.mark_leaving(again + LEAVING_MARK_TTL, &host("a")), "the mark has expired");
}
