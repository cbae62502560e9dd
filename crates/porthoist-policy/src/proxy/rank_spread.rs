//! Spreads requests over the ranks that have free slots.
//!
//! All entries derive the same spread from the same reports, so each knows how many requests the others
//! have probably sent to a rank since the last reading. Without that, the ranks that a reading shows as
//! the emptiest get the requests of two to three report intervals.

/// Steps of the bisection of a level; the result is exact to a hundredth of a request.
const LEVEL_STEPS: u32 = 14;

/// Number of requests that a rank probably has, and the number that it may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankFill {
    /// Probable requests.
    pub held: f64,
    /// Maximum.
    pub limit: f64,
}

impl RankFill {
    fn room(&self, level: f64) -> f64 {
        (level.min(self.limit) - self.held).max(0.0)
    }
}

/// The fractions of `requests` more requests that each rank gets if they fill the emptiest ranks up to a
/// common level. They add up to 1, or are all 0 if no rank has room.
pub fn spread(ranks: &[RankFill], requests: f64) -> Vec<f64> {
    let level = common_level(ranks, requests);
    let added: Vec<f64> = ranks.iter().map(|rank| rank.room(level)).collect();
    let total: f64 = added.iter().sum();
    let fraction = |added: f64| if total > 0.0 { added / total } else { 0.0 };
    added.into_iter().map(fraction).collect()
}

/// The level up to which `requests` fill the ranks, or the highest limit if there are more.
fn common_level(ranks: &[RankFill], requests: f64) -> f64 {
    let mut low = ranks.iter().map(|rank| rank.held).fold(f64::INFINITY, f64::min);
    let mut high = ranks.iter().map(|rank| rank.limit).fold(0.0, f64::max);
    for _step in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        let filled: f64 = ranks.iter().map(|rank| rank.room(middle)).sum();
        if filled < requests { low = middle } else { high = middle }
    }
    high
}
