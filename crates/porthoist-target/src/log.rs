//! The answer of one run, as it grows.
//!
//! The run appends to it; every offer of the same ticket follows it from where its caller stopped.

use bytes::Bytes;
use porthoist_core::{AnswerHead, RefusalReason, RunVerdict, UnixMillis};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEnd {
    /// It was refused, or failed.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        verdict: RunVerdict,
        /// When another try makes sense.
        retry_at: Option<UnixMillis>,
    },
    /// A whole answer.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// Body.
        body: Bytes,
    },
    /// All events of the stream are there.
    StreamDone,
}

#[derive(Debug)]
struct LogState {
    base: u64,
    events: Vec<Bytes>,
    bytes: usize,
    end: Option<LogEnd>,
}

impl LogState {
    fn append(&mut self, event: u64, data: Bytes) -> Result<(), EventGap> {
        let expected = self.base + self.events.len() as u64 + 1;
        if event > expected {
            return Err(EventGap { expected, given: event });
        }
        if event == expected {
            self.bytes += data.len();
            self.events.push(data);
        }
        Ok(())
    }
}

/// The answer of one run.
#[derive(Debug)]
pub struct AnswerLog {
    state: Mutex<LogState>,
    changed: watch::Sender<u64>,
}

impl AnswerLog {
    /// An empty log of an answer whose events up to `base` were delivered before.
    pub fn new(base: u64) -> Arc<Self> {
        let state = Mutex::new(LogState { base, events: Vec::new(), bytes: 0, end: None });
        Arc::new(Self { state, changed: watch::Sender::new(0) })
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no thread panics while it holds the log")
    }

    fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Appends an event; a repeated one is dropped, one after a gap is an error.
    pub fn push(&self, event: u64, data: Bytes) -> Result<(), EventGap> {
        self.state().append(event, data)?;
        self.announce();
        Ok(())
    }

    /// Ends the log; the first end counts.
    pub fn finish(&self, end: LogEnd) {
        self.state().end.get_or_insert(end);
        self.announce();
    }

    /// How the run ended, if it has.
    pub fn end(&self) -> Option<LogEnd> {
        self.state().end.clone()
    }

    /// Bytes kept.
    pub fn size(&self) -> usize {
        let state = self.state();
        let body = match &state.end {
            Some(LogEnd::Whole { body, .. }) => body.len(),
            _ => 0,
        };
        state.bytes + body
    }

    /// Follows the log from the event after `resume_after`.
    pub fn follow(self: &Arc<Self>, resume_after: u64) -> LogFollower {
        LogFollower { log: Arc::clone(self), position: resume_after, changed: self.changed.subscribe() }
    }

    /// Waits until nobody follows it.
    pub async fn unfollowed(&self) {
        self.changed.closed().await;
    }

    /// Whether anybody follows it.
    pub fn followed(&self) -> bool {
        self.changed.receiver_count() > 0
    }
}

/// An event that does not follow the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventGap {
    /// The event that had to come.
    pub expected: u64,
    /// The event that came.
    pub given: u64,
}

/// What a follower sees next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogUpdate {
    /// Events, the first with this number.
    Events(u64, Vec<Bytes>),
    /// The end; every event was seen.
    End(LogEnd),
    /// Events before the log's base were asked for: it can't give them.
    Missing,
}

/// One reader of a log.
#[derive(Debug)]
pub struct LogFollower {
    log: Arc<AnswerLog>,
    position: u64,
    changed: watch::Receiver<u64>,
}

impl LogFollower {
    /// Waits for events or the end.
    pub async fn next(&mut self) -> LogUpdate {
        loop {
            self.changed.borrow_and_update();
            if let Some(news) = self.poll() {
                return news;
            }
            if self.changed.changed().await.is_err() {
                return LogUpdate::Missing;
            }
        }
    }

    fn poll(&mut self) -> Option<LogUpdate> {
        let state = self.log.state();
        if self.position < state.base {
            return Some(LogUpdate::Missing);
        }
        let skip = (self.position - state.base) as usize;
        if skip < state.events.len() {
            let events = state.events[skip..].to_vec();
            let first = self.position + 1;
            self.position += events.len() as u64;
            return Some(LogUpdate::Events(first, events));
        }
        state.end.clone().map(LogUpdate::End)
    }
}
