//! Which software versions of a service this host knows to be free of orders.
//!
//! Failure pattern: servers of a new version register as soon as they are ordered, and a host reads the
//! directory before it reads the order. A version that is listed beside others is used only after a read
//! of the operators' log that began later than its first listing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ServiceName;
use crate::software_version::SoftwareVersion;
use crate::timestamp::Timestamp;

/// Whether a version was looked up among the orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionCheck {
    Checked,
    /// First listed at this time, and not looked up since.
    Unchecked(Timestamp),
}

/// Versions of all services.
#[derive(Clone, Debug, Default)]
pub struct VersionGate {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, VersionCheck>>,
}

impl VersionGate {
    /// Records which versions the directory lists. Returns whether the orders must be read.
    pub fn observe<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) -> bool {
        let mut current: BTreeMap<&ServiceName, BTreeSet<&SoftwareVersion>> = BTreeMap::new();
        for (service, version) in listed {
            current.entry(service).or_default().insert(version);
        }
        let mut must_read = false;
        for (service, versions) in current {
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), BTreeMap::new());
            }
            let Some(known) = self.services.get_mut(service) else { continue };
            // A service whose servers are all lost keeps its versions, so this forgets one only when
            // another is listed.
            known.retain(|version, _| versions.contains(version));
            let is_alone = known.is_empty() && versions.len() == 1;
            for version in versions {
                if !known.contains_key(version) {
                    let check = match is_alone {
                        true => VersionCheck::Checked,
                        false => VersionCheck::Unchecked(now),
                    };
                    must_read |= !is_alone;
                    known.insert(version.clone(), check);
                }
            }
        }
        must_read
    }

    /// Records a read of the orders that began at a time.
    pub fn on_orders_read(&mut self, begun_at: Timestamp) {
        for check in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            if matches!(check, VersionCheck::Unchecked(listed_at) if *listed_at <= begun_at) {
                *check = VersionCheck::Checked;
            }
        }
    }

    /// Returns whether a version may be used as far as orders are known.
    pub fn is_checked(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let Some(known) = self.services.get(service) else { return true };
        known.get(version) == Some(&VersionCheck::Checked)
    }

    /// Returns whether some version of a service is unchecked.
    pub fn has_unchecked(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|known| {
            known.values().any(|check| matches!(check, VersionCheck::Unchecked(_)))
        })
    }

    /// Returns whether some version of any service is unchecked.
    pub fn must_read_orders(&self) -> bool {
        self.services.keys().any(|service| self.has_unchecked(service))
    }

    /// Returns the versions that are listed, or were listed last.
    pub fn versions(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.services.get(service).into_iter().flat_map(BTreeMap::keys)
    }
}
