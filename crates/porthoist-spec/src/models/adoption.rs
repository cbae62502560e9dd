//! Two processes that adopt configuration from the table's feed and from each other.
//!
//! Changes may arrive late, again or never, and a process may restart without memory.

use crate::search::{EventVisitor, ProtocolModel};
use porthoist_policy::adoption::{AdoptRules, ConfigChange, ConfigState};
use porthoist_policy::table::{RowKey, RowKind};
use std::collections::BTreeMap;

const PROCESSES: usize = 2;

/// The model's bounds and rules.
#[derive(Debug, Clone, Copy)]
pub struct AdoptionModel {
    /// The protocol's rules.
    pub rules: AdoptRules,
    /// Edits of operators.
    pub edits: u64,
    /// Restarts of processes.
    pub restarts: u8,
}

/// A change on its way, as since, revision and rows by name.
type SentChange = (u64, u64, Vec<(u8, u64)>);

/// Everything in the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AdoptionState {
    revision: u64,
    processes: Vec<ConfigState<u64>>,
    /// The highest revision that each process had in force in this life.
    highest: Vec<u64>,
    sent: Vec<(usize, SentChange)>,
    restarts: u8,
}

/// The row that an edit writes: rows take turns, and the value is the revision.
fn edited_row(revision: u64) -> u8 {
    (revision % 2) as u8
}

/// The rows in the table at a revision.
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

fn feed(since: u64, revision: u64) -> SentChange {
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
            let told_by_table = feed(own, state.revision);
            let other = state.processes[1 - process].revision();
            let told_by_peer = feed(own.min(other), other);
            for (source, sent) in [("the table", told_by_table), ("the other", told_by_peer)] {
                let message = (process, sent);
                if message.1.1 == 0 || state.sent.contains(&message) {
                    continue;
                }
                let mut next = state.clone();
                next.sent.push(message);
                next.sent.sort();
                visit(format_args!("{source} tells process {process} the change since {own}"), next);
            }
            if state.restarts < self.restarts {
                let mut next = state.clone();
                next.restarts += 1;
                next.processes[process] = ConfigState::with_rules(self.rules);
                next.highest[process] = 0;
                visit(format_args!("process {process} restarts without memory"), next);
            }
        }
        for (process, sent) in &state.sent {
            let mut next = state.clone();
            next.processes[*process].adopt(change(sent));
            let revision = next.processes[*process].revision();
            next.highest[*process] = next.highest[*process].max(revision);
            visit(format_args!("process {process} hears {sent:?}"), next);
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
                return Some(format!("process {process} has other rows than revision {}", config.revision()));
            }
        }
        None
    }
}
