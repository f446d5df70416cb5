//! Merges all sources of backend servers into the list that the router uses.
//!
//! The configuration has the servers with static addresses and the hosts that operators drain. The
//! platform's host list has all other servers, but lags behind. Reclaim notices and announcements
//! of peers arrive before that list is updated. A server is leaving if any source says so.

use std::collections::BTreeMap;

use crate::host_list::HostEntry;
use crate::host_list::HostRole;
use crate::host_list::HostState;
use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::request_router::ServerInfo;
use crate::request_router::ServerState;
use crate::resource::ConfigState;
use crate::resource::ServiceResource;
use crate::resource::StaticServer;
use crate::timestamp::Timestamp;

/// Time after which a leaving mark expires and the state in the host list applies again. By then
/// the host list has caught up.
pub const LEAVING_MARK_TTL: std::time::Duration = std::time::Duration::from_secs(60);

/// Combines the host list with the hosts that are marked as leaving.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    hosts: Vec<HostEntry>,
    leaving: BTreeMap<HostId, Timestamp>,
}

impl ServerDirectory {
    /// Replaces the host list and removes expired leaving marks.
    pub fn set_hosts(&mut self, now: Timestamp, hosts: Vec<HostEntry>) {
        self.hosts = hosts;
        self.leaving.retain(|_, since| now.since(*since) < LEAVING_MARK_TTL);
    }

    /// Marks a host as leaving, or renews its mark; returns whether it was not marked before.
    pub fn mark_leaving(&mut self, now: Timestamp, host: &HostId) -> bool {
        self.leaving.insert(host.clone(), now).is_none()
    }

    /// Returns the hosts that are marked as leaving, ordered by id.
    pub fn leaving(&self) -> impl Iterator<Item = &HostId> {
        self.leaving.keys()
    }

    /// Returns the backend servers of all services of the configuration, grouped by service: static
    /// servers first, then those of the host list in its order.
    pub fn servers(&self, config: &ConfigState) -> Vec<ServerInfo> {
        let mut servers = Vec::new();
        for service in config.services.values() {
            servers.extend(self.static_servers(service, config));
            let listed = self.hosts.iter().filter_map(|entry| self.listed(entry, service, config));
            servers.extend(listed);
        }
        servers
    }

    fn static_servers(&self, service: &ServiceResource, config: &ConfigState) -> Vec<ServerInfo> {
        let server = |server: &StaticServer| {
            let host = HostId::try_from(server.address.to_string()).ok()?;
            let leaving = self.leaving.contains_key(&host) || config.drained.contains(&host);
            Some(ServerInfo {
                id: server_id(&service.name, &host)?,
                host,
                address: server.address,
                zone: server.zone.clone(),
                service: service.name.clone(),
                state: if leaving { ServerState::Leaving } else { ServerState::Live },
                concurrency: service.server_concurrency,
            })
        };
        service.static_servers.iter().filter_map(server).collect()
    }

    fn listed(
        &self,
        entry: &HostEntry,
        service: &ServiceResource,
        config: &ConfigState,
    ) -> Option<ServerInfo> {
        if entry.duty != HostRole::Backend(service.name.clone()) {
            return None;
        }
        let address = match entry.address.parse() {
            Ok(address) => address,
            Err(error) => {
                log::warn!("event=bad_host_address host={} error=\"{error}\"", entry.host);
                return None;
            }
        };
        let leaving = entry.state == HostState::Leaving
            || self.leaving.contains_key(&entry.host)
            || config.drained.contains(&entry.host);
        Some(ServerInfo {
            id: server_id(&service.name, &entry.host)?,
            host: entry.host.clone(),
            address,
            zone: entry.zone.clone(),
            service: service.name.clone(),
            state: if leaving { ServerState::Leaving } else { ServerState::Live },
            concurrency: service.server_concurrency,
        })
    }
}

/// Returns the id of a service's server on a host, or `None` if the joined name is too long.
fn server_id(service: &ServiceName, host: &HostId) -> Option<ServerId> {
    let id = ServerId::try_from(format!("{service}:{host}"));
    if id.is_err() {
        log::warn!("event=server_name_too_long service={service} host={host}");
    }
    id.ok()
}
