//! Model engines and plain services as peers, and the last word on every request.
//!
//! The offers actor holds the gate, the queue and the kept answers; the runner makes the calls to the engine or
//! service beside it.

pub mod log;
pub mod offers;
pub mod runner;

pub use log::{AnswerLog, LogEnd, LogFollower};
pub use offers::{OffersActor, OffersSettings};
pub use runner::{BackendRunner, HttpRunner, RunJob, run_to_end};
