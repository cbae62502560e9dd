//! Earlier values of large rows, from which changes can be sent as patches.

use crate::patch::ValuePatch;
use crate::revision::TableRevision;
use crate::rows::{RowValue, TableRow};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Size in bytes from which a row is sent as a patch.
const MIN_PATCHED_BYTES: usize = 4 * 1024;
/// Maximum number of earlier values per row. Covers changes in quick succession of which a process may have
/// missed some.
const MAX_VALUES: usize = 12;
/// Maximum size in bytes of the earlier values of a row, not counting the latest one.
const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// A value of a row, valid from a version on.
#[derive(Debug, Clone)]
struct EarlierValue {
    version: TableRevision,
    bytes: Rc<Vec<u8>>,
}

/// Earlier values of the rows of one table.
#[derive(Debug, Default)]
pub(crate) struct EarlierValues {
    values: HashMap<String, VecDeque<EarlierValue>>,
    /// Cached patches by key, version and earlier version. Most processes of a zone need the same ones.
    patches: RefCell<HashMap<(String, TableRevision, TableRevision), Rc<ValuePatch>>>,
}

impl EarlierValues {
    /// Records the previous state of a row that is replaced.
    pub(crate) fn record_replaced(&mut self, row: TableRow) {
        let RowValue::Bytes(bytes) = row.value else { return };
        if bytes.len() < MIN_PATCHED_BYTES {
            return;
        }
        self.patches.borrow_mut().clear();
        let values = self.values.entry(row.key).or_default();
        values.push_back(EarlierValue { version: row.version, bytes: Rc::new(bytes) });
        let total_bytes =
            |values: &VecDeque<EarlierValue>| values.iter().map(|value| value.bytes.len()).sum::<usize>();
        while values.len() > 1 && (values.len() > MAX_VALUES || total_bytes(values) > MAX_VALUE_BYTES) {
            values.pop_front();
        }
    }

    /// Returns the patch of a row for a process that knows the table as of a revision. Returns `None` if
    /// the earlier value is unknown or the patch would not be less than half of the row's size.
    pub(crate) fn patch(&self, row: &TableRow, revision: TableRevision) -> Option<Rc<ValuePatch>> {
        let RowValue::Bytes(bytes) = &row.value else { return None };
        let known = self.values.get(&row.key)?.iter().rev().find(|value| value.version <= revision)?;
        let key = (row.key.clone(), row.version, known.version);
        let mut patches = self.patches.borrow_mut();
        let compute = || Rc::new(ValuePatch::new(known.version.number, &known.bytes, bytes));
        let patch = Rc::clone(patches.entry(key).or_insert_with(compute));
        (patch.bytes() < bytes.len() / 2).then_some(patch)
    }
}
