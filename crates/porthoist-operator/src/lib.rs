//! The operator side: configuration table, status, explain and metrics over HTTP.
//!
//! The server has a listener separate from that for callers, and requires a token.

pub mod edit;
pub mod server;
pub mod status;

pub use edit::{EditAnswer, EditProblem, RowEdit, StoredRow, TableEditor, VersionedRow};
pub use server::{OperatorPort, OperatorServer};
pub use status::{NodeStatus, StatusReport, TargetStatus, ZoneStatus};
