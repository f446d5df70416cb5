//! Stand-in for the platform's log: a [`LogFake`] served over HTTP and set to wall-clock time.
//!
//! Faults are set with `POST /faults`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::log_client::AppendResponse;
use pomelostack_lib::log_client::ExpiredResponse;
use pomelostack_lib::log_client::WireSlice;
use pomelostack_lib::log_service::LogError;
use pomelostack_lib::log_service::LogService as _;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::timestamp::wall_clock_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;
pub use crate::log_fake::LogFake;
pub use crate::log_fake::LogOutage;
use crate::process_lifecycle::ProcessLifecycle;

/// Maximum number of records in a read that gives none.
const DEFAULT_READ_RECORDS: usize = 100;

/// Settings of a log stand-in.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Retention time of records.
    pub retention: Duration,
    /// Maximum appends in any one-second window; more get status 429.
    pub appends_per_s: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention: Duration::from_secs(3600),
            appends_per_s: 500,
        }
    }
}

/// Fault to inject into the log; the body of `POST /faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFault {
    /// Refuses every call with status 503, until set to false.
    Down(bool),
    /// Closes the connection of every call without a response or effect, until set to false.
    Unreachable(bool),
    /// Delays every call; a delay of 0 ends the fault.
    Slow {
        /// Added delay, in milliseconds.
        extra_ms: u64,
    },
    /// Drops the replies to the next appends, after the appends take effect.
    LoseReplies(u32),
    /// Drops the next appends before they take effect.
    LoseRequests(u32),
    /// Holds back the next appends: they get no reply and take effect at
    /// [`LogFault::ReleaseHeld`].
    HoldAppends(u32),
    /// Applies the held appends, in their order.
    ReleaseHeld,
    /// Sets the retention time of records.
    Retention {
        /// Retention time, in milliseconds.
        retention_ms: u64,
    },
    /// Drops all further data on the open connections but leaves them open; new ones work.
    SilenceConnections,
}

struct LogShared {
    life: Arc<ProcessLifecycle>,
    fake: Arc<LogFake>,
    extra_time: Mutex<Duration>,
}

impl LogShared {
    fn apply_fault(&self, fault: LogFault) {
        let outage = |on, outage| if on { outage } else { LogOutage::None };
        match fault {
            LogFault::Down(on) => self.fake.set_outage(outage(on, LogOutage::Refusing)),
            LogFault::Unreachable(on) => self.fake.set_outage(outage(on, LogOutage::Unreachable)),
            LogFault::Slow { extra_ms } => {
                let mut extra = self.extra_time.lock().unwrap_or_else(PoisonError::into_inner);
                *extra = Duration::from_millis(extra_ms);
            }
            LogFault::LoseReplies(count) => self.fake.lose_replies(count),
            LogFault::LoseRequests(count) => self.fake.lose_requests(count),
            LogFault::HoldAppends(count) => self.fake.hold_appends(count),
            LogFault::ReleaseHeld => drop(self.fake.release_held()),
            LogFault::Retention { retention_ms } => self.fake.set_retention_ms(retention_ms),
            LogFault::SilenceConnections => self.life.relay().silence_open(),
        }
    }
}

/// The log stand-in, served over HTTP on a loopback port.
pub struct LogStandin {
    server: HttpStandin,
    shared: Arc<LogShared>,
}

impl LogStandin {
    /// Starts an empty log.
    pub fn start(settings: LogSettings) -> Result<Self> {
        let fake = Arc::new(LogFake::new());
        let retention = u64::try_from(settings.retention.as_millis()).unwrap_or(u64::MAX);
        fake.set_retention_ms(retention);
        fake.set_appends_per_s(settings.appends_per_s);
        let (server, service) = HttpStandin::start(settings.address, |life| {
            LogHttpService(Arc::new(LogShared { life, fake, extra_time: Mutex::default() }))
        })?;
        Ok(Self { server, shared: service.0.clone() })
    }

    /// Returns the address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the log behind the HTTP server.
    pub fn fake(&self) -> &LogFake {
        &self.shared.fake
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: LogFault) {
        self.shared.apply_fault(fault);
    }

    /// Stops the log and waits for its threads.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct LogHttpService(Arc<LogShared>);

impl StandinFault for LogFault {
    fn ends_connections(&self) -> bool {
        matches!(self, Self::SilenceConnections)
    }
}

impl StandinService for LogHttpService {
    type Fault = LogFault;

    fn apply_fault(&self, fault: LogFault) {
        self.0.apply_fault(fault);
    }

    fn serve(&self, exchange: HttpExchange) {
        let shared = &self.0;
        let extra = *shared.extra_time.lock().unwrap_or_else(PoisonError::into_inner);
        shared.life.wait(shared.life.incarnation(), Some(Instant::now() + extra), || false);
        shared.fake.set_now_ms(wall_clock_ms());
        match (exchange.method(), stream_of(exchange.path())) {
            ("POST", Some(_)) if shared.fake.is_rate_limited() => {
                exchange.refuse(429, "over the rate")
            }
            ("POST", Some(stream)) => {
                let appended = shared.fake.append(stream, exchange.body());
                respond(exchange, appended.map(|offset| AppendResponse { offset }));
            }
            ("GET", Some(stream)) => {
                let number = |name| exchange.query(name).and_then(|value| value.parse().ok());
                let from = LogOffset(number("from").unwrap_or(0));
                let max = number("max").and_then(|max| usize::try_from(max).ok());
                let slice = shared.fake.read(stream, from, max.unwrap_or(DEFAULT_READ_RECORDS));
                respond(exchange, slice.map(|slice| WireSlice::from(&slice)));
            }
            _ => exchange.refuse(404, "no such route"),
        }
    }
}

fn respond<T: Serialize>(exchange: HttpExchange, result: std::result::Result<T, LogError>) {
    match result {
        Ok(value) => exchange.respond_json(200, &value),
        Err(LogError::Expired(first)) => exchange.respond_json(410, &ExpiredResponse { first }),
        Err(LogError::Refused(reason)) => exchange.refuse(503, &reason),
        Err(LogError::OutcomeUnknown(_) | LogError::Malformed(_)) => drop(exchange),
    }
}

fn stream_of(path: &str) -> Option<LogStream> {
    let name = path.strip_prefix("/streams/")?.strip_suffix("/records")?;
    let all = [LogStream::Config, LogStream::Claims];
    all.into_iter().find(|stream| stream.name() == name)
}
