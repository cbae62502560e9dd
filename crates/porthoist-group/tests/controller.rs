//! The expert map controller over in-memory engines that carry out orders late, twice or not at all.

use futures::FutureExt as _;
use porthoist_group::{
    DirectGroup, ExpertLists, ExpertMapController, GroupShape, OrderAnswer, RankControl, RankFuture,
    RankObservation, RoundOutcome,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap, ListChange, skew};
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use slog::{Discard, Logger, o};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const RANKS: usize = 4;
const EXPERTS: usize = 12;
const PLACES: usize = 4;
/// Rounds of the controller in one run; a pass may begin between any two.
const ROUNDS: u32 = 400;

#[derive(Debug, Clone)]
struct SimulatedEngine {
    view: RankView,
    highest_version: MapVersion,
    maps: HashMap<MapVersion, EqualShareMap>,
}

/// A group in memory.
#[derive(Debug)]
struct SimulatedGroup {
    engines: Vec<SimulatedEngine>,
    /// Orders that may still be carried out, in any later pass.
    delayed_orders: Vec<(usize, EngineOrder, Option<EqualShareMap>)>,
    random: Pcg32,
    /// Part of the orders that get no answer and are carried out late or never.
    loss_rate: f64,
    hot_expert: usize,
    /// Whether a pass ran with different maps on different ranks.
    mixed_maps: bool,
    held_passes: u32,
    /// Part of the choices in a window that still follow the demand before the last shift.
    stale_fraction: f64,
    previous_hot_expert: usize,
    /// Whether a lost order never returns, instead of failing at once.
    lost_orders_hang: bool,
    /// Longest time that a sender waited for an order that moves no experts.
    longest_wait: Duration,
    /// Slowness of each rank.
    paces: [RankPace; RANKS],
    /// A rank that can't be reached.
    unreachable: Option<usize>,
}

fn initial_map() -> EqualShareMap {
    let held =
        |rank: usize| (0..PLACES).map(|place| ExpertId(((place * RANKS + rank) % EXPERTS) as u16)).collect();
    EqualShareMap::new(vec![(0..RANKS).map(held).collect()])
}

impl SimulatedGroup {
    fn new(seed: u64, loss_rate: f64) -> Self {
        let view = RankView {
            epoch: GroupEpoch(1),
            sequence: OrderSequence(0),
            step: StepNumber(0),
            map: MapVersion(0),
            prepared: None,
            armed: None,
            held: None,
            busy: false,
        };
        let maps = HashMap::from([(MapVersion(0), initial_map())]);
        let engine = SimulatedEngine { view, highest_version: MapVersion(0), maps };
        let random = Pcg32::seed_from_u64(seed);
        let engines = vec![engine; RANKS];
        Self {
            engines,
            delayed_orders: Vec::new(),
            random,
            loss_rate,
            hot_expert: 0,
            mixed_maps: false,
            held_passes: 0,
            stale_fraction: 0.0,
            previous_hot_expert: 0,
            unreachable: None,
            lost_orders_hang: false,
            longest_wait: Duration::ZERO,
            paces: [RankPace::USUAL; RANKS],
        }
    }

    /// Applies an order as an engine does; returns `false` if it is refused.
    fn apply_order(&mut self, rank: usize, order: EngineOrder, map: Option<&EqualShareMap>) -> bool {
        let SimulatedEngine { view, highest_version, maps } = &mut self.engines[rank];
        let (fits, done) = match order {
            EngineOrder::Prepare { epoch, version, sequence } => {
                let fits = epoch == view.epoch
                    && sequence == view.sequence
                    && version > *highest_version
                    && view.armed.is_none();
                if fits {
                    *highest_version = version;
                    view.prepared = Some(version);
                    maps.insert(version, map.expect("a prepare has its map").clone());
                }
                (fits, view.prepared == Some(version))
            }
            EngineOrder::Arm { epoch, armed } => {
                let fits =
                    epoch == view.epoch && view.prepared == Some(armed.version) && armed.step > view.step;
                let done = view.armed == Some(armed);
                if fits {
                    view.armed = Some(armed);
                }
                (fits && !done, done)
            }
            EngineOrder::Hold { epoch, step } => {
                let fits = epoch == view.epoch && step > view.step && view.held.is_none();
                if fits {
                    view.held = Some(step);
                }
                (fits, view.held == Some(step))
            }
            EngineOrder::Go { epoch, step } => {
                let fits = epoch == view.epoch && view.held == Some(step);
                if fits {
                    view.held = None;
                }
                (fits, true)
            }
        };
        view.sequence.0 += u64::from(fits);
        fits || done
    }

    /// Applies some late orders, then begins a pass unless the group is held.
    fn run_pass(&mut self) {
        for (rank, order, map) in std::mem::take(&mut self.delayed_orders) {
            if self.random.random_bool(0.1) {
                self.apply_order(rank, order, map.as_ref());
            } else {
                self.delayed_orders.push((rank, order, map));
            }
        }
        let next = StepNumber(self.engines[0].view.step.0 + 1);
        if self.engines[0].view.held == Some(next) {
            self.held_passes += 1;
            return;
        }
        for engine in &mut self.engines {
            engine.view.step = next;
            if let Some(ArmedMap { version, step }) = engine.view.armed
                && step == next
            {
                engine.view = RankView { map: version, armed: None, prepared: None, ..engine.view };
            }
        }
        let map = |engine: &SimulatedEngine| engine.maps[&engine.view.map].clone();
        self.mixed_maps |= self.engines.iter().any(|engine| map(engine) != map(&self.engines[0]));
    }

    fn demand(&self) -> Vec<f64> {
        demand_for(self.hot_expert)
    }

    fn shift(&mut self, hot_expert: usize, stale_fraction: f64) {
        (self.previous_hot_expert, self.hot_expert, self.stale_fraction) =
            (self.hot_expert, hot_expert, stale_fraction);
    }

    /// The counts of a window, of which a part was chosen before the last shift.
    fn window(&self) -> Vec<u32> {
        let (now, before) = (self.demand(), demand_for(self.previous_hot_expert));
        let mixed = now
            .iter()
            .zip(before)
            .map(|(now, before)| now * (1.0 - self.stale_fraction) + before * self.stale_fraction);
        mixed.map(|part| (part * 2_000.0) as u32).collect()
    }

    fn skew(&self) -> f64 {
        let engine = &self.engines[0];
        skew(&engine.maps[&engine.view.map], &[self.demand()])
    }
}

fn demand_for(hot_expert: usize) -> Vec<f64> {
    let weight =
        |expert: usize| if expert == hot_expert || expert == (hot_expert + 4) % EXPERTS { 10.0 } else { 1.0 };
    let total: f64 = (0..EXPERTS).map(weight).sum();
    (0..EXPERTS).map(|expert| weight(expert) / total).collect()
}

/// Measures how long a sender waits for an order that is never answered.
struct UnansweredOrder {
    group: Rc<RefCell<SimulatedGroup>>,
    began: Instant,
    copies_experts: bool,
}

impl Drop for UnansweredOrder {
    fn drop(&mut self) {
        let mut group = self.group.borrow_mut();
        if !self.copies_experts {
            group.longest_wait = group.longest_wait.max(self.began.elapsed());
        }
    }
}

#[derive(Debug)]
struct SimulatedRank {
    group: Rc<RefCell<SimulatedGroup>>,
    rank: usize,
}

impl RankControl for SimulatedRank {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        let group = self.group.borrow();
        if group.unreachable == Some(self.rank) {
            return async { Err(CallError::unknown("unreachable")) }.boxed_local();
        }
        let state = RankState {
            view: group.engines[self.rank].view,
            group: "g".to_owned(),
            rank: self.rank,
            size: RANKS,
            open: true,
            requests: 1 + self.rank as u32,
            pace: group.paces[self.rank],
        };
        let counts = if counts { group.window() } else { Vec::new() };
        async move { Ok(RankObservation { state, counts, demand: None }) }.boxed_local()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        let group = self.group.borrow();
        let engine = &group.engines[self.rank];
        let map = &engine.maps[&engine.view.map];
        let experts = map.sets().iter().map(|ranks| ranks[self.rank].clone()).collect();
        let lists = ExpertLists { version: engine.view.map, experts };
        async move { Ok(lists) }.boxed_local()
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        let mut group = self.group.borrow_mut();
        if group.unreachable == Some(self.rank) {
            return async { Err(CallError::unknown("unreachable")) }.boxed_local();
        }
        let (loss_rate, lost_orders_hang) = (group.loss_rate, group.lost_orders_hang);
        let lost = group.random.random_bool(loss_rate);
        let answer = if lost {
            // No answer comes. Half of these orders are applied at once, and any of them may be applied again later.
            if group.random.random_bool(0.5) {
                group.apply_order(self.rank, order, map);
            }
            group.delayed_orders.push((self.rank, order, map.cloned()));
            if lost_orders_hang {
                let copies_experts = matches!(order, EngineOrder::Prepare { .. });
                let unanswered =
                    UnansweredOrder { group: Rc::clone(&self.group), began: Instant::now(), copies_experts };
                return async move {
                    let _unanswered = unanswered;
                    futures::future::pending().await
                }
                .boxed_local();
            }
            Err(CallError::unknown("lost"))
        } else {
            let taken = group.apply_order(self.rank, order, map);
            Ok(OrderAnswer { taken, view: Some(group.engines[self.rank].view) })
        };
        async move { answer }.boxed_local()
    }
}

fn direct_group(group: &Rc<RefCell<SimulatedGroup>>) -> DirectGroup {
    let link =
        |rank: usize| -> Rc<dyn RankControl> { Rc::new(SimulatedRank { group: Rc::clone(group), rank }) };
    DirectGroup::new((0..RANKS).map(link).collect())
}

fn group_shape() -> GroupShape {
    let bounds =
        EqualShareBounds { max_experts: PLACES, max_new_experts: 2, max_new_per_rank: 3, move_price: 0.01 };
    GroupShape { sets: 1, experts: EXPERTS, bounds }
}

fn new_controller() -> ExpertMapController {
    ExpertMapController::new(group_shape(), Logger::root(Discard, o!()))
}

#[test_case(0.0, false; "calm")]
#[test_case(0.35, false; "a third of the orders late")]
#[test_case(0.35, true; "late orders and a planner that restarts")]
#[test_case(0.8, true; "most orders late and a planner that restarts")]
#[tokio::test]
async fn all_ranks_run_every_pass_with_the_same_map_and_the_group_keeps_running(
    loss_rate: f64,
    restarts: bool,
) {
    for seed in 0..20 {
        let group = Rc::new(RefCell::new(SimulatedGroup::new(seed, loss_rate)));
        let ranks = direct_group(&group);
        let mut controller = new_controller();
        let mut random = Pcg32::seed_from_u64(seed + 1_000);
        for round in 0..ROUNDS {
            if restarts && random.random_bool(0.02) {
                controller = new_controller();
            }
            if round % 100 == 0 {
                group.borrow_mut().hot_expert = random.random_range(0..EXPERTS);
            }
            controller.run_round(&ranks, MapVersion(round)).await;
            if random.random_bool(0.7) {
                group.borrow_mut().run_pass();
            }
        }
        let group = group.borrow();
        assert!(!group.mixed_maps, "seed {seed}: a pass was mixed");
        let passes = group.engines[0].view.step.0;
        assert!(passes > ROUNDS / 4, "seed {seed}: {passes} passes, {} held", group.held_passes);
        if loss_rate == 0.0 {
            assert!(group.skew() < 1.5, "seed {seed}: skew {}", group.skew());
            // A pass begins in seven of ten rounds, and a switch takes three rounds from its hold on.
            let switches = group.engines[0].maps.len() as u32;
            assert!(
                group.held_passes <= switches,
                "seed {seed}: {} held, {switches} maps",
                group.held_passes
            );
        }
    }
}

/// Longest time that a controller may wait for an order that is never answered.
const MAX_WAIT: Duration = Duration::from_millis(60);

#[test_case(0.35; "a third of the orders unanswered")]
#[test_case(0.8; "most orders unanswered")]
#[tokio::test(start_paused = true)]
async fn unanswered_orders_time_out_soon_while_the_group_is_held(loss_rate: f64) {
    for seed in 0..20 {
        let mut group = SimulatedGroup::new(seed, loss_rate);
        group.lost_orders_hang = true;
        let group = Rc::new(RefCell::new(group));
        let ranks = direct_group(&group);
        let mut controller = new_controller();
        for round in 0..ROUNDS {
            controller.run_round(&ranks, MapVersion(round)).await;
            group.borrow_mut().run_pass();
        }
        let group = group.borrow();
        assert!(!group.mixed_maps, "seed {seed}: a pass was mixed");
        assert!(group.engines[0].view.map > MapVersion(0), "seed {seed}: no map came into force");
        assert!(group.longest_wait <= MAX_WAIT, "seed {seed}: {:?}", group.longest_wait);
    }
}

/// Rounds before a controller may become idle: a new one waits for two passes.
const FIRST_ROUNDS: u32 = 5;

/// Rounds in which a controller learns how far windows deviate from the demand.
const LEARNING_ROUNDS: u32 = 12;

/// Runs rounds and passes until the controller is idle.
async fn run_until_idle(
    controller: &mut ExpertMapController,
    group: &Rc<RefCell<SimulatedGroup>>,
    ranks: &DirectGroup,
) {
    for round in 0..ROUNDS {
        let outcome = controller.run_round(ranks, MapVersion(round)).await;
        group.borrow_mut().run_pass();
        if round >= FIRST_ROUNDS && outcome == RoundOutcome::Idle {
            return;
        }
    }
    panic!("the controller does not become idle");
}

#[test_case(0.7; "a third of the window after the shift")]
#[test_case(0.3; "two thirds of the window after the shift")]
#[tokio::test]
async fn a_demand_shift_causes_one_switch_planned_from_the_first_complete_window(stale_fraction: f64) {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    run_until_idle(&mut controller, &group, &ranks).await;
    for round in 0..LEARNING_ROUNDS {
        controller.run_round(&ranks, MapVersion(round)).await;
        group.borrow_mut().run_pass();
    }
    let maps_before = group.borrow().engines[0].maps.len();
    group.borrow_mut().shift(6, stale_fraction);
    let outcome = controller.run_round(&ranks, MapVersion(0)).await;
    assert_eq!(outcome, RoundOutcome::Shifting, "the first window shows a part of the shift");
    group.borrow_mut().stale_fraction = 0.0;
    run_until_idle(&mut controller, &group, &ranks).await;
    let group = group.borrow();
    assert_eq!(group.engines[0].maps.len(), maps_before + 1, "one switch follows");
    assert!(group.skew() < 1.5, "skew {}", group.skew());
}

#[tokio::test]
async fn load_rounds_read_no_counts_and_continue_a_switch() {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    for _round in 0..FIRST_ROUNDS {
        controller.run_load_round(&ranks, MapVersion(1)).await;
        group.borrow_mut().run_pass();
    }
    assert_eq!(controller.requests(), [1, 2, 3, 4]);
    assert_eq!(controller.full_reads(), u64::from(FIRST_ROUNDS), "each of these rounds read all ranks");
    assert_eq!(group.borrow().engines[0].maps.len(), 1, "nothing is planned without counts");
    assert_eq!(controller.run_round(&ranks, MapVersion(1)).await, RoundOutcome::Copying);
    for _round in 0..FIRST_ROUNDS {
        controller.run_load_round(&ranks, MapVersion(1)).await;
        group.borrow_mut().run_pass();
    }
    assert_eq!(group.borrow().engines[0].view.map, MapVersion(1), "the switch went on");
}

/// Guards against a planner that ends because a rank lists an expert that its model does not have.
#[test_case(EXPERTS as u16; "the first beyond the model")]
#[test_case(u16::MAX; "the last number")]
#[tokio::test]
async fn expert_out_of_range_delays_only_switches(expert: u16) {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    let change = ListChange { set: 0, rank: 1, experts: vec![ExpertId(expert)] };
    let odd_map = EqualShareMap::with_changes(Some(initial_map()), vec![change]);
    for engine in &mut group.borrow_mut().engines {
        engine.maps.insert(MapVersion(0), odd_map.clone());
    }
    for _round in 0..FIRST_ROUNDS {
        controller.run_load_round(&ranks, MapVersion(1)).await;
        group.borrow_mut().run_pass();
    }
    assert_ne!(controller.run_round(&ranks, MapVersion(1)).await, RoundOutcome::Copying);
    assert_eq!(controller.requests(), [1, 2, 3, 4], "loads are still read");
    for engine in &mut group.borrow_mut().engines {
        engine.maps.insert(MapVersion(0), initial_map());
    }
    assert_eq!(controller.run_round(&ranks, MapVersion(1)).await, RoundOutcome::Copying);
}

/// A single unreachable rank, of 129 for example, must not stop the whole round from counting, reporting and planning.
#[tokio::test]
async fn an_unreachable_rank_delays_only_switches() {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    for _round in 0..FIRST_ROUNDS {
        controller.run_load_round(&ranks, MapVersion(1)).await;
        group.borrow_mut().run_pass();
    }
    group.borrow_mut().unreachable = Some(2);
    let full_reads = controller.full_reads();
    for round in 0..LEARNING_ROUNDS {
        let outcome = controller.run_round(&ranks, MapVersion(round)).await;
        assert_eq!(outcome, RoundOutcome::Idle);
        group.borrow_mut().run_pass();
    }
    assert_eq!(controller.full_reads(), full_reads + u64::from(LEARNING_ROUNDS), "the others are read");
    assert_eq!(group.borrow().engines[0].maps.len(), 1, "no map is prepared that can't be switched to");
    group.borrow_mut().unreachable = None;
    // The demand is known already: the first round in which all ranks answer plans.
    assert_eq!(controller.run_round(&ranks, MapVersion(90)).await, RoundOutcome::Copying);
    group.borrow_mut().unreachable = Some(1);
    for _round in 0..FIRST_ROUNDS {
        controller.run_load_round(&ranks, MapVersion(91)).await;
        group.borrow_mut().run_pass();
    }
    group.borrow_mut().unreachable = None;
    run_until_idle(&mut controller, &group, &ranks).await;
    assert_eq!(group.borrow().engines[0].view.map, MapVersion(90), "the switch went on");
    assert!(group.borrow().skew() < 1.5, "skew {}", group.borrow().skew());
}

/// Runs rounds, each with a pass if the group has work, until a controller has no switch in progress.
async fn finish_switch(
    controller: &mut ExpertMapController,
    group: &Rc<RefCell<SimulatedGroup>>,
    ranks: &DirectGroup,
) {
    for round in 0..ROUNDS {
        if !controller.switching() {
            return;
        }
        controller.run_round(ranks, MapVersion(round)).await;
        group.borrow_mut().run_pass();
    }
    panic!("the switch does not end");
}

/// Guards against a planning process that begins another switch after it was told to stop.
#[tokio::test]
async fn controller_that_is_to_end_finishes_its_switch_and_begins_no_other() {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    while controller.run_round(&ranks, MapVersion(1)).await != RoundOutcome::Copying {
        group.borrow_mut().run_pass();
    }
    controller.begin_no_switch();
    finish_switch(&mut controller, &group, &ranks).await;
    assert_eq!(group.borrow().engines[0].view.map, MapVersion(1), "the switch went on");
    group.borrow_mut().shift(6, 0.0);
    for round in 0..LEARNING_ROUNDS {
        controller.run_round(&ranks, MapVersion(100 + round)).await;
        assert!(!controller.switching());
        group.borrow_mut().run_pass();
    }
    assert_eq!(group.borrow().engines[0].maps.len(), 2, "no other map was prepared");
}

/// Guards against a stop that waits for a group without work, and against one that leaves a group held.
#[tokio::test]
async fn group_is_held_until_its_switch_needs_no_more_orders() {
    let group = Rc::new(RefCell::new(SimulatedGroup::new(1, 0.0)));
    let ranks = direct_group(&group);
    let mut controller = new_controller();
    while !controller.holding() {
        assert!(!controller.holds_group());
        controller.run_round(&ranks, MapVersion(1)).await;
        group.borrow_mut().run_pass();
    }
    let mut rounds = 0;
    while controller.holds_group() {
        rounds += 1;
        assert!(rounds < ROUNDS, "the group is released without a pass");
        controller.run_round(&ranks, MapVersion(1)).await;
    }
    assert!(controller.holding(), "no pass has shown the switch");
    assert_eq!(group.borrow().engines[0].view.held, None);
    let armed = |engine: &SimulatedEngine| engine.view.armed.map(|armed| armed.version);
    assert!(group.borrow().engines.iter().all(|engine| armed(engine) == Some(MapVersion(1))));
    finish_switch(&mut controller, &group, &ranks).await;
    assert!(!group.borrow().mixed_maps);
}
