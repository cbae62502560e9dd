//! Calls to a group through branches: their traffic per process, and the effect of a member that fails.

use futures::FutureExt as _;
use porthoist_core::{LinkRate, RequestRate};
use porthoist_fleet::{
    AgedLoads, BranchedGroup, ControlTraffic, DemandReport, EntryDemands, LoadsAnswer, LoadsPublisher,
    PeerPool, RankBranches, RankPeer, RankService, serve_ranks,
};
use porthoist_group::{
    DirectGroup, ExpertLists, GroupControl, GroupTimeouts, OrderAnswer, RankControl, RankFuture,
    RankObservation,
};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView,
};
use porthoist_policy::switch::{MapVersion, StepNumber};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

/// Number of sets, and of experts per set, in the largest deployment.
const SETS: usize = 16;
const EXPERTS: usize = 258;
/// Number of zones in a deployment.
const ZONES: usize = 5;

/// Longer than a busy machine delays any of these processes, so that only silent ones time out. All of them share a thread:
/// with the timeouts used in production, 150 ms and 30, answers are late at a load of three per core.
const TIMEOUT: Duration = Duration::from_secs(4);

fn timeouts() -> GroupTimeouts {
    GroupTimeouts::with_minimums(TIMEOUT, TIMEOUT)
}

/// An engine that counts, records its orders and may stop answering.
#[derive(Debug, Default)]
struct RecordingEngine {
    rank: usize,
    size: usize,
    silent: Cell<bool>,
    /// Whether readings fail at once.
    failed: Cell<bool>,
    orders: RefCell<Vec<EngineOrder>>,
    maps: RefCell<Vec<EqualShareMap>>,
    /// Demand of entries, which a real process keeps apart from its engine.
    demands: EntryDemands,
}

fn view() -> RankView {
    RankView {
        epoch: GroupEpoch(1),
        sequence: OrderSequence(3),
        step: StepNumber(7),
        map: MapVersion(2),
        prepared: None,
        armed: None,
        held: None,
        busy: false,
    }
}

impl RankControl for RecordingEngine {
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation> {
        if self.silent.get() {
            return futures::future::pending::<Result<RankObservation, CallError>>().boxed_local();
        }
        if self.failed.get() {
            return async { Err(CallError::unknown("the engine has ended")) }.boxed_local();
        }
        let state = RankState {
            view: RankView { sequence: OrderSequence(self.rank as u64), ..view() },
            group: "g".to_owned(),
            rank: self.rank,
            size: self.size,
            open: true,
            requests: self.rank as u32 % 7,
            pace: RankPace(1_000 + self.rank as u32),
        };
        let demand = self.demands.sum();
        let counts = if counts { vec![1; SETS * EXPERTS] } else { Vec::new() };
        async move { Ok(RankObservation { state, counts, demand }) }.boxed_local()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        let experts = vec![vec![ExpertId(self.rank as u16)]; SETS];
        async move { Ok(ExpertLists { version: MapVersion(2), experts }) }.boxed_local()
    }

    fn order<'a>(
        &'a self,
        order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        if self.silent.get() {
            return futures::future::pending::<Result<OrderAnswer, CallError>>().boxed_local();
        }
        self.orders.borrow_mut().push(order);
        self.maps.borrow_mut().extend(map.cloned());
        async { Ok(OrderAnswer { taken: true, view: Some(view()) }) }.boxed_local()
    }
}

/// A process next to a rank.
struct RankProcess {
    engine: Rc<RecordingEngine>,
    traffic: ControlTraffic,
    accepting: Option<JoinHandle<()>>,
}

/// A group of processes, each on its own loopback address.
struct ProcessGroup {
    port: u16,
    network: u8,
    processes: Vec<RankProcess>,
}

fn host(network: u8, rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network, (rank / 200) as u8, 1 + (rank % 200) as u8)
}

impl ProcessGroup {
    async fn start(network: u8, ranks: usize) -> Self {
        let first = TcpListener::bind((host(network, 0), 0)).await.expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        drop(first);
        let mut group = Self { port, network, processes: Vec::new() };
        for rank in 0..ranks {
            let engine = Rc::new(RecordingEngine { rank, size: ranks, ..RecordingEngine::default() });
            group.processes.push(RankProcess { engine, traffic: ControlTraffic::default(), accepting: None });
            group.restart(rank).await;
        }
        group
    }

    /// Restarts a process. The new one knows nothing of the old one, to which existing connections remain.
    async fn restart(&mut self, rank: usize) {
        let (port, network) = (self.port, self.network);
        let process = &mut self.processes[rank];
        if let Some(accepting) = process.accepting.take() {
            accepting.abort();
            tokio::task::yield_now().await;
        }
        let listener = TcpListener::bind((host(network, rank), port)).await.expect("a free port");
        let own_rank: Rc<dyn RankControl> = Rc::<RecordingEngine>::clone(&process.engine);
        let publisher = LoadsPublisher::new(watch::Sender::new(None).subscribe());
        let peers = Rc::new(PeerPool::new(port, process.traffic.clone()));
        let serving = RankService::builder()
            .own_rank(own_rank)
            .publisher(publisher)
            .peers(peers)
            .traffic(process.traffic.clone())
            .entry_demands(process.engine.demands.clone())
            .build();
        process.accepting = Some(tokio::task::spawn_local(serve_ranks(listener, Rc::new(serving))));
    }

    /// Ends a process: connections to it fail from now on, and existing ones deliver no reading of its engine.
    async fn end(&mut self, rank: usize) {
        let process = &mut self.processes[rank];
        process.engine.failed.set(true);
        if let Some(accepting) = process.accepting.take() {
            accepting.abort();
            tokio::task::yield_now().await;
        }
    }

    /// Replaces a process by one that accepts connections and never answers.
    async fn make_unresponsive(&mut self, rank: usize) {
        let (port, network) = (self.port, self.network);
        let process = &mut self.processes[rank];
        if let Some(accepting) = process.accepting.take() {
            accepting.abort();
            tokio::task::yield_now().await;
        }
        let listener = TcpListener::bind((host(network, rank), port)).await.expect("a free port");
        process.accepting = Some(tokio::task::spawn_local(async move {
            let mut connections = Vec::new();
            while let Ok(connection) = listener.accept().await {
                connections.push(connection);
            }
        }));
    }

    fn peers(&self) -> Rc<PeerPool> {
        Rc::new(PeerPool::new(self.port, self.processes[0].traffic.clone()))
    }

    /// The group as seen from the process next to its first rank.
    fn branched(&self) -> BranchedGroup {
        self.branched_with(self.peers())
    }

    /// The same, with these clients of the other processes.
    fn branched_with(&self, peers: Rc<PeerPool>) -> BranchedGroup {
        let ranks = self.processes.len();
        let zone = |rank: usize| format!("z{}", rank * ZONES / ranks).parse().expect("a name");
        let others: BTreeMap<_, _> = (1..ranks).map(|rank| (host(self.network, rank), zone(rank))).collect();
        let hosts = (0..ranks).map(|rank| Some(host(self.network, rank))).collect();
        let branches = RankBranches::new(&others, peers);
        let own: Rc<dyn RankControl> = Rc::<RecordingEngine>::clone(&self.processes[0].engine);
        BranchedGroup::new(own, hosts, branches, Rc::new(timeouts()), LinkRate(6.0))
    }

    /// The same group, with each rank called directly.
    fn direct(&self) -> DirectGroup {
        let peers = self.peers();
        let own: Rc<dyn RankControl> = Rc::<RecordingEngine>::clone(&self.processes[0].engine);
        let other = |rank: usize| -> Rc<dyn RankControl> { peers.get(host(self.network, rank)) };
        DirectGroup::new(std::iter::once(own).chain((1..self.processes.len()).map(other)).collect())
            .with_timeouts(timeouts())
    }

    /// Bytes sent and received by each process so far.
    fn traffic_bytes(&self) -> Vec<u64> {
        self.processes.iter().map(|process| process.traffic.sent() + process.traffic.received()).collect()
    }
}

/// Returns the bytes of the planning process and of the busiest other one in a round with counts, once all are connected.
async fn round_bytes(group: &ProcessGroup, control: &dyn GroupControl) -> (u64, u64) {
    let first = control.observe(true).await;
    assert!(first.states.iter().all(Option::is_some), "all ranks are read");
    let before = group.traffic_bytes();
    let observation = control.observe(true).await;
    assert_eq!(
        observation.counts,
        vec![group.processes.len() as u32; SETS * EXPERTS],
        "each rank counts once"
    );
    let spent: Vec<u64> =
        group.traffic_bytes().iter().zip(before).map(|(now, before)| now - before).collect();
    (spent[0], spent[1..].iter().copied().max().unwrap_or_default())
}

/// Bytes that any process of a group may send and receive in a round with counts, per square root of the number of ranks:
/// 4.1 KB of counts and the states of a branch. A group of 129 takes 67.8 KB, 0.09 s of a link of 6 Mbit/s, and 573 KB if
/// each rank is called directly.
const MAX_BYTES_PER_SQRT_RANKS: f64 = 6_000.0;

/// Indices at which there is no answer.
fn missing_indices<T>(answers: &[Option<T>]) -> Vec<usize> {
    let missing = answers.iter().enumerate().filter(|(_index, answer)| answer.is_none());
    missing.map(|(index, _answer)| index).collect()
}

#[test_case(31, 12; "12 ranks")]
#[test_case(32, 24; "24 ranks")]
#[test_case(33, 63; "63 ranks")]
#[test_case(34, 129; "129 ranks")]
#[tokio::test]
async fn traffic_of_a_round_grows_with_the_square_root_of_the_group_size(network: u8, ranks: usize) {
    let scenario = async {
        let group = ProcessGroup::start(network, ranks).await;
        let bound = MAX_BYTES_PER_SQRT_RANKS * (ranks.max(144) as f64).sqrt();
        let (planner, busiest) = round_bytes(&group, &group.branched()).await;
        assert!((planner as f64) < bound, "{ranks} ranks: {planner} bytes at the process that plans");
        assert!((busiest as f64) < bound, "{ranks} ranks: {busiest} bytes at another");
        if ranks == 129 {
            let (direct, _member) = round_bytes(&group, &group.direct()).await;
            assert!(direct > 6 * planner, "{direct} bytes with each rank called directly, {planner} without");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn branches_forward_states_lists_and_orders_unchanged() {
    let scenario = async {
        let group = ProcessGroup::start(35, 40).await;
        let control = group.branched();
        let observation = control.observe(false).await;
        let direct = group.direct().observe(false).await;
        assert_eq!(observation.states, direct.states);
        let lists = control.expert_lists().await;
        let own = |rank: usize| ExpertLists {
            version: MapVersion(2),
            experts: vec![vec![ExpertId(rank as u16)]; SETS],
        };
        assert_eq!(lists, (0..40).map(|rank| Some(own(rank))).collect::<Vec<_>>());
        let armed = |rank: usize| ArmedMap { version: MapVersion(4), step: StepNumber(rank as u32) };
        let orders: Vec<(usize, EngineOrder)> = (0..40)
            .filter(|rank| rank % 3 != 1)
            .map(|rank| (rank, EngineOrder::Arm { epoch: GroupEpoch(1), armed: armed(rank) }))
            .collect();
        let answers = control.order(&orders, None).await;
        assert_eq!(answers, vec![Some(OrderAnswer { taken: true, view: Some(view()) }); orders.len()]);
        for (rank, process) in group.processes.iter().enumerate() {
            let expected: Vec<EngineOrder> =
                orders.iter().filter(|(to, _order)| *to == rank).map(|(_to, order)| *order).collect();
            assert_eq!(*process.engine.orders.borrow(), expected, "rank {rank}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

fn map(ranks: usize, changed: usize) -> EqualShareMap {
    let list = |set: usize, rank: usize| {
        let first = if (set, rank) == (3, 7) { rank + changed } else { rank };
        (0..3).map(|place| ExpertId(((first + place * ranks) % EXPERTS) as u16)).collect()
    };
    EqualShareMap::new((0..SETS).map(|set| (0..ranks).map(|rank| list(set, rank)).collect()).collect())
}

fn prepares(ranks: usize, version: u32) -> Vec<(usize, EngineOrder)> {
    let order = |rank: usize| EngineOrder::Prepare {
        epoch: GroupEpoch(1),
        version: MapVersion(version),
        sequence: OrderSequence(rank as u64),
    };
    (0..ranks).map(|rank| (rank, order(rank))).collect()
}

/// Bytes per rank that a map which differs in one list may cost all processes together.
const MAX_CHANGE_BYTES_PER_RANK: u64 = 700;

/// The base of map changes must outlive the connection. Otherwise every later map is sent whole, which takes 1.7 s of a
/// link of 6 Mbit/s.
#[tokio::test]
async fn maps_are_sent_as_changes_over_new_connections_and_whole_to_restarted_processes() {
    const RANKS: usize = 40;
    let scenario = async {
        let mut group = ProcessGroup::start(36, RANKS).await;
        let control = group.branched();
        let all = |answers: &[Option<OrderAnswer>]| answers.iter().all(Option::is_some);
        assert!(all(&control.order(&prepares(RANKS, 11), Some(&map(RANKS, 0))).await));
        let before: u64 = group.traffic_bytes().iter().sum();
        assert!(all(&control.order(&prepares(RANKS, 12), Some(&map(RANKS, 1))).await));
        let spent = group.traffic_bytes().iter().sum::<u64>() - before;
        assert!(
            spent < MAX_CHANGE_BYTES_PER_RANK * RANKS as u64,
            "{spent} bytes for a map that differs in one list"
        );
        // Another planning process has its own connections and does not know which maps the others have.
        let later = group.branched();
        assert!(all(&later.order(&prepares(RANKS, 13), Some(&map(RANKS, 2))).await));
        // A restarted process gets the whole map, from its head or as a head.
        for rank in [1, 2, 5, 39] {
            group.restart(rank).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(all(&later.order(&prepares(RANKS, 14), Some(&map(RANKS, 3))).await));
        for (rank, process) in group.processes.iter().enumerate() {
            let expected = [map(RANKS, 0), map(RANKS, 1), map(RANKS, 2), map(RANKS, 3)];
            assert!(*process.engine.maps.borrow() == expected, "rank {rank} got other maps");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// A head that does not answer, whatever the call, costs only its own rank: the next member replaces it in the same round.
#[test_case(37, "sweep"; "while it reads")]
#[test_case(38, "order"; "while it orders")]
#[tokio::test]
async fn an_unresponsive_head_is_replaced_in_the_same_round(network: u8, call: &str) {
    let scenario = async {
        let mut group = ProcessGroup::start(network, 60).await;
        // The first host of the first branch: its head.
        group.make_unresponsive(1).await;
        let control = group.branched();
        if call == "sweep" {
            let observation = control.observe(true).await;
            let missing = missing_indices(&observation.states);
            assert_eq!(missing, [1]);
            assert_eq!(observation.counts, vec![59; SETS * EXPERTS]);
        } else {
            let hold = EngineOrder::Hold { epoch: GroupEpoch(1), step: StepNumber(9) };
            let orders: Vec<(usize, EngineOrder)> = (0..60).map(|rank| (rank, hold)).collect();
            let answers = control.order(&orders, None).await;
            let missing = missing_indices(&answers);
            assert_eq!(missing, [1]);
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// A rank whose engine does not answer costs only its own rank as well, while the head answers.
#[tokio::test]
async fn an_unresponsive_engine_affects_only_its_own_rank() {
    let scenario = async {
        let group = ProcessGroup::start(40, 60).await;
        let control = group.branched();
        assert!(control.observe(true).await.states.iter().all(Option::is_some));
        for rank in [1, 30] {
            group.processes[rank].engine.silent.set(true);
        }
        let observation = control.observe(true).await;
        let missing = missing_indices(&observation.states);
        assert_eq!(missing, [1, 30]);
        assert_eq!(observation.counts, vec![58; SETS * EXPERTS]);
    };
    LocalSet::new().run_until(scenario).await;
}

/// The loads that a process reports, without their age, which depends on how fast the machine is.
async fn reported(peer: &RankPeer) -> Option<GroupLoads> {
    match peer.loads(LoadRevision(0)).await.expect("an answer") {
        LoadsAnswer::Loads(loads) => Some(GroupLoads { age_millis: 0, ..loads }),
        LoadsAnswer::Redirect(_planner) => None,
    }
}

/// Guards against ages that start anew in a process that forwards loads: an entry would take requests that it sent after the
/// reading for contained in it. The age of the reading, the time in the planning process before the report is sent and the
/// time in the process that is asked must add up.
#[tokio::test]
async fn ages_add_up_over_forwarding() {
    const HELD: Duration = Duration::from_millis(120);
    let scenario = async {
        let group = ProcessGroup::start(41, 30).await;
        let control = group.branched();
        let ranks = (0..30).map(|rank| RankLoad { host: host(41, rank), requests: 1, silent: false });
        let loads = GroupLoads {
            revision: LoadRevision(5),
            age_millis: 1_000,
            ranks: ranks.collect(),
            ..GroupLoads::default()
        };
        let began = Instant::now();
        let loads = AgedLoads::new(loads);
        tokio::time::sleep(HELD).await;
        control.branches().publish_loads(&loads);
        // A head of a branch, and a process to which a head forwards.
        for rank in [1, 17] {
            let peer = RankPeer::new((host(41, rank), group.port).into());
            while reported(&peer).await.is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            tokio::time::sleep(HELD).await;
            let LoadsAnswer::Loads(loads) = peer.loads(LoadRevision(0)).await.expect("an answer") else {
                panic!("the process of rank {rank} knows loads");
            };
            let least = 1_000 + 2 * HELD.as_millis() as u64;
            let most = 1_000 + began.elapsed().as_millis() as u64;
            // Each process drops the fraction of a millisecond.
            assert!((least - 3..=most).contains(&loads.age_millis), "rank {rank}: {}", loads.age_millis);
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// Demand of `entries` entries, each with `asked` requests per second at three priorities.
fn demand(entries: u32, asked: f64) -> ServiceDemand {
    let all = f64::from(entries);
    let level = |level: u8| {
        let asked = RequestRate(all * asked * f64::from(1 + level));
        (PriorityLevel(level), LevelDemand { asked, running: entries * u32::from(level) })
    };
    ServiceDemand { levels: (0..3).map(level).collect(), entries }
}

impl ProcessGroup {
    /// Asks the process of a rank for loads on behalf of an entry with this demand.
    async fn ask(&self, rank: usize, entry: u64, demand: Option<ServiceDemand>) -> LoadsAnswer {
        let peer = RankPeer::new((host(self.network, rank), self.port).into());
        let report = DemandReport { entry: EntryId(entry), demand };
        peer.loads_for_entry(LoadRevision(0), Some(&report)).await.expect("an answer")
    }
}

/// Guards against a sum that leaves out processes, and against reports without it: an entry would take its own demand for
/// all there is. One entry asks the planning process, one the head of a branch, and one a process that a head reads.
#[tokio::test]
async fn demand_of_entries_on_several_processes_reaches_all_as_sum() {
    let scenario = async {
        let group = ProcessGroup::start(42, 30).await;
        let control = group.branched();
        assert_eq!(control.observe(false).await.demand, None, "no entry has reported any");
        for (entry, rank) in [(1, 0), (2, 1), (3, 17)] {
            group.ask(rank, entry, Some(demand(1, 2.5))).await;
        }
        let sum = control.observe(false).await.demand;
        assert_eq!(sum, Some(demand(3, 2.5)));
        let ranks = (0..30).map(|rank| RankLoad { host: host(42, rank), requests: 1, silent: false });
        let loads = GroupLoads {
            revision: LoadRevision(5),
            demand: sum.clone(),
            ranks: ranks.collect(),
            ..GroupLoads::default()
        };
        control.branches().publish_loads(&loads.into());
        for rank in [1, 17] {
            let peer = RankPeer::new((host(42, rank), group.port).into());
            let loads = loop {
                match reported(&peer).await {
                    Some(loads) => break loads,
                    None => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            };
            assert_eq!(loads.demand, sum, "rank {rank}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against counting an entry twice that follows two processes of a group, also when it changes the one to which it
/// reports its demand.
#[tokio::test]
async fn demand_of_entry_that_follows_two_processes_counts_once() {
    let scenario = async {
        let group = ProcessGroup::start(43, 30).await;
        let control = group.branched();
        for (first, second) in [(3, 17), (17, 3)] {
            group.ask(first, 1, Some(demand(1, 2.5))).await;
            group.ask(second, 1, None).await;
            assert_eq!(control.observe(false).await.demand, Some(demand(1, 2.5)));
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// How long a demand counts after it was last reported.
const DEMAND_LIFETIME: Duration = Duration::from_secs(1);

/// Guards against demand of entries that have ended: the others' shares would stay small.
#[tokio::test]
async fn demand_of_entry_that_stops_asking_expires() {
    let scenario = async {
        let group = ProcessGroup::start(44, 30).await;
        let control = group.branched();
        group.ask(17, 1, Some(demand(1, 2.5))).await;
        let stopped = Instant::now();
        for _query in 0..4 {
            group.ask(3, 2, Some(demand(1, 2.5))).await;
            let sum = control.observe(false).await.demand;
            // On a busy machine, the queries may take longer.
            if stopped.elapsed() < DEMAND_LIFETIME {
                assert_eq!(sum, Some(demand(2, 2.5)), "{:?}", stopped.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        tokio::time::sleep_until(stopped + DEMAND_LIFETIME).await;
        group.ask(3, 2, Some(demand(1, 2.5))).await;
        assert_eq!(control.observe(false).await.demand, Some(demand(1, 2.5)));
        tokio::time::sleep(DEMAND_LIFETIME).await;
        assert_eq!(control.observe(false).await.demand, None);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a demand that falls with each reading that a process misses, and against one that stays after a process or
/// a whole branch is cut off.
#[test_case(45, &[17]; "a member")]
#[test_case(46, &[1, 2, 3, 4]; "a whole branch")]
#[tokio::test]
async fn demand_of_unheard_processes_counts_for_its_lifetime(network: u8, unheard: &[usize]) {
    let scenario = async {
        let mut group = ProcessGroup::start(network, 30).await;
        let peers = group.peers();
        let control = group.branched_with(Rc::clone(&peers));
        group.ask(unheard[0], 1, Some(demand(1, 2.5))).await;
        group.ask(25, 2, Some(demand(1, 2.5))).await;
        assert_eq!(control.observe(false).await.demand, Some(demand(2, 2.5)));
        let read = Instant::now();
        for rank in unheard {
            group.end(*rank).await;
            peers.get(host(network, *rank)).reset();
        }
        group.ask(25, 2, Some(demand(1, 2.5))).await;
        let sum = control.observe(false).await.demand;
        if read.elapsed() < DEMAND_LIFETIME {
            assert_eq!(sum, Some(demand(2, 2.5)), "after {:?}", read.elapsed());
        }
        tokio::time::sleep_until(read + DEMAND_LIFETIME).await;
        group.ask(25, 2, Some(demand(1, 2.5))).await;
        assert_eq!(control.observe(false).await.demand, Some(demand(1, 2.5)));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Each process of a group reports the loads that the planning process distributed; the hosts are sent only once.
#[tokio::test]
async fn all_processes_report_the_loads_published_to_branches() {
    let scenario = async {
        let group = ProcessGroup::start(39, 30).await;
        let control = group.branched();
        let loads = |revision: u64| {
            let ranks =
                (0..30).map(|rank| RankLoad { host: host(39, rank), requests: rank as u32, silent: false });
            GroupLoads {
                revision: LoadRevision(revision),
                pass: GroupPass::Broken,
                ranks: ranks.collect(),
                ..GroupLoads::default()
            }
        };
        let peer = RankPeer::new((host(39, 17), group.port).into());
        assert_eq!(peer.loads(LoadRevision(0)).await.expect("an answer"), LoadsAnswer::Redirect(None));
        for revision in [5, 6] {
            // Only one report is sent at a time.
            while reported(&peer).await != Some(loads(revision)) {
                control.branches().publish_loads(&loads(revision).into());
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let outdated = tokio::time::timeout(Duration::from_secs(5), peer.loads(LoadRevision(6))).await;
        assert!(matches!(outdated, Ok(Ok(LoadsAnswer::Redirect(_planner)))), "{outdated:?}");
    };
    LocalSet::new().run_until(scenario).await;
}
