//! Shared HTTP code on top of hyper.
//!
//! It has a server loop with graceful shutdown, an intake of bodies within a budget of memory, a pooled client whose errors
//! carry a verdict and whose answers are bounded, JSON helpers, and socket options that detect dead connections.

pub mod body;
pub mod body_intake;
pub mod bounded_io;
pub mod byte_budget;
pub mod client;
pub mod framing;
pub mod json_slices;
pub mod lingering_close;
pub mod pieced_body;
pub mod server;
pub mod socket;

pub use body::{HttpBody, HttpResponse, full_body, json_response, text_response};
pub use body_intake::{BodyIntake, IntakeError, ScarceRoom};
pub use bounded_io::{BoundedIo, MAX_HEAD_BYTES, ReadAllowance};
pub use byte_budget::{BudgetExceeded, ByteBudget, HeldBytes};
pub use client::{CallError, HttpClient};
pub use framing::{ends_with_connection, has_foreign_coding, is_framed};
pub use json_slices::{FieldError, JsonMember, JsonObject, SplitError, split_array, split_object};
pub use lingering_close::linger;
pub use pieced_body::{PieceCollector, PiecedBody};
pub use server::{ServerSettings, serve_until};
pub use socket::{SocketPeer, bound_send_buffer, configure_socket, set_reset_on_close};
