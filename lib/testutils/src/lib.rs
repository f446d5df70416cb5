//! Stand-ins for the platform's services, simulators, and naive reference implementations, for
//! tests and the `dev` command.

pub mod app_standin;
pub mod backend_fleet;
pub mod bounded_wait;
pub mod cloud_core;
pub mod cloud_standin;
pub mod connection_relay;
mod deployment_server;
pub mod deployment_standin;
mod deployment_state;
pub mod dev_cluster;
mod endless_response;
pub mod engine_answer;
pub mod engine_core;
mod engine_run;
pub mod engine_standin;
pub mod front_door_client;
pub mod gateway_fixture;
pub mod gateway_process;
pub mod host_list_standin;
pub mod host_registry;
pub mod http_standin;
pub mod journal;
pub mod limit_simulator;
pub mod log_fake;
pub mod log_standin;
pub mod logged_gateway;
pub mod membership_sim;
pub mod part_fleet;
pub mod platform_standin;
pub mod prefix_cache;
pub mod process_fleet;
pub mod process_lifecycle;
pub mod raw_caller;
pub mod raw_server;
mod standin_listener;
pub mod store_core;

pub mod admin_fixture;
pub mod config_samples;
pub mod late_copy_server;
pub mod least_loaded_router;
pub mod naive_claims;
pub mod naive_config;
pub mod naive_membership;
pub mod naive_session;

pub mod claim_audit;
pub mod claim_harness;
pub mod crash_fleet;
pub mod driver_fixture;
pub mod evacuation_wave;
pub mod fault_schedule;
pub mod harness_host;
pub mod harness_queue;
pub mod scripted_servers;
pub mod session_checker;
pub mod session_faults;
pub mod session_harness;
pub mod sim_log;

pub mod overload_simulator;
pub mod trace_engine;
pub mod trace_player;
mod unframed_response;
pub mod version_world;
pub mod workload;
