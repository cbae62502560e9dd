//! Decides when to hedge: to send a second attempt because the first seems stuck rather than slow.
//!
//! A hedge computes the prompt again if the second target has not cached it. A hedge after a high quantile alone adds so
//! much work that it causes the latency tail it should cut (docs/measurements/ROUTING.md), so it waits for twice the 99th
//! percentile.

use hdrhistogram::Histogram;
use porthoist_core::UnixMillis;

/// Quantile of the time to first token on which hedging is based.
pub const HEDGE_QUANTILE: f64 = 0.99;
/// Multiple of the quantile after which a request is hedged.
pub const HEDGE_FACTOR: u64 = 2;
/// Minimum number of observations before the first hedge.
pub const MIN_OBSERVATIONS: u64 = 200;
/// Number of observations per histogram; when one is full, the previous one is discarded.
const WINDOW_OBSERVATIONS: u64 = 4000;
/// Shortest wait before a hedge, in milliseconds.
pub const MIN_HEDGE_MILLIS: u64 = 20;
/// Longest time to first token that the histogram distinguishes, in milliseconds.
const MAX_MILLIS: u64 = 600_000;

/// Distribution of recent times to first token.
#[derive(Debug)]
pub struct HedgePolicy {
    current: Histogram<u64>,
    previous: Histogram<u64>,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MILLIS, 2).expect("the bounds are valid");
        Self { current: histogram(), previous: histogram() }
    }
}

impl HedgePolicy {
    /// Records the time to first token of a finished request, in milliseconds.
    pub fn observe(&mut self, millis: u64) {
        self.current.saturating_record(millis.clamp(1, MAX_MILLIS));
        if self.current.len() >= WINDOW_OBSERVATIONS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the time to hedge a request that is sent now, or `None` before enough observations.
    pub fn hedge_at(&self, now: UnixMillis) -> Option<UnixMillis> {
        let known = if self.previous.is_empty() { &self.current } else { &self.previous };
        if known.len() < MIN_OBSERVATIONS {
            return None;
        }
        let wait = (known.value_at_quantile(HEDGE_QUANTILE) * HEDGE_FACTOR).max(MIN_HEDGE_MILLIS);
        Some(now.plus(wait))
    }
}
