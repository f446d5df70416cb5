//! State that the administration API of an entry host shows besides the configuration: members,
//! backend servers, requests and service-level burn.

use std::sync::Arc;
use std::sync::Mutex;

use crate::admin_sources::AdminSources;
use crate::answer_store::AnswerStore;
use crate::answer_table::AnswerState;
use crate::burn_tracker::BurnTracker;
use crate::config_follower::ConfigFollower;
use crate::ids::RequestId;
use crate::member_snapshot::MemberState;
use crate::membership_service::MembershipService;
use crate::protos::admin::BurnWindow;
use crate::protos::admin::FleetMember;
use crate::protos::admin::RequestState;
use crate::request_router::RequestRouter;
use crate::request_router::ServerState;
use crate::session_ports::lock;

/// State of this host that the administration API shows.
#[derive(Clone)]
pub struct AdminView {
    /// Configuration, which lists the drained hosts.
    pub config: Arc<ConfigFollower>,
    /// Entry hosts.
    pub members: Arc<MembershipService>,
    /// Backend servers.
    pub router: Arc<Mutex<RequestRouter>>,
    /// Answers.
    pub answers: Arc<AnswerStore>,
    /// Service-level burn.
    pub burn: Arc<BurnTracker>,
}

impl AdminView {
    /// Returns the callbacks through which the administration API reads the state.
    pub fn into_sources(self) -> AdminSources {
        let view = Arc::new(self);
        let (fleet_view, burn_view) = (view.clone(), view.clone());
        AdminSources {
            fleet: Box::new(move || fleet_view.fleet()),
            requests: Box::new(move |id| view.find_request(id)),
            burn: Box::new(move || burn_view.burn_windows()),
        }
    }

    fn burn_windows(&self) -> Vec<BurnWindow> {
        let report = match self.burn.fleet_report(&self.members) {
            Ok(report) => report,
            Err(error) => {
                log::warn!("event=burn_report_failed error=\"{error}\"");
                return Vec::new();
            }
        };
        let windows = report.services.iter().flat_map(|row| {
            row.windows.iter().map(|window| BurnWindow {
                service: row.service.to_string(),
                window_ms: u64::try_from(window.window.duration().as_millis()).unwrap_or(u64::MAX),
                requests: window.count.total,
                within_target: window.count.good,
                burn_permille: window.burn_permille(),
            })
        });
        windows.collect()
    }

    fn fleet(&self) -> Vec<FleetMember> {
        let config = self.config.current();
        let drained = &config.state.drained;
        let view = self.members.snapshot();
        let local = FleetMember {
            id: view.local.host.to_string(),
            host: view.local.host.to_string(),
            address: view.local.address.to_string(),
            zone: view.local.zone.to_string(),
            state: "live".into(),
            drained: drained.contains(&view.local.host),
            ..Default::default()
        };
        let peers = view.members.iter().map(|member| FleetMember {
            id: member.host.to_string(),
            host: member.host.to_string(),
            address: member.address.to_string(),
            zone: member.zone.to_string(),
            state: member_state(member.state).into(),
            drained: drained.contains(&member.host),
            ..Default::default()
        });
        let router = lock(&self.router);
        let servers = router.servers().map(|(key, server)| FleetMember {
            id: server.id.to_string(),
            host: server.host.to_string(),
            address: server.address.to_string(),
            zone: server.zone.to_string(),
            service: server.service.to_string(),
            state: server_state(server.state).into(),
            drained: drained.contains(&server.host),
            in_flight: router.in_flight(key),
        });
        std::iter::once(local).chain(peers).chain(servers).collect()
    }

    fn find_request(&self, id: RequestId) -> Option<RequestState> {
        let part = self.answers.read_from(id, 0)?;
        let (state, code) = match &part.state {
            AnswerState::Running => ("running", None),
            AnswerState::Finished(end) => {
                let code = end.code();
                let state = match code.outcome() {
                    crate::result_code::RequestOutcome::Complete => "complete",
                    crate::result_code::RequestOutcome::NotRun => "not_run",
                    crate::result_code::RequestOutcome::Unknown => "unknown",
                };
                (state, Some(u32::from(code.number())))
            }
        };
        Some(RequestState {
            request_id: id.to_string(),
            state: state.into(),
            result_code: code,
            tokens: u32::try_from(part.chunks.len()).unwrap_or(u32::MAX),
            ..Default::default()
        })
    }
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
        MemberState::Suspected | MemberState::Unreachable => "suspected",
    }
}

fn server_state(state: ServerState) -> &'static str {
    match state {
        ServerState::Live => "live",
        ServerState::Leaving => "leaving",
        ServerState::Suspected => "suspected",
    }
}
