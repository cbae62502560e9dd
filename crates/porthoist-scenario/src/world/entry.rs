//! An entry: the daemon's request course over a network and a platform that can fail.

use super::network::{PLATFORM, ScenarioNetwork};
use super::target::TargetNode;
use super::{TEAM, VirtualClock};
use crate::backend::{body_of, token};
use crate::platform::MemoryPlatform;
use crate::script::{EntrySpec, SendSpec};
use bytes::Bytes;
use futures::future::BoxFuture;
use porthoist_caller::course::RequestCourse;
use porthoist_caller::delivery::{AnswerDelivery, AnswerStart};
use porthoist_caller::ports::RouteTold;
use porthoist_caller::request::{CallerKey, CallerRequest};
use porthoist_caller::{
    CallerPorts, CallerRefusal, ClaimPort, ConfigPort, OfferFailure, OfferPort, RouteAsk, RoutingPort,
};
use porthoist_core::offer::AnswerDigest;
use porthoist_core::{
    AnswerFrame, AttemptId, ClockSource, IncarnationId, OfferOutcome, RefusalReason, RepeatPolicy, RequestId,
    RequestOffer, RequestPriority, RunVerdict, ServiceKind, ServiceName, TargetName, TeamName, TicketText,
    UnixDeadline,
};
use porthoist_metrics::MetricsHub;
use porthoist_operator::edit::config_change;
use porthoist_platform::{CLAIM_PREFIX, CONFIG_PREFIX, PlatformClient, TableWrite, WriteResult};
use porthoist_policy::adoption::ConfigState;
use porthoist_policy::claim::{ClaimEvent, ClaimRow, VersionedClaim};
use porthoist_policy::router::{RouteQuery, RouteTarget, Router, RouterSettings};
use porthoist_policy::table::{RowKey, RowKind, ServiceRow, TableRow, TeamRow};
use porthoist_target::log::LogNews;
use porthoist_target::offers::{MintTickets, OfferAbandoned, OfferRequest};
use porthoist_target::{LogEnd, LogFollower};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// A peer that says nothing for so long is taken for lost.
const SILENCE: Duration = Duration::from_millis(1500);
const POLL: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentOutcome {
    /// Its whole answer came.
    Whole,
    /// Refused.
    Refused {
        /// Why.
        reason: String,
        /// not-run, may-have-run or ran.
        verdict: String,
    },
    /// The stream broke off.
    Broken,
    /// The entry died.
    Lost,
    /// Another answer than its own.
    Wrong(String),
}

impl SentOutcome {
    /// The outcome as expectations name it.
    pub fn word(&self) -> &str {
        match self {
            Self::Whole => "whole",
            Self::Refused { .. } => "refused",
            Self::Broken => "broken",
            Self::Lost => "lost",
            Self::Wrong(_) => "wrong",
        }
    }

    /// The verdict of a refusal.
    pub fn verdict(&self) -> &str {
        match self {
            Self::Refused { verdict, .. } => verdict,
            other => other.word(),
        }
    }
}

type Outcomes = Arc<Mutex<BTreeMap<String, SentOutcome>>>;
type SharedParts = (Arc<ScenarioNetwork>, MemoryPlatform, Arc<VirtualClock>);

/// What the ports of one entry share.
#[derive(Debug)]
struct EntryShared {
    name: String,
    zone: String,
    network: Arc<ScenarioNetwork>,
    platform: MemoryPlatform,
    clock: Arc<VirtualClock>,
    targets: BTreeMap<String, Arc<TargetNode>>,
    router: Mutex<Router>,
    config: Mutex<ConfigState>,
    paused: watch::Sender<bool>,
}

/// The entry.
#[derive(Debug)]
pub struct EntryNode {
    shared: Arc<EntryShared>,
    ports: CallerPorts,
    incarnation: IncarnationId,
    next_request: AtomicU64,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

fn services(targets: &BTreeMap<String, Arc<TargetNode>>) -> Vec<RouteTarget> {
    let route = |node: &Arc<TargetNode>| RouteTarget {
        name: node.spec.name.parse().expect("scenario names are valid"),
        zone: node.spec.zone.parse().expect("scenario names are valid"),
        services: vec![node.spec.service.parse().expect("scenario names are valid")],
        weight: 1.0,
        leaving: false,
    };
    targets.values().map(route).collect()
}

impl EntryNode {
    /// Starts an entry that knows all targets.
    pub fn start(
        spec: &EntrySpec,
        common: SharedParts,
        targets: &BTreeMap<String, Arc<TargetNode>>,
    ) -> Arc<Self> {
        let (network, platform, clock) = common;
        let zone = spec.zone.parse().expect("scenario names are valid");
        let mut router = Router::new(RouterSettings::builder().zone(zone).build());
        for target in services(targets) {
            router.upsert(target);
        }
        let shared = Arc::new(EntryShared {
            name: spec.name.clone(),
            zone: spec.zone.clone(),
            network,
            platform,
            clock: Arc::clone(&clock),
            targets: targets.clone(),
            router: Mutex::new(router),
            config: Mutex::new(ConfigState::default()),
            paused: watch::Sender::new(false),
        });
        let ports = CallerPorts {
            routing: Arc::new(EntryPort(Arc::clone(&shared))),
            offers: Arc::new(EntryPort(Arc::clone(&shared))),
            claims: Arc::new(EntryPort(Arc::clone(&shared))),
            config: Arc::new(EntryPort(Arc::clone(&shared))),
            clock,
            metrics: Arc::new(MetricsHub::new().expect("a registry of its own has no clashes")),
            decisions: Arc::default(),
        };
        let incarnation = IncarnationId(AnswerDigest::of(spec.name.as_bytes()));
        let (next_request, tasks) = (AtomicU64::new(1), Mutex::default());
        Arc::new(Self { shared, ports, incarnation, next_request, tasks })
    }

    /// The entry's name.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Follows the table's changes and the other entries.
    pub fn follow_config(&self, others: &[Arc<Self>]) {
        let shared = Arc::clone(&self.shared);
        let others: Vec<Arc<EntryShared>> = others.iter().map(|other| Arc::clone(&other.shared)).collect();
        tokio::spawn(async move {
            loop {
                shared.adopt_from_table().await;
                shared.adopt_from_peers(&others);
                tokio::time::sleep(POLL).await;
            }
        });
    }

    /// Weight cell of a row in force.
    pub fn weight(&self, row: &str) -> Option<String> {
        let key: RowKey = row.parse().ok()?;
        let config = self.shared.config.lock().expect("no task panics");
        config.row(&key).and_then(|found| found.to_cells(&key).get("weight").cloned())
    }

    /// Pauses the process, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// The process dies: every request on its way is lost.
    pub fn kill(&self) {
        for task in self.tasks.lock().expect("no task panics").drain(..) {
            task.abort();
        }
    }

    /// A caller sends a request.
    pub fn send(&self, spec: &SendSpec, ticket: Option<TicketText>, outcomes: Outcomes) {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let request = self.request(spec, ticket);
        let (sender, start) = oneshot::channel();
        let first = AttemptId { entry: self.incarnation, request: id, attempt: 0 };
        let delivery = AnswerDelivery::new(first, None, sender);
        let course = RequestCourse::new(self.ports.clone(), self.incarnation, id, request, delivery);
        let task = tokio::spawn(course.run());
        self.tasks.lock().expect("no task panics").push(task);
        let spec = spec.clone();
        tokio::spawn(async move {
            let outcome = collect(start, &spec).await;
            outcomes.lock().expect("no task panics").insert(spec.label, outcome);
        });
    }

    fn request(&self, spec: &SendSpec, ticket: Option<TicketText>) -> CallerRequest {
        let own = spec.key.as_ref().and_then(|key| key.strip_prefix("own:"));
        let own = own.map(|key| CallerKey::Own(key.to_owned()));
        CallerRequest {
            team: TEAM.parse().expect("the name is valid"),
            service: spec.service.parse().expect("scenario names are valid"),
            kind: ServiceKind::Model,
            method: "POST".to_owned(),
            path: "/run".to_owned(),
            headers: Vec::new(),
            body: body_of(&spec.name, spec.tokens),
            deadline: UnixDeadline::after(self.shared.clock.now(), spec.deadline),
            priority: RequestPriority::default(),
            repeat: if spec.never { RepeatPolicy::Never } else { RepeatPolicy::Safe },
            stream: spec.tokens > 0,
            resume_after: None,
            key: ticket.map(CallerKey::Ticket).or(own),
            prompt_tokens: 0,
            prefix_blocks: Arc::from([]),
        }
    }
}

async fn collect(start: oneshot::Receiver<AnswerStart>, spec: &SendSpec) -> SentOutcome {
    match start.await {
        Err(_dead) => SentOutcome::Lost,
        Ok(AnswerStart::Refused(refusal)) => {
            SentOutcome::Refused { reason: refusal.reason.to_string(), verdict: refusal.verdict.to_string() }
        }
        Ok(AnswerStart::Whole(_head, body)) if body == spec.name => SentOutcome::Whole,
        Ok(AnswerStart::Whole(_head, body)) => {
            SentOutcome::Wrong(String::from_utf8_lossy(&body).into_owned())
        }
        Ok(AnswerStart::Streaming(body)) => collect_stream(body, spec).await,
    }
}

async fn collect_stream(mut body: mpsc::Receiver<Result<Bytes, io::Error>>, spec: &SendSpec) -> SentOutcome {
    let mut text = String::new();
    while let Some(piece) = body.recv().await {
        match piece {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_broken) => return SentOutcome::Broken,
        }
    }
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let Some(("[DONE]", tokens)) = data.split_last().map(|(last, rest)| (*last, rest)) else {
        return SentOutcome::Lost;
    };
    let expected: Vec<Bytes> = (1..=spec.tokens).map(|position| token(&spec.name, position)).collect();
    if tokens.iter().map(|one| one.as_bytes()).eq(expected.iter().map(AsRef::as_ref)) {
        return SentOutcome::Whole;
    }
    SentOutcome::Wrong(text)
}

impl EntryShared {
    /// Waits while the process is paused.
    async fn awake(&self) {
        let mut paused = self.paused.subscribe();
        // The sender lives as long as this entry.
        let _awake = paused.wait_for(|paused| !*paused).await;
    }

    async fn adopt_from_table(&self) {
        if !self.network.hears(&self.zone, PLATFORM) {
            return;
        }
        let since = self.config.lock().expect("no task panics").revision();
        if let Ok(feed) = self.platform.changes(CONFIG_PREFIX, since).await {
            let (change, _unreadable) = config_change(feed);
            self.config.lock().expect("no task panics").adopt(change);
        }
    }

    fn adopt_from_peers(&self, others: &[Arc<Self>]) {
        for other in others.iter().filter(|other| other.name != self.name) {
            if self.network.hears(&self.zone, &other.zone) {
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
        let mut broken = node.lives();
        broken.borrow_and_update();
        tokio::time::sleep(ScenarioNetwork::latency(&self.zone, &node.spec.zone)).await;
        if !self.network.hears(&self.zone, &node.spec.zone) || node.actor().is_none() {
            return Err(UNREACHABLE);
        }
        if *node.paused().borrow() {
            return self.offer_to_paused(node, offer).await;
        }
        tokio::select! {
            biased;
            _ = broken.changed() => Err(LOST),
            () = self.network.broken(&self.zone, &node.spec.zone) => Err(LOST),
            outcome = self.run_offer(node, offer, frames) => outcome,
        }
    }

    /// The offer lies in the paused process's socket: it is taken when the process goes on.
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
                // Nobody listens any more; whether it runs is for the actor to say.
                drop(actor.ask(OfferRequest(Arc::new(offer))).await);
            }
        });
        tokio::time::sleep(SILENCE).await;
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
        let _told = actor.tell(OfferAbandoned(attempt)).await;
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
            let news = follower.next().await;
            let mut paused = node.paused();
            let awake = paused.wait_for(|paused| !*paused);
            if tokio::time::timeout(SILENCE, awake).await.is_err() {
                return Err(LOST);
            }
            match news {
                LogNews::Events(first, events) => {
                    for (event, data) in (first..).zip(events) {
                        digest.update(&data);
                        let frame = AnswerFrame { attempt, sequence, event, data };
                        sequence += 1;
                        frames.send(frame).await.map_err(|_gone| LOST)?;
                    }
                }
                LogNews::End(LogEnd::StreamDone) => {
                    return Ok(OfferOutcome::StreamEnd { frames: sequence, digest: digest.value() });
                }
                LogNews::End(LogEnd::Whole { head, body }) => {
                    let digest = AnswerDigest::of(&body);
                    return Ok(OfferOutcome::Whole { head, body, digest });
                }
                LogNews::End(LogEnd::Refused { reason, verdict, retry_at }) => {
                    return Ok(OfferOutcome::Refused { reason, verdict, retry_at });
                }
                LogNews::Missing => {
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
struct EntryPort(Arc<EntryShared>);

impl RoutingPort for EntryPort {
    fn route(&self, ask: RouteAsk) -> BoxFuture<'_, Result<RouteTold, CallerRefusal>> {
        Box::pin(async move {
            self.0.awake().await;
            let query = RouteQuery {
                service: &ask.service,
                now: self.0.clock.now(),
                deadline: ask.deadline,
                prompt_tokens: ask.prompt_tokens,
                prefix_blocks: &ask.prefix_blocks,
                exclude: &ask.exclude,
            };
            let mut router = self.0.router.lock().expect("no task panics");
            match router.choose(&query) {
                Ok(choice) => {
                    if !ask.peek {
                        router.sent(query.now, &choice.target, ask.attempt, &query);
                    }
                    Ok(RouteTold { choice, hedge_at: None })
                }
                Err(reason) => Err(CallerRefusal::not_run(reason, "no target")),
            }
        })
    }

    fn release(&self, _team: TeamName) {}

    fn first_frame(&self, target: TargetName, attempt: AttemptId) {
        let now = self.0.clock.now();
        self.0.router.lock().expect("no task panics").first_token(now, &target, attempt);
    }

    fn first_token(&self, _millis: u64) {}
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
            shared.awake().await;
            let node = shared.target(&target).ok_or(UNREACHABLE)?;
            let heard = shared.network.hears(&shared.zone, &node.spec.zone) && !*node.paused().borrow();
            let actor = node.actor().filter(|_actor| heard).ok_or(UNREACHABLE)?;
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
            self.0.awake().await;
            let Ok(value) = serde_json::to_value(row) else { return ClaimEvent::TableSilent };
            if !self.0.network.hears(&self.0.zone, PLATFORM) {
                return ClaimEvent::TableSilent;
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
                None => ClaimEvent::TableSilent,
            }
        })
    }

    fn read(&self, key: String) -> BoxFuture<'_, ClaimEvent<TicketText>> {
        Box::pin(async move {
            self.0.awake().await;
            if !self.0.network.hears(&self.0.zone, PLATFORM) {
                return ClaimEvent::TableSilent;
            }
            match self.0.platform.item(format!("{CLAIM_PREFIX}{key}")).await {
                Ok(item) => ClaimEvent::Read(item.and_then(|item| {
                    let row = serde_json::from_value(item.value?).ok()?;
                    Some(VersionedClaim { version: item.version, row })
                })),
                Err(_silent) => ClaimEvent::TableSilent,
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
