//! Response bodies, and simple responses.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::io;

/// The body type of every response that porthoist sends.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// A response with that body.
pub type HttpResponse = Response<HttpBody>;

/// Creates a body that is sent at once.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a response with a body and content type.
pub fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> HttpResponse {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    typed_response(status, "text/plain; charset=utf-8", text.into())
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed_response(status, "application/json", bytes),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
