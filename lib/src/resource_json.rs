//! JSON form of resources and of whole configuration documents.
//!
//! Field names contain the unit (`first_token_ms`). An unknown field, a missing field and a wrong
//! type are errors that give the path.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cloud::HostMarket;
use crate::protos::admin::ConfigurationSpec;
use crate::protos::admin::FleetClassSpec;
use crate::protos::admin::IdempotencySpec;
use crate::protos::admin::LatencyTargetSpec;
use crate::protos::admin::PolicySpec;
use crate::protos::admin::ServiceSpec;
use crate::protos::admin::StaticServerSpec;
use crate::protos::admin::TeamSpec;
use crate::resource::ConfigState;
use crate::resource::FencingCheck;
use crate::resource::FleetClass;
use crate::resource::PolicyResource;
use crate::resource::ServiceKind;
use crate::resource::ServiceResource;
use crate::resource::TeamResource;
use crate::resource_check::check_class;
use crate::resource_check::check_policy;
use crate::resource_check::check_service;
use crate::resource_check::check_team;
use crate::resource_error::FieldPath;
use crate::resource_error::ResourceError;
use crate::resource_error::Result;
use crate::result_code::ResultCode;

/// Parses the JSON form of a raw resource at `path` of a larger input.
pub fn parse_json<T: DeserializeOwned>(path: &FieldPath, text: &str) -> Result<T> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let value_path = path.join(&error.path().to_string());
        json_error(&value_path, error.inner())
    })?;
    reader.end().map_err(|error| json_error(path, &error))?;
    Ok(value)
}

fn json_error(path: &FieldPath, error: &serde_json::Error) -> ResourceError {
    let code = match error.classify() {
        serde_json::error::Category::Data => ResultCode::ConfigInvalid,
        _ => ResultCode::BadJson,
    };
    ResourceError::new(code, path.to_string(), error.to_string())
}

/// Returns the JSON form of a raw resource.
pub fn write_json<T: Serialize>(spec: &T) -> String {
    // Serialization cannot fail: the specs contain only strings, numbers, lists and maps with
    // string keys. If it did, every reader would reject the empty text.
    serde_json::to_string(spec).unwrap_or_default()
}

impl ConfigState {
    /// Parses and validates a whole configuration document.
    ///
    /// Drained hosts are not part of a document.
    pub fn from_json(text: &str) -> Result<Self> {
        parse_json::<ConfigurationSpec>(&FieldPath::root(), text)?.try_into()
    }

    /// Returns the whole configuration document, with all defaults filled in, ordered by name.
    pub fn to_json(&self) -> String {
        write_json(&ConfigurationSpec::from(self))
    }

    /// Checks that the target of every reference exists and that no token occurs twice.
    pub fn check_references(&self) -> Result<()> {
        let root = FieldPath::root();
        for team in self.teams.values() {
            self.check_team_services(&root.field("teams").field(team.name.as_str()), team)?;
        }
        for class in self.classes.values() {
            self.check_class_services(&root.field("classes").field(class.name.as_str()), class)?;
        }
        let paths: Vec<_> = self
            .teams
            .values()
            .map(|team| (root.field("teams").field(team.name.as_str()), team))
            .collect();
        check_unique_tokens(&paths)
    }

    fn check_team_services(&self, path: &FieldPath, team: &TeamResource) -> Result<()> {
        for (index, service) in team.services.iter().enumerate() {
            if !self.services.contains_key(service) {
                let path = path.field("services").index(index);
                return Err(ResourceError::invalid(&path, format!("no service {service}")));
            }
        }
        Ok(())
    }

    fn check_class_services(&self, path: &FieldPath, class: &FleetClass) -> Result<()> {
        for service in class.capacity_permille.keys() {
            if !self.services.contains_key(service) {
                let path = path.field("capacity_permille").field(service.as_str());
                return Err(ResourceError::invalid(&path, format!("no service {service}")));
            }
        }
        Ok(())
    }
}

/// Checks that no token hash occurs twice, in one team or in two.
fn check_unique_tokens(teams: &[(FieldPath, &TeamResource)]) -> Result<()> {
    let mut seen = BTreeMap::new();
    for (path, team) in teams {
        for (index, hash) in team.token_hashes.iter().enumerate() {
            if let Some(other) = seen.insert(*hash, &team.name) {
                let path = path.field("token_hashes").index(index);
                return Err(ResourceError::invalid(&path, format!("is a token of team {other}")));
            }
        }
    }
    Ok(())
}

impl TryFrom<ConfigurationSpec> for ConfigState {
    type Error = ResourceError;

    fn try_from(spec: ConfigurationSpec) -> Result<Self> {
        let root = FieldPath::root();
        let mut state = Self::default();
        for (index, raw) in spec.services.into_iter().enumerate() {
            let path = root.field("services").index(index);
            let service = check_service(&path, raw)?;
            if let Some(other) = state.services.insert(service.name.clone(), service) {
                return Err(duplicate_name(&path, other.name.as_str()));
            }
        }
        let mut team_paths = Vec::new();
        for (index, raw) in spec.teams.into_iter().enumerate() {
            let path = root.field("teams").index(index);
            let team = check_team(&path, raw)?;
            state.check_team_services(&path, &team)?;
            team_paths.push((path.clone(), team.name.clone()));
            if let Some(other) = state.teams.insert(team.name.clone(), team) {
                return Err(duplicate_name(&path, other.name.as_str()));
            }
        }
        let listed = |(path, name)| state.teams.get(&name).map(|team| (path, team));
        check_unique_tokens(&team_paths.into_iter().filter_map(listed).collect::<Vec<_>>())?;
        for (index, raw) in spec.classes.into_iter().enumerate() {
            let path = root.field("classes").index(index);
            let class = check_class(&path, raw)?;
            state.check_class_services(&path, &class)?;
            if let Some(other) = state.classes.insert(class.name.clone(), class) {
                return Err(duplicate_name(&path, other.name.as_str()));
            }
        }
        state.policy = check_policy(&root.field("policy"), spec.policy.unwrap_or_default())?;
        Ok(state)
    }
}

fn duplicate_name(path: &FieldPath, name: &str) -> ResourceError {
    ResourceError::invalid(&path.field("name"), format!("{name} stands twice in the list"))
}

impl From<&ConfigState> for ConfigurationSpec {
    fn from(state: &ConfigState) -> Self {
        Self {
            services: state.services.values().map(ServiceSpec::from).collect(),
            teams: state.teams.values().map(TeamSpec::from).collect(),
            classes: state.classes.values().map(FleetClassSpec::from).collect(),
            policy: Some(PolicySpec::from(&state.policy)),
        }
    }
}

impl From<&ServiceResource> for ServiceSpec {
    fn from(service: &ServiceResource) -> Self {
        let (kind, has_gap) = match service.kind {
            ServiceKind::Model => ("model", true),
            ServiceKind::App => ("app", false),
        };
        let fencing = match service.fencing {
            FencingCheck::Checked => "checked",
            FencingCheck::Ignored => "ignored",
        };
        let target = &service.latency_target;
        Self {
            name: service.name.to_string(),
            kind: kind.to_owned(),
            model: service.model.clone(),
            latency_target: Some(LatencyTargetSpec {
                first_token_ms: to_millis(target.first_token),
                token_gap_ms: has_gap.then(|| to_millis(target.token_gap)),
                share_permille: u32::from(target.share_permille),
            }),
            idempotency: Some(IdempotencySpec {
                idempotent_paths: service.idempotency.idempotent_paths.clone(),
                non_idempotent_paths: service.idempotency.non_idempotent_paths.clone(),
            }),
            fencing: Some(fencing.to_owned()),
            static_servers: service
                .static_servers
                .iter()
                .map(|server| StaticServerSpec {
                    address: server.address.to_string(),
                    zone: server.zone.to_string(),
                })
                .collect(),
            default_deadline_ms: Some(to_millis(service.default_deadline)),
            server_concurrency: Some(service.server_concurrency),
            min_replicas: Some(service.min_replicas),
            max_replicas: Some(service.max_replicas),
        }
    }
}

impl From<&TeamResource> for TeamSpec {
    fn from(team: &TeamResource) -> Self {
        Self {
            name: team.name.to_string(),
            token_hashes: team.token_hashes.iter().map(|hash| hash.to_hex()).collect(),
            weight: Some(team.weight),
            max_in_flight: Some(team.max_in_flight),
            services: team.services.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<&FleetClass> for FleetClassSpec {
    fn from(class: &FleetClass) -> Self {
        let market = |market: &HostMarket| match market {
            HostMarket::Reclaimable => "reclaimable".to_owned(),
            HostMarket::OnDemand => "on_demand".to_owned(),
        };
        Self {
            name: class.name.to_string(),
            capacity_permille: class
                .capacity_permille
                .iter()
                .map(|(service, capacity)| (service.to_string(), *capacity))
                .collect(),
            markets: class.markets.iter().map(market).collect(),
            max_micros_per_hour: class.max_micros_per_hour,
        }
    }
}

impl From<&PolicyResource> for PolicySpec {
    fn from(policy: &PolicyResource) -> Self {
        Self {
            answer_retention_ms: Some(to_millis(policy.answer_retention)),
            key_retention_ms: Some(to_millis(policy.key_retention)),
            retry_percent: Some(policy.retry_percent),
            reclaimable_percent: Some(policy.reclaimable_percent),
        }
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
