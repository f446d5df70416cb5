//! Judges a whole run.

use std::time::Duration;

use testutils::gateway_process::read_level;

use crate::config_judge::ConfigFault;
use crate::config_judge::SentVersion;
use crate::config_judge::judge_answers;
use crate::duty_judge::AcceptedReport;
use crate::duty_judge::ObservedRun;
use crate::duty_judge::judge_reports;
use crate::duty_judge::judge_runs;
use crate::host_fleet::HostFleet;
use crate::soak_run::SoakReport;
use crate::soak_run::SoakWorld;
use crate::soak_run::lock;
use crate::touch_record::TouchRecord;

/// Lease on the duties in the stand-in's settings.
const DUTY_LEASE: Duration = Duration::from_millis(600);

/// Adds the rules that a run broke to its report.
pub(crate) fn judge_run(
    world: &SoakWorld,
    fleet: &HostFleet,
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
    let versions = lock(&world.versions);
    let mut observations = lock(&world.observations);
    observations.sort_by_key(|seen| seen.ended_at);
    report.answers = observations.len();
    report.versions = versions.iter().filter(|sent| sent.acknowledged_at.is_some()).count();
    for (index, fault) in judge_answers(&versions, &observations, touch) {
        let seen = &observations[index];
        let kind = match fault {
            ConfigFault::NotInForce { .. } => "not in force in time",
            ConfigFault::WentBack { .. } => "came back older",
            ConfigFault::NeverAllowed => "never allowed",
        };
        report.violations.push(format!(
            "CONFIG at {:.3?} host {} start {}: {kind}, {fault:?}, {:?} {:?}",
            seen.sent_at, seen.host, seen.incarnation, seen.request, seen.outcome
        ));
    }
    judge_duties(world, touch, report);
    judge_end(&versions, fleet, report);
}

fn judge_duties(world: &SoakWorld, touch: &TouchRecord, report: &mut SoakReport) {
    let reports: Vec<AcceptedReport> = world
        .standin
        .usage_reports()
        .into_iter()
        .map(|accepted| AcceptedReport {
            at: accepted.at.saturating_duration_since(world.start),
            holder: accepted.holder,
            fencing_token: accepted.fencing_token,
            window: accepted.body["window"].as_u64().unwrap_or_default(),
            counts: accepted.body["counts"].clone(),
        })
        .collect();
    if reports.is_empty() {
        report.violations.push("no usage was reported".to_owned());
    }
    let faults = judge_reports(&reports, DUTY_LEASE);
    report.violations.extend(faults.iter().map(|fault| format!("ONE: {fault:?}")));
    let runs: Vec<ObservedRun> = world
        .standin
        .take_runs()
        .into_iter()
        .filter_map(|run| {
            let host = run.request_id.split('-').next()?.parse().ok()?;
            let at = run.at.saturating_duration_since(world.start);
            Some(ObservedRun { replica: run.replica_id, host, at })
        })
        .collect();
    for run in judge_runs(&lock(&world.leaving), &runs, touch) {
        report.violations.push(format!("DRAIN: {run:?}"));
    }
}

/// Judges what the hosts know after the last calm.
fn judge_end(versions: &[SentVersion], fleet: &HostFleet, report: &mut SoakReport) {
    let newest = versions.iter().filter(|sent| sent.acknowledged_at.is_some());
    let newest = newest.map(|sent| sent.config.version).max().unwrap_or(0);
    let others = fleet.len() as u64 - 1;
    for host in 0..fleet.len() {
        let level = |name: &str| read_level(fleet.ip(host), name);
        let (version, peers) = (level("config_version"), level("peers"));
        if version.is_none_or(|version| version < newest) {
            report.violations.push(format!("END: host {host} has {version:?}, not {newest}"));
        }
        if peers != Some(others) {
            report.violations.push(format!("END: host {host} hears {peers:?} peers, not {others}"));
        }
    }
}
