//! Requests that wait at their host for a server or for their team's quota.

pub mod line_driver;
pub mod rank_shares;
pub mod retry_time;
pub mod route_times;
pub mod start_pace;
pub mod waiting_line;
