//! Whether a request that finds no place is worth keeping, and when a refused caller should come back.
//!
//! Both follow from what this process has seen of the service: how long places are taken, how long a first event takes,
//! and for how long earlier outages and jams lasted. A request waits only while it can still be answered within its
//! target latency; all others are refused at once. The load that this answers is a group of ranks near what it bears,
//! whose streams slow each other down, and one that is down for seconds.

use super::groups::{GroupStatus, STANDING_MILLIS};
use super::waiting::QueueClass;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::{HashMap, VecDeque};

/// Weight of a new observation in a mean: some ten of them make it.
const NEW_SHARE: f64 = 0.1;
/// A first event is expected so many mean deviations after its mean: some 19 of 20 are earlier.
const FIRST_DEVIATIONS: f64 = 2.0;
/// Spells that are remembered.
const KEPT_SPELLS: usize = 8;
/// Length in milliseconds that a spell is expected to have before one was seen: a rank that crashed is back in some 2 s, and
/// a caller that comes back too early has come in vain.
const FIRST_SPELL_MILLIS: f64 = 2_500.0;
/// A refusal so long after the last one, in milliseconds, begins a new jam: shifts of demand are seconds apart.
const JAM_GAP_MILLIS: u64 = 500;
/// A group whose streams have brought nothing for so long, in milliseconds, is down: the slowest passes, right after a shift
/// of demand, take 350.
const SILENT_MILLIS: u64 = 600;
/// One request in so many milliseconds tries a group that is down and refuses at once.
const PROBE_MILLIS: u64 = 100;
/// A request that tries a group that is down and answers nothing keeps others from it for so long, in milliseconds: what is
/// sent to a group that stands still lies there and overfills it when it goes on (25 requests a rank in place of 12, and
/// 8 s of late streams).
const SILENT_PROBE_MILLIS: u64 = 500;
/// Longest time in milliseconds that a request waits which is to be repeated or resumed: its caller has waited for it
/// already, and leaves after some two seconds without an event.
const REPEATED_WAIT_MILLIS: u64 = 1_000;
/// Part of the time that a request can wait in which its place must be expected: places become free unevenly.
const WAIT_PART: f64 = 0.6;
/// Part of the time that a caller has left that it may be told to stay away: the rest must suffice to serve it.
const AWAY_PART: u64 = 3;
/// Time in milliseconds that first tries of a route may differ by in what they have left.
const FIRST_TRY_MILLIS: u64 = 200;
/// Routes whose callers' patience is remembered, in the largest configurations some 1,000; more are of routes that are gone.
const MAX_ROUTES: usize = 4_096;
/// Callers are told times that differ by up to this part, so that they don't return together.
const SPREAD_PART: f64 = 0.3;

/// What is known of a request that finds no place.
#[derive(Debug, Clone, Copy)]
pub struct PlaceAsk {
    /// Requests that wait and go before it.
    pub ahead: usize,
    /// When it came.
    pub arrival: UnixMillis,
    /// Time in milliseconds within which its answer, or first event, is on time.
    pub latency_millis: u64,
    /// When nobody waits for it any more.
    pub deadline: UnixDeadline,
    /// Its turn.
    pub turn: QueueClass,
    /// Mean time in milliseconds between two sends of this process, where all targets name limits.
    pub limited_millis: Option<f64>,
}

/// What becomes of a request that finds no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceForecast {
    /// It will be served in time; it waits until then at most.
    Wait(UnixDeadline),
    /// It won't.
    Refuse,
}

/// Tells callers that come back from those that come for the first time: they have less time left than first tries of
/// their route.
#[derive(Debug, Clone, Default)]
pub struct CallerRetryDetector {
    longest: HashMap<Box<str>, u64>,
}

impl CallerRetryDetector {
    /// Whether a caller with so many milliseconds left comes back.
    pub fn is_retry(&mut self, route: &str, remaining_millis: Option<u64>) -> bool {
        let Some(remaining) = remaining_millis else { return false };
        let Some(longest) = self.longest.get_mut(route) else {
            if self.longest.len() >= MAX_ROUTES {
                self.longest.clear();
            }
            self.longest.insert(route.into(), remaining);
            return false;
        };
        *longest = (*longest).max(remaining);
        remaining + FIRST_TRY_MILLIS < *longest
    }
}

/// Lengths of spells in which a service refused.
#[derive(Debug, Clone, Default)]
struct SpellTimes {
    lengths: VecDeque<f64>,
    began: Option<UnixMillis>,
    last: UnixMillis,
}

impl SpellTimes {
    fn begin(&mut self, now: UnixMillis) {
        self.began.get_or_insert(now);
        self.last = now;
    }

    fn end(&mut self, end: UnixMillis) {
        let Some(began) = self.began.take() else { return };
        if self.lengths.len() == KEPT_SPELLS {
            self.lengths.pop_front();
        }
        self.lengths.push_back(end.since(began) as f64);
    }

    /// Milliseconds that the present spell is expected to last on: the mean rest of those seen that were longer. One that
    /// outlasts all is expected to last as long again.
    fn expected_rest(&self, now: UnixMillis) -> f64 {
        let age = self.began.map_or(0.0, |began| now.since(began) as f64);
        if self.lengths.is_empty() {
            return FIRST_SPELL_MILLIS.max(age);
        }
        let rests: Vec<f64> =
            self.lengths.iter().filter(|length| **length > age).map(|length| length - age).collect();
        if rests.is_empty() {
            return age;
        }
        rests.iter().sum::<f64>() / rests.len() as f64
    }
}

/// What streams of a service are like, as one process sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamTimes {
    /// Mean milliseconds to a first event.
    pub first_millis: f64,
    /// Mean by which first events differ from that.
    pub first_deviation: f64,
    /// Mean events of an answer.
    pub answer_events: f64,
}

/// What one process has seen of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceForecast {
    in_flight: u32,
    hold_millis: Option<f64>,
    first_millis: Option<f64>,
    /// Mean by which first events differ from their mean.
    first_deviation: f64,
    /// Events of an answer.
    answer_events: Option<f64>,
    heard: Option<UnixMillis>,
    /// When the next request may try a group that is down.
    next_probe: UnixDeadline,
    jam: SpellTimes,
    outage: SpellTimes,
}

impl ServiceForecast {
    /// A request was given a place.
    pub fn placed(&mut self, now: UnixMillis) {
        if self.in_flight == 0 {
            // Silence counts only while something is expected.
            self.heard = Some(self.heard.map_or(now, |heard| heard.max(now)));
        }
        self.in_flight += 1;
    }

    /// A place is free again; an answer had taken it for so many milliseconds.
    pub fn freed(&mut self, answered_millis: Option<f64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(millis) = answered_millis {
            self.hold_millis = Some(smoothed(self.hold_millis, millis));
        }
    }

    /// The first event of a stream, or an answer, came so many milliseconds after its request was sent.
    pub fn began(&mut self, millis: f64, now: UnixMillis) {
        let deviation = self.first_millis.map_or(0.0, |first| (millis - first).abs());
        self.first_deviation = smoothed(Some(self.first_deviation), deviation);
        self.first_millis = Some(smoothed(self.first_millis, millis));
        self.heard(now);
    }

    /// A stream ended with so many events.
    pub fn streamed(&mut self, events: u64) {
        self.answer_events = Some(smoothed(self.answer_events, events as f64));
    }

    /// What streams of the service are like; nothing before one ended.
    pub fn streams(&self) -> Option<StreamTimes> {
        let (first_millis, answer_events) = (self.first_millis?, self.answer_events?);
        Some(StreamTimes { first_millis, first_deviation: self.first_deviation, answer_events })
    }

    /// The service showed that it works.
    pub fn heard(&mut self, now: UnixMillis) {
        self.heard = Some(now);
        self.outage.end(now);
    }

    /// Whether the service counts as down.
    pub fn down(&self) -> bool {
        self.outage.began.is_some()
    }

    /// The service refused a request or failed one.
    pub fn refused(&mut self, now: UnixMillis) {
        if self.silent(now) {
            self.outage.begin(now);
        }
        self.next_probe = self.next_probe.min(UnixDeadline::after(now, PROBE_MILLIS));
    }

    /// Whether a request may be sent to a group whose streams show whether it works. To one that is down, a
    /// request now and then is.
    pub fn may_send(&mut self, now: UnixMillis) -> bool {
        if self.in_flight > 0 && self.silent(now) {
            self.outage.begin(now);
        }
        if !self.down() {
            return true;
        }
        let due = self.next_probe.passed(now);
        if due {
            self.next_probe = UnixDeadline::after(now, SILENT_PROBE_MILLIS);
        }
        due
    }

    /// How the service does where its groups are not known: its silence counts as a pass.
    pub fn pace(&self, now: UnixMillis) -> GroupStatus {
        let silence = self.heard.map_or(u64::MAX, |heard| now.since(heard));
        GroupStatus {
            millis: silence as f64,
            stalled: silence >= STANDING_MILLIS,
            slow_for_millis: 0,
            probe_due: false,
        }
    }

    fn silent(&self, now: UnixMillis) -> bool {
        self.heard.is_none_or(|heard| now.since(heard) > SILENT_MILLIS)
    }

    /// What becomes of a request that finds no place.
    pub fn ask(&self, ask: PlaceAsk, now: UnixMillis) -> PlaceForecast {
        if self.down() {
            return PlaceForecast::Refuse;
        }
        let first = self.first_millis.unwrap_or_default() + FIRST_DEVIATIONS * self.first_deviation;
        let on_time = ask.latency_millis.saturating_sub(first as u64);
        let wait = match ask.turn {
            QueueClass::First => on_time,
            QueueClass::Resent => on_time.max(REPEATED_WAIT_MILLIS),
            // First tries would come before it again and again.
            QueueClass::CallerRetry => return PlaceForecast::Refuse,
        };
        let until = UnixDeadline::after(ask.arrival, wait).min(ask.deadline);
        let expected = match ask.limited_millis {
            Some(millis) => millis * (ask.ahead + 1) as f64,
            None => self.expected_wait(ask.ahead),
        };
        if expected < WAIT_PART * until.0.since(now) as f64 {
            PlaceForecast::Wait(until)
        } else {
            PlaceForecast::Refuse
        }
    }

    /// Milliseconds until a request with so many before it has a place, if places become free as they did.
    fn expected_wait(&self, ahead: usize) -> f64 {
        let hold = self.hold_millis.unwrap_or_default();
        hold * (ahead + 1) as f64 / f64::from(self.in_flight.max(1))
    }

    /// Takes that a request is refused; says after how many milliseconds its caller should come back: not before `least_millis`,
    /// as far as its deadline bears. `point` is random between 0 and 1.
    pub fn return_millis(
        &mut self,
        deadline: UnixDeadline,
        least_millis: f64,
        point: f64,
        now: UnixMillis,
    ) -> u64 {
        if now.since(self.jam.last) > JAM_GAP_MILLIS {
            let last = self.jam.last;
            self.jam.end(last);
        }
        self.jam.begin(now);
        let spell = if self.down() { &self.outage } else { &self.jam };
        let rest = spell.expected_rest(now).max(least_millis) * (1.0 + SPREAD_PART * point);
        let left = deadline.0.since(now) / AWAY_PART;
        (rest as u64).min(left).max(1)
    }
}

fn smoothed(known: Option<f64>, new: f64) -> f64 {
    known.map_or(new, |known| known + NEW_SHARE * (new - known))
}
