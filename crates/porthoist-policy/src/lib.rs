//! The decisions of porthoist, without I/O.
//!
//! Each module is a state machine: it takes events and the present time, and returns typed actions. The daemon, the
//! model checker and the experiments all drive these same types.

pub mod admission;
pub mod adoption;
pub mod answer;
pub mod claim;
pub mod explain;
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
