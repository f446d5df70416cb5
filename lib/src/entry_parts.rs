//! Builds the components of an entry host from its settings.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::admin_access::OperatorAccess;
use crate::admin_server::AdminServer;
use crate::admin_service::AdminService;
use crate::admin_sources::AdminSources;
use crate::answer_store::AnswerStore;
use crate::answer_table::AnswerLimits;
use crate::checkpoint_duty::CheckpointSchedule;
use crate::claim_keeper;
use crate::claim_keeper::ClaimKeeper;
use crate::claim_port::LogClaimPort;
use crate::claim_record::Claimant;
use crate::claim_writer::WriterSettings;
use crate::cloud_client::CloudClient;
use crate::config_follower::ConfigFollower;
use crate::config_snapshot::FollowerOptions;
use crate::crash_suspects::CrashSuspects;
use crate::entry::Result;
use crate::entry::io_error;
use crate::entry_peer::EntryPeerHandler;
use crate::front_door::FrontDoor;
use crate::host_list_client::HostListClient;
use crate::http_client::HttpClientLimits;
use crate::http_listener::HttpListener;
use crate::http_listener::ReplyFuture;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::log_client::LogClient;
use crate::log_service::LogService;
use crate::member_config::MembershipConfig;
use crate::member_record::MemberRecord;
use crate::member_record::MemberStatus;
use crate::member_record::host_hash;
use crate::member_record::process_incarnation;
use crate::member_snapshot::MemberState;
use crate::membership_service;
use crate::membership_service::MembershipService;
use crate::peer_client::PeerTimeouts;
use crate::peer_link::ClusterSecret;
use crate::request_router::RequestRouter;
use crate::resource::PolicyResource;
use crate::retry_budget::RetryBudget;
use crate::server_connector::HttpConnector;
use crate::server_follower::FollowerPorts;
use crate::server_follower::NoticeHandler;
use crate::server_follower::ServerFollower;
use crate::session_ports::SessionCounters;
use crate::session_ports::SessionPorts;
use crate::session_registry::SessionRegistry;
use crate::settings::EntrySettings;
use crate::timestamp::ProcessClock;

/// Worker threads of the runtime that drives sockets.
const RUNTIME_THREADS: usize = 2;
/// Records after the newest configuration checkpoint that cause the next checkpoint.
const CHECKPOINT_RECORDS: u64 = 500;
/// Maximum time that the publisher of a configuration change waits to read its own record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between appends of claims; an append batches all claims made since the previous one.
const CLAIM_APPEND_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of pending claims.
const MAX_PENDING_CLAIMS: usize = 4_096;
/// Bytes of stored answers per idempotency key. The bound for all stored answers is this times the
/// maximum number of keys.
const CLAIM_ANSWER_BYTES_PER_KEY: usize = 128;

/// Builds the runtime that drives sockets.
pub fn build_runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name("sockets")
        .enable_all()
        .build()
        .map_err(io_error("the runtime"))
}

/// Builds the client of the platform's log.
pub fn build_log(settings: &EntrySettings) -> Arc<dyn LogService> {
    Arc::new(LogClient::new(settings.platform.log, platform_limits(settings)))
}

/// Starts the configuration follower.
pub fn start_config(settings: &EntrySettings, log: Arc<dyn LogService>) -> Result<ConfigFollower> {
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

/// Starts the keeper of claimed idempotency keys.
pub fn start_claims(
    settings: &EntrySettings,
    incarnation: Incarnation,
    log: Arc<dyn LogService>,
    clock: ProcessClock,
) -> Arc<ClaimKeeper> {
    let writer = WriterSettings {
        claimant: Claimant { host: settings.host.clone(), incarnation },
        key_retention: PolicyResource::default().key_retention,
        max_keys: settings.memory.claims,
        max_answer_bytes: settings.memory.claims.saturating_mul(CLAIM_ANSWER_BYTES_PER_KEY),
        max_pending: MAX_PENDING_CLAIMS,
        append_interval: CLAIM_APPEND_INTERVAL,
    };
    let keeper_settings =
        claim_keeper::KeeperSettings { writer, read_interval: settings.calls.log_poll_interval };
    ClaimKeeper::start(keeper_settings, log, clock)
}

/// Builds the port through which sessions claim idempotency keys.
///
/// A claimant counts as gone if its host is not a member, is unreachable or runs as another
/// incarnation. Requests that wait for its answer then get UNKNOWN at once.
pub fn build_claim_port(
    keeper: Arc<ClaimKeeper>,
    clock: ProcessClock,
    members: Arc<MembershipService>,
) -> Arc<LogClaimPort> {
    let is_alive = move |claimant: &Claimant| {
        let view = members.snapshot();
        let current_incarnation = if view.local.host == claimant.host {
            Some(process_incarnation(view.local.incarnation))
        } else {
            let found = view.find(&claimant.host);
            let reachable = found.filter(|member| member.state != MemberState::Unreachable);
            reachable.map(|member| member.process_incarnation)
        };
        current_incarnation == Some(claimant.incarnation)
    };
    Arc::new(LogClaimPort::new(keeper, clock, Box::new(is_alive)))
}

/// Builds the answer store.
pub fn build_answers(settings: &EntrySettings, clock: ProcessClock) -> Arc<AnswerStore> {
    let limits = AnswerLimits {
        max_entries: settings.memory.answers,
        max_bytes: settings.memory.answer_bytes,
        retention: PolicyResource::default().answer_retention,
    };
    Arc::new(AnswerStore::new(clock, limits))
}

/// Builds the clients of backend servers.
pub fn build_connector(settings: &EntrySettings) -> Arc<HttpConnector> {
    let limits = HttpClientLimits {
        connect_timeout: settings.calls.connect_timeout,
        ..HttpClientLimits::default()
    };
    Arc::new(HttpConnector::new(limits))
}

/// Builds the dependencies of sessions.
pub fn build_ports(
    settings: &EntrySettings,
    clock: ProcessClock,
    answers: Arc<AnswerStore>,
    connector: Arc<HttpConnector>,
    claim_port: Arc<LogClaimPort>,
    suspects: Arc<Mutex<CrashSuspects>>,
) -> SessionPorts {
    let router = RequestRouter::new(settings.zone.clone(), rand::random());
    let retry_percent = PolicyResource::default().retry_percent;
    SessionPorts {
        clock,
        router: Arc::new(Mutex::new(router)),
        connector,
        claims: Some(claim_port),
        answers,
        suspects,
        budget: Arc::new(Mutex::new(RetryBudget::new(retry_percent))),
        registry: Arc::new(SessionRegistry::new()),
        counters: Arc::new(SessionCounters::default()),
    }
}

/// Starts membership and the peer link.
pub fn start_members(
    settings: &EntrySettings,
    incarnation: Incarnation,
    handler: EntryPeerHandler,
    runtime: &tokio::runtime::Runtime,
) -> Result<Arc<MembershipService>> {
    let listener = TcpListener::bind(settings.listen.peer).map_err(io_error("the peer link"))?;
    let service_settings = membership_service::MembershipSettings {
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
    Ok(Arc::new(MembershipService::start(service_settings, Arc::new(handler), runtime.handle())?))
}

/// Builds the backend server follower.
pub fn build_follower(
    settings: &EntrySettings,
    clock: ProcessClock,
    config: Arc<ConfigFollower>,
    ports: &SessionPorts,
    connector: Arc<HttpConnector>,
    on_notice: NoticeHandler,
    members: Arc<MembershipService>,
) -> Arc<ServerFollower> {
    let limits = platform_limits(settings);
    let ports = FollowerPorts {
        clock,
        config,
        hosts: Arc::new(HostListClient::new(settings.platform.host_list, limits)),
        cloud: Arc::new(CloudClient::new(settings.platform.cloud, limits)),
        router: ports.router.clone(),
        connector,
        on_notice,
        on_hosts: Box::new(move |hosts| members.set_host_list(hosts)),
    };
    Arc::new(ServerFollower::new(ports, settings.calls.poll_interval))
}

/// Starts the administration API.
pub fn start_admin(
    settings: &EntrySettings,
    runtime: &tokio::runtime::Runtime,
    config: Arc<ConfigFollower>,
    sources: AdminSources,
) -> Result<AdminServer> {
    let access = OperatorAccess::new(settings.operators.clone());
    let service = AdminService::new(config, access, sources);
    AdminServer::start(runtime.handle(), settings.listen.admin, service)
        .map_err(io_error("the administration API"))
}

/// Starts the front door.
pub fn start_listener(
    settings: &EntrySettings,
    runtime: &tokio::runtime::Runtime,
    front_door: Arc<FrontDoor>,
) -> Result<HttpListener> {
    let handler = Arc::new(move |request| {
        let reply: ReplyFuture = Box::pin(front_door.clone().handle(request));
        reply
    });
    HttpListener::start(runtime.handle(), settings.listen.http, settings.front_door, handler)
        .map_err(io_error("the front door"))
}

fn platform_limits(settings: &EntrySettings) -> HttpClientLimits {
    HttpClientLimits {
        connect_timeout: settings.calls.connect_timeout,
        call_timeout: settings.calls.platform_timeout,
        ..HttpClientLimits::default()
    }
}

/// Returns the hashed rank of a host among all hosts, 0 to 999.
fn rank_permille(host: &HostId) -> u16 {
    u16::try_from(host_hash(host) % 1_000).unwrap_or_default()
}
