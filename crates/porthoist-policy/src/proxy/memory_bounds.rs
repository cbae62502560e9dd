//! Division of a process's memory between what its callers make it hold and everything else.
//!
//! Half of the memory is for request bodies and responses, unless a bound is given. Of the rest, half is for the
//! connections of callers, and half for tables, targets and the program.

use std::fmt;
use std::str::FromStr;

/// Memory of a caller's connection in bytes: buffers for a head of 16 KiB and for responses.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Minimum number of connections, if the memory leaves less.
const MIN_CONNECTIONS: usize = 16;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Memory that a process may use, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemorySize(pub u64);

impl fmt::Display for MemorySize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MB", self.0 / BYTES_PER_MEGABYTE)
    }
}

/// Error of parsing a [`MemorySize`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a number of megabytes")]
pub struct MemorySizeError(String);

impl FromStr for MemorySize {
    type Err = MemorySizeError;

    fn from_str(text: &str) -> Result<Self, MemorySizeError> {
        let megabytes: Option<u64> = text.trim_end_matches(" MB").parse().ok();
        let bytes = megabytes.and_then(|megabytes| megabytes.checked_mul(BYTES_PER_MEGABYTE));
        bytes.map(Self).ok_or_else(|| MemorySizeError(text.chars().take(64).collect()))
    }
}

/// Error of a bound of held bytes that leaves too little memory for everything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{held_bytes} bytes are more than three quarters of {memory}")]
pub struct MemoryBoundsError {
    /// The bound that was given.
    pub held_bytes: u64,
    /// The memory that the process may use.
    pub memory: MemorySize,
}

/// Bounds on what callers make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Maximum number of bytes in request bodies and responses; 0 for no bound.
    pub held_bytes: u64,
    /// Maximum number of open connections of callers.
    pub connections: usize,
}

impl MemoryBounds {
    /// Divides the memory that a process may use. `held_bytes` is the bound on request bodies and responses, if it is
    /// given.
    ///
    /// # Errors
    ///
    /// Fails if the given bound exceeds three quarters of the memory.
    pub fn new(memory: MemorySize, held_bytes: Option<u64>) -> Result<Self, MemoryBoundsError> {
        let held_bytes = held_bytes.unwrap_or(memory.0 / 2);
        if held_bytes > memory.0 - memory.0 / 4 {
            return Err(MemoryBoundsError { held_bytes, memory });
        }
        let connections = (memory.0 - held_bytes) / 2 / CONNECTION_BYTES;
        let connections = usize::try_from(connections).unwrap_or(usize::MAX).max(MIN_CONNECTIONS);
        Ok(Self { held_bytes, connections })
    }
}
