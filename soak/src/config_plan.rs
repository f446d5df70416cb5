//! The operator's configurations: each version, and what it makes of a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IndexedRandom as _;
use serde_json::Value;
use serde_json::json;
use testutils::deployment_standin::ROUTE_HOST;

use crate::work_plan::WORK_KEY;
use crate::work_plan::WorkSettings;

/// Services that routes lead to.
pub const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Number of path prefixes that routes come and go on.
pub const PREFIX_COUNT: usize = 8;
/// Number of keys that come and go.
pub const KEY_COUNT: usize = 4;
/// Largest step between two versions.
const MAX_VERSION_STEP: u64 = 5;
/// Time limit of a route in milliseconds.
const TIME_LIMIT_MS: u64 = 1_000;

/// A request that shows which version is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRequest {
    /// Number of the path prefix.
    pub prefix: usize,
    /// Number of the key.
    pub key: usize,
}

impl ProbeRequest {
    /// Draws a request.
    pub fn draw(random: &mut impl Rng) -> Self {
        Self {
            prefix: random.random_range(0..PREFIX_COUNT),
            key: random.random_range(0..KEY_COUNT),
        }
    }

    /// Returns the path.
    pub fn path(self) -> String {
        format!("{}probe", prefix_path(self.prefix))
    }

    /// Returns the key.
    pub fn key_text(self) -> String {
        key_text(self.key)
    }
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A replica of the service with this number ran it.
    RunBy(usize),
    /// There is no route.
    NotFound,
    /// The key is unknown.
    Unauthorized,
}

/// One version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigVersion {
    /// Version number.
    pub version: u64,
    /// Service by path prefix.
    routes: BTreeMap<usize, usize>,
    keys: BTreeSet<usize>,
    /// Routes for long work.
    pub work: WorkSettings,
}

impl ConfigVersion {
    /// Returns the first version, with all routes and keys.
    pub fn first() -> Self {
        let routes = (0..PREFIX_COUNT).map(|prefix| (prefix, prefix % SERVICES.len()));
        Self {
            version: 1,
            routes: routes.collect(),
            keys: (0..KEY_COUNT).collect(),
            work: WorkSettings::default(),
        }
    }

    /// Draws the next version: a route moves, goes or comes, or a key does.
    pub fn next(&self, random: &mut impl Rng) -> Self {
        let mut next = self.clone();
        next.version += random.random_range(1..=MAX_VERSION_STEP);
        let prefix = random.random_range(0..PREFIX_COUNT);
        match random.random_range(0..4) {
            0 if next.keys.len() > 1 => {
                let keys: Vec<usize> = next.keys.iter().copied().collect();
                keys.choose(random).map(|key| next.keys.remove(key));
            }
            0 | 1 => {
                next.keys.insert(random.random_range(0..KEY_COUNT));
            }
            2 if next.routes.len() > 1 => {
                next.routes.remove(&prefix);
            }
            _ => {
                let service = next.routes.get(&prefix).map_or(0, |service| service + 1);
                next.routes.insert(prefix, service % SERVICES.len());
            }
        }
        next
    }

    /// Returns what this version makes of a request.
    pub fn outcome(&self, request: ProbeRequest) -> ProbeOutcome {
        match self.routes.get(&request.prefix) {
            None => ProbeOutcome::NotFound,
            Some(_) if !self.keys.contains(&request.key) => ProbeOutcome::Unauthorized,
            Some(service) => ProbeOutcome::RunBy(*service),
        }
    }

    /// Returns the document that the operator publishes.
    pub fn document(&self) -> Value {
        let routes = self.routes.iter().map(|(prefix, service)| {
            json!({
                "name": format!("r-{prefix}"), "host": ROUTE_HOST,
                "path-prefix": prefix_path(*prefix), "kind": "safe", "timeout-ms": TIME_LIMIT_MS,
                "latency-goal-ms": 100, "priority": 0, "service": SERVICES[*service],
                "attempts": 2,
            })
        });
        let mut keys: Vec<String> = self.keys.iter().map(|key| key_text(*key)).collect();
        keys.push(WORK_KEY.to_owned());
        json!({
            "version": self.version,
            "routes": routes.chain(self.work.route_documents()).collect::<Vec<_>>(),
            "services": SERVICES.map(|name| json!({"name": name, "max-conns": 500})),
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 1_048_576,
                       "header-timeout-ms": 3_000,
                       "idle-timeout-ms": self.work.idle_limit_ms()},
            "tenants": [{"name": "club", "api-keys": keys}],
        })
    }
}

fn prefix_path(prefix: usize) -> String {
    format!("/p{prefix}/")
}

fn key_text(key: usize) -> String {
    format!("key-{key}")
}
