//! Names and keys that several modules share.
//!
//! Names come from settings, configuration and the platform, so they are checked once, at the
//! border, and cheap to clone afterwards. Keys are small `Copy` handles into arenas.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that breaks the naming rule.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("name {found:?} must be 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_', '.', ':'")]
pub struct NameError {
    /// The rejected text, cut to the longest accepted length.
    pub found: String,
}

/// Result of checking a name.
pub type Result<T> = std::result::Result<T, NameError>;

fn check_name(raw: &str) -> Result<Arc<str>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.chars().all(allowed) {
        return Err(NameError { found: raw.chars().take(MAX_NAME_BYTES).collect() });
    }
    Ok(Arc::from(raw))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self> {
                check_name(raw).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self> {
                check_name(&raw).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Identity of one host, entry host or backend server host alike.
    HostId
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region.
    RegionName
}
name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a team.
    TeamName
}
name_type! {
    /// Name of a machine class of the cloud.
    ClassName
}
name_type! {
    /// Identity of one backend server: one replica of one service on one host.
    ServerId
}

slotmap::new_key_type! {
    /// Handle of a backend server in the arena of the module that tracks it.
    pub struct ServerKey;
}

/// Identity of one accepted request, unique over all entry hosts and restarts.
///
/// The first half names the accepting process (host and incarnation, hashed), the second counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    /// Hash of the accepting host's id and incarnation.
    pub origin: u64,
    /// Count of requests accepted by that process.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.origin, self.sequence)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for RequestId {
    type Error = NameError;

    fn try_from(raw: String) -> Result<Self> {
        Self::try_from(raw.as_str())
    }
}

impl TryFrom<&str> for RequestId {
    type Error = NameError;

    fn try_from(raw: &str) -> Result<Self> {
        let invalid = || NameError { found: raw.chars().take(MAX_NAME_BYTES).collect() };
        let (origin, sequence) = raw.split_once('-').ok_or_else(invalid)?;
        let origin = u64::from_str_radix(origin, 16).map_err(|_| invalid())?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| invalid())?;
        Ok(Self { origin, sequence })
    }
}

/// Number of one attempt at a request; the first attempt is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Returns the number of the attempt after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Counts the lives of one host id: larger is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Position of a record in a stream of the platform's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// Returns the offset right after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number that orders the holders of a duty; a checker refuses an order with a smaller number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);
