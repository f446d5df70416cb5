//! Detects requests that crash backend servers and refuses to send them again.
//!
//! Load pattern: a request that crashes every server that runs it is retried again and again, on
//! any host, and each crash also fails the other requests on that server. A request becomes a
//! suspect of a crash if its attempt was lost on a server whose process then turned out to be gone.
//! A suspect of three crashes is refused; a harmless request is hardly ever in flight on three
//! crashing servers in a row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::ServerId;
use crate::timestamp::Timestamp;

/// Number of crashes after which a suspect is refused.
const CRASHES_TO_REFUSE: usize = 3;

/// Time after a lost attempt within which its server must turn out to be gone for it to count as a
/// crash.
const CRASH_CONFIRMATION_WINDOW: Duration = Duration::from_secs(4);

/// Time after the last crash report for which a suspect is remembered; callers retry within
/// seconds.
const SUSPECT_TTL: Duration = Duration::from_secs(60);

/// Time for which a crash report is gossiped to peers; it spans several summaries.
const GOSSIP_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of suspects; the oldest are evicted first.
const MAX_SUSPECTS: usize = 4_096;

/// What showed that a server's process is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitEvidence {
    /// A new connection was not established.
    NotConnected,
    /// The directory lists a new process.
    Restarted,
    /// The directory lists the server no more.
    Unlisted,
}

/// Identifies requests with the same caller, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallFingerprint(pub u64);

impl CallFingerprint {
    /// Hashes the caller, path and body of a request.
    pub fn new(caller: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [caller.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    /// Servers that crashed while they ran it, as seen by this host or a peer.
    crashed_servers: BTreeSet<ServerId>,
    /// Crashes seen by this host, and when.
    own_reports: BTreeMap<ServerId, Timestamp>,
    seen_at: Timestamp,
}

/// Suspected requests, and recently lost attempts whose server may yet turn out to have crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    lost: BTreeMap<ServerId, Vec<(CallFingerprint, Timestamp)>>,
    suspects: BTreeMap<CallFingerprint, SuspectRecord>,
}

impl CrashTracker {
    /// Records an attempt whose connection broke before its response was complete.
    pub fn on_connection_lost(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        fingerprint: CallFingerprint,
    ) {
        let lost = self.lost.entry(server.clone()).or_default();
        lost.retain(|(_, at)| now.since(*at) < CRASH_CONFIRMATION_WINDOW);
        lost.push((fingerprint, now));
    }

    /// Records that a server's process is gone; returns the suspects.
    pub fn on_server_gone(&mut self, now: Timestamp, server: &ServerId) -> Vec<CallFingerprint> {
        let lost = self.lost.remove(server).unwrap_or_default();
        let recent = lost.into_iter().filter(|(_, at)| now.since(*at) < CRASH_CONFIRMATION_WINDOW);
        let fingerprints: BTreeSet<CallFingerprint> =
            recent.map(|(fingerprint, _)| fingerprint).collect();
        for fingerprint in &fingerprints {
            self.on_crash_report(now, *fingerprint, server.clone());
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.own_reports.insert(server.clone(), now);
            }
        }
        fingerprints.into_iter().collect()
    }

    /// Records that a request is a suspect of a server's crash.
    pub fn on_crash_report(
        &mut self,
        now: Timestamp,
        fingerprint: CallFingerprint,
        server: ServerId,
    ) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.crashed_servers.insert(server);
        suspect.seen_at = now;
    }

    /// Returns whether a request must not be sent to any server.
    pub fn is_refused(&self, fingerprint: CallFingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.crashed_servers.len() >= CRASHES_TO_REFUSE)
    }

    /// Returns this host's own recent crash reports, to gossip to peers.
    pub fn own_reports(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (CallFingerprint, &ServerId)> {
        let is_recent = move |at: &Timestamp| now.since(*at) < GOSSIP_WINDOW;
        self.suspects.iter().flat_map(move |(fingerprint, suspect)| {
            let recent = suspect.own_reports.iter().filter(move |(_, at)| is_recent(at));
            recent.map(move |(server, _)| (*fingerprint, server))
        })
    }

    /// Drops expired suspects and lost attempts.
    pub fn expire(&mut self, now: Timestamp) {
        self.lost.retain(|_, lost| {
            lost.iter().any(|(_, at)| now.since(*at) < CRASH_CONFIRMATION_WINDOW)
        });
        self.suspects.retain(|_, suspect| now.since(suspect.seen_at) < SUSPECT_TTL);
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.seen_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.suspects.remove(&oldest);
        }
    }
}
