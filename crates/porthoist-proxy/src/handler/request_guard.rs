//! Ends the accounting of a request, also when its caller leaves.

use super::ProxyHandler;
use crate::caller_stream::CallerConnection;
use slog::info;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// Logs that the caller left unless the request completed or its response was cut.
pub(super) struct RequestGuard {
    pub(super) handler: Rc<ProxyHandler>,
    pub(super) attempt: Arc<str>,
    pub(super) connection: Rc<CallerConnection>,
    pub(super) completed: Cell<bool>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let handler = &self.handler;
        self.connection.set_idle(handler.clock.now());
        handler.in_flight.set(handler.in_flight.get().saturating_sub(1));
        if !self.completed.get() && !self.connection.is_cut() {
            info!(handler.logger, "caller left"; "event" => "caller_left", "request" => &*self.attempt);
        }
    }
}
