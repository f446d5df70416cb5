//! The operators' configuration as used by the gateway. Its version never goes backwards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::request_rank::PriorityScale;
use crate::gateway::request_rank::RequestRank;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::ZoneName;

/// Whether a request may be sent more than once, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    Once,
    /// The response is a stream of events.
    Stream {
        /// Whether another server can resume the stream after the last relayed event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::Once | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns whether the response is a stream that another server can resume.
    pub fn is_resumable_stream(self) -> bool {
        self == Self::Stream { resumable: true }
    }

    /// Returns whether the response is relayed event by event.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Routing rule for one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Maximum time for which a request may wait for its response.
    pub time_limit: Duration,
    /// Target latency of the response, or of its first event.
    pub latency_goal: Duration,
    /// Target for the longest pause between two events of a stream, if there is one.
    pub pause_goal: Option<Duration>,
    /// Priority of requests; 0 is served first.
    pub priority: u32,
    /// Services and their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of backend servers that one request may be sent to.
    pub max_servers: u32,
    /// Whether callers may omit the key.
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

/// Capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Context tokens that fit into its memory.
    pub context_tokens: u64,
}

/// Bounds and prices of a service's fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Minimum number of servers in each zone.
    pub min: u32,
    /// Maximum number of servers in each zone.
    pub max: u32,
    /// Time from an order until the new server accepts requests.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a fraction of an ordinary one's; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a server-second by availability zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceName,
    /// Maximum number of connections to each server, from all hosts.
    pub max_connections: u32,
    /// Capacity of each of its engines, if it runs models.
    pub engine: Option<EngineCapacity>,
    /// Bounds of its fleet, if servers can be ordered.
    pub fleet: Option<FleetBounds>,
}

/// Token bucket of a team, in tokens or requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// Units per second.
    pub rate: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Name.
    pub name: TeamName,
    /// Priority of its requests; overrides the route's.
    pub priority: Option<u32>,
    /// Quota; `None` if unlimited.
    pub quota: Option<TeamQuota>,
    /// Whether the quota counts a request's tokens instead of requests.
    pub counts_tokens: bool,
    /// Cost in units of a request without token counts, where tokens are counted.
    pub default_cost: u64,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of a header section.
    pub header_bytes: usize,
    /// Maximum bytes of a body.
    pub body_bytes: usize,
    /// Maximum time for a caller to send a header section or a body.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Version; larger is newer.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Rc<TeamRule>>,
    routes: HashMap<String, Vec<Rc<RouteRule>>>,
    keys: HashMap<String, Rc<TeamRule>>,
    uses_keys: bool,
    priorities: PriorityScale,
}

/// Result of checking a caller's key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyCheck {
    /// The key of a team.
    Team(Rc<TeamRule>),
    /// No key is needed.
    Anonymous,
    /// The key is missing or unknown.
    Unknown,
}

impl ServingConfig {
    /// Builds the lookup tables of a version.
    ///
    /// `teams` holds each team with its keys; with `None`, no route requires a key.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        limits: CallerLimits,
        teams: Option<Vec<(TeamRule, Vec<String>)>>,
    ) -> Self {
        let priorities = PriorityScale::new(request_ranks(&routes, teams.as_deref()));
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
        Self {
            version,
            services,
            limits,
            teams: by_name,
            routes: by_host,
            keys: by_key,
            uses_keys,
            priorities,
        }
    }

    /// Returns the level of priority that a rank is stated as to servers.
    pub fn priority_level(&self, rank: RequestRank) -> u32 {
        self.priorities.level(rank)
    }

    /// Returns the route of the host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Checks a caller's key on a route.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyCheck {
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => KeyCheck::Team(team.clone()),
            None if !self.uses_keys || route.anonymous => KeyCheck::Anonymous,
            None => KeyCheck::Unknown,
        }
    }

    /// Returns the services with streams that may be resumed.
    pub fn resumable_services(&self) -> BTreeSet<ServiceName> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind.is_resumable_stream());
        resumable
            .flat_map(|route| route.targets.iter().map(|(service, _)| service.clone()))
            .collect()
    }

    /// Returns the shortest of the pause goals of the streams that each service runs.
    pub fn pause_goals(&self) -> BTreeMap<ServiceName, Duration> {
        let mut goals: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for route in self.routes.values().flatten() {
            let Some(goal) = route.pause_goal else { continue };
            for (service, _) in &route.targets {
                goals
                    .entry(service.clone())
                    .and_modify(|known| *known = goal.min(*known))
                    .or_insert(goal);
            }
        }
        goals
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// Returns the ranks that the requests of all teams can have on the routes.
fn request_ranks(
    routes: &[RouteRule],
    teams: Option<&[(TeamRule, Vec<String>)]>,
) -> Vec<RequestRank> {
    // One team of each priority, and no team.
    let by_priority: BTreeMap<Option<u32>, &TeamRule> =
        teams.unwrap_or_default().iter().map(|(team, _)| (team.priority, team)).collect();
    let teams: Vec<Option<&TeamRule>> = by_priority.into_values().map(Some).chain([None]).collect();
    let of_route = |route| teams.iter().map(move |team| RequestRank::of(*team, route));
    routes.iter().flat_map(of_route).collect()
}

/// Whether a version was adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// It is now the active version.
    Adopted,
    /// It is not newer than the active version.
    Ignored,
}

/// The active version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    current: Option<Rc<ServingConfig>>,
}

impl ActiveConfig {
    /// Activates a version if it is newer than the active one: reads of the store may be stale, and
    /// a host must not return to an older version.
    pub fn adopt_if_newer(&mut self, config: ServingConfig) -> ConfigChange {
        match &self.current {
            Some(current) if current.version >= config.version => ConfigChange::Ignored,
            _ => {
                self.current = Some(Rc::new(config));
                ConfigChange::Adopted
            }
        }
    }

    /// Returns the active version, or `None` before the first read.
    pub fn current(&self) -> Option<&Rc<ServingConfig>> {
        self.current.as_ref()
    }
}
