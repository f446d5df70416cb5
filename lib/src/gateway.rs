//! The gateway: one event loop per host that passes callers' requests on to backend servers.
//!
//! Decisions are state machines without I/O: they take a time and an event and return what to do
//! next. The modules whose names end in `_loop`, `_pool`, `_runner` or `_door` hold the sockets and
//! clocks. What a platform's wire looks like is the business of the crate that implements the
//! traits of [`edges`].

pub mod accepted_request;
pub mod attempt_plan;
pub mod backend_directory;
pub mod call_pool;
pub mod caller_door;
pub mod caller_request;
pub mod crash_watch;
pub mod demand_meter;
pub mod directory_news;
pub mod duty_runner;
pub mod duty_turn;
pub mod edges;
pub mod event_splitter;
pub mod fleet_size;
pub mod gateway_host;
pub mod gateway_metrics;
pub mod gateway_settings;
pub mod gateway_state;
pub mod host_summary;
pub mod log_writer;
pub mod peer_gossip;
pub mod peer_table;
pub mod placement;
pub mod quota_limiter;
pub mod read_turn;
pub mod reply_body;
pub mod request_runner;
pub mod retry_limiter;
pub mod server_attempt;
pub mod server_health;
pub mod serving_config;
pub mod shutdown_plan;
pub mod store_follower;
pub mod stream_relay;
pub mod usage_ledger;
pub mod usage_report;
