//! Calls to the engine or plain service next to the target process.
//!
//! A run's answer is written to its log. A failure says whether the request may have run.

use crate::answer_log::{AnswerLog, LogEnd};
use crate::offers::{FirstEvent, OffersActor, RunEnded};
use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures::StreamExt as _;
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, BodyStream, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use kameo::actor::ActorRef;
use porthoist_core::{AnswerHead, RefusalReason, RepeatPolicy, RequestOffer, RunVerdict};
use porthoist_http::{CallError, HttpClient};
use std::fmt;
use std::sync::Arc;

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

/// Runs requests on a back end over HTTP.
#[derive(Debug, Clone)]
pub struct HttpRunner {
    base: String,
    client: HttpClient,
}

/// Headers of the answer that concern only its connection and are not passed on.
const HOP_HEADERS: [&str; 5] = ["connection", "content-length", "keep-alive", "transfer-encoding", "date"];

impl HttpRunner {
    /// Creates a runner for the back end at `base`, for example `http://127.0.0.1:9000`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { base: base.into().trim_end_matches('/').to_owned(), client: HttpClient::new() }
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
            return stream_events(response, &job.log, first_event).await;
        }
        let head = answer_head(&response);
        let body =
            response.into_body().collect().await.map_err(|error| CallError::unknown(error.to_string()))?;
        first_event();
        Ok(LogEnd::Whole { head, body: body.to_bytes() })
    }
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
    first_event: Box<dyn FnOnce() + Send>,
) -> Result<LogEnd, CallError> {
    let mut first_event = Some(first_event);
    let pieces = BodyStream::new(response.into_body()).filter_map(|piece| async {
        match piece {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(error)),
        }
    });
    let mut events = Box::pin(pieces.eventsource());
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| CallError::unknown(error.to_string()))?;
        if let Some(call) = first_event.take() {
            call();
        }
        let id = event.id.parse().map_err(|_parse| CallError::unknown("an event without a number"))?;
        let done = event.data == DONE_MARKER;
        log.push(id, Bytes::from(event.data))
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
        let Self { base, client } = self.clone();
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
