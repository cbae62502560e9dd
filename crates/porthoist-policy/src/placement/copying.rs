//! How long copies of experts and switches take, as observed, and what follows for the size of a plan.
//!
//! A rank copies its new experts one after the other, so a plan takes as long as the rank with the most of them. Every
//! plan also costs its switch. Between the two lies the best number of copies for one plan.

use std::collections::VecDeque;

/// Observations that an estimate is the median of: one that was stretched by a lost order must not count.
const KEPT: usize = 5;
/// What a switch is taken to cost before one was seen, in milliseconds: the rounds of a group of twelve.
const FIRST_SWITCH_MILLIS: f64 = 200.0;

/// The median of the last observations.
#[derive(Debug, Clone, Default)]
pub struct RecentMedian {
    values: VecDeque<f64>,
}

impl RecentMedian {
    /// Takes an observation.
    pub fn add(&mut self, value: f64) {
        if self.values.len() == KEPT {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    /// The median; nothing before the first observation.
    pub fn get(&self) -> Option<f64> {
        let mut sorted: Vec<f64> = self.values.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

/// Times of copies and switches of one group.
#[derive(Debug, Clone, Default)]
pub struct CopyTimes {
    copy: RecentMedian,
    switch: RecentMedian,
}

impl CopyTimes {
    /// Takes that the rank with most new experts had so many of them after so many milliseconds.
    pub fn record_copies(&mut self, copies: usize, millis: f64) {
        if copies > 0 {
            self.copy.add(millis / copies as f64);
        }
    }

    /// Takes the milliseconds from the last copy to the map in force.
    pub fn record_switch(&mut self, millis: f64) {
        self.switch.add(millis);
    }

    /// Milliseconds of one copy; nothing before one was seen.
    pub fn copy_millis(&self) -> Option<f64> {
        self.copy.get()
    }

    /// Copies that one plan gives to a rank, where all that is worth copying is `wanted` a rank.
    ///
    /// `wanted` copies in plans of n take wanted / n switches; a copy serves on the average from the middle of its own
    /// plan on. The sum of both delays is least at the root of wanted x switch / copy. On links where a copy takes 0.4 s
    /// this is one, and days gain 0.1 of their worth over plans of four; where it takes 0.1 s it is three.
    pub fn copies_per_rank(&self, wanted: usize) -> usize {
        let Some(copy) = self.copy.get() else { return 1 };
        let switch = self.switch.get().unwrap_or(FIRST_SWITCH_MILLIS);
        let best = (wanted as f64 * switch / copy.max(1.0)).sqrt();
        (best.round() as usize).clamp(1, wanted.max(1))
    }
}
