//! What a target says of itself in its answers: how many requests it takes, for how long it wants none, that it leaves.
//!
//! It is newer than its row and any report, and only the target itself takes it back. What can't be read changes nothing:
//! taken for none it would lift a limit, taken for 0 it would close a sound target.

use super::cold::{ColdRule, ColdStatus, TargetCold};
use super::notes::TargetNote;
use super::targets::TargetLife;
use super::turns::{RateSource, TargetRate};
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis};
use std::collections::VecDeque;

/// Time in milliseconds by which what other processes tell may be older than it seems: the way from one to the other.
const NOTE_WAY_MILLIS: u64 = 1_000;
/// Time in milliseconds between two log lines about one target's words; one may name a limit in every second answer.
const LOG_MILLIS: u64 = 1_000;

/// A target that nothing certain was heard of for so long, in milliseconds, is tried although others have room: only an answer can
/// tell that it takes more again.
const UNHEARD_MILLIS: u64 = 4_000;
/// Part of a rest by which its end differs between processes, so that they don't come back together.
const REST_SPREAD: f64 = 0.1;
/// Time in milliseconds in which load comes back to a target that takes more again; many processes may hear of it together.
const RETURN_MILLIS: u64 = 3_000;

/// Lives whose needs are remembered after their rows have gone, at most.
const MAX_VANISHED: usize = 1_024;

/// A value that an answer may name.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum SignalValue<T> {
    /// It does not.
    #[default]
    Absent,
    /// It does.
    Present(T),
    /// It does, and the value can't be read.
    Unreadable,
}

/// What one answer says of the target that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackpressureSignals {
    /// Requests that it takes from all processes together, as long as it says so.
    pub limit: SignalValue<RequestRate>,
    /// Milliseconds for which it wants nothing from this process.
    pub rest_millis: SignalValue<u64>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Milliseconds for which it stays cold.
    pub cold_millis: SignalValue<u64>,
    /// Whether the answer names the request that it is to: only then does what it lacks end anything.
    pub matches_request: bool,
}

/// A change of what a target says of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BackpressureChange {
    /// It names a limit, or another one than before.
    Limited(RequestRate),
    /// It names none any more, after so many milliseconds.
    Lifted(u64),
    /// It wants nothing for so many milliseconds.
    Resting(u64),
    /// It answers after a rest that it had asked for, and asks for none.
    Rested,
    /// It leaves.
    Leaving,
    /// What it names can't be read.
    Unreadable,
}

impl BackpressureChange {
    /// Its name in logs and metrics.
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

/// A change, and whether it is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedChange {
    /// The change.
    pub change: BackpressureChange,
    /// Whether the last line about the target is long enough ago.
    pub logged: bool,
}

/// A limit that a target names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeardLimit {
    /// The limit.
    pub rate: RequestRate,
    /// When it was first named.
    pub since: UnixMillis,
    /// When it was last named, to this process or as another one told.
    named: UnixMillis,
}

/// What one process was told by one life of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetNeed {
    limit: Option<HeardLimit>,
    /// When its last certain answer came.
    heard: UnixMillis,
    /// Until when it wants nothing from this process.
    rest_until: Option<UnixDeadline>,
    /// Whether it is cold.
    cold: TargetCold,
    /// Whether this life of it leaves: a row that calls it ready is older, and it may never have another.
    leaving: bool,
    /// When it began to take requests again.
    returned: Option<UnixMillis>,
    unreadable: bool,
    log_due: UnixDeadline,
}

impl TargetNeed {
    /// Takes what the answer to a request says that was sent at a moment. `spread`, from 0 to 1, tells this process's rests from
    /// those of others.
    pub fn take(
        &mut self,
        word: &BackpressureSignals,
        sent: UnixMillis,
        spread: f64,
        now: UnixMillis,
    ) -> Vec<ObservedChange> {
        self.cold.take_answer(word.cold_millis, now);
        if word.matches_request {
            self.heard = now;
            self.cold.answered(now);
        }
        let changes = [
            self.take_limit(word, sent, now),
            self.take_rest(word, spread, now),
            self.take_leaving(word),
            self.take_readable(word),
        ];
        changes.into_iter().flatten().map(|change| self.noted(change, now)).collect()
    }

    /// Takes what another process tells of the target's limit.
    pub fn take_note(&mut self, note: &TargetNote, now: UnixMillis) -> Option<ObservedChange> {
        let change = match note.limit {
            Some(rate) if note.as_of > self.heard => self.limited(rate, note.as_of),
            Some(_older) => None,
            None => self.lifted(note.as_of, NOTE_WAY_MILLIS, now),
        };
        self.heard = self.heard.max(note.as_of);
        change.map(|change| self.noted(change, now))
    }

    /// Until when it wants nothing, if that is not over.
    pub fn rest(&self, now: UnixMillis) -> Option<UnixDeadline> {
        self.rest_until.filter(|until| !until.passed(now))
    }

    /// Whether it must get nothing now, whatever its row says.
    pub fn closed(&self, now: UnixMillis) -> bool {
        self.leaving || self.rest(now).is_some()
    }

    /// Whether it leaves.
    pub fn leaves(&self) -> bool {
        self.leaving
    }

    /// Whether there is anything that another life of the process must not be taken for.
    pub(super) fn is_any(&self) -> bool {
        self.leaving || self.limit.is_some() || self.rest_until.is_some() || self.cold.is_any()
    }

    /// Takes what its service's operators say of cold targets.
    pub(super) fn set_cold_rule(&mut self, rule: Option<ColdRule>) {
        self.cold.set_rule(rule);
    }

    /// Takes what its row says. One that is seen for the first time may just have started.
    pub(super) fn take_row(&mut self, word: ColdStatus, first_seen: bool) {
        self.cold.take_row(word, first_seen);
    }

    /// Takes that it may have started again.
    pub(super) fn suspect_start(&mut self) {
        self.cold.suspect();
    }

    /// Takes that its zone gets requests again: it may just have become cold, and all entries come back to it together.
    pub(super) fn restored(&mut self, now: UnixMillis) {
        self.cold.start(now);
        self.returned = Some(now);
    }

    /// What it takes from all processes together, while anything bounds that.
    pub fn rate(&self, now: UnixMillis) -> Option<TargetRate> {
        let named = self.limit.map(|limit| TargetRate { rate: limit.rate, source: RateSource::Announced });
        let cold = self.cold.rate(now).map(|rate| TargetRate { rate, source: RateSource::Cold });
        match (named, cold) {
            (Some(named), Some(cold)) if cold.rate < named.rate => Some(cold),
            (named, cold) => named.or(cold),
        }
    }

    /// The limit that it names.
    pub fn limit(&self) -> Option<HeardLimit> {
        self.limit
    }

    /// Whether nothing certain was heard of it for long.
    pub fn unheard(&self, now: UnixMillis) -> bool {
        now.since(self.heard) >= UNHEARD_MILLIS
    }

    /// Part of the time that is left until it takes as much as others again, 1 right after the end of a limit or rest.
    pub fn returning(&self, now: UnixMillis) -> f64 {
        let rested = self.rest_until.filter(|until| until.passed(now)).map(|until| until.0);
        let Some(returned) = self.returned.max(rested) else { return 0.0 };
        let left = RETURN_MILLIS.saturating_sub(now.since(returned));
        left as f64 / RETURN_MILLIS as f64
    }

    fn take_limit(
        &mut self,
        word: &BackpressureSignals,
        sent: UnixMillis,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        match word.limit {
            SignalValue::Present(rate) => self.limited(rate, now),
            SignalValue::Absent if word.matches_request => self.lifted(sent, 0, now),
            SignalValue::Absent | SignalValue::Unreadable => None,
        }
    }

    fn limited(&mut self, rate: RequestRate, named: UnixMillis) -> Option<BackpressureChange> {
        let since = self.limit.map_or(named, |limit| limit.since);
        let known = self.limit.replace(HeardLimit { rate, since, named });
        (known.map(|limit| limit.rate) != Some(rate)).then_some(BackpressureChange::Limited(rate))
    }

    /// Takes that a request sent at a moment had an answer without a limit. One that was sent before the limit was last named may
    /// have been answered before as well, and have lain somewhere since.
    fn lifted(
        &mut self,
        sent: UnixMillis,
        margin_millis: u64,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        let known = self.limit.filter(|limit| sent >= limit.named.plus(margin_millis))?;
        self.limit = None;
        self.returned = Some(now);
        Some(BackpressureChange::Lifted(now.since(known.since)))
    }

    fn take_rest(
        &mut self,
        word: &BackpressureSignals,
        spread: f64,
        now: UnixMillis,
    ) -> Option<BackpressureChange> {
        let known = self.rest(now);
        let SignalValue::Present(millis) = word.rest_millis else {
            let over = self.rest_until.is_some() && known.is_none() && word.matches_request;
            let ended = over.then(|| self.rest_until.take()).flatten()?;
            self.returned = self.returned.max(Some(ended.0));
            return Some(BackpressureChange::Rested);
        };
        let spread_millis = millis as f64 * REST_SPREAD * spread;
        let until = UnixDeadline::after(now, millis.saturating_add(spread_millis as u64));
        self.rest_until = self.rest_until.max(Some(until));
        (millis > 0 && known.is_none()).then_some(BackpressureChange::Resting(millis))
    }

    fn take_leaving(&mut self, word: &BackpressureSignals) -> Option<BackpressureChange> {
        let news = word.leaving && !self.leaving;
        self.leaving |= word.leaving;
        news.then_some(BackpressureChange::Leaving)
    }

    fn take_readable(&mut self, word: &BackpressureSignals) -> Option<BackpressureChange> {
        let unreadable = word.limit == SignalValue::Unreadable
            || word.rest_millis == SignalValue::Unreadable
            || word.cold_millis == SignalValue::Unreadable;
        let before = std::mem::replace(&mut self.unreadable, unreadable);
        (unreadable && !before).then_some(BackpressureChange::Unreadable)
    }

    fn noted(&mut self, change: BackpressureChange, now: UnixMillis) -> ObservedChange {
        let logged = self.log_due.passed(now);
        if logged {
            self.log_due = UnixDeadline::after(now, LOG_MILLIS);
        }
        ObservedChange { change, logged }
    }
}

/// What targets had said of themselves whose rows have gone: rows lapse in an outage of the table service and come back, and the
/// same life needs what it needed before.
#[derive(Debug, Clone, Default)]
pub struct VanishedNeeds {
    needs: VecDeque<(TargetLife, TargetNeed)>,
}

impl VanishedNeeds {
    /// Keeps what a target said, if that was anything; the oldest make room.
    pub(super) fn keep(&mut self, life: TargetLife, need: TargetNeed) {
        if !need.is_any() {
            return;
        }
        if self.needs.len() == MAX_VANISHED {
            self.needs.pop_front();
        }
        self.needs.push_back((life, need));
    }

    /// What a life had said.
    pub(super) fn take(&mut self, life: &TargetLife) -> TargetNeed {
        let known = self.needs.iter().position(|(known, _need)| known == life);
        known.and_then(|place| self.needs.remove(place)).map(|(_life, need)| need).unwrap_or_default()
    }
}
