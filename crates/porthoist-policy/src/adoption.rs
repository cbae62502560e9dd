//! Adoption of configuration: only higher revisions, only changes that join without a gap.
//!
//! Sources are the table's change feed, a snapshot in the object store and peers; whichever is first wins.

use crate::table::{RowKey, TableRow};
use std::collections::BTreeMap;

/// A set of changed rows between two revisions.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigChange<R = TableRow> {
    /// The change holds everything after this revision; 0 makes it a snapshot.
    pub since: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// Rows set, or removed where empty.
    pub rows: Vec<(RowKey, Option<R>)>,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdoptOutcome {
    /// In force from now on.
    Adopted,
    /// Not newer than what is in force.
    Stale,
    /// Changes in between are missing; ask again since the revision in force.
    Gap,
}

/// Rules that the model checker breaks one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdoptRules {
    /// Only higher revisions are adopted.
    pub higher_only: bool,
    /// A change must start at or before the revision in force.
    pub no_gap: bool,
}

impl AdoptRules {
    /// The rules in force.
    pub const SOUND: Self = Self { higher_only: true, no_gap: true };
}

/// The configuration in force in one process.
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
    /// An empty state with given rules, for the model checker.
    pub fn with_rules(rules: AdoptRules) -> Self {
        Self { rules, revision: 0, rows: BTreeMap::new() }
    }

    /// The revision in force, 0 before the first adoption.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether any configuration was adopted.
    pub fn ready(&self) -> bool {
        self.revision > 0
    }

    /// A row in force.
    pub fn row(&self, key: &RowKey) -> Option<&R> {
        self.rows.get(key)
    }

    /// All rows in force.
    pub fn rows(&self) -> &BTreeMap<RowKey, R> {
        &self.rows
    }

    /// Adopts a change if it is newer and joins without a gap.
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

    /// The whole state as a change that any process can adopt.
    pub fn snapshot(&self) -> ConfigChange<R> {
        let rows = self.rows.iter().map(|(key, row)| (key.clone(), Some(row.clone()))).collect();
        ConfigChange { since: 0, revision: self.revision, rows }
    }
}

/// Recent changes, so that a peer that is a little behind is told only what it lacks.
#[derive(Debug, Clone)]
pub struct ChangeHistory<R = TableRow> {
    capacity: usize,
    changes: std::collections::VecDeque<ConfigChange<R>>,
}

impl<R: Clone> ChangeHistory<R> {
    /// A history of at most `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, changes: std::collections::VecDeque::new() }
    }

    /// Adds a change that was adopted; a snapshot starts the history anew.
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

    /// One change from `since` to the newest, if the history reaches back so far.
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
