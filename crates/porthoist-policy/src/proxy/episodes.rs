//! Lengths of episodes in which a service refuses requests, and what they say about the current one.

use porthoist_core::UnixMillis;
use std::collections::VecDeque;

/// Number of stored episodes.
const MAX_EPISODES: usize = 8;
/// Expected length in milliseconds of an episode before one has been observed. A crashed rank is back
/// after some 2 s, and a caller that retries too early has done so in vain.
const INITIAL_EPISODE_MILLIS: f64 = 2_500.0;

/// Lengths of episodes in which a service refused requests.
#[derive(Debug, Clone, Default)]
pub struct EpisodeLengths {
    lengths: VecDeque<f64>,
    /// Start of the current episode, if any.
    began: Option<UnixMillis>,
    /// When an episode last began or was found to continue.
    last_confirmed: UnixMillis,
}

impl EpisodeLengths {
    /// Records that an episode begins or continues.
    pub fn begin(&mut self, now: UnixMillis) {
        self.began.get_or_insert(now);
        self.last_confirmed = now;
    }

    /// Records the end of the current episode, if there is one.
    pub fn end(&mut self, end: UnixMillis) {
        let Some(began) = self.began.take() else { return };
        if self.lengths.len() == MAX_EPISODES {
            self.lengths.pop_front();
        }
        self.lengths.push_back(end.since(began) as f64);
    }

    /// Whether an episode has begun and not ended.
    pub fn is_open(&self) -> bool {
        self.began.is_some()
    }

    /// Whether no episode has ended yet.
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    /// When an episode last began or was found to continue.
    pub fn last_confirmed(&self) -> UnixMillis {
        self.last_confirmed
    }

    /// Expected remaining milliseconds of the current episode: the mean remainder of the stored episodes
    /// that lasted longer. An episode longer than all of them is expected to double.
    pub fn expected_remainder(&self, now: UnixMillis) -> f64 {
        let age = self.age(now);
        if self.lengths.is_empty() {
            return INITIAL_EPISODE_MILLIS.max(age);
        }
        let remainders = self.longer_remainders(age);
        if remainders.is_empty() {
            return age;
        }
        remainders.iter().sum::<f64>() / remainders.len() as f64
    }

    /// Milliseconds until the current episode has ended even if it becomes as long as the longest
    /// stored one. An episode longer than all of them is expected to double.
    pub fn longest_remainder(&self, now: UnixMillis) -> f64 {
        let age = self.age(now);
        let longest = self.longer_remainders(age).into_iter().max_by(f64::total_cmp);
        longest.unwrap_or_else(|| self.unknown_remainder(age))
    }

    /// Probability that the current episode ends within `millis`: the fraction of the longer stored
    /// episodes that did. One assumed episode, which lasts as long again as the current one has, is
    /// counted with them, so that a few equal lengths are no certainty.
    pub fn chance_within(&self, millis: f64, now: UnixMillis) -> f64 {
        let age = self.age(now);
        let remainders = self.longer_remainders(age);
        let ended = remainders.iter().filter(|remainder| **remainder <= millis).count() as f64;
        let assumed = millis / (millis + self.unknown_remainder(age)).max(1.0);
        (ended + assumed) / (remainders.len() + 1) as f64
    }

    fn age(&self, now: UnixMillis) -> f64 {
        self.began.map_or(0.0, |began| now.since(began) as f64)
    }

    fn longer_remainders(&self, age: f64) -> Vec<f64> {
        self.lengths.iter().filter(|length| **length > age).map(|length| length - age).collect()
    }

    fn unknown_remainder(&self, age: f64) -> f64 {
        if self.lengths.is_empty() { INITIAL_EPISODE_MILLIS.max(age) } else { age }
    }
}
