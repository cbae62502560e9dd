//! Scripted scenarios: hosts, requests and timed faults in KDL, run on virtual time.
//!
//! The requests go through the daemon's own request course and offers actor; only the network, the platform and the
//! back ends are fakes. docs/SCENARIOS.md describes the language.

pub mod backend;
pub mod platform;
pub mod script;
pub mod world;

pub use script::{Scenario, ScriptError, parse};
pub use world::{ScenarioReport, run};
