//! Formats the report as text.

use super::LogReport;
use super::groups::GroupReport;
use super::requests::ServiceSecond;
use std::fmt::Write as _;

/// Maximum number of causes listed for each service.
const MAX_CAUSES: usize = 3;

/// Formats the whole report.
pub fn log_report_text(report: &LogReport) -> String {
    let mut text = String::new();
    for (service, seconds) in &report.services {
        let total = report.total(service);
        writeln!(text, "service {service}: {}", totals_text(&total)).expect("writing to a string can't fail");
        for (cause, count) in total.causes().into_iter().take(MAX_CAUSES) {
            writeln!(text, "  {count:>6} {cause}").expect("writing to a string can't fail");
        }
        text.push_str(" second admitted in time pause first refused again broken left  refused by reason\n");
        for (second, row) in seconds {
            second_line(&mut text, *second, row);
        }
    }
    for (host, group) in &report.groups {
        group_text(&mut text, host, group);
    }
    text
}

fn totals_text(total: &ServiceSecond) -> String {
    format!(
        "{} admitted ({} returned), {} in time, {} late, {} refused ({} again), {} broken off, {} left",
        total.admitted,
        total.returned,
        total.in_time,
        total.late_pause + total.late_first,
        total.all_refused(),
        total.refused_again,
        total.broken_off,
        total.left
    )
}

fn second_line(text: &mut String, second: u32, row: &ServiceSecond) {
    let reasons: Vec<String> =
        row.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
    let line = format!(
        "{second:>7} {:>8} {:>7} {:>5} {:>5} {:>7} {:>5} {:>6} {:>4}  {}",
        row.admitted,
        row.in_time,
        row.late_pause,
        row.late_first,
        row.all_refused(),
        row.refused_again,
        row.broken_off,
        row.left,
        reasons.join(", "),
    );
    text.push_str(line.trim_end());
    text.push('\n');
}

fn group_text(text: &mut String, host: &str, group: &GroupReport) {
    writeln!(text, "group {} of {} ranks, planned for by {host}", group.group, group.ranks)
        .expect("writing to a string can't fail");
    for span in &group.unreachable {
        let until = span.until.map_or_else(|| "the end".to_owned(), |until| until.to_string());
        writeln!(text, "  a rank was not heard from second {} to {until}", span.from)
            .expect("writing to a string can't fail");
    }
    text.push_str(" second passes/s skew before after moves force ms requests most\n");
    for plan in &group.plans {
        let passes = group.passes.get(&plan.second).map_or_else(|| "-".to_owned(), f64::to_string);
        let force = plan.force_millis.map_or_else(|| "never".to_owned(), |millis| millis.to_string());
        writeln!(
            text,
            "{:>7} {passes:>8} {:>11.2} {:>5.2} {:>5} {force:>8} {:>8} {:>4}",
            plan.second, plan.skew_before, plan.skew_after, plan.moves, plan.requests, plan.most_requests,
        )
        .expect("writing to a string can't fail");
    }
}
