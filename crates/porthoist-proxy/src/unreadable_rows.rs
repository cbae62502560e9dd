//! Counts rows that can't be read, once per change.

use crate::rows::ControlTable;
use parking_lot::Mutex;
use porthoist_metrics::MetricsHub;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher as _};
use std::sync::Arc;

/// Maximum number of rows that are remembered. Beyond it all are forgotten, and counted once more.
const MAX_REMEMBERED: usize = 2_000;

/// What of a row can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RowProblem {
    /// Its key, so that it names nothing.
    Key,
    /// Its version. That of its answer is used instead.
    Version,
    /// Its content.
    Content,
}

impl RowProblem {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Version => "version",
            Self::Content => "content",
        }
    }
}

/// The unreadable rows that have been counted, with digests of their content. Clones share their state.
#[derive(Debug, Clone)]
pub struct UnreadableRows {
    known: Arc<Mutex<HashMap<(ControlTable, String), u64>>>,
    metrics: Arc<MetricsHub>,
}

impl UnreadableRows {
    /// Creates an empty record.
    pub fn new(metrics: Arc<MetricsHub>) -> Self {
        Self { known: Arc::default(), metrics }
    }

    /// Counts a row unless it has been counted with the same content. Returns whether it was.
    pub fn record(&self, table: ControlTable, key: &str, content: &impl Hash, problem: RowProblem) -> bool {
        let digest = digest_of(&(problem, content));
        let mut known = self.known.lock();
        if known.get(&(table, key.to_owned())) == Some(&digest) {
            return false;
        }
        if known.len() >= MAX_REMEMBERED {
            known.clear();
        }
        known.insert((table, key.to_owned()), digest);
        self.metrics.record_unreadable_row(table.as_str(), problem.as_str());
        true
    }

    /// Forgets a row that can be read or was removed.
    pub fn forget(&self, table: ControlTable, key: &str) {
        let mut known = self.known.lock();
        if !known.is_empty() {
            known.remove(&(table, key.to_owned()));
        }
    }

    /// Forgets the rows of a table whose keys are not listed.
    pub fn retain(&self, table: ControlTable, is_listed: impl Fn(&str) -> bool) {
        self.known.lock().retain(|(known_table, key), _digest| *known_table != table || is_listed(key));
    }
}

fn digest_of(content: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    content.hash(&mut hasher);
    hasher.finish()
}
