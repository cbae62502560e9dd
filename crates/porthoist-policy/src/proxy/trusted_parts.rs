//! Parts of prompts in requests with a recent complete answer.

use lru::LruCache;
use porthoist_core::{PartMark, UnixDeadline, UnixMillis};
use std::num::NonZeroUsize;

/// Time in milliseconds for which a complete answer speaks for the parts of its prompt. A part that is trusted is not held
/// for a single death; one that begins to crash targets is held a few deaths later.
const TRUSTED_MILLIS: u64 = 600_000;
/// Maximum number of stored parts, some 80 bytes each. A caller who invents parts displaces those that were not answered
/// lately.
const MAX_TRUSTED: NonZeroUsize = NonZeroUsize::new(8_192).expect("the number is not zero");

/// Parts with a recent complete answer, and the end of their protection.
#[derive(Debug)]
pub struct TrustedParts(LruCache<PartMark, UnixDeadline>);

impl Default for TrustedParts {
    fn default() -> Self {
        // Memory is allocated as parts are answered.
        let mut cache = LruCache::unbounded();
        cache.resize(MAX_TRUSTED);
        Self(cache)
    }
}

impl TrustedParts {
    /// Records a complete answer to a request with this part.
    pub fn answered(&mut self, part: PartMark, now: UnixMillis) {
        self.0.put(part, UnixDeadline::after(now, TRUSTED_MILLIS));
    }

    /// Whether a request with this part had a complete answer recently.
    pub fn trusts(&self, part: &PartMark, now: UnixMillis) -> bool {
        self.0.peek(part).is_some_and(|until| !until.passed(now))
    }
}
