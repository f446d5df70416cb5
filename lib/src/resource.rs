//! Validated resources of the published configuration: services, teams, fleet classes, policy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cloud::HostMarket;
use crate::ids::ClassName;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::ZoneName;

/// Kind of backend server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model servers.
    Model,
    /// Plain application servers.
    App,
}

/// Whether backend servers check fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// The servers reject a stale fencing token.
    Checked,
    /// The servers ignore fencing tokens.
    Ignored,
}

/// Which calls of an app service may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRule {
    /// Path prefixes whose calls are idempotent whatever their method.
    pub idempotent_paths: Vec<String>,
    /// Path prefixes whose calls are non-idempotent whatever their method; they take
    /// precedence over `idempotent_paths`. A call on neither list is idempotent only if its method
    /// is GET, HEAD or OPTIONS.
    pub non_idempotent_paths: Vec<String>,
}

impl IdempotencyRule {
    /// Returns whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let listed =
            |paths: &[String]| paths.iter().any(|prefix| path.starts_with(prefix.as_str()));
        if listed(&self.non_idempotent_paths) {
            return false;
        }
        listed(&self.idempotent_paths) || matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}

/// Latency that a service must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyTarget {
    /// Time to the first token, or to the complete response of an app.
    pub first_token: Duration,
    /// Time between tokens; unused for apps.
    pub token_gap: Duration,
    /// Share of requests that must meet both, in thousandths.
    pub share_permille: u16,
}

/// A service that requests can be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResource {
    /// Name.
    pub name: ServiceName,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Model to run, for model services.
    pub model: Option<String>,
    /// Latency target.
    pub latency_target: LatencyTarget,
    /// Which calls may be repeated.
    pub idempotency: IdempotencyRule,
    /// Whether its servers check fencing tokens.
    pub fencing: FencingCheck,
    /// Servers with fixed addresses, in addition to those of the host list.
    pub static_servers: Vec<StaticServer>,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Maximum concurrent requests on one server.
    pub server_concurrency: u32,
    /// Minimum number of replicas.
    pub min_replicas: u32,
    /// Maximum number of replicas.
    pub max_replicas: u32,
}

/// A backend server with a fixed address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaticServer {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Hash of a bearer token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TokenHash(pub [u8; 32]);

impl TokenHash {
    /// Hashes a token.
    pub fn of(token: &str) -> Self {
        Self(*blake3::hash(token.as_bytes()).as_bytes())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Compares with the hash of a token, in constant time.
    pub fn matches(&self, token: &str) -> bool {
        use subtle::ConstantTimeEq;
        self.0.ct_eq(&Self::of(token).0).into()
    }
}

/// A team that shares the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamResource {
    /// Name.
    pub name: TeamName,
    /// Hashes of its bearer tokens; several allow rotation.
    pub token_hashes: Vec<TokenHash>,
    /// Share of capacity, relative to other teams' weights.
    pub weight: u32,
    /// Maximum concurrent requests on one entry host.
    pub max_in_flight: u32,
    /// Services that the team may use; empty allows all.
    pub services: Vec<ServiceName>,
}

/// A machine class that the fleet may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetClass {
    /// Name of the machine class in the cloud.
    pub name: ClassName,
    /// Requests per second that one replica of a service serves within its target, in thousandths.
    pub capacity_permille: BTreeMap<ServiceName, u32>,
    /// Markets that hosts of the class may be ordered from.
    pub markets: Vec<HostMarket>,
    /// Price ceiling in millionths of the currency unit per hour.
    pub max_micros_per_hour: u64,
}

/// Settings that apply to the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyResource {
    /// Time for which a finished response is kept for replay.
    pub answer_retention: Duration,
    /// Time for which an idempotency key is remembered.
    pub key_retention: Duration,
    /// Retries per hundred successes.
    pub retry_percent: u32,
    /// Share of hosts that may be reclaimable, in percent.
    pub reclaimable_percent: u32,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceResource>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamResource>,
    /// Fleet classes by name.
    pub classes: BTreeMap<ClassName, FleetClass>,
    /// Policy.
    pub policy: PolicyResource,
    /// Ids of drained hosts and backend servers.
    pub drained: std::collections::BTreeSet<crate::ids::HostId>,
}

impl Default for PolicyResource {
    fn default() -> Self {
        Self {
            answer_retention: Duration::from_secs(120),
            key_retention: Duration::from_secs(600),
            retry_percent: 20,
            reclaimable_percent: 60,
        }
    }
}

impl ConfigState {
    /// Returns the team that a token belongs to.
    ///
    /// Every hash is compared, so that timing does not reveal a match.
    pub fn team_of_token(&self, token: &str) -> Option<&TeamResource> {
        let mut found = None;
        for team in self.teams.values() {
            for hash in &team.token_hashes {
                if hash.matches(token) {
                    found = Some(team);
                }
            }
        }
        found
    }
}
