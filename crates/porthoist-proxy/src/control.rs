//! Keeps routes and targets up to date from a control source.
//!
//! One task watches routes, another targets. Each lists all rows once and then long-polls for changes. It
//! lists again if the source no longer has the history, does not answer, or returns an error.

use crate::revision::TableEra;
use crate::rows::{ANSWER_TIMEOUT_MILLIS, answer_within};
use crate::source::{AnswerOrigin, ControlSource, OperatorUpdate, SourceAnswer, SourceError};
use crate::table_reader::GapAges;
use porthoist_core::{ClockSource, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::change_bound::ChangeBound;
use porthoist_policy::proxy::freshness::{FreshnessProof, StampedAnswer};
use porthoist_policy::proxy::outages::{
    AnswerGap, EXPIRY_CHECK_MILLIS, EndedOutages, GracePeriod, OutageWitness, StalenessBound,
};
use porthoist_policy::proxy::routes::RouteTable;
use porthoist_policy::proxy::targets::{TargetChange, TargetRegistry};
use porthoist_policy::proxy::zones::{EmptiedZones, ZoneChange, ZoneUpdate};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum long-poll timeout for routes, in milliseconds. A longer one would detect lost connections later.
const MAX_ROUTES_WAIT_MILLIS: u64 = 3_300;
/// Minimum long-poll timeout for routes, in milliseconds. Each call has a cost.
const MIN_ROUTES_WAIT_MILLIS: u64 = 500;
/// Time reserved for polling routes again after a response that did not come, before the freshness proof
/// expires, in milliseconds.
const REPOLL_MARGIN_MILLIS: u64 = 400;
/// Time reserved for the response to a poll for routes that waits as long as a short-lived freshness proof
/// permits, in milliseconds.
const RESPONSE_MARGIN_MILLIS: u64 = 100;
/// Minimum lifetime of a freshness proof for which polls for routes renew it in time, in milliseconds.
pub const MIN_PROOF_AGE_MILLIS: u64 = MIN_ROUTES_WAIT_MILLIS + RESPONSE_MARGIN_MILLIS;
/// Default lifetime of a freshness proof, in milliseconds: it permits the maximum long-poll timeout.
const DEFAULT_PROOF_AGE_MILLIS: u64 = MAX_ROUTES_WAIT_MILLIS + ANSWER_TIMEOUT_MILLIS + REPOLL_MARGIN_MILLIS;
/// Minimum long-poll timeout for targets, in milliseconds. Each call has a cost.
const MIN_TARGETS_WAIT_MILLIS: u64 = 500;
/// Maximum long-poll timeout for targets, in milliseconds. The table service accepts up to 30,000.
const MAX_TARGETS_WAIT_MILLIS: u64 = 25_000;
/// Time reserved within the staleness bound for listing targets again, in milliseconds.
const LIST_MARGIN_MILLIS: u64 = 100;
/// Pause after a change of routes, in milliseconds. Versions can come every 80 ms, and each must be in force
/// within 2,000 ms.
const ROUTES_PAUSE_MILLIS: u64 = 100;
/// Pause after a change of targets, in milliseconds, so that many changes cost one poll. A draining target
/// must receive nothing new after 2,000 ms.
const TARGETS_PAUSE_MILLIS: u64 = 800;
/// Initial backoff after a failed call, in milliseconds. It doubles up to [`MAX_BACKOFF_MILLIS`].
const MIN_BACKOFF_MILLIS: u64 = 60;
/// Maximum backoff, in milliseconds. The process must be ready again within a second of the source's
/// recovery.
const MAX_BACKOFF_MILLIS: u64 = 480;
/// Maximum number of target changes in one response that are logged individually. When a fleet starts, the
/// number of lines would be hosts times targets.
const MAX_LOGGED_CHANGES: usize = 16;

/// Routes and targets as this process knows them.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    /// Routes in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Zones whose targets receive no new requests.
    pub emptied_zones: EmptiedZones,
    /// Known targets.
    pub targets: TargetRegistry,
    /// Whether the targets have been listed at least once.
    pub targets_listed: bool,
    /// Proof that the routes are up to date.
    pub routes_proof: FreshnessProof,
    /// Proof that the targets are up to date.
    pub targets_proof: FreshnessProof,
}

/// Keeps a [`ControlState`] current.
#[derive(Debug, bon::Builder)]
pub struct ControlWatch {
    /// Maximum age of the known targets.
    #[builder(default)]
    staleness_bound: StalenessBound,
    /// Age in milliseconds from which a freshness proof of routes is no longer valid. Polls for routes are
    /// short enough to renew it before.
    #[builder(default = DEFAULT_PROOF_AGE_MILLIS)]
    max_proof_age_millis: u64,
    /// Time within which changes of routes and targets must be in force.
    #[builder(default)]
    change_bound: ChangeBound,
    /// Source of routes and targets.
    source: Rc<dyn ControlSource>,
    /// Receives the updates.
    state: watch::Sender<ControlState>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
    /// Incremented to make the target task list again: after a failed call for routes, or if the set of
    /// known services changes.
    #[builder(skip = watch::Sender::new(0))]
    relist: watch::Sender<u64>,
    /// When the latest failed call was sent, until a response arrives.
    #[builder(skip)]
    unanswered: Cell<Option<UnixMillis>>,
    /// Era of the last response about routes. A later era means that the service was restored from a
    /// backup.
    #[builder(skip)]
    routes_era: Cell<Option<TableEra>>,
    /// Era of the last response about targets. A later era means that the service was restored from a
    /// backup.
    #[builder(skip)]
    targets_era: Cell<Option<TableEra>>,
    /// The latest outages that have ended.
    #[builder(skip)]
    ended_outages: Cell<EndedOutages>,
    /// Whether the known targets were too old at the last check.
    #[builder(skip)]
    outdated: Cell<bool>,
    /// Backoff after the next failed call, in milliseconds.
    #[builder(skip = Cell::new(MIN_BACKOFF_MILLIS))]
    backoff: Cell<u64>,
}

impl ControlWatch {
    /// Runs until dropped.
    pub async fn run(&self) {
        tokio::join!(self.watch_routes(), self.watch_targets(), self.expire_targets());
    }

    async fn watch_routes(&self) {
        let mut revision = None;
        let mut paused = Duration::ZERO;
        loop {
            let sent = self.clock.now();
            let answer = match revision {
                None => {
                    answer_within(self.source.answer_timeout(Duration::ZERO), self.source.list_routes()).await
                }
                Some(revision) => {
                    let wait = self.routes_wait(paused);
                    answer_within(self.source.answer_timeout(wait), self.source.routes_after(revision, wait))
                        .await
                }
            };
            match answer {
                Ok(answer) => {
                    revision = Some(answer.revision);
                    self.record_answer(answer.origin);
                    let changed = !answer.value.is_empty();
                    self.apply_operator_update(answer, sent);
                    paused =
                        if changed { Duration::from_millis(ROUTES_PAUSE_MILLIS) } else { Duration::ZERO };
                    tokio::time::sleep(paused).await;
                }
                Err(SourceError::HistoryGone) => {
                    info!(self.logger, "listing routes again"; "event" => "history_gone");
                    revision = None;
                }
                Err(error) => {
                    revision = None;
                    self.relist.send_modify(|relist| *relist += 1);
                    self.handle_failure("routes", sent, &error).await;
                }
            }
        }
    }

    fn routes_wait(&self, paused: Duration) -> Duration {
        self.bounded_wait(self.proof_wait(paused), paused)
    }

    /// Shortens a long-poll timeout so that changes are in force in time even if a connection falls silent.
    fn bounded_wait(&self, wait: Duration, paused: Duration) -> Duration {
        if self.source.is_shared() {
            return self.change_bound.service_wait(wait);
        }
        // The state may have been current before the pause only.
        wait.min(self.change_bound.own_wait(wait + paused).saturating_sub(paused))
    }

    /// Returns the long-poll timeout for routes that renews the freshness proof before it expires, also if
    /// one response does not come.
    ///
    /// A proof that is too short-lived for that is renewed in time by responses that come within
    /// [`RESPONSE_MARGIN_MILLIS`]. It was last renewed before the pause.
    ///
    /// A proof that is old right after a response has an inaccurate clock offset, for example because the
    /// process was suspended during its first calls. A shorter poll improves the offset. A shared source keeps
    /// an offset of its own and calls the service before its copy becomes too old.
    fn proof_wait(&self, paused: Duration) -> Duration {
        let wait = self.max_proof_age_millis.saturating_sub(ANSWER_TIMEOUT_MILLIS + REPOLL_MARGIN_MILLIS);
        let min_wait = Duration::from_millis(MIN_ROUTES_WAIT_MILLIS);
        let wait = Duration::from_millis(wait.min(MAX_ROUTES_WAIT_MILLIS)).max(min_wait);
        let longest = Duration::from_millis(self.max_proof_age_millis.saturating_sub(RESPONSE_MARGIN_MILLIS));
        let wait = wait.min(longest.saturating_sub(paused));
        if self.source.is_shared() {
            return wait;
        }
        let age = self.state.borrow().routes_proof.age(self.clock.now()).unwrap_or_default();
        wait.min(longest.saturating_sub(Duration::from_millis(age)).max(min_wait))
    }

    async fn watch_targets(&self) {
        let mut relist = self.relist.subscribe();
        let mut revision = None;
        let mut paused = Duration::ZERO;
        loop {
            relist.mark_unchanged();
            let sent = self.clock.now();
            let call = async {
                match revision {
                    None => {
                        let answer_timeout = self.source.answer_timeout(Duration::ZERO);
                        let listed = answer_within(answer_timeout, self.source.list_targets()).await;
                        listed.map(|answer| answer.map(TargetUpdate::Listed))
                    }
                    Some(revision) => {
                        let wait = self.targets_wait(paused);
                        let call = self.source.targets_after(revision, wait);
                        let changed = answer_within(self.source.answer_timeout(wait), call).await;
                        changed.map(|answer| answer.map(TargetUpdate::Changed))
                    }
                }
            };
            let answer = tokio::select! {
                answer = call => answer,
                // If the routes call failed, this one may be waiting on a lost connection.
                _changed = relist.changed(), if revision.is_some() => {
                    revision = None;
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    revision = Some(answer.revision);
                    self.record_answer(answer.origin);
                    let changed = !answer.value.is_empty();
                    self.apply_targets(answer, sent);
                    paused =
                        if changed { Duration::from_millis(TARGETS_PAUSE_MILLIS) } else { Duration::ZERO };
                    tokio::time::sleep(paused).await;
                }
                Err(SourceError::HistoryGone) => {
                    info!(self.logger, "listing targets again"; "event" => "history_gone");
                    revision = None;
                }
                Err(error) => {
                    revision = None;
                    self.handle_failure("targets", sent, &error).await;
                }
            }
        }
    }

    /// Returns the long-poll timeout for targets.
    ///
    /// A silent connection is indistinguishable from "no change" until the wait is over. Without a response,
    /// targets are then listed again, which must happen within the staleness bound: with the longest wait
    /// that the source accepts, requests would reach targets that have left. The connection may have failed
    /// during the pause before the poll, so the pause is subtracted.
    fn targets_wait(&self, paused: Duration) -> Duration {
        let wait = self.staleness_bound.millis.saturating_sub(ANSWER_TIMEOUT_MILLIS + LIST_MARGIN_MILLIS);
        let wait = Duration::from_millis(wait.min(MAX_TARGETS_WAIT_MILLIS)).saturating_sub(paused);
        self.bounded_wait(wait.max(Duration::from_millis(MIN_TARGETS_WAIT_MILLIS)), paused)
    }

    /// Drops targets whose grace period has ended, stops treating zones as emptied whose grace period after
    /// a restore has ended, and records the age of the known state.
    async fn expire_targets(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_CHECK_MILLIS)).await;
            let now = self.clock.now();
            self.record_ages(now);
            let due = {
                let state = self.state.borrow();
                let deadlines = [state.targets.next_expiry(), state.emptied_zones.next_expiry()];
                deadlines.into_iter().flatten().any(|deadline| deadline.passed(now))
            };
            if !due {
                continue;
            }
            self.state.send_modify(|state| {
                self.report_zone_changes(&state.emptied_zones.expire(now));
                for id in state.targets.expire(now) {
                    info!(self.logger, "target expired"; "event" => "target_expired", "target" => id.to_string());
                }
            });
        }
    }

    /// Records the age of routes and targets, and logs when the targets become too old or recover.
    fn record_ages(&self, now: UnixMillis) {
        let state = self.state.borrow();
        for (table, proof) in [("routes", state.routes_proof), ("targets", state.targets_proof)] {
            if let Some(age) = proof.age(now) {
                self.metrics.set_table_age(table, age);
            }
        }
        let Some(age) = state.targets_proof.age(now) else { return };
        let too_old = age > self.staleness_bound.millis;
        if self.outdated.replace(too_old) != too_old {
            info!(self.logger, "known targets became outdated or current"; "event" => "targets_age", "age_ms" => age,
                "outdated" => too_old);
        }
    }

    /// Applies an operator update. Only routes with a higher version come into force.
    fn apply_operator_update(&self, answer: SourceAnswer<OperatorUpdate>, sent: UnixMillis) {
        let stamped = StampedAnswer { sent, received: self.clock.now(), stamp: answer.stamp };
        let OperatorUpdate { routes, zones } = answer.value;
        let restored = record_era(&self.routes_era, answer.revision.era);
        self.state.send_modify(|state| {
            let previous_age = state.routes_proof.age(stamped.received);
            if restored {
                state.emptied_zones.restored(self.clock.now());
            }
            self.apply_zones(state, zones);
            let in_force = state.routes.as_ref().map(|routes| routes.version);
            if let (Some(table), Some(in_force)) = (&routes, in_force)
                && table.version < in_force
            {
                info!(self.logger, "ignored configuration older than the one in force"; "event" => "config_older",
                    "version" => table.version.0, "in_force" => in_force.0,
                    "revision" => answer.revision.to_string());
            }
            if let Some(table) = routes
                && in_force.is_none_or(|in_force| table.version > in_force)
            {
                info!(self.logger, "configuration in force"; "event" => "config_adopted",
                    "version" => table.version.0, "routes" => table.route_count(),
                    "revision" => answer.revision.to_string(), "origin" => answer.origin.as_str(),
                    "previous_age_ms" => previous_age);
                self.metrics.set_revision(table.version.0);
                if state.targets.set_services(table.services.keys().cloned()) {
                    // A row of another writer may have replaced a target with the same address while the
                    // services were unknown.
                    self.relist.send_modify(|relist| *relist += 1);
                }
                state.routes = Some(Arc::new(table));
            }
            match answer.origin {
                AnswerOrigin::Source => {
                    state.routes_proof.record_answer(stamped);
                    state.targets_proof.update_clock_offset(stamped);
                }
                AnswerOrigin::EarlierCall | AnswerOrigin::Peer { .. } => {
                    state.routes_proof.record_relayed_answer(stamped);
                }
            }
        });
    }

    fn apply_zones(&self, state: &mut ControlState, update: ZoneUpdate) {
        let changes = state.emptied_zones.apply_update(update, self.clock.now());
        self.report_zone_changes(&changes);
    }

    fn report_zone_changes(&self, changes: &[ZoneChange]) {
        for change in changes {
            let (zone, emptied) = match change {
                ZoneChange::Emptied(zone) => (zone, true),
                ZoneChange::Restored(zone) => (zone, false),
            };
            self.metrics.set_zone_emptied(zone.as_str(), if emptied { self.clock.now().0 } else { 0 });
            info!(self.logger, "zone emptied or restored"; "event" => "zone_emptied",
                "zone" => zone.as_str(), "emptied" => emptied);
        }
    }

    fn apply_targets(&self, answer: SourceAnswer<TargetUpdate>, sent: UnixMillis) {
        let received = self.clock.now();
        let stamped = StampedAnswer { sent, received, stamp: answer.stamp };
        let restored = record_era(&self.targets_era, answer.revision.era);
        if restored && self.grace_period().is_none() {
            // Starts the grace period for missing rows: a restore can lose rows of active targets without a
            // noticed outage.
            self.record_outage(OutageWitness::Own, AnswerGap { asked: received, returned: received });
        }
        let grace = self.grace_period();
        let grace_deadline = grace.map(|grace| grace.end);
        self.state.send_modify(|state| {
            if restored {
                state.targets.restored(received);
            }
            match answer.value {
                TargetUpdate::Listed(rows) => {
                    info!(self.logger, "targets listed"; "event" => "targets_listed", "count" => rows.len(),
                        "after_outage" => grace.is_some(), "outage" => witness_name(grace),
                        "age_ms" => state.targets_proof.age(received));
                    state.targets.apply_listing(rows, grace_deadline);
                    state.targets_listed = true;
                }
                TargetUpdate::Changed(changes) => {
                    self.log_changes(
                        &changes,
                        ChangeContext {
                            grace,
                            origin: answer.origin,
                            previous_age: state.targets_proof.age(received),
                        },
                    );
                    state.targets.apply_changes(changes, grace_deadline);
                }
            }
            match answer.origin {
                AnswerOrigin::Source => {
                    state.targets_proof.record_answer(stamped);
                    state.routes_proof.update_clock_offset(stamped);
                }
                AnswerOrigin::EarlierCall | AnswerOrigin::Peer { .. } => {
                    state.targets_proof.record_relayed_answer(stamped);
                }
            }
        });
    }

    /// Logs each changed target, or only totals if there are many.
    fn log_changes(&self, changes: &[TargetChange], context: ChangeContext) {
        if changes.len() <= MAX_LOGGED_CHANGES {
            return changes.iter().for_each(|change| self.log_change(change, context));
        }
        let gone = changes.iter().filter(|change| matches!(change, TargetChange::Gone(_))).count();
        let unusable = changes.iter().filter(|change| matches!(change, TargetChange::Unusable(_))).count();
        info!(self.logger, "targets changed"; "event" => "targets_changed", "put" => changes.len() - gone - unusable,
            "gone" => gone, "unusable" => unusable, "grace" => context.grace.is_some(),
            "outage" => witness_name(context.grace), "origin" => context.origin.as_str(),
            "previous_age_ms" => context.previous_age);
    }

    fn log_change(&self, change: &TargetChange, context: ChangeContext) {
        let ChangeContext { grace, origin, previous_age } = context;
        match change {
            TargetChange::Put(record) => {
                info!(self.logger, "target changed"; "event" => "target_put", "target" => record.id.to_string(),
                    "state" => format!("{:?}", record.state), "origin" => origin.as_str(),
                    "previous_age_ms" => previous_age);
            }
            TargetChange::Gone(id) => {
                info!(self.logger, "target removed"; "event" => "target_gone", "target" => id.to_string(),
                    "grace" => grace.is_some(), "outage" => witness_name(grace),
                    "grace_ms" => grace.map(|grace| grace.end.remaining(self.clock.now()).as_millis() as u64),
                    "origin" => origin.as_str(), "previous_age_ms" => previous_age);
            }
            TargetChange::Unusable(id) => {
                info!(self.logger, "target row is unusable"; "event" => "target_unusable",
                    "target" => id.to_string());
            }
        }
    }

    /// Returns the grace period for rows that disappear now, if the source has recently recovered.
    fn grace_period(&self) -> Option<GracePeriod> {
        let renewed = self.change_bound != ChangeBound::default();
        let bound = if renewed { self.staleness_bound } else { self.staleness_bound.without_renewal() };
        let proven = self.state.borrow().targets_proof.proven();
        self.ended_outages.get().grace(bound, proven, self.clock.now())
    }

    fn record_outage(&self, witness: OutageWitness, gap: AnswerGap) {
        let mut outages = self.ended_outages.get();
        outages.record(witness, gap);
        self.ended_outages.set(outages);
    }

    /// Records a response. A response to either call ends an outage before its rows are applied. Otherwise,
    /// if targets were listed before routes, rows that expired during the outage would be dropped at once.
    fn record_answer(&self, origin: AnswerOrigin) {
        self.backoff.set(MIN_BACKOFF_MILLIS);
        let now = self.clock.now();
        // Since the failure, the source may have made more calls that were not answered.
        let failed =
            self.unanswered.take().map(|sent| self.source.failed_call().map_or(sent, |last| last.max(sent)));
        if failed.is_some() {
            info!(self.logger, "table service answers again"; "event" => "dependency_regained",
                "dependency" => "table");
        }
        let AnswerOrigin::Peer { gap, unanswered } = origin else {
            return self.record_own_outage(failed, now);
        };
        self.record_own_outage(failed.max(unanswered), now);
        if let Some(GapAges { asked, returned }) = gap {
            let ago = |age: u64| UnixMillis(now.0.saturating_sub(age));
            self.record_outage(OutageWitness::Peer, AnswerGap { asked: ago(asked), returned: ago(returned) });
        }
    }

    fn record_own_outage(&self, asked: Option<UnixMillis>, now: UnixMillis) {
        if let Some(asked) = asked {
            self.record_outage(OutageWitness::Own, AnswerGap { asked, returned: now });
        }
    }

    async fn handle_failure(&self, call: &'static str, sent: UnixMillis, error: &SourceError) {
        let sent = self.source.failed_call().unwrap_or(sent);
        if self.unanswered.replace(self.unanswered.get().max(Some(sent))).is_none() {
            warn!(self.logger, "table service does not answer"; "event" => "dependency_lost",
                "dependency" => "table", "question" => call, "error" => error.to_string());
        }
        if self.source.handles_backoff() {
            return;
        }
        let backoff = self.backoff.get();
        self.backoff.set((backoff * 2).min(MAX_BACKOFF_MILLIS));
        // Processes that failed together must not retry together.
        let jitter = rand::random::<f64>().mul_add(0.5, 0.75);
        tokio::time::sleep(Duration::from_millis((backoff as f64 * jitter) as u64)).await;
    }
}

/// Records the era of a response. Returns whether it is later than the previous one, that is, whether the
/// table service was restored from a backup in between.
fn record_era(last: &Cell<Option<TableEra>>, era: TableEra) -> bool {
    last.replace(last.get().max(Some(era))).is_some_and(|previous| previous < era)
}

/// Name in logs of whose outage gave a grace period.
fn witness_name(grace: Option<GracePeriod>) -> Option<&'static str> {
    grace.map(|grace| grace.witness.as_str())
}

/// How changes of targets arrived, for logs.
#[derive(Debug, Clone, Copy)]
struct ChangeContext {
    /// Grace period of rows that disappeared.
    grace: Option<GracePeriod>,
    origin: AnswerOrigin,
    /// Age of the proof before the changes, in milliseconds.
    previous_age: Option<u64>,
}

enum TargetUpdate {
    Listed(Vec<TargetChange>),
    Changed(Vec<TargetChange>),
}

impl TargetUpdate {
    fn is_empty(&self) -> bool {
        match self {
            Self::Listed(rows) => rows.is_empty(),
            Self::Changed(changes) => changes.is_empty(),
        }
    }
}
