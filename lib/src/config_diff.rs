//! Differences between two configurations, by resource and field.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;

use crate::protos::admin::DiffKind;
use crate::protos::admin::FieldDiff;
use crate::protos::admin::FleetClassSpec;
use crate::protos::admin::Kind;
use crate::protos::admin::PolicySpec;
use crate::protos::admin::ResourceDiff;
use crate::protos::admin::ServiceSpec;
use crate::protos::admin::TeamSpec;
use crate::resource::ConfigState;
use crate::resource_error::FieldPath;
use crate::resource_key::ResourceKey;

/// Returns the differences, ordered by kind and name.
pub fn diff_states(before: &ConfigState, after: &ConfigState) -> Vec<ResourceDiff> {
    let keys: BTreeSet<ResourceKey> =
        ResourceKey::all_in(before).chain(ResourceKey::all_in(after)).collect();
    keys.iter()
        .filter(|key| !key.equal_in(before, after))
        .map(|key| diff_resource(key, before, after))
        .collect()
}

fn diff_resource(key: &ResourceKey, before: &ConfigState, after: &ConfigState) -> ResourceDiff {
    let diff = match (key.exists_in(before), key.exists_in(after)) {
        (false, _) => DiffKind::Created,
        (true, false) => DiffKind::Deleted,
        (true, true) => DiffKind::Changed,
    };
    ResourceDiff {
        diff: diff.into(),
        kind: api_kind(key).into(),
        name: key.name().to_owned(),
        fields: diff_fields(&list_fields(key, before), &list_fields(key, after)),
    }
}

fn api_kind(key: &ResourceKey) -> Kind {
    match key {
        ResourceKey::Service(_) => Kind::Service,
        ResourceKey::Team(_) => Kind::Team,
        ResourceKey::Class(_) => Kind::Class,
        ResourceKey::Policy => Kind::Policy,
        ResourceKey::Host(_) => Kind::Unspecified,
    }
}

/// Returns the values of a resource by field path.
fn list_fields(key: &ResourceKey, state: &ConfigState) -> BTreeMap<String, String> {
    match key {
        ResourceKey::Service(name) => list_values(state.services.get(name).map(ServiceSpec::from)),
        ResourceKey::Team(name) => list_values(state.teams.get(name).map(TeamSpec::from)),
        ResourceKey::Class(name) => list_values(state.classes.get(name).map(FleetClassSpec::from)),
        ResourceKey::Policy => list_values(Some(PolicySpec::from(&state.policy))),
        ResourceKey::Host(_) => BTreeMap::new(),
    }
}

fn list_values<T: Serialize>(spec: Option<T>) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    if let Some(value) = spec.and_then(|spec| serde_json::to_value(spec).ok()) {
        collect_values(&FieldPath::root(), &value, &mut values);
    }
    values
}

fn collect_values(path: &FieldPath, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_values(&path.field(name), field, values);
            }
        }
        Value::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                collect_values(&path.index(index), element, values);
            }
        }
        Value::Null => {}
        scalar => {
            values.insert(path.to_string(), scalar.to_string());
        }
    }
}

fn diff_fields(
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
) -> Vec<FieldDiff> {
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let value = |values: &BTreeMap<String, String>, path: &String| {
        values.get(path).cloned().unwrap_or_default()
    };
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| FieldDiff {
            path: path.clone(),
            before: value(before, path),
            after: value(after, path),
        })
        .collect()
}
