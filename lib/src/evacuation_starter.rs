//! Starts an evacuation for each reclaim notice of the cloud.
//!
//! Each plan covers all servers of the affected services and every notice still in force. This
//! handles a second notice during an evacuation and a transfer target that is itself reclaimed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::cloud::ReclaimNotice;
use crate::evacuation::EvacuationRates;
use crate::evacuation::EvacuationServer;
use crate::evacuation_runner::EvacuationRunner;
use crate::ids::HostId;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::request_router::RequestRouter;
use crate::request_router::ServerInfo;
use crate::request_router::ServerState;
use crate::session_ports::SessionPorts;
use crate::session_ports::lock;
use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Estimated time to generate one token.
const TOKEN_TIME: Duration = Duration::from_millis(46);
/// Estimated tokens of KV cache that one server sends or receives per second.
const TRANSFER_TOKENS_PER_SECOND: u32 = 50_000;
/// Time after its announced shutdown for which a host still counts as leaving.
const NOTICE_RETENTION: Duration = Duration::from_secs(60);

/// Plans and starts evacuations.
pub struct EvacuationStarter {
    clock: ProcessClock,
    router: Arc<Mutex<RequestRouter>>,
    runner: Arc<EvacuationRunner>,
    leaving: Mutex<BTreeMap<HostId, Timestamp>>,
}

impl EvacuationStarter {
    /// Builds a starter for the sessions of one host.
    pub fn new(ports: SessionPorts) -> Self {
        let rates = EvacuationRates {
            token_time: TOKEN_TIME,
            transfer_tokens_per_second: TRANSFER_TOKENS_PER_SECOND,
        };
        Self {
            clock: ports.clock,
            router: ports.router.clone(),
            runner: Arc::new(EvacuationRunner::new(ports, rates)),
            leaving: Mutex::default(),
        }
    }

    /// Evacuates the host of a reclaim notice on a separate thread.
    pub fn on_notice(&self, notice: &ReclaimNotice) {
        let servers = self.list_servers(notice);
        let runner = self.runner.clone();
        let host = notice.host.clone();
        let thread = std::thread::Builder::new().name("evacuation".into()).spawn(move || {
            let moves = runner.evacuate(&servers);
            let tokens: u64 =
                moves.iter().map(|planned| u64::from(planned.recomputed_tokens)).sum();
            log::info!(
                "event=evacuated host={host} streams={} recomputed_tokens={tokens}",
                moves.len()
            );
        });
        if let Err(error) = thread {
            log::error!("event=evacuation_not_started error=\"{error}\"");
        }
    }

    /// Records the notice and returns all servers of the services that run on leaving hosts.
    fn list_servers(&self, notice: &ReclaimNotice) -> Vec<EvacuationServer> {
        let now = self.clock.now();
        let mut leaving = lock(&self.leaving);
        leaving.retain(|_, leaves_at| now.since(*leaves_at) < NOTICE_RETENTION);
        leaving.insert(notice.host.clone(), now + Duration::from_millis(notice.left_ms));
        let router = lock(&self.router);
        let services: BTreeSet<ServiceName> = router
            .servers()
            .filter(|(_, server)| leaving.contains_key(&server.host))
            .map(|(_, server)| server.service.clone())
            .collect();
        let affected = router.servers().filter(|(_, server)| services.contains(&server.service));
        affected.map(|(key, server)| describe(&router, &leaving, key, server)).collect()
    }
}

fn describe(
    router: &RequestRouter,
    leaving: &BTreeMap<HostId, Timestamp>,
    key: ServerKey,
    server: &ServerInfo,
) -> EvacuationServer {
    let leaves_at = leaving.get(&server.host).copied();
    let free_slots = match server.state {
        ServerState::Live => server.concurrency.saturating_sub(router.in_flight(key)),
        ServerState::Leaving | ServerState::Suspected => 0,
    };
    EvacuationServer { key, leaves_at, free_slots, cached_blocks: BTreeSet::new() }
}
