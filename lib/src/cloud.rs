//! Interface to the cloud API, which starts and stops hosts.

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
    /// The cloud has no capacity for the requested host.
    #[error("no capacity: {0}")]
    NoCapacity(String),
    /// The call carried a stale fencing token; holds the largest token that the cloud has seen.
    #[error("fencing token is older than {0:?}")]
    Fenced(FencingToken),
    /// The call failed, but may have taken effect.
    #[error("cloud call failed: {0}")]
    OutcomeUnknown(String),
}

/// Result of a call to the cloud.
pub type Result<T> = std::result::Result<T, CloudError>;

/// How a host is bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostMarket {
    /// The cloud may reclaim the host at short notice (a spot host).
    Reclaimable,
    /// The host stays until it is stopped.
    OnDemand,
}

/// A request to start one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrder {
    /// Idempotency key: a repeated order starts no second host.
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

/// Current price of a host by zone, class and market.
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

/// Notice that the cloud will reclaim a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Host that will be reclaimed.
    pub host: HostId,
    /// Time until the host is reclaimed, in milliseconds, as of when the notice was read.
    pub left_ms: u64,
}

/// The cloud API.
pub trait CloudApi: Send + Sync {
    /// Starts a host.
    fn start_host(&self, order: &HostOrder, fence: Option<FencingToken>) -> Result<HostId>;

    /// Stops a host. An unknown host is not an error.
    fn stop_host(&self, host: &HostId, fence: Option<FencingToken>) -> Result<()>;

    /// Returns the current prices.
    fn prices(&self) -> Result<Vec<HostPrice>>;

    /// Returns the pending reclaim notices.
    fn notices(&self) -> Result<Vec<ReclaimNotice>>;
}
