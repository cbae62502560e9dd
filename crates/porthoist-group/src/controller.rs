//! Engines that hold a group themselves, and the planner that keeps their expert map close to the demand.
//!
//! The process beside the first rank plans and switches; the others observe their own engine and pass orders on to it.

use crate::group_control::{GroupControl, GroupObservation, UnreachableRank};
use crate::rank_control::{ExpertLists, OrderAnswer};
use porthoist_policy::placement::copying::CopyTimes;
use porthoist_policy::placement::demand::{DemandChange, DemandEstimator};
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap, EqualSharePlan, improve};
use porthoist_policy::roll_forward::{
    EngineOrder, GroupEpoch, RankPace, RankState, RankView, RollForwardDriver, RollForwardRules,
};
use porthoist_policy::switch::MapVersion;
use slog::{Logger, info, warn};
use tokio::time::Instant;

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
    pub bounds: EqualShareBounds,
}

/// What a round of the planner did; says when the next one should come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// Nothing is under way.
    Idle,
    /// The demand began to shift; the next window shows all of it.
    Shifting,
    /// Experts are being copied.
    Copying,
    /// The group is held or about to be.
    Holding,
    /// The first rank could not be heard, or the group does not run.
    Unreachable,
}

/// The map in force with the epoch that it belongs to.
#[derive(Debug, Clone)]
struct KnownMap {
    epoch: GroupEpoch,
    version: MapVersion,
    map: EqualShareMap,
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
pub struct ExpertMapController {
    shape: GroupShape,
    driver: RollForwardDriver,
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
    full_reads: u64,
    /// How slow each rank is, as the last round saw it.
    paces: Vec<RankPace>,
    /// The last view of each rank in this formation; none before all were heard once.
    views: Vec<RankView>,
    /// Ranks that the last round did not hear, with the moment since which they were not.
    unheard: Vec<Option<Instant>>,
    /// Whether the last round read all ranks.
    seeing: bool,
    /// Whether a switch waits for a rank, and that was said.
    waiting: bool,
    logger: Logger,
}

impl ExpertMapController {
    /// A planner that knows nothing of its group yet.
    pub fn new(shape: GroupShape, logger: Logger) -> Self {
        Self {
            driver: RollForwardDriver::new(RollForwardRules::SOUND),
            demand: DemandEstimator::new(shape.sets, shape.experts),
            known: None,
            next: None,
            copy_times: CopyTimes::default(),
            timed: None,
            gathered: vec![0; shape.sets * shape.experts],
            shifting: false,
            requests: Vec::new(),
            full_reads: 0,
            paces: Vec::new(),
            views: Vec::new(),
            unheard: Vec::new(),
            seeing: true,
            waiting: false,
            shape,
            logger,
        }
    }

    /// One round: observes the ranks, the first before the others, and gives the orders that follow. `fresh` is a
    /// version that no other life of this process uses.
    pub async fn run_round(&mut self, group: &dyn GroupControl, fresh: MapVersion) -> RoundOutcome {
        self.round_of(group, fresh, true).await
    }

    /// A round that reads no counts, for the loads alone; a switch that is under way goes on.
    pub async fn run_load_round(&mut self, group: &dyn GroupControl, fresh: MapVersion) -> RoundOutcome {
        self.round_of(group, fresh, false).await
    }

    async fn round_of(
        &mut self,
        group: &dyn GroupControl,
        fresh: MapVersion,
        counting: bool,
    ) -> RoundOutcome {
        if !self.observe_first(group).await && !self.observe(group, fresh, counting).await {
            return RoundOutcome::Unreachable;
        }
        let sent = self.drive(group).await;
        self.pace(sent)
    }

    /// While a switch holds the group, reads the first rank alone: the others' views come with their answers to
    /// orders. Returns whether that is enough.
    async fn observe_first(&mut self, group: &dyn GroupControl) -> bool {
        if !self.driver.holding() || self.views.len() != group.ranks() {
            return false;
        }
        let Some(RankState { view, open, .. }) = group.observe_first().await else { return false };
        let same = open && view.epoch == self.views[0].epoch;
        self.views[0] = view;
        same && !self.driver.any_rank_switched(&self.views)
    }

    /// Reads all ranks, and plans where nothing is under way and all were heard. Returns whether the first one could be
    /// read and the group runs.
    ///
    /// A rank that is missing costs its own counts and load: with hundreds of ranks one nearly always is. Only a switch
    /// needs them all.
    async fn observe(&mut self, group: &dyn GroupControl, fresh: MapVersion, counting: bool) -> bool {
        let counting = counting && !self.driver.holding();
        let mut reading = group.observe(counting).await;
        let Some(first) = reading.states.first().cloned().flatten() else {
            self.note_unread(reading.unread.as_ref());
            return false;
        };
        if !first.open || first.size != group.ranks() {
            return false;
        }
        self.take_states(&first, &mut reading);
        self.note_unheard(reading.unread.as_ref());
        for (sum, count) in self.gathered.iter_mut().zip(&reading.counts) {
            *sum += u64::from(*count);
        }
        if self.views.is_empty() || self.unheard.iter().any(Option::is_some) {
            if self.driver.target().is_none() {
                self.take_window();
            }
            return true;
        }
        let views = self.views.clone();
        self.settle(&views);
        if self.driver.can_begin(&views) && self.learn_map(group, &views).await {
            self.plan(&views, fresh);
        }
        true
    }

    /// Takes the ranks' states; those of another formation than the first one's count as unheard.
    fn take_states(&mut self, first: &RankState, reading: &mut GroupObservation) {
        self.full_reads += 1;
        let ranks = reading.states.len();
        self.requests.resize(ranks, 0);
        self.paces.resize(ranks, RankPace::USUAL);
        self.unheard.resize(ranks, None);
        for (rank, read) in reading.states.iter_mut().enumerate() {
            let fits =
                |state: &RankState| state.view.epoch == first.view.epoch && state.open && state.rank == rank;
            if !read.as_ref().is_some_and(fits) {
                *read = None;
            }
            let Some(state) = read else {
                self.unheard[rank].get_or_insert_with(Instant::now);
                continue;
            };
            self.unheard[rank] = None;
            self.requests[rank] = state.requests;
            self.paces[rank] = state.pace;
        }
        let views: Option<Vec<RankView>> =
            reading.states.iter().map(|state| state.as_ref().map(|state| state.view)).collect();
        let known = self.views.first().is_some_and(|view| view.epoch == first.view.epoch);
        match views {
            Some(views) => self.views = views,
            // Views of some ranks may be older than others: whatever was sent to a rank names its formation.
            None if known && self.views.len() == ranks => {
                let heard = reading.states.iter().zip(&mut self.views);
                heard.for_each(|(state, view)| *view = state.as_ref().map_or(*view, |state| state.view));
            }
            None => self.views.clear(),
        }
    }

    fn note_unread(&mut self, unread: Option<&UnreachableRank>) {
        if std::mem::replace(&mut self.seeing, false) {
            warn!(self.logger, "a rank can't be read"; "event" => "dependency_lost", "dependency" => "rank",
                "rank" => unread.map(|unread| unread.rank),
                "error" => unread.map(|unread| unread.error.as_str()));
        }
    }

    /// Says which ranks were not heard, and once for which one a switch waits.
    fn note_unheard(&mut self, unread: Option<&UnreachableRank>) {
        let Some(rank) = self.unheard.iter().position(Option::is_some) else {
            if !std::mem::replace(&mut self.seeing, true) {
                info!(self.logger, "all ranks are read again"; "event" => "dependency_regained",
                    "dependency" => "rank");
            }
            self.waiting = false;
            return;
        };
        let known = unread.cloned();
        let other = || UnreachableRank { rank, error: "it is in another formation".to_owned() };
        self.note_unread(Some(&known.unwrap_or_else(other)));
        let since = self.unheard[rank];
        if self.driver.target().is_some() && !std::mem::replace(&mut self.waiting, true) {
            warn!(self.logger, "a switch waits for a rank"; "event" => "switch_waits", "rank" => rank,
                "unheard_ms" => since.map(|since| since.elapsed().as_millis() as u64));
        }
    }

    /// Gives orders, and those that follow from the answers, until nothing new follows. Returns how many were given.
    async fn drive(&mut self, group: &dyn GroupControl) -> usize {
        let mut given = 0;
        let mut last = Vec::new();
        loop {
            let mut orders = self.driver.next(&self.views);
            // The number of orders that an unheard rank has begun is not known, which a prepare must name.
            orders.retain(|(rank, order)| {
                self.is_reachable(*rank) || !matches!(order, EngineOrder::Prepare { .. })
            });
            if orders.is_empty() || orders == last {
                return given;
            }
            given += orders.len();
            self.send(group, &orders).await;
            let copying = orders.iter().any(|(_rank, order)| matches!(order, EngineOrder::Prepare { .. }));
            if copying {
                return given;
            }
            last = orders;
        }
    }

    /// Since when a rank is not heard, of all the one that is not for longest.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unheard.iter().flatten().min().copied()
    }

    /// Whether the last round heard a rank.
    pub fn is_reachable(&self, rank: usize) -> bool {
        self.unheard.get(rank).is_none_or(Option::is_none)
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
    pub fn full_reads(&self) -> u64 {
        self.full_reads
    }

    /// How slow each rank is, as the last round saw it.
    pub fn paces(&self) -> &[RankPace] {
        &self.paces
    }

    fn pace(&self, sent: usize) -> RoundOutcome {
        if self.views.first().is_some_and(|view| view.held.is_some()) || self.driver.holding() {
            return RoundOutcome::Holding;
        }
        if self.driver.target().is_some() || sent > 0 {
            return RoundOutcome::Copying;
        }
        if self.shifting { RoundOutcome::Shifting } else { RoundOutcome::Idle }
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
                self.copy_times.record_switch(millis_since(since));
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
            self.copy_times.record_copies(copies, millis_since(since));
            self.timed = Some(TimedStage::Switching { since: Instant::now() });
        }
    }

    /// Reads the map in force from all ranks unless it is known.
    async fn learn_map(&mut self, group: &dyn GroupControl, views: &[RankView]) -> bool {
        if self.known.is_some() {
            return true;
        }
        let asked = group.lists().await;
        let Some(lists) = asked.into_iter().collect::<Option<Vec<ExpertLists>>>() else { return false };
        let version = views[0].map;
        let alike = lists.iter().all(|list| list.version == version && list.experts.len() == self.shape.sets);
        if !alike {
            return false;
        }
        let of_set = |set: usize| lists.iter().map(|list| list.experts[set].clone()).collect();
        let map = EqualShareMap::new((0..self.shape.sets).map(of_set).collect());
        self.known = Some(KnownMap { epoch: views[0].epoch, version, map });
        true
    }

    /// Takes what was gathered as a window of the demand, once it holds enough. Returns whether it did.
    fn take_window(&mut self) -> bool {
        if self.gathered.iter().sum::<u64>() < MIN_CHOICES * self.shape.sets as u64 {
            return false;
        }
        let news = self.demand.add_window(&self.gathered);
        self.gathered.fill(0);
        self.shifting = news == DemandChange::PossibleShift;
        true
    }

    fn plan(&mut self, views: &[RankView], fresh: MapVersion) {
        if !self.take_window() {
            return;
        }
        let Some(known) = &self.known else { return };
        // On the first map nothing is worse than to wait.
        if self.shifting && known.version != MapVersion(0) {
            return;
        }
        let wanted = self.shape.bounds.new_a_rank;
        let bounds =
            EqualShareBounds { new_a_rank: self.copy_times.copies_per_rank(wanted), ..self.shape.bounds };
        let plan = improve(&known.map, self.demand.demand(), &self.paces, &bounds);
        let copies =
            (0..views.len()).map(|rank| plan.map.new_experts(&known.map, rank)).max().unwrap_or_default();
        if plan.skew_before - plan.skew_after < MIN_GAIN * plan.skew_before {
            return;
        }
        self.timed = Some(TimedStage::Copying { copies, since: Instant::now() });
        let version = self.driver.begin(views, fresh);
        self.log_plan(&plan, version, views);
        self.next = Some(KnownMap { epoch: views[0].epoch, version, map: plan.map });
    }

    fn log_plan(&self, plan: &EqualSharePlan, version: MapVersion, views: &[RankView]) {
        info!(self.logger, "expert map planned"; "event" => "map_planned", "version" => version.0,
            "moves" => plan.moves, "skew_before" => plan.skew_before, "skew_after" => plan.skew_after,
            "epoch" => views[0].epoch.0, "step" => views[0].step.0,
            "slowest" => self.paces.iter().max().map(|pace| pace.factor()), "requests" => self.requests.iter().sum::<u32>(), "most_requests" => self.requests.iter().max());
    }

    /// Sends orders and takes the views that come with the answers.
    async fn send(&mut self, group: &dyn GroupControl, orders: &[(usize, EngineOrder)]) {
        let map = self.next.as_ref().map(|next| &next.map);
        let answers = group.order(orders, map).await;
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

fn millis_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}
