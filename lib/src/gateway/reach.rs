//! Which servers this host reaches by itself, and attempts that peers forward for it.

pub mod forward_listener;
pub mod forwarder_choice;
pub mod hop_message;
pub mod reach_table;
pub mod server_call;
pub mod trial_runner;
