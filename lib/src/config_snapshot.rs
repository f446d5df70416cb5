//! Snapshot, status and settings of the configuration follower.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::checkpoint_duty::CheckpointSchedule;
use crate::config_fold::ConfigDigest;
use crate::config_replica::ConfigReplica;
use crate::config_replica::ReplicaState;
use crate::ids::LogOffset;
use crate::resource::ConfigState;
use crate::result_code::ResultCode;

/// Settings of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Interval between reads of the log when no hint arrives.
    pub poll_interval: Duration,
    /// Timeout for reading back the record of a published change.
    pub publish_timeout: Duration,
    /// When to write checkpoints.
    pub schedule: CheckpointSchedule,
}

/// The configuration in force at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// Configuration.
    pub state: Arc<ConfigState>,
    /// Offset of the last accepted change; `None` before the first.
    pub revision: Option<LogOffset>,
    /// Offset of the first record that is not yet folded; heartbeats carry it as a hint.
    pub next_offset: LogOffset,
    /// Hash of state and revision: equal on all hosts at the same revision.
    pub digest: ConfigDigest,
    /// State of the replica.
    pub replica_state: ReplicaState,
}

/// Status of a follower, for readiness checks and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// State of the replica.
    pub replica_state: ReplicaState,
    /// Whether the last read of the log succeeded.
    pub log_readable: bool,
    /// Skipped records by result code.
    pub skipped: BTreeMap<ResultCode, u64>,
    /// Checkpoints written by this host since it started.
    pub checkpoints_written: u64,
}

impl ConfigSnapshot {
    /// Returns a snapshot of the replica's configuration.
    pub fn of(replica: &ConfigReplica) -> Self {
        let fold = replica.fold();
        Self {
            state: Arc::clone(fold.state()),
            revision: fold.revision(),
            next_offset: fold.next_offset(),
            digest: fold.digest(),
            replica_state: replica.state(),
        }
    }
}
