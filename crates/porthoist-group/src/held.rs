//! Engines that hold a group themselves, and the planner that keeps their expert map close to the demand.
//!
//! The process beside the first rank plans and switches; the others observe their own engine and pass orders on to it.

use crate::links::{HeldLink, OrderAnswer, RankFuture, RankLists, RankObservation};
use futures::future::join_all;
use porthoist_policy::forward::{
    EngineOrder, ForwardDriver, ForwardRules, GroupEpoch, RankPace, RankState, RankView,
};
use porthoist_policy::placement::copying::CopyTimes;
use porthoist_policy::placement::demand::{DemandEstimator, DemandNews};
use porthoist_policy::placement::even::{EvenBounds, EvenMap, EvenPlan, improve};
use porthoist_policy::switch::MapVersion;
use slog::{Logger, info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in milliseconds within which a rank's process must answer; some ten times the way to the farthest zone.
const ANSWER_MILLIS: u64 = 150;
/// Added for each rank of the group, in milliseconds: all answers come through the link of one small host, where 2 KB
/// of counts take 2 ms at 8 Mbit/s.
const ANSWER_MILLIS_A_RANK: u64 = 6;
/// Time in milliseconds within which an order that moves no experts must be answered; some five times the way to the
/// farthest zone and back. What was carried out is read back, so an order without an answer is simply given again: a
/// held group must not wait for it.
const ORDER_MILLIS: u64 = 30;
/// Added for each rank of the group, in milliseconds: an order with its answer takes half of one of a small host's link.
const ORDER_MILLIS_A_RANK: u64 = 1;
/// Part of the demand's mean skew that a plan must win in any case: less is within the error of the estimate.
const MIN_GAIN: f64 = 0.05;
/// Chosen experts that a window must hold to be worth an estimate: 20 for each expert of a usual set.
const MIN_CHOICES: u64 = 1_500;

/// The shape of a group's experts, from its operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupShape {
    /// Sets of experts.
    pub sets: usize,
    /// Experts in a set.
    pub experts: usize,
    /// Bounds of a plan.
    pub bounds: EvenBounds,
}

/// What a round of the planner did; says when the next one should come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// Nothing is under way.
    Rest,
    /// The demand began to shift; the next window shows all of it.
    Shifting,
    /// Experts are being copied.
    Copying,
    /// The group is held or about to be.
    Holding,
    /// A rank could not be heard, or the group does not run.
    Blind,
}

/// The map in force with the epoch that it belongs to.
#[derive(Debug, Clone)]
struct KnownMap {
    epoch: GroupEpoch,
    version: MapVersion,
    map: EvenMap,
}

/// What a switch under way spends its time on.
#[derive(Debug, Clone, Copy)]
enum TimedStage {
    /// Ranks copy since then, the busiest so many experts.
    Copying { copies: usize, since: Instant },
    /// All copies are there since then.
    Switching { since: Instant },
}

/// Plans and switches the expert map of one group.
#[derive(Debug)]
pub struct HeldPlanner {
    shape: GroupShape,
    driver: ForwardDriver,
    demand: DemandEstimator,
    known: Option<KnownMap>,
    next: Option<KnownMap>,
    copy_times: CopyTimes,
    /// The stage of the switch under way that is being timed.
    timed: Option<TimedStage>,
    gathered: Vec<u64>,
    shifting: bool,
    requests: Vec<u32>,
    /// How often all ranks were read.
    readings: u64,
    /// How slow each rank is, as the last round saw it.
    paces: Vec<RankPace>,
    /// The last view of each rank.
    views: Vec<RankView>,
    /// Whether the last round read all ranks.
    seeing: bool,
    logger: Logger,
}

impl HeldPlanner {
    /// A planner that knows nothing of its group yet.
    pub fn new(shape: GroupShape, logger: Logger) -> Self {
        Self {
            driver: ForwardDriver::new(ForwardRules::SOUND),
            demand: DemandEstimator::new(shape.sets, shape.experts),
            known: None,
            next: None,
            copy_times: CopyTimes::default(),
            timed: None,
            gathered: vec![0; shape.sets * shape.experts],
            shifting: false,
            requests: Vec::new(),
            readings: 0,
            paces: Vec::new(),
            views: Vec::new(),
            seeing: true,
            shape,
            logger,
        }
    }

    /// One round: observes the ranks, the first before the others, and gives the orders that follow. `fresh` is a
    /// version that no other life of this process uses.
    pub async fn round(&mut self, links: &[Rc<dyn HeldLink>], fresh: MapVersion) -> RoundOutcome {
        self.round_of(links, fresh, true).await
    }

    /// A round that reads no counts, for the loads alone; a switch that is under way goes on.
    pub async fn round_of_loads(&mut self, links: &[Rc<dyn HeldLink>], fresh: MapVersion) -> RoundOutcome {
        self.round_of(links, fresh, false).await
    }

    async fn round_of(
        &mut self,
        links: &[Rc<dyn HeldLink>],
        fresh: MapVersion,
        counting: bool,
    ) -> RoundOutcome {
        if !self.observe_first(links).await && !self.observe(links, fresh, counting).await {
            return RoundOutcome::Blind;
        }
        let sent = self.drive(links).await;
        self.pace(sent)
    }

    /// While a switch holds the group, reads the first rank alone: the others' views come with their answers to
    /// orders. Returns whether that is enough.
    async fn observe_first(&mut self, links: &[Rc<dyn HeldLink>]) -> bool {
        if !self.driver.holding() || self.views.len() != links.len() {
            return false;
        }
        let Some(observed) = within(links.len(), links[0].observe(false)).await else { return false };
        let RankState { view, open, .. } = observed.state;
        let same = open && view.epoch == self.views[0].epoch;
        self.views[0] = view;
        same && !self.driver.switched(&self.views)
    }

    /// Reads all ranks, and plans where nothing is under way. Returns whether all could be read.
    async fn observe(&mut self, links: &[Rc<dyn HeldLink>], fresh: MapVersion, counting: bool) -> bool {
        self.views.clear();
        let counting = counting && !self.driver.holding();
        let observed = match observe_all(links, counting).await {
            Ok(observed) => observed,
            Err(unread) => {
                self.note_unread(&unread);
                return false;
            }
        };
        self.note_read();
        self.readings += 1;
        self.requests = observed.iter().map(|rank| rank.state.requests).collect();
        self.paces = observed.iter().map(|rank| rank.state.pace).collect();
        let whole = observed.iter().all(|rank| rank.state.open && rank.state.size == links.len());
        if !whole {
            return false;
        }
        let views: Vec<RankView> = observed.iter().map(|rank| rank.state.view).collect();
        self.gather(&observed);
        self.settle(&views);
        if self.driver.at_rest(&views) && self.learn_map(links, &views).await {
            self.plan(&views, fresh);
        }
        self.views = views;
        true
    }

    fn note_unread(&mut self, unread: &UnreadRank) {
        if std::mem::replace(&mut self.seeing, false) {
            warn!(self.logger, "a rank can't be read"; "event" => "dependency_lost", "dependency" => "rank",
                "rank" => unread.rank, "error" => &unread.error);
        }
    }

    fn note_read(&mut self) {
        if !std::mem::replace(&mut self.seeing, true) {
            info!(self.logger, "all ranks are read again"; "event" => "dependency_regained",
                "dependency" => "rank");
        }
    }

    /// Gives orders, and those that follow from the answers, until nothing new follows. Returns how many were given.
    async fn drive(&mut self, links: &[Rc<dyn HeldLink>]) -> usize {
        let mut given = 0;
        let mut last = Vec::new();
        loop {
            let orders = self.driver.next(&self.views);
            if orders.is_empty() || orders == last {
                return given;
            }
            given += orders.len();
            self.send(links, &orders).await;
            let copying = orders.iter().any(|(_rank, order)| matches!(order, EngineOrder::Prepare { .. }));
            if copying {
                return given;
            }
            last = orders;
        }
    }

    /// Whether the group is, or is about to be, held by a switch of this planner.
    pub fn holding(&self) -> bool {
        self.driver.holding()
    }

    /// Requests that run or wait at each rank, as the last round saw them.
    pub fn requests(&self) -> &[u32] {
        &self.requests
    }

    /// How often all ranks were read: while a switch holds the group, only the first is.
    pub fn readings(&self) -> u64 {
        self.readings
    }

    /// How slow each rank is, as the last round saw it.
    pub fn paces(&self) -> &[RankPace] {
        &self.paces
    }

    fn pace(&self, sent: usize) -> RoundOutcome {
        if self.views[0].held.is_some() || self.driver.holding() {
            return RoundOutcome::Holding;
        }
        if self.driver.target().is_some() || sent > 0 {
            return RoundOutcome::Copying;
        }
        if self.shifting { RoundOutcome::Shifting } else { RoundOutcome::Rest }
    }

    fn gather(&mut self, observed: &[RankObservation]) {
        for rank in observed {
            for (sum, count) in self.gathered.iter_mut().zip(&rank.counts) {
                *sum += u64::from(*count);
            }
        }
    }

    /// Takes a map that came into force.
    fn settle(&mut self, views: &[RankView]) {
        let epoch = views[0].epoch;
        let in_force =
            |known: &KnownMap| known.epoch == epoch && views.iter().all(|view| view.map == known.version);
        if let Some(next) = self.next.take_if(|next| in_force(next)) {
            info!(self.logger, "expert map in force"; "event" => "map_in_force", "version" => next.version.0,
                "step" => views[0].step.0);
            if let Some(TimedStage::Switching { since }) = self.timed.take() {
                self.copy_times.switched(millis_since(since));
            }
            self.known = Some(next);
        }
        self.time_copies(views);
        if self.known.as_ref().is_some_and(|known| !in_force(known)) && self.next.is_none() {
            self.known = None;
        }
        if self.next.as_ref().is_some_and(|next| next.epoch != epoch) {
            self.next = None;
        }
    }

    /// Notes when all copies of a plan are there.
    fn time_copies(&mut self, views: &[RankView]) {
        let Some(next) = &self.next else {
            self.timed = None;
            return;
        };
        let Some(TimedStage::Copying { copies, since }) = self.timed else { return };
        if views.iter().all(|view| view.prepared == Some(next.version)) {
            self.copy_times.copied(copies, millis_since(since));
            self.timed = Some(TimedStage::Switching { since: Instant::now() });
        }
    }

    /// Reads the map in force from all ranks unless it is known.
    async fn learn_map(&mut self, links: &[Rc<dyn HeldLink>], views: &[RankView]) -> bool {
        if self.known.is_some() {
            return true;
        }
        let asked = join_all(links.iter().map(|link| within(links.len(), link.lists()))).await;
        let Some(lists) = asked.into_iter().collect::<Option<Vec<RankLists>>>() else { return false };
        let version = views[0].map;
        let alike = lists.iter().all(|list| list.version == version && list.experts.len() == self.shape.sets);
        if !alike {
            return false;
        }
        let of_set = |set: usize| lists.iter().map(|list| list.experts[set].clone()).collect();
        let map = EvenMap::new((0..self.shape.sets).map(of_set).collect());
        self.known = Some(KnownMap { epoch: views[0].epoch, version, map });
        true
    }

    fn plan(&mut self, views: &[RankView], fresh: MapVersion) {
        if self.gathered.iter().sum::<u64>() < MIN_CHOICES * self.shape.sets as u64 {
            return;
        }
        let news = self.demand.window(&self.gathered);
        self.gathered.fill(0);
        self.shifting = news == DemandNews::Straying;
        let Some(known) = &self.known else { return };
        // On the first map nothing is worse than to wait.
        if self.shifting && known.version != MapVersion(0) {
            return;
        }
        let wanted = self.shape.bounds.new_a_rank;
        let bounds = EvenBounds { new_a_rank: self.copy_times.copies_a_rank(wanted), ..self.shape.bounds };
        let plan = improve(&known.map, self.demand.demand(), &self.paces, &bounds);
        let copies = (0..views.len()).map(|rank| plan.map.new_to(&known.map, rank)).max().unwrap_or_default();
        if plan.skew_before - plan.skew_after < MIN_GAIN * plan.skew_before {
            return;
        }
        self.timed = Some(TimedStage::Copying { copies, since: Instant::now() });
        let version = self.driver.begin(views, fresh);
        self.log_plan(&plan, version, views);
        self.next = Some(KnownMap { epoch: views[0].epoch, version, map: plan.map });
    }

    fn log_plan(&self, plan: &EvenPlan, version: MapVersion, views: &[RankView]) {
        info!(self.logger, "expert map planned"; "event" => "map_planned", "version" => version.0,
            "moves" => plan.moves, "skew_before" => plan.skew_before, "skew_after" => plan.skew_after,
            "epoch" => views[0].epoch.0, "step" => views[0].step.0,
            "slowest" => self.paces.iter().max().map(|pace| pace.factor()), "requests" => self.requests.iter().sum::<u32>(), "most_requests" => self.requests.iter().max());
    }

    /// Sends orders and takes the views that come with the answers.
    async fn send(&mut self, links: &[Rc<dyn HeldLink>], orders: &[(usize, EngineOrder)]) {
        let map = self.next.as_ref().map(|next| &next.map);
        let pending = orders.iter().map(|(rank, order)| {
            let map = matches!(order, EngineOrder::Prepare { .. }).then_some(map).flatten();
            in_time(order_millis(*order, links.len()), links[*rank].order(*order, map))
        });
        let answers = join_all(pending).await;
        let mut refused = false;
        for ((rank, order), answer) in orders.iter().zip(answers) {
            let Some(OrderAnswer { taken, view }) = answer else { continue };
            refused |= matches!(order, EngineOrder::Prepare { .. }) && !taken;
            self.views[*rank] = view.unwrap_or(self.views[*rank]);
        }
        if refused {
            warn!(self.logger, "a prepare was refused"; "event" => "map_refused",
                "version" => self.driver.target().map(|version| version.0));
            self.driver.version_refused();
            self.next = None;
        }
    }
}

/// A rank whose process did not tell its state.
#[derive(Debug)]
struct UnreadRank {
    rank: usize,
    error: String,
}

async fn observe_all(links: &[Rc<dyn HeldLink>], counts: bool) -> Result<Vec<RankObservation>, UnreadRank> {
    let read = async |rank: usize| {
        let patience = Duration::from_millis(ANSWER_MILLIS + ANSWER_MILLIS_A_RANK * links.len() as u64);
        match tokio::time::timeout(patience, links[rank].observe(counts)).await {
            Ok(observed) => observed.map_err(|error| UnreadRank { rank, error: error.to_string() }),
            Err(_elapsed) => {
                // The connection may be silent for good. Only this rank's: the others keep the map sent over theirs.
                links[rank].reset();
                Err(UnreadRank { rank, error: "no answer in time".to_owned() })
            }
        }
    };
    let first = read(0).await?;
    let others = join_all((1..links.len()).map(read)).await;
    let others = others.into_iter().collect::<Result<Vec<RankObservation>, UnreadRank>>()?;
    Ok(std::iter::once(first).chain(others).collect())
}

async fn within<T>(ranks: usize, call: RankFuture<'_, T>) -> Option<T> {
    in_time(ANSWER_MILLIS + ANSWER_MILLIS_A_RANK * ranks as u64, call).await
}

/// How long an answer to an order is waited for, in milliseconds.
fn order_millis(order: EngineOrder, ranks: usize) -> u64 {
    match order {
        EngineOrder::Prepare { .. } => ANSWER_MILLIS + ANSWER_MILLIS_A_RANK * ranks as u64,
        _ => ORDER_MILLIS + ORDER_MILLIS_A_RANK * ranks as u64,
    }
}

fn millis_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

async fn in_time<T>(millis: u64, call: RankFuture<'_, T>) -> Option<T> {
    let answered = tokio::time::timeout(Duration::from_millis(millis), call).await;
    answered.ok()?.ok()
}
