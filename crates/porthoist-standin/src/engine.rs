//! Stand-in of a model engine: streamed completions, load, cache events and orders with fencing numbers.
//!
//! The text is a function of the prompt, so that a resumed stream can be compared with an uninterrupted one.

use crate::group::GroupStandin;
use crate::journal::RunJournal;
use crate::{broken_response, empty_response, read_json};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use porthoist_http::{HttpResponse, json_response, text_response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Faults and speed of the engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Time between tokens in milliseconds, 0 for none.
    pub step_ms: u64,
    /// Whether every completion fails with status 500.
    pub fail: bool,
    /// Number of streams that break after `break_after` events.
    pub breaks: u32,
    /// Number of events before a break.
    pub break_after: u64,
    /// Whether every event is sent twice.
    pub repeat_events: bool,
    /// Whether the events of each pair are swapped.
    pub swap_events: bool,
}

#[derive(Debug, Default)]
struct EngineState {
    faults: EngineFaults,
    journal: RunJournal,
    fence: u64,
    checks_fence: bool,
}

/// A model engine in memory. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct EngineStandin {
    state: Arc<Mutex<EngineState>>,
    group: GroupStandin,
}

/// Body of a `POST /orders` request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number. An order is refused unless its number is higher than all earlier ones.
    pub fence: u64,
    /// Contents of the order, which the stand-in ignores.
    pub order: Value,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u64 {
    16
}

const ANSWER_WORDS: [&str; 16] = [
    "form", "stamp", "border", "refund", "receipt", "route", "plough", "salt", "junction", "front", "hill",
    "desk", "queue", "shift", "note", "clear",
];

/// Returns the word at a position, counted from 1, of the completion of a prompt.
pub fn answer_word(prompt: &str, position: u64) -> &'static str {
    let digest = prompt.bytes().fold(position.wrapping_mul(0x9e37_79b9), |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ANSWER_WORDS[(digest >> 16) as usize % ANSWER_WORDS.len()]
}

impl EngineStandin {
    /// Creates an engine that refuses orders with an old fencing number if `checks_fence` is set.
    pub fn new(checks_fence: bool) -> Self {
        let standin = Self::default();
        standin.state().checks_fence = checks_fence;
        standin
    }

    /// Returns the engine's member of the rank group.
    pub fn group(&self) -> GroupStandin {
        self.group.clone()
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => self.complete(&path, request).await,
            (Method::GET, "/load") => self.load_response(),
            (Method::GET, "/group") => self.group.state_response(),
            (Method::POST, "/group") => self.group.apply_order(request).await,
            (Method::GET, "/experts") => self.group.window_response(),
            (Method::POST, "/experts/load") => self.group.load_experts(request).await,
            (Method::POST, "/standin/experts") => self.group.set_window(request).await,
            (Method::GET, "/standin/group") => self.group.record_response(),
            (Method::POST, "/orders") => self.apply_order(request).await,
            (Method::GET, "/orders") => {
                json_response(StatusCode::OK, &json!({ "fence": self.state().fence }))
            }
            (Method::GET, "/standin/journal") => json_response(StatusCode::OK, &self.state().journal.runs()),
            (Method::POST, "/standin/faults") => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    empty_response()
                }
                Err(response) => response,
            },
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn load_response(&self) -> HttpResponse {
        let step_micros = self.state().faults.step_ms * 1000;
        json_response(StatusCode::OK, &json!({ "step_micros": step_micros, "prefill_rate": 0 }))
    }

    async fn apply_order(&self, request: Request<Incoming>) -> HttpResponse {
        let order: EngineOrder = match read_json(request).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let mut state = self.state();
        if state.checks_fence && order.fence <= state.fence {
            return json_response(StatusCode::CONFLICT, &json!({ "fence": state.fence }));
        }
        state.fence = state.fence.max(order.fence);
        json_response(StatusCode::OK, &json!({ "fence": state.fence }))
    }

    async fn complete(&self, path: &str, request: Request<Incoming>) -> HttpResponse {
        let last_event =
            request.headers().get("last-event-id").and_then(|value| value.to_str().ok()?.parse().ok());
        let Ok(body) = request.into_body().collect().await else {
            return broken_response();
        };
        let bytes = body.to_bytes();
        let completion: CompletionRequest = match serde_json::from_slice(&bytes) {
            Ok(completion) => completion,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let faults = {
            let mut state = self.state();
            state.journal.record(path, &bytes);
            let faults = state.faults.clone();
            state.faults.breaks = state.faults.breaks.saturating_sub(1);
            faults
        };
        if faults.fail {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "engine failed");
        }
        let messages: String = completion.messages.iter().map(Value::to_string).collect();
        let prompt = completion.prompt.clone() + &messages;
        if completion.stream {
            return stream_response(prompt, completion.max_tokens, last_event.unwrap_or(0), &faults);
        }
        tokio::time::sleep(Duration::from_millis(faults.step_ms * completion.max_tokens)).await;
        let words: Vec<_> =
            (1..=completion.max_tokens).map(|position| answer_word(&prompt, position)).collect();
        json_response(StatusCode::OK, &json!({ "choices": [{ "text": words.join(" ") }] }))
    }
}

fn event_bytes(prompt: &str, id: u64, tokens: u64) -> Bytes {
    if id > tokens {
        return Bytes::from(format!("id: {id}\ndata: [DONE]\n\n"));
    }
    let data = json!({ "choices": [{ "text": answer_word(prompt, id) }] });
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

fn event_order(first: u64, last: u64, faults: &EngineFaults) -> Vec<u64> {
    let mut ids: Vec<u64> = (first..=last).collect();
    if faults.swap_events {
        for pair in ids.chunks_exact_mut(2) {
            pair.swap(0, 1);
        }
    }
    if faults.repeat_events {
        ids = ids.into_iter().flat_map(|id| [id, id]).collect();
    }
    ids
}

fn stream_response(prompt: String, tokens: u64, last_event: u64, faults: &EngineFaults) -> HttpResponse {
    let ids = event_order(last_event + 1, tokens + 1, faults);
    let step_ms = faults.step_ms;
    let break_at = if faults.breaks > 0 { faults.break_after } else { u64::MAX };
    let events = futures::stream::unfold(0_u64, move |sent| {
        let next = ids.get(sent as usize).copied();
        let prompt = prompt.clone();
        async move {
            if sent >= break_at {
                return (sent == break_at)
                    .then(|| (Err(io::Error::from(io::ErrorKind::ConnectionReset)), sent + 1));
            }
            let id = next?;
            if step_ms > 0 {
                tokio::time::sleep(Duration::from_millis(step_ms)).await;
            }
            Some((Ok(Frame::data(event_bytes(&prompt, id, tokens))), sent + 1))
        }
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}
