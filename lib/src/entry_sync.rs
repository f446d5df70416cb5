//! Carries news between the peers and this host's decisions.
//!
//! Configuration offsets come in as hints and go out with heartbeats, and requests that a leaving
//! peer handed over are told when it is gone.

use std::sync::Arc;
use std::time::Duration;

use crate::config_follower::ConfigFollower;
use crate::crash_report_broadcaster::CrashReportBroadcaster;
use crate::handover_receiver::HandoverReceiver;
use crate::ids::LogOffset;
use crate::membership_service::MembershipService;
use crate::policy_applier::PolicyApplier;
use crate::supervisor::ChildContext;

/// Time between two rounds.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges news with the peers.
pub struct MemberSync {
    /// Members.
    pub members: Arc<MembershipService>,
    /// Configuration.
    pub config: Arc<ConfigFollower>,
    /// Policy that is applied when it changes.
    pub policy: PolicyApplier,
    /// Suspicions that go to the peers.
    pub crashes: CrashReportBroadcaster,
    /// Requests that peers handed over.
    pub taker: Arc<HandoverReceiver>,
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
        self.policy.apply();
        self.crashes.broadcast();
        self.taker.tick(|host| view.find(host).is_some());
    }
}
