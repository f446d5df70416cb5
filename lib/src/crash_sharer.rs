//! Tells the peers what this host knows about requests that crash backend servers.
//!
//! A report goes out at once when its content changed, and again at intervals while there is
//! anything to tell, since each may be lost. Without suspicions nothing is sent.

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

/// Time after which an unchanged report is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Reports without content that end a series, so that a lost one does no harm.
const CLOSING_REPORTS: u32 = 3;

/// What was sent last.
#[derive(Debug, Default)]
struct LastReport {
    content: Option<CrashReport>,
    sent_at: Timestamp,
    closing: u32,
}

/// Sends crash reports to the peers.
pub struct CrashSharer {
    clock: ProcessClock,
    suspects: Arc<Mutex<CrashSuspects>>,
    members: Arc<MembershipService>,
    last: Mutex<LastReport>,
}

impl CrashSharer {
    /// Builds a sharer that has sent nothing.
    pub fn new(
        clock: ProcessClock,
        suspects: Arc<Mutex<CrashSuspects>>,
        members: Arc<MembershipService>,
    ) -> Self {
        Self { clock, suspects, members, last: Mutex::default() }
    }

    /// Sends a report if one is due; to be called often.
    pub fn share(&self) {
        let now = self.clock.now();
        let report = lock(&self.suspects).report(now);
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
    /// Decides whether a report is sent now, and remembers it if so.
    fn is_due(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        let content = without_ages(report);
        let is_empty = is_empty(&content);
        let is_news = match &self.content {
            Some(last) => *last != content,
            None => !is_empty,
        };
        let is_repeat =
            now.since(self.sent_at) >= REPEAT_INTERVAL && (!is_empty || self.closing > 0);
        if !is_news && !is_repeat {
            return false;
        }
        self.closing = if is_empty { self.closing.saturating_sub(1) } else { CLOSING_REPORTS };
        self.content = Some(content);
        self.sent_at = now;
        true
    }
}

/// Returns the report with all ages zero, so that only its content counts.
fn without_ages(report: &CrashReport) -> CrashReport {
    let mut content = report.clone();
    content.crashes.iter_mut().for_each(|crash| crash.age_ms = 0);
    content.cleared.iter_mut().chain(&mut content.refused).for_each(|verdict| verdict.age_ms = 0);
    content
}

fn is_empty(report: &CrashReport) -> bool {
    let CrashReport { version: _, from: _, crashes, trials, busy, cleared, refused } = report;
    crashes.is_empty()
        && trials.is_empty()
        && busy.is_empty()
        && cleared.is_empty()
        && refused.is_empty()
}
