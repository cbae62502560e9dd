//! Operators as peers: the table of rows, status, explain and metrics over HTTP.
//!
//! The endpoint listens apart from the callers' one and asks for a token.

pub mod edit;
pub mod server;
pub mod status;

pub use edit::{EditAnswer, EditProblem, RowEdit, StoredRow, TableEditor, VersionedRow};
pub use server::{OperatorPort, OperatorServer};
pub use status::{NodeStatus, StatusReport, TargetStatus, ZoneStatus};
