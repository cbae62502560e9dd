//! Decision logic of porthoist, without I/O.
//!
//! The modules contain state machines that take events and the current time and return typed actions. The daemon, the
//! model checker and the experiments drive the same types.

pub mod admission;
pub mod adoption;
pub mod answer;
pub mod claim;
pub mod decision_log;
pub mod gate;
pub mod limits;
pub mod membership;
pub mod placement;
pub mod proxy;
pub mod retry;
pub mod roll_forward;
pub mod router;
pub mod switch;
pub mod table;
