//! Judges whether each answer is one that a version allowed at that moment would give.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config_plan::ConfigVersion;
use crate::config_plan::ProbeOutcome;
use crate::config_plan::ProbeRequest;
use crate::touch_record::TouchRecord;

/// Time from the acknowledgement of a version until it is in force on every host in touch.
pub const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Time for which a host may still answer by an older version after it has shown a newer one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// A version that the operator sent.
#[derive(Clone, Debug)]
pub struct SentVersion {
    /// The version.
    pub config: ConfigVersion,
    /// When it was first sent, counted from the start of the run.
    pub sent_at: Duration,
    /// When the store acknowledged it, if it did.
    pub acknowledged_at: Option<Duration>,
}

/// An answer that a caller got.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Number of the host.
    pub host: usize,
    /// Number of the host's start.
    pub incarnation: u32,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the answer was there.
    pub ended_at: Duration,
    /// The request.
    pub request: ProbeRequest,
    /// What happened to it.
    pub outcome: ProbeOutcome,
}

/// How an answer broke the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// Only versions up to this one allow it, and a newer one was due.
    NotInForce {
        /// Newest version that allows the answer.
        allowed_by: u64,
        /// Newest version that was due.
        due: u64,
    },
    /// The host had shown a newer version before.
    WentBack {
        /// Newest version that allows the answer.
        allowed_by: u64,
        /// Version that the host had shown.
        shown: u64,
    },
    /// No version that was ever sent allows it.
    NeverAllowed,
}

/// Returns the faults among the answers, each with the index of its observation. Observations are
/// in the order of their ends.
pub fn judge_answers(
    versions: &[SentVersion],
    observations: &[Observation],
    touch: &TouchRecord,
) -> Vec<(usize, ConfigFault)> {
    let mut shown: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
    let mut faults = Vec::new();
    for (index, seen) in observations.iter().enumerate() {
        let allowing = || {
            versions.iter().filter(|version| {
                version.sent_at <= seen.ended_at
                    && version.config.outcome(seen.request) == seen.outcome
            })
        };
        let Some(newest) = allowing().map(|version| version.config.version).max() else {
            faults.push((index, ConfigFault::NeverAllowed));
            continue;
        };
        let due = versions
            .iter()
            .filter(|version| {
                version.acknowledged_at.is_some_and(|at| at + CONFIG_BOUND <= seen.sent_at)
            })
            .map(|version| version.config.version)
            .max()
            .unwrap_or(0);
        let history = shown.entry((seen.host, seen.incarnation)).or_default();
        let known = history
            .iter()
            .filter(|(at, _)| *at + ROLLBACK_SLACK <= seen.sent_at)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0);
        let is_in_touch = touch.in_touch(seen.host, seen.sent_at, seen.sent_at);
        if newest < known {
            faults.push((index, ConfigFault::WentBack { allowed_by: newest, shown: known }));
        } else if newest < due && is_in_touch {
            faults.push((index, ConfigFault::NotInForce { allowed_by: newest, due }));
        }
        // The oldest version that allows the answer is the least that the host has adopted.
        let oldest = allowing().map(|version| version.config.version).min().unwrap_or(0);
        if history.last().is_none_or(|(_, version)| *version < oldest) {
            history.push((seen.ended_at, oldest));
        }
    }
    faults
}
