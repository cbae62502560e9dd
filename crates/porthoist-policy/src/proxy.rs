//! Decisions for proxied requests: which route and target a request gets, whether the configuration is
//! fresh enough to decide, and how many retries are permitted.

pub mod backpressure;
pub mod balancer;
pub mod cold;
pub mod entries;
pub mod forecast;
pub mod freshness;
pub mod groups;
pub mod loads;
pub mod moving;
pub mod notes;
pub mod pass_time;
pub mod quarantine;
pub mod retry_share;
pub mod routes;
pub mod scheduler;
pub mod service_groups;
mod spread;
mod target_load;
pub mod targets;
pub mod trusted;
pub mod turns;
pub mod waiting;
pub mod zones;
