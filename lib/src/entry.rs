//! One entry host: builds its parts from the settings, runs them, and leaves gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use thiserror::Error;

use crate::admin_server::AdminServer;
use crate::admission_port::AdmissionPort;
use crate::claim_keeper::ClaimKeeper;
use crate::config_follower::ConfigFollower;
use crate::entry_admin::AdminView;
use crate::entry_parts;
use crate::entry_peer::EntryPeerHandler;
use crate::entry_sync::MemberSync;
use crate::front_door::FrontDoor;
use crate::front_door::FrontDoorPorts;
use crate::http_listener::HttpListener;
use crate::ids::Incarnation;
use crate::load_poller::LoadPoller;
use crate::load_poller::PollerPorts;
use crate::member_keeper::MemberKeeper;
use crate::metrics::MetricsReporter;
use crate::metrics_pump::MetricsPump;
use crate::metrics_pump::PumpPorts;
use crate::peer_link::PeerError;
use crate::request_id_source::RequestIdSource;
use crate::server_follower::ServerFollower;
use crate::session_driver::SessionDriver;
use crate::session_ports::lock;
use crate::session_registry::SessionRegistry;
use crate::settings::EntrySettings;
use crate::supervisor::ChildSpec;
use crate::supervisor::ChildSupervisor;
use crate::supervisor::ChildWork;
use crate::supervisor::SupervisorError;
use crate::supervisor::SupervisorEvent;
use crate::timestamp::ProcessClock;
use crate::timestamp::wall_clock_ms;

/// Time for which a child may make no progress.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at the sessions that still run while the host leaves.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the front door still answers after the host began to leave, so that the balancer
/// reads its state.
const LINGER: Duration = Duration::from_millis(500);
/// Time for which replies under way may still be written after the sessions ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry host cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A socket or thread cannot be had.
    #[error("cannot start {part}: {source}")]
    Io {
        /// What was to be started.
        part: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The peer link cannot start.
    #[error("cannot start the peer link: {0}")]
    Peer(#[from] PeerError),
    /// The metrics collector cannot be reached.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] cadence::MetricError),
    /// A thread cannot be started.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
}

/// Result of running an entry host.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Returns a conversion that names the part that could not start.
pub(crate) fn io_error(part: &'static str) -> impl FnOnce(std::io::Error) -> EntryError {
    move |source| EntryError::Io { part, source }
}

/// A running entry host.
pub struct EntryHost {
    settings: EntrySettings,
    runtime: tokio::runtime::Runtime,
    config: Arc<ConfigFollower>,
    claims: Arc<ClaimKeeper>,
    members: Arc<MemberKeeper>,
    front_door: Arc<FrontDoor>,
    listener: HttpListener,
    admin: AdminServer,
    registry: Arc<SessionRegistry>,
    follower: Arc<ServerFollower>,
    supervisor: ChildSupervisor,
    events: Mutex<mpsc::Receiver<SupervisorEvent>>,
}

impl EntryHost {
    /// Starts every part; the front door listens last.
    pub fn start(settings: EntrySettings) -> Result<Self> {
        let runtime = entry_parts::build_runtime()?;
        let clock = ProcessClock::start();
        let incarnation = Incarnation(wall_clock_ms());
        let log = entry_parts::build_log(&settings);
        let config = Arc::new(entry_parts::start_config(&settings, log.clone())?);
        let claims = entry_parts::start_claims(&settings, incarnation, log, clock);
        let answers = entry_parts::build_answers(&settings, clock);
        let metrics = Arc::new(MetricsReporter::new(settings.statsd)?);

        let handler = EntryPeerHandler { answers: answers.clone(), config: config.clone() };
        let members = entry_parts::start_members(&settings, incarnation, handler, &runtime)?;
        let gate = entry_parts::build_gate(claims.clone(), clock, members.clone());
        let connector = entry_parts::build_connector(&settings);
        let ports =
            entry_parts::build_ports(&settings, clock, answers.clone(), connector.clone(), gate);
        let registry = ports.registry.clone();
        let follower =
            entry_parts::build_follower(&settings, clock, config.clone(), &ports, connector);

        let view = AdminView {
            config: config.clone(),
            members: members.clone(),
            router: ports.router.clone(),
            answers: answers.clone(),
        };
        let admin =
            entry_parts::start_admin(&settings, &runtime, config.clone(), view.into_sources())?;

        let sync = MemberSync { members: members.clone(), config: config.clone() };
        let pump = MetricsPump::new(PumpPorts {
            metrics: metrics.clone(),
            counters: ports.counters.clone(),
            registry: registry.clone(),
            claims: claims.clone(),
            config: config.clone(),
            members: members.clone(),
        });
        let poller_ports = PollerPorts {
            clock,
            config: config.clone(),
            router: ports.router.clone(),
            connector: ports.connector.clone(),
        };
        let poller = LoadPoller::new(poller_ports, settings.calls.poll_interval);
        let (sender, events) = mpsc::channel();
        let children = list_children(follower.clone(), poller, sync, pump);
        let supervisor = ChildSupervisor::start(children, clock, sender)?;

        let admission = Arc::new(AdmissionPort::new(clock, ports.router.clone()));
        let driver = Arc::new(SessionDriver::new(ports));
        let door_ports = FrontDoorPorts {
            config: config.clone(),
            driver,
            admission,
            answers,
            registry: registry.clone(),
            metrics,
            recorder: Arc::new(|_| {}),
            clock,
        };
        let ids = RequestIdSource::new(&settings.host, incarnation, rand::random());
        let front_door = Arc::new(FrontDoor::new(settings.front_door, door_ports, ids));
        let listener = entry_parts::start_listener(&settings, &runtime, front_door.clone())?;
        log::info!("event=entry_started host={} http={}", settings.host, listener.address());
        Ok(Self {
            settings,
            runtime,
            config,
            claims,
            members,
            front_door,
            listener,
            admin,
            registry,
            follower,
            supervisor,
            events: Mutex::new(events),
        })
    }

    /// Returns the address of the front door.
    pub fn http_address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the follower of the configuration.
    pub fn config(&self) -> &ConfigFollower {
        &self.config
    }

    /// Returns the members as this host sees them.
    pub fn members(&self) -> &MemberKeeper {
        &self.members
    }

    /// Returns the claims of this host.
    pub fn claims(&self) -> &ClaimKeeper {
        &self.claims
    }

    /// Brings the list of backend servers in line with the configuration and the platform now.
    pub fn refresh_servers(&self) {
        self.follower.refresh();
    }

    /// Waits up to `wait` for a child that keeps failing; the process should leave then.
    pub fn wait_for_escalation(&self, wait: Duration) -> bool {
        let events = lock(&self.events);
        matches!(events.recv_timeout(wait), Ok(SupervisorEvent::Escalated(..)))
    }

    /// Leaves gracefully: takes no new work, lets running requests end, and stops.
    pub fn leave(mut self) {
        log::info!("event=entry_leaving host={}", self.settings.host);
        self.front_door.start_leaving();
        self.members.leave();
        std::thread::sleep(LINGER.min(self.settings.drain_timeout));
        self.wait_for_sessions();
        self.listener.stop();
        let idle = self.listener.wait_until_idle();
        let drained = self
            .runtime
            .block_on(async move { tokio::time::timeout(REPLY_TIMEOUT, idle).await.is_ok() });
        self.supervisor.stop();
        self.admin.stop();
        self.claims.stop();
        self.config.stop();
        log::info!("event=entry_left host={} drained={drained}", self.settings.host);
        self.runtime.shutdown_background();
    }

    fn wait_for_sessions(&self) {
        let clock = ProcessClock::start();
        let due = clock.now() + self.settings.drain_timeout;
        while !self.registry.running().is_empty() {
            if clock.now() >= due {
                let left = self.registry.running().len();
                log::warn!("event=drain_timeout host={} running={left}", self.settings.host);
                return;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
    }
}

fn list_children(
    follower: Arc<ServerFollower>,
    poller: LoadPoller,
    sync: MemberSync,
    pump: MetricsPump,
) -> Vec<ChildSpec> {
    let child = |name, work: ChildWork| ChildSpec { name, stall_limit: Some(STALL_LIMIT), work };
    vec![
        child("server-follower", Arc::new(move |context| follower.run(context))),
        child("load-poller", Arc::new(move |context| poller.run(context))),
        child("member-sync", Arc::new(move |context| sync.run(context))),
        child("metrics-pump", Arc::new(move |context| pump.run(context))),
    ]
}
