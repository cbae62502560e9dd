//! The routing actor of an entry: limits, router, retry budget and hedges.

use crate::config::ConfigHub;
use futures::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::error::SendError;
use kameo::message::{Context, Message};
use porthoist_caller::ports::RouteReply;
use porthoist_caller::{CallerRefusal, RouteRequest, RoutingPort};
use porthoist_core::{
    AttemptId, ClockSource, LoadReport, RefusalReason, RunVerdict, TargetName, TeamName, UnixMillis,
};
use porthoist_policy::limits::coordinator::{LimitCoordinator, SettleAsk, SettleTold, team_key};
use porthoist_policy::limits::{EntryLimiter, TeamLimit};
use porthoist_policy::retry::RetryBudget;
use porthoist_policy::retry::hedge::HedgePolicy;
use porthoist_policy::router::{RouteQuery, RouteTarget, Router, RouterSettings};
use std::collections::HashMap;
use std::sync::Arc;

/// Capacity of the actor's mailbox; route requests beyond it are refused as overload.
const MAILBOX_CAPACITY: usize = 8192;
/// Retries allowed per first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Maximum number of unused retries that accumulate.
const RETRY_BURST: f64 = 20.0;

/// Decides on admission, routes, retries and hedges for one entry.
#[derive(Debug, Actor)]
pub struct RoutingActor {
    router: Router,
    limiter: EntryLimiter,
    coordinator: LimitCoordinator,
    limits_by_hash: HashMap<u64, TeamLimit>,
    limits_revision: u64,
    retry_budget: RetryBudget,
    hedges: HedgePolicy,
    hedging: bool,
    config: Arc<ConfigHub>,
    clock: Arc<dyn ClockSource>,
}

/// Requests a route.
#[derive(Debug)]
pub struct RouteMessage(pub RouteRequest);

/// The outcome of a contact with a target: its load report, and the attempt that ended.
#[derive(Debug)]
pub struct LoadMessage {
    /// The target.
    pub target: TargetName,
    /// Its load, if it reported one.
    pub load: Option<LoadReport>,
    /// The attempt that ended.
    pub done: Option<AttemptId>,
    /// Whether the target was unreachable.
    pub unreachable: bool,
}

/// A change of the set of targets.
#[derive(Debug)]
pub enum TargetMessage {
    /// Adds or updates a target.
    Upsert(RouteTarget),
    /// Its process restarted.
    Reset(TargetName),
    /// Removes a target.
    Remove(TargetName),
}

/// Updates the number of live entries.
#[derive(Debug, Clone, Copy)]
pub struct EntriesMessage {
    /// Entries in this zone.
    pub zone: u32,
    /// Entries in all zones, which send to the same targets.
    pub all: u32,
}

/// An admitted request of a team ended.
#[derive(Debug)]
pub struct ReleaseMessage(pub TeamName);

/// Requests the teams that are due for settlement.
#[derive(Debug, Clone, Copy)]
pub struct DueTeamsMessage;

impl Message<DueTeamsMessage> for RoutingActor {
    type Reply = Vec<(TeamName, SettleAsk)>;

    async fn handle(&mut self, _msg: DueTeamsMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.limiter.due(self.clock.now())
    }
}

/// The coordinator's answers to settlement requests; `None` if it was unreachable.
#[derive(Debug)]
pub struct SettledMessage(pub Vec<(TeamName, SettleAsk, Option<SettleTold>)>);

impl Message<SettledMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: SettledMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        for (team, ask, reply) in msg.0 {
            match reply {
                Some(reply) => self.limiter.settled(now, &team, ask, reply),
                None => self.limiter.coordinator_unreachable(now, &team),
            }
        }
    }
}

/// Settlement requests for teams that this entry coordinates.
#[derive(Debug)]
pub struct CoordinatorMessage(pub Vec<SettleAsk>);

impl Message<CoordinatorMessage> for RoutingActor {
    type Reply = Vec<SettleTold>;

    async fn handle(
        &mut self,
        msg: CoordinatorMessage,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        let mut replies = Vec::with_capacity(msg.0.len());
        for ask in msg.0 {
            if let Some(limit) = self.limit_of(ask.team) {
                replies.push(self.coordinator.settle(now, ask, limit));
            }
        }
        replies
    }
}

/// An attempt returned its first frame.
#[derive(Debug)]
pub struct FirstFrameMessage {
    /// The target.
    pub target: TargetName,
    /// The attempt.
    pub attempt: AttemptId,
}

impl Message<FirstFrameMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstFrameMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.router.first_token(self.clock.now(), &msg.target, msg.attempt);
    }
}

/// An observed time to first token, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct FirstTokenMessage(pub u64);

impl RoutingActor {
    /// Starts the actor on the current runtime.
    pub fn start(
        settings: RouterSettings,
        hedging: bool,
        config: Arc<ConfigHub>,
        clock: Arc<dyn ClockSource>,
    ) -> ActorRef<Self> {
        let actor = Self {
            router: Router::new(settings),
            limiter: EntryLimiter::new(1),
            coordinator: LimitCoordinator::new(),
            limits_by_hash: HashMap::new(),
            limits_revision: 0,
            retry_budget: RetryBudget::new(RETRY_SHARE, RETRY_BURST),
            hedges: HedgePolicy::default(),
            hedging,
            config,
            clock,
        };
        Self::spawn_with_mailbox(actor, kameo::mailbox::bounded(MAILBOX_CAPACITY))
    }

    /// The limits of the team with hash `team`, from the configuration in force.
    fn limit_of(&mut self, team: u64) -> Option<TeamLimit> {
        if self.limits_revision != self.config.revision() {
            self.limits_revision = self.config.revision();
            self.limits_by_hash =
                self.config.limits().map(|(name, limit)| (team_key(&name), limit)).collect();
        }
        self.limits_by_hash.get(&team).copied()
    }

    fn admit(&mut self, now: UnixMillis, team: &TeamName) -> Result<(), CallerRefusal> {
        let Some(limit) = self.config.limit(team) else {
            return Err(CallerRefusal::not_run(RefusalReason::Unauthorized, "the team has no row"));
        };
        self.limiter.admit(now, team, limit).map_err(|refusal| CallerRefusal {
            reason: refusal.reason,
            verdict: RunVerdict::NotRun,
            retry_at: Some(refusal.retry_at),
            detail: format!("the limits of team {team} are reached"),
        })
    }

    fn route(&mut self, request: &RouteRequest) -> Result<RouteReply, CallerRefusal> {
        let now = self.clock.now();
        let query = RouteQuery {
            service: &request.service,
            now,
            deadline: request.deadline,
            prompt_tokens: request.prompt_tokens,
            prefix_blocks: &request.prefix_blocks,
            exclude: &request.exclude,
        };
        if request.admit {
            self.admit(now, &request.team)?;
            self.retry_budget.first_attempt();
        }
        if request.retry && !self.retry_budget.try_spend() {
            self.undo_admission(request);
            return Err(no_route(now, RefusalReason::RetryBudget, "the retry budget is spent"));
        }
        match self.router.choose(&query) {
            Ok(choice) => {
                if !request.peek {
                    self.router.sent(now, &choice.target, request.attempt, &query);
                }
                let hedge_at = if self.hedging { self.hedges.hedge_at(now) } else { None };
                Ok(RouteReply { choice, hedge_at })
            }
            Err(reason) => {
                self.undo_admission(request);
                Err(no_route(now, reason, "no target serves the service at present"))
            }
        }
    }

    /// Releases the concurrency slot of a request that gets no route.
    fn undo_admission(&mut self, request: &RouteRequest) {
        if request.admit {
            self.limiter.release(&request.team);
        }
    }
}

/// Milliseconds after which a request without a route is worth retrying.
const NO_ROUTE_RETRY_MILLIS: u64 = 1000;

fn no_route(now: UnixMillis, reason: RefusalReason, detail: &str) -> CallerRefusal {
    let retry_at = Some(now.plus(NO_ROUTE_RETRY_MILLIS));
    CallerRefusal { reason, verdict: RunVerdict::NotRun, retry_at, detail: detail.to_owned() }
}

impl Message<RouteMessage> for RoutingActor {
    type Reply = Result<RouteReply, CallerRefusal>;

    async fn handle(&mut self, msg: RouteMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.route(&msg.0)
    }
}

impl Message<LoadMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: LoadMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let LoadMessage { target, load, done, unreachable } = msg;
        if let Some(attempt) = done {
            self.router.done(&target, attempt);
        }
        if let Some(load) = load {
            self.router.report(&target, load);
        }
        if unreachable {
            self.router.unreachable(self.clock.now(), &target);
        }
    }
}

impl Message<TargetMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: TargetMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        match msg {
            TargetMessage::Upsert(target) => self.router.upsert(target),
            TargetMessage::Reset(target) => self.router.reset(&target),
            TargetMessage::Remove(target) => self.router.remove(&target),
        }
    }
}

impl Message<EntriesMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: EntriesMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.limiter.set_entries(msg.zone);
        self.router.set_entries(msg.all);
        self.limiter.forget_idle(self.clock.now());
        self.coordinator.forget_idle(self.clock.now());
    }
}

impl Message<ReleaseMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReleaseMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.limiter.release(&msg.0);
    }
}

impl Message<FirstTokenMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstTokenMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.hedges.observe(msg.0);
    }
}

/// Sends the caller server's messages to the actor.
#[derive(Debug, Clone)]
pub struct RoutingHandle(pub ActorRef<RoutingActor>);

impl RoutingPort for RoutingHandle {
    fn route(&self, request: RouteRequest) -> BoxFuture<'_, Result<RouteReply, CallerRefusal>> {
        Box::pin(async move {
            match self.0.ask(RouteMessage(request)).try_send().await {
                Ok(route) => Ok(route),
                Err(SendError::HandlerError(refusal)) => Err(refusal),
                Err(_full) => {
                    Err(CallerRefusal::not_run(RefusalReason::Overloaded, "this entry is overloaded"))
                }
            }
        })
    }

    fn release(&self, team: TeamName) {
        self.send_reliably(ReleaseMessage(team));
    }

    fn report_first_frame(&self, target: TargetName, attempt: AttemptId) {
        // Losing an observation is harmless.
        let _sent = self.0.tell(FirstFrameMessage { target, attempt }).try_send();
    }

    fn report_first_token(&self, millis: u64) {
        // Losing an observation is harmless.
        let _sent = self.0.tell(FirstTokenMessage(millis)).try_send();
    }
}

impl RoutingHandle {
    /// Sends a message that must not be lost, because its concurrency slot would leak. If the mailbox is
    /// full, a task waits until it is accepted.
    fn send_reliably(&self, message: ReleaseMessage) {
        let actor = self.0.clone();
        if let Err(SendError::MailboxFull(message)) = actor.tell(message).try_send() {
            tokio::spawn(async move { actor.tell(message).await });
        }
    }
}
