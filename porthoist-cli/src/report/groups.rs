//! What groups of ranks did: passes, expert maps, and times when a rank could not be heard.

use super::second_of;
use crate::story::LogLine;
use serde::Serialize;
use std::collections::BTreeMap;

/// One expert map from its plan on.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MapPlan {
    /// Second in which it was planned.
    pub second: u32,
    /// Its version.
    pub version: u64,
    /// Copies of experts.
    pub moves: u64,
    /// Most loaded rank's load by the mean, with the map before.
    pub skew_before: f64,
    /// The same with this map, as planned.
    pub skew_after: f64,
    /// Requests at all ranks when it was planned.
    pub requests: u64,
    /// Requests at the rank with most.
    pub most_requests: u64,
    /// Milliseconds until it was in force; nothing if it never was.
    pub force_millis: Option<i64>,
}

/// A time in which a rank could not be heard, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct DeafSpan {
    /// Its first second.
    pub from: u32,
    /// The second in which all were heard again; nothing if they were not.
    pub until: Option<u32>,
}

/// One group, as the process that plans for it saw it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GroupReport {
    /// Its name.
    pub group: String,
    /// Its ranks.
    pub ranks: u64,
    /// Plans in their order.
    pub plans: Vec<MapPlan>,
    /// Passes a second, by the second in which they were counted.
    pub passes: BTreeMap<u32, f64>,
    /// Times in which a rank could not be heard.
    pub deaf: Vec<DeafSpan>,
    #[serde(skip)]
    last_step: Option<(i64, u64)>,
    #[serde(skip)]
    planned_millis: i64,
}

/// Reads all groups, by the host of the process that plans; the lines are in the order of their times.
pub fn read_groups(lines: &[LogLine], began_millis: i64) -> BTreeMap<String, GroupReport> {
    let mut groups: BTreeMap<String, GroupReport> = BTreeMap::new();
    for line in lines {
        let second = second_of(line.millis, began_millis);
        let of_rank = line.text("dependency") == "rank";
        match line.event() {
            "planner_start" => started(groups.entry(line.host.clone()).or_default(), line, second),
            "map_planned" => planned(groups.entry(line.host.clone()).or_default(), line, second),
            "map_in_force" => in_force(groups.entry(line.host.clone()).or_default(), line, second),
            "dependency_lost" if of_rank => {
                if let Some(group) = groups.get_mut(&line.host) {
                    group.deaf.push(DeafSpan { from: second, until: None });
                }
            }
            "dependency_regained" if of_rank => {
                if let Some(group) = groups.get_mut(&line.host) {
                    heard(group, second);
                }
            }
            _ => {}
        }
    }
    groups
}

fn started(group: &mut GroupReport, line: &LogLine, second: u32) {
    line.text("group").clone_into(&mut group.group);
    group.ranks = line.whole("ranks").unwrap_or_default();
    group.last_step = None;
    heard(group, second);
}

fn heard(group: &mut GroupReport, second: u32) {
    if let Some(span) = group.deaf.last_mut() {
        span.until.get_or_insert(second);
    }
}

fn planned(group: &mut GroupReport, line: &LogLine, second: u32) {
    count_passes(group, line, second);
    group.planned_millis = line.millis;
    group.plans.push(MapPlan {
        second,
        version: line.whole("version").unwrap_or_default(),
        moves: line.whole("moves").unwrap_or_default(),
        skew_before: line.number("skew_before").unwrap_or_default(),
        skew_after: line.number("skew_after").unwrap_or_default(),
        requests: line.whole("requests").unwrap_or_default(),
        most_requests: line.whole("most_requests").unwrap_or_default(),
        force_millis: None,
    });
}

fn in_force(group: &mut GroupReport, line: &LogLine, second: u32) {
    count_passes(group, line, second);
    let (version, planned) = (line.whole("version"), group.planned_millis);
    if let Some(plan) = group.plans.last_mut().filter(|plan| Some(plan.version) == version) {
        plan.force_millis = Some(line.millis - planned);
    }
}

/// Steps of two lines give the passes between them; a lower step is of a new formation.
fn count_passes(group: &mut GroupReport, line: &LogLine, second: u32) {
    let Some(step) = line.whole("step") else { return };
    if let Some((millis, before)) = group.last_step.replace((line.millis, step))
        && step > before
        && line.millis > millis
    {
        let rate = (step - before) as f64 * 1_000.0 / (line.millis - millis) as f64;
        group.passes.insert(second, (rate * 10.0).round() / 10.0);
    }
}
