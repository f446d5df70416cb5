//! Lookups in the configuration, and adoption of newer versions only.

use std::time::Duration;

use pomelostack_lib::gateway::request_rank::PriorityScale;
use pomelostack_lib::gateway::request_rank::RequestRank;
use pomelostack_lib::gateway::serving_config::ActiveConfig;
use pomelostack_lib::gateway::serving_config::CallerLimits;
use pomelostack_lib::gateway::serving_config::ConfigChange;
use pomelostack_lib::gateway::serving_config::KeyCheck;
use pomelostack_lib::gateway::serving_config::RequestKind;
use pomelostack_lib::gateway::serving_config::RouteRule;
use pomelostack_lib::gateway::serving_config::ServingConfig;
use pomelostack_lib::gateway::serving_config::TeamRule;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;

fn route(name: &str, path_prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "wind.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Idempotent,
        time_limit: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        pause_goal: None,
        priority: 0,
        targets: targets
            .iter()
            .map(|(service, weight)| {
                (ServiceName::try_from(*service).expect("valid in tests"), *weight)
            })
            .collect(),
        max_servers: 2,
        anonymous: false,
    }
}

fn config(version: u64, keys: &[&str]) -> ServingConfig {
    let team = TeamRule {
        name: TeamName::try_from("club").expect("valid in tests"),
        priority: None,
        quota: None,
        counts_tokens: false,
        default_cost: 0,
    };
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let routes = vec![
        route("all", "/", &[("app", 1)]),
        route("marks", "/marks/", &[("app", 1), ("model", 3)]),
    ];
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    ServingConfig::new(version, routes, Vec::new(), limits, Some(vec![(team, keys)]))
}

#[test]
fn longest_prefix() {
    let config = config(1, &[]);
    assert_eq!(config.route("wind.example", "/marks/7").expect("valid in tests").name, "marks");
    assert_eq!(config.route("Wind.Example", "/marks").expect("valid in tests").name, "all");
    assert_eq!(config.route("other.example", "/marks/7"), None);
}

#[test]
fn weights_divide() {
    let config = config(1, &[]);
    let route = config.route("wind.example", "/marks/7").expect("valid in tests");
    let model = (0..400)
        .filter(|hash| route.service_for(*hash).expect("valid in tests").as_str() == "model");
    assert_eq!(model.count(), 300);
}

#[test]
fn revoked_key() {
    let old = config(1, &["k1", "k2"]);
    let new = config(2, &["k2"]);
    let route = old.route("wind.example", "/").expect("valid in tests");
    assert!(matches!(old.check_key(route, Some("k1")), KeyCheck::Team(_)));
    assert_eq!(new.check_key(route, Some("k1")), KeyCheck::Unknown);
    assert_eq!(new.check_key(route, None), KeyCheck::Unknown);
}

#[test]
fn anonymous_route() {
    let config = config(1, &["k1"]);
    let open = RouteRule { anonymous: true, ..route("open", "/", &[("app", 1)]) };
    assert_eq!(config.check_key(&open, None), KeyCheck::Anonymous);
    assert!(matches!(config.check_key(&open, Some("k1")), KeyCheck::Team(_)));
}

#[test]
fn older_versions_ignored() {
    let mut active = ActiveConfig::default();
    assert_eq!(active.adopt_if_newer(config(7, &[])), ConfigChange::Adopted);
    assert_eq!(active.adopt_if_newer(config(5, &[])), ConfigChange::Ignored);
    assert_eq!(active.adopt_if_newer(config(7, &[])), ConfigChange::Ignored);
    assert_eq!(active.adopt_if_newer(config(12, &[])), ConfigChange::Adopted);
    assert_eq!(active.current().expect("valid in tests").version, 12);
}

/// Servers were told the priority of a team alone, so that its urgent routes waited for all others.
#[test]
fn routes_within_team() {
    let ranks =
        (0..3).flat_map(|priority| (0..3).map(move |route| RequestRank { priority, route }));
    let scale = PriorityScale::new(ranks.clone());
    let levels: Vec<u32> = ranks.map(|rank| scale.level(rank)).collect();
    assert_eq!(levels, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

/// More ranks than servers tell apart keep their order.
#[test]
fn shared_levels() {
    let ranks = (0..35).map(|priority| RequestRank { priority, route: 0 });
    let scale = PriorityScale::new(ranks.clone());
    let levels: Vec<u32> = ranks.map(|rank| scale.level(rank)).collect();
    assert!(levels.is_sorted());
    assert_eq!((levels.first(), levels.last()), (Some(&0), Some(&9)));
}
