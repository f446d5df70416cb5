//! All logic of pomelostack: decision modules, clients of external systems, and supervisors.
//!
//! Decision modules are pure state machines. Time, randomness and messages are passed in, and
//! actions are returned, so the same code runs in the process and in tests under a virtual clock.
//! Traits are used only at the boundary of the process: one for each external system.

// Shared types.
pub mod ids;
pub mod not_run;
pub mod prompt;
pub mod protos;
pub mod record_error;
pub mod result_code;
pub mod software_version;
pub mod text_label;
pub mod timestamp;

// External systems and their clients.
pub mod app_client;
pub mod app_server;
pub mod attempt_stop;
pub mod cloud;
pub mod cloud_client;
pub mod engine;
pub mod engine_client;
pub mod hop_headers;
pub mod host_list;
pub mod host_list_client;
mod http_agent;
pub mod http_client;
pub mod log_client;
pub mod log_service;
pub mod request_meter;
pub mod server_connector;

// Idempotency on the log.
pub mod claim_checkpoint;
pub mod claim_codec;
pub mod claim_fold;
pub mod claim_keeper;
pub mod claim_outcome;
pub mod claim_port;
pub mod claim_queue;
pub mod claim_reader;
pub mod claim_record;
pub mod claim_writer;

// Configuration and administration.
pub mod admin_access;
pub mod admin_changes;
pub mod admin_server;
pub mod admin_service;
pub mod admin_sources;
pub mod admin_status;
pub mod checkpoint_duty;
pub mod checkpoint_fetcher;
pub mod config_apply;
pub mod config_checkpoint;
pub mod config_diff;
pub mod config_fold;
pub mod config_follower;
pub mod config_publish;
pub mod config_record;
pub mod config_replica;
pub mod config_snapshot;
pub mod resource;
pub mod resource_check;
pub mod resource_error;
pub mod resource_json;
pub mod resource_key;

// Membership and modules that use it.
pub mod burn;
pub mod burn_collector;
pub mod burn_page;
pub mod burn_report;
pub mod burn_tracker;
pub mod member_config;
pub mod member_event;
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
pub mod membership_service;
pub mod peer_client;
pub mod peer_link;
pub mod peer_message;
pub mod peer_server;

// Requests and their answers.
pub mod answer_finder;
pub mod answer_store;
pub mod answer_table;
pub mod crash_evidence;
pub mod crash_report;
pub mod crash_report_broadcaster;
pub mod crash_suspects;
pub mod evacuation;
pub mod evacuation_runner;
pub mod evacuation_starter;
pub mod handover;
pub mod handover_message;
pub mod handover_protocol;
pub mod handover_receiver;
pub mod handover_sender;
pub mod part_suspects;
pub mod record_bounds;
pub mod request_session;
pub mod session_attempt;
pub mod session_claim;
pub mod session_driver;
pub mod session_event;
pub mod session_ports;
pub mod session_registry;
pub mod session_request;
pub mod session_stream;
pub mod verdict_table;
pub mod work_parts;

// Routing, limits and backend servers.
pub mod admission;
pub mod admission_port;
pub mod fair_queue;
pub mod load_poller;
pub mod prefix_map;
pub mod request_router;
pub mod retry_budget;
pub mod router_index;
pub mod router_load;
pub mod server_directory;

// The gateway: one event loop per host.
pub mod gateway;

// The entry host process.
pub mod answer_reply;
pub mod caller_guard;
pub mod caller_reply;
pub mod caller_request;
pub mod completion_api;
pub mod entry;
pub mod entry_admin;
pub mod entry_leave;
pub mod entry_parts;
pub mod entry_peer;
pub mod entry_sync;
pub mod front_door;
pub mod http_listener;
pub mod http_reply;
pub mod http_route;
pub mod logging;
pub mod metrics;
pub mod metrics_sender;
pub mod policy_applier;
pub mod reply_channel;
pub mod request_id_generator;
pub mod server_follower;
pub mod settings;
pub mod settings_json;
pub mod supervisor;
