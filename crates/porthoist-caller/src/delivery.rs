//! Where the answer of one request goes: held until whole, or streamed in order.

use bytes::Bytes;
use porthoist_core::{AnswerFrame, AnswerHead, AttemptId, UnixMillis};
use porthoist_policy::answer::{AnswerAssembler, FrameVerdict};
use std::io;
use tokio::sync::{mpsc, oneshot};

/// Pieces of a streamed answer that wait for a slow caller.
pub const BODY_PIECES: usize = 64;
/// Data of the last event of a completion's stream.
pub const DONE_MARK: &[u8] = b"[DONE]";

/// How an answer begins, as the connection's handler sees it.
#[derive(Debug)]
pub enum AnswerStart {
    /// Events follow.
    Streaming(mpsc::Receiver<Result<Bytes, io::Error>>),
    /// All of it.
    Whole(AnswerHead, Bytes),
    /// Refused.
    Refused(crate::ports::CallerRefusal),
}

/// The caller is gone: nothing more is worth doing for a request that may be given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// The way to the caller.
#[derive(Debug)]
pub struct AnswerDelivery {
    assembler: AnswerAssembler,
    start: Option<oneshot::Sender<AnswerStart>>,
    body: Option<mpsc::Sender<Result<Bytes, io::Error>>>,
    first_byte_at: Option<UnixMillis>,
    done_seen: bool,
}

impl AnswerDelivery {
    /// A delivery that begins with a message to `start`.
    pub fn new(first: AttemptId, resume_after: Option<u64>, start: oneshot::Sender<AnswerStart>) -> Self {
        Self {
            assembler: AnswerAssembler::new(first, resume_after.unwrap_or(0)),
            start: Some(start),
            body: None,
            first_byte_at: None,
            done_seen: false,
        }
    }

    /// Frames are taken from this attempt from now on.
    pub fn expect(&mut self, attempt: AttemptId) {
        self.assembler.restart(attempt);
    }

    /// The last event that went to the caller, if any has.
    pub fn last_event(&self) -> Option<u64> {
        let event = self.assembler.last_event();
        (event > 0).then_some(event)
    }

    /// Whether a part of the answer is out.
    pub fn started(&self) -> bool {
        self.body.is_some()
    }

    /// When the first byte went out.
    pub fn first_byte_at(&self) -> Option<UnixMillis> {
        self.first_byte_at
    }

    /// The assembler, for its counts.
    pub fn assembler(&self) -> &AnswerAssembler {
        &self.assembler
    }

    /// Whether the frames that came are the whole stream.
    pub fn complete(&self, frames: u64, digest: u64) -> bool {
        self.done_seen && self.assembler.complete(frames, digest)
    }

    /// Takes a frame and sends its event on if it is the next one.
    pub async fn frame(&mut self, now: UnixMillis, frame: &AnswerFrame) -> Result<FrameVerdict, CallerGone> {
        let verdict = self.assembler.frame(frame);
        if verdict != FrameVerdict::Deliver {
            return Ok(verdict);
        }
        self.done_seen |= frame.data.as_ref() == DONE_MARK;
        if self.done_seen {
            // The end mark is held back until the end is verified.
            return Ok(verdict);
        }
        let event = event_bytes(frame.event, &frame.data);
        self.send(now, event).await?;
        Ok(verdict)
    }

    async fn send(&mut self, now: UnixMillis, event: Bytes) -> Result<(), CallerGone> {
        if self.body.is_none() {
            self.open(now)?;
        }
        let Some(body) = &self.body else {
            return Err(CallerGone);
        };
        body.send(Ok(event)).await.map_err(|_closed| CallerGone)
    }

    fn open(&mut self, now: UnixMillis) -> Result<(), CallerGone> {
        let (sender, receiver) = mpsc::channel(BODY_PIECES);
        let start = self.start.take().ok_or(CallerGone)?;
        start.send(AnswerStart::Streaming(receiver)).map_err(|_closed| CallerGone)?;
        self.first_byte_at = Some(now);
        self.body = Some(sender);
        Ok(())
    }

    /// The stream is whole: the end mark goes out.
    pub async fn finish_stream(&mut self, now: UnixMillis) -> Result<(), CallerGone> {
        let event = event_bytes(self.assembler.last_event(), DONE_MARK);
        self.send(now, event).await?;
        self.body = None;
        Ok(())
    }

    /// Sends a whole answer.
    pub fn finish_whole(&mut self, now: UnixMillis, head: AnswerHead, body: Bytes) -> Result<(), CallerGone> {
        let start = self.start.take().ok_or(CallerGone)?;
        self.first_byte_at = Some(now);
        start.send(AnswerStart::Whole(head, body)).map_err(|_closed| CallerGone)
    }

    /// Sends the refusal, or breaks off a stream so that it can't be taken for whole.
    pub async fn refuse(&mut self, refusal: crate::ports::CallerRefusal) {
        if let Some(start) = self.start.take() {
            // A caller that is gone needs no refusal.
            drop(start.send(AnswerStart::Refused(refusal)));
            return;
        }
        if let Some(body) = self.body.take() {
            let broken = io::Error::new(io::ErrorKind::ConnectionAborted, refusal.reason.as_str());
            drop(body.send(Err(broken)).await);
        }
    }

    /// Waits until the caller is gone.
    pub async fn gone(&mut self) {
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
