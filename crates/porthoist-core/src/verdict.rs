//! The verdict on a request: whether it may have run.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The request is known not to have run.
    NotRun,
    /// It is not known whether the request ran.
    MayHaveRun,
    /// The request is known to have run.
    Ran,
}

impl RunVerdict {
    /// Returns the verdict as it appears in headers and problem details.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error of parsing a verdict.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a verdict: expected not-run, may-have-run or ran")]
pub struct VerdictError(String);

impl FromStr for RunVerdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, VerdictError> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            other => Err(VerdictError(other.chars().take(64).collect())),
        }
    }
}
