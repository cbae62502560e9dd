//! Observed durations of expert copies and switches, and the plan size that follows from them.
//!
//! A rank copies its new experts one after the other, so a plan takes as long as the rank with the most copies. Every
//! plan also costs a switch. The number of copies per plan balances the two.

use std::collections::VecDeque;

/// Number of observations in the median. The median ignores an observation that a lost order has prolonged.
const MEDIAN_SAMPLES: usize = 5;
/// Duration of a switch assumed before the first observation, in milliseconds: its rounds of orders in a group
/// of twelve ranks.
const INITIAL_SWITCH_MILLIS: f64 = 200.0;

/// Median of the last observations.
#[derive(Debug, Clone, Default)]
pub struct RecentMedian {
    values: VecDeque<f64>,
}

impl RecentMedian {
    /// Adds an observation.
    pub fn add(&mut self, value: f64) {
        if self.values.len() == MEDIAN_SAMPLES {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    /// Returns the median, or `None` before the first observation.
    pub fn get(&self) -> Option<f64> {
        let mut sorted: Vec<f64> = self.values.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

/// Durations of copies and switches in one group.
#[derive(Debug, Clone, Default)]
pub struct CopyTimes {
    copy: RecentMedian,
    switch: RecentMedian,
}

impl CopyTimes {
    /// Records that the rank with the most new experts copied `copies` of them in `millis`.
    pub fn record_copies(&mut self, copies: usize, millis: f64) {
        if copies > 0 {
            self.copy.add(millis / copies as f64);
        }
    }

    /// Records the milliseconds from the last copy until the map was in force.
    pub fn record_switch(&mut self, millis: f64) {
        self.switch.add(millis);
    }

    /// Returns the milliseconds of one copy, or `None` before the first observation.
    pub fn copy_millis(&self) -> Option<f64> {
        self.copy.get()
    }

    /// Returns the number of copies per rank in one plan, if `wanted` copies per rank are worthwhile in total.
    ///
    /// With n copies per plan, `wanted` copies take wanted / n switches, and a copy waits on average for half of its plan.
    /// The sum of both delays is minimal at n = sqrt(wanted x switch / copy). If a copy takes 0.4 s, this is one, which
    /// gains 0.1 of a day's score over plans of four copies; if it takes 0.1 s, it is three.
    pub fn copies_per_rank(&self, wanted: usize) -> usize {
        let Some(copy) = self.copy.get() else { return 1 };
        let switch = self.switch.get().unwrap_or(INITIAL_SWITCH_MILLIS);
        let best = (wanted as f64 * switch / copy.max(1.0)).sqrt();
        (best.round() as usize).clamp(1, wanted.max(1))
    }
}
