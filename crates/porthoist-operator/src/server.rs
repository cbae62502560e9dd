//! HTTP server for operators.

use crate::edit::{EditProblem, RowEdit, TableEditor, VersionedRow};
use crate::status::StatusReport;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use porthoist_core::RequestId;
use porthoist_core::secret::SharedSecret;
use porthoist_http::{HttpResponse, json_response, text_response};
use porthoist_metrics::MetricsHub;
use porthoist_policy::decision_log::DecisionRecord;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Largest body of an edit in bytes, which is enough for 41,000 rows.
const MAX_EDIT_BYTES: usize = 32 * 1024 * 1024;

/// Interface to the process that the server reports on.
pub trait OperatorPort: fmt::Debug + Send + Sync {
    /// Returns the status report.
    fn status(&self) -> StatusReport;
    /// Whether the process accepts work.
    fn ready(&self) -> bool;
    /// Returns the recorded decisions on a request.
    fn decisions(&self, request: RequestId) -> Vec<DecisionRecord>;
}

/// The server for operators. Clones share their state.
#[derive(Debug, Clone)]
pub struct OperatorServer {
    token: SharedSecret,
    port: Arc<dyn OperatorPort>,
    editor: TableEditor,
    metrics: Arc<MetricsHub>,
}

/// An edit as sent by the command-line tool.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Identifies the edit: random, and new for each one.
    pub edit: String,
    /// The edited rows.
    pub rows: Vec<RowEdit>,
}

/// The table as read by the command-line tool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableAnswer {
    /// The table's revision.
    pub revision: u64,
    /// All rows.
    pub rows: Vec<VersionedRow>,
}

impl OperatorServer {
    /// Creates a server that requires `token`.
    pub fn new(
        token: SharedSecret,
        port: Arc<dyn OperatorPort>,
        editor: TableEditor,
        metrics: Arc<MetricsHub>,
    ) -> Self {
        Self { token, port, editor, metrics }
    }

    /// Handles one request. Health checks and metrics need no token: they reveal no caller and change nothing.
    pub async fn handle(self, request: Request<Incoming>) -> HttpResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => return text_response(StatusCode::OK, "live\n"),
            (&Method::GET, "/readyz") => return self.readiness(),
            (&Method::GET, "/metrics") => {
                return text_response(StatusCode::OK, self.metrics.to_prometheus_text());
            }
            _ => {}
        }
        if !self.authorized(&request) {
            return text_response(StatusCode::UNAUTHORIZED, "not allowed\n");
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/v1/status") => json_response(StatusCode::OK, &self.port.status()),
            (Method::GET, "/v1/table") => self.table().await,
            (Method::POST, "/v1/table") => self.edit(request).await,
            (Method::GET, path) if path.starts_with("/v1/explain/") => self.explain(path),
            (_, path) => text_response(StatusCode::NOT_FOUND, format!("no such path: {path}\n")),
        }
    }

    fn authorized(&self, request: &Request<Incoming>) -> bool {
        let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
        let bearer = header.and_then(|text| text.strip_prefix("Bearer "));
        self.token.matches(bearer.unwrap_or("").as_bytes())
    }

    fn readiness(&self) -> HttpResponse {
        if self.port.ready() {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    async fn table(&self) -> HttpResponse {
        match self.editor.rows().await {
            Ok((revision, rows)) => json_response(StatusCode::OK, &TableAnswer { revision, rows }),
            Err(error) => text_response(StatusCode::BAD_GATEWAY, error.to_string()),
        }
    }

    async fn edit(&self, request: Request<Incoming>) -> HttpResponse {
        let collected = Limited::new(request.into_body(), MAX_EDIT_BYTES).collect().await;
        let bytes = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let edit: EditRequest = match parse_edit(&bytes) {
            Ok(edit) => edit,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.editor.commit(&edit.rows, &edit.edit).await {
            Ok(answer) => json_response(StatusCode::OK, &answer),
            Err(problem) => {
                let status = match &problem {
                    EditProblem::Cell { .. } => StatusCode::BAD_REQUEST,
                    EditProblem::Conflict { .. } => StatusCode::CONFLICT,
                    EditProblem::Platform { .. } => StatusCode::BAD_GATEWAY,
                };
                json_response(status, &problem)
            }
        }
    }

    fn explain(&self, path: &str) -> HttpResponse {
        let name = path.trim_start_matches("/v1/explain/");
        let request = name.rsplit('-').next().unwrap_or(name);
        let Ok(id) = request.parse::<RequestId>() else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "expected the value of a porthoist-request header\n",
            );
        };
        let decisions = self.port.decisions(id);
        if decisions.is_empty() {
            let text = "nothing is kept on this request here: it came through another entry, or is too old\n";
            return text_response(StatusCode::NOT_FOUND, text);
        }
        json_response(StatusCode::OK, &decisions)
    }
}

fn parse_edit(bytes: &Bytes) -> Result<EditRequest, serde_json::Error> {
    serde_json::from_slice(bytes)
}
