//! Serves the engine next to this process to the processes of the other ranks, and plans for the group if the
//! engine is its first rank.

use crate::component::spawn_task;
use crate::settings::rank::RankSettings;
use porthoist_core::{ClockSource, ServiceName, UnixDeadline, ZoneName};
use porthoist_fleet::{AgedLoads, BranchedGroup, PeerPool, RankBranches};
use porthoist_group::{
    AdaptiveTimeout, ExpertMapController, GroupShape, GroupTimeouts, RankControl, RoundOutcome,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareBounds;
use porthoist_policy::proxy::pass_time::PassTimer;
use porthoist_policy::roll_forward::{GroupEpoch, RankState};
use porthoist_policy::switch::MapVersion;
use porthoist_proxy::{ControlState, ControlWatch};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

mod own_rank;
mod reporting;

use own_rank::MAX_SWITCH_MILLIS;
pub use own_rank::OwnRank;

/// Interval in milliseconds between readings of expert counts while the group is idle; demand shifts every
/// few seconds.
const COUNTS_INTERVAL_MILLIS: u64 = 150;
/// Delay in milliseconds before the reading that covers a demand shift completely: a forward pass, of about
/// 100, lies within the delay and the round.
const SHIFT_DELAY_MILLIS: u64 = 60;
/// Delay in milliseconds between rounds while experts are copied; copying an expert takes about 100 ms.
const COPY_DELAY_MILLIS: u64 = 25;
/// Delay in milliseconds between rounds while the group is held.
const HOLD_DELAY_MILLIS: u64 = 2;
/// Delay in milliseconds between turns of a process that does not plan.
const IDLE_DELAY_MILLIS: u64 = 400;
/// Delay in milliseconds between turns of a process that should plan and cannot yet. It is short because a
/// newly formed group runs at a third of its pace until its first map, and cheap because only the own engine
/// is read.
const BLOCKED_DELAY_MILLIS: u64 = 80;
/// Minimum timeout for asking a process which rank it serves; it may need to be connected to first.
const MIN_FIND_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial delay in milliseconds before the processes next to the service's engines are asked again for their
/// ranks while a rank of the group is unreachable. It doubles up to [`MAX_FIND_DELAY_MILLIS`].
const MIN_FIND_DELAY_MILLIS: u64 = 80;
/// Maximum of that delay in milliseconds; a rank that moved to another host is found within it.
const MAX_FIND_DELAY_MILLIS: u64 = 640;
/// Minimum interval in milliseconds between load reports of the group. With much rarer reports, all entries
/// send to the same ranks at once because those look idle.
const LOADS_INTERVAL_MILLIS: u64 = 80;
/// Maximum number of experts in all sets of a model for which maps are planned. A plan takes some hundred
/// bytes for each.
const MAX_EXPERTS: usize = 65_536;
/// Epoch of map versions in Unix milliseconds: the beginning of 2026.
const VERSION_EPOCH_MILLIS: u64 = 1_767_225_600_000;
/// Milliseconds per map version. Restarting the process takes longer, so its versions never repeat.
const VERSION_MILLIS: u64 = 100;

/// The hosts of the group's ranks as last found.
#[derive(Debug)]
struct LocatedGroup {
    epoch: GroupEpoch,
    group_control: BranchedGroup,
}

/// Plans for the group while the engine next to this process is its first rank.
#[derive(Debug, bon::Builder)]
pub struct PlanningLoop {
    settings: RankSettings,
    /// The rank next to this process.
    own: Rc<OwnRank>,
    /// Follows the table service; started once this process plans, since other ranks need nothing from it.
    control: Option<ControlWatch>,
    /// Last known services and targets.
    state: watch::Receiver<ControlState>,
    /// The last load report of the group, while this process plans for it.
    loads: watch::Sender<Option<AgedLoads>>,
    /// Connections to the processes next to other ranks.
    peers: Rc<PeerPool>,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
    #[builder(skip)]
    loads_due: UnixDeadline,
    /// The planner's number of readings at the last load report.
    #[builder(skip)]
    reported_readings: u64,
    /// Measures the duration of the group's forward passes.
    #[builder(skip)]
    passes: PassTimer,
    #[builder(skip)]
    counts_due: UnixDeadline,
    /// Hosts that ran a rank of this group, with their zones. After an outage their table rows may be missing
    /// for a while, although their ranks run again.
    #[builder(skip)]
    members: BTreeMap<Ipv4Addr, ZoneName>,
    #[builder(skip)]
    group: Option<LocatedGroup>,
    #[builder(skip)]
    find_due: UnixDeadline,
    #[builder(skip = MIN_FIND_DELAY_MILLIS)]
    find_delay: u64,
    #[builder(skip = RefCell::new(AdaptiveTimeout::new(MIN_FIND_TIMEOUT)))]
    find_timeout: RefCell<AdaptiveTimeout>,
    #[builder(skip)]
    timeouts: Rc<GroupTimeouts>,
    #[builder(skip)]
    planner: Option<ExpertMapController>,
    /// Whether the last reading of the own engine succeeded.
    #[builder(skip = true)]
    engine_readable: bool,
    /// Whether maps can be planned for the model in the configuration.
    #[builder(skip = true)]
    model_usable: bool,
    /// Number of requests whose cost equals the fixed cost of a step, by the engine model in the
    /// configuration.
    #[builder(skip)]
    step_requests: f64,
}

impl PlanningLoop {
    /// Runs until `stop` is set and the switch in progress has ended.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let delay = self.run_turn().await;
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay)) => {}
                Ok(_stop) = stop.wait_for(|stop| *stop) => {}
            }
        }
        if self.planner.is_some() {
            self.finish_switch().await;
        } else {
            self.own.leave_switches().await;
        }
    }

    /// Finishes the switch in progress and begins no other one. A group that is held stays so until its planning process
    /// goes on, so only a switch that holds none is left to the next one.
    async fn finish_switch(&mut self) {
        let until = UnixDeadline::after(self.clock.now(), MAX_SWITCH_MILLIS);
        loop {
            let Some(planner) = &mut self.planner else { return };
            planner.begin_no_switch();
            let left = !planner.holds_group() && until.passed(self.clock.now());
            if !planner.switching() || left {
                return;
            }
            let delay = self.run_turn().await;
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Runs one turn; returns the delay in milliseconds before the next one.
    async fn run_turn(&mut self) -> u64 {
        let own = match self.own.observe(false).await {
            Ok(own) => own,
            Err(error) => {
                self.log_engine_lost(&error);
                // A held group must not wait long.
                return if self.planner.is_some() { BLOCKED_DELAY_MILLIS } else { IDLE_DELAY_MILLIS };
            }
        };
        self.log_engine_regained();
        if own.state.rank != 0 || !own.state.open {
            self.stop_planning(&own.state);
            return if own.state.rank == 0 { BLOCKED_DELAY_MILLIS } else { IDLE_DELAY_MILLIS };
        }
        if let Some(control) = self.control.take() {
            spawn_task(async move { control.run().await });
        }
        self.measure_pass(&own.state);
        self.find_group(&own.state).await;
        if self.group.is_none() {
            return BLOCKED_DELAY_MILLIS;
        }
        if self.planner.is_none() {
            let Some(shape) = self.group_shape(own.state.size) else { return BLOCKED_DELAY_MILLIS };
            info!(self.logger, "started planning for the group"; "event" => "planner_start", "group" => own.state.group,
                "ranks" => own.state.size);
            self.planner = Some(ExpertMapController::new(shape, self.logger.clone()));
        }
        let Some(outcome) = self.run_round().await else { return BLOCKED_DELAY_MILLIS };
        if outcome != RoundOutcome::Unreachable {
            self.publish_loads();
        }
        self.delay_after(outcome)
    }

    fn log_engine_lost(&mut self, error: &CallError) {
        if std::mem::replace(&mut self.engine_readable, false) {
            warn!(self.logger, "failed to read the engine"; "event" => "dependency_lost", "dependency" => "engine",
                "error" => error.to_string());
        }
    }

    fn log_engine_regained(&mut self) {
        if !std::mem::replace(&mut self.engine_readable, true) {
            info!(self.logger, "engine readable again"; "event" => "dependency_regained",
                "dependency" => "engine");
        }
    }

    /// Runs one round of the planner, with expert counts if they are due.
    async fn run_round(&mut self) -> Option<RoundOutcome> {
        let version = self.new_version();
        let group_control = &self.group.as_ref()?.group_control;
        let planner = self.planner.as_mut()?;
        if !self.counts_due.passed(self.clock.now()) {
            return Some(planner.run_load_round(group_control, version).await);
        }
        let outcome = planner.run_round(group_control, version).await;
        self.counts_due = UnixDeadline::after(self.clock.now(), COUNTS_INTERVAL_MILLIS);
        Some(outcome)
    }

    /// The delay before the next turn in milliseconds.
    fn delay_after(&mut self, outcome: RoundOutcome) -> u64 {
        let now = self.clock.now();
        match outcome {
            RoundOutcome::Idle => {
                LOADS_INTERVAL_MILLIS.min(self.counts_due.remaining(now).as_millis() as u64)
            }
            RoundOutcome::Shifting => {
                self.counts_due = UnixDeadline::after(now, SHIFT_DELAY_MILLIS);
                SHIFT_DELAY_MILLIS
            }
            RoundOutcome::Copying => COPY_DELAY_MILLIS,
            RoundOutcome::Holding => HOLD_DELAY_MILLIS,
            RoundOutcome::Unreachable => COUNTS_INTERVAL_MILLIS,
        }
    }

    /// Asks the processes next to all engines of the service for their ranks, if the group re-formed or a
    /// rank is unreachable.
    async fn find_group(&mut self, own: &RankState) {
        let known = self.group.as_ref().is_some_and(|group| group.epoch == own.view.epoch);
        let missing = self.planner.as_ref().is_some_and(|planner| planner.unreachable_since().is_some())
            || self
                .group
                .as_ref()
                .is_none_or(|group| group.group_control.hosts().iter().any(Option::is_none));
        if known && !missing {
            self.find_delay = MIN_FIND_DELAY_MILLIS;
            return;
        }
        let now = self.clock.now();
        if known && !self.find_due.passed(now) {
            return;
        }
        self.find_due = UnixDeadline::after(now, self.find_delay);
        self.find_delay = (self.find_delay * 2).min(MAX_FIND_DELAY_MILLIS);
        let found = self.query_ranks(own).await;
        if !known {
            self.group = None;
        }
        self.update_hosts(own, &found);
    }

    /// Hosts of the group's other ranks, by rank, as far as they answer.
    async fn query_ranks(&self, own: &RankState) -> BTreeMap<usize, Ipv4Addr> {
        let hosts = self.candidates();
        self.peers.retain(&hosts.keys().copied().collect());
        let (states, _counts) =
            RankBranches::new(&hosts, Rc::clone(&self.peers)).observe(false, &self.find_timeout).await;
        let same = |state: &RankState| {
            state.group == own.group && state.view.epoch == own.view.epoch && state.rank != own.rank
        };
        let ours = states.into_iter().filter(|(_host, state)| same(state) && state.rank < own.size);
        ours.map(|(host, state)| (state.rank, host)).collect()
    }

    /// Updates the hosts of ranks. A rank that did not answer is assumed to be where it was earlier in this
    /// formation.
    fn update_hosts(&mut self, own: &RankState, found: &BTreeMap<usize, Ipv4Addr>) {
        let taken: HashSet<Ipv4Addr> = found.values().copied().collect();
        let mut hosts: Vec<Option<Ipv4Addr>> = (0..own.size).map(|rank| found.get(&rank).copied()).collect();
        let IpAddr::V4(first) = self.settings.rank_listen.ip() else { return };
        hosts[0] = Some(first);
        if let Some(group) = &self.group {
            for (host, earlier) in hosts.iter_mut().zip(group.group_control.hosts()) {
                *host = host.or(earlier.filter(|earlier| !taken.contains(earlier)));
            }
            if group.group_control.hosts() == hosts {
                return;
            }
        }
        if hosts.iter().flatten().count() < 2 && own.size > 1 {
            return;
        }
        let candidates = self.candidates();
        let own_zone = &self.settings.zone;
        let zone = |host: &Ipv4Addr| candidates.get(host).unwrap_or(own_zone).clone();
        let others: BTreeMap<Ipv4Addr, ZoneName> =
            hosts.iter().skip(1).flatten().map(|host| (*host, zone(host))).collect();
        self.members.clone_from(&others);
        let branches = RankBranches::new(&others, Rc::clone(&self.peers));
        let rank_control: Rc<dyn RankControl> = Rc::<OwnRank>::clone(&self.own);
        let group_control = BranchedGroup::new(
            rank_control,
            hosts,
            branches,
            Rc::clone(&self.timeouts),
            self.settings.link_rate,
        );
        self.group = Some(LocatedGroup { epoch: own.view.epoch, group_control });
    }

    /// Hosts of the service's other engines and of the last known members of the group.
    fn candidates(&self) -> BTreeMap<Ipv4Addr, ZoneName> {
        let state = self.state.borrow();
        let mut hosts = self.members.clone();
        let Some(service) = self.own_service(&state) else { return hosts };
        let others = state.targets.records().filter(|record| record.service == service);
        let others = others.filter(|record| record.address != self.settings.engine);
        hosts.extend(others.filter_map(|record| match record.address.ip() {
            IpAddr::V4(host) => Some((host, record.zone.clone())),
            IpAddr::V6(_host) => None,
        }));
        hosts
    }

    fn own_service(&self, state: &ControlState) -> Option<ServiceName> {
        let own = state.targets.records().find(|record| record.address == self.settings.engine)?;
        Some(own.service.clone())
    }

    fn group_shape(&mut self, ranks: usize) -> Option<GroupShape> {
        let state = self.state.borrow();
        let service = self.own_service(&state)?;
        let engine = state.routes.as_ref()?.services.get(&service)?.engine.as_ref()?;
        let experts = engine.sets.checked_mul(engine.experts);
        if experts.is_none_or(|experts| experts > MAX_EXPERTS) {
            if std::mem::replace(&mut self.model_usable, false) {
                warn!(self.logger, "too many experts to plan maps for"; "event" => "model_unusable",
                    "sets" => engine.sets, "experts" => engine.experts);
            }
            return None;
        }
        self.model_usable = true;
        let bounds = EqualShareBounds {
            max_experts: engine.max_experts,
            max_new_experts: engine.max_new_experts,
            max_new_per_rank: self.settings.new_a_rank,
            move_price: self.settings.move_price / ranks.max(1) as f64,
        };
        self.step_requests = engine.step_millis / engine.request_millis.max(f64::MIN_POSITIVE);
        Some(GroupShape { sets: engine.sets, experts: engine.experts, bounds })
    }

    fn new_version(&self) -> MapVersion {
        let millis = self.clock.now().0.saturating_sub(VERSION_EPOCH_MILLIS);
        MapVersion((millis / VERSION_MILLIS) as u32)
    }
}
