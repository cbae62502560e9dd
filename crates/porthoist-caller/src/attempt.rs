//! One attempt: an offer that is open at a target.

use crate::ports::{OfferFailure, OfferPort};
use futures::future::BoxFuture;
use porthoist_core::{AnswerFrame, AttemptId, OfferOutcome, RequestOffer, TargetName};
use std::fmt;
use tokio::sync::mpsc;

/// Frames that wait for a slow caller.
const FRAME_BACKLOG: usize = 64;

/// What an attempt says next.
#[derive(Debug)]
pub enum AttemptNews {
    /// A frame of the answer.
    Frame(AnswerFrame),
    /// Its end; no frames follow.
    Ended(Result<OfferOutcome, OfferFailure>),
}

/// An open attempt; dropping it gives the offer up.
pub struct OpenAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Where it runs.
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
    /// Sends the offer.
    pub fn open(offers: &dyn OfferPort, target: TargetName, offer: RequestOffer) -> Self {
        let (sender, frames) = mpsc::channel(FRAME_BACKLOG);
        let id = offer.attempt;
        let pending = offers.offer(target.clone(), offer, sender);
        Self { id, target, pending, frames, peeked: None, ended: None }
    }

    /// Waits until there is news, without taking it.
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

    /// Whether the news at hand is a failure.
    pub fn failed(&self) -> Option<OfferFailure> {
        match &self.ended {
            Some(Err(failure)) => Some(*failure),
            Some(Ok(OfferOutcome::Refused { reason, verdict, .. })) => {
                Some(OfferFailure { reason: *reason, verdict: *verdict })
            }
            _ => None,
        }
    }

    /// The next news. Frames that came before the end are given first.
    pub async fn next(&mut self) -> AttemptNews {
        self.ready().await;
        if let Some(frame) = self.peeked.take() {
            return AttemptNews::Frame(frame);
        }
        if let Ok(frame) = self.frames.try_recv() {
            return AttemptNews::Frame(frame);
        }
        match self.ended.take() {
            Some(ended) => AttemptNews::Ended(ended),
            None => std::future::pending().await,
        }
    }
}
