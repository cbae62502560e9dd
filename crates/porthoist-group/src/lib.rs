//! Rank groups as peers: one rank's driver beside its engine, and the leader of a switch.
//!
//! The decisions are those of `porthoist_policy::switch`; here they meet the engine's orders and the fleet's calls.

pub mod engine;
pub mod held;
pub mod leader;
pub mod links;
pub mod patience;
pub mod planner;
pub mod rank;
pub mod reach;

pub use engine::{GroupEngine, HttpGroupEngine, RankOrder};
pub use held::{GroupShape, HeldPlanner, RoundOutcome};
pub use leader::{RankLink, SwitchError, SwitchOutcome, switch_group};
pub use links::{ChoiceCounts, HeldEngine, HeldLink, OrderAnswer, RankFuture, RankLists, RankObservation};
pub use patience::AnswerPatience;
pub use planner::{ExpertWindow, GroupPlanner};
pub use rank::{MapSource, RankDriver};
pub use reach::{DirectGroup, GroupPatience, GroupReach, GroupReading, UnreadRank};
