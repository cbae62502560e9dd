//! Cold targets and their rate limit.
//!
//! A row, an answer or a sign of a restart makes a target cold; only time makes it warm. Rows may be
//! late and restarts may go unnoticed, so a target that may have restarted counts as cold until it has
//! answered and the whole cold time has passed since. A false suspicion costs little, because a cold
//! target can take several times its usual share.

use super::backpressure::SignalValue;
use porthoist_core::{RequestRate, UnixDeadline, UnixMillis};

/// Longest time in milliseconds for which a target is taken to be cold, whatever its row or answer says.
pub const MAX_COLD_MILLIS: u64 = 600_000;

/// Rate limit of a service's cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Requests a second from all processes together.
    pub rate: RequestRate,
    /// Time in milliseconds after its start for which a target is cold.
    pub millis: u64,
}

/// What a target's row says about its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdStatus {
    /// The row says nothing.
    #[default]
    Unknown,
    /// It is warm.
    Warm,
    /// It is cold until then.
    Until(UnixDeadline),
}

impl ColdStatus {
    /// Converts the remaining milliseconds of a row that was read at `now`.
    pub fn from_remaining(millis: u64, now: UnixMillis) -> Self {
        match millis {
            0 => Self::Warm,
            millis => Self::Until(UnixDeadline::after(now, millis.min(MAX_COLD_MILLIS))),
        }
    }
}

/// Whether one life of a target is cold.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdState {
    /// The rule of its service; `None` if its targets are never cold.
    rule: Option<ColdRule>,
    cold_until: Option<UnixDeadline>,
    /// Whether it may have restarted and has not answered since.
    restart_suspected: bool,
}

impl ColdState {
    /// Sets the rule of its service.
    pub fn set_rule(&mut self, rule: Option<ColdRule>) {
        self.rule = rule;
    }

    /// Applies its row. A life that is seen for the first time, or whose row had disappeared, may have
    /// just started.
    pub fn apply_row(&mut self, status: ColdStatus, first_seen: bool) {
        match status {
            ColdStatus::Until(until) => self.cold_until = self.cold_until.max(Some(until)),
            ColdStatus::Unknown if first_seen => self.restart_suspected = true,
            ColdStatus::Unknown | ColdStatus::Warm => {}
        }
    }

    /// Applies the remaining cold time that an answer contains.
    pub fn apply_answer(&mut self, remaining: SignalValue<u64>, now: UnixMillis) {
        match remaining {
            SignalValue::Present(0) | SignalValue::Absent => {}
            SignalValue::Present(millis) => {
                let until = UnixDeadline::after(now, millis.min(MAX_COLD_MILLIS));
                self.cold_until = self.cold_until.max(Some(until));
            }
            SignalValue::Unreadable => self.restart_suspected = true,
        }
    }

    /// Records that it may have restarted: its connection broke, or it or its group was unreachable.
    pub fn suspect_restart(&mut self) {
        self.restart_suspected = true;
    }

    /// Records an answer. If the target was suspected of a restart, it is now cold for the time of a
    /// full start.
    pub fn record_answer(&mut self, now: UnixMillis) {
        if std::mem::take(&mut self.restart_suspected) {
            self.record_start(now);
        }
    }

    /// Records that it may have started at `now`.
    pub fn record_start(&mut self, now: UnixMillis) {
        let Some(rule) = self.rule else { return };
        let until = UnixDeadline::after(now, rule.millis.min(MAX_COLD_MILLIS));
        self.cold_until = self.cold_until.max(Some(until));
    }

    /// Its rate limit while it counts as cold.
    pub fn rate(&self, now: UnixMillis) -> Option<RequestRate> {
        let cold = self.restart_suspected || self.cold_until.is_some_and(|until| !until.passed(now));
        self.rule.filter(|_rule| cold).map(|rule| rule.rate)
    }

    /// Whether there is any state to keep in case its row comes back.
    pub(super) fn has_state(&self) -> bool {
        self.rule.is_some() && (self.restart_suspected || self.cold_until.is_some())
    }
}
