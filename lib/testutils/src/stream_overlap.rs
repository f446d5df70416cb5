//! For how long two replicas worked on one stream.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::deployment_standin::ReplicaRun;
use crate::deployment_standin::StreamEnd;

/// Longest time for which two replicas may work on one stream.
pub const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(400);

/// Two runs of one stream that went on side by side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOverlap {
    /// Request id.
    pub request_id: String,
    /// Ids of the replicas, in the order in which they began.
    pub replicas: [String; 2],
    /// When the second one began.
    pub at: Instant,
    /// For how long both worked.
    pub time: Duration,
}

/// Returns the pairs of runs of a stream at two replicas that went on side by side for over `limit`. A run
/// begins when it reaches its replica, with or without a head, and one without an end runs until `until`.
pub fn long_overlaps(
    runs: &[ReplicaRun],
    ends: &[StreamEnd],
    until: Instant,
    limit: Duration,
) -> Vec<StreamOverlap> {
    let ends: BTreeMap<u64, Instant> = ends.iter().map(|end| (end.run, end.at)).collect();
    let end_of = |run: &ReplicaRun| ends.get(&run.number).copied().unwrap_or(until);
    let mut by_request: BTreeMap<&str, Vec<&ReplicaRun>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.is_stream) {
        by_request.entry(&run.request_id).or_default().push(run);
    }
    let mut overlaps = Vec::new();
    for runs in by_request.values() {
        for (index, second) in runs.iter().enumerate() {
            for first in runs[..index].iter().filter(|first| first.replica != second.replica) {
                let both_end = end_of(first).min(end_of(second));
                let time = both_end.saturating_duration_since(second.at);
                if time > limit {
                    overlaps.push(StreamOverlap {
                        request_id: second.request_id.clone(),
                        replicas: [first.replica_id.clone(), second.replica_id.clone()],
                        at: second.at,
                        time,
                    });
                }
            }
        }
    }
    overlaps
}
