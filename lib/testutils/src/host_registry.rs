//! Registry of the platform's hosts, which also provides a list that lags behind.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::ids::HostId;

/// Maximum number of versions kept; the oldest is evicted first.
const MAX_VERSIONS: usize = 1_000;

/// Contents of the list from some time until the next version.
struct ListVersion {
    /// Time of the change; `None` makes the version old enough for any lag.
    since: Option<Instant>,
    hosts: BTreeMap<HostId, HostEntry>,
}

struct RegistryState {
    lag: Duration,
    versions: VecDeque<ListVersion>,
}

/// All hosts of the platform, with a history of versions.
pub struct HostRegistry {
    state: Mutex<RegistryState>,
}

impl HostRegistry {
    /// Builds an empty registry whose published list lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { state: Mutex::new(RegistryState { lag, versions: VecDeque::new() }) }
    }

    /// Sets the lag of the published list.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host or replaces its entry.
    pub fn put(&self, entry: HostEntry) {
        self.change(|hosts| {
            hosts.insert(entry.host.clone(), entry);
        });
    }

    /// Marks a host as leaving; an unknown one is ignored.
    pub fn mark_leaving(&self, host: &HostId) {
        self.change(|hosts| {
            if let Some(entry) = hosts.get_mut(host) {
                entry.state = HostState::Leaving;
            }
        });
    }

    /// Removes a host; an unknown one is ignored.
    pub fn remove(&self, host: &HostId) {
        self.change(|hosts| {
            hosts.remove(host);
        });
    }

    /// Returns the current hosts, sorted by id.
    pub fn current(&self) -> Vec<HostEntry> {
        let state = self.lock();
        let latest = state.versions.back();
        latest.map(|version| version.hosts.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns the published list, sorted by id: the hosts as they were one lag ago.
    ///
    /// The list is empty if no version is old enough.
    pub fn published(&self) -> Vec<HostEntry> {
        let now = Instant::now();
        let state = self.lock();
        let is_old = |version: &&ListVersion| version.since.is_none_or(|at| at + state.lag <= now);
        let found = state.versions.iter().rev().find(is_old);
        found.map(|version| version.hosts.values().cloned().collect()).unwrap_or_default()
    }

    /// Publishes the current hosts immediately, ignoring the lag, and drops older versions.
    pub fn publish_now(&self) {
        let mut state = self.lock();
        if let Some(mut latest) = state.versions.pop_back() {
            latest.since = None;
            state.versions = VecDeque::from([latest]);
        }
    }

    fn change(&self, apply: impl FnOnce(&mut BTreeMap<HostId, HostEntry>)) {
        let mut state = self.lock();
        let mut hosts = state.versions.back().map(|found| found.hosts.clone()).unwrap_or_default();
        apply(&mut hosts);
        if state.versions.len() == MAX_VERSIONS {
            state.versions.pop_front();
        }
        state.versions.push_back(ListVersion { since: Some(Instant::now()), hosts });
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
