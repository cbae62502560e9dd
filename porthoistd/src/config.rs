//! The configuration in force, shared by all threads of the process.

use parking_lot::{Mutex, RwLock};
use porthoist_caller::ConfigPort;
use porthoist_core::{ServiceName, TargetName, TeamName};
use porthoist_metrics::MetricsHub;
use porthoist_policy::adoption::{AdoptOutcome, ChangeHistory, ConfigChange, ConfigState};
use porthoist_policy::limits::TeamLimit;
use porthoist_policy::table::{RowKey, RowKind, ServiceRow, TableRow, TargetRow, TeamRow};
use std::sync::Arc;
use tokio::sync::watch;

/// Number of recent changes kept for peers that lag behind.
const HISTORY_CHANGES: usize = 512;

/// Holds the configuration and notifies subscribers of its changes.
#[derive(Debug)]
pub struct ConfigHub {
    state: Mutex<(ConfigState, ChangeHistory)>,
    in_force: RwLock<Arc<ConfigState>>,
    revision: watch::Sender<u64>,
    metrics: Arc<MetricsHub>,
}

impl ConfigHub {
    /// Creates a hub without configuration.
    pub fn new(metrics: Arc<MetricsHub>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new((ConfigState::default(), ChangeHistory::new(HISTORY_CHANGES))),
            in_force: RwLock::new(Arc::new(ConfigState::default())),
            revision: watch::Sender::new(0),
            metrics,
        })
    }

    /// Adopts a change if it is newer and leaves no gap.
    pub fn adopt(&self, change: ConfigChange) -> AdoptOutcome {
        let mut guard = self.state.lock();
        let (state, history) = &mut *guard;
        let outcome = state.adopt(change.clone());
        if outcome == AdoptOutcome::Adopted {
            history.push(change);
            *self.in_force.write() = Arc::new(state.clone());
            self.metrics.set_revision(state.revision());
            self.revision.send_replace(state.revision());
        }
        outcome
    }

    /// The changes that a process at revision `since` is missing, if any: recent changes, or a snapshot if
    /// they no longer suffice.
    pub fn change_since(&self, since: u64) -> Option<ConfigChange> {
        if since >= self.revision() {
            return None;
        }
        let guard = self.state.lock();
        Some(guard.1.since(since).unwrap_or_else(|| guard.0.snapshot()))
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<ConfigState> {
        Arc::clone(&self.in_force.read())
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Subscribes to the revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn row(&self, kind: RowKind, name: &str) -> Option<TableRow> {
        let key = RowKey { kind, name: name.to_owned() };
        self.current().row(&key).cloned()
    }

    /// The table row of a target.
    pub fn target(&self, target: &TargetName) -> Option<TargetRow> {
        match self.row(RowKind::Target, target.as_str()) {
            Some(TableRow::Target(row)) => Some(row),
            _ => None,
        }
    }

    /// The limits of all teams.
    pub fn limits(&self) -> impl Iterator<Item = (TeamName, TeamLimit)> + use<> {
        let mut limits = Vec::new();
        for (key, row) in self.current().rows() {
            if let (TableRow::Team(TeamRow { rate, concurrency, .. }), Ok(name)) = (row, key.name.parse()) {
                limits.push((name, TeamLimit { rate: *rate, concurrency: *concurrency }));
            }
        }
        limits.into_iter()
    }

    /// The limits of a team, if it has a row.
    pub fn limit(&self, team: &TeamName) -> Option<TeamLimit> {
        let TeamRow { rate, concurrency, .. } = self.team(team)?;
        Some(TeamLimit { rate, concurrency })
    }
}

impl ConfigPort for ConfigHub {
    fn ready(&self) -> bool {
        self.revision() > 0
    }

    fn team(&self, team: &TeamName) -> Option<TeamRow> {
        match self.row(RowKind::Team, team.as_str()) {
            Some(TableRow::Team(row)) => Some(row),
            _ => None,
        }
    }

    fn service(&self, service: &ServiceName) -> Option<ServiceRow> {
        match self.row(RowKind::Service, service.as_str()) {
            Some(TableRow::Service(row)) => Some(row),
            _ => None,
        }
    }
}
