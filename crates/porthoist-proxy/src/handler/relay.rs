//! Relays a stream event by event, and resumes it at another target after the last event where the route
//! allows it.

use super::ProxyHandler;
use super::attempts::StreamPosition;
use super::request_guard::RequestGuard;
use super::stream_reader::{StreamReader, StreamStep};
use super::types::{AdmittedRequest, AnswerEnd, SendHistory};
use crate::connection_pool::SendFailure;
use crate::reply::BodyStream;
use crate::sse::CompleteEvent;
use bytes::Bytes;
use futures::StreamExt as _;
use hyper::body::Frame;
use porthoist_core::{RetryReason, UnixMillis};
use porthoist_policy::proxy::balancer::SendOutcome;
use slog::info;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// Share of a stream's time for which it may wait for its caller if its duration is to tell that of others.
const MAX_WAITED_PERCENT: u64 = 25;

/// A stream being relayed to a caller.
pub(super) struct EventRelay {
    handler: Rc<ProxyHandler>,
    admitted: Rc<AdmittedRequest>,
    /// When its first target got the request.
    began: UnixMillis,
    reader: Option<StreamReader>,
    /// The next step if it is known.
    first_step: Option<StreamStep>,
    last_id: Option<u64>,
    forwarded: u64,
    first_at: Option<UnixMillis>,
    last_at: UnixMillis,
    longest_pause: u64,
    /// Time in milliseconds during which the caller took nothing, or there was no room for held bytes.
    waited_millis: u64,
    history: SendHistory,
    guard: RequestGuard,
}

impl EventRelay {
    pub(super) fn new(
        handler: Rc<ProxyHandler>,
        admitted: Rc<AdmittedRequest>,
        reader: StreamReader,
        first_step: Option<StreamStep>,
        history: SendHistory,
        guard: RequestGuard,
    ) -> Self {
        let last_id = admitted.last_event_id();
        let last_at = handler.clock.now();
        admitted.progress.set_events(0);
        let began = reader.slot.assigned;
        Self {
            handler,
            admitted,
            began,
            reader: Some(reader),
            first_step,
            last_id,
            forwarded: 0,
            first_at: None,
            last_at,
            longest_pause: 0,
            waited_millis: 0,
            history,
            guard,
        }
    }

    /// Returns the stream as a response body.
    pub(super) fn into_body(self) -> BodyStream {
        futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_uncut_chunk().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        })
        .boxed_local()
    }

    /// Returns the next chunk unless the end of a drain cuts the stream before.
    async fn next_uncut_chunk(&mut self) -> Option<io::Result<Bytes>> {
        let handler = Rc::clone(&self.handler);
        if self.forwarded > 0 {
            self.waited_millis += handler.clock.now().since(self.last_at);
        }
        tokio::select! {
            biased;
            chunk = self.next_chunk() => return chunk,
            () = handler.drain.until_cut() => {}
        }
        self.guard.cut();
        Some(Err(self.end_incomplete("the process shuts down")))
    }

    /// Returns the next event's bytes, nothing at the regular end, or an error if the stream must end
    /// incomplete.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        let mut step = self.next_step().await;
        if let StreamStep::Broken(failure) = step {
            step = match self.resume(failure).await {
                Ok(step) => step,
                Err(error) => return Some(Err(error)),
            };
        }
        match step {
            StreamStep::Event(event) => Some(Ok(self.forward(event))),
            StreamStep::End(end) => {
                self.finish(end);
                None
            }
            StreamStep::Broken(failure) => Some(Err(self.end_incomplete(&failure.detail))),
        }
    }

    async fn next_step(&mut self) -> StreamStep {
        if let Some(step) = self.first_step.take() {
            return step;
        }
        let Some(reader) = &mut self.reader else {
            return StreamStep::Broken(SendFailure::lost("no target"));
        };
        // A caller that reads slowly delays the next read from the target, which is not silent for that. Where
        // this was counted, a stream read at 117 kB/s was moved to another target after 26 s.
        let bounded = self.handler.budget.bounded();
        let since = match self.forwarded {
            0 => reader.slot.assigned,
            _ if bounded => self.handler.clock.now(),
            _ => self.last_at,
        };
        let position = StreamPosition { since, events: self.forwarded, last_id: self.last_id };
        let step = self.handler.next_step(&self.admitted, reader, &mut self.history, position).await;
        self.waited_millis += reader.take_waited_millis();
        step
    }

    fn forward(&mut self, event: CompleteEvent) -> Bytes {
        let now = self.handler.clock.now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            if let Some(StreamReader { slot, .. }) = &self.reader {
                let first = now.since(slot.assigned) as f64;
                self.handler.dispatcher.first_event_received(&slot.target, first);
            }
            let first = now.since(self.admitted.arrival) as f64;
            self.handler.metrics.record_answer(first);
        } else {
            let pause = now.since(self.last_at);
            self.longest_pause = self.longest_pause.max(pause);
            self.handler.metrics.record_event_pause(pause as f64);
            if let Some(StreamReader { slot, .. }) = &self.reader {
                self.handler.dispatcher.event_received(&slot.target);
            }
        }
        if let Some(reader) = &self.reader {
            reader.slot.record_response();
        }
        self.last_at = now;
        self.forwarded += 1;
        self.admitted.progress.set_events(self.forwarded);
        self.last_id = event.id.or(self.last_id);
        match &mut self.reader {
            Some(reader) => reader.attach_held(event),
            None => event.bytes,
        }
    }

    fn finish(&mut self, end: AnswerEnd) {
        self.guard.completed.set(true);
        // A stream without events does not show that the target survives the request.
        if end == AnswerEnd::Proven && self.forwarded > 0 {
            self.handler.quarantine.record_answer(&*self.admitted);
        }
        self.handler.dispatcher.stream_ended(&self.admitted.service, self.forwarded);
        let Some(slot) = self.reader.take().map(StreamReader::release) else { return };
        let first = self.first_at.map(|first| first.since(self.admitted.arrival));
        self.record_duration();
        info!(self.handler.logger, "streamed"; "event" => "answered",
            "request" => &*self.admitted.metadata.attempt, "target" => slot.target.id.to_string(),
            "events" => self.forwarded, "first_ms" => first, "longest_pause_ms" => self.longest_pause,
            "took_ms" => self.handler.clock.now().since(self.admitted.arrival));
        slot.set_outcome(SendOutcome::Answered(first.unwrap_or_default() as f64));
    }

    /// Records the time that the stream took without its caller's share, unless that is too large to tell the rest.
    fn record_duration(&self) {
        let took_millis = self.handler.clock.now().since(self.began);
        if self.waited_millis * 100 <= took_millis * MAX_WAITED_PERCENT {
            self.handler.drain.record_duration(&self.admitted, self.began.plus(self.waited_millis));
        }
    }

    /// Resumes the stream at another target, or ends it incomplete.
    async fn resume(&mut self, broken: SendFailure) -> io::Result<StreamStep> {
        let handler = Rc::clone(&self.handler);
        if let Some(reader) = self.reader.take() {
            self.end_broken(reader, &broken).await;
        }
        let failure = SendFailure { reason: RetryReason::StreamResumed, ..broken };
        self.history.record_failure(&failure);
        if handler.allow_retry(&self.admitted, &self.history, &failure).is_err() {
            return Err(self.end_incomplete(&failure.detail));
        }
        match handler.resume_elsewhere(&self.admitted, &mut self.history, self.last_id).await {
            Ok((reader, step)) => {
                self.reader = Some(reader);
                Ok(step)
            }
            Err(refusal) => Err(self.end_incomplete(refusal.reason.as_str())),
        }
    }

    /// Records that a stream broke, unless that was done while another target was looked for.
    async fn end_broken(&mut self, mut reader: StreamReader, broken: &SendFailure) {
        if reader.slot.is_released() {
            return;
        }
        let handler = Rc::clone(&self.handler);
        let position = StreamPosition { since: self.last_at, events: self.forwarded, last_id: self.last_id };
        handler.log_broken_stream(&self.admitted, &reader.slot, position, broken);
        reader.close();
        let target = Arc::clone(&reader.slot.target);
        drop(reader);
        handler.check_lost_target(&self.admitted, &target, broken, &mut self.history).await;
    }

    fn end_incomplete(&self, detail: &str) -> io::Error {
        self.guard.completed.set(true);
        self.guard.unfinished.set(true);
        self.handler.record_unfinished_stream();
        info!(self.handler.logger, "stream ended incomplete"; "event" => "stream_unfinished",
            "request" => &*self.admitted.metadata.attempt, "events" => self.forwarded, "last_id" => self.last_id,
            "detail" => detail, "took_ms" => self.handler.clock.now().since(self.admitted.arrival));
        io::Error::other("the stream can't be resumed")
    }
}
