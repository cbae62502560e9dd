//! Relays a stream event by event, and resumes it at another target after the last event where the route
//! allows it.

use super::ProxyHandler;
use super::request_guard::RequestGuard;
use super::types::{AdmittedRequest, AnswerEnd, SendHistory, TargetAnswer};
use crate::connection_pool::{OpenAnswer, SendFailure};
use crate::dispatcher::TargetSlot;
use crate::reply::BodyStream;
use crate::sse::{CompleteEvent, EventSplitter};
use bytes::Bytes;
use futures::StreamExt as _;
use hyper::body::Frame;
use porthoist_core::{RetryReason, UnixMillis};
use porthoist_http::HeldBytes;
use porthoist_policy::proxy::balancer::SendOutcome;
use slog::info;
use std::io;
use std::rc::Rc;

/// Share of a stream's time for which it may wait for its caller if its duration is to tell that of others.
const MAX_WAITED_PERCENT: u64 = 25;

/// A stream being relayed to a caller.
pub(super) struct EventRelay {
    handler: Rc<ProxyHandler>,
    admitted: Rc<AdmittedRequest>,
    /// When its first target got the request.
    began: UnixMillis,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Counts the splitter's bytes.
    held: HeldBytes,
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

/// The target that a stream comes from.
struct StreamSource {
    slot: TargetSlot,
    answer: OpenAnswer,
    /// Whether only the end of the connection shows where the stream ends.
    unframed: bool,
}

impl StreamSource {
    fn new(slot: TargetSlot, answer: OpenAnswer) -> Self {
        let unframed = answer.ends_with_connection();
        Self { slot, answer, unframed }
    }
}

/// The next step of a stream.
enum RelayStep {
    Event(CompleteEvent),
    End(AnswerEnd),
    Broken(SendFailure),
}

impl EventRelay {
    pub(super) fn new(
        handler: Rc<ProxyHandler>,
        admitted: Rc<AdmittedRequest>,
        slot: TargetSlot,
        answer: OpenAnswer,
        history: SendHistory,
        guard: RequestGuard,
    ) -> Self {
        let after = super::header_text(&admitted.head.headers, super::LAST_EVENT_ID);
        let last_id = after.and_then(|text| text.trim().parse().ok());
        let last_at = handler.clock.now();
        let held = handler.budget.guard();
        admitted.progress.set_events(0);
        Self {
            handler,
            admitted,
            began: slot.assigned,
            source: Some(StreamSource::new(slot, answer)),
            splitter: EventSplitter::default(),
            held,
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
        loop {
            let step = match self.next_step().await {
                RelayStep::Event(event) => match self.check_event_order(&event) {
                    Ok(()) => return Some(Ok(self.forward(event))),
                    Err(detail) => RelayStep::Broken(SendFailure::lost(detail)),
                },
                step => step,
            };
            match step {
                RelayStep::End(end) => {
                    self.finish(end);
                    return None;
                }
                RelayStep::Broken(failure) => {
                    if let Err(error) = self.resume(failure).await {
                        return Some(Err(error));
                    }
                }
                RelayStep::Event(_event) => unreachable!("events were passed on above"),
            }
        }
    }

    async fn next_step(&mut self) -> RelayStep {
        // A caller that reads slowly delays the next read from the target, which is not silent for that. Where
        // this was counted, a stream read at 117 kB/s was moved to another target after 26 s.
        let bounded = self.handler.budget.bounded();
        let mut waiting_since = if bounded { self.handler.clock.now() } else { self.last_at };
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => return RelayStep::Event(event),
                Ok(None) => {}
                Err(error) => return RelayStep::Broken(SendFailure::lost(error)),
            }
            let Some(source) = &mut self.source else {
                return RelayStep::Broken(SendFailure::lost("no target"));
            };
            let remaining = self.handler.remaining_time(self.admitted.deadline);
            let since = if self.forwarded == 0 { source.slot.assigned } else { waiting_since };
            let (handler, admitted, history) = (&self.handler, &self.admitted, &self.history);
            let frame = tokio::select! {
                frame = tokio::time::timeout(remaining, source.answer.body.frame()) => frame,
                cause = handler.wait_for_move(admitted, &source.slot, history, since, self.forwarded) => {
                    return RelayStep::Broken(handler.record_move(admitted, &source.slot, cause, since));
                }
            };
            match frame {
                Err(_elapsed) => return RelayStep::Broken(SendFailure::lost("stream not complete in time")),
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    match self.hold(bytes.len()).await {
                        // The target is not silent while there is no room.
                        Ok(waited) => {
                            waiting_since = waiting_since.plus(waited);
                            self.waited_millis += waited;
                        }
                        Err(failure) => return RelayStep::Broken(failure),
                    }
                    self.splitter.push(&bytes);
                }
                Ok(Some(Err(failure))) => return RelayStep::Broken(failure),
                Ok(None) if self.splitter.has_partial_event() => {
                    return RelayStep::Broken(SendFailure::closed("connection ended within an event"));
                }
                Ok(None) if source.unframed => {
                    let end = self.handler.check_unframed_end(&source.slot.target).await;
                    return end.map_or_else(RelayStep::Broken, RelayStep::End);
                }
                Ok(None) => return RelayStep::End(AnswerEnd::Proven),
            }
        }
    }

    /// Counts bytes read from the target once there is room for them; nothing more is read before. Returns the
    /// time waited in milliseconds.
    async fn hold(&mut self, bytes: usize) -> Result<u64, SendFailure> {
        if !self.handler.budget.bounded() {
            return Ok(0);
        }
        let since = self.handler.clock.now();
        let remaining = self.handler.remaining_time(self.admitted.deadline);
        let held = tokio::time::timeout(remaining, self.held.grow(bytes)).await;
        held.map_err(|_elapsed| SendFailure::lost("no room for held bytes in time"))?
            .map_err(SendFailure::lost)?;
        Ok(self.handler.clock.now().since(since))
    }

    /// Checks that event identifiers increase by one.
    fn check_event_order(&self, event: &CompleteEvent) -> Result<(), String> {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) if id != last + 1 => Err(format!("event {id} came after {last}")),
            _ => Ok(()),
        }
    }

    fn forward(&mut self, event: CompleteEvent) -> Bytes {
        let now = self.handler.clock.now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            if let Some(source) = &self.source {
                self.handler
                    .dispatcher
                    .first_event_received(&source.slot.target, now.since(source.slot.assigned) as f64);
            }
            let first = now.since(self.admitted.arrival) as f64;
            self.handler.metrics.record_answer(first);
        } else {
            let pause = now.since(self.last_at);
            self.longest_pause = self.longest_pause.max(pause);
            self.handler.metrics.record_event_pause(pause as f64);
            if let Some(source) = &self.source {
                self.handler.dispatcher.event_received(&source.slot.target);
            }
        }
        self.last_at = now;
        self.forwarded += 1;
        self.admitted.progress.set_events(self.forwarded);
        self.last_id = event.id.or(self.last_id);
        self.held.split(event.bytes.len()).attach(event.bytes)
    }

    fn finish(&mut self, end: AnswerEnd) {
        self.guard.completed.set(true);
        // A stream without events does not show that the target survives the request.
        if end == AnswerEnd::Proven && self.forwarded > 0 {
            self.handler.quarantine.record_answer(&*self.admitted);
        }
        self.handler.dispatcher.stream_ended(&self.admitted.service, self.forwarded);
        let Some(StreamSource { slot, answer, .. }) = self.source.take() else { return };
        let first = self.first_at.map(|first| first.since(self.admitted.arrival));
        self.record_duration();
        info!(self.handler.logger, "streamed"; "event" => "answered",
            "request" => &*self.admitted.metadata.attempt, "target" => slot.target.id.to_string(),
            "events" => self.forwarded, "first_ms" => first, "longest_pause_ms" => self.longest_pause,
            "took_ms" => self.handler.clock.now().since(self.admitted.arrival));
        slot.set_outcome(SendOutcome::Answered(first.unwrap_or_default() as f64));
        answer.lease.release(&answer.head.headers);
    }

    /// Records the time that the stream took without its caller's share, unless that is too large to tell the rest.
    fn record_duration(&self) {
        let took_millis = self.handler.clock.now().since(self.began);
        if self.waited_millis * 100 <= took_millis * MAX_WAITED_PERCENT {
            self.handler.drain.record_duration(&self.admitted, self.began.plus(self.waited_millis));
        }
    }

    /// Resumes the stream at another target, or ends it incomplete.
    async fn resume(&mut self, broken: SendFailure) -> io::Result<()> {
        let mut failure = broken;
        let mut target = None;
        if let Some(source) = self.source.take() {
            if failure.reason != RetryReason::Moved {
                source.slot.set_outcome(SendOutcome::Lost);
            }
            info!(self.handler.logger, "stream broken"; "event" => "stream_broken",
                "request" => &*self.admitted.metadata.attempt, "target" => source.slot.target.id.to_string(),
                "events" => self.forwarded, "last_id" => self.last_id, "detail" => &failure.detail);
            target = Some(source.slot.target.clone());
        }
        self.splitter.clear();
        self.held.clear();
        loop {
            if let Some(target) = target.take() {
                self.handler.check_lost_target(&self.admitted, &target, &failure, &mut self.history).await;
            }
            if failure.reason != RetryReason::Moved {
                failure.reason = RetryReason::StreamResumed;
            }
            self.history.record_failure(&failure);
            if self.handler.allow_retry(&self.admitted, &self.history, &failure).is_err() {
                return Err(self.end_incomplete(&failure.detail));
            }
            let assigned = self.handler.acquire_permitted_slot(&self.admitted, &mut self.history).await;
            let Ok(slot) = assigned else {
                return Err(self.end_incomplete("no slot to resume at"));
            };
            let sent = self.handler.send(&self.admitted, &slot, self.last_id, &mut self.history).await;
            match sent {
                Ok(TargetAnswer::Stream(answer)) => {
                    self.source = Some(StreamSource::new(slot, answer));
                    return Ok(());
                }
                Ok(TargetAnswer::Complete(answer)) => {
                    failure = SendFailure::lost(format!("status {}", answer.status.as_u16()));
                }
                Err(next) => {
                    failure = next;
                    target = Some(slot.target.clone());
                }
            }
        }
    }

    fn end_incomplete(&self, detail: &str) -> io::Error {
        self.guard.completed.set(true);
        self.handler.metrics.record_broken_stream();
        info!(self.handler.logger, "stream ended incomplete"; "event" => "stream_unfinished",
            "request" => &*self.admitted.metadata.attempt, "events" => self.forwarded, "last_id" => self.last_id,
            "detail" => detail, "took_ms" => self.handler.clock.now().since(self.admitted.arrival));
        io::Error::other("the stream can't be resumed")
    }
}
