//! The accept loop of every HTTP listener.
//!
//! On shutdown it accepts no more connections, lets requests in flight finish, and returns.

use crate::body::HttpResponse;
use crate::body_intake::{BodyIntake, ScarceRoom};
use crate::lingering_close::linger;
use crate::socket::{SocketPeer, configure_socket};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};

/// Time left to the first head of a connection once the listener closes.
const HEAD_GRACE: Duration = Duration::from_millis(500);
/// Pause after a connection that could not be accepted, in which others may close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of connections of operators, scrapers and health checks.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Largest accepted size of request line and headers in bytes; larger ones are answered with 431.
    pub header_bytes: usize,
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Maximum number of open connections. Beyond it, one without a request in flight gives way.
    pub max_connections: usize,
    /// Reads the bodies of requests, of which a stalled one gives way if all connections have one in flight.
    pub intake: Option<Arc<BodyIntake>>,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(10),
            max_connections: usize::MAX,
            intake: None,
        }
    }
}

impl ServerSettings {
    /// Limits of listeners for operators, scrapers and health checks.
    pub fn for_operators() -> Self {
        Self { header_bytes: 16 * 1024, max_connections: MAX_OPERATOR_CONNECTIONS, ..Self::default() }
    }
}

/// Serves connections until `stop` holds `true`, then waits for the requests in flight.
pub async fn serve_until<F, R>(
    listener: TcpListener,
    settings: ServerSettings,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = HttpResponse> + Send + 'static,
{
    let connections = Arc::new(OpenConnections::default());
    // Each connection holds a sender: none is left once all have ended.
    let (running, mut ended) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _address)) = accepted else {
            // The process may have run out of file descriptors.
            connections.evict(&settings);
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !connections.make_room(&settings) {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let connection = connections.add();
        let serving = serve_connection(stream, settings.clone(), connection, handler.clone());
        let running = running.clone();
        tokio::spawn(async move {
            serving.await;
            drop(running);
        });
    }
    drop(listener);
    drop(running);
    for connection in connections.open.lock().values() {
        connection.close.notify_one();
    }
    // Nothing is ever sent: this ends with the last connection.
    let _none: Option<Infallible> = ended.recv().await;
}

/// Open connections in the order in which they were accepted.
#[derive(Debug, Default)]
struct OpenConnections {
    open: Mutex<BTreeMap<u64, Arc<ServedConnection>>>,
}

/// What the accept loop and a connection's task know of each other.
#[derive(Debug, Default)]
struct ServedConnection {
    /// Whether there has been a complete head.
    began: AtomicBool,
    /// Whether a request is being handled.
    in_use: AtomicBool,
    /// Whether the connection gives way to a new one.
    evicted: AtomicBool,
    /// Whether its last answer was sent, and only its caller's close is awaited.
    lingering: AtomicBool,
    close: Notify,
}

impl ServedConnection {
    fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }

    fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    fn is_lingering(&self) -> bool {
        self.lingering.load(Ordering::Relaxed)
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard {
    connections: Arc<OpenConnections>,
    id: u64,
    connection: Arc<ServedConnection>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
    }
}

impl OpenConnections {
    fn add(self: &Arc<Self>) -> ConnectionGuard {
        let connection = Arc::<ServedConnection>::default();
        let mut open = self.open.lock();
        let id = open.last_key_value().map_or(0, |(id, _connection)| id + 1);
        open.insert(id, Arc::clone(&connection));
        ConnectionGuard { connections: Arc::clone(self), id, connection }
    }

    /// Makes room for a new connection. Returns whether there is some.
    fn make_room(&self, settings: &ServerSettings) -> bool {
        self.close_lingering(settings.max_connections) || self.evict(settings)
    }

    /// Closes as many connections that linger as do not fit. Returns whether one more connection then fits. Those that were
    /// told to close do so at once, and are not counted.
    fn close_lingering(&self, max_connections: usize) -> bool {
        let open = self.open.lock();
        if open.len() < max_connections {
            return true;
        }
        let (leaving, lingering): (Vec<_>, Vec<_>) = open
            .values()
            .filter(|connection| connection.is_lingering())
            .partition(|connection| connection.is_evicted());
        let excess = (open.len() - leaving.len() + 1).saturating_sub(max_connections);
        lingering.iter().take(excess).for_each(|connection| connection.evict());
        excess <= lingering.len()
    }

    /// Closes the oldest connection without a request in flight, or else ends a stalled body. Returns whether there was
    /// one.
    fn evict(&self, settings: &ServerSettings) -> bool {
        let open = self.open.lock();
        let unused = open.values().find(|connection| {
            !connection.in_use.load(Ordering::Relaxed) && !connection.evicted.load(Ordering::Relaxed)
        });
        match unused {
            Some(connection) => {
                connection.evict();
                true
            }
            None => {
                settings.intake.as_ref().is_some_and(|intake| intake.end_stalled(ScarceRoom::Connections))
            }
        }
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    settings: ServerSettings,
    guard: ConnectionGuard,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = HttpResponse>,
{
    // Without these options, latency is higher and a dead caller is noticed later.
    drop(configure_socket(&stream, SocketPeer::Caller));
    let served = Arc::clone(&guard.connection);
    let service = service_fn(move |request| {
        served.began.store(true, Ordering::Relaxed);
        served.in_use.store(true, Ordering::Relaxed);
        let (answer, served) = (handler(request), Arc::clone(&served));
        async move {
            let answer = answer.await;
            served.in_use.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_buf_size(settings.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = connection;
    tokio::select! {
        ended = &mut connection => return linger_after(ended, connection.into_parts().io, &guard).await,
        () = guard.connection.close.notified() => Pin::new(&mut connection).graceful_shutdown(),
    }
    if !guard.connection.began.load(Ordering::Relaxed) {
        // Hyper would wait for the rest of the head.
        let grace =
            if guard.connection.evicted.load(Ordering::Relaxed) { Duration::ZERO } else { HEAD_GRACE };
        let ended = tokio::time::timeout(grace, &mut connection).await;
        if ended.is_ok() || !guard.connection.began.load(Ordering::Relaxed) {
            return;
        }
    }
    // What was begun is answered.
    let ended = (&mut connection).await;
    linger_after(ended, connection.into_parts().io, &guard).await;
}

/// Waits until the caller closes the connection after its last answer, unless it gives way to a new one.
async fn linger_after(ended: hyper::Result<()>, stream: TokioIo<TcpStream>, guard: &ConnectionGuard) {
    // A broken connection needs no handling: its request was answered or is abandoned.
    let answers = ended.map_or_else(|error| error.is_parse(), |()| true);
    if !answers || !guard.connection.began.load(Ordering::Relaxed) {
        return;
    }
    if guard.connection.is_evicted() {
        return;
    }
    guard.connection.lingering.store(true, Ordering::Relaxed);
    let evicted = async {
        while !guard.connection.is_evicted() {
            guard.connection.close.notified().await;
        }
    };
    let stream = stream.into_inner();
    tokio::select! {
        () = linger(&stream) => {}
        () = evicted => {}
    }
}
