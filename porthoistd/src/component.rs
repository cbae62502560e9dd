//! The components of a process: its independent parts, most of which run on a thread of their own (see
//! [`spawn_thread`]).

pub mod callers;
pub mod claims;
pub mod entry_fleet;
pub mod group;
pub mod loads;
pub mod offers;
pub mod operator;
pub mod platform;
pub mod rank;
pub mod routing;
pub mod signals;
pub mod status;
pub mod target_fleet;
pub mod zone_peers;

use std::io;
use std::thread::JoinHandle;
use tokio::task::LocalSet;

/// Runs a future on a new thread with its own runtime. The future is created on that thread, so it need not be
/// `Send`.
pub fn spawn_thread<M, F>(name: &str, make: M) -> io::Result<JoinHandle<()>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, make());
    })
}
