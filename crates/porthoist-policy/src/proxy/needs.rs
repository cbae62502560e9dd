//! What a target says of itself in its answers: how many requests it takes, for how long it wants none, that it leaves.
//!
//! It is newer than its row and any report, and only the target itself takes it back. What can't be read changes nothing:
//! taken for none it would lift a limit, taken for 0 it would close a sound target.

use porthoist_core::{RequestRate, UnixDeadline, UnixMillis};

/// Time in milliseconds between two log lines about one target's words; one may name a limit in every second answer.
const LOG_MILLIS: u64 = 1_000;

/// A target that nothing certain was heard of for so long, in milliseconds, is tried although others have room: only an answer can
/// tell that it takes more again.
const UNHEARD_MILLIS: u64 = 4_000;
/// Time in milliseconds in which load comes back to a target that takes more again; many processes may hear of it together.
const RETURN_MILLIS: u64 = 3_000;

/// A value that an answer may name.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedValue<T> {
    /// It does not.
    #[default]
    Absent,
    /// It does.
    Named(T),
    /// It does, and the value can't be read.
    Unreadable,
}

/// What one answer says of the target that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetWord {
    /// Requests that it takes from all processes together, as long as it says so.
    pub limit: NamedValue<RequestRate>,
    /// Milliseconds for which it wants nothing from this process.
    pub rest_millis: NamedValue<u64>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether the answer names the request that it is to: only then does what it lacks end anything.
    pub certain: bool,
}

/// A change of what a target says of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NeedChange {
    /// It names a limit, or another one than before.
    Limited(RequestRate),
    /// It names none any more, after so many milliseconds.
    Lifted(u64),
    /// It wants nothing until then.
    Resting(UnixDeadline),
    /// It leaves.
    Leaving,
    /// What it names can't be read.
    Unreadable,
}

impl NeedChange {
    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limited(_rate) => "limited",
            Self::Lifted(_millis) => "lifted",
            Self::Resting(_until) => "resting",
            Self::Leaving => "leaving",
            Self::Unreadable => "unreadable",
        }
    }
}

/// A change, and whether it is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NotedChange {
    /// The change.
    pub change: NeedChange,
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
}

/// What one process was told by one life of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetNeed {
    limit: Option<HeardLimit>,
    /// When its last certain answer came.
    heard: UnixMillis,
    /// When it took its limit back.
    lifted: Option<UnixMillis>,
    unreadable: bool,
    log_due: UnixDeadline,
}

impl TargetNeed {
    /// Takes what an answer says.
    pub fn take(&mut self, word: &TargetWord, now: UnixMillis) -> Vec<NotedChange> {
        if word.certain {
            self.heard = now;
        }
        let changes = [self.take_limit(word, now), self.take_readable(word)];
        changes.into_iter().flatten().map(|change| self.noted(change, now)).collect()
    }

    /// The limit that it names.
    pub fn limit(&self) -> Option<HeardLimit> {
        self.limit
    }

    /// Whether nothing certain was heard of it for long.
    pub fn unheard(&self, now: UnixMillis) -> bool {
        now.since(self.heard) >= UNHEARD_MILLIS
    }

    /// Part of the time that is left until it takes as much as others again, 1 right after it took its limit back.
    pub fn returning(&self, now: UnixMillis) -> f64 {
        let Some(lifted) = self.lifted else { return 0.0 };
        let left = RETURN_MILLIS.saturating_sub(now.since(lifted));
        left as f64 / RETURN_MILLIS as f64
    }

    fn take_limit(&mut self, word: &TargetWord, now: UnixMillis) -> Option<NeedChange> {
        match word.limit {
            NamedValue::Named(rate) => {
                let known = self
                    .limit
                    .replace(HeardLimit { rate, since: self.limit.map_or(now, |limit| limit.since) });
                (known.map(|limit| limit.rate) != Some(rate)).then_some(NeedChange::Limited(rate))
            }
            NamedValue::Absent if word.certain => {
                let known = self.limit.take()?;
                self.lifted = Some(now);
                Some(NeedChange::Lifted(now.since(known.since)))
            }
            NamedValue::Absent | NamedValue::Unreadable => None,
        }
    }

    fn take_readable(&mut self, word: &TargetWord) -> Option<NeedChange> {
        let unreadable = word.limit == NamedValue::Unreadable || word.rest_millis == NamedValue::Unreadable;
        let before = std::mem::replace(&mut self.unreadable, unreadable);
        (unreadable && !before).then_some(NeedChange::Unreadable)
    }

    fn noted(&mut self, change: NeedChange, now: UnixMillis) -> NotedChange {
        let logged = self.log_due.passed(now);
        if logged {
            self.log_due = UnixDeadline::after(now, LOG_MILLIS);
        }
        NotedChange { change, logged }
    }
}
