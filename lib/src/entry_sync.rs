//! Synchronizes an entry host with its peers, once per interval.
//!
//! The newest configuration offset of the peers becomes a hint for the configuration follower, and
//! this host's own offset goes out with its heartbeats. Requests that a leaving peer handed over
//! are notified when that peer is gone.

use std::sync::Arc;
use std::time::Duration;

use crate::config_follower::ConfigFollower;
use crate::crash_report_broadcaster::CrashReportBroadcaster;
use crate::handover_receiver::HandoverReceiver;
use crate::ids::LogOffset;
use crate::membership_service::MembershipService;
use crate::policy_applier::PolicyApplier;
use crate::supervisor::ChildContext;

/// Interval between rounds.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Synchronizes the state of this host with its peers.
pub struct MemberSync {
    /// Members.
    pub members: Arc<MembershipService>,
    /// Configuration.
    pub config: Arc<ConfigFollower>,
    /// Applies policy changes.
    pub policy: PolicyApplier,
    /// Sends crash suspicions to the peers.
    pub crash_reports: CrashReportBroadcaster,
    /// Takes over requests from peers.
    pub handover_receiver: Arc<HandoverReceiver>,
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
            // Peers report the first offset they have not applied, so the record before it exists.
            self.config.hint(LogOffset(view.config_offset.0 - 1));
        }
        self.members.set_config_offset(config.next_offset);
        self.policy.apply();
        self.crash_reports.broadcast();
        self.handover_receiver.tick(|host| view.find(host).is_some());
    }
}
