//! What the course of a request needs from the rest of the entry process.

use futures::future::BoxFuture;
use porthoist_core::{
    AnswerFrame, AttemptId, ClockSource, OfferOutcome, RefusalReason, RequestId, RequestOffer, RunVerdict,
    ServiceName, TargetName, TeamName, TicketText, UnixDeadline, UnixMillis,
};
use porthoist_metrics::MetricsHub;
use porthoist_policy::claim::{ClaimEvent, ClaimRow};
use porthoist_policy::explain::{DecisionKind, DecisionLog};
use porthoist_policy::router::RouteChoice;
use porthoist_policy::table::{ServiceRow, TeamRow};
use std::fmt;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// The final refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request, or the key it stands for, may have run.
    pub verdict: RunVerdict,
    /// When another try makes sense.
    pub retry_at: Option<UnixMillis>,
    /// What was wrong, in words.
    pub detail: String,
}

impl CallerRefusal {
    /// A refusal before anything was sent.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, verdict: RunVerdict::NotRun, retry_at: None, detail: detail.into() }
    }
}

/// An offer without an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferFailure {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: RunVerdict,
}

/// What a target is asked for.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The attempt that will be made.
    pub attempt: AttemptId,
    /// Who pays.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks.
    pub prefix_blocks: Arc<[u64]>,
    /// Targets that refused already.
    pub exclude: Vec<TargetName>,
    /// Counts against the team's limits; false for a further attempt of an admitted request.
    pub admit: bool,
    /// Spends the retry budget.
    pub retry: bool,
    /// Only asks: the attempt is not counted as sent to the target.
    pub peek: bool,
}

/// A target, and when a second attempt beside this one makes sense.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteReply {
    /// The choice.
    pub choice: RouteChoice,
    /// Time of the hedge, if hedging is on.
    pub hedge_at: Option<UnixMillis>,
}

/// Limits, routing and the retry budget.
pub trait RoutingPort: fmt::Debug + Send + Sync {
    /// Admits and routes an attempt.
    fn route(&self, ask: RouteRequest) -> BoxFuture<'_, Result<RouteReply, CallerRefusal>>;
    /// An admitted request is over.
    fn release(&self, team: TeamName);
    /// The first frame of an attempt came back.
    fn first_frame(&self, target: TargetName, attempt: AttemptId);
    /// The first token of a request took so long, in milliseconds.
    fn first_token(&self, millis: u64);
}

/// Offers to targets.
pub trait OfferPort: fmt::Debug + Send + Sync {
    /// Offers a request to a target; dropping the future gives the offer up.
    fn offer(
        &self,
        target: TargetName,
        offer: RequestOffer,
        frames: mpsc::Sender<AnswerFrame>,
    ) -> BoxFuture<'static, Result<OfferOutcome, OfferFailure>>;
    /// Asks a target for tickets.
    fn mint(
        &self,
        target: TargetName,
        team: TeamName,
        count: u32,
        deadline: UnixDeadline,
    ) -> BoxFuture<'static, Result<Vec<TicketText>, OfferFailure>>;
}

/// Claims of callers' own keys in the table.
pub trait ClaimPort: fmt::Debug + Send + Sync {
    /// Writes a claim row if its version is `expected`.
    fn write(
        &self,
        key: String,
        expected: Option<u64>,
        row: ClaimRow<TicketText>,
    ) -> BoxFuture<'_, ClaimEvent<TicketText>>;
    /// Reads a claim row.
    fn read(&self, key: String) -> BoxFuture<'_, ClaimEvent<TicketText>>;
}

/// The configuration in force.
pub trait ConfigPort: fmt::Debug + Send + Sync {
    /// Whether any configuration is in force.
    fn ready(&self) -> bool;
    /// A team's row.
    fn team(&self, team: &TeamName) -> Option<TeamRow>;
    /// A service's row.
    fn service(&self, service: &ServiceName) -> Option<ServiceRow>;
}

/// All of them.
#[derive(Debug, Clone)]
pub struct CallerPorts {
    /// Limits and routing.
    pub routing: Arc<dyn RoutingPort>,
    /// Offers.
    pub offers: Arc<dyn OfferPort>,
    /// Claims.
    pub claims: Arc<dyn ClaimPort>,
    /// Configuration.
    pub config: Arc<dyn ConfigPort>,
    /// The time.
    pub clock: Arc<dyn ClockSource>,
    /// Counters.
    pub metrics: Arc<MetricsHub>,
    /// Decisions for `porthoist explain`.
    pub decisions: Arc<Mutex<DecisionLog>>,
}

impl CallerPorts {
    /// Records a decision.
    pub fn decided(&self, request: RequestId, kind: DecisionKind) {
        let now = self.clock.now();
        if let Ok(mut decisions) = self.decisions.lock() {
            decisions.record(now, request, kind);
        }
    }
}
