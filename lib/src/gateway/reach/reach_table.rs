//! Which servers this host can open connections to.
//!
//! Failure pattern: a host is partitioned from the servers of a service while its peers reach them. Its
//! connections hang or are reset, or new ones fail while open ones live on. The host's failures then say
//! nothing about the servers. A connection may also open and be reset with its first request, so that only an
//! answer shows that it can be used. Failures at several servers of a service, with no connection opened in
//! between, make the service suspected; a peer's answer from a server that this host could not reach proves
//! that the fault is the host's own.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Number of servers of a service that must be unreached for the service to be suspected; all, if it has
/// fewer.
const MIN_UNREACHED_SERVERS: usize = 2;

/// Failures at one server, with no connection opened in between, from which on peers are asked to reach it while
/// the service counts as reached.
const MAX_OWN_TRIES: u32 = 3;

/// Time for which trials must succeed until a service counts as reached again. A partition may come back
/// each second.
const STABLE_TIME: Duration = Duration::from_millis(2_500);

/// Time without a failure after which a suspicion that no peer has confirmed ends by itself.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Time from which on a suspicion counts for servers that were not tried, too.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time between two trials while a service is not reached.
const TRIAL_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time between two trials of one unreached server of a service that is reached.
const MAX_TRIAL_PERIOD: Duration = Duration::from_secs(4);

/// How a connection failed to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The other end refused it, or reset it at once.
    Refused,
    /// Nothing came back in time.
    TimedOut,
    /// It was opened, and ended before its first request was answered.
    Lost,
}

/// How attempts get to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPath {
    /// Over this host's connections.
    Direct,
    /// Over connections that are open; new ones fail.
    OpenOnly,
    /// Over a peer.
    Forwarded,
}

/// A change of what is believed of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// None.
    Unchanged,
    /// Several of its servers, or all, cannot be reached.
    Suspected,
    /// A peer reaches servers that this host does not.
    Partitioned,
    /// This host reaches it again.
    Regained,
}

#[derive(Clone, Copy, Debug)]
struct FailedOpen {
    begun_at: Timestamp,
    at: Timestamp,
    failure: OpenFailure,
    trial_delay: Duration,
    /// Failures in a row, this one included.
    count: u32,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerReach {
    /// The last failure since a connection was opened.
    failed: Option<FailedOpen>,
    opened_at: Option<Timestamp>,
    heard_at: Option<Timestamp>,
    /// When its process was first listed, if that was while its service was merely suspected.
    joined_at: Option<Timestamp>,
    is_tried: bool,
}

/// What is believed of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ServiceReach {
    #[default]
    Reached,
    Suspected {
        since: Timestamp,
        /// When a peer first got an answer since.
        answered_at: Option<Timestamp>,
    },
    Partitioned {
        since: Timestamp,
        /// Since when all trials have succeeded.
        stable_since: Option<Timestamp>,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceRecord {
    reach: ServiceReach,
    opened_at: Option<Timestamp>,
    /// The last failure at any of its servers.
    failed: Option<(Timestamp, OpenFailure)>,
    /// When a connection to any of them was last lost before its first answer.
    lost_at: Option<Timestamp>,
    trial_at: Option<Timestamp>,
}

impl ServiceRecord {
    fn is_unreached(&self) -> bool {
        self.reach != ServiceReach::Reached
    }
}

/// The servers that this host reaches, and the services that it does not.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    servers: SecondaryMap<ServerKey, ServerReach>,
    services: BTreeMap<ServiceName, ServiceRecord>,
}

impl ReachTable {
    /// Forgets a server that is gone.
    pub fn forget(&mut self, key: ServerKey) {
        self.servers.remove(key);
    }

    /// Records that a server runs as a new process. If its service is merely suspected, it is tried at once, and
    /// requests are sent there, since the other servers may have failed by themselves.
    pub fn on_new_process(&mut self, now: Timestamp, key: ServerKey, service: &ServiceName) {
        self.forget(key);
        if let Some(record) = self.services.get_mut(service)
            && matches!(record.reach, ServiceReach::Suspected { .. })
        {
            record.trial_at = Some(now);
            if let Some(server) = self.server(key) {
                server.joined_at = Some(now);
            }
        }
    }

    /// Records that bytes arrived from a server over a connection of this host.
    pub fn on_heard(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(server) = self.server(key) {
            server.heard_at = Some(now);
            // A server that is heard loses requests by itself: the link works.
            server.failed.take_if(|failed| failed.failure == OpenFailure::Lost);
        }
    }

    /// Records that a trial's connection to one of the `listed` servers of a service stayed open. Where
    /// connections were lost with their first requests, that shows nothing.
    pub fn on_stayed_open(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        service: &ServiceName,
        listed: &[ServerKey],
    ) -> ReachChange {
        if !self.loses_requests(now, key, service) {
            return self.on_opened(now, key, service, listed);
        }
        if let Some(failed) = self.server(key).and_then(|server| server.failed.as_mut()) {
            failed.trial_delay = SUSPICION_TTL;
        }
        ReachChange::Unchanged
    }

    /// Returns whether connections to a server, or to others of its service, open and are lost with their first
    /// requests.
    pub fn loses_requests(&self, now: Timestamp, key: ServerKey, service: &ServiceName) -> bool {
        let is_recent = |at: Timestamp| now.since(at) < SUSPICION_TTL;
        let record = self.services.get(service);
        let lost_at = record.and_then(|record| record.lost_at.filter(|_| record.is_unreached()));
        let failed = self.servers.get(key).and_then(|server| server.failed);
        lost_at.is_some_and(is_recent)
            || failed
                .is_some_and(|failed| failed.failure == OpenFailure::Lost && is_recent(failed.at))
    }

    /// Records that one of the `listed` servers of a service answered on a new connection.
    pub fn on_opened(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        service: &ServiceName,
        listed: &[ServerKey],
    ) -> ReachChange {
        let Some(server) = self.server(key) else { return ReachChange::Unchanged };
        (server.failed, server.opened_at) = (None, Some(now));
        let Some(record) = self.services.get_mut(service) else { return ReachChange::Unchanged };
        record.opened_at = Some(now);
        let is_settled = match &mut record.reach {
            ServiceReach::Reached => return ReachChange::Unchanged,
            // A suspicion that has just arisen may rest on single servers.
            ServiceReach::Suspected { since, .. } => now.since(*since) >= SETTLE_TIME,
            ServiceReach::Partitioned { stable_since, .. } => {
                if now.since(*stable_since.get_or_insert(now)) < STABLE_TIME {
                    return ReachChange::Unchanged;
                }
                true
            }
        };
        self.services.remove(service);
        if is_settled {
            // Each shows by its next connection whether it is reached.
            for key in listed {
                if let Some(server) = self.servers.get_mut(*key) {
                    server.failed = None;
                }
            }
        }
        ReachChange::Regained
    }

    /// Records that a connection to one of the `listed` servers of a service could not be opened.
    pub fn on_open_failed(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        service: &ServiceName,
        open: (Timestamp, OpenFailure),
        listed: &[ServerKey],
    ) -> ReachChange {
        let (begun_at, failure) = open;
        let Some(server) = self.server(key) else { return ReachChange::Unchanged };
        if server.opened_at.is_some_and(|at| at >= begun_at) {
            return ReachChange::Unchanged;
        }
        // A server that is heard meanwhile loses requests by itself.
        if failure == OpenFailure::Lost && server.heard_at.is_some_and(|at| at >= begun_at) {
            return ReachChange::Unchanged;
        }
        let (trial_delay, count) = match server.failed {
            Some(failed) => ((failed.trial_delay * 2).min(MAX_TRIAL_PERIOD), failed.count + 1),
            None => (TRIAL_PERIOD, 1),
        };
        server.failed = Some(FailedOpen { begun_at, at: now, failure, trial_delay, count });
        let record = self.services.entry(service.clone()).or_default();
        record.failed = Some((now, failure));
        if failure == OpenFailure::Lost {
            record.lost_at = Some(now);
        }
        match &mut record.reach {
            // What a peer reaches and this host does not, afterwards.
            ServiceReach::Suspected { since, answered_at: Some(at) } if begun_at >= *at => {
                record.reach = ServiceReach::Partitioned { since: *since, stable_since: None };
                return ReachChange::Partitioned;
            }
            ServiceReach::Suspected { .. } => return ReachChange::Unchanged,
            ServiceReach::Partitioned { stable_since, .. } => {
                *stable_since = None;
                return ReachChange::Unchanged;
            }
            ServiceReach::Reached => {}
        }
        let opened_at = record.opened_at;
        let is_unreached = |key: &&ServerKey| {
            let failed = self.servers.get(**key).and_then(|server| server.failed);
            failed.is_some_and(|failed| {
                now.since(failed.at) < SUSPICION_TTL
                    && opened_at.is_none_or(|at| at < failed.begun_at)
            })
        };
        let unreached = listed.iter().filter(is_unreached).count();
        if unreached < MIN_UNREACHED_SERVERS.min(listed.len()) {
            return ReachChange::Unchanged;
        }
        if let Some(record) = self.services.get_mut(service) {
            record.reach = ServiceReach::Suspected { since: now, answered_at: None };
            record.trial_at = Some(now + TRIAL_PERIOD);
        }
        ReachChange::Suspected
    }

    /// Records that a peer got an answer from a server. The servers may only be back: if this host's next trial
    /// fails, too, it is partitioned from the service.
    pub fn on_peer_answered(&mut self, now: Timestamp, key: ServerKey, service: &ServiceName) {
        let is_unreached = self.servers.get(key).is_some_and(|server| server.failed.is_some());
        if let Some(record) = self.services.get_mut(service)
            && let ServiceReach::Suspected { answered_at: answered_at @ None, .. } =
                &mut record.reach
            && is_unreached
        {
            *answered_at = Some(now);
            record.trial_at = Some(now);
        }
    }

    /// Returns how attempts get to a server.
    pub fn path(&self, key: ServerKey, service: &ServiceName) -> ServerPath {
        let server = self.servers.get(key).copied().unwrap_or_default();
        let is_heard_since = |time: Timestamp| server.heard_at.is_some_and(|at| at >= time);
        if let Some(failed) = server.failed {
            return match failed.failure {
                // A single server may have ended by itself, and another process may have taken its place.
                OpenFailure::Lost | OpenFailure::Refused
                    if failed.count < MAX_OWN_TRIES && !self.is_service_unreached(service) =>
                {
                    ServerPath::Direct
                }
                OpenFailure::Lost | OpenFailure::Refused => ServerPath::OpenOnly,
                OpenFailure::TimedOut if is_heard_since(failed.begun_at) => ServerPath::OpenOnly,
                OpenFailure::TimedOut => ServerPath::Forwarded,
            };
        }
        let since = match self.services.get(service).map(|record| record.reach) {
            None | Some(ServiceReach::Reached) => return ServerPath::Direct,
            Some(ServiceReach::Suspected { since, .. })
                if server.joined_at.is_some_and(|at| at >= since) =>
            {
                return ServerPath::Direct;
            }
            Some(
                ServiceReach::Suspected { since, .. } | ServiceReach::Partitioned { since, .. },
            ) => since,
        };
        match is_heard_since(since) {
            true => ServerPath::OpenOnly,
            false => ServerPath::Forwarded,
        }
    }

    /// Returns whether connections to a server cannot be opened, as far as this host knows. Where only one server
    /// loses requests, the server may do so by itself.
    pub fn is_unreached(&self, key: ServerKey, service: &ServiceName) -> bool {
        let failed = self.servers.get(key).and_then(|server| server.failed);
        let is_lost = failed.is_some_and(|failed| failed.failure == OpenFailure::Lost);
        match is_lost {
            true => self.is_service_unreached(service),
            false => self.path(key, service) != ServerPath::Direct,
        }
    }

    /// Returns whether connections to a server time out, and nothing has arrived from it since. Once a
    /// suspicion has settled, that counts for the servers that were not tried, too.
    pub fn is_silent(&self, now: Timestamp, key: ServerKey, service: &ServiceName) -> bool {
        let server = self.servers.get(key).copied().unwrap_or_default();
        let is_unheard = |since| server.heard_at.is_none_or(|at| at < since);
        if let Some(failed) = server.failed {
            return failed.failure == OpenFailure::TimedOut && is_unheard(failed.begun_at);
        }
        let Some(record) = self.services.get(service) else { return false };
        let times_out = record.failed.is_some_and(|(_, failure)| failure == OpenFailure::TimedOut);
        match record.reach {
            ServiceReach::Reached => false,
            ServiceReach::Suspected { since, .. } | ServiceReach::Partitioned { since, .. } => {
                times_out && now.since(since) >= SETTLE_TIME && is_unheard(since)
            }
        }
    }

    /// Returns the servers to which connections could not be opened.
    pub fn unopened_servers(&self) -> impl Iterator<Item = ServerKey> {
        self.servers.iter().filter(|(_, server)| server.failed.is_some()).map(|(key, _)| key)
    }

    /// Returns whether something arrived from a server over this host's connections since a time.
    pub fn is_heard_since(&self, key: ServerKey, time: Timestamp) -> bool {
        self.servers.get(key).is_some_and(|server| {
            server.heard_at.max(server.opened_at).is_some_and(|at| at >= time)
        })
    }

    /// Returns the time since something last arrived from a server over this host's connections.
    pub fn heard_age(&self, now: Timestamp, key: ServerKey) -> Option<Duration> {
        Some(now.since(self.servers.get(key)?.heard_at?))
    }

    /// Returns whether several servers of a service, or all, cannot be reached.
    pub fn is_service_unreached(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(ServiceRecord::is_unreached)
    }

    /// Returns the services that this host does not reach.
    pub fn unreached_services(&self) -> impl Iterator<Item = &ServiceName> {
        let unreached = |(_, record): &(&ServiceName, &ServiceRecord)| record.is_unreached();
        self.services.iter().filter(unreached).map(|(service, _)| service)
    }

    /// Returns when the next trial is due.
    pub fn next_trial_at(&self) -> Option<Timestamp> {
        let services = self.services.values().filter_map(|record| record.trial_at);
        let servers = self.servers.values().filter(|server| !server.is_tried);
        let servers = servers.filter_map(|server| server.failed);
        services.chain(servers.map(|failed| failed.at + failed.trial_delay)).min()
    }

    /// Returns the servers of a service to which a connection should be opened now, to find out whether
    /// this host reaches them. While the service is not reached, that is one of them at a time.
    pub fn take_trials(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        listed: &[ServerKey],
    ) -> Vec<ServerKey> {
        let record = self.services.get_mut(service);
        if let Some(record) = record
            && let Some(trial_at) = record.trial_at
        {
            if trial_at > now {
                return Vec::new();
            }
            record.trial_at = Some(now + TRIAL_PERIOD);
            let known = listed
                .iter()
                .map(|key| (*key, self.servers.get(*key).copied().unwrap_or_default()));
            let oldest = known.filter(|(_, server)| !server.is_tried).min_by_key(|(_, server)| {
                server.failed.map(|failed| failed.at).max(server.opened_at)
            });
            let due: Vec<ServerKey> = oldest.into_iter().map(|(key, _)| key).collect();
            return self.mark_tried(due);
        }
        let is_due = |server: &ServerReach| {
            !server.is_tried
                && server.failed.is_some_and(|failed| failed.at + failed.trial_delay <= now)
        };
        let due = listed.iter().copied();
        let due: Vec<ServerKey> =
            due.filter(|key| self.servers.get(*key).is_some_and(is_due)).collect();
        self.mark_tried(due)
    }

    fn mark_tried(&mut self, mut due: Vec<ServerKey>) -> Vec<ServerKey> {
        due.retain(|key| self.begin_trial(*key));
        due
    }

    /// Marks a server as being tried; returns whether it was not yet.
    pub fn begin_trial(&mut self, key: ServerKey) -> bool {
        self.server(key).is_some_and(|server| !std::mem::replace(&mut server.is_tried, true))
    }

    /// Records that a trial ended.
    pub fn end_trial(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.is_tried = false;
        }
    }

    /// Ends suspicions that no peer has confirmed. Returns the services that count as reached again.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ServiceName> {
        let is_old = |record: &ServiceRecord| {
            record.failed.is_none_or(|(at, _)| now.since(at) >= SUSPICION_TTL)
        };
        let old = self.services.iter().filter(|(_, record)| is_old(record));
        let is_ended = |(_, record): &(&ServiceName, &ServiceRecord)| record.is_unreached();
        let ended = old.filter(is_ended).map(|(service, _)| service.clone()).collect();
        self.services.retain(|_, record| !is_old(record));
        ended
    }

    /// Returns what is known of a server; `None` if another one has taken its key.
    fn server(&mut self, key: ServerKey) -> Option<&mut ServerReach> {
        Some(self.servers.entry(key)?.or_default())
    }
}
