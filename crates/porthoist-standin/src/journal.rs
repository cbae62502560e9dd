//! The journal of what a stand-in ran, against which "at most once" and "not run" are checked.

use serde::{Deserialize, Serialize};

/// Runs kept at most.
pub const MAX_RUNS: usize = 1_000_000;

/// One run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRun {
    /// Path of the request.
    pub path: String,
    /// Its body as text.
    pub body: String,
}

/// All runs of one stand-in.
#[derive(Debug, Default)]
pub struct RunJournal {
    runs: Vec<JournalRun>,
}

impl RunJournal {
    /// Adds a run.
    pub fn record(&mut self, path: &str, body: &[u8]) {
        if self.runs.len() < MAX_RUNS {
            let body = String::from_utf8_lossy(body).into_owned();
            self.runs.push(JournalRun { path: path.to_owned(), body });
        }
    }

    /// The runs so far.
    pub fn runs(&self) -> &[JournalRun] {
        &self.runs
    }
}
