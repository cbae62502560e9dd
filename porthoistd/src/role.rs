//! The roles of a process: which duties it has and how they are joined.

pub mod entry;
pub mod local;
pub mod target;

use crate::settings::DaemonSettings;
use porthoist_core::IncarnationId;
use porthoist_platform::{HostEntry, HostRole, HostState};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};

/// A listener that a duty's thread takes over.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(StdListener, SocketAddr)> {
    let listener = StdListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("can't listen on {address}: {error}")))?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
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
