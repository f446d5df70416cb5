//! Fetches the burn contributions of all hosts over the peer link when a report is requested.
//!
//! A report is read a few times a day, so fetching on demand costs less than sending contributions
//! continuously.

use std::sync::Mutex;
use std::sync::PoisonError;

use crate::burn::BurnContribution;
use crate::burn::BurnMerger;
use crate::burn::Result;
use crate::burn_report::BurnReport;
use crate::ids::HostId;
use crate::member_snapshot::MemberSnapshot;
use crate::member_snapshot::MemberState;
use crate::member_snapshot::MemberView;
use crate::peer_client::PeerClient;

/// Maximum concurrent calls to peers.
const CONCURRENT_CALLS: usize = 16;

/// Returns the report over the local host and all others that reply.
///
/// A host that cannot be reached, or whose contribution is invalid, is listed as missing.
pub fn collect_report(
    unix_ms: u64,
    local: BurnContribution,
    snapshot: &MemberSnapshot,
    client: &PeerClient,
) -> Result<BurnReport> {
    let mut merger = BurnMerger::default();
    merger.merge(local);
    let queue = Mutex::new(snapshot.members.iter());
    let collected = Mutex::new((merger, Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_CALLS.min(snapshot.members.len()) {
            scope.spawn(|| {
                while let Some(member) = lock(&queue).next() {
                    let result = fetch_contribution(client, member);
                    let mut collected = lock(&collected);
                    match result {
                        Ok(contribution) => collected.0.merge(contribution),
                        Err(host) => collected.1.push(host),
                    }
                }
            });
        }
    });
    let (merger, mut missing) = collected.into_inner().unwrap_or_else(PoisonError::into_inner);
    missing.sort();
    BurnReport::build(unix_ms, &merger, missing)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn fetch_contribution(
    client: &PeerClient,
    member: &MemberView,
) -> std::result::Result<BurnContribution, HostId> {
    if member.state == MemberState::Unreachable {
        return Err(member.host.clone());
    }
    let bytes = client.fetch_burn(member.address).map_err(|error| {
        log::warn!("event=burn_missing host={} error={error}", member.host);
        member.host.clone()
    })?;
    let contribution = BurnContribution::decode(&bytes).map_err(|error| {
        log::warn!("event=burn_refused host={} code={} error={error}", member.host, error.code());
        member.host.clone()
    })?;
    // A peer may only send its own contribution.
    if contribution.host == member.host { Ok(contribution) } else { Err(member.host.clone()) }
}
