//! Report from the logs of all processes: what callers got in each second, and what groups did meanwhile.
//!
//! It shows an on-call engineer which requests were late or refused, when, and for what reason.

pub mod groups;
pub mod plot;
pub mod requests;
pub mod text;

use crate::log_lines::LogLine;
use groups::{GroupReport, read_groups};
use requests::{ServiceSecond, read_requests};
use serde::Serialize;
use std::collections::BTreeMap;

/// Milliseconds of a second.
pub(crate) const SECOND_MILLIS: i64 = 1_000;

/// Summary of the logs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LogReport {
    /// Time of the first line in Unix milliseconds; seconds count from here.
    pub began_millis: i64,
    /// What callers got, by service and second.
    pub services: BTreeMap<String, BTreeMap<u32, ServiceSecond>>,
    /// Groups by the host of the process that plans for them.
    pub groups: BTreeMap<String, GroupReport>,
}

impl LogReport {
    /// Totals over all seconds of a service.
    pub fn total(&self, service: &str) -> ServiceSecond {
        let mut total = ServiceSecond::default();
        for second in self.services.get(service).into_iter().flat_map(BTreeMap::values) {
            total.add(second);
        }
        total
    }
}

/// Builds a report from log lines; `None` if there are none.
pub fn read_report(mut lines: Vec<LogLine>) -> Option<LogReport> {
    lines.sort_by_key(|line| line.millis);
    let began_millis = lines.first()?.millis;
    Some(LogReport {
        began_millis,
        services: read_requests(&lines, began_millis),
        groups: read_groups(&lines, began_millis),
    })
}

/// Number of whole seconds since the first line.
pub(crate) fn second_of(millis: i64, began_millis: i64) -> u32 {
    u32::try_from((millis - began_millis) / SECOND_MILLIS).unwrap_or_default()
}
