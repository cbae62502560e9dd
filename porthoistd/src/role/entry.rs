//! The entry role: takes callers' requests and offers them to targets.

use super::{BUILD, bind, file_bounds, host_entry, random_incarnation, run_until_stopped, start_operators};
use crate::component::callers::serve_callers;
use crate::component::claims::{ClaimCalls, claim_ring, serve_claims};
use crate::component::entry_fleet::view::FleetView;
use crate::component::entry_fleet::{EntryFleet, FleetCommand, FleetShared, fleet_ring};
use crate::component::operator::ProcessView;
use crate::component::platform::PlatformWatch;
use crate::component::routing::{RoutingActor, RoutingHandle};
use crate::component::{spawn_task, spawn_thread};
use crate::config::ConfigHub;
use crate::settings::DaemonSettings;
use kameo::actor::ActorRef;
use porthoist_caller::{CallerPorts, CallerServer, CallerSettings};
use porthoist_core::{AnchoredClock, ClockSource, IncarnationId, RingReceiver};
use porthoist_fleet::serve_fleet;
use porthoist_http::{BodyIntake, ByteBudget};
use porthoist_metrics::MetricsHub;
use porthoist_policy::decision_log::DecisionLog;
use porthoist_policy::router::RouterSettings;
use porthoist_table::{HostEntry, HostRole, HttpPlatform};
use slog::{Logger, info, o};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The operator endpoint.
    pub operator: SocketAddr,
    /// The listener for other porthoist processes.
    pub fleet: SocketAddr,
}

/// Runs an entry until it is stopped and no request is in flight.
pub fn run(settings: DaemonSettings, logger: &Logger) -> io::Result<()> {
    run_until_stopped(logger, |stopping| {
        let (addresses, callers) = start(settings, logger, stopping)?;
        println!("callers {}\noperator {}\nfleet {}", addresses.callers, addresses.operator, addresses.fleet);
        Ok(callers)
    })
}

/// Starts an entry's threads; the returned one ends when the entry has shut down gracefully.
pub fn start(
    settings: DaemonSettings,
    logger: &Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(EntryAddresses, JoinHandle<()>)> {
    let (callers_listener, callers) = bind(settings.callers_listen)?;
    let (operator_listener, operator) = bind(settings.operator_listen)?;
    let (fleet_listener, fleet) = bind(settings.fleet_listen)?;
    let addresses = EntryAddresses { callers, operator, fleet };
    info!(logger, "started"; "event" => "start", "callers" => callers.to_string(), "operator" => operator.to_string(),
        "fleet" => fleet.to_string(), "zone" => settings.zone.to_string(),
        "version" => env!("CARGO_PKG_VERSION"), "build" => BUILD,
        "stop_lag_ms" => settings.stop_lag_millis, "held_bytes" => settings.memory.held_bytes,
        "max_connections" => settings.memory.connections);
    let own = host_entry(&settings, HostRole::Entry, fleet);
    let process = EntryProcess::new(settings, logger, stopping)?;
    let (claims, claim_calls) = claim_ring();
    let hosts = process.start_platform(own, claim_calls)?;
    let routing = process.start_routing()?;
    let (offers, commands) = fleet_ring();
    process.start_fleet(fleet_listener, commands, routing.clone(), hosts)?;
    let ports = CallerPorts {
        routing: Arc::new(RoutingHandle(routing)),
        offers: Arc::new(offers),
        claims: Arc::new(claims),
        config: Arc::<ConfigHub>::clone(&process.config),
        clock: Arc::clone(&process.clock),
        metrics: Arc::clone(&process.metrics),
        decisions: Arc::clone(&process.decisions),
    };
    let server = process.caller_server(ports);
    process.start_operators(operator_listener, server.clone())?;
    let callers = process.start_callers(callers_listener, server)?;
    Ok((addresses, callers))
}

/// State shared by the threads of one entry.
struct EntryProcess {
    settings: DaemonSettings,
    incarnation: IncarnationId,
    metrics: Arc<MetricsHub>,
    clock: Arc<dyn ClockSource>,
    config: Arc<ConfigHub>,
    view: Arc<FleetView>,
    decisions: Arc<Mutex<DecisionLog>>,
    platform_heard: Arc<AtomicBool>,
    stopping: watch::Sender<bool>,
    logger: Logger,
}

impl EntryProcess {
    fn new(settings: DaemonSettings, logger: &Logger, stopping: watch::Sender<bool>) -> io::Result<Self> {
        let metrics = Arc::new(MetricsHub::new().map_err(io::Error::other)?);
        Ok(Self {
            incarnation: random_incarnation(),
            clock: Arc::new(AnchoredClock::new()),
            config: ConfigHub::new(Arc::clone(&metrics)),
            view: Arc::default(),
            decisions: Arc::default(),
            platform_heard: Arc::default(),
            logger: logger.new(o!("role" => "entry", "name" => settings.name.to_string())),
            metrics,
            settings,
            stopping,
        })
    }

    fn start_platform(
        &self,
        own: HostEntry,
        claim_calls: ClaimCalls,
    ) -> io::Result<watch::Sender<Vec<HostEntry>>> {
        let hosts = watch::Sender::new(Vec::new());
        let hosts_sender = hosts.clone();
        let config = Arc::clone(&self.config);
        let platform_heard = Arc::clone(&self.platform_heard);
        let logger = self.logger.clone();
        let url = self.settings.platform.clone();
        spawn_thread("platform", &self.stopping, move || async move {
            let client: Arc<HttpPlatform> = Arc::new(HttpPlatform::new(url));
            spawn_task(serve_claims(claim_calls, Arc::<HttpPlatform>::clone(&client)));
            let hosts_revision = AtomicU64::new(0);
            PlatformWatch { client, config, hosts, platform_heard, own, hosts_revision, logger }.run().await;
        })?;
        Ok(hosts_sender)
    }

    fn start_routing(&self) -> io::Result<ActorRef<RoutingActor>> {
        let router = RouterSettings::builder().zone(self.settings.zone.clone()).seed(rand::random()).build();
        let hedging = self.settings.hedge;
        let (handover, actor) = oneshot::channel();
        let (config, clock) = (Arc::clone(&self.config), Arc::clone(&self.clock));
        spawn_thread("routing", &self.stopping, move || async move {
            let actor = RoutingActor::start(router, hedging, config, clock);
            // The receiver waits below. The actor lives as long as its thread.
            drop(handover.send(actor.clone()));
            actor.wait_for_shutdown().await;
        })?;
        actor.blocking_recv().map_err(io::Error::other)
    }

    fn start_fleet(
        &self,
        listener: StdListener,
        commands: RingReceiver<FleetCommand>,
        routing: ActorRef<RoutingActor>,
        hosts: watch::Sender<Vec<HostEntry>>,
    ) -> io::Result<()> {
        let key = self.settings.fleet_key.clone();
        let shared = Arc::new(FleetShared {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            key: key.clone(),
            config: Arc::clone(&self.config),
            routing,
            view: Arc::clone(&self.view),
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            hosts,
            logger: self.logger.clone(),
        });
        spawn_thread("fleet", &self.stopping, move || async move {
            let entry_fleet = EntryFleet::new(shared);
            let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
            spawn_task(serve_fleet(listener, key, Rc::new(entry_fleet.clone())));
            entry_fleet.run(commands).await;
        })?;
        Ok(())
    }

    fn caller_server(&self, ports: CallerPorts) -> CallerServer {
        let budget = ByteBudget::new(self.settings.memory.held_bytes);
        let intake = BodyIntake::new(budget, Arc::clone(&self.clock));
        let settings = CallerSettings::builder()
            .entry(self.incarnation)
            .intake(intake)
            .deadline_millis(self.settings.deadline_millis)
            .build();
        CallerServer::new(settings, ports, self.stopping.subscribe())
    }

    fn start_operators(&self, listener: StdListener, callers: CallerServer) -> io::Result<()> {
        let process = ProcessView {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            config: Arc::clone(&self.config),
            fleet: Arc::clone(&self.view),
            platform_heard: Arc::clone(&self.platform_heard),
            decisions: Arc::clone(&self.decisions),
            in_flight: Box::new(move || callers.in_flight()),
            stopping: self.stopping.subscribe(),
        };
        start_operators(&self.settings, listener, process, &self.stopping, Arc::clone(&self.metrics))
    }

    fn start_callers(self, listener: StdListener, server: CallerServer) -> io::Result<JoinHandle<()>> {
        let Self { settings, logger, stopping, .. } = self;
        let stop_lag = Duration::from_millis(settings.stop_lag_millis);
        let stop_signal = stopping.subscribe();
        let max_connections = file_bounds()?.callers.min(settings.memory.connections);
        spawn_thread("callers", &stopping, move || async move {
            let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
            info!(logger, "accepting callers"; "address" => listener.local_addr().ok().map(|address| address.to_string()));
            serve_callers(listener, server, max_connections, stop_signal, stop_lag, logger).await;
        })
    }
}
