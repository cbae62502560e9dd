//! Small stand-ins for the outside systems, for tests and trials only.
//!
//! Each keeps its state in memory, listens on loopback, and has switches for the faults that porthoist must survive.

pub mod engine;
pub mod group;
pub mod journal;
pub mod platform;
pub mod service;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use porthoist_http::{HttpResponse, json_response, text_response};
use serde::de::DeserializeOwned;
use std::io;

/// Reads a JSON body, or explains what is wrong with it.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, HttpResponse> {
    let bad = |text: String| text_response(StatusCode::BAD_REQUEST, text);
    let bytes = request.into_body().collect().await.map_err(|error| bad(error.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| bad(error.to_string()))
}

/// An empty success.
pub(crate) fn done() -> HttpResponse {
    json_response(StatusCode::OK, &serde_json::json!({}))
}

/// An answer that never comes: its connection breaks.
pub(crate) fn broken() -> HttpResponse {
    let lost = futures::stream::once(async { Err(io::Error::from(io::ErrorKind::ConnectionReset)) });
    let body = http_body_util::StreamBody::new(lost);
    Response::new(BodyExt::boxed_unsync(body))
}

/// A parameter of the query.
pub(crate) fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    url::form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
