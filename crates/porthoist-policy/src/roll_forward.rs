//! Switches a rank group to another expert map by orders to its engines, which may be lost, duplicated, or executed
//! seconds late.
//!
//! An order without a response may still be executed, so nothing is undone: a switch only rolls forward. The first rank
//! holds a future pass; once its report confirms the hold, every rank is armed for that pass; once all reports confirm
//! that, the hold is released. Only the process next to the first rank drives switches. After a restart it may find a
//! hold of its previous run, and continues from the ranks' reports alone.

use crate::switch::{MapVersion, StepNumber};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Passes between the last one begun and the one that is held: far enough for the hold to arrive in time, near enough
/// to hold the group only briefly.
pub const LEAD_STEPS: u32 = 2;
/// Added to the highest known version after an engine refused one, because it has seen higher versions than it reports.
const VERSION_SKIP: u32 = 16;

/// Number of a group's formation. Each formation starts with the first map and nothing prepared, armed or held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupEpoch(pub u32);

impl fmt::Display for GroupEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of orders that an engine has begun to execute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderSequence(pub u64);

/// A map and the first pass that uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmedMap {
    /// The map.
    pub version: MapVersion,
    /// The pass.
    pub step: StepNumber,
}

/// State of a rank's engine, as far as it matters for switches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankView {
    /// Formation of the group.
    pub epoch: GroupEpoch,
    /// Number of orders begun.
    pub sequence: OrderSequence,
    /// The last pass begun.
    pub step: StepNumber,
    /// The map in use.
    pub map: MapVersion,
    /// The map whose experts are all loaded.
    pub prepared: Option<MapVersion>,
    /// The map that it is armed to switch to.
    pub armed: Option<ArmedMap>,
    /// The pass that it holds.
    pub held: Option<StepNumber>,
    /// Whether it is executing an order.
    pub busy: bool,
}

/// An order to one rank's engine. An engine in a different epoch refuses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Copy the experts that the map needs.
    Prepare {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The map.
        version: MapVersion,
        /// The engine refuses the order if it has begun a different number of orders.
        sequence: OrderSequence,
    },
    /// Switch to the map at the start of a pass.
    Arm {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The map and the pass.
        armed: ArmedMap,
    },
    /// Do not begin the pass.
    Hold {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The pass.
        step: StepNumber,
    },
    /// Begin the held pass.
    Go {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The pass.
        step: StepNumber,
    },
}

/// Rules of a switch; the model checker disables them one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollForwardRules {
    /// A prepare order names the number of orders begun.
    pub prepare_precondition: bool,
    /// Ranks are armed only after a report has confirmed the hold.
    pub read_back_hold: bool,
    /// The hold is released only after every rank's report has confirmed that it is armed.
    pub read_back_armed: bool,
    /// A hold is not released on the ground that no rank has reported to be armed.
    pub never_release_unarmed: bool,
    /// A driver continues from a hold that it finds.
    pub take_over_hold: bool,
    /// If one rank uses the map, all do, even if older views of the others do not show it.
    pub one_switched_means_all: bool,
    /// A new driver prepares nothing until holds of its predecessor can no longer take effect.
    pub wait_out_old_holds: bool,
}

impl RollForwardRules {
    /// All rules enabled.
    pub const SOUND: Self = Self {
        prepare_precondition: true,
        read_back_hold: true,
        read_back_armed: true,
        never_release_unarmed: true,
        take_over_hold: true,
        one_switched_means_all: true,
        wait_out_old_holds: true,
    };
}

/// Progress of a switch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SwitchPhase {
    Idle,
    Preparing { version: MapVersion, sequences: Vec<OrderSequence> },
    Holding { armed: ArmedMap },
}

/// Drives the switches of one group from the reports of all its ranks. The first rank must be read before the others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollForwardDriver {
    rules: RollForwardRules,
    epoch: Option<GroupEpoch>,
    /// The first rank's last pass when the driver first saw the epoch.
    first_step: StepNumber,
    phase: SwitchPhase,
    highest: MapVersion,
}

/// Orders, each with the index of its rank.
pub type RankOrders = Vec<(usize, EngineOrder)>;

impl RollForwardDriver {
    /// Creates a driver without knowledge of the group.
    pub fn new(rules: RollForwardRules) -> Self {
        Self {
            rules,
            epoch: None,
            first_step: StepNumber(0),
            phase: SwitchPhase::Idle,
            highest: MapVersion(0),
        }
    }

    /// Returns whether a switch may begin: all ranks use the same map and nothing of an earlier switch is pending.
    pub fn can_begin(&mut self, views: &[RankView]) -> bool {
        let Some(epoch) = common_epoch(views) else { return false };
        self.enter_epoch(epoch, views[0].step);
        let waited = views[0].step.0 >= self.first_step.0 + LEAD_STEPS || !self.rules.wait_out_old_holds;
        let nothing_pending = views.iter().all(|view| view.armed.is_none() && view.held.is_none());
        let same_map = views.iter().all(|view| view.map == views[0].map);
        self.phase == SwitchPhase::Idle && waited && nothing_pending && same_map
    }

    /// Begins a switch and returns its version, which is higher than all known ones. Requires [`Self::can_begin`].
    ///
    /// `fresh` is a version that no other run of the driver uses, for example from a clock. Otherwise a late order of an
    /// earlier run could prepare a different map under the same version.
    pub fn begin(&mut self, views: &[RankView], fresh: MapVersion) -> MapVersion {
        let reported = views.iter().flat_map(|view| [Some(view.map), view.prepared]).flatten().max();
        let known = self.highest.max(reported.unwrap_or_default());
        self.highest = MapVersion(known.0 + 1).max(fresh);
        let sequences = views.iter().map(|view| view.sequence).collect();
        self.phase = SwitchPhase::Preparing { version: self.highest, sequences };
        self.highest
    }

    /// Abandons a switch that is not yet prepared on all ranks. Its late orders cannot affect the next switch.
    pub fn abandon(&mut self) {
        if matches!(self.phase, SwitchPhase::Preparing { .. }) {
            self.phase = SwitchPhase::Idle;
        }
    }

    /// Handles a prepare order that an engine refused although it had begun no other order: the version was too low.
    pub fn version_refused(&mut self) {
        self.highest = MapVersion(self.highest.0 + VERSION_SKIP);
        self.abandon();
    }

    /// Returns the map being prepared or switched to.
    pub fn target(&self) -> Option<MapVersion> {
        match &self.phase {
            SwitchPhase::Idle => None,
            SwitchPhase::Preparing { version, .. } => Some(*version),
            SwitchPhase::Holding { armed } => Some(armed.version),
        }
    }

    /// Returns whether the group is held or about to be; reports should then be read without delay.
    pub fn holding(&self) -> bool {
        matches!(self.phase, SwitchPhase::Holding { .. })
    }

    /// Returns whether all ranks are armed and the group is not held: the switch takes effect without further orders.
    pub fn released(&self, views: &[RankView]) -> bool {
        let SwitchPhase::Holding { armed } = &self.phase else { return false };
        let fixed = |view: &RankView| view.armed == Some(*armed) || view.map == armed.version;
        views.iter().all(fixed) && views.first().is_some_and(|view| view.held.is_none())
    }

    /// Returns whether a rank already uses the new map; the views of all ranks should then be read.
    pub fn any_rank_switched(&self, views: &[RankView]) -> bool {
        self.target().is_some_and(|version| views.iter().any(|view| view.map == version))
    }

    /// Returns the next orders. Repeating them is harmless. While the driver is holding, some views may be older than
    /// others.
    pub fn next(&mut self, views: &[RankView]) -> RankOrders {
        let Some(epoch) = common_epoch(views) else { return Vec::new() };
        self.enter_epoch(epoch, views[0].step);
        if let Some(step) = views[0].held
            && (self.rules.take_over_hold || self.phase != SwitchPhase::Idle)
        {
            return self.roll_forward(epoch, step, views);
        }
        match &self.phase {
            SwitchPhase::Idle => Vec::new(),
            SwitchPhase::Preparing { .. } => self.prepare(epoch, views),
            SwitchPhase::Holding { armed } => self.hold(epoch, *armed, views),
        }
    }

    fn enter_epoch(&mut self, epoch: GroupEpoch, step: StepNumber) {
        if self.epoch != Some(epoch) {
            self.epoch = Some(epoch);
            self.first_step = step;
            self.phase = SwitchPhase::Idle;
        }
    }

    fn prepare(&mut self, epoch: GroupEpoch, views: &[RankView]) -> RankOrders {
        let SwitchPhase::Preparing { version, sequences } = &mut self.phase else { return Vec::new() };
        let version = *version;
        let mut orders = Vec::new();
        for (rank, view) in views.iter().enumerate() {
            if view.prepared == Some(version) || (view.busy && view.sequence != sequences[rank]) {
                continue;
            }
            // A prepare that names an older sequence can no longer be executed, so it is safe to send another.
            sequences[rank] = view.sequence;
            orders.push((rank, EngineOrder::Prepare { epoch, version, sequence: view.sequence }));
        }
        let ready = views.iter().all(|view| view.prepared == Some(version));
        if !ready {
            return orders;
        }
        let armed = ArmedMap { version, step: next_hold_step(views) };
        self.phase = SwitchPhase::Holding { armed };
        self.hold(epoch, armed, views)
    }

    /// Orders the hold, for a later pass if the chosen one has already begun.
    fn hold(&mut self, epoch: GroupEpoch, armed: ArmedMap, views: &[RankView]) -> RankOrders {
        if views.iter().all(|view| view.map == armed.version) {
            self.phase = SwitchPhase::Idle;
            return Vec::new();
        }
        if self.rules.one_switched_means_all && views.iter().any(|view| view.map == armed.version) {
            // All ranks switch in the same pass, so the other views are outdated.
            return Vec::new();
        }
        if views.iter().all(|view| view.armed == Some(armed) || view.map == armed.version) {
            // The hold was released and the pass is about to begin.
            return Vec::new();
        }
        let mut armed = armed;
        if views[0].step >= armed.step {
            armed.step = next_hold_step(views);
            self.phase = SwitchPhase::Holding { armed };
        }
        let mut orders = vec![(0, EngineOrder::Hold { epoch, step: armed.step })];
        if !self.rules.read_back_hold {
            orders.extend((0..views.len()).map(|rank| (rank, EngineOrder::Arm { epoch, armed })));
        }
        orders
    }

    /// Arms every rank for the held pass, and releases the hold once all are armed.
    fn roll_forward(&mut self, epoch: GroupEpoch, step: StepNumber, views: &[RankView]) -> RankOrders {
        let release = vec![(0, EngineOrder::Go { epoch, step })];
        let armed = views.iter().filter_map(|view| view.armed).find(|armed| armed.step == step);
        let prepared =
            views[0].prepared.filter(|version| views.iter().all(|view| view.prepared == Some(*version)));
        let version = match (&self.phase, armed) {
            (_, Some(armed)) => armed.version,
            (SwitchPhase::Preparing { version, .. }, None) if prepared != Some(*version) => {
                return self.prepare(epoch, views);
            }
            (_, None) => match prepared {
                Some(version) => version,
                // The rules never lead to this state, so no order is known to be safe.
                None => return Vec::new(),
            },
        };
        let armed = ArmedMap { version, step };
        self.phase = SwitchPhase::Holding { armed };
        let unarmed = views.iter().enumerate().filter(|(_rank, view)| view.armed != Some(armed));
        let orders: RankOrders =
            unarmed.map(|(rank, _view)| (rank, EngineOrder::Arm { epoch, armed })).collect();
        let tolerated = usize::from(!self.rules.read_back_armed);
        if orders.len() <= tolerated {
            return release;
        }
        let release_early = orders.len() == views.len() && !self.rules.never_release_unarmed;
        if release_early { orders.into_iter().chain(release).collect() } else { orders }
    }
}

/// Returns the epoch if all ranks are in the same one.
fn common_epoch(views: &[RankView]) -> Option<GroupEpoch> {
    let epoch = views.first()?.epoch;
    views.iter().all(|view| view.epoch == epoch).then_some(epoch)
}

fn next_hold_step(views: &[RankView]) -> StepNumber {
    let newest = views.iter().map(|view| view.step.0).max().unwrap_or_default();
    StepNumber(newest + LEAD_STEPS)
}

/// Slowdown of a rank: the duration of its work in thousandths of the usual duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankPace(pub u32);

impl RankPace {
    /// Pace of a healthy rank.
    pub const USUAL: Self = Self(1_000);

    /// Converts a slowdown factor; NaN and factors below 1 count as 1.
    pub fn from_factor(factor: f64) -> Self {
        Self((factor * 1_000.0) as u32).max(Self::USUAL)
    }

    /// Returns the slowdown as a factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl Default for RankPace {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for RankPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.factor())
    }
}

/// Report of an engine on its rank and group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankState {
    /// The part that matters for switches.
    pub view: RankView,
    /// Name of the group.
    pub group: String,
    /// Index of the rank in the group, from 0.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Whether the group runs.
    pub open: bool,
    /// Number of requests that run or wait at the rank.
    pub requests: u32,
    /// Slowdown of the rank.
    pub pace: RankPace,
}
