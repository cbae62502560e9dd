//! Activity of rank groups: forward passes, expert maps, and times when a rank was unreachable.

use super::second_of;
use crate::log_lines::LogLine;
use serde::Serialize;
use std::collections::BTreeMap;

/// A planned expert map.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MapPlan {
    /// Second in which the map was planned.
    pub second: u32,
    /// Version of the map.
    pub version: u64,
    /// Number of experts copied.
    pub moves: u64,
    /// Load of the most loaded rank relative to the mean, with the previous map.
    pub skew_before: f64,
    /// Load of the most loaded rank relative to the mean, as planned for this map.
    pub skew_after: f64,
    /// Requests at all ranks when the map was planned.
    pub requests: u64,
    /// Requests at the rank with the most.
    pub most_requests: u64,
    /// Milliseconds until the map was in force; `None` if it never was.
    pub force_millis: Option<i64>,
}

/// A period in which a rank was unreachable, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct UnreachableSpan {
    /// First second of the period.
    pub from: u32,
    /// Second in which all ranks were reachable again; `None` if they never were.
    pub until: Option<u32>,
}

/// A group, as seen by the process that plans for it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GroupReport {
    /// Name of the group.
    pub group: String,
    /// Number of ranks.
    pub ranks: u64,
    /// Plans in chronological order.
    pub plans: Vec<MapPlan>,
    /// Forward passes per second, by the second in which they were counted.
    pub passes: BTreeMap<u32, f64>,
    /// Periods in which a rank was unreachable.
    #[serde(rename = "deaf")]
    pub unreachable: Vec<UnreachableSpan>,
    #[serde(skip)]
    last_step: Option<(i64, u64)>,
    #[serde(skip)]
    planned_millis: i64,
}

/// Reads all groups, by the host of the planning process. The lines must be sorted by time.
pub fn read_groups(lines: &[LogLine], began_millis: i64) -> BTreeMap<String, GroupReport> {
    let mut groups: BTreeMap<String, GroupReport> = BTreeMap::new();
    for line in lines {
        let second = second_of(line.millis, began_millis);
        let of_rank = line.text("dependency") == "rank";
        match line.event() {
            "planner_start" => start_planning(groups.entry(line.host.clone()).or_default(), line, second),
            "map_planned" => add_plan(groups.entry(line.host.clone()).or_default(), line, second),
            "map_in_force" => set_in_force(groups.entry(line.host.clone()).or_default(), line, second),
            "dependency_lost" if of_rank => {
                if let Some(group) = groups.get_mut(&line.host) {
                    group.unreachable.push(UnreachableSpan { from: second, until: None });
                }
            }
            "dependency_regained" if of_rank => {
                if let Some(group) = groups.get_mut(&line.host) {
                    end_span(group, second);
                }
            }
            _ => {}
        }
    }
    groups
}

fn start_planning(group: &mut GroupReport, line: &LogLine, second: u32) {
    line.text("group").clone_into(&mut group.group);
    group.ranks = line.unsigned("ranks").unwrap_or_default();
    group.last_step = None;
    end_span(group, second);
}

fn end_span(group: &mut GroupReport, second: u32) {
    if let Some(span) = group.unreachable.last_mut() {
        span.until.get_or_insert(second);
    }
}

fn add_plan(group: &mut GroupReport, line: &LogLine, second: u32) {
    count_passes(group, line, second);
    group.planned_millis = line.millis;
    group.plans.push(MapPlan {
        second,
        version: line.unsigned("version").unwrap_or_default(),
        moves: line.unsigned("moves").unwrap_or_default(),
        skew_before: line.number("skew_before").unwrap_or_default(),
        skew_after: line.number("skew_after").unwrap_or_default(),
        requests: line.unsigned("requests").unwrap_or_default(),
        most_requests: line.unsigned("most_requests").unwrap_or_default(),
        force_millis: None,
    });
}

fn set_in_force(group: &mut GroupReport, line: &LogLine, second: u32) {
    count_passes(group, line, second);
    let (version, planned) = (line.unsigned("version"), group.planned_millis);
    if let Some(plan) = group.plans.last_mut().filter(|plan| Some(plan.version) == version) {
        plan.force_millis = Some(line.millis - planned);
    }
}

/// The difference of two step numbers is the number of passes between them; a lower step belongs to a new
/// formation of the group.
fn count_passes(group: &mut GroupReport, line: &LogLine, second: u32) {
    let Some(step) = line.unsigned("step") else { return };
    if let Some((millis, before)) = group.last_step.replace((line.millis, step))
        && step > before
        && line.millis > millis
    {
        let rate = (step - before) as f64 * 1_000.0 / (line.millis - millis) as f64;
        group.passes.insert(second, (rate * 10.0).round() / 10.0);
    }
}
