//! Ports of an entry: routing, offers, claims and configuration on a simulated network and platform that can fail.

use super::VirtualClock;
use super::network::{PLATFORM, ScenarioNetwork};
use super::target::TargetNode;
use crate::platform::MemoryPlatform;
use futures::future::BoxFuture;
use porthoist_caller::ports::RouteReply;
use porthoist_caller::{
    CallerRefusal, ClaimPort, ConfigPort, OfferFailure, OfferPort, RouteRequest, RoutingPort,
};
use porthoist_core::offer::AnswerDigest;
use porthoist_core::{
    AnswerFrame, AttemptId, ClockSource, OfferOutcome, RefusalReason, RequestOffer, RunVerdict, ServiceName,
    TargetName, TeamName, TicketText, UnixDeadline,
};
use porthoist_operator::edit::config_change;
use porthoist_policy::adoption::ConfigState;
use porthoist_policy::claim::{ClaimEvent, ClaimRow, VersionedClaim};
use porthoist_policy::router::{RouteQuery, Router};
use porthoist_policy::table::{RowKey, RowKind, ServiceRow, TableRow, TeamRow};
use porthoist_table::{CLAIM_PREFIX, CONFIG_PREFIX, PlatformClient, TableWrite, WriteResult};
use porthoist_target::answer_log::LogUpdate;
use porthoist_target::offers::{MintTickets, OfferAbandoned, OfferRequest};
use porthoist_target::{LogEnd, LogFollower};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Time after which a silent peer counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// State shared by the ports of one entry.
#[derive(Debug)]
pub(super) struct EntryShared {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) network: Arc<ScenarioNetwork>,
    pub(super) platform: MemoryPlatform,
    pub(super) clock: Arc<VirtualClock>,
    pub(super) targets: BTreeMap<String, Arc<TargetNode>>,
    pub(super) router: Mutex<Router>,
    pub(super) config: Mutex<ConfigState>,
    pub(super) paused: watch::Sender<bool>,
}

impl EntryShared {
    /// Waits until the process is not paused.
    async fn wait_until_resumed(&self) {
        let mut paused = self.paused.subscribe();
        // `self` holds the sender, so an error is impossible.
        let _resumed = paused.wait_for(|paused| !*paused).await;
    }

    pub(super) async fn adopt_from_table(&self) {
        if !self.network.connected(&self.zone, PLATFORM) {
            return;
        }
        let since = self.config.lock().expect("no task panics").revision();
        if let Ok(feed) = self.platform.changes(CONFIG_PREFIX, since).await {
            let (change, _unreadable) = config_change(feed);
            self.config.lock().expect("no task panics").adopt(change);
        }
    }

    pub(super) fn adopt_from_peers(&self, others: &[Arc<Self>]) {
        for other in others.iter().filter(|other| other.name != self.name) {
            if self.network.connected(&self.zone, &other.zone) {
                let change = other.config.lock().expect("no task panics").snapshot();
                self.config.lock().expect("no task panics").adopt(change);
            }
        }
    }

    fn target(&self, name: &TargetName) -> Option<Arc<TargetNode>> {
        self.targets.get(name.as_str()).cloned()
    }

    async fn offer(
        &self,
        node: &TargetNode,
        offer: RequestOffer,
        frames: &mpsc::Sender<AnswerFrame>,
    ) -> Result<OfferOutcome, OfferFailure> {
        let mut restarts = node.restarts();
        restarts.borrow_and_update();
        tokio::time::sleep(ScenarioNetwork::latency(&self.zone, &node.spec.zone)).await;
        if !self.network.connected(&self.zone, &node.spec.zone) || node.actor().is_none() {
            return Err(UNREACHABLE);
        }
        if *node.paused().borrow() {
            return self.offer_to_paused(node, offer).await;
        }
        tokio::select! {
            biased;
            _ = restarts.changed() => Err(LOST),
            () = self.network.wait_for_cut(&self.zone, &node.spec.zone) => Err(LOST),
            outcome = self.run_offer(node, offer, frames) => outcome,
        }
    }

    /// Leaves the offer in the socket of the paused process, which reads it when it resumes.
    async fn offer_to_paused(
        &self,
        node: &TargetNode,
        offer: RequestOffer,
    ) -> Result<OfferOutcome, OfferFailure> {
        let (mut paused, actor) = (node.paused(), node.actor());
        tokio::spawn(async move {
            if paused.wait_for(|paused| !*paused).await.is_ok()
                && let Some(actor) = actor
            {
                // The entry no longer waits for the response. The actor decides whether to run the offer.
                drop(actor.ask(OfferRequest(Arc::new(offer))).await);
            }
        });
        tokio::time::sleep(PEER_TIMEOUT).await;
        Err(LOST)
    }

    async fn run_offer(
        &self,
        node: &TargetNode,
        offer: RequestOffer,
        frames: &mpsc::Sender<AnswerFrame>,
    ) -> Result<OfferOutcome, OfferFailure> {
        let attempt = offer.attempt;
        let actor = node.actor().ok_or(UNREACHABLE)?;
        let accepted = actor.ask(OfferRequest(Arc::new(offer))).await;
        let mut follower = match accepted {
            Ok(follower) => follower,
            Err(kameo::error::SendError::HandlerError(refusal)) => {
                let (reason, verdict, retry_at) = (refusal.reason, refusal.verdict, refusal.retry_at);
                return Ok(OfferOutcome::Refused { reason, verdict, retry_at });
            }
            Err(_dead) => return Err(LOST),
        };
        let outcome = self.follow(node, &mut follower, attempt, frames).await;
        drop(follower);
        let _sent = actor.tell(OfferAbandoned(attempt)).await;
        outcome
    }

    async fn follow(
        &self,
        node: &TargetNode,
        follower: &mut LogFollower,
        attempt: AttemptId,
        frames: &mpsc::Sender<AnswerFrame>,
    ) -> Result<OfferOutcome, OfferFailure> {
        let (mut sequence, mut digest) = (0, AnswerDigest::default());
        loop {
            let update = follower.next().await;
            let mut paused = node.paused();
            let resumed = paused.wait_for(|paused| !*paused);
            if tokio::time::timeout(PEER_TIMEOUT, resumed).await.is_err() {
                return Err(LOST);
            }
            match update {
                LogUpdate::Events(first, events) => {
                    for (event, data) in (first..).zip(events) {
                        digest.update(&data);
                        let frame = AnswerFrame { attempt, sequence, event, data };
                        sequence += 1;
                        frames.send(frame).await.map_err(|_gone| LOST)?;
                    }
                }
                LogUpdate::End(LogEnd::StreamDone) => {
                    return Ok(OfferOutcome::StreamEnd { frames: sequence, digest: digest.value() });
                }
                LogUpdate::End(LogEnd::Whole { head, body }) => {
                    let digest = AnswerDigest::of(&body);
                    return Ok(OfferOutcome::Whole { head, body, digest });
                }
                LogUpdate::End(LogEnd::Refused { reason, verdict, retry_at }) => {
                    return Ok(OfferOutcome::Refused { reason, verdict, retry_at });
                }
                LogUpdate::Missing => {
                    let (reason, verdict) = (RefusalReason::AnswerGone, RunVerdict::Ran);
                    return Ok(OfferOutcome::Refused { reason, verdict, retry_at: None });
                }
            }
        }
    }
}

const UNREACHABLE: OfferFailure =
    OfferFailure { reason: RefusalReason::Unreachable, verdict: RunVerdict::NotRun };
const LOST: OfferFailure =
    OfferFailure { reason: RefusalReason::ConnectionLost, verdict: RunVerdict::MayHaveRun };

/// All ports of one entry.
#[derive(Debug, Clone)]
pub(super) struct EntryPort(pub(super) Arc<EntryShared>);

impl RoutingPort for EntryPort {
    fn route(&self, request: RouteRequest) -> BoxFuture<'_, Result<RouteReply, CallerRefusal>> {
        Box::pin(async move {
            self.0.wait_until_resumed().await;
            let query = RouteQuery {
                service: &request.service,
                now: self.0.clock.now(),
                deadline: request.deadline,
                prompt_tokens: request.prompt_tokens,
                prefix_blocks: &request.prefix_blocks,
                exclude: &request.exclude,
            };
            let mut router = self.0.router.lock().expect("no task panics");
            match router.choose(&query) {
                Ok(choice) => {
                    if !request.peek {
                        router.sent(query.now, &choice.target, request.attempt, &query);
                    }
                    Ok(RouteReply { choice, hedge_at: None })
                }
                Err(reason) => Err(CallerRefusal::not_run(reason, "no target")),
            }
        })
    }

    fn release(&self, _team: TeamName) {}

    fn report_first_frame(&self, target: TargetName, attempt: AttemptId) {
        let now = self.0.clock.now();
        self.0.router.lock().expect("no task panics").first_token(now, &target, attempt);
    }

    fn report_first_token(&self, _millis: u64) {}
}

impl OfferPort for EntryPort {
    fn offer(
        &self,
        target: TargetName,
        offer: RequestOffer,
        frames: mpsc::Sender<AnswerFrame>,
    ) -> BoxFuture<'static, Result<OfferOutcome, OfferFailure>> {
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            let attempt = offer.attempt;
            let Some(node) = shared.target(&target) else { return Err(UNREACHABLE) };
            let outcome = shared.offer(&node, offer, &frames).await;
            let now = shared.clock.now();
            let mut router = shared.router.lock().expect("no task panics");
            router.done(&target, attempt);
            match &outcome {
                Ok(_answered) => router.report(&target, node.load()),
                Err(_silent) => router.unreachable(now, &target),
            }
            outcome
        })
    }

    fn mint(
        &self,
        target: TargetName,
        team: TeamName,
        count: u32,
        deadline: UnixDeadline,
    ) -> BoxFuture<'static, Result<Vec<TicketText>, OfferFailure>> {
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            shared.wait_until_resumed().await;
            let node = shared.target(&target).ok_or(UNREACHABLE)?;
            let reachable =
                shared.network.connected(&shared.zone, &node.spec.zone) && !*node.paused().borrow();
            let actor = node.actor().filter(|_actor| reachable).ok_or(UNREACHABLE)?;
            actor.ask(MintTickets { team, count, deadline }).await.map_err(|_dead| UNREACHABLE)
        })
    }
}

impl ClaimPort for EntryPort {
    fn write(
        &self,
        key: String,
        expected: Option<u64>,
        row: ClaimRow<TicketText>,
    ) -> BoxFuture<'_, ClaimEvent<TicketText>> {
        Box::pin(async move {
            self.0.wait_until_resumed().await;
            let Ok(value) = serde_json::to_value(row) else { return ClaimEvent::TableUnavailable };
            if !self.0.network.connected(&self.0.zone, PLATFORM) {
                return ClaimEvent::TableUnavailable;
            }
            let key = format!("{CLAIM_PREFIX}{key}");
            let write = TableWrite { key, if_version: expected, unconditional: false, value: Some(value) };
            let answered = self.0.platform.transact(false, vec![write]).await;
            match answered.ok().and_then(|answer| answer.results.into_iter().next()) {
                Some(WriteResult::Written { version }) => ClaimEvent::Written(version),
                Some(WriteResult::Conflict { version, value }) => {
                    let row = value.and_then(|value| serde_json::from_value(value).ok());
                    ClaimEvent::Conflict(
                        version.zip(row).map(|(version, row)| VersionedClaim { version, row }),
                    )
                }
                None => ClaimEvent::TableUnavailable,
            }
        })
    }

    fn read(&self, key: String) -> BoxFuture<'_, ClaimEvent<TicketText>> {
        Box::pin(async move {
            self.0.wait_until_resumed().await;
            if !self.0.network.connected(&self.0.zone, PLATFORM) {
                return ClaimEvent::TableUnavailable;
            }
            match self.0.platform.item(format!("{CLAIM_PREFIX}{key}")).await {
                Ok(item) => ClaimEvent::Read(item.and_then(|item| {
                    let row = serde_json::from_value(item.value?).ok()?;
                    Some(VersionedClaim { version: item.version, row })
                })),
                Err(_silent) => ClaimEvent::TableUnavailable,
            }
        })
    }
}

impl ConfigPort for EntryPort {
    fn ready(&self) -> bool {
        self.0.config.lock().expect("no task panics").ready()
    }

    fn team(&self, team: &TeamName) -> Option<TeamRow> {
        let key = RowKey { kind: RowKind::Team, name: team.to_string() };
        match self.0.config.lock().expect("no task panics").row(&key) {
            Some(TableRow::Team(row)) => Some(row.clone()),
            _ => None,
        }
    }

    fn service(&self, service: &ServiceName) -> Option<ServiceRow> {
        let key = RowKey { kind: RowKind::Service, name: service.to_string() };
        match self.0.config.lock().expect("no task panics").row(&key) {
            Some(TableRow::Service(row)) => Some(row.clone()),
            _ => None,
        }
    }
}
