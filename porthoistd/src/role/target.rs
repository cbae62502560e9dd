//! The target role.

use super::{bind, host_entry, random_incarnation};
use crate::config::ConfigHub;
use crate::duty::offers::{follow_drain, run_backend, run_offers, team_weights};
use crate::duty::operator::{ProcessView, serve_operators};
use crate::duty::platform::PlatformDuty;
use crate::duty::signals::watch_signals;
use crate::duty::spawn_duty;
use crate::duty::target_fleet::TargetHandler;
use crate::settings::DaemonSettings;
use porthoist_core::{AnchoredClock, ClockSource, LoadReport, TicketKey, bounded_ring};
use porthoist_fleet::serve_fleet;
use porthoist_metrics::MetricsHub;
use porthoist_operator::{OperatorServer, TableEditor};
use porthoist_platform::{HostRole, HttpPlatform};
use porthoist_policy::admission::AdmissionSettings;
use porthoist_policy::explain::DecisionLog;
use porthoist_target::{HttpRunner, OffersSettings};
use slog::{Logger, info, o};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Jobs that wait for the back-end duty at most.
const JOB_RING: usize = 4096;
/// Requests in flight are looked at so often while the process stops.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Drained so long without an offer, the process ends: entries have seen the drain flag by then.
const QUIET_TIME: Duration = Duration::from_millis(1500);

/// Addresses that a target listens on.
#[derive(Debug, Clone, Copy)]
pub struct TargetAddresses {
    /// For our own processes.
    pub fleet: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Runs a target until it is told to stop and nothing is in flight.
pub fn run(settings: DaemonSettings, logger: Logger) -> io::Result<()> {
    let stopping = watch::Sender::new(false);
    let (addresses, fleet) = start(settings, logger, stopping)?;
    println!("fleet {}\noperator {}", addresses.fleet, addresses.operator);
    fleet
        .join()
        .map_err(|_panic| io::Error::other("the fleet duty panicked"))
}

/// Starts a target's duties; the returned thread ends when the target has stopped gracefully.
pub fn start(
    settings: DaemonSettings,
    logger: Logger,
    stopping: watch::Sender<bool>,
) -> io::Result<(TargetAddresses, JoinHandle<()>)> {
    let logger = logger.new(o!("role" => "target", "name" => settings.name.to_string()));
    let metrics = Arc::new(MetricsHub::new().map_err(io::Error::other)?);
    let clock: Arc<dyn ClockSource> = Arc::new(AnchoredClock::new());
    let config = ConfigHub::new(Arc::clone(&metrics));
    let incarnation = random_incarnation();
    let (operator_listener, operator_address) = bind(settings.operator_listen)?;
    let (fleet_listener, fleet_address) = bind(settings.fleet_listen)?;
    let heard = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));

    let own = host_entry(&settings, HostRole::Target, fleet_address);
    let duty_config = Arc::clone(&config);
    let duty_heard = Arc::clone(&heard);
    let duty_logger = logger.clone();
    let platform_url = settings.platform.clone();
    spawn_duty("platform", move || async move {
        let client = Arc::new(HttpPlatform::new(platform_url));
        let hosts = watch::Sender::new(Vec::new());
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

    let (jobs, job_receiver) = bounded_ring(JOB_RING);
    let load = watch::Sender::new(LoadReport::default());
    let load_seen = load.subscribe();
    let offers_settings = OffersSettings::builder()
        .target(settings.name.clone())
        .incarnation(incarnation)
        .key(TicketKey::new(rand::random()))
        .admission(
            AdmissionSettings::builder()
                .slots(settings.slots)
                .queue(settings.queue)
                .build(),
        )
        .clock(clock)
        .jobs(jobs)
        .weights(team_weights(Arc::clone(&config)))
        .load(load)
        .build();
    let (handover, actor) = oneshot::channel();
    spawn_duty("offers", move || run_offers(offers_settings, handover))?;
    let actor = actor.blocking_recv().map_err(io::Error::other)?;

    let runner = Arc::new(HttpRunner::new(settings.backend.clone()));
    let (job_actor, job_metrics) = (actor.clone(), Arc::clone(&metrics));
    spawn_duty("engine", move || {
        run_backend(job_receiver, runner, job_actor, job_metrics)
    })?;

    let counted = Arc::clone(&open);
    let process = ProcessView {
        node: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        config: Arc::clone(&config),
        fleet: Arc::default(),
        platform_heard: heard,
        decisions: Arc::new(Mutex::new(DecisionLog::new(1))),
        in_flight: Box::new(move || counted.load(Ordering::Relaxed)),
        stopping: stopping.subscribe(),
    };
    let token = settings.operator_token.clone();
    let platform_url = settings.platform.clone();
    let operator_metrics = Arc::clone(&metrics);
    spawn_duty("operator", move || async move {
        let editor = TableEditor::new(Arc::new(HttpPlatform::new(platform_url)));
        let operators = OperatorServer::new(token, Arc::new(process), editor, operator_metrics);
        if let Ok(listener) = TcpListener::from_std(operator_listener) {
            serve_operators(listener, operators).await;
        }
    })?;

    let fleet = spawn_duty("fleet", move || async move {
        let handler = TargetHandler {
            target: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation,
            services: settings.services.into(),
            offers: actor.clone(),
            load: load_seen.clone(),
            config: Arc::clone(&config),
            open: Arc::clone(&open),
            metrics,
        };
        let Ok(listener) = TcpListener::from_std(fleet_listener) else {
            panic!("the fleet listener can't be used");
        };
        info!(logger, "accepting offers"; "address" => %fleet_address, "incarnation" => %incarnation);
        tokio::task::spawn_local(serve_fleet(listener, settings.fleet_key, Rc::new(handler)));
        tokio::task::spawn_local(follow_drain(actor, settings.name, config, stopping.subscribe()));
        let signal_open = Arc::clone(&open);
        let mut stop_seen = stopping.subscribe();
        let in_flight = move || signal_open.load(Ordering::Relaxed);
        tokio::task::spawn_local(watch_signals(stopping, logger.clone(), in_flight));
        if stop_seen.wait_for(|stop| *stop).await.is_ok() {
            drained(&open, &load_seen).await;
        }
        info!(logger, "nothing is in flight any more");
    })?;
    Ok((
        TargetAddresses {
            fleet: fleet_address,
            operator: operator_address,
        },
        fleet,
    ))
}

/// Waits until nothing runs, waits or is being sent, and has not for a while.
async fn drained(open: &AtomicU64, load: &watch::Receiver<LoadReport>) {
    let mut quiet = Duration::ZERO;
    while quiet < QUIET_TIME {
        tokio::time::sleep(DRAIN_POLL).await;
        let report = *load.borrow();
        let busy = open.load(Ordering::Relaxed) > 0 || report.running + report.queued > 0;
        quiet = if busy { Duration::ZERO } else { quiet + DRAIN_POLL };
    }
}
