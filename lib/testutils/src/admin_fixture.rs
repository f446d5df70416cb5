//! Administration API on a loopback port, backed by an in-memory log.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use pomelostack_lib::admin_access::OperatorAccess;
use pomelostack_lib::admin_access::OperatorRole;
use pomelostack_lib::admin_access::OperatorToken;
use pomelostack_lib::admin_server::AdminServer;
use pomelostack_lib::admin_service::AdminService;
use pomelostack_lib::admin_sources::AdminSources;
use pomelostack_lib::config_follower::ConfigFollower;
use pomelostack_lib::config_snapshot::FollowerOptions;
use pomelostack_lib::log_service::LogService;
use pomelostack_lib::protos::admin::BurnWindow;
use pomelostack_lib::protos::admin::FleetMember;
use pomelostack_lib::protos::admin::RequestState;
use pomelostack_lib::resource::TokenHash;
use tokio::runtime::Runtime;

use crate::config_samples::TEST_TIMEOUT;
use crate::config_samples::follower_options;
use crate::log_fake::LogFake;

/// Operator token that allows all calls.
pub const WRITE_TOKEN: &str = "write-token";
/// Operator token that allows read calls only.
pub const READ_TOKEN: &str = "read-token";
/// Id of the only request that the fixture knows.
pub const KNOWN_REQUEST: &str = "00000000000000aa-0000000000000001";

/// A running administration API.
pub struct AdminFixture {
    /// Log that the API reads and writes.
    pub log: Arc<LogFake>,
    /// Config follower that the API reads from.
    pub follower: Arc<ConfigFollower>,
    /// Runtime of the API server.
    pub runtime: Runtime,
    server: AdminServer,
}

impl AdminFixture {
    /// Starts the API on a free port.
    pub fn start() -> Self {
        Self::start_with(follower_options())
    }

    /// Starts the API on a free port, with a config follower with the given options.
    pub fn start_with(options: FollowerOptions) -> Self {
        let log = Arc::new(LogFake::new());
        let service: Arc<dyn LogService> = Arc::clone(&log) as Arc<dyn LogService>;
        let follower = ConfigFollower::start(service, options).expect("thread starts");
        follower.wait_for_read(TEST_TIMEOUT);
        let follower = Arc::new(follower);
        let runtime = Runtime::new().expect("runtime starts");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let service = AdminService::new(Arc::clone(&follower), access(), sources());
        let server = AdminServer::start(runtime.handle(), address, service).expect("server starts");
        Self { log, follower, runtime, server }
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn access() -> OperatorAccess {
    let token = |operator: &str, role, token| OperatorToken {
        operator: operator.to_owned(),
        role,
        hash: TokenHash::of(token),
    };
    OperatorAccess::new(vec![
        token("ada", OperatorRole::Write, WRITE_TOKEN),
        token("bob", OperatorRole::Read, READ_TOKEN),
    ])
}

fn sources() -> AdminSources {
    AdminSources {
        fleet: Box::new(|| {
            let member = |id: &str, state: &str| FleetMember {
                id: id.to_owned(),
                host: format!("{id}-host"),
                address: "127.0.0.1:9000".to_owned(),
                zone: "salish-a".to_owned(),
                service: "lookup".to_owned(),
                state: state.to_owned(),
                drained: false,
                in_flight: 3,
            };
            vec![member("server-1", "live"), member("server-2", "leaving")]
        }),
        requests: Box::new(|id| {
            (id.to_string() == KNOWN_REQUEST).then(|| RequestState {
                request_id: id.to_string(),
                service: "lookup".to_owned(),
                state: "running".to_owned(),
                attempts: 2,
                ..Default::default()
            })
        }),
        burn: Box::new(|| {
            let window = |service: &str| BurnWindow {
                service: service.to_owned(),
                window_ms: 300_000,
                requests: 1_000,
                within_target: 940,
                burn_permille: 1_200,
            };
            vec![window("briefing"), window("lookup")]
        }),
    }
}
