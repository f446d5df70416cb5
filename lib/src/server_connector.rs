//! Clients of backend servers, one for each address, so that their connections are reused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::app_client::AppClient;
use crate::engine_client::EngineClient;
use crate::http_edge::EdgeLimits;

#[derive(Default)]
struct ConnectorState {
    engines: BTreeMap<SocketAddr, Arc<EngineClient>>,
    apps: BTreeMap<SocketAddr, Arc<AppClient>>,
}

/// Hands out the client of each address.
pub struct ServerConnector {
    limits: EdgeLimits,
    state: Mutex<ConnectorState>,
}

impl ServerConnector {
    /// Builds a connector whose clients have the given limits.
    pub fn new(limits: EdgeLimits) -> Self {
        Self { limits, state: Mutex::default() }
    }

    /// Returns the client of the engine at the address.
    pub fn engine(&self, address: SocketAddr) -> Arc<EngineClient> {
        let build = || Arc::new(EngineClient::new(address, self.limits));
        self.lock().engines.entry(address).or_insert_with(build).clone()
    }

    /// Returns the client of the app server at the address.
    pub fn app(&self, address: SocketAddr) -> Arc<AppClient> {
        let build = || Arc::new(AppClient::new(address, self.limits));
        self.lock().apps.entry(address).or_insert_with(build).clone()
    }

    /// Drops the idle connections to the address.
    pub fn retire_connections(&self, address: SocketAddr) {
        let state = self.lock();
        if let Some(engine) = state.engines.get(&address) {
            engine.retire_connections();
        }
        if let Some(app) = state.apps.get(&address) {
            app.retire_connections();
        }
    }

    /// Forgets the clients of all other addresses; calls in flight go on.
    pub fn keep_only(&self, addresses: &BTreeSet<SocketAddr>) {
        let mut state = self.lock();
        state.engines.retain(|address, _| addresses.contains(address));
        state.apps.retain(|address, _| addresses.contains(address));
    }

    fn lock(&self) -> MutexGuard<'_, ConnectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
