//! The fleet side of a target: answers entries' offers, ticket requests and heartbeats.

use crate::config::ConfigHub;
use bytes::Bytes;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use porthoist_core::offer::{AnswerDigest, TargetHello};
use porthoist_core::{
    AnswerFrame, AttemptId, IncarnationId, LoadReport, OfferOutcome, RefusalReason, RequestOffer, RunVerdict,
    ServiceName, TargetName, TeamName, TicketText, UnixDeadline, ZoneName,
};
use porthoist_fleet::{FleetDigest, FleetHandler, FrameSender, HandlerFuture};
use porthoist_group::RankDriver;
use porthoist_metrics::MetricsHub;
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use porthoist_policy::switch::{LeaderMessage, RankReply};
use porthoist_target::answer_log::LogUpdate;
use porthoist_target::offers::{MintTickets, OfferAbandoned, OfferRefusal, OfferRequest};
use porthoist_target::{LogEnd, LogFollower, OffersActor};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// Answers the calls of other processes.
#[derive(Debug, Clone)]
pub struct TargetHandler {
    /// Name of the target.
    pub target: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Identifies this run of the process.
    pub incarnation: IncarnationId,
    /// The services that the back end runs.
    pub services: Rc<[ServiceName]>,
    /// Decides on each offer.
    pub offers: ActorRef<OffersActor>,
    /// Current load of the target.
    pub load: watch::Receiver<LoadReport>,
    /// The configuration in force.
    pub config: Arc<ConfigHub>,
    /// Number of offers whose answer is not fully sent.
    pub open_offers: Arc<AtomicU64>,
    /// Drives the rank next to this process.
    pub rank: Arc<RankDriver>,
    /// Metrics of this process.
    pub metrics: Arc<MetricsHub>,
}

/// Counts an open offer; dropping it tells the actor that nobody follows the answer any more.
struct OpenOffer {
    follower: Option<LogFollower>,
    attempt: AttemptId,
    offers: ActorRef<OffersActor>,
    open_offers: Arc<AtomicU64>,
}

impl Drop for OpenOffer {
    fn drop(&mut self) {
        self.open_offers.fetch_sub(1, Ordering::Relaxed);
        if self.follower.take().is_some() {
            // If the mailbox is full, the request stays queued until its turn or deadline.
            let _sent = self.offers.tell(OfferAbandoned(self.attempt)).try_send();
        }
    }
}

impl TargetHandler {
    async fn run_offer(self, offer: RequestOffer, sender: FrameSender) -> OfferOutcome {
        let attempt = offer.attempt;
        self.open_offers.fetch_add(1, Ordering::Relaxed);
        let mut open = OpenOffer {
            follower: None,
            attempt,
            offers: self.offers.clone(),
            open_offers: Arc::clone(&self.open_offers),
        };
        let outcome = match self.submit_offer(offer).await {
            Ok(follower) => relay_answer(open.follower.insert(follower), attempt, &sender).await,
            Err(OfferRefusal { reason, verdict, retry_at }) => {
                OfferOutcome::Refused { reason, verdict, retry_at }
            }
        };
        if let OfferOutcome::Refused { reason, verdict, .. } = outcome {
            self.metrics.record_refusal(reason, verdict);
        }
        outcome
    }

    async fn submit_offer(&self, offer: RequestOffer) -> Result<LogFollower, OfferRefusal> {
        let has_ticket = offer.ticket.is_some();
        let request = self.offers.ask(OfferRequest(Arc::new(offer)));
        // A refusal at this point would leave the ticket valid, so an offer with a ticket waits for the
        // actor.
        let reply = if has_ticket { request.send().await } else { request.try_send().await };
        reply.map_err(|error| match error {
            SendError::HandlerError(refusal) => refusal,
            SendError::MailboxFull(_) => not_run(RefusalReason::Overloaded),
            _ => OfferRefusal { verdict: RunVerdict::MayHaveRun, ..not_run(RefusalReason::ShuttingDown) },
        })
    }
}

fn not_run(reason: RefusalReason) -> OfferRefusal {
    OfferRefusal { reason, verdict: RunVerdict::NotRun, retry_at: None }
}

async fn relay_answer(follower: &mut LogFollower, attempt: AttemptId, sender: &FrameSender) -> OfferOutcome {
    let mut frames = 0;
    let mut digest = AnswerDigest::default();
    loop {
        match follower.next().await {
            LogUpdate::Events(first, events) => {
                let batch = frame_batch(attempt, frames, first, events, &mut digest);
                frames += batch.len() as u64;
                if sender.send(&batch).await.is_err() {
                    return refused(RefusalReason::ConnectionLost, RunVerdict::MayHaveRun);
                }
            }
            LogUpdate::End(LogEnd::StreamDone) => {
                return OfferOutcome::StreamEnd { frames, digest: digest.value() };
            }
            LogUpdate::End(LogEnd::Whole { head, body }) => {
                let digest = AnswerDigest::of(&body);
                return OfferOutcome::Whole { head, body, digest };
            }
            LogUpdate::End(LogEnd::Refused { reason, verdict, retry_at }) => {
                return OfferOutcome::Refused { reason, verdict, retry_at };
            }
            LogUpdate::Missing => return refused(RefusalReason::AnswerGone, RunVerdict::Ran),
        }
    }
}

fn frame_batch(
    attempt: AttemptId,
    sent: u64,
    first: u64,
    events: Vec<Bytes>,
    digest: &mut AnswerDigest,
) -> Vec<AnswerFrame> {
    let mut batch = Vec::with_capacity(events.len());
    for (index, data) in (0_u64..).zip(events) {
        digest.update(&data);
        batch.push(AnswerFrame { attempt, sequence: sent + index, event: first + index, data });
    }
    batch
}

fn refused(reason: RefusalReason, verdict: RunVerdict) -> OfferOutcome {
    OfferOutcome::Refused { reason, verdict, retry_at: None }
}

impl FleetHandler for TargetHandler {
    fn handle_leader_message(&self, message: LeaderMessage) -> HandlerFuture<Option<Option<RankReply>>> {
        let driver = Arc::clone(&self.rank);
        Box::pin(async move { driver.handle(message).await.ok() })
    }

    fn settle(&self, _asks: Vec<SettleAsk>) -> HandlerFuture<Vec<SettleTold>> {
        // Only entries settle limits.
        Box::pin(std::future::ready(Vec::new()))
    }

    fn offer(&self, offer: RequestOffer, sender: FrameSender) -> HandlerFuture<(OfferOutcome, LoadReport)> {
        let handler = self.clone();
        Box::pin(async move {
            let load = handler.load.clone();
            let outcome = handler.run_offer(offer, sender).await;
            let report = *load.borrow();
            (outcome, report)
        })
    }

    fn mint(&self, team: TeamName, count: u32, deadline: UnixDeadline) -> HandlerFuture<Vec<TicketText>> {
        let offers = self.offers.clone();
        Box::pin(async move {
            let minted = offers.ask(MintTickets { team, count, deadline }).try_send().await;
            minted.unwrap_or_default()
        })
    }

    fn hello(&self) -> HandlerFuture<Option<TargetHello>> {
        let hello = TargetHello {
            incarnation: self.incarnation,
            services: self.services.to_vec(),
            load: *self.load.borrow(),
            revision: self.config.revision(),
        };
        Box::pin(std::future::ready(Some(hello)))
    }

    fn gossip(&self, digest: FleetDigest) -> HandlerFuture<FleetDigest> {
        if let Some(change) = digest.change {
            self.config.adopt(change);
        }
        let own = FleetDigest {
            node: self.target.clone(),
            zone: self.zone.clone(),
            revision: self.config.revision(),
            change: self.config.change_since(digest.revision),
            wants_hosts: false,
            hosts: Vec::new(),
        };
        Box::pin(std::future::ready(own))
    }
}
