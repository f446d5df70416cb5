//! The operators' configuration as the gateway uses it, and the rule that it only moves forward.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::ZoneName;

/// What may be repeated of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    Once,
    /// It answers with a stream of events.
    Stream {
        /// Whether another server may go on after the last event that was relayed.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether work that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::Once | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns whether the answer is relayed event by event.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of one host name and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request may be kept waiting for its answer.
    pub time_limit: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub latency_goal: Duration,
    /// Rank among requests; 0 is served first.
    pub priority: u32,
    /// Services and their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Backend servers that one request may be sent to, at most.
    pub max_servers: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl RouteRule {
    /// Returns the service that a request with the given hash goes to.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut rest = hash % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        None
    }
}

/// Size of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens of context that fit into its memory.
    pub context_tokens: u64,
}

/// Bounds and prices of a service's fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Fewest servers in a zone.
    pub min: u32,
    /// Most servers in a zone.
    pub max: u32,
    /// Time from an order until the new server serves.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a fraction of an ordinary one's, if there are any.
    pub reclaimable_price: Option<f64>,
    /// Price of a server-second by availability zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceName,
    /// Connections that each server accepts from all hosts together.
    pub max_connections: u32,
    /// Size of its engines, if it runs models.
    pub engine: Option<EngineCapacity>,
    /// Bounds of its fleet, if servers can be ordered.
    pub fleet: Option<FleetBounds>,
}

/// Tokens or requests that a team may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// Units per second.
    pub rate: u64,
    /// Units beyond the rate at once.
    pub burst: u64,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Name.
    pub name: TeamName,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Its quota; `None` if it has no limit.
    pub quota: Option<TeamQuota>,
    /// Whether a request counts by its tokens instead of as one.
    pub counts_tokens: bool,
    /// Units that a request without token counts costs, where tokens are counted.
    pub default_cost: u64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a header section.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time that a caller may take to send a header section or a body.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Version; larger is newer.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Rc<TeamRule>>,
    routes: HashMap<String, Vec<Rc<RouteRule>>>,
    keys: HashMap<String, Rc<TeamRule>>,
    uses_keys: bool,
}

/// What a caller's key stands for.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyCheck {
    /// A team's key.
    Team(Rc<TeamRule>),
    /// No key is needed.
    Anonymous,
    /// The key is missing or unknown.
    Unknown,
}

impl ServingConfig {
    /// Builds the lookup tables of a version.
    ///
    /// `teams` holds each team with its keys; `None` means that callers need no keys at all.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        limits: CallerLimits,
        teams: Option<Vec<(TeamRule, Vec<String>)>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let uses_keys = teams.is_some();
        let mut by_key = HashMap::new();
        let mut by_name = BTreeMap::new();
        for (team, keys) in teams.unwrap_or_default() {
            let team = Rc::new(team);
            by_name.insert(team.name.clone(), team.clone());
            by_key.extend(keys.into_iter().map(|key| (key, team.clone())));
        }
        let services = services.into_iter().map(|rule| (rule.name.clone(), rule)).collect();
        Self { version, services, limits, teams: by_name, routes: by_host, keys: by_key, uses_keys }
    }

    /// Returns the route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Returns what a caller's key stands for on a route.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyCheck {
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => KeyCheck::Team(team.clone()),
            None if !self.uses_keys || route.anonymous => KeyCheck::Anonymous,
            None => KeyCheck::Unknown,
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// What became of a version that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// It is in force now.
    Adopted,
    /// It is older than the one in force, or the same.
    Ignored,
}

/// The version in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    current: Option<Rc<ServingConfig>>,
}

impl ActiveConfig {
    /// Takes over a version unless one at least as new is in force: reads of the store may be
    /// stale, and a host never goes back.
    pub fn adopt_if_newer(&mut self, config: ServingConfig) -> ConfigChange {
        match &self.current {
            Some(current) if current.version >= config.version => ConfigChange::Ignored,
            _ => {
                self.current = Some(Rc::new(config));
                ConfigChange::Adopted
            }
        }
    }

    /// Returns the version in force, if one is known.
    pub fn current(&self) -> Option<&Rc<ServingConfig>> {
        self.current.as_ref()
    }
}
