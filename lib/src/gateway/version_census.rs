//! Which software versions of each service were listed, and when, as this host saw it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Time without a listed server of a version after which its next one counts as a return.
const ABSENCE_TIME: Duration = Duration::from_secs(5);

/// Time after which a version that is not listed is forgotten.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of versions of a service that are kept. Of more, those that were listed last stay.
const MAX_VERSIONS: usize = 256;

/// A server as it is listed.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer<'a> {
    /// Service that it runs.
    pub service: &'a ServiceName,
    /// Version of its software.
    pub version: &'a SoftwareVersion,
    /// Whether it is not leaving.
    pub is_staying: bool,
}

/// When a version was listed, and with how many servers.
#[derive(Clone, Copy, Debug)]
struct VersionSighting {
    last: Timestamp,
    /// Servers at the last look that are not leaving.
    staying: usize,
}

/// A version whose servers are listed again after a while without any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedVersion {
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: SoftwareVersion,
}

/// The versions of all services that this host has seen.
#[derive(Clone, Debug, Default)]
pub struct VersionCensus {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, VersionSighting>>,
    /// When this host first saw the directory.
    began_at: Option<Timestamp>,
}

impl VersionCensus {
    /// Records what the directory lists now; returns the versions that are back.
    pub fn observe<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = ListedServer<'a>>,
    ) -> Vec<ReturnedVersion> {
        self.began_at.get_or_insert(now);
        let mut returned = Vec::new();
        for sighting in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            sighting.staying = 0;
        }
        for ListedServer { service, version, is_staying } in listed {
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), BTreeMap::new());
            }
            let Some(versions) = self.services.get_mut(service) else { continue };
            match versions.get_mut(version) {
                Some(sighting) => {
                    if now.since(sighting.last) > ABSENCE_TIME {
                        let (service, version) = (service.clone(), version.clone());
                        returned.push(ReturnedVersion { service, version });
                    }
                    sighting.last = now;
                    sighting.staying += usize::from(is_staying);
                }
                None => {
                    let staying = usize::from(is_staying);
                    versions.insert(version.clone(), VersionSighting { last: now, staying });
                }
            }
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, sighting| now.since(sighting.last) < RETENTION);
            while versions.len() > MAX_VERSIONS {
                let oldest = versions.iter().min_by_key(|(_, sighting)| sighting.last);
                let Some(oldest) = oldest.map(|(version, _)| version.clone()) else { break };
                versions.remove(&oldest);
            }
        }
        returned
    }

    /// Records that a server of a version joined, however soon it leaves again. Returns whether the
    /// version was away before, as far as this host knows.
    pub fn on_joined(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> bool {
        let has_begun = self.began_at.is_some();
        let versions = self.services.entry(service.clone()).or_default();
        let Some(sighting) = versions.get_mut(version) else {
            versions.insert(version.clone(), VersionSighting { last: now, staying: 0 });
            return has_begun;
        };
        let was_away = now.since(sighting.last) > ABSENCE_TIME;
        sighting.last = now;
        was_away
    }

    /// Returns when this host first saw the directory.
    pub fn began_at(&self) -> Option<Timestamp> {
        self.began_at
    }

    /// Returns the version of a service that alone was listed for at least `span`; `None` if there were
    /// several, or this host has not looked for that long.
    pub fn only_version(
        &self,
        now: Timestamp,
        service: &ServiceName,
        span: Duration,
    ) -> Option<&SoftwareVersion> {
        if !self.has_looked_for(now, span) {
            return None;
        }
        let mut listed = self.listed_within(now, service, span);
        listed.next().filter(|_| listed.next().is_none())
    }

    /// Returns whether no server of a version was listed for at least `span`.
    pub fn is_gone(
        &self,
        now: Timestamp,
        service: &ServiceName,
        version: &SoftwareVersion,
        span: Duration,
    ) -> bool {
        self.has_looked_for(now, span)
            && self.listed_within(now, service, span).all(|listed| listed != version)
    }

    /// Returns the version with the most servers that stay, the first one of equals.
    pub fn largest(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let versions = self.services.get(service)?.iter().rev();
        let staying = versions.filter(|(_, sighting)| sighting.staying > 0);
        staying.max_by_key(|(_, sighting)| sighting.staying).map(|(version, _)| version)
    }

    /// Returns whether a server of a version is listed, or was lately.
    pub fn was_listed(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.services.get(service).is_some_and(|versions| versions.contains_key(version))
    }

    /// Returns whether a version has servers that stay.
    pub fn has_servers(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let versions = self.services.get(service);
        versions
            .and_then(|versions| versions.get(version))
            .is_some_and(|sighting| sighting.staying > 0)
    }

    /// Returns the number of versions with servers that stay.
    pub fn staying_versions(&self, service: &ServiceName) -> usize {
        let versions = self.services.get(service);
        versions
            .map_or(0, |versions| versions.values().filter(|sighting| sighting.staying > 0).count())
    }

    fn has_looked_for(&self, now: Timestamp, span: Duration) -> bool {
        self.began_at.is_some_and(|began_at| now.since(began_at) >= span)
    }

    fn listed_within(
        &self,
        now: Timestamp,
        service: &ServiceName,
        span: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |(_, sighting)| now.since(sighting.last) < span)
            .map(|(version, _)| version)
    }
}
