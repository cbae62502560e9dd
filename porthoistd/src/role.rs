//! The roles of a process: which components each runs and how they are connected.

pub mod entry;
pub mod local;
pub mod proxy;
pub mod rank;
pub mod target;

use crate::component::operator::{ProcessView, serve_operators};
use crate::component::signals::SignalWatch;
use crate::component::spawn_thread;
use crate::settings::DaemonSettings;
use nix::sys::resource::{Resource, getrlimit};
use porthoist_core::IncarnationId;
use porthoist_metrics::MetricsHub;
use porthoist_operator::{OperatorServer, TableEditor};
use porthoist_policy::proxy::file_bounds::{FileBounds, FileLimit};
use porthoist_table::{HostEntry, HostRole, HostState, HttpPlatform};
use slog::Logger;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The build, if it was named when the program was compiled, or else the version.
pub(crate) const BUILD: &str = match option_env!("PORTHOIST_BUILD") {
    Some(build) => build,
    None => env!("CARGO_PKG_VERSION"),
};

/// Starts a role and waits until its last thread has ended. Signals are handled from before the role starts.
pub(crate) fn run_until_stopped<S>(logger: &Logger, start: S) -> io::Result<()>
where
    S: FnOnce(watch::Sender<bool>) -> io::Result<JoinHandle<()>>,
{
    let stopping = watch::Sender::new(false);
    let signals = SignalWatch::start(stopping.clone(), logger.clone())?;
    let last_thread = start(stopping)?;
    let name = last_thread.thread().name().unwrap_or_default().to_owned();
    last_thread.join().map_err(|_panic| io::Error::other(format!("the {name} thread panicked")))?;
    if signals.stop_received() {
        Ok(())
    } else {
        Err(io::Error::other("stopped because a component panicked"))
    }
}

/// Binds a non-blocking listener that can be moved to another thread.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(StdListener, SocketAddr)> {
    let listener = StdListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("can't listen on {address}: {error}")))?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Reads how many files the process may open, and divides them.
pub(crate) fn file_bounds() -> io::Result<FileBounds> {
    let (soft_limit, _hard_limit) = getrlimit(Resource::RLIMIT_NOFILE)?;
    Ok(FileBounds::new(FileLimit(soft_limit)))
}

/// Starts the operator endpoint.
pub(crate) fn start_operators(
    settings: &DaemonSettings,
    listener: StdListener,
    process: ProcessView,
    stopping: &watch::Sender<bool>,
    metrics: Arc<MetricsHub>,
) -> io::Result<()> {
    let token = settings.operator_token.clone();
    let url = settings.platform.clone();
    spawn_thread("operator", stopping, move || async move {
        let editor = TableEditor::new(Arc::new(HttpPlatform::new(url)));
        let operators = OperatorServer::new(token, Arc::new(process), editor, metrics);
        let listener = TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
        serve_operators(listener, operators).await;
    })?;
    Ok(())
}

pub(crate) fn random_incarnation() -> IncarnationId {
    IncarnationId(rand::random())
}

pub(crate) fn host_entry(settings: &DaemonSettings, role: HostRole, fleet: SocketAddr) -> HostEntry {
    HostEntry {
        host: settings.host.clone(),
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        role,
        address: settings.fleet_advertise.unwrap_or(fleet).to_string(),
        state: HostState::Live,
    }
}
