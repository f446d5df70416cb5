//! Quotas of teams over all hosts.

pub mod quota_limiter;
