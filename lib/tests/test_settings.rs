//! Invalid settings are refused with a result code and a JSON path. Every setting is documented.

use pomelostack_lib::result_code::ResultCode;
use pomelostack_lib::settings::EntrySettings;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn minimal() -> Value {
    let hash = "ab".repeat(32);
    json!({
        "host": "entry-1", "region": "salish", "zone": "salish-a",
        "listen": {
            "http": "127.0.0.1:8080", "peer": "127.0.0.1:8180", "admin": "127.0.0.1:8280"
        },
        "peer_token": "0123456789abcdef",
        "platform": {
            "log": "127.0.0.1:9001", "cloud": "127.0.0.1:9002", "host_list": "127.0.0.1:9003"
        },
        "operators": [{ "name": "skipper", "role": "write", "token_hash": hash }],
    })
}

fn insert_value(settings: &mut Value, pointer: &str, value: Value) {
    let (parent, field) = pointer.rsplit_once('/').expect("the pointer has a slash");
    let parent = settings.pointer_mut(parent).and_then(Value::as_object_mut);
    parent.expect("the parent is an object").insert(field.to_string(), value);
}

#[test]
fn minimal_file() {
    let settings = EntrySettings::try_from(minimal().to_string().as_str()).unwrap();
    assert_eq!(settings.zone.as_str(), "salish-a");
    assert_eq!(settings.front_door.max_body_bytes, 4_194_304);
}

#[rstest]
#[case("/hots", json!(1), ResultCode::SettingUnknown, "$.hots")]
#[case("/listen/htp", json!(1), ResultCode::SettingUnknown, "$.listen.htp")]
#[case("/host", json!(3), ResultCode::SettingWrongType, "$.host")]
#[case("/host", json!("a b"), ResultCode::SettingOutOfRange, "$.host")]
#[case("/listen", json!([]), ResultCode::SettingWrongType, "$.listen")]
#[case("/listen/http", json!("localhost:80"), ResultCode::SettingOutOfRange, "$.listen.http")]
#[case("/listen/http", json!("127.0.0.1:0"), ResultCode::SettingOutOfRange, "$.listen.http")]
#[case("/listen/peer", json!("127.0.0.1:8080"), ResultCode::SettingsEqualAddresses, "$.listen.peer")]
#[case("/platform/log", json!("127.0.0.1:8080"), ResultCode::SettingsEqualAddresses, "$.platform.log")]
#[case("/peers", json!("127.0.0.1:1"), ResultCode::SettingWrongType, "$.peers")]
#[case("/peers", json!(["127.0.0.1:1", 7]), ResultCode::SettingWrongType, "$.peers[1]")]
#[case("/peer_token", json!("short"), ResultCode::SettingOutOfRange, "$.peer_token")]
#[case("/operators/0/token_hash", json!("xyz"), ResultCode::SettingOutOfRange, "$.operators[0].token_hash")]
#[case("/operators/0/role", json!("root"), ResultCode::SettingOutOfRange, "$.operators[0].role")]
#[case("/operators/0/name", json!(""), ResultCode::SettingOutOfRange, "$.operators[0].name")]
#[case("/operators/0/extra", json!(1), ResultCode::SettingUnknown, "$.operators[0].extra")]
#[case("/operators", json!([]), ResultCode::SettingOutOfRange, "$.operators")]
#[case("/operators", json!({}), ResultCode::SettingWrongType, "$.operators")]
#[case("/front_door", json!({"body_timeout_ms": 1}), ResultCode::SettingOutOfRange, "$.front_door.body_timeout_ms")]
#[case("/front_door", json!({"body_timeout_ms": "5s"}), ResultCode::SettingWrongType, "$.front_door.body_timeout_ms")]
#[case("/memory", json!({"answers": -1}), ResultCode::SettingOutOfRange, "$.memory.answers")]
#[case("/log", json!({"level": "loud"}), ResultCode::SettingOutOfRange, "$.log.level")]
#[case("/drain_timeout_ms", json!(600_001), ResultCode::SettingOutOfRange, "$.drain_timeout_ms")]
fn invalid_setting(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] code: ResultCode,
    #[case] path: &str,
) {
    let mut settings = minimal();
    insert_value(&mut settings, pointer, value);
    let error = EntrySettings::try_from(settings.to_string().as_str()).unwrap_err();
    assert_eq!((error.code, error.path.as_str()), (code, path));
}

#[test]
fn missing_setting() {
    for field in ["host", "region", "zone", "listen", "peer_token", "platform", "operators"] {
        let mut settings = minimal();
        settings.as_object_mut().unwrap().remove(field);
        let error = EntrySettings::try_from(settings.to_string().as_str()).unwrap_err();
        assert_eq!((error.code, error.path), (ResultCode::SettingMissing, format!("$.{field}")));
    }
}

#[test]
fn invalid_json() {
    let error = EntrySettings::try_from("{\"host\":").unwrap_err();
    assert_eq!(error.code, ResultCode::SettingsNotJson);
}

#[test]
fn missing_file() {
    let error = EntrySettings::load(std::path::Path::new("no-such-file.json")).unwrap_err();
    assert_eq!(error.code, ResultCode::SettingsUnreadable);
}

/// The settings page lists every setting that the source reads, and no others.
#[test]
fn documented_settings() {
    let source = include_str!("../src/settings.rs");
    let page = include_str!("../../docs/operators/settings.md");
    let code_names: std::collections::BTreeSet<&str> = source
        .split("(\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .filter(|name| name.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .filter(|name| !["front_door", "calls", "memory"].contains(name))
        .collect();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let page_names: std::collections::BTreeSet<&str> = rows
        .filter_map(|row| row.split('`').next())
        .map(|path| path.rsplit('.').next().unwrap())
        .collect();
    let nested = ["listen", "platform", "operators", "log"];
    let missing: Vec<_> =
        code_names.difference(&page_names).filter(|name| !nested.contains(name)).collect();
    let extra: Vec<_> = page_names.difference(&code_names).collect();
    assert!(missing.is_empty() && extra.is_empty(), "missing {missing:?}, extra {extra:?}");
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        let list = proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from);
        let map = proptest::collection::btree_map(".{0,8}", inner, 0..4);
        prop_oneof![list, map.prop_map(|map| Value::Object(map.into_iter().collect()))]
    })
}

/// Collects the JSON pointers of a value and of all values nested in it.
fn collect_pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_string());
    match value {
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, part)| collect_pointers(part, &format!("{at}/{name}"), found));
        }
        Value::Array(parts) => {
            let parts = parts.iter().enumerate();
            parts.for_each(|(index, part)| collect_pointers(part, &format!("{at}/{index}"), found));
        }
        _ => {}
    }
}

/// A random value at any path is accepted, or refused with a code and a path in the same top-level
/// setting. Equal addresses may be reported at the other address.
#[test]
fn random_settings() {
    let cases = std::env::var("SETTINGS_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(2_000), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut places = Vec::new();
    collect_pointers(&minimal(), "", &mut places);
    TestRunner::new_with_rng(config, rng)
        .run(&(proptest::sample::select(places), any_json(), ".{0,40}"), |(place, value, text)| {
            let mut settings = minimal();
            *settings.pointer_mut(&place).expect("the pointer exists") = value;
            if let Err(error) = EntrySettings::try_from(settings.to_string().as_str()) {
                let top = place.split('/').nth(1).unwrap_or_default();
                let is_there = top.is_empty() || error.path.starts_with(&["$.", top].concat());
                let is_equal = error.code == ResultCode::SettingsEqualAddresses;
                prop_assert!(is_there || is_equal, "{error} for {place}");
                prop_assert!(
                    error.path.starts_with('$') && !error.problem.is_empty(),
                    "no path or problem"
                );
            }
            let refused = EntrySettings::try_from(text.as_str()).expect_err("not a settings file");
            prop_assert_eq!(&refused.path[..1], "$");
            Ok(())
        })
        .expect("every case holds");
}
