//! Shared secrets, compared in constant time and never printed.

use sha2::{Digest, Sha256};
use std::fmt;
use std::fmt::Write as _;
use subtle::ConstantTimeEq;

/// A secret such as a token or the fleet's shared key.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// Wraps the secret's bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the secret's bytes, to authenticate to a peer.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// Compares in time that does not depend on where the bytes differ.
    pub fn matches(&self, given: &[u8]) -> bool {
        let own: [u8; 32] = Sha256::digest(&self.0).into();
        let other: [u8; 32] = Sha256::digest(given).into();
        own.ct_eq(&other).into()
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").expect("writing to a string can't fail");
    }
    text
}

/// Whether `given` has the SHA-256 `expected_hex`, compared in constant time.
pub fn matches_sha256_hex(given: &[u8], expected_hex: &str) -> bool {
    sha256_hex(given).as_bytes().ct_eq(expected_hex.as_bytes()).into()
}
