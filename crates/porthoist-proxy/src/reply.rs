//! Responses to callers: those of targets, and the proxy's own refusals.

use crate::complete_body::CompleteBody;
use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use porthoist_core::RefusalReason;
use porthoist_http::PiecedBody;
use std::io;

/// A streamed body. An error closes the connection, so that the caller does not take the body for complete.
pub type BodyStream = LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>;
/// Body of a response to a caller.
pub type ReplyBody = Either<CompleteBody, StreamBody<BodyStream>>;
/// A response to a caller.
pub type CallerReply = Response<ReplyBody>;

/// Hop-by-hop headers (RFC 9110, section 7.6.1, and older ones).
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authenticate"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Headers of a target's response that are forwarded to the caller.
pub fn relayed_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}

/// Creates a response with a complete body.
pub fn complete_reply(status: StatusCode, headers: HeaderMap, body: CompleteBody) -> CallerReply {
    let mut reply = Response::new(Either::Left(body));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Creates a response with a streamed body.
pub fn streamed_reply(status: StatusCode, headers: HeaderMap, stream: BodyStream) -> CallerReply {
    let mut reply = Response::new(Either::Right(StreamBody::new(stream)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Creates a refusal or error of the proxy itself. `retry_millis` is the time after which the caller should
/// retry.
pub fn refusal_reply(status: StatusCode, reason: RefusalReason, retry_millis: Option<u64>) -> CallerReply {
    let text = format!("{reason}\n");
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(millis) = retry_millis {
        let seconds = format!("{:.2}", millis as f64 / 1000.0);
        let value = HeaderValue::from_str(&seconds).expect("digits and a point fit a header");
        headers.insert(RETRY_AFTER, value);
    }
    complete_reply(status, headers, PiecedBody::from(Bytes::from(text)).into())
}
