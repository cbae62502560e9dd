//! Delivery of an answer to the caller, either once it is complete or as an ordered stream.

use bytes::Bytes;
use porthoist_core::{AnswerFrame, AnswerHead, AttemptId, UnixMillis};
use porthoist_policy::answer::{AnswerAssembler, FrameVerdict};
use std::io;
use tokio::sync::{mpsc, oneshot};

/// Largest number of pieces of a streamed answer that wait for a slow caller.
pub const MAX_WAITING_PIECES: usize = 64;
/// Data of the last event of a completion's stream.
pub const DONE_MARKER: &[u8] = b"[DONE]";

/// The start of an answer, as passed to the connection's handler.
#[derive(Debug)]
pub enum AnswerStart {
    /// A stream of events.
    Streaming(mpsc::Receiver<Result<Bytes, io::Error>>),
    /// A complete answer.
    Whole(AnswerHead, Bytes),
    /// A refusal.
    Refused(crate::ports::CallerRefusal),
}

/// The caller closed the connection, so that its request may be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Delivers the answer of one request to its caller.
#[derive(Debug)]
pub struct AnswerDelivery {
    assembler: AnswerAssembler,
    start: Option<oneshot::Sender<AnswerStart>>,
    body: Option<mpsc::Sender<Result<Bytes, io::Error>>>,
    first_byte_at: Option<UnixMillis>,
    done_received: bool,
}

impl AnswerDelivery {
    /// Creates a delivery whose start is sent to `start`.
    pub fn new(first: AttemptId, resume_after: Option<u64>, start: oneshot::Sender<AnswerStart>) -> Self {
        Self {
            assembler: AnswerAssembler::new(first, resume_after.unwrap_or(0)),
            start: Some(start),
            body: None,
            first_byte_at: None,
            done_received: false,
        }
    }

    /// Accepts frames only from this attempt from now on.
    pub fn accept_only(&mut self, attempt: AttemptId) {
        self.assembler.restart(attempt);
    }

    /// Returns the last event that was sent to the caller, if any.
    pub fn last_event(&self) -> Option<u64> {
        let event = self.assembler.last_event();
        (event > 0).then_some(event)
    }

    /// Whether a part of the answer was sent to the caller.
    pub fn started(&self) -> bool {
        self.body.is_some()
    }

    /// Returns when the first byte was sent to the caller.
    pub fn first_byte_at(&self) -> Option<UnixMillis> {
        self.first_byte_at
    }

    /// Returns the assembler, for its counts.
    pub fn assembler(&self) -> &AnswerAssembler {
        &self.assembler
    }

    /// Whether the received frames are the complete stream.
    pub fn complete(&self, frames: u64, digest: u64) -> bool {
        self.done_received && self.assembler.complete(frames, digest)
    }

    /// Checks a frame and sends its event to the caller if it is the next one.
    pub async fn deliver_frame(
        &mut self,
        now: UnixMillis,
        frame: &AnswerFrame,
    ) -> Result<FrameVerdict, CallerDisconnected> {
        let verdict = self.assembler.frame(frame);
        if verdict != FrameVerdict::Deliver {
            return Ok(verdict);
        }
        self.done_received |= frame.data.as_ref() == DONE_MARKER;
        if self.done_received {
            // The end mark is sent only after the complete stream was verified.
            return Ok(verdict);
        }
        let event = event_bytes(frame.event, &frame.data);
        self.send_event(now, event).await?;
        Ok(verdict)
    }

    async fn send_event(&mut self, now: UnixMillis, event: Bytes) -> Result<(), CallerDisconnected> {
        if self.body.is_none() {
            self.start_stream(now)?;
        }
        let Some(body) = &self.body else {
            return Err(CallerDisconnected);
        };
        body.send(Ok(event)).await.map_err(|_closed| CallerDisconnected)
    }

    fn start_stream(&mut self, now: UnixMillis) -> Result<(), CallerDisconnected> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_PIECES);
        let start = self.start.take().ok_or(CallerDisconnected)?;
        start.send(AnswerStart::Streaming(receiver)).map_err(|_closed| CallerDisconnected)?;
        self.first_byte_at = Some(now);
        self.body = Some(sender);
        Ok(())
    }

    /// Ends a complete stream by sending the end mark.
    pub async fn finish_stream(&mut self, now: UnixMillis) -> Result<(), CallerDisconnected> {
        let event = event_bytes(self.assembler.last_event(), DONE_MARKER);
        self.send_event(now, event).await?;
        self.body = None;
        Ok(())
    }

    /// Sends a complete answer.
    pub fn finish_whole(
        &mut self,
        now: UnixMillis,
        head: AnswerHead,
        body: Bytes,
    ) -> Result<(), CallerDisconnected> {
        let start = self.start.take().ok_or(CallerDisconnected)?;
        self.first_byte_at = Some(now);
        start.send(AnswerStart::Whole(head, body)).map_err(|_closed| CallerDisconnected)
    }

    /// Sends the refusal, or aborts the stream so that the caller does not take it for complete.
    pub async fn refuse(&mut self, refusal: crate::ports::CallerRefusal) {
        if let Some(start) = self.start.take() {
            // A caller that closed the connection needs no refusal.
            drop(start.send(AnswerStart::Refused(refusal)));
            return;
        }
        if let Some(body) = self.body.take() {
            let broken = io::Error::new(io::ErrorKind::ConnectionAborted, refusal.reason.as_str());
            drop(body.send(Err(broken)).await);
        }
    }

    /// Waits until the caller closes the connection.
    pub async fn wait_for_disconnect(&mut self) {
        match (&mut self.start, &self.body) {
            (Some(start), _) => start.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }
}

fn event_bytes(event: u64, data: &[u8]) -> Bytes {
    let mut text = format!("id: {event}\n").into_bytes();
    for line in data.split(|byte| *byte == b'\n') {
        text.extend_from_slice(b"data: ");
        text.extend_from_slice(line);
        text.push(b'\n');
    }
    text.push(b'\n');
    Bytes::from(text)
}
