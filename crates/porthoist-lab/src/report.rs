//! Distributions, ratios and formats of the reports.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::str::FromStr;

/// Values are recorded in thousandths of their unit.
const SCALE: f64 = 1000.0;
/// Largest recorded value, in thousandths; larger ones count as this one.
const MAX_VALUE: u64 = 3_600_000_000;

/// Distribution of non-negative values.
#[derive(Debug, Clone)]
pub struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_VALUE, 3).expect("the bounds are valid"))
    }
}

impl Distribution {
    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.0.saturating_record((value * SCALE) as u64);
    }

    /// Adds all values of another distribution.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("both have the same bounds");
    }

    /// Value at a quantile; 0 if the distribution is empty.
    pub fn value_at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / SCALE
    }

    /// Number of values.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Mean of the values.
    pub fn mean(&self) -> f64 {
        self.0.mean() / SCALE
    }
}

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFormat {
    /// Text for people.
    Text,
    /// JSON for scripts.
    Json,
}

impl ReportFormat {
    /// Renders a report in this format. `text` creates the text version.
    pub fn render(self, report: &impl Serialize, text: impl FnOnce() -> String) -> String {
        match self {
            Self::Json => json_text(report),
            Self::Text => text(),
        }
    }
}

impl FromStr for ReportFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not a format: expected text or json")),
        }
    }
}

/// Rounds to four decimals, to keep reports readable and reproducible from a seed.
pub fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Ratio of a part to a whole; 0 if the whole is 0.
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { rounded(part / whole) } else { 0.0 }
}

/// Formats a value as indented JSON.
pub fn json_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
