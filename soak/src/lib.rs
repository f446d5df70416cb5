//! Runs gateway hosts as processes in front of the deployment stand-in while seeded faults strike,
//! and judges what callers and replicas saw.

pub mod call_judge;
pub mod config_judge;
pub mod config_plan;
mod crash_caller;
pub mod duty_judge;
mod fault_injector;
pub mod fault_plan;
pub mod growth_plan;
pub mod host_fleet;
pub mod limit_judge;
pub mod part_judge;
pub mod recover_judge;
pub mod reply_parser;
mod retry_caller;
pub mod rollout_soak;
mod run_verdict;
pub mod soak_run;
pub mod touch_record;
mod work_caller;
pub mod work_plan;
