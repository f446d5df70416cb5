//! Small stand-ins of the platform and naive versions of decisions, for tests and `dev`.

pub mod app_standin;
pub mod cloud_standin;
pub mod engine_standin;
pub mod host_list_standin;
pub mod http_standin;
pub mod log_standin;
pub mod platform_standin;
pub mod weight_standin;

pub mod naive_claims;
pub mod naive_config;
pub mod naive_membership;
pub mod naive_router;
pub mod naive_session;

pub mod crash_fleet;
pub mod driver_rig;
pub mod evacuation_wave;
pub mod fault_schedule;
pub mod scripted_servers;
pub mod session_faults;
pub mod session_harness;
pub mod session_judge;
