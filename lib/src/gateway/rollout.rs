//! Roll-outs: moving a service to a software version, or back, by what its answers show.

pub mod answer_tally;
pub mod evidence_judge;
pub mod exposure_meter;
pub mod rollout_book;
pub mod rollout_keeper;
pub mod rollout_order;
pub mod rollout_plan;
pub mod version_gate;
