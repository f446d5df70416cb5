//! Chooses the backend server for each attempt by the expected time to first token.
//!
//! The expected time is the sum of the server's queueing delay, the prefill of the tokens that its
//! prefix cache lacks, the latency to its availability zone, and a penalty that grows with its
//! batch occupancy. Candidates are the servers that cache a prefix of the prompt and a bounded
//! sample of the others, so the cost of a decision does not depend on the number of servers.
//!
//! A hot context is replicated: once the queue of a server that caches it takes longer than
//! computing the context again, a server without it is chosen.

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

/// Additional round-trip time of a call to another availability zone, in seconds.
const CROSS_ZONE_LATENCY_S: f64 = 0.003;
/// Servers whose expected times are within this many seconds of the best count as tied.
const TIE_TOLERANCE_S: f64 = 0.002;
/// Expected delay from a full batch, in seconds: a full batch decodes more slowly, and a context
/// on a busy server should be replicated sooner.
const FULL_BATCH_PENALTY_S: f64 = 0.05;
/// Maximum number of servers that a context is replicated to before its requests queue.
const MAX_PREFIX_REPLICAS: usize = 4;

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new work.
    Live,
    /// It is draining: its attempts in flight continue, and it gets no new work.
    Leaving,
    /// It does not respond, or its process ended recently.
    Suspected,
}

/// A backend server as known to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identifier.
    pub id: ServerId,
    /// Host that the server runs on.
    pub host: HostId,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service that it is a replica of.
    pub service: ServiceName,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Maximum number of attempts in flight at the server.
    pub concurrency: u32,
}

/// An attempt to be routed.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Requested service.
    pub service: &'a ServiceName,
    /// Block hashes of the prompt; empty for apps.
    pub blocks: &'a [BlockHash],
    /// Number of tokens of the prompt; 0 for apps.
    pub prompt_tokens: u32,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
}

/// Decision of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the attempt to the server.
    Server(ServerKey),
    /// Every eligible server is full; try again when an attempt ends.
    Wait,
    /// No server is eligible.
    NoServer,
}

struct ServerEntry {
    info: ServerInfo,
    load: ServerLoad,
}

/// An eligible server and its expected time to first token.
#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    key: ServerKey,
    expected_s: f64,
    occupied: u32,
}

/// Routes attempts to the backend servers of all services.
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
    /// Creates a router for an entry host in `home_zone`; `seed` seeds its random choices.
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

    /// Replaces the list of servers. The load and cached prefixes of servers that stay are kept.
    ///
    /// A suspected server that is listed as live stays suspected until [`Self::set_state`] is
    /// called, since the list lags behind.
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

    /// Sets the state of a server; an unknown server is ignored.
    pub fn set_state(&mut self, _now: Timestamp, id: &ServerId, state: ServerState) {
        let Some(&key) = self.keys.get(id) else { return };
        if self.servers[key].info.state != state {
            self.servers[key].info.state = state;
            self.rebuild_index();
            if state == ServerState::Suspected {
                // Its process may have ended, and the prefix cache is lost with it.
                self.prefixes.remove_server(key);
            }
        }
    }

    /// Returns a server by its key, or `None` if it has been removed.
    pub fn server(&self, key: ServerKey) -> Option<&ServerInfo> {
        self.servers.get(key).map(|entry| &entry.info)
    }

    /// Returns the key of a server.
    pub fn key_of(&self, id: &ServerId) -> Option<ServerKey> {
        self.keys.get(id).copied()
    }

    /// Returns the number of this host's attempts in flight at a server.
    pub fn in_flight(&self, key: ServerKey) -> u32 {
        self.servers.get(key).map_or(0, |entry| entry.load.in_flight())
    }

    /// Returns all servers, ordered by id.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerInfo)> {
        self.keys.values().map(|&key| (key, &self.servers[key].info))
    }

    /// Returns the memory used to track cached prefixes, in bytes.
    pub fn location_bytes(&self) -> usize {
        self.prefixes.state_bytes()
    }

    /// Chooses a server for an attempt. If the attempt is sent there, the caller must call
    /// [`Self::on_dispatched`].
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
        // No candidate is eligible, so consider all live servers.
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

    /// Records the end of an attempt, whether it succeeded or failed.
    pub fn on_ended(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(entry) = self.servers.get_mut(key) {
            entry.load.on_ended(now, rates_of(&mut self.rates, &entry.info.service));
        }
    }

    /// Applies a load report of a server.
    pub fn on_load_report(&mut self, now: Timestamp, key: ServerKey, report: &LoadReport) {
        if let Some(entry) = self.servers.get_mut(key) {
            let rates = rates_of(&mut self.rates, &entry.info.service);
            entry.load.on_report(now, report, rates);
        }
    }

    /// Applies cache events of a server.
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

    /// Returns whether the context should be replicated to one more server before its requests
    /// queue.
    ///
    /// This is the case when every live server that caches most of the longest known prefix has a
    /// nearly full batch. A server that has just started to compute the context does not, so a
    /// burst replicates it to one server at a time.
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

    /// Returns the eligible candidates with their expected times.
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

/// Draws two of the servers that are tied with the best and returns the less loaded one. All entry
/// hosts see the same stale reports, so without the draw they would all choose the same server.
fn pick(rng: &mut ChaCha8Rng, scored: &[ScoredServer]) -> Option<ServerKey> {
    let best = scored.iter().map(|server| server.expected_s).min_by(f64::total_cmp)?;
    let is_tied = |server: &&ScoredServer| server.expected_s <= best + TIE_TOLERANCE_S;
    let tied = scored.iter().filter(is_tied).count();
    let mut draw = || scored.iter().filter(is_tied).nth(rng.random_range(0..tied));
    let (first, second) = (draw()?, draw()?);
    let less_loaded = if second.occupied < first.occupied { second } else { first };
    Some(less_loaded.key)
}

/// Returns the number of prompt tokens that the server does not have cached.
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
