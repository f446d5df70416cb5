//! One entry host: builds its parts from the settings, runs them, and leaves gracefully.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use thiserror::Error;

use crate::answer_store::AnswerStore;
use crate::answer_table::AnswerLimits;
use crate::checkpoint_duty::CheckpointSchedule;
use crate::cloud_client::CloudClient;
use crate::config_follower::ConfigFollower;
use crate::config_snapshot::FollowerOptions;
use crate::crash_suspects::CrashSuspects;
use crate::entry_peer::EntryPeerHandler;
use crate::front_door::FrontDoor;
use crate::front_door::FrontDoorPorts;
use crate::host_list_client::HostListClient;
use crate::http_edge::EdgeLimits;
use crate::http_listener::HttpListener;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::log_client::LogClient;
use crate::log_service::LogService;
use crate::member_config::MembershipConfig;
use crate::member_keeper::KeeperSettings;
use crate::member_keeper::MemberKeeper;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_record::host_hash;
use crate::metrics::MetricsReporter;
use crate::peer_client::PeerTimeouts;
use crate::peer_link::ClusterSecret;
use crate::peer_link::PeerError;
use crate::request_id_source::RequestIdSource;
use crate::request_router::RequestRouter;
use crate::resource::PolicyResource;
use crate::retry_budget::RetryBudget;
use crate::server_connector::HttpConnector;
use crate::server_follower::FollowerPorts;
use crate::server_follower::ServerFollower;
use crate::session_driver::SessionDriver;
use crate::session_ports::SessionCounters;
use crate::session_ports::SessionPorts;
use crate::session_registry::SessionRegistry;
use crate::settings::EntrySettings;
use crate::supervisor::ChildSpec;
use crate::supervisor::ChildSupervisor;
use crate::supervisor::SupervisorError;
use crate::supervisor::SupervisorEvent;
use crate::timestamp::ProcessClock;
use crate::timestamp::wall_clock_ms;

/// Threads of the runtime that carries sockets.
const RUNTIME_THREADS: usize = 2;
/// Time for which a child may make no progress.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Records after the newest checkpoint of the configuration that make its holder write another.
const CHECKPOINT_RECORDS: u64 = 500;
/// Time for which a publisher of configuration waits to read its own record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at the sessions that still run while the host leaves.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the front door still answers after the host began to leave, so that the balancer
/// reads its state.
const LINGER: Duration = Duration::from_millis(500);

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

fn io_error(part: &'static str) -> impl FnOnce(std::io::Error) -> EntryError {
    move |source| EntryError::Io { part, source }
}

/// A running entry host.
pub struct EntryHost {
    settings: EntrySettings,
    runtime: tokio::runtime::Runtime,
    config: Arc<ConfigFollower>,
    members: Arc<MemberKeeper>,
    front_door: Arc<FrontDoor>,
    listener: HttpListener,
    registry: Arc<SessionRegistry>,
    follower: Arc<ServerFollower>,
    supervisor: ChildSupervisor,
    events: Mutex<mpsc::Receiver<SupervisorEvent>>,
}

impl EntryHost {
    /// Starts every part; the front door listens last.
    pub fn start(settings: EntrySettings) -> Result<Self> {
        let runtime = build_runtime()?;
        let clock = ProcessClock::start();
        let incarnation = Incarnation(wall_clock_ms());
        let log: Arc<dyn LogService> =
            Arc::new(LogClient::new(settings.platform.log, platform_limits(&settings)));
        let config = Arc::new(start_config(&settings, log)?);
        let answers = Arc::new(AnswerStore::new(clock, answer_limits(&settings)));
        let metrics = Arc::new(MetricsReporter::new(settings.statsd)?);
        let connector = Arc::new(HttpConnector::new(server_limits(&settings)));
        let ports = build_ports(&settings, clock, answers.clone(), connector.clone());
        let handler = EntryPeerHandler { answers: answers.clone(), config: config.clone() };
        let members = start_members(&settings, incarnation, handler, &runtime)?;
        let follower = build_follower(&settings, clock, &config, &ports, connector);
        let registry = ports.registry.clone();
        let driver = Arc::new(SessionDriver::new(ports));
        let door_ports = FrontDoorPorts { config: config.clone(), driver, answers, metrics, clock };
        let ids = RequestIdSource::new(&settings.host, incarnation, rand::random());
        let front_door = Arc::new(FrontDoor::new(settings.front_door, door_ports, ids));
        let (sender, events) = mpsc::channel();
        let children = vec![follower_child(follower.clone())];
        let supervisor = ChildSupervisor::start(children, clock, sender)?;
        let listener = start_listener(&settings, &runtime, front_door.clone())?;
        log::info!("event=entry_started host={} http={}", settings.host, listener.address());
        Ok(Self {
            settings,
            runtime,
            config,
            members,
            front_door,
            listener,
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

    /// Brings the list of backend servers in line with the configuration and the platform now.
    pub fn refresh_servers(&self) {
        self.follower.refresh();
    }

    /// Waits up to `wait` for a child that keeps failing; the process should leave then.
    pub fn wait_for_escalation(&self, wait: Duration) -> bool {
        let events = crate::session_ports::lock(&self.events);
        matches!(events.recv_timeout(wait), Ok(SupervisorEvent::Escalated(..)))
    }

    /// Leaves gracefully: takes no new work, lets running requests end, and stops.
    pub fn leave(self) {
        log::info!("event=entry_leaving host={}", self.settings.host);
        self.front_door.start_leaving();
        self.members.leave();
        std::thread::sleep(LINGER.min(self.settings.drain_timeout));
        self.wait_for_sessions();
        self.listener.stop();
        let idle = self.listener.wait_until_idle();
        let drained = self.runtime.block_on(async move {
            tokio::time::timeout(Duration::from_secs(1), idle).await.is_ok()
        });
        self.supervisor.stop();
        self.config.stop();
        log::info!("event=entry_left host={} drained={drained}", self.settings.host);
        self.runtime.shutdown_background();
    }

    fn wait_for_sessions(&self) {
        let clock = ProcessClock::start();
        while !self.registry.running().is_empty() {
            if clock.now().since(Default::default()) >= self.settings.drain_timeout {
                let left = self.registry.running().len();
                log::warn!("event=drain_timeout host={} running={left}", self.settings.host);
                return;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
    }
}

fn build_runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name("sockets")
        .enable_all()
        .build()
        .map_err(io_error("the runtime"))
}

fn platform_limits(settings: &EntrySettings) -> EdgeLimits {
    EdgeLimits {
        connect_timeout: settings.calls.connect_timeout,
        call_timeout: settings.calls.platform_timeout,
        ..EdgeLimits::default()
    }
}

fn server_limits(settings: &EntrySettings) -> EdgeLimits {
    EdgeLimits { connect_timeout: settings.calls.connect_timeout, ..EdgeLimits::default() }
}

fn answer_limits(settings: &EntrySettings) -> AnswerLimits {
    AnswerLimits {
        max_entries: settings.memory.answers,
        max_bytes: settings.memory.answer_bytes,
        retention: PolicyResource::default().answer_retention,
    }
}

/// Returns the place of a host among all hosts, 0 to 999.
fn rank_permille(host: &HostId) -> u16 {
    u16::try_from(host_hash(host) % 1_000).unwrap_or_default()
}

fn start_config(settings: &EntrySettings, log: Arc<dyn LogService>) -> Result<ConfigFollower> {
    let schedule = CheckpointSchedule {
        retention: settings.platform.log_retention,
        max_records: CHECKPOINT_RECORDS,
        rank_permille: rank_permille(&settings.host),
    };
    let options = FollowerOptions {
        poll_interval: settings.calls.log_poll_interval,
        publish_timeout: PUBLISH_TIMEOUT,
        schedule,
    };
    ConfigFollower::start(log, options).map_err(io_error("the configuration follower"))
}

fn build_ports(
    settings: &EntrySettings,
    clock: ProcessClock,
    answers: Arc<AnswerStore>,
    connector: Arc<HttpConnector>,
) -> SessionPorts {
    let router = RequestRouter::new(settings.zone.clone(), rand::random());
    let retry_percent = PolicyResource::default().retry_percent;
    SessionPorts {
        clock,
        router: Arc::new(Mutex::new(router)),
        connector,
        claims: None,
        answers,
        suspects: Arc::new(Mutex::new(CrashSuspects::default())),
        budget: Arc::new(Mutex::new(RetryBudget::new(retry_percent))),
        registry: Arc::new(SessionRegistry::new()),
        counters: Arc::new(SessionCounters::default()),
    }
}

fn start_members(
    settings: &EntrySettings,
    incarnation: Incarnation,
    handler: EntryPeerHandler,
    runtime: &tokio::runtime::Runtime,
) -> Result<Arc<MemberKeeper>> {
    let listener = TcpListener::bind(settings.listen.peer).map_err(io_error("the peer link"))?;
    let keeper_settings = KeeperSettings {
        local: MemberRecord {
            host: settings.host.clone(),
            incarnation,
            status: MemberStatus::Live,
            address: settings.listen.peer,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        },
        listener,
        seeds: settings.peers.clone(),
        secret: ClusterSecret::try_from(settings.peer_token.as_str())?,
        config: MembershipConfig::default(),
        timeouts: PeerTimeouts::default(),
        seed: rand::random(),
    };
    Ok(Arc::new(MemberKeeper::start(keeper_settings, Arc::new(handler), runtime.handle())?))
}

fn build_follower(
    settings: &EntrySettings,
    clock: ProcessClock,
    config: &Arc<ConfigFollower>,
    ports: &SessionPorts,
    connector: Arc<HttpConnector>,
) -> Arc<ServerFollower> {
    let limits = platform_limits(settings);
    let ports = FollowerPorts {
        clock,
        config: config.clone(),
        hosts: Arc::new(HostListClient::new(settings.platform.host_list, limits)),
        cloud: Arc::new(CloudClient::new(settings.platform.cloud, limits)),
        router: ports.router.clone(),
        connector,
        on_notice: Box::new(|_| {}),
    };
    Arc::new(ServerFollower::new(ports, settings.calls.poll_interval))
}

fn follower_child(follower: Arc<ServerFollower>) -> ChildSpec {
    ChildSpec {
        name: "server-follower",
        stall_limit: Some(STALL_LIMIT),
        work: Arc::new(move |context| follower.run(context)),
    }
}

fn start_listener(
    settings: &EntrySettings,
    runtime: &tokio::runtime::Runtime,
    front_door: Arc<FrontDoor>,
) -> Result<HttpListener> {
    let handler = Arc::new(move |request| {
        let front_door = front_door.clone();
        let reply: crate::http_listener::ReplyFuture = Box::pin(front_door.handle(request));
        reply
    });
    HttpListener::start(runtime.handle(), settings.listen.http, settings.front_door, handler)
        .map_err(io_error("the front door"))
}
