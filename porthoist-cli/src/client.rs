//! Client of an operator endpoint.

use crate::error::ToolError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use porthoist_core::RunVerdict;
use porthoist_http::HttpClient;
use porthoist_operator::server::{EditRequest, TableAnswer};
use porthoist_operator::{EditAnswer, EditProblem, RowEdit, StatusReport, VersionedRow};
use porthoist_policy::decision_log::DecisionRecord;
use porthoist_policy::table::CellError;
use serde::de::DeserializeOwned;

/// Client of one process's operator endpoint.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    base: String,
    token: String,
    client: HttpClient,
}

impl OperatorClient {
    /// Creates a client of the endpoint at `base`, for example `http://127.0.0.1:8081`.
    pub fn new(base: impl Into<String>, token: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        Self { base, token: token.into(), client: HttpClient::new() }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Response<Bytes>, ToolError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| ToolError::Endpoint(error.to_string()))?;
        let answer = self.client.fetch(request).await;
        answer.map_err(|error| ToolError::Endpoint(format!("{}: {}", self.base, error.message)))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        let answer = self.call(Method::GET, path, Vec::new()).await?;
        match answer.status() {
            StatusCode::OK => parse_body(answer.body()),
            StatusCode::NOT_FOUND => Err(ToolError::Missing(body_text(&answer))),
            status => {
                Err(ToolError::Endpoint(format!("{}{path}: {status}: {}", self.base, body_text(&answer))))
            }
        }
    }

    /// Reads the table.
    pub async fn table(&self) -> Result<TableAnswer, ToolError> {
        self.get("/v1/table").await
    }

    /// Reads the status report.
    pub async fn status(&self) -> Result<StatusReport, ToolError> {
        self.get("/v1/status").await
    }

    /// Reads the decisions on a request.
    pub async fn explain(&self, request: &str) -> Result<Vec<DecisionRecord>, ToolError> {
        self.get(&format!("/v1/explain/{request}")).await
    }

    /// Commits an edit.
    pub async fn edit(&self, rows: Vec<RowEdit>) -> Result<EditAnswer, EditFailure> {
        let request = EditRequest { edit: format!("{:032x}", rand::random::<u128>()), rows };
        let body = serde_json::to_vec(&request).map_err(|error| ToolError::File(error.to_string()))?;
        let answer = self.call(Method::POST, "/v1/table", body).await?;
        match answer.status() {
            StatusCode::OK => Ok(parse_body(answer.body())?),
            StatusCode::BAD_REQUEST | StatusCode::CONFLICT | StatusCode::BAD_GATEWAY => {
                match parse_body::<EditProblem>(answer.body()) {
                    Ok(problem) => Err(EditFailure::Problem(problem)),
                    Err(_unreadable) => Err(ToolError::Endpoint(body_text(&answer)).into()),
                }
            }
            status => Err(ToolError::Endpoint(format!("{status}: {}", body_text(&answer))).into()),
        }
    }
}

/// Why an edit failed.
#[derive(Debug, thiserror::Error)]
pub enum EditFailure {
    /// The endpoint refused the edit.
    #[error("the edit was refused")]
    Problem(EditProblem),
    /// Any other error.
    #[error(transparent)]
    Tool(#[from] ToolError),
}

impl From<EditFailure> for ToolError {
    fn from(failure: EditFailure) -> Self {
        match failure {
            EditFailure::Tool(error) => error,
            EditFailure::Problem(EditProblem::Cell { column, given, expected, .. }) => {
                Self::Cell(CellError { column, given, expected })
            }
            EditFailure::Problem(EditProblem::Conflict { in_force }) => {
                Self::Conflict(rows_in_force_text(&in_force))
            }
            EditFailure::Problem(EditProblem::Platform { verdict: RunVerdict::NotRun, message }) => {
                Self::Endpoint(format!("nothing was changed: {message}"))
            }
            EditFailure::Problem(EditProblem::Platform { message, .. }) => Self::Unconfirmed(message),
        }
    }
}

fn rows_in_force_text(rows: &[Option<VersionedRow>]) -> String {
    let mut lines = Vec::with_capacity(rows.len());
    for row in rows {
        lines.push(match row {
            Some(row) => format!("in force: {}", crate::sheet::row_line(row)),
            None => "in force: no such row".to_owned(),
        });
    }
    lines.join("\n")
}

fn parse_body<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, ToolError> {
    serde_json::from_slice(bytes)
        .map_err(|error| ToolError::Endpoint(format!("unreadable response: {error}")))
}

fn body_text(answer: &Response<Bytes>) -> String {
    String::from_utf8_lossy(answer.body()).trim().to_owned()
}
