//! Control of rank groups: planning of expert maps, and switches of all ranks to a new map.
//!
//! The decisions are made in `porthoist_policy`; this package carries them out through the engines and the fleet's calls.

pub mod controller;
pub mod engine;
pub mod group_control;
pub mod leader;
pub mod planner;
pub mod rank_control;
pub mod rank_driver;
pub mod timeout;

pub use controller::{ExpertMapController, GroupShape, RoundOutcome};
pub use engine::{GroupEngine, HttpGroupEngine, RankOrder};
pub use group_control::{DirectGroup, GroupControl, GroupObservation, GroupTimeouts, UnreachableRank};
pub use leader::{RankLink, SwitchError, SwitchOutcome, switch_group};
pub use planner::{ExpertWindow, GroupPlanner};
pub use rank_control::{
    ExpertCounts, ExpertLists, LocalEngine, OrderAnswer, RankControl, RankFuture, RankObservation,
};
pub use rank_driver::{MapSource, RankDriver};
pub use timeout::AdaptiveTimeout;
