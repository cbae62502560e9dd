//! Load generator and experiments.
//!
//! The experiments drive the daemon's own routing, admission, limits and placement against small queueing fakes, and
//! compare them with baselines in the same run, from a seed.

pub mod capacity;
pub mod cmd;
pub mod experts;
pub mod limits;
pub mod load;
pub mod needs;
pub mod overload;
pub mod plot;
pub mod report;
pub mod route;
