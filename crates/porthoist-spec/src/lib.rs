//! Model checking of porthoist's protocols.
//!
//! Each model drives the very state machines of `porthoist-policy` through every order of messages, losses,
//! crashes and delays within its bounds, and looks for a state that breaks a promise.

pub mod models;
pub mod search;

pub use models::{CheckedModel, Mutant, all_models};
pub use search::{ProtocolModel, SearchReport, search};
