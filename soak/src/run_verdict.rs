//! Judges a whole run.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use testutils::deployment_standin::ReplicaMode;
use testutils::deployment_standin::ReplicaRun;
use testutils::gateway_process::read_level;
use testutils::stream_overlap::MAX_STREAM_OVERLAP;
use testutils::stream_overlap::long_overlaps;

use crate::call_judge::CallContext;
use crate::call_judge::WorkRun;
use crate::call_judge::announced_leavers;
use crate::call_judge::count_excuses;
use crate::call_judge::judge_calls;
use crate::config_judge::ConfigFault;
use crate::config_judge::SentVersion;
use crate::config_judge::judge_answers;
use crate::duty_judge::AcceptedReport;
use crate::duty_judge::ObservedRun;
use crate::duty_judge::judge_reports;
use crate::duty_judge::judge_runs;
use crate::fault_plan::PAUSE_TIME;
use crate::host_fleet::HostFleet;
use crate::limit_judge::LimitArrival;
use crate::limit_judge::LimitedReplica;
use crate::part_judge::ArrivalOutcome;
use crate::part_judge::ReplicaArrival;
use crate::part_judge::judge_crashing;
use crate::part_judge::judge_leaving;
use crate::part_judge::judge_pauses;
use crate::recover_judge::judge_recovery;
use crate::soak_run::SoakReport;
use crate::soak_run::SoakWorld;
use crate::soak_run::lock;
use crate::touch_record::TouchRecord;
use crate::work_plan::WORK_ROUTES;

/// Lease on the duties in the stand-in's settings.
const DUTY_LEASE: Duration = Duration::from_millis(600);

/// Time from SIGTERM until a host is killed in the stand-in's settings.
const GRACE: Duration = Duration::from_secs(8);

/// Longest time for which a caller holds a request.
const MAX_RUN_TIME: Duration = Duration::from_secs(8);

/// Memory of a host in KiB.
const HOST_MEMORY_KIB: u64 = 160 * 1024;

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
    let runs = world.standin.take_runs();
    judge_work(world, &versions, &runs, touch, report);
    judge_overlaps(world, &runs, touch, report);
    let unserved = judge_recovery(&lock(&world.calls), touch);
    report.violations.extend(unserved.iter().map(|fault| format!("RECOVER: {fault:?}")));
    judge_parts(world, &runs, touch, report);
    judge_limits(world, &runs, touch, report);
    judge_duties(world, runs, touch, report);
    judge_processes(fleet, report);
    judge_end(&versions, fleet, report);
}

fn judge_work(
    world: &SoakWorld,
    versions: &[SentVersion],
    replica_runs: &[ReplicaRun],
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
    let mut runs: BTreeMap<String, Vec<WorkRun>> = BTreeMap::new();
    let crashes = world.standin.crashes();
    for run in replica_runs {
        let (replica, mode) = (run.replica_id.clone(), run.mode);
        let crashed = crashes.iter().any(|crash| {
            crash.replica == run.replica && crash.at >= run.at && crash.at <= run.at + MAX_RUN_TIME
        });
        let at = run.at.saturating_duration_since(world.start);
        let runs = runs.entry(run.request_id.clone()).or_default();
        runs.push(WorkRun { replica, mode, at, crashed });
    }
    let calls = lock(&world.calls);
    for call in calls.iter() {
        *report.outcomes.entry(call.outcome).or_default() += 1;
    }
    let context = CallContext { runs: &runs, versions, touch, grace: GRACE };
    report.excuses = count_excuses(&calls, &context);
    for (index, fault) in judge_calls(&calls, &context) {
        let call = &calls[index];
        report.violations.push(format!(
            "CALL {fault:?}: {}, {call:?}, runs {:?}",
            WORK_ROUTES[call.route].prefix,
            runs.get(&call.request_id)
        ));
    }
}

/// Judges for how long two replicas worked on one stream. Ids of callers that keep them name no host.
fn judge_overlaps(
    world: &SoakWorld,
    runs: &[ReplicaRun],
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
    let ends = world.standin.stream_ends();
    for overlap in long_overlaps(runs, &ends, Instant::now(), MAX_STREAM_OVERLAP) {
        let Some(host) = host_of(&overlap.request_id) else { continue };
        let at = overlap.at.saturating_duration_since(world.start);
        // The close of a connection doesn't arrive over a link that is cut.
        let is_reached = !touch.was_cut(host, at, at + overlap.time);
        if is_reached && touch.processes_ran(host, at, at + overlap.time) {
            report.violations.push(format!(
                "OVERLAP at {at:.3?}: {} at {:?} for {:.3?}",
                overlap.request_id, overlap.replicas, overlap.time
            ));
        }
    }
}

/// Returns the number of the host that a request was sent to.
fn host_of(request_id: &str) -> Option<usize> {
    request_id.split('-').next()?.parse().ok()
}

fn judge_parts(
    world: &SoakWorld,
    runs: &[ReplicaRun],
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
    let since_start = |at: Instant| at.saturating_duration_since(world.start);
    let run_arrivals = runs.iter().filter_map(|run| {
        let outcome = match (run.crashing_part, run.mode) {
            (Some(_), _) => ArrivalOutcome::Crashed,
            (None, ReplicaMode::Leaving) => ArrivalOutcome::SaidLeaving,
            (None, _) => ArrivalOutcome::Answered,
        };
        let (replica, at) = (run.replica_id.clone(), since_start(run.at));
        Some(ReplicaArrival { replica, host: host_of(&run.request_id)?, at, outcome })
    });
    let rejections = world.standin.rejections();
    let rejected = rejections.iter().filter_map(|rejection| {
        let (replica, at) = (rejection.replica_id.clone(), since_start(rejection.at));
        let (host, outcome) = (host_of(&rejection.request_id)?, ArrivalOutcome::TurnedAway);
        Some(ReplicaArrival { replica, host, at, outcome })
    });
    let arrivals: Vec<ReplicaArrival> = run_arrivals.chain(rejected).collect();
    let crashes: Vec<Duration> =
        world.standin.crashes().iter().map(|crash| since_start(crash.at)).collect();
    report.crashes = crashes.len();
    let faults = [
        ("BUDGET", judge_crashing(&arrivals, &crashes, touch)),
        ("LEAVING", judge_leaving(&arrivals, touch)),
        ("PAUSE", judge_pauses(&arrivals, PAUSE_TIME, touch)),
    ];
    for (rule, faulty) in faults {
        report.violations.extend(faulty.iter().map(|arrival| format!("{rule}: {arrival:?}")));
    }
    let refused = lock(&world.wrongly_refused);
    report.violations.extend(refused.iter().map(|id| format!("PART: {id} was refused")));
}

fn judge_limits(
    world: &SoakWorld,
    runs: &[ReplicaRun],
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
    let since_start = |at: Instant| at.saturating_duration_since(world.start);
    let mut replicas: BTreeMap<String, LimitedReplica> = BTreeMap::new();
    for record in world.standin.limit_records() {
        let limit = record.limit.as_deref().and_then(parse_limit);
        let replica = replicas.entry(record.replica_id).or_default();
        replica.limits.push((since_start(record.at), limit));
    }
    let answers = world.standin.limit_answers().into_iter();
    for answer in answers.filter(|answer| parse_limit(&answer.limit).is_some()) {
        let host = host_of(&answer.request_id);
        let replica = replicas.get_mut(&answer.replica_id);
        if let (Some(host), Some(replica)) = (host, replica) {
            replica.answers.push(LimitArrival { host, at: since_start(answer.at) });
        }
    }
    let rejections = world.standin.rejections();
    let rejected = rejections.iter().map(|item| (&item.replica_id, &item.request_id, item.at));
    let ran = runs.iter().map(|run| (&run.replica_id, &run.request_id, run.at));
    for (replica, request_id, at) in ran.chain(rejected) {
        let replica = replicas.get_mut(replica);
        if let (Some(host), Some(replica)) = (host_of(request_id), replica) {
            replica.arrivals.push(LimitArrival { host, at: since_start(at) });
        }
    }
    for (id, replica) in replicas {
        let told = replica.told_arrivals(touch);
        report.limited += told.len();
        if let Some(excess) = replica.worst_excess(&told) {
            report.violations.push(format!("LIMIT: {id}: {excess:?}, {:?}", replica.limits));
        }
    }
}

/// Returns the requests per second that a replica names, if its field is a number of them.
fn parse_limit(field: &str) -> Option<f64> {
    field.parse().ok().filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
}

fn judge_processes(fleet: &HostFleet, report: &mut SoakReport) {
    report.violations.extend(fleet.self_ended().iter().map(|host| format!("ENDED: {host}")));
    for host in 0..fleet.len() {
        let peak = fleet.peak_memory(host);
        report.peak_memory_kib = report.peak_memory_kib.max(peak);
        if peak > HOST_MEMORY_KIB {
            report.violations.push(format!("MEMORY: host {host} took {peak} KiB"));
        }
    }
}

fn judge_duties(
    world: &SoakWorld,
    runs: Vec<ReplicaRun>,
    touch: &TouchRecord,
    report: &mut SoakReport,
) {
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
    let runs: Vec<ObservedRun> = runs
        .into_iter()
        .filter_map(|run| {
            let host = host_of(&run.request_id)?;
            let at = run.at.saturating_duration_since(world.start);
            Some(ObservedRun { replica: run.replica_id, host, at })
        })
        .collect();
    for run in judge_runs(&lock(&world.leaving), &runs, touch) {
        report.violations.push(format!("DRAIN: {run:?}"));
    }
    let announced = announced_leavers(&lock(&world.calls), touch);
    for run in judge_runs(&announced, &runs, touch) {
        report.violations.push(format!("DRAIN after Server-Leaving: {run:?}"));
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
