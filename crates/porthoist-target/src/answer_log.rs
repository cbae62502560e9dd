//! Log of the answer of one run.
//!
//! The run appends to the log. Every offer with the same ticket follows it from the last event that its caller has.

use bytes::Bytes;
use porthoist_core::{AnswerHead, RefusalReason, RunVerdict, UnixMillis};
use porthoist_http::HeldBytes;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEnd {
    /// The request was refused, or the run failed.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// The earliest time at which a retry is useful.
        retry_at: Option<UnixMillis>,
    },
    /// A complete answer.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// The body.
        body: Bytes,
    },
    /// The stream is complete.
    StreamDone,
}

#[derive(Debug)]
struct LogState {
    /// Number of the last event before the log.
    base: u64,
    events: Vec<Bytes>,
    /// Total size of `events`.
    bytes: usize,
    end: Option<LogEnd>,
    /// Counts the events until the log is dropped.
    held: Option<HeldBytes>,
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
    /// Creates an empty log of an answer whose events up to `base` were delivered before.
    pub fn new(base: u64) -> Arc<Self> {
        let state = Mutex::new(LogState { base, events: Vec::new(), bytes: 0, end: None, held: None });
        Arc::new(Self { state, changed: watch::Sender::new(0) })
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    fn notify_followers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Appends an event. A repeated event is dropped; a gap before the event is an error.
    pub fn push(&self, event: u64, data: Bytes) -> Result<(), EventGap> {
        self.state().append(event, data)?;
        self.notify_followers();
        Ok(())
    }

    /// Keeps what counts the events once the run has ended.
    pub(crate) fn hold(&self, held: HeldBytes) {
        self.state().held = Some(held);
    }

    /// Ends the log; later calls have no effect.
    pub fn finish(&self, end: LogEnd) {
        self.state().end.get_or_insert(end);
        self.notify_followers();
    }

    /// Returns how the run ended, if it has.
    pub fn end(&self) -> Option<LogEnd> {
        self.state().end.clone()
    }

    /// Returns the size of the logged answer in bytes.
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

    /// Waits until the log has no followers.
    pub async fn wait_until_unfollowed(&self) {
        self.changed.closed().await;
    }

    /// Whether the log has followers.
    pub fn is_followed(&self) -> bool {
        self.changed.receiver_count() > 0
    }
}

/// Error of appending an event that does not directly follow the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventGap {
    /// The expected event number.
    pub expected: u64,
    /// The given event number.
    pub given: u64,
}

/// What a follower receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogUpdate {
    /// The number of the first event, and the events.
    Events(u64, Vec<Bytes>),
    /// The end of the log, after all its events.
    End(LogEnd),
    /// The follower asked for events before the log's base, which are not available.
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
    /// Waits for further events or the end.
    pub async fn next(&mut self) -> LogUpdate {
        loop {
            self.changed.borrow_and_update();
            if let Some(update) = self.poll() {
                return update;
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
