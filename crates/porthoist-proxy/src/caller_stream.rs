//! A caller's connection, which ends if its caller reads nothing of a response for too long.

use porthoist_core::UnixMillis;
use porthoist_http::set_reset_on_close;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

/// What the handler of requests and the connection's stream know of each other.
#[derive(Debug, Default)]
pub struct CallerConnection {
    /// Attempt identifier of the connection's last request.
    attempt: RefCell<Option<Arc<str>>>,
    cut: Cell<bool>,
    /// Since when no request is being served; `None` while one is.
    idle_since: Cell<Option<UnixMillis>>,
    /// Whether there has been a request.
    began: Cell<bool>,
    /// Whether it was told to close.
    closing: Cell<bool>,
    /// Whether it gives way to a new connection.
    evicted: Cell<bool>,
    /// Whether only its end shows where the body of its response ends.
    delimits_body: Cell<bool>,
    close_signal: Notify,
}

impl CallerConnection {
    /// Notes the attempt identifier of the request that is served now.
    pub(crate) fn begin_request(&self, attempt: &Arc<str>) {
        *self.attempt.borrow_mut() = Some(Arc::clone(attempt));
        self.idle_since.set(None);
        self.began.set(true);
    }

    /// Whether there has been a request. Without one, the connection has sent at most a part of a head.
    pub(crate) fn has_begun(&self) -> bool {
        self.began.get()
    }

    /// Notes that no request is being served.
    pub(crate) fn set_idle(&self, now: UnixMillis) {
        self.idle_since.set(Some(now));
    }

    /// Since when the connection has been idle, unless it is in use or closing already.
    pub(crate) fn evictable_since(&self) -> Option<UnixMillis> {
        if self.closing.get() { None } else { self.idle_since.get() }
    }

    /// Tells the connection to close once it serves no request.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.close_signal.notify_one();
    }

    /// Tells the connection to close in favor of a new one.
    pub(crate) fn evict(&self) {
        self.evicted.set(true);
        self.close();
    }

    /// Whether the connection gives way to a new one.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Notes that the next response, which is its last one, has a body that ends with the connection.
    pub(crate) fn delimit_body(&self) {
        self.delimits_body.set(true);
    }

    /// Waits until the connection is told to close.
    pub(crate) async fn closed(&self) {
        self.close_signal.notified().await;
    }

    /// Attempt identifier of the connection's last request, if there was one.
    pub(crate) fn attempt(&self) -> Option<Arc<str>> {
        self.attempt.borrow().clone()
    }

    /// Whether the connection was closed because its caller read nothing.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.get()
    }
}

/// A caller's stream. Writing fails once the peer has taken nothing for the permitted time.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    /// Zero if the time is not limited.
    unread_limit: Duration,
    /// Runs while the peer takes nothing.
    unread_timer: Option<Pin<Box<Sleep>>>,
    /// Whether every end but a shutdown resets the connection.
    resets: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<CallerConnection>, unread_limit: Duration) -> Self {
        Self { stream, connection, unread_limit, unread_timer: None, resets: false }
    }

    /// Makes a reset of each end that the caller must not take for that of a body.
    fn guard_body(&mut self) -> io::Result<()> {
        if self.connection.delimits_body.get() && !self.resets {
            set_reset_on_close(&self.stream, true)?;
            self.resets = true;
        }
        Ok(())
    }

    fn check_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() || self.unread_limit.is_zero() {
            self.unread_timer = None;
            return written;
        }
        let unread_limit = self.unread_limit;
        let timer = self.unread_timer.get_or_insert_with(|| Box::pin(sleep(unread_limit)));
        ready!(timer.as_mut().poll(cx));
        self.connection.cut.set(true);
        // The close then resets the connection, and the system does not keep unread bytes. Best effort.
        drop(self.stream.set_zero_linger());
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.guard_body()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard_body()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper shuts a connection down only after the end of a body, and once everything is written.
        if self.resets {
            set_reset_on_close(&self.stream, false)?;
            self.resets = false;
            self.connection.delimits_body.set(false);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
