//! The duties of a process, a thread each.

pub mod callers;
pub mod claims;
pub mod entry_fleet;
pub mod group;
pub mod loads;
pub mod news;
pub mod offers;
pub mod operator;
pub mod platform;
pub mod rank;
pub mod routing;
pub mod signals;
pub mod status;
pub mod target_fleet;

use std::io;
use std::thread::JoinHandle;
use tokio::task::LocalSet;

/// Starts a duty: a thread with a runtime of its own. The future is made on the thread, so it need not be `Send`.
pub fn spawn_duty<M, F>(name: &str, make: M) -> io::Result<JoinHandle<()>>
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
