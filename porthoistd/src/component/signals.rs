//! Signals of the process, handled from before its listeners are bound until it exits.
//!
//! A platform may repeat a stop signal, for example if it restarts a process and then removes its host. Only the
//! first one starts the graceful shutdown, and the others change nothing: requests in flight end as they would
//! have.

use nix::sys::signal::Signal;
use slog::{Logger, info};
use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Instant;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal as SignalStream, SignalKind, signal};
use tokio::sync::watch;

/// Signals that ask the process to stop.
const STOP_SIGNALS: [Signal; 3] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGQUIT];
/// Signals that change nothing. Without a handler, each of them would end the process at once, for example SIGXFSZ
/// if the log is written to a file that reaches the limit of file sizes.
const IGNORED_SIGNALS: [Signal; 8] = [
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGALRM,
    Signal::SIGVTALRM,
    Signal::SIGPROF,
    Signal::SIGXCPU,
    Signal::SIGXFSZ,
    Signal::SIGIO,
];

/// Tells whether a stop signal has come.
#[derive(Debug, Clone, Default)]
pub struct SignalWatch {
    stop_received: Arc<AtomicBool>,
}

impl SignalWatch {
    /// Installs the handlers, and sets `stopping` at the first stop signal. Returns once they are installed.
    pub fn start(stopping: watch::Sender<bool>, logger: Logger) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let streams = SignalStreams::install(&runtime)?;
        let signals = Self::default();
        let follower = signals.clone();
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || runtime.block_on(follower.follow(streams, stopping, logger)))?;
        Ok(signals)
    }

    /// Whether a stop signal has come.
    pub fn stop_received(&self) -> bool {
        self.stop_received.load(Ordering::Relaxed)
    }

    async fn follow(self, mut streams: SignalStreams, stopping: watch::Sender<bool>, logger: Logger) {
        let mut first_stop: Option<Instant> = None;
        let mut stop_signals = 0_u64;
        loop {
            let received = streams.next().await;
            if received == Signal::SIGHUP {
                // No setting of a running process can change: everything that changes comes from the table service.
                info!(logger, "reloaded"; "event" => "reload", "changed" => 0);
                continue;
            }
            if !STOP_SIGNALS.contains(&received) {
                info!(logger, "signal ignored"; "event" => "signal", "signal" => received.as_str());
                continue;
            }
            self.stop_received.store(true, Ordering::Relaxed);
            stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
            stop_signals += 1;
            let since = first_stop.get_or_insert_with(Instant::now).elapsed();
            info!(logger, "asked to stop"; "event" => "signal", "signal" => received.as_str(), "count" => stop_signals,
                "since_first_ms" => since.as_millis() as u64);
        }
    }
}

/// Installed handlers.
struct SignalStreams(Vec<(Signal, SignalStream)>);

impl SignalStreams {
    fn install(runtime: &Runtime) -> io::Result<Self> {
        let _entered = runtime.enter();
        let handled = STOP_SIGNALS.into_iter().chain([Signal::SIGHUP]).chain(IGNORED_SIGNALS);
        let installed = handled.map(|handled| Ok((handled, signal(SignalKind::from_raw(handled as i32))?)));
        installed.collect::<io::Result<_>>().map(Self)
    }

    async fn next(&mut self) -> Signal {
        poll_fn(|cx| {
            for (handled, stream) in &mut self.0 {
                if stream.poll_recv(cx).is_ready() {
                    return Poll::Ready(*handled);
                }
            }
            Poll::Pending
        })
        .await
    }
}
