//! A caller's connection, which ends if its caller reads nothing of a response for too long, or has left.

use crate::connection_end::RequestPhase;
use crate::half_close::HalfClose;
use porthoist_core::UnixMillis;
use porthoist_http::{linger, set_reset_on_close};
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
    /// How far the last request has come, if its response has not been written and it is no longer served.
    unfinished: Cell<Option<RequestPhase>>,
    failed_write: Cell<bool>,
    /// Whether a response is being written.
    responding: Cell<bool>,
    /// Whether the caller closed its sending side while a response was being written.
    half_closed: Cell<bool>,
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
    /// Whether its last answer was sent, and only its caller's close is awaited.
    lingering: Cell<bool>,
    close_signal: Notify,
}

impl CallerConnection {
    /// Notes the attempt identifier of the request that is served now.
    pub(crate) fn begin_request(&self, attempt: &Arc<str>) {
        *self.attempt.borrow_mut() = Some(Arc::clone(attempt));
        self.idle_since.set(None);
        self.responding.set(false);
        self.began.set(true);
    }

    /// Notes that the response to the request begins.
    pub(crate) fn begin_response(&self) {
        self.responding.set(true);
    }

    /// Notes how far the request had come that is no longer served. Its response may still have to be written.
    pub(crate) fn end_request(&self, phase: RequestPhase, now: UnixMillis) {
        self.unfinished.set(Some(phase));
        self.responding.set(phase == RequestPhase::Answering);
        self.set_idle(now);
    }

    /// How far the last request had come, unless all of its response was written.
    pub(crate) fn unfinished(&self) -> Option<RequestPhase> {
        self.unfinished.get()
    }

    /// Whether writing has failed.
    pub(crate) fn has_failed_write(&self) -> bool {
        self.failed_write.get()
    }

    /// Whether the caller closed its sending side while a response was being written.
    pub(crate) fn is_half_closed(&self) -> bool {
        self.half_closed.get()
    }

    /// Notes that nothing is left to be written at present.
    fn set_written(&self) {
        if self.unfinished.get() == Some(RequestPhase::Answering) {
            self.unfinished.set(None);
            self.responding.set(false);
        }
    }

    /// Whether there has been a request. Without one, the connection has sent at most a part of a head.
    pub(crate) fn has_begun(&self) -> bool {
        self.began.get()
    }

    /// Notes that no request is being served.
    pub(crate) fn set_idle(&self, now: UnixMillis) {
        self.idle_since.set(Some(now));
    }

    /// Since when the connection has been idle, unless it is in use, or closes soon in any case.
    pub(crate) fn evictable_since(&self) -> Option<UnixMillis> {
        let closes_soon = self.evicted.get() || self.closing.get() && !self.lingering.get();
        if closes_soon { None } else { self.idle_since.get() }
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

    /// Whether only the caller's close is awaited.
    pub(crate) fn is_lingering(&self) -> bool {
        self.lingering.get()
    }

    /// Waits until the connection gives way to a new one.
    async fn until_evicted(&self) {
        while !self.is_evicted() {
            self.closed().await;
        }
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
    /// Whether the last write had to wait.
    blocked: bool,
    /// Present once the caller has closed its sending side within a response.
    half_close: Option<HalfClose>,
    /// Whether nothing more is sent.
    shut_down: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<CallerConnection>, unread_limit: Duration) -> Self {
        Self {
            stream,
            connection,
            unread_limit,
            unread_timer: None,
            resets: false,
            blocked: false,
            half_close: None,
            shut_down: false,
        }
    }

    /// Makes a reset of each end that the caller must not take for that of a body.
    fn guard_body(&mut self) -> io::Result<()> {
        if self.connection.delimits_body.get() && !self.resets {
            set_reset_on_close(&self.stream, true)?;
            self.resets = true;
        }
        Ok(())
    }

    /// Waits until the caller closes the connection after its last answer, within bounds, unless it gives way to a new one.
    pub(crate) async fn linger(self) {
        if !self.shut_down || !self.connection.has_begun() || self.connection.is_evicted() {
            return;
        }
        self.connection.lingering.set(true);
        tokio::select! {
            () = linger(&self.stream) => {}
            () = self.connection.until_evicted() => {}
        }
    }

    fn check_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.blocked = written.is_pending();
        if let Some(half_close) = &mut self.half_close {
            half_close.record_write(self.blocked);
        }
        if matches!(written, Poll::Ready(Err(_))) {
            self.connection.failed_write.set(true);
        }
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

    /// Reports the end of what the caller sends, which ends its request. Within a response this is put off: the caller may
    /// still read.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.connection.responding.get() {
            return Poll::Ready(Ok(()));
        }
        self.connection.half_closed.set(true);
        let blocked = self.blocked;
        let half_close = self.half_close.get_or_insert_with(|| HalfClose::new(blocked));
        half_close.poll_silent(cx).map(Ok)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.half_close.is_some() {
            return self.poll_end(cx);
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let at_end = buf.filled().len() == filled && buf.remaining() > 0;
        if at_end { self.poll_end(cx) } else { Poll::Ready(Ok(())) }
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
        // Nothing is left in the buffers above.
        self.connection.set_written();
        if self.half_close.is_some() && !self.connection.responding.get() {
            // The end of what the caller sends can now be reported.
            cx.waker().wake_by_ref();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper shuts a connection down only after the end of a body, and once everything is written.
        if self.resets {
            set_reset_on_close(&self.stream, false)?;
            self.resets = false;
            self.connection.delimits_body.set(false);
        }
        self.shut_down = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
