//! Keeps the router's list of backend servers up to date.
//!
//! Feeds the host list and the cloud's reclaim notices into a [`ServerDirectory`], and probes
//! suspected servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::cloud::CloudApi;
use crate::cloud::ReclaimNotice;
use crate::config_follower::ConfigFollower;
use crate::host_list::HostEntry;
use crate::host_list::HostList;
use crate::ids::HostId;
use crate::request_router::RequestRouter;
use crate::request_router::ServerInfo;
use crate::request_router::ServerState;
use crate::resource::ServiceKind;
use crate::server_connector::HttpConnector;
use crate::server_directory::ServerDirectory;
use crate::session_ports::ProbeResult;
use crate::session_ports::ServerConnector as _;
use crate::session_ports::lock;
use crate::supervisor::ChildContext;
use crate::timestamp::ProcessClock;

/// Called with each new reclaim notice.
pub type NoticeHandler = Box<dyn Fn(&ReclaimNotice) + Send + Sync>;

/// Called with the host list each time it is read.
pub type HostsHandler = Box<dyn Fn(&[HostEntry]) + Send + Sync>;

/// Dependencies of [`ServerFollower`].
pub struct FollowerPorts {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Configuration in force.
    pub config: Arc<ConfigFollower>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// Source of reclaim notices.
    pub cloud: Arc<dyn CloudApi>,
    /// Router that receives the list of servers.
    pub router: Arc<Mutex<RequestRouter>>,
    /// Connector whose clients of removed servers are dropped.
    pub connector: Arc<HttpConnector>,
    /// Called each time the host list is read.
    pub on_hosts: HostsHandler,
    /// Called for each new reclaim notice.
    pub on_notice: NoticeHandler,
}

/// Tracks the backend servers of all services.
pub struct ServerFollower {
    ports: FollowerPorts,
    directory: Mutex<ServerDirectory>,
    interval: Duration,
}

impl ServerFollower {
    /// Creates a follower that reads all sources once per `interval`.
    pub fn new(ports: FollowerPorts, interval: Duration) -> Self {
        Self { ports, directory: Mutex::default(), interval }
    }

    /// Refreshes the router's list until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.refresh();
            context.report_progress();
            std::thread::sleep(self.interval);
        }
    }

    /// Reads the host list and the reclaim notices once and updates the router.
    pub fn refresh(&self) {
        self.read_hosts();
        self.read_notices();
        self.update_router();
    }

    /// Probes suspected servers until the child must stop.
    ///
    /// Runs in a separate thread: probing an unresponsive server blocks until the call times out,
    /// which must not delay reclaim notices.
    pub fn run_probes(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.probe_suspected(context);
            context.report_progress();
            std::thread::sleep(self.interval);
        }
    }

    /// Marks suspected servers as live again if they respond to a call on a new connection.
    fn probe_suspected(&self, context: &ChildContext) {
        let suspected: Vec<ServerInfo> = {
            let router = lock(&self.ports.router);
            let servers = router.servers().map(|(_, info)| info);
            servers.filter(|info| info.state == ServerState::Suspected).cloned().collect()
        };
        for info in suspected {
            context.report_progress();
            self.ports.connector.retire(info.address);
            if self.answers(&info) {
                log::info!("event=server_answers_again server={}", info.id);
                let now = self.ports.clock.now();
                lock(&self.ports.router).set_state(now, &info.id, ServerState::Live);
            }
        }
    }

    fn answers(&self, info: &ServerInfo) -> bool {
        let snapshot = self.ports.config.current();
        let kind = snapshot.state.services.get(&info.service).map(|service| service.kind);
        match kind {
            Some(ServiceKind::Model) => {
                self.ports.connector.engine(info.address).load_report().is_ok()
            }
            Some(ServiceKind::App) => self.ports.connector.probe(info.address) == ProbeResult::Open,
            None => false,
        }
    }

    /// Removes a host from routing at once, for example when a peer or an operator announces
    /// that it is leaving.
    pub fn mark_leaving(&self, host: &HostId) {
        let is_new = lock(&self.directory).mark_leaving(self.ports.clock.now(), host);
        if is_new {
            log::info!("event=host_leaving host={host}");
            self.update_router();
        }
    }

    /// Updates the router's list from the configuration and the directory.
    pub fn update_router(&self) {
        let snapshot = self.ports.config.current();
        let servers = lock(&self.directory).servers(&snapshot.state);
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        lock(&self.ports.router).set_servers(self.ports.clock.now(), servers);
        self.ports.connector.keep_only(&addresses);
    }

    fn read_hosts(&self) {
        match self.ports.hosts.hosts() {
            Ok(hosts) => {
                (self.ports.on_hosts)(&hosts);
                lock(&self.directory).set_hosts(self.ports.clock.now(), hosts);
            }
            // The previous list stays in force. Failed connections reveal servers that are gone.
            Err(error) => log::warn!("event=host_list_failed error=\"{error}\""),
        }
    }

    fn read_notices(&self) {
        let notices = match self.ports.cloud.notices() {
            Ok(notices) => notices,
            Err(error) => {
                log::warn!("event=notices_failed error=\"{error}\"");
                return;
            }
        };
        for notice in notices {
            let now = self.ports.clock.now();
            if lock(&self.directory).mark_leaving(now, &notice.host) {
                log::info!("event=reclaim_notice host={} left_ms={}", notice.host, notice.left_ms);
                self.update_router();
                (self.ports.on_notice)(&notice);
            }
        }
    }
}
