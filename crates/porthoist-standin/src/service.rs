//! Stand-in of a plain service: it echoes requests and records them in a journal.

use crate::journal::RunJournal;
use crate::{broken_response, empty_response, read_json};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use porthoist_http::{HttpResponse, json_response, text_response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Faults of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay of every call in milliseconds.
    pub delay_ms: u64,
    /// Number of calls that run but get no response.
    pub lose_answers: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    journal: RunJournal,
}

/// An echo service in memory. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandin {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/standin/journal" => return json_response(StatusCode::OK, &self.state().journal.runs()),
            "/standin/faults" => {
                return match read_json(request).await {
                    Ok(faults) => {
                        self.state().faults = faults;
                        empty_response()
                    }
                    Err(response) => response,
                };
            }
            "/load" => return text_response(StatusCode::NOT_FOUND, "a plain service reports no load"),
            _ => {}
        }
        let method = request.method().to_string();
        let Ok(body) = request.into_body().collect().await else {
            return broken_response();
        };
        let bytes = body.to_bytes();
        let (faults, run) = {
            let mut state = self.state();
            state.journal.record(&path, &bytes);
            let faults = state.faults.clone();
            state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
            (faults, state.journal.runs().len())
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.lose_answers > 0 {
            return broken_response();
        }
        let body = String::from_utf8_lossy(&bytes);
        json_response(StatusCode::OK, &json!({ "method": method, "path": path, "run": run, "body": body }))
    }
}
