//! How long answers are waited for, from what they took.

use porthoist_policy::placement::copying::RecentMedian;
use std::time::Duration;

/// Times longer than usual that an answer may take before its sender is given up.
const LONGER: f64 = 3.0;
/// Part of the answers of one question whose time counts as usual: with one time in four slower, a question to all
/// ranks of a group is still answered by all.
const USUAL_PART: f64 = 0.75;
/// The longest patience: a rank that is away for so long costs its group a shift of demand.
const CEILING: Duration = Duration::from_secs(1);
/// Doublings at most after questions that most did not answer.
const MOST_DOUBLINGS: u32 = 3;

/// Patience with one kind of question.
///
/// A fixed time a rank held for groups of up to 63 ranks; at 129 behind links of 6 Mbit/s, whole maps took longer, were
/// given up and sent anew, and a map was in force 3.9 s after it was planned instead of 0.7.
#[derive(Debug, Clone)]
pub struct AdaptiveTimeout {
    floor: Duration,
    usual: RecentMedian,
    doublings: u32,
    most_doublings: u32,
}

impl AdaptiveTimeout {
    /// A patience of at least `floor`, which is also the first one. It doubles while most do not answer.
    pub fn new(floor: Duration) -> Self {
        Self { floor, usual: RecentMedian::default(), doublings: 0, most_doublings: MOST_DOUBLINGS }
    }

    /// The same without doubling: for what is simply asked again, while others wait for it.
    pub fn without_doubling(floor: Duration) -> Self {
        Self { most_doublings: 0, ..Self::new(floor) }
    }

    /// What an answer usually takes.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual.get().unwrap_or_default() / 1_000.0)
    }

    /// From now on it is at least so long.
    pub fn set_floor(&mut self, floor: Duration) {
        self.floor = floor;
    }

    /// How long the next answers are waited for.
    pub fn get(&self) -> Duration {
        let wanted = self.floor.max(self.usual().mul_f64(LONGER));
        (wanted * (1 << self.doublings)).min(CEILING.max(self.floor))
    }

    /// Takes how long the answers to one question took, of so many that were asked.
    pub fn took(&mut self, answered: &[Duration], asked: usize) {
        if answered.len() * 2 < asked {
            self.doublings = (self.doublings + 1).min(self.most_doublings);
            return;
        }
        self.doublings = 0;
        let mut sorted = answered.to_vec();
        sorted.sort();
        let usual =
            sorted.get(((sorted.len() as f64 * USUAL_PART) as usize).min(sorted.len().saturating_sub(1)));
        if let Some(usual) = usual {
            self.usual.add(usual.as_secs_f64() * 1_000.0);
        }
    }
}
