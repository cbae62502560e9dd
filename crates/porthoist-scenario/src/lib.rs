//! Scripted scenarios: hosts, requests and timed faults, written in KDL and run on virtual time.
//!
//! Requests go through the daemon's real request handler and offers actor. Only the network, the platform and the back ends
//! are fakes. docs/SCENARIOS.md describes the language.

pub mod backend;
pub mod platform;
pub mod script;
pub mod world;

pub use script::{Scenario, ScriptError, parse};
pub use world::{ScenarioReport, run};
