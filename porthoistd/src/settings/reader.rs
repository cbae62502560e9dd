//! Reads single settings from a flag, its environment variable, or a default, and parses them to their type.

use super::DaemonRole;
use miette::Diagnostic;
use porthoist_core::ServiceName;
use porthoist_core::secret::SharedSecret;
use std::net::SocketAddr;
use std::str::FromStr;

/// Maximum value of time settings in milliseconds: one hour, so that sums of several do not overflow.
const MAX_MILLIS: u64 = 3_600_000;

/// A missing or invalid setting.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("setting --{flag} ({variable}): {given}")]
#[diagnostic(code(porthoist::settings), help("expected {expected}"))]
pub struct SettingError {
    flag: &'static str,
    variable: String,
    given: String,
    expected: &'static str,
}

/// Minimum length of a secret in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Default secret of the local role, which runs in one process on loopback.
const LOCAL_SECRET: &str = "local-only-secret";

/// Looks up settings in flags and environment variables.
pub(super) struct SettingReader<E> {
    pub(super) role: DaemonRole,
    pub(super) environment: E,
}

fn variable(flag: &str) -> String {
    format!("PORTHOIST_{}", flag.replace('-', "_").to_uppercase())
}

impl<E: Fn(&str) -> Option<String>> SettingReader<E> {
    pub(super) fn text(&self, flag: &'static str, given: Option<String>) -> Option<String> {
        given.or_else(|| (self.environment)(&variable(flag)))
    }

    pub(super) fn error(flag: &'static str, given: String, expected: &'static str) -> SettingError {
        SettingError { flag, variable: variable(flag), given, expected }
    }

    pub(super) fn value<T: FromStr>(
        &self,
        flag: &'static str,
        given: Option<String>,
        default: Option<&str>,
        expected: &'static str,
    ) -> Result<T, SettingError> {
        let text = self.text(flag, given).or_else(|| default.map(str::to_owned));
        let Some(text) = text else {
            return Err(Self::error(flag, "not given".to_owned(), expected));
        };
        text.parse().map_err(|_parse| Self::error(flag, format!("{text:?} given"), expected))
    }

    /// A time in milliseconds, at most [`MAX_MILLIS`].
    pub(super) fn millis(
        &self,
        flag: &'static str,
        given: Option<String>,
        default: &str,
    ) -> Result<u64, SettingError> {
        self.millis_from(0, "milliseconds from 0 to 3600000", flag, given, default)
    }

    /// A time in milliseconds, at least `min` and at most [`MAX_MILLIS`].
    pub(super) fn millis_from(
        &self,
        min: u64,
        expected: &'static str,
        flag: &'static str,
        given: Option<String>,
        default: &str,
    ) -> Result<u64, SettingError> {
        let text = self.text(flag, given).unwrap_or_else(|| default.to_owned());
        let in_range = text.parse().ok().filter(|millis| (min..=MAX_MILLIS).contains(millis));
        in_range.ok_or_else(|| Self::error(flag, format!("{text:?} given"), expected))
    }

    /// An optional setting.
    pub(super) fn optional<T: FromStr>(
        &self,
        flag: &'static str,
        given: Option<String>,
        expected: &'static str,
    ) -> Result<Option<T>, SettingError> {
        let Some(text) = self.text(flag, given) else { return Ok(None) };
        text.parse().map(Some).map_err(|_parse| Self::error(flag, format!("{text:?} given"), expected))
    }

    pub(super) fn secret(
        &self,
        flag: &'static str,
        given: Option<String>,
    ) -> Result<SharedSecret, SettingError> {
        let expected = "a secret of 16 bytes or more";
        let default = (self.role == DaemonRole::Local).then(|| LOCAL_SECRET.to_owned());
        let Some(secret) = self.text(flag, given).or(default) else {
            return Err(Self::error(flag, "not given".to_owned(), expected));
        };
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Self::error(flag, format!("{} bytes given", secret.len()), expected));
        }
        Ok(SharedSecret::new(secret))
    }

    pub(super) fn url(
        &self,
        flag: &'static str,
        given: Option<String>,
        required: bool,
    ) -> Result<String, SettingError> {
        let expected = "a URL of the form http://IP:PORT";
        let Some(text) = self.text(flag, given) else {
            return if required {
                Err(Self::error(flag, "not given".to_owned(), expected))
            } else {
                Ok(String::new())
            };
        };
        match url::Url::parse(&text) {
            Ok(url) if url.scheme() == "http" && url.host().is_some() => Ok(text),
            _ => Err(Self::error(flag, format!("{text:?} given"), expected)),
        }
    }

    pub(super) fn group(&self, given: Option<String>) -> Result<Vec<SocketAddr>, SettingError> {
        let (flag, expected) = ("group", "addresses of the form IP:PORT separated by commas");
        let text: String = self.value(flag, given, Some(""), expected)?;
        let addresses: Result<Vec<SocketAddr>, _> =
            text.split(',').filter(|address| !address.is_empty()).map(str::parse).collect();
        addresses.map_err(|_parse| Self::error(flag, format!("{text:?} given"), expected))
    }

    pub(super) fn services(&self, given: Option<String>) -> Result<Vec<ServiceName>, SettingError> {
        let (flag, expected) = ("services", "service names separated by commas");
        let default = (self.role != DaemonRole::Target).then_some("");
        let text: String = self.value(flag, given, default, expected)?;
        let names: Result<Vec<ServiceName>, _> =
            text.split(',').filter(|name| !name.is_empty()).map(str::parse).collect();
        names.map_err(|_parse| Self::error(flag, format!("{text:?} given"), expected))
    }
}
