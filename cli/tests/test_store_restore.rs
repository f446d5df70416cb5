//! The gateway as a process while the store comes back from an older copy or drops records.
//!
//! Whatever was written since the copy is gone, and its offsets are given out again.

use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::RewriteScope;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// Topic of the usage log.
const USAGE_TOPIC: &str = "pomelostack-usage";

/// Waits until a host reports a window that began after all reported so far.
fn wait_for_new_report(host: &GatewayFixture) {
    let newest = || {
        let reports = host.standin.usage_reports();
        reports.iter().filter_map(|report| report.body["window"].as_u64()).max()
    };
    let known = newest();
    wait_for(|| {
        host.call("GET", "/look/1", "r1", Some(TEAM_KEY));
        newest() > known
    });
}

#[test]
fn config_change_missed() {
    let fixture = GatewayFixture::ready(PROGRAM, 40);
    let copy = fixture.standin.copy_store();
    fixture.standin.publish_config(4);
    wait_for(|| fixture.level("config_version") == Some(4));
    // The change takes the offset that the host has read already.
    fixture.standin.restore_store(copy);
    fixture.standin.publish_config(5);
    wait_for(|| fixture.level("config_version") == Some(5));
}

#[test]
fn drain_notice_missed() {
    let fixture = GatewayFixture::ready(PROGRAM, 41);
    let copy = fixture.standin.copy_store();
    for _ in 0..50 {
        fixture.standin.renew_entry(0);
        fixture.standin.renew_entry(1);
    }
    wait_for(|| fixture.level("directory_position") == Some(102));
    fixture.standin.restore_store(copy);
    fixture.standin.rewrite_lost(RewriteScope::NewestValues);
    fixture.standin.register_replica(0, "draining");
    wait_for(|| {
        fixture.standin.take_runs();
        for _ in 0..20 {
            fixture.call("GET", "/look/1", "r1", Some(TEAM_KEY));
        }
        fixture.standin.take_runs().iter().all(|run| run.replica == 1)
    });
}

#[test]
fn usage_log_shortened() {
    let fixture = GatewayFixture::ready(PROGRAM, 42);
    wait_for_new_report(&fixture);
    let copy = fixture.standin.copy_store();
    for _ in 0..3 {
        wait_for_new_report(&fixture);
    }
    fixture.standin.restore_store(copy);
    for _ in 0..3 {
        wait_for_new_report(&fixture);
    }
}

#[test]
fn usage_log_expired() {
    // A new holder of the duties finds that the log's first records are gone.
    let first = GatewayFixture::ready(PROGRAM, 43);
    wait_for_new_report(&first);
    first.standin.drop_topic_history(USAGE_TOPIC);
    let second = GatewayFixture::start_host(PROGRAM, first.standin.clone(), 44).serving();
    drop(first);
    for _ in 0..3 {
        wait_for_new_report(&second);
    }
}

#[test]
fn duties_forgotten() {
    // The group's generation goes back below the one that the holder knows.
    let first = GatewayFixture::ready(PROGRAM, 45);
    wait_for_new_report(&first);
    let copy = first.standin.copy_store();
    // Each start and each loss of a member raises the generation.
    for _ in 0..3 {
        let second = GatewayFixture::start_host(PROGRAM, first.standin.clone(), 46).serving();
        wait_for(|| first.level("peers") == Some(1));
        drop(second);
        wait_for(|| first.level("peers") == Some(0));
        wait_for_new_report(&first);
    }
    first.standin.restore_store(copy);
    for _ in 0..3 {
        wait_for_new_report(&first);
    }
}
