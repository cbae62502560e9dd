//! The rank role: runs next to one rank of a group, and plans the group's expert maps if that is its first
//! rank.

use super::{BUILD, bind, run_until_stopped};
use crate::component::rank::{OwnRank, PlanningLoop};
use crate::component::status::serve_metrics;
use crate::component::{spawn_task, spawn_thread};
use crate::settings::rank::RankSettings;
use porthoist_core::{AnchoredClock, ClockSource};
use porthoist_fleet::{ControlTraffic, EntryDemands, LoadsPublisher, PeerPool, RankService, serve_ranks};
use porthoist_group::RankControl;
use porthoist_metrics::MetricsHub;
use porthoist_proxy::{ControlState, ControlWatch, ProvenRowSource, RowSource, TableReader, UnreadableRows};
use porthoist_turist::{StoreClient, TuristEngine, TuristSource};
use slog::{Logger, info, o};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Runs the role until it is stopped.
pub fn run(settings: RankSettings, logger: &Logger) -> io::Result<()> {
    run_until_stopped(logger, |stopping| start(settings, logger, &stopping))
}

/// Starts the role's threads; the returned one ends when the role has stopped.
fn start(
    settings: RankSettings,
    logger: &Logger,
    stopping: &watch::Sender<bool>,
) -> io::Result<JoinHandle<()>> {
    let (rank_listener, rank_address) = bind(settings.rank_listen)?;
    let (metrics_listener, _metrics_address) = bind(settings.metrics_listen)?;
    let logger = logger.new(o!("role" => "rank", "host" => settings.host.to_string()));
    info!(logger, "started"; "event" => "start", "engine" => settings.engine.to_string(),
        "rank_listen" => rank_address.to_string(), "table" => settings.table.to_string(),
        "version" => env!("CARGO_PKG_VERSION"), "build" => BUILD);
    let metrics = Arc::new(MetricsHub::new().map_err(io::Error::other)?);
    let clock: Arc<dyn ClockSource> = Arc::new(AnchoredClock::new());
    let state = watch::Sender::new(ControlState::default());
    let served = Arc::clone(&metrics);
    spawn_thread("metrics", stopping, move || serve_metrics(metrics_listener, served))?;
    let stop = stopping.subscribe();
    spawn_thread("rank", stopping, move || async move {
        let entry_demands = EntryDemands::default();
        let engine = Rc::new(TuristEngine::new(settings.engine));
        let own = Rc::new(OwnRank::with_demands(engine, entry_demands.clone()));
        let listener = TcpListener::from_std(rank_listener).expect("the listener is bound and non-blocking");
        let loads = watch::Sender::new(None);
        let traffic = ControlTraffic::default();
        let peers = Rc::new(PeerPool::new(rank_address.port(), traffic.clone()));
        let rank_control: Rc<dyn RankControl> = Rc::<OwnRank>::clone(&own);
        let publisher = LoadsPublisher::new(loads.subscribe());
        let store: Rc<dyn RowSource> =
            Rc::new(StoreClient::new(settings.table, Arc::clone(&metrics), logger.clone()));
        let reader = TableReader::new(Rc::clone(&store), Arc::clone(&clock), logger.clone());
        let serving = RankService::builder()
            .own_rank(rank_control)
            .publisher(publisher)
            .peers(Rc::clone(&peers))
            .traffic(traffic.clone())
            .reader(reader)
            .clock(Arc::clone(&clock))
            .entry_demands(entry_demands)
            .build();
        spawn_task(serve_ranks(listener, Rc::new(serving)));
        spawn_task(record_traffic(traffic, Arc::clone(&metrics)));
        let source = TuristSource::builder()
            .rows(ProvenRowSource::new(store))
            .unreadable(UnreadableRows::new(Arc::clone(&metrics)))
            .clock(Arc::clone(&clock))
            .logger(logger.clone())
            .build();
        let control = ControlWatch::builder()
            .source(Rc::new(source))
            .state(state.clone())
            .clock(Arc::clone(&clock))
            .metrics(metrics)
            .logger(logger.clone())
            .build();
        let planning = PlanningLoop::builder()
            .settings(settings)
            .own(own)
            .control(control)
            .state(state.subscribe())
            .loads(loads)
            .peers(peers)
            .clock(clock)
            .logger(logger.clone())
            .build();
        planning.run(stop).await;
        info!(logger, "stopped"; "event" => "stopped");
    })
}

/// Interval in milliseconds at which the traffic counter is updated.
const TRAFFIC_INTERVAL_MILLIS: u64 = 1_000;

/// Adds the bytes exchanged with other processes to the metrics.
async fn record_traffic(traffic: ControlTraffic, metrics: Arc<MetricsHub>) {
    let mut counted = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(TRAFFIC_INTERVAL_MILLIS)).await;
        let all = traffic.sent() + traffic.received();
        metrics.record_control_bytes(all - counted);
        counted = all;
    }
}
