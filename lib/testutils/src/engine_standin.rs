//! Stand-in for a model engine, an HTTP server in the test process.
//!
//! It streams deterministic tokens at a configured prefill and decode rate, batches requests from
//! a priority queue, caches prompt prefixes and applies orders. Tests read its journal of runs and
//! inject faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pomelostack_lib::engine::GenerateRequest;
use pomelostack_lib::engine::KvExport;
use pomelostack_lib::engine_client::AttemptId;
use pomelostack_lib::engine_client::FencedOrder;
use pomelostack_lib::engine_client::KvImport;
use pomelostack_lib::engine_client::ServerRefusal;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::prompt::count_tokens;
use pomelostack_lib::prompt::hash_blocks;
use serde::Deserialize;
use serde::Serialize;

pub use crate::engine_answer::answer_length;
pub use crate::engine_answer::answer_token;
pub use crate::engine_answer::whole_answer;
use crate::engine_core::EngineCore;
use crate::engine_core::attempt_key;
use crate::engine_run::EngineRun;
use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinError;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;
use crate::journal::ServerJournal;
use crate::process_lifecycle::ProcessLifecycle;
use crate::process_lifecycle::WaitOutcome;

/// Settings of an [`EngineStandin`].
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Models loaded at the start; if empty, the engine serves any model.
    pub models: Vec<String>,
    /// Prefill rate in tokens per second, at least 1; with infinity, prefill takes no time.
    pub prefill_tokens_per_s: f64,
    /// Time of a decode step with one request in the batch.
    pub decode_step: Duration,
    /// Time that each further request in the batch adds to a decode step.
    pub decode_step_slope: Duration,
    /// Maximum number of requests in the batch, at least 1.
    pub batch_limit: usize,
    /// Maximum number of queued requests; further ones are refused.
    pub queue_limit: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Delay after which a load report is published.
    pub load_lag: Duration,
    /// Delay after which a cache event is published.
    pub cache_event_lag: Duration,
    /// Probability that a cache event is lost, 0 to 1.
    pub cache_event_loss: f64,
    /// Whether requests and orders with a stale fencing token are refused.
    pub fencing_check: bool,
    /// Time after which a crashed engine restarts; with `None`, it stays down.
    pub restart_after: Option<Duration>,
    /// Seed of the random choice of lost cache events.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: Vec::new(),
            prefill_tokens_per_s: f64::INFINITY,
            decode_step: Duration::ZERO,
            decode_step_slope: Duration::ZERO,
            batch_limit: 32,
            queue_limit: 1024,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            cache_event_loss: 0.0,
            fencing_check: false,
            restart_after: None,
            seed: 1,
        }
    }
}

impl EngineSettings {
    /// Returns the time that the prefill of `tokens` takes.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::try_from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_s)
            .unwrap_or(Duration::MAX)
    }

    fn check(&self) -> Result<()> {
        let bad = |reason: &str| Err(StandinError::BadSetting(reason.to_owned()));
        // NaN fails both checks.
        if self.prefill_tokens_per_s.is_nan() || self.prefill_tokens_per_s < 1.0 {
            return bad("prefill_tokens_per_s must be at least 1");
        }
        if !(0.0..=1.0).contains(&self.cache_event_loss) {
            return bad("cache_event_loss must be 0 to 1");
        }
        if self.batch_limit == 0 {
            return bad("batch_limit must be at least 1");
        }
        Ok(())
    }
}

/// Faults that can be injected into an engine, the body of `POST /faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// The process dies: connections drop, runs have no end in the journal, the cache is lost.
    Crash {
        /// Time after which the engine restarts; with `None`, it stays down.
        restart_after_ms: Option<u64>,
    },
    /// Open connections stay open but carry no more data; new ones work.
    SilenceConnections,
    /// Whether it works on but sends nothing, and takes no cancellations. It still sees that
    /// connections are closed.
    Mute(bool),
    /// Whether new work is refused before it runs.
    RefuseWork(bool),
    /// Every decode step takes longer by this time; 0 ends the fault.
    SlowSteps {
        /// Added time.
        extra_ms: u64,
    },
}

/// Contents of an exported KV cache.
#[derive(Debug, Serialize, Deserialize)]
struct KvContent {
    tokens: u32,
    blocks: Vec<BlockHash>,
}

/// State shared by the threads of one engine.
pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) life: Arc<ProcessLifecycle>,
    pub(crate) core: Mutex<EngineCore>,
    pub(crate) journal: ServerJournal,
}

impl EngineShared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a crash of the process; it restarts with empty state.
    pub(crate) fn crash(self: &Arc<Self>, restart_after: Option<Duration>) {
        self.life.crash(restart_after);
        *self.lock() = EngineCore::new(&self.settings);
    }

    /// Waits while the engine is muted; returns whether its client is still connected.
    fn wait_until_audible(&self, is_open: &dyn Fn() -> bool) -> bool {
        let is_muted = || self.lock().muted;
        self.life.wait(self.life.incarnation(), None, || !is_open() || !is_muted())
            == WaitOutcome::Ready
            && is_open()
    }

    fn apply_fault(self: &Arc<Self>, fault: EngineFault) {
        match fault {
            EngineFault::Crash { restart_after_ms } => {
                self.crash(restart_after_ms.map(Duration::from_millis));
            }
            EngineFault::SilenceConnections => self.life.relay().silence_open(),
            EngineFault::Mute(muted) => {
                self.lock().muted = muted;
                self.life.wake();
            }
            EngineFault::RefuseWork(refusing) => self.lock().refusing = refusing,
            EngineFault::SlowSteps { extra_ms } => {
                self.lock().extra_step = Duration::from_millis(extra_ms);
            }
        }
    }
}

/// A simulated model engine on a loopback port.
pub struct EngineStandin {
    server: HttpStandin,
    shared: Arc<EngineShared>,
}

impl EngineStandin {
    /// Starts an engine.
    pub fn start(settings: EngineSettings) -> Result<Self> {
        settings.check()?;
        let (server, service) = HttpStandin::start(settings.address, |life| {
            EngineService(Arc::new(EngineShared {
                life,
                core: Mutex::new(EngineCore::new(&settings)),
                journal: ServerJournal::default(),
                settings,
            }))
        })?;
        Ok(Self { server, shared: service.0.clone() })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the journal.
    pub fn journal(&self) -> &ServerJournal {
        &self.shared.journal
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        self.shared.life.is_up()
    }

    /// Returns the number of attempts that are queued or running.
    pub fn attempts(&self) -> usize {
        self.shared.lock().attempts.len()
    }

    /// Returns the requests since the last crash, in the order in which they entered the batch.
    pub fn started_requests(&self) -> Vec<RequestId> {
        self.shared.lock().started_requests.clone()
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: EngineFault) {
        self.shared.apply_fault(fault);
    }

    /// Stops the engine and waits for its threads.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct EngineService(Arc<EngineShared>);

impl StandinFault for EngineFault {
    fn ends_connections(&self) -> bool {
        matches!(self, Self::Crash { .. } | Self::SilenceConnections)
    }
}

impl StandinService for EngineService {
    type Fault = EngineFault;

    fn apply_fault(&self, fault: EngineFault) {
        self.0.apply_fault(fault);
    }

    fn serve(&self, exchange: HttpExchange) {
        let shared = &self.0;
        match (exchange.method(), exchange.path()) {
            ("POST", "/generate") => serve_generate(shared, exchange),
            ("POST", "/cancel") => serve_cancel(shared, exchange),
            ("GET", "/load") => {
                let report = shared.lock().published_report(Instant::now());
                exchange.respond_json(200, &report);
            }
            ("GET", "/cache_events") => {
                let from = exchange.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
                let events = shared.lock().published_events(Instant::now(), from);
                exchange.respond_json(200, &events);
            }
            ("POST", "/kv/export") => serve_export(shared, exchange),
            ("POST", "/kv/import") => serve_import(shared, exchange),
            ("POST", "/orders") => serve_order(shared, exchange),
            ("GET", "/journal") => exchange.respond_json(200, &shared.journal.entries()),
            _ => exchange.refuse(404, "no such route"),
        }
    }
}

fn serve_generate(shared: &Arc<EngineShared>, exchange: HttpExchange) {
    let request: GenerateRequest = match exchange.json() {
        Ok(request) => request,
        Err(error) => return refuse_before_run(exchange, 400, &error),
    };
    if let Err(largest) = shared.lock().check_fencing_token(request.fence) {
        return refuse_stale_fencing_token(exchange, largest);
    }
    EngineRun::new(shared.clone(), request).serve(exchange);
}

fn serve_cancel(shared: &EngineShared, exchange: HttpExchange) {
    match exchange.json::<AttemptId>() {
        Ok(name) => {
            if !shared.wait_until_audible(&exchange.open_check()) {
                return;
            }
            shared.lock().cancel(attempt_key(name));
            shared.life.wake();
            exchange.respond_json(200, &());
        }
        Err(error) => exchange.refuse(400, &error),
    }
}

fn serve_export(shared: &EngineShared, exchange: HttpExchange) {
    let name: AttemptId = match exchange.json() {
        Ok(name) => name,
        Err(error) => return exchange.refuse(400, &error),
    };
    let content = shared.lock().attempts.get(&attempt_key(name)).map(|attempt| KvContent {
        tokens: count_tokens(&attempt.text),
        blocks: hash_blocks(&attempt.text),
    });
    let encoded = content.and_then(|content| {
        let data = STANDARD.encode(serde_json::to_vec(&content).ok()?);
        Some(KvExport { tokens: content.tokens, data })
    });
    match encoded {
        Some(kv) => exchange.respond_json(200, &kv),
        None => refuse_before_run(exchange, 404, "no such attempt"),
    }
}

fn serve_import(shared: &EngineShared, exchange: HttpExchange) {
    let import: KvImport = match exchange.json() {
        Ok(import) => import,
        Err(error) => return exchange.refuse(400, &error),
    };
    let data = STANDARD.decode(&import.kv.data).unwrap_or_default();
    match serde_json::from_slice::<KvContent>(&data) {
        Ok(content) => {
            let key = attempt_key(import.name);
            shared.lock().import(Instant::now(), key, &content.blocks, content.tokens);
            exchange.respond_json(200, &());
        }
        Err(error) => refuse_before_run(exchange, 400, &error.to_string()),
    }
}

fn serve_order(shared: &EngineShared, exchange: HttpExchange) {
    let fenced: FencedOrder = match exchange.json() {
        Ok(fenced) => fenced,
        Err(error) => return refuse_before_run(exchange, 400, &error),
    };
    let checked = {
        let mut core = shared.lock();
        let checked = core.check_fencing_token(fenced.fence);
        if checked.is_ok() {
            core.apply(fenced.order);
        }
        checked
    };
    match checked {
        Ok(()) => exchange.respond_json(200, &()),
        Err(largest) => refuse_stale_fencing_token(exchange, largest),
    }
}

/// Refuses a call with the promise that nothing ran and nothing will run.
pub(crate) fn refuse_before_run(exchange: HttpExchange, status: u16, reason: &str) {
    let refusal = ServerRefusal { ran: Some(false), fence: None, reason: reason.to_owned() };
    exchange.respond_json(status, &refusal);
}

fn refuse_stale_fencing_token(exchange: HttpExchange, largest: FencingToken) {
    let reason = "fencing number is old".to_owned();
    let refusal = ServerRefusal { ran: Some(false), fence: Some(largest), reason };
    exchange.respond_json(409, &refusal);
}
