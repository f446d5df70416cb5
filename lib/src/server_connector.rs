//! Connects to backend servers over HTTP, with one client per server address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use crate::app_client::AppClient;
use crate::app_server::AppServer;
use crate::engine::ModelEngine;
use crate::engine_client::EngineClient;
use crate::http_client::HttpClientLimits;
use crate::session_ports::ProbeResult;
use crate::session_ports::ServerConnector;
use crate::session_ports::lock;

/// HTTP clients by server address.
#[derive(Default)]
struct ClientTable {
    engines: BTreeMap<SocketAddr, Arc<EngineClient>>,
    apps: BTreeMap<SocketAddr, Arc<AppClient>>,
}

/// Connector to backend servers over HTTP. Clients are created on first use and shared.
pub struct HttpConnector {
    limits: HttpClientLimits,
    clients: Mutex<ClientTable>,
}

impl HttpConnector {
    /// Returns a connector whose clients have the given limits.
    pub fn new(limits: HttpClientLimits) -> Self {
        Self { limits, clients: Mutex::default() }
    }

    /// Drops the clients of all addresses except the given ones.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        let mut clients = lock(&self.clients);
        clients.engines.retain(|address, _| addresses.contains(address));
        clients.apps.retain(|address, _| addresses.contains(address));
    }
}

impl ServerConnector for HttpConnector {
    fn engine(&self, address: SocketAddr) -> Arc<dyn ModelEngine> {
        let mut clients = lock(&self.clients);
        let client = clients.engines.entry(address);
        client.or_insert_with(|| Arc::new(EngineClient::new(address, self.limits))).clone()
    }

    fn app(&self, address: SocketAddr) -> Arc<dyn AppServer> {
        let mut clients = lock(&self.clients);
        let client = clients.apps.entry(address);
        client.or_insert_with(|| Arc::new(AppClient::new(address, self.limits))).clone()
    }

    fn retire(&self, address: SocketAddr) {
        let clients = lock(&self.clients);
        if let Some(engine) = clients.engines.get(&address) {
            engine.retire_connections();
        }
        if let Some(app) = clients.apps.get(&address) {
            app.retire_connections();
        }
    }

    fn probe(&self, address: SocketAddr) -> ProbeResult {
        match TcpStream::connect_timeout(&address, self.limits.connect_timeout) {
            Ok(_) => ProbeResult::Open,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                ProbeResult::Refused
            }
            Err(_) => ProbeResult::Silent,
        }
    }
}
