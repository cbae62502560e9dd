//! Stand-ins for external systems, for testing only.
//!
//! Each keeps its state in memory, listens on loopback by default, and can inject the faults that porthoist must tolerate.

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

/// Reads a JSON body. On failure, returns a response with status 400 and the reason.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, HttpResponse> {
    let bad_request = |text: String| text_response(StatusCode::BAD_REQUEST, text);
    let bytes =
        request.into_body().collect().await.map_err(|error| bad_request(error.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| bad_request(error.to_string()))
}

/// Returns status 200 with an empty object.
pub(crate) fn empty_response() -> HttpResponse {
    json_response(StatusCode::OK, &serde_json::json!({}))
}

/// Returns a response whose connection breaks before the body.
pub(crate) fn broken_response() -> HttpResponse {
    let frames = futures::stream::once(async { Err(io::Error::from(io::ErrorKind::ConnectionReset)) });
    let body = http_body_util::StreamBody::new(frames);
    Response::new(BodyExt::boxed_unsync(body))
}

/// Returns a query parameter.
pub(crate) fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    url::form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
