//! A process's copy of a table, and how it relates the table service's clock to its own.

use crate::revision::{TableEra, TableRevision};
use crate::rows::{RowValue, TableRow};
use crate::source::SourceAnswer;
use crate::table_reader::RowUpdate;
use porthoist_core::UnixMillis;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

/// This process's copy of one table.
#[derive(Debug, Default)]
pub(crate) struct TableCopy {
    pub(crate) rows: RefCell<HashMap<String, TableRow>>,
    pub(crate) revision: Cell<Option<TableRevision>>,
    pub(crate) stamp: Cell<u64>,
}

impl TableCopy {
    pub(crate) fn era(&self) -> TableEra {
        self.revision.get().unwrap_or_default().era
    }

    /// Whether a response is newer than this copy. Clock values of different eras are not comparable.
    pub(crate) fn is_outdated_by(&self, revision: TableRevision, stamp: u64) -> bool {
        match revision.era.cmp(&self.era()) {
            Ordering::Less => false,
            Ordering::Equal => stamp > self.stamp.get(),
            Ordering::Greater => true,
        }
    }

    /// Returns the complete rows, with patches applied, or `None` if a patch does not apply.
    pub(crate) fn apply_patches(
        &self,
        update: SourceAnswer<Vec<RowUpdate>>,
    ) -> Option<SourceAnswer<Vec<TableRow>>> {
        let known = self.rows.borrow();
        let SourceAnswer { value, revision, stamp, origin } = update;
        let rows: Option<Vec<TableRow>> = value
            .into_iter()
            .map(|row| {
                let before = known.get(&row.key);
                row.into_row(revision.era, before)
            })
            .collect();
        Some(SourceAnswer { value: rows?, revision, stamp, origin })
    }

    /// Returns removals of all known rows whose keys are not in `keys`.
    pub(crate) fn removals_except(&self, keys: &[String], revision: TableRevision) -> Vec<TableRow> {
        let keys: HashSet<&String> = keys.iter().collect();
        let rows = self.rows.borrow();
        let gone = rows.keys().filter(|key| !keys.contains(key));
        gone.map(|key| TableRow { key: key.clone(), value: RowValue::Removed, version: revision }).collect()
    }

    /// Applies a response to the self. Rows older than the copy's are ignored.
    pub(crate) fn apply(&self, answer: &SourceAnswer<Vec<TableRow>>, is_listing: bool) {
        if is_listing && self.revision.get().is_some_and(|known| answer.revision < known) {
            return;
        }
        let mut rows = self.rows.borrow_mut();
        if is_listing {
            rows.clear();
        }
        for row in &answer.value {
            let known = rows.get(&row.key).map_or_else(TableRevision::default, |known| known.version);
            if row.version >= known {
                rows.insert(row.key.clone(), row.clone());
            }
        }
        rows.retain(|_key, row| row.value != RowValue::Removed);
        let previous_stamp = if answer.revision.era > self.era() { 0 } else { self.stamp.get() };
        self.stamp.set(previous_stamp.max(answer.stamp));
        self.revision.set(self.revision.get().max(Some(answer.revision)));
    }
}

/// Relates a time of the table service's clock to an earlier time of the local clock: a response can't be
/// older than its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockOffset {
    sent: UnixMillis,
    pub(crate) era: TableEra,
    stamp: u64,
}

impl ClockOffset {
    pub(crate) fn new(sent: UnixMillis, era: TableEra, stamp: u64) -> Self {
        Self { sent, era, stamp }
    }

    /// Takes another response into account. The one that places the service's clock latest is the most
    /// accurate.
    pub(crate) fn refined(self, sent: UnixMillis, stamp: u64) -> Self {
        let other = Self { sent, stamp, ..self };
        if other.local_lower_bound(stamp) > self.local_lower_bound(stamp) { other } else { self }
    }

    /// Returns a lower bound of the local time of a time of the table service's clock.
    pub(crate) fn local_lower_bound(self, stamp: u64) -> UnixMillis {
        UnixMillis((self.sent.0 + stamp).saturating_sub(self.stamp))
    }
}
