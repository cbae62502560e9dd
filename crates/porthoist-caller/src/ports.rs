//! Interfaces to the rest of the entry process that handling a request needs.

use futures::future::BoxFuture;
use porthoist_core::{
    AnswerFrame, AttemptId, ClockSource, OfferOutcome, RefusalReason, RequestId, RequestOffer, RunVerdict,
    ServiceName, TargetName, TeamName, TicketText, UnixDeadline, UnixMillis,
};
use porthoist_metrics::MetricsHub;
use porthoist_policy::claim::{ClaimEvent, ClaimRow};
use porthoist_policy::decision_log::{DecisionKind, DecisionLog};
use porthoist_policy::router::RouteChoice;
use porthoist_policy::table::{ServiceRow, TeamRow};
use std::fmt;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// The final refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request, or an earlier one with the same key, may have run.
    pub verdict: RunVerdict,
    /// The earliest time at which a retry is useful.
    pub retry_at: Option<UnixMillis>,
    /// Explanation of the refusal.
    pub detail: String,
}

impl CallerRefusal {
    /// Creates a refusal from before anything was sent.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, verdict: RunVerdict::NotRun, retry_at: None, detail: detail.into() }
    }
}

/// Failure of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferFailure {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
}

/// A request for admission and routing.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The next attempt.
    pub attempt: AttemptId,
    /// The team whose limits the request counts against.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks.
    pub prefix_blocks: Arc<[u64]>,
    /// Targets that must not be chosen, because they have refused or failed.
    pub exclude: Vec<TargetName>,
    /// Whether to count the request against the team's limits; false for further attempts of an admitted request.
    pub admit: bool,
    /// Whether the attempt is a retry, which uses the retry budget.
    pub retry: bool,
    /// Whether to choose a target without counting the attempt as sent to it.
    pub peek: bool,
}

/// The chosen target, and when to hedge with a second attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteReply {
    /// The chosen target.
    pub choice: RouteChoice,
    /// When to start the hedge, if hedging is enabled.
    pub hedge_at: Option<UnixMillis>,
}

/// Limits, routing and the retry budget.
pub trait RoutingPort: fmt::Debug + Send + Sync {
    /// Admits and routes an attempt.
    fn route(&self, request: RouteRequest) -> BoxFuture<'_, Result<RouteReply, CallerRefusal>>;
    /// Reports that an admitted request has ended.
    fn release(&self, team: TeamName);
    /// Reports the first frame of an attempt.
    fn report_first_frame(&self, target: TargetName, attempt: AttemptId);
    /// Reports a request's time to the first token, in milliseconds.
    fn report_first_token(&self, millis: u64);
}

/// Offers to targets.
pub trait OfferPort: fmt::Debug + Send + Sync {
    /// Offers a request to a target. Dropping the future cancels the offer.
    fn offer(
        &self,
        target: TargetName,
        offer: RequestOffer,
        frames: mpsc::Sender<AnswerFrame>,
    ) -> BoxFuture<'static, Result<OfferOutcome, OfferFailure>>;
    /// Requests tickets from a target.
    fn mint(
        &self,
        target: TargetName,
        team: TeamName,
        count: u32,
        deadline: UnixDeadline,
    ) -> BoxFuture<'static, Result<Vec<TicketText>, OfferFailure>>;
}

/// Access to the claims of callers' own keys in the table.
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

/// Access to the configuration in force.
pub trait ConfigPort: fmt::Debug + Send + Sync {
    /// Whether any configuration is in force.
    fn ready(&self) -> bool;
    /// Returns a team's row.
    fn team(&self, team: &TeamName) -> Option<TeamRow>;
    /// Returns a service's row.
    fn service(&self, service: &ServiceName) -> Option<ServiceRow>;
}

/// All interfaces that handling a request needs.
#[derive(Debug, Clone)]
pub struct CallerPorts {
    /// Limits and routing.
    pub routing: Arc<dyn RoutingPort>,
    /// Offers to targets.
    pub offers: Arc<dyn OfferPort>,
    /// Claims of callers' own keys.
    pub claims: Arc<dyn ClaimPort>,
    /// The configuration in force.
    pub config: Arc<dyn ConfigPort>,
    /// The source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// The metrics of the process.
    pub metrics: Arc<MetricsHub>,
    /// Decisions for `porthoist explain`.
    pub decisions: Arc<Mutex<DecisionLog>>,
}

impl CallerPorts {
    /// Records a decision for `porthoist explain`.
    pub fn record_decision(&self, request: RequestId, kind: DecisionKind) {
        let now = self.clock.now();
        if let Ok(mut decisions) = self.decisions.lock() {
            decisions.record(now, request, kind);
        }
    }
}
