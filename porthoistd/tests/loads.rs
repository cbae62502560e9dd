//! Following the loads of several groups over processes on loopback addresses.

use porthoist_core::{AnchoredClock, ClockSource, RequestRate, ServiceName, StartMillis};
use porthoist_fleet::{
    AgedLoads, ControlTraffic, EntryDemands, LoadsPublisher, PeerPool, RankService, serve_ranks,
};
use porthoist_group::{ExpertLists, OrderAnswer, RankControl, RankFuture, RankObservation};
use porthoist_metrics::MetricsHub;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::proxy::balancer::BalancerSettings;
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::demand::{LevelDemand, OwnDemand, PriorityLevel, ServiceDemand};
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::freshness::FreshnessRule;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::retry_share::RetryShareSettings;
use porthoist_policy::proxy::routes::{
    CallerLimits, ConfigVersion, EngineModel, RouteKind, RouteRule, RouteTable, ServiceSpec, WeightedService,
};
use porthoist_policy::proxy::targets::{TargetRecord, TargetState};
use porthoist_policy::roll_forward::EngineOrder;
use porthoist_proxy::{
    ControlState, CrashSnapshot, ProxyHandler, ProxyHandlerSettings, RequestDispatcher, RequestQuarantine,
};
use porthoist_turist::TuristCodec;
use porthoistd::component::loads::LoadsWatch;
use slog::{Discard, Logger, o};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Only a hang takes longer.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const GROUPS: u8 = 3;
/// Ranks of a group; the process next to its first rank plans.
const RANKS: u8 = 2;

/// A rank that answers load queries only.
#[derive(Debug)]
struct LoadsOnly;

impl RankControl for LoadsOnly {
    fn observe(&self, _counts: bool) -> RankFuture<'_, RankObservation> {
        Box::pin(futures::future::pending())
    }

    fn expert_lists(&self) -> RankFuture<'_, ExpertLists> {
        Box::pin(futures::future::pending())
    }

    fn order<'a>(
        &'a self,
        _order: EngineOrder,
        _map: Option<&'a EqualShareMap>,
    ) -> RankFuture<'a, OrderAnswer> {
        Box::pin(futures::future::pending())
    }
}

fn host(group: u8, rank: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1 + group, 1 + rank)
}

fn group_loads(group: u8) -> GroupLoads {
    let ranks = (0..RANKS).map(|rank| RankLoad { host: host(group, rank), requests: 1, silent: false });
    GroupLoads { revision: LoadRevision(1), ranks: ranks.collect(), ..GroupLoads::default() }
}

/// A ranked service with one route per priority.
fn control_state(priorities: &[u8]) -> ControlState {
    let service: ServiceName = "s".parse().expect("a name");
    let engine = EngineModel {
        slots: 4,
        memory_tokens: 1_000,
        step_millis: 1.0,
        request_millis: 1.0,
        stride: 1,
        read_tokens_per_milli: 1.0,
        sets: 1,
        experts: 4,
        max_experts: 3,
        max_new_experts: 1,
        expert_share: 0.5,
    };
    let rule = |priority: &u8| {
        let rule = RouteRule {
            name: format!("r{priority}").into(),
            prefix: format!("/{priority}/").into(),
            kind: RouteKind::Events { resumable: true },
            timeout_millis: 1_000,
            target_latency_millis: 400,
            target_pause_millis: 0,
            priority: *priority,
            max_attempts: 1,
            public: true,
            services: vec![WeightedService { service: "s".parse().expect("a name"), weight: 1 }],
        };
        ("h".into(), rule)
    };
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, idle_millis: 1 };
    let spec = ServiceSpec { name: service.clone(), engine: Some(engine), cold: None };
    let routes =
        RouteTable::new(ConfigVersion(1), limits, vec![spec], priorities.iter().map(rule).collect(), None);
    let record = |group: u8, rank: u8| TargetRecord {
        id: format!("t{group}-{rank}").parse().expect("a name"),
        born: StartMillis::default(),
        service: service.clone(),
        address: (host(group, rank), 9).into(),
        zone: "a".parse().expect("a name"),
        slots: 4,
        state: TargetState::Ready,
        cold: ColdStatus::Unknown,
    };
    let mut state = ControlState { routes: Some(Arc::new(routes)), ..ControlState::default() };
    let ranks = (0..GROUPS).flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    state.targets.apply_listing(ranks.map(|(group, rank)| record(group, rank)), None);
    state
}

/// Listens on the same port of all hosts.
async fn bind_listeners() -> Vec<(u8, u8, TcpListener)> {
    let first = TcpListener::bind((host(0, 0), 0)).await.expect("a free port");
    let port = first.local_addr().expect("a bound address").port();
    let mut bound = vec![(0, 0, first)];
    for group in 0..GROUPS {
        for rank in 0..RANKS {
            if (group, rank) != (0, 0) {
                bound.push((
                    group,
                    rank,
                    TcpListener::bind((host(group, rank), port)).await.expect("a free port"),
                ));
            }
        }
    }
    bound
}

/// Serves the process next to a rank; returns the demand that entries report to it.
fn serve_rank(
    listener: TcpListener,
    loads: watch::Receiver<Option<AgedLoads>>,
    rank_port: u16,
) -> EntryDemands {
    let entry_demands = EntryDemands::default();
    let serving = RankService::builder()
        .own_rank(Rc::new(LoadsOnly))
        .publisher(LoadsPublisher::new(loads))
        .peers(Rc::new(PeerPool::new(rank_port, ControlTraffic::default())))
        .entry_demands(entry_demands.clone())
        .build();
    tokio::task::spawn_local(serve_ranks(listener, Rc::new(serving)));
    entry_demands
}

#[tokio::test]
async fn loads_of_all_groups_of_a_service_are_reported() {
    let scenario = async {
        let bound = bind_listeners().await;
        let rank_port = bound[0].2.local_addr().expect("a bound address").port();
        let mut published = Vec::new();
        for (group, rank, listener) in bound {
            let loads = watch::Sender::new((rank == 0).then(|| group_loads(group).into()));
            serve_rank(listener, loads.subscribe(), rank_port);
            published.push(loads);
        }
        let (loads, mut reports) = mpsc::channel(16);
        let state = watch::Sender::new(control_state(&[]));
        let zone = "a".parse().expect("a name");
        let logger = Logger::root(Discard, o!());
        let loads_watch = LoadsWatch {
            rank_port,
            zone,
            state: state.subscribe(),
            loads,
            entry: EntryId(1),
            own_demand: watch::channel(OwnDemand::new()).1,
            logger,
        };
        tokio::task::spawn_local(loads_watch.run());
        let mut hosts = BTreeSet::new();
        while hosts.len() < usize::from(GROUPS * RANKS) {
            let report = reports.recv().await.expect("the watch runs");
            hosts.extend(report.received().ranks.iter().map(|rank| rank.host));
        }
    };
    let local = LocalSet::new();
    let run = local.run_until(scenario);
    tokio::time::timeout(TEST_TIMEOUT, run).await.expect("all groups are reported");
}

/// Number of rounds; in each, every process has a new report.
const ROUNDS: u64 = 50;
/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against following too many processes per group: each of 531 entries followed 11 processes that
/// reported on 4 groups, which cost 30 KB/s of duplicate reports.
///
/// While a group forms, reports lack ranks. An entry then also queried the processes next to those ranks, and
/// kept following all of them.
#[tokio::test]
async fn at_most_two_processes_are_followed_per_group() {
    let scenario = async {
        let bound = bind_listeners().await;
        let rank_port = bound[0].2.local_addr().expect("a bound address").port();
        let all: Vec<Ipv4Addr> = bound.iter().map(|(group, rank, _listener)| host(*group, *rank)).collect();
        // The group is forming: the first reports lack ranks, whose processes are queried as well.
        let report = |revision: u64| {
            let ranks = all.iter().take(1 + revision as usize / 8).map(|host| RankLoad {
                host: *host,
                requests: 1,
                silent: false,
            });
            GroupLoads { revision: LoadRevision(revision), ranks: ranks.collect(), ..GroupLoads::default() }
        };
        let loads = watch::Sender::new(Some(report(1).into()));
        for (_group, _rank, listener) in bound {
            serve_rank(listener, loads.subscribe(), rank_port);
        }
        let (sender, mut reports) = mpsc::channel(1_000);
        let state = watch::Sender::new(control_state(&[]));
        let zone = "a".parse().expect("a name");
        let logger = Logger::root(Discard, o!());
        let loads_watch = LoadsWatch {
            rank_port,
            zone,
            state: state.subscribe(),
            loads: sender,
            entry: EntryId(1),
            own_demand: watch::channel(OwnDemand::new()).1,
            logger,
        };
        tokio::task::spawn_local(loads_watch.run());
        let mut counts = Vec::new();
        for revision in 2..2 + 2 * ROUNDS {
            loads.send_replace(Some(report(revision).into()));
            tokio::time::sleep(ROUND_INTERVAL).await;
            counts.push(std::iter::from_fn(|| reports.try_recv().ok()).count());
        }
        let later: usize = counts[ROUNDS as usize..].iter().sum();
        assert!((ROUNDS as usize / 2..=2 * ROUNDS as usize + 2).contains(&later), "{counts:?}");
    };
    LocalSet::new().run_until(scenario).await;
}

fn own_demand(asked: f64) -> ServiceDemand {
    let level = LevelDemand { asked: RequestRate(asked), running: 2 };
    ServiceDemand { levels: [(PriorityLevel(1), level)].into(), entries: 1 }
}

/// Guards against counting an entry once for each process that it follows, which would halve the shares of all entries.
/// The demand must be that of the last report, not of the one before.
#[tokio::test]
async fn entries_report_their_demand_to_one_process_per_group() {
    let scenario = async {
        let bound = bind_listeners().await;
        let rank_port = bound[0].2.local_addr().expect("a bound address").port();
        let all: Vec<Ipv4Addr> = bound.iter().map(|(group, rank, _listener)| host(*group, *rank)).collect();
        // The group is forming at first, so that entries follow two processes.
        let report = |revision: u64| {
            let hosts = all.iter().take(if revision < 20 { 1 } else { all.len() });
            let ranks = hosts.map(|host| RankLoad { host: *host, requests: 1, silent: false });
            GroupLoads { revision: LoadRevision(revision), ranks: ranks.collect(), ..GroupLoads::default() }
        };
        let loads = watch::Sender::new(Some(report(1).into()));
        let serve = |(_group, _rank, listener)| serve_rank(listener, loads.subscribe(), rank_port);
        let demands: Vec<EntryDemands> = bound.into_iter().map(serve).collect();
        let state = watch::Sender::new(control_state(&[0, 1]));
        let service: ServiceName = "s".parse().expect("a name");
        let mut reports = Vec::new();
        for entry in [1, 2] {
            let (sender, mut received) = mpsc::channel::<AgedLoads>(1_000);
            let own = watch::Sender::new(OwnDemand::new());
            let loads_watch = LoadsWatch {
                rank_port,
                zone: "a".parse().expect("a name"),
                state: state.subscribe(),
                loads: sender,
                entry: EntryId(entry),
                own_demand: own.subscribe(),
                logger: Logger::root(Discard, o!()),
            };
            tokio::task::spawn_local(loads_watch.run());
            let count = Rc::new(Cell::new(0));
            reports.push(Rc::clone(&count));
            let service = service.clone();
            tokio::task::spawn_local(async move {
                while let Some(newest) = received.recv().await {
                    count.set(count.get() + 1);
                    let asked = newest.received().revision.0 as f64;
                    own.send_replace(OwnDemand::from([(service.clone(), own_demand(asked))]));
                }
            });
        }
        let mut sums = Vec::new();
        for revision in 2..2 + ROUNDS {
            loads.send_replace(Some(report(revision).into()));
            tokio::time::sleep(ROUND_INTERVAL).await;
            let mut sum = ServiceDemand::default();
            demands.iter().filter_map(EntryDemands::sum).for_each(|demand| sum.add(&demand));
            sums.push((sum.entries, sum.total_asked().0 / revision as f64));
        }
        let settled = &sums[ROUNDS as usize - 10..];
        assert!(settled.iter().all(|(entries, _asked)| *entries == 2), "{sums:?}");
        assert!(settled.iter().filter(|(_entries, asked)| *asked >= 1.999).count() >= 5, "{sums:?}");
        assert!(
            reports.iter().all(|count| count.get() > ROUNDS + ROUNDS / 4),
            "each entry follows two processes: {reports:?}"
        );
    };
    LocalSet::new().run_until(scenario).await;
}

fn proxy_handler(
    state: &watch::Sender<ControlState>,
    own_demand: watch::Sender<OwnDemand>,
) -> Rc<ProxyHandler> {
    let clock: Arc<dyn ClockSource> = Arc::new(AnchoredClock::new());
    let metrics = Arc::new(MetricsHub::new().expect("metrics"));
    let logger = Logger::root(Discard, o!());
    let balancer = BalancerSettings::builder()
        .zone("a".parse().expect("a name"))
        .per_rank(3)
        .rank_limit(4)
        .seed(1)
        .build();
    let quarantine = RequestQuarantine::builder()
        .host("h".parse().expect("a name"))
        .crashes(watch::Sender::new(CrashSnapshot::default()).subscribe())
        .changes(mpsc::channel(1).0)
        .clock(Arc::clone(&clock))
        .metrics(Arc::clone(&metrics))
        .logger(logger.clone())
        .build();
    let freshness = FreshnessRule { max_age_millis: 4_600, required_to_run: true };
    let retry_share = RetryShareSettings { ratio: 0.2, slack: 1.0, window_millis: 10_000 };
    ProxyHandler::builder()
        .settings(ProxyHandlerSettings::builder().freshness(freshness).retry_share(retry_share).build())
        .codec(Rc::new(TuristCodec))
        .state(state.subscribe())
        .dispatcher(RequestDispatcher::new(balancer, Arc::clone(&clock)))
        .quarantine(quarantine)
        .notes(watch::Sender::new(Vec::new()))
        .own_demand(own_demand)
        .clock(clock)
        .metrics(metrics)
        .logger(logger)
        .build()
}

/// The demand is published with each report, and only for services whose requests have several priorities: nothing is
/// reported for others.
#[test_case(&[0, 1], true; "two priorities")]
#[test_case(&[1], false; "one priority")]
#[tokio::test]
async fn demand_on_contended_services_is_published_with_each_report(priorities: &[u8], published: bool) {
    let scenario = async {
        let own_demand = watch::Sender::new(OwnDemand::new());
        let mut published_demand = own_demand.subscribe();
        let handler = proxy_handler(&watch::Sender::new(control_state(priorities)), own_demand);
        handler.sync_targets();
        for _report in 0..2 {
            handler.update_loads(&group_loads(0));
            assert_eq!(published_demand.has_changed().expect("the handler exists"), published);
            let demand = published_demand.borrow_and_update();
            assert_eq!(demand.values().map(|demand| demand.entries).sum::<u32>(), u32::from(published));
        }
    };
    LocalSet::new().run_until(scenario).await;
}
