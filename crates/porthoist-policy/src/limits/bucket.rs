//! Token bucket whose methods take the current time.

use porthoist_core::UnixMillis;

/// Shortest wait returned with a refusal, in milliseconds.
pub const MIN_WAIT_MILLIS: u64 = 10;
/// Longest wait returned with a refusal, in milliseconds.
pub const MAX_WAIT_MILLIS: u64 = 60_000;

/// A bucket that fills at `rate` tokens per second up to `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: UnixMillis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(now: UnixMillis, rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, filled_at: now }
    }

    /// Creates an empty bucket.
    pub fn empty(now: UnixMillis, rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: 0.0, filled_at: now }
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    pub fn set_rate(&mut self, now: UnixMillis, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn fill(&mut self, now: UnixMillis) {
        let elapsed = now.since(self.filled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a token, or returns the time at which one will be available.
    pub fn take(&mut self, now: UnixMillis) -> Result<(), UnixMillis> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait =
            if self.rate > 0.0 { ((1.0 - self.tokens) / self.rate * 1000.0).ceil() as u64 } else { u64::MAX };
        Err(now.plus(wait.clamp(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)))
    }

    /// Takes up to `wanted` whole tokens.
    pub fn take_up_to(&mut self, now: UnixMillis, wanted: u32) -> u32 {
        self.fill(now);
        let taken = f64::from(wanted).min(self.tokens.floor()).max(0.0);
        self.tokens -= taken;
        taken as u32
    }

    /// Adds tokens, up to the burst.
    pub fn put(&mut self, tokens: u32) {
        self.tokens = (self.tokens + f64::from(tokens)).min(self.burst);
    }

    /// Returns the number of tokens.
    pub fn level(&mut self, now: UnixMillis) -> f64 {
        self.fill(now);
        self.tokens
    }
}
