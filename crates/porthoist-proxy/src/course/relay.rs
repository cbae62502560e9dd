//! Relays a stream event by event, and resumes it at another target after the last event where the route
//! allows it.

use super::parts::{AdmittedRequest, SendRecord, TargetAnswer};
use super::{CourseGuard, ProxyHandler};
use crate::broker::TargetPlace;
use crate::events::{EventSplitter, WholeEvent};
use crate::exchange::{OpenAnswer, SendFailure};
use crate::reply::PieceStream;
use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use porthoist_core::{RetryReason, UnixMillis};
use porthoist_policy::proxy::balancer::SendOutcome;
use slog::info;
use std::io;
use std::rc::Rc;

/// A stream being relayed to a caller.
pub(super) struct EventRelay {
    course: Rc<ProxyHandler>,
    admitted: Rc<AdmittedRequest>,
    source: Option<EventSource>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    passed_on: u64,
    first_at: Option<UnixMillis>,
    last_at: UnixMillis,
    longest_pause: u64,
    record: SendRecord,
    guard: CourseGuard,
}

/// The target that a stream comes from.
struct EventSource {
    place: TargetPlace,
    answer: OpenAnswer,
}

/// The next step of a stream.
enum RelayStep {
    Event(WholeEvent),
    End,
    Broken(SendFailure),
}

impl EventRelay {
    pub(super) fn new(
        course: Rc<ProxyHandler>,
        admitted: Rc<AdmittedRequest>,
        place: TargetPlace,
        answer: OpenAnswer,
        record: SendRecord,
        guard: CourseGuard,
    ) -> Self {
        let after = super::header_text(&admitted.head.headers, super::LAST_EVENT_ID);
        let last_id = after.and_then(|text| text.trim().parse().ok());
        let last_at = course.clock.now();
        Self {
            course,
            admitted,
            source: Some(EventSource { place, answer }),
            splitter: EventSplitter::default(),
            last_id,
            passed_on: 0,
            first_at: None,
            last_at,
            longest_pause: 0,
            record,
            guard,
        }
    }

    /// Returns the stream as a response body.
    pub(super) fn pieces(self) -> PieceStream {
        futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_piece().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        })
        .boxed_local()
    }

    /// Returns the next event's bytes, nothing at the regular end, or an error if the stream must end
    /// incomplete.
    async fn next_piece(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let step = match self.next_step().await {
                RelayStep::Event(event) => match self.check(&event) {
                    Ok(()) => return Some(Ok(self.pass_on(event))),
                    Err(detail) => RelayStep::Broken(SendFailure::lost(detail)),
                },
                step => step,
            };
            match step {
                RelayStep::End => {
                    self.finish();
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
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => return RelayStep::Event(event),
                Ok(None) => {}
                Err(error) => return RelayStep::Broken(SendFailure::lost(error)),
            }
            let Some(source) = &mut self.source else {
                return RelayStep::Broken(SendFailure::lost("no target"));
            };
            let patience = self.course.patience(self.admitted.deadline);
            let since = if self.passed_on == 0 { source.place.placed } else { self.last_at };
            let (course, admitted, record) = (&self.course, &self.admitted, &self.record);
            let frame = tokio::select! {
                frame = tokio::time::timeout(patience, source.answer.body.frame()) => frame,
                cause = course.move_due(admitted, &source.place, record, since, self.passed_on) => {
                    return RelayStep::Broken(course.note_moved(admitted, &source.place, cause, since));
                }
            };
            match frame {
                Err(_elapsed) => return RelayStep::Broken(SendFailure::lost("stream not complete in time")),
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Ok(Some(Err(error))) => return RelayStep::Broken(SendFailure::closed(error)),
                Ok(None) if self.splitter.has_rest() => {
                    return RelayStep::Broken(SendFailure::closed("connection ended within an event"));
                }
                Ok(None) => return RelayStep::End,
            }
        }
    }

    /// Checks that event identifiers increase by one.
    fn check(&self, event: &WholeEvent) -> Result<(), String> {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) if id != last + 1 => Err(format!("event {id} came after {last}")),
            _ => Ok(()),
        }
    }

    fn pass_on(&mut self, event: WholeEvent) -> Bytes {
        let now = self.course.clock.now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            if let Some(source) = &self.source {
                self.course.dispatcher.began(&source.place.record, now.since(source.place.placed) as f64);
            }
            let first = now.since(self.admitted.arrival) as f64;
            self.course.metrics.answer(first);
        } else {
            let pause = now.since(self.last_at);
            self.longest_pause = self.longest_pause.max(pause);
            self.course.metrics.event_pause(pause as f64);
            if let Some(source) = &self.source {
                self.course.dispatcher.heard(&source.place.record);
            }
        }
        self.last_at = now;
        self.passed_on += 1;
        self.last_id = event.id.or(self.last_id);
        event.bytes
    }

    fn finish(&mut self) {
        self.guard.ended.set(true);
        self.course.quarantine.answered(&*self.admitted);
        self.course.dispatcher.streamed(&self.admitted.service, self.passed_on);
        let Some(EventSource { place, answer }) = self.source.take() else { return };
        let first = self.first_at.map(|first| first.since(self.admitted.arrival));
        info!(self.course.logger, "streamed"; "event" => "answered",
            "request" => &*self.admitted.facts.attempt, "target" => place.record.id.to_string(),
            "events" => self.passed_on, "first_ms" => first, "longest_pause_ms" => self.longest_pause,
            "took_ms" => self.course.clock.now().since(self.admitted.arrival));
        place.ended(SendOutcome::Answered(first.unwrap_or_default() as f64));
        answer.lease.give_back(&answer.head.headers);
    }

    /// Resumes the stream at another target, or ends it incomplete.
    async fn resume(&mut self, broken: SendFailure) -> io::Result<()> {
        let mut failure = broken;
        let mut target = None;
        if let Some(source) = self.source.take() {
            if failure.reason != RetryReason::Moved {
                source.place.ended(SendOutcome::Lost);
            }
            info!(self.course.logger, "stream broken"; "event" => "stream_broken",
                "request" => &*self.admitted.facts.attempt, "target" => source.place.record.id.to_string(),
                "events" => self.passed_on, "last_id" => self.last_id, "detail" => &failure.detail);
            target = Some(source.place.record.clone());
        }
        self.splitter.clear();
        loop {
            if let Some(target) = target.take() {
                self.course.note_lost(&self.admitted, &target, &failure, &mut self.record).await;
            }
            if failure.reason != RetryReason::Moved {
                failure.reason = RetryReason::StreamResumed;
            }
            self.record.failed(&failure);
            if self.course.allow_repeat(&self.admitted, &self.record, &failure).is_err() {
                return Err(self.give_up(&failure.detail));
            }
            let placed = self.course.permit_and_place(&self.admitted, &mut self.record).await;
            let Ok(place) = placed else {
                return Err(self.give_up("no slot to resume at"));
            };
            let sent = self.course.send(&self.admitted, &place, self.last_id, &mut self.record).await;
            match sent {
                Ok(TargetAnswer::Events(answer)) => {
                    self.source = Some(EventSource { place, answer });
                    return Ok(());
                }
                Ok(TargetAnswer::Whole(whole)) => {
                    failure = SendFailure::lost(format!("status {}", whole.status.as_u16()));
                }
                Err(next) => {
                    failure = next;
                    target = Some(place.record.clone());
                }
            }
        }
    }

    fn give_up(&self, detail: &str) -> io::Error {
        self.guard.ended.set(true);
        self.course.metrics.broken_stream();
        info!(self.course.logger, "stream ended incomplete"; "event" => "stream_unfinished",
            "request" => &*self.admitted.facts.attempt, "events" => self.passed_on, "last_id" => self.last_id,
            "detail" => detail, "took_ms" => self.course.clock.now().since(self.admitted.arrival));
        io::Error::other("the stream can't be resumed")
    }
}
