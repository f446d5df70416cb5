//! Chooses the backend server for each attempt by the expected time to its first token.
//!
//! The expected time is the server's queue, the prefill of what its prefix cache lacks, and the
//! distance to its availability zone. Candidates are the servers that hold a prefix of the prompt
//! and a bounded sample of the others, so that a decision costs the same at any number of servers.
//! A server that holds the context of many requests loses to one without it as soon as its queue
//! takes longer than computing the context again, which is how a hot context spreads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::engine::CacheEvent;
use crate::engine::LoadReport;
use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::prefix_map::PrefixHolder;
use crate::prefix_map::PrefixMap;
use crate::prompt::BlockHash;
use crate::prompt::TOKENS_PER_BLOCK;
use crate::router_index::RouterIndex;
use crate::router_load::ServerLoad;
use crate::router_load::ServiceRates;
use crate::timestamp::Timestamp;

/// Seconds that a call to another availability zone takes longer, there and back.
const CROSS_ZONE_LATENCY_S: f64 = 0.003;
/// Servers whose expected times differ by less than this many seconds count as equal.
const TIE_TOLERANCE_S: f64 = 0.002;
/// Seconds that a full batch delays a request: decoding is slower, and a context that is placed
/// among many others must spread sooner.
const FULL_BATCH_PENALTY_S: f64 = 0.05;
/// Servers that a context is spread to before its requests queue, at most.
const MAX_PREFIX_REPLICAS: usize = 4;

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It may.
    Live,
    /// It is leaving: its work goes on, and it gets no more.
    Leaving,
    /// It does not answer, or lost a process lately.
    Suspected,
}

/// One backend server as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identity.
    pub id: ServerId,
    /// Host that it runs on.
    pub host: HostId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Whether it may get new work.
    pub state: ServerState,
    /// Concurrent requests that it takes at most.
    pub concurrency: u32,
}

/// What the router needs to know about an attempt.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Service asked for.
    pub service: &'a ServiceName,
    /// Block hashes of the prompt; empty for apps.
    pub blocks: &'a [BlockHash],
    /// Tokens of the prompt; 0 for apps.
    pub prompt_tokens: u32,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
}

/// What the router chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the attempt to the server.
    Server(ServerKey),
    /// Every server that could run it is full; ask again when an attempt ends.
    Wait,
    /// No server can run it.
    NoServer,
}

struct ServerEntry {
    info: ServerInfo,
    load: ServerLoad,
}

/// A server that could run an attempt.
#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    key: ServerKey,
    expected_s: f64,
    occupied: u32,
}

/// Chooses among the backend servers of all services.
pub struct RequestRouter {
    home_zone: ZoneName,
    servers: SlotMap<ServerKey, ServerEntry>,
    keys: BTreeMap<ServerId, ServerKey>,
    index: RouterIndex,
    prefixes: PrefixMap,
    rates: BTreeMap<ServiceName, ServiceRates>,
    rng: ChaCha8Rng,
    holders: Vec<PrefixHolder>,
    candidates: Vec<ServerKey>,
}

impl RequestRouter {
    /// Builds a router for an entry host in `home_zone`; `seed` drives its random choices.
    pub fn new(home_zone: ZoneName, seed: u64) -> Self {
        Self {
            home_zone,
            servers: SlotMap::with_key(),
            keys: BTreeMap::new(),
            index: RouterIndex::default(),
            prefixes: PrefixMap::default(),
            rates: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            holders: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Replaces the list of servers; what is known about a server that stays is kept.
    ///
    /// A suspected server stays suspected while it is listed as live, until [`Self::set_state`].
    pub fn set_servers(&mut self, _now: Timestamp, servers: Vec<ServerInfo>) {
        let mut stale = std::mem::take(&mut self.keys);
        let mut changed = false;
        for mut info in servers {
            let id = info.id.clone();
            let key = match stale.remove(&id) {
                Some(key) => {
                    let known = self.servers[key].info.state;
                    if known == ServerState::Suspected && info.state == ServerState::Live {
                        info.state = known;
                    }
                    changed |= self.servers[key].info != info;
                    self.servers[key].info = info;
                    key
                }
                None => {
                    changed = true;
                    self.servers.insert(ServerEntry { info, load: ServerLoad::default() })
                }
            };
            self.keys.insert(id, key);
        }
        changed |= !stale.is_empty();
        for key in stale.into_values() {
            self.servers.remove(key);
            self.prefixes.remove_server(key);
        }
        if changed {
            self.rebuild_index();
        }
    }

    /// Changes the state of one server; an unknown server is ignored.
    pub fn set_state(&mut self, _now: Timestamp, id: &ServerId, state: ServerState) {
        let Some(&key) = self.keys.get(id) else { return };
        if self.servers[key].info.state != state {
            self.servers[key].info.state = state;
            self.rebuild_index();
            if state == ServerState::Suspected {
                // Its process may have ended, and its cache with it.
                self.prefixes.remove_server(key);
            }
        }
    }

    /// Returns a server by its key, or `None` once it is gone.
    pub fn server(&self, key: ServerKey) -> Option<&ServerInfo> {
        self.servers.get(key).map(|entry| &entry.info)
    }

    /// Returns the key of a server.
    pub fn key_of(&self, id: &ServerId) -> Option<ServerKey> {
        self.keys.get(id).copied()
    }

    /// Returns the attempts that this host has at a server.
    pub fn in_flight(&self, key: ServerKey) -> u32 {
        self.servers.get(key).map_or(0, |entry| entry.load.in_flight())
    }

    /// Returns all servers in the order of their ids.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerInfo)> {
        self.keys.values().map(|&key| (key, &self.servers[key].info))
    }

    /// Returns the memory that the cache locations take, in bytes.
    pub fn location_bytes(&self) -> usize {
        self.prefixes.state_bytes()
    }

    /// Chooses a server for an attempt; [`Self::on_dispatched`] must follow if it is used.
    pub fn choose(&mut self, now: Timestamp, query: &RouteQuery) -> RouteChoice {
        self.prefixes.find(query.blocks, &mut self.holders);
        self.candidates.clear();
        let Some(pool) = self.index.pool(query.service) else { return RouteChoice::NoServer };
        self.candidates.extend(self.holders.iter().map(|holder| holder.server));
        pool.sample(&mut self.rng, &mut self.candidates);
        let mut scored = self.score_all(now, query, &self.candidates);
        if self.needs_prefix_replica() {
            scored.retain(|server| !self.holders.iter().any(|held| held.server == server.key));
        }
        if let Some(key) = pick(&mut self.rng, &scored) {
            return RouteChoice::Server(key);
        }
        // Every candidate is full or excluded: look at the others, too.
        let scored = self.score_all(now, query, pool.live());
        if let Some(key) = pick(&mut self.rng, &scored) {
            return RouteChoice::Server(key);
        }
        match pool.live().iter().all(|key| query.excluded.contains(key)) {
            true => RouteChoice::NoServer,
            false => RouteChoice::Wait,
        }
    }

    /// Records that an attempt was sent to a server.
    pub fn on_dispatched(&mut self, now: Timestamp, key: ServerKey, query: &RouteQuery) {
        self.prefixes.find(query.blocks, &mut self.holders);
        let tokens = uncached_tokens(&self.holders, key, query);
        let Some(entry) = self.servers.get_mut(key) else { return };
        let rates = rates_of(&mut self.rates, &entry.info.service);
        rates.on_sent(query.prompt_tokens, tokens);
        entry.load.on_sent(now, tokens, rates);
        self.prefixes.on_dispatched(now, key, query.blocks);
    }

    /// Records the first token of an attempt.
    pub fn on_first_token(&mut self, now: Timestamp, key: ServerKey, _prompt_tokens: u32) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.load.on_first_token(now, rates_of(&mut self.rates, &entry.info.service));
        }
    }

    /// Records the end of an attempt, however it ended.
    pub fn on_ended(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.load.on_ended(now, rates_of(&mut self.rates, &entry.info.service));
        }
    }

    /// Takes a load report of a server.
    pub fn on_load_report(&mut self, now: Timestamp, key: ServerKey, report: &LoadReport) {
        if let Some(entry) = self.servers.get_mut(key) {
            let rates = rates_of(&mut self.rates, &entry.info.service);
            entry.load.on_report(now, report, rates);
        }
    }

    /// Takes cache events of a server.
    pub fn on_cache_events(&mut self, now: Timestamp, key: ServerKey, events: &[CacheEvent]) {
        if self.servers.contains_key(key) {
            self.prefixes.on_events(now, key, events);
        }
    }

    /// Records that another entry host sent a prompt to a server.
    pub fn on_remote_dispatch(&mut self, now: Timestamp, key: ServerKey, blocks: &[BlockHash]) {
        if self.servers.contains_key(key) {
            self.prefixes.on_dispatched(now, key, blocks);
        }
    }

    fn rebuild_index(&mut self) {
        let servers = self.keys.values().map(|&key| (key, &self.servers[key].info));
        self.index = RouterIndex::build(&self.home_zone, servers);
    }

    /// Returns whether a context should get one more server before its requests queue.
    ///
    /// That is when every server that holds it is crowded; one that just began to compute it is not,
    /// so a burst spreads one server at a time.
    fn needs_prefix_replica(&self) -> bool {
        let Some(longest) = self.holders.first() else { return false };
        if self.holders.len() >= MAX_PREFIX_REPLICAS {
            return false;
        }
        let is_long = |holder: &&PrefixHolder| holder.blocks * 2 > longest.blocks;
        self.holders.iter().filter(is_long).all(|holder| {
            let entry = self.servers.get(holder.server);
            entry.is_none_or(|entry| {
                entry.info.state != ServerState::Live || entry.load.is_nearly_full()
            })
        })
    }

    /// Scores the candidates that may take the attempt.
    fn score_all(
        &self,
        now: Timestamp,
        query: &RouteQuery,
        candidates: &[ServerKey],
    ) -> Vec<ScoredServer> {
        let rates = self.rates.get(query.service).copied().unwrap_or_default();
        let mut scored = Vec::with_capacity(candidates.len().min(32));
        for &key in candidates {
            let Some(entry) = self.servers.get(key) else { continue };
            let usable = entry.info.service == *query.service
                && entry.info.state == ServerState::Live
                && entry.load.in_flight() < entry.info.concurrency
                && !query.excluded.contains(&key);
            if !usable {
                continue;
            }
            let zone_latency =
                if entry.info.zone == self.home_zone { 0.0 } else { CROSS_ZONE_LATENCY_S };
            let compute = uncached_tokens(&self.holders, key, query) / rates.prefill_tokens_per_s;
            let expected_s = entry.load.wait_s(now, &rates)
                + compute
                + zone_latency
                + FULL_BATCH_PENALTY_S * entry.load.batch_share();
            scored.push(ScoredServer { key, expected_s, occupied: entry.load.occupied() });
        }
        scored
    }
}

/// Draws two of the servers that are as good as the best and returns the less loaded one: all
/// hosts see the same late reports and would all go to the same best server.
fn pick(rng: &mut ChaCha8Rng, scored: &[ScoredServer]) -> Option<ServerKey> {
    let best = scored.iter().map(|server| server.expected_s).min_by(f64::total_cmp)?;
    let is_tied = |server: &&ScoredServer| server.expected_s <= best + TIE_TOLERANCE_S;
    let tied = scored.iter().filter(is_tied).count();
    let mut draw = || scored.iter().filter(is_tied).nth(rng.random_range(0..tied));
    let (first, second) = (draw()?, draw()?);
    let less_loaded = if second.occupied < first.occupied { second } else { first };
    Some(less_loaded.key)
}

/// Returns the prompt tokens that the server must compute.
fn uncached_tokens(holders: &[PrefixHolder], key: ServerKey, query: &RouteQuery) -> f64 {
    let held = holders.iter().find(|holder| holder.server == key);
    let cached = held.map_or(0, |holder| holder.blocks * TOKENS_PER_BLOCK);
    f64::from(query.prompt_tokens) - (cached as f64).min(f64::from(query.prompt_tokens))
}

fn rates_of<'a>(
    rates: &'a mut BTreeMap<ServiceName, ServiceRates>,
    service: &ServiceName,
) -> &'a mut ServiceRates {
    if !rates.contains_key(service) {
        rates.insert(service.clone(), ServiceRates::default());
    }
    rates.entry(service.clone()).or_default()
}
