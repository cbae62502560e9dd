//! Answers to callers: those of targets with their own bytes, and refusals of ours.

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use porthoist_core::RefusalReason;
use std::io;

/// A body that arrives piece by piece; an error ends the connection so that nobody takes it for whole.
pub type PieceStream = LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>;
/// Body of every answer to a caller.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<PieceStream>>;
/// An answer to a caller.
pub type Reply = Response<ReplyBody>;

/// Headers that concern one connection only (RFC 9110, section 7.6.1, and what came before it).
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

/// Removes what concerns one connection only, with what `Connection` names.
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

/// Headers of a target's answer as the caller gets them.
pub fn relayed_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}

/// An answer that is sent whole.
pub fn whole_reply(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// An answer that is sent as it comes.
pub fn piecewise_reply(status: StatusCode, headers: HeaderMap, pieces: PieceStream) -> Reply {
    let mut reply = Response::new(Either::Right(StreamBody::new(pieces)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// A refusal or failure of our own. `retry_millis` says when the caller should come back.
pub fn own_reply(status: StatusCode, reason: RefusalReason, retry_millis: Option<u64>) -> Reply {
    let text = format!("{reason}\n");
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(millis) = retry_millis {
        let seconds = format!("{:.2}", millis as f64 / 1000.0);
        let value = HeaderValue::from_str(&seconds).expect("digits and a point fit a header");
        headers.insert(RETRY_AFTER, value);
    }
    whole_reply(status, headers, Bytes::from(text))
}
