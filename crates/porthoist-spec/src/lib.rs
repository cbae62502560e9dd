//! Model checker for porthoist's protocols.
//!
//! Each model drives the state machines of `porthoist-policy` through every order of messages, losses, crashes and delays
//! within its bounds, and searches for a state that violates a safety property.

pub mod models;
pub mod search;

pub use models::{CheckedModel, Mutant, all_models};
pub use search::{ProtocolModel, SearchReport, search};
