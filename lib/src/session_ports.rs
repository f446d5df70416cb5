//! Dependencies of the session driver: server connections, shared state and counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::answer_store::AnswerStore;
use crate::app_server::AppServer;
use crate::crash_suspects::CrashSuspects;
use crate::engine::ModelEngine;
use crate::request_router::RequestRouter;
use crate::retry_budget::RetryBudget;
use crate::session_claim::ClaimPort;
use crate::session_registry::SessionRegistry;
use crate::timestamp::ProcessClock;

/// Result of probing a server over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepts connections.
    Open,
    /// The host refuses the connection, or closes it without an answer: no process is serving.
    Refused,
    /// There is no answer.
    Silent,
}

/// Connections to all backend servers.
pub trait ServerConnector: Send + Sync {
    /// Returns a client of the engine at an address.
    fn engine(&self, address: SocketAddr) -> Arc<dyn ModelEngine>;

    /// Returns a client of the application server at an address.
    fn app(&self, address: SocketAddr) -> Arc<dyn AppServer>;

    /// Drops the open connections to an address; clients returned afterwards open new ones.
    fn retire(&self, address: SocketAddr);

    /// Opens a new connection to an address, checks that the server responds, and closes it.
    fn probe(&self, address: SocketAddr) -> ProbeResult;
}

/// Counters over all sessions of one host.
#[derive(Debug, Default)]
pub struct SessionCounters {
    /// Attempts that were started.
    pub attempts: AtomicU64,
    /// Attempts after the first one of their request.
    pub retries: AtomicU64,
    /// Tokens of prompts and earlier output that attempts after the first recomputed.
    pub recomputed_tokens: AtomicU64,
    /// Times that a server's connections were closed because they were silent.
    pub retired_connections: AtomicU64,
    /// Servers suspected because new connections were silent, too.
    pub suspected_servers: AtomicU64,
    /// Server processes that ended with attempts on them.
    pub ended_servers: AtomicU64,
    /// Requests refused because they crash servers.
    pub crash_refusals: AtomicU64,
}

impl SessionCounters {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

/// Dependencies of the session driver.
#[derive(Clone)]
pub struct SessionPorts {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Chooses servers.
    pub router: Arc<Mutex<RequestRouter>>,
    /// Connections to servers.
    pub connector: Arc<dyn ServerConnector>,
    /// Claims of idempotency keys; without them non-idempotent calls are refused.
    pub claims: Option<Arc<dyn ClaimPort>>,
    /// Answers that callers can fetch later.
    pub answers: Arc<AnswerStore>,
    /// Requests that are suspected of crashing servers.
    pub suspects: Arc<Mutex<CrashSuspects>>,
    /// Retry budget.
    pub budget: Arc<Mutex<RetryBudget>>,
    /// Running sessions.
    pub registry: Arc<SessionRegistry>,
    /// Counters.
    pub counters: Arc<SessionCounters>,
}

/// Locks shared state. Ignores poisoning, as every operation leaves the state consistent.
pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
