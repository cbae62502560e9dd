//! A group whose engines hold, arm and switch by orders that may be lost, doubled or late without bound.
//!
//! The driver is the daemon's own. Its reports are read rank by rank while the group goes on; once it switches, a single
//! rank's report, as it comes with an answer to an order, is enough for it to act beside older reports of the others.
//! It may die at any moment; the orders of all its lives stay on their way for ever.
//!
//! The other ranks may be read and ordered through a relay, which reads them in any order, answers without some of them, and
//! may begin anew at any moment. Orders on their way are lost, doubled, delayed and reordered there as anywhere.

use crate::search::{EventVisitor, ProtocolModel, SearchReport};
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankView, RollForwardDriver, RollForwardRules,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The model's bounds and rules.
#[derive(Debug, Clone, Copy)]
pub struct ForwardModel {
    /// The driver's rules.
    pub rules: RollForwardRules,
    /// Whether engines look at the epoch of an order.
    pub epochs_checked: bool,
    /// Ranks in the group.
    pub ranks: usize,
    /// Passes that the group begins.
    pub steps: u32,
    /// Maps that are planned.
    pub plans: u8,
    /// Restarts of the driver.
    pub restarts: u8,
    /// New formations of the group.
    pub formations: u8,
    /// Whether the driver acts on single ranks' reports while it switches.
    pub single_reads: bool,
    /// How the other ranks are reached through a relay; nothing if each is asked straight.
    pub relay: Option<RelayRules>,
}

/// What a relay may do, and rules that the model checker breaks one at a time.
#[derive(Debug, Clone, Copy)]
pub struct RelayRules {
    /// An earlier answer may come again for a later question.
    pub answers_repeat: bool,
    /// States in an answer name their formation, and the map and pass that a rank is armed for.
    pub states_verbatim: bool,
    /// Each state in an answer stands for the rank that it is of.
    pub ranks_named: bool,
}

impl RelayRules {
    /// The rules in force.
    pub const SOUND: Self = Self { answers_repeat: false, states_verbatim: true, ranks_named: true };
}

/// One rank's engine.
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

    /// Carries an order out, or refuses it.
    fn order(&mut self, order: EngineOrder, step: StepNumber, precondition: bool) {
        match order {
            EngineOrder::Prepare { version, sequence, .. } => {
                let named = sequence == self.sequence || !precondition;
                if named && version > self.highest && self.armed.is_none() {
                    self.highest = version;
                    self.prepared = Some(version);
                    // Real engines count the other orders too, which makes more late prepares fail.
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

/// Everything in the model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwardState {
    ranks: Vec<EngineRank>,
    epoch: GroupEpoch,
    step: StepNumber,
    driver: RollForwardDriver,
    heard: Vec<RankView>,
    /// The last report of each rank while the driver switches; else none.
    kept: Vec<RankView>,
    /// What the relay has read for the present question, by rank but for the first.
    relayed: Vec<Option<RankView>>,
    /// An earlier whole answer of the relay, where one may come again: the last that shows an armed rank.
    answered: Vec<RankView>,
    orders: BTreeSet<(usize, EngineOrder)>,
    plans: u8,
    restarts: u8,
    formations: u8,
}

impl ForwardState {
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

    fn keep_while_switching(&mut self, relayed: bool) {
        // Through a relay, ranks may be missing at any stage of a switch.
        let wanted = if relayed { self.driver.target().is_some() } else { self.driver.holding() };
        if !wanted {
            self.kept.clear();
        }
    }

    fn held(&self) -> bool {
        self.ranks.iter().any(|rank| rank.held == Some(StepNumber(self.step.0 + 1)))
    }
}

/// What is left of a rank's state where an answer says only that it is armed, and not for what.
fn unnamed(view: &mut RankView, first: &RankView, target: Option<MapVersion>) {
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

impl ForwardModel {
    /// A version from a clock that goes back when the driver restarts.
    fn fresh(state: &ForwardState) -> MapVersion {
        let clock = 10 * u32::from(state.plans);
        MapVersion(if state.restarts == 0 { clock } else { 0 })
    }

    fn driver_events(&self, state: &ForwardState, visit: EventVisitor<'_, ForwardState>) {
        if let Some(rules) = self.relay
            && state.heard.len() < self.ranks
        {
            self.relay_events(rules, state, visit);
        } else if state.heard.len() < self.ranks {
            let mut next = state.clone();
            let rank = next.heard.len();
            next.heard.push(state.view(rank));
            visit(format_args!("the driver reads rank {rank}"), next);
        } else {
            let mut next = state.clone();
            let views = std::mem::take(&mut next.heard);
            let rest = next.driver.can_begin(&views);
            if rest && next.plans < self.plans {
                let mut planning = next.clone();
                planning.plans += 1;
                planning.driver.begin(&views, Self::fresh(&planning));
                planning.orders.extend(planning.driver.next(&views));
                visit(format_args!("the driver begins a switch"), planning);
            }
            let mut dropped = next.clone();
            dropped.driver.abandon();
            dropped.kept.clear();
            if dropped.driver != next.driver {
                visit(format_args!("the driver drops its switch"), dropped);
            }
            next.orders.extend(next.driver.next(&views));
            if self.single_reads || self.relay.is_some() {
                next.kept = views;
                next.keep_while_switching(self.relay.is_some());
            }
            visit(format_args!("the driver acts"), next);
        }
        for rank in 0..if self.single_reads { state.kept.len() } else { 0 } {
            let mut next = state.clone();
            next.kept[rank] = state.view(rank);
            next.orders.extend(next.driver.next(&next.kept));
            next.keep_while_switching(false);
            visit(format_args!("the driver reads rank {rank} alone and acts"), next);
        }
        if state.restarts < self.restarts {
            let mut next = state.clone();
            next.restarts += 1;
            next.driver = RollForwardDriver::new(self.rules);
            next.heard.clear();
            next.kept.clear();
            next.relayed.clear();
            visit(format_args!("the driver restarts"), next);
        }
    }

    /// One question to the ranks: the first is read by the driver, the others by the relay.
    fn relay_events(&self, rules: RelayRules, state: &ForwardState, visit: EventVisitor<'_, ForwardState>) {
        if state.heard.is_empty() {
            let mut next = state.clone();
            next.heard.push(state.view(0));
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
        let whole: Option<Vec<RankView>> = state.relayed.iter().copied().collect();
        if let Some(views) = whole {
            visit(format_args!("the relay answers"), self.relay_answered(state, views));
        } else {
            self.answer_in_part(state, visit);
        }
        if rules.answers_repeat && !state.answered.is_empty() {
            let mut views = state.answered.clone();
            if !rules.states_verbatim {
                for view in &mut views {
                    unnamed(view, &state.heard[0], state.driver.target());
                }
            }
            visit(format_args!("the relay's last answer comes again"), self.relay_answered(state, views));
        }
        if !rules.ranks_named
            && let Some(first) = state.relayed[0]
        {
            let views = vec![first; self.ranks - 1];
            visit(format_args!("the relay answers with rank 1 for all"), self.relay_answered(state, views));
        }
        let mut lost = state.clone();
        lost.heard.clear();
        lost.relayed.clear();
        visit(format_args!("the relay begins anew and its answer is lost"), lost);
    }

    fn relay_answered(&self, state: &ForwardState, views: Vec<RankView>) -> ForwardState {
        let mut next = state.clone();
        next.relayed.clear();
        // The driver may be misled into a release only by an answer that shows armed ranks.
        let armed = views.iter().all(|view| view.armed.is_some());
        if self.relay.is_some_and(|rules| rules.answers_repeat) && armed {
            next.answered.clone_from(&views);
        }
        next.heard.extend(views);
        next
    }

    /// The relay answers without the ranks that it has not read: the driver keeps what it knew of them, and sends them no
    /// prepares.
    fn answer_in_part(&self, state: &ForwardState, visit: EventVisitor<'_, ForwardState>) {
        let mut next = state.clone();
        let first = next.heard.remove(0);
        let read = std::mem::take(&mut next.relayed);
        if next.kept.len() == self.ranks {
            next.kept[0] = first;
            for (view, read) in next.kept[1..].iter_mut().zip(&read) {
                *view = read.unwrap_or(*view);
            }
            let heard = |rank: usize| rank == 0 || read[rank - 1].is_some();
            let orders = next.driver.next(&next.kept);
            next.orders.extend(
                orders
                    .into_iter()
                    .filter(|(rank, order)| heard(*rank) || !matches!(order, EngineOrder::Prepare { .. })),
            );
            next.keep_while_switching(true);
        }
        visit(format_args!("the relay answers in part and the driver acts"), next);
    }

    /// Whether an engine takes an order for the present formation's.
    fn reaches(&self, order: EngineOrder, epoch: GroupEpoch) -> bool {
        !self.epochs_checked || epoch_of(order) == epoch
    }

    fn group_events(&self, state: &ForwardState, visit: EventVisitor<'_, ForwardState>) {
        for &(rank, order) in &state.orders {
            if !self.reaches(order, state.epoch) {
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
                    // All count their orders anew; only the one that crashed forgets the versions it has had.
                    let highest = if rank == crashed { MapVersion(0) } else { engine.highest };
                    *engine = EngineRank { highest, ..EngineRank::new() };
                }
                visit(format_args!("rank {crashed} crashes and the group forms anew"), next);
            }
        }
    }
}

impl ProtocolModel for ForwardModel {
    type State = ForwardState;

    fn initial(&self) -> ForwardState {
        ForwardState {
            ranks: vec![EngineRank::new(); self.ranks],
            epoch: GroupEpoch(1),
            step: StepNumber(0),
            driver: RollForwardDriver::new(self.rules),
            heard: Vec::new(),
            kept: Vec::new(),
            relayed: Vec::new(),
            answered: Vec::new(),
            orders: BTreeSet::new(),
            plans: 0,
            restarts: 0,
            formations: 0,
        }
    }

    fn successors(&self, state: &ForwardState, visit: EventVisitor<'_, ForwardState>) {
        self.driver_events(state, visit);
        self.group_events(state, visit);
    }

    fn violation(&self, state: &ForwardState) -> Option<String> {
        let map = state.ranks[0].map;
        let mixed = state.ranks.iter().any(|rank| rank.map != map);
        mixed.then(|| format!("two maps are used in step {}", state.step.0))
    }

    /// Orders of earlier epochs and of passes that have begun change nothing any more.
    fn normalize(&self, state: &mut ForwardState) {
        let (epoch, step) = (state.epoch, state.step);
        let ranks = state.ranks.clone();
        // Where epochs are not looked at, a rank that crashes may yet take what it refuses now.
        let settled = self.epochs_checked || state.formations >= self.formations;
        state.orders.retain(|(rank, order)| {
            if !self.reaches(*order, epoch) {
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

/// Searches for a reachable state in which the group is held and from which it never goes on.
pub fn search_held(model: &ForwardModel, limit: usize) -> SearchReport {
    let Some((states, parents, free)) = explore(model, limit) else {
        return SearchReport { states: limit, depth: 0, counterexample: None, complete: false };
    };
    let count = states.len();
    let stuck = stuck_state(states, &parents, free);
    let counterexample = stuck.map(|state| ("the group stays held".to_owned(), vec![format!("{state:?}")]));
    SearchReport { states: count, depth: 0, counterexample, complete: true }
}

fn stuck_state(states: Vec<ForwardState>, parents: &[Vec<usize>], free: Vec<usize>) -> Option<ForwardState> {
    let mut able: HashSet<usize> = free.iter().copied().collect();
    let mut todo: Vec<usize> = free;
    while let Some(state) = todo.pop() {
        for parent in &parents[state] {
            if able.insert(*parent) {
                todo.push(*parent);
            }
        }
    }
    states.into_iter().enumerate().find(|(index, _state)| !able.contains(index)).map(|(_index, state)| state)
}

/// All states, the parents of each, and those in which the group is not held.
type ExploredStates = (Vec<ForwardState>, Vec<Vec<usize>>, Vec<usize>);

/// Visits every state; nothing if there are too many.
fn explore(model: &ForwardModel, limit: usize) -> Option<ExploredStates> {
    let mut numbers: HashMap<ForwardState, usize> = HashMap::new();
    let (mut states, mut parents, mut free) = (Vec::new(), Vec::new(), Vec::new());
    let initial = model.initial();
    numbers.insert(initial.clone(), 0);
    states.push(initial);
    parents.push(Vec::new());
    let mut next_index = 0;
    while next_index < states.len() {
        let state = states[next_index].clone();
        if !state.held() {
            free.push(next_index);
        }
        model.successors(&state, &mut |_event, mut next| {
            model.normalize(&mut next);
            let number = *numbers.entry(next.clone()).or_insert_with(|| {
                states.push(next);
                parents.push(Vec::new());
                states.len() - 1
            });
            parents[number].push(next_index);
        });
        next_index += 1;
        if states.len() > limit {
            return None;
        }
    }
    Some((states, parents, free))
}
