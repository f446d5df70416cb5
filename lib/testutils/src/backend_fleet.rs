//! Backend servers of the platform stand-in by host, both running and stopped ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::app_standin::AppFault;
use crate::app_standin::AppSettings;
use crate::app_standin::AppStandin;
use crate::engine_standin::EngineFault;
use crate::engine_standin::EngineSettings;
use crate::engine_standin::EngineStandin;
use crate::http_standin::Result;
use crate::http_standin::StandinError;
use crate::journal::JournalEntry;

/// Kind and settings of the backend server on a host.
#[derive(Clone, Debug)]
pub enum BackendSettings {
    /// A model engine.
    Engine(EngineSettings),
    /// An application server.
    App(AppSettings),
}

impl BackendSettings {
    fn with_address(&self, address: SocketAddr) -> Self {
        match self {
            Self::Engine(settings) => Self::Engine(EngineSettings { address, ..settings.clone() }),
            Self::App(settings) => Self::App(AppSettings { address, ..settings.clone() }),
        }
    }
}

/// Backend server, up or down.
#[derive(Clone)]
pub enum BackendStandin {
    /// A model engine.
    Engine(Arc<EngineStandin>),
    /// An application server.
    App(Arc<AppStandin>),
}

impl BackendStandin {
    fn start(settings: BackendSettings) -> Result<Self> {
        Ok(match settings {
            BackendSettings::Engine(settings) => {
                Self::Engine(Arc::new(EngineStandin::start(settings)?))
            }
            BackendSettings::App(settings) => Self::App(Arc::new(AppStandin::start(settings)?)),
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::App(app) => app.address(),
        }
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        match self {
            Self::Engine(engine) => engine.is_up(),
            Self::App(app) => app.is_up(),
        }
    }

    /// Returns the entries of the server's journal.
    pub fn journal(&self) -> Vec<JournalEntry> {
        match self {
            Self::Engine(engine) => engine.journal().entries(),
            Self::App(app) => app.journal().entries(),
        }
    }

    /// Crashes the process for good, as the loss of its host does.
    fn kill(&self) {
        match self {
            Self::Engine(engine) => {
                engine.apply_fault(EngineFault::Crash { restart_after_ms: None });
                engine.stop();
            }
            Self::App(app) => {
                app.apply_fault(AppFault::Crash { restart_after_ms: None });
                app.stop();
            }
        }
    }
}

/// Journal of the server on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostJournal {
    /// Host.
    pub host: HostId,
    /// Entries of the server's journal.
    pub entries: Vec<JournalEntry>,
}

/// All backend servers started so far.
///
/// A stopped server stays in the fleet, so that its journal can still be read.
pub struct BackendFleet {
    templates: BTreeMap<ServiceName, BackendSettings>,
    backends: Mutex<BTreeMap<HostId, BackendStandin>>,
}

impl BackendFleet {
    /// Builds an empty fleet; `templates` has the settings of each service's servers.
    pub fn new(templates: BTreeMap<ServiceName, BackendSettings>) -> Self {
        Self { templates, backends: Mutex::default() }
    }

    /// Returns whether hosts of the service can be started.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.templates.contains_key(service)
    }

    /// Starts the server of a host and returns its address.
    ///
    /// Fails if the service has no template or the server cannot start.
    pub fn start(
        &self,
        host: &HostId,
        service: &ServiceName,
        address: SocketAddr,
    ) -> Result<SocketAddr> {
        let unknown =
            || StandinError::BadSetting(format!("service {service} has no server settings"));
        let template = self.templates.get(service).ok_or_else(unknown)?;
        let backend = BackendStandin::start(template.with_address(address))?;
        let address = backend.address();
        self.lock().insert(host.clone(), backend);
        Ok(address)
    }

    /// Returns the server of a host, up or down.
    pub fn get(&self, host: &HostId) -> Option<BackendStandin> {
        self.lock().get(host).cloned()
    }

    /// Returns all servers, up or down, by host.
    pub fn all(&self) -> Vec<(HostId, BackendStandin)> {
        let backends = self.lock();
        backends.iter().map(|(host, backend)| (host.clone(), backend.clone())).collect()
    }

    /// Crashes the server of a host for good and keeps its journal; an unknown host is ignored.
    pub fn kill(&self, host: &HostId) {
        if let Some(backend) = self.get(host) {
            backend.kill();
        }
    }

    /// Returns the journals of all servers, up or down.
    pub fn journals(&self) -> Vec<HostJournal> {
        let all = self.all().into_iter();
        all.map(|(host, backend)| HostJournal { host, entries: backend.journal() }).collect()
    }

    /// Stops every server.
    pub fn stop(&self) {
        self.all().iter().for_each(|(_, backend)| match backend {
            BackendStandin::Engine(engine) => engine.stop(),
            BackendStandin::App(app) => app.stop(),
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, BackendStandin>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
