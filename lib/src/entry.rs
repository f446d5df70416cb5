//! An entry host process: starts its components from the settings, runs them and leaves gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::time::Duration;

use thiserror::Error;

use crate::admin_access::OperatorAccess;
use crate::admin_server::AdminServer;
use crate::admin_sources::AdminSources;
use crate::admission_port::AdmissionPort;
use crate::answer_finder::AnswerFinder;
use crate::answer_store::AnswerStore;
use crate::burn_tracker::BurnTracker;
use crate::checkpoint_fetcher::CheckpointFetcher;
use crate::claim_keeper::ClaimKeeper;
use crate::cloud::ReclaimNotice;
use crate::config_follower::ConfigFollower;
use crate::crash_report_broadcaster::CrashReportBroadcaster;
use crate::crash_suspects::CrashSuspects;
use crate::entry_admin::AdminView;
use crate::entry_leave::LeaveReason;
use crate::entry_leave::LeavingHost;
use crate::entry_leave::handover_ports;
use crate::entry_parts;
use crate::entry_peer::EntryPeerHandler;
use crate::entry_sync::MemberSync;
use crate::evacuation_starter::EvacuationStarter;
use crate::front_door::FrontDoor;
use crate::front_door::FrontDoorPorts;
use crate::handover_receiver::HandoverReceiver;
use crate::http_listener::HttpListener;
use crate::ids::Incarnation;
use crate::load_poller::LoadPoller;
use crate::load_poller::PollerPorts;
use crate::membership_service::MembershipService;
use crate::metrics::MetricsReporter;
use crate::metrics_sender::MetricsSender;
use crate::metrics_sender::SenderPorts;
use crate::peer_link::PeerError;
use crate::policy_applier::PolicyApplier;
use crate::request_id_generator::RequestIdGenerator;
use crate::server_connector::HttpConnector;
use crate::server_follower::ServerFollower;
use crate::session_driver::SessionDriver;
use crate::session_ports::SessionPorts;
use crate::session_ports::lock;
use crate::settings::EntrySettings;
use crate::supervisor::ChildSpec;
use crate::supervisor::ChildSupervisor;
use crate::supervisor::ChildWork;
use crate::supervisor::SupervisorError;
use crate::supervisor::SupervisorEvent;
use crate::timestamp::ProcessClock;
use crate::timestamp::wall_clock_ms;

/// Maximum time without progress before a child counts as stalled.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Maximum time to finish writing replies in flight after the sessions have ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an entry host cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A socket or thread cannot be created.
    #[error("cannot start {part}: {source}")]
    Io {
        /// Component that cannot start.
        part: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The peer link cannot start.
    #[error("cannot start the peer link: {0}")]
    Peer(#[from] PeerError),
    /// The metrics reporter cannot be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] cadence::MetricError),
    /// A thread cannot be started.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
}

/// Result of starting an entry host or one of its components.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Returns a function that converts an I/O error to an [`EntryError`] that names the component.
pub(crate) fn io_error(part: &'static str) -> impl FnOnce(std::io::Error) -> EntryError {
    move |source| EntryError::Io { part, source }
}

/// Event that makes the host leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// A supervised child keeps failing.
    Escalated,
    /// The cloud reclaims the host after this time.
    Reclaimed(Duration),
}

/// Components that other components of the host share.
struct EntryCore {
    clock: ProcessClock,
    incarnation: Incarnation,
    config: Arc<ConfigFollower>,
    claims: Arc<ClaimKeeper>,
    answers: Arc<AnswerStore>,
    metrics: Arc<MetricsReporter>,
    burn: Arc<BurnTracker>,
    members: Arc<MembershipService>,
    connector: Arc<HttpConnector>,
    ports: SessionPorts,
    driver: Arc<SessionDriver>,
    handover_receiver: Arc<HandoverReceiver>,
}

impl EntryCore {
    fn start(settings: &EntrySettings, runtime: &tokio::runtime::Runtime) -> Result<Self> {
        let clock = ProcessClock::start();
        let incarnation = Incarnation(wall_clock_ms());
        let log = entry_parts::build_log(settings);
        let config = Arc::new(entry_parts::start_config(settings, log.clone())?);
        let claims = entry_parts::start_claims(settings, incarnation, log, clock);
        let answers = entry_parts::build_answers(settings, clock);
        let metrics = Arc::new(MetricsReporter::new(settings.statsd)?);
        let handover_receiver_cell = Arc::new(OnceLock::new());
        let burn = Arc::new(BurnTracker::new(settings.host.clone(), incarnation, config.clone()));
        let suspects = Arc::new(Mutex::new(CrashSuspects::new(settings.host.clone())));
        let handler = EntryPeerHandler {
            answers: answers.clone(),
            config: config.clone(),
            burn: burn.clone(),
            clock,
            suspects: suspects.clone(),
            handover_receiver: handover_receiver_cell.clone(),
        };
        let members = entry_parts::start_members(settings, incarnation, handler, runtime)?;
        let claim_port = entry_parts::build_claim_port(claims.clone(), clock, members.clone());
        let connector = entry_parts::build_connector(settings);
        let ports = entry_parts::build_ports(
            settings,
            clock,
            answers.clone(),
            connector.clone(),
            claim_port,
            suspects,
        );
        let driver = Arc::new(SessionDriver::new(ports.clone()));
        let handover_receiver =
            Arc::new(HandoverReceiver::new(clock, config.clone(), driver.clone()));
        let handover_receiver = handover_receiver_cell.get_or_init(|| handover_receiver).clone();
        Ok(Self {
            clock,
            incarnation,
            config,
            claims,
            answers,
            metrics,
            burn,
            members,
            connector,
            ports,
            driver,
            handover_receiver,
        })
    }

    /// Builds the dependencies of the front door.
    fn front_door_ports(&self, settings: &EntrySettings) -> FrontDoorPorts {
        let (burn, recorder) = (self.burn.clone(), self.burn.clone());
        let members = self.members.clone();
        let finder = AnswerFinder {
            clock: self.clock,
            answers: self.answers.clone(),
            members: self.members.clone(),
        };
        FrontDoorPorts {
            config: self.config.clone(),
            driver: self.driver.clone(),
            admission: Arc::new(AdmissionPort::new(self.clock, self.ports.router.clone())),
            answers: Arc::new(finder),
            registry: self.ports.registry.clone(),
            metrics: self.metrics.clone(),
            recorder: Arc::new(move |times| recorder.record(times)),
            operators: OperatorAccess::new(settings.operators.clone()),
            burn: Arc::new(move || burn.fleet_report(&members)),
            clock: self.clock,
        }
    }

    /// Builds the backend server follower. A reclaim notice for this host goes to `events`; any
    /// other starts an evacuation.
    fn build_follower(
        &self,
        settings: &EntrySettings,
        events: mpsc::Sender<EntryEvent>,
    ) -> Arc<ServerFollower> {
        let starter = EvacuationStarter::new(self.ports.clone());
        let host = settings.host.clone();
        let events = Mutex::new(events);
        let on_notice = move |notice: &ReclaimNotice| {
            if notice.host == host {
                let time_left = Duration::from_millis(notice.left_ms);
                // Sending fails only without a receiver, and then the host is already leaving.
                let _ = lock(&events).send(EntryEvent::Reclaimed(time_left));
            } else {
                starter.on_notice(notice);
            }
        };
        entry_parts::build_follower(
            settings,
            self.clock,
            self.config.clone(),
            &self.ports,
            self.connector.clone(),
            Box::new(on_notice),
            self.members.clone(),
        )
    }

    fn admin_sources(&self) -> AdminSources {
        let view = AdminView {
            config: self.config.clone(),
            members: self.members.clone(),
            router: self.ports.router.clone(),
            answers: self.answers.clone(),
            burn: self.burn.clone(),
        };
        view.into_sources()
    }

    fn list_children(
        &self,
        settings: &EntrySettings,
        follower: Arc<ServerFollower>,
    ) -> Vec<ChildSpec> {
        let sync = MemberSync {
            members: self.members.clone(),
            config: self.config.clone(),
            handover_receiver: self.handover_receiver.clone(),
            policy: PolicyApplier::new(
                self.config.clone(),
                self.answers.clone(),
                self.claims.clone(),
                self.ports.budget.clone(),
            ),
            crash_reports: CrashReportBroadcaster::new(
                self.clock,
                self.ports.suspects.clone(),
                self.members.clone(),
            ),
        };
        let sender = MetricsSender::new(SenderPorts {
            metrics: self.metrics.clone(),
            counters: self.ports.counters.clone(),
            registry: self.ports.registry.clone(),
            claims: self.claims.clone(),
            config: self.config.clone(),
            members: self.members.clone(),
            burn: self.burn.clone(),
        });
        let poller_ports = PollerPorts {
            clock: self.clock,
            config: self.config.clone(),
            router: self.ports.router.clone(),
            connector: self.ports.connector.clone(),
        };
        let poller = LoadPoller::new(poller_ports, settings.calls.poll_interval);
        let fetcher =
            CheckpointFetcher { config: self.config.clone(), members: self.members.clone() };
        let prober = follower.clone();
        let child =
            |name, work: ChildWork| ChildSpec { name, stall_limit: Some(STALL_LIMIT), work };
        vec![
            child("server-follower", Arc::new(move |context| follower.run(context))),
            child("suspect-prober", Arc::new(move |context| prober.run_probes(context))),
            child("load-poller", Arc::new(move |context| poller.run(context))),
            child("member-sync", Arc::new(move |context| sync.run(context))),
            child("checkpoint-fetcher", Arc::new(move |context| fetcher.run(context))),
            child("metrics-sender", Arc::new(move |context| sender.run(context))),
        ]
    }
}

/// A running entry host.
pub struct EntryHost {
    settings: EntrySettings,
    runtime: tokio::runtime::Runtime,
    core: EntryCore,
    front_door: Arc<FrontDoor>,
    listener: HttpListener,
    admin: AdminServer,
    follower: Arc<ServerFollower>,
    supervisor: ChildSupervisor,
    supervisor_events: Mutex<mpsc::Receiver<SupervisorEvent>>,
    events: Mutex<mpsc::Receiver<EntryEvent>>,
}

impl EntryHost {
    /// Starts every component; the front door starts to listen last.
    pub fn start(settings: EntrySettings) -> Result<Self> {
        let runtime = entry_parts::build_runtime()?;
        let core = EntryCore::start(&settings, &runtime)?;
        let (event_sender, events) = mpsc::channel();
        let follower = core.build_follower(&settings, event_sender);
        let sources = core.admin_sources();
        let admin = entry_parts::start_admin(&settings, &runtime, core.config.clone(), sources)?;
        let (sender, supervisor_events) = mpsc::channel();
        let children = core.list_children(&settings, follower.clone());
        let supervisor = ChildSupervisor::start(children, core.clock, sender)?;
        let ids = RequestIdGenerator::new(&settings.host, core.incarnation, rand::random());
        let front_door =
            Arc::new(FrontDoor::new(settings.front_door, core.front_door_ports(&settings), ids));
        let listener = entry_parts::start_listener(&settings, &runtime, front_door.clone())?;
        log::info!("event=entry_started host={} http={}", settings.host, listener.address());
        Ok(Self {
            settings,
            runtime,
            core,
            front_door,
            listener,
            admin,
            follower,
            supervisor,
            supervisor_events: Mutex::new(supervisor_events),
            events: Mutex::new(events),
        })
    }

    /// Returns the address of the front door.
    pub fn http_address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the configuration follower.
    pub fn config(&self) -> &ConfigFollower {
        &self.core.config
    }

    /// Returns the membership service, which holds this host's view of the members.
    pub fn members(&self) -> &MembershipService {
        &self.core.members
    }

    /// Returns the number of callers' requests that are running or waiting on this host.
    pub fn running_requests(&self) -> usize {
        self.front_door.running()
    }

    /// Returns this host's claims of idempotency keys.
    pub fn claims(&self) -> &ClaimKeeper {
        &self.core.claims
    }

    /// Reconciles the list of backend servers with the configuration and the platform now.
    pub fn refresh_servers(&self) {
        self.follower.refresh();
    }

    /// Waits up to `wait` for an event that makes the host leave.
    pub fn wait_for_event(&self, wait: Duration) -> Option<EntryEvent> {
        let escalated = |event| matches!(event, SupervisorEvent::Escalated(..));
        if lock(&self.supervisor_events).try_iter().any(escalated) {
            return Some(EntryEvent::Escalated);
        }
        lock(&self.events).recv_timeout(wait).ok()
    }

    /// Leaves gracefully: accepts no new work, drains running requests or hands them over, and
    /// stops.
    pub fn leave(mut self, reason: LeaveReason) {
        let host = &self.settings.host;
        log::info!("event=entry_leaving host={host} reason={reason:?}");
        let core = &self.core;
        let leaving = LeavingHost {
            front_door: &self.front_door,
            members: &core.members,
            registry: &core.ports.registry,
            ports: handover_ports(&core.members, &core.ports.registry, &core.answers, core.clock),
            drain_timeout: self.settings.drain_timeout,
        };
        leaving.leave(reason);
        self.listener.stop();
        let idle = self.listener.wait_until_idle();
        let drained = self
            .runtime
            .block_on(async move { tokio::time::timeout(REPLY_TIMEOUT, idle).await.is_ok() });
        self.supervisor.stop();
        self.admin.stop();
        self.core.claims.stop();
        self.core.config.stop();
        log::info!("event=entry_left host={} drained={drained}", self.settings.host);
        // Waits for the tasks to end: a listener that is still open keeps its port.
        self.runtime.shutdown_timeout(REPLY_TIMEOUT);
    }
}
