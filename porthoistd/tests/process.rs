//! The process-level suite: real processes on loopback that are killed, paused, drained and disconnected.
//!
//! Every wait is for an event, with a timeout that only a hang exceeds; no test depends on speed.

#[path = "process/harness.rs"]
mod harness;

#[path = "process/at_most_once.rs"]
mod at_most_once;
#[path = "process/complete_answers.rs"]
mod complete_answers;
#[path = "process/config.rs"]
mod config;
#[path = "process/end_to_end.rs"]
mod end_to_end;
#[path = "process/group.rs"]
mod group;
#[path = "process/invalid_requests.rs"]
mod invalid_requests;
#[path = "process/shutdown.rs"]
mod shutdown;
#[path = "process/table.rs"]
mod table;
