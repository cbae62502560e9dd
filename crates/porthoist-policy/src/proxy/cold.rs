//! When a target counts as cold, and so gets no more than its service's operators allow a cold one.
//!
//! Rows, answers and signs of a restart each make a target cold; only time makes it warm. A row may be late and a restart
//! unseen, so that whatever may have started again counts as cold until it has answered and the whole time is over: a needless
//! suspicion costs little, since a cold target bears several times its usual share.

use super::backpressure::SignalValue;
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis};

/// Longest time in milliseconds that a target is believed to stay cold; rows and answers may name any number.
pub const MAX_COLD_MILLIS: u64 = 600_000;

/// What a service's targets take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Requests from all processes together.
    pub rate: RequestRate,
    /// How long a target is cold after its start, in milliseconds.
    pub millis: u64,
}

/// What a target's row says of its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdStatus {
    /// Nothing.
    #[default]
    Unknown,
    /// It is warm.
    Warm,
    /// It is cold until then.
    Until(UnixDeadline),
}

impl ColdStatus {
    /// From the milliseconds that a row names, which came at a moment.
    pub fn from_remaining(millis: u64, now: UnixMillis) -> Self {
        match millis {
            0 => Self::Warm,
            millis => Self::Until(UnixDeadline::after(now, millis.min(MAX_COLD_MILLIS))),
        }
    }
}

/// Whether one life of a target is cold.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetCold {
    /// Of its service; nothing where targets are never cold.
    rule: Option<ColdRule>,
    until: Option<UnixDeadline>,
    /// Whether it may have started again and has not answered since.
    suspected: bool,
}

impl TargetCold {
    /// Takes the rule of its service.
    pub fn set_rule(&mut self, rule: Option<ColdRule>) {
        self.rule = rule;
    }

    /// Takes what its row says. A life that is seen for the first time, or whose row had gone, may just have started.
    pub fn take_row(&mut self, word: ColdStatus, first_seen: bool) {
        match word {
            ColdStatus::Until(until) => self.until = self.until.max(Some(until)),
            ColdStatus::Unknown if first_seen => self.suspected = true,
            ColdStatus::Unknown | ColdStatus::Warm => {}
        }
    }

    /// Takes how many milliseconds longer it is cold by its own answer.
    pub fn take_answer(&mut self, remaining: SignalValue<u64>, now: UnixMillis) {
        match remaining {
            SignalValue::Present(0) | SignalValue::Absent => {}
            SignalValue::Present(millis) => {
                let until = UnixDeadline::after(now, millis.min(MAX_COLD_MILLIS));
                self.until = self.until.max(Some(until));
            }
            SignalValue::Unreadable => self.suspected = true,
        }
    }

    /// Takes that it may have started again: its connection broke, it was silent, or its group was.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Takes an answer, from which on it may be cold for the whole time of a start if it was suspected.
    pub fn answered(&mut self, now: UnixMillis) {
        if std::mem::take(&mut self.suspected) {
            self.start(now);
        }
    }

    /// Takes that it may have started at a moment.
    pub fn start(&mut self, now: UnixMillis) {
        let Some(rule) = self.rule else { return };
        let until = UnixDeadline::after(now, rule.millis.min(MAX_COLD_MILLIS));
        self.until = self.until.max(Some(until));
    }

    /// The rate that it bears, while it counts as cold.
    pub fn rate(&self, now: UnixMillis) -> Option<RequestRate> {
        let cold = self.suspected || self.until.is_some_and(|until| !until.passed(now));
        self.rule.filter(|_rule| cold).map(|rule| rule.rate)
    }

    /// Whether anything is known that another look at its row must not forget.
    pub(super) fn is_any(&self) -> bool {
        self.rule.is_some() && (self.suspected || self.until.is_some())
    }
}
