//! Timeouts that adapt to observed response times.

use porthoist_policy::placement::copy_times::RecentMedian;
use std::time::Duration;

/// Factor by which a response may be slower than typical before it times out.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Quantile of the response times of one call that counts as typical: even if one response in four is slower, all ranks
/// of a group still answer in time.
const TYPICAL_QUANTILE: f64 = 0.75;
/// Upper bound of a timeout: a group that waits longer for an unreachable rank misses a whole shift of demand.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the timeout doubles at most after calls that most ranks did not answer.
const MAX_DOUBLINGS: u32 = 3;

/// The timeout of one kind of call.
///
/// A fixed time per rank is enough for groups of up to 63 ranks. With 129 ranks behind links of 6 Mbit/s, whole maps take
/// longer, time out and are sent again, and a map takes effect 3.9 s after it was planned instead of 0.7 s.
#[derive(Debug, Clone)]
pub struct AdaptiveTimeout {
    minimum: Duration,
    typical: RecentMedian,
    doublings: u32,
    max_doublings: u32,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts at `minimum` and never falls below it. It doubles while most ranks do not answer.
    pub fn new(minimum: Duration) -> Self {
        Self { minimum, typical: RecentMedian::default(), doublings: 0, max_doublings: MAX_DOUBLINGS }
    }

    /// Creates a timeout that does not double, for calls that are simply repeated while others wait for them.
    pub fn without_doubling(minimum: Duration) -> Self {
        Self { max_doublings: 0, ..Self::new(minimum) }
    }

    /// Returns the typical response time.
    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.typical.get().unwrap_or_default() / 1_000.0)
    }

    /// Sets the lower bound of the timeout.
    pub fn set_minimum(&mut self, minimum: Duration) {
        self.minimum = minimum;
    }

    /// Returns the timeout of the next call.
    pub fn get(&self) -> Duration {
        let wanted = self.minimum.max(self.typical().mul_f64(TIMEOUT_FACTOR));
        (wanted * (1 << self.doublings)).min(MAX_TIMEOUT.max(self.minimum))
    }

    /// Records the response times of one call to `asked` ranks, one for each rank that answered.
    pub fn record(&mut self, answered: &[Duration], asked: usize) {
        if answered.len() * 2 < asked {
            self.doublings = (self.doublings + 1).min(self.max_doublings);
            return;
        }
        self.doublings = 0;
        let mut sorted = answered.to_vec();
        sorted.sort();
        let typical = sorted
            .get(((sorted.len() as f64 * TYPICAL_QUANTILE) as usize).min(sorted.len().saturating_sub(1)));
        if let Some(typical) = typical {
            self.typical.add(typical.as_secs_f64() * 1_000.0);
        }
    }
}
