//! How long the passes of a group take, from the numbers of passes begun that its first rank shows.
//!
//! All ranks of a group run each pass together, so that one rank which is slow, held or cut off delays all of them. The
//! time of a pass tells this at once and whatever the cause.

use crate::roll_forward::{GroupEpoch, RankPace};
use crate::switch::StepNumber;
use porthoist_core::UnixMillis;
use serde::{Deserialize, Serialize};

/// Weight of a newly seen pass in the mean: a group that turns slow shows it within two passes.
const PASS_WEIGHT: f64 = 0.5;

/// What is told of a group's passes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPass {
    /// Nothing, for example by a process that has seen no pass yet.
    #[default]
    Unknown,
    /// A pass takes so many milliseconds, or has taken them already and goes on.
    Millis(u16),
    /// The group is not formed: a rank of it is missing.
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

/// Weight of a newly seen pass in the usual time, which outlasts the shifts of demand, seconds apart.
const USUAL_WEIGHT: f64 = 0.05;
/// Most that one pass counts in the means, in milliseconds: one that was held for seconds is forgotten within five.
const MOST_PASS_MILLIS: f64 = 1_000.0;

/// What a reading of a group showed.
#[derive(Debug, Clone, Copy)]
pub struct GroupSample {
    /// Its formation.
    pub epoch: GroupEpoch,
    /// The last pass begun.
    pub step: StepNumber,
    /// Whether any rank has requests.
    pub busy: bool,
    /// How slow the slowest rank says that it is.
    pub slowest: RankPace,
}

/// The pass that was last seen.
#[derive(Debug, Clone, Copy)]
struct SeenPass {
    epoch: GroupEpoch,
    step: StepNumber,
    since: UnixMillis,
}

/// Measures the passes of one group.
#[derive(Debug, Clone, Default)]
pub struct PassTimer {
    last: Option<SeenPass>,
    mean_millis: Option<f64>,
    /// Mean while no rank is slow.
    usual_millis: Option<f64>,
    slowest: RankPace,
}

impl PassTimer {
    /// Takes a reading. A group without work makes no passes: what was measured before says nothing of it any more.
    /// Without that, a group that was held for 4 s and left by all requests meanwhile was taken to stand for ever.
    pub fn observe(&mut self, group: GroupSample, now: UnixMillis) {
        let GroupSample { epoch, step, busy: working, slowest } = group;
        self.slowest = slowest;
        if !working {
            self.last = None;
            self.mean_millis = None;
            return;
        }
        let seen = SeenPass { epoch, step, since: now };
        let Some(last) = self.last.filter(|last| last.epoch == epoch && last.step <= step) else {
            self.last = Some(seen);
            return;
        };
        if last.step == step {
            return;
        }
        let passes = f64::from(step.0 - last.step.0);
        self.measured((now.since(last.since) as f64 / passes).min(MOST_PASS_MILLIS));
        self.last = Some(seen);
    }

    fn measured(&mut self, millis: f64) {
        self.mean_millis = Some(smoothed(self.mean_millis, millis, PASS_WEIGHT));
        if self.slowest <= RankPace::USUAL {
            self.usual_millis = Some(smoothed(self.usual_millis, millis, USUAL_WEIGHT));
        }
    }

    /// How long a pass takes; the one under way counts once it has taken longer. Of a group without work it is what its
    /// slowest rank lets expect.
    pub fn pass(&self, now: UnixMillis) -> GroupPass {
        let expected = self.usual_millis.map(|usual| usual * self.slowest.factor());
        let Some(mean) = self.mean_millis.or(expected) else { return GroupPass::Unknown };
        let under_way = self.last.map(|last| now.since(last.since) as f64);
        let millis = under_way.map_or(mean, |age| age.max(mean));
        GroupPass::Millis(millis.min(f64::from(u16::MAX)) as u16)
    }
}

fn smoothed(known: Option<f64>, new: f64, weight: f64) -> f64 {
    known.map_or(new, |known| known + weight * (new - known))
}
