//! Judges the usage reports that the cloud accepted, and the requests that reached replicas which
//! had said that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;

use crate::touch_record::TouchRecord;

/// Time after the acknowledgement of a replica's leaving until no request reaches it.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// An accepted usage report.
#[derive(Clone, Debug)]
pub struct AcceptedReport {
    /// When it was accepted, counted from the start of the run.
    pub at: Duration,
    /// Host that sent it.
    pub holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// Number of the window.
    pub window: u64,
    /// Requests by team.
    pub counts: Value,
}

/// How reports broke the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyFault {
    /// A window was reported with different counts.
    WindowTwice(u64),
    /// Two hosts used one fencing token.
    TokenShared(u64),
    /// The holders alternated within the lease; the time of the last report is given.
    Alternated(Duration),
}

/// Returns the faults among the reports, which are in the order of their times.
pub fn judge_reports(reports: &[AcceptedReport], lease: Duration) -> Vec<DutyFault> {
    let mut faults = Vec::new();
    let mut windows: BTreeMap<u64, &Value> = BTreeMap::new();
    let mut tokens: BTreeMap<u64, &str> = BTreeMap::new();
    for (index, report) in reports.iter().enumerate() {
        if *windows.entry(report.window).or_insert(&report.counts) != &report.counts {
            faults.push(DutyFault::WindowTwice(report.window));
        }
        if *tokens.entry(report.fencing_token).or_insert(&report.holder) != report.holder {
            faults.push(DutyFault::TokenShared(report.fencing_token));
        }
        let recent =
            || reports[..index].iter().rev().take_while(|item| item.at + lease > report.at);
        let other = recent().position(|item| item.holder != report.holder);
        if other
            .is_some_and(|skipped| recent().skip(skipped).any(|item| item.holder == report.holder))
        {
            faults.push(DutyFault::Alternated(report.at));
        }
    }
    faults
}

/// A replica that said that it leaves.
#[derive(Clone, Debug)]
pub struct LeavingReplica {
    /// Id of the replica.
    pub id: String,
    /// When the store acknowledged it.
    pub acknowledged_at: Duration,
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    /// Id of the replica.
    pub replica: String,
    /// Host that sent it.
    pub host: usize,
    /// When it arrived.
    pub at: Duration,
}

/// Returns the runs at replicas that had said so long before that they leave, from hosts in touch
/// all the while.
pub fn judge_runs<'a>(
    leaving: &[LeavingReplica],
    runs: &'a [ObservedRun],
    touch: &TouchRecord,
) -> Vec<&'a ObservedRun> {
    runs.iter()
        .filter(|run| {
            leaving.iter().any(|replica| {
                replica.id == run.replica
                    && replica.acknowledged_at + DRAIN_BOUND < run.at
                    && touch.in_touch(run.host, replica.acknowledged_at, run.at)
            })
        })
        .collect()
}
