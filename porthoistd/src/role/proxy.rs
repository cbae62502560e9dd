//! The proxy role: forwards requests unchanged, by the routes and targets of the platform's table service.

use super::{BUILD, bind, file_bounds, run_until_stopped};
use crate::component::loads::LoadsWatch;
use crate::component::status::StatusServer;
use crate::component::zone_peers::{ZonePeers, entry_id};
use crate::component::{spawn_task, spawn_thread};
use crate::settings::proxy::{PROOF_MARGIN_MILLIS, ProxySettings};
use porthoist_core::{AnchoredClock, ClockSource};
use porthoist_fleet::{AgedLoads, ControlTraffic, PeerPool};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::balancer::BalancerSettings;
use porthoist_policy::proxy::demand::OwnDemand;
use porthoist_policy::proxy::freshness::FreshnessRule;
use porthoist_policy::proxy::limit_notes::TargetNote;
use porthoist_policy::proxy::retry_share::RetryShareSettings;
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_proxy::{
    CRASH_POLL_TIMEOUT, ControlState, ControlWatch, CrashChange, CrashSnapshot, CrashWatch, CrashWriter,
    PeerRowSource, ProvenRowSource, ProxyHandler, ProxyHandlerSettings, ProxyServer, RequestDispatcher,
    RequestQuarantine, RowSource, UnreadableRows, serve_proxy,
};
use porthoist_turist::{READY_PATH, StoreClient, TuristCodec, TuristSource};
use slog::{Logger, info, o};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Share of the retry ratio that one process uses; the rest covers restarting processes.
const PROCESS_RATIO_SHARE: f64 = 0.8;
/// Number of processes that share the retry slack: twice the largest current deployment.
const SLACK_PROCESSES: f64 = 100.0;

/// Capacity of the queue of load reports: each of about ten groups sends twelve a second, and the callers
/// thread takes them within milliseconds.
const LOADS_CAPACITY: usize = 64;
/// Capacity of the queue of crashes to write, enough for all requests of ten targets; they are written within
/// milliseconds.
const CRASHES_CAPACITY: usize = 1_024;
/// Interval at which expired and cleared crashes are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Addresses that a proxy listens on.
#[derive(Debug, Clone, Copy)]
pub struct ProxyAddresses {
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The readiness endpoint of the load balancer.
    pub ready: SocketAddr,
    /// The metrics endpoint.
    pub metrics: SocketAddr,
}

/// Runs a proxy until it is stopped and no request is in flight.
pub fn run(settings: ProxySettings, logger: &Logger) -> io::Result<()> {
    run_until_stopped(logger, |stopping| {
        let (_addresses, callers) = start(settings, logger, stopping)?;
        Ok(callers)
    })
}

/// Starts a proxy's threads; the returned one ends when the proxy has shut down gracefully.
pub fn start(
    settings: ProxySettings,
    logger: &Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(ProxyAddresses, JoinHandle<()>)> {
    let file_bounds = file_bounds()?;
    let max_connections = file_bounds.callers.min(settings.memory.connections);
    let (callers_listener, callers) = bind(settings.callers_listen)?;
    let (ready_listener, ready) = bind(settings.ready_listen)?;
    let (metrics_listener, metrics) = bind(settings.metrics_listen)?;
    let addresses = ProxyAddresses { callers, ready, metrics };
    let logger = logger.new(o!("role" => "proxy", "host" => settings.host.to_string()));
    info!(logger, "started"; "event" => "start", "callers" => callers.to_string(),
        "zone" => settings.zone.to_string(), "table" => settings.table.to_string(),
        "version" => env!("CARGO_PKG_VERSION"), "build" => BUILD, "max_connections" => max_connections,
        "held_bytes" => settings.memory.held_bytes, "grace_s" => settings.grace_millis as f64 / 1_000.0,
        "unread_ms" => settings.unread_millis, "share_capacity" => settings.share_capacity,
        "retry_ratio" => settings.retry_ratio, "retry_window_ms" => settings.retry_window_millis,
        "retry_slack" => settings.retry_slack);
    let process = ProxyProcess {
        metrics: Arc::new(MetricsHub::new().map_err(io::Error::other)?),
        clock: Arc::new(AnchoredClock::new()),
        state: watch::Sender::new(ControlState::default()),
        crashes: watch::Sender::new(CrashSnapshot::default()),
        position: watch::Sender::new(None),
        own_notes: watch::Sender::new(Vec::new()),
        own_demand: watch::Sender::new(OwnDemand::new()),
        zone_notes: watch::Sender::new(Vec::new()),
        idle_targets: file_bounds.idle_targets,
        max_connections,
        proof: FreshnessRule {
            max_age_millis: settings.revoke_millis.saturating_sub(PROOF_MARGIN_MILLIS),
            required_to_run: settings.refuse_unproven,
        },
        settings,
        stopping,
        logger,
    };
    let crash_changes = process.start_control()?;
    let loads = process.start_loads()?;
    process.start_status(ready_listener, metrics_listener)?;
    let callers = process.start_callers(callers_listener, loads, crash_changes)?;
    Ok((addresses, callers))
}

/// State shared by the threads of one proxy.
struct ProxyProcess {
    settings: ProxySettings,
    metrics: Arc<MetricsHub>,
    clock: Arc<dyn ClockSource>,
    state: watch::Sender<ControlState>,
    crashes: watch::Sender<CrashSnapshot>,
    /// This process's position among the entries of its zone.
    position: watch::Sender<Option<EntryPosition>>,
    /// Notes of this process on targets under pressure, and those of the zone's other entries.
    own_notes: watch::Sender<Vec<TargetNote>>,
    /// This process's demand on services whose capacity is divided among entries.
    own_demand: watch::Sender<OwnDemand>,
    zone_notes: watch::Sender<Vec<TargetNote>>,
    proof: FreshnessRule,
    idle_targets: usize,
    /// Maximum number of open connections of callers.
    max_connections: usize,
    stopping: watch::Sender<bool>,
    logger: Logger,
}

impl ProxyProcess {
    /// Follows the platform's tables; returns the queue of crashes to write.
    fn start_control(&self) -> io::Result<mpsc::Sender<CrashChange>> {
        let (table, metrics) = (self.settings.table, Arc::clone(&self.metrics));
        let (state, clock, logger) = (self.state.clone(), Arc::clone(&self.clock), self.logger.clone());
        let (bound, change_bound) = (self.settings.bound, self.settings.change_bound);
        let (zone, rank_port) = (self.settings.zone.clone(), self.settings.rank_port);
        let max_proof_age = self.proof.max_age_millis;
        let (crashes, position, host) =
            (self.crashes.clone(), self.position.clone(), self.settings.host.clone());
        let (own_notes, zone_notes) = (self.own_notes.subscribe(), self.zone_notes.clone());
        let (changes, crash_changes) = mpsc::channel(CRASHES_CAPACITY);
        spawn_thread("control", &self.stopping, move || async move {
            let store = Rc::new(StoreClient::new(table, Arc::clone(&metrics), logger.clone()));
            let crash_writer =
                CrashWriter::builder().writer(Rc::<StoreClient>::clone(&store)).changes(crash_changes);
            let crash_writer = crash_writer.metrics(Arc::clone(&metrics)).logger(logger.clone()).build();
            let store: Rc<dyn RowSource> = store;
            let rows: Rc<dyn RowSource> = match rank_port {
                Some(port) => {
                    let peers = PeerPool::new(port, ControlTraffic::default());
                    let zone_peers = ZonePeers::builder().zone(zone).host(host).state(state.subscribe());
                    let zone_peers = zone_peers.peers(peers).clock(Arc::clone(&clock)).position(position);
                    let zone_peers = zone_peers.own_notes(own_notes).zone_notes(zone_notes).build();
                    let rows = PeerRowSource::builder().table_service(store).peers(Rc::new(zone_peers));
                    let rows = rows.change_bound(change_bound).clock(Arc::clone(&clock));
                    rows.metrics(Arc::clone(&metrics)).logger(logger.clone()).build()
                }
                None => ProvenRowSource::new(store),
            };
            let crash_wait = if rows.is_shared() {
                change_bound.service_wait(CRASH_POLL_TIMEOUT)
            } else {
                change_bound.own_wait(CRASH_POLL_TIMEOUT)
            };
            let crash_watch = CrashWatch::builder().source(Rc::clone(&rows)).crashes(crashes);
            let unreadable = UnreadableRows::new(Arc::clone(&metrics));
            let crash_watch = crash_watch.poll_timeout(crash_wait).unreadable(unreadable.clone());
            let crash_watch =
                crash_watch.state(state.subscribe()).clock(Arc::clone(&clock)).logger(logger.clone()).build();
            let source = TuristSource::builder().rows(rows).unreadable(unreadable);
            let source = source.clock(Arc::clone(&clock)).logger(logger.clone()).build();
            let watch = ControlWatch::builder().staleness_bound(bound).source(Rc::new(source)).state(state);
            let watch = watch.max_proof_age_millis(max_proof_age).change_bound(change_bound);
            let watch = watch.clock(clock).metrics(metrics).logger(logger).build();
            tokio::join!(watch.run(), crash_watch.run(), crash_writer.run());
        })?;
        Ok(changes)
    }

    /// Follows the loads of groups, if the port of the processes next to engines is known.
    fn start_loads(&self) -> io::Result<mpsc::Receiver<AgedLoads>> {
        let (loads, reports) = mpsc::channel(LOADS_CAPACITY);
        let Some(rank_port) = self.settings.rank_port else { return Ok(reports) };
        let (zone, state) = (self.settings.zone.clone(), self.state.subscribe());
        let loads_watch = LoadsWatch {
            rank_port,
            zone,
            state,
            loads,
            entry: entry_id(&self.settings.host),
            own_demand: self.own_demand.subscribe(),
            logger: self.logger.clone(),
        };
        spawn_thread("loads", &self.stopping, move || loads_watch.run())?;
        Ok(reports)
    }

    fn start_status(&self, ready: StdListener, metrics: StdListener) -> io::Result<()> {
        let status_server = StatusServer {
            ready_path: READY_PATH,
            state: self.state.subscribe(),
            crashes: self.crashes.subscribe(),
            stopping: self.stopping.subscribe(),
            proof: self.proof,
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            logger: self.logger.clone(),
            last_ready: AtomicBool::new(false),
        };
        spawn_thread("status", &self.stopping, move || Arc::new(status_server).run(ready, metrics))?;
        Ok(())
    }

    fn start_callers(
        self,
        listener: StdListener,
        loads: mpsc::Receiver<AgedLoads>,
        crash_changes: mpsc::Sender<CrashChange>,
    ) -> io::Result<JoinHandle<()>> {
        let stopping = self.stopping.clone();
        spawn_thread("callers", &stopping, move || async move {
            let handler = self.proxy_handler(crash_changes);
            let server = ProxyServer {
                handler: Rc::clone(&handler),
                stopping: self.stopping.subscribe(),
                grace_millis: self.settings.grace_millis,
                max_connections: self.max_connections,
                metrics: Arc::clone(&self.metrics),
                logger: self.logger.clone(),
            };
            spawn_task(follow_targets(Rc::clone(&handler), self.state.subscribe()));
            spawn_task(follow_crashes(Rc::clone(&handler), self.crashes.subscribe()));
            spawn_task(follow_position(Rc::clone(&handler), self.position.subscribe()));
            spawn_task(follow_notes(Rc::clone(&handler), self.zone_notes.subscribe()));
            spawn_task(follow_loads(handler, loads));
            let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
            serve_proxy(listener, server).await;
        })
    }

    fn proxy_handler(&self, crash_changes: mpsc::Sender<CrashChange>) -> Rc<ProxyHandler> {
        let balancer = BalancerSettings::builder()
            .zone(self.settings.zone.clone())
            .per_rank(self.settings.per_rank)
            .rank_limit(self.settings.rank_limit)
            .outage_wait_bytes(self.settings.outage_wait_bytes)
            .maybe_entries(Some(self.settings.entries).filter(|entries| *entries > 0))
            .seed(xxhash_rust::xxh3::xxh3_64(self.settings.host.as_str().as_bytes()))
            .build();
        let retry_share = RetryShareSettings {
            ratio: self.settings.retry_ratio * PROCESS_RATIO_SHARE,
            slack: self.settings.retry_slack / SLACK_PROCESSES,
            window_millis: self.settings.retry_window_millis,
        };
        let quarantine = RequestQuarantine::builder()
            .host(self.settings.host.clone())
            .crashes(self.crashes.subscribe())
            .changes(crash_changes)
            .clock(Arc::clone(&self.clock))
            .metrics(Arc::clone(&self.metrics))
            .logger(self.logger.clone())
            .build();
        let settings = ProxyHandlerSettings::builder()
            .freshness(self.proof)
            .retry_share(retry_share)
            .share_capacity(self.settings.share_capacity)
            .held_bytes(self.settings.memory.held_bytes)
            .unread_millis(self.settings.unread_millis)
            .idle_targets(self.idle_targets)
            .build();
        ProxyHandler::builder()
            .settings(settings)
            .codec(Rc::new(TuristCodec))
            .state(self.state.subscribe())
            .dispatcher(RequestDispatcher::new(balancer, Arc::clone(&self.clock)))
            .quarantine(quarantine)
            .notes(self.own_notes.clone())
            .own_demand(self.own_demand.clone())
            .clock(Arc::clone(&self.clock))
            .metrics(Arc::clone(&self.metrics))
            .logger(self.logger.clone())
            .build()
    }
}

/// Passes the targets to the request handler, now and at each change. Targets listed before this task started
/// are included.
async fn follow_targets(handler: Rc<ProxyHandler>, mut state: watch::Receiver<ControlState>) {
    loop {
        state.mark_unchanged();
        handler.sync_targets();
        if state.changed().await.is_err() {
            return;
        }
    }
}

/// Passes crashes to the request handler, and lets it remove expired ones.
async fn follow_crashes(handler: Rc<ProxyHandler>, mut crashes: watch::Receiver<CrashSnapshot>) {
    loop {
        crashes.mark_unchanged();
        handler.update_crashes();
        let changed = tokio::time::timeout(EXPIRY_INTERVAL, crashes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
        handler.remove_expired_crashes();
    }
}

/// Passes this process's position among the zone's entries to the request handler. A position known before
/// this task started is included.
async fn follow_position(handler: Rc<ProxyHandler>, mut position: watch::Receiver<Option<EntryPosition>>) {
    loop {
        let newest = *position.borrow_and_update();
        handler.set_entry_position(newest);
        if position.changed().await.is_err() {
            return;
        }
    }
}

/// Passes other entries' notes on targets under pressure to the request handler.
async fn follow_notes(handler: Rc<ProxyHandler>, mut notes: watch::Receiver<Vec<TargetNote>>) {
    while notes.changed().await.is_ok() {
        let newest = notes.borrow_and_update().clone();
        handler.apply_notes(&newest);
    }
}

/// Passes the load reports of groups to the request handler.
async fn follow_loads(handler: Rc<ProxyHandler>, mut loads: mpsc::Receiver<AgedLoads>) {
    while let Some(newest) = loads.recv().await {
        handler.update_loads(&newest.current());
    }
}
