//! Division of a process's open files between callers and everything else.
//!
//! A caller's connection that is served needs a second file for the connection to its target. If callers could take all
//! files, their requests could be read and not be sent, and the process would lose its contact with the table service.

/// Files for listeners, the runtime, the table service, peers and logs.
const RESERVED_FILES: u64 = 64;
/// Least number of connections of each kind, if the limit leaves less.
const MIN_CONNECTIONS: usize = 16;

/// Maximum number of open files of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileLimit(pub u64);

impl std::fmt::Display for FileLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} files", self.0)
    }
}

/// Error of parsing a [`FileLimit`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a number of files")]
pub struct FileLimitError(String);

impl std::str::FromStr for FileLimit {
    type Err = FileLimitError;

    fn from_str(text: &str) -> Result<Self, FileLimitError> {
        let files = text.trim_end_matches(" files");
        files.parse().map(Self).map_err(|_error| FileLimitError(text.chars().take(64).collect()))
    }
}

/// Maximum numbers of connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileBounds {
    /// Open connections of callers: half of the files.
    pub callers: usize,
    /// Idle connections to targets: a quarter of the files. The last quarter is for requests that are running.
    pub idle_targets: usize,
}

impl FileBounds {
    /// Divides the files that a process may open.
    pub fn new(limit: FileLimit) -> Self {
        let files = usize::try_from(limit.0.saturating_sub(RESERVED_FILES)).unwrap_or(usize::MAX);
        Self { callers: (files / 2).max(MIN_CONNECTIONS), idle_targets: (files / 4).max(MIN_CONNECTIONS) }
    }
}
