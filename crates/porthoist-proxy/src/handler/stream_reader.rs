//! Reads a stream from one target, event by event.

use super::ProxyHandler;
use super::types::{AdmittedRequest, AnswerEnd};
use crate::connection_pool::{OpenAnswer, SendFailure};
use crate::dispatcher::TargetSlot;
use crate::sse::{CompleteEvent, EventSplitter};
use bytes::Bytes;
use hyper::http::response::Parts;
use porthoist_http::HeldBytes;
use porthoist_policy::proxy::balancer::SendOutcome;

/// The next step of a stream.
pub(super) enum StreamStep {
    Event(CompleteEvent),
    End(AnswerEnd),
    Broken(SendFailure),
}

/// A stream from one target. Dropping it closes the connection.
pub(super) struct StreamReader {
    pub(super) slot: TargetSlot,
    answer: OpenAnswer,
    /// Whether only the end of the connection shows where the stream ends.
    unframed: bool,
    /// Bytes that were read and for which there was no room yet.
    unheld: Option<Bytes>,
    splitter: EventSplitter,
    /// Counts the splitter's bytes.
    held: HeldBytes,
    /// Identifier that the next event must follow.
    last_id: Option<u64>,
    /// Time in milliseconds waited for room.
    waited_millis: u64,
}

impl StreamReader {
    /// Begins to read a stream whose next event follows `last_id`.
    pub(super) fn new(slot: TargetSlot, answer: OpenAnswer, held: HeldBytes, last_id: Option<u64>) -> Self {
        let unframed = answer.ends_with_connection();
        Self {
            slot,
            answer,
            unframed,
            unheld: None,
            splitter: EventSplitter::default(),
            held,
            last_id,
            waited_millis: 0,
        }
    }

    /// The head of the response.
    pub(super) fn head(&self) -> &Parts {
        &self.answer.head
    }

    /// Returns the next step. Cancel safe.
    pub(super) async fn next_step(
        &mut self,
        handler: &ProxyHandler,
        admitted: &AdmittedRequest,
    ) -> StreamStep {
        loop {
            if let Err(failure) = self.hold_read_bytes(handler, admitted).await {
                return StreamStep::Broken(failure);
            }
            if let Some(step) = self.buffered_step() {
                return step;
            }
            let (_slot, read) = self.begin_read(handler, admitted);
            if let Some(step) = read.await {
                return step;
            }
        }
    }

    /// Moves the bytes that were read to the splitter once there is room for them; nothing more is read before. Returns
    /// the time waited in milliseconds. Cancel safe.
    pub(super) async fn hold_read_bytes(
        &mut self,
        handler: &ProxyHandler,
        admitted: &AdmittedRequest,
    ) -> Result<u64, SendFailure> {
        let Some(bytes) = &self.unheld else { return Ok(0) };
        let since = handler.clock.now();
        if handler.budget.bounded() {
            let remaining = handler.remaining_time(admitted.deadline);
            let held = tokio::time::timeout(remaining, self.held.grow(bytes.len())).await;
            held.map_err(|_elapsed| SendFailure::lost("no room for held bytes in time"))?
                .map_err(SendFailure::lost)?;
        }
        self.splitter.push(bytes);
        self.unheld = None;
        let waited = handler.clock.now().since(since);
        self.waited_millis += waited;
        Ok(waited)
    }

    /// Returns the time in milliseconds waited for room since the last call.
    pub(super) fn take_waited_millis(&mut self) -> u64 {
        std::mem::take(&mut self.waited_millis)
    }

    /// Returns the next step if what was read suffices for it.
    pub(super) fn buffered_step(&mut self) -> Option<StreamStep> {
        match self.splitter.next_event() {
            Ok(Some(event)) => Some(match self.check_order(&event) {
                Ok(()) => StreamStep::Event(event),
                Err(detail) => StreamStep::Broken(SendFailure::lost(detail)),
            }),
            Ok(None) => None,
            Err(error) => Some(StreamStep::Broken(SendFailure::lost(error))),
        }
    }

    /// Returns the slot, and a future that reads from the connection and returns a step if the stream ends. Cancel safe.
    pub(super) fn begin_read(
        &mut self,
        handler: &ProxyHandler,
        admitted: &AdmittedRequest,
    ) -> (&TargetSlot, impl Future<Output = Option<StreamStep>>) {
        let Self { slot, answer, unframed, unheld, splitter, .. } = self;
        let (slot, has_partial_event) = (&*slot, splitter.has_partial_event());
        let remaining = handler.remaining_time(admitted.deadline);
        let read = async move {
            match tokio::time::timeout(remaining, answer.body.frame()).await {
                Err(_elapsed) => Some(StreamStep::Broken(SendFailure::lost("stream not complete in time"))),
                Ok(Some(Ok(frame))) => {
                    *unheld = frame.into_data().ok();
                    None
                }
                Ok(Some(Err(failure))) => Some(StreamStep::Broken(failure)),
                Ok(None) if has_partial_event => {
                    let detail = "connection ended within an event";
                    Some(StreamStep::Broken(SendFailure::closed(detail)))
                }
                Ok(None) if *unframed => {
                    let end = handler.check_unframed_end(&slot.target).await;
                    Some(end.map_or_else(StreamStep::Broken, StreamStep::End))
                }
                Ok(None) => Some(StreamStep::End(AnswerEnd::Proven)),
            }
        };
        (slot, read)
    }

    /// Checks that event identifiers increase by one.
    fn check_order(&mut self, event: &CompleteEvent) -> Result<(), String> {
        if let (Some(last), Some(id)) = (self.last_id, event.id)
            && id != last + 1
        {
            return Err(format!("event {id} came after {last}"));
        }
        self.last_id = event.id.or(self.last_id);
        Ok(())
    }

    /// Passes the bytes of an event to the response that forwards it.
    pub(super) fn attach_held(&mut self, event: CompleteEvent) -> Bytes {
        self.held.split(event.bytes.len()).attach(event.bytes)
    }

    /// Frees what a broken stream occupies.
    pub(super) fn close(&mut self) {
        self.slot.set_outcome(SendOutcome::Lost);
        self.slot.release();
        self.answer.lease.close();
        self.held.clear();
    }

    /// Returns the connection to the pool after the end of the stream, and the target's slot.
    pub(super) fn release(self) -> TargetSlot {
        let OpenAnswer { head, lease, .. } = self.answer;
        lease.release(&head.headers);
        self.slot
    }
}
