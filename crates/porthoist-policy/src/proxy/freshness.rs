//! Age of the proof that this process has the newest configuration.
//!
//! The table service stamps each answer with its own monotonic clock. The stamp is converted to the
//! local clock with the tightest known lower bound of the offset, as an answer can't have been made
//! before its request was sent. A long poll therefore proves freshness up to its end, not only up to its
//! start.

use porthoist_core::UnixMillis;

/// An answer of the table service, with its time stamps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StampedAnswer {
    /// When the request was sent, by the local clock.
    pub sent: UnixMillis,
    /// When the answer was read, by the local clock.
    pub received: UnixMillis,
    /// The service's monotonic clock when it answered, in milliseconds.
    pub stamp: u64,
}

/// The latest proof of freshness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Lower bound of the local clock minus the service's clock.
    offset: Option<i128>,
    proven: Option<UnixMillis>,
}

impl FreshnessProof {
    /// Records an answer that contained the newest configuration or confirmed that there is none newer.
    pub fn record_answer(&mut self, answer: StampedAnswer) {
        let offset = self.update_clock_offset(answer);
        self.prove(offset, answer);
    }

    /// Updates the clock offset from any answer of the service; returns the offset.
    pub fn update_clock_offset(&mut self, answer: StampedAnswer) -> i128 {
        let earliest = i128::from(answer.sent.0) - i128::from(answer.stamp);
        let latest = i128::from(answer.received.0) - i128::from(answer.stamp);
        let offset = match self.offset {
            // A service whose clock was reset contradicts the old bound: start again from what this
            // answer proves.
            Some(known) if known <= latest => known.max(earliest),
            _ => earliest,
        };
        self.offset = Some(offset);
        offset
    }

    /// Records an answer that the service gave to another process, which passed it on with the service's
    /// stamp. It may have been delayed for any time and so says nothing about the clock offset, which an
    /// answer from the service itself must have set before.
    pub fn record_relayed_answer(&mut self, answer: StampedAnswer) {
        if let Some(offset) = self.offset {
            self.prove(offset, answer);
        }
    }

    fn prove(&mut self, offset: i128, answer: StampedAnswer) {
        let proven = u64::try_from(offset + i128::from(answer.stamp)).unwrap_or_default();
        let proven = UnixMillis(proven.min(answer.received.0));
        self.proven = Some(self.proven.map_or(proven, |known| known.max(proven)));
    }

    /// Age of the proof in milliseconds, or `None` without a proof.
    pub fn age(&self, now: UnixMillis) -> Option<u64> {
        self.proven.map(|proven| now.since(proven))
    }

    /// When the configuration was last known to be the newest.
    pub fn proven(&self) -> Option<UnixMillis> {
        self.proven
    }
}

/// Freshness that operators require.
///
/// Where revoked keys may be used for a while, an old proof is no reason to refuse requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessRule {
    /// Age in milliseconds from which a proof is no longer valid.
    pub max_age_millis: u64,
    /// Whether requests with a key run only with a valid proof.
    pub required_to_run: bool,
}

impl FreshnessRule {
    /// Whether the configuration is known to be the newest. Denials always require this.
    pub fn proven(&self, proof: &FreshnessProof, now: UnixMillis) -> bool {
        proof.age(now).is_some_and(|age| age < self.max_age_millis)
    }

    /// Whether a request that the configuration permits may run.
    pub fn may_run(&self, proof: &FreshnessProof, now: UnixMillis) -> bool {
        !self.required_to_run || self.proven(proof, now)
    }
}
