//! Communication between the processes next to the ranks of one group. Each reports its engine's state to the others and
//! forwards orders to the engine.
//!
//! One process reads and orders the whole group through branches. In each branch, one member calls the others, so that the
//! traffic of any process grows with the square root of the group's size.

mod aged_loads;
mod branches;
mod convert;
mod entry_demands;
mod loads_message;
mod maps;
mod peer;
mod publisher;
mod server;
mod table_update;
mod traffic;

pub use aged_loads::AgedLoads;
pub use branches::{BranchedGroup, RankBranches};
pub use entry_demands::{DemandReport, EntryDemands};
pub use loads_message::LoadsAnswer;
pub use maps::MapCache;
pub use peer::{PeerPool, RankPeer};
pub use publisher::LoadsPublisher;
pub use server::{RankService, serve_ranks};
pub use table_update::{EntryReport, ZoneTableUpdate};
pub use traffic::{ControlTraffic, CountedStream};
