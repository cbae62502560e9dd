//! Cuts a stream of server-sent events into whole events.
//!
//! Events are passed on byte for byte; only their boundaries and identifiers are read.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most. Real ones have some hundred.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event with its empty last line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvent {
    /// The event as it came.
    pub bytes: Bytes,
    /// Its identifier, if it has a numeric one.
    pub id: Option<u64>,
}

/// A stream that is not made of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventError;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<WholeEvent>, EventError> {
        let Some(end) = self.boundary() else {
            // A boundary of up to four bytes may have begun at the end.
            self.searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventError) } else { Ok(None) };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(WholeEvent { bytes, id }))
    }

    /// Whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets part of an event that will never be whole.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Where the first event ends, behind its empty line.
    fn boundary(&self) -> Option<usize> {
        let tail = &self.buffer[self.searched..];
        let bare = find(tail, b"\n\n").map(|at| at + 2);
        let full = find(tail, b"\r\n\r\n").map(|at| at + 4);
        let end = match (bare, full) {
            (Some(bare), Some(full)) => bare.min(full),
            (bare, full) => bare.or(full)?,
        };
        Some(self.searched + end)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
