//! The rank duty: shows the engine beside this process to the others, and plans where it is the group's first rank.

use crate::settings::rank::RankSettings;
use porthoist_core::{ClockSource, ServiceName, UnixDeadline, ZoneName};
use porthoist_fleet::{BranchedGroup, PeerPool, RankBranches};
use porthoist_group::{
    AdaptiveTimeout, ExpertCounts, ExpertLists, ExpertMapController, GroupShape, GroupTimeouts, LocalEngine,
    OrderAnswer, RankControl, RankFuture, RankObservation, RoundOutcome,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap};
use porthoist_policy::proxy::loads::GroupLoads;
use porthoist_policy::proxy::pass_time::PassTimer;
use porthoist_policy::roll_forward::{EngineOrder, GroupEpoch, RankState};
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

mod telling;

/// Pause between readings of counts while nothing is under way, in milliseconds: demand shifts every few seconds.
const REST_MILLIS: u64 = 150;
/// Pause before the window that shows a shift of demand whole, in milliseconds: a pass, of about 100, lies within it and
/// the round.
const SHIFT_MILLIS: u64 = 60;
/// Pause between rounds while experts are copied, in milliseconds; one takes about 100.
const COPY_MILLIS: u64 = 25;
/// Pause between rounds while a group is held, in milliseconds.
const HOLD_MILLIS: u64 = 2;
/// Pause of a process beside a rank that does not plan, in milliseconds.
const IDLE_MILLIS: u64 = 400;
/// Pause of a process that is to plan and can't yet, in milliseconds: until its first map, a group that has formed anew
/// runs at a third of its pace. It asks its own engine only.
const WAIT_MILLIS: u64 = 80;
/// Time in which a process must at least say which rank it stands beside: it may have to be connected to first.
const FIND_FLOOR: Duration = Duration::from_millis(300);
/// First pause in milliseconds before the processes beside all engines of the service are asked again for their ranks,
/// while some rank of the group is not heard; it doubles up to [`MOST_FIND_MILLIS`].
const FIND_MILLIS: u64 = 80;
/// The longest such pause, in milliseconds: a rank that moved to another host is found within it.
const MOST_FIND_MILLIS: u64 = 640;
/// Time in milliseconds within which the engine beside this process must answer an order; it takes some milliseconds.
/// One without an answer may be carried out all the same, and is given again.
const ENGINE_MILLIS: u64 = 40;
/// Time in milliseconds within which the engine beside this process must tell its state and counts, or its lists; it takes some
/// milliseconds. It is less than the 150 that a process which plans waits for another rank's, and bounds how long a
/// connection that fell silent keeps this process from planning; the next reading takes a new one.
const READING_MILLIS: u64 = 120;
/// Least time in milliseconds between two reports of the group's loads. Told much more seldom, entries send to the same
/// ranks at once, which seem idle to all of them.
const LOADS_MILLIS: u64 = 80;
/// Start of the clock that versions come from, in Unix milliseconds: the beginning of 2026.
const VERSION_EPOCH_MILLIS: u64 = 1_767_225_600_000;
/// Milliseconds of one version: a life of the process takes longer to begin.
const VERSION_MILLIS: u64 = 100;

/// The engine beside this process, with the counts that were told already.
#[derive(Debug)]
pub struct OwnRank {
    engine: Rc<dyn LocalEngine>,
    told: RefCell<ExpertCounts>,
}

impl OwnRank {
    /// Wraps an engine.
    pub fn new(engine: Rc<dyn LocalEngine>) -> Self {
        Self { engine, told: RefCell::default() }
    }

    /// What was chosen since the last call, nothing at the first: what an engine counted before this process began may
    /// be minutes old. A restarted engine counts anew.
    async fn new_counts(&self) -> Result<Vec<u32>, CallError> {
        let newest = self.engine.counts().await?;
        let mut told = self.told.borrow_mut();
        if told.counts.is_empty() {
            told.clone_from(&newest);
        }
        let known = told.counts.len() == newest.counts.len() && told.born == newest.born;
        let known = known && newest.counts.iter().zip(&told.counts).all(|(now, then)| now >= then);
        let since = |index: usize| newest.counts[index] - if known { told.counts[index] } else { 0 };
        let new =
            (0..newest.counts.len()).map(|index| u32::try_from(since(index)).unwrap_or(u32::MAX)).collect();
        *told = newest;
        Ok(new)
    }
}

impl RankControl for OwnRank {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(read_in_time(async move {
            let state = self.engine.state().await?;
            let counts = if counts { self.new_counts().await? } else { Vec::new() };
            Ok(RankObservation { state, counts })
        }))
    }

    fn lists(&self) -> RankFuture<'_, ExpertLists> {
        Box::pin(read_in_time(self.engine.lists()))
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        Box::pin(async move {
            let answer = self.engine.order(order, map);
            let answered = tokio::time::timeout(Duration::from_millis(ENGINE_MILLIS), answer).await;
            let silent = || CallError::unknown("the engine did not answer the order");
            let taken = answered.map_err(|_elapsed| silent())??;
            let view = self.engine.state().await.ok().map(|state| state.view);
            Ok(OrderAnswer { taken, view })
        })
    }
}

async fn read_in_time<T>(reading: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    let read = tokio::time::timeout(Duration::from_millis(READING_MILLIS), reading).await;
    read.unwrap_or_else(|_elapsed| Err(CallError::not_sent("the engine did not tell its state in time")))
}

/// Where the ranks of the group are, as this process last found them.
#[derive(Debug)]
struct FoundGroup {
    epoch: GroupEpoch,
    reach: BranchedGroup,
}

/// Plans for the group while this process stands beside its first rank.
#[derive(Debug, bon::Builder)]
pub struct RankDuty {
    settings: RankSettings,
    /// The rank beside this process.
    own: Rc<OwnRank>,
    /// Follows the table service once this process is the first of its group; the others need nothing from there.
    control: Option<ControlWatch>,
    /// What this process believes of services and targets.
    state: watch::Receiver<ControlState>,
    /// The loads of the group while this process plans for it.
    loads: watch::Sender<Option<GroupLoads>>,
    /// The processes that it calls.
    peers: Rc<PeerPool>,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
    #[builder(skip)]
    loads_due: UnixDeadline,
    /// The planner's readings when the loads were last told.
    #[builder(skip)]
    told_readings: u64,
    /// How long the group's passes take.
    #[builder(skip)]
    passes: PassTimer,
    #[builder(skip)]
    counts_due: UnixDeadline,
    /// Hosts that a rank of this group ran on, with their zones. Their rows may be missing for a while after an outage,
    /// when their ranks run again already.
    #[builder(skip)]
    members: BTreeMap<Ipv4Addr, ZoneName>,
    #[builder(skip)]
    group: Option<FoundGroup>,
    #[builder(skip)]
    find_due: UnixDeadline,
    #[builder(skip = FIND_MILLIS)]
    find_pause: u64,
    #[builder(skip = RefCell::new(AdaptiveTimeout::new(FIND_FLOOR)))]
    find_patience: RefCell<AdaptiveTimeout>,
    #[builder(skip)]
    patience: Rc<GroupTimeouts>,
    #[builder(skip)]
    planner: Option<ExpertMapController>,
    /// Whether the engine beside this process answered when it was last read.
    #[builder(skip = true)]
    engine_heard: bool,
    /// Requests that make a step as long as its fixed part, by the engines' operators.
    #[builder(skip)]
    step_requests: f64,
}

impl RankDuty {
    /// Runs until it should stop and no switch of its own holds the group.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        loop {
            let pause = self.turn().await;
            let holding = self.planner.as_ref().is_some_and(ExpertMapController::holding);
            if *stop.borrow() && !holding {
                return;
            }
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// One turn; returns the pause before the next in milliseconds.
    async fn turn(&mut self) -> u64 {
        let own = match self.own.observe(false).await {
            Ok(own) => own,
            Err(error) => {
                self.note_unread(&error);
                // A group that is held must not wait for long.
                return if self.planner.is_some() { WAIT_MILLIS } else { IDLE_MILLIS };
            }
        };
        self.note_read();
        if own.state.rank != 0 || !own.state.open {
            self.leave_group(&own.state);
            return if own.state.rank == 0 { WAIT_MILLIS } else { IDLE_MILLIS };
        }
        if let Some(control) = self.control.take() {
            tokio::task::spawn_local(async move { control.run().await });
        }
        self.measure_pass(&own.state);
        self.find_group(&own.state).await;
        if self.group.is_none() {
            return WAIT_MILLIS;
        }
        if self.planner.is_none() {
            let Some(shape) = self.shape(own.state.size) else { return WAIT_MILLIS };
            info!(self.logger, "planning for the group"; "event" => "planner_start", "group" => own.state.group,
                "ranks" => own.state.size);
            self.planner = Some(ExpertMapController::new(shape, self.logger.clone()));
        }
        let Some(outcome) = self.round().await else { return WAIT_MILLIS };
        if outcome != RoundOutcome::Unreachable {
            self.publish_loads();
        }
        self.pause_after(outcome)
    }

    fn note_unread(&mut self, error: &CallError) {
        if std::mem::replace(&mut self.engine_heard, false) {
            warn!(self.logger, "the engine can't be read"; "event" => "dependency_lost", "dependency" => "engine",
                "error" => error.to_string());
        }
    }

    fn note_read(&mut self) {
        if !std::mem::replace(&mut self.engine_heard, true) {
            info!(self.logger, "the engine is read again"; "event" => "dependency_regained",
                "dependency" => "engine");
        }
    }

    /// One round of the planner; it reads counts where they are due.
    async fn round(&mut self) -> Option<RoundOutcome> {
        let fresh = self.fresh_version();
        let reach = &self.group.as_ref()?.reach;
        let planner = self.planner.as_mut()?;
        if !self.counts_due.passed(self.clock.now()) {
            return Some(planner.run_load_round(reach, fresh).await);
        }
        let outcome = planner.run_round(reach, fresh).await;
        self.counts_due = UnixDeadline::after(self.clock.now(), REST_MILLIS);
        Some(outcome)
    }

    /// The pause before the next turn in milliseconds.
    fn pause_after(&mut self, outcome: RoundOutcome) -> u64 {
        let now = self.clock.now();
        match outcome {
            RoundOutcome::Idle => LOADS_MILLIS.min(self.counts_due.remaining(now).as_millis() as u64),
            RoundOutcome::Shifting => {
                self.counts_due = UnixDeadline::after(now, SHIFT_MILLIS);
                SHIFT_MILLIS
            }
            RoundOutcome::Copying => COPY_MILLIS,
            RoundOutcome::Holding => HOLD_MILLIS,
            RoundOutcome::Unreachable => REST_MILLIS,
        }
    }

    /// Asks the processes beside all engines of the service for their ranks, where the group formed anew or some rank is
    /// not heard.
    async fn find_group(&mut self, own: &RankState) {
        let known = self.group.as_ref().is_some_and(|group| group.epoch == own.view.epoch);
        let missing = self.planner.as_ref().is_some_and(|planner| planner.unreachable_since().is_some())
            || self.group.as_ref().is_none_or(|group| group.reach.hosts().iter().any(Option::is_none));
        if known && !missing {
            self.find_pause = FIND_MILLIS;
            return;
        }
        let now = self.clock.now();
        if known && !self.find_due.passed(now) {
            return;
        }
        self.find_due = UnixDeadline::after(now, self.find_pause);
        self.find_pause = (self.find_pause * 2).min(MOST_FIND_MILLIS);
        let found = self.ask_for_ranks(own).await;
        if !known {
            self.group = None;
        }
        self.take_found(own, &found);
    }

    /// The hosts of the group's other ranks, as far as they answer.
    async fn ask_for_ranks(&self, own: &RankState) -> BTreeMap<usize, Ipv4Addr> {
        let hosts = self.candidates();
        self.peers.retain(&hosts.keys().copied().collect());
        let (states, _counts) =
            RankBranches::new(&hosts, Rc::clone(&self.peers)).sweep(false, &self.find_patience).await;
        let same = |state: &RankState| {
            state.group == own.group && state.view.epoch == own.view.epoch && state.rank != own.rank
        };
        let ours = states.into_iter().filter(|(_host, state)| same(state) && state.rank < own.size);
        ours.map(|(host, state)| (state.rank, host)).collect()
    }

    /// Takes where ranks were found. One that said nothing is taken to be where it was in this formation.
    fn take_found(&mut self, own: &RankState, found: &BTreeMap<usize, Ipv4Addr>) {
        let taken: HashSet<Ipv4Addr> = found.values().copied().collect();
        let mut hosts: Vec<Option<Ipv4Addr>> = (0..own.size).map(|rank| found.get(&rank).copied()).collect();
        let IpAddr::V4(first) = self.settings.rank_listen.ip() else { return };
        hosts[0] = Some(first);
        if let Some(group) = &self.group {
            for (host, earlier) in hosts.iter_mut().zip(group.reach.hosts()) {
                *host = host.or(earlier.filter(|earlier| !taken.contains(earlier)));
            }
            if group.reach.hosts() == hosts {
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
        let link: Rc<dyn RankControl> = Rc::<OwnRank>::clone(&self.own);
        let reach =
            BranchedGroup::new(link, hosts, branches, Rc::clone(&self.patience), self.settings.link_rate);
        self.group = Some(FoundGroup { epoch: own.view.epoch, reach });
    }

    /// The hosts of the service's other engines, and those of the last known members of the group.
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

    fn shape(&mut self, ranks: usize) -> Option<GroupShape> {
        let state = self.state.borrow();
        let service = self.own_service(&state)?;
        let engine = state.routes.as_ref()?.services.get(&service)?.engine.as_ref()?;
        let bounds = EqualShareBounds {
            places: engine.places,
            spare: engine.spare,
            new_a_rank: self.settings.new_a_rank,
            move_price: self.settings.move_price / ranks.max(1) as f64,
        };
        self.step_requests = engine.step_millis / engine.request_millis.max(f64::MIN_POSITIVE);
        Some(GroupShape { sets: engine.sets, experts: engine.experts, bounds })
    }

    fn fresh_version(&self) -> MapVersion {
        let millis = self.clock.now().0.saturating_sub(VERSION_EPOCH_MILLIS);
        MapVersion((millis / VERSION_MILLIS) as u32)
    }
}
