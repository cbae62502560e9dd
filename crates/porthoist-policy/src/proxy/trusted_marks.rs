//! Requests with a recent complete answer, against which deaths of their targets are not counted.

use porthoist_core::{RequestMark, UnixDeadline, UnixMillis};
use std::collections::{HashMap, VecDeque};

/// Time in milliseconds for which a complete answer protects a request. A popular request is sent many
/// times a second up to the moment its targets die. A new version of a target may die of a request that
/// the old one answered, so the time is not much longer than a retry takes to arrive.
const TRUSTED_MILLIS: u64 = 20_000;
/// Maximum number of stored requests, some 80 bytes each: 20 s at 200 answers a second.
const MAX_TRUSTED: usize = 4_096;

/// Requests with a recent complete answer, and the end of their protection.
#[derive(Debug, Default)]
pub struct TrustedMarks {
    until: HashMap<RequestMark, UnixDeadline>,
    order: VecDeque<(RequestMark, UnixDeadline)>,
}

impl TrustedMarks {
    /// Records a complete answer to a request.
    pub fn answered(&mut self, mark: RequestMark, now: UnixMillis) {
        let until = UnixDeadline::after(now, TRUSTED_MILLIS);
        self.until.insert(mark, until);
        self.order.push_back((mark, until));
        while let Some((oldest, until)) = self.order.front().copied() {
            if !until.passed(now) && self.order.len() <= MAX_TRUSTED {
                break;
            }
            self.order.pop_front();
            // A later answer to the same request has its own entry.
            if self.until.get(&oldest) == Some(&until) {
                self.until.remove(&oldest);
            }
        }
    }

    /// Whether a request has a recent complete answer.
    pub fn trusts(&self, mark: &RequestMark, now: UnixMillis) -> bool {
        self.until.get(mark).is_some_and(|until| !until.passed(now))
    }
}
