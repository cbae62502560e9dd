//! Controller that keeps a group's expert map close to the demand, where the engines themselves hold the group for a switch.
//!
//! The process next to the first rank plans and switches maps. The other processes observe their own engine and forward
//! orders to it.

use crate::group_control::{GroupControl, GroupObservation, UnreachableRank};
use crate::rank_control::{ExpertLists, OrderAnswer};
use porthoist_policy::placement::copy_times::CopyTimes;
use porthoist_policy::placement::demand::{DemandChange, DemandEstimator};
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap, EqualSharePlan, improve};
use porthoist_policy::proxy::demand::ServiceDemand;
use porthoist_policy::roll_forward::{
    EngineOrder, GroupEpoch, RankPace, RankState, RankView, RollForwardDriver, RollForwardRules,
};
use porthoist_policy::switch::MapVersion;
use slog::{Logger, info, warn};
use tokio::time::Instant;

/// Least reduction of the skew that a plan must bring, as part of the skew: less is within the error of the estimate.
const MIN_SKEW_REDUCTION: f64 = 0.05;
/// Least number of expert choices per set that a window must contain to be worth an estimate: 20 for each expert of a
/// typical set.
const MIN_CHOICES: u64 = 1_500;

/// The shape of a group's experts, as configured by its operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupShape {
    /// Number of expert sets.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Bounds of a plan.
    pub bounds: EqualShareBounds,
}

/// What a round of the controller did, which determines when the next one is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// No change is in progress.
    Idle,
    /// The demand has begun to shift; the next window will show the whole shift.
    Shifting,
    /// Experts are being copied.
    Copying,
    /// The group is held before its next pass, or about to be.
    Holding,
    /// The first rank could not be reached, or the group is not running.
    Unreachable,
}

/// A map with its version and the epoch that it belongs to.
#[derive(Debug, Clone)]
struct VersionedMap {
    epoch: GroupEpoch,
    version: MapVersion,
    map: EqualShareMap,
}

/// A timed stage of the switch in progress.
#[derive(Debug, Clone, Copy)]
enum TimedStage {
    /// Ranks have been copying experts since then; `copies` is the most of any rank.
    Copying { copies: usize, since: Instant },
    /// All copies have been complete since then.
    Switching { since: Instant },
}

/// Whether new switches begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ControllerPhase {
    /// A switch begins whenever a plan is worth one.
    Planning,
    /// The process is stopping: only a switch in progress goes on.
    Ending,
}

/// Plans the expert map of one group and switches the group to it.
#[derive(Debug)]
pub struct ExpertMapController {
    shape: GroupShape,
    driver: RollForwardDriver,
    demand: DemandEstimator,
    /// The map in force.
    current_map: Option<VersionedMap>,
    /// The map that the group is being switched to.
    next_map: Option<VersionedMap>,
    copy_times: CopyTimes,
    /// The stage of the switch in progress that is being timed.
    timed_stage: Option<TimedStage>,
    /// Counts gathered for the next window of the demand.
    window_counts: Vec<u64>,
    shifting: bool,
    requests: Vec<u32>,
    /// Number of rounds that read all ranks.
    full_reads: u64,
    /// When the last round that read all ranks began, shortly before it read the first one.
    read_at: Instant,
    /// Demand of all entries as of that round.
    entry_demand: Option<ServiceDemand>,
    /// Slowness of each rank as of the last round.
    paces: Vec<RankPace>,
    /// The last view of each rank in this epoch; empty until all ranks have answered once.
    views: Vec<RankView>,
    /// Since when each rank has not answered; `None` if it answered in the last round.
    unreachable: Vec<Option<Instant>>,
    /// Whether the last round read all ranks.
    all_reachable: bool,
    /// Whether it was logged that a switch waits for a rank.
    wait_logged: bool,
    phase: ControllerPhase,
    logger: Logger,
}

impl ExpertMapController {
    /// Creates a controller that knows nothing of its group yet.
    pub fn new(shape: GroupShape, logger: Logger) -> Self {
        Self {
            driver: RollForwardDriver::new(RollForwardRules::SOUND),
            demand: DemandEstimator::new(shape.sets, shape.experts),
            current_map: None,
            next_map: None,
            copy_times: CopyTimes::default(),
            timed_stage: None,
            window_counts: vec![0; shape.sets * shape.experts],
            shifting: false,
            requests: Vec::new(),
            full_reads: 0,
            read_at: Instant::now(),
            entry_demand: None,
            paces: Vec::new(),
            views: Vec::new(),
            unreachable: Vec::new(),
            all_reachable: true,
            wait_logged: false,
            phase: ControllerPhase::Planning,
            shape,
            logger,
        }
    }

    /// Runs one round: observes the ranks, the first before the others, and sends the orders that follow. `new_version`
    /// must be a version that no other run of this process uses.
    pub async fn run_round(&mut self, group: &dyn GroupControl, new_version: MapVersion) -> RoundOutcome {
        self.run_round_with(group, new_version, true).await
    }

    /// Runs a round that reads loads but no counts; it continues a switch that is in progress.
    pub async fn run_load_round(
        &mut self,
        group: &dyn GroupControl,
        new_version: MapVersion,
    ) -> RoundOutcome {
        self.run_round_with(group, new_version, false).await
    }

    async fn run_round_with(
        &mut self,
        group: &dyn GroupControl,
        new_version: MapVersion,
        with_counts: bool,
    ) -> RoundOutcome {
        if !self.observe_first(group).await && !self.observe(group, new_version, with_counts).await {
            return RoundOutcome::Unreachable;
        }
        let sent = self.send_due_orders(group).await;
        self.round_outcome(sent)
    }

    /// While a switch holds the group, reads only the first rank: the others' views come with their answers to orders.
    /// Returns whether that is enough.
    async fn observe_first(&mut self, group: &dyn GroupControl) -> bool {
        if !self.driver.holding() || self.views.len() != group.ranks() {
            return false;
        }
        let Some(RankState { view, open, .. }) = group.observe_first().await else { return false };
        let same = open && view.epoch == self.views[0].epoch;
        self.views[0] = view;
        same && !self.driver.any_rank_switched(&self.views)
    }

    /// Reads all ranks, and plans if no switch is in progress and all ranks answered. Returns whether the first one could
    /// be read and the group is running.
    ///
    /// A rank that does not answer costs only its own counts and load: with hundreds of ranks, one is nearly always
    /// missing. Only a switch needs all of them.
    async fn observe(
        &mut self,
        group: &dyn GroupControl,
        new_version: MapVersion,
        with_counts: bool,
    ) -> bool {
        let with_counts = with_counts && !self.driver.holding();
        let began = Instant::now();
        let mut observation = group.observe(with_counts).await;
        let Some(first) = observation.states.first().cloned().flatten() else {
            self.log_unreachable(observation.unreachable.as_ref());
            return false;
        };
        if !first.open || first.size != group.ranks() {
            return false;
        }
        self.read_at = began;
        self.entry_demand = observation.demand.take();
        self.update_states(&first, &mut observation);
        self.log_reachability(observation.unreachable.as_ref());
        for (sum, count) in self.window_counts.iter_mut().zip(&observation.counts) {
            *sum += u64::from(*count);
        }
        if self.views.is_empty() || self.unreachable.iter().any(Option::is_some) {
            if self.driver.target().is_none() {
                self.update_demand();
            }
            return true;
        }
        let views = self.views.clone();
        self.update_maps(&views);
        if self.phase == ControllerPhase::Planning
            && self.driver.can_begin(&views)
            && self.read_current_map(group, &views).await
        {
            self.plan(&views, new_version);
        }
        true
    }

    /// Updates the ranks' states. A rank in another epoch than the first one counts as unreachable.
    fn update_states(&mut self, first: &RankState, observation: &mut GroupObservation) {
        self.full_reads += 1;
        let ranks = observation.states.len();
        self.requests.resize(ranks, 0);
        self.paces.resize(ranks, RankPace::USUAL);
        self.unreachable.resize(ranks, None);
        for (rank, read) in observation.states.iter_mut().enumerate() {
            let fits =
                |state: &RankState| state.view.epoch == first.view.epoch && state.open && state.rank == rank;
            if !read.as_ref().is_some_and(fits) {
                *read = None;
            }
            let Some(state) = read else {
                self.unreachable[rank].get_or_insert_with(Instant::now);
                continue;
            };
            self.unreachable[rank] = None;
            self.requests[rank] = state.requests;
            self.paces[rank] = state.pace;
        }
        let views: Option<Vec<RankView>> =
            observation.states.iter().map(|state| state.as_ref().map(|state| state.view)).collect();
        let known = self.views.first().is_some_and(|view| view.epoch == first.view.epoch);
        match views {
            Some(views) => self.views = views,
            // Some views may be older than others, which is harmless: every order names the epoch it is meant for.
            None if known && self.views.len() == ranks => {
                let states = observation.states.iter().zip(&mut self.views);
                states.for_each(|(state, view)| *view = state.as_ref().map_or(*view, |state| state.view));
            }
            None => self.views.clear(),
        }
    }

    fn log_unreachable(&mut self, unreachable: Option<&UnreachableRank>) {
        if std::mem::replace(&mut self.all_reachable, false) {
            warn!(self.logger, "a rank can't be read"; "event" => "dependency_lost", "dependency" => "rank",
                "rank" => unreachable.map(|unreachable| unreachable.rank),
                "error" => unreachable.map(|unreachable| unreachable.error.as_str()));
        }
    }

    /// Logs whether a rank does not answer, and once if a switch waits for it.
    fn log_reachability(&mut self, unreachable: Option<&UnreachableRank>) {
        let Some(rank) = self.unreachable.iter().position(Option::is_some) else {
            if !std::mem::replace(&mut self.all_reachable, true) {
                info!(self.logger, "all ranks can be read again"; "event" => "dependency_regained",
                    "dependency" => "rank");
            }
            self.wait_logged = false;
            return;
        };
        let known = unreachable.cloned();
        let other = || UnreachableRank { rank, error: "it is in another epoch of the group".to_owned() };
        self.log_unreachable(Some(&known.unwrap_or_else(other)));
        let since = self.unreachable[rank];
        if self.driver.target().is_some() && !std::mem::replace(&mut self.wait_logged, true) {
            warn!(self.logger, "a switch waits for a rank"; "event" => "switch_waits", "rank" => rank,
                "unheard_ms" => since.map(|since| since.elapsed().as_millis() as u64));
        }
    }

    /// Sends orders, and those that follow from the answers, until no new ones follow. Returns how many were sent.
    async fn send_due_orders(&mut self, group: &dyn GroupControl) -> usize {
        let mut sent = 0;
        let mut last = Vec::new();
        loop {
            let mut orders = self.driver.next(&self.views);
            // A prepare must name the rank's order sequence number, which is not known while the rank is unreachable.
            orders.retain(|(rank, order)| {
                self.is_reachable(*rank) || !matches!(order, EngineOrder::Prepare { .. })
            });
            if orders.is_empty() || orders == last {
                return sent;
            }
            sent += orders.len();
            self.send_orders(group, &orders).await;
            let copying = orders.iter().any(|(_rank, order)| matches!(order, EngineOrder::Prepare { .. }));
            if copying {
                return sent;
            }
            last = orders;
        }
    }

    /// Returns since when a rank has not answered, of all ranks the one that has not for longest.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable.iter().flatten().min().copied()
    }

    /// Whether a rank answered in the last round.
    pub fn is_reachable(&self, rank: usize) -> bool {
        self.unreachable.get(rank).is_none_or(Option::is_none)
    }

    /// Begins no new switch from now on; one in progress goes on.
    pub fn begin_no_switch(&mut self) {
        self.phase = ControllerPhase::Ending;
    }

    /// Whether a switch of this controller is in progress.
    pub fn switching(&self) -> bool {
        self.driver.target().is_some()
    }

    /// Whether the group is held, or may be, until this controller goes on.
    pub fn holds_group(&self) -> bool {
        self.driver.holding() && !self.driver.released(&self.views)
    }

    /// Whether a switch of this controller holds the group, or is about to.
    pub fn holding(&self) -> bool {
        self.driver.holding()
    }

    /// Returns the running and waiting requests of each rank as of the last round.
    pub fn requests(&self) -> &[u32] {
        &self.requests
    }

    /// Returns how many rounds read all ranks. While a switch holds the group, only the first rank is read.
    pub fn full_reads(&self) -> u64 {
        self.full_reads
    }

    /// Returns when the oldest reading of the ranks that answered in the last full round was taken, at the earliest.
    pub fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Returns the demand of all entries that report theirs, as of the last full round.
    pub fn entry_demand(&self) -> Option<&ServiceDemand> {
        self.entry_demand.as_ref()
    }

    /// Returns the slowness of each rank as of the last round.
    pub fn paces(&self) -> &[RankPace] {
        &self.paces
    }

    fn round_outcome(&self, sent: usize) -> RoundOutcome {
        if self.views.first().is_some_and(|view| view.held.is_some()) || self.driver.holding() {
            return RoundOutcome::Holding;
        }
        if self.driver.target().is_some() || sent > 0 {
            return RoundOutcome::Copying;
        }
        if self.shifting { RoundOutcome::Shifting } else { RoundOutcome::Idle }
    }

    /// Updates the maps after a switch, and drops those that the ranks no longer use.
    fn update_maps(&mut self, views: &[RankView]) {
        let epoch = views[0].epoch;
        let in_force =
            |map: &VersionedMap| map.epoch == epoch && views.iter().all(|view| view.map == map.version);
        if let Some(next) = self.next_map.take_if(|next| in_force(next)) {
            info!(self.logger, "expert map in force"; "event" => "map_in_force", "version" => next.version.0,
                "step" => views[0].step.0);
            if let Some(TimedStage::Switching { since }) = self.timed_stage.take() {
                self.copy_times.record_switch(millis_since(since));
            }
            self.current_map = Some(next);
        }
        self.time_copies(views);
        if self.current_map.as_ref().is_some_and(|current| !in_force(current)) && self.next_map.is_none() {
            self.current_map = None;
        }
        if self.next_map.as_ref().is_some_and(|next| next.epoch != epoch) {
            self.next_map = None;
        }
    }

    /// Records the copying time once all copies of a plan are complete.
    fn time_copies(&mut self, views: &[RankView]) {
        let Some(next) = &self.next_map else {
            self.timed_stage = None;
            return;
        };
        let Some(TimedStage::Copying { copies, since }) = self.timed_stage else { return };
        if views.iter().all(|view| view.prepared == Some(next.version)) {
            self.copy_times.record_copies(copies, millis_since(since));
            self.timed_stage = Some(TimedStage::Switching { since: Instant::now() });
        }
    }

    /// Reads the map in force from all ranks unless it is known. Returns whether it is known afterwards.
    async fn read_current_map(&mut self, group: &dyn GroupControl, views: &[RankView]) -> bool {
        if self.current_map.is_some() {
            return true;
        }
        let asked = group.expert_lists().await;
        let Some(lists) = asked.into_iter().collect::<Option<Vec<ExpertLists>>>() else { return false };
        let version = views[0].map;
        let consistent =
            lists.iter().all(|list| list.version == version && list.experts.len() == self.shape.sets);
        let mut experts = lists.iter().flat_map(|list| list.experts.iter().flatten());
        if !consistent || experts.any(|expert| usize::from(expert.0) >= self.shape.experts) {
            return false;
        }
        let of_set = |set: usize| lists.iter().map(|list| list.experts[set].clone()).collect();
        let map = EqualShareMap::new((0..self.shape.sets).map(of_set).collect());
        self.current_map = Some(VersionedMap { epoch: views[0].epoch, version, map });
        true
    }

    /// Adds the gathered counts to the demand as a window, once there are enough. Returns whether there were.
    fn update_demand(&mut self) -> bool {
        if self.window_counts.iter().sum::<u64>() < MIN_CHOICES * self.shape.sets as u64 {
            return false;
        }
        let change = self.demand.add_window(&self.window_counts);
        self.window_counts.fill(0);
        self.shifting = change == DemandChange::PossibleShift;
        true
    }

    fn plan(&mut self, views: &[RankView], new_version: MapVersion) {
        if !self.update_demand() {
            return;
        }
        let Some(current) = &self.current_map else { return };
        // The first map is so uneven that any plan is better than waiting for the next window.
        if self.shifting && current.version != MapVersion(0) {
            return;
        }
        let wanted = self.shape.bounds.max_new_per_rank;
        let bounds = EqualShareBounds {
            max_new_per_rank: self.copy_times.copies_per_rank(wanted),
            ..self.shape.bounds
        };
        let plan = improve(&current.map, self.demand.demand(), &self.paces, &bounds);
        let copies =
            (0..views.len()).map(|rank| plan.map.new_experts(&current.map, rank)).max().unwrap_or_default();
        if plan.skew_before - plan.skew_after < MIN_SKEW_REDUCTION * plan.skew_before {
            return;
        }
        self.timed_stage = Some(TimedStage::Copying { copies, since: Instant::now() });
        let version = self.driver.begin(views, new_version);
        self.log_plan(&plan, version, views);
        self.next_map = Some(VersionedMap { epoch: views[0].epoch, version, map: plan.map });
    }

    fn log_plan(&self, plan: &EqualSharePlan, version: MapVersion, views: &[RankView]) {
        info!(self.logger, "expert map planned"; "event" => "map_planned", "version" => version.0,
            "moves" => plan.moves, "skew_before" => plan.skew_before, "skew_after" => plan.skew_after,
            "epoch" => views[0].epoch.0, "step" => views[0].step.0,
            "slowest" => self.paces.iter().max().map(|pace| pace.factor()), "requests" => self.requests.iter().sum::<u32>(), "most_requests" => self.requests.iter().max());
    }

    /// Sends orders and updates the views from the answers.
    async fn send_orders(&mut self, group: &dyn GroupControl, orders: &[(usize, EngineOrder)]) {
        let map = self.next_map.as_ref().map(|next| &next.map);
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
            self.next_map = None;
        }
    }
}

fn millis_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}
