//! Identifier newtypes, each with `Display` and `FromStr`.
//!
//! Names are short printable strings chosen by operators; numeric identifiers are random or sequential.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {role}: expected {expected}")]
pub struct IdError {
    role: &'static str,
    text: String,
    expected: &'static str,
}

const NAME_RULE: &str = "1 to 128 bytes of letters, digits, '-', '_' and '.'";

fn check_name(role: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed);
    if valid {
        return Ok(());
    }
    let text = text.chars().take(MAX_NAME_BYTES).collect();
    Err(IdError { role, text, expected: NAME_RULE })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $role:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($role, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// A customer of the system, the owner of limits and weights.
    TeamName,
    "team name"
);
name_type!(
    /// A model or plain HTTP service that callers address.
    ServiceName,
    "service name"
);
name_type!(
    /// A back end that runs requests.
    TargetName,
    "target name"
);
name_type!(
    /// A machine.
    HostName,
    "host name"
);
name_type!(
    /// An availability zone.
    ZoneName,
    "availability zone name"
);

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $role:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let error = || IdError {
                    role: $role,
                    text: text.chars().take(MAX_NAME_BYTES).collect(),
                    expected: "16 hexadecimal digits",
                };
                if text.len() != 16 {
                    return Err(error());
                }
                u64::from_str_radix(text, 16).map(Self).map_err(|_parse| error())
            }
        }
    };
}

hex_type!(
    /// Identifies one run of a process: random, and new at every start.
    IncarnationId,
    "incarnation"
);
hex_type!(
    /// Identifies a caller's request within the entry incarnation that accepted it.
    RequestId,
    "request identifier"
);

/// Identifies one attempt to run a request on one target; unique in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The entry process that made the attempt.
    pub entry: IncarnationId,
    /// The request that is attempted.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError {
            role: "attempt identifier",
            text: text.chars().take(MAX_NAME_BYTES).collect(),
            expected: "ENTRY-REQUEST-NUMBER",
        };
        let mut parts = text.splitn(3, '-');
        let (Some(entry), Some(request), Some(attempt)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(error());
        };
        Ok(Self {
            entry: entry.parse()?,
            request: request.parse()?,
            attempt: attempt.parse().map_err(|_parse| error())?,
        })
    }
}
