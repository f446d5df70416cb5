//! The choice among plain application servers, and traffic between availability zones.

pub mod app_choice;
pub mod prefix_homes;
pub mod zone_flow;
