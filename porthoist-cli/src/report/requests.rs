//! What callers got, by service and by the second in which the requests arrived.

use super::second_of;
use crate::log_lines::LogLine;
use porthoist_core::RefusalReason;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Service shown for requests that were refused before their service was known.
const NO_SERVICE: &str = "-";

/// Counts of the requests that arrived within one second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceSecond {
    /// Requests allowed by a route and key.
    pub admitted: u32,
    /// Admitted requests whose callers had been refused before.
    pub returned: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered, but with too long a pause between two events.
    pub late_pause: u32,
    /// Answered, but the first event or the whole answer came too late.
    pub late_first: u32,
    /// Refused, by reason.
    pub refused: BTreeMap<String, u32>,
    /// Refused although their callers had been refused before.
    pub refused_again: u32,
    /// Responses that ended unfinished, or were cut because their callers read nothing.
    pub broken_off: u32,
    /// Requests whose callers disconnected.
    pub left: u32,
}

impl ServiceSecond {
    /// Adds the counts of another second.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.returned += other.returned;
        self.in_time += other.in_time;
        self.late_pause += other.late_pause;
        self.late_first += other.late_first;
        self.refused_again += other.refused_again;
        self.broken_off += other.broken_off;
        self.left += other.left;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
    }

    /// Number of refused requests.
    pub fn all_refused(&self) -> u32 {
        self.refused.values().sum()
    }

    /// Why requests were not answered in time, the most frequent reason first.
    pub fn causes(&self) -> Vec<(String, u32)> {
        let fixed = [
            ("late by a pause", self.late_pause),
            ("late by the first event", self.late_first),
            ("broken off", self.broken_off),
            ("left", self.left),
        ];
        let fixed = fixed.into_iter().map(|(cause, count)| (cause.to_owned(), count));
        let refused = self.refused.iter().map(|(reason, count)| (format!("refused: {reason}"), *count));
        let mut causes: Vec<(String, u32)> =
            fixed.chain(refused).filter(|(_cause, count)| *count > 0).collect();
        causes.sort_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
        causes
    }
}

/// Facts from a request's admission line.
struct AdmissionFacts {
    service: String,
    second: u32,
    aim_millis: u64,
    pause_millis: u64,
    returned: bool,
}

type ServiceSeconds = BTreeMap<String, BTreeMap<u32, ServiceSecond>>;

/// Reads the outcomes of all requests. The lines must be sorted by time.
pub fn read_requests(lines: &[LogLine], began_millis: i64) -> ServiceSeconds {
    let mut seconds = ServiceSeconds::new();
    let mut open: HashMap<(&str, &str), AdmissionFacts> = HashMap::new();
    for line in lines {
        let Some(request) = line.request.as_deref() else { continue };
        let key = (line.host.as_str(), request);
        match line.event() {
            "admitted" => {
                let facts = admission_facts(line, began_millis);
                let second = second_entry(&mut seconds, &facts.service, facts.second);
                second.admitted += 1;
                second.returned += u32::from(facts.returned);
                open.insert(key, facts);
            }
            "answered" => {
                if let Some(facts) = open.remove(&key) {
                    count_answer(second_entry(&mut seconds, &facts.service, facts.second), &facts, line);
                }
            }
            "refused" => {
                let facts = open.remove(&key).unwrap_or_else(|| facts_without_admission(line, began_millis));
                let second = second_entry(&mut seconds, &facts.service, facts.second);
                *second.refused.entry(line.text("reason").to_owned()).or_default() += 1;
                second.refused_again += u32::from(facts.returned);
            }
            "cut_at_stop" if line.unsigned("events").is_none() => {
                if let Some(facts) = open.remove(&key) {
                    let second = second_entry(&mut seconds, &facts.service, facts.second);
                    *second.refused.entry(RefusalReason::ShuttingDown.to_string()).or_default() += 1;
                    second.refused_again += u32::from(facts.returned);
                }
            }
            "stream_unfinished" | "response_cut" | "cut_at_stop" => {
                if let Some(facts) = open.remove(&key) {
                    second_entry(&mut seconds, &facts.service, facts.second).broken_off += 1;
                }
            }
            "caller_left" => {
                if let Some(facts) = open.remove(&key) {
                    second_entry(&mut seconds, &facts.service, facts.second).left += 1;
                }
            }
            _ => {}
        }
    }
    seconds
}

fn second_entry<'a>(seconds: &'a mut ServiceSeconds, service: &str, second: u32) -> &'a mut ServiceSecond {
    seconds.entry(service.to_owned()).or_default().entry(second).or_default()
}

fn admission_facts(line: &LogLine, began_millis: i64) -> AdmissionFacts {
    AdmissionFacts {
        service: line.text("service").to_owned(),
        second: second_of(line.millis, began_millis),
        aim_millis: line.unsigned("aim_ms").unwrap_or(u64::MAX),
        pause_millis: line.unsigned("pause_aim_ms").filter(|pause| *pause > 0).unwrap_or(u64::MAX),
        returned: line.flag("returned"),
    }
}

fn facts_without_admission(line: &LogLine, began_millis: i64) -> AdmissionFacts {
    let second = second_of(line.millis, began_millis);
    AdmissionFacts {
        service: NO_SERVICE.to_owned(),
        second,
        aim_millis: u64::MAX,
        pause_millis: u64::MAX,
        returned: false,
    }
}

fn count_answer(second: &mut ServiceSecond, facts: &AdmissionFacts, line: &LogLine) {
    // A stream is judged by its first event, any other answer by its end.
    let first = line.unsigned("first_ms").or_else(|| line.unsigned("took_ms")).unwrap_or_default();
    if first > facts.aim_millis || facts.returned {
        second.late_first += 1;
    } else if line.unsigned("longest_pause_ms").unwrap_or_default() > facts.pause_millis {
        second.late_pause += 1;
    } else {
        second.in_time += 1;
    }
}
