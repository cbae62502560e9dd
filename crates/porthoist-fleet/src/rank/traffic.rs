//! Counters of the traffic between processes.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a process sent to its peers and received from them. Clones share their counters.
#[derive(Debug, Clone, Default)]
pub struct ControlTraffic {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ControlTraffic {
    /// Returns the bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Wraps a stream whose bytes are counted here.
    pub fn count_stream<S>(&self, stream: S) -> CountedStream<S> {
        CountedStream { stream, traffic: self.clone() }
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    traffic: ControlTraffic,
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.received.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &written {
            self.traffic.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
