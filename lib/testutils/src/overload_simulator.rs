//! Simulates overload in virtual time, with the admission controller and with a FIFO queue.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use pomelostack_lib::admission::AdmissionAction;
use pomelostack_lib::admission::AdmissionController;
use pomelostack_lib::admission::AdmissionEvent;
use pomelostack_lib::admission::AdmissionRequest;
use pomelostack_lib::admission::AdmissionTicket;
use pomelostack_lib::ids::NameError;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::TeamName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Number of requests that run concurrently.
pub const SLOTS: u32 = 16;
/// Time for which each request holds its slot.
pub const HOLD: Duration = Duration::from_millis(500);
/// Time after its arrival by which a request must start.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Policy that decides which requests run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// The admission controller, with fair shares and refusals.
    FairShare,
    /// First come, first served, without refusals.
    Fifo,
}

/// Offered load of one team.
#[derive(Clone, Copy, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
}

/// Outcome of one team's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamResult {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests that started by their deadline.
    pub in_time: usize,
    /// Number of requests that were refused.
    pub refused: usize,
    /// 95th percentile of the wait of the requests that started, in milliseconds.
    pub p95_wait_ms: f64,
}

/// Returns the number of requests that all slots together can run in `seconds`.
pub fn capacity(seconds: u64) -> f64 {
    f64::from(SLOTS) * seconds as f64 / HOLD.as_secs_f64()
}

enum SimulatedQueue {
    FairShare(AdmissionController),
    Fifo { running: u32, waiting: VecDeque<u64> },
}

impl SimulatedQueue {
    fn submit(
        &mut self,
        now: Timestamp,
        ticket: u64,
        request: AdmissionRequest,
    ) -> Vec<AdmissionAction> {
        match self {
            Self::FairShare(controller) => {
                controller.on_event(now, AdmissionEvent::Submit(AdmissionTicket(ticket), request))
            }
            Self::Fifo { running, waiting } => {
                waiting.push_back(ticket);
                start_next(running, waiting)
            }
        }
    }

    fn end(&mut self, now: Timestamp, ticket: u64) -> Vec<AdmissionAction> {
        match self {
            Self::FairShare(controller) => {
                controller.on_event(now, AdmissionEvent::Release(AdmissionTicket(ticket)))
            }
            Self::Fifo { running, waiting } => {
                *running -= 1;
                start_next(running, waiting)
            }
        }
    }
}

fn start_next(running: &mut u32, waiting: &mut VecDeque<u64>) -> Vec<AdmissionAction> {
    let mut actions = Vec::new();
    while *running < SLOTS {
        let Some(ticket) = waiting.pop_front() else { break };
        *running += 1;
        actions.push(AdmissionAction::Admit(AdmissionTicket(ticket)));
    }
    actions
}

/// Simulates `seconds` of random arrivals; returns the results of the teams in the given order.
pub fn simulate_overload(
    policy: AdmissionPolicy,
    teams: &[TeamLoad],
    seconds: u64,
    seed: u64,
) -> Result<Vec<TeamResult>, NameError> {
    let mut queue = match policy {
        AdmissionPolicy::FairShare => SimulatedQueue::FairShare(AdmissionController::default()),
        AdmissionPolicy::Fifo => SimulatedQueue::Fifo { running: 0, waiting: VecDeque::new() },
    };
    let service = ServiceName::try_from("briefing")?;
    let arrivals = draw_arrivals(teams, seconds, seed);
    let mut results = vec![TeamResult::default(); teams.len()];
    let mut waits = vec![Vec::new(); teams.len()];
    let mut ends = BTreeMap::new();
    let mut next = 0;
    loop {
        let arrival = arrivals.get(next).map(|(at, _)| *at);
        let end = ends.first_key_value().map(|(&(at, _), ())| at);
        let (now, actions) = match (arrival, end) {
            (None, None) => break,
            (Some(at), end) if end.is_none_or(|end| at < end) => {
                let (_, team) = arrivals[next];
                results[team].sent += 1;
                let request = AdmissionRequest {
                    service: service.clone(),
                    slots: SLOTS,
                    team: TeamName::try_from(teams[team].name)?,
                    weight: 1,
                    max_in_flight: SLOTS,
                    deadline: at + DEADLINE,
                };
                next += 1;
                (at, queue.submit(at, next as u64 - 1, request))
            }
            _ => {
                let Some(((at, ticket), ())) = ends.pop_first() else { break };
                (at, queue.end(at, ticket))
            }
        };
        for action in actions {
            match action {
                AdmissionAction::Admit(AdmissionTicket(ticket)) => {
                    let (sent_at, team) = arrivals[ticket as usize];
                    let wait = now.since(sent_at);
                    results[team].in_time += usize::from(wait <= DEADLINE);
                    waits[team].push(wait.as_secs_f64() * 1_000.0);
                    ends.insert((now + HOLD, ticket), ());
                }
                AdmissionAction::Refuse { ticket, .. } => {
                    results[arrivals[ticket.0 as usize].1].refused += 1;
                }
            }
        }
    }
    for (result, mut waits) in results.iter_mut().zip(waits) {
        waits.sort_by(f64::total_cmp);
        result.p95_wait_ms = waits.get(waits.len() * 95 / 100).copied().unwrap_or(0.0);
    }
    Ok(results)
}

/// Draws the arrivals of each team with exponential gaps; returns the time and team index of each,
/// ordered by time.
fn draw_arrivals(teams: &[TeamLoad], seconds: u64, seed: u64) -> Vec<(Timestamp, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (team, load) in teams.iter().enumerate() {
        let mut at_s = 0.0;
        loop {
            at_s -= (1.0 - rng.random::<f64>()).ln() / load.rate;
            if at_s >= seconds as f64 {
                break;
            }
            arrivals.push((Timestamp::default() + Duration::from_secs_f64(at_s), team));
        }
    }
    arrivals.sort();
    arrivals
}
