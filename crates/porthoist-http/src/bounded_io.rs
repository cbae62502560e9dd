//! Connections of which only a bounded number of bytes is read for each answer.
//!
//! A peer in trouble may send bytes that are no answer without end. Hyper bounds the size of a head, but skips any
//! number of interim responses before it.

use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// Maximum size in bytes of the heads of an answer: interim responses, status line and headers.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Number of bytes that may still be read from a connection. Clones share it.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Creates an allowance in bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Replaces what is left.
    pub fn reset(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Permits any number of bytes.
    pub fn lift(&self) {
        self.reset(usize::MAX);
    }

    /// Fails if nothing is left. One read may exceed what is left, since a body may follow its head.
    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too large"));
        }
        Ok(())
    }

    fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left < usize::MAX {
            self.reset(left.saturating_sub(bytes));
        }
    }
}

/// A connection with a [`ReadAllowance`].
#[derive(Debug)]
pub struct BoundedIo<T> {
    stream: T,
    allowance: ReadAllowance,
    /// Allowance after each write, that is, for the answer to the latest request.
    after_write: Option<usize>,
}

impl<T> BoundedIo<T> {
    /// Wraps a connection whose user resets the allowance for each answer.
    pub fn new(stream: T, allowance: ReadAllowance) -> Self {
        Self { stream, allowance, after_write: None }
    }

    /// Wraps a connection of which at most `bytes` are read after each write.
    pub fn for_each_answer(stream: T, bytes: usize) -> Self {
        Self { stream, allowance: ReadAllowance::new(bytes), after_write: Some(bytes) }
    }

    fn record_write(&self) {
        if let Some(bytes) = self.after_write {
            self.allowance.reset(bytes);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.allowance.check()?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.allowance.take(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connection for BoundedIo<TcpStream> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

/// Connects like [`HttpConnector`], with a bound on the bytes that are read for each answer.
#[derive(Debug, Clone)]
pub(crate) struct BoundedConnector {
    pub(crate) connector: HttpConnector,
    /// Maximum size in bytes of an answer with its heads.
    pub(crate) answer_bytes: usize,
}

type BoundedStream = TokioIo<BoundedIo<TcpStream>>;

impl Service<Uri> for BoundedConnector {
    type Response = BoundedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.connector.call(req);
        let answer_bytes = self.answer_bytes;
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(BoundedIo::for_each_answer(stream, answer_bytes)))
        })
    }
}
