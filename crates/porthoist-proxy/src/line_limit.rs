//! Limits log lines that a crowd of clients could cause by the thousands. Counters count what has no line.

use porthoist_core::{UnixDeadline, UnixMillis};
use std::cell::Cell;

/// Maximum number of lines per second.
const MAX_LINES_PER_SECOND: u32 = 20;
const SECOND_MILLIS: u64 = 1_000;

/// Lines written in the current second, and lines skipped since the last one that was written.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    second_end: Cell<UnixDeadline>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl LineLimit {
    /// Returns how many lines were skipped before, or `None` if this line is to be skipped too.
    pub(crate) fn permit(&self, now: UnixMillis) -> Option<u64> {
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
