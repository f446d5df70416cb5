//! All logic of pomelostack: decisions, edges and supervisors.
//!
//! Decision modules are pure state machines. Time, randomness and messages are passed in, and
//! actions are returned, so the same code runs in the process and in tests under a virtual clock.
//! Traits stand at the edges of the process alone: one for each outside system.

// Shared vocabulary.
pub mod ids;
pub mod not_run;
pub mod prompt;
pub mod protos;
pub mod result_code;
pub mod timestamp;

// Edges: the outside systems and the clients that reach them.
pub mod app_client;
pub mod app_server;
pub mod cloud;
pub mod cloud_client;
pub mod engine;
pub mod engine_client;
pub mod host_list;
pub mod host_list_client;
pub mod http_edge;
pub mod log_client;
pub mod log_service;
pub mod weight_store;
pub mod weight_store_client;

// Idempotency and leases on the log.
pub mod claim_fold;
pub mod claim_keeper;
pub mod claim_record;
pub mod claim_writer;
pub mod lease;

// Configuration and administration.
pub mod admin_service;
pub mod config_checkpoint;
pub mod config_fold;
pub mod config_follower;
pub mod config_record;
pub mod resource;

// Membership and what rides on it.
pub mod burn;
pub mod burn_collector;
pub mod burn_page;
pub mod burn_report;
pub mod member_config;
pub mod member_event;
pub mod member_keeper;
mod member_merge;
mod member_probe;
mod member_rate;
pub mod member_record;
mod member_relay;
pub mod member_roster;
pub mod member_section;
pub mod member_snapshot;
pub mod member_zone;
pub mod membership;
pub mod peer_client;
pub mod peer_link;
pub mod peer_message;
pub mod peer_server;

// Requests and their answers.
pub mod answer_store;
pub mod crash_suspects;
pub mod evacuation;
pub mod handover;
pub mod request_session;
pub mod session_driver;

// Routing, limits and fleet.
pub mod admission;
pub mod circuit_breaker;
pub mod fair_queue;
pub mod fleet_planner;
pub mod prefix_map;
pub mod request_router;
pub mod retry_budget;

// The process.
pub mod entry;
pub mod front_door;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod supervisor;
