//! The target role: runs next to a back end and decides on entries' offers.

use super::{BUILD, bind, host_entry, random_incarnation, run_until_stopped, start_operators};
use crate::component::group::{GroupLeader, PlatformMaps, rank_of};
use crate::component::offers::{follow_drain, run_backend, run_offers, team_weights};
use crate::component::operator::ProcessView;
use crate::component::platform::PlatformWatch;
use crate::component::target_fleet::TargetHandler;
use crate::component::{spawn_task, spawn_thread};
use crate::config::ConfigHub;
use crate::settings::DaemonSettings;
use kameo::actor::ActorRef;
use porthoist_core::{AnchoredClock, IncarnationId, LoadReport, TicketKey, bounded_ring};
use porthoist_fleet::serve_fleet;
use porthoist_group::{HttpGroupEngine, RankDriver};
use porthoist_metrics::MetricsHub;
use porthoist_policy::admission::AdmissionSettings;
use porthoist_policy::decision_log::DecisionLog;
use porthoist_policy::placement::map::RankId;
use porthoist_table::{HostEntry, HostRole, HttpPlatform};
use porthoist_target::{HttpRunner, OffersActor, OffersSettings};
use slog::{Logger, info, o};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Capacity of the queue of back-end jobs.
const JOB_QUEUE_CAPACITY: usize = 4096;
/// Interval at which shutdown checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without any offer after which a drained target exits; entries have seen the drain flag by then.
const QUIET_PERIOD: Duration = Duration::from_millis(1500);

/// Addresses that a target listens on.
#[derive(Debug, Clone, Copy)]
pub struct TargetAddresses {
    /// The listener for other porthoist processes.
    pub fleet: SocketAddr,
    /// The operator endpoint.
    pub operator: SocketAddr,
}

/// Runs a target until it is stopped and no request is in flight.
pub fn run(settings: DaemonSettings, logger: &Logger) -> io::Result<()> {
    run_until_stopped(logger, |stopping| {
        let (addresses, fleet) = start(settings, logger, stopping)?;
        println!("fleet {}\noperator {}", addresses.fleet, addresses.operator);
        Ok(fleet)
    })
}

/// Starts a target's threads; the returned one ends when the target has shut down gracefully.
pub fn start(
    settings: DaemonSettings,
    logger: &Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(TargetAddresses, JoinHandle<()>)> {
    let (operator_listener, operator) = bind(settings.operator_listen)?;
    let (fleet_listener, fleet) = bind(settings.fleet_listen)?;
    info!(logger, "started"; "event" => "start", "operator" => operator.to_string(),
        "fleet" => fleet.to_string(), "zone" => settings.zone.to_string(),
        "version" => env!("CARGO_PKG_VERSION"), "build" => BUILD,
        "stop_lag_ms" => settings.stop_lag_millis, "held_bytes" => settings.memory.held_bytes,
        "max_connections" => settings.memory.connections);
    let own = host_entry(&settings, HostRole::Target, fleet);
    let process = TargetProcess::new(settings, logger, stopping)?;
    process.start_platform(own)?;
    let (actor, load) = process.start_offers()?;
    process.start_operators(operator_listener)?;
    let thread = process.start_fleet(fleet_listener, actor, load)?;
    Ok((TargetAddresses { fleet, operator }, thread))
}

/// State shared by the threads of one target.
struct TargetProcess {
    settings: DaemonSettings,
    incarnation: IncarnationId,
    metrics: Arc<MetricsHub>,
    config: Arc<ConfigHub>,
    platform_heard: Arc<AtomicBool>,
    open_offers: Arc<AtomicU64>,
    stopping: watch::Sender<bool>,
    logger: Logger,
}

impl TargetProcess {
    fn new(settings: DaemonSettings, logger: &Logger, stopping: watch::Sender<bool>) -> io::Result<Self> {
        let metrics = Arc::new(MetricsHub::new().map_err(io::Error::other)?);
        Ok(Self {
            incarnation: random_incarnation(),
            config: ConfigHub::new(Arc::clone(&metrics)),
            platform_heard: Arc::default(),
            open_offers: Arc::default(),
            logger: logger.new(o!("role" => "target", "name" => settings.name.to_string())),
            metrics,
            settings,
            stopping,
        })
    }

    fn start_platform(&self, own: HostEntry) -> io::Result<()> {
        let config = Arc::clone(&self.config);
        let platform_heard = Arc::clone(&self.platform_heard);
        let logger = self.logger.clone();
        let url = self.settings.platform.clone();
        spawn_thread("platform", &self.stopping, move || async move {
            let client = Arc::new(HttpPlatform::new(url));
            let hosts = watch::Sender::new(Vec::new());
            let hosts_revision = AtomicU64::new(0);
            PlatformWatch { client, config, hosts, platform_heard, own, hosts_revision, logger }.run().await;
        })?;
        Ok(())
    }

    fn start_offers(&self) -> io::Result<(ActorRef<OffersActor>, watch::Receiver<LoadReport>)> {
        let (jobs, job_receiver) = bounded_ring(JOB_QUEUE_CAPACITY);
        let load = watch::Sender::new(LoadReport::default());
        let load_receiver = load.subscribe();
        let settings = &self.settings;
        let offers = OffersSettings::builder()
            .target(settings.name.clone())
            .incarnation(self.incarnation)
            .key(TicketKey::new(rand::random()))
            .admission(AdmissionSettings::builder().slots(settings.slots).queue(settings.queue).build())
            .clock(Arc::new(AnchoredClock::new()))
            .jobs(jobs)
            .weights(team_weights(Arc::clone(&self.config)))
            .load(load)
            .build();
        let (handover, actor) = oneshot::channel();
        spawn_thread("offers", &self.stopping, move || run_offers(offers, handover))?;
        let actor: ActorRef<OffersActor> = actor.blocking_recv().map_err(io::Error::other)?;
        let runner = Arc::new(HttpRunner::new(settings.backend.clone()));
        let (job_actor, metrics) = (actor.clone(), Arc::clone(&self.metrics));
        spawn_thread("engine", &self.stopping, move || {
            run_backend(job_receiver, runner, job_actor, metrics)
        })?;
        Ok((actor, load_receiver))
    }

    fn start_operators(&self, listener: StdListener) -> io::Result<()> {
        let counted = Arc::clone(&self.open_offers);
        let process = ProcessView {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            config: Arc::clone(&self.config),
            fleet: Arc::default(),
            platform_heard: Arc::clone(&self.platform_heard),
            decisions: Arc::new(Mutex::new(DecisionLog::new(1))),
            in_flight: Box::new(move || counted.load(Ordering::Relaxed)),
            stopping: self.stopping.subscribe(),
        };
        start_operators(&self.settings, listener, process, &self.stopping, Arc::clone(&self.metrics))
    }

    fn start_fleet(
        self,
        listener: StdListener,
        actor: ActorRef<OffersActor>,
        load: watch::Receiver<LoadReport>,
    ) -> io::Result<JoinHandle<()>> {
        let Self { settings, incarnation, metrics, config, open_offers, stopping, logger, .. } = self;
        let task_stopping = stopping.clone();
        spawn_thread("fleet", &stopping, move || async move {
            let handler = TargetHandler {
                target: settings.name.clone(),
                zone: settings.zone.clone(),
                incarnation,
                services: settings.services.into(),
                offers: actor.clone(),
                load: load.clone(),
                config: Arc::clone(&config),
                open_offers: Arc::clone(&open_offers),
                rank: Arc::new(RankDriver::new(
                    Arc::new(HttpGroupEngine::new(&settings.backend)),
                    Arc::new(PlatformMaps::new(&settings.platform, &settings.group)),
                    RankId(rank_of(&settings.name)),
                )),
                metrics,
            };
            let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
            info!(logger, "accepting offers"; "address" => listener.local_addr().ok().map(|address| address.to_string()), "incarnation" => %incarnation);
            if !settings.group.is_empty() {
                let maps = PlatformMaps::new(&settings.platform, &settings.group);
                let leader = GroupLeader {
                    ranks: settings.group,
                    key: settings.fleet_key.clone(),
                    engine: HttpGroupEngine::new(&settings.backend),
                    maps,
                    config: Arc::clone(&config),
                    own: settings.name.clone(),
                    logger: logger.clone(),
                };
                spawn_task(leader.run());
            }
            spawn_task(serve_fleet(listener, settings.fleet_key, Rc::new(handler)));
            spawn_task(follow_drain(actor, settings.name, config, task_stopping.subscribe()));
            let mut stop_signal = task_stopping.subscribe();
            if stop_signal.wait_for(|stop| *stop).await.is_ok() {
                info!(logger, "stopping"; "event" => "stop", "in_flight" => open_offers.load(Ordering::Relaxed));
                wait_until_drained(&open_offers, &load).await;
            }
            info!(logger, "all in-flight requests finished");
        })
    }
}

/// Waits until nothing has been running, queued or being sent for [`QUIET_PERIOD`].
async fn wait_until_drained(open_offers: &AtomicU64, load: &watch::Receiver<LoadReport>) {
    let mut quiet = Duration::ZERO;
    while quiet < QUIET_PERIOD {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let report = *load.borrow();
        let busy = open_offers.load(Ordering::Relaxed) > 0 || report.running + report.queued > 0;
        quiet = if busy { Duration::ZERO } else { quiet + DRAIN_POLL_INTERVAL };
    }
}
