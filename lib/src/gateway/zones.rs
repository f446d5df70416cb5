//! The choice among plain application servers, and traffic between availability zones.

pub mod app_choice;
pub mod zone_flow;
