//! Carries news between the peers and this host's decisions.
//!
//! Configuration offsets come in as hints and go out with heartbeats, and the platform's host list
//! goes into membership.

use std::sync::Arc;
use std::time::Duration;

use crate::config_follower::ConfigFollower;
use crate::ids::LogOffset;
use crate::member_keeper::MemberKeeper;
use crate::metrics::GaugeMetric;
use crate::metrics::MetricsReporter;
use crate::session_registry::SessionRegistry;
use crate::supervisor::ChildContext;

/// Time between two rounds.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges news with the peers.
pub struct MemberSync {
    /// Members.
    pub members: Arc<MemberKeeper>,
    /// Configuration.
    pub config: Arc<ConfigFollower>,
    /// Running sessions, for the metrics.
    pub registry: Arc<SessionRegistry>,
    /// Metrics.
    pub metrics: Arc<MetricsReporter>,
}

impl MemberSync {
    /// Runs until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.exchange();
            context.report_progress();
            std::thread::sleep(SYNC_INTERVAL);
        }
    }

    fn exchange(&self) {
        let view = self.members.snapshot();
        let config = self.config.current();
        if view.config_offset > config.next_offset {
            // Peers tell the first offset that they have not folded; the one before it exists.
            self.config.hint(LogOffset(view.config_offset.0 - 1));
        }
        self.members.set_config_offset(config.next_offset);
        self.metrics.gauge(GaugeMetric::LiveMembers, view.routable().count() as u64 + 1);
        self.metrics.gauge(GaugeMetric::InFlight, self.registry.running().len() as u64);
        if let Some(revision) = config.revision {
            self.metrics.gauge(GaugeMetric::ConfigRevision, revision.0);
        }
    }
}
