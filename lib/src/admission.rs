//! Admits requests to the servers of a service: fair shares, caps and early refusal.
//!
//! A request that cannot start before its deadline is refused when it comes, not when the deadline
//! passes. Nothing of a refused request was dispatched, so the refusal may say NOT_RUN.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fair_queue::FairQueue;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::result_code::ResultCode;
use crate::timestamp::Timestamp;

/// Weight of one ended request in the mean time for which requests hold their place.
const HOLD_WEIGHT: f64 = 0.1;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names one request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionTicket(pub u64);

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service asked for.
    pub service: ServiceName,
    /// Requests that the service's servers take at once; 0 if it has none.
    pub slots: u32,
    /// Team that asks.
    pub team: TeamName,
    /// Its weight.
    pub weight: u32,
    /// Its requests at once, at most, over all services.
    pub max_in_flight: u32,
    /// Time at which the request must have started.
    pub deadline: Timestamp,
}

/// What happens at the gate.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request comes.
    Submit(AdmissionTicket, AdmissionRequest),
    /// An admitted request ended, or a waiting one was withdrawn.
    Release(AdmissionTicket),
    /// The time of [`AdmissionController::next_timer`] is reached.
    Timer,
}

/// What the gate decides about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// It may go on.
    Admit(AdmissionTicket),
    /// It is refused and was not run.
    Refuse {
        /// Request.
        ticket: AdmissionTicket,
        /// Why.
        code: ResultCode,
        /// Time after which it may do better.
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

/// Decides who may go on to the servers.
#[derive(Debug, Default)]
pub struct AdmissionController {
    entries: BTreeMap<AdmissionTicket, AdmissionEntry>,
    services: BTreeMap<ServiceName, ServiceQueue>,
    running: BTreeMap<TeamName, u32>,
}

impl AdmissionController {
    /// Takes an event and returns the decisions that follow.
    pub fn on_event(&mut self, now: Timestamp, event: AdmissionEvent) -> Vec<AdmissionAction> {
        // A place must not go to a request that is late already.
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

    /// Returns when the first waiting request gives up, if any waits.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let waiting = self.entries.values().filter(|entry| entry.admitted_at.is_none());
        waiting.map(|entry| entry.request.deadline).min()
    }

    /// Returns the admitted requests of a team.
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

    /// Returns how long the request would wait, and the code of the limit that holds it longest.
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

    /// Refuses the waiting requests whose deadline has come.
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
