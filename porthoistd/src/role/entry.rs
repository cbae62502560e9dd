//! The entry role.

use super::{bind, host_entry, random_incarnation};
use crate::config::ConfigHub;
use crate::duty::claims::{claim_ring, serve_claims};
use crate::duty::entry_fleet::{EntryFleet, FleetShared, fleet_ring};
use crate::duty::operator::{ProcessView, serve_operators};
use crate::duty::platform::PlatformDuty;
use crate::duty::routing::{RoutingActor, RoutingHandle};
use crate::duty::signals::watch_signals;
use crate::duty::{callers, spawn_duty};
use crate::settings::DaemonSettings;
use porthoist_caller::{CallerPorts, CallerServer, CallerSettings};
use porthoist_core::{AnchoredClock, ClockSource};
use porthoist_fleet::serve_fleet;
use porthoist_metrics::MetricsHub;
use porthoist_operator::{OperatorServer, TableEditor};
use porthoist_platform::{HostRole, HttpPlatform};
use porthoist_policy::explain::DecisionLog;
use porthoist_policy::router::RouterSettings;
use slog::{Logger, info, o};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For our own processes.
    pub fleet: SocketAddr,
}

/// Runs an entry until it is told to stop and nothing is in flight.
pub fn run(settings: DaemonSettings, logger: Logger) -> io::Result<()> {
    let stopping = watch::Sender::new(false);
    let (addresses, callers) = start(settings, logger.new(o!()), stopping)?;
    println!(
        "callers {}\noperator {}\nfleet {}",
        addresses.callers, addresses.operator, addresses.fleet
    );
    callers
        .join()
        .map_err(|_panic| io::Error::other("the callers' duty panicked"))
}

/// Starts an entry's duties; the returned thread ends when the entry has stopped gracefully.
pub fn start(
    settings: DaemonSettings,
    logger: Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(EntryAddresses, JoinHandle<()>)> {
    let logger = logger.new(o!("role" => "entry", "name" => settings.name.to_string()));
    let metrics = Arc::new(MetricsHub::new().map_err(io::Error::other)?);
    let clock: Arc<dyn ClockSource> = Arc::new(AnchoredClock::new());
    let config = ConfigHub::new(Arc::clone(&metrics));
    let incarnation = random_incarnation();
    let (callers_listener, callers_address) = bind(settings.callers_listen)?;
    let (operator_listener, operator_address) = bind(settings.operator_listen)?;
    let (fleet_listener, fleet_address) = bind(settings.fleet_listen)?;
    let hosts = watch::Sender::new(Vec::new());
    let hosts_seen = hosts.subscribe();
    let heard = Arc::new(AtomicBool::new(false));
    let view = Arc::new(crate::duty::entry_fleet::view::FleetView::default());
    let decisions = Arc::new(Mutex::new(DecisionLog::default()));

    let routing = start_routing(&settings, &config, &clock)?;
    let (claims, claim_calls) = claim_ring();
    let own = host_entry(&settings, HostRole::Entry, fleet_address);
    let duty_config = Arc::clone(&config);
    let duty_heard = Arc::clone(&heard);
    let duty_logger = logger.clone();
    let platform_url = settings.platform.clone();
    spawn_duty("platform", move || async move {
        let client: Arc<HttpPlatform> = Arc::new(HttpPlatform::new(platform_url));
        tokio::task::spawn_local(serve_claims(claim_calls, Arc::<HttpPlatform>::clone(&client)));
        let (config, heard, logger) = (duty_config, duty_heard, duty_logger);
        PlatformDuty {
            client,
            config,
            hosts,
            heard,
            own,
            logger,
        }
        .run()
        .await;
    })?;

    let (fleet, commands) = fleet_ring();
    let shared = Arc::new(FleetShared {
        node: settings.name.clone(),
        zone: settings.zone.clone(),
        key: settings.fleet_key.clone(),
        config: Arc::clone(&config),
        routing: routing.clone(),
        view: Arc::clone(&view),
        clock: Arc::clone(&clock),
        metrics: Arc::clone(&metrics),
        hosts: hosts_seen,
        logger: logger.clone(),
    });
    let fleet_key = settings.fleet_key.clone();
    spawn_duty("fleet", move || async move {
        let duty = EntryFleet::new(shared);
        match TcpListener::from_std(fleet_listener) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_fleet(listener, fleet_key, Rc::new(duty.clone())));
                duty.run(commands).await;
            }
            Err(error) => panic!("the fleet listener can't be used: {error}"),
        }
    })?;

    let ports = CallerPorts {
        routing: Arc::new(RoutingHandle(routing)),
        offers: Arc::new(fleet),
        claims: Arc::new(claims),
        config: Arc::<ConfigHub>::clone(&config),
        clock,
        metrics: Arc::clone(&metrics),
        decisions: Arc::clone(&decisions),
    };
    let caller_settings = CallerSettings::builder()
        .entry(incarnation)
        .deadline_millis(settings.deadline_millis)
        .build();
    let server = CallerServer::new(caller_settings, ports, stopping.subscribe());

    let counted = server.clone();
    let process = ProcessView {
        node: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        config,
        fleet: view,
        platform_heard: heard,
        decisions,
        in_flight: Box::new(move || counted.in_flight()),
        stopping: stopping.subscribe(),
    };
    let token = settings.operator_token.clone();
    let platform_url = settings.platform.clone();
    spawn_duty("operator", move || async move {
        let editor = TableEditor::new(Arc::new(HttpPlatform::new(platform_url)));
        let operators = OperatorServer::new(token, Arc::new(process), editor, metrics);
        if let Ok(listener) = TcpListener::from_std(operator_listener) {
            serve_operators(listener, operators).await;
        }
    })?;

    let stop_seen = stopping.subscribe();
    let stop_lag = Duration::from_millis(settings.stop_lag_millis);
    let callers = spawn_duty("callers", move || async move {
        let counted = server.clone();
        tokio::task::spawn_local(watch_signals(stopping, logger.clone(), move || {
            counted.in_flight()
        }));
        match TcpListener::from_std(callers_listener) {
            Ok(listener) => {
                info!(logger, "accepting callers"; "address" => %callers_address);
                callers::serve_callers(listener, server, stop_seen, stop_lag, logger).await;
            }
            Err(error) => panic!("the callers' listener can't be used: {error}"),
        }
    })?;
    let addresses = EntryAddresses {
        callers: callers_address,
        operator: operator_address,
        fleet: fleet_address,
    };
    Ok((addresses, callers))
}

fn start_routing(
    settings: &DaemonSettings,
    config: &Arc<ConfigHub>,
    clock: &Arc<dyn ClockSource>,
) -> io::Result<kameo::actor::ActorRef<RoutingActor>> {
    let router = RouterSettings::builder()
        .zone(settings.zone.clone())
        .seed(rand::random())
        .build();
    let hedging = settings.hedge;
    let (handover, actor) = oneshot::channel();
    let (config, clock) = (Arc::clone(config), Arc::clone(clock));
    spawn_duty("routing", move || async move {
        let actor = RoutingActor::start(router, hedging, config, clock);
        // The receiver waits below; the actor then lives as long as its thread.
        drop(handover.send(actor.clone()));
        actor.wait_for_shutdown().await;
    })?;
    actor.blocking_recv().map_err(io::Error::other)
}
