//! Reverse proxy for requests of any method, path and body, routed by host and path prefix.
//!
//! It accepts callers, selects a target for each request, and relays the target's response or event stream.
//! Header formats are defined by a [`wire::WireCodec`], and routes and targets come from a
//! [`control::ControlSource`].

pub mod broker;
pub mod control;
pub mod course;
pub mod crashes;
mod earlier;
pub mod events;
pub mod exchange;
pub mod patch;
pub mod quarantine;
pub mod reader;
pub mod reply;
pub mod revision;
pub mod rows;
pub mod server;
pub mod shared;
pub mod source;
pub mod wire;

pub use broker::{BrokerSettings, RequestDispatcher};
pub use control::{ControlState, ControlWatch};
pub use course::{ProxyHandler, ProxyHandlerSettings};
pub use crashes::{CrashChange, CrashSnapshot, CrashWatch, CrashWriter};
pub use quarantine::RequestQuarantine;
pub use reader::{GapAges, RowUpdate, TableQuery, TableReader, TableUpdate, ValueUpdate};
pub use revision::{ParseRevisionError, TableEra, TableRevision};
pub use rows::{ControlTable, RowChange, RowSource, RowValue, RowWriter, TableRow};
pub use server::{ProxyServer, serve_proxy};
pub use shared::{AskReason, PeerRowSource, TablePeers};
pub use source::{AnswerOrigin, ControlSource, OperatorUpdate, SourceError, SourceFuture, Stamped};
pub use wire::{AnswerFacts, FactsError, RequestFacts, SendFacts, WireCodec};
