//! Limits the log lines on refused bodies, of which a crowd of clients causes thousands.

use super::types::ProxyRefusal;
use crate::line_limit::LineLimit;
use porthoist_core::UnixMillis;

/// Lines on refused bodies. The counters of refusals count all of them.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    limit: LineLimit,
}

impl RefusalLog {
    /// Returns how many lines were skipped before, or `None` if this line is to be skipped too.
    pub(super) fn permit(&self, refusal: &ProxyRefusal, now: UnixMillis) -> Option<u64> {
        if refusal.leaves_body_unread() { self.limit.permit(now) } else { Some(0) }
    }
}
