//! Ends the accounting of a request, also when its caller leaves.

use super::ProxyHandler;
use crate::caller_stream::CallerConnection;
use crate::complete_body::BodyWatch;
use crate::connection_end::RequestPhase;
use porthoist_core::{RunVerdict, TargetName, UnixMillis};
use slog::info;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

/// How far a request has come, for the moment at which it is cut.
#[derive(Debug)]
pub(super) struct RequestProgress {
    pub(super) arrival: UnixMillis,
    /// The target that it was sent to last.
    target: RefCell<Option<TargetName>>,
    /// Whether it was sent to this target, and the target has not stated that it did not run.
    sent: Cell<bool>,
    /// Whether it may have run at an earlier target.
    ran_before: Cell<bool>,
    /// Whether all of it has arrived.
    admitted: Cell<bool>,
    /// Events that were forwarded, if the response is a stream.
    events: Cell<Option<u64>>,
}

impl RequestProgress {
    pub(super) fn new(arrival: UnixMillis) -> Rc<Self> {
        Rc::new(Self {
            arrival,
            target: RefCell::default(),
            sent: Cell::default(),
            ran_before: Cell::default(),
            admitted: Cell::default(),
            events: Cell::default(),
        })
    }

    /// Notes that all of the request has arrived.
    pub(super) fn set_admitted(&self) {
        self.admitted.set(true);
    }

    /// Notes that the request is being sent to a target.
    pub(super) fn begin_send(&self, target: &TargetName) {
        self.ran_before.set(self.verdict() != RunVerdict::NotRun);
        self.sent.set(true);
        *self.target.borrow_mut() = Some(target.clone());
    }

    /// Notes that it did not run at this target.
    pub(super) fn record_not_run(&self) {
        self.sent.set(false);
    }

    pub(super) fn set_events(&self, events: u64) {
        self.events.set(Some(events));
    }

    pub(super) fn target(&self) -> Option<TargetName> {
        self.target.borrow().clone()
    }

    pub(super) fn events(&self) -> Option<u64> {
        self.events.get()
    }

    /// How far the request has come, unless its whole answer is known.
    fn phase(&self) -> RequestPhase {
        if self.events.get().is_some() {
            RequestPhase::Streaming
        } else if self.sent.get() {
            RequestPhase::Sent
        } else if self.admitted.get() {
            RequestPhase::Waiting
        } else {
            RequestPhase::HeadRead
        }
    }

    pub(super) fn verdict(&self) -> RunVerdict {
        if self.sent.get() || self.ran_before.get() { RunVerdict::MayHaveRun } else { RunVerdict::NotRun }
    }
}

/// Logs that the caller left, or that the end of a drain cut the request, unless it completed or its response was cut.
/// A caller that leaves within a complete answer has no line but that of the answer.
pub(super) struct RequestGuard {
    pub(super) handler: Rc<ProxyHandler>,
    pub(super) attempt: Arc<str>,
    pub(super) connection: Rc<CallerConnection>,
    pub(super) progress: Rc<RequestProgress>,
    /// Whether a complete answer is being written.
    pub(super) answered: Cell<bool>,
    pub(super) completed: Cell<bool>,
    /// Whether its stream ends incomplete.
    pub(super) unfinished: Cell<bool>,
}

impl RequestGuard {
    fn phase(&self) -> RequestPhase {
        let is_whole = self.answered.get() || self.completed.get() && !self.unfinished.get();
        if is_whole { RequestPhase::Answering } else { self.progress.phase() }
    }

    /// Ends a request that the end of a drain cuts. Returns whether it does.
    pub(super) fn cut(&self) -> bool {
        self.completed.set(true);
        self.handler.record_cut(&self.attempt, &self.progress)
    }
}

impl BodyWatch for RequestGuard {
    fn body_taken(&self) {
        self.completed.set(true);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let handler = &self.handler;
        let phase = self.phase();
        self.connection.end_request(phase, handler.clock.now());
        handler.in_flight.set(handler.in_flight.get().saturating_sub(1));
        if self.completed.get() || self.connection.is_cut() {
            return;
        }
        if handler.drain.is_cut() {
            // Its caller takes nothing of the response, so the response could not be ended before.
            self.cut();
            return;
        }
        if self.answered.get() || thread::panicking() {
            return;
        }
        info!(handler.logger, "caller left"; "event" => "caller_left", "request" => &*self.attempt,
            "phase" => phase.as_str());
    }
}
