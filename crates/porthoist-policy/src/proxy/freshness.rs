//! How old the proof is that the configuration held is the newest one.
//!
//! The table service stamps each answer with its own steady clock. The stamp is placed on the local clock by the
//! tightest lower bound seen: an answer can't have been made before its question was sent. So a long wait for a change
//! proves freshness up to its end, not only up to its start.

use porthoist_core::UnixMillis;

/// One answered question to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StampedAnswer {
    /// When the question was sent, by the local clock.
    pub sent: UnixMillis,
    /// When the answer was read, by the local clock.
    pub received: UnixMillis,
    /// The service's steady clock when it answered, in milliseconds.
    pub stamp: u64,
}

/// The proof held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Local clock less the service's clock, a lower bound.
    offset: Option<i128>,
    proven: Option<UnixMillis>,
}

impl FreshnessProof {
    /// Takes an answer that showed the newest configuration, or that there is none newer.
    pub fn record_answer(&mut self, answer: StampedAnswer) {
        let offset = self.update_clock_offset(answer);
        self.prove(offset, answer);
    }

    /// Takes how the service's clock lies to this process's, from an answer of the service about anything; returns the offset.
    pub fn update_clock_offset(&mut self, answer: StampedAnswer) -> i128 {
        let earliest = i128::from(answer.sent.0) - i128::from(answer.stamp);
        let latest = i128::from(answer.received.0) - i128::from(answer.stamp);
        let offset = match self.offset {
            // A service that started its clock anew contradicts the old bound: begin again with what is certain.
            Some(known) if known <= latest => known.max(earliest),
            _ => earliest,
        };
        self.offset = Some(offset);
        offset
    }

    /// Takes an answer that the service gave to another process, which passed it on with the service's clock. It may have been
    /// on its way for any time, so it tells nothing of how the clocks lie to each other; an answer of the service itself
    /// must have come before.
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

    /// Age of the proof in milliseconds; nothing without a proof.
    pub fn age(&self, now: UnixMillis) -> Option<u64> {
        self.proven.map(|proven| now.since(proven))
    }

    /// When the configuration held was last known to be the newest.
    pub fn proven(&self) -> Option<UnixMillis> {
        self.proven
    }
}

/// What operators ask of the proof.
///
/// Where keys that were taken away may run on for a while, an old proof is no reason to refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessRule {
    /// Age in milliseconds at which a proof no longer counts.
    pub max_age_millis: u64,
    /// Whether a request with a key runs only while there is a proof.
    pub required_to_run: bool,
}

impl FreshnessRule {
    /// Whether the configuration held is known to be the newest. Denials need this in any case.
    pub fn proven(&self, proof: &FreshnessProof, now: UnixMillis) -> bool {
        proof.age(now).is_some_and(|age| age < self.max_age_millis)
    }

    /// Whether a request that the configuration held allows may run.
    pub fn may_run(&self, proof: &FreshnessProof, now: UnixMillis) -> bool {
        !self.required_to_run || self.proven(proof, now)
    }
}
