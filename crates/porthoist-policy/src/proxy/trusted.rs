//! Requests that targets answered whole within the last seconds, so that a death at one of them is not held against it.

use porthoist_core::{RequestMark, UnixDeadline, UnixMillis};
use std::collections::{HashMap, VecDeque};

/// How long a whole answer speaks for a request, in milliseconds. Under a hot key the same request comes many times a second
/// until the moment at which its targets die; a new version of a target may die of what the last one answered, so that it is
/// not much longer than a second send would take to come.
const TRUSTED_MILLIS: u64 = 20_000;
/// Requests that are remembered at most, some 80 bytes each: 20 s of 200 answers a second.
const MOST_TRUSTED: usize = 4_096;

/// The requests that were answered.
#[derive(Debug, Default)]
pub struct TrustedMarks {
    until: HashMap<RequestMark, UnixDeadline>,
    order: VecDeque<(RequestMark, UnixDeadline)>,
}

impl TrustedMarks {
    /// Takes that a target answered a request whole.
    pub fn answered(&mut self, mark: RequestMark, now: UnixMillis) {
        let until = UnixDeadline::after(now, TRUSTED_MILLIS);
        self.until.insert(mark, until);
        self.order.push_back((mark, until));
        while let Some((oldest, end)) = self.order.front().copied() {
            if !end.passed(now) && self.order.len() <= MOST_TRUSTED {
                break;
            }
            self.order.pop_front();
            // A later answer to the same request has a line of its own.
            if self.until.get(&oldest) == Some(&end) {
                self.until.remove(&oldest);
            }
        }
    }

    /// Whether a whole answer of the last seconds speaks for a request.
    pub fn trusts(&self, mark: &RequestMark, now: UnixMillis) -> bool {
        self.until.get(mark).is_some_and(|until| !until.passed(now))
    }
}
