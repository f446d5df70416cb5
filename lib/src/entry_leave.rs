//! Graceful leave of an entry host: drains running requests and hands the rest over to peers.

use std::sync::Arc;
use std::time::Duration;

use crate::front_door::FrontDoor;
use crate::handover_sender::HandoverPorts;
use crate::handover_sender::HandoverSender;
use crate::membership_service::MembershipService;
use crate::session_registry::SessionRegistry;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Interval between checks for running sessions.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the front door still answers after the host starts to leave, so that the load
/// balancer sees the host's new state.
const LISTEN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time for handing over requests that still run when a planned stop's drain timeout expires.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of the time left before a reclaim for which sessions may finish by themselves, in percent.
const DRAIN_PERCENT: u32 = 20;
/// Share of the time left before a reclaim by which all handovers must be complete, in percent.
const HANDOVER_PERCENT: u32 = 90;

/// Why a host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// An operator or the owner of the process stops it: running requests may finish.
    Planned,
    /// The cloud reclaims the host.
    Reclaimed {
        /// Time until the host is gone.
        left: Duration,
    },
}

/// Takes a host out of service.
pub struct LeavingHost<'a> {
    /// Front door, which stops accepting work.
    pub front_door: &'a FrontDoor,
    /// Members, to announce the leave and to find peers.
    pub members: &'a MembershipService,
    /// Running sessions.
    pub registry: &'a SessionRegistry,
    /// Dependencies of the handover.
    pub ports: HandoverPorts,
    /// Maximum time that a planned stop waits for running requests.
    pub drain_timeout: Duration,
}

impl LeavingHost<'_> {
    /// Announces the leave, waits for requests to finish and hands over those that do not finish in
    /// time.
    pub fn leave(&self, reason: LeaveReason) {
        let clock = self.ports.clock;
        let started_at = clock.now();
        self.front_door.start_draining();
        self.members.leave();
        let (drain_deadline, handover_deadline) = match reason {
            LeaveReason::Planned => {
                std::thread::sleep(LISTEN_GRACE_PERIOD.min(self.drain_timeout));
                let drain_deadline = started_at + self.drain_timeout;
                (drain_deadline, drain_deadline + HANDOVER_TIMEOUT)
            }
            LeaveReason::Reclaimed { left } => {
                let share = |percent| started_at + left * percent / 100;
                (share(DRAIN_PERCENT), share(HANDOVER_PERCENT))
            }
        };
        if !self.wait_until_idle(clock, drain_deadline) {
            self.hand_over(handover_deadline);
        }
    }

    /// Waits until all requests have ended, including those taken over from peers. Returns whether
    /// they ended before the deadline.
    fn wait_until_idle(&self, clock: ProcessClock, deadline: Timestamp) -> bool {
        while self.front_door.running() > 0 || !self.registry.running().is_empty() {
            if clock.now() >= deadline {
                return false;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        true
    }

    fn hand_over(&self, deadline: Timestamp) {
        let view = self.members.snapshot();
        let peers: Vec<_> = view.routable().map(|member| member.address).collect();
        let host = &view.local.host;
        let running = self.registry.running().len();
        log::info!("event=handing_over host={host} running={running} peers={}", peers.len());
        self.front_door.refuse_waiting();
        HandoverSender::new(self.ports.clone()).hand_over_all(&peers, deadline);
        self.wait_until_idle(self.ports.clock, deadline);
    }
}

/// Returns the dependencies of a handover.
pub fn handover_ports(
    members: &MembershipService,
    registry: &Arc<SessionRegistry>,
    answers: &Arc<crate::answer_store::AnswerStore>,
    clock: ProcessClock,
) -> HandoverPorts {
    HandoverPorts {
        host: members.snapshot().local.host.clone(),
        clock,
        registry: registry.clone(),
        answers: answers.clone(),
        client: members.client(),
    }
}
