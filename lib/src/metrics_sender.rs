//! Sends the counters and gauges that other modules maintain, once per interval.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::burn_tracker::BurnTracker;
use crate::claim_keeper::ClaimKeeper;
use crate::config_follower::ConfigFollower;
use crate::membership_service::MembershipService;
use crate::metrics::CounterMetric;
use crate::metrics::GaugeMetric;
use crate::metrics::MetricsReporter;
use crate::result_code::ResultCode;
use crate::session_ports::SessionCounters;
use crate::session_ports::lock;
use crate::session_registry::SessionRegistry;
use crate::supervisor::ChildContext;

/// Interval between rounds.
const SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds per report of burn rates.
const ROUNDS_PER_BURN_REPORT: u64 = 20;

/// Sources of the counters and gauges, and the reporter that sends them.
pub struct SenderPorts {
    /// Reporter that sends the metrics.
    pub metrics: Arc<MetricsReporter>,
    /// Counts of sessions.
    pub counters: Arc<SessionCounters>,
    /// Running sessions.
    pub registry: Arc<SessionRegistry>,
    /// Claims.
    pub claims: Arc<ClaimKeeper>,
    /// Configuration.
    pub config: Arc<ConfigFollower>,
    /// Members.
    pub members: Arc<MembershipService>,
    /// Service-level burn of this host.
    pub burn: Arc<BurnTracker>,
}

/// Totals of the last round.
#[derive(Debug, Default)]
struct SentTotals {
    counters: BTreeMap<&'static str, u64>,
    skipped: BTreeMap<ResultCode, u64>,
    rounds: u64,
}

/// Sends counters as differences since the last round, and gauges as current values.
pub struct MetricsSender {
    ports: SenderPorts,
    sent: Mutex<SentTotals>,
}

impl MetricsSender {
    /// Builds a sender that has sent nothing yet.
    pub fn new(ports: SenderPorts) -> Self {
        Self { ports, sent: Mutex::default() }
    }

    /// Runs until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.send_counters(context.restarts());
            self.send_skipped();
            self.send_gauges();
            self.send_burn();
            context.report_progress();
            std::thread::sleep(SEND_INTERVAL);
        }
    }

    fn send_counters(&self, restarts: u64) {
        let counters = &self.ports.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let totals = [
            (CounterMetric::Retries, read(&counters.retries)),
            (CounterMetric::TokensRecomputed, read(&counters.recomputed_tokens)),
            (CounterMetric::Claims, self.ports.claims.stats().appends),
            (CounterMetric::ChildRestarts, restarts),
        ];
        let mut sent = lock(&self.sent);
        for (metric, total) in totals {
            let last = sent.counters.insert(metric.name(), total).unwrap_or_default();
            self.ports.metrics.count_untagged(metric, total.saturating_sub(last));
        }
    }

    fn send_skipped(&self) {
        let mut totals = self.ports.members.refusals().counts();
        for (code, count) in self.ports.config.status().skipped {
            *totals.entry(code).or_default() += count;
        }
        let bad_claims = self.ports.claims.stats().bad_records;
        *totals.entry(ResultCode::RecordMalformed).or_default() += bad_claims;
        let mut sent = lock(&self.sent);
        for (code, total) in totals {
            let last = sent.skipped.insert(code, total).unwrap_or_default();
            let count = total.saturating_sub(last);
            self.ports.metrics.count_code(CounterMetric::SkippedInput, code, count);
        }
    }

    /// Sends the burn rates of this host once every [`ROUNDS_PER_BURN_REPORT`] rounds.
    fn send_burn(&self) {
        {
            let mut sent = lock(&self.sent);
            sent.rounds += 1;
            if !sent.rounds.is_multiple_of(ROUNDS_PER_BURN_REPORT) {
                return;
            }
        }
        let report = match self.ports.burn.local_report() {
            Ok(report) => report,
            Err(error) => {
                log::warn!("event=burn_report_failed error=\"{error}\"");
                return;
            }
        };
        for row in &report.services {
            for window in &row.windows {
                let rate = window.burn_permille();
                self.ports.metrics.gauge_burn(&row.service, window.window.name(), rate);
            }
        }
    }

    fn send_gauges(&self) {
        let metrics = &self.ports.metrics;
        let view = self.ports.members.snapshot();
        metrics.gauge(GaugeMetric::LiveMembers, view.routable().count() as u64 + 1);
        metrics.gauge(GaugeMetric::InFlight, self.ports.registry.running().len() as u64);
        metrics.gauge(GaugeMetric::QueueLength, self.ports.registry.waiting() as u64);
        if let Some(revision) = self.ports.config.current().revision {
            metrics.gauge(GaugeMetric::ConfigRevision, revision.0);
        }
    }
}
