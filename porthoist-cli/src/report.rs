//! What callers got, second by second, and what groups did meanwhile, out of the logs of all processes.
//!
//! For an engineer on call: which requests were late or refused, at which moments, and for what reason.

pub mod groups;
pub mod plot;
pub mod requests;
pub mod text;

use crate::story::LogLine;
use groups::{GroupReport, read_groups};
use requests::{ServiceSecond, read_requests};
use serde::Serialize;
use std::collections::BTreeMap;

/// Milliseconds of a second.
pub(crate) const SECOND_MILLIS: i64 = 1_000;

/// What the logs say.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DayReport {
    /// The first line's time, in milliseconds of the Unix epoch; seconds count from here.
    pub began_millis: i64,
    /// What callers got, by service and second.
    pub services: BTreeMap<String, BTreeMap<u32, ServiceSecond>>,
    /// Groups by the host of the process that plans for them.
    pub groups: BTreeMap<String, GroupReport>,
}

impl DayReport {
    /// All seconds of a service together.
    pub fn total(&self, service: &str) -> ServiceSecond {
        let mut total = ServiceSecond::default();
        for second in self.services.get(service).into_iter().flat_map(BTreeMap::values) {
            total.add(second);
        }
        total
    }
}

/// Reads a day out of the lines of all processes; nothing if there are none.
pub fn read_day(mut lines: Vec<LogLine>) -> Option<DayReport> {
    lines.sort_by_key(|line| line.millis);
    let began_millis = lines.first()?.millis;
    Some(DayReport {
        began_millis,
        services: read_requests(&lines, began_millis),
        groups: read_groups(&lines, began_millis),
    })
}

/// The second of a time, from the first line's on.
pub(crate) fn second_of(millis: i64, began_millis: i64) -> u32 {
    u32::try_from((millis - began_millis) / SECOND_MILLIS).unwrap_or_default()
}
