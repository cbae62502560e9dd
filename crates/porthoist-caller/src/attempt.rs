//! Open attempts: offers that are pending at a target.

use crate::ports::{OfferFailure, OfferPort};
use futures::future::BoxFuture;
use porthoist_core::{AnswerFrame, AttemptId, OfferOutcome, RequestOffer, TargetName};
use std::fmt;
use tokio::sync::mpsc;

/// Largest number of frames that wait for a slow caller.
const MAX_BUFFERED_FRAMES: usize = 64;

/// The next event of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// A frame of the answer.
    Frame(AnswerFrame),
    /// The end of the attempt; no frames follow.
    Ended(Result<OfferOutcome, OfferFailure>),
}

/// An open attempt. Dropping it cancels the offer.
pub struct OpenAttempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The target to which the request is offered.
    pub target: TargetName,
    pending: BoxFuture<'static, Result<OfferOutcome, OfferFailure>>,
    frames: mpsc::Receiver<AnswerFrame>,
    peeked: Option<AnswerFrame>,
    ended: Option<Result<OfferOutcome, OfferFailure>>,
}

impl fmt::Debug for OpenAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OpenAttempt")
            .field("id", &self.id)
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl OpenAttempt {
    /// Sends the offer to the target.
    pub fn open(offers: &dyn OfferPort, target: TargetName, offer: RequestOffer) -> Self {
        let (sender, frames) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let id = offer.attempt;
        let pending = offers.offer(target.clone(), offer, sender);
        Self { id, target, pending, frames, peeked: None, ended: None }
    }

    /// Waits until the next event is available, without consuming it.
    pub async fn ready(&mut self) {
        if self.peeked.is_some() || self.ended.is_some() {
            return;
        }
        tokio::select! {
            biased;
            Some(frame) = self.frames.recv() => self.peeked = Some(frame),
            ended = &mut self.pending => self.ended = Some(ended),
        }
    }

    /// Returns the failure if the available event is one.
    pub fn failed(&self) -> Option<OfferFailure> {
        match &self.ended {
            Some(Err(failure)) => Some(*failure),
            Some(Ok(OfferOutcome::Refused { reason, verdict, .. })) => {
                Some(OfferFailure { reason: *reason, verdict: *verdict })
            }
            _ => None,
        }
    }

    /// Waits for the next event. Frames that came before the end are returned first.
    pub async fn next(&mut self) -> AttemptEvent {
        self.ready().await;
        if let Some(frame) = self.peeked.take() {
            return AttemptEvent::Frame(frame);
        }
        if let Ok(frame) = self.frames.try_recv() {
            return AttemptEvent::Frame(frame);
        }
        match self.ended.take() {
            Some(ended) => AttemptEvent::Ended(ended),
            None => std::future::pending().await,
        }
    }
}
