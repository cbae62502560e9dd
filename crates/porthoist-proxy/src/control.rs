//! Where routes and targets come from, and how they are kept current.
//!
//! One watch follows the routes, another the targets. Each lists once and then waits for changes; when the source has
//! forgotten its history, was silent, or answered with an error, it lists anew.

use crate::reader::GapAges;
use crate::revision::TableEra;
use crate::rows::{ANSWER_MILLIS, answer_within};
use crate::source::{AnswerOrigin, ControlSource, OperatorUpdate, SourceError, Stamped};
use porthoist_core::{ClockSource, UnixDeadline, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::freshness::{FreshnessProof, StampedAnswer};
use porthoist_policy::proxy::routes::RouteTable;
use porthoist_policy::proxy::targets::{AnswerGap, StalenessBound, TargetChange, TargetRegistry};
use porthoist_policy::proxy::zones::{EmptiedZones, ZoneChange, ZoneUpdate};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the question about routes waits for a change, in milliseconds, after which the source answers that there is none.
///
/// With [`ANSWER_MILLIS`] it leaves 0.4 s for another question before a proof of 4.6 s no longer counts.
const ROUTES_WAIT_MILLIS: u64 = 3_300;
/// The least that the question about targets waits, in milliseconds; each has its price.
const MIN_TARGETS_WAIT_MILLIS: u64 = 500;
/// The most that it waits, in milliseconds: the table service takes up to 30,000.
const MAX_TARGETS_WAIT_MILLIS: u64 = 25_000;
/// Kept of the bound of a belief about targets, in milliseconds: to list them anew.
const LIST_MILLIS: u64 = 100;
/// Pause after a change of the routes, in milliseconds: versions may come every 80, and each must be in force within
/// 2,000.
const ROUTES_PAUSE_MILLIS: u64 = 100;
/// Pause after a change of the targets, in milliseconds, so that many changes cost one question: a target that leaves
/// must get nothing new after 2,000.
const TARGETS_PAUSE_MILLIS: u64 = 800;
/// First pause after a failed question, in milliseconds; it doubles up to [`MAX_PAUSE_MILLIS`].
const PAUSE_MILLIS: u64 = 60;
/// Longest pause after a failed question: readiness must return within a second of the source's return.
const MAX_PAUSE_MILLIS: u64 = 480;
/// Changes of targets in one answer that have a line each in the log: the lines of a fleet that starts would be hosts times targets.
const MOST_LINES: usize = 16;
/// Pause between two looks at graces that end and at the age of what is believed, in milliseconds.
const LOOK_MILLIS: u64 = 100;

/// What a process believes now.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    /// The routes in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Zones whose targets get nothing new.
    pub emptied: EmptiedZones,
    /// The targets.
    pub targets: TargetRegistry,
    /// Whether they were listed at all.
    pub targets_listed: bool,
    /// Proof that the routes are the newest.
    pub proof: FreshnessProof,
    /// Proof that the targets are the newest.
    pub targets_proof: FreshnessProof,
}

/// Keeps a [`ControlState`] current.
#[derive(Debug, bon::Builder)]
pub struct ControlWatch {
    /// How old what is believed of targets may be.
    #[builder(default)]
    bound: StalenessBound,
    /// Answers the questions.
    source: Rc<dyn ControlSource>,
    /// Takes what they bring.
    state: watch::Sender<ControlState>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
    logger: Logger,
    /// Counts reasons to list targets anew: failures of the routes' questions, and news of services.
    #[builder(skip = watch::Sender::new(0))]
    breaks: watch::Sender<u64>,
    /// When the last question that failed was sent, until an answer comes.
    #[builder(skip)]
    unanswered: Cell<Option<UnixMillis>>,
    /// Era of the last answer about routes. A later era means that the service was restored from a backup.
    #[builder(skip)]
    routes_era: Cell<Option<TableEra>>,
    /// Era of the last answer about targets. A later era means that the service was restored from a backup.
    #[builder(skip)]
    targets_era: Cell<Option<TableEra>>,
    /// The last time without answers that has ended.
    #[builder(skip)]
    gap: Cell<Option<AnswerGap>>,
    /// Whether what is believed of targets was too old when that was last looked at.
    #[builder(skip)]
    outdated: Cell<bool>,
    /// Pause after the next failed question, in milliseconds.
    #[builder(skip = Cell::new(PAUSE_MILLIS))]
    pause: Cell<u64>,
}

impl ControlWatch {
    /// Runs for ever.
    pub async fn run(&self) {
        tokio::join!(self.watch_routes(), self.watch_targets(), self.expire_targets());
    }

    async fn watch_routes(&self) {
        let mut revision = None;
        loop {
            let sent = self.clock.now();
            let answer = match revision {
                None => answer_within(self.source.patience(Duration::ZERO), self.source.list_routes()).await,
                Some(revision) => {
                    let wait = Duration::from_millis(ROUTES_WAIT_MILLIS);
                    answer_within(self.source.patience(wait), self.source.routes_after(revision, wait)).await
                }
            };
            match answer {
                Ok(answer) => {
                    revision = Some(answer.revision);
                    self.heard();
                    self.take_gap(answer.origin);
                    let changed = !answer.value.is_empty();
                    self.adopt(answer, sent);
                    if changed {
                        tokio::time::sleep(Duration::from_millis(ROUTES_PAUSE_MILLIS)).await;
                    }
                }
                Err(SourceError::HistoryGone) => {
                    info!(self.logger, "routes are listed anew"; "event" => "history_gone");
                    revision = None;
                }
                Err(error) => {
                    revision = None;
                    self.breaks.send_modify(|breaks| *breaks += 1);
                    self.failed("routes", sent, &error).await;
                }
            }
        }
    }

    async fn watch_targets(&self) {
        let mut breaks = self.breaks.subscribe();
        let mut revision = None;
        let mut paused = Duration::ZERO;
        loop {
            breaks.mark_unchanged();
            let sent = self.clock.now();
            let question = async {
                match revision {
                    None => {
                        let patience = self.source.patience(Duration::ZERO);
                        let listed = answer_within(patience, self.source.list_targets()).await;
                        listed.map(|answer| answer.map(TargetNews::Listed))
                    }
                    Some(revision) => {
                        let wait = self.targets_wait(paused);
                        let question = self.source.targets_after(revision, wait);
                        let changed = answer_within(self.source.patience(wait), question).await;
                        changed.map(|answer| answer.map(TargetNews::Changed))
                    }
                }
            };
            let answer = tokio::select! {
                answer = question => answer,
                // Where the routes' question failed, this one may hang on a connection that is gone.
                _changed = breaks.changed(), if revision.is_some() => {
                    revision = None;
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    revision = Some(answer.revision);
                    self.heard();
                    self.take_gap(answer.origin);
                    let changed = !answer.value.is_empty();
                    self.take_targets(answer, sent);
                    paused =
                        if changed { Duration::from_millis(TARGETS_PAUSE_MILLIS) } else { Duration::ZERO };
                    tokio::time::sleep(paused).await;
                }
                Err(SourceError::HistoryGone) => {
                    info!(self.logger, "targets are listed anew"; "event" => "history_gone");
                    revision = None;
                }
                Err(error) => {
                    revision = None;
                    self.failed("targets", sent, &error).await;
                }
            }
        }
    }

    /// How long the question about targets waits for a change.
    ///
    /// A connection that fell silent passes for "no change" until the wait is over, and everything is listed anew when an
    /// answer is then missing: in time for what the bound allows. With the longest wait that the
    /// source takes, requests would reach targets that have left. The connection may have fallen silent in the pause before the
    /// question, which is taken off.
    fn targets_wait(&self, paused: Duration) -> Duration {
        let wait = self.bound.millis.saturating_sub(ANSWER_MILLIS + LIST_MILLIS);
        let wait = Duration::from_millis(wait.min(MAX_TARGETS_WAIT_MILLIS)).saturating_sub(paused);
        wait.max(Duration::from_millis(MIN_TARGETS_WAIT_MILLIS))
    }

    /// Drops targets whose grace has ended, takes back emptied zones whose grace after a restore has ended, and records how
    /// old the known state is.
    async fn expire_targets(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MILLIS)).await;
            let now = self.clock.now();
            self.record_ages(now);
            let due = {
                let state = self.state.borrow();
                let deadlines = [state.targets.next_expiry(), state.emptied.next_expiry()];
                deadlines.into_iter().flatten().any(|deadline| deadline.passed(now))
            };
            if !due {
                continue;
            }
            self.state.send_modify(|state| {
                self.report_zone_changes(&state.emptied.expire(now));
                for id in state.targets.expire(now) {
                    info!(self.logger, "target is gone"; "event" => "target_expired", "target" => id.to_string());
                }
            });
        }
    }

    /// Records how old what is believed of routes and of targets is, and says when that of targets gets too old.
    fn record_ages(&self, now: UnixMillis) {
        let state = self.state.borrow();
        for (table, proof) in [("routes", state.proof), ("targets", state.targets_proof)] {
            if let Some(age) = proof.age(now) {
                self.metrics.belief_age(table, age);
            }
        }
        let Some(age) = state.targets_proof.age(now) else { return };
        let too_old = age > self.bound.millis;
        if self.outdated.replace(too_old) != too_old {
            info!(self.logger, "age of what is believed of targets"; "event" => "targets_age", "age_ms" => age,
                "outdated" => too_old);
        }
    }

    /// Takes what operators say: newer routes come into force, older ones never.
    fn adopt(&self, answer: Stamped<OperatorUpdate>, sent: UnixMillis) {
        let stamped = StampedAnswer { sent, received: self.clock.now(), stamp: answer.stamp };
        let OperatorUpdate { routes, zones } = answer.value;
        let restored = record_era(&self.routes_era, answer.revision.era);
        self.state.send_modify(|state| {
            if restored {
                state.emptied.restored(self.clock.now());
            }
            self.take_zones(state, zones);
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
                    "revision" => answer.revision.to_string());
                self.metrics.revision(table.version.0);
                if state.targets.set_services(table.services.keys().cloned()) {
                    // A row of another writer may have ended a target at its address while services were not known.
                    self.breaks.send_modify(|breaks| *breaks += 1);
                }
                state.routes = Some(Arc::new(table));
            }
            match answer.origin {
                AnswerOrigin::Source => {
                    state.proof.record_answer(stamped);
                    state.targets_proof.update_clock_offset(stamped);
                }
                AnswerOrigin::Peer { .. } => state.proof.record_relayed_answer(stamped),
            }
        });
    }

    fn take_zones(&self, state: &mut ControlState, news: ZoneUpdate) {
        let changes = state.emptied.take(news, self.clock.now());
        self.report_zone_changes(&changes);
    }

    fn report_zone_changes(&self, changes: &[ZoneChange]) {
        for change in changes {
            let (zone, emptied) = match change {
                ZoneChange::Emptied(zone) => (zone, true),
                ZoneChange::Restored(zone) => (zone, false),
            };
            self.metrics.zone_emptied(zone.as_str(), if emptied { self.clock.now().0 } else { 0 });
            info!(self.logger, "operators empty a zone or take it back"; "event" => "zone_emptied",
                "zone" => zone.as_str(), "emptied" => emptied);
        }
    }

    fn take_targets(&self, answer: Stamped<TargetNews>, sent: UnixMillis) {
        let received = self.clock.now();
        let stamped = StampedAnswer { sent, received, stamp: answer.stamp };
        let restored = record_era(&self.targets_era, answer.revision.era);
        if restored && self.grace().is_none() {
            // Starts the grace for missing rows: a restore can lose rows of active targets without a noticed outage.
            self.gap.set(Some(AnswerGap { asked: received, returned: received }));
        }
        let grace = self.grace();
        self.state.send_modify(|state| {
            if restored {
                state.targets.restored(received);
            }
            match answer.value {
                TargetNews::Listed(rows) => {
                    info!(self.logger, "targets listed"; "event" => "targets_listed", "count" => rows.len(),
                        "after_outage" => grace.is_some(), "age_ms" => state.targets_proof.age(received));
                    state.targets.apply_listing(rows, grace);
                    state.targets_listed = true;
                }
                TargetNews::Changed(changes) => {
                    self.log_changes(&changes, grace);
                    state.targets.apply_changes(changes, grace);
                }
            }
            match answer.origin {
                AnswerOrigin::Source => {
                    state.targets_proof.record_answer(stamped);
                    state.proof.update_clock_offset(stamped);
                }
                AnswerOrigin::Peer { .. } => state.targets_proof.record_relayed_answer(stamped),
            }
        });
    }

    /// Says what changed: each target by itself, unless a whole fleet starts.
    fn log_changes(&self, changes: &[TargetChange], grace: Option<UnixDeadline>) {
        if changes.len() <= MOST_LINES {
            return changes.iter().for_each(|change| self.log_change(change, grace));
        }
        let gone = changes.iter().filter(|change| matches!(change, TargetChange::Gone(_))).count();
        let unusable = changes.iter().filter(|change| matches!(change, TargetChange::Unusable(_))).count();
        info!(self.logger, "targets changed"; "event" => "targets_changed", "put" => changes.len() - gone - unusable,
            "gone" => gone, "unusable" => unusable, "grace" => grace.is_some());
    }

    fn log_change(&self, change: &TargetChange, grace: Option<UnixDeadline>) {
        match change {
            TargetChange::Put(record) => {
                info!(self.logger, "target changed"; "event" => "target_put", "target" => record.id.to_string(),
                    "state" => format!("{:?}", record.state));
            }
            TargetChange::Gone(id) => {
                info!(self.logger, "target removed"; "event" => "target_gone", "target" => id.to_string(),
                    "grace" => grace.is_some());
            }
            TargetChange::Unusable(id) => {
                info!(self.logger, "target names nothing to use"; "event" => "target_unusable",
                    "target" => id.to_string());
            }
        }
    }

    /// The end of the grace for rows that vanish now; nothing unless the source has just come back.
    fn grace(&self) -> Option<UnixDeadline> {
        self.gap.get()?.grace(self.bound, self.clock.now())
    }

    /// Notes an answer. Either question's ends a gap, before what it brought is taken: rows that lapsed in an outage were
    /// dropped at once where the listing of targets came before the routes.
    fn heard(&self) {
        self.pause.set(PAUSE_MILLIS);
        if let Some(asked) = self.unanswered.take() {
            self.gap.set(Some(AnswerGap { asked, returned: self.clock.now() }));
            info!(self.logger, "table service answers again"; "event" => "dependency_regained",
                "dependency" => "table");
        }
    }

    /// Takes the last time without answers of a process that passes the table on: rows that it saw vanish may have lapsed.
    fn take_gap(&self, origin: AnswerOrigin) {
        let AnswerOrigin::Peer { gap: Some(GapAges { asked, returned }) } = origin else { return };
        let now = self.clock.now().0;
        let ago = |age: u64| UnixMillis(now.saturating_sub(age));
        let gap = AnswerGap { asked: ago(asked), returned: ago(returned) };
        if self.gap.get().is_none_or(|known| known.returned < gap.returned) {
            self.gap.set(Some(gap));
        }
    }

    async fn failed(&self, question: &'static str, sent: UnixMillis, error: &SourceError) {
        if self.unanswered.replace(self.unanswered.get().max(Some(sent))).is_none() {
            warn!(self.logger, "table service does not answer"; "event" => "dependency_lost",
                "dependency" => "table", "question" => question, "error" => error.to_string());
        }
        if self.source.paces_itself() {
            return;
        }
        let pause = self.pause.get();
        self.pause.set((pause * 2).min(MAX_PAUSE_MILLIS));
        // Processes that failed together must not ask again together.
        let jitter = rand::random::<f64>().mul_add(0.5, 0.75);
        tokio::time::sleep(Duration::from_millis((pause as f64 * jitter) as u64)).await;
    }
}

/// Records the era of an answer. Returns whether it is later than the era of the previous answer, that is, whether the table
/// service was restored from a backup in between.
fn record_era(last: &Cell<Option<TableEra>>, era: TableEra) -> bool {
    last.replace(last.get().max(Some(era))).is_some_and(|previous| previous < era)
}

enum TargetNews {
    Listed(Vec<TargetChange>),
    Changed(Vec<TargetChange>),
}

impl TargetNews {
    fn is_empty(&self) -> bool {
        match self {
            Self::Listed(rows) => rows.is_empty(),
            Self::Changed(changes) => changes.is_empty(),
        }
    }
}
