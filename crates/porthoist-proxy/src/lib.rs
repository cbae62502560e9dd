//! Reverse proxy for requests of any method, path and body, routed by host and path prefix.
//!
//! It accepts callers, selects a target for each request, and relays the target's response or event stream.
//! Header formats are defined by a [`headers::HeaderCodec`], and routes and targets come from a
//! [`source::ControlSource`].

mod caller_connections;
mod caller_stream;
pub mod complete_body;
mod connection_end;
pub mod connection_pool;
pub mod control;
pub mod crashes;
pub mod dispatcher;
mod earlier_values;
mod half_close;
pub mod handler;
pub mod headers;
mod line_limit;
pub mod patch;
pub mod peer_rows;
mod pending_call;
pub mod proven_rows;
pub mod quarantine;
pub mod reply;
pub mod revision;
pub mod rows;
pub mod server;
pub mod source;
pub mod sse;
mod table_copy;
pub mod table_reader;
pub mod unreadable_rows;

pub use control::{ControlState, ControlWatch, MIN_PROOF_AGE_MILLIS};
pub use crashes::{CRASH_POLL_TIMEOUT, CrashChange, CrashSnapshot, CrashWatch, CrashWriter};
pub use dispatcher::{DispatcherSettings, RequestDispatcher};
pub use handler::{ProxyHandler, ProxyHandlerSettings};
pub use headers::{AnswerMetadata, HeaderCodec, HeaderError, RequestMetadata, SendMetadata};
pub use peer_rows::{AvoidReason, PeerRowSource, ServiceCallReason, TablePeers};
pub use proven_rows::ProvenRowSource;
pub use quarantine::RequestQuarantine;
pub use revision::{ParseRevisionError, TableEra, TableRevision};
pub use rows::{ControlTable, RowChange, RowSource, RowValue, RowWriter, TableRow};
pub use server::{ProxyServer, serve_proxy};
pub use source::{AnswerOrigin, ControlSource, OperatorUpdate, SourceAnswer, SourceError, SourceFuture};
pub use table_reader::{GapAges, RowUpdate, TableQuery, TableReader, TableUpdate, ValueUpdate};
pub use unreadable_rows::{RowProblem, UnreadableRows};
