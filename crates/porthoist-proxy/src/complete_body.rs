//! The body of a complete response, which reports once all of it was taken for writing.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use porthoist_http::PiecedBody;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Follows the body of a response. It is dropped without a report if the connection ends before.
pub trait BodyWatch {
    /// The whole body was taken for writing.
    fn body_taken(&self);
}

/// A complete body whose end is reported.
pub struct CompleteBody {
    body: PiecedBody,
    watch: Option<Box<dyn BodyWatch>>,
}

impl CompleteBody {
    /// Creates a body whose end is reported.
    pub fn watched(body: PiecedBody, watch: Box<dyn BodyWatch>) -> Self {
        let mut watched = Self { body, watch: Some(watch) };
        watched.report_end();
        watched
    }

    /// Reports the end once nothing is left. An empty body is never read.
    fn report_end(&mut self) {
        if !self.body.is_empty() {
            return;
        }
        if let Some(watch) = self.watch.take() {
            watch.body_taken();
        }
    }
}

impl From<PiecedBody> for CompleteBody {
    fn from(body: PiecedBody) -> Self {
        Self { body, watch: None }
    }
}

impl fmt::Debug for CompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CompleteBody").field("bytes", &self.body.len()).finish_non_exhaustive()
    }
}

impl Body for CompleteBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.report_end();
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
