//! When a second attempt beside a slow first one makes sense: when the first seems stuck, not merely slow.
//!
//! A hedge computes the prompt a second time where it is not cached. After a mere high quantile that makes the tail it
//! means to cut (docs/measurements/ROUTING.md), so it waits for twice the 99th percentile.

use hdrhistogram::Histogram;
use porthoist_core::UnixMillis;

/// Quantile of the first-token time after which a request is hedged.
pub const HEDGE_QUANTILE: f64 = 0.99;
/// A hedge waits for so many times that quantile.
pub const HEDGE_FACTOR: u64 = 2;
/// Observations before the first hedge.
pub const MIN_OBSERVATIONS: u64 = 200;
/// Observations after which half of the weight of the past is dropped.
const WINDOW: u64 = 4000;
/// A hedge waits at least so long, in milliseconds.
pub const MIN_HEDGE_MILLIS: u64 = 20;
/// Longest first-token time told apart, in milliseconds.
const MAX_MILLIS: u64 = 600_000;

/// The distribution of recent first-token times.
#[derive(Debug)]
pub struct HedgePolicy {
    recent: Histogram<u64>,
    past: Histogram<u64>,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MILLIS, 2).expect("the bounds are valid");
        Self { recent: histogram(), past: histogram() }
    }
}

impl HedgePolicy {
    /// Takes the first-token time of a finished request in milliseconds.
    pub fn observe(&mut self, millis: u64) {
        self.recent.saturating_record(millis.clamp(1, MAX_MILLIS));
        if self.recent.len() >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.past);
            self.recent.reset();
        }
    }

    /// When a request that is sent now should be hedged, if enough is known.
    pub fn hedge_at(&self, now: UnixMillis) -> Option<UnixMillis> {
        let known = if self.past.is_empty() { &self.recent } else { &self.past };
        if known.len() < MIN_OBSERVATIONS {
            return None;
        }
        let wait = (known.value_at_quantile(HEDGE_QUANTILE) * HEDGE_FACTOR).max(MIN_HEDGE_MILLIS);
        Some(now.plus(wait))
    }
}
