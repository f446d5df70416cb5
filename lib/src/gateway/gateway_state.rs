//! What one host believes, shared by the tasks of its event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::gateway::backend_directory::BackendDirectory;
use crate::gateway::backend_directory::DirectoryEffect;
use crate::gateway::call_pool::CallPool;
use crate::gateway::crash_watch::CrashWatch;
use crate::gateway::demand_meter::DemandMeter;
use crate::gateway::directory_news::DirectoryNews;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::placement::PlacementBoard;
use crate::gateway::quota_limiter::QuotaLimiter;
use crate::gateway::retry_limiter::RetryLimiter;
use crate::gateway::serving_config::ConfigView;
use crate::gateway::shutdown_plan::ShutdownPlan;
use crate::gateway::usage_ledger::HostLife;
use crate::gateway::usage_ledger::UsageLedger;
use crate::ids::Incarnation;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;

/// State of one host. Each part is borrowed for the length of one decision, never over a wait.
pub struct GatewayState {
    /// Settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Clock that decisions are timed by.
    pub clock: ProcessClock,
    /// This life of this host.
    pub life: HostLife,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Connections to servers and the platform.
    pub pool: CallPool,
    /// Configuration in force.
    pub config: RefCell<ConfigView>,
    /// Backend servers.
    pub directory: RefCell<BackendDirectory>,
    /// Changes of the directory that peers should hear of.
    pub news: RefCell<DirectoryNews>,
    /// Load and warmth of the servers.
    pub board: RefCell<PlacementBoard>,
    /// Retry budget.
    pub retries: RefCell<RetryLimiter>,
    /// Quotas.
    pub quotas: RefCell<QuotaLimiter>,
    /// Usage counts.
    pub ledger: RefCell<UsageLedger>,
    /// Requests that crash servers.
    pub crashes: RefCell<CrashWatch>,
    /// Tokens asked for.
    pub demand: RefCell<DemandMeter>,
    /// Peers.
    pub peers: RefCell<PeerTable>,
    /// Rung when a peer has a newer configuration.
    pub config_hint: Notify,
    /// Whether a peer read changes of the directory that this host was not told.
    pub directory_hint: Cell<bool>,
    /// Rung when peers should hear a summary at once.
    pub summary_hint: Notify,
    /// Rung when this host's spending should be recorded.
    pub record_hint: Notify,
    /// Whether what was spent of quotas before this host's start was read, or cannot be.
    pub spending_known: Cell<bool>,
    /// Planned stop, once one was asked for.
    pub leave: Cell<Option<ShutdownPlan>>,
    /// Requests that are not answered yet.
    pub running: Cell<usize>,
}

impl GatewayState {
    /// Builds the state of a host that knows nothing yet.
    pub fn new(settings: GatewaySettings, metrics: GatewayMetrics) -> Self {
        let life = (settings.host.clone(), Incarnation(wall_clock_ms()));
        let window_ms = u64::try_from(settings.usage_window.as_millis()).unwrap_or(u64::MAX);
        let clock = ProcessClock::start();
        let mut quotas = QuotaLimiter::new(settings.quotas);
        if !settings.first_start {
            quotas.assume_spent(clock.now());
        }
        let spending_known = Cell::new(settings.first_start);
        Self {
            clock,
            metrics,
            pool: CallPool::default(),
            config: RefCell::default(),
            directory: RefCell::default(),
            news: RefCell::default(),
            board: RefCell::new(PlacementBoard::new(settings.zone.clone())),
            retries: RefCell::new(RetryLimiter::new(settings.retries)),
            quotas: RefCell::new(quotas),
            ledger: RefCell::new(UsageLedger::new(life.clone(), window_ms)),
            crashes: RefCell::default(),
            demand: RefCell::default(),
            peers: RefCell::new(PeerTable::new(settings.host.clone(), settings.zone.clone())),
            config_hint: Notify::new(),
            directory_hint: Cell::new(false),
            summary_hint: Notify::new(),
            record_hint: Notify::new(),
            spending_known,
            leave: Cell::new(None),
            running: Cell::new(0),
            life,
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Puts changed settings in force. Identity, addresses and the length of usage windows are those
    /// of the start.
    pub fn apply_settings(&self, settings: GatewaySettings) {
        self.retries.borrow_mut().set_bounds(settings.retries);
        self.quotas.borrow_mut().set_bounds(settings.quotas);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the time on the process's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether the host takes new connections.
    pub fn is_ready(&self) -> bool {
        self.leave.get().is_none()
            && self.spending_known.get()
            && self.config.borrow().current().is_some()
    }

    /// Takes a retry out of this host's share of a service's budget; returns whether it may be made.
    pub fn try_retry(&self, now: Timestamp, service: &ServiceName) -> bool {
        let hosts = self.peers.borrow().known_hosts();
        let granted = self.retries.borrow_mut().try_spend(now, service, hosts);
        if !granted {
            self.metrics.events.with_label_values(&["retry_budget_empty"]).inc();
            log::info!("event=retry_budget_empty service={service} hosts={hosts}");
        }
        granted
    }

    /// Records that a server's process is gone.
    pub fn on_server_gone(&self, server: &ServerId) {
        let suspects = self.crashes.borrow_mut().on_gone(self.now(), server);
        if !suspects.is_empty() {
            log::info!("event=server_crashed server={server} suspects={}", suspects.len());
        }
    }

    /// Carries an effect of the directory over to the other parts, and logs it.
    pub fn on_directory_effect(&self, effect: DirectoryEffect) {
        let (event, key) = match effect {
            DirectoryEffect::Joined(key) => ("server_joined", key),
            DirectoryEffect::Restarted(key) => ("server_restarted", key),
            DirectoryEffect::Leaving(key) => ("server_leaving", key),
            DirectoryEffect::Gone(key) => {
                // The removal was logged with the server's name when it was read.
                self.metrics.events.with_label_values(&["server_gone"]).inc();
                self.board.borrow_mut().remove(key);
                return;
            }
            DirectoryEffect::Unchanged => return,
        };
        match effect {
            DirectoryEffect::Joined(_) => self.board.borrow_mut().reset(key),
            DirectoryEffect::Restarted(_) => {
                self.board.borrow_mut().reset(key);
                let id = self.directory.borrow().get(key).map(|server| server.entry.id.clone());
                if let Some(id) = id {
                    self.on_server_gone(&id);
                }
            }
            DirectoryEffect::Gone(_) | DirectoryEffect::Leaving(_) | DirectoryEffect::Unchanged => {
            }
        }
        self.log_server(event, key);
    }

    /// Writes a log line about a server.
    pub fn log_server(&self, event: &str, key: ServerKey) {
        self.metrics.events.with_label_values(&[event]).inc();
        match self.directory.borrow().get(key) {
            Some(server) => {
                let entry = &server.entry;
                log::info!(
                    "event={event} server={} service={} zone={} address={} state={:?}",
                    entry.id,
                    entry.service,
                    entry.zone,
                    entry.address,
                    entry.state
                );
            }
            None => log::info!("event={event} server_key={key:?}"),
        }
    }
}
