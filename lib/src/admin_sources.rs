//! Data that the administration API reads from other parts of the process.

use crate::ids::RequestId;
use crate::protos::admin::BurnWindow;
use crate::protos::admin::FleetMember;
use crate::protos::admin::RequestState;

/// Returns the entry hosts and backend servers known to this host.
pub type FleetSource = Box<dyn Fn() -> Vec<FleetMember> + Send + Sync>;

/// Returns what this host knows about a request.
pub type RequestSource = Box<dyn Fn(RequestId) -> Option<RequestState> + Send + Sync>;

/// Returns the burn of every service over every window.
pub type BurnSource = Box<dyn Fn() -> Vec<BurnWindow> + Send + Sync>;

/// Data sources for the calls that are not about the configuration.
pub struct AdminSources {
    /// Fleet state.
    pub fleet: FleetSource,
    /// Request lookup.
    pub requests: RequestSource,
    /// Service-level burn.
    pub burn: BurnSource,
}

impl Default for AdminSources {
    /// Sources without data.
    fn default() -> Self {
        Self { fleet: Box::new(Vec::new), requests: Box::new(|_| None), burn: Box::new(Vec::new) }
    }
}
