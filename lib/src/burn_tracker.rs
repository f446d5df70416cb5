//! Counts this host's requests against their services' latency targets and builds burn reports.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::burn::BurnMerger;
use crate::burn::BurnRecorder;
use crate::burn::Result;
use crate::burn_collector::collect_report;
use crate::burn_report::BurnReport;
use crate::config_follower::ConfigFollower;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::membership_service::MembershipService;
use crate::request_meter::RequestTimes;
use crate::resource::LatencyTarget;
use crate::resource::ServiceKind;
use crate::resource::ServiceResource;
use crate::result_code::RequestOutcome;
use crate::session_ports::lock;
use crate::timestamp::wall_clock_ms;

/// Smallest result code of a failure that the caller did not cause.
const FIRST_SERVER_ERROR_CODE: u16 = 200;

/// Counts and reports service-level burn.
pub struct BurnTracker {
    config: Arc<ConfigFollower>,
    recorder: Mutex<BurnRecorder>,
}

impl BurnTracker {
    /// Builds an empty tracker.
    pub fn new(host: HostId, incarnation: Incarnation, config: Arc<ConfigFollower>) -> Self {
        Self { config, recorder: Mutex::new(BurnRecorder::new(host, incarnation)) }
    }

    /// Counts one finished request. Failures that the caller caused do not count.
    pub fn record(&self, times: &RequestTimes) {
        let code = times.code.number();
        if times.code.outcome() != RequestOutcome::Complete && code < FIRST_SERVER_ERROR_CODE {
            return;
        }
        let snapshot = self.config.current();
        let Some(service) = snapshot.state.services.get(&times.service) else { return };
        let latency = times.first_token.unwrap_or(times.total);
        lock(&self.recorder).record(
            wall_clock_ms(),
            &times.service,
            service.latency_target.share_permille,
            latency,
            is_within_target(service, times),
        );
    }

    /// Returns this host's encoded contribution; empty if it cannot be encoded.
    pub fn encoded_contribution(&self) -> Vec<u8> {
        let contribution = lock(&self.recorder).contribution(wall_clock_ms());
        let encoded = contribution.and_then(|contribution| contribution.encode());
        encoded.unwrap_or_else(|error| {
            log::warn!("event=burn_not_encoded error=\"{error}\"");
            Vec::new()
        })
    }

    /// Returns the report over this host alone.
    pub fn local_report(&self) -> Result<BurnReport> {
        let now_ms = wall_clock_ms();
        let mut merger = BurnMerger::default();
        merger.merge(lock(&self.recorder).contribution(now_ms)?);
        BurnReport::build(now_ms, &merger, Vec::new())
    }

    /// Returns the report over all hosts that reply; blocks while it queries them.
    pub fn fleet_report(&self, members: &MembershipService) -> Result<BurnReport> {
        let now_ms = wall_clock_ms();
        let local = lock(&self.recorder).contribution(now_ms)?;
        collect_report(now_ms, local, &members.snapshot(), &members.client())
    }
}

/// Returns whether a request completed within its service's latency target.
fn is_within_target(service: &ServiceResource, times: &RequestTimes) -> bool {
    let LatencyTarget { first_token, token_gap, .. } = service.latency_target;
    let gap_kept = match service.kind {
        ServiceKind::Model => times.mean_gap.unwrap_or(Duration::ZERO) <= token_gap,
        ServiceKind::App => true,
    };
    times.code.outcome() == RequestOutcome::Complete
        && times.first_token.is_some_and(|first| first <= first_token)
        && gap_kept
}
