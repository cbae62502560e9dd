//! Open connections of callers: how many there are, which of them are idle, and which one gives way to a new one.

use crate::caller_stream::CallerConnection;
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use porthoist_http::{BodyIntake, ScarceRoom};
use porthoist_metrics::MetricsHub;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Minimum interval in milliseconds between two log lines about connections that gave way or were refused.
const LOG_INTERVAL_MILLIS: u64 = 1_000;

/// What happened to a connection that did not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// An idle connection was closed in favor of a new one.
    Evicted,
    /// A connection whose body made no progress was closed in favor of a new one.
    Stalled,
    /// A new connection was closed, because all others are in use.
    Refused,
    /// A connection could not be accepted.
    Failed,
}

impl ConnectionEvent {
    fn as_str(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::Stalled => "stalled",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

/// Open connections of callers, bounded in number.
pub(crate) struct CallerConnections {
    max_connections: usize,
    intake: Arc<BodyIntake>,
    /// By the order in which they were accepted.
    open: RefCell<BTreeMap<u64, Rc<CallerConnection>>>,
    next_id: Cell<u64>,
    /// Notified when the last connection ends.
    emptied: Notify,
    /// Events since the last log line.
    unlogged: Cell<u64>,
    next_log: Cell<UnixDeadline>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
}

impl fmt::Debug for CallerConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerConnections").field("open", &self.open.borrow().len()).finish_non_exhaustive()
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionSlot {
    connections: Rc<CallerConnections>,
    id: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut open = self.connections.open.borrow_mut();
        open.remove(&self.id);
        if open.is_empty() {
            self.connections.emptied.notify_waiters();
        }
    }
}

impl CallerConnections {
    pub(crate) fn new(
        max_connections: usize,
        intake: Arc<BodyIntake>,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
        logger: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            intake,
            open: RefCell::default(),
            next_id: Cell::new(0),
            emptied: Notify::new(),
            unlogged: Cell::new(0),
            next_log: Cell::default(),
            clock,
            metrics,
            logger,
        })
    }

    /// Whether a new connection can be accepted or refused now. Otherwise one whose body has just stopped arriving may soon
    /// give way.
    pub(crate) fn can_decide(&self) -> bool {
        let has_idle =
            || self.open.borrow().values().any(|connection| connection.evictable_since().is_some());
        !self.is_full() || has_idle() || !self.intake.has_arriving() || self.intake.has_stalled()
    }

    fn is_full(&self) -> bool {
        self.open.borrow().len() >= self.max_connections && self.excess() > 0
    }

    /// Number of connections that must close before one more fits. Connections that linger and were told to close do so at
    /// once, and are not counted.
    fn excess(&self) -> usize {
        let open = self.open.borrow();
        let is_leaving =
            |connection: &&Rc<CallerConnection>| connection.is_lingering() && connection.is_evicted();
        let leaving = open.values().filter(is_leaving).count();
        (open.len() - leaving + 1).saturating_sub(self.max_connections)
    }

    /// Closes as many connections that linger as do not fit. Returns whether one more connection then fits.
    fn close_lingering(&self) -> bool {
        let excess = self.excess();
        let open = self.open.borrow();
        let is_closable =
            |connection: &&Rc<CallerConnection>| connection.is_lingering() && !connection.is_evicted();
        let closable: Vec<_> = open.values().filter(is_closable).take(excess).collect();
        for connection in &closable {
            connection.evict();
            self.metrics.record_connection_event(ConnectionEvent::Evicted.as_str());
        }
        closable.len() >= excess
    }

    /// Adds a connection. Beyond the maximum another one gives way; if all are in use, the new one is refused.
    pub(crate) fn add(self: &Rc<Self>, connection: &Rc<CallerConnection>) -> Option<ConnectionSlot> {
        if self.is_full() && !self.close_lingering() && !self.evict() {
            self.record(ConnectionEvent::Refused, "all connections are in use");
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        connection.set_idle(self.clock.now());
        self.open.borrow_mut().insert(id, Rc::clone(connection));
        Some(ConnectionSlot { connections: Rc::clone(self), id })
    }

    /// Closes the connection that has been idle for the longest, those first that have sent their last answer, or else
    /// the one whose body has made no progress for longest. Returns whether there was one.
    pub(crate) fn evict(&self) -> bool {
        self.evict_idle() || self.evict_stalled()
    }

    fn evict_stalled(&self) -> bool {
        let ended = self.intake.end_stalled(ScarceRoom::Connections);
        if ended {
            self.record(ConnectionEvent::Stalled, "too many connections");
        }
        ended
    }

    fn evict_idle(&self) -> bool {
        let idlest = {
            let open = self.open.borrow();
            let idle =
                open.values().filter_map(|connection| Some((connection.evictable_since()?, connection)));
            let order = |(since, connection): &(UnixMillis, &Rc<CallerConnection>)| {
                (!connection.is_lingering(), *since)
            };
            idle.min_by_key(order).map(|(_since, connection)| Rc::clone(connection))
        };
        let Some(connection) = idlest else { return false };
        connection.evict();
        self.record(ConnectionEvent::Evicted, "too many connections");
        true
    }

    /// Closes all connections once their requests are answered, and waits until they have ended.
    pub(crate) async fn shut_down(&self) {
        for connection in self.open.borrow().values() {
            connection.close();
        }
        loop {
            let emptied = self.emptied.notified();
            if self.open.borrow().is_empty() {
                return;
            }
            emptied.await;
        }
    }

    /// Whether each open connection has sent its last answer.
    pub(crate) fn all_linger(&self) -> bool {
        self.open.borrow().values().all(|connection| connection.is_lingering())
    }

    /// Counts an event, and logs the events of the last second together.
    pub(crate) fn record(&self, event: ConnectionEvent, detail: &str) {
        self.metrics.record_connection_event(event.as_str());
        self.unlogged.set(self.unlogged.get() + 1);
        let now: UnixMillis = self.clock.now();
        if !self.next_log.get().passed(now) {
            return;
        }
        self.next_log.set(UnixDeadline::after(now, LOG_INTERVAL_MILLIS));
        info!(self.logger, "a connection of a caller was closed or not accepted"; "event" => "connection_limit",
            "what" => event.as_str(), "detail" => detail, "count" => self.unlogged.replace(0),
            "open" => self.open.borrow().len());
    }
}
