//! Sends a request until a target answers.
//!
//! A target that pauses keeps its request, or its stream, until another one has answered: there may be no other one with
//! room, and the first one may go on.

use super::ProxyHandler;
use super::stream_reader::{StreamReader, StreamStep};
use super::types::{AdmittedRequest, CompleteAnswer, ProxyRefusal, SendHistory, SentRequest, TargetAnswer};
use crate::connection_pool::{OpenAnswer, SendFailure};
use crate::dispatcher::TargetSlot;
use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use porthoist_core::{RetryReason, RunVerdict, UnixMillis};
use porthoist_policy::proxy::moving::MoveCause;
use porthoist_policy::proxy::targets::TargetRecord;
use slog::info;
use std::pin::pin;
use std::sync::Arc;

/// How far a stream has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamPosition {
    /// When the request was sent or the last event arrived.
    pub(super) since: UnixMillis,
    /// Number of forwarded events.
    pub(super) events: u64,
    /// Identifier of the last event.
    pub(super) last_id: Option<u64>,
}

/// Why an attempt did not succeed.
enum AttemptError {
    /// The target failed.
    Failed(Arc<TargetRecord>, SendFailure),
    /// The target failed, and so did all further attempts.
    Refused(ProxyRefusal),
}

/// How an attempt ended whose target may have paused.
enum AttemptEnd {
    Complete(CompleteAnswer),
    /// The target's stream, and its first step if that is known.
    Stream(Box<StreamReader>, Option<StreamStep>),
    Failed(Arc<TargetRecord>, SendFailure),
    /// Another target answered, or the own one failed and no other one answered.
    Other(Result<OtherAnswer, ProxyRefusal>),
}

/// An answer from another target than the one that paused.
enum OtherAnswer {
    Complete(CompleteAnswer),
    /// A stream with its first step: its head alone does not show that its target works.
    Stream(Box<StreamReader>, StreamStep),
}

impl ProxyHandler {
    /// Sends a request until it is answered or no further attempt is allowed. Resumes a stream after `after_event`.
    pub(super) async fn send_until_answered(
        &self,
        admitted: &AdmittedRequest,
        history: &mut SendHistory,
        after_event: Option<u64>,
    ) -> Result<SentRequest, ProxyRefusal> {
        let mut failed_answer = None;
        let refusal = loop {
            let sent = match self.acquire_permitted_slot(admitted, history).await {
                Ok(slot) => self.send_or_replace(admitted, slot, history, after_event).await,
                Err(refusal) => break refusal,
            };
            let (target, failure) = match sent {
                Ok(SentRequest::Complete(answer)) if self.repeats(admitted, &answer, history) => {
                    let failure = answer_failure(&answer);
                    self.record_retry(admitted, &failure);
                    history.record_failure(&failure);
                    failed_answer = Some(answer);
                    continue;
                }
                Ok(sent) => return Ok(sent),
                Err(AttemptError::Failed(target, failure)) => (target, failure),
                Err(AttemptError::Refused(refusal)) => break refusal,
            };
            self.check_lost_target(admitted, &target, &failure, history).await;
            history.record_failure(&failure);
            if let Err(refusal) = self.allow_retry(admitted, history, &failure) {
                break refusal;
            }
        };
        failed_answer.map(SentRequest::Complete).ok_or(refusal)
    }

    /// Whether a request is sent again in place of this response. Takes the retry from the budget.
    fn repeats(&self, admitted: &AdmittedRequest, answer: &CompleteAnswer, history: &SendHistory) -> bool {
        answer.status.is_server_error() && !admitted.runs_once() && self.take_retry(admitted, history)
    }

    /// Sends a request to a target, and to others while the target pauses.
    async fn send_or_replace(
        &self,
        admitted: &AdmittedRequest,
        slot: TargetSlot,
        history: &mut SendHistory,
        after_event: Option<u64>,
    ) -> Result<SentRequest, AttemptError> {
        match self.await_answer(admitted, slot, history, after_event).await {
            AttemptEnd::Failed(target, failure) => Err(AttemptError::Failed(target, failure)),
            AttemptEnd::Complete(answer) | AttemptEnd::Other(Ok(OtherAnswer::Complete(answer))) => {
                Ok(SentRequest::Complete(answer))
            }
            AttemptEnd::Stream(reader, step) => Ok(SentRequest::Stream(reader, step)),
            AttemptEnd::Other(Ok(OtherAnswer::Stream(reader, step))) => {
                Ok(SentRequest::Stream(reader, Some(step)))
            }
            AttemptEnd::Other(Err(refusal)) => Err(AttemptError::Refused(refusal)),
        }
    }

    async fn await_answer(
        &self,
        admitted: &AdmittedRequest,
        slot: TargetSlot,
        history: &mut SendHistory,
        after_event: Option<u64>,
    ) -> AttemptEnd {
        let sent_at = self.clock.now();
        let request = self.begin_send(admitted, &slot, after_event, history, sent_at);
        let mut sending = self.send(admitted, &slot, request, sent_at).boxed_local();
        let mut since = sent_at;
        loop {
            let cause = tokio::select! {
                biased;
                answer = &mut sending => {
                    drop(sending);
                    return self.end_attempt(admitted, slot, answer, after_event);
                }
                cause = self.wait_for_move(admitted, &slot, history, since, 0) => cause,
            };
            self.begin_move(admitted, &slot, history, cause, since);
            let mut others = self.send_elsewhere(admitted, history, after_event);
            let own = tokio::select! {
                biased;
                answer = &mut sending => answer,
                sent = &mut others => match sent {
                    Ok(sent) => return AttemptEnd::Other(Ok(sent)),
                    Err(refusal) => {
                        self.log_failed_move(admitted, &slot, &refusal);
                        since = self.clock.now();
                        continue;
                    }
                },
            };
            drop(sending);
            return match own {
                Ok(TargetAnswer::Complete(answer)) if answer.status.is_server_error() => {
                    slot.release();
                    match others.await {
                        Ok(sent) => AttemptEnd::Other(Ok(sent)),
                        Err(_refusal) => AttemptEnd::Complete(answer),
                    }
                }
                Ok(TargetAnswer::Complete(answer)) => AttemptEnd::Complete(answer),
                Ok(TargetAnswer::Stream(answer)) => {
                    let reader = self.read_stream(admitted, slot, answer, after_event);
                    self.await_first_step(admitted, reader, others).await
                }
                Err(failure) => {
                    slot.release();
                    let lost = self.record_lost_target(admitted, &slot.target, &failure);
                    AttemptEnd::Other(tokio::join!(others, lost).0)
                }
            };
        }
    }

    fn end_attempt(
        &self,
        admitted: &AdmittedRequest,
        slot: TargetSlot,
        answer: Result<TargetAnswer, SendFailure>,
        after_event: Option<u64>,
    ) -> AttemptEnd {
        match answer {
            Ok(TargetAnswer::Complete(answer)) => AttemptEnd::Complete(answer),
            Ok(TargetAnswer::Stream(answer)) => {
                AttemptEnd::Stream(self.read_stream(admitted, slot, answer, after_event), None)
            }
            Err(failure) => AttemptEnd::Failed(Arc::clone(&slot.target), failure),
        }
    }

    fn read_stream(
        &self,
        admitted: &AdmittedRequest,
        slot: TargetSlot,
        answer: OpenAnswer,
        after_event: Option<u64>,
    ) -> Box<StreamReader> {
        let last_id = after_event.or_else(|| admitted.last_event_id());
        Box::new(StreamReader::new(slot, answer, self.budget.guard(), last_id))
    }

    /// Waits for the first step of a stream whose target had paused, or for the answer of another one.
    async fn await_first_step(
        &self,
        admitted: &AdmittedRequest,
        mut reader: Box<StreamReader>,
        mut others: LocalBoxFuture<'_, Result<OtherAnswer, ProxyRefusal>>,
    ) -> AttemptEnd {
        let step = tokio::select! {
            biased;
            step = reader.next_step(self, admitted) => step,
            sent = &mut others => {
                let Err(refusal) = sent else { return AttemptEnd::Other(sent) };
                self.log_failed_move(admitted, &reader.slot, &refusal);
                return AttemptEnd::Stream(reader, None);
            }
        };
        let StreamStep::Broken(failure) = step else { return AttemptEnd::Stream(reader, Some(step)) };
        reader.close();
        let lost = self.record_lost_target(admitted, &reader.slot.target, &failure);
        AttemptEnd::Other(tokio::join!(others, lost).0)
    }

    /// Sends a request to further targets until one has answered, in a stream with its first step. Boxed, since each further
    /// attempt may have to be replaced as well.
    fn send_elsewhere<'a>(
        &'a self,
        admitted: &'a AdmittedRequest,
        history: &'a mut SendHistory,
        after_event: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<OtherAnswer, ProxyRefusal>> {
        async move {
            loop {
                let mut reader = match self.send_until_answered(admitted, history, after_event).await? {
                    SentRequest::Complete(answer) => return Ok(OtherAnswer::Complete(answer)),
                    SentRequest::Stream(reader, Some(step)) => return Ok(OtherAnswer::Stream(reader, step)),
                    SentRequest::Stream(reader, None) => reader,
                };
                let position =
                    StreamPosition { since: reader.slot.assigned, events: 0, last_id: after_event };
                match self.next_step(admitted, &mut reader, history, position).await {
                    StreamStep::Broken(failure) => {
                        reader.close();
                        let target = Arc::clone(&reader.slot.target);
                        drop(reader);
                        self.check_resumption(admitted, &target, failure, history).await?;
                    }
                    step => return Ok(OtherAnswer::Stream(reader, step)),
                }
            }
        }
        .boxed_local()
    }

    /// Allows another attempt to resume a stream after a failed one, or returns the refusal that ends it.
    async fn check_resumption(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetRecord,
        failure: SendFailure,
        history: &mut SendHistory,
    ) -> Result<(), ProxyRefusal> {
        self.check_lost_target(admitted, target, &failure, history).await;
        let failure = SendFailure { reason: RetryReason::StreamResumed, ..failure };
        history.record_failure(&failure);
        self.allow_retry(admitted, history, &failure)
    }

    /// Records that another target is looked for. The present one may have run the request.
    fn begin_move(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        history: &mut SendHistory,
        cause: MoveCause,
        since: UnixMillis,
    ) {
        let failure = self.record_move(admitted, slot, cause, since);
        history.record_failure(&failure);
        history.unsent_move = Some(failure);
    }

    pub(super) fn log_broken_stream(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        position: StreamPosition,
        failure: &SendFailure,
    ) {
        info!(self.logger, "stream broken"; "event" => "stream_broken",
            "request" => &*admitted.metadata.attempt, "target" => slot.target.id.to_string(),
            "events" => position.events, "last_id" => position.last_id, "detail" => &failure.detail);
    }

    fn log_moved_stream(&self, admitted: &AdmittedRequest, slot: &TargetSlot, events: u64) {
        info!(self.logger, "stream continued at another target"; "event" => "stream_moved",
            "request" => &*admitted.metadata.attempt, "target" => slot.target.id.to_string(), "events" => events);
    }

    fn log_failed_move(&self, admitted: &AdmittedRequest, slot: &TargetSlot, refusal: &ProxyRefusal) {
        info!(self.logger, "no other target took the request over"; "event" => "move_failed",
            "request" => &*admitted.metadata.attempt, "target" => slot.target.id.to_string(),
            "reason" => refusal.reason.as_str());
    }

    /// Returns the next step of a stream. If its target pauses, another one may take its place.
    pub(super) async fn next_step(
        &self,
        admitted: &AdmittedRequest,
        reader: &mut StreamReader,
        history: &mut SendHistory,
        position: StreamPosition,
    ) -> StreamStep {
        let StreamPosition { mut since, events, last_id } = position;
        loop {
            // The target is not silent while there is no room for what it sent.
            match reader.hold_read_bytes(self, admitted).await {
                Ok(waited) => since = since.plus(waited),
                Err(failure) => return StreamStep::Broken(failure),
            }
            if let Some(step) = reader.buffered_step() {
                return step;
            }
            let cause = {
                let (slot, read) = reader.begin_read(self, admitted);
                tokio::select! {
                    biased;
                    step = read => match step {
                        Some(step) => return step,
                        None => continue,
                    },
                    cause = self.wait_for_move(admitted, slot, history, since, events) => cause,
                }
            };
            self.begin_move(admitted, &reader.slot, history, cause, since);
            let mut others = pin!(self.resume_elsewhere(admitted, history, last_id));
            let own = tokio::select! {
                biased;
                step = reader.next_step(self, admitted) => step,
                resumed = &mut others => match resumed {
                    Ok((resumed, step)) => {
                        self.log_moved_stream(admitted, &resumed.slot, events);
                        *reader = resumed;
                        return step;
                    }
                    Err(refusal) => {
                        self.log_failed_move(admitted, &reader.slot, &refusal);
                        since = self.clock.now();
                        continue;
                    }
                },
            };
            let StreamStep::Broken(failure) = own else { return own };
            self.log_broken_stream(admitted, &reader.slot, position, &failure);
            reader.close();
            let lost = self.record_lost_target(admitted, &reader.slot.target, &failure);
            return match tokio::join!(others, lost).0 {
                Ok((resumed, step)) => {
                    self.log_moved_stream(admitted, &resumed.slot, events);
                    *reader = resumed;
                    step
                }
                Err(_refusal) => StreamStep::Broken(failure),
            };
        }
    }

    /// Resumes a stream after an event at another target; returns it with its first step.
    pub(super) async fn resume_elsewhere(
        &self,
        admitted: &AdmittedRequest,
        history: &mut SendHistory,
        last_id: Option<u64>,
    ) -> Result<(StreamReader, StreamStep), ProxyRefusal> {
        loop {
            match self.send_elsewhere(admitted, history, last_id).await? {
                OtherAnswer::Stream(reader, step) => return Ok((*reader, step)),
                OtherAnswer::Complete(answer) => {
                    let failure = answer_failure(&answer);
                    self.check_resumption(admitted, &answer.target, failure, history).await?;
                }
            }
        }
    }
}

/// A failure of the target itself, which has run the request.
fn answer_failure(answer: &CompleteAnswer) -> SendFailure {
    SendFailure {
        verdict: RunVerdict::Ran,
        reason: RetryReason::BackendFailed,
        detail: format!("status {}", answer.status.as_u16()),
        closed: false,
    }
}
