//! How an entry host leaves: what it waits for, and what it hands to its peers.

use std::sync::Arc;
use std::time::Duration;

use crate::front_door::FrontDoor;
use crate::handover_sender::HandoverPorts;
use crate::handover_sender::HandoverSender;
use crate::membership_service::MembershipService;
use crate::session_registry::SessionRegistry;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Time between two looks at the sessions that still run.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the front door still answers after the host began to leave, so that the balancer
/// reads its state.
const LINGER: Duration = Duration::from_millis(500);
/// Time for handing over what still runs at the end of a planned stop.
const HANDOVER_TIME: Duration = Duration::from_secs(5);
/// Share of the time left on a reclaim for which sessions may still end by themselves, in percent.
const FINISH_PERCENT: u32 = 20;
/// Share of the time left on a reclaim by which all must be handed over, in percent.
const HANDOVER_PERCENT: u32 = 90;

/// Why a host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// An operator or the process's owner stops it: running requests may end.
    Planned,
    /// The cloud takes the host back after this time.
    Reclaimed {
        /// Time left.
        left: Duration,
    },
}

/// Takes a host out of service.
pub struct LeavingHost<'a> {
    /// Takes new work until now.
    pub front_door: &'a FrontDoor,
    /// Members, to announce the leave and to find peers.
    pub members: &'a MembershipService,
    /// Running sessions.
    pub registry: &'a SessionRegistry,
    /// What the handover needs.
    pub ports: HandoverPorts,
    /// Time that a planned stop waits for running requests, at most.
    pub drain_timeout: Duration,
}

impl LeavingHost<'_> {
    /// Announces the leave, lets requests end, and hands over those that do not in time.
    pub fn leave(&self, reason: LeaveReason) {
        let clock = self.ports.clock;
        let begin = clock.now();
        self.front_door.start_draining();
        self.members.leave();
        let (finish_by, end_by) = match reason {
            LeaveReason::Planned => {
                std::thread::sleep(LINGER.min(self.drain_timeout));
                let finish_by = begin + self.drain_timeout;
                (finish_by, finish_by + HANDOVER_TIME)
            }
            LeaveReason::Reclaimed { left } => {
                let share = |percent| begin + left * percent / 100;
                (share(FINISH_PERCENT), share(HANDOVER_PERCENT))
            }
        };
        if !self.wait_until_idle(clock, finish_by) {
            self.hand_over(end_by);
        }
    }

    /// Returns whether all accepted requests have ended, taken-over ones included.
    fn wait_until_idle(&self, clock: ProcessClock, until: Timestamp) -> bool {
        while self.front_door.running() > 0 || !self.registry.running().is_empty() {
            if clock.now() >= until {
                return false;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        true
    }

    fn hand_over(&self, until: Timestamp) {
        let view = self.members.snapshot();
        let peers: Vec<_> = view.routable().map(|member| member.address).collect();
        let host = &view.local.host;
        let running = self.registry.running().len();
        log::info!("event=handing_over host={host} running={running} peers={}", peers.len());
        self.front_door.refuse_waiting();
        HandoverSender::new(self.ports.clone()).hand_over_all(&peers, until);
        self.wait_until_idle(self.ports.clock, until);
    }
}

/// Returns the ports of a handover.
pub fn leaver_ports(
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
