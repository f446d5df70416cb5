//! Replays an overload: hosts that wait for full servers and know their peers' loads late.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelostack_lib::gateway::request_rank::RequestRank;
use pomelostack_lib::gateway::waiting::rank_shares::RankDecision;
use pomelostack_lib::gateway::waiting::rank_shares::RankReport;
use pomelostack_lib::gateway::waiting::rank_shares::RankShares;
use pomelostack_lib::gateway::waiting::route_times::CallerVisit;
use pomelostack_lib::gateway::waiting::waiting_line::EnterDecision;
use pomelostack_lib::gateway::waiting::waiting_line::WaitBounds;
use pomelostack_lib::gateway::waiting::waiting_line::WaitCause;
use pomelostack_lib::gateway::waiting::waiting_line::WaitClass;
use pomelostack_lib::gateway::waiting::waiting_line::WaitRequest;
use pomelostack_lib::gateway::waiting::waiting_line::WaitTicket;
use pomelostack_lib::gateway::waiting::waiting_line::WaitingLine;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MS: u64 = 5;
const SUMMARY_MS: u64 = 400;
const RUN_MS: u64 = 20_000;
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Requests that a server runs at once, how many it accepts, and for how long it runs each.
const SLOTS: usize = 8;
const FULL: f64 = 10.0;
const HOLD_MS: std::ops::Range<u64> = 400..1_200;
/// Requests a second of a host, by rank, and their goals in milliseconds.
const LOAD: [(f64, u64); 3] = [(2.2, 500), (2.7, 800), (1.7, 2_500)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitPolicy {
    RefuseAtOnce,
    Wait,
}

#[derive(Debug, Default)]
struct RankCounts {
    offered: u32,
    in_time: u32,
    refused: u32,
    /// Refused ones that had waited longer than an eighth of their goal.
    held: u32,
}

#[derive(Clone, Copy, Debug)]
struct ModelRequest {
    rank: usize,
    arrived_at: Timestamp,
    bounds: WaitBounds,
    is_reviewed: bool,
}

#[derive(Default)]
struct ModelHost {
    line: WaitingLine,
    shares: RankShares,
    stated: Vec<RankReport>,
    own: Vec<u32>,
    peers: Vec<u32>,
    waiting: BTreeMap<WaitTicket, ModelRequest>,
}

#[derive(Default)]
struct ModelServer {
    /// When each running request ends, and its host.
    running: Vec<(u64, usize)>,
    /// Requests that wait at the server, by rank.
    queue: Vec<(usize, Timestamp, usize)>,
}

struct ModelFleet {
    hosts: Vec<ModelHost>,
    servers: Vec<ModelServer>,
    counts: [RankCounts; 3],
    policy: WaitPolicy,
    rng: ChaCha8Rng,
    now_ms: u64,
}

fn cause() -> WaitCause {
    WaitCause::Server(service())
}

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("a valid name")
}

impl ModelFleet {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Sends a request to the less loaded of two servers that the host believes to have room.
    fn try_start(&mut self, host: usize, request: ModelRequest) -> bool {
        let seen = &self.hosts[host];
        let load = |server: &usize| seen.own[*server] + seen.peers[*server];
        let reserved = match self.policy {
            WaitPolicy::Wait => seen.shares.reserved_fraction(&service(), request.rank as u32),
            WaitPolicy::RefuseAtOnce => 0.0,
        };
        let full = FULL - reserved * SLOTS as f64;
        let has_room = |server: &usize| f64::from(load(server)) < full;
        let open: Vec<usize> = (0..self.servers.len()).filter(has_room).collect();
        if open.is_empty() {
            return false;
        }
        let choices = [0, 1].map(|_| open[self.rng.random_range(0..open.len())]);
        let Some(server) = choices.into_iter().min_by_key(load) else { return false };
        let now = self.now();
        self.hosts[host].own[server] += 1;
        self.hosts[host].line.on_started(now, &cause());
        self.servers[server].queue.push((request.rank, request.arrived_at, host));
        true
    }

    fn refuse(&mut self, host: usize, rank: usize, waited: Duration) {
        let now = self.now();
        self.hosts[host].shares.on_missed(now, &service(), rank as u32);
        self.counts[rank].refused += 1;
        let unsure = Duration::from_millis(LOAD[rank].1) / 8 + Duration::from_millis(STEP_MS);
        self.counts[rank].held += u32::from(waited > unsure);
    }

    fn arrive(&mut self, host: usize, rank: usize) {
        self.counts[rank].offered += 1;
        let now = self.now();
        let goal = Duration::from_millis(LOAD[rank].1);
        let bounds = WaitBounds::new(now, now + Duration::from_secs(12), goal, ANSWER_TIME);
        let model = ModelRequest { rank, arrived_at: now, bounds, is_reviewed: false };
        if self.policy == WaitPolicy::RefuseAtOnce {
            if !self.try_start(host, model) {
                self.refuse(host, rank, Duration::ZERO);
            }
            return;
        }
        let fraction = self.rng.random();
        let shares = &mut self.hosts[host].shares;
        if shares.decide(&service(), rank as u32, fraction, CallerVisit::First)
            == RankDecision::Deferred
        {
            self.counts[rank].refused += 1;
            return;
        }
        shares.on_admitted(now, &service(), rank as u32);
        let request = WaitRequest {
            cause: cause(),
            team: None,
            rank: RequestRank { priority: rank as u32, route: rank as u32 },
            class: WaitClass::New,
            arrived_at: now,
            bounds,
            room_in: None,
            bytes: 1,
        };
        if !self.hosts[host].line.must_wait(&request) && self.try_start(host, model) {
            return;
        }
        match self.hosts[host].line.enter(now, request) {
            EnterDecision::Waits { ticket, displaced } => {
                self.hosts[host].waiting.insert(ticket, model);
                displaced.into_iter().for_each(|ticket| self.give_up(host, ticket));
            }
            EnterDecision::Refused(_) => self.refuse(host, rank, Duration::ZERO),
        }
    }

    fn give_up(&mut self, host: usize, ticket: WaitTicket) {
        self.hosts[host].line.leave(ticket);
        if let Some(request) = self.hosts[host].waiting.remove(&ticket) {
            self.refuse(host, request.rank, self.now().since(request.arrived_at));
        }
    }

    /// Tries the requests of a host in order, as long as there is room.
    fn wake(&mut self, host: usize) {
        let mut next = self.hosts[host].line.call_next(&cause());
        while let Some(ticket) = next {
            let request = self.hosts[host].waiting[&ticket];
            next = match self.try_start(host, request) {
                true => {
                    self.hosts[host].waiting.remove(&ticket);
                    self.hosts[host].line.leave(ticket)
                }
                false => self.hosts[host].line.on_tried(ticket, false),
            };
        }
    }

    fn check_waits(&mut self, host: usize) {
        let now = self.now();
        let tickets: Vec<WaitTicket> = self.hosts[host].waiting.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.hosts[host].waiting.get_mut(&ticket) else { continue };
            let unsure_time = request.bounds.unsure_time;
            let is_due = !request.is_reviewed && now.since(request.arrived_at) >= unsure_time;
            request.is_reviewed |= is_due;
            let request = *request;
            let is_last = request.bounds.start_by <= now;
            if is_last && self.try_start(host, request) {
                self.hosts[host].waiting.remove(&ticket);
                self.hosts[host].line.leave(ticket);
            } else if is_last || (is_due && self.hosts[host].line.review(now, ticket).is_some()) {
                self.give_up(host, ticket);
            }
        }
    }

    /// Ends what has run and begins what waits at the servers, the most urgent first.
    fn run_servers(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        for server in 0..self.servers.len() {
            let model = &mut self.servers[server];
            let ended = model.running.extract_if(.., |(end, _)| *end <= now_ms);
            let ended: Vec<usize> = ended.map(|(_, host)| host).collect();
            model.queue.sort_unstable();
            while model.running.len() < SLOTS && !model.queue.is_empty() {
                let (rank, arrived_at, host) = model.queue.remove(0);
                model.running.push((now_ms + self.rng.random_range(HOLD_MS), host));
                let elapsed = (now + ANSWER_TIME).since(arrived_at);
                let in_time = elapsed <= Duration::from_millis(LOAD[rank].1);
                self.counts[rank].in_time += u32::from(in_time);
                if !in_time {
                    self.hosts[host].shares.on_missed(now, &service(), rank as u32);
                }
            }
            for host in ended {
                self.hosts[host].own[server] -= 1;
                self.wake(host);
            }
        }
    }

    fn hear_peers(&mut self, host: usize) {
        let now = self.now();
        let load = |server: &ModelServer| (server.running.len() + server.queue.len()) as u32;
        let loads = self.servers.iter().map(load).zip(&self.hosts[host].own);
        self.hosts[host].peers = loads.map(|(load, own)| load - own).collect();
        let peers = self.hosts.iter().enumerate().filter(|(other, _)| *other != host);
        let stated: Vec<RankReport> =
            peers.flat_map(|(_, peer)| peer.stated.iter().cloned()).collect();
        self.hosts[host].shares.step(now, &stated);
        self.hosts[host].stated = self.hosts[host].shares.reports(now);
        self.wake(host);
    }
}

fn replay(hosts: usize, policy: WaitPolicy) -> ModelFleet {
    // The servers run three quarters of what callers send.
    let servers = (hosts as f64 * 6.6 * 0.8 * 0.75 / SLOTS as f64).round() as usize;
    let host =
        || ModelHost { own: vec![0; servers], peers: vec![0; servers], ..ModelHost::default() };
    let mut fleet = ModelFleet {
        hosts: (0..hosts).map(|_| host()).collect(),
        servers: (0..servers).map(|_| ModelServer::default()).collect(),
        counts: Default::default(),
        policy,
        rng: ChaCha8Rng::seed_from_u64(17),
        now_ms: 0,
    };
    while fleet.now_ms < RUN_MS {
        fleet.now_ms += STEP_MS;
        fleet.run_servers();
        for host in 0..hosts {
            if (fleet.now_ms / STEP_MS + host as u64).is_multiple_of(SUMMARY_MS / STEP_MS) {
                fleet.hear_peers(host);
            }
            fleet.check_waits(host);
            for (rank, (load, _)) in LOAD.iter().enumerate() {
                if fleet.rng.random::<f64>() < load * STEP_MS as f64 / 1_000.0 {
                    fleet.arrive(host, rank);
                }
            }
        }
    }
    fleet
}

/// Guards against urgent requests that are served as rarely as others while servers are full, and
/// against requests that are held for nothing, at the sizes of small and large fleets.
#[rstest]
#[case::small(8)]
#[case::dozens(63)]
#[case::hundreds(295)]
fn full_servers(#[case] hosts: usize) {
    let (plain, fleet) = (replay(hosts, WaitPolicy::RefuseAtOnce), replay(hosts, WaitPolicy::Wait));
    let share = |fleet: &ModelFleet, rank: usize| {
        f64::from(fleet.counts[rank].in_time) / f64::from(fleet.counts[rank].offered)
    };
    let shares: Vec<f64> = (0..3).map(|rank| share(&fleet, rank)).collect();
    let detail = format!("{shares:.3?} {:?} {:?}", fleet.counts, plain.counts);
    assert!(shares[0] > share(&plain, 0) + 0.1, "{detail}");
    assert!(shares[0] >= shares[1] && shares[1] >= shares[2], "{detail}");
    let in_time =
        |fleet: &ModelFleet| -> u32 { fleet.counts.iter().map(|counts| counts.in_time).sum() };
    assert!(in_time(&fleet) * 10 > in_time(&plain) * 9, "{detail}");
    let refused: u32 = fleet.counts.iter().map(|counts| counts.refused).sum();
    let held: u32 = fleet.counts.iter().map(|counts| counts.held).sum();
    assert!(held * 4 < refused, "{detail}");
}
