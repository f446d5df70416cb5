//! Reports the use of quotas, and decisions by rank, to the log and the metrics.

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::quota::quota_limiter::TeamReport;
use crate::gateway::quota::rank_split::ByRank;
use crate::ids::TeamName;

/// Counts what was decided since the last report. A team with refusals gets a log line.
pub fn report_quotas(state: &GatewayState) {
    let config = state.config.borrow();
    let Some(config) = config.current() else { return };
    let quota_of = |team: &TeamName| config.teams.get(team).and_then(|rule| rule.quota);
    let reports = state.quotas.borrow_mut().take_reports(state.now(), quota_of);
    for report in reports {
        let per_mille = (report.used_fraction * 1_000.0) as i64;
        state.metrics.quota_use.with_label_values(&[report.team.as_str()]).set(per_mille);
        count_decisions(state, "admitted", &report.admitted);
        count_decisions(state, "refused", &report.refused);
        if report.refused.iter().any(|count| *count > 0) {
            log_refusals(&report, per_mille);
        }
    }
}

fn count_decisions(state: &GatewayState, outcome: &str, counts: &ByRank<u32>) {
    for (rank, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
        let labels = [rank.to_string(), outcome.to_owned()];
        let labels = labels.each_ref().map(String::as_str);
        state.metrics.quota_decisions.with_label_values(&labels).inc_by(u64::from(*count));
    }
}

fn log_refusals(report: &TeamReport, per_mille: i64) {
    log::info!(
        "event=quota_use team={} used_per_mille={per_mille} available={:.0} admitted={:?} \
         refused={:?}",
        report.team,
        report.available,
        report.admitted,
        report.refused,
    );
}
