//! Quotas of teams over all hosts.

pub mod host_credit;
pub mod quota_limiter;
pub mod quota_pace;
pub mod quota_report;
pub mod rank_split;
