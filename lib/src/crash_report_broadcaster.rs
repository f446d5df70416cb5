//! Broadcasts this host's crash reports to its peers.
//!
//! A report is sent as soon as its content changes and repeated at intervals while it is not empty,
//! because each message may be lost. Nothing is sent while there is nothing to report.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::crash_report::CrashReport;
use crate::crash_suspects::CrashSuspects;
use crate::member_snapshot::MemberState;
use crate::membership_service::MembershipService;
use crate::session_ports::lock;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;
use crate::verdict_table::PartVerdict;

/// Time after which an unchanged report is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Empty reports sent after the last one with content, so that the loss of one is harmless.
const FINAL_EMPTY_REPORTS: u32 = 3;

/// The report sent last.
#[derive(Debug, Default)]
struct LastReport {
    content: Option<CrashReport>,
    sent_at: Timestamp,
    empty_reports_left: u32,
}

/// Sends crash reports to the peers.
pub struct CrashReportBroadcaster {
    clock: ProcessClock,
    suspects: Arc<Mutex<CrashSuspects>>,
    members: Arc<MembershipService>,
    last: Mutex<LastReport>,
}

impl CrashReportBroadcaster {
    /// Builds a broadcaster that has sent nothing yet.
    pub fn new(
        clock: ProcessClock,
        suspects: Arc<Mutex<CrashSuspects>>,
        members: Arc<MembershipService>,
    ) -> Self {
        Self { clock, suspects, members, last: Mutex::default() }
    }

    /// Sends a report to all reachable peers if one is due. Call it frequently:
    /// changes and repeats are noticed only here.
    pub fn broadcast(&self) {
        let now = self.clock.now();
        let (changed, report) = {
            let mut suspects = lock(&self.suspects);
            (suspects.judge(now, wall_clock_ms()), suspects.report(now))
        };
        for PartVerdict { parts, state, crashes, .. } in &changed {
            log::warn!("event=crash_verdict parts={parts} state={state:?} crashes={crashes}");
        }
        if !lock(&self.last).is_due(now, &report) {
            return;
        }
        let bytes = match report.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("event=crash_report_too_large error=\"{error}\"");
                return;
            }
        };
        let view = self.members.snapshot();
        let reachable =
            view.members.iter().filter(|member| member.state != MemberState::Unreachable);
        for member in reachable {
            self.members.client().share_crash_report(member.address, bytes.clone());
        }
    }
}

impl LastReport {
    /// Returns whether the report is to be sent now, and if so records it as sent.
    fn is_due(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        let content = without_ages(report);
        let is_empty = is_empty(&content);
        let is_changed = match &self.content {
            Some(last) => *last != content,
            None => !is_empty,
        };
        let is_repeat = now.since(self.sent_at) >= REPEAT_INTERVAL
            && (!is_empty || self.empty_reports_left > 0);
        if !is_changed && !is_repeat {
            return false;
        }
        self.empty_reports_left =
            if is_empty { self.empty_reports_left.saturating_sub(1) } else { FINAL_EMPTY_REPORTS };
        self.content = Some(content);
        self.sent_at = now;
        true
    }
}

/// Returns the report with all ages set to zero, for comparison by content.
fn without_ages(report: &CrashReport) -> CrashReport {
    let mut content = report.clone();
    content.crashes.iter_mut().for_each(|crash| crash.age_ms = 0);
    content.cleared_parts.iter_mut().for_each(|cleared| cleared.age_ms = 0);
    content.cleared.iter_mut().chain(&mut content.refused).for_each(|verdict| verdict.age_ms = 0);
    content
}

fn is_empty(report: &CrashReport) -> bool {
    let CrashReport {
        version: _,
        from: _,
        crashes,
        trials,
        busy,
        cleared,
        refused,
        cleared_parts,
        verdicts,
    } = report;
    crashes.is_empty()
        && trials.is_empty()
        && busy.is_empty()
        && cleared.is_empty()
        && refused.is_empty()
        && cleared_parts.is_empty()
        && verdicts.is_empty()
}
