//! The gateway: one event loop per host that proxies callers' requests to backend servers.
//!
//! Decisions are state machines without I/O: they take a time and an event and return what to do
//! next. Modules such as [`connection_pool`], [`http_listeners`], [`peer_gossip`] and
//! [`request_runner`] own the sockets and read the clock. The wire format of a platform is defined by
//! the crate that implements the traits of [`platform_api`].

pub mod accepted_request;
pub mod attempt_plan;
pub mod attempt_progress;
pub mod attempt_race;
pub mod backend_directory;
pub mod body_reader;
pub mod buffer_budget;
pub mod caller_connection;
pub mod caller_phase;
pub mod caller_request;
pub mod capacity;
pub mod connection_pool;
pub mod crash_news;
pub mod crash_tracker;
pub mod demand_level;
pub mod directory_gossip;
pub mod duty_lease;
pub mod duty_runner;
pub mod event_sequence;
pub mod event_splitter;
pub mod gateway_host;
pub mod gateway_metrics;
pub mod gateway_settings;
pub mod gateway_state;
pub mod head_limit;
pub mod host_summary;
pub mod http_listeners;
pub mod leased_buffer;
pub mod limit_belief;
pub mod limit_fleet;
pub mod limit_table;
pub mod log_cursor;
pub mod log_writer;
pub mod panic_catcher;
pub mod peer_gossip;
pub mod peer_table;
pub mod placement;
pub mod platform_api;
pub mod process_doubts;
pub mod process_probe;
pub mod quota;
pub mod reach;
pub mod read_schedule;
pub mod reply_body;
pub mod request_rank;
pub mod request_runner;
pub mod retry_limiter;
pub mod rollout;
pub mod server_attempt;
pub mod server_health;
pub mod server_limit;
pub mod server_pause;
pub mod serving_config;
pub mod shutdown_plan;
pub mod start_gate;
pub mod store_era;
pub mod store_follower;
pub mod stream_binding;
pub mod stream_relay;
pub mod summary_relay;
pub mod usage_ledger;
pub mod usage_report;
pub mod verdict_keeper;
pub mod version_census;
pub mod version_keeper;
pub mod version_ledger;
pub mod version_records;
pub mod waiting;
pub mod zones;
