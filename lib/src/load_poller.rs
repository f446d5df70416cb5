//! Polls the engines' load reports and cache events for the router.
//!
//! A bounded number of threads poll in parallel, so an unresponsive server blocks only the thread
//! that polls it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::config_follower::ConfigFollower;
use crate::ids::ServerId;
use crate::ids::ServerKey;
use crate::request_router::RequestRouter;
use crate::request_router::ServerState;
use crate::resource::ServiceKind;
use crate::session_ports::ServerConnector;
use crate::session_ports::lock;
use crate::supervisor::ChildContext;
use crate::timestamp::ProcessClock;

/// Maximum number of servers polled in parallel.
const MAX_PARALLEL: usize = 4;
/// Stack size of a polling thread, in bytes.
const POLL_STACK_BYTES: usize = 128 * 1024;

/// Dependencies of [`LoadPoller`].
pub struct PollerPorts {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Configuration in force, which tells engines from app servers. Only engines are polled.
    pub config: Arc<ConfigFollower>,
    /// Router that receives the load reports and cache events.
    pub router: Arc<Mutex<RequestRouter>>,
    /// Clients of the servers.
    pub connector: Arc<dyn ServerConnector>,
}

/// One engine to poll.
#[derive(Clone, Debug)]
struct PollTarget {
    key: ServerKey,
    id: ServerId,
    address: SocketAddr,
}

/// Polls all engines at a fixed interval.
pub struct LoadPoller {
    ports: PollerPorts,
    interval: Duration,
    /// Sequence number of the next cache event to fetch, by server.
    next_events: Mutex<BTreeMap<ServerId, u64>>,
}

impl LoadPoller {
    /// Creates a poller that polls each engine once per `interval`.
    pub fn new(ports: PollerPorts, interval: Duration) -> Self {
        Self { ports, interval, next_events: Mutex::default() }
    }

    /// Polls until the child must stop.
    pub fn run(&self, context: &ChildContext) {
        while !context.must_stop() {
            self.poll_all(&|| context.report_progress());
            context.report_progress();
            thread::sleep(self.interval);
        }
    }

    /// Polls every engine once; calls `on_progress` after each.
    fn poll_all(&self, on_progress: &(dyn Fn() + Sync)) {
        let targets = self.list_targets();
        let next = AtomicUsize::new(0);
        let work = || {
            while let Some(target) = targets.get(next.fetch_add(1, Ordering::Relaxed)) {
                self.poll(target);
                on_progress();
            }
        };
        thread::scope(|scope| {
            for _ in 0..MAX_PARALLEL.min(targets.len()) {
                let thread = thread::Builder::new().stack_size(POLL_STACK_BYTES);
                if let Err(error) = thread.spawn_scoped(scope, work) {
                    log::warn!("event=poll_thread_failed error=\"{error}\"");
                }
            }
        });
    }

    fn list_targets(&self) -> Vec<PollTarget> {
        let snapshot = self.ports.config.current();
        let router = lock(&self.ports.router);
        let is_engine = |info: &crate::request_router::ServerInfo| {
            let service = snapshot.state.services.get(&info.service);
            service.is_some_and(|service| service.kind == ServiceKind::Model)
                && info.state != ServerState::Suspected
        };
        let engines = router.servers().filter(|(_, info)| is_engine(info));
        let targets: Vec<_> = engines
            .map(|(key, info)| PollTarget { key, id: info.id.clone(), address: info.address })
            .collect();
        drop(router);
        lock(&self.next_events).retain(|id, _| targets.iter().any(|target| target.id == *id));
        targets
    }

    /// Polls one engine. If a call fails, the router keeps its previous data.
    fn poll(&self, target: &PollTarget) {
        let engine = self.ports.connector.engine(target.address);
        match engine.load_report() {
            Ok(report) => {
                let now = self.ports.clock.now();
                lock(&self.ports.router).on_load_report(now, target.key, &report);
            }
            Err(error) => {
                log::debug!("event=load_report_failed server={} error=\"{error}\"", target.id);
                return;
            }
        }
        let from = lock(&self.next_events).get(&target.id).copied().unwrap_or_default();
        match engine.cache_events(from) {
            Ok(events) => {
                let now = self.ports.clock.now();
                lock(&self.ports.router).on_cache_events(now, target.key, &events);
                if let Some(last) = events.last() {
                    lock(&self.next_events).insert(target.id.clone(), last.sequence + 1);
                }
            }
            Err(error) => {
                log::debug!("event=cache_events_failed server={} error=\"{error}\"", target.id);
            }
        }
    }
}
