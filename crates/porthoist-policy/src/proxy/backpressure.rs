//! Backpressure that targets signal in their answers: a rate limit, a rest period, a shutdown or a cold
//! start.
//!
//! A signal is newer than the target's row and any report, and only the target itself withdraws it. An
//! unreadable value changes nothing: read as absent it would lift a limit, read as 0 it would close a
//! healthy target.

use super::cold_start::{ColdRule, ColdState, ColdStatus};
use super::limit_notes::TargetNote;
use super::send_turns::{RateSource, TargetRate};
use super::targets::TargetLife;
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis};
use std::collections::VecDeque;

/// Time in milliseconds by which a note from another process may be older than its age says: the time
/// that it takes to arrive.
const NOTE_TRANSIT_MILLIS: u64 = 1_000;
/// Minimum time in milliseconds between two log lines about one target, which may change its limit with
/// every second answer.
const LOG_MILLIS: u64 = 1_000;

/// Time in milliseconds without a conclusive answer after which a target gets a request although others
/// have room. Only an answer can tell that it accepts more again.
const RECHECK_MILLIS: u64 = 4_000;
/// Fraction by which the end of a rest period varies between processes, so that they don't return
/// together.
const REST_JITTER: f64 = 0.1;
/// Time in milliseconds over which load returns to a target that accepts more again; many processes may
/// learn of it at once.
const RETURN_MILLIS: u64 = 3_000;

/// Maximum number of lives whose backpressure is stored after their rows have disappeared.
const MAX_DEPARTED: usize = 1_024;

/// A value that an answer may contain.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum SignalValue<T> {
    /// The answer does not contain it.
    #[default]
    Absent,
    /// The answer contains it.
    Present(T),
    /// The answer contains it in a form that can't be read.
    Unreadable,
}

/// Backpressure signals in one answer of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackpressureSignals {
    /// Requests a second that the target accepts from all processes together until it says otherwise.
    pub limit: SignalValue<RequestRate>,
    /// Milliseconds for which it wants no requests from this process.
    pub rest_millis: SignalValue<u64>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Milliseconds for which it stays cold.
    pub cold_millis: SignalValue<u64>,
    /// Whether the answer carries the identifier of the request. Only then does a missing signal
    /// withdraw an earlier one.
    pub matches_request: bool,
}

/// A change in a target's backpressure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BackpressureChange {
    /// It announces a limit, or a different one.
    Limited(RequestRate),
    /// It no longer announces a limit, after this many milliseconds.
    Lifted(u64),
    /// It wants no requests for this many milliseconds.
    Resting(u64),
    /// It answers after a rest period without asking for another.
    Rested,
    /// It is shutting down.
    Leaving,
    /// A signal can't be read.
    Unreadable,
}

impl BackpressureChange {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limited(_rate) => "limited",
            Self::Lifted(_millis) => "lifted",
            Self::Resting(_millis) => "resting",
            Self::Rested => "rested",
            Self::Leaving => "leaving",
            Self::Unreadable => "unreadable",
        }
    }
}

/// A change, and whether it should be logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedChange {
    /// The change.
    pub change: BackpressureChange,
    /// Whether enough time has passed since the last log line about the target.
    pub logged: bool,
}

/// A limit that a target announced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnnouncedLimit {
    /// The limit.
    pub rate: RequestRate,
    /// When it was first announced.
    pub since: UnixMillis,
    /// When it was last announced, to this process or to one that passed it on.
    announced: UnixMillis,
}

/// Backpressure of one life of a target, as one process knows it.
#[derive(Debug, Clone, Default)]
pub struct TargetBackpressure {
    limit: Option<AnnouncedLimit>,
    /// When its last conclusive answer arrived.
    last_answer: UnixMillis,
    /// Until when it wants no requests from this process.
    rest_until: Option<UnixDeadline>,
    /// Whether it is cold.
    cold: ColdState,
    /// Whether this life is shutting down. A row that says it is ready is older, and the target may
    /// never write another.
    leaving: bool,
    /// When it began to accept requests again.
    reopened: Option<UnixMillis>,
    /// Whether its last answer contained an unreadable signal.
    unreadable: bool,
    /// When a change may be logged again.
    next_log: UnixDeadline,
}

impl TargetBackpressure {
    /// Applies the signals in an answer to a request that was sent at `sent`. `jitter`, from 0 to 1,
    /// varies the end of a rest period between processes.
    pub fn apply_signals(
        &mut self,
        signals: &BackpressureSignals,
        sent: UnixMillis,
        jitter: f64,
        now: UnixMillis,
    ) -> Vec<ObservedChange> {
        self.cold.apply_answer(signals.cold_millis, now);
        if signals.matches_request {
            self.last_answer = now;
            self.cold.record_answer(now);
        }
        let changes = [
            self.apply_limit(signals, sent, now),
            self.apply_rest(signals, jitter, now),
            self.apply_leaving(signals),
            self.check_readable(signals),
        ];
        changes.into_iter().flatten().map(|change| self.observe(change, now)).collect()
    }

    /// Applies a limit that another process received from the target.
    pub fn apply_note(&mut self, note: &TargetNote, now: UnixMillis) -> Option<ObservedChange> {
        let change = match note.limit {
            Some(rate) if note.as_of > self.last_answer => self.record_limit(rate, note.as_of),
            Some(_older) => None,
            None => self.record_no_limit(note.as_of, NOTE_TRANSIT_MILLIS, now),
        };
        self.last_answer = self.last_answer.max(note.as_of);
        change.map(|change| self.observe(change, now))
    }

    /// The end of the current rest period, if any.
    pub fn rest(&self, now: UnixMillis) -> Option<UnixDeadline> {
        self.rest_until.filter(|until| !until.passed(now))
    }

    /// Whether it must get no requests now, whatever its row says.
    pub fn is_closed(&self, now: UnixMillis) -> bool {
        self.leaving || self.rest(now).is_some()
    }

    /// Whether it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether there is any state to keep in case its row comes back.
    pub(super) fn has_state(&self) -> bool {
        self.leaving || self.limit.is_some() || self.rest_until.is_some() || self.cold.has_state()
    }

    /// Sets its service's limit for cold targets.
    pub(super) fn set_cold_rule(&mut self, rule: Option<ColdRule>) {
        self.cold.set_rule(rule);
    }

    /// Applies its row. A target that is seen for the first time may have just started.
    pub(super) fn apply_row(&mut self, status: ColdStatus, first_seen: bool) {
        self.cold.apply_row(status, first_seen);
    }

    /// Records that it may have restarted.
    pub(super) fn suspect_restart(&mut self) {
        self.cold.suspect_restart();
    }

    /// Records that its zone gets requests again. It may have become cold meanwhile, and all entries
    /// return to it together.
    pub(super) fn zone_restored(&mut self, now: UnixMillis) {
        self.cold.record_start(now);
        self.reopened = Some(now);
    }

    /// Its rate limit for all processes together, if it has one.
    pub fn rate(&self, now: UnixMillis) -> Option<TargetRate> {
        let announced =
            self.limit.map(|limit| TargetRate { rate: limit.rate, source: RateSource::Announced });
        let cold = self.cold.rate(now).map(|rate| TargetRate { rate, source: RateSource::Cold });
        match (announced, cold) {
            (Some(announced), Some(cold)) if cold.rate < announced.rate => Some(cold),
            (announced, cold) => announced.or(cold),
        }
    }

    /// The limit that it announces.
    pub fn limit(&self) -> Option<AnnouncedLimit> {
        self.limit
    }

    /// Whether the last conclusive answer is too old.
    pub fn needs_recheck(&self, now: UnixMillis) -> bool {
        now.since(self.last_answer) >= RECHECK_MILLIS
    }

    /// Fraction of the return time that is left: 1 right after the end of a limit or a rest period, 0
    /// once it accepts as much as others again.
    pub fn return_fraction_left(&self, now: UnixMillis) -> f64 {
        let rested = self.rest_until.filter(|until| until.passed(now)).map(|until| until.0);
        let Some(reopened) = self.reopened.max(rested) else { return 0.0 };
        let left = RETURN_MILLIS.saturating_sub(now.since(reopened));
        left as f64 / RETURN_MILLIS as f64
    }

    fn apply_limit(
        &mut self,
        signals: &BackpressureSignals,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        match signals.limit {
            SignalValue::Present(rate) => self.record_limit(rate, now),
            SignalValue::Absent if signals.matches_request => self.record_no_limit(sent, 0, now),
            SignalValue::Absent | SignalValue::Unreadable => None,
        }
    }

    fn record_limit(&mut self, rate: RequestRate, announced: UnixMillis) -> Option<BackpressureChange> {
        let since = self.limit.map_or(announced, |limit| limit.since);
        let known = self.limit.replace(AnnouncedLimit { rate, since, announced });
        (known.map(|limit| limit.rate) != Some(rate)).then_some(BackpressureChange::Limited(rate))
    }

    /// Records an answer without a limit to a request that was sent at `sent`. If that was before the
    /// limit was last announced, the answer may be older than the limit and have been delayed, and
    /// changes nothing.
    fn record_no_limit(
        &mut self,
        sent: UnixMillis,
        margin_millis: u64,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        let known = self.limit.filter(|limit| sent >= limit.announced.plus(margin_millis))?;
        self.limit = None;
        self.reopened = Some(now);
        Some(BackpressureChange::Lifted(now.since(known.since)))
    }

    fn apply_rest(
        &mut self,
        signals: &BackpressureSignals,
        jitter: f64,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        let known = self.rest(now);
        let SignalValue::Present(millis) = signals.rest_millis else {
            let rest_over = self.rest_until.is_some() && known.is_none() && signals.matches_request;
            let end = rest_over.then(|| self.rest_until.take()).flatten()?;
            self.reopened = self.reopened.max(Some(end.0));
            return Some(BackpressureChange::Rested);
        };
        let jitter_millis = millis as f64 * REST_JITTER * jitter;
        let until = UnixDeadline::after(now, millis.saturating_add(jitter_millis as u64));
        self.rest_until = self.rest_until.max(Some(until));
        (millis > 0 && known.is_none()).then_some(BackpressureChange::Resting(millis))
    }

    fn apply_leaving(&mut self, signals: &BackpressureSignals) -> Option<BackpressureChange> {
        let changed = signals.leaving && !self.leaving;
        self.leaving |= signals.leaving;
        changed.then_some(BackpressureChange::Leaving)
    }

    fn check_readable(&mut self, signals: &BackpressureSignals) -> Option<BackpressureChange> {
        let unreadable = signals.limit == SignalValue::Unreadable
            || signals.rest_millis == SignalValue::Unreadable
            || signals.cold_millis == SignalValue::Unreadable;
        let before = std::mem::replace(&mut self.unreadable, unreadable);
        (unreadable && !before).then_some(BackpressureChange::Unreadable)
    }

    fn observe(&mut self, change: BackpressureChange, now: UnixMillis) -> ObservedChange {
        let logged = self.next_log.passed(now);
        if logged {
            self.next_log = UnixDeadline::after(now, LOG_MILLIS);
        }
        ObservedChange { change, logged }
    }
}

/// Backpressure of targets whose rows have disappeared. Rows expire during an outage of the table
/// service and come back, and the same life still needs the same treatment.
#[derive(Debug, Clone, Default)]
pub struct DepartedBackpressure {
    lives: VecDeque<(TargetLife, TargetBackpressure)>,
}

impl DepartedBackpressure {
    /// Stores the state of a target, if it has any; replaces the oldest if necessary.
    pub(super) fn insert(&mut self, life: TargetLife, backpressure: TargetBackpressure) {
        if !backpressure.has_state() {
            return;
        }
        if self.lives.len() == MAX_DEPARTED {
            self.lives.pop_front();
        }
        self.lives.push_back((life, backpressure));
    }

    /// Removes and returns the state of a life.
    pub(super) fn remove(&mut self, life: &TargetLife) -> TargetBackpressure {
        let known = self.lives.iter().position(|(known, _backpressure)| known == life);
        known
            .and_then(|index| self.lives.remove(index))
            .map(|(_life, backpressure)| backpressure)
            .unwrap_or_default()
    }
}
