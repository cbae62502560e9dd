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

/// Messages that wait for the actor at most; more are refused as overload.
const MAILBOX: usize = 8192;
/// Retries for each first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const RETRY_BURST: f64 = 20.0;

/// The actor.
#[derive(Debug, Actor)]
pub struct RoutingActor {
    router: Router,
    limiter: EntryLimiter,
    coordinator: LimitCoordinator,
    kept_limits: HashMap<u64, TeamLimit>,
    kept_revision: u64,
    budget: RetryBudget,
    hedges: HedgePolicy,
    hedging: bool,
    config: Arc<ConfigHub>,
    clock: Arc<dyn ClockSource>,
}

/// Asks for a route.
#[derive(Debug)]
pub struct RouteMessage(pub RouteRequest);

/// A load report, and the attempt that it came back with.
#[derive(Debug)]
pub struct LoadMessage {
    /// The target.
    pub target: TargetName,
    /// Its load; absent where it said nothing.
    pub load: Option<LoadReport>,
    /// The attempt that is over.
    pub done: Option<AttemptId>,
    /// The target could not be reached.
    pub unreachable: bool,
}

/// What the fleet duty knows of a target.
#[derive(Debug)]
pub enum TargetMessage {
    /// It is there.
    Upsert(RouteTarget),
    /// Its process began a new life.
    Reset(TargetName),
    /// It is gone.
    Remove(TargetName),
}

/// The number of live entries in the zone, and of those that send to the same targets.
#[derive(Debug, Clone, Copy)]
pub struct EntriesMessage {
    /// In the own zone.
    pub zone: u32,
    /// In all zones.
    pub all: u32,
}

/// An admitted request is over.
#[derive(Debug)]
pub struct ReleaseMessage(pub TeamName);

/// Asks which teams are to be settled with their coordinators now.
#[derive(Debug, Clone, Copy)]
pub struct DueMessage;

impl Message<DueMessage> for RoutingActor {
    type Reply = Vec<(TeamName, SettleAsk)>;

    async fn handle(&mut self, _msg: DueMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.limiter.due(self.clock.now())
    }
}

/// What a coordinator answered, or nothing where it could not be heard.
#[derive(Debug)]
pub struct SettledMessage(pub Vec<(TeamName, SettleAsk, Option<SettleTold>)>);

impl Message<SettledMessage> for RoutingActor {
    type Reply = ();

    async fn handle(&mut self, msg: SettledMessage, _ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        for (team, ask, told) in msg.0 {
            match told {
                Some(told) => self.limiter.settled(now, &team, ask, told),
                None => self.limiter.coordinator_unreachable(now, &team),
            }
        }
    }
}

/// Another entry settles teams that this one keeps.
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
        let mut told = Vec::with_capacity(msg.0.len());
        for ask in msg.0 {
            if let Some(limit) = self.limit_of(ask.team) {
                told.push(self.coordinator.settle(now, ask, limit));
            }
        }
        told
    }
}

/// The first frame of an attempt came back.
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

/// A first token took so long, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct FirstTokenMessage(pub u64);

impl RoutingActor {
    /// Starts the actor on the present runtime.
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
            kept_limits: HashMap::new(),
            kept_revision: 0,
            budget: RetryBudget::new(RETRY_SHARE, RETRY_BURST),
            hedges: HedgePolicy::default(),
            hedging,
            config,
            clock,
        };
        Self::spawn_with_mailbox(actor, kameo::mailbox::bounded(MAILBOX))
    }

    /// The limits of the team with this hash, in the configuration in force.
    fn limit_of(&mut self, team: u64) -> Option<TeamLimit> {
        if self.kept_revision != self.config.revision() {
            self.kept_revision = self.config.revision();
            self.kept_limits = self.config.limits().map(|(name, limit)| (team_key(&name), limit)).collect();
        }
        self.kept_limits.get(&team).copied()
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

    fn route(&mut self, ask: &RouteRequest) -> Result<RouteReply, CallerRefusal> {
        let now = self.clock.now();
        let query = RouteQuery {
            service: &ask.service,
            now,
            deadline: ask.deadline,
            prompt_tokens: ask.prompt_tokens,
            prefix_blocks: &ask.prefix_blocks,
            exclude: &ask.exclude,
        };
        if ask.admit {
            self.admit(now, &ask.team)?;
            self.budget.first_attempt();
        }
        if ask.retry && !self.budget.try_spend() {
            self.undo_admission(ask);
            return Err(no_route(now, RefusalReason::RetryBudget, "the retry budget is spent"));
        }
        match self.router.choose(&query) {
            Ok(choice) => {
                if !ask.peek {
                    self.router.sent(now, &choice.target, ask.attempt, &query);
                }
                let hedge_at = if self.hedging { self.hedges.hedge_at(now) } else { None };
                Ok(RouteReply { choice, hedge_at })
            }
            Err(reason) => {
                self.undo_admission(ask);
                Err(no_route(now, reason, "no target serves the service at present"))
            }
        }
    }

    /// A request that gets no route holds no concurrency.
    fn undo_admission(&mut self, ask: &RouteRequest) {
        if ask.admit {
            self.limiter.release(&ask.team);
        }
    }
}

/// A refusal for want of a target is worth another try after a moment.
const RETRY_MILLIS: u64 = 1000;

fn no_route(now: UnixMillis, reason: RefusalReason, detail: &str) -> CallerRefusal {
    let retry_at = Some(now.plus(RETRY_MILLIS));
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

/// The callers' way to the actor.
#[derive(Debug, Clone)]
pub struct RoutingHandle(pub ActorRef<RoutingActor>);

impl RoutingPort for RoutingHandle {
    fn route(&self, ask: RouteRequest) -> BoxFuture<'_, Result<RouteReply, CallerRefusal>> {
        Box::pin(async move {
            match self.0.ask(RouteMessage(ask)).try_send().await {
                Ok(told) => Ok(told),
                Err(SendError::HandlerError(refusal)) => Err(refusal),
                Err(_full) => {
                    Err(CallerRefusal::not_run(RefusalReason::Overloaded, "this entry is overloaded"))
                }
            }
        })
    }

    fn release(&self, team: TeamName) {
        self.tell_bounded(ReleaseMessage(team));
    }

    fn first_frame(&self, target: TargetName, attempt: AttemptId) {
        // A lost observation costs nothing.
        let _told = self.0.tell(FirstFrameMessage { target, attempt }).try_send();
    }

    fn first_token(&self, millis: u64) {
        // A lost observation costs nothing.
        let _told = self.0.tell(FirstTokenMessage(millis)).try_send();
    }
}

impl RoutingHandle {
    /// A message that must not be lost, or a concurrency slot would leak: it waits in a task when the mailbox is full.
    fn tell_bounded(&self, message: ReleaseMessage) {
        let actor = self.0.clone();
        if let Err(SendError::MailboxFull(message)) = actor.tell(message).try_send() {
            tokio::spawn(async move { actor.tell(message).await });
        }
    }
}
