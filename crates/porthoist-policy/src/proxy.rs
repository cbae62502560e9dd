//! Decisions for requests that are passed on as they are: where one may run, whether the configuration held is fresh
//! enough to say so, which target takes it next, and how many repeats the fleet can bear.

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
