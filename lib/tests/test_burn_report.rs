//! Tests burn counts, merging over hosts, and the report as a table, as JSON and as a page.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pomelostack_lib::burn::BUCKET_LENGTH;
use pomelostack_lib::burn::BurnContribution;
use pomelostack_lib::burn::BurnMerger;
use pomelostack_lib::burn::BurnRecorder;
use pomelostack_lib::burn::MAX_SERVICES;
use pomelostack_lib::burn::RETAINED_BUCKETS;
use pomelostack_lib::burn_page::render_page;
use pomelostack_lib::burn_report::BurnReport;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::ServiceName;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const NOW_MS: u64 = 1_000 * 60 * 1_000;
const SHARE_PERMILLE: u16 = 950;

fn host(name: &str) -> HostId {
    HostId::try_from(name).unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

fn minutes_ago(minutes: u64) -> u64 {
    NOW_MS - minutes * BUCKET_LENGTH.as_millis() as u64
}

/// Records `total` requests, the first `good` of them within the target.
fn record(recorder: &mut BurnRecorder, unix_ms: u64, good: u64, total: u64) {
    for index in 0..total {
        let latency = Duration::from_millis(100 + index);
        recorder.record(unix_ms, &service("briefing"), SHARE_PERMILLE, latency, index < good);
    }
}

fn contribution(name: &str, incarnation: u64, good: u64, total: u64) -> BurnContribution {
    let mut recorder = BurnRecorder::new(host(name), Incarnation(incarnation));
    record(&mut recorder, NOW_MS, good, total);
    recorder.contribution(NOW_MS).unwrap()
}

fn report_of(contributions: impl IntoIterator<Item = BurnContribution>) -> BurnReport {
    let mut merger = BurnMerger::default();
    contributions.into_iter().for_each(|contribution| merger.merge(contribution));
    BurnReport::build(NOW_MS, &merger, vec![host("entry-9")]).unwrap()
}

#[rstest]
#[case::all_good(100, 100, 0.0)]
#[case::on_budget(95, 100, 1.0)]
#[case::twice_budget(90, 100, 2.0)]
#[case::all_bad(0, 100, 20.0)]
fn burn_rate(#[case] good: u64, #[case] total: u64, #[case] expected: f64) {
    let report = report_of([contribution("entry-1", 1, good, total)]);
    for window in &report.services[0].windows {
        let rate = window.burn_rate.unwrap();
        assert!((rate - expected).abs() < 1e-9, "{rate} in {:?}", window.window);
    }
}

#[test]
fn window_lengths() {
    let mut recorder = BurnRecorder::new(host("entry-1"), Incarnation(1));
    for minutes in [359, 59, 4, 0] {
        record(&mut recorder, minutes_ago(minutes), 1, 1);
    }
    let report = report_of([recorder.contribution(NOW_MS).unwrap()]);
    let totals: Vec<u64> =
        report.services[0].windows.iter().map(|window| window.count.total).collect();
    assert_eq!(totals, [2, 3, 4]);
}

#[test]
fn bounded_memory() {
    let mut recorder = BurnRecorder::new(host("entry-1"), Incarnation(1));
    for minutes in (0..1_000).rev() {
        record(&mut recorder, minutes_ago(minutes), 1, 1);
    }
    for index in 0..MAX_SERVICES {
        let name = service(&format!("service-{index}"));
        recorder.record(NOW_MS, &name, SHARE_PERMILLE, Duration::ZERO, true);
    }
    assert_eq!(recorder.dropped(), 1);
    let contribution = recorder.contribution(NOW_MS).unwrap();
    assert_eq!(contribution.services.len(), MAX_SERVICES);
    assert_eq!(contribution.services[&service("briefing")].buckets.len(), RETAINED_BUCKETS);
}

#[test]
fn repeated_merge() {
    let mut recorder = BurnRecorder::new(host("entry-1"), Incarnation(1));
    record(&mut recorder, NOW_MS, 5, 10);
    let older = recorder.contribution(NOW_MS).unwrap();
    record(&mut recorder, NOW_MS, 5, 10);
    let newer = recorder.contribution(NOW_MS).unwrap();
    let other = contribution("entry-2", 1, 10, 10);
    let report = report_of([newer.clone(), older, other.clone(), newer, other]);
    let count = report.services[0].windows[0].count;
    assert_eq!((count.good, count.total), (20, 30));
}

#[test]
fn newer_incarnation() {
    let report = report_of([contribution("entry-1", 2, 1, 1), contribution("entry-1", 1, 5, 5)]);
    assert_eq!(report.services[0].windows[0].count.total, 1);
}

#[test]
fn merge_order() {
    let contributions = ["entry-1", "entry-2", "entry-3"].map(|name| contribution(name, 1, 3, 7));
    let forward = report_of(contributions.clone());
    let backward = report_of(contributions.into_iter().rev());
    assert_eq!(forward, backward);
}

#[test]
fn report_table() {
    let report = report_of([contribution("entry-1", 1, 90, 100)]);
    insta::assert_snapshot!(report.table());
}

#[test]
fn report_json() {
    let report = report_of([contribution("entry-1", 1, 90, 100)]);
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}

#[test]
fn report_page() {
    let page = render_page(&report_of([contribution("entry-1", 1, 90, 100)])).unwrap();
    assert!(page.contains("<svg") && page.contains("<polyline"));
    assert!(page.contains("briefing"));
    for external in ["src=", "href=", "@import", "<script"] {
        assert!(!page.contains(external), "{external}");
    }
}

#[test]
fn contribution_round_trip() {
    let contribution = contribution("entry-1", 1, 90, 100);
    assert_eq!(BurnContribution::decode(&contribution.encode().unwrap()), Ok(contribution));
}

#[rstest]
#[case(b"".as_slice())]
#[case(b"{}".as_slice())]
#[case(br#"{"host":"entry 1","life":1,"sequence":1,"services":{}}"#.as_slice())]
fn malformed_contribution(#[case] bytes: &[u8]) {
    let error = BurnContribution::decode(bytes).unwrap_err();
    assert_eq!(error.code().number(), 601);
}

#[test]
fn inconsistent_counts() {
    let mut contribution = contribution("entry-1", 1, 1, 1);
    let burn = contribution.services.get_mut(&service("briefing")).unwrap();
    burn.buckets.values_mut().for_each(|count| count.good = 9);
    let error = BurnContribution::decode(&contribution.encode().unwrap()).unwrap_err();
    assert_eq!(error.code().number(), 601);
}

#[test]
fn flipped_bytes() {
    let encoded = contribution("entry-1", 1, 90, 100).encode().unwrap();
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&(0..encoded.len(), 1..=255_u8), |(index, mask)| {
            let mut bytes = encoded.clone();
            bytes[index] ^= mask;
            if let Ok(decoded) = BurnContribution::decode(&bytes) {
                let mut merger = BurnMerger::default();
                merger.merge(decoded);
                let _ = BurnReport::build(NOW_MS, &merger, Vec::new());
            }
            Ok(())
        })
        .unwrap();
}
