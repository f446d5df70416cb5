//! Identifiers that several modules share.
//!
//! Names come from settings, configuration and the platform. They are validated once, when they
//! enter the process, and are cheap to clone afterwards. Keys are small `Copy` handles into arenas.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that is empty, too long, or contains a character that is not allowed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("name {found:?} must be 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_', '.', ':'")]
pub struct NameError {
    /// The rejected text, truncated to the maximum length.
    pub found: String,
}

/// Result of validating a name.
pub type Result<T> = std::result::Result<T, NameError>;

fn check_name(raw: &str) -> Result<Arc<str>> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.bytes().all(allowed) {
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

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

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
    /// Identifier of a host, whether an entry host or a host of a backend server.
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
    /// Name of one of the cloud's machine classes.
    ClassName
}
name_type! {
    /// Identifier of a backend server: the replica of one service on one host.
    ServerId
}

slotmap::new_key_type! {
    /// Key of a backend server in the arena of the module that tracks it.
    pub struct ServerKey;
}

/// Identifier of an accepted request, unique across all entry hosts and restarts.
///
/// The first half identifies the accepting process by a hash of its host id and incarnation. The
/// second half is a sequence number within that process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    /// Hash of the accepting host's id and incarnation.
    pub origin: u64,
    /// Sequence number of the request within that process.
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

/// Generation of the process that runs under a host id. A larger number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Offset of a record in a stream of the platform's log.
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

/// Number of times that the platform's store came back from an older copy of itself. An offset means
/// something only within its era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// Position in a partition of the platform's store. Those of a later era follow all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset.
    pub offset: LogOffset,
}

/// Generation of a group of the platform's store. Those of a later era follow all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupGeneration {
    /// Era of the store.
    pub era: StoreEra,
    /// Number within the era; increases with each change of the membership.
    pub number: u64,
}

/// Orders successive holders of a lease or claim. A receiver that checks it rejects any call with
/// a smaller token than the largest it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// Bits of a fencing token for the number of a group's generation; the era stands above them.
const GENERATION_BITS: u32 = 32;

impl From<GroupGeneration> for FencingToken {
    fn from(generation: GroupGeneration) -> Self {
        Self((generation.era.0 << GENERATION_BITS) | generation.number)
    }
}
