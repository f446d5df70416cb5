//! Conversion between messages of the administration API and configuration changes.

use crate::admin_status::Result;
use crate::admin_status::error_status;
use crate::admin_status::input_error_status;
use crate::config_record::ChangeAuthor;
use crate::config_record::ChangeId;
use crate::config_record::ConfigChange;
use crate::config_record::ResourceBody;
use crate::config_record::ResourceOperation;
use crate::ids::HostId;
use crate::ids::LogOffset;
use crate::protos::admin::ChangeHeader;
use crate::protos::admin::ConfigurationSpec;
use crate::protos::admin::FleetClassSpec;
use crate::protos::admin::Kind;
use crate::protos::admin::PolicySpec;
use crate::protos::admin::Resource;
use crate::protos::admin::ServiceSpec;
use crate::protos::admin::TeamSpec;
use crate::protos::admin::resource::Spec;
use crate::resource::ConfigState;
use crate::resource::FleetClass;
use crate::resource::PolicyResource;
use crate::resource::ServiceResource;
use crate::resource::TeamResource;
use crate::resource_error;
use crate::resource_error::FieldPath;
use crate::resource_error::ResourceError;
use crate::resource_json::write_json;
use crate::resource_key::ResourceKey;
use crate::resource_key::ResourceKind;
use crate::result_code::ResultCode;
use crate::timestamp::wall_clock_ms;

/// Builds a change with one operation; generates a change id if the header has none.
pub fn build_change(
    author: ChangeAuthor,
    header: &ChangeHeader,
    operation: ResourceOperation,
) -> Result<ConfigChange> {
    Ok(ConfigChange {
        id: change_id_or_random(header)?,
        base: header.base_revision.map(LogOffset),
        author,
        wall_ms: wall_clock_ms(),
        operations: vec![operation],
    })
}

/// Returns a new random change id.
pub fn random_change_id() -> ChangeId {
    ChangeId::random(&mut rand::rng())
}

/// Returns the change id of a header, or a new one if it has none.
pub fn change_id_or_random(header: &ChangeHeader) -> Result<ChangeId> {
    if header.change_id.is_empty() {
        return Ok(random_change_id());
    }
    parse_change_id("header.change_id", &header.change_id)
}

/// Parses the change id in the field at `path`.
pub fn parse_change_id(path: &str, text: &str) -> Result<ChangeId> {
    ChangeId::from_hex(text).ok_or_else(|| {
        error_status(ResultCode::BadValue, path, format!("{path} must be 32 hexadecimal digits"))
    })
}

/// Validates a resource and returns its JSON form, with all defaults filled in.
pub fn parse_resource(raw: Option<Resource>) -> Result<ResourceBody> {
    let Some(spec) = raw.and_then(|resource| resource.spec) else {
        return Err(error_status(ResultCode::MissingField, "resource", "resource is required"));
    };
    canonical_body(spec).map_err(|error| input_error_status(&error))
}

fn canonical_body(spec: Spec) -> resource_error::Result<ResourceBody> {
    let (kind, json) = match spec {
        Spec::Service(raw) => {
            let service = ServiceResource::try_from(raw)?;
            (ResourceKind::Service, write_json(&ServiceSpec::from(&service)))
        }
        Spec::Team(raw) => {
            let team = TeamResource::try_from(raw)?;
            (ResourceKind::Team, write_json(&TeamSpec::from(&team)))
        }
        Spec::Class(raw) => {
            let class = FleetClass::try_from(raw)?;
            (ResourceKind::Class, write_json(&FleetClassSpec::from(&class)))
        }
        Spec::Policy(raw) => {
            let policy = PolicyResource::try_from(raw)?;
            (ResourceKind::Policy, write_json(&PolicySpec::from(&policy)))
        }
    };
    Ok(ResourceBody { kind, json })
}

/// Validates a whole configuration.
pub fn parse_configuration(raw: Option<ConfigurationSpec>) -> Result<ConfigState> {
    let Some(spec) = raw else {
        return Err(error_status(
            ResultCode::MissingField,
            "configuration",
            "configuration is required",
        ));
    };
    ConfigState::try_from(spec).map_err(|error| input_error_status(&error))
}

/// Parses the key of a resource.
pub fn parse_key(kind: Kind, name: &str) -> Result<ResourceKey> {
    let Some(kind) = resource_kind(kind) else {
        return Err(error_status(ResultCode::MissingField, "kind", "kind is required"));
    };
    ResourceKey::parse(kind, name).map_err(|error| {
        let path = FieldPath::root().field("name");
        input_error_status(&ResourceError::invalid(&path, error.to_string()))
    })
}

/// Converts a resource kind; `None` if it is unspecified.
pub fn resource_kind(kind: Kind) -> Option<ResourceKind> {
    match kind {
        Kind::Unspecified => None,
        Kind::Service => Some(ResourceKind::Service),
        Kind::Team => Some(ResourceKind::Team),
        Kind::Class => Some(ResourceKind::Class),
        Kind::Policy => Some(ResourceKind::Policy),
    }
}

/// Parses a host id.
pub fn parse_host(raw: &str) -> Result<HostId> {
    HostId::try_from(raw).map_err(|error| {
        let path = FieldPath::root().field("host");
        input_error_status(&ResourceError::invalid(&path, error.to_string()))
    })
}

/// Returns a resource as an API message; `None` if it does not exist or is a host.
pub fn resource_message(state: &ConfigState, key: &ResourceKey) -> Option<Resource> {
    let spec = match key {
        ResourceKey::Service(name) => Spec::Service(state.services.get(name)?.into()),
        ResourceKey::Team(name) => Spec::Team(state.teams.get(name)?.into()),
        ResourceKey::Class(name) => Spec::Class(state.classes.get(name)?.into()),
        ResourceKey::Policy => Spec::Policy((&state.policy).into()),
        ResourceKey::Host(_) => return None,
    };
    Some(Resource { spec: Some(spec) })
}
