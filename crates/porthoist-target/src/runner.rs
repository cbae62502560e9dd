//! Calls to the engine or plain service next to the target process.
//!
//! A run's answer is written to its log. A failure says whether the request may have run.

use crate::answer_log::{AnswerLog, LogEnd};
use crate::offers::{FirstEvent, MAX_RETAINED_BYTES, OffersActor, RunEnded};
use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures::future::BoxFuture;
use futures::{Stream, StreamExt as _};
use http_body_util::{BodyExt as _, BodyStream, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response};
use kameo::actor::ActorRef;
use porthoist_core::{AnswerHead, RefusalReason, RepeatPolicy, RequestOffer, RunVerdict};
use porthoist_http::client::UNFRAMED_ANSWER;
use porthoist_http::{ByteBudget, CallError, HeldBytes, HttpClient, PieceCollector, is_framed};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A request to run, with the log for its answer.
#[derive(Debug, Clone)]
pub struct RunJob {
    /// The request.
    pub offer: Arc<RequestOffer>,
    /// Receives the answer.
    pub log: Arc<AnswerLog>,
}

/// Speed that an engine reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct EnginePace {
    /// Duration of one step in microseconds.
    pub step_micros: u32,
    /// Prompt tokens processed per second; 0 if prompts take no time.
    pub prefill_rate: u32,
}

/// Runs requests on a back end.
pub trait BackendRunner: fmt::Debug + Send + Sync {
    /// Runs a request to its end; calls `first_event` at the first event.
    fn run(&self, job: RunJob, first_event: Box<dyn FnOnce() + Send>) -> BoxFuture<'static, ()>;
    /// Reads the engine's pace; a plain service has none.
    fn pace(&self) -> BoxFuture<'static, Result<EnginePace, CallError>>;
}

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 10 * 1024 * 1024;
/// Maximum number of bytes read of a connection for an answer: small pieces take as many again for their framing.
const MAX_READ_BYTES: usize = 2 * MAX_ANSWER_BYTES;
/// Bytes of all answers in progress. An eighth of it and of what is retained is left to a single one.
const MAX_RUNNING_BYTES: usize = 48 * 1024 * 1024;
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Memory of an event in bytes, in addition to its data.
const EVENT_OVERHEAD_BYTES: usize = 96;

/// Maximum size of a reading of the pace in bytes: two numbers.
const MAX_PACE_BYTES: usize = 64 * 1024;

/// Runs requests on a back end over HTTP.
#[derive(Debug, Clone)]
pub struct HttpRunner {
    base: String,
    client: HttpClient,
    /// Reads the pace, in a pool of its own: its failures drop no connection of a request.
    pace_client: HttpClient,
    /// Bytes of all answers, retained ones included.
    budget: Arc<ByteBudget>,
}

/// Headers of the answer that concern only its connection and are not passed on.
const HOP_HEADERS: [&str; 5] = ["connection", "content-length", "keep-alive", "transfer-encoding", "date"];

impl HttpRunner {
    /// Creates a runner for the back end at `base`, for example `http://127.0.0.1:9000`.
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            base: base.into().trim_end_matches('/').to_owned(),
            client: HttpClient::with_answer_bytes(MAX_READ_BYTES),
            pace_client: HttpClient::with_answer_bytes(MAX_PACE_BYTES),
            budget: ByteBudget::new((MAX_RUNNING_BYTES + MAX_RETAINED_BYTES) as u64),
        }
    }

    fn build_request(&self, offer: &RequestOffer) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder =
            Request::builder().method(offer.method.as_str()).uri(format!("{}{}", self.base, offer.path));
        for (name, value) in &offer.headers {
            builder = builder.header(name, value);
        }
        builder = builder.header("porthoist-attempt", offer.attempt.to_string());
        if let Some(event) = offer.resume_after {
            builder = builder.header("last-event-id", event);
        }
        builder.body(Full::new(offer.body.clone())).map_err(|error| CallError::not_sent(error.to_string()))
    }

    async fn run_request(
        self,
        job: &RunJob,
        first_event: Box<dyn FnOnce() + Send>,
    ) -> Result<LogEnd, CallError> {
        let response = self.client.send(self.build_request(&job.offer)?).await?;
        let streamed = job.offer.stream && response.status().is_success();
        if streamed {
            let mut held = self.budget.guard();
            let end = stream_events(response, &job.log, &mut held, first_event).await;
            job.log.hold(held.split(usize::MAX));
            return end;
        }
        // Nobody could tell the answer of a back end that died from a whole one.
        if !is_framed(response.headers(), response.body()) {
            return Err(CallError::unknown(UNFRAMED_ANSWER));
        }
        let head = answer_head(&response);
        let body = collect_body(response.into_body(), self.budget.guard()).await?;
        first_event();
        Ok(LogEnd::Whole { head, body })
    }
}

/// Reads a complete body, which is held until it is dropped.
async fn collect_body(body: Incoming, held: HeldBytes) -> Result<Bytes, CallError> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|announced| announced > MAX_ANSWER_BYTES as u64) {
        return Err(CallError::unknown("the answer is too large"));
    }
    let mut collector = PieceCollector::new(held, announced);
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::unknown(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        collector.push_when_free(&data).await.map_err(|error| CallError::unknown(error.to_string()))?;
    }
    Ok(collector.finish_whole())
}

/// Reads the data of a body, and fails if more bytes come than an event may have. `unfinished` are those since the last event.
fn limited_events(
    body: Incoming,
    unfinished: Arc<AtomicUsize>,
) -> impl Stream<Item = Result<Bytes, CallError>> {
    BodyStream::new(body).filter_map(move |piece| {
        let piece = match piece {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(CallError::unknown(error.to_string()))),
        };
        let bytes = piece.as_ref().map_or(0, |piece| piece.as_ref().map_or(0, Bytes::len));
        let before = unfinished.fetch_add(bytes, Ordering::Relaxed);
        let is_too_large = before > MAX_EVENT_BYTES;
        let piece = if is_too_large { Some(Err(CallError::unknown("an event is too large"))) } else { piece };
        std::future::ready(piece)
    })
}

fn answer_head(response: &Response<Incoming>) -> AnswerHead {
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        if let Ok(text) = value.to_str() {
            headers.push((name.as_str().to_owned(), text.to_owned()));
        }
    }
    AnswerHead { status: response.status().as_u16(), headers }
}

async fn stream_events(
    response: Response<Incoming>,
    log: &AnswerLog,
    held: &mut HeldBytes,
    first_event: Box<dyn FnOnce() + Send>,
) -> Result<LogEnd, CallError> {
    let mut first_event = Some(first_event);
    let unfinished = Arc::new(AtomicUsize::new(0));
    let mut events = Box::pin(limited_events(response.into_body(), Arc::clone(&unfinished)).eventsource());
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| CallError::unknown(error.to_string()))?;
        unfinished.store(0, Ordering::Relaxed);
        if let Some(call) = first_event.take() {
            call();
        }
        let id = event.id.parse().map_err(|_parse| CallError::unknown("an event without a number"))?;
        let done = event.data == DONE_MARKER;
        let bytes = event.data.len() + EVENT_OVERHEAD_BYTES;
        if held.bytes() as usize + bytes > MAX_ANSWER_BYTES {
            return Err(CallError::unknown("the answer is too large"));
        }
        held.grow(bytes).await.map_err(|error| CallError::unknown(error.to_string()))?;
        log.push(id, Bytes::copy_from_slice(event.data.as_bytes()))
            .map_err(|gap| CallError::unknown(format!("event {} came for {}", gap.given, gap.expected)))?;
        if done {
            return Ok(LogEnd::StreamDone);
        }
    }
    Err(CallError::unknown("the stream ended without its end mark"))
}

/// Data of the last event of a completion's stream.
pub const DONE_MARKER: &str = "[DONE]";

impl BackendRunner for HttpRunner {
    fn run(&self, job: RunJob, first_event: Box<dyn FnOnce() + Send>) -> BoxFuture<'static, ()> {
        let runner = self.clone();
        Box::pin(async move {
            let end = match runner.run_request(&job, first_event).await {
                Ok(LogEnd::Whole { head, .. }) if head.status >= 500 && job.offer.kind == MODEL => {
                    engine_failure()
                }
                Ok(end) => end,
                Err(error) => {
                    let reason = match error.verdict {
                        RunVerdict::NotRun => RefusalReason::Unreachable,
                        _ => RefusalReason::BackendFailed,
                    };
                    LogEnd::Refused { reason, verdict: error.verdict, retry_at: None }
                }
            };
            job.log.finish(end);
        })
    }

    fn pace(&self) -> BoxFuture<'static, Result<EnginePace, CallError>> {
        let (base, client) = (self.base.clone(), self.pace_client.clone());
        Box::pin(async move {
            let url = format!("{base}/load");
            let (_status, pace) = client.json(hyper::Method::GET, &url, None::<&()>).await?;
            Ok(pace)
        })
    }
}

const MODEL: porthoist_core::ServiceKind = porthoist_core::ServiceKind::Model;

/// The outcome for an engine's own error: the request may have run, and a safe one can be sent to another target.
fn engine_failure() -> LogEnd {
    let reason = RefusalReason::BackendFailed;
    LogEnd::Refused { reason, verdict: RunVerdict::MayHaveRun, retry_at: None }
}

/// Runs a job and reports its first event and its end to the offers actor.
///
/// An abandoned run is cancelled if its request may be repeated and has no ticket under which the answer may be fetched.
pub async fn run_to_end(job: RunJob, runner: Arc<dyn BackendRunner>, actor: ActorRef<OffersActor>) {
    let attempt = job.offer.attempt;
    let log = Arc::clone(&job.log);
    let cancellable = job.offer.repeat == RepeatPolicy::Safe && job.offer.ticket.is_none();
    let first_actor = actor.clone();
    let first_event = Box::new(move || {
        let _sent = first_actor.tell(FirstEvent(attempt)).try_send();
    });
    let run = runner.run(job, first_event);
    if cancellable {
        tokio::select! {
            () = run => {}
            () = log.wait_until_unfollowed() => {}
        }
    } else {
        run.await;
    }
    // If the log has no end yet, the run was cancelled.
    let (reason, verdict) = (RefusalReason::DeadlinePassed, RunVerdict::MayHaveRun);
    log.finish(LogEnd::Refused { reason, verdict, retry_at: None });
    // Sending fails only when the process is shutting down.
    let _sent = actor.tell(RunEnded(attempt)).await;
}
