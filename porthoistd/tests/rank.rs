//! The process next to an engine, with in-memory engines.

use futures::FutureExt as _;
use porthoist_core::{AnchoredClock, ClockSource, RequestRate, ServiceName, StartMillis};
use porthoist_fleet::{
    AgedLoads, ControlTraffic, DemandReport, EntryDemands, LoadsAnswer, LoadsPublisher, PeerPool, RankPeer,
    RankService, serve_ranks,
};
use porthoist_group::{ExpertCounts, ExpertLists, LocalEngine, RankControl as _, RankFuture};
use porthoist_http::CallError;
use porthoist_metrics::MetricsHub;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::group_loads::LoadRevision;
use porthoist_policy::proxy::routes::{CallerLimits, ConfigVersion, EngineModel, RouteTable, ServiceSpec};
use porthoist_policy::proxy::targets::{TargetChange, TargetRecord, TargetState};
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use porthoist_proxy::{ControlSource, OperatorUpdate, SourceFuture, TableRevision};
use porthoist_proxy::{ControlState, ControlWatch};
use porthoistd::component::rank::{OwnRank, PlanningLoop};
use porthoistd::settings::rank::{RankArgs, RankSettings};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Maximum time in milliseconds that an unanswered order may block its sender, including the way there: a
/// third of a group's orders may be lost, and every round of retries takes this long.
const MAX_ORDER_MILLIS: u128 = 50;

/// Maximum time in milliseconds that an unanswered reading may block its reader; less than the 150 ms that a
/// planning process waits for another rank's reading.
const MAX_READING_MILLIS: u128 = 140;

/// An engine that never answers.
#[derive(Debug)]
struct SilentEngine;

fn no_answer<T: 'static>() -> RankFuture<'static, T> {
    futures::future::pending::<Result<T, CallError>>().boxed_local()
}

impl LocalEngine for SilentEngine {
    fn state(&self) -> RankFuture<'_, RankState> {
        no_answer()
    }

    fn counts(&self) -> RankFuture<'_, ExpertCounts> {
        no_answer()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        no_answer()
    }

    fn order<'a>(&'a self, _order: EngineOrder, _map: Option<&'a EqualShareMap>) -> RankFuture<'a, bool> {
        no_answer()
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_order_times_out() {
    let rank = OwnRank::new(Rc::new(SilentEngine));
    let started = tokio::time::Instant::now();
    let order = EngineOrder::Hold { epoch: GroupEpoch(1), step: StepNumber(7) };
    let answer = tokio::time::timeout(Duration::from_secs(10), rank.order(order, None)).await;
    let error = answer.expect("the order is given up").expect_err("nothing was answered");
    assert!(started.elapsed().as_millis() <= MAX_ORDER_MILLIS);
    assert_eq!(
        error.to_string(),
        "the engine did not answer the order (may-have-run)",
        "it may be carried out all the same"
    );
}

/// Guards against a reading that never ends: when an engine's connection fell silent, the process next to it
/// stopped planning until the connection was closed.
#[tokio::test(start_paused = true)]
async fn reading_a_silent_engine_times_out() {
    let rank = OwnRank::new(Rc::new(SilentEngine));
    for reading in ["state", "state and counts", "lists"] {
        let started = tokio::time::Instant::now();
        let read = async {
            match reading {
                "lists" => rank.expert_lists().await.map(|_lists| ()),
                _ => rank.observe(reading != "state").await.map(|_observed| ()),
            }
        };
        let read = tokio::time::timeout(Duration::from_secs(10), read).await;
        assert!(read.expect("the reading is given up").is_err(), "nothing was answered");
        assert!(started.elapsed().as_millis() <= MAX_READING_MILLIS, "{reading}: {:?}", started.elapsed());
    }
}

/// An in-memory engine that stops answering after a number of readings.
#[derive(Debug)]
struct LimitedEngine {
    rank: usize,
    /// Remaining readings that it answers.
    answers: Cell<u32>,
    /// Time that a reading takes.
    delay: Duration,
}

impl LimitedEngine {
    fn new(rank: usize, answers: u32) -> Rc<Self> {
        Self::slow(rank, answers, Duration::ZERO)
    }

    fn slow(rank: usize, answers: u32, delay: Duration) -> Rc<Self> {
        Rc::new(Self { rank, answers: Cell::new(answers), delay })
    }
}

impl LocalEngine for LimitedEngine {
    fn state(&self) -> RankFuture<'_, RankState> {
        let remaining = self.answers.get();
        if remaining == 0 {
            return no_answer();
        }
        self.answers.set(remaining - 1);
        let view = RankView {
            epoch: GroupEpoch(1),
            sequence: OrderSequence(0),
            step: StepNumber(9),
            map: MapVersion(0),
            prepared: None,
            armed: None,
            held: None,
            busy: false,
        };
        let state = RankState {
            view,
            group: "g".to_owned(),
            rank: self.rank,
            size: RANKS,
            open: true,
            requests: 0,
            pace: RankPace::USUAL,
        };
        let delay = self.delay;
        async move {
            tokio::time::sleep(delay).await;
            Ok(state)
        }
        .boxed_local()
    }

    fn counts(&self) -> RankFuture<'_, ExpertCounts> {
        async { Ok(ExpertCounts { counts: vec![0; EXPERTS], ..ExpertCounts::default() }) }.boxed_local()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        no_answer()
    }

    fn order<'a>(&'a self, _order: EngineOrder, _map: Option<&'a EqualShareMap>) -> RankFuture<'a, bool> {
        no_answer()
    }
}

/// Readings of a healthy rank that show that the group is still being read.
const READINGS: u32 = 20;
const RANKS: usize = 3;
const EXPERTS: usize = 6;

/// Forwards connections to an address and counts them.
async fn count_connections(listener: TcpListener, to: SocketAddr, count: Rc<Cell<u32>>) {
    while let Ok((mut caller, _address)) = listener.accept().await {
        count.set(count.get() + 1);
        tokio::task::spawn_local(async move {
            let mut process = TcpStream::connect(to).await.expect("the process listens");
            // Either side may close first.
            drop(tokio::io::copy_bidirectional(&mut caller, &mut process).await);
        });
    }
}

/// Serves an engine at an address; returns the number of connections made to it.
async fn serve_engine(address: SocketAddr, engine: Rc<LimitedEngine>) -> Rc<Cell<u32>> {
    let outer = TcpListener::bind(address).await.expect("a free port");
    let inner = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let to = inner.local_addr().expect("a bound address");
    let loads_publisher = LoadsPublisher::new(watch::Sender::new(None).subscribe());
    let peers = Rc::new(PeerPool::new(address.port(), ControlTraffic::default()));
    let entry_demands = EntryDemands::default();
    let own_rank = Rc::new(OwnRank::with_demands(engine, entry_demands.clone()));
    let serving = RankService::builder()
        .own_rank(own_rank)
        .publisher(loads_publisher)
        .peers(peers)
        .entry_demands(entry_demands)
        .build();
    tokio::task::spawn_local(serve_ranks(inner, Rc::new(serving)));
    let count = Rc::new(Cell::new(0));
    tokio::task::spawn_local(count_connections(outer, to, Rc::clone(&count)));
    count
}

/// A group of [`RANKS`] ranks on loopback addresses, as listed in the table.
fn group_state() -> ControlState {
    let service: ServiceName = "s".parse().expect("a name");
    let engine = EngineModel {
        slots: 4,
        memory_tokens: 1_000,
        step_millis: 1.0,
        request_millis: 1.0,
        stride: 1,
        read_tokens_per_milli: 1.0,
        sets: 1,
        experts: EXPERTS,
        max_experts: 3,
        max_new_experts: 1,
        expert_share: 0.5,
    };
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
    let spec = ServiceSpec { name: service.clone(), engine: Some(engine), cold: None };
    let routes = RouteTable::new(ConfigVersion(1), limits, vec![spec], Vec::new(), None);
    let record = |rank: usize| TargetRecord {
        id: format!("t{rank}").parse().expect("a name"),
        born: StartMillis::default(),
        service: service.clone(),
        address: engine_address(rank),
        zone: "a".parse().expect("a name"),
        slots: 4,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    };
    let mut state = ControlState { routes: Some(Arc::new(routes)), ..ControlState::default() };
    state.targets.apply_listing((0..RANKS).map(record), None);
    state
}

fn engine_address(rank: usize) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, 11 + rank as u8), 9).into()
}

/// A source that never answers; the state is given to the planner directly.
#[derive(Debug)]
struct SilentSource;

impl ControlSource for SilentSource {
    fn list_routes(&self) -> SourceFuture<'_, OperatorUpdate> {
        futures::future::pending().boxed_local()
    }

    fn routes_after(&self, _revision: TableRevision, _wait: Duration) -> SourceFuture<'_, OperatorUpdate> {
        futures::future::pending().boxed_local()
    }

    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>> {
        futures::future::pending().boxed_local()
    }

    fn targets_after(
        &self,
        _revision: TableRevision,
        _wait: Duration,
    ) -> SourceFuture<'_, Vec<TargetChange>> {
        futures::future::pending().boxed_local()
    }
}

/// The planning process of the group, which calls the others on `port`, and its reports.
fn planning_loop(port: u16) -> (PlanningLoop, watch::Receiver<Option<AgedLoads>>) {
    planning_loop_of(Rc::new(OwnRank::new(LimitedEngine::new(0, u32::MAX))), port)
}

/// The process next to a rank, and its reports if it plans.
fn planning_loop_of(own: Rc<OwnRank>, port: u16) -> (PlanningLoop, watch::Receiver<Option<AgedLoads>>) {
    let args = RankArgs {
        zone: Some("a".to_owned()),
        engine: Some(engine_address(0).to_string()),
        rank_listen: Some(SocketAddr::new(engine_address(0).ip(), port).to_string()),
        table: Some("127.0.0.1:9".to_owned()),
        ..RankArgs::default()
    };
    let settings = RankSettings::load(args, |_variable| None).expect("valid settings");
    let logger = Logger::root(Discard, o!());
    let clock: Arc<dyn ClockSource> = Arc::new(AnchoredClock::new());
    let state = watch::Sender::new(group_state());
    let control = ControlWatch::builder()
        .source(Rc::new(SilentSource))
        .state(state.clone())
        .clock(Arc::clone(&clock))
        .metrics(Arc::new(MetricsHub::new().expect("metrics")))
        .logger(logger.clone())
        .build();
    let (loads, reported) = watch::channel(None);
    let planning = PlanningLoop::builder()
        .settings(settings)
        .own(own)
        .control(control)
        .state(state.subscribe())
        .loads(loads)
        .peers(Rc::new(PeerPool::new(port, ControlTraffic::default())))
        .clock(clock)
        .logger(logger)
        .build();
    (planning, reported)
}

/// Guards against losing connections, and the map already sent over them, to healthy ranks when another rank
/// stops answering.
#[tokio::test]
async fn connections_to_healthy_ranks_stay_open_while_a_rank_is_silent() {
    let scenario = async {
        let first = TcpListener::bind((engine_address(1).ip(), 0)).await.expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        drop(first);
        let process_address = |rank: usize| SocketAddr::new(engine_address(rank).ip(), port);
        let (healthy_engine, silent_engine) = (LimitedEngine::new(1, u32::MAX), LimitedEngine::new(2, 4));
        let healthy_connections = serve_engine(process_address(1), Rc::clone(&healthy_engine)).await;
        let silent_connections = serve_engine(process_address(2), Rc::clone(&silent_engine)).await;
        let (planning, _loads) = planning_loop(port);
        let running = tokio::task::spawn_local(planning.run(watch::Sender::new(false).subscribe()));
        while silent_engine.answers.get() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // The other ranks are still read while one does not answer.
        let answered = healthy_engine.answers.get();
        while answered - healthy_engine.answers.get() < READINGS {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        running.abort();
        assert_eq!(healthy_connections.get(), 1, "the process next to the healthy rank keeps its connection");
        assert_eq!(
            silent_connections.get(),
            1,
            "so does the one next to the silent engine: it answers that there is no reading"
        );
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against an age that begins when all ranks have answered: the first one was read long before if
/// another answers slowly.
#[tokio::test]
async fn age_of_report_counts_from_oldest_reading() {
    const SLOW_READING: Duration = Duration::from_millis(70);
    let scenario = async {
        let first = TcpListener::bind((engine_address(1).ip(), 0)).await.expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        drop(first);
        for rank in 1..RANKS {
            let address = SocketAddr::new(engine_address(rank).ip(), port);
            serve_engine(address, LimitedEngine::slow(rank, u32::MAX, SLOW_READING)).await;
        }
        let (planning, mut reported) = planning_loop(port);
        let running = tokio::task::spawn_local(planning.run(watch::Sender::new(false).subscribe()));
        let reads_all = |loads: &Option<AgedLoads>| {
            let ranks = loads.as_ref().map(|loads| &loads.received().ranks);
            ranks.is_some_and(|ranks| ranks.len() == RANKS && ranks.iter().all(|rank| !rank.silent))
        };
        let loads = reported.wait_for(reads_all).await.expect("the planning loop runs").clone();
        running.abort();
        let age = loads.expect("loads are reported").current().age_millis;
        assert!(age >= SLOW_READING.as_millis() as u64, "{age}");
    };
    let timed = tokio::time::timeout(Duration::from_secs(20), scenario);
    LocalSet::new().run_until(timed).await.expect("all ranks are read");
}

/// An entry that follows the process next to a rank; ends once the reports carry the demand of `entries` entries.
async fn wait_for_demand(
    address: SocketAddr,
    entry: u64,
    own: &ServiceDemand,
    entries: u32,
) -> ServiceDemand {
    let peer = RankPeer::new(address);
    let report = DemandReport { entry: EntryId(entry), demand: Some(own.clone()) };
    let mut last_revision = LoadRevision::default();
    loop {
        match peer.loads_for_entry(last_revision, Some(&report)).await.expect("an answer") {
            LoadsAnswer::Loads(loads) => {
                last_revision = loads.revision;
                if let Some(demand) = loads.demand.filter(|demand| demand.entries == entries) {
                    return demand;
                }
            }
            LoadsAnswer::Redirect(_planner) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Guards against reports that leave out the demand that the planning process has read: each entry would take
/// its own for all there is.
#[tokio::test]
async fn entries_of_different_processes_learn_the_sum_of_their_demand() {
    let scenario = async {
        let first = TcpListener::bind((engine_address(1).ip(), 0)).await.expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        drop(first);
        let process_address = |rank: usize| SocketAddr::new(engine_address(rank).ip(), port);
        for rank in 1..RANKS {
            serve_engine(process_address(rank), LimitedEngine::new(rank, u32::MAX)).await;
        }
        let (planning, _loads) = planning_loop(port);
        let running = tokio::task::spawn_local(planning.run(watch::Sender::new(false).subscribe()));
        let demand = |entries: u32, asked: f64| {
            let level = LevelDemand { asked: RequestRate(asked), running: 2 * entries };
            ServiceDemand { levels: [(PriorityLevel(0), level)].into(), entries }
        };
        let (first_own, second_own) = (demand(1, 1.5), demand(1, 2.25));
        let first = wait_for_demand(process_address(1), 1, &first_own, 2);
        let second = wait_for_demand(process_address(2), 2, &second_own, 2);
        let (first, second) = tokio::join!(first, second);
        running.abort();
        assert_eq!((&first, &second), (&demand(2, 3.75), &demand(2, 3.75)));
    };
    let timed = tokio::time::timeout(Duration::from_secs(20), scenario);
    LocalSet::new().run_until(timed).await.expect("the demand of both is reported");
}

/// An engine in memory in the middle of a switch, with a view that the test sets.
#[derive(Debug)]
struct SwitchingEngine {
    rank: usize,
    view: Cell<RankView>,
    orders: RefCell<Vec<EngineOrder>>,
}

/// The map that ranks are being switched to.
const NEXT_MAP: MapVersion = MapVersion(7);
/// The view of a rank before a switch.
const IDLE_VIEW: RankView = RankView {
    epoch: GroupEpoch(1),
    sequence: OrderSequence(0),
    step: StepNumber(9),
    map: MapVersion(0),
    prepared: None,
    armed: None,
    held: None,
    busy: false,
};

impl SwitchingEngine {
    fn new(rank: usize) -> Rc<Self> {
        Rc::new(Self { rank, view: Cell::new(IDLE_VIEW), orders: RefCell::default() })
    }
}

impl LocalEngine for SwitchingEngine {
    fn state(&self) -> RankFuture<'_, RankState> {
        let state = RankState {
            view: self.view.get(),
            group: "g".to_owned(),
            rank: self.rank,
            size: RANKS,
            open: true,
            requests: 0,
            pace: RankPace::USUAL,
        };
        async move { Ok(state) }.boxed_local()
    }

    fn counts(&self) -> RankFuture<'_, ExpertCounts> {
        no_answer()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        no_answer()
    }

    fn order<'a>(&'a self, order: EngineOrder, _map: Option<&'a EqualShareMap>) -> RankFuture<'a, bool> {
        self.orders.borrow_mut().push(order);
        if matches!(order, EngineOrder::Prepare { .. }) {
            self.view.set(RankView { prepared: Some(NEXT_MAP), ..self.view.get() });
        }
        async { Ok(true) }.boxed_local()
    }
}

const PREPARE: EngineOrder =
    EngineOrder::Prepare { epoch: GroupEpoch(1), version: NEXT_MAP, sequence: OrderSequence(0) };
const ARM: EngineOrder =
    EngineOrder::Arm { epoch: GroupEpoch(1), armed: ArmedMap { version: NEXT_MAP, step: StepNumber(11) } };

/// Guards against a held group that waits for a process that was stopped in the middle of a switch to start again.
#[tokio::test(start_paused = true)]
async fn process_that_stops_in_a_switch_stays_until_its_rank_has_switched() {
    let scenario = async {
        let engine = SwitchingEngine::new(1);
        let own = Rc::new(OwnRank::new(Rc::<SwitchingEngine>::clone(&engine)));
        let stop = watch::Sender::new(false);
        let (planning, _loads) = planning_loop_of(Rc::clone(&own), 9);
        let running = tokio::task::spawn_local(planning.run(stop.subscribe()));
        own.order(PREPARE, None).await.expect("the engine takes it");
        stop.send_replace(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!running.is_finished(), "the group may be held for this rank");
        own.order(ARM, None).await.expect("orders of this switch are passed on");
        engine.view.set(RankView { map: NEXT_MAP, step: StepNumber(11), ..IDLE_VIEW });
        let ended = tokio::time::timeout(Duration::from_millis(100), running).await;
        ended.expect("it ends once its rank has switched").expect("no panic");
        assert_eq!(*engine.orders.borrow(), [PREPARE, ARM]);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a switch that begins with a rank whose process is about to end.
#[tokio::test(start_paused = true)]
async fn process_that_stops_takes_part_in_no_new_switch() {
    let scenario = async {
        let engine = SwitchingEngine::new(1);
        engine.view.set(RankView { busy: true, ..IDLE_VIEW });
        let own = Rc::new(OwnRank::new(Rc::<SwitchingEngine>::clone(&engine)));
        own.order(ARM, None).await.expect("the engine takes it");
        let (planning, _loads) = planning_loop_of(Rc::clone(&own), 9);
        let running = tokio::task::spawn_local(planning.run(watch::Sender::new(true).subscribe()));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!running.is_finished(), "its engine carries out an order");
        own.order(PREPARE, None).await.expect_err("it would begin a switch");
        assert_eq!(*engine.orders.borrow(), [ARM]);
        engine.view.set(IDLE_VIEW);
        let ended = tokio::time::timeout(Duration::from_millis(100), running).await;
        ended.expect("nothing is in progress").expect("no panic");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a stop that waits for a switch that was given up, or for an engine that does not answer.
#[test_case(true; "a switch that was given up")]
#[test_case(false; "an engine that does not answer")]
#[tokio::test(start_paused = true)]
async fn stop_does_not_wait_for_ever(answers: bool) {
    const MAX_STOP: Duration = Duration::from_secs(2);
    let scenario = async {
        let engine: Rc<dyn LocalEngine> =
            if answers { SwitchingEngine::new(1) } else { Rc::new(SilentEngine) };
        let own = Rc::new(OwnRank::new(engine));
        drop(own.order(PREPARE, None).await);
        let (planning, _loads) = planning_loop_of(own, 9);
        let running = planning.run(watch::Sender::new(true).subscribe());
        tokio::time::timeout(MAX_STOP, running).await.expect("the process ends");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a process that notices a stop only after its pause between two turns.
#[tokio::test(start_paused = true)]
async fn idle_process_stops_at_once() {
    let scenario = async {
        let own = Rc::new(OwnRank::new(SwitchingEngine::new(1)));
        let stop = watch::Sender::new(false);
        let (planning, _loads) = planning_loop_of(own, 9);
        let running = tokio::task::spawn_local(planning.run(stop.subscribe()));
        tokio::time::sleep(Duration::from_millis(1)).await;
        stop.send_replace(true);
        let ended = tokio::time::timeout(Duration::from_millis(20), running).await;
        ended.expect("nothing is in progress").expect("no panic");
    };
    LocalSet::new().run_until(scenario).await;
}
