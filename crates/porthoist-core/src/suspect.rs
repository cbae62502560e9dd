//! What a crash of a target may be blamed on: a whole request, or a part of prompts that requests share.

use crate::ids::ServiceName;
use crate::mark::{MarkError, RequestMark};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Number of hexadecimal digits of a part's mark in text form.
const PART_DIGITS: usize = 32;
/// Number of digits of a part's mark in logs.
const LOG_DIGITS: usize = 11;
/// Begins the text form of a part's mark.
const PART_LETTER: char = 'p';

/// Identifies a part of prompts by a digest of its identifier and of the service that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartMark(u128);

impl PartMark {
    /// Returns the mark of a part at a service.
    ///
    /// Targets of another service run other programs, which the part need not crash.
    pub fn new(service: &ServiceName, part: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((service.as_str().len() as u64).to_be_bytes());
        hasher.update(service.as_str());
        hasher.update(part);
        let digest = hasher.finalize();
        Self(u128::from_be_bytes(digest[..16].try_into().expect("a SHA-256 digest has 32 bytes")))
    }
}

impl fmt::Display for PartMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PART_LETTER}{:032x}", self.0)
    }
}

impl FromStr for PartMark {
    type Err = MarkError;

    fn from_str(text: &str) -> Result<Self, MarkError> {
        let error = || MarkError::new(text);
        let digits = text.strip_prefix(PART_LETTER).ok_or_else(error)?;
        let valid = digits.len() == PART_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !valid {
            return Err(error());
        }
        u128::from_str_radix(digits, 16).map(Self).map_err(|_digits| error())
    }
}

/// What a crash may be blamed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum SuspectMark {
    /// A request as a whole.
    Request(RequestMark),
    /// A part of its prompt, which other requests may share.
    Part(PartMark),
}

impl SuspectMark {
    /// Returns the first digits of the mark, for logs.
    pub fn short(&self) -> String {
        match self {
            Self::Request(mark) => mark.short(),
            Self::Part(mark) => {
                let mut text = mark.to_string();
                text.truncate(PART_LETTER.len_utf8() + LOG_DIGITS);
                text
            }
        }
    }

    /// Returns a number that differs between marks.
    pub fn spread(&self) -> u128 {
        match self {
            Self::Request(mark) => mark.whole,
            Self::Part(mark) => mark.0,
        }
    }
}

impl fmt::Display for SuspectMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(mark) => mark.fmt(f),
            Self::Part(mark) => mark.fmt(f),
        }
    }
}

impl FromStr for SuspectMark {
    type Err = MarkError;

    fn from_str(text: &str) -> Result<Self, MarkError> {
        if text.starts_with(PART_LETTER) {
            text.parse().map(Self::Part)
        } else {
            text.parse().map(Self::Request)
        }
    }
}

impl From<RequestMark> for SuspectMark {
    fn from(mark: RequestMark) -> Self {
        Self::Request(mark)
    }
}

impl From<PartMark> for SuspectMark {
    fn from(mark: PartMark) -> Self {
        Self::Part(mark)
    }
}

impl From<SuspectMark> for String {
    fn from(mark: SuspectMark) -> Self {
        mark.to_string()
    }
}

impl TryFrom<String> for SuspectMark {
    type Error = MarkError;

    fn try_from(text: String) -> Result<Self, MarkError> {
        text.parse()
    }
}
