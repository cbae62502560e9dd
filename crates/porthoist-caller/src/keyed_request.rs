//! Requests with an idempotency key, which is a ticket or a key of the caller's own that is claimed in the table.

use crate::handler::{AttemptEnd, RequestEnd, RequestHandler};
use crate::ports::{CallerRefusal, OfferFailure};
use porthoist_core::offer::AnswerDigest;
use porthoist_core::{RefusalReason, RetryReason, RunVerdict, TicketText, UnixDeadline};
use porthoist_policy::claim::{ClaimAction, ClaimEvent, ClaimMachine, ClaimRules};
use std::time::Duration;

/// Pause before a ticket is offered again to a target that could not be reached.
const REPLAY_PAUSE: Duration = Duration::from_millis(100);
/// Largest number of offers under one ticket.
const MAX_TICKET_OFFERS: u32 = 5;
/// How long a ticket minted for a claimed key outlives the request's deadline, in milliseconds.
const CLAIM_TICKET_MILLIS: u64 = 60 * 60 * 1000;

impl RequestHandler {
    /// Runs the request under a ticket. It is offered only to the incarnation that minted it, and again if answers are lost.
    pub(crate) async fn run_with_ticket(&mut self, ticket: TicketText) -> RequestEnd {
        if let Err(refusal) = self.admit_for_key().await {
            return RequestEnd::Refused(refusal);
        }
        loop {
            let (failure, retry_at) = match self.offer_ticket(ticket.clone()).await {
                AttemptEnd::Whole(head, body) => return RequestEnd::Whole(head, body),
                AttemptEnd::Streamed => return RequestEnd::Streamed,
                AttemptEnd::Disconnected => return RequestEnd::Disconnected,
                AttemptEnd::Failed(failure, retry_at) => (failure, retry_at),
            };
            let unanswered = is_unanswered(failure);
            if !unanswered || self.attempts >= MAX_TICKET_OFFERS {
                let mut refusal = self.failure_refusal(failure, retry_at);
                if unanswered {
                    // This attempt did not run, but an earlier one under the same ticket may have.
                    refusal.verdict = RunVerdict::MayHaveRun;
                }
                if failure.verdict == RunVerdict::NotRun && !unanswered {
                    refusal.verdict = RunVerdict::NotRun;
                }
                return RequestEnd::Refused(refusal);
            }
            self.record_retry(RetryReason::TicketReplay);
            tokio::time::sleep(REPLAY_PAUSE).await;
        }
    }

    /// Runs the request under a key of the caller's own.
    pub(crate) async fn run_with_own_key(&mut self, key: String) -> RequestEnd {
        if let Err(refusal) = self.admit_for_key().await {
            return RequestEnd::Refused(refusal);
        }
        let claim_key = format!("{}/{key}", self.request.team);
        let writer = rand::random::<u64>();
        let fingerprint = self.key_fingerprint();
        let (mut machine, mut action) = ClaimMachine::start(fingerprint, writer, ClaimRules::SOUND);
        let mut answer = None;
        loop {
            let event = match action {
                ClaimAction::Mint => self.mint_ticket().await,
                ClaimAction::Write { expected, row } => {
                    self.ports.claims.write(claim_key.clone(), expected, row).await
                }
                ClaimAction::Read => self.ports.claims.read(claim_key.clone()).await,
                ClaimAction::Offer(ticket) => match self.offer_claimed_ticket(ticket).await {
                    Ok((event, end)) => {
                        answer = end;
                        event
                    }
                    Err(end) => return end,
                },
                ClaimAction::Answer => return answer.unwrap_or(RequestEnd::Disconnected),
                ClaimAction::Refuse(reason, verdict) => {
                    return RequestEnd::Refused(key_refusal(reason, verdict));
                }
            };
            action = if let Some(next) = machine.on(event) {
                next
            } else {
                let refusal = key_refusal(RefusalReason::ClaimUnavailable, RunVerdict::MayHaveRun);
                return RequestEnd::Refused(refusal);
            };
        }
    }

    /// Asks for admission only: the ticket determines the target.
    async fn admit_for_key(&mut self) -> Result<(), CallerRefusal> {
        match self.route(&[], false).await {
            Ok(_reply) => Ok(()),
            Err(refusal) if refusal.reason == RefusalReason::NoTarget => Ok(()),
            Err(mut refusal) => {
                // This attempt is known not to have run, but an earlier one with the same key may have.
                refusal.verdict = RunVerdict::MayHaveRun;
                Err(refusal)
            }
        }
    }

    fn key_fingerprint(&self) -> u64 {
        let request = &self.request;
        let mut digest = AnswerDigest::default();
        for part in [request.service.as_str(), &request.method, &request.path] {
            digest.update(part.as_bytes());
            digest.update(&[0]);
        }
        digest.update(&request.body);
        digest.value()
    }

    async fn mint_ticket(&mut self) -> ClaimEvent<TicketText> {
        let reply = match self.route(&[], false).await {
            Ok(reply) => reply,
            Err(refusal) => return ClaimEvent::MintFailed(refusal.reason),
        };
        let team = self.request.team.clone();
        let deadline = UnixDeadline(self.request.deadline.0.plus(CLAIM_TICKET_MILLIS));
        match self.ports.offers.mint(reply.choice.target, team, 1, deadline).await {
            Ok(tickets) => match tickets.into_iter().next() {
                Some(ticket) => ClaimEvent::Minted(ticket),
                None => ClaimEvent::MintFailed(RefusalReason::Draining),
            },
            Err(failure) => ClaimEvent::MintFailed(failure.reason),
        }
    }

    async fn offer_claimed_ticket(
        &mut self,
        ticket: TicketText,
    ) -> Result<(ClaimEvent<TicketText>, Option<RequestEnd>), RequestEnd> {
        let failure = match self.offer_ticket(ticket).await {
            AttemptEnd::Whole(head, body) => {
                return Ok((ClaimEvent::Answered, Some(RequestEnd::Whole(head, body))));
            }
            AttemptEnd::Streamed => return Ok((ClaimEvent::Answered, Some(RequestEnd::Streamed))),
            AttemptEnd::Disconnected => return Err(RequestEnd::Disconnected),
            AttemptEnd::Failed(failure, _retry_at) => failure,
        };
        if is_unanswered(failure) {
            self.record_retry(RetryReason::TicketReplay);
            tokio::time::sleep(REPLAY_PAUSE).await;
            return Ok((ClaimEvent::OfferLost, None));
        }
        Ok((ClaimEvent::OfferRefused(failure.reason, failure.verdict), None))
    }
}

/// Whether the target gave no usable answer, so that the ticket's fate is unknown.
fn is_unanswered(failure: OfferFailure) -> bool {
    matches!(
        failure.reason,
        RefusalReason::Unreachable | RefusalReason::ConnectionLost | RefusalReason::AnswerCorrupt
    )
}

fn key_refusal(reason: RefusalReason, verdict: RunVerdict) -> CallerRefusal {
    let detail = match verdict {
        RunVerdict::NotRun => "the key is closed: the request did not run and will not run under it",
        RunVerdict::MayHaveRun => "what became of the key is not known",
        RunVerdict::Ran => "the request ran; its answer is no longer kept",
    };
    CallerRefusal { reason, verdict, retry_at: None, detail: detail.to_owned() }
}
