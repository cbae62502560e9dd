//! Positions in the history of the table service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of the table service's current history. It increases by one each time the service is restored
/// from a backup.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableEra(pub u64);

impl fmt::Display for TableEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TableEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Position in the history of the table service.
///
/// A restored service continues from the number in the backup and reuses later numbers, so revisions are
/// ordered by era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableRevision {
    /// Era of the number.
    pub era: TableEra,
    /// Number within the era.
    pub number: u64,
}

impl TableRevision {
    /// Creates a revision from its era and number.
    pub fn new(era: TableEra, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for TableRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Error returned when parsing a [`TableRevision`] fails.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a revision: expected an era, a dot and a number")]
pub struct ParseRevisionError(String);

impl FromStr for TableRevision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, ParseRevisionError> {
        let error = || ParseRevisionError(text.to_owned());
        let (era, number) = text.split_once('.').ok_or_else(error)?;
        let era = era.parse().map_err(|_era| error())?;
        let number = number.parse().map_err(|_number| error())?;
        Ok(Self { era, number })
    }
}
