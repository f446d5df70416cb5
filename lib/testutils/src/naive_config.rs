//! A reference implementation of the configuration fold, which keeps every change and searches all
//! of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use pomelostack_lib::config_record::ChangeId;
use pomelostack_lib::config_record::ConfigChange;
use pomelostack_lib::config_record::ResourceBody;
use pomelostack_lib::config_record::ResourceOperation;
use pomelostack_lib::protos::admin::FleetClassSpec;
use pomelostack_lib::protos::admin::PolicySpec;
use pomelostack_lib::protos::admin::ServiceSpec;
use pomelostack_lib::protos::admin::TeamSpec;
use pomelostack_lib::resource::ConfigState;
use pomelostack_lib::resource::FleetClass;
use pomelostack_lib::resource::PolicyResource;
use pomelostack_lib::resource::ServiceResource;
use pomelostack_lib::resource::TeamResource;
use pomelostack_lib::resource_error::FieldPath;
use pomelostack_lib::resource_error::ResourceError;
use pomelostack_lib::resource_json::parse_json;
use pomelostack_lib::resource_key::ResourceKind;
use pomelostack_lib::result_code::ResultCode;

/// Kind and name of a resource; hosts have the kind "host".
pub type NaiveKey = (&'static str, String);

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NaiveOutcome {
    /// The change is in force.
    Accepted,
    /// The change conflicts; holds the revision then in force.
    Conflict(Option<u64>),
    /// The change breaks a validation rule.
    Rejected(ResultCode),
}

/// A processed change.
#[derive(Clone, Debug)]
pub struct NaiveChange {
    /// Offset.
    pub offset: u64,
    /// Identity.
    pub id: ChangeId,
    /// Outcome.
    pub outcome: NaiveOutcome,
    written_keys: Vec<NaiveKey>,
}

/// The configuration as resources by key, and every change since the last restore.
#[derive(Clone, Debug, Default)]
pub struct NaiveConfig {
    /// Resources as JSON; drained hosts have an empty text.
    pub resources: BTreeMap<NaiveKey, String>,
    /// Changes in offset order.
    pub changes: Vec<NaiveChange>,
    restored_at: Option<u64>,
}

impl NaiveConfig {
    /// Returns the offset of the last accepted change.
    pub fn revision(&self) -> Option<u64> {
        let accepted = |change: &&NaiveChange| change.outcome == NaiveOutcome::Accepted;
        self.changes.iter().rfind(accepted).map(|change| change.offset)
    }

    /// Returns the drained hosts in order of name.
    pub fn drained(&self) -> Vec<String> {
        self.names("host").collect()
    }

    /// Returns the whole document.
    pub fn document(&self) -> String {
        document_of(&self.resources)
    }

    fn names(&self, kind: &'static str) -> impl Iterator<Item = String> {
        let of_kind = move |(key, _): &(&NaiveKey, &String)| key.0 == kind;
        self.resources.iter().filter(of_kind).map(|(key, _)| key.1.clone())
    }

    /// Applies the change at the offset.
    pub fn apply(&mut self, offset: u64, change: &ConfigChange) {
        if self.changes.iter().any(|known| known.id == change.id) {
            return;
        }
        let outcome = self.decide(offset, change);
        let written_keys = match &outcome {
            Ok(written_keys) => written_keys.clone(),
            Err(_) => Vec::new(),
        };
        let outcome = outcome.map_or_else(|failure| failure, |_| NaiveOutcome::Accepted);
        self.changes.push(NaiveChange { offset, id: change.id, outcome, written_keys });
    }

    fn decide(
        &mut self,
        offset: u64,
        change: &ConfigChange,
    ) -> Result<Vec<NaiveKey>, NaiveOutcome> {
        let rejected = |error: ResourceError| NaiveOutcome::Rejected(error.code);
        if let [ResourceOperation::Restore(text)] = change.operations.as_slice() {
            let state = ConfigState::from_json(text).map_err(rejected)?;
            self.resources = resources_of(&state);
            self.changes.clear();
            self.restored_at = Some(offset);
            return Ok(Vec::new());
        }
        let base = change.base.map(|base| base.0);
        if base < self.restored_at || base > self.revision() || self.is_overwritten(base, change) {
            return Err(NaiveOutcome::Conflict(self.revision()));
        }
        let mut resources = self.resources.clone();
        let mut written_keys = Vec::new();
        for step in &change.operations {
            written_keys.extend(apply_step(&mut resources, step).map_err(rejected)?);
        }
        ConfigState::from_json(&document_of(&resources)).map_err(rejected)?;
        self.resources = resources;
        Ok(written_keys)
    }

    fn is_overwritten(&self, base: Option<u64>, change: &ConfigChange) -> bool {
        let later = self.changes.iter().filter(|known| Some(known.offset) > base);
        let written: BTreeSet<&NaiveKey> = later.flat_map(|known| &known.written_keys).collect();
        change.operations.iter().any(|step| match step {
            ResourceOperation::Create(body) | ResourceOperation::Change(body) => {
                key_of(body).is_some_and(|key| written.contains(&key))
            }
            ResourceOperation::Delete(key) => {
                let text = key.to_string();
                let kind = text.split(' ').next().unwrap_or_default();
                written.iter().any(|other| other.0 == kind && other.1 == key.name())
            }
            ResourceOperation::Drain(host) | ResourceOperation::Undrain(host) => {
                written.contains(&("host", host.to_string()))
            }
            ResourceOperation::PutWhole(_) | ResourceOperation::Restore(_) => {
                written.iter().any(|other| other.0 != "host")
            }
        })
    }
}

fn kind_name(kind: ResourceKind) -> &'static str {
    match kind {
        ResourceKind::Service => "service",
        ResourceKind::Team => "team",
        ResourceKind::Class => "class",
        ResourceKind::Policy => "policy",
    }
}

fn key_of(body: &ResourceBody) -> Option<NaiveKey> {
    let value: serde_json::Value = serde_json::from_str(&body.json).ok()?;
    let name = value.get("name").and_then(|name| name.as_str()).unwrap_or_default();
    (body.kind == ResourceKind::Policy || !name.is_empty())
        .then(|| (kind_name(body.kind), name.to_owned()))
}

/// Returns the JSON form of a resource with all defaults filled in and its fields in order.
fn canonical_json(body: &ResourceBody) -> Result<String, ResourceError> {
    let root = FieldPath::root();
    let value = match body.kind {
        ResourceKind::Service => {
            let service: ServiceResource =
                parse_json::<ServiceSpec>(&root, &body.json)?.try_into()?;
            serde_json::to_value(ServiceSpec::from(&service))
        }
        ResourceKind::Team => {
            let team: TeamResource = parse_json::<TeamSpec>(&root, &body.json)?.try_into()?;
            serde_json::to_value(TeamSpec::from(&team))
        }
        ResourceKind::Class => {
            let class: FleetClass = parse_json::<FleetClassSpec>(&root, &body.json)?.try_into()?;
            serde_json::to_value(FleetClassSpec::from(&class))
        }
        ResourceKind::Policy => {
            let policy: PolicyResource = parse_json::<PolicySpec>(&root, &body.json)?.try_into()?;
            serde_json::to_value(PolicySpec::from(&policy))
        }
    };
    Ok(value.expect("a spec has a JSON form").to_string())
}

fn apply_step(
    resources: &mut BTreeMap<NaiveKey, String>,
    step: &ResourceOperation,
) -> Result<Vec<NaiveKey>, ResourceError> {
    let reject = |code| Err(ResourceError::new(code, "", ""));
    match step {
        ResourceOperation::Create(body) | ResourceOperation::Change(body) => {
            let json = canonical_json(body)?;
            let key = key_of(body).expect("a checked body has a name");
            let exists = key.0 == "policy" || resources.contains_key(&key);
            match (matches!(step, ResourceOperation::Create(_)), exists) {
                (true, true) => return reject(ResultCode::ResourceExists),
                (false, false) => return reject(ResultCode::ResourceUnknown),
                _ => {}
            }
            resources.insert(key.clone(), json);
            Ok(vec![key])
        }
        ResourceOperation::Delete(key) => {
            let found = resources
                .keys()
                .find(|other| other.1 == key.name() && key.to_string().starts_with(other.0))
                .cloned();
            match found {
                Some(found) if found.0 != "policy" => {
                    resources.remove(&found);
                    Ok(vec![found])
                }
                Some(_) => reject(ResultCode::ConfigInvalid),
                None if key.to_string() == "policy" => reject(ResultCode::ConfigInvalid),
                None => reject(ResultCode::ResourceUnknown),
            }
        }
        ResourceOperation::Drain(host) => {
            let key = ("host", host.to_string());
            resources.insert(key.clone(), String::new());
            Ok(vec![key])
        }
        ResourceOperation::Undrain(host) => {
            let key = ("host", host.to_string());
            resources.remove(&key);
            Ok(vec![key])
        }
        ResourceOperation::PutWhole(text) | ResourceOperation::Restore(text) => {
            let after = resources_of(&ConfigState::from_json(text)?);
            let mut before = resources_of(&ConfigState::default());
            before.extend(resources.iter().map(|(key, json)| (key.clone(), json.clone())));
            before.retain(|key, _| key.0 != "host");
            let keys: BTreeSet<&NaiveKey> = before.keys().chain(after.keys()).collect();
            let differs = |key: &&&NaiveKey| before.get(**key) != after.get(**key);
            let written_keys = keys.iter().filter(differs).map(|key| (*key).clone()).collect();
            resources.retain(|key, _| key.0 == "host");
            resources.extend(after);
            Ok(written_keys)
        }
    }
}

/// Splits a state into resources.
fn resources_of(state: &ConfigState) -> BTreeMap<NaiveKey, String> {
    let value: serde_json::Value = serde_json::from_str(&state.to_json()).expect("valid JSON");
    let mut resources = BTreeMap::new();
    for (list, kind) in [("services", "service"), ("teams", "team"), ("classes", "class")] {
        for item in value[list].as_array().into_iter().flatten() {
            let name = item["name"].as_str().unwrap_or_default().to_owned();
            resources.insert((kind, name), item.to_string());
        }
    }
    resources.insert(("policy", String::new()), value["policy"].to_string());
    resources
}

/// Joins resources into a document.
fn document_of(resources: &BTreeMap<NaiveKey, String>) -> String {
    let list = |kind: &str| {
        let of_kind = |(key, _): &(&NaiveKey, &String)| key.0 == kind;
        let bodies: Vec<&str> =
            resources.iter().filter(of_kind).map(|(_, json)| json.as_str()).collect();
        bodies.join(",")
    };
    let policy = list("policy");
    let policy = if policy.is_empty() { "{}" } else { &policy };
    format!(
        r#"{{"services":[{}],"teams":[{}],"classes":[{}],"policy":{policy}}}"#,
        list("service"),
        list("team"),
        list("class"),
    )
}
