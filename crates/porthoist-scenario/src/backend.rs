//! Fake back ends on virtual time that record the requests they run.

use bytes::Bytes;
use futures::future::BoxFuture;
use porthoist_core::{AnswerHead, RefusalReason, RunVerdict};
use porthoist_table::CallError;
use porthoist_target::runner::{DONE_MARKER, EnginePace};
use porthoist_target::{BackendRunner, LogEnd, RunJob};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// A request run by a back end.
#[derive(Debug, Clone)]
pub struct FakeRun {
    /// Name of the request.
    pub request: String,
    /// Start of the run, in milliseconds from the start of the scenario.
    pub at: u64,
}

/// A back end that keeps running when the target process dies.
#[derive(Debug)]
pub struct FakeBackend {
    step: u64,
    started: Instant,
    runs: Mutex<Vec<FakeRun>>,
    slowdown: AtomicU64,
    streams_to_break: AtomicU64,
}

/// Number of tokens that a broken stream sends before it breaks.
const TOKENS_BEFORE_BREAK: u64 = 3;

/// Returns the body of a request, which contains its name and its number of tokens.
pub fn request_body(request: &str, tokens: u64) -> Bytes {
    Bytes::from(format!("{request} {tokens}"))
}

/// Returns the token at a position of a request's response.
pub fn token(request: &str, position: u64) -> Bytes {
    Bytes::from(format!("{request}.{position}"))
}

impl FakeBackend {
    /// Creates a back end that needs `step` milliseconds for each token or plain call.
    pub fn new(step: u64, started: Instant) -> Arc<Self> {
        let (runs, slowdown, streams_to_break) = (Mutex::default(), AtomicU64::new(1), AtomicU64::new(0));
        Arc::new(Self { step, started, runs, slowdown, streams_to_break })
    }

    /// Multiplies the time of each step by a factor.
    pub fn slow(&self, times: u64) {
        self.slowdown.store(times, Ordering::Relaxed);
    }

    /// Breaks the next `count` streams.
    pub fn break_streams(&self, count: u64) {
        self.streams_to_break.store(count, Ordering::Relaxed);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<FakeRun> {
        self.runs.lock().expect("no run panics").clone()
    }

    async fn pause(&self) {
        let millis = self.step * self.slowdown.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    async fn answer(&self, job: &RunJob, first_event: Box<dyn FnOnce() + Send>) -> LogEnd {
        let text = String::from_utf8_lossy(&job.offer.body).into_owned();
        let (request, tokens) = text.split_once(' ').unwrap_or((&text, "0"));
        let tokens: u64 = tokens.parse().unwrap_or(0);
        let at = self.started.elapsed().as_millis() as u64;
        self.runs.lock().expect("no run panics").push(FakeRun { request: request.to_owned(), at });
        if tokens == 0 {
            self.pause().await;
            first_event();
            let head = AnswerHead { status: 200, headers: Vec::new() };
            return LogEnd::Whole { head, body: Bytes::from(request.to_owned()) };
        }
        let breaks_left = self.streams_to_break.load(Ordering::Relaxed);
        self.streams_to_break.store(breaks_left.saturating_sub(1), Ordering::Relaxed);
        let resumed = job.offer.resume_after.unwrap_or(0);
        let mut first_event = Some(first_event);
        for position in resumed + 1..=tokens {
            if breaks_left > 0 && position > resumed + TOKENS_BEFORE_BREAK {
                let (reason, verdict) = (RefusalReason::BackendFailed, RunVerdict::MayHaveRun);
                return LogEnd::Refused { reason, verdict, retry_at: None };
            }
            self.pause().await;
            if let Some(call) = first_event.take() {
                call();
            }
            if job.log.push(position, token(request, position)).is_err() {
                break;
            }
        }
        if job.log.push(tokens + 1, Bytes::from_static(DONE_MARKER.as_bytes())).is_err() {
            let (reason, verdict) = (RefusalReason::BackendFailed, RunVerdict::MayHaveRun);
            return LogEnd::Refused { reason, verdict, retry_at: None };
        }
        LogEnd::StreamDone
    }
}

/// Runs jobs on a fake back end.
#[derive(Debug, Clone)]
pub struct FakeRunner(pub Arc<FakeBackend>);

impl BackendRunner for FakeRunner {
    fn run(&self, job: RunJob, first_event: Box<dyn FnOnce() + Send>) -> BoxFuture<'static, ()> {
        let backend = Arc::clone(&self.0);
        Box::pin(async move {
            let end = backend.answer(&job, first_event).await;
            job.log.finish(end);
        })
    }

    fn pace(&self) -> BoxFuture<'static, Result<EnginePace, CallError>> {
        Box::pin(std::future::ready(Ok(EnginePace::default())))
    }
}
