//! Stand-in for an application server. It records each call in its journal and echoes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::app_client::ATTEMPT_HEADER;
use pomelostack_lib::app_client::FENCE_HEADER;
use pomelostack_lib::app_client::IDEMPOTENCY_KEY_HEADER;
use pomelostack_lib::app_client::RAN_HEADER;
use pomelostack_lib::app_client::REQUEST_ID_HEADER;
use pomelostack_lib::ids::FencingToken;
use serde::Deserialize;
use serde::Serialize;

use crate::engine_answer::CRASH_MARKER;
use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;
use crate::journal::RunOutcome;
use crate::journal::ServerJournal;
use crate::process_lifecycle::ProcessLifecycle;
use crate::process_lifecycle::WaitOutcome;

/// Settings of an [`AppStandin`].
#[derive(Clone, Debug)]
pub struct AppSettings {
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Time that a call takes.
    pub service_time: Duration,
    /// Whether calls with a stale fencing token are refused.
    pub fencing_check: bool,
    /// Time after which a crashed server restarts; with `None`, it stays down.
    pub restart_after: Option<Duration>,
}

impl Default for AppSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Duration::ZERO,
            fencing_check: false,
            restart_after: None,
        }
    }
}

/// Faults that can be injected into an app server, the body of `POST /faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AppFault {
    /// The process dies: connections drop, and runs have no end in the journal.
    Crash {
        /// Time after which the server restarts; with `None`, it stays down.
        restart_after_ms: Option<u64>,
    },
    /// Open connections stay open but carry no more data; new ones work.
    SilenceConnections,
    /// Whether new calls are refused before they run.
    RefuseWork(bool),
    /// Calls take longer by this time; 0 ends the fault.
    Slow {
        /// Added time.
        extra_ms: u64,
    },
    /// This many further calls run to their end, and their connections close without a response.
    LoseReplies(u32),
}

/// Response body: the request as the server received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppEcho {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers by lower-case name; the last one wins if a name repeats.
    pub headers: BTreeMap<String, String>,
    /// Body, as text.
    pub body: String,
    /// Request id, if one was sent.
    pub request: Option<String>,
    /// Idempotency key, if one was sent.
    pub key: Option<String>,
}

#[derive(Default)]
struct AppState {
    refusing: bool,
    extra_time: Duration,
    lost_replies: u32,
    largest_fencing_token: Option<FencingToken>,
}

struct AppShared {
    settings: AppSettings,
    life: Arc<ProcessLifecycle>,
    state: Mutex<AppState>,
    journal: ServerJournal,
}

/// Whether a call may run.
enum Admission {
    Run,
    Refuse,
    StaleToken(FencingToken),
}

impl AppShared {
    fn lock(&self) -> MutexGuard<'_, AppState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_fault(&self, fault: AppFault) {
        match fault {
            AppFault::Crash { restart_after_ms } => {
                self.life.crash(restart_after_ms.map(Duration::from_millis));
            }
            AppFault::SilenceConnections => self.life.relay().silence_open(),
            AppFault::RefuseWork(refusing) => self.lock().refusing = refusing,
            AppFault::Slow { extra_ms } => {
                self.lock().extra_time = Duration::from_millis(extra_ms);
            }
            AppFault::LoseReplies(count) => self.lock().lost_replies = count,
        }
    }

    fn admit(&self, fence: Option<FencingToken>) -> Admission {
        let mut state = self.lock();
        if state.refusing {
            return Admission::Refuse;
        }
        match (self.settings.fencing_check, fence, state.largest_fencing_token) {
            (true, Some(fence), Some(largest)) if fence < largest => Admission::StaleToken(largest),
            (true, Some(fence), _) => {
                state.largest_fencing_token = Some(fence);
                Admission::Run
            }
            _ => Admission::Run,
        }
    }

    fn loses_reply(&self) -> bool {
        let mut state = self.lock();
        let loses = state.lost_replies > 0;
        state.lost_replies = state.lost_replies.saturating_sub(1);
        loses
    }
}

/// A simulated app server on a loopback port.
pub struct AppStandin {
    server: HttpStandin,
    shared: Arc<AppShared>,
}

impl AppStandin {
    /// Starts a server.
    pub fn start(settings: AppSettings) -> Result<Self> {
        let (server, service) = HttpStandin::start(settings.address, |life| {
            let (state, journal) = (Mutex::default(), ServerJournal::default());
            AppService(Arc::new(AppShared { settings, life, state, journal }))
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

    /// Applies a fault.
    pub fn apply_fault(&self, fault: AppFault) {
        self.shared.apply_fault(fault);
    }

    /// Stops the server and waits for its threads.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct AppService(Arc<AppShared>);

impl StandinFault for AppFault {
    fn ends_connections(&self) -> bool {
        matches!(self, Self::Crash { .. } | Self::SilenceConnections)
    }
}

impl StandinService for AppService {
    type Fault = AppFault;

    fn apply_fault(&self, fault: AppFault) {
        self.0.apply_fault(fault);
    }

    fn serve(&self, exchange: HttpExchange) {
        let shared = &self.0;
        match (exchange.method(), exchange.path()) {
            ("GET", "/journal") => exchange.respond_json(200, &shared.journal.entries()),
            _ => serve_call(shared, exchange),
        }
    }
}

fn serve_call(shared: &AppShared, exchange: HttpExchange) {
    let fence = exchange.header(FENCE_HEADER).and_then(|value| value.parse().ok());
    match shared.admit(fence.map(FencingToken)) {
        Admission::Run => run_call(shared, exchange),
        Admission::Refuse => {
            exchange.respond(503, &[(RAN_HEADER, "false")], b"server takes no work".to_vec());
        }
        Admission::StaleToken(largest) => {
            let largest = largest.0.to_string();
            let headers = [(RAN_HEADER, "false"), (FENCE_HEADER, largest.as_str())];
            exchange.respond(409, &headers, b"fencing number is old".to_vec());
        }
    }
}

fn run_call(shared: &AppShared, exchange: HttpExchange) {
    let life = shared.life.incarnation();
    let header = |name| exchange.header(name).map(str::to_owned);
    let (request, key) = (header(REQUEST_ID_HEADER), header(IDEMPOTENCY_KEY_HEADER));
    let attempt = header(ATTEMPT_HEADER).and_then(|value| value.parse().ok()).unwrap_or(0);
    let work = format!("{} {}", exchange.method(), exchange.url());
    let run =
        shared.journal.begin(key.clone(), request.clone().unwrap_or_default(), attempt, &work);
    let echo = AppEcho {
        method: exchange.method().to_owned(),
        path: exchange.url().to_owned(),
        headers: exchange.headers().map(|(name, value)| (name, value.to_owned())).collect(),
        body: String::from_utf8_lossy(exchange.body()).into_owned(),
        request,
        key,
    };
    if echo.body.contains(CRASH_MARKER) {
        return shared.life.crash(shared.settings.restart_after);
    }
    // Like most applications, the call runs to its end even if the client disconnects.
    let end = Instant::now() + shared.settings.service_time + shared.lock().extra_time;
    if shared.life.wait(life, Some(end), || false) == WaitOutcome::Crashed {
        return;
    }
    shared.journal.end(run, RunOutcome::Done);
    if shared.loses_reply() {
        return;
    }
    let status = status_of(exchange.path());
    exchange.respond_json(status, &echo);
}

/// Returns the response status of a path: the number in `/status/<number>` if it is 200 to 599,
/// 200 for any other path.
fn status_of(path: &str) -> u16 {
    let named = path.strip_prefix("/status/").and_then(|number| number.parse().ok());
    named.filter(|status| (200..600).contains(status)).unwrap_or(200)
}
