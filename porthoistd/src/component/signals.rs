//! Signals of the process, handled from before its listeners are bound until it exits.
//!
//! A platform may repeat a stop signal, for example if it restarts a process and then removes its host. Only the
//! first one starts the graceful shutdown, and the others change nothing: requests in flight end as they would
//! have. SIGKILL alone ends a process sooner.

use slog::{Logger, info};
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Instant;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal as SignalStream, SignalKind, signal};
use tokio::sync::watch;

/// A signal that does not end the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandledSignal {
    /// Sent by platforms to stop a process.
    Terminate,
    /// Sent by a terminal for Ctrl-C.
    Interrupt,
    /// Sent by a terminal for Ctrl-\.
    Quit,
    /// Asks for a reload of the settings.
    Hangup,
    /// Has no meaning here.
    User1,
    /// Has no meaning here.
    User2,
}

impl HandledSignal {
    /// Every signal that is handled.
    pub const ALL: [Self; 6] =
        [Self::Terminate, Self::Interrupt, Self::Quit, Self::Hangup, Self::User1, Self::User2];

    /// Whether the signal asks the process to stop.
    pub fn stops(self) -> bool {
        matches!(self, Self::Terminate | Self::Interrupt | Self::Quit)
    }

    fn kind(self) -> SignalKind {
        match self {
            Self::Terminate => SignalKind::terminate(),
            Self::Interrupt => SignalKind::interrupt(),
            Self::Quit => SignalKind::quit(),
            Self::Hangup => SignalKind::hangup(),
            Self::User1 => SignalKind::user_defined1(),
            Self::User2 => SignalKind::user_defined2(),
        }
    }
}

impl fmt::Display for HandledSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Quit => "SIGQUIT",
            Self::Hangup => "SIGHUP",
            Self::User1 => "SIGUSR1",
            Self::User2 => "SIGUSR2",
        })
    }
}

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
            if received == HandledSignal::Hangup {
                // No setting of a running process can change: everything that changes comes from the table service.
                info!(logger, "reloaded"; "event" => "reload", "changed" => 0);
                continue;
            }
            if !received.stops() {
                info!(logger, "signal ignored"; "event" => "signal", "signal" => %received);
                continue;
            }
            self.stop_received.store(true, Ordering::Relaxed);
            stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
            stop_signals += 1;
            let since = first_stop.get_or_insert_with(Instant::now).elapsed();
            info!(logger, "asked to stop"; "event" => "signal", "signal" => %received, "count" => stop_signals,
                "since_first_ms" => since.as_millis() as u64);
        }
    }
}

/// Installed handlers.
struct SignalStreams(Vec<(HandledSignal, SignalStream)>);

impl SignalStreams {
    fn install(runtime: &Runtime) -> io::Result<Self> {
        let _entered = runtime.enter();
        let installed = HandledSignal::ALL.map(|handled| Ok((handled, signal(handled.kind())?)));
        installed.into_iter().collect::<io::Result<_>>().map(Self)
    }

    async fn next(&mut self) -> HandledSignal {
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
