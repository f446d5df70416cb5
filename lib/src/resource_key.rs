//! Kinds and keys of the resources that a configuration change can affect.

use std::fmt;

use crate::ids;
use crate::ids::ClassName;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::protos::config::ResourceKind as ProtoKind;
use crate::resource::ConfigState;

/// Resource kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A service.
    Service,
    /// A team.
    Team,
    /// A fleet class.
    Class,
    /// The policy; there is exactly one.
    Policy,
}

impl ResourceKind {
    /// Converts the kind in a record; `None` if it is unspecified.
    pub fn from_proto(raw: ProtoKind) -> Option<Self> {
        match raw {
            ProtoKind::Unspecified => None,
            ProtoKind::Service => Some(Self::Service),
            ProtoKind::Team => Some(Self::Team),
            ProtoKind::Class => Some(Self::Class),
            ProtoKind::Policy => Some(Self::Policy),
        }
    }

    /// Converts the kind for a record.
    pub fn to_proto(self) -> ProtoKind {
        match self {
            Self::Service => ProtoKind::Service,
            Self::Team => ProtoKind::Team,
            Self::Class => ProtoKind::Class,
            Self::Policy => ProtoKind::Policy,
        }
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Team => "team",
            Self::Class => "class",
            Self::Policy => "policy",
        })
    }
}

/// What a change affects. Changes with different keys do not conflict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKey {
    /// A service.
    Service(ServiceName),
    /// A team.
    Team(TeamName),
    /// A fleet class.
    Class(ClassName),
    /// The policy.
    Policy,
    /// The drained state of a host.
    Host(HostId),
}

impl ResourceKey {
    /// Builds the key of a resource.
    pub fn parse(kind: ResourceKind, name: &str) -> ids::Result<Self> {
        Ok(match kind {
            ResourceKind::Service => Self::Service(name.try_into()?),
            ResourceKind::Team => Self::Team(name.try_into()?),
            ResourceKind::Class => Self::Class(name.try_into()?),
            ResourceKind::Policy => Self::Policy,
        })
    }

    /// Returns the name within the kind; empty for the policy.
    pub fn name(&self) -> &str {
        match self {
            Self::Service(name) => name.as_str(),
            Self::Team(name) => name.as_str(),
            Self::Class(name) => name.as_str(),
            Self::Policy => "",
            Self::Host(id) => id.as_str(),
        }
    }

    /// Returns the kind for a record; unspecified for the drained state of a host.
    pub fn proto_kind(&self) -> ProtoKind {
        match self {
            Self::Service(_) => ProtoKind::Service,
            Self::Team(_) => ProtoKind::Team,
            Self::Class(_) => ProtoKind::Class,
            Self::Policy => ProtoKind::Policy,
            Self::Host(_) => ProtoKind::Unspecified,
        }
    }

    /// Returns whether the resource exists.
    pub fn exists_in(&self, state: &ConfigState) -> bool {
        match self {
            Self::Service(name) => state.services.contains_key(name),
            Self::Team(name) => state.teams.contains_key(name),
            Self::Class(name) => state.classes.contains_key(name),
            Self::Policy => true,
            Self::Host(id) => state.drained.contains(id),
        }
    }

    /// Returns whether the resource is the same in both states.
    pub fn equal_in(&self, left: &ConfigState, right: &ConfigState) -> bool {
        match self {
            Self::Service(name) => left.services.get(name) == right.services.get(name),
            Self::Team(name) => left.teams.get(name) == right.teams.get(name),
            Self::Class(name) => left.classes.get(name) == right.classes.get(name),
            Self::Policy => left.policy == right.policy,
            Self::Host(id) => left.drained.contains(id) == right.drained.contains(id),
        }
    }

    /// Returns the keys of all services, teams and classes of a state, and of the policy.
    pub fn all_in(state: &ConfigState) -> impl Iterator<Item = Self> {
        let services = state.services.keys().cloned().map(Self::Service);
        let teams = state.teams.keys().cloned().map(Self::Team);
        let classes = state.classes.keys().cloned().map(Self::Class);
        services.chain(teams).chain(classes).chain([Self::Policy])
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service {name}"),
            Self::Team(name) => write!(f, "team {name}"),
            Self::Class(name) => write!(f, "class {name}"),
            Self::Policy => f.write_str("policy"),
            Self::Host(id) => write!(f, "host {id}"),
        }
    }
}
