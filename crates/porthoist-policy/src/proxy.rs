//! Decisions for proxied requests: which route and target a request gets, whether the configuration is
//! fresh enough to decide, and how many retries are permitted.

pub mod backpressure;
pub mod balancer;
pub mod caller_retries;
pub mod capacity;
pub mod change_bound;
pub mod cold_start;
pub mod demand;
pub mod entry_positions;
pub mod episodes;
pub mod file_bounds;
pub mod forecast;
pub mod freshness;
pub mod group_capacity;
pub mod group_loads;
pub mod groups;
pub mod limit_notes;
mod load_interpretation;
pub mod moving;
pub mod outages;
pub mod pass_time;
pub mod priority_levels;
pub mod quarantine;
pub mod rank_spread;
pub mod retry_share;
pub mod returns;
pub mod routes;
pub mod scheduler;
pub mod send_turns;
pub mod service_groups;
pub mod service_retry;
mod target_load;
pub mod targets;
pub mod trusted_marks;
pub mod trusted_parts;
pub mod wait_queue;
pub mod zones;
