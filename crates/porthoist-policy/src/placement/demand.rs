//! The demand for experts of a group whose requests bring many tokens of a kind each, with shifts told from noise.
//!
//! A window of counts holds few requests, so it strays from the demand by far more than its many tokens suggest. How far
//! windows usually stray is learned; one that strays further, confirmed by the next, is a shift of demand. From then on
//! the estimate is the mean of all windows since, up to a bound.

use std::collections::VecDeque;

/// A window that strays so many times further than usual may show a shift. On the users' groups of 12 and 63 ranks steady
/// ones stay below 1.7 times, shifts of a fifth of the demand reach 2.6 times and those of half of it 6 times.
const SHIFT_FACTOR: f64 = 2.0;
/// The usual straying is this quantile of what is remembered: windows after a shift that was missed, which all stray far,
/// must not hide the next.
const USUAL_QUANTILE: f64 = 0.3;
/// Least weight of a new window: demand that drifts slowly is followed within some ten windows.
const LEAST_SHARE: f64 = 0.1;
/// Windows whose straying is remembered.
const KEPT: usize = 15;
/// Windows that must be known before one can be told from the others.
const LEARNED: usize = 2;

/// What a window of counts shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandChange {
    /// The demand that was known.
    Steady,
    /// A shift may have begun; the next window shows all of it. The estimate is still the old one.
    PossibleShift,
    /// A shift; the estimate is this window.
    Shifted,
}

/// Estimates the demand for each expert, by set.
#[derive(Debug, Clone)]
pub struct DemandEstimator {
    experts: usize,
    demand: Vec<Vec<f64>>,
    /// Counts that the estimate rests on.
    weight: f64,
    /// How far windows strayed, in units of what their number of counts explains.
    strayed: VecDeque<f64>,
    straying: bool,
}

impl DemandEstimator {
    /// Knows nothing: all experts alike.
    pub fn new(sets: usize, experts: usize) -> Self {
        let even = vec![1.0 / experts.max(1) as f64; experts];
        Self { experts, demand: vec![even; sets], weight: 0.0, strayed: VecDeque::new(), straying: false }
    }

    /// The demand for each expert, by set; each set's sums to 1.
    pub fn demand(&self) -> &[Vec<f64>] {
        &self.demand
    }

    /// Takes the counts of a window, set after set.
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
        let strayed = self.distance(&window) / (1.0 / total + 1.0 / self.weight).sqrt();
        let surprising = self.usual().is_some_and(|usual| strayed > SHIFT_FACTOR * usual);
        match (surprising, std::mem::replace(&mut self.straying, surprising)) {
            (true, false) => DemandChange::PossibleShift,
            (true, true) => {
                self.straying = false;
                self.adopt(window, total);
                DemandChange::Shifted
            }
            (false, _) => {
                self.remember(strayed);
                self.absorb(&window, total);
                DemandChange::Steady
            }
        }
    }

    /// Half of what a window's shares differ by, mean over the sets: the part of the demand that moved.
    fn distance(&self, window: &[Vec<f64>]) -> f64 {
        let sets = self.demand.iter().zip(window);
        let parts =
            sets.flat_map(|(known, new)| known.iter().zip(new)).map(|(known, new)| (known - new).abs());
        parts.sum::<f64>() / 2.0 / self.demand.len().max(1) as f64
    }

    /// How far windows stray that show no shift, once enough are known.
    fn usual(&self) -> Option<f64> {
        if self.strayed.len() < LEARNED {
            return None;
        }
        let mut sorted: Vec<f64> = self.strayed.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get((sorted.len() as f64 * USUAL_QUANTILE) as usize).copied()
    }

    fn remember(&mut self, strayed: f64) {
        if self.strayed.len() == KEPT {
            self.strayed.pop_front();
        }
        self.strayed.push_back(strayed);
    }

    fn adopt(&mut self, window: Vec<Vec<f64>>, total: f64) {
        self.demand = window;
        self.weight = total;
    }

    fn absorb(&mut self, window: &[Vec<f64>], total: f64) {
        let share = (total / (self.weight + total)).max(LEAST_SHARE);
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
