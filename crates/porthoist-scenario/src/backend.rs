//! Fake back ends on virtual time, with a journal of what ran.

use bytes::Bytes;
use futures::future::BoxFuture;
use porthoist_core::{AnswerHead, RefusalReason, RunVerdict};
use porthoist_table::CallError;
use porthoist_target::runner::{DONE_MARK, EnginePace};
use porthoist_target::{BackendRunner, LogEnd, RunJob};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// One run.
#[derive(Debug, Clone)]
pub struct FakeRun {
    /// The request's name.
    pub request: String,
    /// When, in milliseconds from the start.
    pub at: u64,
}

/// A back end that outlives the process beside it.
#[derive(Debug)]
pub struct FakeBackend {
    step: u64,
    began: Instant,
    runs: Mutex<Vec<FakeRun>>,
    slowness: AtomicU64,
    breaks: AtomicU64,
}

/// Tokens after which a broken stream breaks.
const BREAK_AFTER: u64 = 3;

/// Name and answer length of a request, as the scenario writes them into its body.
pub fn body_of(request: &str, tokens: u64) -> Bytes {
    Bytes::from(format!("{request} {tokens}"))
}

/// The token at a position of a request's answer.
pub fn token(request: &str, position: u64) -> Bytes {
    Bytes::from(format!("{request}.{position}"))
}

impl FakeBackend {
    /// A back end whose token, or plain call, takes so many milliseconds.
    pub fn new(step: u64, began: Instant) -> Arc<Self> {
        let (runs, slowness, breaks) = (Mutex::default(), AtomicU64::new(1), AtomicU64::new(0));
        Arc::new(Self { step, began, runs, slowness, breaks })
    }

    /// Makes it slower by a factor.
    pub fn slow(&self, times: u64) {
        self.slowness.store(times, Ordering::Relaxed);
    }

    /// Breaks so many streams.
    pub fn break_streams(&self, count: u64) {
        self.breaks.store(count, Ordering::Relaxed);
    }

    /// What ran.
    pub fn runs(&self) -> Vec<FakeRun> {
        self.runs.lock().expect("no run panics").clone()
    }

    async fn pause(&self) {
        let millis = self.step * self.slowness.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    async fn answer(&self, job: &RunJob, first_event: Box<dyn FnOnce() + Send>) -> LogEnd {
        let text = String::from_utf8_lossy(&job.offer.body).into_owned();
        let (request, tokens) = text.split_once(' ').unwrap_or((&text, "0"));
        let tokens: u64 = tokens.parse().unwrap_or(0);
        let at = self.began.elapsed().as_millis() as u64;
        self.runs.lock().expect("no run panics").push(FakeRun { request: request.to_owned(), at });
        if tokens == 0 {
            self.pause().await;
            first_event();
            let head = AnswerHead { status: 200, headers: Vec::new() };
            return LogEnd::Whole { head, body: Bytes::from(request.to_owned()) };
        }
        let left = self.breaks.load(Ordering::Relaxed);
        self.breaks.store(left.saturating_sub(1), Ordering::Relaxed);
        let resumed = job.offer.resume_after.unwrap_or(0);
        let mut first_event = Some(first_event);
        for position in resumed + 1..=tokens {
            if left > 0 && position > resumed + BREAK_AFTER {
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
        if job.log.push(tokens + 1, Bytes::from_static(DONE_MARK.as_bytes())).is_err() {
            let (reason, verdict) = (RefusalReason::BackendFailed, RunVerdict::MayHaveRun);
            return LogEnd::Refused { reason, verdict, retry_at: None };
        }
        LogEnd::StreamDone
    }
}

/// A runner on a fake back end.
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
