//! Rows of the operators' table: teams, services, targets and policies.
//!
//! A row consists of text cells, as in a spreadsheet. A parse error names the invalid column.

use porthoist_core::{RepeatPolicy, RequestPriority, RequestRate, ServiceKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Kind of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowKind {
    /// Limits and weight of a team.
    Team,
    /// Kind and repeat policy of a service.
    Service,
    /// Weight and drain mark of a target.
    Target,
    /// Parameters of expert placement.
    Policy,
}

impl fmt::Display for RowKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Team => "team",
            Self::Service => "service",
            Self::Target => "target",
            Self::Policy => "policy",
        })
    }
}

/// Identifies a row by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RowKey {
    /// Kind of the row.
    pub kind: RowKind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A cell with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {given:?} is not valid: expected {expected}")]
pub struct CellError {
    /// Column of the cell.
    pub column: String,
    /// Value of the cell, truncated to 80 characters.
    pub given: String,
    /// Description of the valid values.
    pub expected: String,
}

impl CellError {
    fn new(column: &str, given: &str, expected: &str) -> Self {
        let given = given.chars().take(80).collect();
        Self { column: column.to_owned(), given, expected: expected.to_owned() }
    }
}

impl FromStr for RowKind {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        match text {
            "team" => Ok(Self::Team),
            "service" => Ok(Self::Service),
            "target" => Ok(Self::Target),
            "policy" => Ok(Self::Policy),
            other => Err(CellError::new("kind", other, "team, service, target or policy")),
        }
    }
}

impl FromStr for RowKey {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(CellError::new("row", text, "KIND/NAME, for example team/border"));
        };
        let kind = kind.parse()?;
        porthoist_core::ServiceName::from_str(name)
            .map_err(|error| CellError::new("name", name, &error.to_string()))?;
        Ok(Self { kind, name: name.to_owned() })
    }
}

impl TryFrom<String> for RowKey {
    type Error = CellError;

    fn try_from(text: String) -> Result<Self, CellError> {
        text.parse()
    }
}

impl From<RowKey> for String {
    fn from(key: RowKey) -> Self {
        key.to_string()
    }
}

/// Limits and weight of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Share of a busy target relative to the other teams.
    pub weight: f64,
    /// Requests per second.
    pub rate: RequestRate,
    /// Maximum number of requests in flight in the whole zone.
    pub concurrency: u32,
    /// Default priority of its requests.
    pub priority: RequestPriority,
    /// SHA-256 of the caller token in hexadecimal; empty if no token is required.
    pub token: String,
}

/// Kind and repeat policy of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Model engine or plain service.
    pub mode: ServiceKind,
    /// Whether requests may be repeated; `None` selects the default of the kind.
    pub repeat: Option<RepeatPolicy>,
}

/// Weight and drain mark of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Share of traffic relative to other targets; 0 excludes it.
    pub weight: f64,
    /// Whether the target is leaving.
    pub drain: bool,
}

/// Parameters of expert placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRow {
    /// Weight of step-time skew.
    pub skew_weight: f64,
    /// Weight of the cost of moving experts.
    pub move_weight: f64,
    /// Version of the expert map that the group of this name should use; 0 keeps its current map.
    #[serde(default)]
    pub map: u32,
}

/// A row in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum TableRow {
    /// A team.
    Team(TeamRow),
    /// A service.
    Service(ServiceRow),
    /// A target.
    Target(TargetRow),
    /// A policy.
    Policy(PolicyRow),
}

/// Columns of the table, in the order of its CSV form and without the row version.
pub const COLUMNS: &[&str] = &[
    "kind",
    "name",
    "weight",
    "rate",
    "concurrency",
    "priority",
    "token",
    "mode",
    "repeat",
    "drain",
    "skew_weight",
    "move_weight",
    "map",
];

/// Maximum weight.
pub const MAX_WEIGHT: f64 = 1_000_000.0;

/// Cells of a row by column.
pub type RowCells = BTreeMap<String, String>;

struct CellReader<'a> {
    cells: &'a RowCells,
}

impl CellReader<'_> {
    fn text(&self, column: &str) -> &str {
        self.cells.get(column).map_or("", |cell| cell.trim())
    }

    fn parse_or<T: FromStr>(&self, column: &str, default: T, expected: &str) -> Result<T, CellError> {
        let text = self.text(column);
        if text.is_empty() {
            return Ok(default);
        }
        text.parse().map_err(|_parse| CellError::new(column, text, expected))
    }

    fn weight(&self, column: &str, default: f64) -> Result<f64, CellError> {
        let expected = "a number from 0 to 1000000";
        let weight: f64 = self.parse_or(column, default, expected)?;
        if (0.0..=MAX_WEIGHT).contains(&weight) {
            return Ok(weight);
        }
        Err(CellError::new(column, self.text(column), expected))
    }

    fn token(&self) -> Result<String, CellError> {
        let token = self.text("token");
        let hashed = token.len() == 64 && token.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if token.is_empty() || hashed {
            return Ok(token.to_owned());
        }
        Err(CellError::new(
            "token",
            "(hidden)",
            "the SHA-256 of the token in 64 lower-case hexadecimal digits",
        ))
    }

    fn flag(&self, column: &str) -> Result<bool, CellError> {
        match self.text(column) {
            "" | "no" => Ok(false),
            "yes" => Ok(true),
            other => Err(CellError::new(column, other, "yes or no")),
        }
    }

    fn check_columns(&self, allowed: &[&str]) -> Result<(), CellError> {
        for (column, cell) in self.cells {
            if !COLUMNS.contains(&column.as_str()) {
                return Err(CellError::new(
                    column,
                    cell,
                    &format!("one of the columns {}", COLUMNS.join(", ")),
                ));
            }
            if !cell.trim().is_empty() && !allowed.contains(&column.as_str()) {
                return Err(CellError::new(column, cell, "an empty cell in a row of this kind"));
            }
        }
        Ok(())
    }
}

impl TableRow {
    /// Parses a row from its cells.
    pub fn from_cells(cells: &RowCells) -> Result<(RowKey, Self), CellError> {
        let reader = CellReader { cells };
        let key: RowKey = format!("{}/{}", reader.text("kind"), reader.text("name")).parse()?;
        let row = match key.kind {
            RowKind::Team => Self::team(&reader)?,
            RowKind::Service => Self::service(&reader)?,
            RowKind::Target => Self::target(&reader)?,
            RowKind::Policy => Self::policy(&reader)?,
        };
        Ok((key, row))
    }

    fn team(reader: &CellReader<'_>) -> Result<Self, CellError> {
        reader.check_columns(&["kind", "name", "weight", "rate", "concurrency", "priority", "token"])?;
        Ok(Self::Team(TeamRow {
            weight: reader.weight("weight", 1.0)?,
            rate: reader.parse_or("rate", RequestRate(1000.0), "requests a second, for example 50/s")?,
            concurrency: reader.parse_or("concurrency", 1000, "a whole number")?,
            priority: reader.parse_or("priority", RequestPriority::default(), "0 to 9")?,
            token: reader.token()?,
        }))
    }

    fn service(reader: &CellReader<'_>) -> Result<Self, CellError> {
        reader.check_columns(&["kind", "name", "mode", "repeat"])?;
        let mode = reader.parse_or("mode", ServiceKind::Model, "model or plain")?;
        let repeat = match reader.text("repeat") {
            "" => None,
            _ => Some(reader.parse_or("repeat", RepeatPolicy::Never, "safe or never")?),
        };
        Ok(Self::Service(ServiceRow { mode, repeat }))
    }

    fn target(reader: &CellReader<'_>) -> Result<Self, CellError> {
        reader.check_columns(&["kind", "name", "weight", "drain"])?;
        Ok(Self::Target(TargetRow { weight: reader.weight("weight", 1.0)?, drain: reader.flag("drain")? }))
    }

    fn policy(reader: &CellReader<'_>) -> Result<Self, CellError> {
        reader.check_columns(&["kind", "name", "skew_weight", "move_weight", "map"])?;
        Ok(Self::Policy(PolicyRow {
            skew_weight: reader.weight("skew_weight", 1.0)?,
            move_weight: reader.weight("move_weight", 1.0)?,
            map: reader.parse_or("map", 0, "a whole number")?,
        }))
    }

    /// Formats the row as cells and omits empty ones.
    pub fn to_cells(&self, key: &RowKey) -> RowCells {
        let mut cells = RowCells::new();
        let mut put = |column: &str, cell: String| cells.insert(column.to_owned(), cell);
        put("kind", key.kind.to_string());
        put("name", key.name.clone());
        match self {
            Self::Team(row) => {
                put("weight", row.weight.to_string());
                put("rate", row.rate.to_string());
                put("concurrency", row.concurrency.to_string());
                put("priority", row.priority.to_string());
                put("token", row.token.clone());
            }
            Self::Service(row) => {
                put("mode", row.mode.to_string());
                put("repeat", row.repeat.map(|repeat| repeat.to_string()).unwrap_or_default());
            }
            Self::Target(row) => {
                put("weight", row.weight.to_string());
                put("drain", if row.drain { "yes" } else { "no" }.to_owned());
            }
            Self::Policy(row) => {
                put("skew_weight", row.skew_weight.to_string());
                put("move_weight", row.move_weight.to_string());
                put("map", if row.map > 0 { row.map.to_string() } else { String::new() });
            }
        }
        cells.retain(|_column, cell| !cell.is_empty());
        cells
    }
}
