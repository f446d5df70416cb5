//! Interface to the platform's list of live and leaving hosts. The list is eventually consistent:
//! it lags behind the hosts' real states.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::cloud::HostMarket;
use crate::ids::ClassName;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// The list cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("host list cannot be read: {0}")]
pub struct HostListError(pub String);

/// Result of reading the list.
pub type Result<T> = std::result::Result<T, HostListError>;

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host is shutting down.
    Leaving,
}

/// Role of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host.
    Entry,
    /// A backend server of the service.
    Backend(ServiceName),
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Address of the server that runs on the host, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: ClassName,
    /// How the host is bought.
    pub market: HostMarket,
    /// State.
    pub state: HostState,
    /// Role.
    pub duty: HostRole,
}

/// The platform's host list.
pub trait HostList: Send + Sync {
    /// Returns the whole list.
    fn hosts(&self) -> Result<Vec<HostEntry>>;
}
