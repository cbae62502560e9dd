//! When a process calls the table service again after a call has failed.
//!
//! While peers respond, they call the service on behalf of this process and its own calls can be rare.
//! Otherwise nobody else detects that the service has recovered. Both times are set when a call fails, and which
//! of them applies is decided anew whenever peers respond or are lost.

use porthoist_core::{UnixDeadline, UnixMillis};
use std::ops::Range;
use std::time::Duration;

/// Initial backoff without peers. It doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff without peers. The process must be ready again within a second of the table service's
/// recovery.
const MAX_BACKOFF: Duration = Duration::from_millis(480);
/// Range of the random factor of a backoff. Processes that failed together must not retry together.
const BACKOFF_FACTORS: Range<f64> = 0.5..1.5;
/// Range of the random factor of the interval between calls while peers respond.
const INTERVAL_FACTORS: Range<f64> = 0.8..1.0;
/// Time in milliseconds after which a missing answer is a sign of an outage: longer than the call repeated on
/// another connection takes.
const ANSWER_DELAY_MILLIS: u64 = 400;
/// The same if an earlier call has failed.
const REPEATED_ANSWER_DELAY_MILLIS: u64 = 100;
/// Time in milliseconds from when an answer is due until its call fails.
const CALL_TIMEOUT_MILLIS: u64 = 900;

/// How long a table is awaited before the service is called for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryPatience {
    /// Time given to peers to provide the table while no call fails.
    pub peers: Duration,
    /// Time by which calls for the table come after those for others while calls fail.
    pub failing: Duration,
}

/// Times of the next call after one that failed.
#[derive(Debug, Clone, Copy)]
struct RetryTimes {
    with_peers: UnixDeadline,
    without_peers: UnixDeadline,
}

/// State of a process's calls to the table service.
#[derive(Debug, Clone)]
pub struct ServiceRetry {
    /// Maximum interval between calls while peers respond.
    interval: Duration,
    backoff: Duration,
    failure: Option<RetryTimes>,
    /// When the latest call that failed, or was unanswered before a recovery, was sent.
    failed: Option<UnixMillis>,
    /// When the answers to the pending calls are due.
    pending: Vec<UnixMillis>,
    /// When the latest call that has been answered was sent.
    answered: Option<UnixMillis>,
    /// When calls last ceased to fail.
    recovered: Option<UnixMillis>,
    /// Until when peers are expected to report a recovery.
    peers_until: UnixDeadline,
}

impl ServiceRetry {
    /// Creates the state of a process without failed calls. `interval` is the maximum time between its calls while
    /// peers respond.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            backoff: MIN_BACKOFF,
            failure: None,
            failed: None,
            pending: Vec::new(),
            answered: None,
            recovered: None,
            peers_until: UnixDeadline::default(),
        }
    }

    /// Records that a call is sent whose answer is due at `due`: at once, or after its wait.
    pub fn record_call(&mut self, due: UnixMillis) {
        self.pending.push(due);
    }

    /// Records that the call whose answer was due at `due` is no longer pending, whatever its outcome.
    pub fn end_call(&mut self, due: UnixMillis) {
        if let Some(index) = self.pending.iter().position(|pending| *pending == due) {
            self.pending.swap_remove(index);
        }
    }

    /// Records that a call failed at `now`. `random` is from 0 to 1. A call that was sent before one that has been
    /// answered says nothing about the present state of the service.
    pub fn record_failure(&mut self, sent: UnixMillis, now: UnixMillis, random: f64) {
        if self.answered.is_some_and(|answered| answered > sent) {
            return;
        }
        let scale = |factors: Range<f64>| factors.start + (factors.end - factors.start) * random;
        let after = |time: UnixMillis, delay: Duration| UnixDeadline::after(time, delay.as_millis() as u64);
        // Counts from the time at which the answer was due, so that timeouts don't make calls rarer.
        let due = UnixMillis(sent.0.max(now.0.saturating_sub(CALL_TIMEOUT_MILLIS)));
        let without_peers = after(now, self.backoff.mul_f64(scale(BACKOFF_FACTORS)));
        let least = after(now, MIN_BACKOFF.mul_f64(scale(BACKOFF_FACTORS)));
        let with_peers = after(due, self.interval.mul_f64(scale(INTERVAL_FACTORS))).max(least);
        self.failure = Some(RetryTimes { with_peers, without_peers });
        self.failed = self.failed.max(Some(sent));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Records that the service answered a call at `now`.
    pub fn record_answer(&mut self, sent: UnixMillis, now: UnixMillis) {
        self.answered = self.answered.max(Some(sent));
        self.record_recovery(now);
    }

    /// Records that a peer has provided what the service answered.
    pub fn record_recovery(&mut self, now: UnixMillis) {
        self.backoff = MIN_BACKOFF;
        self.failed = self.failed.max(self.unanswered(now));
        if self.failure.take().is_some() {
            self.recovered = Some(now);
        }
    }

    /// Records that a peer responded. The next response must come before `until`.
    pub fn record_peer_response(&mut self, until: UnixDeadline) {
        self.peers_until = self.peers_until.max(until);
    }

    /// Records that no peer can be queried. Returns whether peers responded until now.
    pub fn lose_peers(&mut self, now: UnixMillis) -> bool {
        let responded = !self.peers_until.passed(now);
        self.peers_until = UnixDeadline::default();
        responded
    }

    /// Whether the latest call failed.
    pub fn is_failing(&self) -> bool {
        self.failure.is_some()
    }

    /// Returns when the latest call that failed, or was unanswered before a recovery, was sent.
    pub fn failed(&self) -> Option<UnixMillis> {
        self.failed
    }

    /// Returns since when an answer has been due at `now`, if that is a sign of an outage.
    pub fn unanswered(&self, now: UnixMillis) -> Option<UnixMillis> {
        let delay = if self.is_failing() { REPEATED_ANSWER_DELAY_MILLIS } else { ANSWER_DELAY_MILLIS };
        let is_overdue = |due: &UnixMillis| Some(*due) > self.answered && now.since(*due) >= delay;
        let overdue = self.pending.iter().copied().filter(is_overdue).max();
        overdue.max(self.failed.filter(|_failed| self.is_failing()))
    }

    /// Returns when the service is to be called for a table that has been awaited since `began`.
    pub fn next_call(&self, began: UnixMillis, patience: RetryPatience) -> UnixDeadline {
        if let Some(failure) = self.failure {
            let due = failure.with_peers.min(failure.without_peers.max(self.peers_until));
            return UnixDeadline::after(due.0, patience.failing.as_millis() as u64);
        }
        match self.recovered.filter(|recovered| *recovered >= began) {
            Some(recovered) if self.peers_until.passed(recovered) => UnixDeadline(recovered),
            recovered => UnixDeadline::after(recovered.unwrap_or(began), patience.peers.as_millis() as u64),
        }
    }
}
