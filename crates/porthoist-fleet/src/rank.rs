//! The processes beside the ranks of one group: each shows its engine to the others and passes orders on to it.
//!
//! One process reads and orders the whole group through branches: some members stand for the others of their branch, so
//! that what any process sends and receives grows with the square root of the group.

mod branches;
mod convert;
mod maps;
mod news;
mod outlet;
mod peer;
mod server;
mod traffic;

pub use branches::{BranchedGroup, RankBranches};
pub use convert::LoadsAnswer;
pub use maps::MapShelf;
pub use news::{EntryReport, ZoneTableUpdate};
pub use outlet::LoadsPublisher;
pub use peer::{PeerPool, RankPeer};
pub use server::{RankService, serve_ranks};
pub use traffic::{ControlTraffic, CountedStream};
