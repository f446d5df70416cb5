//! Validation of raw resources and their conversion to typed ones.
//!
//! Raw resources are the messages of `admin.proto`, which are also the JSON form. Every rule is
//! checked only here, so that the administration API and the replay of the log on every host agree.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::cloud::HostMarket;
use crate::ids::ClassName;
use crate::ids::NameError;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::ZoneName;
use crate::protos::admin::FleetClassSpec;
use crate::protos::admin::IdempotencySpec;
use crate::protos::admin::LatencyTargetSpec;
use crate::protos::admin::PolicySpec;
use crate::protos::admin::ServiceSpec;
use crate::protos::admin::StaticServerSpec;
use crate::protos::admin::TeamSpec;
use crate::resource::FencingCheck;
use crate::resource::FleetClass;
use crate::resource::IdempotencyRule;
use crate::resource::LatencyTarget;
use crate::resource::PolicyResource;
use crate::resource::ServiceKind;
use crate::resource::ServiceResource;
use crate::resource::StaticServer;
use crate::resource::TeamResource;
use crate::resource::TokenHash;
use crate::resource_error::FieldPath;
use crate::resource_error::ResourceError;
use crate::resource_error::Result;
use crate::resource_error::check_count;
use crate::resource_error::check_range;

/// Maximum length of a model name or path prefix, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Maximum number of replicas of a service, or of concurrent requests on one server.
pub const MAX_SERVER_COUNT: u32 = 10_000;

/// Maximum entries of a list of paths, servers or services.
pub const MAX_LIST_ENTRIES: usize = 256;

/// Maximum token hashes of one team.
pub const MAX_TOKENS: usize = 16;

const DEFAULT_DEADLINE_MS: u64 = 60_000;
const DEFAULT_CONCURRENCY: u32 = 32;
const DEFAULT_MIN_REPLICAS: u32 = 1;
const DEFAULT_MAX_REPLICAS: u32 = 100;
const DEFAULT_WEIGHT: u32 = 100;
const DEFAULT_MAX_IN_FLIGHT: u32 = 1_000;

macro_rules! try_from_spec {
    ($spec:ty, $checked:ty, $check:ident) => {
        impl TryFrom<$spec> for $checked {
            type Error = ResourceError;

            fn try_from(spec: $spec) -> Result<Self> {
                $check(&FieldPath::root(), spec)
            }
        }
    };
}

try_from_spec!(ServiceSpec, ServiceResource, check_service);
try_from_spec!(TeamSpec, TeamResource, check_team);
try_from_spec!(FleetClassSpec, FleetClass, check_class);
try_from_spec!(PolicySpec, PolicyResource, check_policy);

/// Parses a name.
pub fn check_name<N>(path: &FieldPath, raw: &str) -> Result<N>
where
    N: for<'a> TryFrom<&'a str, Error = NameError>,
{
    N::try_from(raw).map_err(|error| ResourceError::invalid(path, error.to_string()))
}

/// Validates the service at `path`.
pub fn check_service(path: &FieldPath, spec: ServiceSpec) -> Result<ServiceResource> {
    let kind = check_kind(&path.field("kind"), &spec.kind)?;
    let min_replicas = spec.min_replicas.unwrap_or(DEFAULT_MIN_REPLICAS);
    let max_replicas = spec.max_replicas.unwrap_or(DEFAULT_MAX_REPLICAS.max(min_replicas));
    let min_path = path.field("min_replicas");
    let concurrency = spec.server_concurrency.unwrap_or(DEFAULT_CONCURRENCY);
    let deadline_ms = spec.default_deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline_path = path.field("default_deadline_ms");
    Ok(ServiceResource {
        name: check_name(&path.field("name"), &spec.name)?,
        kind,
        model: check_model(&path.field("model"), kind, spec.model)?,
        latency_target: check_target(&path.field("latency_target"), kind, spec.latency_target)?,
        idempotency: check_idempotency(&path.field("idempotency"), spec.idempotency)?,
        fencing: check_fencing(&path.field("fencing"), spec.fencing.as_deref())?,
        static_servers: check_servers(&path.field("static_servers"), spec.static_servers)?,
        default_deadline: check_millis(&deadline_path, deadline_ms, 1, 3_600_000)?,
        server_concurrency: check_range(
            &path.field("server_concurrency"),
            concurrency,
            1..=MAX_SERVER_COUNT,
        )?,
        min_replicas: check_range(&min_path, min_replicas, 0..=MAX_SERVER_COUNT)?,
        max_replicas: check_range(
            &path.field("max_replicas"),
            max_replicas,
            min_replicas..=MAX_SERVER_COUNT,
        )?,
    })
}

fn check_kind(path: &FieldPath, raw: &str) -> Result<ServiceKind> {
    match raw {
        "model" => Ok(ServiceKind::Model),
        "app" => Ok(ServiceKind::App),
        _ => Err(ResourceError::invalid(path, "must be \"model\" or \"app\"")),
    }
}

fn check_model(path: &FieldPath, kind: ServiceKind, raw: Option<String>) -> Result<Option<String>> {
    match (kind, raw) {
        (ServiceKind::Model, Some(model)) => check_text(path, model).map(Some),
        (ServiceKind::Model, None) => {
            Err(ResourceError::invalid(path, "is required for a model service"))
        }
        (ServiceKind::App, Some(_)) => {
            Err(ResourceError::invalid(path, "is not allowed for an app service"))
        }
        (ServiceKind::App, None) => Ok(None),
    }
}

fn check_text(path: &FieldPath, raw: String) -> Result<String> {
    if raw.is_empty() || raw.len() > MAX_TEXT_BYTES || raw.chars().any(char::is_control) {
        let message = format!("must be 1 to {MAX_TEXT_BYTES} bytes without control characters");
        return Err(ResourceError::invalid(path, message));
    }
    Ok(raw)
}

fn check_target(
    path: &FieldPath,
    kind: ServiceKind,
    raw: Option<LatencyTargetSpec>,
) -> Result<LatencyTarget> {
    let Some(raw) = raw else { return Err(ResourceError::invalid(path, "is required")) };
    let gap_path = path.field("token_gap_ms");
    let token_gap = match (kind, raw.token_gap_ms) {
        (ServiceKind::Model, Some(millis)) => check_millis(&gap_path, millis, 1, 60_000)?,
        (ServiceKind::Model, None) => {
            return Err(ResourceError::invalid(&gap_path, "is required for a model service"));
        }
        (ServiceKind::App, Some(_)) => {
            return Err(ResourceError::invalid(&gap_path, "is not allowed for an app service"));
        }
        (ServiceKind::App, None) => Duration::ZERO,
    };
    let share = u16::try_from(raw.share_permille).unwrap_or(u16::MAX);
    Ok(LatencyTarget {
        first_token: check_millis(&path.field("first_token_ms"), raw.first_token_ms, 1, 600_000)?,
        token_gap,
        share_permille: check_range(&path.field("share_permille"), share, 1..=1_000)?,
    })
}

fn check_millis(path: &FieldPath, millis: u64, low: u64, high: u64) -> Result<Duration> {
    check_range(path, millis, low..=high).map(Duration::from_millis)
}

fn check_idempotency(path: &FieldPath, raw: Option<IdempotencySpec>) -> Result<IdempotencyRule> {
    let raw = raw.unwrap_or_default();
    Ok(IdempotencyRule {
        idempotent_paths: check_paths(&path.field("idempotent_paths"), raw.idempotent_paths)?,
        non_idempotent_paths: check_paths(
            &path.field("non_idempotent_paths"),
            raw.non_idempotent_paths,
        )?,
    })
}

fn check_paths(path: &FieldPath, raw: Vec<String>) -> Result<Vec<String>> {
    check_count(path, raw.len(), 0..=MAX_LIST_ENTRIES)?;
    raw.into_iter()
        .enumerate()
        .map(|(index, prefix)| {
            let path = path.index(index);
            if !prefix.starts_with('/') {
                return Err(ResourceError::invalid(&path, "must start with '/'"));
            }
            check_text(&path, prefix)
        })
        .collect()
}

fn check_fencing(path: &FieldPath, raw: Option<&str>) -> Result<FencingCheck> {
    match raw {
        Some("checked") => Ok(FencingCheck::Checked),
        Some("ignored") | None => Ok(FencingCheck::Ignored),
        Some(_) => Err(ResourceError::invalid(path, "must be \"checked\" or \"ignored\"")),
    }
}

fn check_servers(path: &FieldPath, raw: Vec<StaticServerSpec>) -> Result<Vec<StaticServer>> {
    check_count(path, raw.len(), 0..=MAX_LIST_ENTRIES)?;
    let mut servers: Vec<StaticServer> = Vec::with_capacity(raw.len());
    for (index, spec) in raw.into_iter().enumerate() {
        let server = check_server(&path.index(index), &spec)?;
        if servers.iter().any(|other| other.address == server.address) {
            let path = path.index(index).field("address");
            return Err(ResourceError::invalid(&path, "stands twice in the list"));
        }
        servers.push(server);
    }
    Ok(servers)
}

fn check_server(path: &FieldPath, raw: &StaticServerSpec) -> Result<StaticServer> {
    let address_path = path.field("address");
    let address: SocketAddr = raw
        .address
        .parse()
        .map_err(|_| ResourceError::invalid(&address_path, "must be \"ip:port\""))?;
    check_range(&address_path.field("port"), address.port(), 1..=u16::MAX)?;
    let zone: ZoneName = check_name(&path.field("zone"), &raw.zone)?;
    Ok(StaticServer { address, zone })
}

/// Validates the team at `path`.
pub fn check_team(path: &FieldPath, spec: TeamSpec) -> Result<TeamResource> {
    let name: TeamName = check_name(&path.field("name"), &spec.name)?;
    let weight = spec.weight.unwrap_or(DEFAULT_WEIGHT);
    let max_in_flight = spec.max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT);
    Ok(TeamResource {
        name,
        token_hashes: check_hashes(&path.field("token_hashes"), &spec.token_hashes)?,
        weight: check_range(&path.field("weight"), weight, 1..=1_000_000)?,
        max_in_flight: check_range(&path.field("max_in_flight"), max_in_flight, 1..=100_000)?,
        services: check_service_names(&path.field("services"), &spec.services)?,
    })
}

fn check_hashes(path: &FieldPath, raw: &[String]) -> Result<Vec<TokenHash>> {
    check_count(path, raw.len(), 1..=MAX_TOKENS)?;
    let parse = |(index, text): (usize, &String)| {
        TokenHash::from_hex(text).ok_or_else(|| {
            ResourceError::invalid(&path.index(index), "must be 64 hexadecimal digits")
        })
    };
    raw.iter().enumerate().map(parse).collect()
}

fn check_service_names(path: &FieldPath, raw: &[String]) -> Result<Vec<ServiceName>> {
    check_count(path, raw.len(), 0..=MAX_LIST_ENTRIES)?;
    raw.iter().enumerate().map(|(index, name)| check_name(&path.index(index), name)).collect()
}

/// Validates the fleet class at `path`.
pub fn check_class(path: &FieldPath, spec: FleetClassSpec) -> Result<FleetClass> {
    let name: ClassName = check_name(&path.field("name"), &spec.name)?;
    let price_path = path.field("max_micros_per_hour");
    Ok(FleetClass {
        name,
        capacity_permille: check_capacity(
            &path.field("capacity_permille"),
            spec.capacity_permille,
        )?,
        markets: check_markets(&path.field("markets"), &spec.markets)?,
        max_micros_per_hour: check_range(
            &price_path,
            spec.max_micros_per_hour,
            1..=1_000_000_000_000,
        )?,
    })
}

fn check_capacity(
    path: &FieldPath,
    raw: BTreeMap<String, u32>,
) -> Result<BTreeMap<ServiceName, u32>> {
    check_count(path, raw.len(), 0..=MAX_LIST_ENTRIES)?;
    raw.into_iter()
        .map(|(name, capacity)| {
            let entry_path = path.field(&name);
            let service = check_name(&entry_path, &name)?;
            Ok((service, check_range(&entry_path, capacity, 1..=1_000_000_000)?))
        })
        .collect()
}

fn check_markets(path: &FieldPath, raw: &[String]) -> Result<Vec<HostMarket>> {
    check_count(path, raw.len(), 1..=2)?;
    let mut markets = Vec::with_capacity(raw.len());
    for (index, text) in raw.iter().enumerate() {
        let path = path.index(index);
        let market = match text.as_str() {
            "reclaimable" => HostMarket::Reclaimable,
            "on_demand" => HostMarket::OnDemand,
            _ => {
                let message = "must be \"reclaimable\" or \"on_demand\"";
                return Err(ResourceError::invalid(&path, message));
            }
        };
        if markets.contains(&market) {
            return Err(ResourceError::invalid(&path, "stands twice in the list"));
        }
        markets.push(market);
    }
    Ok(markets)
}

/// Validates the policy at `path`.
pub fn check_policy(path: &FieldPath, spec: PolicySpec) -> Result<PolicyResource> {
    let default = PolicyResource::default();
    let millis = |name: &str, raw: Option<u64>, default: Duration, high: u64| match raw {
        Some(raw) => check_millis(&path.field(name), raw, 1_000, high),
        None => Ok(default),
    };
    let percent = |name: &str, raw: Option<u32>, default: u32| {
        check_range(&path.field(name), raw.unwrap_or(default), 0..=100)
    };
    Ok(PolicyResource {
        answer_retention: millis(
            "answer_retention_ms",
            spec.answer_retention_ms,
            default.answer_retention,
            86_400_000,
        )?,
        key_retention: millis(
            "key_retention_ms",
            spec.key_retention_ms,
            default.key_retention,
            604_800_000,
        )?,
        retry_percent: percent("retry_percent", spec.retry_percent, default.retry_percent)?,
        reclaimable_percent: percent(
            "reclaimable_percent",
            spec.reclaimable_percent,
            default.reclaimable_percent,
        )?,
    })
}
