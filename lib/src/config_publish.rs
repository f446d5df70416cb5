//! Publishes configuration changes and determines their outcomes.

use std::time::Instant;

use crate::config_fold::ChangeOutcome;
use crate::config_fold::ChangeStatus;
use crate::config_follower::FollowerShared;
use crate::config_record::ConfigChange;
use crate::config_record::ConfigRecord;
use crate::config_replica::ReplicaState;
use crate::ids::LogOffset;
use crate::log_service::LogError;
use crate::log_service::LogStream;
use crate::resource_error::ResourceError;

/// Outcome of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is in the log at the offset and in force.
    Accepted(LogOffset),
    /// A resource was written after the base of the change; holds the revision then in force.
    Conflict(Option<LogOffset>),
    /// The change breaks a validation rule and has no effect.
    Rejected(ResourceError),
    /// The id was used before with other content; the change has no effect.
    IdReused,
    /// The outcome is unknown; retry with the same id and content.
    Pending,
    /// The change is not in the log; nothing was published.
    LogUnavailable(String),
}

impl PublishOutcome {
    /// Returns the outcome of a change whose record was folded at the offset.
    pub fn of(offset: LogOffset, outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted => Self::Accepted(offset),
            ChangeOutcome::Conflict(current) => Self::Conflict(current),
            ChangeOutcome::Rejected(error) => Self::Rejected(error),
        }
    }
}

/// Whether a change may have been published before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PublishAttempt {
    /// The change id has never been used.
    First,
    /// The change may have been published before, here or at another host.
    Retry,
}

impl FollowerShared {
    /// Publishes a change and waits for its outcome.
    pub(crate) fn publish(&self, change: &ConfigChange, attempt: PublishAttempt) -> PublishOutcome {
        let data = match ConfigRecord::Change(change.clone()).encode() {
            Ok(data) => data,
            Err(error) => {
                let error = ResourceError::new(error.code(), "", error.to_string());
                return PublishOutcome::Rejected(error);
            }
        };
        let started = Instant::now();
        if let Some(outcome) = self.outcome_of(change) {
            return outcome;
        }
        if self.lock().replica.state() == ReplicaState::Gap && !change.is_restore() {
            return self.unavailable(attempt, "records of the log are lost".to_owned());
        }
        let record_offset = match self.log.append(LogStream::Config, &data) {
            Ok(offset) => offset,
            Err(LogError::OutcomeUnknown(_) | LogError::Malformed(_)) => LogOffset(u64::MAX),
            Err(error) => return self.unavailable(attempt, error.to_string()),
        };
        self.wait_for_outcome(change, record_offset, started)
    }

    fn unavailable(&self, attempt: PublishAttempt, reason: String) -> PublishOutcome {
        match attempt {
            PublishAttempt::First => PublishOutcome::LogUnavailable(reason),
            PublishAttempt::Retry => PublishOutcome::Pending,
        }
    }

    /// Waits until a record of the change is folded.
    fn wait_for_outcome(
        &self,
        change: &ConfigChange,
        record_offset: LogOffset,
        started: Instant,
    ) -> PublishOutcome {
        self.request_read();
        let remaining = self.options.publish_timeout.saturating_sub(started.elapsed());
        let state = self.wait_until(remaining, |state| {
            state.is_stopping
                || state.replica.fold().known_change(change.id).is_some()
                || state.replica.fold().next_offset() > record_offset
        });
        drop(state);
        self.outcome_of(change).unwrap_or(PublishOutcome::Pending)
    }

    fn outcome_of(&self, change: &ConfigChange) -> Option<PublishOutcome> {
        match self.lock().replica.fold().status_of(change) {
            ChangeStatus::Unknown => None,
            ChangeStatus::IdReused => Some(PublishOutcome::IdReused),
            ChangeStatus::Known(offset, outcome) => Some(PublishOutcome::of(offset, outcome)),
        }
    }
}
