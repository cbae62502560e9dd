//! Model of two processes that adopt configuration from the table's change feed and from each other.
//!
//! Changes may be delayed, repeated or lost, and a process may restart without its state.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_policy::adoption::{AdoptRules, ConfigChange, ConfigState};
use porthoist_policy::table::{RowKey, RowKind};
use std::collections::BTreeMap;

const PROCESSES: usize = 2;

/// Bounds and rules of the model.
#[derive(Debug, Clone, Copy)]
pub struct AdoptionModel {
    /// Rules of adoption.
    pub rules: AdoptRules,
    /// Revision after the operators' last edit.
    pub edits: u64,
    /// Maximum number of process restarts.
    pub restarts: u8,
}

/// A change in transit: base revision, revision, and rows by number.
type SentChange = (u64, u64, Vec<(u8, u64)>);

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AdoptionState {
    revision: u64,
    processes: Vec<ConfigState<u64>>,
    /// Highest revision that each process has had in force since its last restart.
    highest: Vec<u64>,
    sent: Vec<(usize, SentChange)>,
    restarts: u8,
}

/// Returns the row that an edit writes. Edits alternate between two rows, and the value is the revision.
fn edited_row(revision: u64) -> u8 {
    (revision % 2) as u8
}

/// Returns the rows in the table at a revision.
fn rows_at(revision: u64) -> BTreeMap<u8, u64> {
    (1..=revision).map(|edit| (edited_row(edit), edit)).collect()
}

fn key(row: u8) -> RowKey {
    RowKey { kind: RowKind::Team, name: format!("row{row}") }
}

fn change(sent: &SentChange) -> ConfigChange<u64> {
    let (since, revision, rows) = sent;
    let rows = rows.iter().map(|(row, value)| (key(*row), Some(*value))).collect();
    ConfigChange { since: *since, revision: *revision, rows }
}

fn change_since(since: u64, revision: u64) -> SentChange {
    let rows = rows_at(revision).into_iter().filter(|(_row, edit)| *edit > since).collect();
    (since, revision, rows)
}

impl ProtocolModel for AdoptionModel {
    type State = AdoptionState;

    fn initial(&self) -> AdoptionState {
        AdoptionState {
            revision: 1,
            processes: vec![ConfigState::with_rules(self.rules); PROCESSES],
            highest: vec![0; PROCESSES],
            sent: Vec::new(),
            restarts: 0,
        }
    }

    fn successors(&self, state: &AdoptionState, visit: EventVisitor<'_, AdoptionState>) {
        if state.revision < self.edits {
            let mut next = state.clone();
            next.revision += 1;
            visit(format_args!("an operator edits a row after revision {}", state.revision), next);
        }
        for process in 0..PROCESSES {
            let own = state.processes[process].revision();
            let from_table = change_since(own, state.revision);
            let other = state.processes[1 - process].revision();
            let from_peer = change_since(own.min(other), other);
            for (source, sent) in [("the table", from_table), ("the other", from_peer)] {
                let message = (process, sent);
                if message.1.1 == 0 || state.sent.contains(&message) {
                    continue;
                }
                let mut next = state.clone();
                next.sent.push(message);
                next.sent.sort();
                visit(format_args!("{source} sends process {process} the change since {own}"), next);
            }
            if state.restarts < self.restarts {
                let mut next = state.clone();
                next.restarts += 1;
                next.processes[process] = ConfigState::with_rules(self.rules);
                next.highest[process] = 0;
                visit(format_args!("process {process} restarts without its state"), next);
            }
        }
        for (process, sent) in &state.sent {
            let mut next = state.clone();
            next.processes[*process].adopt(change(sent));
            let revision = next.processes[*process].revision();
            next.highest[*process] = next.highest[*process].max(revision);
            visit(format_args!("process {process} receives {sent:?}"), next);
        }
    }

    fn violation(&self, state: &AdoptionState) -> Option<String> {
        for (process, config) in state.processes.iter().enumerate() {
            if config.revision() < state.highest[process] {
                return Some(format!("process {process} reverted to revision {}", config.revision()));
            }
            let expected: BTreeMap<RowKey, u64> =
                rows_at(config.revision()).into_iter().map(|(row, value)| (key(row), value)).collect();
            if *config.rows() != expected {
                return Some(format!(
                    "process {process} has different rows than revision {}",
                    config.revision()
                ));
            }
        }
        None
    }
}
