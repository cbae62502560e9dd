//! Bodies and small responses.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::io;

/// The body type of every response that porthoist writes.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// A response with that body.
pub type HttpResponse = Response<HttpBody>;

/// A body that is sent whole.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response with a body and content type.
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

/// A plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    typed_response(status, "text/plain; charset=utf-8", text.into())
}

/// A JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed_response(status, "application/json", bytes),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Bytes beyond the limit that are read and thrown away, so that the answer is not lost: a server that closes a
/// connection with unread bytes resets it, and its caller may never see why.
const DISCARD_BYTES: usize = 64 * 1024 * 1024;

/// A body that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than the limit in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It broke off, or its framing is wrong.
    #[error("the body can't be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body up to a limit. A longer one is read to its end all the same, within bounds, before the error.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut kept = BytesMut::new();
    let mut length = 0_usize;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        length = length.saturating_add(data.len());
        if length <= limit {
            kept.extend_from_slice(&data);
        } else if length > limit.saturating_add(DISCARD_BYTES) {
            break;
        }
    }
    if length > limit { Err(BodyError::TooLong(limit)) } else { Ok(kept.freeze()) }
}
