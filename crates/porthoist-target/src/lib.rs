//! The target side: decides on offered requests and runs them on the model engine or plain service next to the process.
//!
//! The offers actor owns the gate, the queue and the retained answers; the runner calls the engine or service.

pub mod answer_log;
pub mod offers;
pub mod runner;

pub use answer_log::{AnswerLog, LogEnd, LogFollower};
pub use offers::{OffersActor, OffersSettings};
pub use runner::{BackendRunner, HttpRunner, RunJob, run_to_end};
