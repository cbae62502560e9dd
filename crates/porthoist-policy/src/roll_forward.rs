//! The switch of a rank group to another expert map where the engines themselves hold the group, and orders may be
//! lost, doubled, or carried out seconds late.
//!
//! Nothing is ever undone, since an order without an answer may still be carried out: the switch only rolls forward.
//! The first rank holds a coming pass; the hold is read back; every rank is armed for that pass; all are read back as
//! armed; then the hold is released. Only the process beside the first rank drives switches. Its later life may find a
//! hold of an earlier one and goes on from the ranks' reports alone.

use crate::switch::{MapVersion, StepNumber};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A pass so many after the last one begun is held: far enough for the hold to be in time, and near enough that a
/// group is not held for long.
pub const LEAD_STEPS: u32 = 2;
/// Added to the highest version known after an engine refused one: it has had higher ones than it shows.
const VERSION_SKIP: u32 = 16;

/// One formation of a group. A new one begins with the first map and nothing prepared, armed or held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupEpoch(pub u32);

impl fmt::Display for GroupEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of orders that an engine has begun.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderSequence(pub u64);

/// A map and the pass that first uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmedMap {
    /// The map.
    pub version: MapVersion,
    /// The pass.
    pub step: StepNumber,
}

/// What a rank's engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankView {
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// Orders begun.
    pub sequence: OrderSequence,
    /// The last pass begun.
    pub step: StepNumber,
    /// The map in use.
    pub map: MapVersion,
    /// The map whose experts are all there.
    pub prepared: Option<MapVersion>,
    /// The map that it switches to.
    pub armed: Option<ArmedMap>,
    /// The pass that it holds.
    pub held: Option<StepNumber>,
    /// Whether an order is being carried out.
    pub busy: bool,
}

/// An order to one rank's engine. An engine in another epoch refuses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Copy what the map needs.
    Prepare {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The map.
        version: MapVersion,
        /// Refused if the engine has begun another number of orders.
        sequence: OrderSequence,
    },
    /// Switch to the map as a pass begins.
    Arm {
        /// The group's formation.
        epoch: GroupEpoch,
        /// The map and the pass.
        armed: ArmedMap,
    },
    /// Do not begin a pass.
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

/// Rules that the model checker breaks one at a time.
#[expect(clippy::struct_excessive_bools, reason = "each flag is one rule that the checker breaks alone")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollForwardRules {
    /// A prepare names the number of orders begun.
    pub prepare_precondition: bool,
    /// Ranks are armed only when the hold was read back.
    pub read_back_hold: bool,
    /// The hold is released only when every rank was read back as armed.
    pub read_back_armed: bool,
    /// A hold is never released because no rank was seen armed.
    pub never_give_up: bool,
    /// A driver goes on with a hold that it finds.
    pub take_over_hold: bool,
    /// A rank that uses the map shows that all do, however old the views of the others are.
    pub one_switched_is_all: bool,
    /// A new driver prepares nothing before a hold of its forerunner can't come into force any more.
    pub wait_out_old_holds: bool,
}

impl RollForwardRules {
    /// The rules in force.
    pub const SOUND: Self = Self {
        prepare_precondition: true,
        read_back_hold: true,
        read_back_armed: true,
        never_give_up: true,
        take_over_hold: true,
        one_switched_is_all: true,
        wait_out_old_holds: true,
    };
}

/// How far a switch is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SwitchPhase {
    Rest,
    Preparing { version: MapVersion, sequences: Vec<OrderSequence> },
    Holding { armed: ArmedMap },
}

/// Drives the switches of one group from the reports of all its ranks, the first rank's read before the others'.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollForwardDriver {
    rules: RollForwardRules,
    epoch: Option<GroupEpoch>,
    first_step: StepNumber,
    phase: SwitchPhase,
    highest: MapVersion,
}

/// Orders with the index of the rank that gets each.
pub type RankOrders = Vec<(usize, EngineOrder)>;

impl RollForwardDriver {
    /// A driver that knows nothing yet.
    pub fn new(rules: RollForwardRules) -> Self {
        Self {
            rules,
            epoch: None,
            first_step: StepNumber(0),
            phase: SwitchPhase::Rest,
            highest: MapVersion(0),
        }
    }

    /// Whether a new map may be prepared: the ranks are alike, and nothing of an earlier switch is left.
    pub fn can_begin(&mut self, views: &[RankView]) -> bool {
        let Some(epoch) = common_epoch(views) else { return false };
        self.enter(epoch, views[0].step);
        let waited = views[0].step.0 >= self.first_step.0 + LEAD_STEPS || !self.rules.wait_out_old_holds;
        let quiet = views.iter().all(|view| view.armed.is_none() && view.held.is_none());
        let alike = views.iter().all(|view| view.map == views[0].map);
        self.phase == SwitchPhase::Rest && waited && quiet && alike
    }

    /// Begins a switch; its version is higher than all that are known. Only at rest.
    ///
    /// `fresh` is a version that no other life of the driver uses, for example from a clock: a late order of an
    /// earlier life must not prepare another map under the same version.
    pub fn begin(&mut self, views: &[RankView], fresh: MapVersion) -> MapVersion {
        let shown = views.iter().flat_map(|view| [Some(view.map), view.prepared]).flatten().max();
        let known = self.highest.max(shown.unwrap_or_default());
        self.highest = MapVersion(known.0 + 1).max(fresh);
        let sequences = views.iter().map(|view| view.sequence).collect();
        self.phase = SwitchPhase::Preparing { version: self.highest, sequences };
        self.highest
    }

    /// Drops a switch that is not prepared everywhere; what was sent of it can't harm the next.
    pub fn abandon(&mut self) {
        if matches!(self.phase, SwitchPhase::Preparing { .. }) {
            self.phase = SwitchPhase::Rest;
        }
    }

    /// Takes that an engine refused a prepare although nothing else was begun: the version was too low.
    pub fn version_refused(&mut self) {
        self.highest = MapVersion(self.highest.0 + VERSION_SKIP);
        self.abandon();
    }

    /// The map being prepared or switched to.
    pub fn target(&self) -> Option<MapVersion> {
        match &self.phase {
            SwitchPhase::Rest => None,
            SwitchPhase::Preparing { version, .. } => Some(*version),
            SwitchPhase::Holding { armed } => Some(armed.version),
        }
    }

    /// Whether the group is, or is about to be, held: then reports are worth reading at once.
    pub fn holding(&self) -> bool {
        matches!(self.phase, SwitchPhase::Holding { .. })
    }

    /// Whether a rank already uses the map that is switched to: then views of all are worth reading.
    pub fn any_rank_switched(&self, views: &[RankView]) -> bool {
        self.target().is_some_and(|version| views.iter().any(|view| view.map == version))
    }

    /// The next orders. Repeating them is harmless, and views may be older than others once the driver is holding.
    pub fn next(&mut self, views: &[RankView]) -> RankOrders {
        let Some(epoch) = common_epoch(views) else { return Vec::new() };
        self.enter(epoch, views[0].step);
        if let Some(step) = views[0].held
            && (self.rules.take_over_hold || self.phase != SwitchPhase::Rest)
        {
            return self.roll_forward(epoch, step, views);
        }
        match &self.phase {
            SwitchPhase::Rest => Vec::new(),
            SwitchPhase::Preparing { .. } => self.prepare(epoch, views),
            SwitchPhase::Holding { armed } => self.hold(epoch, *armed, views),
        }
    }

    fn enter(&mut self, epoch: GroupEpoch, step: StepNumber) {
        if self.epoch != Some(epoch) {
            self.epoch = Some(epoch);
            self.first_step = step;
            self.phase = SwitchPhase::Rest;
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
            // Another order was begun since: what was sent before can't be carried out any more.
            sequences[rank] = view.sequence;
            orders.push((rank, EngineOrder::Prepare { epoch, version, sequence: view.sequence }));
        }
        let ready = views.iter().all(|view| view.prepared == Some(version));
        if !ready {
            return orders;
        }
        let armed = ArmedMap { version, step: coming(views) };
        self.phase = SwitchPhase::Holding { armed };
        self.hold(epoch, armed, views)
    }

    /// Holds the pass, anew if it has begun meanwhile.
    fn hold(&mut self, epoch: GroupEpoch, armed: ArmedMap, views: &[RankView]) -> RankOrders {
        if views.iter().all(|view| view.map == armed.version) {
            self.phase = SwitchPhase::Rest;
            return Vec::new();
        }
        if self.rules.one_switched_is_all && views.iter().any(|view| view.map == armed.version) {
            // All switched with the same pass; the other views are older.
            return Vec::new();
        }
        if views.iter().all(|view| view.armed == Some(armed) || view.map == armed.version) {
            // Released; the pass is about to begin.
            return Vec::new();
        }
        let mut armed = armed;
        if views[0].step >= armed.step {
            armed.step = coming(views);
            self.phase = SwitchPhase::Holding { armed };
        }
        let mut orders = vec![(0, EngineOrder::Hold { epoch, step: armed.step })];
        if !self.rules.read_back_hold {
            orders.extend((0..views.len()).map(|rank| (rank, EngineOrder::Arm { epoch, armed })));
        }
        orders
    }

    /// Arms every rank for the held pass, and releases it when all are armed.
    fn roll_forward(&mut self, epoch: GroupEpoch, step: StepNumber, views: &[RankView]) -> RankOrders {
        let go = vec![(0, EngineOrder::Go { epoch, step })];
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
                // The rules lead to no such state. Nothing is sent that might make it worse.
                None => return Vec::new(),
            },
        };
        let armed = ArmedMap { version, step };
        self.phase = SwitchPhase::Holding { armed };
        let missing = views.iter().enumerate().filter(|(_rank, view)| view.armed != Some(armed));
        let orders: RankOrders =
            missing.map(|(rank, _view)| (rank, EngineOrder::Arm { epoch, armed })).collect();
        let tolerated = usize::from(!self.rules.read_back_armed);
        if orders.len() <= tolerated {
            return go;
        }
        let impatient = orders.len() == views.len() && !self.rules.never_give_up;
        if impatient { orders.into_iter().chain(go).collect() } else { orders }
    }
}

/// The epoch that all ranks are in.
fn common_epoch(views: &[RankView]) -> Option<GroupEpoch> {
    let epoch = views.first()?.epoch;
    views.iter().all(|view| view.epoch == epoch).then_some(epoch)
}

fn coming(views: &[RankView]) -> StepNumber {
    let newest = views.iter().map(|view| view.step.0).max().unwrap_or_default();
    StepNumber(newest + LEAD_STEPS)
}

/// How many times longer than usual a rank's work takes, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankPace(pub u32);

impl RankPace {
    /// A healthy rank's.
    pub const USUAL: Self = Self(1_000);

    /// From a factor; what is no number or less than usual counts as usual.
    pub fn from_factor(factor: f64) -> Self {
        Self((factor * 1_000.0) as u32).max(Self::USUAL)
    }

    /// The factor.
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

/// What an engine says of its rank and group beside the switch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankState {
    /// What matters for switches.
    pub view: RankView,
    /// Name of the group.
    pub group: String,
    /// Place in the group, from 0.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Whether the group runs.
    pub open: bool,
    /// Requests that run or wait at the rank.
    pub requests: u32,
    /// How slow it is.
    pub pace: RankPace,
}
