//! Splits a stream of server-sent events into events.
//!
//! Events are forwarded byte for byte; only their boundaries and identifiers are parsed.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. Typical events have a few hundred.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event, including its terminating empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The event's bytes, unchanged.
    pub bytes: Bytes,
    /// The event's identifier if it is numeric.
    pub id: Option<u64>,
}

/// Error returned when a stream does not consist of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventError;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<CompleteEvent>, EventError> {
        let Some(end) = self.event_end() else {
            // A boundary of up to four bytes may start at the end of the buffer.
            self.searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventError) } else { Ok(None) };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(CompleteEvent { bytes, id }))
    }

    /// Whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the end of the first event, after its empty line.
    fn event_end(&self) -> Option<usize> {
        let tail = &self.buffer[self.searched..];
        // One pass up to the first boundary: a search for each kind of boundary would read the whole buffer for each event.
        let end = tail.iter().enumerate().find_map(|(at, byte)| match byte {
            b'\n' if tail[at..].starts_with(b"\n\n") => Some(at + 2),
            b'\r' if tail[at..].starts_with(b"\r\n\r\n") => Some(at + 4),
            _ => None,
        });
        end.map(|end| self.searched + end)
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
