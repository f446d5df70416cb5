//! The routes that carry long work, and how versions of the configuration change them.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom as _;
use serde_json::Value;
use serde_json::json;
use testutils::deployment_standin::ROUTE_HOST;

use crate::config_plan::SERVICES;

/// Key that every version holds.
pub const WORK_KEY: &str = "key-work";

/// Time limits that versions choose from, in milliseconds.
const TIME_LIMITS_MS: [u64; 4] = [800, 2_000, 4_000, 6_000];

/// Idle limits that versions choose from, in milliseconds.
const IDLE_LIMITS_MS: [u64; 3] = [3_000, 6_000, 15_000];

/// Largest weight of a service in a split route.
const MAX_WEIGHT: u32 = 9;

/// What may be done with a request once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A stream that may be resumed.
    Resumable,
    /// A stream that may run once.
    SingleStream,
    /// A request that may be repeated.
    Safe,
    /// A request that may run once.
    Unsafe,
}

impl WorkKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Resumable | Self::Safe)
    }

    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::SingleStream)
    }

    /// Returns the method of its requests.
    pub fn method(self) -> &'static str {
        match self {
            Self::Safe => "GET",
            Self::Resumable | Self::SingleStream | Self::Unsafe => "POST",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Resumable | Self::SingleStream => "streaming",
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
        }
    }
}

/// A route for long work. All versions have it.
#[derive(Clone, Copy, Debug)]
pub struct WorkRoute {
    /// Path prefix.
    pub prefix: &'static str,
    /// Kind.
    pub kind: WorkKind,
    /// Replicas that one request may be sent to.
    pub attempts: usize,
    latency_goal_ms: u64,
}

const fn route(
    prefix: &'static str,
    kind: WorkKind,
    attempts: usize,
    latency_goal_ms: u64,
) -> WorkRoute {
    WorkRoute { prefix, kind, attempts, latency_goal_ms }
}

/// All routes for long work.
pub const WORK_ROUTES: [WorkRoute; 7] = [
    route("/brief/again/", WorkKind::Resumable, 2, 200),
    route("/brief/often/", WorkKind::Resumable, 4, 600),
    route("/brief/alone/", WorkKind::Resumable, 1, 200),
    route("/brief/plain/", WorkKind::SingleStream, 2, 200),
    route("/look/again/", WorkKind::Safe, 2, 150),
    route("/look/alone/", WorkKind::Safe, 1, 150),
    route("/book/once/", WorkKind::Unsafe, 2, 300),
];

/// Where a route leads to in one version, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteSetting {
    weights: [u32; SERVICES.len()],
    time_limit_ms: u64,
}

/// What one version says of the routes for long work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkSettings {
    routes: [RouteSetting; WORK_ROUTES.len()],
    idle_limit_ms: u64,
}

impl Default for WorkSettings {
    fn default() -> Self {
        let [.., time_limit_ms] = TIME_LIMITS_MS;
        let [.., idle_limit_ms] = IDLE_LIMITS_MS;
        let setting = RouteSetting { weights: [1, 0], time_limit_ms };
        Self { routes: [setting; WORK_ROUTES.len()], idle_limit_ms }
    }
}

impl WorkSettings {
    /// Draws the next settings: a route moves or is split anew, or a limit changes.
    pub fn next(&self, random: &mut impl Rng) -> Self {
        let mut next = self.clone();
        let setting = &mut next.routes[random.random_range(0..WORK_ROUTES.len())];
        match random.random_range(0..4) {
            0 => setting.weights.reverse(),
            1 => setting.weights = [0; 2].map(|_: u32| random.random_range(1..=MAX_WEIGHT)),
            2 => {
                let limit = TIME_LIMITS_MS.choose(random).copied();
                setting.time_limit_ms = limit.unwrap_or(setting.time_limit_ms);
            }
            _ => {
                let limit = IDLE_LIMITS_MS.choose(random).copied();
                next.idle_limit_ms = limit.unwrap_or(next.idle_limit_ms);
            }
        }
        next
    }

    /// Returns the time limit of a route by its index in [`WORK_ROUTES`].
    pub fn time_limit(&self, route: usize) -> Duration {
        Duration::from_millis(self.routes[route].time_limit_ms)
    }

    /// Returns the time for which a connection may stay idle.
    pub fn idle_limit_ms(&self) -> u64 {
        self.idle_limit_ms
    }

    /// Returns the entries of the routes in the operator's document.
    pub fn route_documents(&self) -> impl Iterator<Item = Value> {
        self.routes.iter().zip(WORK_ROUTES).map(|(setting, route)| {
            let targets = SERVICES.iter().zip(setting.weights).filter(|(_, weight)| *weight > 0);
            let split =
                targets.map(|(service, weight)| json!({"service": service, "weight": weight}));
            json!({
                "name": route.prefix.trim_matches('/').replace('/', "-"), "host": ROUTE_HOST,
                "path-prefix": route.prefix, "kind": route.kind.name(),
                "timeout-ms": setting.time_limit_ms, "latency-goal-ms": route.latency_goal_ms,
                "priority": 0, "split": split.collect::<Vec<_>>(), "attempts": route.attempts,
                "resumable": route.kind == WorkKind::Resumable,
            })
        })
    }
}
