//! The rank duty: shows the engine beside this process to the others, and plans where it is the group's first rank.

use crate::settings::rank::RankSettings;
use futures::future::join_all;
use porthoist_core::{ClockSource, ServiceName, UnixDeadline};
use porthoist_fleet::RankPeer;
use porthoist_group::{
    ChoiceCounts, GroupShape, HeldEngine, HeldLink, HeldPlanner, OrderAnswer, RankFuture, RankLists,
    RankObservation, RoundOutcome,
};
use porthoist_http::CallError;
use porthoist_policy::forward::{EngineOrder, RankState};
use porthoist_policy::placement::even::{EvenBounds, EvenMap};
use porthoist_policy::proxy::loads::{GroupLoads, LoadRevision, RankLoad, weighed_requests};
use porthoist_policy::switch::MapVersion;
use porthoist_proxy::{ControlState, ControlWatch};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause between readings of counts while nothing is under way, in milliseconds: demand shifts every few seconds.
const REST_MILLIS: u64 = 150;
/// Pause before the window that shows a shift of demand whole, in milliseconds: a pass, of about 100, lies within it and
/// the round.
const SHIFT_MILLIS: u64 = 60;
/// Pause between rounds while experts are copied, in milliseconds; one takes about 100.
const COPY_MILLIS: u64 = 25;
/// The least of that pause for each rank, in milliseconds: reading 2 KB of counts from each takes 2 ms of a small
/// host's link, and a third of it must stay free in groups of any size.
const REST_MILLIS_A_RANK: u64 = 1;
/// The same while experts are copied, when only states are read.
const COPY_MILLIS_A_RANK: u64 = 1;
/// Pause between rounds while a group is held, in milliseconds.
const HOLD_MILLIS: u64 = 2;
/// Pause of a process beside a rank that does not plan, in milliseconds.
const IDLE_MILLIS: u64 = 400;
/// Pause of a process that is to plan and can't yet, in milliseconds: until its first map, a group that has formed anew
/// runs at a third of its pace. It asks its own engine only.
const WAIT_MILLIS: u64 = 80;
/// Time in milliseconds in which a process must say which rank it stands beside.
const FIND_MILLIS: u64 = 600;
/// Time in milliseconds within which the engine beside this process must answer an order; it takes some milliseconds.
/// One without an answer may be carried out all the same, and is given again.
const ENGINE_MILLIS: u64 = 40;
/// Time in milliseconds within which the engine beside this process must tell its state and counts, or its lists; it takes some
/// milliseconds. It is less than the 150 that a process which plans waits for another rank's, and bounds how long a
/// connection that fell silent keeps this process from planning; the next reading takes a new one.
const READING_MILLIS: u64 = 120;
/// Least time in milliseconds between two reports of the group's loads: one to each of some 40 entry processes takes 20
/// of a small host's link.
const LOADS_MILLIS: u64 = 80;
/// Start of the clock that versions come from, in Unix milliseconds: the beginning of 2026.
const VERSION_EPOCH_MILLIS: u64 = 1_767_225_600_000;
/// Milliseconds of one version: a life of the process takes longer to begin.
const VERSION_MILLIS: u64 = 100;

/// The engine beside this process, with the counts that were told already.
#[derive(Debug)]
pub struct OwnRank {
    engine: Rc<dyn HeldEngine>,
    told: RefCell<ChoiceCounts>,
}

impl OwnRank {
    /// Wraps an engine.
    pub fn new(engine: Rc<dyn HeldEngine>) -> Self {
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

impl HeldLink for OwnRank {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(read_in_time(async move {
            let state = self.engine.state().await?;
            let counts = if counts { self.new_counts().await? } else { Vec::new() };
            Ok(RankObservation { state, counts })
        }))
    }

    fn lists(&self) -> RankFuture<'_, RankLists> {
        Box::pin(read_in_time(self.engine.lists()))
    }

    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EvenMap>) -> RankFuture<'a, OrderAnswer> {
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

/// Plans for the group while this process stands beside its first rank.
#[derive(Debug)]
pub struct RankDuty {
    settings: RankSettings,
    own: Rc<OwnRank>,
    /// Follows the table service once this process is the first of its group; the others need nothing from there.
    control: Option<ControlWatch>,
    state: watch::Receiver<ControlState>,
    /// The loads of the group while this process plans for it.
    loads: watch::Sender<Option<GroupLoads>>,
    loads_due: UnixDeadline,
    /// The planner's readings when the loads were last told.
    told_readings: u64,
    counts_due: UnixDeadline,
    clock: Arc<dyn ClockSource>,
    logger: Logger,
    peers: HashMap<SocketAddr, Rc<RankPeer>>,
    /// Hosts that a rank of this group ran on. Their rows may be missing for a while after an outage, when their ranks
    /// run again already: the table showed some 0.6 s late.
    members: HashSet<IpAddr>,
    /// The peers of the other ranks, by rank, once all are known.
    ranks: BTreeMap<usize, Rc<RankPeer>>,
    planner: Option<HeldPlanner>,
    /// Whether the engine beside this process answered when it was last read.
    engine_heard: bool,
    /// Requests that make a step as long as its fixed part, by the engines' operators.
    step_requests: f64,
}

impl RankDuty {
    /// A duty that has not heard of its group yet.
    pub fn new(
        settings: RankSettings,
        own: Rc<OwnRank>,
        control: ControlWatch,
        state: watch::Receiver<ControlState>,
        loads: watch::Sender<Option<GroupLoads>>,
        clock: Arc<dyn ClockSource>,
        logger: Logger,
    ) -> Self {
        Self {
            settings,
            own,
            control: Some(control),
            state,
            loads,
            loads_due: UnixDeadline::default(),
            told_readings: 0,
            counts_due: UnixDeadline::default(),
            clock,
            logger,
            peers: HashMap::new(),
            members: HashSet::new(),
            ranks: BTreeMap::new(),
            planner: None,
            engine_heard: true,
            step_requests: 0.0,
        }
    }

    /// Runs until it should stop and no switch of its own holds the group.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        loop {
            let pause = self.turn().await;
            let holding = self.planner.as_ref().is_some_and(HeldPlanner::holding);
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
            self.planner = None;
            self.loads.send_if_modified(|loads| loads.take().is_some());
            return if own.state.rank == 0 { WAIT_MILLIS } else { IDLE_MILLIS };
        }
        if let Some(control) = self.control.take() {
            tokio::task::spawn_local(async move { control.run().await });
        }
        let Some(links) = self.links(&own.state).await else { return WAIT_MILLIS };
        if self.planner.is_none() {
            let Some(shape) = self.shape(own.state.size) else { return WAIT_MILLIS };
            info!(self.logger, "planning for the group"; "event" => "planner_start", "group" => own.state.group,
                "ranks" => links.len());
            self.planner = Some(HeldPlanner::new(shape, self.logger.clone()));
        }
        let Some(outcome) = self.round(&links).await else { return WAIT_MILLIS };
        if outcome != RoundOutcome::Blind {
            self.publish_loads();
        }
        self.pause_after(outcome, own.state.size as u64)
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
    async fn round(&mut self, links: &[Rc<dyn HeldLink>]) -> Option<RoundOutcome> {
        let fresh = self.fresh_version();
        let planner = self.planner.as_mut()?;
        if !self.counts_due.passed(self.clock.now()) {
            return Some(planner.round_of_loads(links, fresh).await);
        }
        let outcome = planner.round(links, fresh).await;
        let pause = REST_MILLIS.max(REST_MILLIS_A_RANK * links.len() as u64);
        self.counts_due = UnixDeadline::after(self.clock.now(), pause);
        Some(outcome)
    }

    /// The pause before the next turn in milliseconds.
    fn pause_after(&mut self, outcome: RoundOutcome, ranks: u64) -> u64 {
        let now = self.clock.now();
        match outcome {
            RoundOutcome::Rest => LOADS_MILLIS.min(self.counts_due.remaining(now).as_millis() as u64),
            RoundOutcome::Shifting => {
                self.counts_due = UnixDeadline::after(now, SHIFT_MILLIS);
                SHIFT_MILLIS
            }
            RoundOutcome::Copying => COPY_MILLIS.max(COPY_MILLIS_A_RANK * ranks),
            RoundOutcome::Holding => HOLD_MILLIS,
            RoundOutcome::Blind => {
                self.ranks.clear();
                REST_MILLIS
            }
        }
    }

    /// Tells the entry processes what runs and waits at each rank.
    fn publish_loads(&mut self) {
        let now = self.clock.now();
        if !self.loads_due.passed(now) {
            return;
        }
        let Some(planner) = &self.planner else { return };
        // An old reading told anew would hide what entries have sent since: they take their own requests to be in it. While
        // passes were slow and switches long, that filled ranks of 12 slots with 23 to 39 requests.
        if std::mem::replace(&mut self.told_readings, planner.readings()) == planner.readings() {
            return;
        }
        self.loads_due = UnixDeadline::after(now, LOADS_MILLIS);
        let own = self.settings.rank_listen.ip();
        let hosts = std::iter::once(own).chain(self.ranks.values().map(|peer| peer.address().ip()));
        let loads = planner.requests().iter().zip(planner.paces());
        let ranks = hosts.zip(loads).filter_map(|(host, (requests, pace))| match host {
            IpAddr::V4(host) => {
                Some(RankLoad { host, requests: weighed_requests(*requests, self.step_requests, *pace) })
            }
            IpAddr::V6(_host) => None,
        });
        let ranks = ranks.collect();
        self.loads.send_modify(|loads| {
            let last = loads.as_ref().map_or_else(LoadRevision::default, |loads| loads.revision);
            *loads = Some(GroupLoads { revision: LoadRevision(last.0 + 1), ranks });
        });
    }

    /// The ways to all ranks in their order; nothing while one is not known.
    async fn links(&mut self, own: &RankState) -> Option<Vec<Rc<dyn HeldLink>>> {
        if self.ranks.len() + 1 != own.size {
            self.find_ranks(own).await;
        }
        if self.ranks.len() + 1 != own.size {
            return None;
        }
        let first: Rc<dyn HeldLink> = Rc::<OwnRank>::clone(&self.own);
        let others = self.ranks.values().map(|peer| -> Rc<dyn HeldLink> { Rc::<RankPeer>::clone(peer) });
        Some(std::iter::once(first).chain(others).collect())
    }

    /// Asks the processes beside all engines of the service for their ranks.
    async fn find_ranks(&mut self, own: &RankState) {
        self.ranks.clear();
        let addresses = self.peer_addresses();
        self.peers.retain(|address, _peer| addresses.contains(address));
        for address in addresses {
            self.peers.entry(address).or_insert_with(|| Rc::new(RankPeer::new(address)));
        }
        let asked = self.peers.values().map(|peer| async {
            let patience = Duration::from_millis(FIND_MILLIS);
            let Ok(Ok(observed)) = tokio::time::timeout(patience, peer.observe(false)).await else {
                // The connection may be gone without a sign. The others keep theirs, and the map sent over them.
                peer.reset();
                return None;
            };
            let same = observed.state.group == own.group && observed.state.view.epoch == own.view.epoch;
            same.then(|| (observed.state.rank, Rc::clone(peer)))
        });
        let found = join_all(asked).await;
        self.ranks = found.into_iter().flatten().filter(|(rank, _peer)| *rank != own.rank).collect();
        if self.ranks.len() + 1 == own.size {
            self.members = self.ranks.values().map(|peer| peer.address().ip()).collect();
        }
    }

    /// The processes beside the service's other engines, and those beside the last known members of the group.
    fn peer_addresses(&self) -> HashSet<SocketAddr> {
        let state = self.state.borrow();
        let Some(service) = self.own_service(&state) else { return HashSet::new() };
        let others = state.targets.records().filter(|record| record.service == service);
        let others = others.filter(|record| record.address != self.settings.engine);
        let hosts = others.map(|record| record.address.ip()).chain(self.members.iter().copied());
        hosts.map(|host| SocketAddr::new(host, self.settings.rank_listen.port())).collect()
    }

    fn own_service(&self, state: &ControlState) -> Option<ServiceName> {
        let own = state.targets.records().find(|record| record.address == self.settings.engine)?;
        Some(own.service.clone())
    }

    fn shape(&mut self, ranks: usize) -> Option<GroupShape> {
        let state = self.state.borrow();
        let service = self.own_service(&state)?;
        let engine = state.routes.as_ref()?.services.get(&service)?.engine.as_ref()?;
        let bounds = EvenBounds {
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
