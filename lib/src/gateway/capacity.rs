//! What servers can do, what callers demand of them, and the fleet that is ordered for it.

pub mod answer_timing;
pub mod demand_meter;
pub mod fleet_plan;
pub mod fleet_scaler;
pub mod lateness_meter;
pub mod sample_ring;
pub mod service_speed;
pub mod speed_gossip;
pub mod speed_table;
