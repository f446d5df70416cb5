//! Merges reports of server crashes and decides which requests cause them.
//!
//! A request is refused after two distinct servers crashed while they ran it, if in at least one of
//! the crashes no other request of any host was in flight there. A request that shared every crash
//! with others is never refused, because any of the others may be the cause. A crash counts against
//! a request only until the request is answered.

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

/// Time for which a crash counts against the requests in flight on the server, and for which a
/// refused request stays refused after it was last sent.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Reports of crashes of one server within this time are merged into one crash.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after a crash for which the requests that were in flight there are held back until every
/// host's report has arrived. Must exceed the time that reports take to reach all hosts.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of crashes after which a request is refused even if all were of one server, counting only
/// crashes in which the request ran alone. Serves services that have only one server.
pub const SAME_SERVER_CRASH_LIMIT: usize = 3;

/// Least number of servers of one availability zone whose crashes within [`ZONE_OUTAGE_WINDOW`]
/// count as an outage of the zone.
pub const ZONE_OUTAGE_MIN_SERVERS: usize = 3;

/// Time within which the crashes of one availability zone's servers count as one outage.
pub const ZONE_OUTAGE_WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct CrashRecord {
    server: ServerId,
    zone: ZoneName,
    at: Timestamp,
    /// When this host first learned of it.
    heard_at: Timestamp,
    /// Requests in flight on the server, by reporting host.
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

/// Result of checking a request against the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No crash counts against it.
    Clear,
    /// A crash is so recent that reports of it may be missing.
    Pending,
    /// It may have crashed a server.
    Suspect {
        /// Hosts that had it in flight in the latest crash, in ascending order.
        reporters: Vec<HostId>,
        /// When this host first learned of that crash.
        heard_at: Timestamp,
        /// Longest time that it ran before a crash.
        ran: Duration,
        /// Servers that crashed while they ran it, in ascending order.
        crashed: Vec<ServerId>,
    },
    /// It crashes servers and must not be sent.
    Refused,
}

/// Crash evidence known to one host, merged from its own reports and those of its peers.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: Vec<CrashRecord>,
    cleared: BTreeMap<WorkFingerprint, Timestamp>,
    refused: BTreeMap<WorkFingerprint, Timestamp>,
}

impl CrashEvidence {
    /// Adds one host's view of a crash. Adding the same view again has no effect.
    pub fn add_view(&mut self, now: Timestamp, view: &CrashView) {
        let at = now - Duration::from_millis(view.age_ms);
        let known = self.crashes.iter_mut().find(|crash| {
            crash.server == view.server
                && at.since(crash.at).max(crash.at.since(at)) <= SAME_CRASH_WINDOW
        });
        let companions = || view.companions.iter().take(MAX_AFFECTED_REQUESTS).cloned().collect();
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

    /// Returns whether the request was in flight in any recorded crash.
    pub fn involves(&self, fingerprint: WorkFingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.involves(fingerprint))
    }

    /// Records that a suspect was answered or passed its trial. Earlier crashes no longer count, as
    /// it does not crash every server that runs it.
    pub fn add_cleared(&mut self, at: Timestamp, fingerprint: WorkFingerprint) {
        keep_latest(&mut self.cleared, at, fingerprint);
    }

    /// Records that a refused request was sent again to this or another host.
    pub fn add_refused(&mut self, at: Timestamp, fingerprint: WorkFingerprint) {
        keep_latest(&mut self.refused, at, fingerprint);
    }

    /// Drops crashes of a server at or after `since`, because its shutdown was expected.
    pub fn drop_crashes(&mut self, server: &ServerId, since: Timestamp) {
        self.crashes.retain(|crash| crash.server != *server || crash.at < since);
    }

    /// Drops entries older than [`CRASH_RETENTION`].
    pub fn expire(&mut self, now: Timestamp) {
        let fresh = |at: &Timestamp| now.since(*at) < CRASH_RETENTION;
        self.crashes.retain(|crash| fresh(&crash.at));
        self.cleared.retain(|_, at| fresh(at));
        self.refused.retain(|_, at| fresh(at));
    }

    /// Returns whether no crash and no refusal is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.refused.is_empty()
    }

    /// Checks a request against the recorded crashes and refusals.
    pub fn verdict(&self, now: Timestamp, fingerprint: WorkFingerprint) -> CrashVerdict {
        if self.refused.contains_key(&fingerprint) {
            return CrashVerdict::Refused;
        }
        let cleared_at = self.cleared.get(&fingerprint).copied().unwrap_or_default();
        let counts = |crash: &&CrashRecord| {
            crash.at > cleared_at && crash.involves(fingerprint) && !self.is_zone_outage(crash)
        };
        let relevant: Vec<&CrashRecord> = self.crashes.iter().filter(counts).collect();
        let Some(latest) = relevant.first() else { return CrashVerdict::Clear };
        if relevant.iter().any(|crash| now.since(crash.heard_at) < SETTLE_TIME) {
            return CrashVerdict::Pending;
        }
        let servers: BTreeSet<&ServerId> = relevant.iter().map(|crash| &crash.server).collect();
        let alone = relevant.iter().filter(|crash| crash.fingerprints().len() == 1).count();
        if (servers.len() >= 2 && alone >= 1) || alone >= SAME_SERVER_CRASH_LIMIT {
            return CrashVerdict::Refused;
        }
        let reporters = latest.views.iter().filter(|(_, companions)| {
            companions.iter().any(|companion| companion.fingerprint == fingerprint)
        });
        CrashVerdict::Suspect {
            reporters: reporters.map(|(host, _)| host.clone()).collect(),
            heard_at: latest.heard_at,
            ran: longest_run(&relevant, fingerprint),
            crashed: servers.into_iter().cloned().collect(),
        }
    }

    /// Returns whether a crash is part of an outage of its availability zone: enough servers crashed
    /// together, and no single request was in flight on all of them.
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
