//! Request and response bodies, and simple responses.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
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

/// Bytes beyond the limit that are read and discarded, so that the answer is not lost: a server that closes a connection
/// with unread bytes resets it, and the caller may never see why.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Error of reading a body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The body is incomplete, or its framing is wrong.
    #[error("the body can't be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of up to `limit` bytes. A longer one is still read to its end, within bounds, before the error.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    let mut length = 0_usize;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        length = length.saturating_add(data.len());
        if length <= limit {
            collected.extend_from_slice(&data);
        } else if length > limit.saturating_add(MAX_DISCARDED_BYTES) {
            break;
        }
    }
    if length > limit { Err(BodyError::TooLong(limit)) } else { Ok(collected.freeze()) }
}
