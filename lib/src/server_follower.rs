//! Keeps the router's list of backend servers and their loads up to date.
//!
//! Joins [`ServerDirectory`] with the host list, the cloud's notices and the servers' own reports.

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

/// Takes each new notice.
pub type NoticeHandler = Box<dyn Fn(&ReclaimNotice) + Send + Sync>;

/// Takes each reading of the host list.
pub type HostsHandler = Box<dyn Fn(&[HostEntry]) + Send + Sync>;

/// What following the servers needs.
pub struct FollowerPorts {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Configuration in force.
    pub config: Arc<ConfigFollower>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// The cloud, for its notices.
    pub cloud: Arc<dyn CloudApi>,
    /// Router that the list goes to.
    pub router: Arc<Mutex<RequestRouter>>,
    /// Clients of servers that are gone are dropped here.
    pub connector: Arc<HttpConnector>,
    /// Is told of each reading of the host list.
    pub on_hosts: HostsHandler,
    /// Is told of each new notice.
    pub on_notice: NoticeHandler,
}

/// Follows the backend servers of all services.
pub struct ServerFollower {
    ports: FollowerPorts,
    directory: Mutex<ServerDirectory>,
    interval: Duration,
}

impl ServerFollower {
    /// Builds a follower that reads everything once per `interval`.
    pub fn new(ports: FollowerPorts, interval: Duration) -> Self {
        Self { ports, directory: Mutex::default(), interval }
    }

    /// Reads until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.refresh();
            context.report_progress();
            std::thread::sleep(self.interval);
        }
    }

    /// Reads the host list and the notices once and updates the router.
    pub fn refresh(&self) {
        self.read_hosts();
        self.read_notices();
        self.update_router();
    }

    /// Probes suspected servers until the child must stop.
    ///
    /// A thread of its own, since a silent server takes the time limit of a call, and notices must
    /// not wait for it.
    pub fn run_probes(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.probe_suspected(context);
            context.report_progress();
            std::thread::sleep(self.interval);
        }
    }

    /// Gives work again to suspected servers that answer a call on a new connection.
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

    /// Takes a host out of routing at once, as when a peer or an operator announces that it leaves.
    pub fn mark_leaving(&self, host: &HostId) {
        let news = lock(&self.directory).mark_leaving(self.ports.clock.now(), host);
        if news {
            log::info!("event=host_leaving host={host}");
            self.update_router();
        }
    }

    /// Brings the router's list in line with what is known now.
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
            // The last reading stays in force: servers that are gone show by their connections.
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
