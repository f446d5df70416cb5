//! Hosts as they are, with a history from which a lagging list can be read.

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

/// Versions of the list kept for lagging reads.
const MAX_VERSIONS: usize = 1_000;

/// The whole list since some moment.
struct ListVersion {
    /// `None` is before any read.
    since: Option<Instant>,
    hosts: BTreeMap<HostId, HostEntry>,
}

struct RegistryState {
    lag: Duration,
    versions: VecDeque<ListVersion>,
}

/// All hosts of the platform.
pub struct HostRegistry {
    state: Mutex<RegistryState>,
}

impl HostRegistry {
    /// Builds an empty registry whose published list is `lag` old.
    pub fn new(lag: Duration) -> Self {
        Self { state: Mutex::new(RegistryState { lag, versions: VecDeque::new() }) }
    }

    /// Sets the age of the published list.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host, or replaces what is known about it.
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

    /// Removes a host.
    pub fn remove(&self, host: &HostId) {
        self.change(|hosts| {
            hosts.remove(host);
        });
    }

    /// Returns the hosts as they are now, by id.
    pub fn current(&self) -> Vec<HostEntry> {
        let state = self.lock();
        let latest = state.versions.back();
        latest.map(|version| version.hosts.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns the published list: the hosts as they were before the lag, by id.
    pub fn published(&self) -> Vec<HostEntry> {
        let now = Instant::now();
        let state = self.lock();
        let is_old = |version: &&ListVersion| version.since.is_none_or(|at| at + state.lag <= now);
        let found = state.versions.iter().rev().find(is_old);
        found.map(|version| version.hosts.values().cloned().collect()).unwrap_or_default()
    }

    /// Publishes the hosts as they are now without regard to the lag.
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
