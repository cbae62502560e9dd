//! The operator endpoint of entries and targets.

use crate::component::entry_fleet::view::FleetView;
use crate::config::ConfigHub;
use porthoist_caller::ConfigPort as _;
use porthoist_core::{IncarnationId, RequestId, TargetName, ZoneName};
use porthoist_http::{ServerSettings, serve_until};
use porthoist_operator::{OperatorPort, OperatorServer, StatusReport};
use porthoist_policy::decision_log::{DecisionLog, DecisionRecord};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The state that the operator endpoint shows.
pub struct ProcessView {
    /// Name of this process.
    pub node: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Identifies this run of the process.
    pub incarnation: IncarnationId,
    /// The configuration in force.
    pub config: Arc<ConfigHub>,
    /// State of the fleet; empty on a target.
    pub fleet: Arc<FleetView>,
    /// Whether the platform answered the last call.
    pub platform_heard: Arc<AtomicBool>,
    /// Decisions on recent requests; empty on a target.
    pub decisions: Arc<Mutex<DecisionLog>>,
    /// Returns the number of requests in flight.
    pub in_flight: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Set when the process starts to shut down.
    pub stopping: watch::Receiver<bool>,
}

impl fmt::Debug for ProcessView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessView").field("node", &self.node).finish_non_exhaustive()
    }
}

impl OperatorPort for ProcessView {
    fn status(&self) -> StatusReport {
        let (targets, entries) = self.fleet.snapshot();
        StatusReport {
            node: self.node.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            revision: self.config.revision(),
            platform_heard: self.platform_heard.load(Ordering::Relaxed),
            in_flight: (self.in_flight)(),
            entries: entries.into_iter().filter(|entry| entry.node != self.node).collect(),
            targets,
        }
    }

    fn ready(&self) -> bool {
        self.config.ready() && !*self.stopping.borrow()
    }

    fn decisions(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.decisions.lock().map(|log| log.for_request(request)).unwrap_or_default()
    }
}

/// Serves the operator endpoint forever.
pub async fn serve_operators(listener: TcpListener, server: OperatorServer) {
    let (_keep, never) = watch::channel(false);
    serve_until(listener, ServerSettings::for_operators(), never, move |request| {
        server.clone().handle(request)
    })
    .await;
}
