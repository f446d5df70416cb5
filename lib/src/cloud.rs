//! Edge to the cloud API that starts and stops hosts.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ClassName;
use crate::ids::FencingToken;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// Why a call to the cloud failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no capacity of the kind asked for.
    #[error("no capacity: {0}")]
    NoCapacity(String),
    /// The order carried an old fencing number.
    #[error("fencing number is older than {0:?}")]
    Fenced(FencingToken),
    /// The call failed and may have had its effect.
    #[error("cloud call failed: {0}")]
    OutcomeUnknown(String),
}

/// Result of a call to the cloud.
pub type Result<T> = std::result::Result<T, CloudError>;

/// How a host is bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostMarket {
    /// The cloud may take the host back at short notice.
    Reclaimable,
    /// The host stays until it is stopped.
    OnDemand,
}

/// A wish for one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrder {
    /// Identity of the order; a repeated order starts no second host.
    pub order_id: String,
    /// Service that the host will run.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: ClassName,
    /// How the host is bought.
    pub market: HostMarket,
}

/// A price in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPrice {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: ClassName,
    /// How the host is bought.
    pub market: HostMarket,
    /// Price of one hour in millionths of the currency unit.
    pub micros_per_hour: u64,
}

/// Notice that a host will be taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Host that will be taken back.
    pub host: HostId,
    /// Time left when the notice was read, in milliseconds.
    pub left_ms: u64,
}

/// The cloud API.
pub trait CloudApi: Send + Sync {
    /// Starts a host.
    fn start_host(&self, order: &HostOrder, fence: Option<FencingToken>) -> Result<HostId>;

    /// Stops a host; an unknown host is no error.
    fn stop_host(&self, host: &HostId, fence: Option<FencingToken>) -> Result<()>;

    /// Returns the prices in force.
    fn prices(&self) -> Result<Vec<HostPrice>>;

    /// Returns the notices in force.
    fn notices(&self) -> Result<Vec<ReclaimNotice>>;
}
