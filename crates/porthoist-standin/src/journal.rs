//! Journal of executed requests. Tests use it to check that requests ran at most once, or did not run if refused as not run.

use serde::{Deserialize, Serialize};

/// Maximum number of recorded runs.
pub const MAX_RECORDED_RUNS: usize = 1_000_000;

/// An executed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRun {
    /// Path of the request.
    pub path: String,
    /// Body as text.
    pub body: String,
}

/// Requests that a stand-in has executed.
#[derive(Debug, Default)]
pub struct RunJournal {
    runs: Vec<JournalRun>,
}

impl RunJournal {
    /// Records a run, unless the journal is full.
    pub fn record(&mut self, path: &str, body: &[u8]) {
        if self.runs.len() < MAX_RECORDED_RUNS {
            let body = String::from_utf8_lossy(body).into_owned();
            self.runs.push(JournalRun { path: path.to_owned(), body });
        }
    }

    /// Returns all recorded runs.
    pub fn runs(&self) -> &[JournalRun] {
        &self.runs
    }
}
