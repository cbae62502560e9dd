//! Adoption of configuration changes by revision.
//!
//! A process adopts only changes that lead to a higher revision and leave no gap. They come from the table's change
//! feed, a snapshot in the object store, or peers; the first to arrive is adopted.

use crate::table::{RowKey, TableRow};
use std::collections::BTreeMap;

/// Rows changed between two revisions.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigChange<R = TableRow> {
    /// The change contains everything after this revision; 0 marks a snapshot of the whole table.
    pub since: u64,
    /// Revision that is in force after the change.
    pub revision: u64,
    /// Changed rows; `None` removes the row.
    pub rows: Vec<(RowKey, Option<R>)>,
}

/// Result of [`ConfigState::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdoptOutcome {
    /// The change is in force.
    Adopted,
    /// The change is not newer than the revision in force.
    Stale,
    /// Changes in between are missing; query again from the revision in force.
    Gap,
}

/// Rules of adoption; the model checker disables them one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdoptRules {
    /// Only higher revisions are adopted.
    pub higher_only: bool,
    /// A change must build on the revision in force or an earlier one.
    pub no_gap: bool,
}

impl AdoptRules {
    /// All rules enabled.
    pub const SOUND: Self = Self { higher_only: true, no_gap: true };
}

/// Configuration in force in one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigState<R = TableRow> {
    rules: AdoptRules,
    revision: u64,
    rows: BTreeMap<RowKey, R>,
}

impl<R: Clone> Default for ConfigState<R> {
    fn default() -> Self {
        Self::with_rules(AdoptRules::SOUND)
    }
}

impl<R: Clone> ConfigState<R> {
    /// Creates an empty state with the given rules, for the model checker.
    pub fn with_rules(rules: AdoptRules) -> Self {
        Self { rules, revision: 0, rows: BTreeMap::new() }
    }

    /// Returns the revision in force, or 0 before the first adoption.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether any configuration was adopted.
    pub fn ready(&self) -> bool {
        self.revision > 0
    }

    /// Returns a row in force.
    pub fn row(&self, key: &RowKey) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns all rows in force.
    pub fn rows(&self) -> &BTreeMap<RowKey, R> {
        &self.rows
    }

    /// Adopts a change if it is newer and leaves no gap.
    pub fn adopt(&mut self, change: ConfigChange<R>) -> AdoptOutcome {
        if self.rules.higher_only && change.revision <= self.revision {
            return AdoptOutcome::Stale;
        }
        if self.rules.no_gap && change.since > self.revision {
            return AdoptOutcome::Gap;
        }
        if change.since == 0 {
            self.rows.clear();
        }
        for (key, row) in change.rows {
            match row {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
        self.revision = change.revision;
        AdoptOutcome::Adopted
    }

    /// Returns the whole state as a snapshot that any process can adopt.
    pub fn snapshot(&self) -> ConfigChange<R> {
        let rows = self.rows.iter().map(|(key, row)| (key.clone(), Some(row.clone()))).collect();
        ConfigChange { since: 0, revision: self.revision, rows }
    }
}

/// Recent changes, from which a peer that is slightly behind gets only what it lacks.
#[derive(Debug, Clone)]
pub struct ChangeHistory<R = TableRow> {
    capacity: usize,
    changes: std::collections::VecDeque<ConfigChange<R>>,
}

impl<R: Clone> ChangeHistory<R> {
    /// Creates a history of at most `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, changes: std::collections::VecDeque::new() }
    }

    /// Adds an adopted change; a snapshot clears the history.
    pub fn push(&mut self, change: ConfigChange<R>) {
        if change.since == 0 {
            self.changes.clear();
            return;
        }
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Merges the changes from `since` to the newest into one, or returns `None` if the history does not reach back to
    /// `since`.
    pub fn since(&self, since: u64) -> Option<ConfigChange<R>> {
        let revision = self.changes.back()?.revision;
        let start =
            self.changes.iter().position(|change| change.since <= since && change.revision > since)?;
        let mut rows = BTreeMap::new();
        for change in self.changes.iter().skip(start) {
            rows.extend(change.rows.iter().cloned());
        }
        Some(ConfigChange { since, revision, rows: rows.into_iter().collect() })
    }
}
