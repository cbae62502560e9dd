//! Newtypes for sizes and rates, so that bytes, tokens and requests are never mixed up.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Error of parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a {role}: expected {expected}")]
pub struct QuantityError {
    role: &'static str,
    text: String,
    expected: &'static str,
}

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $role:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let error = |_parse| QuantityError {
                    role: $role,
                    text: text.to_owned(),
                    expected: concat!("a whole number, optionally followed by '", $unit, "'"),
                };
                digits.trim().parse().map(Self).map_err(error)
            }
        }
    };
}

count_type!(
    /// A size in bytes.
    ByteSize,
    "size in bytes",
    "B"
);
count_type!(
    /// A number of model tokens.
    TokenCount,
    "number of tokens",
    "tok"
);

count_type!(
    /// When a target's process started, in Unix milliseconds by its own clock.
    StartMillis,
    "start in Unix milliseconds",
    "ms"
);

/// Requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(pub f64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            role: "rate",
            text: text.to_owned(),
            expected: "a finite number of requests a second that is not negative, optionally followed by '/s'",
        };
        let digits = text.strip_suffix("/s").unwrap_or(text).trim();
        let rate: f64 = digits.parse().map_err(|_parse| error())?;
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(error()) }
    }
}

/// Bandwidth of a host's link, in megabits per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LinkRate(pub f64);

impl LinkRate {
    /// Returns the time that the link takes to carry `bytes`.
    pub fn transfer_time(self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.0 * 1e6))
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0)
    }
}

impl FromStr for LinkRate {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            role: "link rate",
            text: text.to_owned(),
            expected: "megabits per second from 0.001 to 1000000, optionally followed by 'Mbit/s'",
        };
        let digits = text.strip_suffix("Mbit/s").unwrap_or(text).trim();
        let rate: f64 = digits.parse().map_err(|_parse| error())?;
        if (0.001..=1e6).contains(&rate) { Ok(Self(rate)) } else { Err(error()) }
    }
}
