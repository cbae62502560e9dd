//! Request marks: digests that are the same for every attempt of a request, at any host.
//!
//! A mark covers host, path with query, team and body, but not the attempt, the connection, the caller's key or the
//! body's framing. None of these can be recovered from it.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Number of hexadecimal digits of a mark in text form.
const MARK_DIGITS: usize = 48;
/// Number of digits of a mark in logs.
const LOG_DIGITS: usize = 12;

/// Identifies a request by a digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestMark {
    /// Digest of everything except the body's bytes. If no known mark has it, the body need not be read.
    pub head: u64,
    /// Digest of everything, including the body.
    pub whole: u128,
}

/// The parts of a request that a mark covers, except the body's bytes.
#[derive(Debug, Clone, Copy)]
pub struct MarkedHead<'a> {
    /// The host that the caller named. A port and the case of letters are ignored.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The team, if the request names one.
    pub team: Option<&'a str>,
    /// Length of the body in bytes.
    pub body_bytes: usize,
}

impl MarkedHead<'_> {
    fn hasher(&self) -> Sha256 {
        let host = self.host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let mut hasher = Sha256::new();
        for part in [host.as_str(), self.path, self.team.unwrap_or_default()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update([u8::from(self.team.is_some())]);
        hasher.update((self.body_bytes as u64).to_be_bytes());
        hasher
    }

    /// Returns the digest of the head alone.
    pub fn digest(&self) -> u64 {
        let digest = self.hasher().finalize();
        u64::from_be_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
    }

    /// Returns the mark of the request with this body.
    pub fn mark(&self, body: &[u8]) -> RequestMark {
        self.mark_pieces([body])
    }

    /// Returns the mark of the request whose body consists of these pieces.
    pub fn mark_pieces<'a>(&self, pieces: impl IntoIterator<Item = &'a [u8]>) -> RequestMark {
        let mut hasher = self.hasher();
        let head = hasher.clone().finalize();
        for piece in pieces {
            hasher.update(piece);
        }
        let whole = hasher.finalize();
        RequestMark {
            head: u64::from_be_bytes(head[..8].try_into().expect("a SHA-256 digest has 32 bytes")),
            whole: u128::from_be_bytes(whole[..16].try_into().expect("a SHA-256 digest has 32 bytes")),
        }
    }
}

impl RequestMark {
    /// Returns the first digits of the mark, for logs.
    pub fn short(&self) -> String {
        let mut text = format!("{:032x}", self.whole);
        text.truncate(LOG_DIGITS);
        text
    }
}

impl fmt::Display for RequestMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}{:016x}", self.whole, self.head)
    }
}

impl From<RequestMark> for String {
    fn from(mark: RequestMark) -> Self {
        mark.to_string()
    }
}

/// Error of parsing a mark.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a mark: expected 48 hexadecimal digits for a request, or p and 32 for a part of prompts"
)]
pub struct MarkError(String);

impl MarkError {
    /// Creates the error for a text, of which only the beginning is kept.
    pub(crate) fn new(text: &str) -> Self {
        Self(text.chars().take(64).collect())
    }
}

impl FromStr for RequestMark {
    type Err = MarkError;

    fn from_str(text: &str) -> Result<Self, MarkError> {
        let error = || MarkError::new(text);
        let valid = text.len() == MARK_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !valid {
            return Err(error());
        }
        let (whole, head) = text.split_at(32);
        let whole = u128::from_str_radix(whole, 16).map_err(|_digits| error())?;
        let head = u64::from_str_radix(head, 16).map_err(|_digits| error())?;
        Ok(Self { head, whole })
    }
}

impl TryFrom<String> for RequestMark {
    type Error = MarkError;

    fn try_from(text: String) -> Result<Self, MarkError> {
        text.parse()
    }
}
