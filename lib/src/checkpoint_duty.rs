//! Decides when a host writes a checkpoint of the configuration.
//!
//! The holder of the checkpoint duty writes well within the log's retention. If it does not, every
//! other host writes at its own later time: as long as any host is alive, no accepted change
//! expires from the log without a checkpoint that covers it. A redundant checkpoint is harmless.

use std::time::Duration;

use crate::config_replica::ConfigReplica;

/// Window over which hosts spread their writes if no checkpoint is readable.
pub const MISSING_CHECKPOINT_SPREAD: Duration = Duration::from_secs(10);

/// When to write checkpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointSchedule {
    /// Retention of the log.
    pub retention: Duration,
    /// Number of records after the newest checkpoint at which the holder writes another.
    pub max_records: u64,
    /// Rank of this host among all hosts, 0 to 999, for example from a hash of its id.
    pub rank_permille: u16,
}

/// Decides when this host writes a checkpoint.
#[derive(Debug)]
pub struct CheckpointDuty {
    schedule: CheckpointSchedule,
    is_holder: bool,
    missing_since_ms: Option<u64>,
}

impl CheckpointDuty {
    /// Creates the state of a host that does not hold the duty.
    pub fn new(schedule: CheckpointSchedule) -> Self {
        Self { schedule, is_holder: false, missing_since_ms: None }
    }

    /// Sets whether this host holds the duty.
    pub fn set_holder(&mut self, is_holder: bool) {
        self.is_holder = is_holder;
    }

    /// Returns whether this host must write a checkpoint now.
    pub fn is_due(&mut self, replica: &ConfigReplica) -> bool {
        if !replica.is_caught_up() || replica.fold().history().next().is_none() {
            return false;
        }
        let first = replica.first_readable();
        let usable = replica.newest_checkpoint().filter(|seen| seen.is_usable(first));
        let Some(seen) = usable else { return self.is_due_missing(replica) };
        self.missing_since_ms = None;
        let records = replica.cursor().0.saturating_sub(seen.next_offset.0);
        let age_ms = replica.log_now_ms().saturating_sub(seen.needed_ms);
        (self.is_holder && records >= self.schedule.max_records) || age_ms >= self.max_age_ms()
    }

    /// Returns whether a checkpoint is due when the log holds no usable one.
    fn is_due_missing(&mut self, replica: &ConfigReplica) -> bool {
        let now_ms = replica.log_now_ms();
        let since_ms = *self.missing_since_ms.get_or_insert(now_ms);
        if self.is_holder {
            return true;
        }
        if replica.first_readable().0 == 0 {
            let oldest_ms = replica.oldest_change_ms().unwrap_or(now_ms);
            return now_ms.saturating_sub(oldest_ms) >= self.max_age_ms();
        }
        let rank = u64::from(self.schedule.rank_permille);
        now_ms.saturating_sub(since_ms) >= to_millis(MISSING_CHECKPOINT_SPREAD) * rank / 1_000
    }

    /// Returns the age at which this host writes: a quarter of the retention for the holder, a half
    /// to three quarters for the others, by rank.
    fn max_age_ms(&self) -> u64 {
        let retention_ms = to_millis(self.schedule.retention);
        if self.is_holder {
            return retention_ms / 4;
        }
        retention_ms / 2 + retention_ms / 4 * u64::from(self.schedule.rank_permille) / 1_000
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
