//! Admission control for the servers of each service: fair shares, caps on requests in flight, and
//! load shedding by deadline.
//!
//! A request that is not expected to start before its deadline is refused on arrival instead of
//! when the deadline passes. No part of a refused request was dispatched, so the refusal may say
//! NOT_RUN.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fair_queue::FairQueue;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Weight of one ended request in the moving average of the time for which requests hold their
/// slot.
const HOLD_WEIGHT: f64 = 0.1;
/// Minimum retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a request at the admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionTicket(pub u64);

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Requested service.
    pub service: ServiceName,
    /// Total concurrency of the service's live servers; 0 if it has none, in which case slots do
    /// not limit admission.
    pub slots: u32,
    /// Team that sent the request.
    pub team: TeamName,
    /// Fair-share weight of the team.
    pub weight: u32,
    /// Maximum number of the team's admitted requests, across all services.
    pub max_in_flight: u32,
    /// Time by which the request must have started.
    pub deadline: Timestamp,
}

/// Input of the admission controller.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request arrived.
    Submit(AdmissionTicket, AdmissionRequest),
    /// An admitted request ended, or a waiting request was cancelled.
    Release(AdmissionTicket),
    /// The time of [`AdmissionController::next_timer`] is reached.
    Timer,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request may run.
    Admit(AdmissionTicket),
    /// The request is refused and was not run.
    Refuse {
        /// Refused request.
        ticket: AdmissionTicket,
        /// Reason.
        code: ResultCode,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct AdmissionEntry {
    request: AdmissionRequest,
    admitted_at: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    slots: u32,
    running: u32,
    mean_hold_s: f64,
    queue: FairQueue<AdmissionTicket>,
}

/// Decides which requests may run, and in which order.
#[derive(Debug, Default)]
pub struct AdmissionController {
    entries: BTreeMap<AdmissionTicket, AdmissionEntry>,
    services: BTreeMap<ServiceName, ServiceQueue>,
    running: BTreeMap<TeamName, u32>,
}

impl AdmissionController {
    /// Handles an event and returns the resulting decisions.
    pub fn on_event(&mut self, now: Timestamp, event: AdmissionEvent) -> Vec<AdmissionAction> {
        // A slot must not go to a request whose deadline has passed.
        let mut actions = self.expire(now);
        match event {
            AdmissionEvent::Submit(ticket, request) => {
                actions.extend(self.submit(now, ticket, request));
            }
            AdmissionEvent::Release(ticket) => self.release(now, ticket),
            AdmissionEvent::Timer => {}
        }
        self.admit_waiting(now, &mut actions);
        actions
    }

    /// Returns the earliest deadline of the waiting requests, or `None` if none waits.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let waiting = self.entries.values().filter(|entry| entry.admitted_at.is_none());
        waiting.map(|entry| entry.request.deadline).min()
    }

    /// Returns the number of a team's admitted requests.
    pub fn running(&self, team: &TeamName) -> u32 {
        self.running.get(team).copied().unwrap_or_default()
    }

    fn submit(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        request: AdmissionRequest,
    ) -> Option<AdmissionAction> {
        let (code, wait) = self.expected_wait(&request);
        if now + wait > request.deadline {
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Some(AdmissionAction::Refuse { ticket, code, retry_after });
        }
        let service = self.services.entry(request.service.clone()).or_default();
        service.slots = request.slots;
        service.queue.push(&request.team, request.weight, ticket);
        self.entries.insert(ticket, AdmissionEntry { request, admitted_at: None });
        None
    }

    /// Returns how long the request would wait, and the result code of the limit that causes the
    /// longest wait.
    fn expected_wait(&self, request: &AdmissionRequest) -> (ResultCode, Duration) {
        let Some(service) = self.services.get(&request.service) else {
            return (ResultCode::DeadlineUnreachable, Duration::ZERO);
        };
        let ahead = service.queue.waiting(&request.team) as f64;
        let at_cap = self.running(&request.team) >= request.max_in_flight;
        let cap_s = match at_cap {
            true => (ahead + 1.0) * service.mean_hold_s / f64::from(request.max_in_flight.max(1)),
            false => 0.0,
        };
        let share = f64::from(request.weight)
            / service.queue.total_weight(&request.team, request.weight).max(1) as f64;
        let full = request.slots > 0 && service.running >= request.slots;
        let share_s = match full {
            true => (ahead + 1.0) * service.mean_hold_s / (f64::from(request.slots) * share),
            false => 0.0,
        };
        if cap_s > share_s {
            return (ResultCode::TeamOverShare, Duration::from_secs_f64(cap_s));
        }
        (ResultCode::DeadlineUnreachable, Duration::from_secs_f64(share_s))
    }

    fn release(&mut self, now: Timestamp, ticket: AdmissionTicket) {
        let Some(entry) = self.entries.remove(&ticket) else { return };
        let Some(service) = self.services.get_mut(&entry.request.service) else { return };
        let Some(admitted_at) = entry.admitted_at else {
            service.queue.remove(&entry.request.team, &ticket);
            return;
        };
        service.running -= 1;
        service.mean_hold_s +=
            HOLD_WEIGHT * (now.since(admitted_at).as_secs_f64() - service.mean_hold_s);
        if let Some(running) = self.running.get_mut(&entry.request.team) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&entry.request.team);
            }
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    fn expire(&mut self, now: Timestamp) -> Vec<AdmissionAction> {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.admitted_at.is_none() && entry.request.deadline <= now);
        let expired: Vec<_> = expired.map(|(ticket, _)| *ticket).collect();
        let refuse = |ticket| AdmissionAction::Refuse {
            ticket,
            code: ResultCode::DeadlineUnreachable,
            retry_after: MIN_RETRY_AFTER,
        };
        expired.iter().for_each(|ticket| self.release(now, *ticket));
        expired.into_iter().map(refuse).collect()
    }

    fn admit_waiting(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        for service in self.services.values_mut() {
            while service.slots == 0 || service.running < service.slots {
                let (entries, running) = (&self.entries, &self.running);
                let below_cap = |team: &TeamName| {
                    let cap = entries.values().find(|entry| entry.request.team == *team);
                    let cap = cap.map_or(u32::MAX, |entry| entry.request.max_in_flight);
                    running.get(team).is_none_or(|running| *running < cap)
                };
                let Some((team, ticket)) = service.queue.pop(below_cap) else { break };
                if let Some(entry) = self.entries.get_mut(&ticket) {
                    entry.admitted_at = Some(now);
                }
                service.running += 1;
                *self.running.entry(team).or_default() += 1;
                actions.push(AdmissionAction::Admit(ticket));
            }
        }
    }
}
