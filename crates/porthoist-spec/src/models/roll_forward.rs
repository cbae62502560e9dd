//! Model of a group whose engines hold, arm and switch by orders that may be lost, duplicated or delayed without bound.
//!
//! The driver is the daemon's own. It reads the ranks one by one while the group continues to run. During a switch it also
//! acts on the report of a single rank, as in a response to an order, together with older reports of the others. It may
//! crash at any time; the orders of all its runs stay in transit forever.
//!
//! Ranks other than the first may be reached through a relay, which reads them in any order, may answer without some of
//! them, and may restart at any time. Orders through the relay are lost, duplicated, delayed and reordered like others.

use crate::search::{EventVisitor, ProtocolModel, SearchReport};
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankView, RollForwardDriver, RollForwardRules,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Bounds and rules of the model.
#[derive(Debug, Clone, Copy)]
pub struct RollForwardModel {
    /// Rules of the driver.
    pub rules: RollForwardRules,
    /// Whether engines check the epoch of an order.
    pub epochs_checked: bool,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Maximum number of passes.
    pub steps: u32,
    /// Maximum number of planned maps.
    pub plans: u8,
    /// Maximum number of driver restarts.
    pub restarts: u8,
    /// Maximum number of new formations.
    pub formations: u8,
    /// Whether the driver acts on reports of single ranks during a switch.
    pub single_reads: bool,
    /// Behaviour of the relay to the other ranks; `None` if each rank is reached directly.
    pub relay: Option<RelayRules>,
}

/// Behaviour of a relay, and rules that the model checker disables one at a time.
#[derive(Debug, Clone, Copy)]
pub struct RelayRules {
    /// An earlier answer may be repeated for a later query.
    pub answers_repeat: bool,
    /// States in an answer contain their formation, and the map and pass that the rank is armed for.
    pub states_verbatim: bool,
    /// Each state in an answer is attributed to its own rank.
    pub ranks_named: bool,
}

impl RelayRules {
    /// All rules enabled.
    pub const SOUND: Self = Self { answers_repeat: false, states_verbatim: true, ranks_named: true };
}

/// State of one rank's engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EngineRank {
    sequence: OrderSequence,
    map: MapVersion,
    highest: MapVersion,
    prepared: Option<MapVersion>,
    armed: Option<ArmedMap>,
    held: Option<StepNumber>,
}

impl EngineRank {
    fn new() -> Self {
        Self {
            sequence: OrderSequence(0),
            map: MapVersion(0),
            highest: MapVersion(0),
            prepared: None,
            armed: None,
            held: None,
        }
    }

    /// Executes or refuses an order.
    fn order(&mut self, order: EngineOrder, step: StepNumber, precondition: bool) {
        match order {
            EngineOrder::Prepare { version, sequence, .. } => {
                let sequence_matches = sequence == self.sequence || !precondition;
                if sequence_matches && version > self.highest && self.armed.is_none() {
                    self.highest = version;
                    self.prepared = Some(version);
                    // Real engines also count the other orders, so that more late prepares fail.
                    self.sequence.0 += 1;
                }
            }
            EngineOrder::Arm { armed, .. } if self.prepared == Some(armed.version) && armed.step > step => {
                self.armed = Some(armed);
            }
            EngineOrder::Hold { step: pass, .. } if self.held.is_none() && pass > step => {
                self.held = Some(pass);
            }
            EngineOrder::Go { step: pass, .. } if self.held == Some(pass) => self.held = None,
            EngineOrder::Arm { .. } | EngineOrder::Hold { .. } | EngineOrder::Go { .. } => {}
        }
    }

    fn begin_pass(&mut self, step: StepNumber) {
        if let Some(armed) = self.armed
            && armed.step == step
        {
            self.map = armed.version;
            self.armed = None;
            self.prepared = None;
        }
    }
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollForwardState {
    ranks: Vec<EngineRank>,
    epoch: GroupEpoch,
    step: StepNumber,
    driver: RollForwardDriver,
    /// Reports that the driver has read for the current round, by rank.
    reports: Vec<RankView>,
    /// Last report of each rank during a switch; otherwise empty.
    last_reports: Vec<RankView>,
    /// Reports that the relay has read for the current query, by rank without the first one.
    relayed: Vec<Option<RankView>>,
    /// The last complete answer of the relay in which all its ranks are armed, if answers may be repeated.
    last_answer: Vec<RankView>,
    orders: BTreeSet<(usize, EngineOrder)>,
    plans: u8,
    restarts: u8,
    formations: u8,
}

impl RollForwardState {
    fn view(&self, rank: usize) -> RankView {
        let engine = &self.ranks[rank];
        RankView {
            epoch: self.epoch,
            sequence: engine.sequence,
            step: self.step,
            map: engine.map,
            prepared: engine.prepared,
            armed: engine.armed,
            held: engine.held,
            busy: false,
        }
    }

    fn clear_unneeded_reports(&mut self, relayed: bool) {
        // With a relay, ranks may be missing in any phase of a switch.
        let needed = if relayed { self.driver.target().is_some() } else { self.driver.holding() };
        if !needed {
            self.last_reports.clear();
        }
    }

    fn held(&self) -> bool {
        self.ranks.iter().any(|rank| rank.held == Some(StepNumber(self.step.0 + 1)))
    }
}

/// Completes a rank's state from an answer that contains only whether the rank is armed, not for which map and pass.
fn assume_current_switch(view: &mut RankView, first: &RankView, target: Option<MapVersion>) {
    let (Some(version), Some(step), Some(_armed)) = (target, first.held, view.armed) else { return };
    view.epoch = first.epoch;
    view.prepared = Some(version);
    view.armed = Some(ArmedMap { version, step });
}

fn epoch_of(order: EngineOrder) -> GroupEpoch {
    match order {
        EngineOrder::Prepare { epoch, .. }
        | EngineOrder::Arm { epoch, .. }
        | EngineOrder::Hold { epoch, .. }
        | EngineOrder::Go { epoch, .. } => epoch,
    }
}

impl RollForwardModel {
    /// Returns a version from a clock that is set back when the driver restarts.
    fn version_from_clock(state: &RollForwardState) -> MapVersion {
        let clock = 10 * u32::from(state.plans);
        MapVersion(if state.restarts == 0 { clock } else { 0 })
    }

    fn driver_events(&self, state: &RollForwardState, visit: EventVisitor<'_, RollForwardState>) {
        if let Some(rules) = self.relay
            && state.reports.len() < self.ranks
        {
            self.relay_events(rules, state, visit);
        } else if state.reports.len() < self.ranks {
            let mut next = state.clone();
            let rank = next.reports.len();
            next.reports.push(state.view(rank));
            visit(format_args!("the driver reads rank {rank}"), next);
        } else {
            let mut next = state.clone();
            let views = std::mem::take(&mut next.reports);
            let can_begin = next.driver.can_begin(&views);
            if can_begin && next.plans < self.plans {
                let mut planning = next.clone();
                planning.plans += 1;
                planning.driver.begin(&views, Self::version_from_clock(&planning));
                planning.orders.extend(planning.driver.next(&views));
                visit(format_args!("the driver begins a switch"), planning);
            }
            let mut dropped = next.clone();
            dropped.driver.abandon();
            dropped.last_reports.clear();
            if dropped.driver != next.driver {
                visit(format_args!("the driver abandons its switch"), dropped);
            }
            next.orders.extend(next.driver.next(&views));
            if self.single_reads || self.relay.is_some() {
                next.last_reports = views;
                next.clear_unneeded_reports(self.relay.is_some());
            }
            visit(format_args!("the driver acts"), next);
        }
        for rank in 0..if self.single_reads { state.last_reports.len() } else { 0 } {
            let mut next = state.clone();
            next.last_reports[rank] = state.view(rank);
            next.orders.extend(next.driver.next(&next.last_reports));
            next.clear_unneeded_reports(false);
            visit(format_args!("the driver reads rank {rank} alone and acts"), next);
        }
        if state.restarts < self.restarts {
            let mut next = state.clone();
            next.restarts += 1;
            next.driver = RollForwardDriver::new(self.rules);
            next.reports.clear();
            next.last_reports.clear();
            next.relayed.clear();
            visit(format_args!("the driver restarts"), next);
        }
    }

    /// Events of one query to the ranks: the driver reads the first, the relay reads the others.
    fn relay_events(
        &self,
        rules: RelayRules,
        state: &RollForwardState,
        visit: EventVisitor<'_, RollForwardState>,
    ) {
        if state.reports.is_empty() {
            let mut next = state.clone();
            next.reports.push(state.view(0));
            next.relayed = vec![None; self.ranks - 1];
            visit(format_args!("the driver reads rank 0 and asks the relay"), next);
            return;
        }
        for (index, read) in state.relayed.iter().enumerate() {
            if read.is_none() {
                let mut next = state.clone();
                next.relayed[index] = Some(state.view(index + 1));
                visit(format_args!("the relay reads rank {}", index + 1), next);
            }
        }
        let complete: Option<Vec<RankView>> = state.relayed.iter().copied().collect();
        if let Some(views) = complete {
            visit(format_args!("the relay answers"), self.relay_answered(state, views));
        } else {
            self.partial_answer(state, visit);
        }
        if rules.answers_repeat && !state.last_answer.is_empty() {
            let mut views = state.last_answer.clone();
            if !rules.states_verbatim {
                for view in &mut views {
                    assume_current_switch(view, &state.reports[0], state.driver.target());
                }
            }
            visit(format_args!("the relay's last answer is repeated"), self.relay_answered(state, views));
        }
        if !rules.ranks_named
            && let Some(first) = state.relayed[0]
        {
            let views = vec![first; self.ranks - 1];
            visit(format_args!("the relay answers with rank 1 for all"), self.relay_answered(state, views));
        }
        let mut lost = state.clone();
        lost.reports.clear();
        lost.relayed.clear();
        visit(format_args!("the relay restarts and its answer is lost"), lost);
    }

    fn relay_answered(&self, state: &RollForwardState, views: Vec<RankView>) -> RollForwardState {
        let mut next = state.clone();
        next.relayed.clear();
        // Only an answer with armed ranks can mislead the driver into a release.
        let armed = views.iter().all(|view| view.armed.is_some());
        if self.relay.is_some_and(|rules| rules.answers_repeat) && armed {
            next.last_answer.clone_from(&views);
        }
        next.reports.extend(views);
        next
    }

    /// The relay answers without the ranks that it has not read. The driver keeps its last reports of these, and sends them
    /// no prepare orders.
    fn partial_answer(&self, state: &RollForwardState, visit: EventVisitor<'_, RollForwardState>) {
        let mut next = state.clone();
        let first = next.reports.remove(0);
        let read = std::mem::take(&mut next.relayed);
        if next.last_reports.len() == self.ranks {
            next.last_reports[0] = first;
            for (view, read) in next.last_reports[1..].iter_mut().zip(&read) {
                *view = read.unwrap_or(*view);
            }
            let was_read = |rank: usize| rank == 0 || read[rank - 1].is_some();
            let orders = next.driver.next(&next.last_reports);
            next.orders.extend(
                orders
                    .into_iter()
                    .filter(|(rank, order)| was_read(*rank) || !matches!(order, EngineOrder::Prepare { .. })),
            );
            next.clear_unneeded_reports(true);
        }
        visit(format_args!("the relay answers partially and the driver acts"), next);
    }

    /// Returns whether an engine accepts an order as one of the current formation.
    fn accepts(&self, order: EngineOrder, epoch: GroupEpoch) -> bool {
        !self.epochs_checked || epoch_of(order) == epoch
    }

    fn group_events(&self, state: &RollForwardState, visit: EventVisitor<'_, RollForwardState>) {
        for &(rank, order) in &state.orders {
            if !self.accepts(order, state.epoch) {
                continue;
            }
            let mut next = state.clone();
            next.ranks[rank].order(order, state.step, self.rules.prepare_precondition);
            visit(format_args!("rank {rank} gets {order:?}"), next);
        }
        if state.step.0 < self.steps && !state.held() {
            let mut next = state.clone();
            next.step.0 += 1;
            for rank in &mut next.ranks {
                rank.begin_pass(next.step);
            }
            visit(format_args!("pass {} begins", state.step.0 + 1), next);
        }
        if state.formations < self.formations {
            for crashed in 0..self.ranks {
                let mut next = state.clone();
                next.formations += 1;
                next.epoch.0 += 1;
                for (rank, engine) in next.ranks.iter_mut().enumerate() {
                    // All ranks restart their order count; only the crashed one loses the versions that it has seen.
                    let highest = if rank == crashed { MapVersion(0) } else { engine.highest };
                    *engine = EngineRank { highest, ..EngineRank::new() };
                }
                visit(format_args!("rank {crashed} crashes and the group forms again"), next);
            }
        }
    }
}

impl ProtocolModel for RollForwardModel {
    type State = RollForwardState;

    fn initial(&self) -> RollForwardState {
        RollForwardState {
            ranks: vec![EngineRank::new(); self.ranks],
            epoch: GroupEpoch(1),
            step: StepNumber(0),
            driver: RollForwardDriver::new(self.rules),
            reports: Vec::new(),
            last_reports: Vec::new(),
            relayed: Vec::new(),
            last_answer: Vec::new(),
            orders: BTreeSet::new(),
            plans: 0,
            restarts: 0,
            formations: 0,
        }
    }

    fn successors(&self, state: &RollForwardState, visit: EventVisitor<'_, RollForwardState>) {
        self.driver_events(state, visit);
        self.group_events(state, visit);
    }

    fn violation(&self, state: &RollForwardState) -> Option<String> {
        let map = state.ranks[0].map;
        let mixed = state.ranks.iter().any(|rank| rank.map != map);
        mixed.then(|| format!("two maps are used in step {}", state.step.0))
    }

    /// Removes orders that no longer have an effect: those of earlier epochs and of passes that have begun.
    fn normalize(&self, state: &mut RollForwardState) {
        let (epoch, step) = (state.epoch, state.step);
        let ranks = state.ranks.clone();
        // Without epoch checks, a rank that crashes may later accept an order that it refuses now.
        let settled = self.epochs_checked || state.formations >= self.formations;
        state.orders.retain(|(rank, order)| {
            if !self.accepts(*order, epoch) {
                return false;
            }
            match order {
                EngineOrder::Prepare { version, sequence, .. } => {
                    let late = self.rules.prepare_precondition && *sequence < ranks[*rank].sequence;
                    !settled || (*version > ranks[*rank].highest && !late)
                }
                EngineOrder::Arm { armed, .. } => armed.step > step,
                EngineOrder::Hold { step: pass, .. } | EngineOrder::Go { step: pass, .. } => *pass > step,
            }
        });
    }
}

/// Searches for a reachable state in which the group is held and from which it can never continue.
pub fn search_held(model: &RollForwardModel, limit: usize) -> SearchReport {
    let Some((states, predecessors, not_held)) = explore(model, limit) else {
        return SearchReport { states: limit, depth: 0, counterexample: None, complete: false };
    };
    let count = states.len();
    let stuck = stuck_state(states, &predecessors, not_held);
    let counterexample = stuck.map(|state| ("the group stays held".to_owned(), vec![format!("{state:?}")]));
    SearchReport { states: count, depth: 0, counterexample, complete: true }
}

fn stuck_state(
    states: Vec<RollForwardState>,
    predecessors: &[Vec<usize>],
    not_held: Vec<usize>,
) -> Option<RollForwardState> {
    let mut can_continue: HashSet<usize> = not_held.iter().copied().collect();
    let mut pending: Vec<usize> = not_held;
    while let Some(state) = pending.pop() {
        for parent in &predecessors[state] {
            if can_continue.insert(*parent) {
                pending.push(*parent);
            }
        }
    }
    states
        .into_iter()
        .enumerate()
        .find(|(index, _state)| !can_continue.contains(index))
        .map(|(_index, state)| state)
}

/// All states, the predecessors of each, and the states in which the group is not held.
type ExploredStates = (Vec<RollForwardState>, Vec<Vec<usize>>, Vec<usize>);

/// Visits every state, or returns `None` if there are more than `limit`.
fn explore(model: &RollForwardModel, limit: usize) -> Option<ExploredStates> {
    let mut numbers: HashMap<RollForwardState, usize> = HashMap::new();
    let (mut states, mut predecessors, mut not_held) = (Vec::new(), Vec::new(), Vec::new());
    let initial = model.initial();
    numbers.insert(initial.clone(), 0);
    states.push(initial);
    predecessors.push(Vec::new());
    let mut next_index = 0;
    while next_index < states.len() {
        let state = states[next_index].clone();
        if !state.held() {
            not_held.push(next_index);
        }
        model.successors(&state, &mut |_event, mut next| {
            model.normalize(&mut next);
            let number = *numbers.entry(next.clone()).or_insert_with(|| {
                states.push(next);
                predecessors.push(Vec::new());
                states.len() - 1
            });
            predecessors[number].push(next_index);
        });
        next_index += 1;
        if states.len() > limit {
            return None;
        }
    }
    Some((states, predecessors, not_held))
}
