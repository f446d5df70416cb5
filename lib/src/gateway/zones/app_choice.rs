//! Chooses among the servers of a plain application by the shortest expected wait.
//!
//! Load pattern: dozens of hosts send short calls to a handful of servers, a few calls a second each.
//! What a host knows of the load that others put on a server is older than most calls take, so
//! that a server that looks free is no longer free if all hosts choose it. Servers differ in speed, and
//! each takes several times as long as usual for parts of a second, now and then.
//!
//! A choice has three steps. The loads reported by the hosts are aged: calls that have ended since are
//! taken off. The calls that all hosts have sent since, and will send before the next reports, are
//! placed one after another at the server that is best for a caller in their zone. The server is then
//! drawn from those that got the calls of this host's zone, so that all hosts together spread their
//! calls in the same way. With few calls the last step has one result: the server with the least wait, or
//! now and then one that may be as good by all but its own answers.

use std::time::Duration;

use rand::Rng;
use slotmap::SecondaryMap;

use crate::ids::ServerKey;
use crate::timestamp::Timestamp;

/// Expected service time of an application of which nothing is known, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 50.0;

/// Answers by which a server's own mean service time has as much weight as that of all servers. With
/// fewer, the difference between servers of one speed that answered fast or slowly by chance exceeded the
/// cost of leaving the zone.
const SHARED_ANSWERS: f64 = 64.0;

/// Answers after which older ones lose weight.
const MAX_ANSWERS: f64 = 256.0;

/// Wait that a call must save to leave its zone, as a share of the mean service time and beside the cost of
/// leaving: expected waits err by about as much. Without it, three of ten calls left zones whose
/// servers were less than a fifth full.
const LEAVING_SHARE: f64 = 0.1;

/// Maximum service time of one answer that counts, as a multiple of the mean of all servers.
const MAX_SERVICE_RATIO: f64 = 20.0;

/// How many times as long as usual a call takes during a transient slowdown. It is a guess that only
/// matters while the load of a server differs from what it should be.
const SLOWDOWN_RATIO: f64 = 2.5;

/// Share of its time that a server is expected to spend in slowdowns before answers show it, the number of
/// answers that this guess counts for, and the bounds of the share.
const INITIAL_SLOW_SHARE: f64 = 0.05;
const INITIAL_SLOW_ANSWERS: f64 = 64.0;
const SLOW_SHARES: (f64, f64) = (0.01, 0.15);

/// Service time of an answer that shows a slowdown, as a multiple of the server's mean.
const SLOW_ANSWER_RATIO: f64 = 1.75;

/// Time over which the usual load of a server is averaged: many transient slowdowns.
const USUAL_LOAD_TIME: Duration = Duration::from_secs(3);

/// Least load that counts as usual when a server's load is compared with it.
const MIN_USUAL_LOAD: f64 = 0.3;

/// Calls in flight of other hosts up to which the best server is chosen rather than drawn.
const MIN_SPREAD_CALLS: f64 = 0.5;

/// Share of the calls in which a host that would choose the best server tries another one instead: only an
/// answer corrects what is known of a server.
const TRIAL_SHARE: f64 = 1.0 / 32.0;

/// Parts into which the calls of all hosts are divided: a few for each server, at most the second number.
const PARTS_PER_SERVER: usize = 8;
const MAX_PARTS: usize = 192;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppServer {
    /// Key of the server.
    pub key: ServerKey,
    /// Number of its zone among those of the view.
    pub zone: usize,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Calls of this host in flight.
    pub own: u32,
    /// Calls of other hosts in flight, as last reported.
    pub peers: u32,
    /// Cost of the server for callers in other zones, in milliseconds.
    pub leaving_ms: f64,
    /// Cost besides, in milliseconds, such as that of a place at a server that names a limit.
    pub extra_ms: f64,
}

/// The servers and zones of a choice.
#[derive(Clone, Copy, Debug)]
pub struct AppView<'a> {
    /// Servers that may be chosen.
    pub servers: &'a [AppServer],
    /// Share of the callers that each zone has; a zone number is an index.
    pub zone_shares: &'a [f64],
    /// This host's zone.
    pub home: usize,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
struct AppRecord {
    /// Calls of other hosts in flight, averaged over some seconds.
    usual_load: Option<f64>,
    /// When loads were last reported, and how old they were on average.
    reported: Option<(Timestamp, Duration)>,
    answers: f64,
    mean_ms: f64,
    /// Share of the answers that show a slowdown.
    slow_share: f64,
}

/// Service times and usual loads of application servers.
#[derive(Clone, Debug, Default)]
pub struct AppChoice {
    records: SecondaryMap<ServerKey, AppRecord>,
}

/// A server while calls are placed on it.
#[derive(Clone, Copy, Debug)]
struct PlannedServer {
    slots: f64,
    service_ms: f64,
    load: f64,
    wait_ms: f64,
}

impl PlannedServer {
    fn new(slots: u32, service_ms: f64, load: f64) -> Self {
        let mut planned = Self { slots: f64::from(slots.max(1)), service_ms, load, wait_ms: 0.0 };
        planned.wait_ms = planned.expected_ms();
        planned
    }

    fn add(&mut self, calls: f64) {
        self.load += calls;
        self.wait_ms = self.expected_ms();
    }

    /// Returns the expected time to an answer. The load is taken for the mean of a Poisson distribution, so
    /// that calls wait now and then before all slots are taken on average.
    fn expected_ms(&self) -> f64 {
        let deviation = self.load.max(0.25).sqrt();
        // 1.7 makes the logistic curve close to the normal distribution.
        let excess = 1.7 * (self.load + 1.0 - self.slots) / deviation;
        let ahead = deviation / 1.7 * if excess > 30.0 { excess } else { excess.exp().ln_1p() };
        self.service_ms * (1.0 + ahead / self.slots)
    }

    /// Takes off the calls that end within a time.
    fn age_load(load: f64, slots: f64, service_ms: f64, age_ms: f64) -> f64 {
        let queued_ms = ((load - slots).max(0.0) * service_ms / slots).min(age_ms);
        (load - queued_ms * slots / service_ms) * (-(age_ms - queued_ms) / service_ms).exp()
    }
}

impl AppChoice {
    /// Forgets a server that restarted or left.
    pub fn forget(&mut self, key: ServerKey) {
        self.records.remove(key);
    }

    /// Records an answer. `running` is the number of calls in flight on the server, from all hosts, when the
    /// call was sent: it waited for those beyond the slots.
    pub fn on_answer(&mut self, key: ServerKey, slots: u32, running: u32, elapsed: Duration) {
        let turns = f64::from(running + 1) / f64::from(slots.max(1));
        let served_ms = elapsed.as_secs_f64() * 1_000.0 / turns.max(1.0);
        let Some(entry) = self.records.entry(key) else { return };
        let record = entry.or_default();
        let is_first = record.answers == 0.0;
        let is_slow = !is_first && served_ms > record.mean_ms * SLOW_ANSWER_RATIO;
        let max_ms = if is_first { served_ms } else { record.mean_ms * MAX_SERVICE_RATIO };
        record.answers = (record.answers + 1.0).min(MAX_ANSWERS);
        record.mean_ms += (served_ms.min(max_ms) - record.mean_ms) / record.answers;
        record.slow_share += (f64::from(u8::from(is_slow)) - record.slow_share) / record.answers;
    }

    /// Returns whether the loads of a server were last counted at least `period` ago.
    pub fn is_due(&self, now: Timestamp, key: ServerKey, period: Duration) -> bool {
        let reported = self.records.get(key).and_then(|record| record.reported);
        reported.is_none_or(|(at, _)| now.since(at) >= period)
    }

    /// Records the loads of servers that other hosts reported `age` ago on average.
    pub fn on_loads(
        &mut self,
        now: Timestamp,
        age: Duration,
        loads: impl Iterator<Item = (ServerKey, u32)>,
    ) {
        for (key, load) in loads {
            let Some(entry) = self.records.entry(key) else { continue };
            let record = entry.or_default();
            let load = f64::from(load);
            let (last, _) = record.reported.unwrap_or((now, age));
            let weight = 1.0 - (-now.since(last).div_duration_f64(USUAL_LOAD_TIME)).exp();
            let usual = record.usual_load.unwrap_or(load);
            record.usual_load = Some(usual + weight * (load - usual));
            record.reported = Some((now, age));
        }
    }

    /// Returns the mean service time of a server in milliseconds.
    fn service_ms(&self, server: &AppServer, shared_ms: f64) -> f64 {
        let record = self.records.get(server.key).copied().unwrap_or_default();
        let sum = record.mean_ms * record.answers + shared_ms * SHARED_ANSWERS;
        (sum / (record.answers + SHARED_ANSWERS)).max(0.1)
    }

    /// Returns the mean over all servers by their answers.
    fn mean(&self, servers: &[AppServer], value: impl Fn(&AppRecord) -> f64) -> (f64, f64) {
        let records = servers.iter().filter_map(|server| self.records.get(server.key));
        let (answers, sum) = records.fold((0.0, 0.0), |(answers, sum), record| {
            (answers + record.answers, sum + record.answers * value(record))
        });
        (answers, if answers > 0.0 { sum / answers } else { 0.0 })
    }

    fn shared_ms(&self, servers: &[AppServer]) -> f64 {
        match self.mean(servers, |record| record.mean_ms) {
            (answers, mean_ms) if answers > 0.0 => mean_ms,
            _ => INITIAL_SERVICE_MS,
        }
    }

    /// Returns the share of its time that a server spends in slowdowns.
    fn slow_share(&self, servers: &[AppServer]) -> f64 {
        let (answers, share) = self.mean(servers, |record| record.slow_share);
        let sum = answers * share + INITIAL_SLOW_ANSWERS * INITIAL_SLOW_SHARE;
        (sum / (answers + INITIAL_SLOW_ANSWERS)).clamp(SLOW_SHARES.0, SLOW_SHARES.1)
    }

    /// Chooses a server; returns its index, or `None` if there is none.
    pub fn choose(
        &self,
        now: Timestamp,
        view: &AppView<'_>,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let AppView { servers, home, .. } = view;
        if servers.len() < 2 {
            return (!servers.is_empty()).then_some(0);
        }
        let shared_ms = self.shared_ms(servers);
        let gain_ms = LEAVING_SHARE * shared_ms;
        let usual_ms: Vec<f64> =
            servers.iter().map(|server| self.service_ms(server, shared_ms)).collect();
        let peers: f64 = servers.iter().map(|server| self.usual_peer_load(server)).sum();
        let own: f64 = servers.iter().map(|server| f64::from(server.own)).sum();
        let service_ms = self.current_service_ms(view, &usual_ms, peers + own, gain_ms);
        let age_ms = self.report_age(now, servers).as_secs_f64() * 1_000.0;
        let planned = servers.iter().zip(&service_ms).map(|(server, service_ms)| {
            let (slots, peers) = (f64::from(server.slots.max(1)), f64::from(server.peers));
            let left = PlannedServer::age_load(peers, slots, *service_ms, age_ms);
            PlannedServer::new(server.slots, *service_ms, f64::from(server.own) + left)
        });
        let mut planned: Vec<PlannedServer> = planned.collect();
        let sent = peers * (1.0 - (-age_ms / shared_ms.max(0.1)).exp());
        if sent < MIN_SPREAD_CALLS {
            let best = view.best(&planned, *home, gain_ms)?;
            return Some(view.trial(&planned, best, (shared_ms, gain_ms), random).unwrap_or(best));
        }
        let parts = view.place(&mut planned, sent, shared_ms, gain_ms);
        draw(&parts, random).or_else(|| view.best(&planned, *home, gain_ms))
    }

    /// Returns the load that other hosts usually put on a server.
    fn usual_peer_load(&self, server: &AppServer) -> f64 {
        let usual = self.records.get(server.key).and_then(|record| record.usual_load);
        usual.unwrap_or_else(|| f64::from(server.peers))
    }

    /// Returns how old the reported loads are, on average.
    fn report_age(&self, now: Timestamp, servers: &[AppServer]) -> Duration {
        let records = servers.iter().filter_map(|server| self.records.get(server.key));
        let reported = records.filter_map(|record| record.reported);
        reported.map(|(at, age)| now.since(at) + age).max().unwrap_or_default()
    }

    /// Returns the present service time of each server, which its load shows: a server in a transient
    /// slowdown has more calls in flight than it would usually have.
    fn current_service_ms(
        &self,
        view: &AppView<'_>,
        usual_ms: &[f64],
        total: f64,
        gain_ms: f64,
    ) -> Vec<f64> {
        if total < MIN_USUAL_LOAD {
            return usual_ms.to_vec();
        }
        let empty = view.servers.iter().zip(usual_ms);
        let mut planned: Vec<PlannedServer> =
            empty.map(|(server, ms)| PlannedServer::new(server.slots, *ms, 0.0)).collect();
        let mean_ms = usual_ms.iter().sum::<f64>() / usual_ms.len() as f64;
        view.place(&mut planned, total, mean_ms, gain_ms);
        let servers = view.servers.iter().zip(&planned);
        let share = self.slow_share(view.servers);
        let service_ms = servers.map(|(server, planned)| {
            let load = f64::from(server.own + server.peers);
            let odds = slowdown_odds(load, planned.load, share);
            // The mean service time includes the usual slowdowns.
            planned.service_ms * (1.0 + (SLOWDOWN_RATIO - 1.0) * (odds - share).max(0.0))
        });
        service_ms.collect()
    }
}

impl AppView<'_> {
    fn cost_ms(&self, index: usize, planned: &PlannedServer, zone: usize, gain_ms: f64) -> f64 {
        let server = &self.servers[index];
        let leaving_ms = if server.zone == zone { 0.0 } else { server.leaving_ms + gain_ms };
        planned.wait_ms + server.extra_ms + leaving_ms
    }

    /// Returns the best server for a caller in a zone, which leaves it only for a gain beyond the cost.
    fn best(&self, planned: &[PlannedServer], zone: usize, gain_ms: f64) -> Option<usize> {
        let costs = planned.iter().enumerate();
        let costs =
            costs.map(|(index, planned)| (index, self.cost_ms(index, planned, zone, gain_ms)));
        costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(index, _)| index)
    }

    /// Returns a server to try in place of the best one, now and then. It is one of the same zone that would
    /// be about as good if it were as fast as all servers together, and is tried less often the slower its
    /// own answers were.
    fn trial(
        &self,
        planned: &[PlannedServer],
        best: usize,
        (shared_ms, gain_ms): (f64, f64),
        random: &mut impl Rng,
    ) -> Option<usize> {
        if !random.random_bool(TRIAL_SHARE) {
            return None;
        }
        let usual_ms = |index: usize| {
            let AppServer { slots, extra_ms, .. } = self.servers[index];
            PlannedServer::new(slots, shared_ms, planned[index].load).wait_ms + extra_ms
        };
        let max_ms = usual_ms(best) + gain_ms;
        let is_alike = |index: &usize| {
            let server = &self.servers[*index];
            let is_near = *index != best && server.zone == self.servers[best].zone;
            is_near && server.own == 0 && usual_ms(*index) <= max_ms
        };
        let alike: Vec<usize> = (0..planned.len()).filter(is_alike).collect();
        let index = *alike.get(random.random_range(0..alike.len().max(1)))?;
        let ratio = planned[best].wait_ms / planned[index].wait_ms;
        random.random_bool((ratio * ratio).clamp(0.0, 1.0)).then_some(index)
    }

    /// Places calls of all zones one after another; returns how many of this host's zone each server got.
    fn place(
        &self,
        planned: &mut [PlannedServer],
        calls: f64,
        mean_ms: f64,
        gain_ms: f64,
    ) -> Vec<f64> {
        let parts = (planned.len() * PARTS_PER_SERVER).min(MAX_PARTS);
        let part = calls / parts as f64;
        let mut placed = vec![0.0; planned.len()];
        let mut due = self.zone_shares.to_vec();
        for _ in 0..parts {
            // The zone whose share of the calls placed so far is least.
            let zone = due.iter().enumerate().max_by(|(_, one), (_, other)| one.total_cmp(other));
            let Some(zone) = zone.map(|(zone, _)| zone) else { break };
            for (due, share) in due.iter_mut().zip(self.zone_shares) {
                *due += share;
            }
            due[zone] -= 1.0;
            let Some(best) = self.best(planned, zone, gain_ms) else { break };
            // A call occupies a slow server for longer.
            let occupied = part * planned[best].service_ms / mean_ms;
            planned[best].add(occupied);
            if zone == self.home {
                placed[best] += part;
            }
        }
        placed
    }
}

/// Returns how probable a transient slowdown is, from a server's load, the load that it should have and the
/// share of its time that it is slow.
fn slowdown_odds(load: f64, usual: f64, share: f64) -> f64 {
    let usual = usual.max(MIN_USUAL_LOAD);
    // Ratio of the Poisson probabilities of the load with and without a slowdown.
    let log_ratio = load * SLOWDOWN_RATIO.ln() - usual * (SLOWDOWN_RATIO - 1.0);
    let ratio = log_ratio.min(50.0).exp() * share;
    ratio / (1.0 - share + ratio)
}

/// Draws an index by weight.
fn draw(weights: &[f64], random: &mut impl Rng) -> Option<usize> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return None;
    }
    let mut left = random.random_range(0.0..sum);
    for (index, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0.0) {
        left -= weight;
        if left < 0.0 {
            return Some(index);
        }
    }
    weights.iter().rposition(|weight| *weight > 0.0)
}
