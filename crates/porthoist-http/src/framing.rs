//! Where the body of an answer ends.

use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};

const CHUNKED: &str = "chunked";
const IDENTITY: &str = "identity";

/// Whether the end of a body shows that it is complete, and its bytes are the content. If only the end of the connection shows
/// it, a peer that was killed looks the same.
pub fn is_framed(headers: &HeaderMap, body: &impl Body) -> bool {
    !ends_with_connection(headers, body) && !has_foreign_coding(headers)
}

/// Whether only the end of the connection shows where the body of an answer ends.
pub fn ends_with_connection(headers: &HeaderMap, body: &impl Body) -> bool {
    body.size_hint().exact().is_none() && !is_chunked(headers)
}

/// Whether a body has a transfer coding besides chunks. It was not asked for, and its bytes are not the content.
pub fn has_foreign_coding(headers: &HeaderMap) -> bool {
    headers.get_all(TRANSFER_ENCODING).iter().any(|value| {
        let Ok(text) = value.to_str() else { return true };
        let mut codings = text.split(',').map(str::trim);
        codings.any(|coding| !coding.eq_ignore_ascii_case(CHUNKED) && !coding.eq_ignore_ascii_case(IDENTITY))
    })
}

/// Whether a body comes in chunks, which only the last coding states.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let text = last.map(HeaderValue::to_str).and_then(Result::ok);
    let coding = text.and_then(|text| text.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}
