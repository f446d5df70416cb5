//! Chooses the backend server of an attempt.
//!
//! Load pattern: model requests whose prompts share long prefixes, on servers whose prefill and
//! batch capacity is shared by all hosts. The cost of a server is an estimate of the wait there:
//! its pending prefill and the request's own uncached tokens at the speed learned of the server, how full
//! its batch is, and for how long the request would stall the streams there. Hosts don't
//! share which prefixes are cached where; they agree on a home server for each shared prefix by
//! rendezvous hashing. A request goes to another server only if waiting at home costs more than
//! prefilling the prefix again.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time::Duration;

use rand::Rng;
use slotmap::SecondaryMap;

use crate::gateway::backend_directory::BackendDirectory;
use crate::gateway::backend_directory::BackendServer;
use crate::gateway::caller_request::PromptShape;
use crate::gateway::capacity::speed_table::SpeedTable;
use crate::gateway::limit_table::LimitState;
use crate::gateway::limit_table::LimitTable;
use crate::gateway::server_health::HealthEvidence;
use crate::gateway::server_health::ServerHealth;
use crate::gateway::server_pause::PauseState;
use crate::gateway::server_pause::PauseTable;
use crate::gateway::zones::app_choice::AppChoice;
use crate::gateway::zones::app_choice::AppServer;
use crate::gateway::zones::app_choice::AppView;
use crate::gateway::zones::prefix_homes::HomeScope;
use crate::gateway::zones::prefix_homes::PrefixHomes;
use crate::gateway::zones::prefix_homes::PrefixUse;
use crate::gateway::zones::zone_flow::OpenZone;
use crate::gateway::zones::zone_flow::ZoneFlow;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Weight of an uncached token of the request: 1 for its own wait, and more because it also delays
/// the other requests on the server and evicts other prefixes from its cache.
const UNCACHED_TOKEN_WEIGHT: f64 = 3.0;

/// Expected milliseconds that each running request adds to a new request's time to first token.
const BATCH_MS_PER_REQUEST: f64 = 1.0;

/// Weight of a millisecond by which a running stream is stalled beyond its pause goal: stalling two
/// streams costs as much as the wait of the request that stalls them.
const STALL_WEIGHT: f64 = 0.5;

/// Requests per slot at which an engine counts as full; its own queue holds about as many again.
pub const MAX_ENGINE_FILL: f64 = 1.25;

/// The same for a stream that has begun and may go on at few servers only.
const MAX_RESUMED_FILL: f64 = 1.5;

/// Requests per slot at which an application server counts as full.
pub const MAX_APP_FILL: f64 = 3.0;

/// Time for which a prompt part counts as cached on a server after its last use there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);

/// Maximum number of cached prefixes tracked per server; the least recently used are evicted first.
const MAX_WARM_PREFIXES: usize = 512;

/// Cost of a place at a server that names a limit, in milliseconds: a request takes one if it saves
/// that much prefill or waiting, so that places are left for those that need them.
const LIMITED_ENGINE_COST_MS: f64 = 120.0;

/// The same for an application server: twice that of waiting for a slot.
const LIMITED_APP_COST_MS: f64 = 16.0;

/// Time after the last response that named a limit from which on a place costs nothing, since only a
/// response shows that the limit has ended.
const LIMIT_CHECK_TIME: Duration = Duration::from_secs(2);

/// Load that other hosts put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens that were not prefilled yet when the load was reported.
    pub prefill_tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    running: u32,
    prefill_tokens: u64,
    peers: PeerLoad,
    health: ServerHealth,
    /// Whether the server fails if it has to turn many requests away.
    is_brittle: bool,
    /// Last use of each prefix on this server.
    warm: BTreeMap<u64, Timestamp>,
}

/// This host's share of the connections that each server of a service accepts from all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Connections that a server accepts.
    pub max_connections: u32,
    /// Hosts that share them.
    pub hosts: u32,
    /// Number of this host among them, from 0.
    pub rank: u32,
}

impl ConnectionShare {
    /// As many connections as a host likes.
    pub const UNLIMITED: Self = Self { max_connections: u32::MAX, hosts: 1, rank: 0 };

    /// Returns how many connections this host may use at a server. One host's share is left free for a
    /// host that starts. A server with fewer connections than hosts serves only some of them.
    pub fn at_server(self, server: &ServerId) -> u32 {
        let share = self.max_connections / self.hosts.saturating_add(1);
        if share > 0 {
            return share;
        }
        let mut hasher = DefaultHasher::new();
        server.as_str().hash(&mut hasher);
        let turn = (hasher.finish() % u64::from(self.hosts) + u64::from(self.rank))
            % u64::from(self.hosts);
        u32::from(turn < u64::from(self.max_connections))
    }
}

/// The properties of a request that matter to its placement.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Target service.
    pub service: &'a ServiceName,
    /// Prompt, if the target is a model.
    pub prompt: Option<&'a PromptShape>,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
    /// This host's share of the servers' connections.
    pub connections: ConnectionShare,
    /// Software version that the server must run, if only one may be chosen.
    pub version: Option<&'a SoftwareVersion>,
    /// Whether the caller has events of the stream.
    pub is_resumed: bool,
}

/// The result of a choice, with the load it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Send to this server.
    Server {
        /// Key of the server.
        key: ServerKey,
        /// Requests in flight on the server, from all hosts.
        running: u32,
        /// Prompt tokens of the request that the server has to prefill.
        uncached_tokens: u64,
        /// Servers that their limits closed to this host.
        limited: u32,
    },
    /// Every server is full, or accepts no request from this host for now.
    Full,
    /// Every server asked this host for a pause or has reached its limit.
    Closed {
        /// When the first one opens.
        until: Timestamp,
        /// Servers that their limits closed to this host.
        limited: u32,
    },
    /// No server of the service is known.
    NoServer,
}

/// Load, health and cached prefixes of every server.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    zone: ZoneName,
    loads: SecondaryMap<ServerKey, ServerLoad>,
    pauses: PauseTable,
    limits: LimitTable,
    speeds: SpeedTable,
    apps: AppChoice,
    flow: ZoneFlow,
    homes: PrefixHomes,
    /// Number of hosts in each zone.
    zone_hosts: BTreeMap<ZoneName, u32>,
}

/// The servers that accept requests from this host.
struct OpenServers<'a> {
    servers: Vec<(ServerKey, &'a BackendServer)>,
    /// When the first of the others opens.
    first_opens_at: Option<Timestamp>,
    /// How many of the others their limits closed.
    limited: u32,
}

impl PlacementTable {
    /// Creates an empty table for a host in the given zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            flow: ZoneFlow::new(zone.clone()),
            zone,
            loads: SecondaryMap::new(),
            pauses: PauseTable::default(),
            limits: LimitTable::default(),
            speeds: SpeedTable::default(),
            apps: AppChoice::default(),
            homes: PrefixHomes::default(),
            zone_hosts: BTreeMap::new(),
        }
    }

    /// Adds a server, or clears the state of one that restarted.
    pub fn reset(&mut self, key: ServerKey) {
        self.loads.insert(key, ServerLoad::default());
        self.apps.forget(key);
    }

    /// Removes a server.
    pub fn remove(&mut self, key: ServerKey) {
        self.loads.remove(key);
        self.speeds.remove(key);
        self.apps.forget(key);
    }

    /// Chooses a server for a request.
    pub fn choose(
        &self,
        now: Timestamp,
        directory: &BackendDirectory,
        query: &PlacementQuery<'_>,
    ) -> PlacementChoice {
        self.choose_with(now, directory, query, &mut rand::rng())
    }

    /// Chooses a server for a request, with a generator for the choice among plain servers.
    pub fn choose_with(
        &self,
        now: Timestamp,
        directory: &BackendDirectory,
        query: &PlacementQuery<'_>,
        random: &mut impl Rng,
    ) -> PlacementChoice {
        let ready: Vec<(ServerKey, &BackendServer)> = directory
            .of_service(query.service)
            .filter(|(key, server)| {
                server.draining_since.is_none()
                    && !query.excluded.contains(key)
                    && query.version.is_none_or(|version| server.entry.version == *version)
            })
            .collect();
        if ready.is_empty() {
            return PlacementChoice::NoServer;
        }
        let OpenServers { servers: open, first_opens_at, limited } = self.open_servers(now, ready);
        if let Some(until) = first_opens_at.filter(|_| open.is_empty()) {
            return PlacementChoice::Closed { until, limited };
        }
        let is_healthy = |(key, server): &(ServerKey, &BackendServer)| {
            !server.is_missing
                && !self.is_avoided(now, *key)
                && self.pauses.state(now, &server.entry.id) == PauseState::Open
        };
        let healthy: Vec<_> = open.iter().copied().filter(is_healthy).collect();
        let listed: Vec<_> =
            open.iter().copied().filter(|(_, server)| !server.is_missing).collect();
        // If no server is healthy, trying any of them is better than refusing the request. One whose entry
        // is missing comes last, since it may have left.
        let candidates = [healthy, listed].into_iter().find(|servers| !servers.is_empty());
        let candidates = candidates.unwrap_or(open);
        if query.prompt.is_none() {
            return self.choose_app(now, &candidates, limited, query, random);
        }
        let prefix = query.prompt.and_then(PromptShape::shared_prefix);
        let home = prefix.and_then(|prefix| self.prefix_home(now, prefix, &candidates));
        let open = self.flow.open_zone(query.service, random.random_range(0.0..1.0));
        let mut best: Option<(f64, PlacementChoice)> = None;
        for (key, server) in candidates {
            let Some((cost, choice)) = self.cost_at(now, key, server, (home, open), query) else {
                continue;
            };
            let cost = cost + self.limit_cost(now, server, query);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        match best {
            Some((_, PlacementChoice::Server { key, running, uncached_tokens, .. })) => {
                PlacementChoice::Server { key, running, uncached_tokens, limited }
            }
            Some((_, choice)) => choice,
            None => PlacementChoice::Full,
        }
    }

    /// Returns the home server of a prefix.
    fn prefix_home(
        &self,
        now: Timestamp,
        prefix: u64,
        candidates: &[(ServerKey, &BackendServer)],
    ) -> Option<ServerKey> {
        let is_near = |server: &BackendServer| server.entry.zone == self.zone;
        let near = candidates.iter().filter(|(_, server)| is_near(server)).count();
        let scope = match near {
            0 => HomeScope::Fleet,
            near => self.homes.scope(now, prefix, near),
        };
        let eligible =
            candidates.iter().filter(|(_, server)| scope == HomeScope::Fleet || is_near(server));
        let home = eligible.max_by_key(|(_, server)| rendezvous_score(prefix, &server.entry.id));
        home.map(|(key, _)| *key)
    }

    /// Counts a use of a prompt's shared prefix, in a deployment with several zones.
    fn count_prefix(&mut self, now: Timestamp, key: ServerKey, prompt: &PromptShape) {
        let Some(last) = prompt.shared_parts().last().filter(|_| self.zone_hosts.len() > 1) else {
            return;
        };
        let tokens = prompt.shared_parts().iter().map(|part| u64::from(part.tokens)).sum();
        let others = self.zone_hosts.keys().filter(|zone| **zone != self.zone);
        let costs = others.map(|zone| self.flow.leaving_ms(zone, Some(prompt.prompt_tokens)));
        let used = PrefixUse {
            prefix: last.id,
            tokens,
            copy_ms: tokens as f64 * UNCACHED_TOKEN_WEIGHT
                / self.speeds.prefill_tokens_per_ms(now, key),
            leaving_ms: costs.fold(f64::MAX, f64::min),
            zone_hosts: self.zone_hosts.get(&self.zone).copied().unwrap_or(1),
        };
        self.homes.on_use(now, used);
    }

    /// Returns which prefixes have a home in this host's zone.
    pub fn homes(&self) -> &PrefixHomes {
        &self.homes
    }

    /// Chooses among servers of a plain application.
    fn choose_app(
        &self,
        now: Timestamp,
        candidates: &[(ServerKey, &BackendServer)],
        limited: u32,
        query: &PlacementQuery<'_>,
        random: &mut impl Rng,
    ) -> PlacementChoice {
        let mut zones: Vec<&ZoneName> = vec![&self.zone];
        zones.extend(self.zone_hosts.keys().filter(|zone| **zone != self.zone));
        let hosts = |zone: &&ZoneName| f64::from(self.zone_hosts.get(*zone).map_or(1, |n| *n));
        let all_hosts: f64 = zones.iter().map(hosts).sum();
        let zone_shares: Vec<f64> = zones.iter().map(|zone| hosts(zone) / all_hosts).collect();
        let mut servers = Vec::with_capacity(candidates.len());
        for (key, server) in candidates {
            let Some(load) = self.loads.get(*key).filter(|load| load.has_room(server, query))
            else {
                continue;
            };
            let zone = zones.iter().position(|zone| **zone == server.entry.zone);
            servers.push(AppServer {
                key: *key,
                zone: zone.unwrap_or(usize::MAX),
                slots: server.entry.slots,
                own: load.running,
                peers: load.peers.running,
                leaving_ms: self.flow.leaving_ms(&server.entry.zone, None),
                extra_ms: self.limit_cost(now, server, query),
            });
        }
        let view = AppView { servers: &servers, zone_shares: &zone_shares, home: 0 };
        match self.apps.choose(now, &view, random).and_then(|index| servers.get(index)) {
            Some(AppServer { key, own, peers, .. }) => PlacementChoice::Server {
                key: *key,
                running: own + peers,
                uncached_tokens: 0,
                limited,
            },
            None => PlacementChoice::Full,
        }
    }

    /// Returns the traffic of this host's zone to the others.
    pub fn flow(&self) -> &ZoneFlow {
        &self.flow
    }

    /// Returns the traffic of this host's zone to the others, to change it.
    pub fn flow_mut(&mut self) -> &mut ZoneFlow {
        &mut self.flow
    }

    /// Returns what is known of plain application servers.
    pub fn apps(&self) -> &AppChoice {
        &self.apps
    }

    /// Records an answer of a plain application server to a call that was sent while `running` were in
    /// flight there.
    pub fn on_app_answer(&mut self, key: ServerKey, slots: u32, running: u32, elapsed: Duration) {
        self.apps.on_answer(key, slots, running, elapsed);
    }

    /// Replaces the loads of plain servers, which other hosts reported `age` ago on average.
    pub fn set_app_loads(&mut self, now: Timestamp, age: Duration, loads: &[(ServerKey, u32)]) {
        for (key, running) in loads {
            if let Some(load) = self.loads.get_mut(*key) {
                load.peers.running = *running;
            }
        }
        self.apps.on_loads(now, age, loads.iter().copied());
    }

    /// Replaces the number of hosts in each zone.
    pub fn set_zone_hosts(&mut self, hosts: BTreeMap<ZoneName, u32>) {
        self.zone_hosts = hosts;
    }

    /// Returns the servers that neither a pause nor a limit closes to this host.
    fn open_servers<'a>(
        &self,
        now: Timestamp,
        ready: Vec<(ServerKey, &'a BackendServer)>,
    ) -> OpenServers<'a> {
        let mut open = OpenServers { servers: ready, first_opens_at: None, limited: 0 };
        let OpenServers { servers, first_opens_at, limited } = &mut open;
        servers.retain(|(_, server)| {
            let entry = &server.entry;
            let paused_until = match self.pauses.state(now, &entry.id) {
                PauseState::Open | PauseState::OnTrial => None,
                PauseState::PausedUntil(until) => Some(until),
            };
            let limited_until = match self.limits.state(now, &entry.id, entry.started_at_ms) {
                LimitState::Unlimited | LimitState::Open { .. } => None,
                LimitState::ClosedUntil(until) => Some(until),
            };
            *limited += u32::from(limited_until.is_some());
            let Some(opens_at) = paused_until.max(limited_until) else { return true };
            *first_opens_at = Some(first_opens_at.map_or(opens_at, |first| first.min(opens_at)));
            false
        });
        open
    }

    /// Returns the cost of a place at a server, in milliseconds.
    fn limit_cost(
        &self,
        now: Timestamp,
        server: &BackendServer,
        query: &PlacementQuery<'_>,
    ) -> f64 {
        let entry = &server.entry;
        match self.limits.state(now, &entry.id, entry.started_at_ms) {
            LimitState::Open { named_at } if now.since(named_at) < LIMIT_CHECK_TIME => {
                match query.prompt {
                    Some(_) => LIMITED_ENGINE_COST_MS,
                    None => LIMITED_APP_COST_MS,
                }
            }
            LimitState::Open { .. } | LimitState::Unlimited | LimitState::ClosedUntil(_) => 0.0,
        }
    }

    /// Returns the limits that servers name.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// Returns the limits that servers name, to change them.
    pub fn limits_mut(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Returns the learned speeds of the servers.
    pub fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Returns the learned speeds of the servers, to change them.
    pub fn speeds_mut(&mut self) -> &mut SpeedTable {
        &mut self.speeds
    }

    /// Returns whether a server asked this host for a pause that has not ended.
    pub fn is_paused(&self, now: Timestamp, server: &ServerId) -> bool {
        matches!(self.pauses.state(now, server), PauseState::PausedUntil(_))
    }

    /// Records that a server asked this host for a pause.
    pub fn on_pause(&mut self, now: Timestamp, server: &ServerId, pause: Duration) {
        self.pauses.on_pause(now, server, pause);
    }

    /// Records that a request was handed to a server's connection.
    pub fn on_handed_over(&mut self, now: Timestamp, server: &ServerId) {
        self.pauses.on_sent(now, server);
    }

    /// Records that a server answered without asking for a pause.
    pub fn on_answered(&mut self, now: Timestamp, server: &ServerId) {
        self.pauses.on_answered(now, server);
    }

    /// Records that an attempt was sent.
    pub fn on_sent(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        prompt: Option<&PromptShape>,
        uncached_tokens: u64,
    ) {
        if let Some(prompt) = prompt {
            self.count_prefix(now, key, prompt);
        }
        let Some(load) = self.loads.get_mut(key) else { return };
        load.running += 1;
        load.prefill_tokens += uncached_tokens;
        for part in prompt.map_or([].as_slice(), |prompt| &prompt.parts) {
            load.warm.insert(part.id, now);
        }
        if load.warm.len() > MAX_WARM_PREFIXES {
            load.warm.retain(|_, used_at| now.since(*used_at) < PREFIX_CACHE_TTL);
        }
        while load.warm.len() > MAX_WARM_PREFIXES {
            let oldest = load.warm.iter().min_by_key(|(_, used_at)| **used_at).map(|(id, _)| *id);
            let Some(oldest) = oldest else { break };
            load.warm.remove(&oldest);
        }
    }

    /// Records that an attempt's prompt was prefilled: its first token arrived, or it ended.
    pub fn on_prefilled(&mut self, key: ServerKey, uncached_tokens: u64) {
        if let Some(load) = self.loads.get_mut(key) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Records that an attempt ended.
    pub fn on_ended(&mut self, key: ServerKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Updates a server's health; returns whether the server is avoided from now on and was not
    /// before.
    pub fn on_evidence(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        evidence: HealthEvidence,
    ) -> bool {
        self.loads.get_mut(key).is_some_and(|load| load.health.on_evidence(now, evidence))
    }

    /// Sets whether a server fails if it has to turn many requests away; returns whether that is new.
    pub fn set_brittle(&mut self, key: ServerKey, is_brittle: bool) -> bool {
        self.loads
            .get_mut(key)
            .is_some_and(|load| std::mem::replace(&mut load.is_brittle, is_brittle) != is_brittle)
    }

    /// Replaces the loads reported by other hosts.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<ServerKey, PeerLoad>) {
        for (key, load) in &mut self.loads {
            load.peers = loads.get(&key).copied().unwrap_or_default();
        }
    }

    /// Returns the load that this host puts on each server, for servers with requests in flight.
    pub fn own_loads(&self) -> impl Iterator<Item = (ServerKey, PeerLoad)> {
        self.loads.iter().filter(|(_, load)| load.running > 0).map(|(key, load)| {
            (key, PeerLoad { running: load.running, prefill_tokens: load.prefill_tokens })
        })
    }

    /// Returns the number of requests in flight on a server, from all hosts.
    pub fn running(&self, key: ServerKey) -> u32 {
        self.loads.get(key).map_or(0, |load| load.running + load.peers.running)
    }

    /// Returns the number of prompt tokens that wait for prefill on a server, from all hosts.
    pub fn pending_tokens(&self, key: ServerKey) -> u64 {
        self.loads.get(key).map_or(0, |load| load.prefill_tokens + load.peers.prefill_tokens)
    }

    fn is_avoided(&self, now: Timestamp, key: ServerKey) -> bool {
        self.loads.get(key).is_some_and(|load| load.health.is_avoided(now))
    }

    /// Returns the cost of a server in milliseconds and the choice of it, or `None` if it is full.
    fn cost_at(
        &self,
        now: Timestamp,
        key: ServerKey,
        server: &BackendServer,
        (home, open): (Option<ServerKey>, OpenZone<'_>),
        query: &PlacementQuery<'_>,
    ) -> Option<(f64, PlacementChoice)> {
        let load = self.loads.get(key).filter(|load| load.has_room(server, query))?;
        let running = load.running + load.peers.running;
        let prompt = query.prompt?;
        let zone_cost = self.flow.cost(&server.entry.zone, open, Some(prompt.prompt_tokens));
        let uncached_tokens = load.uncached_tokens(now, prompt, home == Some(key));
        let pending = load.prefill_tokens + load.peers.prefill_tokens;
        let tokens_to_read = pending as f64 + uncached_tokens as f64 * UNCACHED_TOKEN_WEIGHT;
        let stall_ms = self.speeds.stall_ms(now, key, pending + uncached_tokens);
        let cost = tokens_to_read / self.speeds.prefill_tokens_per_ms(now, key)
            + f64::from(running) * (BATCH_MS_PER_REQUEST + stall_ms * STALL_WEIGHT)
            + zone_cost;
        Some((cost, PlacementChoice::Server { key, running, uncached_tokens, limited: 0 }))
    }
}

impl ServerLoad {
    /// Returns whether the server takes another request of this host.
    fn has_room(&self, server: &BackendServer, query: &PlacementQuery<'_>) -> bool {
        if self.is_brittle {
            // Each host keeps to its part of the slots, since the loads of peers are known late.
            let parts =
                ConnectionShare { max_connections: server.entry.slots, ..query.connections };
            return self.running < parts.at_server(&server.entry.id)
                && self.running + self.peers.running < server.entry.slots;
        }
        let max_fill = match query.prompt {
            Some(_) if query.is_resumed => MAX_RESUMED_FILL,
            Some(_) => MAX_ENGINE_FILL,
            None => MAX_APP_FILL,
        };
        let running = f64::from(self.running + self.peers.running);
        self.running < query.connections.at_server(&server.entry.id)
            && running < f64::from(server.entry.slots) * max_fill
    }

    /// Returns the number of prompt tokens that the server has to prefill. At `home` the shared
    /// parts count as cached, since every host sends them there.
    fn uncached_tokens(&self, now: Timestamp, prompt: &PromptShape, home: bool) -> u64 {
        let is_warm =
            |id: u64| self.warm.get(&id).is_some_and(|at| now.since(*at) < PREFIX_CACHE_TTL);
        let shared = prompt.parts.len().saturating_sub(1);
        let cached: u64 = prompt
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| is_warm(part.id) || (home && *index < shared))
            .map(|(_, part)| u64::from(part.tokens))
            .sum();
        u64::from(prompt.prompt_tokens).saturating_sub(cached)
    }
}

/// Returns the score of a server for a prefix; the server with the highest one is the prefix's
/// home.
fn rendezvous_score(prefix: u64, server: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, server.as_str()).hash(&mut hasher);
    hasher.finish()
}
