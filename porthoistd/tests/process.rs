//! The process-level suite: real processes on loopback that are killed, paused, drained and disconnected.
//!
//! Every wait is for an event, with a timeout that only a hang exceeds; no test depends on speed.

#[path = "process/harness.rs"]
mod harness;

#[path = "process/bad_input.rs"]
mod bad_input;
#[path = "process/config.rs"]
mod config;
#[path = "process/group.rs"]
mod group;
#[path = "process/once.rs"]
mod once;
#[path = "process/path.rs"]
mod path;
#[path = "process/shutdown.rs"]
mod shutdown;
#[path = "process/table.rs"]
mod table;
#[path = "process/whole.rs"]
mod whole;
