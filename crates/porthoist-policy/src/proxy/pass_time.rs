//! Pass times of a group, derived from the pass counter of its first rank.
//!
//! All ranks of a group run each pass together, so a single rank that is slow, stalled or cut off delays
//! all of them. The pass time shows this at once, whatever the cause.

use crate::roll_forward::{GroupEpoch, RankPace};
use crate::switch::StepNumber;
use porthoist_core::UnixMillis;
use serde::{Deserialize, Serialize};

/// Weight of a new pass in the mean. A group that becomes slow is detected within two passes.
const PASS_WEIGHT: f64 = 0.5;

/// Reported pass time of a group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPass {
    /// Not known, for example because the process has seen no pass yet.
    #[default]
    Unknown,
    /// Milliseconds that a pass takes, or that the current one has already taken.
    Millis(u16),
    /// The group is not formed: one of its ranks is missing.
    Broken,
}

impl GroupPass {
    /// The pass time in milliseconds, if one is known.
    pub fn millis(self) -> Option<u16> {
        match self {
            Self::Millis(millis) => Some(millis),
            Self::Unknown | Self::Broken => None,
        }
    }
}

/// Weight of a new pass in the typical time, which must not follow the demand shifts, seconds apart.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Upper bound in milliseconds of one pass in the means. A pass that was blocked for seconds is
/// forgotten after five more passes.
const MAX_PASS_MILLIS: f64 = 1_000.0;

/// Observed state of a group.
#[derive(Debug, Clone, Copy)]
pub struct GroupSample {
    /// Epoch of its formation.
    pub epoch: GroupEpoch,
    /// Number of the last pass begun.
    pub step: StepNumber,
    /// Whether any rank has requests.
    pub busy: bool,
    /// Pace of its slowest rank, as the rank reports it.
    pub slowest: RankPace,
}

/// The last observed pass.
#[derive(Debug, Clone, Copy)]
struct ObservedPass {
    epoch: GroupEpoch,
    step: StepNumber,
    since: UnixMillis,
}

/// Measures the passes of one group.
#[derive(Debug, Clone, Default)]
pub struct PassTimer {
    last: Option<ObservedPass>,
    mean_millis: Option<f64>,
    /// Mean while no rank is slow.
    typical_millis: Option<f64>,
    slowest: RankPace,
}

impl PassTimer {
    /// Records an observation. A group without work runs no passes, so earlier measurements are
    /// discarded. Otherwise a group that stalled for 4 s and lost all its requests meanwhile would count
    /// as stalled forever.
    pub fn observe(&mut self, group: GroupSample, now: UnixMillis) {
        let GroupSample { epoch, step, busy, slowest } = group;
        self.slowest = slowest;
        if !busy {
            self.last = None;
            self.mean_millis = None;
            return;
        }
        let observed = ObservedPass { epoch, step, since: now };
        let Some(last) = self.last.filter(|last| last.epoch == epoch && last.step <= step) else {
            self.last = Some(observed);
            return;
        };
        if last.step == step {
            return;
        }
        let passes = f64::from(step.0 - last.step.0);
        self.add_measurement((now.since(last.since) as f64 / passes).min(MAX_PASS_MILLIS));
        self.last = Some(observed);
    }

    fn add_measurement(&mut self, millis: f64) {
        self.mean_millis = Some(smoothed(self.mean_millis, millis, PASS_WEIGHT));
        if self.slowest <= RankPace::USUAL {
            self.typical_millis = Some(smoothed(self.typical_millis, millis, TYPICAL_WEIGHT));
        }
    }

    /// Current pass time; the running pass counts once it takes longer than the mean. For a group
    /// without work, the typical time scaled by the pace of its slowest rank.
    pub fn pass(&self, now: UnixMillis) -> GroupPass {
        let expected = self.typical_millis.map(|typical| typical * self.slowest.factor());
        let Some(mean) = self.mean_millis.or(expected) else { return GroupPass::Unknown };
        let current_millis = self.last.map(|last| now.since(last.since) as f64);
        let millis = current_millis.map_or(mean, |age| age.max(mean));
        GroupPass::Millis(millis.min(f64::from(u16::MAX)) as u16)
    }
}

fn smoothed(known: Option<f64>, new: f64, weight: f64) -> f64 {
    known.map_or(new, |known| known + weight * (new - known))
}
