//! Era of the table service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of the table service's current history. It increases by one each time the service is restored from a backup.
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
