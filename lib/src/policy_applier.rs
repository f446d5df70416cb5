//! Applies the published policy to the stores and limits of the process.

use std::sync::Arc;
use std::sync::Mutex;

use crate::answer_store::AnswerStore;
use crate::claim_keeper::ClaimKeeper;
use crate::config_follower::ConfigFollower;
use crate::ids::LogOffset;
use crate::retry_budget::RetryBudget;
use crate::session_ports::lock;

/// Applies the policy of each new revision.
pub struct PolicyApplier {
    config: Arc<ConfigFollower>,
    answers: Arc<AnswerStore>,
    claims: Arc<ClaimKeeper>,
    budget: Arc<Mutex<RetryBudget>>,
    applied: Mutex<Option<LogOffset>>,
}

impl PolicyApplier {
    /// Creates an applier that has not applied any revision.
    pub fn new(
        config: Arc<ConfigFollower>,
        answers: Arc<AnswerStore>,
        claims: Arc<ClaimKeeper>,
        budget: Arc<Mutex<RetryBudget>>,
    ) -> Self {
        Self { config, answers, claims, budget, applied: Mutex::default() }
    }

    /// Applies the policy in force if its revision is new.
    pub fn apply(&self) {
        let snapshot = self.config.current();
        let mut applied = lock(&self.applied);
        if *applied == snapshot.revision {
            return;
        }
        *applied = snapshot.revision;
        let policy = &snapshot.state.policy;
        self.answers.set_retention(policy.answer_retention);
        self.claims.set_key_retention(policy.key_retention);
        lock(&self.budget).set_percent(policy.retry_percent);
    }
}
