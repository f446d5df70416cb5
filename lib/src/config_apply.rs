//! Applies the operations of one change to a configuration atomically.

use std::collections::BTreeSet;

use crate::config_record::ResourceBody;
use crate::config_record::ResourceOperation;
use crate::resource::ConfigState;
use crate::resource_check::check_class;
use crate::resource_check::check_policy;
use crate::resource_check::check_service;
use crate::resource_check::check_team;
use crate::resource_error::FieldPath;
use crate::resource_error::ResourceError;
use crate::resource_error::Result;
use crate::resource_error::check_count;
use crate::resource_json::parse_json;
use crate::resource_key::ResourceKey;
use crate::resource_key::ResourceKind;
use crate::result_code::ResultCode;

/// Maximum number of services.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of teams.
pub const MAX_TEAMS: usize = 1_000;
/// Maximum number of fleet classes.
pub const MAX_CLASSES: usize = 200;
/// Maximum number of drained hosts.
pub const MAX_DRAINED_HOSTS: usize = 2_000;
/// Maximum size of the whole configuration as JSON, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 2 * 1024 * 1024;

/// The configuration after a change, and what the change wrote.
pub struct AppliedState {
    /// Configuration after the change.
    pub state: ConfigState,
    /// Resources that the change wrote or deleted.
    pub written: BTreeSet<ResourceKey>,
}

/// Whether a resource must exist before an operation.
#[derive(Clone, Copy)]
enum Presence {
    Absent,
    Present,
}

/// Applies operations in order to a copy of the configuration; on an error, none takes effect.
pub fn apply_operations(
    before: &ConfigState,
    operations: &[ResourceOperation],
) -> Result<AppliedState> {
    let mut applied = AppliedState { state: before.clone(), written: BTreeSet::new() };
    for (index, operation) in operations.iter().enumerate() {
        let path = FieldPath::root().field("operations").index(index);
        applied.apply(&path, operation)?;
    }
    applied.state.check_references()?;
    check_sizes(&applied.state)?;
    Ok(applied)
}

impl AppliedState {
    fn apply(&mut self, path: &FieldPath, operation: &ResourceOperation) -> Result<()> {
        match operation {
            ResourceOperation::Create(body) => self.put(path, body, Presence::Absent),
            ResourceOperation::Change(body) => self.put(path, body, Presence::Present),
            ResourceOperation::Delete(key) => self.delete(path, key),
            ResourceOperation::PutWhole(text) => self.put_whole(path, text),
            ResourceOperation::Restore(text) => {
                self.state.drained.clear();
                self.put_whole(path, text)
            }
            ResourceOperation::Drain(host) => {
                self.state.drained.insert(host.clone());
                self.written.insert(ResourceKey::Host(host.clone()));
                Ok(())
            }
            ResourceOperation::Undrain(host) => {
                self.state.drained.remove(host);
                self.written.insert(ResourceKey::Host(host.clone()));
                Ok(())
            }
        }
    }

    fn put(&mut self, path: &FieldPath, body: &ResourceBody, presence: Presence) -> Result<()> {
        let text = &body.json;
        let path = path.field("body");
        match body.kind {
            ResourceKind::Service => {
                let service = check_service(&path, parse_json(&path, text)?)?;
                self.mark_written(&path, ResourceKey::Service(service.name.clone()), presence)?;
                self.state.services.insert(service.name.clone(), service);
            }
            ResourceKind::Team => {
                let team = check_team(&path, parse_json(&path, text)?)?;
                self.mark_written(&path, ResourceKey::Team(team.name.clone()), presence)?;
                self.state.teams.insert(team.name.clone(), team);
            }
            ResourceKind::Class => {
                let class = check_class(&path, parse_json(&path, text)?)?;
                self.mark_written(&path, ResourceKey::Class(class.name.clone()), presence)?;
                self.state.classes.insert(class.name.clone(), class);
            }
            ResourceKind::Policy => {
                let policy = check_policy(&path, parse_json(&path, text)?)?;
                self.mark_written(&path, ResourceKey::Policy, presence)?;
                self.state.policy = policy;
            }
        }
        Ok(())
    }

    /// Checks that the resource exists or is absent as required, and records it as written.
    fn mark_written(
        &mut self,
        path: &FieldPath,
        key: ResourceKey,
        presence: Presence,
    ) -> Result<()> {
        let path = path.field("name").to_string();
        match (presence, key.exists_in(&self.state)) {
            (Presence::Absent, true) => {
                let message = format!("{key} exists already");
                return Err(ResourceError::new(ResultCode::ResourceExists, path, message));
            }
            (Presence::Present, false) => {
                let message = format!("no {key}");
                return Err(ResourceError::new(ResultCode::ResourceUnknown, path, message));
            }
            _ => {}
        }
        self.written.insert(key);
        Ok(())
    }

    fn delete(&mut self, path: &FieldPath, key: &ResourceKey) -> Result<()> {
        if matches!(key, ResourceKey::Policy | ResourceKey::Host(_)) {
            return Err(ResourceError::invalid(path, format!("{key} cannot be deleted")));
        }
        self.mark_written(path, key.clone(), Presence::Present)?;
        match key {
            ResourceKey::Service(name) => drop(self.state.services.remove(name)),
            ResourceKey::Team(name) => drop(self.state.teams.remove(name)),
            ResourceKey::Class(name) => drop(self.state.classes.remove(name)),
            ResourceKey::Policy | ResourceKey::Host(_) => {}
        }
        Ok(())
    }

    /// Replaces everything but the drained hosts; only resources that differ count as written.
    fn put_whole(&mut self, path: &FieldPath, text: &str) -> Result<()> {
        let mut state = ConfigState::from_json(text).map_err(|error| {
            let field_path = path.field("body").join(&error.path);
            ResourceError::new(error.code, field_path.to_string(), error.message)
        })?;
        state.drained = std::mem::take(&mut self.state.drained);
        let before = std::mem::replace(&mut self.state, state);
        let keys = ResourceKey::all_in(&before).chain(ResourceKey::all_in(&self.state));
        self.written.extend(keys.filter(|key| !key.equal_in(&before, &self.state)));
        Ok(())
    }
}

fn check_sizes(state: &ConfigState) -> Result<()> {
    let root = FieldPath::root();
    check_count(&root.field("services"), state.services.len(), 0..=MAX_SERVICES)?;
    check_count(&root.field("teams"), state.teams.len(), 0..=MAX_TEAMS)?;
    check_count(&root.field("classes"), state.classes.len(), 0..=MAX_CLASSES)?;
    check_count(&root.field("drained"), state.drained.len(), 0..=MAX_DRAINED_HOSTS)?;
    let bytes = state.to_json().len();
    if bytes > MAX_DOCUMENT_BYTES {
        let message = format!("the document has {bytes} bytes, allowed are {MAX_DOCUMENT_BYTES}");
        return Err(ResourceError::invalid(&root, message));
    }
    Ok(())
}
