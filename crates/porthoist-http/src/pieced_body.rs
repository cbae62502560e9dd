//! Bodies that are collected and kept in pieces.
//!
//! A buffer that grows by doubling takes up to three times the size of its content while it is copied, and the freed
//! buffers are rarely of a size that is needed again. Pieces are never copied, and have at most one size once a body
//! is large.

use crate::byte_budget::{BudgetExceeded, HeldBytes};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Minimum capacity in bytes of a piece.
const MIN_PIECE_BYTES: usize = 64;
/// Capacity in bytes of a piece of a large body. Freed pieces are reused, as all are of this size.
const LARGE_PIECE_BYTES: usize = 64 * 1024;
/// Size in bytes up to which a body grows by a quarter, so that little capacity stays unused.
const SMALL_GROWTH_BYTES: usize = 16 * 1024;

/// A complete body in pieces.
#[derive(Debug, Clone, Default)]
pub struct PiecedBody {
    pieces: VecDeque<Bytes>,
    bytes: usize,
}

impl PiecedBody {
    /// Size in bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// The pieces in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &**piece)
    }
}

impl From<Bytes> for PiecedBody {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let pieces = if bytes.is_empty() { VecDeque::new() } else { VecDeque::from([bytes]) };
        Self { pieces, bytes: length }
    }
}

impl Body for PiecedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.bytes -= piece.as_ref().map_or(0, Bytes::len);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}

/// A body that is being collected. Its capacity is held in a budget.
#[derive(Debug)]
pub struct PieceCollector {
    pieces: Vec<BytesMut>,
    bytes: usize,
    /// Announced size of the body.
    announced: Option<u64>,
    held: HeldBytes,
}

impl PieceCollector {
    /// Creates an empty collector for a body of the announced size, if there is one.
    pub fn new(held: HeldBytes, announced: Option<u64>) -> Self {
        Self { pieces: Vec::new(), bytes: 0, announced, held }
    }

    /// Size in bytes of what has been collected.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether nothing has been collected.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Bytes held in the budget.
    pub fn held(&self) -> u64 {
        self.held.bytes()
    }

    /// Adds data of a request, or fails if the capacity that it takes does not fit the budget.
    pub fn try_push(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let capacity = self.missing_capacity(data.len());
        let body_bytes = self.announced.unwrap_or((self.bytes + data.len()) as u64);
        self.held.try_grow(capacity, body_bytes)?;
        self.push(data, capacity);
        Ok(())
    }

    /// Adds data of a response, and waits until the capacity that it takes fits the budget.
    pub async fn push_when_free(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let capacity = self.missing_capacity(data.len());
        self.held.grow(capacity).await?;
        self.push(data, capacity);
        Ok(())
    }

    /// Returns the body, which stays held until all its pieces are dropped.
    pub fn finish(self) -> PiecedBody {
        let Self { pieces, bytes, held, .. } = self;
        let pieces = pieces.into_iter().map(BytesMut::freeze);
        PiecedBody { pieces: held.attach_all(pieces).collect(), bytes }
    }

    /// Returns the body in one piece, which stays held until it is dropped.
    pub fn finish_whole(self) -> Bytes {
        let Self { pieces, bytes, held, .. } = self;
        let mut whole = BytesMut::with_capacity(bytes);
        for piece in &pieces {
            whole.extend_from_slice(piece);
        }
        held.attach(whole.freeze())
    }

    /// Unused capacity of the last piece.
    fn room(&self) -> usize {
        self.pieces.last().map_or(0, |piece| piece.capacity() - piece.len())
    }

    /// Capacity that data of this size needs in addition to the room in the last piece, or 0.
    fn missing_capacity(&self, data_bytes: usize) -> usize {
        let missing = data_bytes.saturating_sub(self.room());
        if missing == 0 {
            return 0;
        }
        let filled = self.bytes + data_bytes - missing;
        let expected =
            self.announced.map_or(usize::MAX, |announced| (announced as usize).saturating_sub(filled));
        next_capacity(self.bytes).min(expected).max(missing)
    }

    fn push(&mut self, data: &[u8], capacity: usize) {
        let (fitting, rest) = data.split_at(data.len().min(self.room()));
        if let Some(last) = self.pieces.last_mut() {
            last.extend_from_slice(fitting);
        }
        if !rest.is_empty() {
            let mut piece = BytesMut::with_capacity(capacity);
            piece.extend_from_slice(rest);
            self.pieces.push(piece);
        }
        self.bytes += data.len();
    }
}

/// Capacity of the next piece of a body of which this many bytes have been collected.
fn next_capacity(bytes: usize) -> usize {
    if bytes < SMALL_GROWTH_BYTES {
        return (bytes / 4).max(MIN_PIECE_BYTES);
    }
    // The largest power of two that is not larger than the body.
    (1 << bytes.ilog2()).min(LARGE_PIECE_BYTES)
}
