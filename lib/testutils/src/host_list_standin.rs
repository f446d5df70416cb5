//! Stand-in for the platform's host list, served over HTTP with a configurable lag.
//!
//! Hosts can also be added and removed over HTTP. Faults are set with `POST /faults`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::ids::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::host_registry::HostRegistry;
use crate::http_standin::HttpExchange;
use crate::http_standin::HttpStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinFault;
use crate::http_standin::StandinService;

/// Fault to inject into the host list; the body of `POST /faults`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostListFault {
    /// Sets the lag of the list behind the current hosts.
    Lag {
        /// Lag, in milliseconds.
        lag_ms: u64,
    },
    /// Fails every call with status 503 and no effect, until set to false.
    Down(bool),
}

impl StandinFault for HostListFault {
    fn ends_connections(&self) -> bool {
        false
    }
}

/// Body of `POST /hosts/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoveHost {
    /// Host to remove.
    pub host: HostId,
}

/// The host list stand-in, served over HTTP on a loopback port.
pub struct HostListStandin {
    server: HttpStandin,
    service: Arc<HostListService>,
}

impl HostListStandin {
    /// Starts a list of the registry's hosts; port 0 picks a free port.
    pub fn start(address: SocketAddr, registry: Arc<HostRegistry>) -> Result<Self> {
        let (server, service) = HttpStandin::start(address, |_| HostListService {
            registry,
            down: AtomicBool::new(false),
        })?;
        Ok(Self { server, service })
    }

    /// Returns the address that the list is served on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: HostListFault) {
        self.service.apply_fault(fault);
    }

    /// Stops the server and waits for its threads.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct HostListService {
    registry: Arc<HostRegistry>,
    down: AtomicBool,
}

impl StandinService for HostListService {
    type Fault = HostListFault;

    fn serve(&self, exchange: HttpExchange) {
        match (exchange.method(), exchange.path()) {
            _ if self.down.load(Ordering::SeqCst) => exchange.refuse(503, "host list is down"),
            ("GET", "/hosts") => exchange.respond_json(200, &self.registry.published()),
            ("POST", "/hosts") => match exchange.json::<HostEntry>() {
                Ok(entry) => {
                    self.registry.put(entry);
                    exchange.respond_json(200, &());
                }
                Err(error) => exchange.refuse(400, &error),
            },
            ("POST", "/hosts/remove") => match exchange.json::<RemoveHost>() {
                Ok(remove) => {
                    self.registry.remove(&remove.host);
                    exchange.respond_json(200, &());
                }
                Err(error) => exchange.refuse(400, &error),
            },
            _ => exchange.refuse(404, "no such route"),
        }
    }

    fn apply_fault(&self, fault: HostListFault) {
        match fault {
            HostListFault::Lag { lag_ms } => self.registry.set_lag(Duration::from_millis(lag_ms)),
            HostListFault::Down(down) => self.down.store(down, Ordering::SeqCst),
        }
    }
}
