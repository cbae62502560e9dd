//! Limits the log lines on refused bodies, of which a crowd of clients causes thousands.

use super::types::ProxyRefusal;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::cell::Cell;

/// Maximum number of lines on refused bodies per second. The counters of refusals count all of them.
const MAX_LINES_PER_SECOND: u32 = 20;
const SECOND_MILLIS: u64 = 1_000;

/// Lines written in the current second, and lines skipped since the last one that was written.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    second_end: Cell<UnixDeadline>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl RefusalLog {
    /// Returns how many lines were skipped before, or `None` if this line is to be skipped too.
    pub(super) fn permit(&self, refusal: &ProxyRefusal, now: UnixMillis) -> Option<u64> {
        if !refusal.leaves_body_unread() {
            return Some(0);
        }
        if self.second_end.get().passed(now) {
            self.second_end.set(UnixDeadline::after(now, SECOND_MILLIS));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_SECOND {
            self.skipped.set(self.skipped.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.skipped.take())
    }
}
