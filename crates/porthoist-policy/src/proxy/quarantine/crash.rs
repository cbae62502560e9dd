//! Deaths of targets as rows of the crash table.

use porthoist_core::{SuspectMark, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

/// A death that is blamed on something, and the key of its row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashKey {
    /// The request or the part of prompts that it is blamed on.
    pub mark: SuspectMark,
    /// The life of the target that ended.
    pub target: Box<str>,
}

impl fmt::Display for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.mark, self.target)
    }
}

/// Error of parsing the key of a row of the crash table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a crash key: expected a mark, a slash and a target")]
pub struct CrashKeyError(String);

impl FromStr for CrashKey {
    type Err = CrashKeyError;

    fn from_str(text: &str) -> Result<Self, CrashKeyError> {
        let error = || CrashKeyError(text.chars().take(64).collect());
        let (mark, target) = text.split_once('/').ok_or_else(error)?;
        let mark = mark.parse().map_err(|_mark| error())?;
        if target.is_empty() {
            return Err(error());
        }
        Ok(Self { mark, target: target.into() })
    }
}

/// Value of a row of the crash table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// When the death was observed, by the clock of the host that observed it.
    pub died: UnixMillis,
    /// Whether the target was a rank of a group.
    pub ranked: bool,
    /// The host that observed it.
    pub by: Box<str>,
    /// Whether it is blamed on several parts of the same prompt.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub ambiguous: bool,
}

/// All rows of the crash table.
pub type CrashRows = HashMap<CrashKey, CrashReport>;
