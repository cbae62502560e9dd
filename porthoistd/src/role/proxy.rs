//! The proxy role: passes requests on as they are, by routes and targets of the platform's table service.

use super::bind;
use crate::duty::loads::LoadsDuty;
use crate::duty::news::ZonePeers;
use crate::duty::signals::{watch_reloads, watch_signals};
use crate::duty::spawn_duty;
use crate::duty::status::StatusDuty;
use crate::settings::proxy::ProxySettings;
use porthoist_core::{AnchoredClock, ClockSource};
use porthoist_fleet::{ControlTraffic, PeerPool};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::balancer::BalancerSettings;
use porthoist_policy::proxy::freshness::FreshnessRule;
use porthoist_policy::proxy::loads::GroupLoads;
use porthoist_policy::proxy::notes::TargetNote;
use porthoist_policy::proxy::retry_share::RetryShareSettings;
use porthoist_policy::proxy::turns::EntryPosition;
use porthoist_proxy::{
    ControlState, ControlWatch, CrashChange, CrashSnapshot, CrashWatch, CrashWriter, PeerRowSource,
    ProxyHandler, ProxyHandlerSettings, ProxyServer, RequestDispatcher, RequestQuarantine, RowSource,
    serve_proxy,
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

/// Kept from the time within which a key that was taken away must run nothing, in milliseconds: the local clock is
/// placed on the table service's with an error of some milliseconds.
const PROOF_MARGIN_MILLIS: u64 = 400;
/// Milliseconds after the signal to stop in which the balancer still sends new connections: it takes a process out
/// after two questions, a second apart.
const STOP_LAG_MILLIS: u64 = 2_600;
/// Kept from the time to stop, in milliseconds, so that the last log lines are written.
const GRACE_MARGIN_MILLIS: u64 = 300;
/// Part of the repeats for each request that a process sends by itself; the rest covers processes that restart.
const RATIO_PART: f64 = 0.8;
/// Processes that the slack is divided between: twice the most that any deployment runs now.
const SLACK_PROCESSES: f64 = 100.0;

/// Reports of loads that wait for the callers' duty at most: each of some ten groups sends twelve a second, and the duty
/// takes them within milliseconds.
const LOADS_RING: usize = 64;
/// Deaths that wait for the control duty at most: those under all requests of ten targets, noted within milliseconds.
const CRASHES_RING: usize = 256;
/// Time between two looks for deaths that no longer count; they count for minutes.
const LAPSE_LOOK: Duration = Duration::from_secs(5);

/// Addresses that a proxy listens on.
#[derive(Debug, Clone, Copy)]
pub struct ProxyAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Runs a proxy until it is told to stop and nothing is in flight.
pub fn run(settings: ProxySettings, logger: &Logger) -> io::Result<()> {
    let stopping = watch::Sender::new(false);
    let (_addresses, callers) = start(settings, logger, stopping)?;
    callers.join().map_err(|_panic| io::Error::other("the callers' duty panicked"))
}

/// Starts a proxy's duties; the returned thread ends when the proxy has stopped gracefully.
pub fn start(
    settings: ProxySettings,
    logger: &Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(ProxyAddresses, JoinHandle<()>)> {
    let (callers_listener, callers) = bind(settings.callers_listen)?;
    let (ready_listener, ready) = bind(settings.ready_listen)?;
    let (metrics_listener, metrics) = bind(settings.metrics_listen)?;
    let addresses = ProxyAddresses { callers, ready, metrics };
    let logger = logger.new(o!("role" => "proxy", "host" => settings.host.to_string()));
    info!(logger, "started"; "event" => "start", "callers" => callers.to_string(),
        "zone" => settings.zone.to_string(), "table" => settings.table.to_string(),
        "version" => env!("CARGO_PKG_VERSION"));
    let process = ProxyProcess {
        metrics: Arc::new(MetricsHub::new().map_err(io::Error::other)?),
        clock: Arc::new(AnchoredClock::new()),
        state: watch::Sender::new(ControlState::default()),
        crashes: watch::Sender::new(CrashSnapshot::default()),
        place: watch::Sender::new(None),
        own_notes: watch::Sender::new(Vec::new()),
        zone_notes: watch::Sender::new(Vec::new()),
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

/// What the duties of one proxy share.
struct ProxyProcess {
    settings: ProxySettings,
    metrics: Arc<MetricsHub>,
    clock: Arc<dyn ClockSource>,
    state: watch::Sender<ControlState>,
    crashes: watch::Sender<CrashSnapshot>,
    /// This process's place among the entries of its zone.
    place: watch::Sender<Option<EntryPosition>>,
    /// What this process has heard of targets in need, and what others of its zone have.
    own_notes: watch::Sender<Vec<TargetNote>>,
    zone_notes: watch::Sender<Vec<TargetNote>>,
    proof: FreshnessRule,
    stopping: watch::Sender<bool>,
    logger: Logger,
}

impl ProxyProcess {
    /// Follows the platform's tables; returns where deaths that are held against requests go to be written.
    fn start_control(&self) -> io::Result<mpsc::Sender<CrashChange>> {
        let (table, metrics) = (self.settings.table, Arc::clone(&self.metrics));
        let (state, clock, logger) = (self.state.clone(), Arc::clone(&self.clock), self.logger.clone());
        let (bound, zone, rank_port) =
            (self.settings.bound, self.settings.zone.clone(), self.settings.rank_port);
        let (crashes, place, host) = (self.crashes.clone(), self.place.clone(), self.settings.host.clone());
        let (own_notes, zone_notes) = (self.own_notes.subscribe(), self.zone_notes.clone());
        let (changes, noted) = mpsc::channel(CRASHES_RING);
        spawn_duty("control", move || async move {
            let store = Rc::new(StoreClient::new(table, Arc::clone(&metrics), logger.clone()));
            let journal = CrashWriter::builder().writer(Rc::<StoreClient>::clone(&store)).changes(noted);
            let journal = journal.metrics(Arc::clone(&metrics)).logger(logger.clone()).build();
            let store: Rc<dyn RowSource> = store;
            let rows = match rank_port {
                Some(port) => {
                    let peers = PeerPool::new(port, ControlTraffic::default());
                    let zone_peers = ZonePeers::builder().zone(zone).host(host).state(state.subscribe());
                    let zone_peers = zone_peers.peers(peers).clock(Arc::clone(&clock)).place(place);
                    let zone_peers = zone_peers.own_notes(own_notes).zone_notes(zone_notes).build();
                    PeerRowSource::new(
                        store,
                        Rc::new(zone_peers),
                        Arc::clone(&clock),
                        Arc::clone(&metrics),
                        logger.clone(),
                    )
                }
                None => store,
            };
            let deaths = CrashWatch::builder().source(Rc::clone(&rows)).crashes(crashes);
            let deaths =
                deaths.state(state.subscribe()).clock(Arc::clone(&clock)).logger(logger.clone()).build();
            let source = TuristSource::new(rows, Arc::clone(&clock), logger.clone());
            let watch = ControlWatch::builder().bound(bound).source(Rc::new(source)).state(state);
            let watch = watch.clock(clock).metrics(metrics).logger(logger).build();
            tokio::join!(watch.run(), deaths.run(), journal.run());
        })?;
        Ok(changes)
    }

    /// Follows the loads of groups, where the processes beside their engines are to be found.
    fn start_loads(&self) -> io::Result<mpsc::Receiver<GroupLoads>> {
        let (loads, reports) = mpsc::channel(LOADS_RING);
        let Some(rank_port) = self.settings.rank_port else { return Ok(reports) };
        let (zone, state) = (self.settings.zone.clone(), self.state.subscribe());
        let duty = LoadsDuty { rank_port, zone, state, loads, logger: self.logger.clone() };
        spawn_duty("loads", move || duty.run())?;
        Ok(reports)
    }

    fn start_status(&self, ready: StdListener, metrics: StdListener) -> io::Result<()> {
        let duty = StatusDuty {
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
        spawn_duty("status", move || Arc::new(duty).run(ready, metrics))?;
        Ok(())
    }

    fn start_callers(
        self,
        listener: StdListener,
        loads: mpsc::Receiver<GroupLoads>,
        crash_changes: mpsc::Sender<CrashChange>,
    ) -> io::Result<JoinHandle<()>> {
        spawn_duty("callers", move || async move {
            let course = self.course(crash_changes);
            let counted = Rc::clone(&course);
            let server = ProxyServer {
                handler: Rc::clone(&course),
                stopping: self.stopping.subscribe(),
                stop_lag_millis: STOP_LAG_MILLIS,
                grace_millis: self.settings.grace_millis.saturating_sub(GRACE_MARGIN_MILLIS),
                metrics: Arc::clone(&self.metrics),
                logger: self.logger.clone(),
            };
            tokio::task::spawn_local(watch_reloads(self.logger.clone()));
            tokio::task::spawn_local(watch_signals(self.stopping.clone(), self.logger.clone(), move || {
                counted.in_flight()
            }));
            tokio::task::spawn_local(follow_targets(Rc::clone(&course), self.state.subscribe()));
            tokio::task::spawn_local(follow_crashes(Rc::clone(&course), self.crashes.subscribe()));
            tokio::task::spawn_local(follow_place(Rc::clone(&course), self.place.subscribe()));
            tokio::task::spawn_local(follow_notes(Rc::clone(&course), self.zone_notes.subscribe()));
            tokio::task::spawn_local(follow_loads(course, loads));
            let listener = TcpListener::from_std(listener).expect("a bound listener fits the runtime");
            serve_proxy(listener, server).await;
        })
    }

    fn course(&self, crash_changes: mpsc::Sender<CrashChange>) -> Rc<ProxyHandler> {
        let board = BalancerSettings::builder()
            .zone(self.settings.zone.clone())
            .per_rank(self.settings.per_rank)
            .rank_limit(self.settings.rank_limit)
            .maybe_entries(Some(self.settings.entries).filter(|entries| *entries > 0))
            .seed(xxhash_rust::xxh3::xxh3_64(self.settings.host.as_str().as_bytes()))
            .build();
        let share = RetryShareSettings {
            ratio: self.settings.retry_ratio * RATIO_PART,
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
        let settings = ProxyHandlerSettings::builder().proof(self.proof).share(share).build();
        ProxyHandler::builder()
            .settings(settings)
            .codec(Rc::new(TuristCodec))
            .state(self.state.subscribe())
            .dispatcher(RequestDispatcher::new(board, Arc::clone(&self.clock)))
            .quarantine(quarantine)
            .notes(self.own_notes.clone())
            .clock(Arc::clone(&self.clock))
            .metrics(Arc::clone(&self.metrics))
            .logger(self.logger.clone())
            .build()
    }
}

/// Tells the course of the targets now, and of each change. What was listed before this task began counts too.
async fn follow_targets(course: Rc<ProxyHandler>, mut state: watch::Receiver<ControlState>) {
    loop {
        state.mark_unchanged();
        course.sync_targets();
        if state.changed().await.is_err() {
            return;
        }
    }
}

/// Tells the course of deaths that are held against requests, and lets it remove those that no longer count.
async fn follow_crashes(course: Rc<ProxyHandler>, mut crashes: watch::Receiver<CrashSnapshot>) {
    loop {
        crashes.mark_unchanged();
        course.update_crashes();
        let changed = tokio::time::timeout(LAPSE_LOOK, crashes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
        course.remove_expired_crashes();
    }
}

/// Tells the course which place this process has among the entries of its zone. What was told before this task began counts
/// too.
async fn follow_place(course: Rc<ProxyHandler>, mut place: watch::Receiver<Option<EntryPosition>>) {
    loop {
        let newest = *place.borrow_and_update();
        course.set_entry_position(newest);
        if place.changed().await.is_err() {
            return;
        }
    }
}

/// Tells the course what other entries of the zone have heard of targets in need.
async fn follow_notes(course: Rc<ProxyHandler>, mut notes: watch::Receiver<Vec<TargetNote>>) {
    while notes.changed().await.is_ok() {
        let newest = notes.borrow_and_update().clone();
        course.apply_notes(&newest);
    }
}

/// Tells the course of the loads that groups report.
async fn follow_loads(course: Rc<ProxyHandler>, mut loads: mpsc::Receiver<GroupLoads>) {
    while let Some(newest) = loads.recv().await {
        course.update_loads(&newest);
    }
}
