//! Load generator and simulations of porthoist.
//!
//! The simulations run the daemon's own routing, admission, limits and placement against small
//! queueing models, and compare them with baselines on the same seed.

pub mod capacity;
pub mod cmd;
pub mod experts;
pub mod limits;
pub mod load;
pub mod overload;
pub mod plot;
pub mod report;
pub mod route;
pub mod target_limits;
