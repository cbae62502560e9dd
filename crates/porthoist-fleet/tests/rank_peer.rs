//! A process next to an engine reports the loads of its group or where to ask for them, and forwards orders and maps.

use futures::FutureExt as _;
use porthoist_core::RequestRate;
use porthoist_fleet::{
    AgedLoads, ControlTraffic, DemandReport, LoadsAnswer, LoadsPublisher, PeerPool, RankPeer, RankService,
    serve_ranks,
};
use porthoist_group::{ExpertLists, OrderAnswer, RankControl, RankFuture, RankObservation};
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::pass_time::GroupPass;
use porthoist_policy::roll_forward::{EngineOrder, GroupEpoch, OrderSequence, RankPace, RankState, RankView};
use porthoist_policy::switch::{MapVersion, StepNumber};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// An idle engine that records the maps it receives.
#[derive(Debug, Default)]
struct IdleRank {
    maps: RefCell<Vec<EqualShareMap>>,
}

const VIEW: RankView = RankView {
    epoch: GroupEpoch(1),
    sequence: OrderSequence(3),
    step: StepNumber(7),
    map: MapVersion(2),
    prepared: None,
    armed: None,
    held: Some(StepNumber(9)),
    busy: false,
};

impl RankControl for IdleRank {
    fn observe(&self, _counts: bool) -> RankFuture<'_, RankObservation> {
        let state = RankState {
            view: VIEW,
            group: "g".to_owned(),
            rank: 1,
            size: 2,
            open: true,
            requests: 5,
            pace: RankPace(1_500),
        };
        async move { Ok(RankObservation { state, counts: Vec::new(), demand: None }) }.boxed_local()
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        async { Err(CallError::unknown("not asked")) }.boxed_local()
    }

    fn order<'a>(
        &'a self,
        _order: EngineOrder,
        map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        self.maps.borrow_mut().extend(map.cloned());
        async { Ok(OrderAnswer { taken: true, view: Some(VIEW) }) }.boxed_local()
    }
}

fn loads(revision: u64) -> GroupLoads {
    let ranks = (1..=3).map(|rank| RankLoad {
        host: Ipv4Addr::new(10, 0, 0, rank),
        requests: u32::from(rank),
        silent: rank == 2,
    });
    GroupLoads {
        revision: LoadRevision(revision),
        pass: GroupPass::Millis(47),
        ranks: ranks.collect(),
        ..GroupLoads::default()
    }
}

/// An answer without the age of its loads, which depends on how fast the machine is.
fn without_age(answer: LoadsAnswer) -> LoadsAnswer {
    match answer {
        LoadsAnswer::Loads(loads) => LoadsAnswer::Loads(GroupLoads { age_millis: 0, ..loads }),
        LoadsAnswer::Redirect(host) => LoadsAnswer::Redirect(host),
    }
}

/// Starts a process next to [`IdleRank`] on a free port, and returns a client of it.
async fn start_process(published: &watch::Sender<Option<AgedLoads>>) -> RankPeer {
    start_with_rank(Rc::default(), published).await
}

async fn start_with_rank(own_rank: Rc<IdleRank>, published: &watch::Sender<Option<AgedLoads>>) -> RankPeer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let loads_publisher = LoadsPublisher::new(published.subscribe());
    let peers = Rc::new(PeerPool::new(address.port(), ControlTraffic::default()));
    let serving = RankService::builder().own_rank(own_rank).publisher(loads_publisher).peers(peers).build();
    tokio::task::spawn_local(serve_ranks(listener, Rc::new(serving)));
    RankPeer::new(address)
}

#[tokio::test]
async fn a_process_that_does_not_plan_redirects_to_its_last_observer() {
    let published = watch::Sender::new(None);
    let scenario = async {
        let peer = start_process(&published).await;
        let unknown = peer.loads(LoadRevision(0)).await.expect("an answer");
        assert_eq!(unknown, LoadsAnswer::Redirect(None));
        let observed = peer.observe(false).await.expect("an answer");
        assert_eq!((observed.state.view, observed.state.requests), (VIEW, 5));
        let known = peer.loads(LoadRevision(0)).await.expect("an answer");
        assert_eq!(known, LoadsAnswer::Redirect(Some(Ipv4Addr::LOCALHOST)), "who observed it plans");
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn a_load_query_waits_for_newer_loads_and_is_redirected_when_planning_ends() {
    let published = watch::Sender::new(Some(loads(1).into()));
    let scenario = async {
        let peer = start_process(&published).await;
        let first = peer.loads(LoadRevision(0)).await.expect("an answer");
        assert_eq!(without_age(first), LoadsAnswer::Loads(loads(1)));
        let waiting = peer.loads(LoadRevision(1));
        let publishing = async {
            published.send_replace(Some(loads(1).into()));
            published.send_replace(Some(loads(2).into()));
        };
        let (second, ()) = tokio::join!(waiting, publishing);
        assert_eq!(without_age(second.expect("an answer")), LoadsAnswer::Loads(loads(2)));
        published.send_replace(None);
        let ended = peer.loads(LoadRevision(2)).await.expect("an answer");
        assert_eq!(ended, LoadsAnswer::Redirect(None));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn an_order_returns_the_answer_of_the_engine() {
    let published = watch::Sender::new(None);
    let scenario = async {
        let peer = start_process(&published).await;
        let order = EngineOrder::Hold { epoch: GroupEpoch(1), step: StepNumber(9) };
        let answer = peer.order(order, None).await.expect("an answer");
        assert_eq!(answer, OrderAnswer { taken: true, view: Some(VIEW) });
    };
    LocalSet::new().run_until(scenario).await;
}

/// A map of 64 ranks in 8 sets with five experts per rank, in which some lists depend on `changed`.
fn large_map(changed: u16) -> EqualShareMap {
    let expert = |set: u16, rank: u16, place: u16| match (set, rank % 9) {
        (3, 0) => ExpertId((rank + place + changed) % 320),
        _ => ExpertId((rank * 5 + place) % 320),
    };
    let list = |set: u16, rank: u16| (0..5).map(|place| expert(set, rank, place)).collect();
    EqualShareMap::new((0..8).map(|set| (0..64).map(|rank| list(set, rank)).collect()).collect())
}

#[tokio::test]
async fn maps_sent_as_changes_arrive_complete() {
    let published = watch::Sender::new(None);
    let scenario = async {
        let own_rank = Rc::new(IdleRank::default());
        let peer = start_with_rank(Rc::clone(&own_rank), &published).await;
        let maps = [large_map(0), large_map(7), large_map(7), large_map(30)];
        for (number, map) in maps.iter().enumerate() {
            let version = MapVersion(1 + number as u32);
            let sequence = OrderSequence(0);
            let order = EngineOrder::Prepare { epoch: GroupEpoch(1), version, sequence };
            let answer = peer.order(order, Some(map)).await.expect("an answer");
            assert!(answer.taken);
            if number == 1 {
                // No map was sent over the next connection.
                peer.reset();
            }
        }
        assert_eq!(*own_rank.maps.borrow(), maps);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Bytes that a demand with three priorities may add to a call and to its answer: hundreds of entries ask twelve times a
/// second over links of 6 Mbit/s.
const MAX_DEMAND_BYTES: u64 = 40;

#[tokio::test]
async fn demand_with_three_priorities_is_compact() {
    // The largest deployment's demand.
    let level =
        |level: u8| (PriorityLevel(level), LevelDemand { asked: RequestRate(1_234.567), running: 700 });
    let demand = ServiceDemand { levels: (0..3).map(level).collect(), entries: 600 };
    let published = watch::Sender::new(Some(loads(1).into()));
    let scenario = async {
        let address = start_process(&published).await.address();
        let traffic = ControlTraffic::default();
        let peer = RankPeer::with_traffic(address, traffic.clone());
        let bytes = async |report: Option<&DemandReport>| {
            let before = (traffic.sent(), traffic.received());
            let answer = peer.loads_for_entry(LoadRevision(0), report).await.expect("an answer");
            // The client confirms the answer after it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            (traffic.sent() - before.0, traffic.received() - before.1, answer)
        };
        bytes(None).await;
        let (sent, received, _answer) = bytes(None).await;
        let report = DemandReport { entry: EntryId(u64::MAX), demand: Some(demand.clone()) };
        let (sent_with, _received, _answer) = bytes(Some(&report)).await;
        assert!(sent_with - sent <= MAX_DEMAND_BYTES, "{} bytes in a call", sent_with - sent);
        published.send_replace(Some(GroupLoads { demand: Some(demand.clone()), ..loads(2) }.into()));
        let (_sent, received_with, answer) = bytes(None).await;
        assert!(
            received_with - received <= MAX_DEMAND_BYTES,
            "{} bytes in an answer",
            received_with - received
        );
        let LoadsAnswer::Loads(loads) = answer else { panic!("the process knows loads") };
        assert_eq!(loads.demand, Some(demand));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Time for which a question is held before there are newer loads.
const HOLD: Duration = Duration::from_millis(150);
/// Time for which the thread of the asking process does nothing.
const SUSPENSION: Duration = Duration::from_millis(500);

/// Guards against an entry that takes an answer for new after it was suspended while the answer waited for it. The time for
/// which the question was held must not count: no reading was known to be taken then.
#[test_case(false; "a process that runs")]
#[test_case(true; "a process that was suspended")]
#[tokio::test]
async fn age_includes_the_time_of_an_answer_on_its_way(suspended: bool) {
    let published = watch::Sender::new(Some(loads(1).into()));
    let (sender, address) = tokio::sync::oneshot::channel();
    let serving = published.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            sender.send(start_process(&serving).await.address()).expect("the test waits for it");
            std::future::pending::<()>().await;
        });
    });
    let scenario = async {
        let peer = RankPeer::new(address.await.expect("the process starts"));
        peer.loads(LoadRevision(0)).await.expect("an answer");
        let asked = Instant::now();
        let suspension = async {
            tokio::time::sleep(HOLD).await;
            published.send_replace(Some(loads(2).into()));
            if suspended {
                std::thread::sleep(SUSPENSION);
            }
        };
        let (answer, ()) = tokio::join!(peer.loads(LoadRevision(1)), suspension);
        let waited = asked.elapsed();
        let LoadsAnswer::Loads(newer) = answer.expect("an answer") else { panic!("loads are known") };
        let age = Duration::from_millis(newer.age_millis);
        if suspended {
            // On a busy machine, the other thread may answer late.
            assert!(age >= SUSPENSION / 2, "{age:?} of {waited:?}");
        } else {
            // The age is a difference of whole milliseconds: a part of one may count as a whole one.
            let waited_millis = waited.as_nanos().div_ceil(1_000_000);
            assert!((age + HOLD).as_millis() <= waited_millis, "{age:?} of {waited:?}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}
