//! Ends of callers' connections on which a request is not complete: how far it had come, and who ended it.

use crate::caller_stream::CallerConnection;
use crate::line_limit::LineLimit;
use porthoist_core::ClockSource;
use porthoist_metrics::MetricsHub;
use slog::{Logger, info};
use std::cell::Cell;
use std::error::Error as _;
use std::io;
use std::sync::Arc;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Its head was read, and its body is arriving.
    HeadRead,
    /// It waits for a target.
    Waiting,
    /// It was sent to a target.
    Sent,
    /// The head of its response was sent, and its events are being forwarded.
    Streaming,
    /// All of its response is known, and is being written.
    Answering,
}

impl RequestPhase {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::HeadRead => "head_read",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Streaming => "streaming",
            Self::Answering => "answering",
        }
    }
}

/// Who ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    /// The caller closed the connection, or only its sending side.
    CallerClosed,
    /// The caller, or something in between, reset the connection.
    CallerReset,
    /// Nothing could be written, for another reason.
    WriteFailed,
    /// This process.
    Process,
}

impl EndedBy {
    fn as_str(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller_closed",
            Self::CallerReset => "caller_reset",
            Self::WriteFailed => "write_failed",
            Self::Process => "process",
        }
    }

    fn new(error: &hyper::Error, caller: &CallerConnection) -> Self {
        let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_reset = io_error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionReset);
        if caller.is_cut() {
            Self::Process
        } else if is_reset {
            Self::CallerReset
        } else if error.is_incomplete_message() || caller.is_half_closed() && caller.has_failed_write() {
            Self::CallerClosed
        } else if caller.has_failed_write() {
            Self::WriteFailed
        } else {
            Self::Process
        }
    }
}

/// Logs and counts ends of connections on which a request is not complete.
#[derive(Debug)]
pub(crate) struct ConnectionEnds {
    limit: LineLimit,
    /// Whether ends are counted for the last line of the process.
    draining: Cell<bool>,
    /// Connections that callers ended during the drain.
    left: Cell<u64>,
    /// Connections that failed during the drain.
    failed: Cell<u64>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
}

impl ConnectionEnds {
    pub(crate) fn new(clock: Arc<dyn ClockSource>, metrics: Arc<MetricsHub>, logger: Logger) -> Self {
        Self {
            limit: LineLimit::default(),
            draining: Cell::new(false),
            left: Cell::new(0),
            failed: Cell::new(0),
            clock,
            metrics,
            logger,
        }
    }

    /// Begins to count the ends during the drain.
    pub(crate) fn begin_drain(&self) {
        self.draining.set(true);
    }

    /// Connections that callers ended during the drain.
    pub(crate) fn left(&self) -> u64 {
        self.left.get()
    }

    /// Connections that failed during the drain.
    pub(crate) fn failed(&self) -> u64 {
        self.failed.get()
    }

    /// Records the error that ended a connection, unless no request was in flight.
    pub(crate) fn record(&self, error: &hyper::Error, caller: &CallerConnection) {
        let Some(phase) = caller.unfinished() else { return };
        let ended_by = EndedBy::new(error, caller);
        self.metrics.record_connection_end(ended_by.as_str());
        if self.draining.get() {
            self.count(ended_by);
        }
        let Some(skipped) = self.limit.permit(self.clock.now()) else { return };
        let cause = error.source().map(ToString::to_string);
        info!(self.logger, "connection of a caller ended within a request"; "event" => "connection_ended",
            "request" => caller.attempt().as_deref(), "phase" => phase.as_str(), "by" => ended_by.as_str(),
            "error" => error.to_string(), "cause" => cause, "skipped_lines" => skipped);
    }

    fn count(&self, ended_by: EndedBy) {
        let counter = match ended_by {
            EndedBy::CallerClosed | EndedBy::CallerReset => &self.left,
            EndedBy::WriteFailed => &self.failed,
            EndedBy::Process => return,
        };
        counter.set(counter.get() + 1);
    }
}
