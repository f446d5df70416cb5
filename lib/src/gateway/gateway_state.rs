//! State of one host, shared by the tasks of its event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::backend_directory::BackendDirectory;
use crate::gateway::backend_directory::BackendEntry;
use crate::gateway::backend_directory::DepartureSource;
use crate::gateway::backend_directory::DirectoryEffect;
use crate::gateway::backend_directory::STORE_OUTAGE_THRESHOLD;
use crate::gateway::buffer_budget::BufferBudget;
use crate::gateway::capacity::demand_meter::DemandMeter;
use crate::gateway::capacity::lateness_meter::LatenessMeter;
use crate::gateway::capacity::speed_table::LearnedSpeed;
use crate::gateway::connection_pool::ConnectionPool;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::crash_tracker::ExitEvidence;
use crate::gateway::demand_level::DemandLevel;
use crate::gateway::demand_level::DemandLevels;
use crate::gateway::directory_gossip::DirectoryCoverage;
use crate::gateway::directory_gossip::DirectoryGossip;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::limit_belief::LimitChange;
use crate::gateway::limit_belief::LimitSource;
use crate::gateway::limit_belief::LimitStatement;
use crate::gateway::limit_fleet::LimitFleet;
use crate::gateway::limit_table::LimitListing;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::placement::PlacementTable;
use crate::gateway::process_doubts::ProcessDoubts;
use crate::gateway::process_probe::ProcessProbes;
use crate::gateway::quota::quota_limiter::QuotaLimiter;
use crate::gateway::reach::forwarder_choice::ForwarderPeer;
use crate::gateway::reach::forwarder_choice::ForwarderTable;
use crate::gateway::reach::forwarder_choice::choose_forwarder;
use crate::gateway::reach::reach_table::OpenFailure;
use crate::gateway::reach::reach_table::ReachChange;
use crate::gateway::reach::reach_table::ReachTable;
use crate::gateway::reach::trial_runner;
use crate::gateway::read_schedule::ReadHistory;
use crate::gateway::read_schedule::ReadTimes;
use crate::gateway::retry_limiter::RetryLimiter;
use crate::gateway::retry_limiter::RetryPurpose;
use crate::gateway::rollout::rollout_book::RolloutBook;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::rollout::rollout_keeper::RolloutSync;
use crate::gateway::serving_config::ActiveConfig;
use crate::gateway::shutdown_plan::ShutdownPlan;
use crate::gateway::start_gate::StartGate;
use crate::gateway::start_gate::StartReads;
use crate::gateway::store_era::EraChange;
use crate::gateway::store_era::EraWatch;
use crate::gateway::usage_ledger::HostIncarnation;
use crate::gateway::usage_ledger::UsageLedger;
use crate::gateway::version_census::ListedServer;
use crate::gateway::version_census::ReturnedVersion;
use crate::gateway::version_keeper::VersionSync;
use crate::gateway::version_ledger::DirectoryView;
use crate::gateway::version_ledger::VersionLedger;
use crate::gateway::waiting::line_driver::LineDriver;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::part_suspects::FLEET_PACE;
use crate::part_suspects::LARGE_FLEET_PACE;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;
use crate::timestamp::wall_clock_ms;
use crate::verdict_table::PartVerdict;
use crate::verdict_table::VerdictState;
use crate::work_parts::WorkParts;

/// Budget of the bytes buffered from servers.
const BUFFER_BUDGET_BYTES: usize = 48 << 20;

/// Budget of the bodies of callers whose requests are not finished.
const CALLER_BUDGET_BYTES: usize = 48 << 20;

/// Where a change of a verdict comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictSource {
    /// This host's own judgement.
    Own,
    /// A peer's summary.
    Peer,
    /// The store.
    Store,
}

/// State of one host. A part is borrowed for one decision only, never across an `await`.
pub struct GatewayState {
    /// Current settings.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Monotonic clock that times decisions.
    pub clock: ProcessClock,
    /// Name and incarnation of this process.
    pub incarnation: HostIncarnation,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Connections to servers and the platform.
    pub pool: ConnectionPool,
    /// Budget of the bytes buffered from servers.
    pub buffers: BufferBudget,
    /// Budget of the bodies of callers.
    pub caller_buffers: BufferBudget,
    /// Servers whose processes may have ended since their entries were read.
    pub doubts: RefCell<ProcessDoubts>,
    /// Era of the platform's store.
    pub store_era: EraWatch,
    /// Current configuration.
    pub config: RefCell<ActiveConfig>,
    /// When the configuration was last read.
    pub config_reads: RefCell<ReadHistory>,
    /// Backend servers.
    pub directory: RefCell<BackendDirectory>,
    /// Up to where this host knows the directory.
    pub directory_coverage: RefCell<DirectoryCoverage>,
    /// Directory changes to send to peers.
    pub directory_gossip: RefCell<DirectoryGossip>,
    /// Servers that this host can open connections to.
    pub reach: RefCell<ReachTable>,
    /// Peers that could not forward attempts.
    pub forwarders: RefCell<ForwarderTable>,
    /// Notified when a connection could not be opened.
    pub trial_hint: Notify,
    /// Load and cached prompt prefixes of the servers.
    pub placement: RefCell<PlacementTable>,
    /// Retry budget.
    pub retries: RefCell<RetryLimiter>,
    /// Quotas.
    pub quotas: RefCell<QuotaLimiter>,
    /// Requests that wait for a server or for quota.
    pub waiting: LineDriver,
    /// Usage counts.
    pub ledger: RefCell<UsageLedger>,
    /// Software versions at which streams began.
    pub versions: RefCell<VersionLedger>,
    /// Reads and records of these versions.
    pub version_sync: VersionSync,
    /// Roll-outs of software versions.
    pub rollouts: RefCell<RolloutBook>,
    /// Reads and records of roll-outs.
    pub rollout_sync: RolloutSync,
    /// Requests suspected of crashing servers.
    pub crashes: RefCell<CrashTracker>,
    /// Probes of servers that lost attempts.
    pub probes: ProcessProbes,
    /// Rates of requested tokens.
    pub demand: RefCell<DemandMeter>,
    /// Late answers.
    pub lateness: RefCell<LatenessMeter>,
    /// Demand for each service as it is stated to peers.
    pub levels: RefCell<DemandLevels>,
    /// Summaries and addresses of the peers.
    pub peers: RefCell<PeerTable>,
    /// Whether peers reported spending that the quotas do not count yet.
    pub has_new_spending: Cell<bool>,
    /// Notified when a peer has a newer configuration.
    pub config_hint: Notify,
    /// Whether a peer read directory changes that this host has not received.
    pub directory_hint: Cell<bool>,
    /// Notified when a summary should be sent to peers at once.
    pub summary_hint: Notify,
    /// Notified when this host's quota spending should be recorded in the store.
    pub record_hint: Notify,
    /// Notified when a verdict changed.
    pub verdict_hint: Notify,
    /// Whether the quota spending from before this host's start was read, or cannot be read.
    pub spending_known: Cell<bool>,
    /// Whether what must be read before the first connection was read.
    pub start_gate: RefCell<StartGate>,
    /// Plan of the graceful shutdown, once it was requested.
    pub shutdown: Cell<Option<ShutdownPlan>>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
    /// Whether the process is about to exit, and drops what is still running.
    pub stopped: Cell<bool>,
}

impl GatewayState {
    /// Builds the state of a host that has read neither configuration nor directory.
    pub fn new(settings: GatewaySettings, metrics: GatewayMetrics) -> Self {
        let incarnation = (settings.host.clone(), Incarnation(wall_clock_ms()));
        let window_ms = u64::try_from(settings.usage_window.as_millis()).unwrap_or(u64::MAX);
        let clock = ProcessClock::start();
        let mut quotas = QuotaLimiter::new(settings.quotas).with_host(&settings.host);
        if !settings.first_start {
            quotas.assume_spent(clock.now());
        }
        let spending_known = Cell::new(settings.first_start);
        Self {
            clock,
            metrics,
            store_era: EraWatch::new(incarnation.1.0),
            pool: ConnectionPool::from_address(settings.front.ip()),
            buffers: BufferBudget::new(BUFFER_BUDGET_BYTES),
            caller_buffers: BufferBudget::new(CALLER_BUDGET_BYTES),
            doubts: RefCell::default(),
            config: RefCell::default(),
            config_reads: RefCell::default(),
            directory: RefCell::default(),
            directory_coverage: RefCell::default(),
            directory_gossip: RefCell::default(),
            reach: RefCell::default(),
            forwarders: RefCell::default(),
            trial_hint: Notify::new(),
            placement: RefCell::new(PlacementTable::new(settings.zone.clone())),
            retries: RefCell::new(RetryLimiter::new(settings.retries)),
            quotas: RefCell::new(quotas),
            waiting: LineDriver::default(),
            ledger: RefCell::new(UsageLedger::new(incarnation.clone(), window_ms)),
            versions: RefCell::default(),
            version_sync: VersionSync::default(),
            rollouts: RefCell::new(RolloutBook::new(incarnation.clone(), settings.rollouts)),
            rollout_sync: RolloutSync::default(),
            crashes: RefCell::default(),
            probes: ProcessProbes::default(),
            demand: RefCell::default(),
            lateness: RefCell::default(),
            levels: RefCell::new(DemandLevels::new(clock.now())),
            peers: RefCell::new(PeerTable::new(settings.host.clone(), settings.zone.clone())),
            has_new_spending: Cell::new(false),
            config_hint: Notify::new(),
            directory_hint: Cell::new(false),
            summary_hint: Notify::new(),
            record_hint: Notify::new(),
            verdict_hint: Notify::new(),
            spending_known,
            start_gate: RefCell::default(),
            shutdown: Cell::new(None),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            stopped: Cell::new(false),
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Applies changed settings. The host's name, its addresses and the length of usage windows stay
    /// as they were at startup.
    pub fn apply_settings(&self, settings: GatewaySettings) {
        self.retries.borrow_mut().set_bounds(settings.retries);
        self.quotas.borrow_mut().set_bounds(settings.quotas);
        self.rollouts.borrow_mut().set_bounds(settings.rollouts);
        *self.settings.borrow_mut() = Rc::new(settings);
        self.waiting.on_change(self.now());
    }

    /// Returns the current time on the process's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the instant at which the process's clock shows a time.
    pub fn instant_of(&self, time: Timestamp) -> Instant {
        self.clock.instant_of(time)
    }

    /// Records the era of the store in a response, or in a peer's summary. After a restore, the
    /// configuration and the directory are read at once.
    pub fn observe_era(&self, era: StoreEra) {
        let change = self.store_era.observe(era, wall_clock_ms());
        self.versions.borrow_mut().on_era(self.now(), era);
        self.rollouts.borrow_mut().on_era(self.now(), era);
        if change == EraChange::Restored {
            self.metrics.events.with_label_values(&["store_restored"]).inc();
            log::warn!("event=store_restored era={}", era.0);
            self.config_hint.notify_one();
            self.directory_hint.set(true);
            self.version_sync.request_record();
        }
    }

    /// Returns how this host's directory relates to those of its peers, by what they told since a time.
    pub fn directory_view(&self, since: Timestamp) -> DirectoryView {
        let times = self.directory.borrow().read_times();
        let is_newest = times
            .is_some_and(|ReadTimes { own, newest }| newest.since(own) <= STORE_OUTAGE_THRESHOLD);
        let (now, peers) = (self.now(), self.peers.borrow());
        match is_newest && !peers.is_partitioned(now) && peers.has_news_since(now, since) {
            true => DirectoryView::Shared,
            false => DirectoryView::Outdated,
        }
    }

    /// Records which software versions the directory lists.
    pub fn observe_versions(&self) {
        rollout_keeper::observe_versions(self);
        let now = self.now();
        let mut versions = self.versions.borrow_mut();
        let directory = self.directory.borrow();
        let listed = directory.iter().map(|(_, server)| ListedServer {
            service: &server.entry.service,
            version: &server.entry.version,
            is_staying: server.draining_since.is_none(),
        });
        let returned = versions.census_mut().observe(now, listed);
        for ReturnedVersion { service, version } in &returned {
            log::info!("event=version_returned service={service} version={version}");
        }
        versions.on_returned(now, &returned);
    }

    /// Counts what peers reported since the last call. Hundreds of summaries may arrive between two
    /// decisions on quotas.
    pub fn update_peer_spending(&self) {
        if self.has_new_spending.take() {
            self.quotas.borrow_mut().set_peer_spending(&self.peers.borrow().spending());
        }
    }

    /// Returns whether the host accepts new connections.
    pub fn is_ready(&self) -> bool {
        let reads = StartReads {
            config: self.config.borrow().current().is_some(),
            spending: self.spending_known.get(),
            hosts: self.peers.borrow().knows_fleet(),
        };
        self.start_gate.borrow_mut().is_open(self.now(), reads) && self.shutdown.get().is_none()
    }

    /// Spends a retry from this host's share of a service's retry budget. Returns whether the retry
    /// may be made.
    pub fn try_retry(&self, now: Timestamp, service: &ServiceName, purpose: RetryPurpose) -> bool {
        let hosts = self.peers.borrow().possible_hosts();
        let granted = self.retries.borrow_mut().try_spend(now, service, hosts, purpose);
        if !granted {
            self.metrics.events.with_label_values(&["retry_budget_empty"]).inc();
            log::info!(
                "event=retry_budget_empty service={service} hosts={hosts} purpose={purpose:?}"
            );
        }
        granted
    }

    /// Records that a server says that it is leaving.
    pub fn on_departure(
        &self,
        server: &ServerId,
        started_at_ms: Option<u64>,
        source: DepartureSource,
    ) {
        let now = self.now();
        let effect = self.directory.borrow_mut().on_departure(now, server, started_at_ms, source);
        if effect != DirectoryEffect::Unchanged {
            log::info!("event=server_departure server={server} source={source:?}");
            self.on_directory_effect(effect);
            self.summary_hint.notify_one();
        }
    }

    /// Records that a trial's connection to a server stayed open. Returns whether requests may be sent on it.
    pub fn on_trial_opened(&self, key: ServerKey, service: &ServiceName) -> bool {
        let now = self.now();
        let listed = self.listed_servers(service);
        let is_usable = !self.reach.borrow().loses_requests(now, key, service);
        let change = self.reach.borrow_mut().on_stayed_open(now, key, service, &listed);
        self.record_reach(service, change, listed.len());
        is_usable
    }

    /// Records that a server answered on a new connection.
    pub fn on_server_opened(&self, key: ServerKey, service: &ServiceName) {
        let now = self.now();
        let listed = self.listed_servers(service);
        let change = self.reach.borrow_mut().on_opened(now, key, service, &listed);
        self.record_reach(service, change, listed.len());
    }

    /// Records that a connection to a server could not be opened.
    pub fn on_server_unopened(
        &self,
        key: ServerKey,
        service: &ServiceName,
        begun_at: Timestamp,
        failure: OpenFailure,
    ) {
        let now = self.now();
        let listed = self.listed_servers(service);
        let heard = self.reach.borrow().heard_age(now, key);
        let change =
            self.reach.borrow_mut().on_open_failed(now, key, service, (begun_at, failure), &listed);
        let heard = heard.map_or("-".to_owned(), |age| age.as_millis().to_string());
        let server = self.server_label(key);
        log::info!(
            "event=server_unopened server={server} service={service} failure={failure:?} heard_ms={heard}"
        );
        self.record_reach(service, change, listed.len());
        self.trial_hint.notify_one();
    }

    /// Records that a peer got an answer from a server.
    pub fn on_peer_answered(&self, key: ServerKey, service: &ServiceName) {
        self.reach.borrow_mut().on_peer_answered(self.now(), key, service);
    }

    /// Finds out whether this host still reaches a server that is silent.
    pub fn check_reach(self: &Rc<Self>, key: ServerKey) {
        let directory = self.directory.borrow();
        let Some(server) = directory.get(key) else { return };
        if self.reach.borrow_mut().begin_trial(key) {
            let service = server.entry.service.clone();
            tokio::task::spawn_local(trial_runner::try_server(self.clone(), key, service));
        }
    }

    /// Ends suspicions that are old.
    pub fn expire_reach(&self) {
        let ended = self.reach.borrow_mut().expire(self.now());
        for service in ended {
            let servers = self.listed_servers(&service).len();
            self.record_reach(&service, ReachChange::Regained, servers);
        }
    }

    /// Returns the staying servers of each service with servers that this host does not reach.
    pub fn unreached_servers(&self) -> Vec<(ServiceName, Vec<ServerKey>)> {
        let services: BTreeSet<ServiceName> = {
            let (directory, reach) = (self.directory.borrow(), self.reach.borrow());
            let unopened = reach.unopened_servers().filter_map(|key| directory.get(key));
            let unopened = unopened.map(|server| server.entry.service.clone());
            unopened.chain(reach.unreached_services().cloned()).collect()
        };
        let listed = |service: ServiceName| {
            let servers = self.listed_servers(&service);
            (service, servers)
        };
        services.into_iter().map(listed).collect()
    }

    /// Chooses a peer that forwards attempts at a service.
    pub fn choose_forwarder(
        &self,
        service: &ServiceName,
        excluded: &[HostId],
    ) -> Option<ForwarderPeer> {
        let now = self.now();
        let scope = self.peers.borrow().forwarder_scope(now, service);
        let forwarders = self.forwarders.borrow();
        let usable = forwarders.usable(now, &scope, service, excluded);
        choose_forwarder(usable, &scope, &self.incarnation.0, &mut rand::rng())
    }

    /// Logs a change of what is believed of a service.
    fn record_reach(&self, service: &ServiceName, change: ReachChange, servers: usize) {
        let event = match change {
            ReachChange::Unchanged => return,
            ReachChange::Suspected => "service_unreached",
            ReachChange::Partitioned => "service_partitioned",
            ReachChange::Regained => "service_reached",
        };
        self.metrics.events.with_label_values(&[event]).inc();
        let unreached = self.reach.borrow().unreached_services().count();
        let level = i64::try_from(unreached).unwrap_or(i64::MAX);
        self.metrics.levels.with_label_values(&["unreached_services"]).set(level);
        log::warn!("event={event} service={service} servers={servers}");
        self.summary_hint.notify_one();
        self.waiting.on_change(self.now());
    }

    /// Returns the servers of a service that are not leaving.
    fn listed_servers(&self, service: &ServiceName) -> Vec<ServerKey> {
        let directory = self.directory.borrow();
        let staying =
            directory.of_service(service).filter(|(_, server)| server.draining_since.is_none());
        staying.map(|(key, _)| key).collect()
    }

    /// Returns the identifier of a server, also of one that has left the directory.
    pub fn server_label(&self, key: ServerKey) -> String {
        let directory = self.directory.borrow();
        directory.get(key).map_or("gone".to_owned(), |server| server.entry.id.to_string())
    }

    /// Merges what a server states of its limit for all hosts together.
    pub fn on_limit_statement(
        &self,
        server: &ServerId,
        started_at_ms: Option<u64>,
        statement: LimitStatement,
        source: LimitSource,
    ) {
        let now = self.now();
        let change = {
            let mut placement = self.placement.borrow_mut();
            let limits = placement.limits_mut();
            if limits.is_empty() && matches!(statement, LimitStatement::Unnamed { .. }) {
                return;
            }
            limits.on_statement(now, server, started_at_ms, statement, source)
        };
        if change != LimitChange::Unchanged {
            self.refresh_limit(now, server);
            let age = now.since(statement.at());
            self.log_limit_change(server, change, &format!("{source:?}"), age);
            self.summary_hint.notify_one();
        }
    }

    /// Puts into force what servers have stated of their limits for long enough, and updates this host's
    /// parts of them.
    pub fn refresh_limits(&self) {
        let now = self.now();
        if self.placement.borrow().limits().is_empty() {
            return;
        }
        let changes = self.placement.borrow_mut().limits_mut().settle(now);
        let mut fleets: BTreeMap<ServiceName, LimitFleet> = BTreeMap::new();
        self.placement.borrow_mut().limits_mut().set_parts(now, |server, rate| {
            let Some(service) = self.listed_service(server) else { return LimitListing::Unlisted };
            let fleet =
                fleets.entry(service).or_insert_with_key(|service| self.limit_fleet(now, service));
            LimitListing::Listed(fleet.part(server, rate))
        });
        for (server, change) in changes {
            self.log_limit_change(&server, change, "Settled", Duration::ZERO);
        }
        self.count_limits();
    }

    /// Updates this host's part of one server's limit.
    fn refresh_limit(&self, now: Timestamp, server: &ServerId) {
        let service = self.listed_service(server);
        let fleet = service.map(|service| self.limit_fleet(now, &service));
        self.placement.borrow_mut().limits_mut().set_part(now, server, |rate| match fleet {
            Some(fleet) => LimitListing::Listed(fleet.part(server, rate)),
            None => LimitListing::Unlisted,
        });
        self.count_limits();
    }

    fn listed_service(&self, server: &ServerId) -> Option<ServiceName> {
        let directory = self.directory.borrow();
        Some(directory.get(directory.find(server)?)?.entry.service.clone())
    }

    /// Returns the hosts that may send to the servers of a service.
    fn limit_fleet(&self, now: Timestamp, service: &ServiceName) -> LimitFleet {
        let own_level = match self.shutdown.get() {
            Some(_) => DemandLevel::NONE,
            None => self.levels.borrow().known_level(now, service),
        };
        self.peers.borrow().limit_fleet(now, service, own_level)
    }

    /// Updates the metrics of learned speeds, and logs those that changed.
    pub fn report_speeds(&self) {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        let speeds = placement.speeds_mut();
        for LearnedSpeed { service, tokens_per_ms, fixed, age, servers } in speeds.learned(now) {
            let set = |name: &str, value: u128| {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                self.metrics.speeds.with_label_values(&[service.as_str(), name]).set(value);
            };
            set("prefill_tokens_per_s", (tokens_per_ms * 1_000.0) as u128);
            set("fixed_first_event_us", fixed.as_micros());
            set("age_ms", age.as_millis());
            set("measured_servers", servers as u128);
        }
        for LearnedSpeed { service, tokens_per_ms, fixed, age, servers } in speeds.take_changes(now)
        {
            log::info!(
                "event=speed_learned service={service} prefill_per_s={:.0} fixed_us={} age_ms={} \
                 servers={servers}",
                tokens_per_ms * 1_000.0,
                fixed.as_micros(),
                age.as_millis(),
            );
        }
    }

    fn count_limits(&self) {
        let placement = self.placement.borrow();
        let (mut count, mut named, mut held) = (0, 0, 0);
        for (limit, part) in placement.limits().in_force() {
            count += 1;
            named += i64::try_from(limit.per_1000_s()).unwrap_or(i64::MAX);
            held += part.map_or(0, |part| (part.rate * 1_000.0) as i64);
        }
        let levels = &self.metrics.levels;
        levels.with_label_values(&["limited_servers"]).set(count);
        levels.with_label_values(&["limits_named_per_1000_s"]).set(named);
        levels.with_label_values(&["limits_held_per_1000_s"]).set(held);
    }

    fn log_limit_change(
        &self,
        server: &ServerId,
        change: LimitChange,
        source: &str,
        age: Duration,
    ) {
        let (event, limit) = match change {
            LimitChange::Unchanged => return,
            LimitChange::InForce(limit) => ("server_limit_named", limit.per_second()),
            LimitChange::Ended => ("server_limit_ended", 0.0),
        };
        self.metrics.events.with_label_values(&[event]).inc();
        let part = self.placement.borrow().limits().part(server).unwrap_or_default();
        log::info!(
            "event={event} server={server} limit_per_s={limit} source={source} age_ms={} \
             part_per_s={:.3}",
            age.as_millis(),
            part.rate,
        );
    }

    /// Records that a server's process exited. Requests that were lost with it may have crashed it.
    pub fn on_server_gone(&self, server: &ServerId, evidence: ExitEvidence) {
        let lost = self.crashes.borrow_mut().on_server_gone(self.now(), server);
        if lost.is_empty() {
            return;
        }
        self.metrics.events.with_label_values(&["server_crashed"]).inc();
        let parts: WorkParts = lost.iter().flat_map(|lost| lost.parts.iter()).collect();
        log::info!(
            "event=server_crashed server={server} evidence={evidence:?} suspects={} parts={parts}",
            lost.len(),
        );
        self.summary_hint.notify_one();
    }

    /// Judges recent crashes and logs new verdicts on parts of requests.
    pub fn judge_crashes(&self) {
        let now = self.now();
        let (is_large, view) = {
            let peers = self.peers.borrow();
            (peers.is_large_fleet(), peers.fleet_view(now))
        };
        let pace = if is_large { LARGE_FLEET_PACE } else { FLEET_PACE };
        let changed = {
            let mut crashes = self.crashes.borrow_mut();
            crashes.suspects_mut().set_pace(pace);
            crashes.judge(now, wall_clock_ms(), view)
        };
        changed.iter().for_each(|verdict| self.on_verdict(verdict, VerdictSource::Own));
        let in_force = self.crashes.borrow().suspects().verdicts().in_force().count();
        let in_force = i64::try_from(in_force).unwrap_or(i64::MAX);
        self.metrics.levels.with_label_values(&["crash_verdicts"]).set(in_force);
    }

    /// Merges a verdict that a peer or the store tells.
    pub fn merge_verdict(&self, verdict: PartVerdict, source: VerdictSource) {
        let now = self.now();
        if self.crashes.borrow_mut().suspects_mut().merge_verdict(now, verdict.clone()) {
            self.on_verdict(&verdict, source);
        }
    }

    fn on_verdict(&self, verdict: &PartVerdict, source: VerdictSource) {
        let PartVerdict { parts, state, changed_ms, crashes } = verdict;
        let event = match state {
            VerdictState::InForce => "crash_verdict",
            VerdictState::Lifted => "crash_verdict_lifted",
        };
        self.metrics.events.with_label_values(&[event]).inc();
        log::warn!(
            "event={event} parts={parts} crashes={crashes} changed_ms={changed_ms} source={source:?}"
        );
        self.summary_hint.notify_one();
        self.verdict_hint.notify_one();
    }

    /// Propagates a directory change to the placement and crash state, and logs it.
    pub fn on_directory_effect(&self, effect: DirectoryEffect) {
        let (event, key) = match effect {
            DirectoryEffect::Joined(key) => ("server_joined", key),
            DirectoryEffect::Restarted(key) => ("server_restarted", key),
            DirectoryEffect::Draining(key) => ("server_leaving", key),
            DirectoryEffect::Removed(key) => {
                // The removal was logged with the server's name when it was read from the store.
                self.metrics.events.with_label_values(&["server_gone"]).inc();
                self.placement.borrow_mut().remove(key);
                self.reach.borrow_mut().forget(key);
                return;
            }
            DirectoryEffect::Unchanged => return,
        };
        match effect {
            DirectoryEffect::Joined(_) => {
                self.placement.borrow_mut().reset(key);
                self.record_joined(key);
            }
            DirectoryEffect::Restarted(_) => {
                self.placement.borrow_mut().reset(key);
                self.record_joined(key);
                let entry = self.directory.borrow().get(key).map(|server| server.entry.clone());
                if let Some(BackendEntry { id, started_at_ms, .. }) = entry {
                    self.placement.borrow_mut().limits_mut().on_restarted(&id, started_at_ms);
                    self.on_server_gone(&id, ExitEvidence::Restarted);
                }
            }
            DirectoryEffect::Removed(_)
            | DirectoryEffect::Draining(_)
            | DirectoryEffect::Unchanged => {}
        }
        self.record_server_event(event, key);
        self.waiting.on_change(self.now());
    }

    /// Records that a server joined or restarted, with the version of its software.
    fn record_joined(&self, key: ServerKey) {
        let directory = self.directory.borrow();
        if let Some(server) = directory.get(key) {
            let (service, version) = (&server.entry.service, &server.entry.version);
            self.versions.borrow_mut().on_joined(self.now(), service, version);
            self.placement.borrow_mut().speeds_mut().on_joined(key, service);
            self.reach.borrow_mut().on_new_process(self.now(), key, service);
            self.trial_hint.notify_one();
        }
    }

    /// Counts and logs an event about a server.
    pub fn record_server_event(&self, event: &str, key: ServerKey) {
        self.metrics.events.with_label_values(&[event]).inc();
        match self.directory.borrow().get(key) {
            Some(server) => {
                let entry = &server.entry;
                log::info!(
                    "event={event} server={} version={} service={} zone={} address={} state={:?}",
                    entry.id,
                    entry.version,
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
