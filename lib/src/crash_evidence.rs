//! Merged evidence about server crashes and the verdict that follows from it.
//!
//! A request is refused after crashes of two distinct servers that ran it, in one of which no
//! other request of any host ran there. A request that shared every crash with others is never
//! refused: each of the others may be the cause. A crash counts only as long as the request has not
//! been answered after it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::crash_report::AffectedRequest;
use crate::crash_report::AgedVerdict;
use crate::crash_report::CrashView;
use crate::crash_report::MAX_AFFECTED_REQUESTS;
use crate::crash_report::MAX_REPORT_ENTRIES;
use crate::crash_report::WorkFingerprint;
use crate::ids::HostId;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::timestamp::Timestamp;

/// Time for which a crash is held against the requests that ran there, and for which a refused
/// request stays refused after it was last sent.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Views of crashes of one server within this time are views of one crash.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after a crash for which requests that ran there wait, so that every host's view of it
/// arrives. Must be longer than reports take to reach all hosts.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Crashes of one and the same server with the request alone on it after which it is refused, for
/// services that have no second server to try it on.
pub const SAME_SERVER_CRASH_LIMIT: usize = 3;

/// Servers of one availability zone that end together when the zone is lost.
pub const ZONE_OUTAGE_MIN_SERVERS: usize = 3;

/// Time within which servers end together when their availability zone is lost.
pub const ZONE_OUTAGE_WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct CrashRecord {
    server: ServerId,
    zone: ZoneName,
    at: Timestamp,
    /// When this host first heard of it.
    heard_at: Timestamp,
    /// Companions by reporter.
    views: BTreeMap<HostId, Vec<AffectedRequest>>,
}

impl CrashRecord {
    fn involves(&self, fingerprint: WorkFingerprint) -> bool {
        self.companions().any(|companion| companion.fingerprint == fingerprint)
    }

    fn companions(&self) -> impl Iterator<Item = &AffectedRequest> {
        self.views.values().flatten()
    }

    fn fingerprints(&self) -> BTreeSet<WorkFingerprint> {
        self.companions().map(|companion| companion.fingerprint).collect()
    }
}

/// What the evidence says about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing is held against it.
    Clear,
    /// A crash is so recent that views of it may be missing.
    Pending,
    /// It may have crashed a server.
    Suspect {
        /// Hosts that saw it in the latest crash, in order.
        reporters: Vec<HostId>,
        /// When this host first heard of that crash.
        heard_at: Timestamp,
        /// Longest time that it ran before a crash.
        ran: Duration,
        /// Servers that crashed with it, in order.
        crashed: Vec<ServerId>,
    },
    /// It crashes servers.
    Refused,
}

/// Evidence that one host has, its own and that of others.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: Vec<CrashRecord>,
    cleared: BTreeMap<WorkFingerprint, Timestamp>,
    refused: BTreeMap<WorkFingerprint, Timestamp>,
}

impl CrashEvidence {
    /// Adds one host's view of a crash; a view that is known already changes nothing.
    pub fn add_view(&mut self, now: Timestamp, view: &CrashView) {
        let at = now - Duration::from_millis(view.age_ms);
        let known = self.crashes.iter_mut().find(|crash| {
            crash.server == view.server
                && at.since(crash.at).max(crash.at.since(at)) <= SAME_CRASH_WINDOW
        });
        let companions = || view.companions.iter().take(MAX_AFFECTED_REQUESTS).copied().collect();
        match known {
            Some(crash) => {
                crash.views.entry(view.reporter.clone()).or_insert_with(companions);
            }
            None => {
                self.crashes.push(CrashRecord {
                    server: view.server.clone(),
                    zone: view.zone.clone(),
                    at,
                    heard_at: now,
                    views: BTreeMap::from([(view.reporter.clone(), companions())]),
                });
                self.crashes.sort_by(|a, b| b.at.cmp(&a.at).then(a.server.cmp(&b.server)));
                self.crashes.truncate(MAX_REPORT_ENTRIES);
            }
        }
    }

    /// Returns whether any crash involves the request.
    pub fn involves(&self, fingerprint: WorkFingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.involves(fingerprint))
    }

    /// Records that a suspect was answered or ran well alone: earlier crashes prove nothing, as it
    /// does not crash every server that runs it.
    pub fn add_cleared(&mut self, at: Timestamp, fingerprint: WorkFingerprint) {
        keep_latest(&mut self.cleared, at, fingerprint);
    }

    /// Records that a refused request was sent again, here or at another host.
    pub fn add_refused(&mut self, at: Timestamp, fingerprint: WorkFingerprint) {
        keep_latest(&mut self.refused, at, fingerprint);
    }

    /// Drops crashes of a server whose end was announced.
    pub fn drop_crashes(&mut self, server: &ServerId, since: Timestamp) {
        self.crashes.retain(|crash| crash.server != *server || crash.at < since);
    }

    /// Drops what is older than the retention.
    pub fn expire(&mut self, now: Timestamp) {
        let fresh = |at: &Timestamp| now.since(*at) < CRASH_RETENTION;
        self.crashes.retain(|crash| fresh(&crash.at));
        self.cleared.retain(|_, at| fresh(at));
        self.refused.retain(|_, at| fresh(at));
    }

    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.refused.is_empty()
    }

    /// Judges a request.
    pub fn verdict(&self, now: Timestamp, fingerprint: WorkFingerprint) -> CrashVerdict {
        if self.refused.contains_key(&fingerprint) {
            return CrashVerdict::Refused;
        }
        let cleared_at = self.cleared.get(&fingerprint).copied().unwrap_or_default();
        let counts = |crash: &&CrashRecord| {
            crash.at > cleared_at && crash.involves(fingerprint) && !self.is_zone_outage(crash)
        };
        let named: Vec<&CrashRecord> = self.crashes.iter().filter(counts).collect();
        let Some(latest) = named.first() else { return CrashVerdict::Clear };
        if named.iter().any(|crash| now.since(crash.heard_at) < SETTLE_TIME) {
            return CrashVerdict::Pending;
        }
        let servers: BTreeSet<&ServerId> = named.iter().map(|crash| &crash.server).collect();
        let alone = named.iter().filter(|crash| crash.fingerprints().len() == 1).count();
        if (servers.len() >= 2 && alone >= 1) || alone >= SAME_SERVER_CRASH_LIMIT {
            return CrashVerdict::Refused;
        }
        let reporters = latest.views.iter().filter(|(_, companions)| {
            companions.iter().any(|companion| companion.fingerprint == fingerprint)
        });
        CrashVerdict::Suspect {
            reporters: reporters.map(|(host, _)| host.clone()).collect(),
            heard_at: latest.heard_at,
            ran: longest_run(&named, fingerprint),
            crashed: servers.into_iter().cloned().collect(),
        }
    }

    /// Returns whether a crash is one of many in its availability zone that no one request
    /// explains.
    fn is_zone_outage(&self, crash: &CrashRecord) -> bool {
        let together: Vec<&CrashRecord> = self
            .crashes
            .iter()
            .filter(|other| {
                other.zone == crash.zone
                    && other.at.since(crash.at).max(crash.at.since(other.at)) <= ZONE_OUTAGE_WINDOW
            })
            .collect();
        let servers: BTreeSet<&ServerId> = together.iter().map(|crash| &crash.server).collect();
        let mut common = crash.fingerprints();
        for other in &together {
            common.retain(|&fingerprint| other.involves(fingerprint));
        }
        servers.len() >= ZONE_OUTAGE_MIN_SERVERS && common.is_empty()
    }

    /// Returns all views of crashes, newest first.
    pub fn views(&self, now: Timestamp) -> Vec<CrashView> {
        let views = self.crashes.iter().flat_map(|crash| {
            crash.views.iter().map(|(reporter, companions)| CrashView {
                server: crash.server.clone(),
                zone: crash.zone.clone(),
                reporter: reporter.clone(),
                age_ms: age_ms(now, crash.at),
                companions: companions.clone(),
            })
        });
        views.take(MAX_REPORT_ENTRIES).collect()
    }

    /// Returns the cleared suspects.
    pub fn cleared(&self, now: Timestamp) -> Vec<AgedVerdict> {
        verdict_views(&self.cleared, now)
    }

    /// Returns the refused requests.
    pub fn refused(&self, now: Timestamp) -> Vec<AgedVerdict> {
        verdict_views(&self.refused, now)
    }
}

fn longest_run(crashes: &[&CrashRecord], fingerprint: WorkFingerprint) -> Duration {
    let runs = crashes.iter().flat_map(|crash| crash.companions());
    let own = runs.filter(|companion| companion.fingerprint == fingerprint);
    Duration::from_millis(own.map(|companion| companion.ran_ms).max().unwrap_or(0))
}

fn keep_latest(
    verdicts: &mut BTreeMap<WorkFingerprint, Timestamp>,
    at: Timestamp,
    fingerprint: WorkFingerprint,
) {
    let kept = verdicts.entry(fingerprint).or_insert(at);
    *kept = at.max(*kept);
    if verdicts.len() > MAX_REPORT_ENTRIES {
        let oldest = verdicts.iter().min_by_key(|(_, at)| **at).map(|(&found, _)| found);
        if let Some(oldest) = oldest {
            verdicts.remove(&oldest);
        }
    }
}

fn verdict_views(
    verdicts: &BTreeMap<WorkFingerprint, Timestamp>,
    now: Timestamp,
) -> Vec<AgedVerdict> {
    let views = verdicts.iter();
    views.map(|(&fingerprint, &at)| AgedVerdict { fingerprint, age_ms: age_ms(now, at) }).collect()
}

fn age_ms(now: Timestamp, at: Timestamp) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
