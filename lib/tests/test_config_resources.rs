//! JSON input of configuration: every violated rule is reported with its code and path, and no
//! input causes a panic.

use std::time::Duration;

use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::resource::FencingCheck;
use pomelostack_lib::resource::TokenHash;
use pomelostack_lib::resource_error::MAX_MESSAGE_BYTES;
use pomelostack_lib::result_code::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Returns a document in which every field is set.
fn full_document() -> Value {
    json!({
        "services": [
            {
                "name": "briefing",
                "kind": "model",
                "model": "forecast:7b",
                "latency_target": {
                    "first_token_ms": 1000, "token_gap_ms": 46, "share_permille": 950
                },
                "fencing": "checked",
                "static_servers": [{"address": "127.0.0.1:9000", "zone": "salish-a"}],
                "default_deadline_ms": 30000,
                "server_concurrency": 16,
                "min_replicas": 2,
                "max_replicas": 10
            },
            {
                "name": "lookup",
                "kind": "app",
                "latency_target": {"first_token_ms": 200, "share_permille": 990},
                "idempotency": {
                    "idempotent_paths": ["/search"], "non_idempotent_paths": ["/alerts"]
                }
            }
        ],
        "teams": [
            {
                "name": "races",
                "token_hashes": [TokenHash::of("races-token").to_hex()],
                "weight": 3,
                "max_in_flight": 50,
                "services": ["lookup"]
            }
        ],
        "classes": [
            {
                "name": "gpu-1",
                "capacity_permille": {"briefing": 1500},
                "markets": ["reclaimable", "on_demand"],
                "max_micros_per_hour": 900000
            }
        ],
        "policy": {"answer_retention_ms": 60000, "retry_percent": 10}
    })
}

/// Replaces the value at a JSON pointer, or adds it.
fn with_value(mut document: Value, pointer: &str, value: Value) -> Value {
    let (parent, field) = pointer.rsplit_once('/').expect("pointer has a parent");
    let parent = document.pointer_mut(parent).expect("parent exists");
    match parent {
        Value::Array(list) => list.push(value),
        parent => parent[field] = value,
    }
    document
}

#[test]
fn full_round_trip() {
    let state = ConfigState::from_json(&full_document().to_string()).unwrap();
    let service = &state.services.values().next().unwrap();
    assert_eq!(service.latency_target.first_token, Duration::from_secs(1));
    assert_eq!(service.fencing, FencingCheck::Checked);
    assert_eq!(state.policy.answer_retention, Duration::from_secs(60));
    assert_eq!(state.policy.reclaimable_percent, 60);
    assert!(state.team_of_token("races-token").is_some());
    assert!(state.team_of_token("other").is_none());
    assert_eq!(ConfigState::from_json(&state.to_json()), Ok(state));
}

#[test]
fn empty_document() {
    assert_eq!(ConfigState::from_json("{}"), Ok(ConfigState::default()));
}

#[rstest]
#[case("/services/0/latency_target/first_token_ms", json!(0), "services[0].latency_target.first_token_ms", "1 to 600000")]
#[case("/services/0/latency_target/first_token_ms", json!("1s"), "services[0].latency_target.first_token_ms", "u64")]
#[case("/services/0/latency_target/share_permille", json!(1001), "services[0].latency_target.share_permille", "1 to 1000")]
#[case("/services/0/latency_target/share_permille", json!(-1), "services[0].latency_target.share_permille", "u32")]
#[case("/services/0/latency_target", Value::Null, "services[0].latency_target", "required")]
#[case(
    "/services/0/latency_target/token_gap_ms",
    Value::Null,
    "services[0].latency_target.token_gap_ms",
    "required"
)]
#[case("/services/1/latency_target/token_gap_ms", json!(5), "services[1].latency_target.token_gap_ms", "not allowed")]
#[case("/services/0/model", Value::Null, "services[0].model", "required")]
#[case("/services/1/model", json!("m"), "services[1].model", "not allowed")]
#[case("/services/0/model", json!(""), "services[0].model", "1 to 256 bytes")]
#[case("/services/0/kind", json!("database"), "services[0].kind", "\"model\" or \"app\"")]
#[case("/services/0/name", json!("no spaces"), "services[0].name", "1 to 64")]
#[case("/services/1/name", json!("briefing"), "services[1].name", "twice")]
#[case("/services/1/nmae", json!("x"), "services[1].nmae", "unknown field")]
#[case("/services/0/fencing", json!(true), "services[0].fencing", "string")]
#[case("/services/0/fencing", json!("maybe"), "services[0].fencing", "\"checked\" or \"ignored\"")]
#[case("/services/0/static_servers/0/address", json!("example.org:80"), "services[0].static_servers[0].address", "ip:port")]
#[case("/services/0/static_servers/0/address", json!("127.0.0.1:0"), "services[0].static_servers[0].address.port", "1 to 65535")]
#[case("/services/0/static_servers/-", json!({"address": "127.0.0.1:9000", "zone": "z"}), "services[0].static_servers[1].address", "twice")]
#[case("/services/0/default_deadline_ms", json!(3_600_001), "services[0].default_deadline_ms", "1 to 3600000")]
#[case("/services/0/server_concurrency", json!(0), "services[0].server_concurrency", "1 to 10000")]
#[case("/services/0/min_replicas", json!(11), "services[0].max_replicas", "11 to 10000")]
#[case("/services/1/idempotency/idempotent_paths/-", json!("search"), "services[1].idempotency.idempotent_paths[1]", "start with '/'")]
#[case("/teams/0/token_hashes", json!([]), "teams[0].token_hashes", "1 to 16")]
#[case("/teams/0/token_hashes/-", json!("xyz"), "teams[0].token_hashes[1]", "64 hexadecimal")]
#[case("/teams/0/weight", json!(0), "teams[0].weight", "1 to 1000000")]
#[case("/teams/0/services/-", json!("missing"), "teams[0].services[1]", "no service missing")]
#[case("/teams/-", json!({"name": "other", "token_hashes": [TokenHash::of("races-token").to_hex()]}), "teams[1].token_hashes[0]", "token of team")]
#[case("/classes/0/markets", json!(["spot"]), "classes[0].markets[0]", "\"reclaimable\" or \"on_demand\"")]
#[case("/classes/0/capacity_permille", json!({"missing": 1}), "classes[0].capacity_permille.missing", "no service")]
#[case("/classes/0/max_micros_per_hour", json!(0), "classes[0].max_micros_per_hour", "1 to 1000000000000")]
#[case("/policy/retry_percent", json!(101), "policy.retry_percent", "0 to 100")]
#[case("/policy/key_retention_ms", json!(5), "policy.key_retention_ms", "1000 to 604800000")]
#[case("/drained", json!([]), "drained", "unknown field")]
fn violated_rules(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] allowed: &str,
) {
    let document = with_value(full_document(), pointer, value);
    let error = ConfigState::from_json(&document.to_string()).unwrap_err();
    assert_eq!(error.code, ResultCode::ConfigInvalid);
    assert_eq!(error.path, path);
    assert!(error.message.contains(allowed), "{:?} lacks {allowed:?}", error.message);
}

#[rstest]
#[case::cut("{\"services\":[")]
#[case::no_json("services: []")]
#[case::trailing("{} {}")]
#[case::empty("")]
fn bad_json(#[case] text: &str) {
    assert_eq!(ConfigState::from_json(text).unwrap_err().code, ResultCode::BadJson);
}

#[test]
fn long_message() {
    let text = format!("{{\"{}\": 1}}", "é".repeat(5_000));
    let error = ConfigState::from_json(&text).unwrap_err();
    assert!(error.message.len() <= MAX_MESSAGE_BYTES && error.path.len() <= MAX_MESSAGE_BYTES);
}

#[test]
fn corrupt_text() {
    let text = full_document().to_string();
    let config = Config { cases: 5_000, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let faults = prop::collection::vec((any::<prop::sample::Index>(), "\\PC{0,3}"), 1..4);
    let check = |faults: Vec<(prop::sample::Index, String)>| {
        let mut text = text.clone();
        for (position, new) in faults {
            let position = position.index(text.len());
            if text.is_char_boundary(position) && text.is_char_boundary(position + 1) {
                text.replace_range(position..=position, &new);
            }
        }
        if let Ok(state) = ConfigState::from_json(&text) {
            prop_assert_eq!(ConfigState::from_json(&state.to_json()), Ok(state));
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&faults, check).unwrap();
}
