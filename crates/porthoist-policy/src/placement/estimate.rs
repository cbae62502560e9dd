//! Estimates expert popularity and rank speed from delayed, noisy counts, with a larger weight for new values after a
//! jump.

use super::GroupEstimate;

/// Weight of a new window without a jump.
const STEADY_WEIGHT: f64 = 0.15;
/// Weight of a new window for an expert or rank whose value jumped.
const JUMP_WEIGHT: f64 = 0.9;
/// A count is a jump if it differs from the expected one by more than this many standard deviations of counting noise
/// and by more than [`MIN_JUMP_FRACTION`] of it.
const JUMP_DEVIATIONS: f64 = 5.0;
/// Minimum relative difference of a jump in counts.
const MIN_JUMP_FRACTION: f64 = 0.25;
/// Minimum difference of a jump in relative speed.
const MIN_SPEED_JUMP: f64 = 0.08;

/// Estimator for one group.
#[derive(Debug, Clone)]
pub struct GroupEstimator {
    popularity: Vec<f64>,
    speed: Vec<f64>,
}

impl GroupEstimator {
    /// Starts from initial estimates.
    pub fn new(initial: &GroupEstimate) -> Self {
        Self { popularity: initial.popularity.clone(), speed: initial.speed.clone() }
    }

    /// Adds the tokens that each expert received in a window. Returns the fraction of the demand that jumped to other
    /// experts.
    pub fn counts(&mut self, tokens: &[f64]) -> f64 {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return 0.0;
        }
        let mut moved = 0.0;
        for (known, count) in self.popularity.iter_mut().zip(tokens) {
            let expected = *known * total;
            let difference = (count - expected).abs();
            let noise = expected.max(1.0).sqrt();
            let jumped = difference > JUMP_DEVIATIONS * noise && difference > MIN_JUMP_FRACTION * expected;
            let weight = if jumped { JUMP_WEIGHT } else { STEADY_WEIGHT };
            if jumped {
                moved += difference / total;
            }
            *known += weight * (count / total - *known);
        }
        let sum: f64 = self.popularity.iter().sum();
        for known in &mut self.popularity {
            *known /= sum;
        }
        // Demand that moved is counted at both its old and its new expert.
        moved / 2.0
    }

    /// Adds the measured speed of each rank in a window.
    pub fn speeds(&mut self, measured: &[f64]) {
        for (known, speed) in self.speed.iter_mut().zip(measured) {
            let jumped = (speed - *known).abs() > MIN_SPEED_JUMP;
            let weight = if jumped { JUMP_WEIGHT } else { STEADY_WEIGHT };
            *known += weight * (speed - *known);
        }
    }

    /// Returns the current estimate.
    pub fn estimate(&self) -> GroupEstimate {
        GroupEstimate { popularity: self.popularity.clone(), speed: self.speed.clone() }
    }
}
