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
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Starts a graceful shutdown if dropped by a panic. A process that went on without one of its components would, for
/// example, follow no changes until somebody noticed.
struct PanicGuard(watch::Sender<bool>);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.send_replace(true);
        }
    }
}

/// Runs a future on a new thread with its own runtime. The future is created on that thread, so it need not be
/// `Send`. If it panics, `stopping` is set.
pub fn spawn_thread<M, F>(name: &str, stopping: &watch::Sender<bool>, make: M) -> io::Result<JoinHandle<()>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = PanicGuard(stopping.clone());
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let _guard = guard;
        let local = LocalSet::new();
        local.block_on(&runtime, make());
    })
}

/// Runs a future as a task of the current thread. If it panics, `stopping` is set; the runtime alone would only
/// end the task.
pub fn spawn_task<F>(stopping: &watch::Sender<bool>, future: F)
where
    F: Future<Output = ()> + 'static,
{
    let guard = PanicGuard(stopping.clone());
    tokio::task::spawn_local(async move {
        let _guard = guard;
        future.await;
    });
}
