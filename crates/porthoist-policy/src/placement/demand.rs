//! Estimates the demand for a group's experts and distinguishes shifts of demand from noise.
//!
//! Each request brings many similar tokens. A window of counts contains few requests, so it deviates from the demand far
//! more than its number of tokens suggests. The estimator learns the usual deviation; a larger one that the next window
//! confirms is a shift. After a shift, the estimate is the mean of all later windows, with a minimum weight for each.

use std::collections::VecDeque;

/// A window may show a shift if it deviates more than this many times the usual deviation. In groups of 12 and 63 ranks,
/// steady windows stay below 1.7 times, shifts of a fifth of the demand reach 2.6 times, and shifts of half of it 6 times.
const SHIFT_FACTOR: f64 = 2.0;
/// Quantile of the recent deviations that counts as usual. It is low because the windows after a missed shift all deviate
/// strongly and must not hide the next shift.
const USUAL_QUANTILE: f64 = 0.3;
/// Minimum weight of a new window, which lets the estimate follow a slow drift within about 10 windows.
const MIN_WEIGHT: f64 = 0.1;
/// Number of recent deviations from which the usual one is computed.
const DEVIATIONS_KEPT: usize = 15;
/// Number of deviations required before a shift can be detected.
const MIN_DEVIATIONS: usize = 2;

/// Change of demand that a window of counts shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandChange {
    /// No change.
    Steady,
    /// A shift may have begun during the window; the next one lies entirely after it. The estimate is unchanged.
    PossibleShift,
    /// A shift; the estimate now equals this window.
    Shifted,
}

/// Estimates the demand for each expert, by set of layers.
#[derive(Debug, Clone)]
pub struct DemandEstimator {
    experts: usize,
    demand: Vec<Vec<f64>>,
    /// Number of counts behind the estimate.
    weight: f64,
    /// Recent deviations, relative to the deviation that the number of counts explains.
    deviations: VecDeque<f64>,
    shift_suspected: bool,
}

impl DemandEstimator {
    /// Creates an estimator with equal demand for all experts.
    pub fn new(sets: usize, experts: usize) -> Self {
        let equal = vec![1.0 / experts.max(1) as f64; experts];
        Self {
            experts,
            demand: vec![equal; sets],
            weight: 0.0,
            deviations: VecDeque::new(),
            shift_suspected: false,
        }
    }

    /// Returns the demand for each expert, by set; each set sums to 1.
    pub fn demand(&self) -> &[Vec<f64>] {
        &self.demand
    }

    /// Adds the counts of a window, ordered by set and expert.
    pub fn add_window(&mut self, counts: &[u64]) -> DemandChange {
        let window: Vec<Vec<f64>> = counts.chunks(self.experts.max(1)).map(shares).collect();
        let total = counts.iter().sum::<u64>() as f64 / self.demand.len().max(1) as f64;
        if total <= 0.0 || window.len() != self.demand.len() {
            return DemandChange::Steady;
        }
        if self.weight <= 0.0 {
            self.adopt(window, total);
            return DemandChange::Shifted;
        }
        let deviation = self.distance(&window) / (1.0 / total + 1.0 / self.weight).sqrt();
        let unusual =
            self.usual_deviation().is_some_and(|usual_deviation| deviation > SHIFT_FACTOR * usual_deviation);
        match (unusual, std::mem::replace(&mut self.shift_suspected, unusual)) {
            (true, false) => DemandChange::PossibleShift,
            (true, true) => {
                self.shift_suspected = false;
                self.adopt(window, total);
                DemandChange::Shifted
            }
            (false, _) => {
                self.record_deviation(deviation);
                self.merge(&window, total);
                DemandChange::Steady
            }
        }
    }

    /// Returns the fraction of the demand that moved, averaged over the sets: half the sum of absolute differences.
    fn distance(&self, window: &[Vec<f64>]) -> f64 {
        let sets = self.demand.iter().zip(window);
        let parts =
            sets.flat_map(|(known, new)| known.iter().zip(new)).map(|(known, new)| (known - new).abs());
        parts.sum::<f64>() / 2.0 / self.demand.len().max(1) as f64
    }

    /// Returns the usual deviation of windows without a shift, once enough are known.
    fn usual_deviation(&self) -> Option<f64> {
        if self.deviations.len() < MIN_DEVIATIONS {
            return None;
        }
        let mut sorted: Vec<f64> = self.deviations.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get((sorted.len() as f64 * USUAL_QUANTILE) as usize).copied()
    }

    fn record_deviation(&mut self, deviation: f64) {
        if self.deviations.len() == DEVIATIONS_KEPT {
            self.deviations.pop_front();
        }
        self.deviations.push_back(deviation);
    }

    fn adopt(&mut self, window: Vec<Vec<f64>>, total: f64) {
        self.demand = window;
        self.weight = total;
    }

    fn merge(&mut self, window: &[Vec<f64>], total: f64) {
        let share = (total / (self.weight + total)).max(MIN_WEIGHT);
        self.weight = total / share;
        for (known, new) in self.demand.iter_mut().flatten().zip(window.iter().flatten()) {
            *known += share * (new - *known);
        }
    }
}

fn shares(counts: &[u64]) -> Vec<f64> {
    let total = counts.iter().sum::<u64>().max(1) as f64;
    counts.iter().map(|count| *count as f64 / total).collect()
}
